//! The client of the agents on machines.

use crate::client::Client;
use crate::protocol;
use crate::socket_budget::SocketBudget;
use shaleshunt_core::RequestError;
use shaleshunt_core::io::DirectCommandsReply;
use shaleshunt_wire::worker::DirectCommands;
use std::time::Duration;

/// Sends direct commands to agents.
#[derive(Clone)]
pub(crate) struct AgentClient {
    http: Client,
    timeout: Duration,
}

impl AgentClient {
    pub(crate) fn new(sockets: &SocketBudget, timeout: Duration) -> AgentClient {
        // Half the timeout, so that a machine that accepts no connection fails sooner than one that is slow to respond.
        let connect_timeout = timeout / 2;
        AgentClient { http: Client::new(sockets, sockets.agent_calls(), connect_timeout), timeout }
    }

    /// Sends commands to the agent at `address` and decodes the response.
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
