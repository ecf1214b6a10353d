//! The address of an agent, and how a connection to it is opened.

use super::ClientError;
use crate::dial::{ByteStream, Dialer};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use madderloom_pki::Keyring;
use madderloom_watchdog::{self as watchdog, TaskKind, timeout};
use rustls::pki_types::ServerName;
use std::error::Error;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;

/// The time limit of opening a connection, TLS handshake included. No measurement behind it: long enough for a busy
/// agent, short enough for an operator who waits.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends requests over one open connection.
pub(super) type Connection = SendRequest<Full<Bytes>>;

/// The address of an agent, and the keys under which connections to it are opened.
pub(super) struct Endpoint {
    /// `HOST:PORT`.
    pub(super) address: String,
    /// The name that the agent's certificate must be for.
    host: ServerName<'static>,
    connector: TlsConnector,
    /// Opens the stream below TLS. None: a plain TCP connection.
    dialer: Option<Arc<dyn Dialer>>,
}

impl Endpoint {
    /// Checks an address, which must be `HOST:PORT`. IPv6 addresses are written in brackets.
    pub(super) fn new(address: &str, keyring: &Arc<Keyring>) -> Result<Self, ClientError> {
        let Some((host, port)) = address.rsplit_once(':') else {
            return Err(ClientError::MissingPort {
                address: address.to_string(),
            });
        };
        if port.parse::<u16>().is_err() {
            return Err(ClientError::InvalidPort {
                address: address.to_string(),
                port: port.to_string(),
            });
        }
        let host = host.trim_matches(['[', ']']);
        let server_name =
            ServerName::try_from(host.to_string()).map_err(|_| ClientError::InvalidHost {
                address: address.to_string(),
                host: host.to_string(),
            })?;
        let tls = keyring.client_config().map_err(ClientError::Keys)?;
        Ok(Endpoint {
            address: address.to_string(),
            host: server_name,
            connector: TlsConnector::from(tls),
            dialer: None,
        })
    }

    /// Opens the streams below TLS with this dialer from now on.
    pub(super) fn set_dialer(&mut self, dialer: Arc<dyn Dialer>) {
        self.dialer = Some(dialer);
    }

    /// Opens a connection, within [`CONNECT_TIMEOUT`].
    pub(super) async fn connect(&self) -> Result<Connection, ClientError> {
        match timeout(CONNECT_TIMEOUT, self.open()).await {
            Ok(opened) => opened,
            Err(_) => Err(self.timeout()),
        }
    }

    async fn open(&self) -> Result<Connection, ClientError> {
        let stream = self.dial().await.map_err(|error| self.io_error(error))?;
        let stream = self
            .connector
            .connect(self.host.clone(), stream)
            .await
            .map_err(|error| self.io_error(error))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| self.http_error(error))?;
        watchdog::spawn(TaskKind::AgentCall, async move {
            // How the connection ended shows in the requests over it.
            let _ = connection.await;
        });
        Ok(sender)
    }

    /// Opens the stream below TLS.
    async fn dial(&self) -> io::Result<Box<dyn ByteStream>> {
        match &self.dialer {
            Some(dialer) => dialer.dial(&self.address).await,
            None => {
                let stream = TcpStream::connect(&self.address).await?;
                let _ = stream.set_nodelay(true);
                Ok(Box::new(stream))
            }
        }
    }

    /// The error of a response that did not arrive in time.
    pub(super) fn timeout(&self) -> ClientError {
        ClientError::Timeout {
            address: self.address.clone(),
        }
    }

    fn io_error(&self, error: io::Error) -> ClientError {
        let address = self.address.clone();
        match tls_error(&error) {
            Some(source) => ClientError::Tls { address, source },
            None => ClientError::Connect {
                address,
                source: error,
            },
        }
    }

    /// The error of a request that failed below HTTP, or for what came as HTTP.
    pub(super) fn http_error(&self, error: hyper::Error) -> ClientError {
        let address = self.address.clone();
        let mut source: Option<&dyn Error> = Some(&error);
        while let Some(inner) = source {
            if let Some(source) = inner.downcast_ref::<io::Error>().and_then(tls_error) {
                return ClientError::Tls { address, source };
            }
            source = inner.source();
        }
        ClientError::Http {
            address,
            source: error,
        }
    }
}

/// The error of the TLS library that an I/O error wraps, if it does.
fn tls_error(error: &io::Error) -> Option<rustls::Error> {
    let inner = error.get_ref()?;
    inner.downcast_ref::<rustls::Error>().cloned()
}
