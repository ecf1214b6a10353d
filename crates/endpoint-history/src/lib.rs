//! History of the endpoints (servers) of one pool, and detection of anomalies in it.
//!
//! [`EndpointHistory`] records completed attempts, changes of the endpoint list, load reports and ejections. The caller
//! passes the current time in; nothing here reads a clock or does I/O. For each endpoint it keeps
//!
//! - a [`Timeline`]: counters in intervals that widen with age, and the latest [`EndpointEvent`]s;
//! - a baseline: the usual share of failures and the usual latency, learned while the endpoint behaves normally, with a
//!   profile by time of day;
//! - sequential tests that compare each attempt with the baseline.
//!
//! [`EndpointHistory::poll_anomalies`] reports an [`Anomaly`] when an endpoint, a zone or the whole fleet deviates from
//! its baseline. The tests are configured by the accepted rate of false alarms, not by thresholds.
//! [`EndpointHistory::evidence`] summarizes which endpoints are partially degraded.
//!
//! The memory for one endpoint is bounded by [`EndpointHistory::max_bytes_per_endpoint`].

mod anomaly;
mod baseline;
mod cusum;
mod evidence;
mod history;
mod input;
mod latency_sketch;
mod recording;
mod settings;
mod timeline;

pub use anomaly::{Anomaly, AnomalyPhase, Fault, Subject};
pub use evidence::Evidence;
pub use history::{EndpointHistory, KnownEndpoint};
pub use input::{CompletedAttempt, EndpointGauges, ListedEndpoint, ReportedLoad, WaitingAttempt};
pub use latency_sketch::LatencySketch;
pub use recording::{RecordedInterval, Recording, RecordingError};
pub use settings::Settings;
pub use timeline::{EndpointEvent, EventRecord, Interval, LoadSample, Timeline, TimelineEntry};

/// A point in time or a duration, in whole microseconds. Points in time never decrease from call to call.
pub type Micros = u64;

/// One second.
pub(crate) const SECOND: Micros = 1_000_000;
/// One hour.
pub(crate) const HOUR: Micros = 3_600 * SECOND;
/// One day.
pub(crate) const DAY: Micros = 24 * HOUR;
