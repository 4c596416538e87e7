//! Direct commands to workers.

use crate::client::Client;
use crate::protocol;
use crate::socket_budget::SocketBudget;
use shaleshunt_core::RequestError;
use shaleshunt_core::io::DirectCommandsReply;
use shaleshunt_wire::worker::DirectCommands;
use std::time::Duration;

/// A client of all workers.
#[derive(Clone)]
pub(crate) struct AgentClient {
    http: Client,
    timeout: Duration,
}

impl AgentClient {
    pub(crate) fn new(sockets: &SocketBudget, timeout: Duration) -> AgentClient {
        // A machine that does not even accept a connection is given up sooner.
        let connect_timeout = timeout / 2;
        AgentClient { http: Client::new(sockets, sockets.agent_calls(), connect_timeout), timeout }
    }

    /// Sends commands to the worker at an address and reads the response.
    pub(crate) async fn execute(
        &self,
        address: &str,
        commands: &DirectCommands,
    ) -> Result<DirectCommandsReply, RequestError> {
        let priority = protocol::agent::priority(commands);
        let encoded = protocol::agent::encode(commands);
        let response = self.http.send(encoded.call(address, self.timeout, priority)).await?;
        protocol::agent::decode(&response)
    }

    pub(crate) fn http(&self) -> &Client {
        &self.http
    }
}
