//! What an agent and a relay share of HTTP: who asks, bodies that are read whole, answers in JSON, and watches.

use crate::clock::wall;
use crate::core::Unavailable;
use crate::traffic::TrafficCounters;
use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Channel, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use madderloom_pki::{Keyring, Peer, Shown, Verb};
use madderloom_watchdog::{self as watchdog, TaskKind};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval, timeout};

/// How long a handshake, and how long a request's head or body, may take.
pub(crate) const PATIENCE: Duration = Duration::from_secs(10);
/// How often a watch sends an empty line.
const HEARTBEAT: Duration = Duration::from_secs(5);

/// The body of an answer.
pub(crate) type Body = BoxBody<Bytes, Infallible>;

/// The other end of a connection.
#[derive(Clone)]
pub(crate) struct Caller {
    /// Its address.
    pub(crate) from: String,
    /// The certificate that it showed.
    pub(crate) shown: Rc<Shown>,
}

impl Caller {
    /// Who it is now: a certificate may expire or be revoked while a connection is open.
    ///
    /// # Errors
    /// The certificate is not good any more.
    pub(crate) fn identify(&self, keyring: &Keyring) -> Result<Peer, Refusal> {
        keyring
            .check_again(&self.shown, wall() / 1_000)
            .map_err(|refused| {
                tracing::warn!("{}: turned away: {refused}", self.from);
                Refusal::new(StatusCode::FORBIDDEN, refused)
            })
    }
}

impl Caller {
    /// The answer to one whose role does not permit what it asks for.
    pub(crate) fn refuse_verb(&self, peer: &Peer, verb: Verb<'_>) -> Response<Body> {
        let Peer {
            name, role, serial, ..
        } = peer;
        tracing::warn!(
            "{}: turned away: {name} ({role}, {serial}) may not {verb}",
            self.from
        );
        refuse(
            StatusCode::FORBIDDEN,
            format!("{name} has the role {role} and may not {verb}"),
        )
    }
}

/// Why a request is not answered as it asks.
#[derive(Debug)]
pub(crate) struct Refusal {
    status: StatusCode,
    error: String,
}

impl Refusal {
    fn new(status: StatusCode, error: impl ToString) -> Self {
        Refusal {
            status,
            error: error.to_string(),
        }
    }
}

impl From<Refusal> for Response<Body> {
    fn from(refusal: Refusal) -> Self {
        refuse(refusal.status, refusal.error)
    }
}

/// A refusal, as programs and people read it.
#[derive(Serialize)]
struct WrittenRefusal {
    error: String,
}

/// An answer in JSON that is written already.
pub(crate) fn json(status: StatusCode, text: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(BodyExt::boxed(Full::new(Bytes::from(text))));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// A refusal with its reason.
pub(crate) fn refuse(status: StatusCode, error: impl ToString) -> Response<Body> {
    json(
        status,
        serde_json::to_vec(&WrittenRefusal {
            error: error.to_string(),
        })
        .unwrap_or_default(),
    )
}

/// What a request of an instance asks for: to be that instance. None for all other requests.
pub(crate) fn instance_verb<'a>(method: &Method, parts: &[&'a str]) -> Option<Verb<'a>> {
    match (method, parts) {
        (&Method::POST, ["v1", "instances", name, "register" | "report"])
        | (&Method::GET, ["v1", "instances", name, "orders"]) => Some(Verb::Be(name)),
        _ => None,
    }
}

/// The answer to a request to see something, which may not be there.
pub(crate) fn seen(done: Result<Vec<u8>, Unavailable>) -> Response<Body> {
    match done {
        Ok(text) if text == b"null" => {
            refuse(StatusCode::NOT_FOUND, "there is nothing of that name")
        }
        Ok(text) => json(StatusCode::OK, text),
        Err(Unavailable(why)) => refuse(StatusCode::SERVICE_UNAVAILABLE, why),
    }
}

/// Reads a body of so many bytes at most.
///
/// # Errors
/// The body is too long, too slow, or makes no sense.
pub(crate) async fn read<T: DeserializeOwned>(
    request: Request<Incoming>,
    most: usize,
) -> Result<T, Refusal> {
    let body = timeout(PATIENCE, Limited::new(request.into_body(), most).collect()).await;
    let body = match body {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(problem)) if problem.is::<LengthLimitError>() => {
            return Err(Refusal::new(
                StatusCode::PAYLOAD_TOO_LARGE,
                format!("more than {most} bytes"),
            ));
        }
        Ok(Err(problem)) => return Err(Refusal::new(StatusCode::BAD_REQUEST, problem)),
        Err(_) => {
            return Err(Refusal::new(
                StatusCode::REQUEST_TIMEOUT,
                "the body has not come",
            ));
        }
    };
    serde_json::from_slice(&body).map_err(|problem| Refusal::new(StatusCode::BAD_REQUEST, problem))
}

/// A number in the query of a request, such as the start that a watch is for.
///
/// # Errors
/// The query does not name it.
pub(crate) fn number_in_query(request: &Request<Incoming>, name: &str) -> Result<u64, Refusal> {
    let query = request.uri().query().unwrap_or_default();
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let number = pairs
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok());
    let missing = || format!("{name}: is missing; write ?{name}=NUMBER");
    number.ok_or_else(|| Refusal::new(StatusCode::BAD_REQUEST, missing()))
}

/// A watch: a line for each message, and an empty one now and then. It ends with the messages.
pub(crate) fn watch<T: Serialize + 'static>(
    caller: Caller,
    keyring: Arc<Keyring>,
    counters: Arc<TrafficCounters>,
    mut messages: mpsc::Receiver<T>,
) -> Response<Body> {
    let (mut sender, body) = Channel::<Bytes, Infallible>::new(1);
    watchdog::spawn(TaskKind::AgentConnection, async move {
        let mut heartbeat = interval(HEARTBEAT);
        heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let line = tokio::select! {
                message = messages.recv() => match message {
                    Some(message) => serde_json::to_vec(&message).unwrap_or_default(),
                    // Another watch has taken its place.
                    None => return,
                },
                _ = heartbeat.tick() => Vec::new(),
            };
            // A certificate may expire or be revoked while it is watched under it.
            if keyring.check_again(&caller.shown, wall() / 1_000).is_err() {
                return;
            }
            let line = Bytes::from([line.as_slice(), b"\n"].concat());
            let messages = usize::from(line.len() > 1);
            if sender.send_data(line).await.is_err() {
                return;
            }
            counters.add_messages_out(messages);
        }
    });
    let mut response = Response::new(BodyExt::boxed(body));
    response.headers_mut().insert(
        CONTENT_TYPE,
        HeaderValue::from_static("application/x-ndjson"),
    );
    response
}
