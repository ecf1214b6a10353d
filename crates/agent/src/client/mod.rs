//! The client of an agent or of a relay: requests over one reused connection, and watches.

mod endpoint;
mod error;
mod lines;

pub use error::ClientError;
use madderloom_watchdog::timeout;

use crate::dial::Dialer;
use bytes::Bytes;
use endpoint::{Connection, Endpoint};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode, header};
use lines::LineBuffer;
use madderloom_control_plane::Rejection;
use madderloom_control_plane::protocol::MAX_ORDER_BYTES;
use madderloom_pki::{KeyFiles, Keyring};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;

/// The time limit of the head of a response, and again of its body. No measurement behind it: an agent that is busy with
/// thousands of registrations may take seconds.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// A watch over which nothing came for this time has failed. An agent sends a heartbeat every 5 s, so that two must be
/// missing.
const WATCH_SILENCE_LIMIT: Duration = Duration::from_secs(12);

/// Sends requests to one agent or relay, one at a time, over a connection that is reused, and reopened where it has ended.
pub struct Client {
    endpoint: Endpoint,
    /// The connection for reuse. It is locked from a request until its response is complete: a second connection beside a slow
    /// response would make the agent slower still.
    connection: Mutex<Option<Connection>>,
}

/// A response of an agent, whatever its status.
#[derive(Debug)]
pub struct AgentResponse {
    /// The status.
    pub status: StatusCode,
    /// The body, at most [`MAX_ORDER_BYTES`] bytes.
    pub body: Bytes,
}

/// The body of a response that is not a success.
#[derive(Deserialize)]
struct ErrorBody {
    error: String,
    /// Present where the agent declined a change.
    declined: Option<Box<Rejection>>,
}

impl Client {
    /// A client of the agent at `HOST:PORT`, whose certificate must be for that host. Nothing is connected yet.
    ///
    /// # Errors
    /// The address is not of that form, or the keys cannot be read.
    pub fn new(address: &str, files: KeyFiles) -> Result<Self, ClientError> {
        let keyring = Keyring::load(files).map_err(ClientError::Keys)?;
        Client::with_keyring(address, &keyring)
    }

    /// A client of the agent at `HOST:PORT`, with keys that were loaded before. Keys that are reloaded hold for connections
    /// that are opened afterwards.
    ///
    /// # Errors
    /// The address is not of that form, or the keys cannot be used.
    pub fn with_keyring(address: &str, keyring: &Arc<Keyring>) -> Result<Self, ClientError> {
        Ok(Client {
            endpoint: Endpoint::new(address, keyring)?,
            connection: Mutex::new(None),
        })
    }

    /// Opens the streams below TLS with this dialer in place of plain TCP connections.
    pub fn with_dialer(mut self, dialer: Arc<dyn Dialer>) -> Self {
        self.endpoint.set_dialer(dialer);
        self
    }

    /// Sends a request with a JSON body, and reads the response whole. Waits for the request before it, if there is one.
    ///
    /// # Errors
    /// The agent could not be reached, or its response did not arrive in time.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<AgentResponse, ClientError> {
        let mut reusable = self.connection.lock().await;
        let response = self.exchange(&mut reusable, method, path, body).await?;
        let status = response.status();
        if status == StatusCode::FORBIDDEN {
            // The certificate of this connection may have expired or been revoked; the next connection shows the present one.
            *reusable = None;
        }
        let body = Limited::new(response.into_body(), MAX_ORDER_BYTES).collect();
        let body = timeout(RESPONSE_TIMEOUT, body)
            .await
            .map_err(|_| ClientError::BodyTimeout)?
            .map_err(ClientError::Body)?;
        Ok(AgentResponse {
            status,
            body: body.to_bytes(),
        })
    }

    /// Sends a request with a JSON body, and deserializes the response to it.
    ///
    /// # Errors
    /// [`ClientError::Declined`] and [`ClientError::Rejected`] are the agent's answer; with the others there is none.
    pub async fn request<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T, ClientError> {
        let response = self.send(method, path, body).await?;
        if response.status == StatusCode::OK {
            return serde_json::from_slice(&response.body).map_err(ClientError::InvalidResponse);
        }
        Err(rejection(&response))
    }

    /// Opens a watch, and hands each line of it that is not blank to `on_line`, without its end, until the watch ends. The
    /// connection is locked until then.
    ///
    /// # Errors
    /// Why the watch could not be opened or has ended: it always does.
    pub async fn watch(
        &self,
        path: &str,
        mut on_line: impl FnMut(&[u8]),
    ) -> Result<Infallible, ClientError> {
        let mut reusable = self.connection.lock().await;
        let response = self
            .exchange(&mut reusable, Method::GET, path, Vec::new())
            .await?;
        if response.status() != StatusCode::OK {
            return Err(ClientError::WatchRejected(response.status()));
        }
        let mut body = response.into_body();
        let mut lines = LineBuffer::default();
        loop {
            let frame = timeout(WATCH_SILENCE_LIMIT, body.frame())
                .await
                .map_err(|_| ClientError::WatchSilent)?
                .ok_or(ClientError::WatchEnded)?
                .map_err(|error| ClientError::Body(error.into()))?;
            if let Some(piece) = frame.data_ref() {
                lines.extend(piece);
            }
            while let Some(line) = lines.next_line() {
                on_line(&line);
            }
            if lines.incomplete() > MAX_ORDER_BYTES {
                return Err(ClientError::WatchLineTooLong);
            }
        }
    }

    /// Sends a request over the connection for reuse, or over a new one, and waits for the head of the response.
    async fn exchange(
        &self,
        reusable: &mut Option<Connection>,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Response<Incoming>, ClientError> {
        // It is put back once the response has begun: the next request must not meet the late response to one that was given
        // up.
        let mut connection = match reusable.take().filter(|reused| !reused.is_closed()) {
            Some(connection) => connection,
            None => self.endpoint.connect().await?,
        };
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, &self.endpoint.address)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(ClientError::InvalidRequest)?;
        let response = timeout(RESPONSE_TIMEOUT, connection.send_request(request))
            .await
            .map_err(|_| self.endpoint.timeout())?
            .map_err(|error| self.endpoint.http_error(error))?;
        *reusable = Some(connection);
        Ok(response)
    }
}

/// The error that a response other than a success stands for.
fn rejection(response: &AgentResponse) -> ClientError {
    let status = response.status;
    match serde_json::from_slice::<ErrorBody>(&response.body) {
        Ok(ErrorBody {
            declined: Some(declined),
            ..
        }) => ClientError::Declined(declined),
        Ok(ErrorBody { error, .. }) => ClientError::Rejected {
            status,
            message: error,
        },
        Err(_) => ClientError::Rejected {
            status,
            message: format!("the agent answered {status}"),
        },
    }
}
