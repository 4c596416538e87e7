//! Sending a transaction, and finding out what became of it.
//!
//! A transaction that brought no answer is settled by reading a key that it writes (its marker), and
//! is sent again as it was while that key has not changed: whichever copy comes first counts.

use super::changes::Changes;
use super::transaction::TransactionLimits;
use super::write_budget::{WriteDemand, leader_share};
use crate::controller::Context;
use crate::event::Event;
use crate::io::{KvReply, KvRequest, RequestError};
use crate::leader::step_down::{ForeignWrite, StepDown};
use crate::leader::{Leader, LeaderRequest};
use crate::records::keys;
use shaleshunt_wire::Revision;
use shaleshunt_wire::kv::{Condition, Transaction, Write};

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
    changes: Changes,
    /// A key that it writes, and its version before.
    marker: Condition,
    copies: EarlierCopies,
    /// A request about it is under way.
    awaiting_reply: bool,
}

impl InFlight {
    /// A transaction that is being sent; none if it has no writes.
    fn new(changes: Changes) -> Option<InFlight> {
        let marker = changes.builder.marker()?;
        Some(InFlight { changes, marker, copies: EarlierCopies::Answered, awaiting_reply: true })
    }

    fn send(&self) -> KvRequest {
        KvRequest::Transaction(self.changes.builder.transaction().clone())
    }

    fn read_marker(&self) -> KvRequest {
        KvRequest::Get { key: self.marker.path.clone() }
    }
}

impl Leader {
    /// Sends what is due, if nothing is under way.
    pub(crate) fn commit(&mut self, ctx: &mut Context) {
        let now = ctx.now.monotonic_ms;
        let rate = self.write_rate(ctx);
        self.store.budget.refill(now, rate);
        if now < self.store.next_commit_at {
            return;
        }
        if self.store.in_flight.is_some() {
            self.resume_in_flight(ctx);
        } else {
            self.begin_transaction(ctx, rate);
        }
    }

    /// Writes a second that are the leader's now.
    fn write_rate(&self, ctx: &Context) -> f64 {
        let demand = match (ctx.submissions_waiting(), self.store.queue.has_urgent_work()) {
            (true, _) => WriteDemand::Submissions,
            (false, true) => WriteDemand::LeaderOnly,
            (false, false) => WriteDemand::Idle,
        };
        ctx.limits.rate() * leader_share(demand, ctx.tuning.write_share)
    }

    /// Asks about the transaction under way, or sends it again, unless a request is under way.
    fn resume_in_flight(&mut self, ctx: &mut Context) {
        let Some(in_flight) = self.store.in_flight.as_mut().filter(|in_flight| !in_flight.awaiting_reply) else {
            return;
        };
        in_flight.awaiting_reply = true;
        let (request, step) = match in_flight.copies {
            EarlierCopies::Answered => (in_flight.send(), LeaderRequest::Commit),
            _ => (in_flight.read_marker(), LeaderRequest::ReadMarker),
        };
        let wait = self.wait(step);
        ctx.send_kv(request, wait);
    }

    fn begin_transaction(&mut self, ctx: &mut Context, rate: f64) {
        let writes = ctx.limits.ops().min(self.store.budget.whole_writes());
        if writes == 0 {
            return;
        }
        let mut changes = Changes::new(TransactionLimits { writes, conditions: ctx.limits.conditions() });
        changes.builder.require_epoch(self.version);
        self.collect_changes(ctx, &mut changes, rate);
        let Some(in_flight) = InFlight::new(changes) else { return };
        // What becomes due meanwhile shares the next one.
        let gap_ms = commit_gap_ms(ctx, self.store.budget.is_scarce(rate));
        self.store.next_commit_at = ctx.now.monotonic_ms + gap_ms;
        let transaction = in_flight.changes.builder.transaction();
        self.store.budget.spend(transaction.writes.len());
        self.store.write_counts.count(transaction);
        let request = in_flight.send();
        self.store.in_flight = Some(in_flight);
        let wait = self.wait(LeaderRequest::Commit);
        ctx.send_kv(request, wait);
    }

    /// The transaction under way was answered, or not.
    pub(crate) fn handle_commit_reply(&mut self, ctx: &mut Context, result: Result<KvReply, RequestError>) {
        let Some(mut in_flight) = self.store.in_flight.take() else { return };
        in_flight.awaiting_reply = false;
        match &result {
            Ok(KvReply::Committed(_)) => ctx.limits.carried_out(),
            Err(RequestError::Throttled) => ctx.write_refused(),
            _ => {}
        }
        match after_reply(&in_flight.copies, result) {
            AfterReply::Apply(revision) => self.apply_committed(ctx, in_flight.changes, revision),
            AfterReply::StepDown => self.down = Some(StepDown::NewerEpoch),
            AfterReply::Abandon(conflicting) => self.abandon(ctx, in_flight, &conflicting),
            AfterReply::Settle(copies) => {
                in_flight.copies = copies;
                self.settle(ctx, in_flight);
            }
            AfterReply::TooLarge(reason) => self.handle_too_large(ctx, in_flight, reason),
            AfterReply::Retry => self.pause(ctx, in_flight),
            AfterReply::SettleLater => {
                // What conflicted or was rejected before still is to be given up.
                if in_flight.copies == EarlierCopies::Answered {
                    in_flight.copies = EarlierCopies::Unanswered;
                }
                self.pause(ctx, in_flight);
            }
        }
    }

    /// Reads the marker at once.
    fn settle(&mut self, ctx: &mut Context, mut in_flight: InFlight) {
        in_flight.awaiting_reply = true;
        let request = in_flight.read_marker();
        self.store.in_flight = Some(in_flight);
        let wait = self.wait(LeaderRequest::ReadMarker);
        ctx.send_kv(request, wait);
    }

    /// Keeps the transaction and goes on with it after a while.
    fn pause(&mut self, ctx: &Context, in_flight: InFlight) {
        self.store.next_commit_at = ctx.now.monotonic_ms + retry_pause_ms(ctx);
        self.store.in_flight = Some(in_flight);
    }

    /// The limits have fallen: what follows is smaller. If an earlier copy may have been carried out,
    /// that is settled first.
    fn handle_too_large(&mut self, ctx: &mut Context, mut in_flight: InFlight, reason: String) {
        ctx.emit(Event::TransactionRejected { reason });
        if !ctx.limits.too_large() {
            self.down = Some(StepDown::TransactionRejected);
        } else if in_flight.copies == EarlierCopies::Answered {
            self.apply_abandoned(ctx, in_flight.changes, &[]);
        } else {
            in_flight.copies = EarlierCopies::UnansweredThenRejected;
            self.store.in_flight = Some(in_flight);
        }
    }

    /// The marker of an unanswered transaction has been read.
    pub(crate) fn handle_marker_read(&mut self, ctx: &mut Context, result: Result<KvReply, RequestError>) {
        let Some(mut in_flight) = self.store.in_flight.take() else { return };
        let version = match result {
            Ok(KvReply::Found(pair)) => pair.version,
            Ok(KvReply::Missing) => Revision::ABSENT,
            _ => {
                in_flight.awaiting_reply = false;
                self.pause(ctx, in_flight);
                return;
            }
        };
        if version != in_flight.marker.version {
            self.compare_marker(ctx, in_flight, version);
            return;
        }
        match after_unchanged_marker(in_flight.copies.clone()) {
            AfterSettling::Resend => {
                let request = in_flight.send();
                self.store.in_flight = Some(in_flight);
                let wait = self.wait(LeaderRequest::Commit);
                ctx.send_kv(request, wait);
            }
            AfterSettling::Abandon(conflicting) => self.abandon(ctx, in_flight, &conflicting),
        }
    }

    /// The marker has changed: by us, if the epoch is still ours at this version of it.
    fn compare_marker(&mut self, ctx: &mut Context, in_flight: InFlight, version: Revision) {
        let conditions = vec![
            Condition { path: keys::EPOCH.into(), version: self.version },
            Condition { path: in_flight.marker.path.clone(), version },
        ];
        self.store.in_flight = Some(in_flight);
        let wait = self.wait(LeaderRequest::CompareMarker(version));
        ctx.send_kv(KvRequest::Transaction(Transaction { conditions, writes: Vec::new() }), wait);
    }

    /// Whether the marker that was read and the epoch held at the same time.
    pub(crate) fn handle_marker_comparison(
        &mut self,
        ctx: &mut Context,
        version: Revision,
        result: Result<KvReply, RequestError>,
    ) {
        match result {
            Ok(KvReply::Committed(_)) => {
                if let Some(in_flight) = self.store.in_flight.take() {
                    self.apply_committed(ctx, in_flight.changes, version);
                }
            }
            Ok(KvReply::Conflict(_)) => self.down = Some(StepDown::NewerEpoch),
            _ => {
                if let Some(in_flight) = &mut self.store.in_flight {
                    in_flight.awaiting_reply = false;
                }
                self.store.next_commit_at = ctx.now.monotonic_ms + retry_pause_ms(ctx);
            }
        }
    }

    /// No copy was or will be carried out. Conflicts on jobs' records are users' changes; any other
    /// key is written by the leader alone.
    fn abandon(&mut self, ctx: &mut Context, in_flight: InFlight, conflicting: &[String]) {
        match in_flight.changes.foreign_write(conflicting) {
            Some(write) => self.look_at_foreign_write(ctx, in_flight, write),
            None => self.apply_abandoned(ctx, in_flight.changes, conflicting),
        }
    }

    /// A key that only the leader writes has changed. It steps down as soon as the log can say to what;
    /// until then nothing is sent, since the transaction stays under way.
    fn look_at_foreign_write(&mut self, ctx: &mut Context, mut in_flight: InFlight, write: ForeignWrite) {
        in_flight.awaiting_reply = true;
        self.store.in_flight = Some(in_flight);
        let key = write.key.clone();
        let wait = self.wait(LeaderRequest::ForeignWrite(write));
        ctx.send_kv(KvRequest::Get { key }, wait);
    }
}

fn retry_pause_ms(ctx: &Context) -> u64 {
    ctx.settings.heartbeat_interval_ms() / RETRIES_PER_HEARTBEAT
}

/// Time from one transaction to the next.
fn commit_gap_ms(ctx: &Context, is_budget_scarce: bool) -> u64 {
    let gap = 1000.0 / (ctx.settings.kv_rps * ctx.tuning.request_share).max(1.0);
    let has_small_pages = ctx.limits.page_bytes() < ctx.settings.state.value_bytes() / 2;
    let scarce_gap = gap * if has_small_pages { SCARCE_GAP_SMALL_PAGES } else { SCARCE_GAP };
    if is_budget_scarce { scarce_gap as u64 } else { gap as u64 }
}

/// Writes since the last status event, by purpose.
#[derive(Debug, Default)]
pub(crate) struct WriteCounts {
    pub transactions: u32,
    pub ends: u32,
    pub pages: u32,
    pub blocks: u32,
    pub others: u32,
}

impl WriteCounts {
    fn count(&mut self, transaction: &Transaction) {
        self.transactions += 1;
        for write in &transaction.writes {
            let key = match write {
                Write::Set { set, .. } => set,
                Write::Drop { drop } => drop,
            };
            *self.of_prefix(key.get(..2)) += 1;
        }
    }

    fn of_prefix(&mut self, prefix: Option<&str>) -> &mut u32 {
        match prefix {
            Some(keys::JOBS | keys::FINAL_RECORDS | keys::LEADERSHIP) => &mut self.ends,
            Some(keys::TASK_PAGES) => &mut self.pages,
            Some(keys::MACHINE_BLOCKS) => &mut self.blocks,
            _ => &mut self.others,
        }
    }
}

#[cfg(test)]
mod tests;
