//! The words of a line, taken one by one.

use super::error::SyntaxError;
use std::collections::VecDeque;
use std::str::FromStr;

/// What is left of a line.
pub(super) struct Words<'a> {
    left: VecDeque<&'a str>,
}

impl<'a> Words<'a> {
    /// The words of a line; `#` begins a comment.
    pub(super) fn of_line(line: &'a str) -> Words<'a> {
        let text = line.split('#').next().unwrap_or_default();
        Words { left: text.split_whitespace().collect() }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.left.is_empty()
    }

    pub(super) fn next(&mut self, expected: &'static str) -> Result<&'a str, SyntaxError> {
        self.left.pop_front().ok_or(SyntaxError::EndsEarly { expected })
    }

    pub(super) fn text(&mut self, expected: &'static str) -> Result<String, SyntaxError> {
        self.next(expected).map(str::to_string)
    }

    /// A list of words with commas between them.
    pub(super) fn list(&mut self, expected: &'static str) -> Result<Vec<String>, SyntaxError> {
        Ok(self.next(expected)?.split(',').map(str::to_string).collect())
    }

    pub(super) fn number<T: FromStr>(&mut self, expected: &'static str) -> Result<T, SyntaxError> {
        let found = self.next(expected)?;
        parse_number(found, expected)
    }

    /// Seconds, as ms.
    pub(super) fn seconds_as_ms(&mut self, expected: &'static str) -> Result<u64, SyntaxError> {
        Ok((self.number::<f64>(expected)? * 1000.0) as u64)
    }

    /// A certain word.
    pub(super) fn keyword(&mut self, keyword: &'static str) -> Result<(), SyntaxError> {
        let found = self.next(keyword)?;
        if found == keyword { Ok(()) } else { Err(SyntaxError::MissingKeyword { keyword, found: found.into() }) }
    }

    /// Takes the next word if it is a certain one.
    pub(super) fn take_if(&mut self, keyword: &str) -> bool {
        let is_next = self.left.front() == Some(&keyword);
        if is_next {
            self.left.pop_front();
        }
        is_next
    }

    /// All that is left.
    pub(super) fn rest(&mut self) -> Vec<String> {
        self.left.drain(..).map(str::to_string).collect()
    }

    pub(super) fn end(&mut self) -> Result<(), SyntaxError> {
        if self.is_empty() { Ok(()) } else { Err(SyntaxError::LeftOver { found: self.rest().join(" ") }) }
    }
}

pub(super) fn parse_number<T: FromStr>(found: &str, expected: &'static str) -> Result<T, SyntaxError> {
    found.parse().map_err(|_| SyntaxError::NotANumber { expected, found: found.into() })
}

impl SyntaxError {
    pub(super) fn unexpected(expected: &'static str, found: &str) -> SyntaxError {
        SyntaxError::UnexpectedWord { expected, found: found.into() }
    }
}
