//! Collects the changes that are due into a transaction, the most urgent first.

use super::blocks::{BlockLimits, BlockMembers};
use super::changes::TransactionChanges;
use super::pages::PageCompaction;
use super::sources::{RecordSources, StoreContext};
use super::{Store, WriteUrgency, job_ends, scale_outs};
use crate::model::{Id, Job};
use std::collections::BTreeMap;

/// Number of jobs whose entries don't fit after which no further, smaller jobs are tried.
const MAX_JOBS_WITHOUT_SPACE: usize = 4;
/// While placements or job ends wait, machine blocks take at most one in this many of a transaction's writes.
const BLOCK_WRITES_DIVISOR: usize = 4;
/// Time after which a machine block is rewritten if there is budget to spare, in machine lease durations.
const BLOCK_REWRITE_INTERVAL_LEASES: u64 = 2;
/// Outcomes wait for placements to share a transaction with for one heartbeat interval divided by this number.
const OUTCOME_DELAYS_PER_HEARTBEAT: u64 = 4;

impl Store {
    /// Adds all changes that are due to a transaction. `rate` is the leader's share of writes per second.
    pub(super) fn collect_changes(
        &mut self,
        ctx: &StoreContext,
        sources: &mut RecordSources,
        changes: &mut TransactionChanges,
        rate: f64,
    ) {
        let max_writes = changes.builder.limits().writes;
        self.collect_blocks(ctx, sources, changes, rate);
        // Rented machines that are up before the owned ones are recorded would count as owned at the next leader. A
        // request is sent only once it is recorded.
        changes.owned_list = self.owned_list.collect(&mut changes.builder);
        if !self.owned_list.has_pending() {
            changes.scale_outs = scale_outs::collect(&mut changes.builder, sources.scale_outs, sources.machines);
        }
        // Users wait for jobs to end as they wait for tasks to start: each kind may take half of the writes, plus what
        // the other leaves.
        self.collect_job_ends(ctx, sources.jobs, changes, max_writes.div_ceil(2));
        self.collect_placements(ctx, sources.jobs, changes);
        self.collect_job_ends(ctx, sources.jobs, changes, max_writes);
        changes.catalog = self.catalog.collect(ctx.catalog, ctx.limits.max_value_bytes(), &mut changes.builder);
        self.collect_outcomes(ctx, sources.jobs, changes);
        self.pages.collect_drafts(&mut changes.builder, &mut changes.pages);
        // Cleanup takes the writes that are left.
        self.collect_unreferenced(ctx, sources.jobs, changes, rate);
        self.collect_obsolete_keys(changes, rate);
    }

    /// Adds machine blocks. New machines can't be used before they are recorded; removed machines leave their block's
    /// record when there is budget to spare. While placements or job ends wait, these have most of the transaction.
    fn collect_blocks(
        &mut self,
        ctx: &StoreContext,
        sources: &mut RecordSources,
        changes: &mut TransactionChanges,
        rate: f64,
    ) {
        let now_ms = ctx.now.monotonic_ms;
        if self.budget.has_half_after(0, rate) {
            let lease_ms = (ctx.settings.lease_s * 1000.0) as u64;
            self.blocks.queue_optional_rewrite(now_ms, lease_ms * BLOCK_REWRITE_INTERVAL_LEASES);
        }
        let max_writes = changes.builder.limits().writes;
        let limits = BlockLimits {
            max_machines: ctx.limits.machines_per_block(),
            max_value_bytes: ctx.limits.max_value_bytes(),
            max_writes: if self.queue.has_urgent_work() {
                max_writes.div_ceil(BLOCK_WRITES_DIVISOR)
            } else {
                max_writes
            },
        };
        let mut members = BlockMembers { machines: sources.machines, images: sources.images };
        changes.blocks = self.blocks.collect(now_ms, &mut changes.builder, &mut members, limits);
    }

    /// Adds ends of jobs while the transaction has fewer than `max_writes` writes. While writes for users wait, those of
    /// jobs cancelled by a dependency wait too: a controller records such a cancellation with one write when a user asks,
    /// where an end takes two.
    fn collect_job_ends(
        &mut self,
        ctx: &StoreContext,
        jobs: &BTreeMap<Id, Job>,
        changes: &mut TransactionChanges,
        max_writes: usize,
    ) {
        while changes.builder.write_count_with_reserved() < max_writes
            && let Some(end) = self.queue.first_job_end()
            && !(ctx.user_writes_waiting && end.cancelled_by_dependency)
        {
            if let Some(job) = jobs.get(&end.job)
                && !collect_job_end(ctx, job, changes)
            {
                break;
            }
            self.queue.remove_job_end(&end);
        }
    }

    /// Adds the task entries of jobs with placements to commit.
    fn collect_placements(
        &mut self,
        ctx: &StoreContext,
        jobs: &mut BTreeMap<Id, Job>,
        changes: &mut TransactionChanges,
    ) {
        let urgent_jobs = self.queue.first_urgent(changes.builder.limits().preconditions);
        let mut jobs_without_space = 0;
        for urgent in urgent_jobs {
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

    /// Adds task outcomes: together with placements, or alone once they have waited long enough.
    fn collect_outcomes(&mut self, ctx: &StoreContext, jobs: &mut BTreeMap<Id, Job>, changes: &mut TransactionChanges) {
        let heartbeat_interval_ms = ctx.settings.heartbeat_interval_ms();
        let delay_ms =
            if changes.pages.has_drafts() { 0 } else { heartbeat_interval_ms / OUTCOME_DELAYS_PER_HEARTBEAT };
        while let Some(deferred) = self.queue.first_deferred() {
            if ctx.now.monotonic_ms.saturating_sub(deferred.since_ms) < delay_ms {
                break;
            }
            // All entries of a job go together, so a job whose placements are in the transaction is complete.
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

    /// Adds the entries of a job to the transaction. Returns false if not all fit.
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

    /// Whether half of the write budget stays free for urgent changes.
    fn has_spare_budget(&self, changes: &TransactionChanges, rate: f64) -> bool {
        self.budget.has_half_after(changes.builder.write_count(), rate)
    }

    /// Removes unreferenced records and starts the compaction of a sparse page.
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
        changes.submission_parts =
            self.unreferenced.collect_submission_parts(&mut changes.builder, jobs, &self.submissions);
        self.pages.collect_unreferenced(&mut changes.builder, &mut changes.pages);
        if let Some(compaction) = self.pages.begin_compaction() {
            self.rewrite_entries(ctx.now.monotonic_ms, jobs, &compaction);
        }
    }

    /// Queues the live entries of a page to be written to a newer page.
    fn rewrite_entries(&mut self, now: u64, jobs: &mut BTreeMap<Id, Job>, compaction: &PageCompaction) {
        for id in &compaction.jobs {
            let Some(job) = jobs.get_mut(id) else { continue };
            let pages = (0..).zip(&job.writes.page_of_task);
            let tasks: Vec<u32> = pages.filter(|(_, page)| **page == compaction.page).map(|(task, _)| task).collect();
            for task in tasks {
                self.queue.record_task_change(now, job, task, WriteUrgency::Deferred);
            }
        }
    }

    /// Removes keys whose contents are stored elsewhere or no longer needed.
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

/// Adds a job's end to a transaction. Returns false if there is no space. A job has ended when every placement of it
/// has been proven gone. A job whose record is stale is skipped: it is queued again when the record has been read.
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

#[cfg(test)]
mod tests;
