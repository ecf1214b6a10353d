//! Clients that send requests and record their results.

use crate::{Server, lock, runtime};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Timeout for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

/// Result of one request.
#[derive(Clone, Debug)]
pub struct RequestResult {
    /// Its `X-Trace-Id`, which is unique within the process.
    pub id: String,
    /// When it was sent.
    pub sent_at: Instant,
    /// Status of the response; none if the connection ended first.
    pub status: Option<u16>,
    /// Value of the `Retry-After` header, in seconds.
    pub retry_after: Option<f64>,
}

/// Checks that each served request ran once, that each rejected request never ran and results a `Retry-After`, and that there
/// was no other result, except requests without a response if a process was `killed`. Returns the number of served requests.
///
/// # Panics
/// If a request had another result.
pub fn verify_results(results: &[RequestResult], servers: &[Server], killed: bool) -> usize {
    let counts = Server::request_counts_of(servers);
    for result in results {
        let ran = counts.get(&result.id).copied().unwrap_or(0);
        match result.status {
            Some(200) => assert_eq!(ran, 1, "{result:?}"),
            Some(503) => assert!(
                ran == 0 && result.retry_after.is_some_and(|after| after > 0.0),
                "{result:?}"
            ),
            None if killed => assert!(ran <= 1, "{result:?}"),
            _ => panic!("{result:?}, ran {ran} times"),
        }
    }
    results
        .iter()
        .filter(|result| result.status == Some(200))
        .count()
}

/// Clients that repeat a non-idempotent request, `POST /submit`, each on its own persistent connection, until they are
/// stopped. Each pauses between a response and its next request.
pub struct LoadGenerator {
    stop_signal: watch::Sender<bool>,
    results: Arc<Mutex<Vec<RequestResult>>>,
    clients: Vec<JoinHandle<()>>,
}

impl LoadGenerator {
    /// Starts a client for each of these addresses, with this pause between a response and the next request.
    pub fn start(addresses: &[SocketAddr], pause: Duration) -> Self {
        let (stop_signal, _) = watch::channel(false);
        let results: Arc<Mutex<Vec<RequestResult>>> = Arc::default();
        let clients = addresses.iter().map(|address| {
            runtime().spawn(client(
                *address,
                pause,
                stop_signal.subscribe(),
                Arc::clone(&results),
            ))
        });
        LoadGenerator {
            clients: clients.collect(),
            stop_signal,
            results,
        }
    }

    /// The results so far.
    pub fn results(&self) -> Vec<RequestResult> {
        lock(&self.results).clone()
    }

    /// Stops the clients, waits for requests in flight, and returns all results.
    pub fn stop(self) -> Vec<RequestResult> {
        let _ = self.stop_signal.send(true);
        for client in self.clients {
            runtime()
                .block_on(client)
                .expect("the client does not panic");
        }
        std::mem::take(&mut *lock(&self.results))
    }
}

async fn client(
    address: SocketAddr,
    pause: Duration,
    mut stop_signal: watch::Receiver<bool>,
    results: Arc<Mutex<Vec<RequestResult>>>,
) {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let mut open = None;
    while !*stop_signal.borrow() {
        let id = format!("r{:08}", NEXT.fetch_add(1, Ordering::Relaxed));
        let sent_at = Instant::now();
        let response =
            tokio::time::timeout(RESPONSE_TIMEOUT, send_request(address, &id, &mut open))
                .await
                .ok()
                .flatten();
        if response.is_none() {
            open = None;
        }
        let (status, retry_after) =
            response.map_or((None, None), |(status, after)| (Some(status), after));
        lock(&results).push(RequestResult {
            id,
            sent_at,
            status,
            retry_after,
        });
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            _ = stop_signal.changed() => {}
        }
    }
}

async fn send_request(
    address: SocketAddr,
    id: &str,
    open: &mut Option<SendRequest<Empty<Bytes>>>,
) -> Option<(u16, Option<f64>)> {
    let mut sender = match open.take() {
        Some(sender) if !sender.is_closed() => sender,
        _ => {
            let stream = TcpStream::connect(address).await.ok()?;
            let _ = stream.set_nodelay(true);
            let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
            tokio::spawn(connection);
            sender
        }
    };
    let request = Request::post("/submit")
        .header("host", "shop")
        .header("x-trace-id", id)
        .header("x-expires-in-ms", "5000")
        .header("content-length", "0")
        .body(Empty::new())
        .ok()?;
    let answer = sender.send_request(request).await.ok()?;
    let status = answer.status().as_u16();
    let after = answer
        .headers()
        .get("retry-after")
        .and_then(|after| after.to_str().ok()?.parse().ok());
    answer.into_body().collect().await.ok()?;
    *open = sender.ready().await.ok().map(|()| sender);
    Some((status, after))
}
