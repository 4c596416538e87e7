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
pub enum StepDown {
    /// The epoch key has changed.
    NewerEpoch,
    /// A peer leads a newer epoch.
    NewerLeader,
    /// An agent has seen a fencing token of a newer epoch.
    NewerToken,
    /// The leader's lease at the key-value store has expired.
    LeaseEnded,
    /// The key-value store no longer keeps all changes since the last answered watch.
    ChangesMissed,
    /// The records could not be read during the failover.
    Unreadable,
    /// The key-value store rejects a transaction that cannot be made smaller.
    TransactionRejected,
    /// Keys that only the leader writes were written by somebody else.
    ForeignWrite(ForeignWrite),
    /// No machine sends heartbeats to this leader.
    Unheard,
}

impl StepDown {
    /// A short name for searches and counts, which stays the same between versions.
    pub fn name(&self) -> &'static str {
        match self {
            StepDown::NewerEpoch => "newer_epoch",
            StepDown::NewerLeader => "newer_leader",
            StepDown::NewerToken => "newer_fencing_token",
            StepDown::LeaseEnded => "lease_expired",
            StepDown::ChangesMissed => "changes_missed",
            StepDown::Unreadable => "records_unreadable",
            StepDown::TransactionRejected => "transaction_rejected",
            StepDown::ForeignWrite(_) => "foreign_write",
            StepDown::Unheard => "no_heartbeats",
        }
    }
}

impl fmt::Display for StepDown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StepDown::NewerEpoch => write!(f, "a newer epoch has begun"),
            StepDown::NewerLeader => write!(f, "a peer leads a newer epoch"),
            StepDown::NewerToken => write!(f, "a worker has seen a newer token"),
            StepDown::LeaseEnded => write!(f, "the lease has run out"),
            StepDown::ChangesMissed => write!(f, "changes were missed"),
            StepDown::Unreadable => write!(f, "could not read everything"),
            StepDown::TransactionRejected => write!(f, "a transaction was rejected"),
            StepDown::Unheard => write!(f, "no machine is heard"),
            StepDown::ForeignWrite(ForeignWrite { key, expected, found }) => {
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
