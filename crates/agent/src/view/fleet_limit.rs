//! Fleet-wide limits, and the parts of them that single instances hold.

use madderloom_quota_leases::{Amount, LimitStatus, ONE, UNBOUNDED};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The amounts of a fleet-wide limit, or of a part of it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AmountView {
    /// Requests a second. None: the rate is not bounded.
    pub requests_per_second: Option<f64>,
    /// Requests at once. None: bursts are not bounded.
    pub burst: Option<f64>,
    /// Requests in flight at once. None: they are not bounded.
    #[serde(rename = "open")]
    pub in_flight: Option<u64>,
}

impl From<Amount> for AmountView {
    fn from(amount: Amount) -> Self {
        let bounded = |value: u64| Some(value).filter(|value| *value != UNBOUNDED);
        AmountView {
            requests_per_second: bounded(amount.rate).map(from_thousandths),
            burst: bounded(amount.burst).map(from_thousandths),
            in_flight: bounded(amount.open),
        }
    }
}

/// How a fleet-wide limit, or an instance's part of one, stands. Rates are those of the recent past, in requests a second.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetLimitView {
    /// The whole limit.
    #[serde(rename = "whole")]
    pub limit: AmountView,
    /// The amount that instances may use under leases.
    #[serde(rename = "lent")]
    pub granted: AmountView,
    /// The rate of admitted requests.
    #[serde(rename = "used")]
    pub admitted_rate: f64,
    /// The rate of requests, admitted or not.
    #[serde(rename = "wanted")]
    pub demand_rate: f64,
    /// Requests in flight.
    #[serde(rename = "open")]
    pub in_flight: u64,
    /// The rate of admitted requests beyond the limit: bursts, and what instances without a lease admit.
    #[serde(rename = "over")]
    pub excess_rate: f64,
    /// Instances that take part and have reported recently.
    pub instances: usize,
    /// Of these, the instances that hold a lease.
    #[serde(rename = "with_part")]
    pub lease_holders: usize,
}

impl From<LimitStatus> for FleetLimitView {
    fn from(status: LimitStatus) -> Self {
        let is_rate_bounded = status.whole.rate != UNBOUNDED;
        let excess = if is_rate_bounded {
            status.used.saturating_sub(status.whole.rate)
        } else {
            0
        };
        FleetLimitView {
            limit: status.whole.into(),
            granted: status.lent.into(),
            admitted_rate: from_thousandths(status.used),
            demand_rate: from_thousandths(status.wanted),
            in_flight: status.open,
            excess_rate: from_thousandths(excess),
            instances: status.instances,
            lease_holders: status.with_part,
        }
    }
}

/// Views of limits, by their names.
pub(super) fn views(statuses: BTreeMap<String, LimitStatus>) -> BTreeMap<String, FleetLimitView> {
    let views = statuses
        .into_iter()
        .map(|(name, status)| (name, status.into()));
    views.collect()
}

fn from_thousandths(value: u64) -> f64 {
    value as f64 / ONE as f64
}
