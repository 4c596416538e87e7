//! Task pages: a log of task states (placed, done or free again) in values of the key-value store.
//!
//! A page is one value with task entries of any number of jobs, so a transaction writes one page however many tasks it
//! places. The newest page is rewritten with further entries until it is full.
//!
//! The last entry of a task is the valid one, in the order of pages and of the entries on a page. An older placement
//! had been proven gone before a newer one was planned, so a reader that finds both knows that only the newer can
//! exist.
//!
//! A page without live entries is removed. A sparse old page is compacted: its few live entries are written to the
//! newest page first.

mod draft;

pub(super) use draft::PageChanges;
pub(crate) use draft::PlannedPlacement;

use super::transaction::{Space, TransactionBuilder};
use crate::model::{Id, Job};
use crate::records::{PageRecord, TaskEntry, keys};
use draft::{PageDraft, PendingEntries, RecordedEntries};
use serde_json::json;
use shaleshunt_wire::kv::KeyValue;
use shaleshunt_wire::{AgentEpoch, Attempt, Revision};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of tasks of one job in a transaction.
const MAX_TASKS_PER_JOB: usize = 1024;
/// Maximum bytes of a task run in an entry, including its share of the rest of an entry with many runs.
const MAX_TASK_RUN_BYTES: usize = 20;
/// An old page is compacted when the fraction of its tasks that are live falls below this value.
const COMPACTION_LIVE_FRACTION: f64 = 0.5;
/// Transaction bytes reserved for the removal of a page.
const REMOVAL_SPACE_BYTES: usize = 100;

/// Bookkeeping for a stored page.
#[derive(Debug, Default)]
struct Page {
    version: Revision,
    /// Number of tasks whose last entry is on this page, by job.
    live_by_job: BTreeMap<Id, u32>,
    /// Number of tasks whose last entry is on this page, of all jobs.
    live: u32,
    /// Number of tasks in all entries of this page, live or not.
    total: u32,
}

/// The stored pages, and the contents of the newest one. For each task of an unfinished job, `writes.page_of_task`
/// names the page with its last entry, and that page counts the task as live.
#[derive(Debug, Default)]
pub(super) struct TaskPages {
    pages: BTreeMap<u32, Page>,
    /// The page that is rewritten until it is full. Its number is 0 before the first page.
    newest: PageDraft,
    /// The page being compacted, if any.
    compacting: Option<u32>,
}

/// A page to compact, and the jobs with live entries on it.
#[derive(Debug)]
pub(super) struct PageCompaction {
    pub page: u32,
    pub jobs: Vec<Id>,
}

/// A placement that an earlier leader committed.
#[derive(Debug)]
pub(crate) struct StoredPlacement {
    pub job: Id,
    pub task: u32,
    pub machine: Id,
    pub agent_epoch: AgentEpoch,
    pub attempt: Attempt,
}

impl TaskPages {
    /// Number of stored pages.
    pub(super) fn len(&self) -> usize {
        self.pages.len()
    }

    /// Adds a job's pending entries to the pages of a transaction, as many as fit. Returns false if not all fit.
    pub(super) fn collect_entries(
        &self,
        builder: &mut TransactionBuilder,
        changes: &mut PageChanges,
        job: &Job,
        max_page_bytes: usize,
    ) -> bool {
        let mut max_tasks = MAX_TASKS_PER_JOB.min((max_page_bytes / MAX_TASK_RUN_BYTES).max(1));
        loop {
            if job.writes.tasks.is_empty() {
                return true;
            }
            let pending = PendingEntries::new(job, max_tasks);
            let pages = self.pages_needed(changes, max_page_bytes, &pending.entries);
            let bytes = pending.max_bytes() + changes.draft_bytes();
            if builder.has_space_for(Space { writes: pages, preconditions: 1 + pages, bytes }) {
                if !pending.planned.is_empty() {
                    builder.require_job_version(job);
                }
                let is_all = pending.change_of_task.len() == job.writes.tasks.len();
                (0..pages).for_each(|_| builder.reserve_write());
                self.add_to_drafts(changes, max_page_bytes, &job.id, pending);
                return is_all;
            }
            if pending.change_of_task.len() <= 1 {
                return false;
            }
            max_tasks = pending.change_of_task.len() / 2;
        }
    }

    /// Whether a first entry goes on the newest page: the page is empty, or the entry fits. A page that exceeds a limit
    /// lowered since is left unchanged.
    fn newest_has_space(&self, max_page_bytes: usize, entry: Option<&TaskEntry>) -> bool {
        let bytes = entry.map_or(0, TaskEntry::max_bytes);
        self.newest.is_empty() || self.newest.bytes() + bytes <= max_page_bytes
    }

    /// Number of additional pages that a transaction writes with these entries.
    fn pages_needed(&self, changes: &PageChanges, max_page_bytes: usize, entries: &[TaskEntry]) -> usize {
        let (mut pages, mut used) = match changes.last_draft() {
            Some(draft) => (0, draft.bytes()),
            None if self.newest_has_space(max_page_bytes, entries.first()) => (1, self.newest.bytes()),
            None => (1, 0),
        };
        for bytes in entries.iter().map(TaskEntry::max_bytes) {
            if used + bytes > max_page_bytes && used > 0 {
                pages += 1;
                used = 0;
            }
            used += bytes;
        }
        pages
    }

    /// Adds entries to the page drafts of a transaction.
    fn add_to_drafts(&self, changes: &mut PageChanges, max_page_bytes: usize, job: &Id, pending: PendingEntries) {
        if !changes.has_drafts() {
            let number = self.newest.number().max(1);
            changes.begin(if self.newest_has_space(max_page_bytes, pending.entries.first()) {
                self.newest.clone().with_number(number)
            } else {
                PageDraft::new(number + 1)
            });
        }
        for entry in pending.entries {
            changes.push(job, entry, &pending.change_of_task, max_page_bytes);
        }
        changes.planned.extend(pending.planned);
    }

    /// Adds the writes of all page drafts to the transaction.
    pub(super) fn collect_drafts(&self, builder: &mut TransactionBuilder, changes: &mut PageChanges) {
        builder.release_reserved();
        for draft in changes.take_drafts() {
            let version = self.pages.get(&draft.number()).map_or(Revision::ABSENT, |page| page.version);
            let value = json!(PageRecord { entries: draft.entries().to_vec() });
            builder.set(keys::task_page(draft.number()), version, value, draft.bytes());
            changes.written.push(draft);
        }
    }

    /// Removes pages without live entries, as far as there is space in the transaction.
    pub(super) fn collect_unreferenced(&self, builder: &mut TransactionBuilder, changes: &mut PageChanges) {
        for (number, page) in self.pages.range(..self.newest.number()) {
            let is_removable = page.live == 0 && page.version > Revision::ABSENT;
            if is_removable && builder.has_space_for(Space::one_write(REMOVAL_SPACE_BYTES)) {
                builder.drop_key(keys::task_page(*number), page.version);
                changes.removed.push(*number);
            }
        }
    }

    /// Chooses a sparse page to compact. `None` if there is none or while another compaction is in progress.
    pub(super) fn begin_compaction(&mut self) -> Option<PageCompaction> {
        if let Some(number) = self.compacting {
            if self.pages.get(&number).is_some_and(|page| page.live > 0) {
                return None;
            }
            self.compacting = None;
        }
        let is_sparse =
            |page: &Page| page.live > 0 && f64::from(page.live) < f64::from(page.total) * COMPACTION_LIVE_FRACTION;
        let (number, page) = self.pages.range(..self.newest.number()).find(|(_, page)| is_sparse(page))?;
        let compaction = PageCompaction { page: *number, jobs: page.live_by_job.keys().cloned().collect() };
        self.compacting = Some(compaction.page);
        Some(compaction)
    }

    /// Applies the commit of a transaction: the entries on its pages become the last ones of their tasks. Returns the
    /// placements that were committed.
    pub(super) fn apply_committed(
        &mut self,
        changes: PageChanges,
        jobs: &mut BTreeMap<Id, Job>,
        revision: Revision,
    ) -> Vec<PlannedPlacement> {
        for draft in changes.written {
            let page = self.pages.entry(draft.number()).or_default();
            page.version = revision;
            page.total = draft.entries().iter().map(TaskEntry::task_count).sum();
            if draft.number() >= self.newest.number() {
                self.newest = draft;
            }
        }
        for recorded in changes.recorded {
            if let Some(job) = jobs.get_mut(&recorded.job) {
                self.apply_recorded_entries(job, recorded);
            }
        }
        for number in changes.removed {
            self.pages.remove(&number);
        }
        changes.planned
    }

    fn apply_recorded_entries(&mut self, job: &mut Job, recorded: RecordedEntries) {
        if job.writes.page_of_task.is_empty() {
            job.writes.page_of_task = vec![0; job.spec.tasks as usize];
        }
        for (task, change) in recorded.change_of_task {
            if job.writes.tasks.get(&task) == Some(&change) {
                job.writes.tasks.remove(&task);
            }
            let Some(page) = job.writes.page_of_task.get_mut(task as usize) else { continue };
            let old = std::mem::replace(page, recorded.page);
            self.adjust_live(old, &recorded.job, -1);
            self.adjust_live(recorded.page, &recorded.job, 1);
        }
    }

    /// Drops the live counts of a job that has ended.
    pub(super) fn forget_job(&mut self, job: &Job) {
        let numbers: BTreeSet<u32> = job.writes.page_of_task.iter().copied().filter(|page| *page > 0).collect();
        for number in numbers {
            if let Some(page) = self.pages.get_mut(&number)
                && let Some(live) = page.live_by_job.remove(&job.id)
            {
                page.live = page.live.saturating_sub(live);
            }
        }
    }

    /// Restores pages that earlier leaders wrote, given in the order of their keys, and marks the done tasks of `jobs`.
    /// Returns the placements among the last entries.
    pub(super) fn restore(&mut self, pairs: Vec<KeyValue>, jobs: &mut BTreeMap<Id, Job>) -> Vec<StoredPlacement> {
        let mut last_entries: BTreeMap<Id, BTreeMap<u32, LastEntry>> = BTreeMap::new();
        for pair in pairs {
            let Some(number) = keys::task_page_number(&pair.key) else { continue };
            let record: PageRecord = serde_json::from_value(pair.value).unwrap_or_default();
            let total = record.entries.iter().map(TaskEntry::task_count).sum();
            self.pages.insert(number, Page { version: pair.version, total, ..Page::default() });
            // A restored page is not rewritten; new entries go on a new page.
            self.newest = PageDraft::new(self.newest.number().max(number + 1));
            for entry in record.entries {
                if let Some(job) = jobs.get_mut(entry.job.as_str()) {
                    let entries_of_job = last_entries.entry(job.id.clone()).or_default();
                    restore_entry(job, entries_of_job, number, &entry);
                }
            }
        }
        let mut placements = Vec::new();
        for (id, entries) in last_entries {
            if let Some(job) = jobs.get_mut(&id) {
                restore_job_state(job, &entries);
            }
            for (task, LastEntry { page, placement }) in entries {
                self.adjust_live(page, &id, 1);
                placements.extend(placement.map(|(machine, agent_epoch, attempt)| StoredPlacement {
                    job: id.clone(),
                    task,
                    machine,
                    agent_epoch,
                    attempt,
                }));
            }
        }
        placements
    }

    /// Adds `change` to the number of a job's tasks whose last entry is on a page.
    fn adjust_live(&mut self, number: u32, job: &Id, change: i32) {
        let Some(page) = self.pages.get_mut(&number) else { return };
        let live = page.live_by_job.entry(job.clone()).or_default();
        *live = live.saturating_add_signed(change);
        if *live == 0 {
            page.live_by_job.remove(job);
        }
        page.live = page.live.saturating_add_signed(change);
    }
}

/// The last entry of a task: its page, and the placement if the task is placed.
struct LastEntry {
    page: u32,
    placement: Option<(Id, AgentEpoch, Attempt)>,
}

fn restore_entry(job: &mut Job, entries_of_job: &mut BTreeMap<u32, LastEntry>, page: u32, entry: &TaskEntry) {
    let placement = entry
        .placement
        .as_ref()
        .map(|placement| (Id::from(placement.machine.as_str()), placement.agent_epoch, placement.attempt));
    for run in &entry.runs {
        for task in run.first..run.tasks().end.min(job.spec.tasks) {
            if entry.done {
                job.tasks.mark_done(task);
            }
            entries_of_job.insert(task, LastEntry { page, placement: placement.clone() });
        }
    }
}

fn restore_job_state(job: &mut Job, entries: &BTreeMap<u32, LastEntry>) {
    job.tasks.mark_started();
    job.writes.page_of_task = vec![0; job.spec.tasks as usize];
    for (task, entry) in entries {
        job.writes.page_of_task[*task as usize] = entry.page;
    }
}

#[cfg(test)]
mod tests;
