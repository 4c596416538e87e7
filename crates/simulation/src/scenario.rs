//! Scenarios: small text files that describe a site, what happens there and what must come of it.
//!
//! `grammar` reads the text into a [`Scenario`], `player` plays it, and `judge` holds the
//! expectations against the simulation. `scenarios/README.md` explains the words.

mod error;
mod expectation;
mod files;
mod grammar;
mod judge;
mod model;
mod player;
mod production_store;
mod words;

pub use error::{ScenarioError, SyntaxError};
pub use expectation::{Count, Expectation};
pub use files::{LoadError, ScenarioFile};
pub use judge::Unmet;
pub use model::{ExpectedLine, Scenario, TimedFault};
pub use player::SeedDigest;
