//! Jobs that arrived lately. As much is expected to arrive again, and room for it is kept.

use crate::leader::Leader;
use crate::model::{Id, Job};
use crate::records::JobRecord;
use std::collections::VecDeque;

/// Most arrivals remembered: three times what comes within two boot times in a threefold burst at 4,000
/// machines. Of more the oldest are forgotten.
const MAX_ARRIVALS: usize = 6000;

/// A job as it arrived, with all its tasks waiting.
#[derive(Debug)]
struct Arrival {
    /// Steady clock, in ms.
    at: u64,
    job: Job,
}

/// Jobs that arrived lately, the oldest first.
#[derive(Debug, Default)]
pub(crate) struct Arrivals {
    recent: VecDeque<Arrival>,
}

impl Arrivals {
    /// A job arrived at `now` (steady clock, ms).
    fn record(&mut self, now: u64, job: &Job) {
        let record = JobRecord::new(job.spec.clone(), job.accepted_at_ms);
        self.recent.push_back(Arrival { at: now, job: Job::new(record, job.record.version) });
        if self.recent.len() > MAX_ARRIVALS {
            self.recent.pop_front();
        }
    }

    /// Forgets what arrived longer ago than `window_ms`.
    pub(super) fn forget_older(&mut self, now: u64, window_ms: f64) {
        self.recent.retain(|arrival| now.saturating_sub(arrival.at) as f64 <= window_ms);
    }

    /// The jobs, the oldest first.
    pub(super) fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.recent.iter().map(|arrival| &arrival.job)
    }
}

impl Leader {
    /// A job that may run has arrived: as much may arrive again.
    pub(crate) fn record_arrival(&mut self, now: u64, id: &Id) {
        if let Some(job) = self.jobs.get(id) {
            self.autoscaler.arrivals.record(now, job);
        }
    }
}

#[cfg(test)]
mod tests;
