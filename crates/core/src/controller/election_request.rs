//! Election steps that wait for a reply of the key-value store.

use shaleshunt_wire::Epoch;

/// An election step in flight. Its reply decides the next step.
#[derive(Debug)]
pub(crate) enum ElectionRequest {
    /// Reads the leader key, the epoch key and the cancellation keys.
    ReadLeadership,
    /// Watches the leader key, the epoch key and the cancellation keys for changes.
    WatchLeadership,
    /// Grants a lease for the leader key.
    GrantLease,
    /// Reads the epoch key again after the lease was granted.
    ReadEpoch {
        /// The granted lease.
        lease: u64,
    },
    /// Writes the leader key and the next epoch by compare-and-swap.
    ClaimEpoch {
        /// The claimed epoch.
        epoch: Epoch,
        /// The lease that the leader key is attached to.
        lease: u64,
    },
}
