//! The task that owns the fleet's state machine. It takes commands in turn, makes the records that they change durable, and
//! only then answers and sends messages. Commands that arrive while it writes are taken and written together.
//!
//! Where the records cannot be written it rejects all commands, and loads the state again from the durable records once a
//! second until that succeeds.

mod command;
mod effects;
mod handle;
mod relay_batch;
mod state_store;
mod task;

pub(crate) use command::{ChangeOutcome, Unavailable};
pub(crate) use handle::FleetHandle;
pub(crate) use task::{FleetTaskSettings, start};
