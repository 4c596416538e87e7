//! Tracks whether the key-value store currently answers this process.

use crate::io::RequestError;

/// The store counts as unavailable after a heartbeat interval divided by this number without an answer.
const UNAVAILABLE_TIMEOUT_DIVISOR: u64 = 3;

/// Times of the key-value store's last answer and of the last failed request, on the monotonic clock.
#[derive(Debug, Clone, Copy)]
pub(crate) struct KvAvailability {
    /// The start of the process until the first answer.
    last_answer_at_ms: u64,
    /// 0 if no request has failed.
    last_failure_at_ms: u64,
}

impl KvAvailability {
    /// Creates the state of a process that starts at `now_ms`. The store is assumed to be available.
    pub fn new(now_ms: u64) -> KvAvailability {
        KvAvailability { last_answer_at_ms: now_ms, last_failure_at_ms: 0 }
    }

    /// Records the outcome of a request.
    pub fn record<T>(&mut self, now_ms: u64, result: &Result<T, RequestError>) {
        match result {
            Err(error) if !store_responded(error) => self.record_failure(now_ms),
            _ => self.last_answer_at_ms = now_ms,
        }
    }

    /// Records that the store could not be reached.
    pub fn record_failure(&mut self, now_ms: u64) {
        self.last_failure_at_ms = now_ms;
    }

    /// Returns when the store last answered.
    pub fn last_answer_at_ms(&self) -> u64 {
        self.last_answer_at_ms
    }

    /// Returns whether a request has failed since the last answer and the last answer is older than the timeout.
    pub fn is_unavailable(&self, now_ms: u64, heartbeat_interval_ms: u64) -> bool {
        let since_last_answer_ms = now_ms.saturating_sub(self.last_answer_at_ms);
        self.last_failure_at_ms > self.last_answer_at_ms
            && since_last_answer_ms > heartbeat_interval_ms / UNAVAILABLE_TIMEOUT_DIVISOR
    }
}

/// Returns whether an error shows that the store is reachable and serves requests: the store responded, with an error
/// that concerns only this request.
fn store_responded(error: &RequestError) -> bool {
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
