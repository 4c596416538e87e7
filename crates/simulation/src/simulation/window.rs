//! Faults of the network's timing that hold until a time, in ms.

/// A delay that holds until a time.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Delay {
    pub(super) until: u64,
    pub(super) by_ms: u64,
}

impl Delay {
    /// The delay at a time, if it holds then.
    pub(super) fn at(self, now: u64) -> Option<u64> {
        (now < self.until).then_some(self.by_ms)
    }
}

/// A probability that holds until a time.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Chance {
    pub(super) until: u64,
    pub(super) probability: f64,
}

impl Chance {
    pub(super) fn of_percent(percent: u32, until: u64) -> Chance {
        Chance { until, probability: f64::from(percent) / 100.0 }
    }

    /// The probability at a time, if it holds then.
    pub(super) fn at(self, now: u64) -> Option<f64> {
        (now < self.until).then_some(self.probability)
    }
}
