//! Evidence of partial degradation, for the decision module.

use crate::Micros;
use crate::anomaly::serialize_server_id;
use madderloom_balancer::ServerId;
use serde::Serialize;

/// What the history knows about an endpoint that is likely degraded.
///
/// Evidence is statistical. It may lower an endpoint's weight; it never proves that a request did not run, so no request
/// may be retried because of it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Evidence {
    /// The endpoint.
    #[serde(serialize_with = "serialize_server_id")]
    pub server: ServerId,
    /// Index of the only class that fails; `None` if failures aren't limited to one class.
    pub class: Option<u32>,
    /// Share of attempts (of that class) that fail although they may have run, from 0 to 1; 0 if not above the baseline.
    #[serde(rename = "loses")]
    pub failed_share: f64,
    /// Share of attempts that are provably not executed, from 0 to 1; 0 if not above the baseline.
    #[serde(rename = "refuses")]
    pub rejected_share: f64,
    /// Whether an anomaly of its latency is active.
    #[serde(rename = "slow")]
    pub is_slow: bool,
    /// Confidence from 0 to 1; 1 while an anomaly is active.
    pub confidence: f64,
    /// Time of the latest observation that this rests on.
    #[serde(rename = "at")]
    pub last_observed_at: Micros,
    /// Whether the whole zone or fleet is affected, so that there is no reason to prefer another endpoint there.
    #[serde(rename = "shared")]
    pub is_shared: bool,
}
