//! The messages between an instance and the agent, version 1. `docs/control-protocol.md` describes how they are
//! transported, and the names of their fields.
//!
//! The protocol is level-triggered: an instance's report contains its applied configuration and the last order that
//! it obeyed, and the agent answers with an order for as long as these are not the desired ones. A message that is
//! lost, late or duplicated therefore does no harm: the next report repairs it.
//!
//! A *start* is one process of an instance, from its start to its end. Every message names the start that it is from
//! or for by a random number, so that a message for an earlier process of the same name is ignored.

use crate::Problem;
use crate::health_gate::RequestCounts;
use crate::selector::Attributes;
use crate::settings::{Fingerprint, Overlay, check_name};
use madderloom_endpoint_sharing::{EndpointListReports, EndpointListUpdates, MAX_LIST_BYTES};
use madderloom_quota_leases::{Grant, LeaseRequests};
use serde::{Deserialize, Serialize};

/// The version of the protocol; it is part of the path of every request.
pub const VERSION: u32 = 1;
/// The largest message of an instance, in bytes: 64 KiB, and one list of servers, each byte of which may be escaped.
pub const MAX_REPORT_BYTES: usize = (64 << 10) + 2 * MAX_LIST_BYTES;
/// The largest message of the agent to an instance, and of the command line to the agent, in bytes.
pub const MAX_ORDER_BYTES: usize = 8 << 20;
/// The longest reason for a refusal, in bytes.
pub const MAX_REASON_BYTES: usize = 1_024;

/// The fencing token of an order. Tokens are ordered by the term of the agent that issued them, then by number. An
/// instance obeys no order with a lower token than that of the last order.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FencingToken {
    /// The term of the agent; it grows with each of the agent's starts.
    pub term: u64,
    /// The number of the order, counted from 1 for each instance within one term.
    pub number: u64,
}

/// The identity of one start of an instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceId {
    /// The instance's name.
    pub name: String,
    /// Drawn at random at each start, so that two processes are never taken for one.
    pub start: u64,
    /// Grows with each start; the agent may raise it.
    pub incarnation: u64,
}

impl InstanceId {
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
pub struct AppliedConfiguration {
    /// The revision of the newest change in it; 0 for none.
    pub revision: u64,
    /// The fingerprint of all settings.
    #[serde(rename = "overlay")]
    pub fingerprint: Fingerprint,
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
    /// The fencing token of the order.
    #[serde(rename = "stamp")]
    pub fencing_token: FencingToken,
    /// The change of the order.
    pub change: String,
    /// The revision of the order.
    pub revision: u64,
    /// The fingerprint of the ordered settings.
    #[serde(rename = "overlay")]
    pub fingerprint: Fingerprint,
    /// The outcome.
    pub outcome: Outcome,
}

/// The agent's order: exactly these settings are to be in effect beside the instance's own file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Order {
    /// The start that the order is for; any other start ignores it.
    pub start: u64,
    /// Orders this order among all orders to the instance.
    #[serde(rename = "stamp")]
    pub fencing_token: FencingToken,
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
    pub fn sender(&self) -> &InstanceId {
        match self {
            ToAgent::Register(registration) => &registration.id,
            ToAgent::Report(report) => &report.id,
        }
    }
}

/// An instance's registration.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Register {
    /// The identity of the start.
    #[serde(rename = "who")]
    pub id: InstanceId,
    /// The attributes that selectors match.
    #[serde(default, rename = "traits")]
    pub attributes: Attributes,
    /// The greatest known term of an agent. The instance obeys no agent of an earlier term.
    #[serde(default)]
    pub term: u64,
}

/// An instance's heartbeat with its state. It renews the instance's lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Report {
    /// The identity of the start.
    #[serde(rename = "who")]
    pub id: InstanceId,
    /// The greatest known term of an agent.
    #[serde(default)]
    pub term: u64,
    /// The answer to the last order that this start has obeyed.
    #[serde(default)]
    pub answer: Option<Answer>,
    /// The settings in effect.
    #[serde(default, rename = "holding")]
    pub applied: AppliedConfiguration,
    /// The requests of the last window.
    #[serde(default)]
    pub counts: RequestCounts,
    /// The requests for leases of fleet-wide limits; none where the instance takes part in no limit.
    #[serde(default, rename = "asks", skip_serializing_if = "Option::is_none")]
    pub lease_requests: Option<Box<LeaseRequests>>,
    /// The state of the endpoint lists that the fleet shares; none where the instance takes part in no list.
    #[serde(default, rename = "tells", skip_serializing_if = "Option::is_none")]
    pub endpoint_lists: Option<Box<EndpointListReports>>,
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
        /// The incarnation of the start that holds the name.
        #[serde(rename = "by")]
        holder_incarnation: u64,
        /// The delay after which to register again, in microseconds.
        #[serde(rename = "again")]
        retry_after: u64,
    },
    /// Too many instances register at once.
    #[serde(rename = "later")]
    RetryLater {
        /// The start that the message is for.
        start: u64,
        /// The delay after which to register again, in microseconds.
        #[serde(rename = "again")]
        retry_after: u64,
    },
    /// The start is not registered and has to register again.
    #[serde(rename = "unknown")]
    NotRegistered {
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
    #[serde(rename = "lent")]
    LeaseGrant(Grant),
    /// The endpoint lists that the fleet shares. Sent only to instances that have reported theirs, and so know the
    /// message.
    #[serde(rename = "lists")]
    EndpointLists(EndpointListUpdates),
}

impl ToInstance {
    /// Whether the message says that the start holds its name.
    pub fn is_acceptance(&self) -> bool {
        matches!(self, ToInstance::Welcome(_) | ToInstance::Renewed { .. })
    }

    /// The start that the message is for.
    pub fn start(&self) -> u64 {
        match self {
            ToInstance::Welcome(welcome) => welcome.start,
            ToInstance::Order(order) => order.start,
            ToInstance::LeaseGrant(grant) => grant.start,
            ToInstance::EndpointLists(lists) => lists.incarnation,
            ToInstance::Superseded { start, .. }
            | ToInstance::RetryLater { start, .. }
            | ToInstance::NotRegistered { start }
            | ToInstance::Renewed { start, .. } => *start,
        }
    }

    /// The term of the agent that made the decision in the message; none where the message carries no decision that
    /// lasts.
    pub fn term(&self) -> Option<u64> {
        match self {
            ToInstance::Welcome(welcome) => Some(welcome.term),
            ToInstance::Renewed { term, .. } => Some(*term),
            ToInstance::Order(order) => Some(order.fencing_token.term),
            ToInstance::LeaseGrant(grant) => Some(grant.server.term),
            ToInstance::EndpointLists(lists) => Some(lists.sent_at.term),
            ToInstance::Superseded { .. }
            | ToInstance::RetryLater { .. }
            | ToInstance::NotRegistered { .. } => None,
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
    #[serde(rename = "every")]
    pub report_interval: u64,
    /// The time over which the instance should spread its registration after the agent was unreachable, in
    /// microseconds.
    #[serde(rename = "spread")]
    pub reconnect_window: u64,
}
