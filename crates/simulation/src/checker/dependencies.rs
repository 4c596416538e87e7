//! `too_early`: a job's tasks start only after all jobs that it depends on have completed. `orphaned`: a job ends when
//! a job that it depends on, directly or through others, is cancelled, within the time limit of cancellations.

use super::{Checker, Rule, UserAnswer};
use shaleshunt_wire::user::Submission;
use std::collections::BTreeSet;

impl Checker {
    pub(super) fn check_dependencies_completed(&mut self, now: u64, task: &str, spec: &Submission) {
        for dependency in &spec.dependencies {
            if !self.submissions.get(dependency).is_some_and(|spec| self.all_tasks_completed(spec)) {
                self.report(now, Rule::TooEarly, format!("{task} starts before {dependency} has completed"));
            }
        }
    }

    pub(super) fn check_cancelled_with_dependencies(&mut self, answer: &UserAnswer, dependencies: &BTreeSet<String>) {
        let cancelled_long_ago = |job: &String| {
            let cancelled_at = self.known_history(job).and_then(|history| history.cancelled_at);
            cancelled_at.is_some_and(|at| answer.asked_at > at + self.cancel_ms)
        };
        if answer.is_open() && dependencies.iter().any(cancelled_long_ago) {
            self.report(answer.now, Rule::Orphaned, format!("{} is still {:?}", answer.job, answer.status));
        }
    }

    /// All jobs that a job depends on, directly or through others.
    pub(super) fn all_dependencies(&self, job: &str) -> BTreeSet<String> {
        let mut found = BTreeSet::new();
        let mut to_visit = vec![job.to_string()];
        while let Some(visited) = to_visit.pop() {
            for dependency in self.submissions.get(&visited).into_iter().flat_map(|spec| &spec.dependencies) {
                if found.insert(dependency.clone()) {
                    to_visit.push(dependency.clone());
                }
            }
        }
        found
    }
}
