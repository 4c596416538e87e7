//! Identifiers of requests that wait for a reply.

/// Identifies a request until its reply: one of this controller to an outside service, or one of a client to this
/// controller.
pub type RequestId = u64;
