//! Encoding of direct commands to agents and decoding of their responses.

use super::{EncodedRequest, error_text};
use crate::client::HttpResponse;
use crate::http_status::{BAD_REQUEST, CONFLICT, OK};
use crate::semaphore::CallPriority;
use shaleshunt_core::RequestError;
use shaleshunt_core::io::DirectCommandsReply;
use shaleshunt_wire::paths;
use shaleshunt_wire::worker::{DirectCommands, Heartbeat, TaskCommand};

/// Encodes commands.
pub fn encode(commands: &DirectCommands) -> EncodedRequest {
    EncodedRequest::post(paths::COMMANDS, commands)
}

/// The priority of a call: highest if it stops tasks, lowest if it has no commands and so only asks for the agent's
/// status.
pub fn priority(commands: &DirectCommands) -> CallPriority {
    let stops = |command: &TaskCommand| matches!(command, TaskCommand::Stop { .. });
    match commands.commands.as_slice() {
        [] => CallPriority::Probe,
        commands if commands.iter().any(stops) => CallPriority::Stop,
        _ => CallPriority::Normal,
    }
}

/// Decodes the response to commands.
///
/// # Errors
///
/// [`RequestError::Rejected`] if the agent rejected the commands; [`RequestError::OutcomeUnknown`] if the response
/// cannot be decoded, so that the commands may have been executed.
pub fn decode(response: &HttpResponse) -> Result<DirectCommandsReply, RequestError> {
    let heartbeat = || Heartbeat::parse(&response.body).ok_or(RequestError::OutcomeUnknown);
    match response.status {
        OK => heartbeat().map(DirectCommandsReply::Executed),
        CONFLICT => heartbeat().map(DirectCommandsReply::Fenced),
        BAD_REQUEST => Err(RequestError::Rejected(error_text(&response.body))),
        _ => Err(RequestError::OutcomeUnknown),
    }
}
