//! `ran_twice`: at any time a task is on one machine at most.

use super::{Checker, Rule};
use crate::agent::Machine;

impl Checker {
    pub(super) fn check_runs_once(&mut self, now: u64, task: &str, machine: &Machine) {
        let Some(other) = self.placements.get(task).and_then(|placements| placements.first()) else { return };
        let what = format!("{task} starts on {} while on {}", machine.id, other.machine.id);
        self.report(now, Rule::RanTwice, what);
    }
}
