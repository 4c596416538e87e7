//! Parses `expect …`: a condition that must hold when the simulation ends.

use crate::scenario::error::SyntaxError;
use crate::scenario::expectation::{Count, Expectation};
use crate::scenario::words::{Words, parse_number};

pub(super) fn parse(words: &mut Words) -> Result<Expectation, SyntaxError> {
    Ok(match words.next("an expectation")? {
        "done" => Expectation::Done { job: job(words)?, by_s: optional_deadline(words)? },
        "tasks-complete" => Expectation::TasksComplete { job: job(words)?, by_s: seconds_after(words, "by")? },
        "started" => Expectation::Started { job: job(words)?, by_s: seconds_after(words, "by")? },
        "half" => {
            words.expect_keyword("served")?;
            Expectation::HalfServed
        }
        "all" => all(words)?,
        "cancelled" => Expectation::Cancelled { job: job(words)? },
        "not-over" => Expectation::NotOver { job: job(words)? },
        "running" => Expectation::Running { job: job(words)?, tasks: words.number("the number of running tasks")? },
        "starts" => Expectation::Starts(count(words)?),
        "answered" => Expectation::Answered { job: job(words)?, within_s: seconds_after(words, "within")? },
        "refused" => Expectation::Refused { job: job(words)?, status: words.number("an HTTP status")? },
        "store-rejections" => Expectation::StoreRejections(count(words)?),
        "late-starts" => Expectation::LateStarts { within_s: seconds_after(words, "within")? },
        "cancellations" => Expectation::Cancellations(count(words)?),
        "epoch" => Expectation::Epoch(count(words)?),
        "largest" => {
            words.expect_keyword("started")?;
            Expectation::LargestStarted { within_s: seconds_after(words, "within")? }
        }
        "leaders" => Expectation::Leaders(count(words)?),
        "direct-calls" => Expectation::DirectCalls(count(words)?),
        "isolated-zones" => Expectation::IsolatedZones(count(words)?),
        "stored" => Expectation::Stored { prefix: words.text("a key prefix")?, keys: count(words)? },
        "machines" => Expectation::Machines(count(words)?),
        other => return Err(SyntaxError::unexpected("an expectation", other)),
    })
}

fn job(words: &mut Words) -> Result<String, SyntaxError> {
    words.text("a job")
}

fn all(words: &mut Words) -> Result<Expectation, SyntaxError> {
    match words.next("`served` or `over`")? {
        "served" => Ok(Expectation::AllServed),
        "over" => Ok(Expectation::AllOver),
        other => Err(SyntaxError::unexpected("`served` or `over`", other)),
    }
}

/// Parses a number of seconds that follows a keyword.
fn seconds_after(words: &mut Words, keyword: &'static str) -> Result<f64, SyntaxError> {
    words.expect_keyword(keyword)?;
    words.number("a time in seconds")
}

/// Parses an optional `by SECONDS` at the end of a line.
fn optional_deadline(words: &mut Words) -> Result<Option<f64>, SyntaxError> {
    if words.is_empty() { Ok(None) } else { seconds_after(words, "by").map(Some) }
}

/// Parses `N`, `at-least N` or `at-most N`.
fn count(words: &mut Words) -> Result<Count, SyntaxError> {
    match words.next("a count, `at-least` or `at-most`")? {
        "at-least" => words.number("a count").map(Count::AtLeast),
        "at-most" => words.number("a count").map(Count::AtMost),
        number => parse_number(number, "a count, `at-least` or `at-most`").map(Count::Exactly),
    }
}
