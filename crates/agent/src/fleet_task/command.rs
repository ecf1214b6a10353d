//! The commands to the task of the fleet's state machine.

use crate::Error;
use crate::delivery_routes::RelayId;
use crate::view::FleetSnapshot;
use madderloom_control_plane::change::Change;
use madderloom_control_plane::protocol::{ToAgent, ToInstance};
use madderloom_control_plane::relay::{Batch, BatchAnswer, WatchLine};
use madderloom_control_plane::{Accepted, By, Declined};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// Why the agent takes no commands.
#[derive(Clone, Debug, thiserror::Error)]
pub(crate) enum Unavailable {
    /// The task has ended or is ending.
    #[error("the agent is stopping")]
    Stopping,
    /// The records of a decision could not be made durable, and have not been loaded again since.
    #[error("the agent can't write its state: {0}")]
    StateNotWritten(Arc<Error>),
}

/// The outcome of a command that changes the fleet.
pub(crate) type ChangeOutcome = Result<Accepted, Declined>;

/// Where the answer to a command goes.
pub(super) type Reply<T> = oneshot::Sender<Result<T, Unavailable>>;

/// Produces a view of the state as JSON. None: what it should show is not there.
pub(super) type Query = Box<dyn FnOnce(&FleetSnapshot<'_>) -> Option<Vec<u8>> + Send>;

/// A command, with where its answer goes.
pub(super) enum Command {
    /// A registration or a report. The answer holds the messages for the instance.
    InstanceMessage {
        message: Box<ToAgent>,
        reply: Reply<Vec<ToInstance>>,
    },
    /// Registrations and reports that a relay has collected.
    RelayBatch {
        relay: RelayId,
        batch: Batch,
        reply: Reply<BatchAnswer>,
    },
    /// Starts the rollout of a change.
    Push {
        change: Box<Change>,
        author: By,
        reply: Reply<ChangeOutcome>,
    },
    /// Stops the rollout of the change of this id.
    Stop {
        id: String,
        author: By,
        reply: Reply<ChangeOutcome>,
    },
    /// Takes back the change of this id.
    Undo {
        id: String,
        author: By,
        reply: Reply<ChangeOutcome>,
    },
    /// Shows a part of the state.
    Query {
        query: Query,
        reply: Reply<Option<Vec<u8>>>,
    },
    /// Opens the watch of one start of an instance.
    WatchInstance {
        name: String,
        start: u64,
        reply: Reply<mpsc::Receiver<ToInstance>>,
    },
    /// Opens the watch of one start of a relay, which knows of an agent of this term.
    WatchRelay {
        relay: RelayId,
        known_term: u64,
        reply: Reply<mpsc::Receiver<WatchLine>>,
    },
}

impl Command {
    /// The number of messages of instances in it, at least 1: a measure of the work that it is.
    pub(super) fn weight(&self) -> usize {
        match self {
            Command::RelayBatch { batch, .. } => batch.messages.len().max(1),
            _ => 1,
        }
    }

    /// Answers that the agent is unavailable. Nothing has been done.
    pub(super) fn reject(self, reason: Unavailable) {
        match self {
            Command::InstanceMessage { reply, .. } => drop(reply.send(Err(reason))),
            Command::RelayBatch { reply, .. } => drop(reply.send(Err(reason))),
            Command::Push { reply, .. }
            | Command::Stop { reply, .. }
            | Command::Undo { reply, .. } => drop(reply.send(Err(reason))),
            Command::Query { reply, .. } => drop(reply.send(Err(reason))),
            Command::WatchInstance { reply, .. } => drop(reply.send(Err(reason))),
            Command::WatchRelay { reply, .. } => drop(reply.send(Err(reason))),
        }
    }
}
