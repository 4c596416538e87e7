//! Splits a line of a scenario into words and consumes these from left to right. `expected` describes the word that a
//! method needs and appears in its errors.

use super::error::SyntaxError;
use std::collections::VecDeque;
use std::str::FromStr;

/// The words of a line that are not parsed yet.
pub(super) struct Words<'a> {
    remaining: VecDeque<&'a str>,
}

impl<'a> Words<'a> {
    /// Splits a line at white space; `#` begins a comment.
    pub(super) fn from_line(line: &'a str) -> Words<'a> {
        let text = line.split('#').next().unwrap_or_default();
        Words { remaining: text.split_whitespace().collect() }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.remaining.is_empty()
    }

    pub(super) fn next(&mut self, expected: &'static str) -> Result<&'a str, SyntaxError> {
        self.remaining.pop_front().ok_or(SyntaxError::UnexpectedEnd { expected })
    }

    pub(super) fn text(&mut self, expected: &'static str) -> Result<String, SyntaxError> {
        self.next(expected).map(str::to_string)
    }

    /// Takes a word that holds a list separated by commas.
    pub(super) fn list(&mut self, expected: &'static str) -> Result<Vec<String>, SyntaxError> {
        Ok(self.next(expected)?.split(',').map(str::to_string).collect())
    }

    pub(super) fn number<T: FromStr>(&mut self, expected: &'static str) -> Result<T, SyntaxError> {
        let found = self.next(expected)?;
        parse_number(found, expected)
    }

    /// Takes a number of seconds and returns it in ms, rounded down.
    pub(super) fn seconds_as_ms(&mut self, expected: &'static str) -> Result<u64, SyntaxError> {
        Ok((self.number::<f64>(expected)? * 1000.0) as u64)
    }

    /// Takes the next word, which must be the given one.
    pub(super) fn expect_keyword(&mut self, keyword: &'static str) -> Result<(), SyntaxError> {
        let found = self.next(keyword)?;
        if found == keyword { Ok(()) } else { Err(SyntaxError::MissingKeyword { keyword, found: found.into() }) }
    }

    /// Takes the next word if it is the given one, and returns whether it is.
    pub(super) fn take_if(&mut self, keyword: &str) -> bool {
        let is_next = self.remaining.front() == Some(&keyword);
        if is_next {
            self.remaining.pop_front();
        }
        is_next
    }

    /// Takes all remaining words.
    pub(super) fn take_rest(&mut self) -> Vec<String> {
        self.remaining.drain(..).map(str::to_string).collect()
    }

    pub(super) fn expect_end(&mut self) -> Result<(), SyntaxError> {
        if self.is_empty() { Ok(()) } else { Err(SyntaxError::TrailingWords { found: self.take_rest().join(" ") }) }
    }
}

pub(super) fn parse_number<T: FromStr>(found: &str, expected: &'static str) -> Result<T, SyntaxError> {
    found.parse().map_err(|_| SyntaxError::InvalidNumber { expected, found: found.into() })
}

impl SyntaxError {
    pub(super) fn unexpected(expected: &'static str, found: &str) -> SyntaxError {
        SyntaxError::UnexpectedWord { expected, found: found.into() }
    }
}
