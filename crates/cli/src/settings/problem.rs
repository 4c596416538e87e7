//! Problems with the values of fields in the settings file.

use std::fmt;

/// A field whose value is not allowed. The text names the field and what is allowed.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{field}: {allowed}")]
pub struct Problem {
    /// Dotted path of the field in the file.
    pub field: String,
    /// The value in the file.
    pub found: Value,
    /// Which values are allowed.
    pub allowed: Allowed,
}

/// The value of a field.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    /// A string.
    Text(String),
    /// A decimal number.
    Number(f64),
    /// A whole number.
    Integer(usize),
}

/// Which values a field allows.
#[derive(Debug, Clone, PartialEq)]
pub enum Allowed {
    /// A string that is not empty.
    NotEmpty,
    /// An IPv4 address with a port.
    SocketAddress,
    /// A node name other than that of this node.
    AnotherNode,
    /// A finite number above zero.
    Positive,
    /// A finite number above zero, up to this maximum.
    PositiveUpTo(f64),
    /// A number up to this maximum.
    AtMost(f64),
    /// A number from this minimum on.
    AtLeast(f64),
    /// A number in a range.
    Range {
        /// Minimum, included.
        from: f64,
        /// Maximum, included.
        to: f64,
    },
    /// A whole number in a range.
    IntegerRange {
        /// Minimum, included.
        from: usize,
        /// Maximum, included.
        to: usize,
    },
    /// A duration longer than that of the named field.
    LongerThan(&'static str),
    /// Amounts of resources within the bounds of a team's quota.
    Amounts,
    /// A name that no other team has.
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
            Allowed::Amounts => f.write_str("amounts must be from 0 to less than 1000000000"),
            Allowed::UniqueName => f.write_str("must not have the name of another team"),
        }
    }
}
