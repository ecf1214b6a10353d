//! The agent's listener: who asks, whether they may, and what they get.

use crate::Error;
use crate::audit::Audit;
use crate::clock::{Clock, wall};
use crate::config::Config;
use crate::core::{self, Ask, Core, Unable};
use crate::storage::Storage;
use crate::traffic::{Counted, Counters};
use crate::view;
use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Channel, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use madderloom_fleet::protocol::{LARGEST_FROM_INSTANCE, LARGEST_ORDER, ToAgent, ToInstance};
use madderloom_fleet::{Accepted, By, Declined};
use madderloom_keys::{Keyring, Peer, Role, Shown, Verb, explain, role::may};
use madderloom_watchdog::{self as watchdog, TaskKind};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};
use tokio_rustls::TlsAcceptor;

/// How long a handshake, and how long a request's head or body, may take.
const PATIENCE: Duration = Duration::from_secs(10);
/// How often a watch says that it is there.
const BEAT: Duration = Duration::from_secs(5);
/// How often the files of the keys are looked at.
const LOOK: Duration = Duration::from_secs(5);
/// How long a listener rests that can't take a connection.
const REST: Duration = Duration::from_millis(50);

/// An agent that listens.
pub struct Agent {
    listener: TcpListener,
    shared: Rc<Shared>,
    connections: usize,
}

struct Shared {
    keyring: Arc<Keyring>,
    core: Core,
    audit: Audit,
    counters: Arc<Counters>,
}

impl Agent {
    /// Opens the keys, the audit log and the listener, and begins a new term. Must be called within a
    /// [`tokio::task::LocalSet`].
    ///
    /// # Errors
    /// What is wrong with the files, the state or the address.
    pub async fn start(config: &Config, storage: Box<dyn Storage>) -> Result<Self, Error> {
        let keyring = Keyring::load(config.keys.clone()).map_err(Error::Keys)?;
        let certificate = || config.keys.certificate.clone();
        match keyring.own() {
            Some(own) if own.role == Role::Agent => {}
            Some(own) => {
                return Err(Error::WrongRole { certificate: certificate(), role: own.role });
            }
            None => return Err(Error::NoRole { certificate: certificate() }),
        }
        let audit = Audit::open(&config.audit)?;
        let listener = TcpListener::bind(config.listen).await;
        let listener = listener.map_err(|source| Error::Listen { address: config.listen, source })?;
        let seed = u128::from(wall()) << 32 | u128::from(std::process::id());
        let core =
            core::start(Clock::new(), config.rules, config.lending.clone(), config.term_above, storage, seed)
                .await?;
        let shared = Rc::new(Shared { keyring, core, audit, counters: Arc::default() });
        Ok(Agent { listener, shared, connections: config.connections })
    }

    /// Where it listens.
    ///
    /// # Errors
    /// What the system says.
    pub fn address(&self) -> std::io::Result<std::net::SocketAddr> {
        self.listener.local_addr()
    }

    /// Its keys; they may be read again at any time.
    pub fn keyring(&self) -> Arc<Keyring> {
        Arc::clone(&self.shared.keyring)
    }

    /// Serves until it is told to stop.
    ///
    /// # Errors
    /// What TLS does not support.
    pub async fn serve(self, stop: impl Future<Output = ()>) -> Result<(), String> {
        let acceptor = TlsAcceptor::from(self.shared.keyring.server()?);
        let looks = watchdog::spawn(TaskKind::KeyFiles, follow_files(Arc::clone(&self.shared.keyring)));
        let room = Arc::new(Semaphore::new(self.connections));
        // Connections end with the listener: one that lived on would hold an instance to an agent that is no more.
        let mut open = JoinSet::new();
        let accepting = async {
            loop {
                let Ok(permit) = Arc::clone(&room).acquire_owned().await else { return };
                while open.try_join_next().is_some() {}
                match self.listener.accept().await {
                    Ok((stream, peer)) => {
                        let (acceptor, shared) = (acceptor.clone(), Rc::clone(&self.shared));
                        let serving = async move {
                            serve_connection(stream, acceptor, shared).await;
                            drop(permit);
                        };
                        open.spawn_local(watchdog::watch(TaskKind::AgentConnection.of_peer(peer), serving));
                    }
                    // Out of descriptors or the like: what is open goes on, and ends some time.
                    Err(problem) => {
                        tracing::warn!("can't take a connection: {problem}");
                        sleep(REST).await;
                    }
                }
            }
        };
        tokio::select! {
            () = accepting => {}
            () = stop => {}
        }
        looks.abort();
        open.shutdown().await;
        Ok(())
    }
}

async fn follow_files(keyring: Arc<Keyring>) {
    let mut last = None;
    loop {
        sleep(LOOK).await;
        match keyring.reload() {
            Ok(true) => tracing::info!("the keys were read again"),
            Ok(false) => {}
            Err(problem) if last.as_ref() == Some(&problem) => {}
            Err(problem) => {
                tracing::warn!("the keys stay as they were: {problem}");
                last = Some(problem);
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, acceptor: TlsAcceptor, shared: Rc<Shared>) {
    let from = stream.peer_addr().map(|from| from.to_string()).unwrap_or_default();
    let _ = stream.set_nodelay(true);
    let stream = Counted::new(stream, Arc::clone(&shared.counters));
    let stream = match timeout(PATIENCE, acceptor.accept(stream)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(problem)) => {
            let rustls = problem.get_ref().and_then(|e| e.downcast_ref::<rustls::Error>());
            let told = rustls.map_or_else(|| problem.to_string(), explain);
            return tracing::warn!("{from}: turned away: {told}");
        }
        Err(_) => return tracing::debug!("{from}: no handshake in time"),
    };
    let shown = Rc::new(Shown::new(stream.get_ref().1.peer_certificates().unwrap_or_default()));
    let answer = service_fn(move |request| {
        let (shared, shown, from) = (Rc::clone(&shared), Rc::clone(&shown), from.clone());
        async move { Ok::<_, Infallible>(answer(shared, shown, &from, request).await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_secs(120))
        .max_buf_size(16 << 10)
        .serve_connection(TokioIo::new(stream), answer);
    // How it ended says nothing that the log should hold.
    let _ = served.await;
}

type Body = BoxBody<Bytes, Infallible>;

/// A refusal, as programs and people read it.
#[derive(Serialize)]
struct Refusal {
    error: String,
}

fn json(status: StatusCode, text: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(BodyExt::boxed(Full::new(Bytes::from(text))));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn refuse(status: StatusCode, error: impl ToString) -> Response<Body> {
    json(status, serde_json::to_vec(&Refusal { error: error.to_string() }).unwrap_or_default())
}

fn seen(done: Result<Vec<u8>, Unable>) -> Response<Body> {
    match done {
        Ok(text) if text == b"null" => refuse(StatusCode::NOT_FOUND, "there is nothing of that name"),
        Ok(text) => json(StatusCode::OK, text),
        Err(Unable(why)) => refuse(StatusCode::SERVICE_UNAVAILABLE, why),
    }
}

async fn answer(
    shared: Rc<Shared>,
    shown: Rc<Shown>,
    from: &str,
    request: Request<Incoming>,
) -> Response<Body> {
    let peer = match shared.keyring.check_again(&shown, wall() / 1_000) {
        Ok(peer) => peer,
        Err(refused) => {
            tracing::warn!("{from}: turned away: {refused}");
            return refuse(StatusCode::FORBIDDEN, refused);
        }
    };
    let path = request.uri().path().to_string();
    let parts: Vec<&str> = path.split('/').skip(1).collect();
    let verb = match (request.method(), parts.as_slice()) {
        (&Method::POST, ["v1", "instances", name, "register" | "report"])
        | (&Method::GET, ["v1", "instances", name, "orders"]) => Verb::Be(name),
        (&Method::GET, _) => Verb::See,
        _ => Verb::Change,
    };
    if !may(peer.role, &peer.name, verb) {
        let Peer { name, role, serial, .. } = &peer;
        tracing::warn!("{from}: turned away: {name} ({role}, {serial}) may not {verb}");
        if verb == Verb::Change {
            let _ = shared.audit.write(&peer, request.method().as_str(), &path, "refused: wrong role");
        }
        return refuse(StatusCode::FORBIDDEN, format!("{name} has the role {role} and may not {verb}"));
    }
    let core = &shared.core;
    match (request.method(), parts.as_slice()) {
        (&Method::GET, ["v1", "status"]) => seen(core::status(core, shared.counters.read()).await),
        (&Method::GET, ["v1", "instances"]) => seen(core.see(view::instances).await),
        (&Method::GET, ["v1", "instances", name]) => {
            let name = name.to_string();
            seen(core.see(move |fleet, now| view::instance_whole(fleet, now, &name)).await)
        }
        (&Method::GET, ["v1", "rollouts"]) => seen(core.see(|fleet, _| view::history(fleet)).await),
        (&Method::GET, ["v1", "rollouts", id]) => {
            let id = id.to_string();
            seen(core.see(move |fleet, _| view::rollout(fleet, &id)).await)
        }
        (&Method::POST, ["v1", "changes"]) => match read(request, LARGEST_ORDER).await {
            Err(refusal) => refusal,
            Ok(change) => {
                let change: Box<madderloom_fleet::change::Change> = change;
                let id = change.id.clone();
                change_fleet(&shared, &peer, "push", &id, |by, reply| Ask::Push(change, by, reply)).await
            }
        },
        (&Method::POST, ["v1", "rollouts", id, "stop"]) => {
            change_fleet(&shared, &peer, "stop", id, |by, reply| Ask::Stop(id.to_string(), by, reply)).await
        }
        (&Method::POST, ["v1", "rollouts", id, "undo"]) => {
            change_fleet(&shared, &peer, "undo", id, |by, reply| Ask::Undo(id.to_string(), by, reply)).await
        }
        (&Method::POST, ["v1", "instances", name, "register" | "report"]) => {
            match read::<ToAgent>(request, LARGEST_FROM_INSTANCE).await {
                Err(refusal) => refusal,
                Ok(message) => from_instance(&shared, name, message).await,
            }
        }
        (&Method::GET, ["v1", "instances", name, "orders"]) => {
            let start = request.uri().query().and_then(|query| query.strip_prefix("start="));
            match start.and_then(|start| start.parse().ok()) {
                Some(start) => orders(&shared, shown, name, start).await,
                None => refuse(StatusCode::BAD_REQUEST, "start: is missing; write ?start=NUMBER"),
            }
        }
        (_, ["v1", ..]) => refuse(StatusCode::NOT_FOUND, format!("there is no {} {path}", request.method())),
        _ => refuse(
            StatusCode::NOT_FOUND,
            "this agent speaks version 1 of the protocol: paths begin with /v1/",
        ),
    }
}

async fn read<T: DeserializeOwned>(request: Request<Incoming>, most: usize) -> Result<T, Response<Body>> {
    let body = timeout(PATIENCE, Limited::new(request.into_body(), most).collect()).await;
    let body = match body {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(problem)) if problem.is::<LengthLimitError>() => {
            return Err(refuse(StatusCode::PAYLOAD_TOO_LARGE, format!("more than {most} bytes")));
        }
        Ok(Err(problem)) => return Err(refuse(StatusCode::BAD_REQUEST, problem)),
        Err(_) => return Err(refuse(StatusCode::REQUEST_TIMEOUT, "the body has not come")),
    };
    serde_json::from_slice(&body).map_err(|problem| refuse(StatusCode::BAD_REQUEST, problem))
}

async fn from_instance(shared: &Shared, name: &str, message: ToAgent) -> Response<Body> {
    let who = match &message {
        ToAgent::Register(wish) => &wish.who,
        ToAgent::Report(report) => &report.who,
    };
    if who.name != name {
        return refuse(StatusCode::BAD_REQUEST, format!("name: is {:?}, and {name:?} in the path", who.name));
    }
    shared.counters.messages_came(1);
    match shared.core.ask(|reply| Ask::Instance(Box::new(message), reply)).await {
        Ok(messages) => {
            shared.counters.messages_went(messages.len());
            json(StatusCode::OK, serde_json::to_vec(&messages).unwrap_or_default())
        }
        Err(Unable(why)) => refuse(StatusCode::SERVICE_UNAVAILABLE, why),
    }
}

/// The watch: a line for each message, and an empty one now and then.
async fn orders(shared: &Rc<Shared>, shown: Rc<Shown>, name: &str, start: u64) -> Response<Body> {
    let mut messages: mpsc::Receiver<ToInstance> = shared.core.watch(name.to_string(), start).await;
    let (mut sender, body) = Channel::<Bytes, Infallible>::new(1);
    let (keyring, counters) = (Arc::clone(&shared.keyring), Arc::clone(&shared.counters));
    watchdog::spawn(TaskKind::AgentConnection, async move {
        let mut beat = interval(BEAT);
        beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let line = tokio::select! {
                message = messages.recv() => match message {
                    Some(message) => serde_json::to_vec(&message).unwrap_or_default(),
                    // Another watch has taken its place.
                    None => return,
                },
                _ = beat.tick() => Vec::new(),
            };
            // A certificate may expire or be revoked while it is watched under it.
            if keyring.check_again(&shown, wall() / 1_000).is_err() {
                return;
            }
            let line = Bytes::from([line.as_slice(), b"\n"].concat());
            let messages = usize::from(line.len() > 1);
            if sender.send_data(line).await.is_err() {
                return;
            }
            counters.messages_went(messages);
        }
    });
    let mut response = Response::new(BodyExt::boxed(body));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/x-ndjson"));
    response
}

/// Asks for a change of the fleet, with a line in the audit log before and after.
async fn change_fleet(
    shared: &Rc<Shared>,
    peer: &Peer,
    asked: &str,
    about: &str,
    ask: impl FnOnce(By, tokio::sync::oneshot::Sender<Result<Result<Accepted, Declined>, Unable>>) -> Ask,
) -> Response<Body> {
    if let Err(problem) = shared.audit.write(peer, asked, about, "asked") {
        // What can't be put on record is not done.
        return refuse(StatusCode::SERVICE_UNAVAILABLE, problem.to_string());
    }
    let by = By { who: peer.name.clone(), at: wall() };
    let done = shared.core.ask(|reply| ask(by, reply)).await;
    let outcome = match &done {
        Ok(Ok(Accepted { revision, repeat: false, .. })) => format!("accepted as revision {revision}"),
        Ok(Ok(Accepted { revision, .. })) => format!("repeats what made revision {revision}"),
        Ok(Err(declined)) => format!("declined: {declined}"),
        Err(Unable(why)) => format!("not done: {why}"),
    };
    if let Err(problem) = shared.audit.write(peer, asked, about, &outcome) {
        tracing::error!("{problem}: {} {asked} {about}: {outcome}", peer.name);
    }
    tracing::info!("{} ({}): {asked} {about}: {outcome}", peer.name, peer.serial);
    match done {
        Ok(Ok(accepted)) => json(StatusCode::OK, serde_json::to_vec(&accepted).unwrap_or_default()),
        Ok(Err(declined)) => {
            let status = match &declined {
                Declined::Invalid(_) => StatusCode::UNPROCESSABLE_ENTITY,
                Declined::Impossible(_) => StatusCode::NOT_FOUND,
                Declined::StoodDown(_) => StatusCode::SERVICE_UNAVAILABLE,
                Declined::Conflict { .. } | Declined::Busy { .. } | Declined::IdUsed { .. } => {
                    StatusCode::CONFLICT
                }
            };
            #[derive(Serialize)]
            struct Both<'a> {
                error: String,
                declined: &'a Declined,
            }
            let both = Both { error: declined.to_string(), declined: &declined };
            json(status, serde_json::to_vec(&both).unwrap_or_default())
        }
        Err(Unable(why)) => refuse(StatusCode::SERVICE_UNAVAILABLE, why),
    }
}
