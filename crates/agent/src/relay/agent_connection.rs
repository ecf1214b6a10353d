//! The connection of a relay to the agent above it: a watch, and one batch at a time.

use crate::client::{Client, ClientError};
use hyper::Method;
use madderloom_control_plane::protocol::ToAgent;
use madderloom_control_plane::relay::{Addressed, Batch, BatchAnswer, LARGEST_BATCH, WatchLine};
use madderloom_pki::Keyring;
use madderloom_watchdog::{self as watchdog, TaskKind};
use serde::Serialize;
use serde_json::value::RawValue;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// Why a connection to an agent was given up.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectionError {
    /// The agent cannot be reached, does not answer or rejects the relay.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// Another agent has taken over.
    #[error("it is of an earlier term than one that is known")]
    StaleTerm,
}

/// Something that came over a connection.
pub(super) enum AgentEvent {
    /// The agent accepts batches. This comes first.
    Connected {
        /// The term of the agent.
        term: u64,
    },
    /// A message for an instance.
    Message(Addressed),
    /// The answer to the last batch.
    BatchAnswered(BatchAnswer),
    /// The connection has ended.
    Lost(ClientError),
}

/// The number of a connection, which distinguishes its events from late ones of a former connection.
pub(super) type ConnectionNumber = u64;

/// An event, with the connection that it belongs to.
pub(super) struct ConnectionEvent {
    pub(super) connection: ConnectionNumber,
    pub(super) event: AgentEvent,
}

/// One start of a relay, as the agent knows it.
#[derive(Clone, Debug)]
pub(super) struct RelayIdentity {
    pub(super) name: String,
    /// A number drawn at random at the start.
    pub(super) start: u64,
}

impl RelayIdentity {
    fn path(&self, action: &str) -> String {
        format!("/v1/relays/{}/{action}?start={}", self.name, self.start)
    }
}

/// How a connection is opened.
pub(super) struct ConnectionSettings<'a> {
    /// The number of the connection.
    pub(super) number: ConnectionNumber,
    /// The address of the agent.
    pub(super) address: &'a str,
    /// The keys of the relay as a client.
    pub(super) keyring: &'a Arc<Keyring>,
    /// The greatest term that is known. It is sent to the agent, so that one that was replaced stands down.
    pub(super) known_term: u64,
    /// Where events go.
    pub(super) events: mpsc::Sender<ConnectionEvent>,
}

/// A connection to one agent. It ends when it is dropped.
pub(super) struct AgentConnection {
    number: ConnectionNumber,
    identity: RelayIdentity,
    batches: Rc<Client>,
    events: mpsc::Sender<ConnectionEvent>,
    watch: AbortHandle,
}

/// A batch as it is sent, its messages being JSON already.
#[derive(Serialize)]
struct SerializedBatch {
    messages: Vec<Box<RawValue>>,
}

impl AgentConnection {
    /// Begins to connect.
    ///
    /// # Errors
    /// The address is not valid, or the keys cannot be used.
    pub(super) fn open(
        settings: ConnectionSettings<'_>,
        identity: RelayIdentity,
    ) -> Result<Self, ClientError> {
        let ConnectionSettings {
            number,
            address,
            keyring,
            known_term,
            events,
        } = settings;
        let batches = Rc::new(Client::with_keyring(address, keyring)?);
        let watcher = Watcher {
            number,
            client: Client::with_keyring(address, keyring)?,
            events: events.clone(),
        };
        let path = format!("{}&term={known_term}", identity.path("watch"));
        let watch = watchdog::spawn(TaskKind::AgentCall, watcher.run(path));
        Ok(AgentConnection {
            number,
            identity,
            batches,
            events,
            watch: watch.abort_handle(),
        })
    }

    /// Its number.
    pub(super) fn number(&self) -> ConnectionNumber {
        self.number
    }

    /// Sends a batch, and returns the messages that would have made it too long. The answer is an event.
    pub(super) fn send(&self, batch: Batch) -> Vec<ToAgent> {
        let (body, left) = serialize(batch);
        let path = self.identity.path("batch");
        let client = Rc::clone(&self.batches);
        let events = self.events.clone();
        let connection = self.number;
        watchdog::spawn(TaskKind::AgentCall, async move {
            let event = match client.request(Method::POST, &path, body).await {
                Ok(answer) => AgentEvent::BatchAnswered(answer),
                Err(error) => AgentEvent::Lost(error),
            };
            // The relay may be stopping.
            let _ = events.send(ConnectionEvent { connection, event }).await;
        });
        left
    }
}

impl Drop for AgentConnection {
    fn drop(&mut self) {
        self.watch.abort();
    }
}

/// Serializes messages until they are longer than [`LARGEST_BATCH`], so that the batch passes it by one message at most.
/// Returns the body with the messages that are left.
fn serialize(batch: Batch) -> (Vec<u8>, Vec<ToAgent>) {
    let mut messages = Vec::new();
    let mut length = 0;
    let mut waiting = batch.messages.into_iter();
    while length < LARGEST_BATCH
        && let Some(message) = waiting.next()
    {
        let Ok(message) = serde_json::value::to_raw_value(&message) else {
            continue;
        };
        length += message.get().len();
        messages.push(message);
    }
    let body = serde_json::to_vec(&SerializedBatch { messages }).unwrap_or_default();
    (body, waiting.collect())
}

/// Turns the lines of a watch into events.
struct Watcher {
    number: ConnectionNumber,
    client: Client,
    events: mpsc::Sender<ConnectionEvent>,
}

impl Watcher {
    async fn run(self, path: String) {
        let Err(error) = self
            .client
            .watch(&path, |line| self.handle_line(line))
            .await;
        let lost = self.event(AgentEvent::Lost(error));
        let _ = self.events.send(lost).await;
    }

    fn event(&self, event: AgentEvent) -> ConnectionEvent {
        ConnectionEvent {
            connection: self.number,
            event,
        }
    }

    /// Passes one line on. A line of a later version is skipped, and one for which there is no room is dropped: the answer to
    /// the next report repeats it.
    fn handle_line(&self, line: &[u8]) {
        let event = match serde_json::from_slice(line) {
            Ok(WatchLine::Connected { term }) => AgentEvent::Connected { term },
            Ok(WatchLine::Message(message)) => AgentEvent::Message(message),
            Err(error) => {
                tracing::debug!(%error, "watch line not understood");
                return;
            }
        };
        if self.events.try_send(self.event(event)).is_err() {
            tracing::debug!("watch message dropped: queue is full");
        }
    }
}
