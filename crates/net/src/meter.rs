//! Where a node's time goes, for operators who log at `debug`: a line now and then with the time taken by
//! each kind of command and of effect, by what is due after a batch, and by all else (HTTP, JSON, links).
//! The owner has no clock; this measures around it.

use shaleshunt_core::io::{Command, Effect};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Counts and times since the last line.
pub struct Meter {
    on: bool,
    of: BTreeMap<&'static str, (u64, Duration)>,
    since: Instant,
}

impl Meter {
    /// A meter that measures only if its lines will be seen.
    pub fn new() -> Meter {
        Meter { on: tracing::enabled!(tracing::Level::DEBUG), of: BTreeMap::new(), since: Instant::now() }
    }

    /// The time of what is done now counts for this kind.
    pub fn time<T>(&mut self, kind: &'static str, work: impl FnOnce() -> T) -> T {
        if !self.on {
            return work();
        }
        let began = Instant::now();
        let result = work();
        let one = self.of.entry(kind).or_default();
        (one.0, one.1) = (one.0 + 1, one.1 + began.elapsed());
        result
    }

    /// The line, if `every` has passed since the last one.
    pub fn line(&mut self, every: Duration) -> Option<String> {
        let passed = self.since.elapsed();
        if !self.on || passed < every {
            return None;
        }
        let mut kinds: Vec<(&str, (u64, Duration))> = std::mem::take(&mut self.of).into_iter().collect();
        kinds.sort_by_key(|(_, (_, took))| std::cmp::Reverse(*took));
        let owner: Duration = kinds.iter().map(|(_, (_, took))| *took).sum();
        self.since = Instant::now();
        let one =
            |(kind, (n, took)): &(&str, (u64, Duration))| format!("{kind} {n} in {:.1}", took.as_secs_f64() * 1e3);
        let list: Vec<String> = kinds.iter().map(one).collect();
        let share = owner.as_secs_f64() / passed.as_secs_f64() * 100.0;
        Some(format!(
            "the owner's loop took {share:.1}% of {:.1} s (ms by kind: {})",
            passed.as_secs_f64(),
            list.join(", ")
        ))
    }
}

impl Default for Meter {
    fn default() -> Self {
        Meter::new()
    }
}

/// The kind of a command.
pub fn command(c: &Command) -> &'static str {
    match c {
        Command::Submit(..) => "submissions",
        Command::Status(..) => "polls",
        Command::Withdraw(..) => "withdrawals",
        Command::Up(..) => "health checks",
        Command::Checkin(..) => "reports",
        Command::State(..) => "state answers",
        Command::Cloud(..) => "cloud answers",
        Command::Orders(..) => "calls answered",
        Command::Peer(..) | Command::PeerLost(..) => "peers",
        Command::Tick => "ticks",
    }
}

/// The kind of an effect.
pub fn effect(e: &Effect) -> &'static str {
    match e {
        Effect::State(..) => "state requests",
        Effect::Cloud(..) => "cloud requests",
        Effect::Orders(..) => "calls",
        Effect::Answer(..) => "answers",
        Effect::Peer(..) => "to peers",
        Effect::Log(..) => "log",
    }
}
