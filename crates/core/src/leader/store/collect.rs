//! Putting a transaction together from what is due, the most urgent first.

use super::blocks::{BlockLimits, BlockMembers};
use super::changes::Changes;
use super::pages::PageCompaction;
use super::{WriteUrgency, job_ends, scale_outs};
use crate::controller::Context;
use crate::leader::Leader;
use crate::model::Id;

/// So many jobs whose facts find no room end the search for smaller ones.
const MAX_JOBS_WITHOUT_SPACE: usize = 4;
/// While other work waits, blocks have this part of a transaction.
const BLOCK_PART: usize = 4;
/// A block is written at least once in so many leases' time.
const BLOCK_REWRITE_LEASES: u64 = 2;
/// Outcomes wait for this part of a heartbeat interval for placements to go along with.
const OUTCOME_PATIENCE_PART: u64 = 4;

impl Leader {
    /// Puts what is due into a transaction. `rate` is the leader's share of writes a second.
    pub(super) fn collect_changes(&mut self, ctx: &Context, changes: &mut Changes, rate: f64) {
        let max_writes = changes.builder.limits().writes;
        self.collect_blocks(ctx, changes, rate);
        scale_outs::collect(changes, &mut self.autoscaler.scale_outs, &self.fleet.machines);
        // Users wait for ends as for starts: each may take half of what there is, and what the other
        // leaves.
        self.collect_job_ends(ctx, changes, max_writes.div_ceil(2));
        self.collect_placements(ctx, changes);
        self.collect_job_ends(ctx, changes, max_writes);
        self.store.owned_list.collect(changes);
        self.store.catalog.collect(ctx, changes);
        self.collect_outcomes(ctx, changes);
        self.store.pages.collect_drafts(changes);
        // The rest takes what others leave.
        self.collect_unreferenced(ctx, changes, rate);
        self.collect_obsolete_keys(changes, rate);
    }

    /// Machines that came are of use only when they are recorded; those that went are taken out when
    /// there is room. While other work waits, it has most of the room.
    fn collect_blocks(&mut self, ctx: &Context, changes: &mut Changes, rate: f64) {
        let now = ctx.now.monotonic_ms;
        if self.store.budget.has_half_after(0, rate) {
            let lease_ms = (ctx.settings.lease_s * 1000.0) as u64;
            self.store.blocks.mark_optional(now, lease_ms * BLOCK_REWRITE_LEASES);
        }
        let max_writes = changes.builder.limits().writes;
        let limits = BlockLimits {
            machines: ctx.limits.block_machines(),
            value_bytes: ctx.limits.value_bytes(),
            writes: if self.store.queue.has_urgent_work() { max_writes.div_ceil(BLOCK_PART) } else { max_writes },
        };
        let mut members = BlockMembers { machines: &mut self.fleet.machines, images: &self.fleet.images };
        self.store.blocks.collect(now, changes, &mut members, limits);
    }

    /// Puts jobs' ends into the transaction while it has fewer writes than this.
    fn collect_job_ends(&mut self, ctx: &Context, changes: &mut Changes, max_writes: usize) {
        while changes.write_count_with_drafts() < max_writes
            && let Some(end) = self.store.queue.first_job_end()
        {
            if let Some(job) = self.jobs.get(&end.job)
                && !job_ends::collect(changes, job, ctx.now.wall_ms)
            {
                break;
            }
            self.store.queue.remove_job_end(&end);
        }
    }

    /// Jobs with placements to commit.
    fn collect_placements(&mut self, ctx: &Context, changes: &mut Changes) {
        let due = self.store.queue.first_urgent(changes.builder.limits().conditions);
        let mut jobs_without_space = 0;
        for urgent in due {
            if jobs_without_space >= MAX_JOBS_WITHOUT_SPACE {
                break;
            }
            let is_open = self.jobs.get(&urgent.job).is_some_and(|job| !job.record.stale && !job.has_ended());
            if is_open && !self.collect_facts(ctx, changes, &urgent.job) {
                jobs_without_space += 1;
                continue;
            }
            self.store.queue.remove_urgent(&urgent);
            if let Some(job) = self.jobs.get_mut(&urgent.job) {
                job.writes.urgent = false;
            }
        }
    }

    /// Outcomes go along with placements, or alone after a while.
    fn collect_outcomes(&mut self, ctx: &Context, changes: &mut Changes) {
        let has_placements = changes.pages.draft_count() > 0;
        let patience_ms = if has_placements { 0 } else { ctx.settings.heartbeat_interval_ms() / OUTCOME_PATIENCE_PART };
        while let Some(deferred) = self.store.queue.first_deferred() {
            if ctx.now.monotonic_ms.saturating_sub(deferred.since_ms) < patience_ms {
                break;
            }
            // A job's placements go with all else that is to be said of it.
            if !changes.pages.has_facts_of(&deferred.job) && !self.collect_facts(ctx, changes, &deferred.job) {
                break;
            }
            self.store.queue.remove_deferred(&deferred);
            if let Some(job) = self.jobs.get_mut(&deferred.job) {
                job.writes.deferred = false;
            }
        }
    }

    /// Puts facts of a job into the transaction; false if not all fit.
    fn collect_facts(&self, ctx: &Context, changes: &mut Changes, id: &Id) -> bool {
        let Some(job) = self.jobs.get(id) else { return true };
        self.store.pages.collect_facts(changes, job, ctx.limits.page_bytes())
    }

    /// Whether half of the budget stays free for what is urgent.
    fn has_spare_budget(&self, changes: &Changes, rate: f64) -> bool {
        self.store.budget.has_half_after(changes.builder.write_count(), rate)
    }

    /// Removes what nothing refers to, and has what is left on an old page written anew.
    fn collect_unreferenced(&mut self, ctx: &Context, changes: &mut Changes, rate: f64) {
        if !self.has_spare_budget(changes, rate) {
            return;
        }
        self.store.unreferenced.collect_submission_parts(changes, &self.jobs);
        self.store.pages.collect_unreferenced(changes);
        if let Some(compaction) = self.store.pages.begin_compaction() {
            self.rewrite_facts(ctx.now.monotonic_ms, &compaction);
        }
    }

    /// Has the facts on a page that still count written anew.
    fn rewrite_facts(&mut self, now: u64, compaction: &PageCompaction) {
        for id in &compaction.jobs {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            let pages = (0..).zip(&job.writes.page_of_task);
            let tasks: Vec<u32> = pages.filter(|(_, page)| **page == compaction.page).map(|(task, _)| task).collect();
            for task in tasks {
                self.store.queue.record_change(now, job, task, WriteUrgency::Deferred);
            }
        }
    }

    /// Removes keys that hold nothing any more.
    fn collect_obsolete_keys(&mut self, changes: &mut Changes, rate: f64) {
        if self.store.queue.is_empty() && !self.store.blocks.has_dirty() {
            self.store.unreferenced.release_v0_1_keys();
        }
        while self.has_spare_budget(changes, rate)
            && !changes.builder.is_full()
            && self.store.unreferenced.collect_next_key(changes)
        {}
    }
}
