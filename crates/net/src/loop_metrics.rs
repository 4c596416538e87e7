//! Measures how the event loop spends its time, for operators who log at level `debug`.
//!
//! A line in each interval gives the time taken by each kind of command and effect and by the work after the commands
//! of a batch. The rest of the interval goes to HTTP, JSON and links, or is idle. The core reads no clock, so its calls
//! are measured from outside.

use shaleshunt_core::io::{Command, Effect};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Kind of the work that the core does after the commands of a batch.
pub(crate) const DUE_WORK: &str = "due";

/// Counts and times of each kind of work since the last log line.
pub(crate) struct LoopMetrics {
    is_enabled: bool,
    totals: BTreeMap<&'static str, Total>,
    since: Instant,
}

/// Count and total time of one kind of work.
#[derive(Debug, Clone, Copy, Default)]
struct Total {
    count: u64,
    time: Duration,
}

impl LoopMetrics {
    /// Metrics that are collected only if level `debug` is logged.
    pub(crate) fn new() -> LoopMetrics {
        LoopMetrics {
            is_enabled: tracing::enabled!(tracing::Level::DEBUG),
            totals: BTreeMap::new(),
            since: Instant::now(),
        }
    }

    /// Runs `work` and adds its time to the total of this kind.
    pub(crate) fn measure<T>(&mut self, kind: &'static str, work: impl FnOnce() -> T) -> T {
        if !self.is_enabled {
            return work();
        }
        let started = Instant::now();
        let result = work();
        let total = self.totals.entry(kind).or_default();
        total.count += 1;
        total.time += started.elapsed();
        result
    }

    /// Returns the `key=value` pairs of the log line and starts a new interval, if `interval` has elapsed since the
    /// last line: the measured share of the elapsed time, then the count and milliseconds of each kind, longest first.
    pub(crate) fn take_line(&mut self, interval: Duration) -> Option<String> {
        let elapsed = self.since.elapsed();
        if !self.is_enabled || elapsed < interval {
            return None;
        }
        self.since = Instant::now();
        let totals = std::mem::take(&mut self.totals);
        Some(format_line(totals, elapsed))
    }
}

fn format_line(totals: BTreeMap<&'static str, Total>, elapsed: Duration) -> String {
    let mut totals: Vec<(&str, Total)> = totals.into_iter().collect();
    totals.sort_by_key(|(_, total)| Reverse(total.time));
    let measured: Duration = totals.iter().map(|(_, total)| total.time).sum();
    let elapsed_s = elapsed.as_secs_f64();
    let percent = measured.as_secs_f64() / elapsed_s * 100.0;
    let mut line = format!("share_percent={percent:.1} interval_s={elapsed_s:.1}");
    for (kind, Total { count, time }) in totals {
        line += &format!(" {kind}.count={count} {kind}.ms={:.1}", time.as_secs_f64() * 1e3);
    }
    line
}

/// The name of a command's kind in the log line.
pub(crate) fn command_kind(command: &Command) -> &'static str {
    match command {
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

/// The name of an effect's kind in the log line.
pub(crate) fn effect_kind(effect: &Effect) -> &'static str {
    match effect {
        Effect::Kv(..) => "state_requests",
        Effect::Cloud(..) => "cloud_requests",
        Effect::DirectCommands(..) => "calls",
        Effect::Answer(..) => "answers",
        Effect::Peer(..) => "to_peers",
        Effect::Log(..) => "log",
    }
}
