//! The watch of the unfinished jobs, and how fresh what it showed is.

use crate::leader::*;
use crate::model::*;
use std::collections::*;

/// The watch of the unfinished jobs, and how fresh what it showed is.
#[derive(Debug)]
pub(crate) struct JobWatch {
    /// Jobs whose end this leader has written, with the revision of that: news of them that the watch
    /// brings from before is old.
    pub(crate) ended_jobs: BTreeMap<Id, Revision>,
    pub(crate) revision: Option<Revision>,
    pub(crate) retry_at: Option<u64>,
    /// Sending time of the last watch that was answered: no withdrawal before it was missed.
    pub(crate) fresh_at: u64,
}

impl JobWatch {
    pub(crate) fn new(now: u64) -> JobWatch {
        JobWatch { ended_jobs: BTreeMap::new(), revision: None, retry_at: None, fresh_at: now }
    }
}
