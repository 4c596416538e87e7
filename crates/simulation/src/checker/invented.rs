//! `invented`: the service answers for, and runs tasks of, jobs that somebody submitted, and no others.

use super::{Checker, Rule};
use shaleshunt_wire::user::Submission;

impl Checker {
    /// The submission of a job that shows up; without one it is reported as invented.
    pub(super) fn submitted(&mut self, now: u64, job: &str, shown_by: impl FnOnce() -> String) -> Option<Submission> {
        let spec = self.submissions.get(job).cloned();
        if spec.is_none() {
            self.report(now, Rule::Invented, shown_by());
        }
        spec
    }

    /// A job that was accepted names only jobs that somebody submitted.
    pub(super) fn check_dependencies_submitted(&mut self, now: u64, spec: &Submission) {
        if spec.dependencies.iter().any(|needed| !self.submissions.contains_key(needed)) {
            let what = format!("{} needs a job that nobody has submitted", spec.id);
            self.report(now, Rule::Invented, what);
        }
    }
}
