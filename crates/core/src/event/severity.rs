//! Severity of events.

/// Severity of an event for an operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Severity {
    /// Needs an operator's attention.
    Error,
    /// Change of the cluster's state.
    Info,
    /// Details of normal operation.
    Debug,
}
