//! `went_back`: no other status follows a final status, and a job is shown as cancelled only if its user cancelled it
//! or a job that it depends on. `not_done`: a job is shown as done only after all its tasks have completed.

use super::{Checker, JobHistory, Rule, UserAnswer};
use shaleshunt_wire::user::{JobKind, JobStatus, Submission};
use std::collections::BTreeSet;

impl Checker {
    /// Reports an answer that contradicts earlier ones. Two final statuses must be equal, in whichever order the users
    /// asked. After a final status, an open one is allowed only if its request was sent before the final status was
    /// shown.
    pub(super) fn check_status_follows(&mut self, answer: &UserAnswer, dependencies: &BTreeSet<String>) {
        let empty = JobHistory::default();
        let history = self.known_history(answer.job).unwrap_or(&empty);
        let contradicts = match answer.status {
            JobStatus::Cancelled => {
                history.done_at.is_some() || !self.is_cancellation_explained(answer.job, dependencies)
            }
            JobStatus::Done => history.cancelled_at.is_some(),
            JobStatus::Queued | JobStatus::Running => {
                answer.asked_after(history.done_at) || answer.asked_after(history.cancelled_at)
            }
        };
        if contradicts {
            self.report(answer.now, Rule::WentBack, format!("{} is shown as {:?}", answer.job, answer.status));
        }
    }

    /// Whether a user requested the cancellation of the job or of one of its dependencies.
    fn is_cancellation_explained(&self, job: &str, dependencies: &BTreeSet<String>) -> bool {
        let is_requested = |job: &str| self.known_history(job).is_some_and(|history| history.cancel_requested);
        is_requested(job) || dependencies.iter().any(|dependency| is_requested(dependency))
    }

    /// Reports the first answer that shows a job as done too early. Services are never done.
    pub(super) fn check_done(&mut self, answer: &UserAnswer, spec: &Submission) {
        if answer.status != JobStatus::Done {
            return;
        }
        let history = self.history(answer.job);
        let is_first = history.done_at.is_none();
        history.done_at.get_or_insert(answer.now);
        let may_be_done = self.all_tasks_completed(spec) && spec.kind != JobKind::Service;
        if is_first && !may_be_done {
            self.report(answer.now, Rule::NotDone, answer.job.into());
        }
    }
}
