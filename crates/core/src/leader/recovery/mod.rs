//! Recovery: a new leader reads all records from the key-value store, restores its state from them and becomes active.
//!
//! `Recovery` owns the scans in flight and the records that have been read but not restored. Records of unfinished jobs
//! are restored immediately. Other records refer to jobs and are kept until everything has been read. After that
//! `Recovery` is empty and no longer used.

mod restore;
mod v0_1;

use crate::controller::Context;
use crate::io::{KvReply, KvRequest, RequestError};
use crate::leader::retry_queue::RetryQueue;
use crate::leader::store::SplitSubmissionRead;
use crate::leader::{Leader, LeaderRequest};
use crate::records::keys;
use crate::step_down::StepDownReason;
use shaleshunt_wire::cloud::ScaleOutRequest;
use shaleshunt_wire::kv::{KeyValue, Page};

/// Retries of an unanswered scan, per heartbeat interval. Immediate retries would add to the load after an outage, when
/// all clients of the store send requests at once. The leader lease limits how long retrying is useful.
const RETRIES_PER_HEARTBEAT: u64 = 60;

/// Kinds of records that are read during recovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RecordKind {
    Jobs,
    SubmissionParts,
    TaskPages,
    MachineBlocks,
    ScaleOuts,
    /// The machine types and the list of owned machines.
    Cluster,
    V01Outcomes,
    V01Machines,
}

impl RecordKind {
    /// All kinds, in the order in which their scans are sent.
    const ALL: [RecordKind; 8] = [
        RecordKind::Jobs,
        RecordKind::SubmissionParts,
        RecordKind::TaskPages,
        RecordKind::MachineBlocks,
        RecordKind::ScaleOuts,
        RecordKind::Cluster,
        RecordKind::V01Outcomes,
        RecordKind::V01Machines,
    ];

    /// Prefix of the keys.
    fn prefix(self) -> &'static str {
        match self {
            RecordKind::Jobs => keys::JOBS,
            RecordKind::SubmissionParts => keys::SUBMISSION_PARTS,
            RecordKind::TaskPages => keys::TASK_PAGES,
            RecordKind::MachineBlocks => keys::MACHINE_BLOCKS,
            RecordKind::ScaleOuts => keys::SCALE_OUTS,
            RecordKind::Cluster => keys::CLUSTER,
            RecordKind::V01Outcomes => keys::V01_OUTCOMES,
            RecordKind::V01Machines => keys::V01_MACHINES,
        }
    }
}

/// A page of a scan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ScanPosition {
    kind: RecordKind,
    /// The page starts after this key. Empty for the first page.
    after: String,
}

/// Progress of the recovery, and the records read so far.
#[derive(Debug, Default)]
pub(crate) struct Recovery {
    scans_in_flight: u32,
    retries: RetryQueue<ScanPosition>,
    submission_parts: Vec<KeyValue>,
    split_records: Vec<SplitSubmissionRead>,
    pages: Vec<KeyValue>,
    blocks: Vec<KeyValue>,
    v0_1_machines: Vec<KeyValue>,
    v0_1_outcomes: Vec<KeyValue>,
}

impl Recovery {
    /// Keeps the record of a job with a split submission until all parts have been read.
    pub(crate) fn defer_split_submission(&mut self, read: SplitSubmissionRead) {
        self.split_records.push(read);
    }

    /// Whether everything has been read.
    fn is_complete(&self) -> bool {
        self.scans_in_flight == 0 && self.retries.is_empty()
    }
}

impl Leader {
    /// Starts the scans of all records.
    pub(super) fn begin_recovery(&mut self, ctx: &mut Context) {
        for kind in RecordKind::ALL {
            self.scan(ctx, ScanPosition { kind, after: String::new() });
        }
    }

    fn scan(&mut self, ctx: &mut Context, position: ScanPosition) {
        self.recovery.scans_in_flight += 1;
        let request = KvRequest::Scan { prefix: position.kind.prefix().into(), after: position.after.clone() };
        let wait = self.pending_request(LeaderRequest::ScanRecords(position));
        ctx.send_kv(request, wait);
    }

    /// Repeats unanswered scans that are due.
    pub(super) fn retry_scans(&mut self, ctx: &mut Context) {
        while let Some(position) = self.recovery.retries.pop_due(ctx.now.monotonic_ms) {
            self.scan(ctx, position);
        }
    }

    /// Handles the reply to a scan, or its failure.
    pub(super) fn handle_scan_reply(
        &mut self,
        ctx: &mut Context,
        position: ScanPosition,
        result: Result<KvReply, RequestError>,
    ) {
        match result {
            Ok(KvReply::Page(page)) => self.handle_scan_page(ctx, position.kind, page),
            Ok(_) => self.step_down = Some(StepDownReason::RecordsUnreadable),
            Err(_) => {
                self.recovery.scans_in_flight -= 1;
                let delay_ms = ctx.settings.heartbeat_interval_ms() / RETRIES_PER_HEARTBEAT;
                self.recovery.retries.push(ctx.now.monotonic_ms + delay_ms, position);
            }
        }
    }

    fn handle_scan_page(&mut self, ctx: &mut Context, kind: RecordKind, page: Page) {
        let last = page.pairs.last().map(|pair| pair.key.clone());
        if kind == RecordKind::Jobs {
            self.watch.begin_at(page.revision);
        }
        for pair in page.pairs {
            self.restore_or_keep_record(ctx, kind, pair);
        }
        self.recovery.scans_in_flight -= 1;
        match last {
            Some(after) if page.truncated => self.scan(ctx, ScanPosition { kind, after }),
            _ if self.recovery.is_complete() => self.activate(ctx),
            _ => {}
        }
    }

    fn restore_or_keep_record(&mut self, ctx: &mut Context, kind: RecordKind, pair: KeyValue) {
        match kind {
            RecordKind::Jobs => self.apply_job_record(ctx, &pair.key, pair.value, pair.version),
            RecordKind::SubmissionParts => self.recovery.submission_parts.push(pair),
            RecordKind::TaskPages => self.recovery.pages.push(pair),
            RecordKind::MachineBlocks => self.recovery.blocks.push(pair),
            RecordKind::V01Outcomes => self.recovery.v0_1_outcomes.push(pair),
            RecordKind::V01Machines => self.recovery.v0_1_machines.push(pair),
            RecordKind::ScaleOuts => self.restore_scale_out(pair),
            RecordKind::Cluster if pair.key.starts_with(keys::OWNED) => self.restore_owned_list(pair),
            RecordKind::Cluster if pair.key == keys::CATALOG => self.restore_catalog(ctx, pair),
            RecordKind::Cluster => {}
        }
    }

    fn restore_scale_out(&mut self, pair: KeyValue) {
        if let Ok(request) = serde_json::from_value::<ScaleOutRequest>(pair.value) {
            self.autoscaler.scale_outs.restore(request, pair.version);
        }
    }

    fn restore_owned_list(&mut self, pair: KeyValue) {
        self.autoscaler.owned.load_part(serde_json::from_value(pair.value).unwrap_or_default());
        self.store.restore_owned_list(pair.key, pair.version);
    }

    fn restore_catalog(&mut self, ctx: &mut Context, pair: KeyValue) {
        self.store.restore_catalog(pair.version);
        if ctx.catalog.is_none() {
            ctx.catalog = serde_json::from_value(pair.value).ok();
        }
    }
}
