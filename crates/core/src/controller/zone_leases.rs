//! Renewal of leases of this zone's machines while the leader is not heard.
//!
//! In a network partition the leader grants each zone's controller the right to renew the leases of the machines
//! there for a term. The controller speaks with the fencing token that the machine has seen, of the epoch of the
//! leader last heard, and starts no tasks; it stops those that are cancelled.
//!
//! What always holds: the term ends `cancel_s - lease_s` less a margin after the last moment at which the leader
//! surely led *and* no cancellation had been missed. The leader, and the next one, rely on that before they release
//! anything of a silent machine.

use super::context::Context;
use shaleshunt_wire::Epoch;
use shaleshunt_wire::worker::{Heartbeat, TaskCommand, TaskReport, TaskStatus, split_task_name};
use std::collections::BTreeSet;

/// The leader counts as not heard after this fraction of a heartbeat interval.
const LEADER_SILENCE_FRACTION: u64 = 2;

/// The leader as last heard by a heartbeat of its own.
#[derive(Debug, Clone, Default)]
struct LeaderContact {
    epoch: Epoch,
    /// When its last heartbeat arrived.
    heard_at: u64,
    /// It surely led after this time, because it had received a heartbeat that this process sent then; 0 if
    /// nothing proves that.
    surely_led_at: u64,
}

/// What this process knows that allows it to renew leases without the leader.
#[derive(Debug, Default)]
pub(super) struct ZoneLeases {
    leader: LeaderContact,
    /// No cancellation committed before this time is missing from `cancelled`.
    cancellations_known_at: u64,
    /// Cancelled jobs that have not ended.
    cancelled: BTreeSet<String>,
    renewed_at: Option<u64>,
}

impl ZoneLeases {
    /// Records a heartbeat of the leader, and the sending time of our heartbeat that it echoes, if any.
    pub fn record_leader_heartbeat(&mut self, epoch: Epoch, now: u64, echoed_at: Option<u64>) {
        if self.leader.epoch != epoch {
            self.leader = LeaderContact { epoch, ..LeaderContact::default() };
        }
        self.leader.heard_at = now;
        self.leader.surely_led_at = self.leader.surely_led_at.max(echoed_at.unwrap_or(0));
    }

    /// Replaces the cancelled jobs by those that a read sent at this time found.
    pub fn set_cancellations(&mut self, read_sent_at: u64, cancelled: BTreeSet<String>) {
        self.cancellations_known_at = read_sent_at;
        self.cancelled = cancelled;
    }

    /// A watch sent at this time has shown that no cancellation was added.
    pub fn confirm_cancellations(&mut self, watch_sent_at: u64) {
        self.cancellations_known_at = watch_sent_at;
    }

    /// Time since a lease was last renewed without the leader, or since the clock's zero, in milliseconds.
    pub fn renewal_age_ms(&self, now: u64) -> u64 {
        now.saturating_sub(self.renewed_at.unwrap_or(0))
    }

    /// Renews the lease of the machine that sent a heartbeat, if that is allowed without the leader: the commands
    /// for the reply. `epoch` is the highest epoch known; `is_cancelled` knows jobs found cancelled otherwise.
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
        self.renewed_at = Some(ctx.now_ms());
        let is_cancelled = |job: &str| self.cancelled.contains(job) || is_cancelled(job);
        Some(heartbeat.tasks.iter().filter(|task| must_stop(task, is_cancelled)).map(stop_command).collect())
    }

    fn may_renew(&self, ctx: &Context, epoch: Epoch, heartbeat: &Heartbeat) -> bool {
        let (now, settings) = (ctx.now_ms(), &ctx.settings);
        let silence_ms = settings.heartbeat_interval_ms() / LEADER_SILENCE_FRACTION;
        let leader_silent = now.saturating_sub(self.leader.heard_at) > silence_ms;
        let leader_is_newest = self.leader.epoch > Epoch::NONE && self.leader.epoch == epoch;
        let token_is_current = heartbeat.token.epoch() == self.leader.epoch;
        let in_own_zone = heartbeat.zone == settings.zone;
        let sure_at = self.leader.surely_led_at.min(self.cancellations_known_at);
        let term_ms = settings.lease_renewal_window_ms().min((ctx.tuning.zone_lease_term_s * 1000.0) as u64);
        let within_term = sure_at > 0 && now < sure_at + term_ms;
        leader_silent && leader_is_newest && token_is_current && in_own_zone && within_term
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
