//! Scenarios: text files that describe a site, the jobs and faults there, and the expected outcome.
//!
//! `grammar` parses the text into a [`Scenario`], `runner` simulates it, and `evaluation` checks the
//! expectations against the simulation. `scenarios/README.md` documents the language.

mod error;
mod evaluation;
mod expectation;
mod files;
mod grammar;
mod model;
mod options;
mod production_store;
mod runner;
mod words;

pub use error::{ScenarioError, SyntaxError};
pub use evaluation::UnmetExpectation;
pub use expectation::{Count, Expectation};
pub use files::{LoadError, ScenarioFile};
pub use model::{ExpectationLine, Scenario, TimedFault};
pub use options::{InvalidOption, RunOptions};
pub use runner::SeedDigest;
