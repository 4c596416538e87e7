//! Leader election through the key-value store.
//!
//! [`Election`] holds this process's state of the election: the highest known epoch, the leader's name and lease, and
//! the revision of the last read. The controller passes the store's replies to [`Election::handle_reply`] and applies
//! the returned [`ElectionTransition`].
//!
//! The leader key is attached to a lease of the store and is deleted when the lease expires. The epoch key only grows,
//! and every transaction of a leader has the epoch key's version as a precondition. A former leader, whether or not it
//! has noticed its loss of leadership, can therefore commit nothing.
//!
//! The steps: read the leadership keys, all pages of them; watch them while there is a leader; without a leader, grant a
//! lease, read the epoch again and claim the next epoch by compare-and-swap. Each pending request carries its step as an
//! [`ElectionRequest`]. After a switch between the direct route and a relay, a read may start while a watch is still in
//! flight, so several steps may be in flight at a time and `Election` stores no current step.
//!
//! Invariants:
//! - An epoch is claimed only with a granted lease, and only if neither the epoch key nor the leader key was written
//!   since they were read.
//! - The known epoch never decreases, with one exception. If a claim turns out to be committed after a newer epoch
//!   became known, the known epoch is set to the claimed one, so that the next heartbeat of the newer leader still
//!   makes this node step down.
//! - A watch without changes confirms the list of cancellations only if all pages of the list were read, and at a
//!   revision from which the watch started or a later one.

use super::context::Context;
use super::election_request::{CancellationRead, ElectionRequest};
use super::pending::PendingRequest;
use crate::io::{KvReply, KvRequest, RequestError};
use crate::records::{LeaderRecord, epoch_from_value, epoch_to_value, keys};
use crate::settings::{Settings, Tuning};
use shaleshunt_wire::kv::{KeyValue, Page, Precondition, Transaction, Write};
use shaleshunt_wire::{Epoch, Revision};
use std::collections::BTreeSet;

/// Prefix of the leader key, the epoch key and the cancellation keys.
const LEADERSHIP_PREFIX: &str = "l/";
/// Delay before the next read after a failed request, in heartbeat intervals.
const RETRY_DELAY_INTERVALS: f64 = 0.07;
/// Delay before the next read after revoking a lease that an earlier claim of this node left behind, in heartbeat
/// intervals.
const OWN_LEASE_REVOKED_DELAY_INTERVALS: f64 = 0.02;
/// Delay before the next read after stepping down, in heartbeat intervals.
const STEP_DOWN_DELAY_INTERVALS: f64 = 0.01;
/// Delay before the next read after stepping down because no heartbeats arrived, in heartbeat intervals. The long delay
/// lets another node win the next election.
const UNREACHABLE_STEP_DOWN_DELAY_INTERVALS: f64 = 3.0;
/// Shortest time to live of a leader lease, in milliseconds.
const MIN_LEADER_LEASE_MS: f64 = 200.0;
/// Minimum number of watches per heartbeat interval: a watch without changes returns after this part of the interval,
/// which bounds the age of the known cancellations.
const WATCHES_PER_HEARTBEAT: u64 = 8;

/// State change that the controller applies after a reply.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub(super) enum ElectionTransition {
    /// No change.
    None,
    /// A read returned all cancelled jobs that have not ended.
    CancellationsRead {
        /// Time at which the read was sent, on the monotonic clock.
        sent_at_ms: u64,
        /// Names of the cancelled jobs.
        cancelled: BTreeSet<String>,
    },
    /// A watch ended without changes: the known cancellations are complete up to the time at which it was sent.
    CancellationsUnchanged {
        /// Time at which the watch was sent, on the monotonic clock.
        sent_at_ms: u64,
    },
    /// The claim was committed: this node becomes the leader.
    BecomeLeader(Claim),
}

/// A committed claim to leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Claim {
    /// The claimed epoch.
    pub epoch: Epoch,
    /// Version of the epoch key after the claim.
    pub epoch_version: Revision,
    /// The lease that the leader key is attached to.
    pub lease: u64,
}

/// Whether machines can reach a leader that steps down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reachability {
    /// Heartbeats arrive, as far as is known.
    Reachable,
    /// No heartbeats have been received from any machine for too long.
    Unreachable,
}

/// This process's state of the leader election.
#[derive(Debug)]
pub(super) struct Election {
    /// Highest known epoch.
    epoch: Epoch,
    /// Node name of that epoch's leader; `None` if not known.
    known_leader: Option<String>,
    /// Leader lease as last read from the store; `None` if not known or already revoked by this node.
    leader_lease: Option<u64>,
    /// Time of the next read of the leadership keys on the monotonic clock; `None` while a step is in flight.
    read_due_at_ms: Option<u64>,
    /// Revision of the store at the first page of the last read, from which watches start.
    read_revision: Revision,
    /// Revision of the list of cancellations that was read completely last: it has all cancellations up to then.
    cancellations_revision: Revision,
}

impl Election {
    /// Creates the state of a process that knows no leader. The first read is due at `now_ms`.
    pub fn new(now_ms: u64) -> Election {
        Election {
            epoch: Epoch::NONE,
            known_leader: None,
            leader_lease: None,
            read_due_at_ms: Some(now_ms),
            read_revision: Revision::ABSENT,
            cancellations_revision: Revision::ABSENT,
        }
    }

    /// Returns the highest known epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the leader's node name, if known.
    pub fn known_leader(&self) -> Option<&str> {
        self.known_leader.as_deref()
    }

    /// Sets the known epoch and its leader.
    pub fn follow(&mut self, epoch: Epoch, leader: String) {
        self.epoch = epoch;
        self.known_leader = Some(leader);
    }

    /// Reads the leadership keys if a read is due.
    pub fn run_due(&mut self, ctx: &mut Context) {
        if self.read_due_at_ms.is_some_and(|due_at_ms| ctx.now_ms() >= due_at_ms) {
            self.read_leadership(ctx);
        }
    }

    /// Reads the leader key, the epoch key and the cancellation keys.
    pub fn read_leadership(&mut self, ctx: &mut Context) {
        self.read_due_at_ms = None;
        let scan = KvRequest::Scan { prefix: LEADERSHIP_PREFIX.into(), after: String::new() };
        send(ctx, scan, ElectionRequest::ReadLeadership);
    }

    /// Revokes this node's leader lease and delays its part in the next election.
    pub fn step_down(&mut self, ctx: &mut Context, lease: u64, reachability: Reachability) {
        revoke(ctx, lease);
        self.known_leader = None;
        let delay_intervals = match reachability {
            Reachability::Reachable => STEP_DOWN_DELAY_INTERVALS,
            Reachability::Unreachable => UNREACHABLE_STEP_DOWN_DELAY_INTERVALS,
        };
        self.read_after(ctx, delay_intervals);
    }

    /// Revokes the leader lease if `peer` is the known leader. Called when the connection to a peer breaks: the peer's
    /// process has most likely ended, and revoking the lease avoids waiting for lease expiry. If the leader is still
    /// running, it loses its leadership; this is safe, since the epoch fences all its later writes.
    pub fn revoke_lease_of(&mut self, ctx: &mut Context, peer: &str) {
        if self.known_leader.as_deref() == Some(peer)
            && let Some(lease) = self.leader_lease.take()
        {
            revoke(ctx, lease);
        }
    }

    /// Handles the reply to an election step that was sent at `sent_at_ms`.
    pub fn handle_reply(
        &mut self,
        ctx: &mut Context,
        request: ElectionRequest,
        sent_at_ms: u64,
        result: Result<KvReply, RequestError>,
    ) -> ElectionTransition {
        let Ok(reply) = result else {
            self.read_after(ctx, RETRY_DELAY_INTERVALS);
            return ElectionTransition::None;
        };
        match (request, reply) {
            (ElectionRequest::ReadLeadership, KvReply::Page(page)) => {
                return self.handle_leadership_page(ctx, sent_at_ms, &page);
            }
            (ElectionRequest::ReadCancellations(read), KvReply::Page(page)) => {
                return self.continue_cancellation_read(ctx, read, &page);
            }
            (ElectionRequest::WatchLeadership { after }, KvReply::Changes(reply)) if reply.changes.is_empty() => {
                return self.handle_unchanged(ctx, sent_at_ms, after);
            }
            (ElectionRequest::WatchLeadership { .. }, _) => self.read_leadership(ctx),
            (ElectionRequest::GrantLease, KvReply::LeaseGranted(lease)) => {
                // The epoch is read again because its version must be no older than the lease.
                let get = KvRequest::Get { key: keys::EPOCH.into() };
                send(ctx, get, ElectionRequest::ReadEpoch { lease });
            }
            (ElectionRequest::ReadEpoch { lease }, KvReply::Found(pair)) => {
                self.claim(ctx, lease, epoch_from_value(&pair.value), pair.version);
            }
            (ElectionRequest::ReadEpoch { lease }, KvReply::Missing) => {
                self.claim(ctx, lease, Epoch::NONE, Revision::ABSENT);
            }
            (ElectionRequest::ClaimEpoch { epoch, lease }, KvReply::Committed(epoch_version)) => {
                self.follow(epoch, ctx.settings.node_name.clone());
                return ElectionTransition::BecomeLeader(Claim { epoch, epoch_version, lease });
            }
            (ElectionRequest::ReadEpoch { lease } | ElectionRequest::ClaimEpoch { lease, .. }, _) => {
                revoke(ctx, lease);
                self.read_leadership(ctx);
            }
            (
                ElectionRequest::ReadLeadership | ElectionRequest::ReadCancellations(_) | ElectionRequest::GrantLease,
                _,
            ) => {
                self.read_after(ctx, RETRY_DELAY_INTERVALS);
            }
        }
        ElectionTransition::None
    }

    fn handle_leadership_page(&mut self, ctx: &mut Context, sent_at_ms: u64, page: &Page) -> ElectionTransition {
        self.read_revision = page.revision;
        if let Some(pair) = find_key(page, keys::EPOCH) {
            self.epoch = self.epoch.max(epoch_from_value(&pair.value));
        }
        let read = CancellationRead { sent_at_ms, revision: page.revision, cancelled: BTreeSet::new() };
        match find_key(page, keys::LEADER).map(|pair| LeaderRecord::from_value(&pair.value)) {
            Some(record) if record.node != ctx.settings.node_name => {
                self.known_leader = Some(record.node);
                self.leader_lease = record.lease;
                return self.continue_cancellation_read(ctx, read, page);
            }
            Some(record) => {
                // The record is left from before a restart, or from a claim whose reply was lost.
                self.known_leader = None;
                revoke(ctx, record.lease.unwrap_or(0));
                self.read_after(ctx, OWN_LEASE_REVOKED_DELAY_INTERVALS);
            }
            None => {
                self.known_leader = None;
                let ttl_ms = leader_lease_ms(&ctx.settings, &ctx.tuning);
                send(ctx, KvRequest::GrantLease { ttl_ms }, ElectionRequest::GrantLease);
            }
        }
        if page.truncated { ElectionTransition::None } else { self.finish_cancellation_read(read, page) }
    }

    /// Takes the cancellations on a page, and reads the next page or begins to watch.
    fn continue_cancellation_read(
        &mut self,
        ctx: &mut Context,
        mut read: CancellationRead,
        page: &Page,
    ) -> ElectionTransition {
        if page.truncated {
            read.cancelled.extend(cancellations(page));
            let after = page.pairs.last().map(|pair| pair.key.clone()).unwrap_or_default();
            let scan = KvRequest::Scan { prefix: LEADERSHIP_PREFIX.into(), after };
            send(ctx, scan, ElectionRequest::ReadCancellations(read));
            return ElectionTransition::None;
        }
        self.watch(ctx);
        self.finish_cancellation_read(read, page)
    }

    /// Takes the cancellations on the last page.
    fn finish_cancellation_read(&mut self, mut read: CancellationRead, page: &Page) -> ElectionTransition {
        read.cancelled.extend(cancellations(page));
        self.cancellations_revision = read.revision;
        ElectionTransition::CancellationsRead { sent_at_ms: read.sent_at_ms, cancelled: read.cancelled }
    }

    /// Handles a watch from the revision `after` that ended without changes. It confirms the list of cancellations only
    /// if the list is not older: it may be the result of a delayed read, or the read that replaces it may have pages
    /// left.
    fn handle_unchanged(&mut self, ctx: &mut Context, sent_at_ms: u64, after: Revision) -> ElectionTransition {
        self.watch(ctx);
        if self.cancellations_revision < after {
            return ElectionTransition::None;
        }
        ElectionTransition::CancellationsUnchanged { sent_at_ms }
    }

    /// Sends the transaction that writes the leader key and the next epoch. Preconditions: there is no leader key, and
    /// the epoch key still has `version`.
    fn claim(&self, ctx: &mut Context, lease: u64, stored: Epoch, version: Revision) {
        let epoch = stored.max(self.epoch).next();
        let node = &ctx.settings.node_name;
        let leader = LeaderRecord { node: node.clone(), lease: Some(lease) };
        let transaction = Transaction {
            preconditions: vec![
                Precondition { key: keys::LEADER.into(), version: Revision::ABSENT },
                Precondition { key: keys::EPOCH.into(), version },
            ],
            writes: vec![
                Write::Set { key: keys::LEADER.into(), value: leader.to_value(), lease: Some(lease) },
                Write::set(keys::EPOCH, epoch_to_value(epoch, node)),
            ],
        };
        send(ctx, KvRequest::Transaction(transaction), ElectionRequest::ClaimEpoch { epoch, lease });
    }

    fn watch(&self, ctx: &mut Context) {
        let max_wait_ms = ctx.settings.heartbeat_interval_ms() / WATCHES_PER_HEARTBEAT;
        let after = self.read_revision;
        let watch = KvRequest::Watch { prefix: LEADERSHIP_PREFIX.into(), after, max_wait_ms };
        send(ctx, watch, ElectionRequest::WatchLeadership { after });
    }

    fn read_after(&mut self, ctx: &Context, heartbeat_intervals: f64) {
        let wait_ms = (ctx.settings.heartbeat_interval_s * heartbeat_intervals * 1000.0) as u64;
        self.read_due_at_ms = Some(ctx.now_ms() + wait_ms);
    }
}

/// The names of the cancelled jobs on a page.
fn cancellations(page: &Page) -> impl Iterator<Item = String> {
    page.pairs.iter().filter_map(|pair| pair.key.strip_prefix(keys::CANCELLED)).map(str::to_string)
}

fn find_key<'a>(page: &'a Page, key: &str) -> Option<&'a KeyValue> {
    page.pairs.iter().find(|pair| pair.key == key)
}

fn send(ctx: &mut Context, request: KvRequest, step: ElectionRequest) {
    ctx.send_kv(request, PendingRequest::Election(step));
}

fn revoke(ctx: &mut Context, lease: u64) {
    ctx.send_kv(KvRequest::RevokeLease { lease }, PendingRequest::Ignored);
}

/// Returns the time to live of a leader lease without renewal, in milliseconds.
fn leader_lease_ms(settings: &Settings, tuning: &Tuning) -> u64 {
    let lease_ms = settings.heartbeat_interval_s * tuning.leader_lease_intervals * 1000.0;
    lease_ms.max(MIN_LEADER_LEASE_MS) as u64
}

#[cfg(test)]
mod tests;
