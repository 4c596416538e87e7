//! The checked rules, and the report of a violation.

use std::fmt;

/// A rule of the protocol, or one that its service-level objectives need.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// A task is on at most one machine at any time.
    RanTwice,
    /// The tasks of a team that are on machines stay within the team's CPU limit.
    Quota,
    /// Tasks start only on machines that the placement constraints of their jobs allow.
    WrongPlace,
    /// The tasks of a cancelled job stop within the time limit of cancellations.
    RanCancelled,
    /// Accepted jobs stay known, and requests about them are answered.
    Forgotten,
    /// The service shows and runs only jobs that users submitted.
    Invented,
    /// Jobs are shown as done only after all their tasks have completed.
    NotDone,
    /// A final status never changes, and jobs are shown as cancelled only because of a user's cancellation.
    WentBack,
    /// Jobs start only after all their dependencies have completed.
    TooEarly,
    /// Jobs end when one of their dependencies is cancelled.
    Orphaned,
    /// Jobs do not wait for long while suitable machines have free capacity.
    LeftWaiting,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Rule::RanTwice => "ran_twice",
            Rule::Quota => "quota",
            Rule::WrongPlace => "wrong_place",
            Rule::RanCancelled => "ran_cancelled",
            Rule::Forgotten => "forgotten",
            Rule::Invented => "invented",
            Rule::NotDone => "not_done",
            Rule::WentBack => "went_back",
            Rule::TooEarly => "too_early",
            Rule::Orphaned => "orphaned",
            Rule::LeftWaiting => "left_waiting",
        })
    }
}

/// A detected violation of a rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// Time of detection, in ms since the simulation started.
    pub at_ms: u64,
    /// The jobs, tasks or machines concerned, and the observation that breaks the rule.
    pub description: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} at {:.1} s: {}", self.rule, self.at_ms as f64 / 1000.0, self.description)
    }
}
