//! The status of the limits at an instance, for display.

use crate::{Capacity, LeaseHolder, Micros};

/// The status of one limit at an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLimitStatus {
    /// The capacity that may be used now: that of the lease, or the safe capacity.
    pub usable: Capacity,
    /// The capacity of the limit by the last lease; zero before the first lease.
    pub total: Capacity,
    /// Whether the instance holds a lease of the limit.
    pub has_lease: bool,
    /// Requests in flight.
    pub in_flight: u64,
    /// The recent rate of admitted requests, in thousandths a second.
    pub admitted_rate: u64,
    /// Requests rejected since the start.
    pub rejected: u64,
}

impl LeaseHolder {
    /// The name and status of each limit.
    pub fn statuses(&self, now: Micros) -> impl Iterator<Item = (&str, HeldLimitStatus)> {
        let grant_is_valid = self.has_valid_grant(now);
        self.limits.iter().map(move |(name, held)| {
            let status = HeldLimitStatus {
                usable: held.usable(grant_is_valid),
                total: held.total,
                has_lease: held.valid_lease(grant_is_valid).is_some(),
                in_flight: held.in_flight,
                admitted_rate: held.demand.admitted_rate(),
                rejected: held.rejected,
            };
            (name.as_str(), status)
        })
    }
}
