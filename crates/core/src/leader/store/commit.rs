//! Sending a transaction, and finding out what became of it.
//!
//! A transaction that brought no answer is settled by reading a key that it writes (its marker), and
//! is sent again as it was while that key has not changed: whichever copy comes first counts.

use super::Store;
use super::changes::TransactionChanges;
use super::sources::{RecordSources, StoreContext};
use super::transaction::TransactionLimits;
use super::write_budget::{WriteDemand, leader_share};
use crate::io::{KvReply, KvRequest, RequestError};
use crate::records::keys;
use crate::step_down::ForeignWrite;
use shaleshunt_wire::Revision;
use shaleshunt_wire::kv::{Precondition, Transaction};

/// A transaction without an answer is tried again so many times in a heartbeat interval.
const RETRIES_PER_HEARTBEAT: u64 = 60;
/// With few writes in hand transactions keep so many times the usual distance: each is to be worth
/// its page, the more so where pages are small.
const SCARCE_GAP: f64 = 5.0;
const SCARCE_GAP_SMALL_PAGES: f64 = 10.0;

/// Whether an earlier copy of the transaction under way may have been carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum EarlierCopies {
    /// None: each was answered.
    Answered,
    /// One brought no answer.
    Unanswered,
    /// One brought no answer, and a later one was rejected as too large: it is not sent again.
    UnansweredThenRejected,
    /// One brought no answer, and these keys of a later one conflicted.
    UnansweredThenConflict(Vec<String>),
}

/// What is to be done after the answer to a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum AfterReply {
    /// It was carried out at this revision.
    Apply(Revision),
    /// The epoch is over.
    StepDown,
    /// Nothing was changed: these keys conflicted.
    Abandon(Vec<String>),
    /// It conflicted, perhaps with an earlier copy of itself: that is found out at once.
    Settle(EarlierCopies),
    /// It is too large for limits that have fallen.
    TooLarge(String),
    /// It was not carried out and is sent again after a pause.
    Retry,
    /// It may have been carried out: that is found out after a pause.
    SettleLater,
}

/// What follows from the answer to a transaction.
pub(super) fn after_reply(copies: &EarlierCopies, result: Result<KvReply, RequestError>) -> AfterReply {
    let is_answered = *copies == EarlierCopies::Answered;
    match result {
        Ok(KvReply::Committed(revision)) => AfterReply::Apply(revision),
        Ok(KvReply::Conflict(failed)) if failed.iter().any(|key| key == keys::EPOCH) => AfterReply::StepDown,
        Ok(KvReply::Conflict(failed)) if is_answered => AfterReply::Abandon(failed),
        Ok(KvReply::Conflict(failed)) if failed.is_empty() => AfterReply::Settle(EarlierCopies::Unanswered),
        Ok(KvReply::Conflict(failed)) => AfterReply::Settle(EarlierCopies::UnansweredThenConflict(failed)),
        Err(
            RequestError::NotSent | RequestError::LocalOverload | RequestError::Unavailable | RequestError::Throttled,
        ) => AfterReply::Retry,
        // Too large, as all else is checked before it is sent.
        Err(RequestError::Rejected(reason)) if *copies != EarlierCopies::UnansweredThenRejected => {
            AfterReply::TooLarge(reason)
        }
        _ => AfterReply::SettleLater,
    }
}

/// What is to be done with a transaction of which it is known that no copy was carried out so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum AfterSettling {
    /// It is sent once more.
    Resend,
    /// It is given up for one that is smaller or without what conflicted. Both write the marker: only
    /// one of the two can be carried out.
    Abandon(Vec<String>),
}

/// What follows when the marker has not changed.
pub(super) fn after_unchanged_marker(copies: EarlierCopies) -> AfterSettling {
    match copies {
        EarlierCopies::Answered | EarlierCopies::Unanswered => AfterSettling::Resend,
        EarlierCopies::UnansweredThenRejected => AfterSettling::Abandon(Vec::new()),
        EarlierCopies::UnansweredThenConflict(failed) => AfterSettling::Abandon(failed),
    }
}

/// The transaction under way. Nothing else is written before it is known what became of it.
#[derive(Debug)]
pub(super) struct InFlight {
    changes: TransactionChanges,
    /// A key that it writes, and its version before.
    marker: Precondition,
    copies: EarlierCopies,
    /// A request about it is under way.
    awaiting_reply: bool,
}

impl InFlight {
    /// A transaction that is being sent; none if it has no writes.
    fn new(changes: TransactionChanges) -> Option<InFlight> {
        let marker = changes.builder.marker()?;
        Some(InFlight { changes, marker, copies: EarlierCopies::Answered, awaiting_reply: true })
    }

    /// The next request about it, unless one is under way.
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

    /// Asks whether the marker has a version while the epoch holds.
    fn compare_marker(&self, epoch_version: Revision, version: Revision) -> CommitRequest {
        let conditions = vec![
            Precondition { key: keys::EPOCH.into(), version: epoch_version },
            Precondition { key: self.marker.key.clone(), version },
        ];
        let request = KvRequest::Transaction(Transaction { preconditions: conditions, writes: Vec::new() });
        CommitRequest { request, step: CommitStep::CompareMarker(version) }
    }

    fn into_committed(self, revision: Revision) -> CommitOutcome {
        CommitOutcome::Committed { changes: Box::new(self.changes), revision }
    }

    fn into_abandoned(self, conflicting: Vec<String>) -> CommitOutcome {
        CommitOutcome::Abandoned { changes: Box::new(self.changes), conflicting }
    }
}

/// What a request about the transaction under way is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum CommitStep {
    /// It is carried out.
    Send,
    /// Its marker is read.
    ReadMarker,
    /// Whether the marker had this version while the epoch held.
    CompareMarker(Revision),
}

/// A request about the transaction under way. Its reply goes to [`Store::handle_reply`].
#[derive(Debug)]
pub(crate) struct CommitRequest {
    pub request: KvRequest,
    pub step: CommitStep,
}

/// What has become of the transaction under way.
#[derive(Debug)]
pub(crate) enum CommitOutcome {
    /// That is not known yet: [`Store::next_request`] goes on with it.
    Pending,
    /// The next request about it.
    SendRequest(CommitRequest),
    /// It was carried out.
    Committed { changes: Box<TransactionChanges>, revision: Revision },
    /// It was not carried out and never will be; these keys conflicted.
    Abandoned { changes: Box<TransactionChanges>, conflicting: Vec<String> },
    /// A key that only the leader writes was written by somebody else. Nothing more is sent.
    ForeignWrite(ForeignWrite),
    /// It is too large for limits that have fallen. [`Store::limits_lowered`] goes on with it, or
    /// [`Store::discard_in_flight`] ends it.
    TooLarge(String),
    /// The epoch is over.
    EpochOver,
}

impl Store {
    /// What is to be sent now: the next step of the transaction under way, or what is due.
    pub(crate) fn next_request(&mut self, ctx: &StoreContext, sources: &mut RecordSources) -> Option<CommitRequest> {
        let now = ctx.now.monotonic_ms;
        let rate = self.write_rate(ctx);
        self.budget.refill(now, rate);
        if now < self.next_commit_at {
            return None;
        }
        match &mut self.in_flight {
            Some(in_flight) => in_flight.resume(),
            None => self.begin_transaction(ctx, sources, rate),
        }
    }

    /// Writes a second that are the leader's now.
    fn write_rate(&self, ctx: &StoreContext) -> f64 {
        let demand = match (ctx.submissions_waiting, self.queue.has_urgent_work()) {
            (true, _) => WriteDemand::Submissions,
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
            TransactionChanges::new(TransactionLimits { writes, conditions: ctx.limits.max_preconditions() });
        changes.builder.require_epoch(ctx.epoch_version);
        self.collect_changes(ctx, sources, &mut changes, rate);
        let in_flight = InFlight::new(changes)?;
        // What becomes due meanwhile shares the next one.
        self.next_commit_at = ctx.now.monotonic_ms + commit_gap_ms(ctx, self.budget.is_scarce(rate));
        let transaction = in_flight.changes.builder.transaction();
        self.budget.spend(transaction.writes.len());
        self.write_counts.count(transaction);
        let request = in_flight.send();
        self.in_flight = Some(in_flight);
        Some(request)
    }

    /// A request about the transaction under way was answered, or not.
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
        match after_reply(&in_flight.copies, result) {
            AfterReply::Apply(revision) => in_flight.into_committed(revision),
            AfterReply::StepDown => CommitOutcome::EpochOver,
            AfterReply::Abandon(conflicting) => self.abandon(in_flight, conflicting),
            AfterReply::Settle(copies) => {
                in_flight.copies = copies;
                let request = in_flight.read_marker();
                self.keep(in_flight, request)
            }
            AfterReply::TooLarge(reason) => {
                self.in_flight = Some(in_flight);
                CommitOutcome::TooLarge(reason)
            }
            AfterReply::Retry => self.pause(ctx, in_flight),
            AfterReply::SettleLater => {
                // What conflicted or was rejected before still is to be given up.
                if in_flight.copies == EarlierCopies::Answered {
                    in_flight.copies = EarlierCopies::Unanswered;
                }
                self.pause(ctx, in_flight)
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
            _ => return self.pause(ctx, in_flight),
        };
        if version != in_flight.marker.version {
            // Changed: by us, if the epoch is still ours at this version of it.
            let request = in_flight.compare_marker(ctx.epoch_version, version);
            return self.keep(in_flight, request);
        }
        match after_unchanged_marker(in_flight.copies.clone()) {
            AfterSettling::Resend => {
                let request = in_flight.send();
                self.keep(in_flight, request)
            }
            AfterSettling::Abandon(conflicting) => self.abandon(in_flight, conflicting),
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
                // Nothing more is sent.
                self.in_flight = Some(InFlight { awaiting_reply: true, ..in_flight });
                CommitOutcome::EpochOver
            }
            _ => self.pause(ctx, in_flight),
        }
    }

    /// The limits have been lowered after a transaction was too large: what follows is smaller. If an
    /// earlier copy may have been carried out, that is settled first.
    pub(crate) fn limits_lowered(&mut self) -> CommitOutcome {
        let Some(mut in_flight) = self.in_flight.take() else { return CommitOutcome::Pending };
        if in_flight.copies == EarlierCopies::Answered {
            return in_flight.into_abandoned(Vec::new());
        }
        in_flight.copies = EarlierCopies::UnansweredThenRejected;
        self.in_flight = Some(in_flight);
        CommitOutcome::Pending
    }

    /// The limits can't be lowered: the transaction is given up with the leadership.
    pub(crate) fn discard_in_flight(&mut self) {
        self.in_flight = None;
    }

    /// Keeps the transaction while a request about it is under way.
    fn keep(&mut self, mut in_flight: InFlight, request: CommitRequest) -> CommitOutcome {
        in_flight.awaiting_reply = true;
        self.in_flight = Some(in_flight);
        CommitOutcome::SendRequest(request)
    }

    /// Keeps the transaction and goes on with it after a while.
    fn pause(&mut self, ctx: &StoreContext, in_flight: InFlight) -> CommitOutcome {
        let pause_ms = ctx.settings.heartbeat_interval_ms() / RETRIES_PER_HEARTBEAT;
        self.next_commit_at = ctx.now.monotonic_ms + pause_ms;
        self.in_flight = Some(in_flight);
        CommitOutcome::Pending
    }

    /// No copy was or will be carried out. Conflicts on jobs' records are users' changes; any other
    /// key is written by the leader alone: then the transaction stays under way, so that nothing more is
    /// sent.
    fn abandon(&mut self, mut in_flight: InFlight, conflicting: Vec<String>) -> CommitOutcome {
        let Some(write) = in_flight.changes.foreign_write(&conflicting) else {
            return in_flight.into_abandoned(conflicting);
        };
        in_flight.awaiting_reply = true;
        self.in_flight = Some(in_flight);
        CommitOutcome::ForeignWrite(write)
    }
}

/// Time from one transaction to the next.
fn commit_gap_ms(ctx: &StoreContext, is_budget_scarce: bool) -> u64 {
    let gap = 1000.0 / (ctx.settings.kv_rps * ctx.tuning.transaction_request_share).max(1.0);
    let has_small_pages = ctx.limits.max_page_bytes() < ctx.settings.store_quota.max_value_bytes() / 2;
    let scarce_gap = gap * if has_small_pages { SCARCE_GAP_SMALL_PAGES } else { SCARCE_GAP };
    if is_budget_scarce { scarce_gap as u64 } else { gap as u64 }
}

#[cfg(test)]
mod tests;
