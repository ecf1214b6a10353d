//! The HTTP server of the admin view, on a Unix socket or a loopback address, and its client.
//!
//! For programs, `GET /v1/status` returns the current state, `/v1/servers` and `/v1/servers/NAME` the history of servers,
//! and `/v1/events` the recent events, with `?follow=1` also all later ones. `/` and `/servers/NAME` are HTML pages.
//! `POST /v1/pools/NAME/level` takes an operator's order on the pool's degradation level, only on a Unix socket: that is
//! accessible to its owner alone, while a loopback address is open to every local user and to web pages.

use super::admin_events::EventStream;
use super::levels;
use super::view::AdminView;
use super::{page, plot};
use bytes::Bytes;
use http_body_util::{BodyExt, Either, Empty, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1 as client;
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use madderloom_operator_config::Admin;
use madderloom_watchdog::{self as watchdog, TaskKind};
use percent_encoding::percent_decode_str;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::fs::Permissions;
use std::io;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::os::unix::fs::{FileTypeExt, MetadataExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream, UnixListener, UnixStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// The maximum number of concurrent connections that do not follow events; further ones wait.
const MAX_CONNECTIONS: usize = 4;
/// The timeout for a request and its response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// A follower that reads nothing for this long, not even a heartbeat line, is disconnected.
const FOLLOWER_WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// The longest order that is read, in bytes.
const MAX_ORDER_BYTES: usize = 4 << 10;
/// The longest response that the client reads, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// A bound listening socket of the admin view.
pub(super) struct AdminSocket {
    address: Admin,
    listener: Listener,
}

enum Listener {
    Unix {
        listener: UnixListener,
        _file: SocketFile,
    },
    Tcp(TcpListener),
}

/// The file of a Unix socket. It is removed on drop, unless another process has replaced it.
struct SocketFile {
    path: PathBuf,
    inode: Option<u64>,
}

impl Drop for SocketFile {
    fn drop(&mut self) {
        if inode(&self.path) == self.inode {
            // The file may already have been removed.
            let _ = std::fs::remove_file(&self.path);
        }
    }
}

fn inode(path: &Path) -> Option<u64> {
    std::fs::symlink_metadata(path).ok().map(|m| m.ino())
}

impl AdminSocket {
    /// Binds the socket. Replaces the file of a Unix socket on which no process listens any more.
    pub(super) fn bind(
        address: &Admin,
        bind_tcp: fn(SocketAddr) -> io::Result<TcpListener>,
    ) -> Result<Self, String> {
        let io_error = |e: std::io::Error| format!("admin: {address}: {e}");
        let listener = match address {
            Admin::Listen(socket_address) => {
                Listener::Tcp(bind_tcp(*socket_address).map_err(io_error)?)
            }
            Admin::Socket(path) => {
                let is_socket =
                    std::fs::symlink_metadata(path).is_ok_and(|m| m.file_type().is_socket());
                if is_socket && std::os::unix::net::UnixStream::connect(path).is_err() {
                    std::fs::remove_file(path).map_err(io_error)?;
                }
                let listener = UnixListener::bind(path).map_err(io_error)?;
                let _file = SocketFile {
                    path: path.clone(),
                    inode: inode(path),
                };
                std::fs::set_permissions(path, Permissions::from_mode(0o600)).map_err(io_error)?;
                Listener::Unix { listener, _file }
            }
        };
        Ok(AdminSocket {
            address: address.clone(),
            listener,
        })
    }
}

/// The running server; it ends when this is dropped.
pub(super) struct AdminServer {
    address: Admin,
    task: AbortHandle,
}

impl Drop for AdminServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl AdminServer {
    pub(super) fn start(socket: AdminSocket, admin_view: &AdminView) -> Self {
        let AdminSocket { address, listener } = socket;
        let admin_view = admin_view.clone();
        let bound = match &listener {
            Listener::Tcp(tcp) => tcp
                .local_addr()
                .map_or_else(|_| address.to_string(), |bound| bound.to_string()),
            Listener::Unix { .. } => address.to_string(),
        };
        tracing::info!(at = %bound, "admin view on {bound}");
        let task = watchdog::spawn(TaskKind::AdminListener, async move {
            let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
            loop {
                // The semaphore is never closed.
                let Ok(slot) = Arc::clone(&slots).acquire_owned().await else {
                    return;
                };
                let accepted: std::io::Result<(Box<dyn Stream>, Caller)> = match &listener {
                    Listener::Unix { listener, .. } => {
                        listener.accept().await.map(|(stream, _)| {
                            let user = stream.peer_cred().map(|peer| peer.uid()).ok();
                            (Box::new(stream) as Box<dyn Stream>, Caller::Owner(user))
                        })
                    }
                    Listener::Tcp(tcp) => tcp
                        .accept()
                        .await
                        .map(|(s, _)| (Box::new(s) as Box<dyn Stream>, Caller::LocalUser)),
                };
                let Ok((stream, caller)) = accepted else {
                    // Most likely out of file descriptors, since the data path uses them.
                    tokio::time::sleep(Duration::from_millis(100)).await;
                    continue;
                };
                let admin_view = admin_view.clone();
                watchdog::spawn(TaskKind::AdminConnection, async move {
                    serve(stream, admin_view, (slot, caller)).await;
                });
            }
        });
        AdminServer {
            address,
            task: task.abort_handle(),
        }
    }

    pub(super) fn address(&self) -> &Admin {
        &self.address
    }
}

/// The peer of a connection.
#[derive(Clone, Copy)]
enum Caller {
    /// A user who may open the socket file, with the user id where the system reports it.
    Owner(Option<u32>),
    /// Any local user.
    LocalUser,
}

trait Stream: AsyncRead + AsyncWrite + Unpin {}
impl<T: AsyncRead + AsyncWrite + Unpin> Stream for T {}

/// The state of a connection: its slot, which it releases when it starts to follow events.
struct ConnectionState {
    slot: RefCell<Option<OwnedSemaphorePermit>>,
    is_following: Cell<bool>,
}

/// A stream that records since when writes have been blocked because the peer does not read.
struct WriteMonitor {
    stream: Box<dyn Stream>,
    blocked_since: Rc<Cell<Option<Instant>>>,
}

impl AsyncRead for WriteMonitor {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for WriteMonitor {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        let since = self.blocked_since.get().unwrap_or_else(Instant::now);
        self.blocked_since
            .set(written.is_pending().then_some(since));
        written
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

async fn serve(
    stream: Box<dyn Stream>,
    admin_view: AdminView,
    (slot, caller): (OwnedSemaphorePermit, Caller),
) {
    let state = Rc::new(ConnectionState {
        slot: RefCell::new(Some(slot)),
        is_following: Cell::new(false),
    });
    let service_state = Rc::clone(&state);
    let service = service_fn(move |request: Request<Incoming>| {
        let (admin_view, state) = (admin_view.clone(), Rc::clone(&service_state));
        async move {
            let response = match *request.method() {
                Method::POST => handle_post(&admin_view, request, caller).await,
                _ => respond(&admin_view, &state, &request),
            };
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = server::Builder::new();
    builder
        .timer(TokioTimer::new())
        .keep_alive(false)
        .max_buf_size(16 << 10);
    let blocked_since = Rc::default();
    let monitored = WriteMonitor {
        stream,
        blocked_since: Rc::clone(&blocked_since),
    };
    let connection = builder.serve_connection(TokioIo::new(monitored), service);
    tokio::pin!(connection);
    // A follower stays connected while it reads; other connections end at the timeout.
    while madderloom_watchdog::timeout(REQUEST_TIMEOUT, connection.as_mut())
        .await
        .is_err()
    {
        let is_stuck = blocked_since
            .get()
            .is_some_and(|since| since.elapsed() > FOLLOWER_WRITE_TIMEOUT);
        if !state.is_following.get() || is_stuck {
            return;
        }
    }
}

/// Handles a POST request: an order on a degradation level, or an error for any other path.
async fn handle_post(
    admin_view: &AdminView,
    request: Request<Incoming>,
    caller: Caller,
) -> AdminResponse {
    let path = request.uri().path();
    let pool = path
        .strip_prefix("/v1/pools/")
        .and_then(|rest| rest.strip_suffix("/level"));
    let Some(pool) = pool.map(str::to_string) else {
        return buffered_response(StatusCode::METHOD_NOT_ALLOWED, JSON, "{}");
    };
    let (status, body) = take_order(admin_view, &pool, request, caller).await;
    buffered_response(status, JSON, body.to_string())
}

type AdminResponse = Response<Either<Full<Bytes>, EventStream>>;

/// The percent-decoded value of a query parameter.
fn query_value(query: Option<&str>, name: &str) -> Option<String> {
    let mut pairs = query
        .unwrap_or_default()
        .split('&')
        .filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    Some(percent_decode_str(value).decode_utf8_lossy().into_owned())
}

fn respond(
    admin_view: &AdminView,
    connection: &ConnectionState,
    request: &Request<Incoming>,
) -> AdminResponse {
    let (path, query) = (request.uri().path(), request.uri().query());
    let value = |name: &str| query_value(query, name);
    if request.method() != Method::GET {
        return buffered_response(StatusCode::METHOD_NOT_ALLOWED, JSON, "{}");
    }
    let pool = value("pool");
    if let Some(name) = path.strip_prefix("/v1/servers/") {
        let (name, is_plot) = match name.strip_suffix("/plot.svg") {
            Some(name) => (name, true),
            None => (name, false),
        };
        let name = percent_decode_str(name).decode_utf8_lossy();
        let histories = admin_view.histories(&name, pool.as_deref());
        let Some(first) = histories.first() else {
            return buffered_response(StatusCode::NOT_FOUND, JSON, "{}");
        };
        if is_plot {
            return buffered_response(
                StatusCode::OK,
                SVG,
                plot::file(first, page::span(value("span").as_deref())),
            );
        }
        let body = serde_json::json!({"version": 1, "stories": histories});
        return buffered_response(StatusCode::OK, JSON, body.to_string());
    }
    if let Some(name) = path.strip_prefix("/servers/") {
        let name = percent_decode_str(name).decode_utf8_lossy();
        return match admin_view.histories(&name, pool.as_deref()).first() {
            Some(history) => buffered_response(
                StatusCode::OK,
                HTML,
                page::server(history, page::span(value("span").as_deref())),
            ),
            None => {
                let message = format!("No history is recorded of a server {name}.");
                buffered_response(StatusCode::NOT_FOUND, HTML, page::not_found(&message))
            }
        };
    }
    match path {
        "/v1/status" => buffered_response(StatusCode::OK, JSON, admin_view.status().to_string()),
        "/v1/servers" => buffered_response(StatusCode::OK, JSON, admin_view.servers().to_string()),
        "/v1/events" => {
            let after = value("after").and_then(|after| after.parse().ok());
            if value("follow").is_none() {
                return buffered_response(
                    StatusCode::OK,
                    JSON,
                    admin_view.events(after.unwrap_or(0)),
                );
            }
            // Without history there are no events, and no file descriptors are reserved for followers.
            if !admin_view.records_history() {
                return buffered_response(StatusCode::NOT_FOUND, JSON, "{}");
            }
            let admin_events = &admin_view.process.admin_events;
            let Some(follow) = admin_events.follow(after.unwrap_or(admin_events.next_number()))
            else {
                return buffered_response(
                    StatusCode::SERVICE_UNAVAILABLE,
                    JSON,
                    r#"{"problem":"too many follow"}"#,
                );
            };
            connection.slot.take();
            connection.is_following.set(true);
            response_with_body(
                StatusCode::OK,
                "application/x-ndjson",
                Either::Right(follow),
            )
        }
        "/" => {
            let events = serde_json::from_slice(&admin_view.events(0)).unwrap_or_default();
            buffered_response(
                StatusCode::OK,
                HTML,
                page::servers(&admin_view.servers(), &events),
            )
        }
        _ => buffered_response(StatusCode::NOT_FOUND, JSON, "{}"),
    }
}

const JSON: &str = "application/json";
const HTML: &str = "text/html; charset=utf-8";
const SVG: &str = "image/svg+xml";

fn buffered_response(
    status: StatusCode,
    kind: &'static str,
    body: impl Into<Bytes>,
) -> AdminResponse {
    response_with_body(status, kind, Either::Left(Full::from(body.into())))
}

fn response_with_body(
    status: StatusCode,
    kind: &'static str,
    body: Either<Full<Bytes>, EventStream>,
) -> AdminResponse {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let headers = response.headers_mut();
    for (name, value) in [
        (header::CONTENT_TYPE, kind),
        // A page contains everything it needs, and must not run anything that it shows.
        (
            header::CONTENT_SECURITY_POLICY,
            "default-src 'none'; style-src 'unsafe-inline'",
        ),
        (header::X_CONTENT_TYPE_OPTIONS, "nosniff"),
        (header::CACHE_CONTROL, "no-store"),
    ] {
        headers.insert(name, HeaderValue::from_static(value));
    }
    response
}

/// Applies an operator's order on a pool's degradation level, and stores it.
async fn take_order(
    admin_view: &AdminView,
    pool: &str,
    request: Request<Incoming>,
    caller: Caller,
) -> (StatusCode, Value) {
    let rejected = |status, problem: String| (status, json!({"problem": problem}));
    let Caller::Owner(user) = caller else {
        let problem = "orders are taken on a Unix socket alone: write socket = \"...\" in [admin]";
        return rejected(StatusCode::FORBIDDEN, problem.into());
    };
    let Some(service) = admin_view.pool(pool) else {
        return rejected(StatusCode::NOT_FOUND, format!("there is no pool {pool}"));
    };
    let body = Limited::new(request.into_body(), MAX_ORDER_BYTES)
        .collect()
        .await;
    let order = body.map_err(|e| e.to_string()).and_then(|body| {
        serde_json::from_slice::<levels::OrderRequest>(&body.to_bytes())
            .map_err(|e| format!("makes no sense: {e}"))
    });
    if let Err(problem) = order.and_then(|order| levels::apply_order(&service, order, user)) {
        return rejected(StatusCode::BAD_REQUEST, problem);
    }
    match levels::store_orders(&service).await {
        Ok(()) => (StatusCode::OK, json!({})),
        Err(problem) => rejected(StatusCode::INTERNAL_SERVER_ERROR, problem),
    }
}

/// Posts an order on a pool's degradation level to the admin view of a process.
///
/// # Errors
///
/// Returns one line that says why the order was not applied.
pub async fn post_level_order(address: &Admin, pool: &str, order: &Value) -> Result<(), String> {
    let request =
        Request::post(format!("/v1/pools/{pool}/level")).header(header::HOST, "madderloom");
    let request = request
        .body(Full::from(order.to_string()))
        .map_err(|e| format!("pool {pool}: {e}"))?;
    send_request(address, request).await.map(drop)
}

async fn send_request(address: &Admin, request: Request<Full<Bytes>>) -> Result<Value, String> {
    let stream = connect(address).await?;
    let exchange = async {
        let (mut sender, connection) = client::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| e.to_string())?;
        let response = async {
            let response = sender
                .send_request(request)
                .await
                .map_err(|e| e.to_string())?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
                .collect()
                .await
                .map_err(|e| e.to_string())?;
            let body: Result<Value, _> = serde_json::from_slice(&body.to_bytes());
            match body {
                Ok(body) if status == StatusCode::OK => Ok(body),
                Err(e) if status == StatusCode::OK => Err(format!("the response is not JSON: {e}")),
                Ok(Value::Object(mut body)) if body.contains_key("problem") => {
                    let problem = body.remove("problem").unwrap_or_default();
                    Err(problem
                        .as_str()
                        .map_or_else(|| problem.to_string(), str::to_string))
                }
                _ => Err(format!("answered {status}; this is not an admin view")),
            }
        };
        tokio::pin!(connection, response);
        tokio::select! {
            response = response.as_mut() => response,
            // The connection may end before the response that it has read is delivered.
            _ = connection.as_mut() => response.await,
        }
    };
    let result = madderloom_watchdog::timeout(REQUEST_TIMEOUT, exchange)
        .await
        .unwrap_or_else(|_| Err("does not answer".to_string()));
    result.map_err(|problem| format!("{address}: {problem}"))
}

/// Why a request to the admin view failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FetchError {
    /// The admin view answered 404.
    NotFound,
    /// Any other error, in one line.
    Problem(String),
}

impl From<FetchError> for String {
    fn from(error: FetchError) -> Self {
        match error {
            FetchError::NotFound => "answered 404 Not Found; this is not an admin view".to_string(),
            FetchError::Problem(problem) => problem,
        }
    }
}

/// Percent-encodes a name for a path or a query.
pub fn percent_encoded(name: &str) -> String {
    page::percent_encoded(name)
}

async fn connect(address: &Admin) -> Result<Box<dyn Stream>, String> {
    let io_error =
        |e: std::io::Error| format!("{address}: {e}; is the process there, and its admin view on?");
    Ok(match address {
        Admin::Socket(path) => Box::new(UnixStream::connect(path).await.map_err(io_error)?),
        Admin::Listen(socket_address) => {
            Box::new(TcpStream::connect(socket_address).await.map_err(io_error)?)
        }
    })
}

/// Reads a complete response of a process's admin view.
///
/// # Errors
///
/// [`FetchError::NotFound`] for a 404, [`FetchError::Problem`] for all other errors, including a timeout.
pub async fn fetch_bytes(address: &Admin, path: &str) -> Result<Bytes, FetchError> {
    let mut body = bytes::BytesMut::new();
    let reading = read_response(address, path, |part| {
        body.extend_from_slice(part);
        if body.len() > MAX_RESPONSE_BYTES {
            ControlFlow::Break(())
        } else {
            ControlFlow::Continue(())
        }
    });
    let result = madderloom_watchdog::timeout(REQUEST_TIMEOUT, reading).await;
    result.unwrap_or_else(|_| Err(FetchError::Problem(format!("{address}: does not answer"))))?;
    Ok(body.freeze())
}

/// Streams the lines of a response to `line`, until the process ends the response or `line` breaks.
///
/// # Errors
///
/// As [`fetch_bytes`], but without a timeout.
pub async fn follow_events(
    address: &Admin,
    path: &str,
    mut line: impl FnMut(&str) -> ControlFlow<()>,
) -> Result<(), FetchError> {
    let mut unread = Vec::new();
    let reading = read_response(address, path, |part| {
        unread.extend_from_slice(part);
        while let Some(end) = unread.iter().position(|byte| *byte == b'\n') {
            let text: Vec<u8> = unread.drain(..=end).collect();
            let text = String::from_utf8_lossy(&text);
            if !text.trim().is_empty() {
                line(text.trim())?;
            }
        }
        if unread.len() > MAX_RESPONSE_BYTES {
            ControlFlow::Break(())
        } else {
            ControlFlow::Continue(())
        }
    });
    reading.await
}

async fn read_response(
    address: &Admin,
    path: &str,
    mut on_data: impl FnMut(&[u8]) -> ControlFlow<()>,
) -> Result<(), FetchError> {
    let problem = |text: String| FetchError::Problem(format!("{address}: {text}"));
    let stream = connect(address).await.map_err(FetchError::Problem)?;
    let handshake = client::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|e| problem(e.to_string()))?;
    let request = Request::get(path)
        .header(header::HOST, "madderloom")
        .body(Empty::<Bytes>::new());
    let request = request.map_err(|e| problem(e.to_string()))?;
    let response = async {
        let response = sender
            .send_request(request)
            .await
            .map_err(|e| problem(e.to_string()))?;
        match response.status() {
            StatusCode::OK => {}
            StatusCode::NOT_FOUND => return Err(FetchError::NotFound),
            StatusCode::SERVICE_UNAVAILABLE => {
                return Err(problem("too many followers already".to_string()));
            }
            status => {
                return Err(problem(format!(
                    "answered {status}; this is not an admin view"
                )));
            }
        }
        let mut body = response.into_body();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| problem(e.to_string()))?;
            let data = frame.data_ref().map_or(&[][..], |data| data.as_ref());
            if on_data(data).is_break() {
                break;
            }
        }
        Ok(())
    };
    tokio::pin!(connection, response);
    tokio::select! {
        response = response.as_mut() => response,
        // The connection may end before the response that it has read is delivered.
        _ = connection.as_mut() => response.await,
    }
}

/// Reads a response of a process's admin view as JSON.
///
/// # Errors
///
/// As [`fetch_bytes`]; [`FetchError::Problem`] also for a body that is not JSON.
pub async fn fetch_json(address: &Admin, path: &str) -> Result<serde_json::Value, FetchError> {
    let body = fetch_bytes(address, path).await?;
    serde_json::from_slice(&body)
        .map_err(|e| FetchError::Problem(format!("{address}: the response is not JSON: {e}")))
}

/// Reads the status of a process from its admin view.
///
/// # Errors
///
/// Returns one line that says why there is no status.
pub async fn fetch_status(address: &Admin) -> Result<serde_json::Value, String> {
    fetch_json(address, "/v1/status")
        .await
        .map_err(|error| match error {
            FetchError::NotFound => format!("{address}: {}", String::from(error)),
            FetchError::Problem(problem) => problem,
        })
}
