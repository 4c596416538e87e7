//! The steps of an election that wait for the key-value store.

use shaleshunt_wire::Epoch;

/// A step under way. The reply to it decides on the next one.
#[derive(Debug)]
pub(crate) enum ElectionRequest {
    /// Reading the leader's key, the epoch and the cancellations.
    ReadLeadership,
    /// Watching these keys for changes.
    WatchLeadership,
    /// Acquiring a lease for the leader's key.
    GrantLease,
    /// Reading the epoch again, with a lease in hand.
    ReadEpoch {
        /// The lease.
        lease: u64,
    },
    /// Writing the leader's key and the next epoch by compare-and-swap.
    ClaimEpoch {
        /// The next epoch.
        epoch: Epoch,
        /// The lease that the leader's key is attached to.
        lease: u64,
    },
}
