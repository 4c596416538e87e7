//! Entries about tasks, on pages: where each is placed, which are done, which are free again.
//!
//! A page is one value of the key-value store with entries of any number of jobs, so that a
//! transaction writes one page however many tasks it places. The newest page is written again with
//! more until it is full. Of the entries about a task the last one counts, in the order of pages and
//! of the entries on a page: an old placement had been proven gone when a newer one was planned, so
//! a reader that finds both knows that only the newer can be. A page that nothing refers to any
//! more is removed; what little is left on an old one is written anew first.

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

/// Most tasks of a job in one transaction.
const MAX_TASKS: usize = 1024;
/// Most bytes that a run of tasks takes in an entry, with room for the rest of the entry among many.
const RUN_BYTES: usize = 20;
/// An old page of which less than this share still counts is written anew.
const COMPACTION_SHARE: f64 = 0.5;
/// Room to leave for the removal of a page.
const REMOVAL_BYTES: usize = 100;

/// What is known of a page that is stored.
#[derive(Debug, Default)]
struct Page {
    version: Revision,
    /// Tasks of which the entry here still counts, by job, and of all jobs together.
    live_by_job: BTreeMap<Id, u32>,
    live: u32,
    /// Tasks with an entry here.
    total: u32,
}

/// The stored pages, and the newest one's content. For each task of an unfinished job,
/// `writes.page_of_task` names the page with its last entry, and that page counts it as live.
#[derive(Debug, Default)]
pub(super) struct TaskPages {
    pages: BTreeMap<u32, Page>,
    /// The page that is written again until it is full; 0 before the first.
    newest: PageDraft,
    /// The page that is being written anew.
    compacting: Option<u32>,
}

/// An old page of which the entries that count are to be written anew.
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
    /// How many pages are stored.
    pub(super) fn len(&self) -> usize {
        self.pages.len()
    }

    /// Puts entries of a job on the pages of a transaction, all that are pending or as many as find room;
    /// false if not all fit.
    pub(super) fn collect_entries(
        &self,
        builder: &mut TransactionBuilder,
        changes: &mut PageChanges,
        job: &Job,
        page_bytes: usize,
    ) -> bool {
        let mut max_tasks = MAX_TASKS.min((page_bytes / RUN_BYTES).max(1));
        loop {
            if job.writes.tasks.is_empty() {
                return true;
            }
            let pending = PendingEntries::new(job, max_tasks);
            let pages = self.pages_needed(changes, page_bytes, &pending.entries);
            let bytes = pending.max_bytes() + changes.draft_bytes();
            if builder.has_space_for(Space { writes: pages, conditions: 1 + pages, bytes }) {
                if !pending.planned.is_empty() {
                    builder.require_job_version(job);
                }
                let is_all = pending.change_of_task.len() == job.writes.tasks.len();
                (0..pages).for_each(|_| builder.reserve_write());
                self.draft(changes, page_bytes, &job.id, pending);
                return is_all;
            }
            if pending.change_of_task.len() <= 1 {
                return false;
            }
            max_tasks = pending.change_of_task.len() / 2;
        }
    }

    /// Whether a first entry goes on the newest page: it is begun, or the entry fits. The page may be
    /// larger than what may be written by now; then it stays as it is.
    fn newest_has_space(&self, page_bytes: usize, entry: Option<&TaskEntry>) -> bool {
        let bytes = entry.map_or(0, TaskEntry::max_bytes);
        self.newest.is_empty() || self.newest.bytes() + bytes <= page_bytes
    }

    /// How many more pages a transaction writes with these entries.
    fn pages_needed(&self, changes: &PageChanges, page_bytes: usize, entries: &[TaskEntry]) -> usize {
        let (mut pages, mut used) = match changes.last_draft() {
            Some(draft) => (0, draft.bytes()),
            None if self.newest_has_space(page_bytes, entries.first()) => (1, self.newest.bytes()),
            None => (1, 0),
        };
        for bytes in entries.iter().map(TaskEntry::max_bytes) {
            if used + bytes > page_bytes && used > 0 {
                pages += 1;
                used = 0;
            }
            used += bytes;
        }
        pages
    }

    /// Puts entries on the pages of a transaction.
    fn draft(&self, changes: &mut PageChanges, page_bytes: usize, job: &Id, pending: PendingEntries) {
        if !changes.has_drafts() {
            let number = self.newest.number().max(1);
            changes.begin(if self.newest_has_space(page_bytes, pending.entries.first()) {
                self.newest.clone().with_number(number)
            } else {
                PageDraft::new(number + 1)
            });
        }
        for entry in pending.entries {
            changes.push(job, entry, &pending.change_of_task, page_bytes);
        }
        changes.planned.extend(pending.planned);
    }

    /// Writes the drafted pages into the transaction.
    pub(super) fn collect_drafts(&self, builder: &mut TransactionBuilder, changes: &mut PageChanges) {
        builder.release_reserved();
        for draft in changes.take_drafts() {
            let version = self.pages.get(&draft.number()).map_or(Revision::ABSENT, |page| page.version);
            let value = json!(PageRecord { entries: draft.entries().to_vec() });
            builder.set(keys::task_page(draft.number()), version, value, draft.bytes());
            changes.written.push(draft);
        }
    }

    /// Removes pages that nothing refers to, as far as there is room.
    pub(super) fn collect_unreferenced(&self, builder: &mut TransactionBuilder, changes: &mut PageChanges) {
        for (number, page) in self.pages.range(..self.newest.number()) {
            let is_removable = page.live == 0 && page.version > Revision::ABSENT;
            if is_removable && builder.has_space_for(Space::one_write(REMOVAL_BYTES)) {
                builder.drop_key(keys::task_page(*number), page.version);
                changes.removed.push(*number);
            }
        }
    }

    /// Chooses an old page of which little still counts, one at a time.
    pub(super) fn begin_compaction(&mut self) -> Option<PageCompaction> {
        if let Some(number) = self.compacting {
            if self.pages.get(&number).is_some_and(|page| page.live > 0) {
                return None;
            }
            self.compacting = None;
        }
        let is_sparse = |page: &Page| page.live > 0 && f64::from(page.live) < f64::from(page.total) * COMPACTION_SHARE;
        let (number, page) = self.pages.range(..self.newest.number()).find(|(_, page)| is_sparse(page))?;
        let compaction = PageCompaction { page: *number, jobs: page.live_by_job.keys().cloned().collect() };
        self.compacting = Some(compaction.page);
        Some(compaction)
    }

    /// The pages of a transaction are stored: the entries on them are the last of their tasks. Returns the
    /// placements that are committed with them.
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
            self.count(old, &recorded.job, -1);
            self.count(recorded.page, &recorded.job, 1);
        }
    }

    /// A job is over: what pages say of it counts no more.
    pub(super) fn forget_job(&mut self, job: &Job) {
        let numbers: BTreeSet<u32> = job.writes.page_of_task.iter().copied().filter(|page| *page > 0).collect();
        for number in numbers {
            if let Some(page) = self.pages.get_mut(&number)
                && let Some(count) = page.live_by_job.remove(&job.id)
            {
                page.live = page.live.saturating_sub(count);
            }
        }
    }

    /// Takes in the pages that earlier leaders wrote, in order, and what they say of jobs' tasks.
    /// Returns the placements among it.
    pub(super) fn restore(&mut self, pairs: Vec<KeyValue>, jobs: &mut BTreeMap<Id, Job>) -> Vec<StoredPlacement> {
        let mut last_entries: BTreeMap<Id, BTreeMap<u32, LastEntry>> = BTreeMap::new();
        for pair in pairs {
            let Some(number) = keys::task_page_number(&pair.key) else { continue };
            let record: PageRecord = serde_json::from_value(pair.value).unwrap_or_default();
            let total = record.entries.iter().map(TaskEntry::task_count).sum();
            self.pages.insert(number, Page { version: pair.version, total, ..Page::default() });
            // What it holds is not written again: a new page follows.
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
                restore_progress(job, &entries);
            }
            for (task, LastEntry { page, placement }) in entries {
                self.count(page, &id, 1);
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

    /// More or fewer tasks of a job have their last entry on a page.
    fn count(&mut self, number: u32, job: &Id, change: i32) {
        let Some(page) = self.pages.get_mut(&number) else { return };
        let live = page.live_by_job.entry(job.clone()).or_default();
        *live = live.saturating_add_signed(change);
        if *live == 0 {
            page.live_by_job.remove(job);
        }
        page.live = page.live.saturating_add_signed(change);
    }
}

/// The last entry about a task: its page, and where the task is placed.
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

fn restore_progress(job: &mut Job, entries: &BTreeMap<u32, LastEntry>) {
    job.tasks.mark_started();
    job.writes.page_of_task = vec![0; job.spec.tasks as usize];
    for (task, entry) in entries {
        job.writes.page_of_task[*task as usize] = entry.page;
    }
}

#[cfg(test)]
mod tests;
