//! Options with which scenarios are run.

use crate::simulation::{RepeatedKind, Repetition};
use std::ops::RangeInclusive;
use std::str::FromStr;

/// Environment variable with the requests that arrive once more.
const REPEATED: &str = "REPEATED";

/// Options that hold for all scenarios of a run.
#[derive(Debug, Clone, Default)]
pub struct RunOptions {
    /// Number of seeds, in place of each scenario's own; `None` keeps that.
    pub seed_count: Option<u64>,
    /// Seed whose log is printed; `None` prints no log.
    pub logged_seed: Option<u64>,
    /// Requests that arrive once more during the whole run, in addition to the scenario's faults.
    pub repetitions: Vec<Repetition>,
}

/// The text of an option is invalid.
#[derive(Debug, thiserror::Error)]
#[error("{variable}={value}: expected {expected}")]
pub struct InvalidOption {
    variable: &'static str,
    value: String,
    expected: &'static str,
}

impl RunOptions {
    /// Reads the options from environment variables: `SEEDS` is the number of seeds, `LOGGED` a seed whose log is
    /// printed, and `REPEATED`, of the form `KIND PERCENT MIN MAX`, requests that arrive once more MIN to MAX seconds
    /// after their execution. KIND is one of the scenario language, or `all`.
    ///
    /// # Errors
    ///
    /// If the text of `REPEATED` is invalid.
    pub fn from_environment() -> Result<RunOptions, InvalidOption> {
        let number = |name| std::env::var(name).ok().and_then(|text| text.parse().ok());
        let repetitions = match std::env::var(REPEATED) {
            Ok(text) => parse_repetitions(&text)?,
            Err(_) => Vec::new(),
        };
        Ok(RunOptions { seed_count: number("SEEDS"), logged_seed: number("LOGGED"), repetitions })
    }
}

fn parse_repetitions(text: &str) -> Result<Vec<Repetition>, InvalidOption> {
    let expected = "`KIND PERCENT MIN MAX` with a kind of requests or `all`, a percentage and two times in seconds";
    let invalid = || InvalidOption { variable: REPEATED, value: text.into(), expected };
    let words: Vec<&str> = text.split_whitespace().collect();
    let [kind, percent, shortest, longest] = words[..] else { return Err(invalid()) };
    let kinds = match (kind, RepeatedKind::from_name(kind)) {
        ("all", _) => RepeatedKind::ALL.to_vec(),
        (_, Some(kind)) => vec![kind],
        _ => return Err(invalid()),
    };
    let percent = percent.parse().ok().filter(|percent| *percent <= 100).ok_or_else(invalid)?;
    let delay_ms = delay_range(shortest, longest).ok_or_else(invalid)?;
    Ok(kinds.into_iter().map(|kind| Repetition { kind, percent, delay_ms: delay_ms.clone() }).collect())
}

fn delay_range(shortest: &str, longest: &str) -> Option<RangeInclusive<u64>> {
    let as_ms = |text: &str| f64::from_str(text).ok().filter(|s| *s >= 0.0).map(|s| (s * 1000.0) as u64);
    let (shortest_ms, longest_ms) = (as_ms(shortest)?, as_ms(longest)?);
    (shortest_ms <= longest_ms).then_some(shortest_ms..=longest_ms)
}
