//! Putting a transaction together from what is due, the most urgent first.

use super::blocks::{BlockLimits, BlockMembers};
use super::changes::TransactionChanges;
use super::pages::PageCompaction;
use super::sources::{RecordSources, StoreContext};
use super::{Store, WriteUrgency, job_ends, scale_outs};
use crate::model::{Id, Job};
use std::collections::BTreeMap;

/// So many jobs whose entries find no room end the search for smaller ones.
const MAX_JOBS_WITHOUT_SPACE: usize = 4;
/// While other work waits, blocks have this part of a transaction.
const BLOCK_PART: usize = 4;
/// A block is written at least once in so many leases' time.
const BLOCK_REWRITE_LEASES: u64 = 2;
/// Outcomes wait for this part of a heartbeat interval for placements to go along with.
const OUTCOME_PATIENCE_PART: u64 = 4;

impl Store {
    /// Puts what is due into a transaction. `rate` is the leader's share of writes a second.
    pub(super) fn collect_changes(
        &mut self,
        ctx: &StoreContext,
        sources: &mut RecordSources,
        changes: &mut TransactionChanges,
        rate: f64,
    ) {
        let max_writes = changes.builder.limits().writes;
        self.collect_blocks(ctx, sources, changes, rate);
        changes.scale_outs = scale_outs::collect(&mut changes.builder, sources.scale_outs, sources.machines);
        // Users wait for ends as for starts: each may take half of what there is, and what the other
        // leaves.
        self.collect_job_ends(ctx, sources.jobs, changes, max_writes.div_ceil(2));
        self.collect_placements(ctx, sources.jobs, changes);
        self.collect_job_ends(ctx, sources.jobs, changes, max_writes);
        changes.owned_list = self.owned_list.collect(&mut changes.builder);
        changes.catalog = self.catalog.collect(ctx.catalog, ctx.limits.max_value_bytes(), &mut changes.builder);
        self.collect_outcomes(ctx, sources.jobs, changes);
        self.pages.collect_drafts(&mut changes.builder, &mut changes.pages);
        // The rest takes what others leave.
        self.collect_unreferenced(ctx, sources.jobs, changes, rate);
        self.collect_obsolete_keys(changes, rate);
    }

    /// Machines that came are of use only when they are recorded; those that went are taken out when
    /// there is room. While other work waits, it has most of the room.
    fn collect_blocks(
        &mut self,
        ctx: &StoreContext,
        sources: &mut RecordSources,
        changes: &mut TransactionChanges,
        rate: f64,
    ) {
        let now = ctx.now.monotonic_ms;
        if self.budget.has_half_after(0, rate) {
            let lease_ms = (ctx.settings.lease_s * 1000.0) as u64;
            self.blocks.mark_optional(now, lease_ms * BLOCK_REWRITE_LEASES);
        }
        let max_writes = changes.builder.limits().writes;
        let limits = BlockLimits {
            machines: ctx.limits.machines_per_block(),
            value_bytes: ctx.limits.max_value_bytes(),
            writes: if self.queue.has_urgent_work() { max_writes.div_ceil(BLOCK_PART) } else { max_writes },
        };
        let mut members = BlockMembers { machines: sources.machines, images: sources.images };
        changes.blocks = self.blocks.collect(now, &mut changes.builder, &mut members, limits);
    }

    /// Puts jobs' ends into the transaction while it has fewer writes than this.
    fn collect_job_ends(
        &mut self,
        ctx: &StoreContext,
        jobs: &BTreeMap<Id, Job>,
        changes: &mut TransactionChanges,
        max_writes: usize,
    ) {
        while changes.builder.write_count_with_reserved() < max_writes
            && let Some(end) = self.queue.first_job_end()
        {
            if let Some(job) = jobs.get(&end.job)
                && !collect_job_end(ctx, job, changes)
            {
                break;
            }
            self.queue.remove_job_end(&end);
        }
    }

    /// Jobs with placements to commit.
    fn collect_placements(
        &mut self,
        ctx: &StoreContext,
        jobs: &mut BTreeMap<Id, Job>,
        changes: &mut TransactionChanges,
    ) {
        let due = self.queue.first_urgent(changes.builder.limits().conditions);
        let mut jobs_without_space = 0;
        for urgent in due {
            if jobs_without_space >= MAX_JOBS_WITHOUT_SPACE {
                break;
            }
            let is_open = jobs.get(&urgent.job).is_some_and(|job| !job.record.stale && !job.has_ended());
            if is_open && !self.collect_entries(ctx, jobs, changes, &urgent.job) {
                jobs_without_space += 1;
                continue;
            }
            self.queue.remove_urgent(&urgent);
            if let Some(job) = jobs.get_mut(&urgent.job) {
                job.writes.urgent = false;
            }
        }
    }

    /// Outcomes go along with placements, or alone after a while.
    fn collect_outcomes(&mut self, ctx: &StoreContext, jobs: &mut BTreeMap<Id, Job>, changes: &mut TransactionChanges) {
        let heartbeat_interval_ms = ctx.settings.heartbeat_interval_ms();
        let patience_ms = if changes.pages.has_drafts() { 0 } else { heartbeat_interval_ms / OUTCOME_PATIENCE_PART };
        while let Some(deferred) = self.queue.first_deferred() {
            if ctx.now.monotonic_ms.saturating_sub(deferred.since_ms) < patience_ms {
                break;
            }
            // A job's placements go with all else that is to be said of it.
            let is_collected = changes.pages.has_entries_of(&deferred.job);
            if !is_collected && !self.collect_entries(ctx, jobs, changes, &deferred.job) {
                break;
            }
            self.queue.remove_deferred(&deferred);
            if let Some(job) = jobs.get_mut(&deferred.job) {
                job.writes.deferred = false;
            }
        }
    }

    /// Puts entries of a job into the transaction; false if not all fit.
    fn collect_entries(
        &self,
        ctx: &StoreContext,
        jobs: &BTreeMap<Id, Job>,
        changes: &mut TransactionChanges,
        id: &Id,
    ) -> bool {
        let Some(job) = jobs.get(id) else { return true };
        self.pages.collect_entries(&mut changes.builder, &mut changes.pages, job, ctx.limits.max_page_bytes())
    }

    /// Whether half of the budget stays free for what is urgent.
    fn has_spare_budget(&self, changes: &TransactionChanges, rate: f64) -> bool {
        self.budget.has_half_after(changes.builder.write_count(), rate)
    }

    /// Removes what nothing refers to, and has what is left on an old page written anew.
    fn collect_unreferenced(
        &mut self,
        ctx: &StoreContext,
        jobs: &mut BTreeMap<Id, Job>,
        changes: &mut TransactionChanges,
        rate: f64,
    ) {
        if !self.has_spare_budget(changes, rate) {
            return;
        }
        changes.submission_parts = self.unreferenced.collect_submission_parts(&mut changes.builder, jobs);
        self.pages.collect_unreferenced(&mut changes.builder, &mut changes.pages);
        if let Some(compaction) = self.pages.begin_compaction() {
            self.rewrite_entries(ctx.now.monotonic_ms, jobs, &compaction);
        }
    }

    /// Has the entries on a page that still count written anew.
    fn rewrite_entries(&mut self, now: u64, jobs: &mut BTreeMap<Id, Job>, compaction: &PageCompaction) {
        for id in &compaction.jobs {
            let Some(job) = jobs.get_mut(id) else { continue };
            let pages = (0..).zip(&job.writes.page_of_task);
            let tasks: Vec<u32> = pages.filter(|(_, page)| **page == compaction.page).map(|(task, _)| task).collect();
            for task in tasks {
                self.queue.record_change(now, job, task, WriteUrgency::Deferred);
            }
        }
    }

    /// Removes keys that hold nothing any more.
    fn collect_obsolete_keys(&mut self, changes: &mut TransactionChanges, rate: f64) {
        if self.queue.is_empty() && !self.blocks.has_dirty() {
            self.unreferenced.release_v0_1_keys();
        }
        while self.has_spare_budget(changes, rate)
            && !changes.builder.is_full()
            && let Some(key) = self.unreferenced.collect_next_key(&mut changes.builder)
        {
            changes.obsolete_keys.push(key);
        }
    }
}

/// Puts a job's end into a transaction; false if there is no room. It has ended when every placement of
/// it has been proven gone. One whose record is stale is left out: it is queued again when the record has
/// been read.
fn collect_job_end(ctx: &StoreContext, job: &Job, changes: &mut TransactionChanges) -> bool {
    if job.record.stale || !job.has_ended() || changes.ended_jobs.contains(&job.id) {
        return true;
    }
    let page_bytes = changes.pages.draft_bytes();
    if !job_ends::collect(&mut changes.builder, job, page_bytes, ctx.now.wall_ms) {
        return false;
    }
    changes.ended_jobs.push(job.id.clone());
    true
}
