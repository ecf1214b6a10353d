//! The inputs and outputs of the instance's state machine, and what it persists.

use crate::protocol::{Order, Outcome, ToAgent, ToInstance};
use crate::selector::Attributes;
use crate::settings::Overlay;
use madderloom_endpoint_sharing::EndpointListUpdates;
use madderloom_quota_leases::Grant;
use serde::{Deserialize, Serialize};

/// The state of an instance's session with the agent.
///
/// ```text
/// Unregistered --timer--> Registering --welcome--> Registered
///       ^                      |                        |
///       +------- rejected, connection lost, no answers -+
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Session {
    /// The instance is not registered; it will register when its timer is due.
    Unregistered,
    /// It has sent a registration and waits for the answer.
    Registering,
    /// It is registered.
    Registered,
}

/// The state of an instance that its next start should find again, where it can persist any.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PersistedInstance {
    /// The incarnation; the next start takes a greater one.
    pub incarnation: u64,
    /// The greatest known term of an agent.
    pub term: u64,
    /// The revision in effect.
    pub revision: u64,
    /// All settings in effect beside those of the instance's own file.
    pub overlay: Overlay,
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// The time of [`Instance::next_timer`](super::Instance::next_timer) has come.
    Timer,
    /// A message of the agent has arrived.
    Message(&'a ToInstance),
    /// The embedder has applied the order of [`Action::Apply`] in full, or has refused it and changed nothing.
    OrderCompleted(Outcome),
    /// The connection to the agent is lost.
    ConnectionLost,
    /// The instance's own file was read again, so that an order that was refused may be tried again.
    FileChanged(&'a Attributes),
    /// The agent should receive a report now: capacity of a limit was freed, or discovery has sent an event.
    ReportRequested,
}

/// An output of the state machine. Actions must be carried out in their order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Persist this for the next start.
    Persist(PersistedInstance),
    /// Check the whole order, then apply it in full or not at all, and pass the outcome in with
    /// [`Event::OrderCompleted`].
    Apply(Order),
    /// Send this to the agent. A message that cannot be sent is dropped.
    Send(ToAgent),
    /// Use these leases of fleet-wide limits.
    UseLeases(Grant),
    /// Use these endpoint lists, which the fleet shares.
    UseLists(EndpointListUpdates),
}
