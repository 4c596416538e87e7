//! `invented`: the service answers for jobs, and runs their tasks, only if a user submitted them.

use super::{Checker, Rule};
use shaleshunt_wire::user::Submission;

impl Checker {
    /// The submission of a job that the service shows or runs. If there is none, a violation with the given description
    /// is reported.
    pub(super) fn submitted(
        &mut self,
        now: u64,
        job: &str,
        description: impl FnOnce() -> String,
    ) -> Option<Submission> {
        let spec = self.submissions.get(job).cloned();
        if spec.is_none() {
            self.report(now, Rule::Invented, description());
        }
        spec
    }

    /// Reports an accepted job that depends on a job that nobody submitted.
    pub(super) fn check_dependencies_submitted(&mut self, now: u64, spec: &Submission) {
        if spec.dependencies.iter().any(|dependency| !self.submissions.contains_key(dependency)) {
            let description = format!("{} depends on a job that nobody submitted", spec.id);
            self.report(now, Rule::Invented, description);
        }
    }
}
