//! Decisions about the transaction in flight, from the replies about it.

use crate::io::{KvReply, RequestError};
use crate::records::keys;
use shaleshunt_wire::Revision;

/// Whether an earlier copy of the transaction in flight may have been committed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum EarlierCopies {
    /// No earlier copy can have been committed: each was answered.
    Answered,
    /// A copy was not answered.
    Unanswered,
    /// A copy was not answered, and a later one was rejected as too large. The transaction is not sent again.
    UnansweredThenRejected,
    /// A copy was not answered, and a later one conflicted on these keys.
    UnansweredThenConflict(Vec<String>),
}

/// Action that follows the reply to a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum ReplyAction {
    /// The transaction committed at this revision.
    Apply(Revision),
    /// The precondition on the epoch failed: another leader has been elected.
    StepDown,
    /// The transaction had no effect because these keys conflicted.
    Abandon(Vec<String>),
    /// The transaction conflicted, possibly with an earlier copy of itself: the marker is read immediately.
    ReadMarkerNow(EarlierCopies),
    /// The transaction exceeds the store's limits, which have been lowered. Holds the store's reason.
    TooLarge(String),
    /// The transaction had no effect and is sent again after a delay.
    Retry,
    /// The transaction may have been committed: the marker is read after a delay.
    ReadMarkerLater,
}

/// Chooses the action for the reply to a transaction, given the state of earlier copies.
pub(super) fn reply_action(copies: &EarlierCopies, result: Result<KvReply, RequestError>) -> ReplyAction {
    let is_answered = *copies == EarlierCopies::Answered;
    match result {
        Ok(KvReply::Committed(revision)) => ReplyAction::Apply(revision),
        Ok(KvReply::Conflict(failed)) if failed.iter().any(|key| key == keys::EPOCH) => ReplyAction::StepDown,
        Ok(KvReply::Conflict(failed)) if is_answered => ReplyAction::Abandon(failed),
        Ok(KvReply::Conflict(failed)) if failed.is_empty() => ReplyAction::ReadMarkerNow(EarlierCopies::Unanswered),
        Ok(KvReply::Conflict(failed)) => ReplyAction::ReadMarkerNow(EarlierCopies::UnansweredThenConflict(failed)),
        Err(
            RequestError::NotSent | RequestError::LocalOverload | RequestError::Unavailable | RequestError::Throttled,
        ) => ReplyAction::Retry,
        // Everything but the size is checked before a transaction is sent, so the size is the cause of a rejection.
        Err(RequestError::Rejected(reason)) if *copies != EarlierCopies::UnansweredThenRejected => {
            ReplyAction::TooLarge(reason)
        }
        _ => ReplyAction::ReadMarkerLater,
    }
}

/// Action for a transaction of which no copy has been committed so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum UnchangedMarkerAction {
    /// The same transaction is sent again.
    Resend,
    /// The transaction is abandoned. The next one is smaller or lacks the changes that conflicted. Both write the
    /// marker under the same precondition, so at most one of the two can commit.
    Abandon(Vec<String>),
}

/// Chooses the action for a transaction whose marker has not changed.
pub(super) fn unchanged_marker_action(copies: EarlierCopies) -> UnchangedMarkerAction {
    match copies {
        EarlierCopies::Answered | EarlierCopies::Unanswered => UnchangedMarkerAction::Resend,
        EarlierCopies::UnansweredThenRejected => UnchangedMarkerAction::Abandon(Vec::new()),
        EarlierCopies::UnansweredThenConflict(failed) => UnchangedMarkerAction::Abandon(failed),
    }
}

#[cfg(test)]
mod tests;
