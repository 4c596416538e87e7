//! Values of event fields.

use shaleshunt_wire::Epoch;
use std::borrow::Cow;
use std::fmt;

/// The value of an event's field.
#[derive(Debug, Clone, PartialEq)]
pub enum EventValue<'a> {
    /// Name or reason; quoted in the log unless it is a single word.
    Text(Cow<'a, str>),
    /// Count or numeric identifier.
    Count(u64),
    /// Measured quantity; formatted with at most three decimals.
    Number(f64),
    /// Boolean.
    Flag(bool),
}

impl<'a> From<&'a str> for EventValue<'a> {
    fn from(text: &'a str) -> Self {
        EventValue::Text(Cow::Borrowed(text))
    }
}

impl From<String> for EventValue<'_> {
    fn from(text: String) -> Self {
        EventValue::Text(Cow::Owned(text))
    }
}

impl From<Epoch> for EventValue<'_> {
    fn from(epoch: Epoch) -> Self {
        EventValue::Count(epoch.0)
    }
}

impl From<u64> for EventValue<'_> {
    fn from(count: u64) -> Self {
        EventValue::Count(count)
    }
}

impl From<u32> for EventValue<'_> {
    fn from(count: u32) -> Self {
        EventValue::Count(count.into())
    }
}

impl From<usize> for EventValue<'_> {
    fn from(count: usize) -> Self {
        EventValue::Count(count as u64)
    }
}

impl From<f64> for EventValue<'_> {
    fn from(number: f64) -> Self {
        EventValue::Number(number)
    }
}

impl From<bool> for EventValue<'_> {
    fn from(flag: bool) -> Self {
        EventValue::Flag(flag)
    }
}

impl fmt::Display for EventValue<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            // Quotes text that is not a single word, so that an event stays on one line and can be split at spaces.
            EventValue::Text(text) => {
                let plain = |c: char| !c.is_whitespace() && !c.is_control() && !matches!(c, '=' | '"' | '\\');
                if !text.is_empty() && text.chars().all(plain) { write!(f, "{text}") } else { write!(f, "{text:?}") }
            }
            EventValue::Count(count) => write!(f, "{count}"),
            EventValue::Number(number) => write!(f, "{}", (number * 1000.0).round() / 1000.0),
            EventValue::Flag(flag) => write!(f, "{flag}"),
        }
    }
}
