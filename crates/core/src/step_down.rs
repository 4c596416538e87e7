//! Reasons for which a leader steps down. A leader that steps down gives up leadership and the leader lease.

use shaleshunt_wire::Revision;
use std::fmt;

/// A write by another client to a key that only the leader writes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForeignWrite {
    /// The key.
    pub key: String,
    /// Version that the precondition of the leader's transaction required.
    pub expected: Revision,
    /// Version at the key-value store, [`Revision::ABSENT`] if the key does not exist; `None` if it was not read.
    pub found: Option<Revision>,
}

/// Reason for which a leader steps down.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StepDownReason {
    /// The epoch key has changed: another controller was elected.
    NewerEpoch,
    /// A peer leads a newer epoch.
    NewerLeader,
    /// An agent has seen a fencing token of a newer epoch.
    NewerFencingToken,
    /// The leader lease has expired.
    LeaseExpired,
    /// The key-value store no longer keeps all changes since the last answered watch.
    ChangesMissed,
    /// The records could not be read during recovery.
    RecordsUnreadable,
    /// The key-value store rejects a transaction that cannot be made smaller.
    TransactionRejected,
    /// Another client has written a key that only the leader writes.
    ForeignWrite(ForeignWrite),
    /// No machine sends heartbeats to this leader.
    NoHeartbeats,
    /// The fencing tokens or attempt numbers of the epoch are nearly used up.
    NumbersExhausted,
}

impl StepDownReason {
    /// Short name for log searches and metrics; stable between versions.
    pub fn name(&self) -> &'static str {
        match self {
            StepDownReason::NewerEpoch => "newer_epoch",
            StepDownReason::NewerLeader => "newer_leader",
            StepDownReason::NewerFencingToken => "newer_fencing_token",
            StepDownReason::LeaseExpired => "lease_expired",
            StepDownReason::ChangesMissed => "changes_missed",
            StepDownReason::RecordsUnreadable => "records_unreadable",
            StepDownReason::TransactionRejected => "transaction_rejected",
            StepDownReason::ForeignWrite(_) => "foreign_write",
            StepDownReason::NoHeartbeats => "no_heartbeats",
            StepDownReason::NumbersExhausted => "numbers_exhausted",
        }
    }
}

impl fmt::Display for StepDownReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StepDownReason::NewerEpoch => write!(f, "a newer leader epoch has begun"),
            StepDownReason::NewerLeader => write!(f, "a peer leads a newer epoch"),
            StepDownReason::NewerFencingToken => write!(f, "an agent has seen a fencing token of a newer epoch"),
            StepDownReason::LeaseExpired => write!(f, "the leader lease has expired"),
            StepDownReason::ChangesMissed => {
                write!(f, "the key-value store no longer keeps all changes since the last watch")
            }
            StepDownReason::RecordsUnreadable => write!(f, "the records could not be read during recovery"),
            StepDownReason::TransactionRejected => {
                write!(f, "the key-value store rejected a transaction that cannot be made smaller")
            }
            StepDownReason::NoHeartbeats => write!(f, "no machine sends heartbeats to this leader"),
            StepDownReason::NumbersExhausted => {
                write!(f, "the fencing tokens or attempt numbers of this epoch are nearly used up")
            }
            StepDownReason::ForeignWrite(ForeignWrite { key, expected, found }) => {
                write!(f, "another client wrote a key of the leader: {key} expected at version {expected}, ")?;
                match found {
                    Some(Revision::ABSENT) => write!(f, "key does not exist"),
                    Some(version) => write!(f, "found at version {version}"),
                    None => write!(f, "current version not read"),
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
