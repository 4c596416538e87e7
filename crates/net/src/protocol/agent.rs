//! Direct commands to workers.

use super::{EncodedRequest, problem_text};
use crate::client::HttpResponse;
use crate::http_status::{BAD_REQUEST, CONFLICT, OK};
use crate::semaphore::CallPriority;
use shaleshunt_core::RequestError;
use shaleshunt_core::io::DirectCommandsReply;
use shaleshunt_wire::paths;
use shaleshunt_wire::worker::{DirectCommands, Heartbeat, TaskCommand};

/// Writes commands.
pub fn encode(commands: &DirectCommands) -> EncodedRequest {
    EncodedRequest::post(paths::COMMANDS, commands)
}

/// How much commands matter: those that stop tasks most, a call without commands, which only asks for the
/// worker's status, least.
pub fn priority(commands: &DirectCommands) -> CallPriority {
    let stops = |command: &TaskCommand| matches!(command, TaskCommand::Stop { .. });
    match commands.commands.as_slice() {
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
/// executed; see [`RequestError`].
pub fn decode(response: &HttpResponse) -> Result<DirectCommandsReply, RequestError> {
    let heartbeat = || Heartbeat::parse(&response.body).ok_or(RequestError::OutcomeUnknown);
    match response.status {
        OK => heartbeat().map(DirectCommandsReply::Executed),
        CONFLICT => heartbeat().map(DirectCommandsReply::Fenced),
        BAD_REQUEST => Err(RequestError::Rejected(problem_text(&response.body))),
        _ => Err(RequestError::OutcomeUnknown),
    }
}
