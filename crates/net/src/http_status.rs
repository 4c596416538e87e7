//! HTTP status codes as plain numbers, because frames between controllers carry them as well.

pub(crate) const OK: u16 = 200;
pub(crate) const NO_CONTENT: u16 = 204;
pub(crate) const BAD_REQUEST: u16 = 400;
pub(crate) const NOT_FOUND: u16 = 404;
pub(crate) const METHOD_NOT_ALLOWED: u16 = 405;
pub(crate) const REQUEST_TIMEOUT: u16 = 408;
pub(crate) const CONFLICT: u16 = 409;
pub(crate) const GONE: u16 = 410;
pub(crate) const PAYLOAD_TOO_LARGE: u16 = 413;
pub(crate) const MISDIRECTED_REQUEST: u16 = 421;
pub(crate) const TOO_MANY_REQUESTS: u16 = 429;
pub(crate) const INTERNAL_SERVER_ERROR: u16 = 500;
pub(crate) const SERVICE_UNAVAILABLE: u16 = 503;
/// End of the range of server errors.
pub(crate) const LAST_SERVER_ERROR: u16 = 599;
/// End of the range of client errors.
pub(crate) const LAST_CLIENT_ERROR: u16 = 499;

/// Status in a relayed response: the store did not respond, and the request may have been executed.
pub(crate) const NO_RESPONSE: u16 = 0;
