//! Identifiers of requests in flight.

/// Identifies a request until its reply: a request of this controller to an external service, or of a client to this
/// controller.
pub type RequestId = u64;
