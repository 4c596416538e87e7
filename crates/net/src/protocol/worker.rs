//! Direct commands to workers.

use super::{EncodedRequest, problem_text};
use crate::client::HttpResponse;
use crate::http_status::{BAD_REQUEST, CONFLICT, OK};
use crate::semaphore::CallPriority;
use shaleshunt_core::IoError;
use shaleshunt_core::io::OrdersReply;
use shaleshunt_wire::paths;
use shaleshunt_wire::worker::{Order, Orders, Report};

/// Writes commands.
pub fn encode(commands: &Orders) -> EncodedRequest {
    EncodedRequest::post(paths::ORDERS, commands)
}

/// How much commands matter: those that stop tasks most, a call without commands, which only asks for the
/// worker's status, least.
pub fn priority(commands: &Orders) -> CallPriority {
    let stops = |command: &Order| matches!(command, Order::Halt { .. });
    match commands.orders.as_slice() {
        [] => CallPriority::Probe,
        commands if commands.iter().any(stops) => CallPriority::Stop,
        _ => CallPriority::Normal,
    }
}

/// Reads the response to commands.
///
/// # Errors
///
/// The worker refused the commands, or its response makes no sense, so that the commands may have been
/// executed; see [`IoError`].
pub fn decode(response: &HttpResponse) -> Result<OrdersReply, IoError> {
    let heartbeat = || Report::parse(&response.body).ok_or(IoError::Unknown);
    match response.status {
        OK => heartbeat().map(OrdersReply::Executed),
        CONFLICT => heartbeat().map(OrdersReply::Outdated),
        BAD_REQUEST => Err(IoError::Rejected(problem_text(&response.body))),
        _ => Err(IoError::Unknown),
    }
}
