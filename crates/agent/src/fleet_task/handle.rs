//! The sending side of the task of the fleet's state machine.

use super::command::{ChangeOutcome, Command, Reply, Unavailable};
use crate::delivery_routes::RelayId;
use crate::view::FleetSnapshot;
use madderloom_control_plane::By;
use madderloom_control_plane::change::Change;
use madderloom_control_plane::protocol::{ToAgent, ToInstance};
use madderloom_control_plane::relay::{Batch, BatchAnswer, WatchLine};
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};

/// Sends commands to the task, and waits for their answers. An answer comes after all that it reports is durable.
#[derive(Clone)]
pub(crate) struct FleetHandle(mpsc::Sender<Command>);

impl FleetHandle {
    pub(super) fn new(commands: mpsc::Sender<Command>) -> Self {
        FleetHandle(commands)
    }

    /// Handles a registration or a report, and returns the messages for the instance.
    pub(crate) async fn instance_message(
        &self,
        message: ToAgent,
    ) -> Result<Vec<ToInstance>, Unavailable> {
        let message = Box::new(message);
        self.send(|reply| Command::InstanceMessage { message, reply })
            .await
    }

    /// Handles a batch of a relay.
    pub(crate) async fn relay_batch(
        &self,
        relay: RelayId,
        batch: Batch,
    ) -> Result<BatchAnswer, Unavailable> {
        self.send(|reply| Command::RelayBatch {
            relay,
            batch,
            reply,
        })
        .await
    }

    /// Starts the rollout of a change.
    pub(crate) async fn push(
        &self,
        change: Box<Change>,
        author: By,
    ) -> Result<ChangeOutcome, Unavailable> {
        self.send(|reply| Command::Push {
            change,
            author,
            reply,
        })
        .await
    }

    /// Stops the rollout of a change.
    pub(crate) async fn stop(&self, id: String, author: By) -> Result<ChangeOutcome, Unavailable> {
        self.send(|reply| Command::Stop { id, author, reply }).await
    }

    /// Takes a change back.
    pub(crate) async fn undo(&self, id: String, author: By) -> Result<ChangeOutcome, Unavailable> {
        self.send(|reply| Command::Undo { id, author, reply }).await
    }

    /// Returns a view of the state as JSON.
    pub(crate) async fn view<T: Serialize>(
        &self,
        view: impl FnOnce(&FleetSnapshot<'_>) -> T + Send + 'static,
    ) -> Result<Option<Vec<u8>>, Unavailable> {
        self.find_view(|snapshot| Some(view(snapshot))).await
    }

    /// Returns a view of something that may not be there, as JSON.
    pub(crate) async fn find_view<T: Serialize>(
        &self,
        view: impl FnOnce(&FleetSnapshot<'_>) -> Option<T> + Send + 'static,
    ) -> Result<Option<Vec<u8>>, Unavailable> {
        let query = |snapshot: &FleetSnapshot<'_>| {
            let view = view(snapshot)?;
            Some(serde_json::to_vec(&view).unwrap_or_default())
        };
        let query = Box::new(query);
        self.send(|reply| Command::Query { query, reply }).await
    }

    /// Opens the watch of one start of an instance. It carries the messages that are caused by others than the instance. It
    /// is closed where the agent is unavailable.
    pub(crate) async fn watch_instance(
        &self,
        name: String,
        start: u64,
    ) -> mpsc::Receiver<ToInstance> {
        let opened = self.send(|reply| Command::WatchInstance { name, start, reply });
        opened.await.unwrap_or_else(|_| closed())
    }

    /// Opens the watch of one start of a relay, for all instances behind it. It is closed where the agent is unavailable.
    pub(crate) async fn watch_relay(
        &self,
        relay: RelayId,
        known_term: u64,
    ) -> mpsc::Receiver<WatchLine> {
        let opened = self.send(|reply| Command::WatchRelay {
            relay,
            known_term,
            reply,
        });
        opened.await.unwrap_or_else(|_| closed())
    }

    async fn send<T>(&self, command: impl FnOnce(Reply<T>) -> Command) -> Result<T, Unavailable> {
        let (reply, answer) = oneshot::channel();
        let sent = self.0.send(command(reply)).await;
        sent.map_err(|_| Unavailable::Stopping)?;
        answer.await.map_err(|_| Unavailable::Stopping)?
    }
}

/// A channel over which nothing comes.
fn closed<T>() -> mpsc::Receiver<T> {
    mpsc::channel(1).1
}
