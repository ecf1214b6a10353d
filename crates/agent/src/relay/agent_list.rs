//! The agents that a relay may connect to, of which it uses one at a time.

use super::agent_connection::ConnectionError;
use std::collections::BTreeMap;

/// The addresses of agents, with the one that is in use.
pub(super) struct AgentList {
    /// At least one.
    addresses: Vec<String>,
    /// The index of the address in use.
    current: usize,
    /// Why the last connection to an agent was lost, by the index of its address, since any agent was last connected.
    last_errors: BTreeMap<usize, String>,
}

impl AgentList {
    /// Begins with the first address. There must be one at least, which [`super::RelayConfig::read`] checks.
    pub(super) fn new(addresses: Vec<String>) -> Self {
        AgentList {
            addresses,
            current: 0,
            last_errors: BTreeMap::new(),
        }
    }

    /// The address in use.
    pub(super) fn current(&self) -> &str {
        &self.addresses[self.current]
    }

    /// Logs that an agent is connected.
    pub(super) fn log_connected(&mut self, term: u64) {
        self.last_errors.clear();
        tracing::info!(address = self.current(), term, "connected to the agent");
    }

    /// Logs why the connection was lost, and goes on to the next address. A reason that is the same as the last one of that
    /// agent is not logged again.
    pub(super) fn advance(&mut self, error: &ConnectionError) {
        let error = error.to_string();
        if self.last_errors.get(&self.current) != Some(&error) {
            tracing::warn!(address = self.current(), %error, "agent connection lost");
            self.last_errors.insert(self.current, error);
        }
        self.current = (self.current + 1) % self.addresses.len();
    }
}
