//! The status of limits, in total and at single instances, for display.

use super::LeaseServer;
use super::holder_record::HolderRecord;
use super::limit::limit_for;
use crate::{Capacity, Micros};
use std::collections::BTreeMap;

/// The status of a limit, or of one instance's share of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitStatus {
    /// The capacity of the limit.
    pub total: Capacity,
    /// The capacity that may be in use under leases.
    pub reserved: Capacity,
    /// The recent rate of admitted requests, in thousandths a second.
    pub admitted_rate: u64,
    /// The recent rate of requests, admitted or not, in thousandths a second.
    pub demand_rate: u64,
    /// Requests in flight.
    pub in_flight: u64,
    /// Starts of instances that take part and have reported recently.
    pub participants: usize,
    /// The participants that hold a lease.
    pub lease_holders: usize,
}

impl LimitStatus {
    fn without_holders(total: Capacity) -> Self {
        LimitStatus {
            total,
            ..LimitStatus::default()
        }
    }

    /// Adds the status of one holder's share.
    fn add_share(&mut self, share: &LimitStatus) {
        self.reserved = self.reserved.zip_with(share.reserved, u64::saturating_add);
        self.admitted_rate = self.admitted_rate.saturating_add(share.admitted_rate);
        self.demand_rate = self.demand_rate.saturating_add(share.demand_rate);
        self.in_flight = self.in_flight.saturating_add(share.in_flight);
        self.participants += share.participants;
        self.lease_holders += share.lease_holders;
    }
}

impl LeaseServer {
    /// The status of each limit.
    pub fn statuses(&self, now: Micros) -> BTreeMap<String, LimitStatus> {
        let shared_limits = self.limits.iter().filter(|(_, limit)| !limit.per_server);
        let mut statuses: BTreeMap<String, LimitStatus> = shared_limits
            .map(|(name, limit)| (name.clone(), LimitStatus::without_holders(limit.total)))
            .collect();
        for holder in self.holders.values() {
            for (name, share) in self.shares(holder, now) {
                statuses
                    .entry(name)
                    .or_insert(LimitStatus::without_holders(share.total))
                    .add_share(&share);
            }
        }
        statuses
    }

    /// The status of each limit at the instance of this name. Empty where the instance takes part in none.
    pub fn statuses_at(&self, now: Micros, name: &str) -> BTreeMap<String, LimitStatus> {
        let starts = self.holders.values().filter(|holder| holder.name == name);
        starts.flat_map(|holder| self.shares(holder, now)).collect()
    }

    /// The status of a holder's share of each of its limits.
    fn shares(&self, holder: &HolderRecord, now: Micros) -> Vec<(String, LimitStatus)> {
        let is_active = self.is_active(holder, now);
        let status = |name: &String| {
            let limit = limit_for(&self.limits, name)?;
            let request = holder
                .requests
                .get(name)
                .filter(|_| is_active)
                .cloned()
                .unwrap_or_default();
            let has_lease = holder.granted(name, now) != Capacity::ZERO;
            let status = LimitStatus {
                total: limit.total,
                reserved: holder.reserved(name, now, limit.max_request_duration),
                admitted_rate: request.admitted_rate,
                demand_rate: request.demand_rate,
                in_flight: request.in_flight,
                participants: usize::from(is_active),
                lease_holders: usize::from(has_lease && is_active),
            };
            Some((name.clone(), status))
        };
        holder.limits().into_iter().filter_map(status).collect()
    }
}
