//! `expect …`: what must hold at the end.

use crate::scenario::error::SyntaxError;
use crate::scenario::expectation::{Count, Expectation};
use crate::scenario::words::{Words, parse_number};

pub(super) fn read(words: &mut Words) -> Result<Expectation, SyntaxError> {
    Ok(match words.next("an expectation")? {
        "done" => Expectation::Done { job: job(words)?, by_s: optional_time(words)? },
        "tasks-complete" => Expectation::TasksComplete { job: job(words)?, by_s: after(words, "by")? },
        "started" => Expectation::Started { job: job(words)?, by_s: after(words, "by")? },
        "half" => {
            words.keyword("served")?;
            Expectation::HalfServed
        }
        "all" => all(words)?,
        "cancelled" => Expectation::Cancelled { job: job(words)? },
        "not-over" => Expectation::NotOver { job: job(words)? },
        "running" => Expectation::Running { job: job(words)?, tasks: words.number("tasks")? },
        "starts" => Expectation::Starts(count(words)?),
        "answered" => Expectation::Answered { job: job(words)?, within_s: after(words, "within")? },
        "refused" => Expectation::Refused { job: job(words)?, status: words.number("an HTTP status")? },
        "store-rejections" => Expectation::StoreRejections(count(words)?),
        "late-starts" => Expectation::LateStarts { within_s: after(words, "within")? },
        "cancellations" => Expectation::Cancellations(count(words)?),
        "epoch" => Expectation::Epoch(count(words)?),
        "largest" => {
            words.keyword("started")?;
            Expectation::LargestStarted { within_s: after(words, "within")? }
        }
        "leaders" => Expectation::Leaders(count(words)?),
        "direct-calls" => Expectation::DirectCalls(count(words)?),
        "isolated-zones" => Expectation::IsolatedZones(count(words)?),
        "stored" => Expectation::Stored { prefix: words.text("the beginning of keys")?, keys: count(words)? },
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

/// Seconds after a certain word.
fn after(words: &mut Words, keyword: &'static str) -> Result<f64, SyntaxError> {
    words.keyword(keyword)?;
    words.number("seconds")
}

fn optional_time(words: &mut Words) -> Result<Option<f64>, SyntaxError> {
    if words.is_empty() { Ok(None) } else { after(words, "by").map(Some) }
}

/// `N`, `at-least N` or `at-most N`
fn count(words: &mut Words) -> Result<Count, SyntaxError> {
    match words.next("a count")? {
        "at-least" => words.number("a count").map(Count::AtLeast),
        "at-most" => words.number("a count").map(Count::AtMost),
        number => parse_number(number, "a count").map(Count::Exactly),
    }
}
