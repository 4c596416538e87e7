//! Leader election through the key-value store.
//!
//! [`Election`] owns what this process knows of leadership: the highest epoch, the leader's name and lease, and how
//! far it has read. The controller hands it the store's replies and carries out the [`ElectionTransition`]s.
//!
//! The leader's key is attached to a lease of the store and vanishes with it. The epoch's key only grows, and every
//! transaction of a leader is conditional on it: whoever has lost leadership, noticed or not, can write nothing.
//!
//! One step follows another: read, then watch while there is a leader; without one, grant a lease, read the epoch
//! again, claim the next epoch by compare-and-swap. The step under way travels as [`ElectionRequest`] with the
//! pending request. After a change of route to the store a read may start while a watch is still under way, so
//! there is no single current step to store.
//!
//! What always holds: an epoch is claimed only with a granted lease, and only while nobody has written the epoch or
//! the leader's key since they were read. The known epoch never falls, with one exception: a claim that turns out
//! committed after a newer epoch was heard of sets it to the claimed one, so that the next heartbeat of the newer
//! leader still makes this node step down.

mod records;

use super::context::Context;
use super::election_request::ElectionRequest;
use super::pending::PendingRequest;
use crate::io::{KvReply, KvRequest, RequestError};
use crate::model::keys;
use crate::settings::{Settings, Tuning};
use records::{LeaderRecord, epoch_from_value, epoch_to_value};
use shaleshunt_wire::kv::{KeyValue, Page, Precondition, Transaction, Write};
use shaleshunt_wire::{Epoch, Revision};
use std::collections::BTreeSet;

/// What the keys of leadership and cancellations begin with.
const LEADERSHIP_PREFIX: &str = "l/";
/// Wait before the next read after a failed request, in heartbeat intervals.
const RETRY_INTERVALS: f64 = 0.07;
/// Wait before the next read after this node's own left-over lease was revoked, in heartbeat intervals.
const OWN_LEASE_REVOKED_INTERVALS: f64 = 0.02;
/// Wait before the next read after stepping down, in heartbeat intervals.
const RESIGNED_INTERVALS: f64 = 0.01;
/// The same for a leader that no machine reaches: it leaves the next election to others.
const RESIGNED_UNREACHABLE_INTERVALS: f64 = 3.0;
/// Shortest lease of a leader, in milliseconds.
const MIN_LEADER_LEASE_MS: f64 = 200.0;
/// A watch returns after this fraction of a heartbeat interval at the latest, so that what is known of
/// cancellations is never old.
const WATCH_FRACTION: u64 = 8;

/// What the controller has to do after a reply.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub(super) enum ElectionTransition {
    /// Nothing.
    None,
    /// All cancelled jobs that have not ended were read, by a request sent at this time.
    CancellationsRead {
        /// When the read was sent.
        sent_at: u64,
        /// The jobs.
        cancelled: BTreeSet<String>,
    },
    /// Nothing has changed up to the sending of this watch.
    CancellationsUnchanged {
        /// When the watch was sent.
        sent_at: u64,
    },
    /// This node is the leader from now on.
    BecomeLeader(Claim),
}

/// A claim to leadership that the store has committed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Claim {
    /// The new epoch.
    pub epoch: Epoch,
    /// Version of the epoch's key.
    pub revision: Revision,
    /// The lease that the leader's key is attached to.
    pub lease: u64,
}

/// Whether the machines still reach a leader that steps down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reachability {
    /// As far as is known.
    Reachable,
    /// No machine is heard.
    Unreachable,
}

/// What this process knows of leadership.
#[derive(Debug)]
pub(super) struct Election {
    /// The highest epoch known.
    epoch: Epoch,
    /// The leader of that epoch, if known.
    known_leader: Option<String>,
    /// The leader's lease at the store, as last read.
    leader_lease: Option<u64>,
    /// Leadership is read at this time; `None` while a step is under way.
    read_due_at: Option<u64>,
    /// The store's revision of the last read: watches begin there.
    read_revision: Revision,
}

impl Election {
    /// Nothing is known; leadership is read at once.
    pub fn new(now: u64) -> Election {
        Election {
            epoch: Epoch::NONE,
            known_leader: None,
            leader_lease: None,
            read_due_at: Some(now),
            read_revision: Revision::ABSENT,
        }
    }

    /// The highest epoch known.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Name of the leader, if known.
    pub fn known_leader(&self) -> Option<&str> {
        self.known_leader.as_deref()
    }

    /// Takes an epoch and its leader as the newest.
    pub fn follow(&mut self, epoch: Epoch, leader: String) {
        self.epoch = epoch;
        self.known_leader = Some(leader);
    }

    /// Reads leadership if that is due.
    pub fn run_due(&mut self, ctx: &mut Context) {
        if self.read_due_at.is_some_and(|at| ctx.now_ms() >= at) {
            self.read_leadership(ctx);
        }
    }

    /// Reads the leader's key, the epoch and the cancellations.
    pub fn read_leadership(&mut self, ctx: &mut Context) {
        self.read_due_at = None;
        let scan = KvRequest::Scan { prefix: LEADERSHIP_PREFIX.into(), after: String::new() };
        send(ctx, scan, ElectionRequest::ReadLeadership);
    }

    /// Gives up this node's leadership and its lease; takes part in the next election after a pause.
    pub fn resign(&mut self, ctx: &mut Context, lease: u64, reachability: Reachability) {
        revoke(ctx, lease);
        self.known_leader = None;
        let pause = match reachability {
            Reachability::Reachable => RESIGNED_INTERVALS,
            Reachability::Unreachable => RESIGNED_UNREACHABLE_INTERVALS,
        };
        self.read_after(ctx, pause);
    }

    /// The connection to a peer broke. If it is the leader, its process has most likely ended: its lease is revoked
    /// rather than waited for. If it lives, that costs it an election; safety does not rest on the guess, since the
    /// epoch fences what it still sends.
    pub fn revoke_lease_of(&mut self, ctx: &mut Context, peer: &str) {
        if self.known_leader.as_deref() == Some(peer)
            && let Some(lease) = self.leader_lease.take()
        {
            revoke(ctx, lease);
        }
    }

    /// Takes in the reply to a step; `sent_at` is when the step was sent.
    pub fn handle_reply(
        &mut self,
        ctx: &mut Context,
        request: ElectionRequest,
        sent_at: u64,
        result: Result<KvReply, RequestError>,
    ) -> ElectionTransition {
        let Ok(reply) = result else {
            self.read_after(ctx, RETRY_INTERVALS);
            return ElectionTransition::None;
        };
        match (request, reply) {
            (ElectionRequest::ReadLeadership, KvReply::Page(page)) => {
                return self.handle_leadership(ctx, sent_at, &page);
            }
            (ElectionRequest::WatchLeadership, KvReply::Changes(news)) if news.changes.is_empty() => {
                self.watch(ctx);
                return ElectionTransition::CancellationsUnchanged { sent_at };
            }
            (ElectionRequest::WatchLeadership, _) => self.read_leadership(ctx),
            (ElectionRequest::GrantLease, KvReply::LeaseGranted(lease)) => {
                // Read again: the epoch's version must be no older than the lease.
                let get = KvRequest::Get { key: keys::EPOCH.into() };
                send(ctx, get, ElectionRequest::ReadEpoch { lease });
            }
            (ElectionRequest::ReadEpoch { lease }, KvReply::Found(pair)) => {
                self.claim(ctx, lease, epoch_from_value(&pair.value), pair.version);
            }
            (ElectionRequest::ReadEpoch { lease }, KvReply::Missing) => {
                self.claim(ctx, lease, Epoch::NONE, Revision::ABSENT);
            }
            (ElectionRequest::ClaimEpoch { epoch, lease }, KvReply::Committed(revision)) => {
                self.follow(epoch, ctx.settings.node_name.clone());
                return ElectionTransition::BecomeLeader(Claim { epoch, revision, lease });
            }
            (ElectionRequest::ReadEpoch { lease } | ElectionRequest::ClaimEpoch { lease, .. }, _) => {
                revoke(ctx, lease);
                self.read_leadership(ctx);
            }
            (ElectionRequest::ReadLeadership | ElectionRequest::GrantLease, _) => {
                self.read_after(ctx, RETRY_INTERVALS);
            }
        }
        ElectionTransition::None
    }

    fn handle_leadership(&mut self, ctx: &mut Context, sent_at: u64, page: &Page) -> ElectionTransition {
        self.read_revision = page.revision;
        if let Some(pair) = find(page, keys::EPOCH) {
            self.epoch = self.epoch.max(epoch_from_value(&pair.value));
        }
        match find(page, keys::LEADER) {
            Some(pair) => self.handle_leader_record(ctx, LeaderRecord::from_value(&pair.value)),
            None => {
                self.known_leader = None;
                let ttl_ms = leader_lease_ms(&ctx.settings, &ctx.tuning);
                send(ctx, KvRequest::GrantLease { ttl_ms }, ElectionRequest::GrantLease);
            }
        }
        if page.truncated {
            return ElectionTransition::None;
        }
        let cancelled = page.pairs.iter().filter_map(|pair| pair.key.strip_prefix(keys::CANCELLED));
        ElectionTransition::CancellationsRead { sent_at, cancelled: cancelled.map(str::to_string).collect() }
    }

    fn handle_leader_record(&mut self, ctx: &mut Context, record: LeaderRecord) {
        if record.node == ctx.settings.node_name {
            // From before a restart, or from a claim whose answer was lost.
            self.known_leader = None;
            revoke(ctx, record.lease.unwrap_or(0));
            self.read_after(ctx, OWN_LEASE_REVOKED_INTERVALS);
        } else {
            self.known_leader = Some(record.node);
            self.leader_lease = record.lease;
            self.watch(ctx);
        }
    }

    /// Writes the leader's key and the next epoch, if there is still no leader and the epoch is as read.
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
        let max_wait_ms = ctx.settings.heartbeat_interval_ms() / WATCH_FRACTION;
        let watch = KvRequest::Watch { prefix: LEADERSHIP_PREFIX.into(), after: self.read_revision, max_wait_ms };
        send(ctx, watch, ElectionRequest::WatchLeadership);
    }

    fn read_after(&mut self, ctx: &Context, heartbeat_intervals: f64) {
        let wait_ms = (ctx.settings.heartbeat_interval_s * heartbeat_intervals * 1000.0) as u64;
        self.read_due_at = Some(ctx.now_ms() + wait_ms);
    }
}

fn find<'a>(page: &'a Page, key: &str) -> Option<&'a KeyValue> {
    page.pairs.iter().find(|pair| pair.key == key)
}

fn send(ctx: &mut Context, request: KvRequest, step: ElectionRequest) {
    ctx.send_kv(request, PendingRequest::Election(step));
}

fn revoke(ctx: &mut Context, lease: u64) {
    ctx.send_kv(KvRequest::RevokeLease { lease }, PendingRequest::Ignored);
}

/// Time to live of a leader's lease without renewal, in milliseconds.
fn leader_lease_ms(settings: &Settings, tuning: &Tuning) -> u64 {
    let lease_ms = settings.heartbeat_interval_s * tuning.leader_lease_intervals * 1000.0;
    lease_ms.max(MIN_LEADER_LEASE_MS) as u64
}

#[cfg(test)]
mod tests;
