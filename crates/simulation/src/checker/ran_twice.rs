//! `ran_twice`: a task is on at most one machine at any time.

use super::{Checker, Rule};
use crate::agent::Machine;

impl Checker {
    pub(super) fn check_runs_once(&mut self, now: u64, task: &str, machine: &Machine) {
        let Some(other) = self.placements.get(task).and_then(|placements| placements.first()) else { return };
        let description = format!("{task} starts on {} while it is on {}", machine.id, other.machine.id);
        self.report(now, Rule::RanTwice, description);
    }
}
