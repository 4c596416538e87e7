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

    /// The line as `key=value`, if `every` has passed since the last one: the share of the clock that the owner's
    /// loop took, then each kind with its count and its milliseconds, the longest first.
    pub fn line(&mut self, every: Duration) -> Option<String> {
        let passed = self.since.elapsed();
        if !self.on || passed < every {
            return None;
        }
        let mut kinds: Vec<(&str, (u64, Duration))> = std::mem::take(&mut self.of).into_iter().collect();
        kinds.sort_by_key(|(_, (_, took))| std::cmp::Reverse(*took));
        let owner: Duration = kinds.iter().map(|(_, (_, took))| *took).sum();
        self.since = Instant::now();
        let share = owner.as_secs_f64() / passed.as_secs_f64() * 100.0;
        let mut line = format!("share_percent={share:.1} interval_s={:.1}", passed.as_secs_f64());
        for (kind, (n, took)) in kinds {
            line += &format!(" {kind}.count={n} {kind}.ms={:.1}", took.as_secs_f64() * 1e3);
        }
        Some(line)
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
        Command::Cancel(..) => "withdrawals",
        Command::HealthCheck(..) => "health_checks",
        Command::Heartbeat(..) => "reports",
        Command::Kv(..) => "state_answers",
        Command::Cloud(..) => "cloud_answers",
        Command::DirectCommands(..) => "calls_answered",
        Command::Peer(..) | Command::PeerDisconnected(..) => "peers",
        Command::Tick => "ticks",
    }
}

/// The kind of an effect.
pub fn effect(e: &Effect) -> &'static str {
    match e {
        Effect::Kv(..) => "state_requests",
        Effect::Cloud(..) => "cloud_requests",
        Effect::DirectCommands(..) => "calls",
        Effect::Answer(..) => "answers",
        Effect::Peer(..) => "to_peers",
        Effect::Log(..) => "log",
    }
}
