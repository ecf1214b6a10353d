//! A relay's connection to the agent above it: a watch, and one batch at a time.

use crate::client::Client;
use hyper::{Method, StatusCode};
use madderloom_control_plane::protocol::ToAgent;
use madderloom_control_plane::relay::{
    AddressedMessage, Batch, BatchAnswer, MAX_BATCH_BYTES, WatchLine,
};
use madderloom_pki::Keyring;
use madderloom_watchdog::{self as watchdog, TaskKind};
use serde::Serialize;
use serde_json::value::RawValue;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// What a connection has brought.
pub(super) enum ParentEvent {
    /// The parent takes batches; its term.
    Connected(u64),
    /// A message for an instance.
    Message(AddressedMessage),
    /// The answer to the last batch.
    Answered(BatchAnswer),
    /// The connection has ended; why.
    Lost(String),
}

/// Events of connections, each with the number of its connection.
pub(super) type Events = mpsc::Sender<(u64, ParentEvent)>;

/// The identity of a start of a relay.
#[derive(Clone, Debug)]
pub(super) struct Identity {
    pub(super) name: String,
    pub(super) start: u64,
}

impl Identity {
    fn path(&self, what: &str) -> String {
        format!("/v1/relays/{}/{what}?start={}", self.name, self.start)
    }
}

/// A connection to one agent. It ends when it is dropped.
pub(super) struct Connection {
    number: u64,
    identity: Identity,
    batches: Rc<Client>,
    events: Events,
    watch: AbortHandle,
}

#[derive(Serialize)]
struct WrittenBatch {
    messages: Vec<Box<RawValue>>,
}

impl Connection {
    /// Begins to connect. Events of it have this number. The agent is told of the greatest known term, so that one that
    /// was replaced stands down.
    ///
    /// # Errors
    /// What is wrong with the address or the keys.
    pub(super) fn begin(
        (number, term): (u64, u64),
        address: &str,
        keyring: &Arc<Keyring>,
        identity: Identity,
        events: Events,
    ) -> Result<Self, String> {
        let batches = Rc::new(Client::with(address, keyring)?);
        let watch = Client::with(address, keyring)?;
        let path = format!("{}&term={term}", identity.path("watch"));
        let watch = watchdog::spawn(
            TaskKind::AgentCall,
            follow(number, watch, path, events.clone()),
        );
        Ok(Connection {
            number,
            identity,
            batches,
            events,
            watch: watch.abort_handle(),
        })
    }

    /// Its number.
    pub(super) fn number(&self) -> u64 {
        self.number
    }

    /// Sends a batch, and returns the messages that would have made it too long.
    pub(super) fn send(&self, batch: Batch) -> Vec<ToAgent> {
        let (written, left) = write(batch);
        let path = self.identity.path("batch");
        let (client, events, number) = (Rc::clone(&self.batches), self.events.clone(), self.number);
        watchdog::spawn(TaskKind::AgentCall, async move {
            let event = match client.ask(Method::POST, &path, written).await {
                Err(why) => ParentEvent::Lost(why),
                Ok(answer) if answer.status != StatusCode::OK => {
                    ParentEvent::Lost(String::from_utf8_lossy(&answer.body).into_owned())
                }
                Ok(answer) => match serde_json::from_slice(&answer.body) {
                    Ok(answer) => ParentEvent::Answered(answer),
                    Err(problem) => {
                        ParentEvent::Lost(format!("the answer makes no sense: {problem}"))
                    }
                },
            };
            let _ = events.send((number, event)).await;
        });
        left
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.watch.abort();
    }
}

/// Writes a batch of [`MAX_BATCH_BYTES`] and one message at most; returns it with the messages that were left.
fn write(batch: Batch) -> (Vec<u8>, Vec<ToAgent>) {
    let mut written = WrittenBatch {
        messages: Vec::new(),
    };
    let mut length = 0;
    let mut messages = batch.messages.into_iter();
    while length < MAX_BATCH_BYTES
        && let Some(message) = messages.next()
    {
        let Ok(message) = serde_json::value::to_raw_value(&message) else {
            continue;
        };
        length += message.get().len();
        written.messages.push(message);
    }
    (
        serde_json::to_vec(&written).unwrap_or_default(),
        messages.collect(),
    )
}

async fn follow(number: u64, client: Client, path: String, events: Events) {
    let lines = events.clone();
    let ended = client.watch(&path, |line| {
        // A line of a later version is passed over. Where there is no room, the next reports bring it again.
        let event = match serde_json::from_slice(line) {
            Ok(WatchLine::Connected { term }) => ParentEvent::Connected(term),
            Ok(WatchLine::Message(message)) => ParentEvent::Message(message),
            Err(problem) => return tracing::debug!("agent: a line makes no sense: {problem}"),
        };
        if lines.try_send((number, event)).is_err() {
            tracing::debug!(
                "agent: messages come faster than they are passed on, and one is dropped"
            );
        }
    });
    let why = ended.await;
    let _ = events.send((number, ParentEvent::Lost(why))).await;
}
