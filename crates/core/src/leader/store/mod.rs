//! The leader's writes to the key-value store.
//!
//! `Store` owns the pending writes and the bookkeeping for stored records: their versions, the task pages, the machine
//! blocks and the parts of split submissions. It makes no decisions about jobs or machines and doesn't depend on the
//! leader, which calls `record_task_change` and `queue_job_write` when a job has changed, `join_block` and similar
//! methods for machines, `next_request` once per batch and `handle_reply` for each reply. The consequences of a reply
//! for jobs and machines are returned to the leader.
//!
//! Invariants:
//! - At most one transaction is in flight. It contains the changes that became due since the previous one.
//! - Every transaction has preconditions on the version of the epoch, on the version of every key that it writes, and
//!   on the version of the record of each job that it places tasks of. Late copies of a transaction therefore fail, and
//!   so does everything that an older leader still sends.
//! - The outcome of an unanswered transaction is resolved (see [`commit`]) before anything else is written.
//! - A placement is committed, and a job or machine recorded, only once the transaction that says so is known to have
//!   been committed.
//!
//! Task entries are stored on pages (see [`pages`]), so a transaction that places tasks of many jobs costs one write or
//! two. Task outcomes share these transactions, or are written alone after a delay. The delay only postpones the
//! machines' permission to forget the outcomes, since a new leader learns them from the next heartbeats.

mod apply;
mod blocks;
mod catalog;
mod changes;
mod collect;
mod commit;
mod job_ends;
mod owned_list;
mod pages;
mod scale_outs;
mod sources;
mod split_submissions;
mod transaction;
mod unreferenced;
mod write_budget;
mod write_counts;
mod write_queue;

pub(crate) use blocks::StoredBlock;
pub(crate) use changes::TransactionChanges;
pub(crate) use commit::{CommitOutcome, CommitRequest, CommitStep};
pub(crate) use pages::{PlannedPlacement, StoredPlacement};
pub(crate) use sources::{RecordSources, StoreContext};
pub(crate) use split_submissions::SplitSubmissionRead;
pub(crate) use write_counts::WriteCounts;
pub(crate) use write_queue::WriteUrgency;

use crate::model::{Id, Job, Machine};
use blocks::MachineBlocks;
use catalog::CatalogRecord;
use commit::InFlight;
use owned_list::OwnedList;
use pages::TaskPages;
use shaleshunt_wire::Revision;
use shaleshunt_wire::kv::KeyValue;
use split_submissions::{SplitSubmissions, VersionedKey};
use std::collections::{BTreeMap, BTreeSet};
use unreferenced::UnreferencedRecords;
use write_budget::WriteBudget;
use write_queue::WriteQueue;

/// The leader's pending writes to the key-value store, and its bookkeeping for the stored records.
#[derive(Debug)]
pub(crate) struct Store {
    queue: WriteQueue,
    pages: TaskPages,
    blocks: MachineBlocks,
    submissions: SplitSubmissions,
    unreferenced: UnreferencedRecords,
    owned_list: OwnedList,
    catalog: CatalogRecord,
    budget: WriteBudget,
    write_counts: WriteCounts,
    in_flight: Option<InFlight>,
    /// Earliest time of the next request (ms, monotonic).
    next_commit_at_ms: u64,
}

/// Statistics about writes, for the leader's status event.
#[derive(Debug)]
pub(crate) struct StoreStats {
    /// Writes since the previous statistics were taken.
    pub written: WriteCounts,
    /// Number of writes that the budget currently allows.
    pub write_budget: f64,
    /// Number of jobs whose end is waiting to be written.
    pub job_ends: usize,
    /// Number of jobs with placements to commit.
    pub urgent_jobs: usize,
    /// Number of jobs with task outcomes to write.
    pub deferred_jobs: usize,
    /// Number of stored task pages.
    pub pages: usize,
    /// Whether a transaction is in flight.
    pub is_transaction_in_flight: bool,
}

impl Store {
    /// Creates the store of a leader that starts at `now` (ms, monotonic) with a budget of `initial_writes` writes.
    pub(crate) fn new(now: u64, initial_writes: f64) -> Store {
        let mut budget = WriteBudget::new(now);
        budget.set(initial_writes);
        Store {
            queue: WriteQueue::default(),
            pages: TaskPages::default(),
            blocks: MachineBlocks::default(),
            submissions: SplitSubmissions::default(),
            unreferenced: UnreferencedRecords::default(),
            owned_list: OwnedList::default(),
            catalog: CatalogRecord::default(),
            budget,
            write_counts: WriteCounts::default(),
            in_flight: None,
            next_commit_at_ms: now,
        }
    }

    /// Queues a change of a task to be written.
    pub(crate) fn record_task_change(&mut self, now: u64, job: &mut Job, task: u32, urgency: WriteUrgency) {
        self.queue.record_task_change(now, job, task, urgency);
    }

    /// Queues the pending writes of a job, including its end.
    pub(crate) fn queue_job_write(&mut self, now: u64, job: &mut Job) {
        self.queue.queue(now, job);
    }

    /// Adds a machine to a block of its zone, unless it is in a block already.
    pub(crate) fn join_block(&mut self, machine: &mut Machine, max_machines: usize) {
        self.blocks.join(machine, max_machines);
    }

    /// Removes a machine from its block, which is rewritten when there is budget to spare.
    pub(crate) fn machine_removed(&mut self, machine: &Machine) {
        self.blocks.remove_machine(machine);
    }

    /// Queues a machine's block to be written after recorded properties of the machine changed.
    pub(crate) fn machine_changed(&mut self, machine: &Machine) {
        self.blocks.machine_changed(machine);
    }

    /// Queues the list of owned machines to be written, in parts of at most `max_value_bytes` bytes.
    pub(crate) fn record_owned_machines(&mut self, machines: &BTreeSet<String>, max_value_bytes: usize) {
        self.owned_list.record(machines, max_value_bytes);
    }

    /// Whether a complete list of owned machines is stored.
    pub(crate) fn has_owned_list(&self) -> bool {
        self.owned_list.is_recorded()
    }

    /// Queues the machine types to be written.
    pub(crate) fn record_catalog(&mut self) {
        self.catalog.record();
    }

    /// Whether the machine types are stored.
    pub(crate) fn has_catalog(&self) -> bool {
        self.catalog.is_recorded()
    }

    /// Registers that the parts of a job's submission are being read.
    pub(crate) fn begin_submission_read(&mut self, read: &SplitSubmissionRead) {
        self.submissions.begin_read(read);
    }

    /// Whether a read of submission parts is for the latest known version of the job's record.
    pub(crate) fn is_submission_read_current(&self, read: &SplitSubmissionRead) -> bool {
        self.submissions.is_current(read)
    }

    /// Unregisters a read after all parts of the submission have been read.
    pub(crate) fn end_submission_read(&mut self, read: &SplitSubmissionRead) {
        self.submissions.end_read(read);
    }

    /// Schedules the restart of a failed read of submission parts at `at` (ms, monotonic).
    pub(crate) fn retry_submission_read(&mut self, at: u64, read: SplitSubmissionRead) {
        self.submissions.retry_at(at, read);
    }

    /// Returns the next read of submission parts that is due for a retry.
    pub(crate) fn next_submission_retry(&mut self, now: u64) -> Option<SplitSubmissionRead> {
        self.submissions.next_retry(now)
    }

    /// Cancels reads of submission parts for a job's record that was removed at this version.
    pub(crate) fn job_record_removed(&mut self, job: &str, version: Revision) {
        self.submissions.job_removed(job, version);
    }

    /// Stores the keys of a job's submission parts, for their removal when the job ends.
    pub(crate) fn add_submission_parts(&mut self, job: Id, parts: Vec<KeyValue>) {
        self.submissions.add(job, parts);
    }

    /// Queues submission parts without a job record for removal when there is budget to spare.
    pub(crate) fn add_unreferenced_parts(&mut self, submissions: impl IntoIterator<Item = Vec<KeyValue>>) {
        let versioned = |parts: Vec<KeyValue>| parts.into_iter().map(VersionedKey::from).collect();
        self.unreferenced.add_submission_parts(submissions.into_iter().map(versioned));
    }

    /// Queues a record of version 0.1 for removal once its contents have been rewritten in the current format.
    pub(crate) fn add_v0_1_key(&mut self, key: String, version: Revision) {
        self.unreferenced.add_v0_1_key(key, version);
    }

    /// Restores a machine block that an earlier leader stored.
    pub(crate) fn restore_block(&mut self, now: u64, block: StoredBlock) {
        self.blocks.restore(now, block);
    }

    /// Restores task pages and marks the done tasks of `jobs`. Returns the placements among the last entries.
    pub(crate) fn restore_pages(&mut self, pairs: Vec<KeyValue>, jobs: &mut BTreeMap<Id, Job>) -> Vec<StoredPlacement> {
        self.pages.restore(pairs, jobs)
    }

    /// Restores the version of a part of the list of owned machines.
    pub(crate) fn restore_owned_list(&mut self, key: String, version: Revision) {
        self.owned_list.restore(key, version);
    }

    /// Restores the version of the record of the machine types.
    pub(crate) fn restore_catalog(&mut self, version: Revision) {
        self.catalog.restore(version);
    }

    /// Returns the current statistics and resets the write counts.
    pub(crate) fn take_stats(&mut self) -> StoreStats {
        StoreStats {
            written: std::mem::take(&mut self.write_counts),
            write_budget: self.budget.tokens(),
            job_ends: self.queue.job_end_count(),
            urgent_jobs: self.queue.urgent_count(),
            deferred_jobs: self.queue.deferred_count(),
            pages: self.pages.len(),
            is_transaction_in_flight: self.in_flight.is_some(),
        }
    }
}
