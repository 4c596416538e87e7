//! Communication with the peers: their reports, heartbeats to them, and the job progress that the leader shares.

use super::context::Context;
use super::peer_views::PeerViews;
use crate::api::TaskCounts;
use crate::settings::Settings;
use shaleshunt_peer::{Frame, JobProgress, PeerHeartbeat};
use shaleshunt_wire::Epoch;
use std::collections::HashMap;

/// Heartbeats sent to each peer per heartbeat interval of the agents.
const PEER_HEARTBEATS_PER_AGENT_HEARTBEAT: u64 = 12;
/// Job progress frames that the leader sends to each peer per heartbeat interval of the agents.
const PROGRESS_FRAMES_PER_AGENT_HEARTBEAT: u64 = 3;

/// Counts of done and running tasks by job name, as last shared by the leader. For display only.
pub(super) type SharedTaskCounts = HashMap<String, TaskCounts>;

/// State of the communication with the peers.
#[derive(Debug)]
pub(super) struct Peers {
    views: PeerViews,
    task_counts: SharedTaskCounts,
    /// Time of the next heartbeats on the monotonic clock.
    heartbeat_due_at_ms: u64,
    /// Time of the next job progress frames on the monotonic clock.
    progress_due_at_ms: u64,
}

impl Peers {
    /// Creates the state of a process that starts at `now_ms` and has received nothing from its peers.
    pub fn new(settings: &Settings, now_ms: u64) -> Peers {
        Peers {
            views: PeerViews::new(settings),
            task_counts: SharedTaskCounts::new(),
            heartbeat_due_at_ms: now_ms,
            progress_due_at_ms: now_ms,
        }
    }

    /// Returns the peers' last reported state.
    pub fn views(&self) -> &PeerViews {
        &self.views
    }

    /// Returns the peers' last reported state, to record heartbeats and broken connections.
    pub fn views_mut(&mut self) -> &mut PeerViews {
        &mut self.views
    }

    /// Returns the task counts that the leader last shared.
    pub fn task_counts(&self) -> &SharedTaskCounts {
        &self.task_counts
    }

    /// Replaces the task counts with those in a job progress frame.
    pub fn record_progress(&mut self, jobs: Vec<JobProgress>) {
        let counts =
            |progress: JobProgress| (progress.job, TaskCounts { done: progress.done, running: progress.running });
        self.task_counts = jobs.into_iter().map(counts).collect();
    }

    /// Returns whether heartbeats are due, and if so schedules the next ones.
    pub fn take_heartbeat_due(&mut self, now_ms: u64, settings: &Settings) -> bool {
        let interval_ms = settings.heartbeat_interval_ms() / PEER_HEARTBEATS_PER_AGENT_HEARTBEAT;
        take_due(&mut self.heartbeat_due_at_ms, now_ms, interval_ms)
    }

    /// Returns whether job progress frames are due, and if so schedules the next ones.
    pub fn take_progress_due(&mut self, now_ms: u64, settings: &Settings) -> bool {
        let interval_ms = settings.heartbeat_interval_ms() / PROGRESS_FRAMES_PER_AGENT_HEARTBEAT;
        take_due(&mut self.progress_due_at_ms, now_ms, interval_ms)
    }

    /// Makes heartbeats due at `now_ms`, so that the peers learn of a new leader at once.
    pub fn expedite_heartbeat(&mut self, now_ms: u64) {
        self.heartbeat_due_at_ms = now_ms;
    }

    /// Sends a heartbeat to each peer, with the echo of the peer's last heartbeat.
    pub fn send_heartbeats(&self, ctx: &mut Context, heartbeat: &PeerHeartbeat) {
        for (name, echo) in self.views.last_heartbeats() {
            let heartbeat = PeerHeartbeat { echo, ..heartbeat.clone() };
            ctx.send_peer(name.clone(), Frame::Heartbeat(heartbeat));
        }
    }

    /// Sends the leader's job progress to all peers.
    pub fn send_progress(&self, ctx: &mut Context, epoch: Epoch, jobs: Vec<JobProgress>) {
        let frame = Frame::JobProgress { epoch, jobs };
        for (name, _) in self.views.last_heartbeats() {
            ctx.send_peer(name.clone(), frame.clone());
        }
    }
}

/// Returns whether a periodic action is due, and if so schedules the next one.
fn take_due(due_at_ms: &mut u64, now_ms: u64, interval_ms: u64) -> bool {
    let due = *due_at_ms <= now_ms;
    if due {
        *due_at_ms = now_ms + interval_ms;
    }
    due
}
