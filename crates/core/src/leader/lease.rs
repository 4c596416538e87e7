//! The leader lease: the store removes the leader key, which is attached to it, unless the leader renews it in time.

use crate::controller::Context;
use crate::io::{KvReply, KvRequest, RequestError};
use crate::leader::{Leader, LeaderRequest};
use crate::step_down::StepDownReason;

/// Number of renewals within the lifetime of the leader lease.
const RENEWALS_PER_LEASE: f64 = 4.0;
/// Number of retries per heartbeat interval for a failed renewal.
const RETRIES_PER_HEARTBEAT: u64 = 12;

/// The lease of a leader, and its renewal.
#[derive(Debug)]
pub(crate) struct LeaderLease {
    /// ID of the lease in the key-value store.
    id: u64,
    /// Time of the next renewal (ms, monotonic).
    renew_at_ms: u64,
    is_renewal_in_flight: bool,
}

impl LeaderLease {
    /// Creates a lease that is to be renewed from `now_ms` (ms, monotonic) on.
    pub(super) fn new(id: u64, now_ms: u64) -> LeaderLease {
        LeaderLease { id, renew_at_ms: now_ms, is_renewal_in_flight: false }
    }

    /// ID of the lease in the key-value store.
    pub(crate) fn id(&self) -> u64 {
        self.id
    }

    /// Begins a renewal if one is due, and schedules the next one `interval_ms` later. Returns whether it has begun.
    fn begin_renewal(&mut self, now_ms: u64, interval_ms: u64) -> bool {
        let is_due = now_ms >= self.renew_at_ms && !self.is_renewal_in_flight;
        if is_due {
            self.renew_at_ms = now_ms + interval_ms;
            self.is_renewal_in_flight = true;
        }
        is_due
    }

    /// Ends the renewal in flight.
    fn end_renewal(&mut self) {
        self.is_renewal_in_flight = false;
    }

    /// Ends the renewal in flight, which failed, and schedules the next one at `retry_at_ms` (ms, monotonic).
    fn retry_renewal(&mut self, retry_at_ms: u64) {
        self.is_renewal_in_flight = false;
        self.renew_at_ms = retry_at_ms;
    }
}

impl Leader {
    /// Renews the lease if a renewal is due.
    pub(super) fn renew_lease(&mut self, ctx: &mut Context) {
        let lease_ms = ctx.settings.heartbeat_interval_s * ctx.tuning.leader_lease_intervals * 1000.0;
        if self.lease.begin_renewal(ctx.now.monotonic_ms, (lease_ms / RENEWALS_PER_LEASE) as u64) {
            let pending = self.pending_request(LeaderRequest::RenewLease);
            ctx.send_kv(KvRequest::RenewLease { lease: self.lease.id() }, pending);
        }
    }

    /// Handles the reply to a renewal, or its failure.
    pub(super) fn handle_lease_renewal(&mut self, ctx: &Context, result: Result<KvReply, RequestError>) {
        match result {
            Ok(KvReply::Missing) => self.step_down = Some(StepDownReason::LeaseExpired),
            Ok(_) => self.lease.end_renewal(),
            Err(_) => {
                let delay_ms = ctx.settings.heartbeat_interval_ms() / RETRIES_PER_HEARTBEAT;
                self.lease.retry_renewal(ctx.now.monotonic_ms + delay_ms);
            }
        }
    }
}

#[cfg(test)]
mod tests;
