//! A fleet-wide limit as operators configure it.

use crate::{Amount, FAST, Micros, UNBOUNDED, fits};
use std::collections::BTreeMap;

/// A fleet-wide limit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Limit {
    /// The whole limit.
    pub whole: Amount,
    /// The rate that each participating instance receives at least, while the limit suffices for all floors.
    pub floor: u64,
    /// Weights by name of the instance, or by a pattern that [`fits`] it. The first match counts; the weight is 1
    /// without one.
    pub weights: Vec<(String, u64)>,
    /// Whether the limit is divided equally among zones first, and then among the instances of each.
    pub by_zone: bool,
    /// Whether the limit applies to each server separately.
    pub each_server: bool,
    /// The longest time that a request stays open at an instance that does not report, in microseconds.
    pub longest: Micros,
}

impl Limit {
    pub(super) fn weight(&self, name: &str) -> u64 {
        self.weights
            .iter()
            .find(|(pattern, _)| fits(pattern, name))
            .map_or(1, |(_, weight)| (*weight).max(1))
    }

    /// The amount that may be granted in total: the limit less the reserve for clocks that run fast.
    pub(super) fn grantable(&self) -> Amount {
        let Amount { rate, burst, open } = self.whole;
        Amount {
            rate: if rate == UNBOUNDED {
                rate
            } else {
                rate - rate.div_ceil(FAST)
            },
            burst,
            open,
        }
    }

    /// The amount that may be granted to one instance while the others may use `others`.
    pub(super) fn available(&self, others: Amount) -> Amount {
        let remainder = |all: u64, others| {
            if all == UNBOUNDED {
                UNBOUNDED
            } else {
                all.saturating_sub(others)
            }
        };
        self.grantable().with(others, remainder)
    }
}

/// Finds the limit for a name: the limit of that name, or for `limit/server` the limit for each server.
pub(super) fn limit_for<'l>(limits: &'l BTreeMap<String, Limit>, name: &str) -> Option<&'l Limit> {
    match name.split_once('/') {
        Some((limit, _)) => limits.get(limit).filter(|limit| limit.each_server),
        None => limits.get(name).filter(|limit| !limit.each_server),
    }
}
