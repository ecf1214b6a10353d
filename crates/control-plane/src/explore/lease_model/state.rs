//! A state of the model: the lease server, the instances, and messages in transit.

use madderloom_quota_leases::{Grant, LeaseHolder, LeaseRequests, LeaseServer};
use std::fmt;

/// One start of an instance.
#[derive(Clone)]
pub(super) struct Instance {
    /// The number of its name.
    pub(super) name: usize,
    pub(super) holder: LeaseHolder,
    /// The number of reports that it has sent.
    pub(super) reports: u8,
    /// Whether another process has taken its name. It sends no more reports.
    pub(super) is_replaced: bool,
    /// The ages of its requests in flight, in steps.
    pub(super) request_ages: Vec<u64>,
    /// Requests a second and in flight that it reports as its demand.
    pub(super) demand: u64,
}

/// A message in transit. Instances are identified by their index.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Message {
    Report {
        from: usize,
        requests: LeaseRequests,
    },
    Grant {
        to: usize,
        grant: Grant,
    },
}

impl Message {
    /// Whether it was sent after the other one between the same two processes in the same direction.
    pub(super) fn is_newer(&self, other: &Message) -> bool {
        match (self, other) {
            (
                Message::Report { from, requests },
                Message::Report {
                    from: other_from,
                    requests: other,
                },
            ) => from == other_from && other.sequence < requests.sequence,
            (
                Message::Grant { to, grant },
                Message::Grant {
                    to: other_to,
                    grant: other,
                },
            ) => to == other_to && (other.server, other.number) < (grant.server, grant.number),
            _ => false,
        }
    }
}

impl fmt::Display for Message {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Message::Report { from, requests } => {
                write!(f, "report {} of {from}", requests.sequence)
            }
            Message::Grant { to, grant } => {
                let capacity = grant
                    .leases
                    .first()
                    .map(|lease| lease.capacity)
                    .unwrap_or_default();
                write!(
                    f,
                    "grant {} of term {} to {to} ({} a second, {} in flight)",
                    grant.number, grant.server.term, capacity.rate, capacity.in_flight
                )
            }
        }
    }
}

/// A state of the model.
#[derive(Clone)]
pub struct LeaseModelState {
    /// The time by an ideal clock, in steps.
    pub(super) ticks: u64,
    pub(super) server: LeaseServer,
    /// The term of the agent.
    pub(super) term: u64,
    pub(super) instances: Vec<Instance>,
    pub(super) messages: Vec<Message>,
    pub(super) demand_changes: u8,
    /// When the limit was lowered, in steps.
    pub(super) lowered_at: Option<u64>,
    /// The level of the leaky bucket that receives each admitted request and drains at the rate of the limit, in
    /// millionths of a request.
    pub(super) bucket_level: u64,
}
