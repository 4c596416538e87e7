//! How much an event matters.

/// How much an event matters to an operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Severity {
    /// Needs an operator's attention.
    Error,
    /// A change of the cluster's state.
    Info,
    /// Details of normal operation.
    Debug,
}
