//! Pages as a transaction would leave them.

use crate::model::{Id, Job};
use crate::records::{PlacementRecord, TaskEntry, TaskRun};
use shaleshunt_wire::{AgentEpoch, Attempt};
use std::collections::BTreeMap;

/// A page as a transaction would leave it.
#[derive(Debug, Clone, Default)]
pub(super) struct PageDraft {
    number: u32,
    entries: Vec<TaskEntry>,
    /// A bound on the length of the entries.
    bytes: usize,
}

impl PageDraft {
    /// An empty page.
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

/// Entries in a transaction: tasks of a job, with the number of the change that each entry shows, and the
/// page that they are on.
#[derive(Debug)]
pub(super) struct RecordedEntries {
    pub job: Id,
    pub change_of_task: Vec<(u32, u64)>,
    pub page: u32,
}

/// A placement that counts once the transaction is committed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PlannedPlacement {
    pub machine: Id,
    pub placement_id: u64,
}

/// What a transaction changes about pages.
#[derive(Debug, Default)]
pub(in crate::leader::store) struct PageChanges {
    /// Pages being put together.
    drafts: Vec<PageDraft>,
    /// Pages that are in the transaction.
    pub(super) written: Vec<PageDraft>,
    pub(super) recorded: Vec<RecordedEntries>,
    /// Placements among the entries that are not committed yet.
    pub(super) planned: Vec<PlannedPlacement>,
    /// Pages that are removed.
    pub(super) removed: Vec<u32>,
}

impl PageChanges {
    /// Whether pages are being put together.
    pub(in crate::leader::store) fn has_drafts(&self) -> bool {
        !self.drafts.is_empty()
    }

    /// Bytes of the pages being put together.
    pub(in crate::leader::store) fn draft_bytes(&self) -> usize {
        self.drafts.iter().map(PageDraft::bytes).sum()
    }

    /// Whether entries about a job are in the transaction.
    pub(in crate::leader::store) fn has_entries_of(&self, job: &Id) -> bool {
        self.recorded.iter().any(|recorded| recorded.job == *job)
    }

    /// The transaction is given up: jobs with entries in it, where one may come several times, and the
    /// placements that are not committed.
    pub(in crate::leader::store) fn into_abandoned(self) -> (Vec<Id>, Vec<PlannedPlacement>) {
        (self.recorded.into_iter().map(|recorded| recorded.job).collect(), self.planned)
    }

    /// Begins a page, or the next writing of one.
    pub(super) fn begin(&mut self, draft: PageDraft) {
        self.drafts.push(draft);
    }

    pub(super) fn last_draft(&self) -> Option<&PageDraft> {
        self.drafts.last()
    }

    pub(super) fn take_drafts(&mut self) -> Vec<PageDraft> {
        std::mem::take(&mut self.drafts)
    }

    /// Puts an entry on the last page, or on a new one if that is full.
    pub(super) fn push(&mut self, job: &Id, entry: TaskEntry, changes: &BTreeMap<u32, u64>, page_bytes: usize) {
        let bytes = entry.max_bytes();
        let Some(last) = self.drafts.last() else { return };
        if last.bytes + bytes > page_bytes && !last.is_empty() {
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

/// What is to be written of a job.
#[derive(Debug)]
pub(super) struct PendingEntries {
    pub entries: Vec<TaskEntry>,
    /// Placements among the entries that are not committed yet.
    pub planned: Vec<PlannedPlacement>,
    /// The tasks, with the number of the change that their entries show.
    pub change_of_task: BTreeMap<u32, u64>,
}

impl PendingEntries {
    /// Of the first of a job's tasks of which something is to be written.
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

    /// A bound on the length of the entries.
    pub(super) fn max_bytes(&self) -> usize {
        self.entries.iter().map(TaskEntry::max_bytes).sum()
    }
}
