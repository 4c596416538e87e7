//! Renews the leases of this zone's machines while the leader is unreachable.
//!
//! The leader grants each zone's controller the right to renew the leases of the machines in its zone for a limited
//! term during a network partition. The controller replies with the fencing token that the machine has seen, which must
//! be of the epoch of the last known leader. It starts no tasks, and stops the tasks of cancelled jobs.
//!
//! Invariant: the term ends `cancel_s - lease_s`, less a margin, after the latest time for which two facts are proven:
//! the leader was leading, and no earlier cancellation is missing here. The current leader and the next one rely on
//! this before they release the placements of an unreachable machine.

use super::context::Context;
use shaleshunt_wire::Epoch;
use shaleshunt_wire::worker::{Heartbeat, TaskCommand, TaskReport, TaskStatus, split_task_name};
use std::collections::BTreeSet;

/// The leader counts as unreachable after a heartbeat interval divided by this number without a heartbeat.
const LEADER_TIMEOUT_DIVISOR: u64 = 2;

/// The leader's state as known from its own heartbeats. Times are on the monotonic clock.
#[derive(Debug, Clone, Default)]
struct LeaderContact {
    epoch: Epoch,
    /// Arrival of the leader's last heartbeat.
    last_heartbeat_at_ms: u64,
    /// Time after which the leader was provably leading: the sending time of the last heartbeat of this process that
    /// the leader echoed; 0 if the leader has echoed none.
    confirmed_at_ms: u64,
}

/// State that decides whether this process may renew machine leases without the leader. Times are on the monotonic
/// clock.
#[derive(Debug, Default)]
pub(super) struct ZoneLeases {
    leader: LeaderContact,
    /// Every cancellation committed before this time is in `cancelled`; 0 if cancellations were never read.
    cancellations_known_at_ms: u64,
    /// Names of cancelled jobs that have not ended.
    cancelled: BTreeSet<String>,
    /// Time of the last lease renewal without the leader; `None` if there was none.
    last_renewal_at_ms: Option<u64>,
}

impl ZoneLeases {
    /// Records a heartbeat of the leader. `echoed_at_ms` is the sending time of the heartbeat that the leader echoes,
    /// if this process sent it.
    pub fn record_leader_heartbeat(&mut self, epoch: Epoch, now_ms: u64, echoed_at_ms: Option<u64>) {
        if self.leader.epoch != epoch {
            self.leader = LeaderContact { epoch, ..LeaderContact::default() };
        }
        self.leader.last_heartbeat_at_ms = now_ms;
        self.leader.confirmed_at_ms = self.leader.confirmed_at_ms.max(echoed_at_ms.unwrap_or(0));
    }

    /// Replaces the cancelled jobs with the result of a read that was sent at `read_sent_at_ms`.
    pub fn set_cancellations(&mut self, read_sent_at_ms: u64, cancelled: BTreeSet<String>) {
        self.cancellations_known_at_ms = read_sent_at_ms;
        self.cancelled = cancelled;
    }

    /// Records that a watch sent at `watch_sent_at_ms` found no changes to the cancellations.
    pub fn confirm_cancellations(&mut self, watch_sent_at_ms: u64) {
        self.cancellations_known_at_ms = watch_sent_at_ms;
    }

    /// Returns the time since the last lease renewal without the leader, in milliseconds; `now_ms` if there was none.
    pub fn renewal_age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.last_renewal_at_ms.unwrap_or(0))
    }

    /// Renews the lease of the machine that sent `heartbeat`, if this process may do so without the leader. Returns the
    /// commands for the reply, or `None` if the lease is not renewed. `epoch` is the highest known epoch;
    /// `is_cancelled` returns whether a job is known to be cancelled from other sources than
    /// [`ZoneLeases::set_cancellations`].
    pub fn renew(
        &mut self,
        ctx: &Context,
        epoch: Epoch,
        heartbeat: &Heartbeat,
        is_cancelled: impl Fn(&str) -> bool,
    ) -> Option<Vec<TaskCommand>> {
        if !self.may_renew(ctx, epoch, heartbeat) {
            return None;
        }
        self.last_renewal_at_ms = Some(ctx.now_ms());
        let is_cancelled = |job: &str| self.cancelled.contains(job) || is_cancelled(job);
        Some(heartbeat.tasks.iter().filter(|task| must_stop(task, is_cancelled)).map(stop_command).collect())
    }

    fn may_renew(&self, ctx: &Context, epoch: Epoch, heartbeat: &Heartbeat) -> bool {
        let (now_ms, settings) = (ctx.now_ms(), &ctx.settings);
        let timeout_ms = settings.heartbeat_interval_ms() / LEADER_TIMEOUT_DIVISOR;
        let leader_unreachable = now_ms.saturating_sub(self.leader.last_heartbeat_at_ms) > timeout_ms;
        let leader_is_newest = self.leader.epoch > Epoch::NONE && self.leader.epoch == epoch;
        let token_is_current = heartbeat.token.epoch() == self.leader.epoch;
        let in_own_zone = heartbeat.zone == settings.zone;
        let both_confirmed_at_ms = self.leader.confirmed_at_ms.min(self.cancellations_known_at_ms);
        let term_ms = settings.lease_renewal_window_ms().min((ctx.tuning.zone_lease_term_s * 1000.0) as u64);
        let within_term = both_confirmed_at_ms > 0 && now_ms < both_confirmed_at_ms + term_ms;
        leader_unreachable && leader_is_newest && token_is_current && in_own_zone && within_term
    }
}

fn must_stop(task: &TaskReport, is_cancelled: impl Fn(&str) -> bool) -> bool {
    let job_is_cancelled = split_task_name(&task.task).is_some_and(|(job, _)| is_cancelled(job));
    task.status != TaskStatus::Exited && job_is_cancelled
}

fn stop_command(task: &TaskReport) -> TaskCommand {
    TaskCommand::Stop { task: task.task.clone(), attempt: task.attempt, grace_period_s: 0.0 }
}

#[cfg(test)]
mod tests;
