//! Drafts of task pages: their contents after a transaction that has not been committed yet.

use crate::model::{Id, Job};
use crate::records::{PlacementRecord, TaskEntry, TaskRun};
use shaleshunt_wire::{AgentEpoch, Attempt};
use std::collections::BTreeMap;

/// Contents of a page after a transaction.
#[derive(Debug, Clone, Default)]
pub(super) struct PageDraft {
    number: u32,
    entries: Vec<TaskEntry>,
    /// Upper bound on the serialized size of the entries.
    bytes: usize,
}

impl PageDraft {
    /// Creates an empty page.
    pub(super) fn new(number: u32) -> PageDraft {
        PageDraft { number, ..PageDraft::default() }
    }

    pub(super) fn with_number(self, number: u32) -> PageDraft {
        PageDraft { number, ..self }
    }

    pub(super) fn number(&self) -> u32 {
        self.number
    }

    pub(super) fn entries(&self) -> &[TaskEntry] {
        &self.entries
    }

    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Entries of a job in a transaction: the tasks with the number of the change that each entry reflects, and the page.
#[derive(Debug)]
pub(super) struct RecordedEntries {
    pub job: Id,
    pub change_of_task: Vec<(u32, u64)>,
    pub page: u32,
}

/// A placement that takes effect when the transaction commits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PlannedPlacement {
    pub machine: Id,
    pub placement_id: u64,
}

/// Changes of a transaction to task pages.
#[derive(Debug, Default)]
pub(in crate::leader::store) struct PageChanges {
    /// Pages that are still being filled.
    drafts: Vec<PageDraft>,
    /// Pages that the transaction writes.
    pub(super) written: Vec<PageDraft>,
    /// Entries on the drafted and written pages.
    pub(super) recorded: Vec<RecordedEntries>,
    /// Placements that become committed with the transaction.
    pub(super) planned: Vec<PlannedPlacement>,
    /// Numbers of the pages that the transaction removes.
    pub(super) removed: Vec<u32>,
}

impl PageChanges {
    /// Whether pages are being filled.
    pub(in crate::leader::store) fn has_drafts(&self) -> bool {
        !self.drafts.is_empty()
    }

    /// Total size of the pages being filled, in bytes.
    pub(in crate::leader::store) fn draft_bytes(&self) -> usize {
        self.drafts.iter().map(PageDraft::bytes).sum()
    }

    /// Whether the transaction has entries of a job.
    pub(in crate::leader::store) fn has_entries_of(&self, job: &Id) -> bool {
        self.recorded.iter().any(|recorded| recorded.job == *job)
    }

    /// Returns the jobs whose entries were abandoned, possibly with duplicates, and the placements that remain
    /// uncommitted.
    pub(in crate::leader::store) fn into_abandoned(self) -> (Vec<Id>, Vec<PlannedPlacement>) {
        (self.recorded.into_iter().map(|recorded| recorded.job).collect(), self.planned)
    }

    /// Starts filling a new page, or adding to the newest one.
    pub(super) fn begin(&mut self, draft: PageDraft) {
        self.drafts.push(draft);
    }

    pub(super) fn last_draft(&self) -> Option<&PageDraft> {
        self.drafts.last()
    }

    pub(super) fn take_drafts(&mut self) -> Vec<PageDraft> {
        std::mem::take(&mut self.drafts)
    }

    /// Appends an entry to the last draft, or to a new one if that is full.
    pub(super) fn push(&mut self, job: &Id, entry: TaskEntry, changes: &BTreeMap<u32, u64>, max_page_bytes: usize) {
        let bytes = entry.max_bytes();
        let Some(last) = self.drafts.last() else { return };
        if last.bytes + bytes > max_page_bytes && !last.is_empty() {
            let next = PageDraft::new(last.number + 1);
            self.drafts.push(next);
        }
        let Some(last) = self.drafts.last_mut() else { return };
        let tasks = entry.runs.iter().flat_map(TaskRun::tasks);
        let change_of_task = tasks.filter_map(|task| changes.get(&task).map(|change| (task, *change))).collect();
        self.recorded.push(RecordedEntries { job: job.clone(), change_of_task, page: last.number });
        last.bytes += bytes;
        last.entries.push(entry);
    }
}

/// Entries to write for a job, made from its current state.
#[derive(Debug)]
pub(super) struct PendingEntries {
    pub entries: Vec<TaskEntry>,
    /// Placements among the entries that are not committed yet.
    pub planned: Vec<PlannedPlacement>,
    /// Number of the change that a task's entry reflects, by task.
    pub change_of_task: BTreeMap<u32, u64>,
}

impl PendingEntries {
    /// Builds the entries of the first `max_tasks` tasks with pending changes.
    pub(super) fn new(job: &Job, max_tasks: usize) -> PendingEntries {
        let change_of_task: BTreeMap<u32, u64> =
            job.writes.tasks.iter().take(max_tasks).map(|(task, change)| (*task, *change)).collect();
        let mut done = TaskEntry::new(&job.id);
        done.done = true;
        let mut free = TaskEntry::new(&job.id);
        let mut placed: BTreeMap<(&Id, AgentEpoch, Attempt), TaskEntry> = BTreeMap::new();
        let mut planned = Vec::new();
        for task in change_of_task.keys() {
            if job.tasks.is_done(*task) {
                done.push(*task);
                continue;
            }
            let placements = job.tasks.placements_of(*task);
            if placements.is_empty() {
                free.push(*task);
            }
            for placement in placements {
                let key = (&placement.machine, placement.agent_epoch, placement.attempt);
                placed.entry(key).or_insert_with(|| TaskEntry::new(&job.id)).push(*task);
                if placement.planned {
                    let (machine, placement_id) = (placement.machine.clone(), placement.placement_id);
                    planned.push(PlannedPlacement { machine, placement_id });
                }
            }
        }
        let mut entries: Vec<TaskEntry> = [done, free].into_iter().filter(|entry| !entry.runs.is_empty()).collect();
        entries.extend(placed.into_iter().map(|((machine, agent_epoch, attempt), mut entry)| {
            entry.placement = Some(PlacementRecord { machine: machine.to_string(), agent_epoch, attempt });
            entry
        }));
        PendingEntries { entries, planned, change_of_task }
    }

    /// Upper bound on the serialized size of the entries.
    pub(super) fn max_bytes(&self) -> usize {
        self.entries.iter().map(TaskEntry::max_bytes).sum()
    }
}
