//! The messages between an instance and the agent, version 1. `docs/control-protocol.md` describes how they are
//! transported.
//!
//! The protocol is level-triggered: an instance's report contains the settings in effect and the last order that it
//! obeyed, and the agent answers with an order for as long as these are not the desired ones. So a message that is
//! lost, late or duplicated does no harm: the next report repairs it.

use crate::Problem;
use crate::change::Traits;
use crate::gate::Counts;
use crate::settings::{Fingerprint, Overlay, check_name};
use madderloom_endpoint_sharing::{EndpointListReports, EndpointListUpdates, MAX_LIST_BYTES};
use madderloom_quota_leases::{Grant, LeaseRequests};
use serde::{Deserialize, Serialize};

/// The version of the protocol; it is part of the path of every request.
pub const VERSION: u32 = 1;
/// The largest message of an instance, in bytes: 64 KiB, and one list of servers, each byte of which may be escaped.
pub const LARGEST_FROM_INSTANCE: usize = (64 << 10) + 2 * MAX_LIST_BYTES;
/// The largest message of the agent to an instance, and of the command line to the agent, in bytes.
pub const LARGEST_ORDER: usize = 8 << 20;
/// The longest reason for a refusal, in bytes.
pub const LONGEST_REASON: usize = 1_024;

/// Orders the agent's orders: by the term of the agent that gave them, then by number. Numbers count the orders to
/// one instance within one term, from 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// The term of the agent; it grows with each of the agent's starts.
    pub term: u64,
    /// The number of the order.
    pub number: u64,
}

/// The identity of one start of an instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Who {
    /// The instance's name.
    pub name: String,
    /// Drawn at random at each start, so that two processes are never taken for one.
    pub start: u64,
    /// Grows with each start; the agent may raise it.
    pub incarnation: u64,
}

impl Who {
    /// Checks the name.
    ///
    /// # Errors
    /// The invalid field.
    pub fn check(&self) -> Result<(), Problem> {
        check_name(&self.name).map_err(|error| Problem {
            field: "name".into(),
            problem: error.to_string(),
        })
    }
}

/// The settings in effect on an instance beside its own file.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Holding {
    /// The revision of the newest change in it; 0 for none.
    pub revision: u64,
    /// The fingerprint of all settings.
    pub overlay: Fingerprint,
}

/// The outcome of an order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The order is in effect in full.
    Applied,
    /// The order was refused and nothing has changed.
    Refused(Problem),
}

/// An instance's answer to the last order that it obeyed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// The stamp of the order.
    pub stamp: Stamp,
    /// The change of the order.
    pub change: String,
    /// The revision of the order.
    pub revision: u64,
    /// The fingerprint of the ordered settings.
    pub overlay: Fingerprint,
    /// The outcome.
    pub outcome: Outcome,
}

/// The agent's order: exactly these settings are to be in effect beside the instance's own file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Order {
    /// The start that the order is for; any other start ignores it.
    pub start: u64,
    /// Its place among all orders.
    pub stamp: Stamp,
    /// The change that the order belongs to; empty where no change is in effect for the instance.
    pub change: String,
    /// The revision of the change.
    pub revision: u64,
    /// All settings.
    pub overlay: Overlay,
}

/// A message of an instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ToAgent {
    /// The instance registers under its name.
    Register(Register),
    /// A heartbeat with the state of the instance.
    Report(Report),
}

impl ToAgent {
    /// The start that the message is from.
    pub fn who(&self) -> &Who {
        match self {
            ToAgent::Register(registration) => &registration.who,
            ToAgent::Report(report) => &report.who,
        }
    }
}

/// An instance's registration.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Register {
    /// The identity of the start.
    pub who: Who,
    /// Its traits.
    #[serde(default)]
    pub traits: Traits,
    /// The greatest known term of an agent. The instance obeys no agent of an earlier term.
    #[serde(default)]
    pub term: u64,
}

/// An instance's heartbeat with its state. It renews the instance's lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Report {
    /// The identity of the start.
    pub who: Who,
    /// The greatest known term of an agent.
    #[serde(default)]
    pub term: u64,
    /// The answer to the last order that this start has obeyed.
    #[serde(default)]
    pub answer: Option<Answer>,
    /// The settings in effect.
    #[serde(default)]
    pub holding: Holding,
    /// The requests of the last window.
    #[serde(default)]
    pub counts: Counts,
    /// The requests for leases of fleet-wide limits; none where the instance takes part in no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub asks: Option<Box<LeaseRequests>>,
    /// The state of the lists that the fleet shares; none where the instance takes part in no list.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tells: Option<Box<EndpointListReports>>,
}

/// A message of the agent to an instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ToInstance {
    /// The registration is accepted.
    Welcome(Welcome),
    /// Another start holds the name.
    Superseded {
        /// The start that the message is for.
        start: u64,
        /// The incarnation that holds the name.
        by: u64,
        /// The delay after which to register again, in microseconds.
        again: u64,
    },
    /// Too many instances register at once.
    Later {
        /// The start that the message is for.
        start: u64,
        /// The delay after which to register again, in microseconds.
        again: u64,
    },
    /// The start is not registered and has to register again.
    Unknown {
        /// The start that the message is for.
        start: u64,
    },
    /// The lease of the name is renewed.
    Renewed {
        /// The start that the message is for.
        start: u64,
        /// The agent's term.
        term: u64,
    },
    /// The settings that are to be in effect.
    Order(Order),
    /// Leases of fleet-wide limits. Sent only to instances that have requested some, and so know the message.
    Lent(Grant),
    /// The lists that the fleet shares. Sent only to instances that have reported theirs, and so know the message.
    Lists(EndpointListUpdates),
}

impl ToInstance {
    /// Whether it says that the start holds its name.
    pub fn is_acceptance(&self) -> bool {
        matches!(self, ToInstance::Welcome(_) | ToInstance::Renewed { .. })
    }

    /// The start that the message is for.
    pub fn start(&self) -> u64 {
        match self {
            ToInstance::Welcome(welcome) => welcome.start,
            ToInstance::Order(order) => order.start,
            ToInstance::Lent(lent) => lent.start,
            ToInstance::Lists(lists) => lists.incarnation,
            ToInstance::Superseded { start, .. }
            | ToInstance::Later { start, .. }
            | ToInstance::Unknown { start }
            | ToInstance::Renewed { start, .. } => *start,
        }
    }
}

/// The agent's answer to an accepted registration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Welcome {
    /// The start that the message is for.
    pub start: u64,
    /// The incarnation from now on: that of the registration, or a greater one.
    pub incarnation: u64,
    /// The agent's term.
    pub term: u64,
    /// The report interval, in microseconds.
    pub every: u64,
    /// The time within which the instance should register again after the agent was unreachable, in microseconds.
    pub spread: u64,
}
