//! `forgotten`: an accepted job stays known, a repeated submission of it is never refused, and requests about it are
//! answered as long as the service can be reached.

use super::{Checker, Rule};

/// Maximum time without an answer about a job, in ms. The value is slightly less than the protocol allows.
const MAX_ANSWER_GAP_MS: u64 = 75_000;

impl Checker {
    /// Reports an answer that calls a job unknown whose acceptance a user had seen before the request was sent.
    pub(super) fn check_known(&mut self, now: u64, asked_at: u64, job: &str) {
        let accepted_at = self.known_history(job).and_then(|history| history.accepted_at);
        if accepted_at.is_some_and(|at| at < asked_at) {
            self.report(now, Rule::Forgotten, format!("status 404 for {job}, which was accepted"));
        }
    }

    /// Records a permanent refusal of a submission, and reports the refusal if the job was already accepted.
    pub(super) fn submission_refused(&mut self, now: u64, job: &str, http_status: u16) {
        if self.known_history(job).is_some_and(|history| history.accepted_at.is_some()) {
            self.report(now, Rule::Forgotten, format!("status {http_status} for {job}, which was accepted"));
        } else {
            self.history(job).refused_with = Some(http_status);
        }
    }

    /// Reports an accepted job about which no request has been answered for too long, although its user sends requests
    /// all the time. The time counts from `faults_over_at` at the earliest, as faults may prevent answers.
    pub fn check_answer_gap(&mut self, now: u64, faults_over_at: u64, job: &str) {
        let Some(history) = self.known_history(job) else { return };
        let since = history.answered_at.unwrap_or(0).max(faults_over_at);
        let is_forgotten = history.accepted_at.is_some() && now > since + MAX_ANSWER_GAP_MS;
        if is_forgotten && !history.answer_gap_reported {
            self.history(job).answer_gap_reported = true;
            let description = format!("no request about {job} was answered since {since} ms");
            self.report(now, Rule::Forgotten, description);
        }
    }
}
