//! Whether the key-value store currently answers this process.

use crate::io::RequestError;

/// The store counts as unavailable after this fraction of a heartbeat interval without an answer.
const UNAVAILABLE_AFTER_FRACTION: u64 = 3;

/// When the key-value store last answered, and when a request to it last failed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct KvAvailability {
    answered_at: u64,
    failed_at: u64,
}

impl KvAvailability {
    /// Availability of a process that starts now: the store is taken to be available.
    pub fn new(now: u64) -> KvAvailability {
        KvAvailability { answered_at: now, failed_at: 0 }
    }

    /// Takes note of the outcome of a request.
    pub fn record<T>(&mut self, now: u64, result: &Result<T, RequestError>) {
        match result {
            Err(error) if !shows_contact(error) => self.record_failure(now),
            _ => self.answered_at = now,
        }
    }

    /// Takes note that the store could not be reached.
    pub fn record_failure(&mut self, now: u64) {
        self.failed_at = now;
    }

    /// When the store last answered.
    pub fn answered_at(&self) -> u64 {
        self.answered_at
    }

    /// Whether a request has failed since the last answer and that answer is too long ago.
    pub fn is_unavailable(&self, now: u64, heartbeat_interval_ms: u64) -> bool {
        let silent_for = now.saturating_sub(self.answered_at);
        self.failed_at > self.answered_at && silent_for > heartbeat_interval_ms / UNAVAILABLE_AFTER_FRACTION
    }
}

/// Whether a failed request shows that the store is reached and serves requests: it answered, though with an
/// error of this request alone.
fn shows_contact(error: &RequestError) -> bool {
    match error {
        RequestError::NotSent
        | RequestError::LocalOverload
        | RequestError::OutcomeUnknown
        | RequestError::Unavailable => false,
        RequestError::Throttled
        | RequestError::Rejected(_)
        | RequestError::ResponseTooLong
        | RequestError::MalformedResponse => true,
    }
}

#[cfg(test)]
mod tests;
