//! Scenarios: small text files that describe a site, what happens there and what must come of it.
//!
//! `grammar` reads the text into a [`Scenario`], `runner` plays it, and `evaluation` holds the
//! expectations against the simulation. `scenarios/README.md` explains the words.

mod error;
mod evaluation;
mod expectation;
mod files;
mod grammar;
mod model;
mod production_store;
mod runner;
mod words;

pub use error::{ScenarioError, SyntaxError};
pub use evaluation::Unmet;
pub use expectation::{Count, Expectation};
pub use files::{LoadError, ScenarioFile};
pub use model::{ExpectedLine, Scenario, TimedFault};
pub use runner::SeedDigest;
