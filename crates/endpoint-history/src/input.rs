//! What a caller records: attempts, listed endpoints and samples of their load.

use crate::Micros;
use madderloom_balancer::{Outcome, ServerId};

/// An attempt that ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CompletedAttempt {
    /// The endpoint that the attempt was sent to.
    pub server: ServerId,
    /// The request's class, as its index in the settings.
    pub class: u32,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time from sending the attempt to its end, in microseconds.
    pub elapsed: Micros,
    /// The request's size relative to the usual size of its class; 1 if unknown.
    pub relative_size: f64,
}

/// An endpoint as the endpoint list describes it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListedEndpoint {
    /// Its zone, as an index in the settings.
    pub zone: u32,
    /// Its kind of machine. The baseline of a kind is used for endpoints of that kind without a baseline of their own.
    pub machine_kind: u32,
    /// Whether it restarted since it was last listed.
    pub restarted: bool,
    /// Until this time its latency isn't judged, since it is warming up.
    pub warming_up_until: Micros,
}

/// A sample of an endpoint's load as this instance sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointGauges {
    /// Attempts of this instance in flight.
    pub in_flight: u32,
    /// Fraction of the unit interval that the endpoint's region covers.
    pub region_fraction: f64,
    /// The endpoint's last load report; `None` if it sent none.
    pub reported: Option<ReportedLoad>,
}

/// What an endpoint reported about its own load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedLoad {
    /// Requests that the endpoint said it was serving or queueing.
    pub held: f64,
    /// Age of the report, in microseconds.
    pub age: Micros,
}

/// An attempt that waits for a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingAttempt {
    /// The request's class, as its index in the settings.
    pub class: u32,
    /// Time since the attempt was sent, in microseconds.
    pub age: Micros,
}
