//! The story of each server: what happened there, in steps that widen with age, and an event where a server departs
//! from what is usual for it.
//!
//! [`EndpointHistory`] is told of attempts and happenings with the time passed in, and reads no clock. Its memory for each
//! server is fixed ([`EndpointHistory::bytes_for_each_server`]). A departure is found by sequential tests whose setting is a
//! rate of false alarms, not a threshold; what is usual is learned, by the time of day as well. What the story knows
//! of servers that are half well goes to the decision module as [`Evidence`].

mod departure;
mod detector;
mod line;
mod recording;
mod sketch;
mod story;
mod usual;

pub use departure::{Anomaly, AnomalyPhase, Evidence, Fault, Subject};
pub use line::{EndpointEvent, EventRecord, Interval, Timeline};
pub use recording::{RecordedInterval, Recording};
pub use sketch::LatencySketch;
pub use story::{CompletedAttempt, EndpointGauges, EndpointHistory, ListedEndpoint, Settings};

/// A time, or a span of time, in whole microseconds. Times only ever grow.
pub type Micros = u64;

/// A second.
pub(crate) const S: Micros = 1_000_000;
