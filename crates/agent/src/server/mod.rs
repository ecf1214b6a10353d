//! The agent as a server: its listener, its keys, and the task of the fleet's state machine behind them.

mod agent_requests;
mod listener;

pub(crate) use listener::{Listener, RequestHandler};

use crate::Error;
use crate::audit_log::AuditLog;
use crate::clock::random_seed;
use crate::config::AgentConfig;
use crate::fleet_task::{self, FleetTaskSettings};
use crate::storage::Storage;
use agent_requests::AgentRequests;
use madderloom_pki::Keyring;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

/// An agent that listens.
pub struct Agent {
    listener: Listener,
    requests: Rc<AgentRequests>,
}

impl Agent {
    /// Loads the keys and the state, opens the audit log, listens, and begins a new term. Must be called within a
    /// [`tokio::task::LocalSet`].
    ///
    /// # Errors
    /// The keys, the state or the audit log cannot be used, or the address cannot be listened on.
    pub async fn start(config: &AgentConfig, storage: Box<dyn Storage>) -> Result<Self, Error> {
        let listener = Listener::bind(config.listen, &config.keys, config.max_connections).await?;
        let audit_log = AuditLog::open(&config.audit_log)?;
        let settings = FleetTaskSettings {
            rules: config.rules,
            fleet_limits: config.fleet_limits.clone(),
            term_above: config.term_above,
            seed: random_seed(),
        };
        let fleet = fleet_task::start(settings, storage).await?;
        let requests = Rc::new(AgentRequests::new(fleet, audit_log, &listener));
        Ok(Agent { listener, requests })
    }

    /// The address that it listens on.
    ///
    /// # Errors
    /// The system does not tell it.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.address()
    }

    /// Its keys. They may be reloaded at any time; it also does so by itself when their files have changed.
    pub fn keyring(&self) -> Arc<Keyring> {
        Arc::clone(&self.listener.keyring)
    }

    /// Serves until `stop` completes, and then closes all connections.
    ///
    /// # Errors
    /// The keys cannot be used.
    pub async fn serve(self, stop: impl Future<Output = ()>) -> Result<(), Error> {
        self.listener.serve(self.requests, stop).await
    }
}
