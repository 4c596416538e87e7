//! Election steps that wait for a reply of the key-value store.

use shaleshunt_wire::{Epoch, Revision};
use std::collections::BTreeSet;

/// An election step in flight. Its reply decides the next step.
#[derive(Debug)]
pub(crate) enum ElectionRequest {
    /// Reads the leader key, the epoch key and the cancellation keys.
    ReadLeadership,
    /// Reads a further page of the cancellation keys, which do not fit into the page of [`Self::ReadLeadership`].
    ReadCancellations(CancellationRead),
    /// Watches the leader key, the epoch key and the cancellation keys for changes.
    WatchLeadership {
        /// Revision from which the watch started.
        after: Revision,
    },
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

/// A read of the cancellation keys that takes several pages.
#[derive(Debug)]
pub(crate) struct CancellationRead {
    /// Time at which the read of the first page was sent, on the monotonic clock.
    pub sent_at_ms: u64,
    /// Revision of the first page. Changes after it may be missing.
    pub revision: Revision,
    /// Names of the cancelled jobs on the pages read so far.
    pub cancelled: BTreeSet<String>,
}
