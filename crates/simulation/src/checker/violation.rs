//! The rules by name, and what is reported when one is broken.

use std::fmt;

/// A rule of the protocol, or one that follows from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// A task runs on one machine at a time.
    RanTwice,
    /// A team's tasks keep within its limit.
    Quota,
    /// Tasks run where their jobs allow.
    WrongPlace,
    /// Cancelled jobs are gone in time.
    RanCancelled,
    /// Accepted jobs stay known, and questions about them are answered.
    Forgotten,
    /// Only submitted jobs exist.
    Invented,
    /// Jobs are done when all their tasks are.
    NotDone,
    /// A final status stays, and only what a user cancelled is cancelled.
    WentBack,
    /// Jobs start after those that they depend on.
    TooEarly,
    /// Jobs end with a cancelled one that they depend on.
    Orphaned,
    /// Jobs do not wait beside machines with room.
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

/// A rule that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Which.
    pub rule: Rule,
    /// When, in ms.
    pub at: u64,
    /// By what.
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} at {:.1} s: {}", self.rule, self.at as f64 / 1000.0, self.what)
    }
}
