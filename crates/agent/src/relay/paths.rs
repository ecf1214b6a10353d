//! The relay's paths: those of an agent for its instances, and a view of itself.

use super::config::RelayConfig;
use super::core::{self, Ask, RelayCore};
use crate::Error;
use crate::clock::wall;
use crate::http::{Body, Caller, instance_verb, json, number_in_query, read, refuse, watch};
use crate::listener::{Handler, Listener, follow_files};
use crate::traffic::{Counters, Traffic};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use madderloom_control_plane::protocol::{MAX_REPORT_BYTES, ToAgent};
use madderloom_control_plane::relay::RelayStatus;
use madderloom_pki::{Keyring, Verb, role::may};
use madderloom_watchdog::{self as watchdog, TaskKind};
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::sync::Arc;

/// What a relay says of itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RelayView {
    /// Its name.
    pub name: String,
    /// The agent that it is connected to, or tries to connect to.
    pub agent: String,
    /// How it stands.
    pub relay: RelayStatus,
    /// What has passed over the connections of its instances.
    pub traffic: Traffic,
}

/// A relay that listens.
pub struct Relay {
    listener: Listener,
    paths: Rc<RelayPaths>,
    parent_keyring: Arc<Keyring>,
}

impl Relay {
    /// Opens the keys and the listener, and begins to connect to the agent above. Must be called within a
    /// [`tokio::task::LocalSet`].
    ///
    /// # Errors
    /// What is wrong with the files or the address.
    pub async fn start(config: &RelayConfig) -> Result<Self, Error> {
        let listener = Listener::bind(config.listen, &config.keys, config.connections).await?;
        let parent_keyring = Keyring::load(config.parent_keys.clone()).map_err(Error::Keys)?;
        let seed = u128::from(wall()) << 32 | u128::from(std::process::id());
        let core = core::start(config, Arc::clone(&parent_keyring), seed);
        let (keyring, counters) = (
            Arc::clone(&listener.keyring),
            Arc::clone(&listener.counters),
        );
        let paths = Rc::new(RelayPaths {
            name: config.name.clone(),
            keyring,
            core,
            counters,
        });
        Ok(Relay {
            listener,
            paths,
            parent_keyring,
        })
    }

    /// Where it listens.
    ///
    /// # Errors
    /// What the system says.
    pub fn address(&self) -> std::io::Result<std::net::SocketAddr> {
        self.listener.address()
    }

    /// Its keys, as a server and as a client; they may be read again at any time.
    pub fn keyrings(&self) -> [Arc<Keyring>; 2] {
        [
            Arc::clone(&self.listener.keyring),
            Arc::clone(&self.parent_keyring),
        ]
    }

    /// Serves until it is told to stop.
    ///
    /// # Errors
    /// What TLS does not support.
    pub async fn serve(self, stop: impl Future<Output = ()>) -> Result<(), String> {
        let parent_keys = watchdog::spawn(TaskKind::KeyFiles, follow_files(self.parent_keyring));
        let served = self.listener.serve(self.paths, stop).await;
        parent_keys.abort();
        served
    }
}

struct RelayPaths {
    name: String,
    keyring: Arc<Keyring>,
    core: RelayCore,
    counters: Arc<Counters>,
}

impl Handler for RelayPaths {
    async fn answer(&self, caller: Caller, request: Request<Incoming>) -> Response<Body> {
        let peer = match caller.identify(&self.keyring) {
            Ok(peer) => peer,
            Err(refusal) => return refusal.into(),
        };
        let path = request.uri().path().to_string();
        let parts: Vec<&str> = path.split('/').skip(1).collect();
        let own_view =
            (request.method() == Method::GET && parts == ["v1", "relay"]).then_some(Verb::See);
        let verb = match instance_verb(request.method(), &parts).or(own_view) {
            Some(verb) => verb,
            None => {
                let error = format!("this is the relay {}: ask the agent for {path}", self.name);
                return refuse(StatusCode::NOT_FOUND, error);
            }
        };
        if !may(peer.role, &peer.name, verb) {
            return caller.refuse_verb(&peer, verb);
        }
        match verb {
            Verb::Be(name) if request.method() == Method::POST => {
                self.answer_instance(name, request).await
            }
            Verb::Be(name) => self.watch(caller, name, request).await,
            _ => self.view().await,
        }
    }
}

impl RelayPaths {
    async fn answer_instance(&self, name: &str, request: Request<Incoming>) -> Response<Body> {
        let message = match read::<Box<ToAgent>>(request, MAX_REPORT_BYTES).await {
            Ok(message) => message,
            Err(refusal) => return refusal.into(),
        };
        let told = &message.sender().name;
        if told != name {
            let error = format!("name: is {told:?}, and {name:?} in the path");
            return refuse(StatusCode::BAD_REQUEST, error);
        }
        self.counters.messages_came(1);
        match self.core.ask(|reply| Ask::Message(message, reply)).await {
            Some(messages) => {
                self.counters.messages_went(messages.len());
                json(
                    StatusCode::OK,
                    serde_json::to_vec(&messages).unwrap_or_default(),
                )
            }
            None => stopping(),
        }
    }

    async fn watch(
        &self,
        caller: Caller,
        name: &str,
        request: Request<Incoming>,
    ) -> Response<Body> {
        let start = match number_in_query(&request, "start") {
            Ok(start) => start,
            Err(refusal) => return refusal.into(),
        };
        match self
            .core
            .ask(|reply| Ask::Watch(name.to_string(), start, reply))
            .await
        {
            Some(messages) => watch(
                caller,
                Arc::clone(&self.keyring),
                Arc::clone(&self.counters),
                messages,
            ),
            None => stopping(),
        }
    }

    async fn view(&self) -> Response<Body> {
        let Some((relay, agent)) = self.core.ask(Ask::Status).await else {
            return stopping();
        };
        let view = RelayView {
            name: self.name.clone(),
            agent,
            relay,
            traffic: self.counters.read(),
        };
        json(
            StatusCode::OK,
            serde_json::to_vec(&view).unwrap_or_default(),
        )
    }
}

fn stopping() -> Response<Body> {
    refuse(StatusCode::SERVICE_UNAVAILABLE, "the relay is stopping")
}
