//! Clients that ask, and keep what they got.

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

/// An answer is waited for so long.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

/// What one request got.
#[derive(Clone, Debug)]
pub struct RequestResult {
    /// Its `X-Trace-Id`, of which no two are alike in a process.
    pub id: String,
    /// When it was sent.
    pub sent_at: Instant,
    /// The answer's status; none where the connection ended first.
    pub status: Option<u16>,
    /// What the answer said of coming again, in seconds.
    pub retry_after: Option<f64>,
}

/// Whoever was served ran once, whoever was refused ran nowhere and was told when to come again, and nobody got anything
/// else but where something was killed that had requests. Gives how many were served.
///
/// # Panics
/// One of them got something else.
pub fn verify_results(got: &[RequestResult], servers: &[Server], killed: bool) -> usize {
    let seen = Server::request_counts_of(servers);
    for got in got {
        let ran = seen.get(&got.id).copied().unwrap_or(0);
        match got.status {
            Some(200) => assert_eq!(ran, 1, "{got:?}"),
            Some(503) => assert!(
                ran == 0 && got.retry_after.is_some_and(|after| after > 0.0),
                "{got:?}"
            ),
            None if killed => assert!(ran <= 1, "{got:?}"),
            _ => panic!("{got:?}, ran {ran} times"),
        }
    }
    got.iter().filter(|got| got.status == Some(200)).count()
}

/// Clients that keep asking for an unsafe service, `POST /submit`, each on a connection that it keeps, until they are
/// told to stop. Each asks again so long after an answer.
pub struct LoadGenerator {
    stop_signal: watch::Sender<bool>,
    got: Arc<Mutex<Vec<RequestResult>>>,
    clients: Vec<JoinHandle<()>>,
}

impl LoadGenerator {
    /// One client for each of these, with this pause between an answer and the next request.
    pub fn start(fronts: &[SocketAddr], pause: Duration) -> Self {
        let (stop_signal, _) = watch::channel(false);
        let got: Arc<Mutex<Vec<RequestResult>>> = Arc::default();
        let clients = fronts.iter().map(|front| {
            runtime().spawn(client(
                *front,
                pause,
                stop_signal.subscribe(),
                Arc::clone(&got),
            ))
        });
        LoadGenerator {
            clients: clients.collect(),
            stop_signal,
            got,
        }
    }

    /// What was got so far.
    pub fn results(&self) -> Vec<RequestResult> {
        lock(&self.got).clone()
    }

    /// No more requests; those that are under way are waited for.
    pub fn stop(self) -> Vec<RequestResult> {
        let _ = self.stop_signal.send(true);
        for client in self.clients {
            runtime().block_on(client).expect("no panic");
        }
        std::mem::take(&mut *lock(&self.got))
    }
}

async fn client(
    front: SocketAddr,
    pause: Duration,
    mut stop_signal: watch::Receiver<bool>,
    got: Arc<Mutex<Vec<RequestResult>>>,
) {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let mut open = None;
    while !*stop_signal.borrow() {
        let id = format!("r{:08}", NEXT.fetch_add(1, Ordering::Relaxed));
        let sent_at = Instant::now();
        let asked = tokio::time::timeout(RESPONSE_TIMEOUT, ask(front, &id, &mut open))
            .await
            .ok()
            .flatten();
        if asked.is_none() {
            open = None;
        }
        let (status, retry_after) =
            asked.map_or((None, None), |(status, after)| (Some(status), after));
        lock(&got).push(RequestResult {
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

async fn ask(
    front: SocketAddr,
    id: &str,
    open: &mut Option<SendRequest<Empty<Bytes>>>,
) -> Option<(u16, Option<f64>)> {
    let mut sender = match open.take() {
        Some(sender) if !sender.is_closed() => sender,
        _ => {
            let stream = TcpStream::connect(front).await.ok()?;
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
