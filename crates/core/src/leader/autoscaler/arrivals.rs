//! Recent job arrivals. The autoscaler expects the same arrivals again and keeps capacity for them.

use crate::leader::Leader;
use crate::model::{Id, Job};
use crate::records::JobRecord;
use std::collections::VecDeque;

/// Maximum number of stored arrivals: three times what arrives within two boot times in a threefold burst at 4,000
/// machines. The oldest arrivals are dropped first.
const MAX_ARRIVALS: usize = 6000;

/// A job as it arrived, with all its tasks waiting.
#[derive(Debug)]
struct Arrival {
    /// Time of arrival (ms, monotonic).
    at_ms: u64,
    job: Job,
}

/// Recent arrivals, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Arrivals {
    recent: VecDeque<Arrival>,
}

impl Arrivals {
    /// Records a job that arrived at `now` (ms, monotonic).
    fn record(&mut self, now: u64, job: &Job) {
        let record = JobRecord::new(job.spec.clone(), job.accepted_at_ms);
        self.recent.push_back(Arrival { at_ms: now, job: Job::new(record, job.record.version) });
        if self.recent.len() > MAX_ARRIVALS {
            self.recent.pop_front();
        }
    }

    /// Drops arrivals older than `window_ms`.
    pub(super) fn drop_older(&mut self, now: u64, window_ms: f64) {
        self.recent.retain(|arrival| now.saturating_sub(arrival.at_ms) as f64 <= window_ms);
    }

    /// The arrived jobs, oldest first.
    pub(super) fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.recent.iter().map(|arrival| &arrival.job)
    }
}

impl Leader {
    /// Records the arrival of a job without open dependencies. The same load is expected again.
    pub(crate) fn record_arrival(&mut self, now: u64, id: &Id) {
        if let Some(job) = self.jobs.get(id) {
            self.autoscaler.arrivals.record(now, job);
        }
    }
}

#[cfg(test)]
mod tests;
