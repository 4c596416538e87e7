//! Failed requests that are to be repeated later.

/// A request that waits for its retry.
#[derive(Debug)]
struct Retry<T> {
    /// Time of the retry (ms, monotonic).
    at_ms: u64,
    request: T,
}

/// Failed requests with the times of their retries.
#[derive(Debug)]
pub(crate) struct RetryQueue<T> {
    waiting: Vec<Retry<T>>,
}

impl<T> Default for RetryQueue<T> {
    fn default() -> RetryQueue<T> {
        RetryQueue { waiting: Vec::new() }
    }
}

impl<T> RetryQueue<T> {
    /// Adds a request that is to be repeated at `at_ms` (ms, monotonic).
    pub(crate) fn push(&mut self, at_ms: u64, request: T) {
        self.waiting.push(Retry { at_ms, request });
    }

    /// Removes and returns a request that is due.
    pub(crate) fn pop_due(&mut self, now_ms: u64) -> Option<T> {
        let at = self.waiting.iter().position(|retry| now_ms >= retry.at_ms)?;
        Some(self.waiting.swap_remove(at).request)
    }

    /// Whether no request waits for its retry.
    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

#[cfg(test)]
mod tests;
