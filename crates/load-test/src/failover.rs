//! Measures the time from the kill of controllers until every machine has had an answer again.

use std::collections::BTreeSet;
use tokio::time::Instant;

/// A failover after which every machine has had an answer.
#[derive(Debug, Clone, Copy)]
pub struct CompletedFailover {
    /// Number of machines in the fleet.
    pub machines: usize,
    /// Time from the kill of the controllers until the last machine had an answer, in seconds.
    pub duration_s: f64,
}

/// Machines that have not had an answer since controllers were last killed.
#[derive(Debug, Default)]
pub struct FailoverTimer {
    /// All machines that have ever had an answer.
    known: BTreeSet<String>,
    unanswered: BTreeSet<String>,
    started_at: Option<Instant>,
}

impl FailoverTimer {
    /// Starts to measure, as controllers have just been killed; a failover still being measured is discarded.
    pub fn start(&mut self) {
        self.unanswered = self.known.clone();
        self.started_at = Some(Instant::now());
    }

    /// Records that a machine had an answer. Returns the failover if it was the last machine without one.
    pub fn record_answer(&mut self, machine: &str) -> Option<CompletedFailover> {
        if !self.known.contains(machine) {
            self.known.insert(machine.into());
        }
        self.unanswered.remove(machine);
        if !self.unanswered.is_empty() {
            return None;
        }
        let started_at = self.started_at.take()?;
        Some(CompletedFailover { machines: self.known.len(), duration_s: started_at.elapsed().as_secs_f64() })
    }
}
