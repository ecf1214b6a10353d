//! Anomalies: deviations of an endpoint, a zone or the fleet from the baseline.

use crate::Micros;
use madderloom_balancer::ServerId;
use serde::Serialize;
use std::fmt;

/// How an endpoint misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Accepted requests fail: error responses, connections reset after the last byte, timeouts. They may have run.
    #[serde(rename = "loses_answers")]
    FailsRequests,
    /// Requests are rejected, or cut off before they were received completely. They did not run and may be retried
    /// elsewhere at once.
    #[serde(rename = "refuses_work")]
    RejectsRequests,
    /// Responses are correct but slower than the baseline.
    Slow,
    /// Responses to large requests are slower than the baseline; those to other requests are not.
    #[serde(rename = "slow_when_heavy")]
    SlowForLargeRequests,
    /// No response at all for longer than chance explains.
    #[serde(rename = "silent")]
    Unresponsive,
    /// The endpoint's load reports contradict the attempts that are in flight there.
    #[serde(rename = "disagrees")]
    InconsistentReports,
}

impl Fault {
    /// A predicate for messages, to be put after the name of the subject.
    pub fn description(self) -> &'static str {
        match self {
            Fault::FailsRequests => "loses answers",
            Fault::RejectsRequests => "refuses work",
            Fault::Slow => "is slow",
            Fault::SlowForLargeRequests => "is slow for heavy requests",
            Fault::Unresponsive => "is silent",
            Fault::InconsistentReports => "reports what does not fit",
        }
    }
}

/// What an anomaly affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Subject {
    /// One endpoint.
    #[serde(rename = "server")]
    Endpoint(#[serde(serialize_with = "serialize_server_id")] ServerId),
    /// Most endpoints of one zone and none elsewhere; the cause may be the network path to the zone.
    Zone(u32),
    /// At least half of all endpoints. No endpoint is preferable then.
    Fleet,
}

impl Subject {
    /// Whether an endpoint of this zone belongs to a group subject. A single endpoint is no group.
    pub(crate) fn is_group_with_zone(self, zone: u32) -> bool {
        match self {
            Subject::Fleet => true,
            Subject::Zone(affected) => affected == zone,
            Subject::Endpoint(_) => false,
        }
    }
}

/// Serializes a server's identifier in its display form, in hexadecimal.
pub(crate) fn serialize_server_id<W: serde::Serializer>(
    server: &ServerId,
    writer: W,
) -> Result<W::Ok, W::Error> {
    writer.collect_str(server)
}

/// Which report of an anomaly this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AnomalyPhase {
    /// The first report.
    Raised,
    /// The anomaly persists, and its share has changed considerably since the last report.
    Updated,
    /// The anomaly is over.
    Cleared,
}

/// A report of a deviation from the baseline, with the evidence for it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Anomaly {
    /// Identifies the anomaly; the same in all of its reports.
    pub number: u64,
    /// What is affected.
    pub subject: Subject,
    /// What is wrong.
    pub fault: Fault,
    /// Index of the only class that is affected; `None` if it isn't limited to one class.
    pub class: Option<u32>,
    /// Most likely time of its begin.
    #[serde(rename = "began")]
    pub started_at: Micros,
    /// Time of this report.
    #[serde(rename = "at")]
    pub reported_at: Micros,
    /// Which report this is.
    pub phase: AnomalyPhase,
    /// Share of bad observations since `started_at`, from 0 to 1. An observation is an attempt, or for slowness a period
    /// of time, which is bad if most of its responses exceed the baseline's limit.
    pub share: f64,
    /// Share of bad observations in the baseline.
    #[serde(rename = "usual")]
    pub baseline_share: f64,
    /// Number of observations since `started_at`.
    pub observations: u32,
}

impl Anomaly {
    /// Describes the anomaly in one line. `name` is the display name of the endpoint or zone (unused for the fleet),
    /// `class` that of the class if it is limited to one.
    pub fn describe(&self, name: &str, class: Option<&str>) -> String {
        let change = match self.phase {
            AnomalyPhase::Raised => "departs from its usual",
            AnomalyPhase::Updated => "still departs from its usual",
            AnomalyPhase::Cleared => "is as usual again",
        };
        let subject = match self.subject {
            Subject::Endpoint(_) => format!("server {name}"),
            Subject::Zone(_) => format!("zone {name}"),
            Subject::Fleet => "the fleet".to_string(),
        };
        let of_class = class
            .map(|class| format!(" for {class}"))
            .unwrap_or_default();
        let fault = self.fault.description();
        let share = 100.0 * self.share;
        let baseline = 100.0 * self.baseline_share;
        let observations = self.observations;
        format!(
            "{subject} {change}: {fault}{of_class} ({share:.1}% of {observations}, usually {baseline:.1}%)"
        )
    }
}

impl fmt::Display for Anomaly {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let class = self.class.map(|class| format!("class {class}"));
        let name = match self.subject {
            Subject::Endpoint(server) => server.to_string(),
            Subject::Zone(zone) => zone.to_string(),
            Subject::Fleet => String::new(),
        };
        f.write_str(&self.describe(&name, class.as_deref()))
    }
}
