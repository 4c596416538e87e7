//! What is wrong with a field of the settings file.

use std::fmt;

/// A field whose value is not allowed. The text names the field and what is allowed.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{field}: {allowed}")]
pub struct Problem {
    /// The field's path in the file.
    pub field: String,
    /// The value that was found.
    pub found: Value,
    /// What is allowed.
    pub allowed: Allowed,
}

/// The value of a field.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    /// A text.
    Text(String),
    /// A decimal number.
    Number(f64),
    /// A whole number.
    Integer(usize),
}

/// What a field may hold.
#[derive(Debug, Clone, PartialEq)]
pub enum Allowed {
    /// Any text but the empty one.
    NotEmpty,
    /// An IPv4 address with a port.
    SocketAddress,
    /// The label of another node.
    AnotherNode,
    /// A finite number above zero.
    Positive,
    /// A finite number above zero, up to this.
    PositiveUpTo(f64),
    /// A number up to this.
    AtMost(f64),
    /// A number from this on.
    AtLeast(f64),
    /// A number in a range, both ends included.
    Range {
        /// The least.
        from: f64,
        /// The greatest.
        to: f64,
    },
    /// A whole number in a range, both ends included.
    IntegerRange {
        /// The least.
        from: usize,
        /// The greatest.
        to: usize,
    },
    /// A time longer than that of the named field.
    LongerThan(&'static str),
    /// Amounts of resources.
    Amounts,
    /// A name that no other entry has.
    UniqueName,
}

impl fmt::Display for Allowed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Allowed::NotEmpty => f.write_str("must not be empty"),
            Allowed::SocketAddress => f.write_str("must be an IPv4 address with a port"),
            Allowed::AnotherNode => f.write_str("must not name this node"),
            Allowed::Positive => f.write_str("must be a positive number"),
            Allowed::PositiveUpTo(most) => write!(f, "must be a positive number up to {most}"),
            Allowed::AtMost(most) => write!(f, "must be at most {most}"),
            Allowed::AtLeast(least) => write!(f, "must be at least {least}"),
            Allowed::Range { from, to } => write!(f, "must be from {from} to {to}"),
            Allowed::IntegerRange { from, to } => write!(f, "must be from {from} to {to}"),
            Allowed::LongerThan(other) => write!(f, "must be longer than {other}"),
            Allowed::Amounts => f.write_str("amounts must be numbers from 0"),
            Allowed::UniqueName => f.write_str("named twice"),
        }
    }
}
