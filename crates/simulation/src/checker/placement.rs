//! `wrong_place`: a task starts only on a machine whose type, zone and kind (spot or not) its job allows. For jobs
//! whose tasks must share a zone or spread over zones, the job's other tasks on machines count as well.

use super::{Checker, Rule};
use crate::agent::Machine;
use shaleshunt_wire::user::Submission;

impl Checker {
    pub(super) fn check_placement(&mut self, now: u64, task: &str, machine: &Machine, spec: &Submission) {
        if !is_allowed(machine, spec) || !self.fits_other_tasks(machine, spec) {
            self.report(
                now,
                Rule::WrongPlace,
                format!("{task} starts on {}, which its job does not allow", machine.id),
            );
        }
    }

    /// Whether a start on the machine keeps the job's tasks in one zone, or spread over zones, as the job requires.
    fn fits_other_tasks(&self, machine: &Machine, spec: &Submission) -> bool {
        let mut in_same_zone = 0_u32;
        let mut in_other_zones = 0_u32;
        for placement in self.placements_of(&spec.id).flatten() {
            if placement.machine.zone == machine.zone {
                in_same_zone += 1;
            } else {
                in_other_zones += 1;
            }
        }
        let max_in_zone = spec.tasks.div_ceil(2);
        let shares_zone = !spec.single_zone || in_other_zones == 0;
        let is_spread = !spec.spread_zones || in_same_zone < max_in_zone;
        shares_zone && is_spread
    }
}

/// Whether a job allows a machine, regardless of the job's other tasks.
fn is_allowed(machine: &Machine, spec: &Submission) -> bool {
    spec.machine_types.as_ref().is_none_or(|types| types.contains(&machine.machine_type))
        && spec.zone.as_ref().is_none_or(|zone| *zone == machine.zone)
        && (spec.spot || !machine.spot)
}
