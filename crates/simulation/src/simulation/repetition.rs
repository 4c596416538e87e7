//! Requests that were executed and answered and arrive once more, late. Nobody waits for the answer to the copy.
//!
//! Random numbers come from a generator of their own, so that a run without repeated requests is the same as before.

use super::Simulation;
use super::event::Event;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::ops::RangeInclusive;

/// Difference between the seed of a simulation and that of its repeated requests.
const SEED_OFFSET: u64 = 0x5EED;

/// Requests that may be repeated, by their receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatedKind {
    /// Direct calls from controllers to agents.
    DirectCalls,
    /// Transactions and changes of leases, from controllers to the key-value store.
    StoreWrites,
    /// Requests of controllers to the cloud that rent or return machines.
    CloudChanges,
    /// Submissions and cancellations, from users to controllers.
    UserChanges,
}

impl RepeatedKind {
    /// All kinds.
    pub const ALL: [RepeatedKind; 4] =
        [RepeatedKind::DirectCalls, RepeatedKind::StoreWrites, RepeatedKind::CloudChanges, RepeatedKind::UserChanges];

    /// The kind that the scenario language calls `name`.
    pub fn from_name(name: &str) -> Option<RepeatedKind> {
        RepeatedKind::ALL.into_iter().find(|kind| kind.name() == name)
    }

    /// Name in the scenario language.
    pub fn name(self) -> &'static str {
        match self {
            RepeatedKind::DirectCalls => "direct-calls",
            RepeatedKind::StoreWrites => "store-writes",
            RepeatedKind::CloudChanges => "cloud-changes",
            RepeatedKind::UserChanges => "user-changes",
        }
    }
}

/// Which requests are repeated, and after what time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Repetition {
    /// Requests that are repeated.
    pub kind: RepeatedKind,
    /// Probability that a request is repeated, in percent.
    pub percent: u32,
    /// Range of the time between the execution of a request and its second arrival, in ms.
    pub delay_ms: RangeInclusive<u64>,
}

/// A repetition that is in effect until a time.
struct ActiveRepetition {
    repetition: Repetition,
    until_ms: u64,
}

/// The repetitions of a simulation.
pub(super) struct Repetitions {
    random: StdRng,
    active: Vec<ActiveRepetition>,
    /// Number of requests that arrived once more.
    pub(super) arrived: u64,
}

impl Repetitions {
    pub(super) fn new(seed: u64) -> Repetitions {
        Repetitions { random: StdRng::seed_from_u64(seed ^ SEED_OFFSET), active: Vec::new(), arrived: 0 }
    }

    /// Begins a repetition that lasts until `until_ms`.
    pub(super) fn begin(&mut self, repetition: Repetition, until_ms: u64) {
        self.active.push(ActiveRepetition { repetition, until_ms });
    }

    /// Draws the times after which a request that is executed at `now` arrives once more: one for each repetition of
    /// its kind that affects it.
    fn delays_ms(&mut self, kind: RepeatedKind, now: u64) -> Vec<u64> {
        let mut delays = Vec::new();
        for ActiveRepetition { repetition, until_ms } in &self.active {
            let applies = repetition.kind == kind && now < *until_ms;
            if applies && self.random.random_bool(f64::from(repetition.percent) / 100.0) {
                delays.push(self.random.random_range(repetition.delay_ms.clone()));
            }
        }
        delays
    }
}

impl Simulation {
    /// Repeats requests of a kind until the end of the run.
    pub fn repeat_requests(&mut self, repetition: Repetition) {
        self.repetitions.begin(repetition, u64::MAX);
    }

    /// Number of requests that arrived once more.
    pub fn repeated_requests(&self) -> u64 {
        self.repetitions.arrived
    }

    /// Schedules the second arrivals of a request that is executed now. `event` creates the event of an arrival.
    pub(super) fn schedule_repetitions(&mut self, kind: RepeatedKind, event: impl Fn() -> Event) {
        let now = self.queue.now();
        for delay_ms in self.repetitions.delays_ms(kind, now) {
            self.repetitions.arrived += 1;
            self.queue.schedule(now + delay_ms, event());
        }
    }
}
