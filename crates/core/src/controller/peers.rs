//! Exchange with the other controllers: what they report, heartbeats to them, and the job progress that the leader
//! shares.

use super::context::Context;
use super::peer_views::PeerViews;
use crate::api::TaskCounts;
use crate::settings::Settings;
use shaleshunt_peer::{Frame, JobProgress, PeerHeartbeat};
use shaleshunt_wire::Epoch;
use std::collections::HashMap;

/// Heartbeats between controllers in one heartbeat interval of the agents.
const HEARTBEATS_PER_INTERVAL: u64 = 12;
/// Times that the leader shares job progress in one heartbeat interval of the agents.
const PROGRESS_PER_INTERVAL: u64 = 3;

/// Done and running tasks by job, as the leader last shared them. For display only.
pub(super) type SharedTaskCounts = HashMap<String, TaskCounts>;

/// Exchange with the other controllers.
#[derive(Debug)]
pub(super) struct Peers {
    views: PeerViews,
    task_counts: SharedTaskCounts,
    heartbeat_due_at: u64,
    progress_due_at: u64,
}

impl Peers {
    /// The configured peers, of which nothing has been heard.
    pub fn new(settings: &Settings, now: u64) -> Peers {
        Peers {
            views: PeerViews::new(settings),
            task_counts: SharedTaskCounts::new(),
            heartbeat_due_at: now,
            progress_due_at: now,
        }
    }

    /// What the peers last reported.
    pub fn views(&self) -> &PeerViews {
        &self.views
    }

    /// What the peers last reported, to record heartbeats and broken connections.
    pub fn views_mut(&mut self) -> &mut PeerViews {
        &mut self.views
    }

    /// Task counts that the leader shared.
    pub fn task_counts(&self) -> &SharedTaskCounts {
        &self.task_counts
    }

    /// Replaces the task counts by what the leader shared.
    pub fn record_progress(&mut self, jobs: Vec<JobProgress>) {
        let counts =
            |progress: JobProgress| (progress.job, TaskCounts { done: progress.done, running: progress.running });
        self.task_counts = jobs.into_iter().map(counts).collect();
    }

    /// Whether heartbeats are due; plans the next ones if so.
    pub fn take_heartbeat_due(&mut self, now: u64, settings: &Settings) -> bool {
        let interval_ms = settings.heartbeat_interval_ms() / HEARTBEATS_PER_INTERVAL;
        take_due(&mut self.heartbeat_due_at, now, interval_ms)
    }

    /// Whether the leader's job progress is due; plans the next time if so.
    pub fn take_progress_due(&mut self, now: u64, settings: &Settings) -> bool {
        let interval_ms = settings.heartbeat_interval_ms() / PROGRESS_PER_INTERVAL;
        take_due(&mut self.progress_due_at, now, interval_ms)
    }

    /// Makes heartbeats due in this batch, so that a new leader is known at once.
    pub fn expedite_heartbeat(&mut self, now: u64) {
        self.heartbeat_due_at = now;
    }

    /// Sends a heartbeat to each peer, with the echo of that peer's last one.
    pub fn send_heartbeats(&self, ctx: &mut Context, heartbeat: &PeerHeartbeat) {
        for (name, echo) in self.views.last_heartbeats() {
            let heartbeat = PeerHeartbeat { echo, ..heartbeat.clone() };
            ctx.send_peer(name.clone(), Frame::Heartbeat(heartbeat));
        }
    }

    /// Shares the leader's job progress with all peers.
    pub fn send_progress(&self, ctx: &mut Context, epoch: Epoch, jobs: Vec<JobProgress>) {
        let frame = Frame::JobProgress { epoch, jobs };
        for (name, _) in self.views.last_heartbeats() {
            ctx.send_peer(name.clone(), frame.clone());
        }
    }
}

/// Whether a periodic action is due; plans the next one if so.
fn take_due(due_at: &mut u64, now: u64, interval_ms: u64) -> bool {
    let due = *due_at <= now;
    if due {
        *due_at = now + interval_ms;
    }
    due
}
