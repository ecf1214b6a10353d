//! The agent's paths: who may ask for what, and what they get.

use crate::Error;
use crate::audit::Audit;
use crate::clock::{Clock, wall};
use crate::config::Config;
use crate::core::{self, Ask, Core, Unable};
use crate::http::{Body, Caller, instance_verb, json, number_in_query, read, refuse, seen, watch};
use crate::listener::{Handler, Listener};
use crate::routes::RelayId;
use crate::storage::Storage;
use crate::traffic::Counters;
use crate::view;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use madderloom_control_plane::change::Change;
use madderloom_control_plane::protocol::{MAX_ORDER_BYTES, MAX_REPORT_BYTES, ToAgent};
use madderloom_control_plane::relay::{Batch, MAX_BATCH_BYTES, MAX_BATCH_MESSAGES};
use madderloom_control_plane::{Accepted, Author, Rejection};
use madderloom_pki::{Keyring, Peer, Verb, role::may};
use serde::Serialize;
use std::rc::Rc;
use std::sync::Arc;

/// An agent that listens.
pub struct Agent {
    listener: Listener,
    paths: Rc<AgentPaths>,
}

impl Agent {
    /// Opens the keys, the audit log and the listener, and begins a new term. Must be called within a
    /// [`tokio::task::LocalSet`].
    ///
    /// # Errors
    /// What is wrong with the files, the state or the address.
    pub async fn start(config: &Config, storage: Box<dyn Storage>) -> Result<Self, Error> {
        let listener = Listener::bind(config.listen, &config.keys, config.connections).await?;
        let audit = Audit::open(&config.audit)?;
        let seed = u128::from(wall()) << 32 | u128::from(std::process::id());
        let core = core::start(
            Clock::new(),
            config.rules,
            config.lending.clone(),
            config.term_above,
            storage,
            seed,
        )
        .await?;
        let (keyring, counters) = (
            Arc::clone(&listener.keyring),
            Arc::clone(&listener.counters),
        );
        let paths = Rc::new(AgentPaths {
            keyring,
            core,
            audit,
            counters,
        });
        Ok(Agent { listener, paths })
    }

    /// Where it listens.
    ///
    /// # Errors
    /// What the system says.
    pub fn address(&self) -> std::io::Result<std::net::SocketAddr> {
        self.listener.address()
    }

    /// Its keys; they may be read again at any time.
    pub fn keyring(&self) -> Arc<Keyring> {
        Arc::clone(&self.listener.keyring)
    }

    /// Serves until it is told to stop.
    ///
    /// # Errors
    /// What TLS does not support.
    pub async fn serve(self, stop: impl Future<Output = ()>) -> Result<(), String> {
        self.listener.serve(self.paths, stop).await
    }
}

struct AgentPaths {
    keyring: Arc<Keyring>,
    core: Core,
    audit: Audit,
    counters: Arc<Counters>,
}

impl Handler for AgentPaths {
    async fn answer(&self, caller: Caller, request: Request<Incoming>) -> Response<Body> {
        let peer = match caller.identify(&self.keyring) {
            Ok(peer) => peer,
            Err(refusal) => return refusal.into(),
        };
        let path = request.uri().path().to_string();
        let parts: Vec<&str> = path.split('/').skip(1).collect();
        if let ["v1", "relays", relay, what] = parts.as_slice() {
            return self.answer_relay(caller, &peer, relay, what, request).await;
        }
        let verb = instance_verb(request.method(), &parts).unwrap_or(match *request.method() {
            Method::GET => Verb::See,
            _ => Verb::Change,
        });
        if !may(peer.role, &peer.name, verb) {
            if verb == Verb::Change {
                let _ = self.audit.write(
                    &peer,
                    request.method().as_str(),
                    &path,
                    "refused: wrong role",
                );
            }
            return caller.refuse_verb(&peer, verb);
        }
        self.answer_permitted(caller, &peer, &path, &parts, request)
            .await
    }
}

impl AgentPaths {
    async fn answer_permitted(
        &self,
        caller: Caller,
        peer: &Peer,
        path: &str,
        parts: &[&str],
        request: Request<Incoming>,
    ) -> Response<Body> {
        let core = &self.core;
        match (request.method(), parts) {
            (&Method::GET, ["v1", "status"]) => {
                seen(core::status(core, self.counters.read()).await)
            }
            (&Method::GET, ["v1", "instances"]) => seen(core.see(view::instances).await),
            (&Method::GET, ["v1", "instances", name, "orders"]) => {
                match number_in_query(&request, "start") {
                    Ok(start) => {
                        let messages = core.watch(name.to_string(), start).await;
                        watch(
                            caller,
                            Arc::clone(&self.keyring),
                            Arc::clone(&self.counters),
                            messages,
                        )
                    }
                    Err(refusal) => refusal.into(),
                }
            }
            (&Method::GET, ["v1", "instances", name]) => {
                let name = name.to_string();
                seen(
                    core.see(move |fleet, now| view::instance_whole(fleet, now, &name))
                        .await,
                )
            }
            (&Method::GET, ["v1", "rollouts"]) => {
                seen(core.see(|fleet, _| view::history(fleet)).await)
            }
            (&Method::GET, ["v1", "rollouts", id]) => {
                let id = id.to_string();
                seen(core.see(move |fleet, _| view::rollout(fleet, &id)).await)
            }
            (&Method::POST, ["v1", "changes"]) => match read(request, MAX_ORDER_BYTES).await {
                Err(refusal) => refusal.into(),
                Ok(change) => {
                    let change: Box<Change> = change;
                    let id = change.id.clone();
                    self.change_fleet(peer, "push", &id, |by, reply| Ask::Push(change, by, reply))
                        .await
                }
            },
            (&Method::POST, ["v1", "rollouts", id, "stop"]) => {
                self.change_fleet(peer, "stop", id, |by, reply| {
                    Ask::Stop(id.to_string(), by, reply)
                })
                .await
            }
            (&Method::POST, ["v1", "rollouts", id, "undo"]) => {
                self.change_fleet(peer, "undo", id, |by, reply| {
                    Ask::Undo(id.to_string(), by, reply)
                })
                .await
            }
            (&Method::POST, ["v1", "instances", name, "register" | "report"]) => {
                match read::<ToAgent>(request, MAX_REPORT_BYTES).await {
                    Err(refusal) => refusal.into(),
                    Ok(message) => self.answer_instance(name, message).await,
                }
            }
            (method, ["v1", ..]) => refuse(
                StatusCode::NOT_FOUND,
                format!("there is no {method} {path}"),
            ),
            _ => refuse(
                StatusCode::NOT_FOUND,
                "this agent speaks version 1 of the protocol: paths begin with /v1/",
            ),
        }
    }

    async fn answer_instance(&self, name: &str, message: ToAgent) -> Response<Body> {
        let who = message.sender();
        if who.name != name {
            return refuse(
                StatusCode::BAD_REQUEST,
                format!("name: is {:?}, and {name:?} in the path", who.name),
            );
        }
        self.counters.messages_came(1);
        match self
            .core
            .ask(|reply| Ask::Instance(Box::new(message), reply))
            .await
        {
            Ok(messages) => {
                self.counters.messages_went(messages.len());
                json(
                    StatusCode::OK,
                    serde_json::to_vec(&messages).unwrap_or_default(),
                )
            }
            Err(Unable(why)) => refuse(StatusCode::SERVICE_UNAVAILABLE, why),
        }
    }

    /// A relay asks, under a certificate that is good for the names of its instances.
    async fn answer_relay(
        &self,
        caller: Caller,
        peer: &Peer,
        relay: &str,
        what: &str,
        request: Request<Incoming>,
    ) -> Response<Body> {
        let start = match number_in_query(&request, "start") {
            Ok(start) => start,
            Err(refusal) => return refusal.into(),
        };
        let relay = RelayId {
            certificate: peer.name.clone(),
            name: relay.to_string(),
            start,
        };
        match (request.method(), what) {
            (&Method::POST, "batch") => {
                match read::<Batch>(request, MAX_BATCH_BYTES + MAX_REPORT_BYTES).await {
                    Err(refusal) => refusal.into(),
                    Ok(batch) => self.answer_batch(&caller, peer, relay, batch).await,
                }
            }
            (&Method::GET, "watch") => {
                let term = number_in_query(&request, "term").unwrap_or(0);
                let messages = self.core.watch_relay(relay, term).await;
                watch(
                    caller,
                    Arc::clone(&self.keyring),
                    Arc::clone(&self.counters),
                    messages,
                )
            }
            (method, _) => refuse(
                StatusCode::NOT_FOUND,
                format!("there is no {method} {what} of a relay"),
            ),
        }
    }

    async fn answer_batch(
        &self,
        caller: &Caller,
        peer: &Peer,
        relay: RelayId,
        batch: Batch,
    ) -> Response<Body> {
        if batch.messages.len() > MAX_BATCH_MESSAGES {
            return refuse(
                StatusCode::BAD_REQUEST,
                format!("messages: are more than {MAX_BATCH_MESSAGES}"),
            );
        }
        let names = batch
            .messages
            .iter()
            .map(|message| Verb::Be(&message.sender().name));
        if let Some(verb) = names
            .into_iter()
            .find(|verb| !may(peer.role, &peer.name, *verb))
        {
            return caller.refuse_verb(peer, verb);
        }
        self.counters.messages_came(batch.messages.len());
        match self.core.ask(|reply| Ask::Batch(relay, batch, reply)).await {
            Ok(answer) => {
                self.counters.messages_went(answer.messages.len());
                json(
                    StatusCode::OK,
                    serde_json::to_vec(&answer).unwrap_or_default(),
                )
            }
            Err(Unable(why)) => refuse(StatusCode::SERVICE_UNAVAILABLE, why),
        }
    }

    /// Asks for a change of the fleet, with a line in the audit log before and after.
    async fn change_fleet(
        &self,
        peer: &Peer,
        asked: &str,
        about: &str,
        ask: impl FnOnce(
            Author,
            tokio::sync::oneshot::Sender<Result<Result<Accepted, Rejection>, Unable>>,
        ) -> Ask,
    ) -> Response<Body> {
        if let Err(problem) = self.audit.write(peer, asked, about, "asked") {
            // What can't be put on record is not done.
            return refuse(StatusCode::SERVICE_UNAVAILABLE, problem.to_string());
        }
        let by = Author {
            name: peer.name.clone(),
            at: wall(),
        };
        let done = self.core.ask(|reply| ask(by, reply)).await;
        let outcome = match &done {
            Ok(Ok(Accepted {
                revision,
                repeat: false,
                ..
            })) => format!("accepted as revision {revision}"),
            Ok(Ok(Accepted { revision, .. })) => format!("repeats what made revision {revision}"),
            Ok(Err(declined)) => format!("declined: {declined}"),
            Err(Unable(why)) => format!("not done: {why}"),
        };
        if let Err(problem) = self.audit.write(peer, asked, about, &outcome) {
            tracing::error!("{problem}: {} {asked} {about}: {outcome}", peer.name);
        }
        tracing::info!(
            "{} ({}): {asked} {about}: {outcome}",
            peer.name,
            peer.serial
        );
        match done {
            Ok(Ok(accepted)) => json(
                StatusCode::OK,
                serde_json::to_vec(&accepted).unwrap_or_default(),
            ),
            Ok(Err(declined)) => answer_declined(&declined),
            Err(Unable(why)) => refuse(StatusCode::SERVICE_UNAVAILABLE, why),
        }
    }
}

fn answer_declined(declined: &Rejection) -> Response<Body> {
    let status = match declined {
        Rejection::Invalid(_) => StatusCode::UNPROCESSABLE_ENTITY,
        Rejection::Impossible(_) => StatusCode::NOT_FOUND,
        Rejection::Superseded(_) => StatusCode::SERVICE_UNAVAILABLE,
        Rejection::Conflict { .. } | Rejection::Busy { .. } | Rejection::IdUsed { .. } => {
            StatusCode::CONFLICT
        }
    };
    #[derive(Serialize)]
    struct Both<'a> {
        error: String,
        declined: &'a Rejection,
    }
    let both = Both {
        error: declined.to_string(),
        declined,
    };
    json(status, serde_json::to_vec(&both).unwrap_or_default())
}
