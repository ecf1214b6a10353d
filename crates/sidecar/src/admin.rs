//! The admin view's way out and in: a small HTTP server on a Unix socket or a loopback address, and what reads it.
//!
//! For programs `GET /v1/status` gives all there is to see of the present, `/v1/servers` and `/v1/servers/NAME` what
//! became of each server, `/v1/events` what happened of late, and with `?follow=1` all that comes. For people `/` and
//! `/servers/NAME` are pages. `POST /v1/pools/NAME/level` takes an operator's order on its level, on a Unix socket
//! alone: that is its owner's, while a loopback address is open to every user and to web pages.

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

/// Who looks at once, at most; more wait.
const READERS: usize = 4;
/// How long one may take to ask and to read.
const WITHIN: Duration = Duration::from_secs(5);
/// A follower that takes nothing for so long, not even a blank line, is gone or stuck.
const STUCK: Duration = Duration::from_secs(10);
/// The longest order that is read.
const ORDER: usize = 4 << 10;
/// The longest answer that is read.
const ANSWER: usize = 64 << 20;

/// A socket that is bound.
pub(super) struct AdminSocket {
    at: Admin,
    listener: Listening,
}

enum Listening {
    Unix {
        listener: UnixListener,
        _file: SocketFile,
    },
    Tcp(TcpListener),
}

/// The file of a Unix socket; it goes when this is dropped, unless another process has put its own there.
struct SocketFile {
    path: PathBuf,
    inode: Option<u64>,
}

impl Drop for SocketFile {
    fn drop(&mut self) {
        if inode(&self.path) == self.inode {
            // It may be gone already.
            let _ = std::fs::remove_file(&self.path);
        }
    }
}

fn inode(path: &Path) -> Option<u64> {
    std::fs::symlink_metadata(path).ok().map(|m| m.ino())
}

impl AdminSocket {
    /// Binds it. The file of a Unix socket that nobody listens on any more is replaced.
    pub(super) fn bind(at: &Admin) -> Result<Self, String> {
        let told = |e: std::io::Error| format!("admin: {at}: {e}");
        let listener = match at {
            Admin::Listen(address) => {
                Listening::Tcp(super::listener::bind(*address).map_err(told)?)
            }
            Admin::Socket(path) => {
                let is_socket =
                    std::fs::symlink_metadata(path).is_ok_and(|m| m.file_type().is_socket());
                if is_socket && std::os::unix::net::UnixStream::connect(path).is_err() {
                    std::fs::remove_file(path).map_err(told)?;
                }
                let listener = UnixListener::bind(path).map_err(told)?;
                let _file = SocketFile {
                    path: path.clone(),
                    inode: inode(path),
                };
                std::fs::set_permissions(path, Permissions::from_mode(0o600)).map_err(told)?;
                Listening::Unix { listener, _file }
            }
        };
        Ok(AdminSocket {
            at: at.clone(),
            listener,
        })
    }
}

/// The server at work; it ends when this is dropped.
pub(super) struct AdminServer {
    at: Admin,
    task: AbortHandle,
}

impl Drop for AdminServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl AdminServer {
    pub(super) fn start(socket: AdminSocket, admin_view: &AdminView) -> Self {
        let AdminSocket { at, listener } = socket;
        let admin_view = admin_view.clone();
        let place = match &listener {
            Listening::Tcp(tcp) => tcp
                .local_addr()
                .map_or_else(|_| at.to_string(), |at| at.to_string()),
            Listening::Unix { .. } => at.to_string(),
        };
        tracing::info!(at = %place, "admin view on {place}");
        let task = watchdog::spawn(TaskKind::AdminListener, async move {
            let room = Arc::new(Semaphore::new(READERS));
            loop {
                // The semaphore is never closed.
                let Ok(place) = Arc::clone(&room).acquire_owned().await else {
                    return;
                };
                let taken: std::io::Result<(Box<dyn Stream>, Caller)> = match &listener {
                    Listening::Unix { listener, .. } => {
                        listener.accept().await.map(|(stream, _)| {
                            let user = stream.peer_cred().map(|peer| peer.uid()).ok();
                            (Box::new(stream) as Box<dyn Stream>, Caller::Owner(user))
                        })
                    }
                    Listening::Tcp(tcp) => tcp
                        .accept()
                        .await
                        .map(|(s, _)| (Box::new(s) as Box<dyn Stream>, Caller::Anybody)),
                };
                let Ok((stream, caller)) = taken else {
                    // Out of descriptors, most likely: those who serve have them.
                    tokio::time::sleep(Duration::from_millis(100)).await;
                    continue;
                };
                let admin_view = admin_view.clone();
                watchdog::spawn(TaskKind::AdminConnection, async move {
                    serve(stream, admin_view, (place, caller)).await;
                });
            }
        });
        AdminServer {
            at,
            task: task.abort_handle(),
        }
    }

    pub(super) fn address(&self) -> &Admin {
        &self.at
    }
}

/// Who is at the other end.
#[derive(Clone, Copy)]
enum Caller {
    /// Whoever may open the socket's file, with their number where the system tells it.
    Owner(Option<u32>),
    /// Anybody on this machine.
    Anybody,
}

trait Stream: AsyncRead + AsyncWrite + Unpin {}
impl<T: AsyncRead + AsyncWrite + Unpin> Stream for T {}

/// A connection's place among those who look, until it turns to follow events.
struct Reader {
    place: RefCell<Option<OwnedSemaphorePermit>>,
    follows: Cell<bool>,
}

/// A stream that knows since when its other side has had no room for what is written.
struct Watched {
    stream: Box<dyn Stream>,
    blocked: Rc<Cell<Option<Instant>>>,
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        let since = self.blocked.get().unwrap_or_else(Instant::now);
        self.blocked.set(written.is_pending().then_some(since));
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
    (place, caller): (OwnedSemaphorePermit, Caller),
) {
    let reader = Rc::new(Reader {
        place: RefCell::new(Some(place)),
        follows: Cell::new(false),
    });
    let own = Rc::clone(&reader);
    let service = service_fn(move |request: Request<Incoming>| {
        let (admin_view, own) = (admin_view.clone(), Rc::clone(&own));
        async move {
            let answer = match *request.method() {
                Method::POST => ordered(&admin_view, request, caller).await,
                _ => answer(&admin_view, &own, &request),
            };
            Ok::<_, Infallible>(answer)
        }
    });
    let mut builder = server::Builder::new();
    builder
        .timer(TokioTimer::new())
        .keep_alive(false)
        .max_buf_size(16 << 10);
    let blocked = Rc::default();
    let watched = Watched {
        stream,
        blocked: Rc::clone(&blocked),
    };
    let connection = builder.serve_connection(TokioIo::new(watched), service);
    tokio::pin!(connection);
    // Who follows stays for as long as it reads; all others have but so long.
    while tokio::time::timeout(WITHIN, connection.as_mut())
        .await
        .is_err()
    {
        let is_stuck = blocked.get().is_some_and(|since| since.elapsed() > STUCK);
        if !reader.follows.get() || is_stuck {
            return;
        }
    }
}

/// Takes what is posted: an order, or nothing that is known.
async fn ordered(admin_view: &AdminView, request: Request<Incoming>, caller: Caller) -> Answer {
    let path = request.uri().path();
    let pool = path
        .strip_prefix("/v1/pools/")
        .and_then(|rest| rest.strip_suffix("/level"));
    let Some(pool) = pool.map(str::to_string) else {
        return whole(StatusCode::METHOD_NOT_ALLOWED, JSON, "{}");
    };
    let (status, body) = take_order(admin_view, &pool, request, caller).await;
    whole(status, JSON, body.to_string())
}

type Answer = Response<Either<Full<Bytes>, EventStream>>;

/// A query's value of this name, its escapes undone.
fn value(query: Option<&str>, name: &str) -> Option<String> {
    let mut pairs = query
        .unwrap_or_default()
        .split('&')
        .filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    Some(percent_decode_str(value).decode_utf8_lossy().into_owned())
}

fn answer(admin_view: &AdminView, reader: &Reader, request: &Request<Incoming>) -> Answer {
    let (path, query) = (request.uri().path(), request.uri().query());
    let value = |name: &str| value(query, name);
    if request.method() != Method::GET {
        return whole(StatusCode::METHOD_NOT_ALLOWED, JSON, "{}");
    }
    let pool = value("pool");
    if let Some(name) = path.strip_prefix("/v1/servers/") {
        let (name, is_plot) = match name.strip_suffix("/plot.svg") {
            Some(name) => (name, true),
            None => (name, false),
        };
        let name = percent_decode_str(name).decode_utf8_lossy();
        let stories = admin_view.histories(&name, pool.as_deref());
        let Some(first) = stories.first() else {
            return whole(StatusCode::NOT_FOUND, JSON, "{}");
        };
        if is_plot {
            return whole(
                StatusCode::OK,
                SVG,
                plot::file(first, page::span(value("span").as_deref())),
            );
        }
        let told = serde_json::json!({"version": 1, "stories": stories});
        return whole(StatusCode::OK, JSON, told.to_string());
    }
    if let Some(name) = path.strip_prefix("/servers/") {
        let name = percent_decode_str(name).decode_utf8_lossy();
        return match admin_view.histories(&name, pool.as_deref()).first() {
            Some(story) => whole(
                StatusCode::OK,
                HTML,
                page::server(story, page::span(value("span").as_deref())),
            ),
            None => {
                let none = format!("No story is kept of a server {name}.");
                whole(StatusCode::NOT_FOUND, HTML, page::none(&none))
            }
        };
    }
    match path {
        "/v1/status" => whole(StatusCode::OK, JSON, admin_view.status().to_string()),
        "/v1/servers" => whole(StatusCode::OK, JSON, admin_view.servers().to_string()),
        "/v1/events" => {
            let after = value("after").and_then(|after| after.parse().ok());
            if value("follow").is_none() {
                return whole(StatusCode::OK, JSON, admin_view.events(after.unwrap_or(0)));
            }
            // Without a story nothing is said, and no descriptors are set apart for those who follow.
            if !admin_view.records_history() {
                return whole(StatusCode::NOT_FOUND, JSON, "{}");
            }
            let admin_events = &admin_view.process.admin_events;
            let Some(follow) = admin_events.follow(after.unwrap_or(admin_events.next_number()))
            else {
                return whole(
                    StatusCode::SERVICE_UNAVAILABLE,
                    JSON,
                    r#"{"problem":"too many follow"}"#,
                );
            };
            reader.place.take();
            reader.follows.set(true);
            headed(
                StatusCode::OK,
                "application/x-ndjson",
                Either::Right(follow),
            )
        }
        "/" => {
            let events = serde_json::from_slice(&admin_view.events(0)).unwrap_or_default();
            whole(
                StatusCode::OK,
                HTML,
                page::servers(&admin_view.servers(), &events),
            )
        }
        _ => whole(StatusCode::NOT_FOUND, JSON, "{}"),
    }
}

const JSON: &str = "application/json";
const HTML: &str = "text/html; charset=utf-8";
const SVG: &str = "image/svg+xml";

fn whole(status: StatusCode, kind: &'static str, body: impl Into<Bytes>) -> Answer {
    headed(status, kind, Either::Left(Full::from(body.into())))
}

fn headed(
    status: StatusCode,
    kind: &'static str,
    body: Either<Full<Bytes>, EventStream>,
) -> Answer {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let headers = response.headers_mut();
    for (name, value) in [
        (header::CONTENT_TYPE, kind),
        // A page holds all that it needs, and nothing of what it shows is to be run.
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

/// An operator's order on a pool's level.
async fn take_order(
    admin_view: &AdminView,
    pool: &str,
    request: Request<Incoming>,
    caller: Caller,
) -> (StatusCode, Value) {
    let refused = |status, problem: String| (status, json!({"problem": problem}));
    let Caller::Owner(user) = caller else {
        let problem = "orders are taken on a Unix socket alone: write socket = \"...\" in [admin]";
        return refused(StatusCode::FORBIDDEN, problem.into());
    };
    let Some(service) = admin_view.pool(pool) else {
        return refused(StatusCode::NOT_FOUND, format!("there is no pool {pool}"));
    };
    let read = Limited::new(request.into_body(), ORDER).collect().await;
    let asked = read.map_err(|e| e.to_string()).and_then(|body| {
        serde_json::from_slice::<levels::OrderRequest>(&body.to_bytes())
            .map_err(|e| format!("makes no sense: {e}"))
    });
    if let Err(problem) = asked.and_then(|asked| levels::apply_order(&service, asked, user)) {
        return refused(StatusCode::BAD_REQUEST, problem);
    }
    match levels::store_orders(&service).await {
        Ok(()) => (StatusCode::OK, json!({})),
        Err(problem) => refused(StatusCode::INTERNAL_SERVER_ERROR, problem),
    }
}

/// Gives an order on the level of a pool to a process where its admin view is.
pub async fn post_level_order(at: &Admin, pool: &str, asked: &Value) -> Result<(), String> {
    let request =
        Request::post(format!("/v1/pools/{pool}/level")).header(header::HOST, "madderloom");
    let request = request
        .body(Full::from(asked.to_string()))
        .map_err(|e| format!("pool {pool}: {e}"))?;
    ask(at, request).await.map(drop)
}

async fn ask(at: &Admin, request: Request<Full<Bytes>>) -> Result<Value, String> {
    let stream = connect(at).await?;
    let read = async {
        let (mut sender, connection) = client::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| e.to_string())?;
        let answer = async {
            let answer = sender
                .send_request(request)
                .await
                .map_err(|e| e.to_string())?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), ANSWER)
                .collect()
                .await
                .map_err(|e| e.to_string())?;
            let body: Result<Value, _> = serde_json::from_slice(&body.to_bytes());
            match body {
                Ok(body) if status == StatusCode::OK => Ok(body),
                Err(e) if status == StatusCode::OK => Err(format!("answered no JSON: {e}")),
                Ok(Value::Object(mut body)) if body.contains_key("problem") => {
                    let problem = body.remove("problem").unwrap_or_default();
                    Err(problem
                        .as_str()
                        .map_or_else(|| problem.to_string(), str::to_string))
                }
                _ => Err(format!("answered {status}; this is no admin view")),
            }
        };
        tokio::pin!(connection, answer);
        tokio::select! {
            answer = answer.as_mut() => answer,
            // What it has read may still be on its way to the answer.
            _ = connection.as_mut() => answer.await,
        }
    };
    let read = tokio::time::timeout(WITHIN, read)
        .await
        .unwrap_or_else(|_| Err("does not answer".to_string()));
    read.map_err(|problem| format!("{at}: {problem}"))
}

/// Why nothing came back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FetchError {
    /// What was asked for is not there.
    NotFound,
    /// All else, in a line.
    Problem(String),
}

impl From<FetchError> for String {
    fn from(fault: FetchError) -> Self {
        match fault {
            FetchError::NotFound => "answered 404 Not Found; this is no admin view".to_string(),
            FetchError::Problem(problem) => problem,
        }
    }
}

/// A name as it stands in a path or a query.
pub fn percent_encoded(name: &str) -> String {
    page::percent_encoded(name)
}

async fn connect(at: &Admin) -> Result<Box<dyn Stream>, String> {
    let told =
        |e: std::io::Error| format!("{at}: {e}; is the process there, and its admin view on?");
    Ok(match at {
        Admin::Socket(path) => Box::new(UnixStream::connect(path).await.map_err(told)?),
        Admin::Listen(address) => Box::new(TcpStream::connect(address).await.map_err(told)?),
    })
}

/// Reads all that a process says where its admin view is, at this path.
pub async fn fetch_bytes(at: &Admin, path: &str) -> Result<Bytes, FetchError> {
    let mut said = bytes::BytesMut::new();
    let reading = read(at, path, |part| {
        said.extend_from_slice(part);
        if said.len() > ANSWER {
            ControlFlow::Break(())
        } else {
            ControlFlow::Continue(())
        }
    });
    let read = tokio::time::timeout(WITHIN, reading).await;
    read.unwrap_or_else(|_| Err(FetchError::Problem(format!("{at}: does not answer"))))?;
    Ok(said.freeze())
}

/// Reads on for as long as the process says something, and this wants more.
pub async fn follow_events(
    at: &Admin,
    path: &str,
    mut line: impl FnMut(&str) -> ControlFlow<()>,
) -> Result<(), FetchError> {
    let mut unread = Vec::new();
    let reading = read(at, path, |part| {
        unread.extend_from_slice(part);
        while let Some(end) = unread.iter().position(|byte| *byte == b'\n') {
            let whole: Vec<u8> = unread.drain(..=end).collect();
            let text = String::from_utf8_lossy(&whole);
            if !text.trim().is_empty() {
                line(text.trim())?;
            }
        }
        if unread.len() > ANSWER {
            ControlFlow::Break(())
        } else {
            ControlFlow::Continue(())
        }
    });
    reading.await
}

async fn read(
    at: &Admin,
    path: &str,
    mut part: impl FnMut(&[u8]) -> ControlFlow<()>,
) -> Result<(), FetchError> {
    let problem = |text: String| FetchError::Problem(format!("{at}: {text}"));
    let stream = connect(at).await.map_err(FetchError::Problem)?;
    let made = client::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = made.map_err(|e| problem(e.to_string()))?;
    let request = Request::get(path)
        .header(header::HOST, "madderloom")
        .body(Empty::<Bytes>::new());
    let request = request.map_err(|e| problem(e.to_string()))?;
    let answer = async {
        let answer = sender
            .send_request(request)
            .await
            .map_err(|e| problem(e.to_string()))?;
        match answer.status() {
            StatusCode::OK => {}
            StatusCode::NOT_FOUND => return Err(FetchError::NotFound),
            StatusCode::SERVICE_UNAVAILABLE => {
                return Err(problem("too many follow it already".to_string()));
            }
            status => return Err(problem(format!("answered {status}; this is no admin view"))),
        }
        let mut body = answer.into_body();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| problem(e.to_string()))?;
            let data = frame.data_ref().map_or(&[][..], |data| data.as_ref());
            if part(data).is_break() {
                break;
            }
        }
        Ok(())
    };
    tokio::pin!(connection, answer);
    tokio::select! {
        answer = answer.as_mut() => answer,
        // What it has read may still be on its way to the answer.
        _ = connection.as_mut() => answer.await,
    }
}

/// Reads what the admin view of a process says at a path, as JSON.
pub async fn fetch_json(at: &Admin, path: &str) -> Result<serde_json::Value, FetchError> {
    let said = fetch_bytes(at, path).await?;
    serde_json::from_slice(&said)
        .map_err(|e| FetchError::Problem(format!("{at}: answered no JSON: {e}")))
}

/// Reads the status of a process where its admin view is.
pub async fn fetch_status(at: &Admin) -> Result<serde_json::Value, String> {
    fetch_json(at, "/v1/status")
        .await
        .map_err(|fault| match fault {
            FetchError::NotFound => format!("{at}: {}", String::from(fault)),
            FetchError::Problem(problem) => problem,
        })
}
