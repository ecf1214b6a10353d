//! Fleet-wide limits, and the parts of them that single instances hold.

use madderloom_quota_leases::{Capacity, LimitStatus, ONE_REQUEST, UNBOUNDED};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The capacity of a fleet-wide limit, or of a part of it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CapacityView {
    /// Requests a second. None: the rate is not bounded.
    pub requests_per_second: Option<f64>,
    /// Requests at once. None: bursts are not bounded.
    pub burst: Option<f64>,
    /// Requests in flight at once. None: they are not bounded.
    #[serde(rename = "open")]
    pub in_flight: Option<u64>,
}

impl From<Capacity> for CapacityView {
    fn from(capacity: Capacity) -> Self {
        let bounded = |value: u64| Some(value).filter(|value| *value != UNBOUNDED);
        CapacityView {
            requests_per_second: bounded(capacity.rate).map(from_thousandths),
            burst: bounded(capacity.burst).map(from_thousandths),
            in_flight: bounded(capacity.in_flight),
        }
    }
}

/// How a fleet-wide limit, or an instance's part of one, stands. Rates are those of the recent past, in requests a second.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetLimitView {
    /// The whole limit.
    #[serde(rename = "whole")]
    pub limit: CapacityView,
    /// The capacity that instances may use under leases.
    #[serde(rename = "lent")]
    pub granted: CapacityView,
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
        let is_rate_bounded = status.total.rate != UNBOUNDED;
        let excess = if is_rate_bounded {
            status.admitted_rate.saturating_sub(status.total.rate)
        } else {
            0
        };
        FleetLimitView {
            limit: status.total.into(),
            granted: status.reserved.into(),
            admitted_rate: from_thousandths(status.admitted_rate),
            demand_rate: from_thousandths(status.demand_rate),
            in_flight: status.in_flight,
            excess_rate: from_thousandths(excess),
            instances: status.participants,
            lease_holders: status.lease_holders,
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
    value as f64 / ONE_REQUEST as f64
}
