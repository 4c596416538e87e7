//! How long after the end of controllers every machine has an answer again.

use std::collections::BTreeSet;
use tokio::time::Instant;

/// A failover that is over.
#[derive(Debug, Clone, Copy)]
pub struct Recovery {
    /// Machines of the fleet.
    pub machines: usize,
    /// Seconds from the end of the controllers until the last machine had an answer.
    pub seconds: f64,
}

/// Machines that have not had an answer since controllers were ended.
#[derive(Debug, Default)]
pub struct FailoverClock {
    /// All machines that ever had an answer.
    known: BTreeSet<String>,
    unanswered: BTreeSet<String>,
    began: Option<Instant>,
}

impl FailoverClock {
    /// Controllers were ended just now.
    pub fn start(&mut self) {
        self.unanswered = self.known.clone();
        self.began = Some(Instant::now());
    }

    /// A machine had an answer; the recovery, if it was the last one.
    pub fn answered(&mut self, machine: &str) -> Option<Recovery> {
        if !self.known.contains(machine) {
            self.known.insert(machine.into());
        }
        self.unanswered.remove(machine);
        if !self.unanswered.is_empty() {
            return None;
        }
        let began = self.began.take()?;
        Some(Recovery { machines: self.known.len(), seconds: began.elapsed().as_secs_f64() })
    }
}
