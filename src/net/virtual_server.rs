//! The virtual server: the client's side. It takes connections and requests, and gives answers back.

use super::connections::is_exhausted;
use super::flow::{self, Onward};
use super::transaction::{self, Answer};
use super::{BODY, Sidecar, log};
use crate::{Micros, NewRequest};
use bytes::Bytes;
use foldhash::quality::FixedState;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri, body::Body, body::Incoming, server::conn::http1};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::hash::BuildHasher;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

/// How long after it is told to stop the program still takes what comes.
const LINGER: Duration = Duration::from_millis(800);
/// A client counts its time from the sending, which is a little before the reading.
const MARGIN: Micros = 1_000;

const TRACE_ID: HeaderName = HeaderName::from_static("x-trace-id");
const EXPIRES: HeaderName = HeaderName::from_static("x-expires-in-ms");
const SECOND_TRY: HeaderName = HeaderName::from_static("x-second-try");
const SIZE_HINT: HeaderName = HeaderName::from_static("x-size-hint");
/// Serves clients until `stop` ends and what was taken is answered.
pub(super) async fn run(sidecar: &Rc<Sidecar>, stop: impl Future<Output = ()>) -> Result<(), String> {
    let at = sidecar.listen;
    let listener = TcpListener::bind(at).await.map_err(|e| format!("RELAY_LISTEN: {at}: {e}"))?;
    let at = listener.local_addr().map_err(|e| format!("RELAY_LISTEN: {at}: {e}"))?;
    log(format_args!("listening on {at}"));
    let most = sidecar.most_clients;
    let room = Rc::new(Semaphore::new(most));
    let (close, closing) = watch::channel(false);
    let stopping = async {
        stop.await;
        log(format_args!("stopping"));
        sidecar.stopping.set(true);
        // Clients go on connecting for a while, and what has reached this machine has been taken.
        tokio::time::sleep(LINGER).await;
    };
    tokio::select! {
        () = take(sidecar, &listener, &room, closing) => {}
        () = stopping => {}
    }
    drop(listener);
    log(format_args!("closed to new clients"));
    // Nobody may be there to hear it.
    let _ = close.send(true);
    // All room free again: no connection is left, so no answer is owed. The taking, which holds some of the
    // room while it waits for a client, has ended above; else this would never come true.
    let _ = room.acquire_many(most as u32).await;
    Ok(())
}

/// Takes connections for as long as it is asked to.
async fn take(
    sidecar: &Rc<Sidecar>,
    listener: &TcpListener,
    room: &Rc<Semaphore>,
    closing: watch::Receiver<bool>,
) {
    loop {
        // A connection that waits in the backlog has been taken as far as its client can tell, so the one that
        // is there for longest makes room before there is none.
        if room.available_permits() <= sidecar.most_clients / 8 {
            sidecar.crowded.notify_one();
        }
        let Ok(permit) = room.acquire().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                permit.forget();
                let (sidecar, room, closing) = (Rc::clone(sidecar), Rc::clone(room), closing.clone());
                tokio::task::spawn_local(async move {
                    converse(&sidecar, stream, closing).await;
                    room.add_permits(1);
                });
            }
            Err(problem) if is_exhausted(&problem) => {
                log(format_args!("no descriptor for a client: {problem}"));
                sidecar.connections.drop_oldest();
                sidecar.crowded.notify_one();
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            // The client has gone between its coming and its being taken.
            Err(_) => {}
        }
    }
}

/// One client's connection.
async fn converse(sidecar: &Rc<Sidecar>, stream: TcpStream, mut closing: watch::Receiver<bool>) {
    // Only a delay is lost where this cannot be set.
    let _ = stream.set_nodelay(true);
    let service = hyper::service::service_fn(|request| async move {
        let mut response = answer(sidecar, request).await;
        if sidecar.stopping.get() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        Ok::<_, Infallible>(response)
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        // How a connection ends is the client's affair: a transaction that was on it is dropped with it.
        _ = connection.as_mut() => return,
        _ = closing.wait_for(|c| *c) => {}
        () = sidecar.crowded.notified() => {}
    }
    // Closes at once where it lies idle, else with its answer. A request that never comes whole ends it too.
    connection.as_mut().graceful_shutdown();
    let _ = tokio::time::timeout(sidecar.longest + LINGER, connection).await;
}

/// One request and its answer.
async fn answer(sidecar: &Rc<Sidecar>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let now = sidecar.clock.now();
    if request.uri().path() == "/ready" && request.method() == Method::GET {
        let ready = sidecar.pool.is_known() && !sidecar.stopping.get();
        return plain(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "");
    }
    let (head, body) = request.into_parts();
    let mut new = match read(sidecar, &head.uri, &head.headers) {
        Ok(new) => new,
        Err(problem) => return plain(StatusCode::BAD_REQUEST, problem),
    };
    let body = if body.is_end_stream() {
        Bytes::new()
    } else {
        match Limited::new(body, BODY).collect().await {
            Ok(body) => body.to_bytes(),
            Err(e) if e.is::<http_body_util::LengthLimitError>() => {
                return plain(StatusCode::PAYLOAD_TOO_LARGE, "the body holds more than 64 KiB");
            }
            Err(_) => return plain(StatusCode::BAD_REQUEST, "the body has broken off"),
        }
    };
    if sidecar.transactions.borrow().len() >= sidecar.max_open {
        return plain(StatusCode::SERVICE_UNAVAILABLE, "too many requests are open");
    }
    let came = now;
    let now = sidecar.clock.now();
    new.time_left = new.time_left.saturating_sub(MARGIN + (now - came));
    let mut headers = head.headers;
    flow::end_to_end(&mut headers);
    // An absolute target names this sidecar; the node is to see the path alone.
    let path = head.uri.into_parts().path_and_query;
    let uri = path.map_or_else(|| Uri::from_static("/"), Uri::from);
    let onward = Onward { method: head.method, uri, headers, body };
    match transaction::run(sidecar, now, new, onward).await {
        Answer::Served(response) => response,
        Answer::Refused { retry_after } => {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
            if let Some(wait) = retry_after.and_then(seconds) {
                response.headers_mut().insert(header::RETRY_AFTER, wait);
            }
            response
        }
        Answer::Failed => plain(StatusCode::BAD_GATEWAY, "failed"),
    }
}

fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(text));
    *response.status_mut() = status;
    response
}

fn seconds(span: Micros) -> Option<HeaderValue> {
    HeaderValue::from_maybe_shared(Bytes::from((span as f64 / 1e6).to_string())).ok()
}

/// Takes out of a request what the module needs of it.
fn read(sidecar: &Sidecar, uri: &Uri, headers: &HeaderMap) -> Result<NewRequest, &'static str> {
    let text = |name: &HeaderName| headers.get(name).and_then(|v| v.to_str().ok()).map(str::trim);
    let class = uri.path().trim_start_matches('/').split('/').next().unwrap_or_default();
    // A class that the settings do not name is the module's to refuse.
    let class = sidecar.classes.iter().position(|c| c == class).map_or(u32::MAX, |at| at as u32);
    if text(&TRACE_ID).is_none_or(str::is_empty) {
        return Err("X-Trace-Id is missing");
    }
    let left: u64 = text(&EXPIRES)
        .ok_or("X-Expires-In-Ms is missing")?
        .parse()
        .map_err(|_| "X-Expires-In-Ms is not a whole number")?;
    let id = sidecar.last_request.get() + 1;
    sidecar.last_request.set(id);
    Ok(NewRequest {
        id,
        class,
        tenant: 0,
        key: headers.get_all(header::COOKIE).iter().find_map(key),
        time_left: left.min(DAY_MS) * 1_000,
        cost: text(&SIZE_HINT).and_then(|hint| hint.parse().ok()),
        repeat: text(&SECOND_TRY) == Some("1"),
    })
}

/// No client waits longer than a day.
const DAY_MS: u64 = 86_400_000;

/// The cookie `key`: as hex digits a number, or else the hash of what it is.
fn key(cookies: &HeaderValue) -> Option<u64> {
    let cookies = cookies.to_str().ok()?;
    let value = cookies.split(';').find_map(|c| c.trim().strip_prefix("key="))?;
    Some(u64::from_str_radix(value, 16).unwrap_or_else(|_| FixedState::with_seed(0).hash_one(value)))
}
