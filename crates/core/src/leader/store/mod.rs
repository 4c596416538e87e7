//! The leader's writes to the key-value store.
//!
//! `Store` owns what waits to be written and what is known of the stored records: their versions, the
//! pages of task entries, the blocks of machines, the parts of submissions. It decides nothing about jobs
//! or machines, and does not know the leader that calls it: `record_change` and `queue_write` when
//! something about a job has changed, `join_block` and the like for machines, `next_request` once a
//! batch, `handle_reply` with each answer. What an answer means for jobs and machines it returns.
//!
//! What always holds:
//! - One transaction at a time is under way, and it holds what has become due since the last one.
//! - Every transaction requires the epoch's version and the version of every key that it writes, and
//!   the version of each job that it places tasks of. So copies that arrive late fail, and so does
//!   everything that an older leader still sends.
//! - One that brought no answer is settled (see [`commit`]) before anything else is written.
//! - A placement counts as committed, and a job or machine as recorded, only when the transaction that
//!   says so is known to have been carried out.
//!
//! Entries about tasks go on pages (see [`pages`]), so a transaction that places tasks of many jobs
//! costs one write or two. Outcomes go along, or alone after a while: nothing but the machines'
//! permission to forget them waits for that, since a new leader learns them from the next heartbeats.

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

/// What the leader has to write to the key-value store, and what it knows of the records there.
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
    /// Nothing is sent before this time (ms, monotonic).
    next_commit_at: u64,
}

/// How much there is to write, for operators.
#[derive(Debug)]
pub(crate) struct StoreStats {
    /// Writes since the last time that this was asked.
    pub written: WriteCounts,
    /// Writes that may be sent now.
    pub write_budget: f64,
    /// Jobs whose end waits to be written.
    pub job_ends: usize,
    /// Jobs with placements to commit.
    pub urgent_jobs: usize,
    /// Jobs with outcomes to write.
    pub deferred_jobs: usize,
    /// Pages that are stored.
    pub pages: usize,
    /// Whether a transaction is under way.
    pub is_transaction_in_flight: bool,
}

impl Store {
    /// That of a leader that begins at a time (ms, monotonic) with so many writes in hand.
    pub(crate) fn new(now: u64, writes_in_hand: f64) -> Store {
        let mut budget = WriteBudget::new(now);
        budget.set(writes_in_hand);
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
            next_commit_at: now,
        }
    }

    /// Something about a task of a job is to be written.
    pub(crate) fn record_change(&mut self, now: u64, job: &mut Job, task: u32, urgency: WriteUrgency) {
        self.queue.record_change(now, job, task, urgency);
    }

    /// Queues what a job has to write, its end included.
    pub(crate) fn queue_write(&mut self, now: u64, job: &mut Job) {
        self.queue.queue(now, job);
    }

    /// A job is over: what pages say of it counts no more.
    pub(crate) fn forget_job(&mut self, job: &Job) {
        self.pages.forget_job(job);
    }

    /// Puts a machine into a block of its zone, unless it is in one.
    pub(crate) fn join_block(&mut self, machine: &mut Machine, max_machines: usize) {
        self.blocks.join(machine, max_machines);
    }

    /// A machine is gone: its block is written without it when there is room.
    pub(crate) fn machine_removed(&mut self, machine: &Machine) {
        self.blocks.remove_machine(machine);
    }

    /// What is recorded of a machine has changed.
    pub(crate) fn machine_changed(&mut self, machine: &Machine) {
        self.blocks.machine_changed(machine);
    }

    /// Queues the list of owned machines to be written, in parts that fit into a value each.
    pub(crate) fn record_owned_machines(&mut self, machines: &BTreeSet<String>, value_bytes: usize) {
        self.owned_list.record(machines, value_bytes);
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

    /// Parts of a job's submission are being read.
    pub(crate) fn begin_submission_read(&mut self, read: &SplitSubmissionRead) {
        self.submissions.begin_read(read);
    }

    /// Whether an answer to a read of parts is for the record that is known last.
    pub(crate) fn is_submission_read_current(&self, read: &SplitSubmissionRead) -> bool {
        self.submissions.is_current(read)
    }

    /// All parts of a job's submission have been read.
    pub(crate) fn end_submission_read(&mut self, read: &SplitSubmissionRead) {
        self.submissions.end_read(read);
    }

    /// A read of parts brought no answer: it is begun anew at a time (ms, monotonic).
    pub(crate) fn retry_submission_read(&mut self, at: u64, read: SplitSubmissionRead) {
        self.submissions.retry_at(at, read);
    }

    /// The next read of parts whose time has come.
    pub(crate) fn next_submission_retry(&mut self, now: u64) -> Option<SplitSubmissionRead> {
        self.submissions.next_retry(now)
    }

    /// A job's record was removed at a version.
    pub(crate) fn job_record_removed(&mut self, job: &str, version: Revision) {
        self.submissions.job_removed(job, version);
    }

    /// A job is known from the parts of its submission.
    pub(crate) fn add_submission_parts(&mut self, job: Id, parts: Vec<KeyValue>) {
        self.submissions.add(job, parts);
    }

    /// Parts that no record refers to: they are removed when there is room.
    pub(crate) fn add_unreferenced_parts(&mut self, submissions: impl IntoIterator<Item = Vec<KeyValue>>) {
        let versioned = |parts: Vec<KeyValue>| parts.into_iter().map(VersionedKey::from).collect();
        self.unreferenced.add_submission_parts(submissions.into_iter().map(versioned));
    }

    /// A record of version 0.1 was read: it goes when all that it holds has been written anew.
    pub(crate) fn add_v0_1_key(&mut self, key: String, version: Revision) {
        self.unreferenced.add_v0_1_key(key, version);
    }

    /// A block was read.
    pub(crate) fn restore_block(&mut self, now: u64, block: StoredBlock) {
        self.blocks.restore(now, block);
    }

    /// Pages were read: takes in what they say of jobs' tasks and returns the placements among it.
    pub(crate) fn restore_pages(&mut self, pairs: Vec<KeyValue>, jobs: &mut BTreeMap<Id, Job>) -> Vec<StoredPlacement> {
        self.pages.restore(pairs, jobs)
    }

    /// A part of the list of owned machines was read.
    pub(crate) fn restore_owned_list(&mut self, key: String, version: Revision) {
        self.owned_list.restore(key, version);
    }

    /// The record of the machine types was read.
    pub(crate) fn restore_catalog(&mut self, version: Revision) {
        self.catalog.restore(version);
    }

    /// How much there is to write. Counts of writes begin anew.
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
