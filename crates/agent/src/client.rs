//! Speaking to an agent.

use crate::dial::{ByteStream, Dial};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Method, Request, Response, StatusCode, header};
use hyper_util::rt::TokioIo;
use madderloom_control_plane::Rejection;
use madderloom_control_plane::protocol::MAX_ORDER_BYTES;
use madderloom_pki::{Files, Keyring, explain};
use madderloom_watchdog::{self as watchdog, TaskKind};
use rustls::pki_types::ServerName;
use serde::Deserialize;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::timeout;
use tokio_rustls::TlsConnector;

/// How long connecting, and how long an answer, may take.
const PATIENCE: Duration = Duration::from_secs(10);
/// A watch that says nothing for so long is cut off; it beats every 5 s.
const SILENCE: Duration = Duration::from_secs(12);

/// Speaks to one agent, over a connection that is kept and made anew where it has ended.
pub struct Client {
    connector: TlsConnector,
    address: String,
    host: ServerName<'static>,
    /// What opens the stream below TLS; none for a plain TCP connection.
    dial: Option<Arc<dyn Dial>>,
    /// One request at a time: a second connection beside a slow answer would make the agent slower still.
    open: Mutex<Option<SendRequest<Full<Bytes>>>>,
}

/// What the agent answered.
#[derive(Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
}

/// Why the agent did not do what it was asked for.
#[derive(Clone, Debug)]
pub enum Failed {
    /// It could not be asked, or did not answer.
    Unheard(String),
    /// It declined a change.
    Declined(Box<Rejection>),
    /// It refused: the status, and why.
    Refused(StatusCode, String),
}

impl fmt::Display for Failed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failed::Unheard(why) | Failed::Refused(_, why) => f.write_str(why),
            Failed::Declined(declined) => declined.fmt(f),
        }
    }
}

impl Client {
    /// For an agent at `HOST:PORT`; its certificate must be for that host.
    ///
    /// # Errors
    /// What is wrong with the address or the keys.
    pub fn new(address: &str, files: Files) -> Result<Self, String> {
        Client::with(address, &Keyring::load(files)?)
    }

    /// The same, with keys that were read before.
    ///
    /// # Errors
    /// What is wrong with the address.
    pub fn with(address: &str, keyring: &Arc<Keyring>) -> Result<Self, String> {
        let (host, port) = address
            .rsplit_once(':')
            .ok_or_else(|| format!("{address:?}: write HOST:PORT"))?;
        port.parse::<u16>()
            .map_err(|_| format!("{address:?}: {port:?} is no port"))?;
        let host = host.trim_matches(['[', ']']);
        let host = ServerName::try_from(host.to_string())
            .map_err(|_| format!("{address:?}: {host:?} is no host"))?;
        let connector = TlsConnector::from(keyring.client()?);
        Ok(Client {
            connector,
            address: address.to_string(),
            host,
            dial: None,
            open: Mutex::new(None),
        })
    }

    /// Opens the streams below TLS in another way than by a plain TCP connection, such as one that counts bytes.
    pub fn dialled_by(mut self, dial: Arc<dyn Dial>) -> Self {
        self.dial = Some(dial);
        self
    }

    /// Opens the stream below TLS.
    async fn dial(&self) -> std::io::Result<Box<dyn ByteStream>> {
        match &self.dial {
            Some(dial) => dial.dial(&self.address).await,
            None => {
                let stream = TcpStream::connect(&self.address).await?;
                let _ = stream.set_nodelay(true);
                Ok(Box::new(stream))
            }
        }
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>, String> {
        let address = &self.address;
        let connecting = async {
            let stream = self.dial().await.map_err(|e| e.to_string())?;
            let stream = self.connector.connect(self.host.clone(), stream).await;
            let stream = stream.map_err(|problem| {
                let rustls = problem
                    .get_ref()
                    .and_then(|e| e.downcast_ref::<rustls::Error>());
                rustls.map_or_else(|| problem.to_string(), explain)
            })?;
            http1::handshake(TokioIo::new(stream))
                .await
                .map_err(|e| e.to_string())
        };
        let made = timeout(PATIENCE, connecting)
            .await
            .unwrap_or_else(|_| Err("no answer in time".into()));
        let (sender, connection) = made.map_err(|why| format!("agent at {address}: {why}"))?;
        watchdog::spawn(TaskKind::AgentCall, async move {
            // How it ended shows in the requests over it.
            let _ = connection.await;
        });
        Ok(sender)
    }

    async fn send(
        &self,
        kept: &mut Option<SendRequest<Full<Bytes>>>,
        (method, path, body): (Method, &str, Vec<u8>),
    ) -> Result<Response<Incoming>, String> {
        // Put back where the answer has come: one that was given up must not be met by the next request.
        let former = kept.take().filter(|open| !open.is_closed());
        let mut open = match former {
            Some(open) => open,
            None => self.connect().await?,
        };
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, &self.address)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| e.to_string())?;
        let answer = timeout(PATIENCE, open.send_request(request)).await;
        let answer = answer.map_err(|_| format!("agent at {}: no answer in time", self.address))?;
        let answer = answer.map_err(|problem| {
            // With TLS 1.3 a certificate is refused after the handshake, as the client sees it.
            let mut source: Option<&dyn std::error::Error> = Some(&problem);
            let mut told = problem.to_string();
            while let Some(error) = source {
                let io = error.downcast_ref::<std::io::Error>();
                if let Some(rustls) = io
                    .and_then(|e| e.get_ref())
                    .and_then(|e| e.downcast_ref::<rustls::Error>())
                {
                    told = explain(rustls);
                }
                source = error.source();
            }
            format!("agent at {}: {told}", self.address)
        })?;
        *kept = Some(open);
        Ok(answer)
    }

    /// Asks, and reads the answer whole.
    ///
    /// # Errors
    /// Why there is none.
    pub async fn ask(&self, method: Method, path: &str, body: Vec<u8>) -> Result<Answer, String> {
        let mut open = self.open.lock().await;
        let answer = self.send(&mut open, (method, path, body)).await?;
        let status = answer.status();
        if status == StatusCode::FORBIDDEN {
            // The connection was opened with a certificate that is good no more; there may be a new one by now.
            *open = None;
        }
        let body = timeout(
            PATIENCE,
            Limited::new(answer.into_body(), MAX_ORDER_BYTES).collect(),
        )
        .await;
        let body = body
            .map_err(|_| "the answer stops halfway".to_string())?
            .map_err(|e| e.to_string())?;
        Ok(Answer {
            status,
            body: body.to_bytes(),
        })
    }

    /// Asks for something, and reads it.
    ///
    /// # Errors
    /// Why it was not done or could not be asked for.
    pub async fn get<T: for<'a> Deserialize<'a>>(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T, Failed> {
        let answer = self
            .ask(method, path, body)
            .await
            .map_err(Failed::Unheard)?;
        if answer.status == StatusCode::OK {
            let read = serde_json::from_slice(&answer.body);
            return read
                .map_err(|e| Failed::Unheard(format!("the agent's answer makes no sense: {e}")));
        }
        #[derive(Deserialize)]
        struct Told {
            error: String,
            declined: Option<Box<Rejection>>,
        }
        match serde_json::from_slice::<Told>(&answer.body) {
            Ok(Told {
                declined: Some(declined),
                ..
            }) => Err(Failed::Declined(declined)),
            Ok(Told { error, .. }) => Err(Failed::Refused(answer.status, error)),
            Err(_) => Err(Failed::Refused(
                answer.status,
                format!("the agent answered {}", answer.status),
            )),
        }
    }

    /// Follows a watch: gives each line that is not empty, until it ends.
    pub async fn watch(&self, path: &str, mut line: impl FnMut(&[u8])) -> String {
        let mut open = self.open.lock().await;
        let answer = match self.send(&mut open, (Method::GET, path, Vec::new())).await {
            Ok(answer) => answer,
            Err(why) => return why,
        };
        if answer.status() != StatusCode::OK {
            return format!("the agent answered {}", answer.status());
        }
        let mut body = answer.into_body();
        let mut unread = BytesMut::new();
        loop {
            match timeout(SILENCE, body.frame()).await {
                Err(_) => return "the agent has said nothing for too long".into(),
                Ok(None) => return "the watch has ended".into(),
                Ok(Some(Err(problem))) => return problem.to_string(),
                Ok(Some(Ok(frame))) => {
                    unread.extend_from_slice(frame.data_ref().map_or(&[], |d| d.as_ref()))
                }
            }
            while let Some(end) = unread.iter().position(|byte| *byte == b'\n') {
                let whole = unread.split_to(end + 1);
                if !whole.trim_ascii().is_empty() {
                    line(&whole);
                }
            }
            if unread.len() > MAX_ORDER_BYTES {
                return "a line is too long".into();
            }
        }
    }
}
