//! `quota`: the CPUs of a team's tasks that are on machines never exceed the team's limit.

use super::{Checker, Rule};
use shaleshunt_wire::to_milli;

impl Checker {
    pub(super) fn check_quota(&mut self, now: u64, team: &str) {
        let limit = self.cpu_limits.get(team).copied().unwrap_or(0.0);
        let used_millicores = self.used_millicores(team);
        if limit > 0.0 && used_millicores > to_milli(limit) {
            self.report(now, Rule::Quota, format!("{team} uses {} of {limit} CPUs", used_millicores as f64 / 1000.0));
        }
    }
}
