//! Events in the life of an endpoint.

use crate::Micros;
use madderloom_balancer::Outcome;

/// Something that happened to an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointEvent {
    /// It was added to the endpoint list, for the first time or again.
    Joined,
    /// It restarted.
    Restarted,
    /// Another endpoint was listed with its address.
    AddressTaken,
    /// It is draining: it finishes what it has and takes no new requests.
    Draining,
    /// It takes new requests again after draining.
    Ready,
    /// It was removed from the endpoint list.
    Left,
    /// The decision module ejected it, since attempts there ended with this outcome.
    Ejected(Outcome),
    /// A trial request was sent to it while it was ejected.
    TrialSent,
    /// The decision module restored it after a successful trial.
    Restored,
    /// The anomaly of this number was raised.
    AnomalyRaised(u64),
    /// The anomaly of this number was cleared.
    AnomalyCleared(u64),
}

/// An event with its time. An event that repeats without another in between has one record.
#[derive(Clone, Debug, PartialEq)]
pub struct EventRecord {
    /// What happened.
    pub event: EndpointEvent,
    /// When it happened first.
    pub first_at: Micros,
    /// When it happened last.
    pub last_at: Micros,
    /// How often it happened. Saturates.
    pub count: u32,
}

impl EventRecord {
    /// The record of an event that happened once.
    pub(super) fn first(now: Micros, event: EndpointEvent) -> Self {
        EventRecord {
            event,
            first_at: now,
            last_at: now,
            count: 1,
        }
    }
}
