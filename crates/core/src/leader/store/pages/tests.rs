use super::*;
use crate::leader::store::transaction::TransactionLimits;
use crate::model::TaskPlacement;
use crate::model::samples::{AGENT_EPOCH, attempt, job};
use shaleshunt_wire::kv::{Transaction, Write};

const PAGE_BYTES: usize = 400;

fn jobs_with(tasks: u32) -> BTreeMap<Id, Job> {
    let job = job(tasks);
    BTreeMap::from([(job.id.clone(), job)])
}

fn only_job(jobs: &mut BTreeMap<Id, Job>) -> &mut Job {
    jobs.values_mut().next().unwrap()
}

fn builder() -> TransactionBuilder {
    TransactionBuilder::new(TransactionLimits { writes: 24, preconditions: 96 })
}

fn place(job: &mut Job, task: u32) {
    let (placement_id, attempt) = (u64::from(task), attempt(u64::from(task) + 1));
    let placement =
        TaskPlacement { machine: "vm-1".into(), placement_id, attempt, agent_epoch: AGENT_EPOCH, planned: true };
    job.tasks.add_placement(task, placement, "a");
    job.writes.tasks.insert(task, 1);
}

fn finish(job: &mut Job, tasks: impl IntoIterator<Item = u32>) {
    for task in tasks {
        job.mark_done(task);
        job.writes.tasks.insert(task, 1);
    }
}

/// Writes all pending entries of the job, in as many transactions as needed. Returns the numbers of the written pages.
fn write_pending(pages: &mut TaskPages, jobs: &mut BTreeMap<Id, Job>) -> Vec<u32> {
    let mut written = Vec::new();
    while !only_job(jobs).writes.tasks.is_empty() {
        let (mut builder, mut changes) = (builder(), PageChanges::default());
        pages.collect_entries(&mut builder, &mut changes, only_job(jobs), PAGE_BYTES);
        pages.collect_drafts(&mut builder, &mut changes);
        written.extend(changes.written.iter().map(PageDraft::number));
        pages.apply_committed(changes, jobs, Revision(1));
    }
    written
}

/// The key-value pairs that a new leader reads after the transaction.
fn stored_pairs(transaction: &Transaction, version: u64) -> Vec<KeyValue> {
    let value_of = |write: &Write| match write {
        Write::Set { key, value, .. } => {
            Some(KeyValue { key: key.clone(), value: value.clone(), version: Revision(version), lease: None })
        }
        Write::Drop { .. } => None,
    };
    transaction.writes.iter().filter_map(value_of).collect()
}

#[test]
fn the_newest_page_is_rewritten_until_it_is_full() {
    let (mut pages, mut jobs) = (TaskPages::default(), jobs_with(100));
    finish(only_job(&mut jobs), [0]);
    assert_eq!(write_pending(&mut pages, &mut jobs), [1]);
    finish(only_job(&mut jobs), [2]);
    assert_eq!(write_pending(&mut pages, &mut jobs), [1]);
    finish(only_job(&mut jobs), (4..96).step_by(2));
    assert_eq!(
        write_pending(&mut pages, &mut jobs),
        [1, 2, 2],
        "twenty tasks per transaction; the newest page is used until they don't fit"
    );
    assert_eq!((pages.len(), only_job(&mut jobs).writes.tasks.len()), (2, 0));
}

#[test]
fn a_placement_requires_its_jobs_version_and_is_reported_once_committed() {
    let (mut pages, mut jobs) = (TaskPages::default(), jobs_with(3));
    place(only_job(&mut jobs), 1);
    let (mut builder, mut changes) = (builder(), PageChanges::default());
    pages.collect_entries(&mut builder, &mut changes, only_job(&mut jobs), PAGE_BYTES);
    pages.collect_drafts(&mut builder, &mut changes);
    assert_eq!(builder.required_version("j/wk-1"), Revision(1));
    let planned = pages.apply_committed(changes, &mut jobs, Revision(7));
    assert_eq!(planned, [PlannedPlacement { machine: "vm-1".into(), placement_id: 1 }]);
}

#[test]
fn abandoned_entries_are_reported_and_stay_pending() {
    let (pages, mut jobs) = (TaskPages::default(), jobs_with(3));
    place(only_job(&mut jobs), 1);
    let (mut builder, mut changes) = (builder(), PageChanges::default());
    pages.collect_entries(&mut builder, &mut changes, only_job(&mut jobs), PAGE_BYTES);
    assert!(changes.has_drafts() && changes.has_entries_of(&"wk-1".into()));
    let (abandoned, planned) = changes.into_abandoned();
    assert_eq!((abandoned, planned.len()), (vec!["wk-1".into()], 1));
    assert_eq!(only_job(&mut jobs).writes.tasks.len(), 1);
}

#[test]
fn entries_that_do_not_fit_stay_pending() {
    let (pages, mut jobs) = (TaskPages::default(), jobs_with(3));
    finish(only_job(&mut jobs), [0]);
    let mut builder = TransactionBuilder::new(TransactionLimits { writes: 0, preconditions: 0 });
    let mut changes = PageChanges::default();
    assert!(!pages.collect_entries(&mut builder, &mut changes, only_job(&mut jobs), PAGE_BYTES));
    assert!(!changes.has_drafts());
}

#[test]
fn an_old_page_without_live_entries_is_removed() {
    let (mut pages, mut jobs) = (TaskPages::default(), jobs_with(100));
    finish(only_job(&mut jobs), [0]);
    write_pending(&mut pages, &mut jobs);
    finish(only_job(&mut jobs), (2..96).step_by(2));
    write_pending(&mut pages, &mut jobs);
    assert_eq!(pages.len(), 2);
    let job = jobs.remove("wk-1").unwrap();
    pages.forget_job(&job);
    let (mut builder, mut changes) = (builder(), PageChanges::default());
    pages.collect_unreferenced(&mut builder, &mut changes);
    assert_eq!(changes.removed, [1], "the newest page stays, as it is rewritten");
}

#[test]
fn a_sparse_old_page_is_compacted() {
    let (mut pages, mut jobs) = (TaskPages::default(), jobs_with(100));
    finish(only_job(&mut jobs), (0..60).step_by(2));
    write_pending(&mut pages, &mut jobs);
    // All but a few of those tasks get an entry on a newer page.
    only_job(&mut jobs).writes.tasks.extend((4..60).step_by(2).map(|task| (task, 2)));
    assert_eq!(write_pending(&mut pages, &mut jobs), [2, 2]);
    let compaction = pages.begin_compaction().unwrap();
    assert_eq!((compaction.page, &compaction.jobs[..]), (1, &["wk-1".into()][..]));
    assert!(pages.begin_compaction().is_none(), "one compaction at a time");
    only_job(&mut jobs).writes.tasks.extend([(0, 3), (2, 3)]);
    write_pending(&mut pages, &mut jobs);
    assert!(pages.begin_compaction().is_none());
    assert_eq!(only_job(&mut jobs).writes.page_of_task[0], 2);
}

#[test]
fn restored_pages_yield_the_last_entry_of_each_task() {
    let (pages, mut jobs) = (TaskPages::default(), jobs_with(5));
    finish(only_job(&mut jobs), [0]);
    place(only_job(&mut jobs), 1);
    let (mut builder, mut changes) = (builder(), PageChanges::default());
    pages.collect_entries(&mut builder, &mut changes, only_job(&mut jobs), PAGE_BYTES);
    pages.collect_drafts(&mut builder, &mut changes);

    let (mut restored, mut jobs) = (TaskPages::default(), jobs_with(5));
    let placements = restored.restore(stored_pairs(builder.transaction(), 9), &mut jobs);
    let [placement] = &placements[..] else { panic!("one task was placed") };
    assert_eq!((&*placement.job, placement.task, &*placement.machine), ("wk-1", 1, "vm-1"));
    assert_eq!((placement.agent_epoch, placement.attempt), (AGENT_EPOCH, attempt(2)));
    let job = only_job(&mut jobs);
    assert!(job.tasks.is_done(0) && job.tasks.has_started() && job.tasks.done_count() == 1);
    assert_eq!(job.writes.page_of_task, [1, 1, 0, 0, 0]);
    finish(job, [2]);
    assert_eq!(write_pending(&mut restored, &mut jobs), [2], "restored pages are not rewritten");
}
