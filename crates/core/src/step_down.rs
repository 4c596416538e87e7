//! Why a leader steps down: gives up leadership and the lease that it holds.

use shaleshunt_wire::Revision;
use std::fmt;

/// A write by somebody else to a key that only the leader writes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForeignWrite {
    /// The key.
    pub key: String,
    /// The version that the leader's transaction required.
    pub expected: Revision,
    /// The version at the key-value store, if it could be read; absent for a key that is not there.
    pub found: Option<Revision>,
}

/// The reason for which a leader steps down.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StepDownReason {
    /// The epoch key has changed.
    NewerEpoch,
    /// A peer leads a newer epoch.
    NewerLeader,
    /// An agent has seen a fencing token of a newer epoch.
    NewerFencingToken,
    /// The leader's lease at the key-value store has expired.
    LeaseExpired,
    /// The key-value store no longer keeps all changes since the last answered watch.
    ChangesMissed,
    /// The records could not be read during the failover.
    RecordsUnreadable,
    /// The key-value store rejects a transaction that cannot be made smaller.
    TransactionRejected,
    /// Keys that only the leader writes were written by somebody else.
    ForeignWrite(ForeignWrite),
    /// No machine sends heartbeats to this leader.
    NoHeartbeats,
}

impl StepDownReason {
    /// A short name for searches and counts, which stays the same between versions.
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
        }
    }
}

impl fmt::Display for StepDownReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StepDownReason::NewerEpoch => write!(f, "a newer epoch has begun"),
            StepDownReason::NewerLeader => write!(f, "a peer leads a newer epoch"),
            StepDownReason::NewerFencingToken => write!(f, "a worker has seen a newer token"),
            StepDownReason::LeaseExpired => write!(f, "the lease has run out"),
            StepDownReason::ChangesMissed => write!(f, "changes were missed"),
            StepDownReason::RecordsUnreadable => write!(f, "could not read everything"),
            StepDownReason::TransactionRejected => write!(f, "a transaction was rejected"),
            StepDownReason::NoHeartbeats => write!(f, "no machine is heard"),
            StepDownReason::ForeignWrite(ForeignWrite { key, expected, found }) => {
                write!(f, "somebody else writes the leader's keys: {key} expected at version {expected}, ")?;
                match found {
                    Some(Revision::ABSENT) => write!(f, "not there"),
                    Some(version) => write!(f, "found at {version}"),
                    None => write!(f, "not read since"),
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
