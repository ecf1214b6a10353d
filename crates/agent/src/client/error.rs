//! Why a request to an agent, or a watch of one, has failed.

use hyper::StatusCode;
use madderloom_control_plane::Declined;
use madderloom_pki::describe_handshake_error;
use std::io;

/// Why an agent gave no answer, or did not do what was requested.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The address of the agent has no port.
    #[error("{address:?}: write HOST:PORT")]
    MissingPort {
        /// The address as it was given.
        address: String,
    },
    /// The port in the address of the agent is no number up to 65535.
    #[error("{address:?}: {port:?} is no port")]
    InvalidPort {
        /// The address as it was given.
        address: String,
        /// The part of it behind the last colon.
        port: String,
    },
    /// The host in the address of the agent can be neither a DNS name nor an IP address.
    #[error("{address:?}: {host:?} is no host")]
    InvalidHost {
        /// The address as it was given.
        address: String,
        /// The part of it before the last colon, without brackets.
        host: String,
    },
    /// The keys cannot be read or used.
    #[error("{0}")]
    Keys(#[source] madderloom_pki::Error),
    /// The connection could not be opened, or TLS failed for a reason that is not about certificates.
    #[error("agent at {address}: {source}")]
    Connect {
        /// The address of the agent.
        address: String,
        /// The error of the system.
        source: io::Error,
    },
    /// The TLS handshake failed. A server that rejects the client's certificate says so only after the client regards
    /// the handshake as complete, so that the first request over a connection can fail with this error as well.
    #[error("agent at {address}: {}", describe_handshake_error(source))]
    Tls {
        /// The address of the agent.
        address: String,
        /// The error of the TLS library.
        source: rustls::Error,
    },
    /// The connection ended before the head of the response, or what came is no HTTP.
    #[error("agent at {address}: {source}")]
    Http {
        /// The address of the agent.
        address: String,
        /// The error of the HTTP library.
        source: hyper::Error,
    },
    /// Connecting, or the head of the response, took too long.
    #[error("agent at {address}: no answer in time")]
    Timeout {
        /// The address of the agent.
        address: String,
    },
    /// The path makes no valid request.
    #[error("{0}")]
    InvalidRequest(#[source] hyper::http::Error),
    /// The body of the response took too long.
    #[error("the answer stops halfway")]
    BodyTimeout,
    /// The body of the response broke off, or is longer than any response of an agent.
    #[error("{0}")]
    Body(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The body of the response is not of the expected form.
    #[error("the agent's answer makes no sense: {0}")]
    InvalidResponse(#[source] serde_json::Error),
    /// The agent declined a change.
    #[error("{0}")]
    Declined(Box<Declined>),
    /// The agent rejected the request.
    #[error("{message}")]
    Rejected {
        /// The status of the response.
        status: StatusCode,
        /// Why, in the agent's words where it said so.
        message: String,
    },
    /// The agent does not open the watch.
    #[error("the agent answered {0}")]
    WatchRejected(StatusCode),
    /// Nothing came over the watch for longer than its heartbeat interval allows.
    #[error("the agent has said nothing for too long")]
    WatchSilent,
    /// The agent ended the watch.
    #[error("the watch has ended")]
    WatchEnded,
    /// A line of the watch is longer than any message of an agent.
    #[error("a line is too long")]
    WatchLineTooLong,
}

impl ClientError {
    /// Whether it is unknown what the agent did with the request: it could not be reached, or its response did not
    /// arrive or was not understood. A request without side effects can be sent again.
    pub fn is_unanswered(&self) -> bool {
        !matches!(
            self,
            ClientError::Declined(_) | ClientError::Rejected { .. }
        )
    }
}

impl From<ClientError> for String {
    /// For callers that show nothing but the text.
    fn from(error: ClientError) -> String {
        error.to_string()
    }
}
