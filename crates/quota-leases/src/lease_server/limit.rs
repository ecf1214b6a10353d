//! A fleet-wide limit as operators configure it.

use crate::{Capacity, Micros, RATE_RESERVE_DIVISOR, UNBOUNDED, matches_pattern};
use std::collections::BTreeMap;

/// The weight of the instances whose names match a pattern.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct HolderWeight {
    /// A name, or the beginning of names followed by `*`; see [`matches_pattern`].
    pub pattern: String,
    /// The weight; 0 counts as 1.
    pub weight: u64,
}

/// A fleet-wide limit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Limit {
    /// The capacity of the limit.
    pub total: Capacity,
    /// The rate that each participating instance receives at least, while the limit suffices for all, in thousandths
    /// of a request a second.
    pub min_rate: u64,
    /// Weights by name of the instance. The first match counts; the weight is 1 without one.
    pub weights: Vec<HolderWeight>,
    /// Whether the limit is divided equally among zones first, and then among the instances of each.
    pub by_zone: bool,
    /// Whether the limit applies to each server separately.
    pub per_server: bool,
    /// The longest time that a request stays in flight at an instance that does not report, in microseconds.
    pub max_request_duration: Micros,
}

impl Limit {
    pub(super) fn weight(&self, name: &str) -> u64 {
        self.weights
            .iter()
            .find(|weight| matches_pattern(&weight.pattern, name))
            .map_or(1, |weight| weight.weight.max(1))
    }

    /// The capacity that may be granted in total: the limit less the reserve for clocks that run fast.
    pub(super) fn grantable(&self) -> Capacity {
        let rate = if self.total.rate == UNBOUNDED {
            UNBOUNDED
        } else {
            self.total.rate - self.total.rate.div_ceil(RATE_RESERVE_DIVISOR)
        };
        Capacity { rate, ..self.total }
    }

    /// The capacity that may be granted to one holder while `reserved` is reserved for the others.
    pub(super) fn available(&self, reserved: Capacity) -> Capacity {
        let remainder = |total: u64, reserved: u64| {
            if total == UNBOUNDED {
                UNBOUNDED
            } else {
                total.saturating_sub(reserved)
            }
        };
        self.grantable().zip_with(reserved, remainder)
    }
}

/// Finds the limit for a name: the limit of that name, or for `limit/server` the limit for each server.
pub(super) fn limit_for<'l>(limits: &'l BTreeMap<String, Limit>, name: &str) -> Option<&'l Limit> {
    match name.split_once('/') {
        Some((limit, _)) => limits.get(limit).filter(|limit| limit.per_server),
        None => limits.get(name).filter(|limit| !limit.per_server),
    }
}
