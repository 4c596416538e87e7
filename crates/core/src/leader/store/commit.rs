//! Sends transactions and resolves those with an unknown outcome.
//!
//! When a transaction gets no reply, its outcome is resolved by reading a key that it writes (its marker). While the
//! marker is unchanged, the same transaction is sent again: all copies have the same preconditions, so at most one of
//! them commits.

mod decisions;

use super::Store;
use super::changes::TransactionChanges;
use super::sources::{RecordSources, StoreContext};
use super::transaction::TransactionLimits;
use super::write_budget::{WriteDemand, leader_share};
use crate::io::{KvReply, KvRequest, RequestError};
use crate::records::keys;
use crate::step_down::ForeignWrite;
use decisions::{EarlierCopies, ReplyAction, UnchangedMarkerAction, reply_action, unchanged_marker_action};
use shaleshunt_wire::Revision;
use shaleshunt_wire::kv::{Precondition, Transaction};

/// Retries of an unanswered request, per heartbeat interval.
const RETRIES_PER_HEARTBEAT: u64 = 60;
/// Factor on the interval between transactions while the write budget is scarce. Fewer, fuller transactions make better
/// use of the task page that each of them writes.
const SCARCE_INTERVAL_FACTOR: f64 = 5.0;
/// As [`SCARCE_INTERVAL_FACTOR`], for small task pages, where good use of each page matters more.
const SCARCE_INTERVAL_FACTOR_SMALL_PAGES: f64 = 10.0;

/// The transaction in flight. Nothing else is written until its outcome is known.
#[derive(Debug)]
pub(super) struct InFlight {
    changes: TransactionChanges,
    /// A key that the transaction writes, with the version that it had before.
    marker: Precondition,
    copies: EarlierCopies,
    /// Whether a request about the transaction is in flight.
    awaiting_reply: bool,
}

impl InFlight {
    /// Starts a transaction that is about to be sent. `None` if it has no writes.
    fn new(changes: TransactionChanges) -> Option<InFlight> {
        let marker = changes.builder.marker()?;
        Some(InFlight { changes, marker, copies: EarlierCopies::Answered, awaiting_reply: true })
    }

    /// Returns the next request about the transaction, unless one is in flight.
    fn resume(&mut self) -> Option<CommitRequest> {
        if self.awaiting_reply {
            return None;
        }
        self.awaiting_reply = true;
        Some(if self.copies == EarlierCopies::Answered { self.send() } else { self.read_marker() })
    }

    fn send(&self) -> CommitRequest {
        let transaction = self.changes.builder.transaction().clone();
        CommitRequest { request: KvRequest::Transaction(transaction), step: CommitStep::Send }
    }

    fn read_marker(&self) -> CommitRequest {
        let key = self.marker.key.clone();
        CommitRequest { request: KvRequest::Get { key }, step: CommitStep::ReadMarker }
    }

    /// Builds a transaction without writes that succeeds if the marker has this version and the epoch is unchanged.
    fn compare_marker(&self, epoch_version: Revision, version: Revision) -> CommitRequest {
        let preconditions = vec![
            Precondition { key: keys::EPOCH.into(), version: epoch_version },
            Precondition { key: self.marker.key.clone(), version },
        ];
        let request = KvRequest::Transaction(Transaction { preconditions, writes: Vec::new() });
        CommitRequest { request, step: CommitStep::CompareMarker(version) }
    }

    fn into_committed(self, revision: Revision) -> CommitOutcome {
        CommitOutcome::Committed { changes: Box::new(self.changes), revision }
    }

    fn into_abandoned(self, conflicting: Vec<String>) -> CommitOutcome {
        CommitOutcome::Abandoned { changes: Box::new(self.changes), conflicting }
    }
}

/// Purpose of a request about the transaction in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum CommitStep {
    /// Commits the transaction.
    Send,
    /// Reads the marker.
    ReadMarker,
    /// Checks that the marker has this version in the leader's own epoch.
    CompareMarker(Revision),
}

/// A request about the transaction in flight. Its reply is passed to [`Store::handle_reply`].
#[derive(Debug)]
pub(crate) struct CommitRequest {
    pub request: KvRequest,
    pub step: CommitStep,
}

/// Outcome of the transaction in flight, as far as it is known after a reply.
#[derive(Debug)]
pub(crate) enum CommitOutcome {
    /// The outcome is unknown. [`Store::next_request`] returns the next step when it is due.
    Pending,
    /// The next request has to be sent immediately.
    SendRequest(CommitRequest),
    /// The transaction was committed.
    Committed { changes: Box<TransactionChanges>, revision: Revision },
    /// The transaction was not and can't be committed. `conflicting` holds the keys that conflicted.
    Abandoned { changes: Box<TransactionChanges>, conflicting: Vec<String> },
    /// Another writer changed a key that only the leader writes. Nothing more is sent.
    ForeignWrite(ForeignWrite),
    /// The transaction exceeds the store's limits, which have been lowered. The caller continues with
    /// [`Store::limits_lowered`] or drops the transaction with [`Store::discard_in_flight`].
    TooLarge(String),
    /// Another leader has been elected.
    EpochOver,
}

impl Store {
    /// Returns the request to send now: the next step of the transaction in flight, or a new transaction with all
    /// changes that are due.
    pub(crate) fn next_request(&mut self, ctx: &StoreContext, sources: &mut RecordSources) -> Option<CommitRequest> {
        let now = ctx.now.monotonic_ms;
        let rate = self.write_rate(ctx);
        self.budget.refill(now, rate);
        if now < self.next_commit_at_ms {
            return None;
        }
        match &mut self.in_flight {
            Some(in_flight) => in_flight.resume(),
            None => self.begin_transaction(ctx, sources, rate),
        }
    }

    /// The leader's current share of the store's write rate, in writes per second.
    fn write_rate(&self, ctx: &StoreContext) -> f64 {
        let demand = match (ctx.user_writes_waiting, self.queue.has_urgent_work()) {
            (true, _) => WriteDemand::UserWrites,
            (false, true) => WriteDemand::LeaderOnly,
            (false, false) => WriteDemand::Idle,
        };
        ctx.limits.write_rate() * leader_share(demand, ctx.tuning.write_share)
    }

    fn begin_transaction(
        &mut self,
        ctx: &StoreContext,
        sources: &mut RecordSources,
        rate: f64,
    ) -> Option<CommitRequest> {
        let writes = ctx.limits.max_writes().min(self.budget.whole_writes());
        if writes == 0 {
            return None;
        }
        let mut changes =
            TransactionChanges::new(TransactionLimits { writes, preconditions: ctx.limits.max_preconditions() });
        changes.builder.require_epoch(ctx.epoch_version);
        self.collect_changes(ctx, sources, &mut changes, rate);
        let in_flight = InFlight::new(changes)?;
        // Changes that become due during this interval share the next transaction.
        self.next_commit_at_ms = ctx.now.monotonic_ms + commit_interval_ms(ctx, self.budget.is_scarce(rate));
        let transaction = in_flight.changes.builder.transaction();
        self.budget.spend(transaction.writes.len());
        self.write_counts.count(transaction);
        let request = in_flight.send();
        self.in_flight = Some(in_flight);
        Some(request)
    }

    /// Handles the reply to a request about the transaction in flight, or its failure.
    pub(crate) fn handle_reply(
        &mut self,
        ctx: &StoreContext,
        step: &CommitStep,
        result: Result<KvReply, RequestError>,
    ) -> CommitOutcome {
        let Some(mut in_flight) = self.in_flight.take() else { return CommitOutcome::Pending };
        in_flight.awaiting_reply = false;
        match step {
            CommitStep::Send => self.handle_transaction_reply(ctx, in_flight, result),
            CommitStep::ReadMarker => self.handle_marker_read(ctx, in_flight, result),
            CommitStep::CompareMarker(version) => self.handle_marker_comparison(ctx, in_flight, *version, result),
        }
    }

    fn handle_transaction_reply(
        &mut self,
        ctx: &StoreContext,
        mut in_flight: InFlight,
        result: Result<KvReply, RequestError>,
    ) -> CommitOutcome {
        match reply_action(&in_flight.copies, result) {
            ReplyAction::Apply(revision) => in_flight.into_committed(revision),
            ReplyAction::StepDown => CommitOutcome::EpochOver,
            ReplyAction::Abandon(conflicting) => self.abandon(in_flight, conflicting),
            ReplyAction::ReadMarkerNow(copies) => {
                in_flight.copies = copies;
                let request = in_flight.read_marker();
                self.keep_and_send(in_flight, request)
            }
            ReplyAction::TooLarge(reason) => {
                self.in_flight = Some(in_flight);
                CommitOutcome::TooLarge(reason)
            }
            ReplyAction::Retry => self.retry_later(ctx, in_flight),
            ReplyAction::ReadMarkerLater => {
                // An earlier conflict or rejection still leads to abandoning the transaction.
                if in_flight.copies == EarlierCopies::Answered {
                    in_flight.copies = EarlierCopies::Unanswered;
                }
                self.retry_later(ctx, in_flight)
            }
        }
    }

    fn handle_marker_read(
        &mut self,
        ctx: &StoreContext,
        in_flight: InFlight,
        result: Result<KvReply, RequestError>,
    ) -> CommitOutcome {
        let version = match result {
            Ok(KvReply::Found(pair)) => pair.version,
            Ok(KvReply::Missing) => Revision::ABSENT,
            _ => return self.retry_later(ctx, in_flight),
        };
        if version != in_flight.marker.version {
            // This leader made the change if the epoch is unchanged while the marker has this version.
            let request = in_flight.compare_marker(ctx.epoch_version, version);
            return self.keep_and_send(in_flight, request);
        }
        match unchanged_marker_action(in_flight.copies.clone()) {
            UnchangedMarkerAction::Resend => {
                let request = in_flight.send();
                self.keep_and_send(in_flight, request)
            }
            UnchangedMarkerAction::Abandon(conflicting) => self.abandon(in_flight, conflicting),
        }
    }

    fn handle_marker_comparison(
        &mut self,
        ctx: &StoreContext,
        in_flight: InFlight,
        version: Revision,
        result: Result<KvReply, RequestError>,
    ) -> CommitOutcome {
        match result {
            Ok(KvReply::Committed(_)) => in_flight.into_committed(version),
            Ok(KvReply::Conflict(_)) => {
                // `awaiting_reply` keeps `next_request` from sending anything more.
                self.in_flight = Some(InFlight { awaiting_reply: true, ..in_flight });
                CommitOutcome::EpochOver
            }
            _ => self.retry_later(ctx, in_flight),
        }
    }

    /// Continues after the limits were lowered for a transaction that was too large; the next one is smaller. If an
    /// earlier copy may have been committed, its outcome is resolved first.
    pub(crate) fn limits_lowered(&mut self) -> CommitOutcome {
        let Some(mut in_flight) = self.in_flight.take() else { return CommitOutcome::Pending };
        if in_flight.copies == EarlierCopies::Answered {
            return in_flight.into_abandoned(Vec::new());
        }
        in_flight.copies = EarlierCopies::UnansweredThenRejected;
        self.in_flight = Some(in_flight);
        CommitOutcome::Pending
    }

    /// Drops the transaction in flight, when the limits can't be lowered and the leader steps down.
    pub(crate) fn discard_in_flight(&mut self) {
        self.in_flight = None;
    }

    /// Keeps the transaction in flight and returns the next request about it.
    fn keep_and_send(&mut self, mut in_flight: InFlight, request: CommitRequest) -> CommitOutcome {
        in_flight.awaiting_reply = true;
        self.in_flight = Some(in_flight);
        CommitOutcome::SendRequest(request)
    }

    /// Keeps the transaction in flight and delays its next step.
    fn retry_later(&mut self, ctx: &StoreContext, in_flight: InFlight) -> CommitOutcome {
        let delay_ms = ctx.settings.heartbeat_interval_ms() / RETRIES_PER_HEARTBEAT;
        self.next_commit_at_ms = ctx.now.monotonic_ms + delay_ms;
        self.in_flight = Some(in_flight);
        CommitOutcome::Pending
    }

    /// Ends a transaction of which no copy has been or can be committed. A conflict on a job's record is a user's
    /// change. All other keys are written by the leader alone: a conflict on one of them leaves the transaction in
    /// flight, so that nothing more is sent.
    fn abandon(&mut self, mut in_flight: InFlight, conflicting: Vec<String>) -> CommitOutcome {
        let Some(foreign_write) = in_flight.changes.foreign_write(&conflicting) else {
            return in_flight.into_abandoned(conflicting);
        };
        in_flight.awaiting_reply = true;
        self.in_flight = Some(in_flight);
        CommitOutcome::ForeignWrite(foreign_write)
    }
}

/// Minimum interval between transactions, in milliseconds.
fn commit_interval_ms(ctx: &StoreContext, is_budget_scarce: bool) -> u64 {
    let interval_ms = 1000.0 / (ctx.settings.kv_rps * ctx.tuning.transaction_request_share).max(1.0);
    let has_small_pages = ctx.limits.max_page_bytes() < ctx.settings.store_quota.max_value_bytes() / 2;
    let scarce_interval_ms =
        interval_ms * if has_small_pages { SCARCE_INTERVAL_FACTOR_SMALL_PAGES } else { SCARCE_INTERVAL_FACTOR };
    if is_budget_scarce { scarce_interval_ms as u64 } else { interval_ms as u64 }
}
