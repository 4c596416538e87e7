//! `went_back`: a final status is never followed by another one, and only a job that its user cancelled,
//! or that depends on such a one, is called cancelled. `not_done`: a job is called done when all its
//! tasks have completed.

use super::{Checker, JobHistory, Rule, UserAnswer};
use shaleshunt_wire::user::{JobKind, JobStatus, Submission};
use std::collections::BTreeSet;

impl Checker {
    /// Final statuses never differ, whoever asked first; an open one may only be older than a final one.
    pub(super) fn check_status_follows(&mut self, answer: &UserAnswer, needed: &BTreeSet<String>) {
        let nothing = JobHistory::default();
        let history = self.seen(answer.job).unwrap_or(&nothing);
        let contradicts = match answer.status {
            JobStatus::Cancelled => history.done_at.is_some() || !self.is_cancellation_explained(answer.job, needed),
            JobStatus::Done => history.cancelled_at.is_some(),
            JobStatus::Queued | JobStatus::Running => {
                answer.asked_after(history.done_at) || answer.asked_after(history.cancelled_at)
            }
        };
        if contradicts {
            self.report(answer.now, Rule::WentBack, format!("{} is {:?}", answer.job, answer.status));
        }
    }

    fn is_cancellation_explained(&self, job: &str, needed: &BTreeSet<String>) -> bool {
        let is_requested = |job: &str| self.seen(job).is_some_and(|history| history.cancel_requested);
        is_requested(job) || needed.iter().any(|needed| is_requested(needed))
    }

    pub(super) fn check_done(&mut self, answer: &UserAnswer, spec: &Submission) {
        if answer.status != JobStatus::Done {
            return;
        }
        let history = self.history(answer.job);
        let first = history.done_at.is_none();
        history.done_at.get_or_insert(answer.now);
        let may_be_done = self.all_tasks_completed(spec) && spec.kind != JobKind::Service;
        if first && !may_be_done {
            self.report(answer.now, Rule::NotDone, answer.job.into());
        }
    }
}
