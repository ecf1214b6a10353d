//! The listener of an agent or a relay: connections under mutual TLS, each served until it ends.

use crate::Error;
use crate::http::{Body, Caller, PATIENCE};
use crate::traffic::{CountedStream, TrafficCounters};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use madderloom_pki::{Files, Keyring, Role, Shown, explain};
use madderloom_watchdog::{self as watchdog, TaskKind};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use tokio_rustls::TlsAcceptor;

/// How long a connection may rest between two requests.
const IDLE: Duration = Duration::from_secs(120);
/// How often the files of the keys are looked at.
const KEYS_INTERVAL: Duration = Duration::from_secs(5);
/// The delay after which a listener that can't take a connection tries again.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Answers the requests that come over the connections of a listener.
pub(crate) trait Handler: 'static {
    /// Answers one request.
    fn answer(
        &self,
        caller: Caller,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Body>>;
}

/// A listener with its keys.
pub(crate) struct Listener {
    listener: TcpListener,
    /// Its keys; they may be read again at any time.
    pub(crate) keyring: Arc<Keyring>,
    /// What has passed over its connections.
    pub(crate) counters: Arc<TrafficCounters>,
    connections: usize,
}

impl Listener {
    /// Opens the keys of a server and binds its address. `connections` is the most at a time.
    ///
    /// # Errors
    /// What is wrong with the keys or the address.
    pub(crate) async fn bind(
        address: SocketAddr,
        keys: &Files,
        connections: usize,
    ) -> Result<Self, Error> {
        let keyring = Keyring::load(keys.clone()).map_err(Error::Keys)?;
        let certificate = || keys.certificate.clone();
        match keyring.own() {
            Some(own) if own.role == Role::Agent => {}
            Some(own) => {
                return Err(Error::WrongRole {
                    certificate: certificate(),
                    role: own.role,
                });
            }
            None => {
                return Err(Error::NoRole {
                    certificate: certificate(),
                });
            }
        }
        let listener = TcpListener::bind(address).await;
        let listener = listener.map_err(|source| Error::Listen { address, source })?;
        Ok(Listener {
            listener,
            keyring,
            counters: Arc::default(),
            connections,
        })
    }

    /// Where it listens.
    ///
    /// # Errors
    /// What the system says.
    pub(crate) fn address(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until it is told to stop.
    ///
    /// # Errors
    /// What TLS does not support.
    pub(crate) async fn serve<H: Handler>(
        self,
        handler: Rc<H>,
        stop: impl Future<Output = ()>,
    ) -> Result<(), String> {
        let acceptor = TlsAcceptor::from(self.keyring.server()?);
        let key_files =
            watchdog::spawn(TaskKind::KeyFiles, follow_files(Arc::clone(&self.keyring)));
        let room = Arc::new(Semaphore::new(self.connections));
        // Connections end with the listener: one that lived on would hold an instance to an agent that is no more.
        let mut open = JoinSet::new();
        let accepting = async {
            loop {
                let Ok(permit) = Arc::clone(&room).acquire_owned().await else {
                    return;
                };
                while open.try_join_next().is_some() {}
                match self.listener.accept().await {
                    Ok((stream, peer)) => {
                        let (acceptor, handler) = (acceptor.clone(), Rc::clone(&handler));
                        let stream_counters = Arc::clone(&self.counters);
                        let serving = async move {
                            serve_connection(stream, acceptor, stream_counters, handler).await;
                            drop(permit);
                        };
                        open.spawn_local(watchdog::watch(
                            TaskKind::AgentConnection.of_peer(peer),
                            serving,
                        ));
                    }
                    // Out of descriptors or the like: what is open goes on, and ends some time.
                    Err(problem) => {
                        tracing::warn!("can't take a connection: {problem}");
                        sleep(ACCEPT_RETRY).await;
                    }
                }
            }
        };
        tokio::select! {
            () = accepting => {}
            () = stop => {}
        }
        key_files.abort();
        open.shutdown().await;
        Ok(())
    }
}

/// Reads keys again whenever their files have changed.
pub(crate) async fn follow_files(keyring: Arc<Keyring>) {
    let mut last = None;
    loop {
        sleep(KEYS_INTERVAL).await;
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

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    acceptor: TlsAcceptor,
    counters: Arc<TrafficCounters>,
    handler: Rc<H>,
) {
    let from = stream
        .peer_addr()
        .map(|from| from.to_string())
        .unwrap_or_default();
    let _ = stream.set_nodelay(true);
    let stream = CountedStream::new(stream, counters);
    let stream = match timeout(PATIENCE, acceptor.accept(stream)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(problem)) => {
            let rustls = problem
                .get_ref()
                .and_then(|e| e.downcast_ref::<rustls::Error>());
            let told = rustls.map_or_else(|| problem.to_string(), explain);
            return tracing::warn!("{from}: turned away: {told}");
        }
        Err(_) => return tracing::debug!("{from}: no handshake in time"),
    };
    let shown = Rc::new(Shown::new(
        stream.get_ref().1.peer_certificates().unwrap_or_default(),
    ));
    let caller = Caller { from, shown };
    let answer = service_fn(move |request| {
        let (handler, caller) = (Rc::clone(&handler), caller.clone());
        async move { Ok::<_, Infallible>(handler.answer(caller, request).await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE)
        .max_buf_size(16 << 10)
        .serve_connection(TokioIo::new(stream), answer);
    // How it ended says nothing that the log should hold.
    let _ = served.await;
}
