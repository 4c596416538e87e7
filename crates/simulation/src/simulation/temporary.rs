//! Values of injected faults that are in effect until a time.

/// A delay that is in effect until `until_ms`; the default is never in effect.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct TemporaryDelay {
    pub(super) until_ms: u64,
    pub(super) delay_ms: u64,
}

impl TemporaryDelay {
    /// The delay in ms, if it is in effect at `now`.
    pub(super) fn at(self, now: u64) -> Option<u64> {
        (now < self.until_ms).then_some(self.delay_ms)
    }
}

/// A probability that is in effect until `until_ms`; the default is never in effect.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct TemporaryProbability {
    pub(super) until_ms: u64,
    pub(super) probability: f64,
}

impl TemporaryProbability {
    pub(super) fn from_percent(percent: u32, until_ms: u64) -> TemporaryProbability {
        TemporaryProbability { until_ms, probability: f64::from(percent) / 100.0 }
    }

    /// The probability, if it is in effect at `now`.
    pub(super) fn at(self, now: u64) -> Option<f64> {
        (now < self.until_ms).then_some(self.probability)
    }
}
