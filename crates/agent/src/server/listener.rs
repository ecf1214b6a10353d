//! The listener of an agent or a relay: connections under mutual TLS, each served until it ends.

use crate::Error;
use crate::http::{Body, Caller};
use crate::key_files::reload_changed_keys;
use crate::traffic::{CountedStream, TrafficCounters};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use madderloom_pki::{KeyFiles, Keyring, PresentedCertificate, Role, describe_handshake_error};
use madderloom_watchdog::{self as watchdog, TaskKind, timeout};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio_rustls::TlsAcceptor;
use tokio_rustls::server::TlsStream;

/// The time limit of a TLS handshake. No measurement behind it.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a connection may be idle between two requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// The pause after a connection could not be accepted.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// The most bytes that HTTP buffers for one connection. It bounds the head of a request; bodies are read piece by piece.
const MAX_HTTP_BUFFER: usize = 16 << 10;

/// Answers the requests that come over the connections of a listener.
pub(crate) trait RequestHandler: 'static {
    /// Answers one request.
    fn answer(
        &self,
        caller: Caller,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Body>>;
}

/// A listening socket with the keys of its server.
pub(crate) struct Listener {
    socket: TcpListener,
    /// The keys. They may be reloaded at any time, and then hold for new connections.
    pub(crate) keyring: Arc<Keyring>,
    /// Counts what passes over the connections.
    pub(crate) counters: Arc<TrafficCounters>,
    /// The most connections that are open at a time. Clients beyond wait in the backlog of the socket.
    max_connections: usize,
}

impl Listener {
    /// Loads the keys of an agent or a relay, and listens on its address.
    ///
    /// # Errors
    /// The keys cannot be loaded, the certificate is not for an agent, or the address cannot be listened on.
    pub(crate) async fn bind(
        address: SocketAddr,
        keys: &KeyFiles,
        max_connections: usize,
    ) -> Result<Self, Error> {
        let keyring = Keyring::load(keys.clone()).map_err(Error::Keys)?;
        check_role(&keyring, keys)?;
        let socket = TcpListener::bind(address)
            .await
            .map_err(|source| Error::Listen { address, source })?;
        Ok(Listener {
            socket,
            keyring,
            counters: Arc::default(),
            max_connections,
        })
    }

    /// The address that is listened on.
    pub(crate) fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Serves connections until `stop` completes, and then closes them all.
    ///
    /// # Errors
    /// The keys cannot be used.
    pub(crate) async fn serve<H: RequestHandler>(
        self,
        handler: Rc<H>,
        stop: impl Future<Output = ()>,
    ) -> Result<(), Error> {
        let acceptor = TlsAcceptor::from(self.keyring.server_config().map_err(Error::Keys)?);
        let keyring = Arc::clone(&self.keyring);
        let key_files = watchdog::spawn(TaskKind::KeyFiles, reload_changed_keys(keyring));
        // Connections end with the listener: one that lived on would keep an instance at an agent that is no more.
        let mut connections = JoinSet::new();
        tokio::select! {
            () = self.accept_loop(&acceptor, &handler, &mut connections) => {}
            () = stop => {}
        }
        key_files.abort();
        connections.shutdown().await;
        Ok(())
    }

    async fn accept_loop<H: RequestHandler>(
        &self,
        acceptor: &TlsAcceptor,
        handler: &Rc<H>,
        connections: &mut JoinSet<()>,
    ) {
        let slots = Arc::new(Semaphore::new(self.max_connections));
        loop {
            let Ok(slot) = Arc::clone(&slots).acquire_owned().await else {
                return;
            };
            while connections.try_join_next().is_some() {}
            match self.socket.accept().await {
                Ok((stream, address)) => {
                    let connection = Connection {
                        stream: CountedStream::new(stream, Arc::clone(&self.counters)),
                        address,
                        acceptor: acceptor.clone(),
                        handler: Rc::clone(handler),
                    };
                    let serving = async move {
                        connection.serve().await;
                        drop(slot);
                    };
                    let kind = TaskKind::AgentConnection.for_peer(address);
                    connections.spawn_local(watchdog::watch(kind, serving));
                }
                // Descriptors may have run out: the open connections are served on, and end at some time.
                Err(error) => {
                    tracing::warn!(%error, "connection not accepted");
                    sleep(ACCEPT_RETRY_INTERVAL).await;
                }
            }
        }
    }
}

/// Checks that the certificate of a server is for an agent.
fn check_role(keyring: &Keyring, keys: &KeyFiles) -> Result<(), Error> {
    let certificate = keys.certificate.clone();
    match keyring.own_identity() {
        Some(own) if own.role == Role::Agent => Ok(()),
        Some(own) => Err(Error::WrongRole {
            certificate,
            role: own.role,
        }),
        None => Err(Error::NoRole { certificate }),
    }
}

/// A connection that was accepted.
struct Connection<H> {
    stream: CountedStream<TcpStream>,
    address: SocketAddr,
    acceptor: TlsAcceptor,
    handler: Rc<H>,
}

impl<H: RequestHandler> Connection<H> {
    /// Serves requests until the connection ends.
    async fn serve(self) {
        let Connection {
            stream,
            address,
            acceptor,
            handler,
        } = self;
        let Some(stream) = handshake(stream, address, &acceptor).await else {
            return;
        };
        let chain = stream.get_ref().1.peer_certificates().unwrap_or_default();
        let caller = Caller {
            address,
            certificate: Rc::new(PresentedCertificate::new(chain)),
        };
        let answer = service_fn(move |request| {
            let (handler, caller) = (Rc::clone(&handler), caller.clone());
            async move { Ok::<_, Infallible>(handler.answer(caller, request).await) }
        });
        let served = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE_TIMEOUT)
            .max_buf_size(MAX_HTTP_BUFFER)
            .serve_connection(TokioIo::new(stream), answer);
        // Clients may go at any time: how the connection ended is not worth a line in the log.
        let _ = served.await;
    }
}

/// Accepts TLS on a connection. None: the handshake failed or took too long, which was logged.
async fn handshake(
    stream: CountedStream<TcpStream>,
    address: SocketAddr,
    acceptor: &TlsAcceptor,
) -> Option<TlsStream<CountedStream<TcpStream>>> {
    match timeout(HANDSHAKE_TIMEOUT, acceptor.accept(stream)).await {
        Ok(Ok(stream)) => Some(stream),
        Ok(Err(error)) => {
            let error = describe(&error);
            tracing::warn!(peer = %address, %error, "connection rejected: TLS handshake failed");
            None
        }
        Err(_) => {
            tracing::debug!(peer = %address, "connection closed: TLS handshake timed out");
            None
        }
    }
}

/// Why a handshake failed: for an error of TLS, whose certificate is at fault and why.
fn describe(error: &io::Error) -> String {
    let inner = error.get_ref();
    let tls = inner.and_then(|inner| inner.downcast_ref::<rustls::Error>());
    tls.map_or_else(|| error.to_string(), describe_handshake_error)
}
