//! The relay as a server: the paths that an agent has for its instances, and a view of the relay itself.

use super::config::RelayConfig;
use super::task::{self, RelayHandle};
use crate::Error;
use crate::clock::random_seed;
use crate::http::{
    Body, Caller, Rejection, WatchResponder, check_name_in_path, instance_permission,
    json_response, number_in_query, read_json,
};
use crate::key_files::reload_changed_keys;
use crate::server::{Listener, RequestHandler};
use crate::traffic::{Traffic, TrafficCounters};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use madderloom_control_plane::protocol::{LARGEST_FROM_INSTANCE, ToAgent};
use madderloom_control_plane::relay::RelayStatus;
use madderloom_pki::{Keyring, Permission};
use madderloom_watchdog::{self as watchdog, TaskKind};
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

/// What a relay shows of itself: the body of `GET /v1/relay`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RelayView {
    /// Its name.
    pub name: String,
    /// The address of the agent that it is connected to, or tries to connect to.
    pub agent: String,
    /// Its state.
    #[serde(rename = "relay")]
    pub status: RelayStatus,
    /// What has passed over the connections of its instances.
    pub traffic: Traffic,
}

/// A relay that listens.
pub struct Relay {
    listener: Listener,
    requests: Rc<RelayRequests>,
    client_keyring: Arc<Keyring>,
}

impl Relay {
    /// Loads the keys, listens, and begins to connect to the agent above. Must be called within a
    /// [`tokio::task::LocalSet`].
    ///
    /// # Errors
    /// The keys cannot be used, or the address cannot be listened on.
    pub async fn start(config: &RelayConfig) -> Result<Self, Error> {
        let listener = Listener::bind(config.listen, &config.keys, config.max_connections).await?;
        let client_keyring = Keyring::load(config.client_keys.clone()).map_err(Error::Keys)?;
        let relay = task::start(config, Arc::clone(&client_keyring), random_seed());
        let (keyring, counters) = (&listener.keyring, &listener.counters);
        let requests = Rc::new(RelayRequests {
            name: config.name.clone(),
            relay,
            keyring: Arc::clone(keyring),
            counters: Arc::clone(counters),
            watches: WatchResponder {
                keyring: Arc::clone(keyring),
                counters: Arc::clone(counters),
            },
        });
        Ok(Relay {
            listener,
            requests,
            client_keyring,
        })
    }

    /// The address that it listens on.
    ///
    /// # Errors
    /// The system does not tell it.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.address()
    }

    /// Its keys as a server and as a client. They may be reloaded at any time; it also does so by itself when their files
    /// have changed.
    pub fn keyrings(&self) -> [Arc<Keyring>; 2] {
        [
            Arc::clone(&self.listener.keyring),
            Arc::clone(&self.client_keyring),
        ]
    }

    /// Serves until `stop` completes, and then closes all connections.
    ///
    /// # Errors
    /// The keys cannot be used.
    pub async fn serve(self, stop: impl Future<Output = ()>) -> Result<(), Error> {
        let client_keys = reload_changed_keys(self.client_keyring);
        let client_keys = watchdog::spawn(TaskKind::KeyFiles, client_keys);
        let served = self.listener.serve(self.requests, stop).await;
        client_keys.abort();
        served
    }
}

/// Answers the requests to a relay.
struct RelayRequests {
    name: String,
    relay: RelayHandle,
    keyring: Arc<Keyring>,
    counters: Arc<TrafficCounters>,
    watches: WatchResponder,
}

/// The response to a request, or why it is rejected.
type Answer = Result<Response<Body>, Rejection>;

impl RequestHandler for RelayRequests {
    async fn answer(&self, caller: Caller, request: Request<Incoming>) -> Response<Body> {
        match self.try_answer(caller, request).await {
            Ok(response) => response,
            Err(rejection) => rejection.into(),
        }
    }
}

impl RelayRequests {
    async fn try_answer(&self, caller: Caller, request: Request<Incoming>) -> Answer {
        let peer = caller.identify(&self.keyring)?;
        let path = request.uri().path().to_string();
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        let permission = self.permission(request.method(), &path, &segments)?;
        caller.authorize(&peer, permission)?;
        match permission {
            Permission::ActAsInstance(name) if request.method() == Method::POST => {
                self.answer_instance(name, request).await
            }
            Permission::ActAsInstance(name) => self.open_watch(caller, name, &request).await,
            _ => self.answer_view().await,
        }
    }

    /// The permission that a request needs.
    fn permission<'a>(
        &self,
        method: &Method,
        path: &str,
        segments: &[&'a str],
    ) -> Result<Permission<'a>, Rejection> {
        if let Some(permission) = instance_permission(method, segments) {
            return Ok(permission);
        }
        if method == Method::GET && segments == ["v1", "relay"] {
            return Ok(Permission::ViewFleet);
        }
        let error = format!("this is the relay {}: ask the agent for {path}", self.name);
        Err(Rejection::not_found(error))
    }

    /// Answers a registration or a report of the instance that the path names.
    async fn answer_instance(&self, name: &str, request: Request<Incoming>) -> Answer {
        let message: Box<ToAgent> = read_json(request, LARGEST_FROM_INSTANCE).await?;
        check_name_in_path(&message, name)?;
        self.counters.add_messages_in(1);
        let messages = self.relay.instance_message(message).await;
        let messages = messages.ok_or_else(stopping)?;
        self.counters.add_messages_out(messages.len());
        Ok(json_response(StatusCode::OK, &messages))
    }

    async fn open_watch(&self, caller: Caller, name: &str, request: &Request<Incoming>) -> Answer {
        let start = number_in_query(request, "start")?;
        let messages = self.relay.watch_instance(name.to_string(), start).await;
        Ok(self.watches.respond(caller, messages.ok_or_else(stopping)?))
    }

    async fn answer_view(&self) -> Answer {
        let state = self.relay.state().await.ok_or_else(stopping)?;
        let view = RelayView {
            name: self.name.clone(),
            agent: state.agent,
            status: state.status,
            traffic: self.counters.read(),
        };
        Ok(json_response(StatusCode::OK, &view))
    }
}

fn stopping() -> Rejection {
    Rejection::unavailable("the relay is stopping")
}
