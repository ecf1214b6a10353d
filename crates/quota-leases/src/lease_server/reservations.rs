//! The capacity of each limit that is reserved for holders: what all of them together may be using.

use super::LeaseServer;
use super::holder_record::HolderRecord;
use super::limit::{Limit, limit_for};
use crate::{Capacity, Micros};
use std::collections::BTreeMap;

/// The most limits with reserved capacity. The limits of single servers count one each.
const MAX_RESERVED_LIMITS: usize = 4_096;

impl LeaseServer {
    /// Releases what is reserved for a holder. Between two allocations the sums may be too high, never too low.
    pub(super) fn release_reservation(&mut self, start: u64, now: Micros) {
        self.update_reservations(start, now, u64::saturating_sub);
    }

    /// Reserves what a holder may be using.
    pub(super) fn reserve(&mut self, start: u64, now: Micros) {
        self.update_reservations(start, now, u64::saturating_add);
    }

    fn update_reservations(&mut self, start: u64, now: Micros, combine: fn(u64, u64) -> u64) {
        let Some(holder) = self.holders.get(&start) else {
            return;
        };
        for name in holder.limits() {
            let Some(limit) = limit_for(&self.limits, name) else {
                continue;
            };
            if self.reserved.len() >= MAX_RESERVED_LIMITS && !self.reserved.contains_key(name) {
                continue;
            }
            let sum = self.reserved.entry(name.clone()).or_default();
            let own = holder.reserved(name, now, limit.max_request_duration);
            *sum = sum.zip_with(own, combine);
        }
    }

    /// Computes the sums of what is reserved anew. Returns the starts of the active participants of each limit.
    pub(super) fn recount_reservations(&mut self, now: Micros) -> BTreeMap<String, Vec<u64>> {
        self.reserved.clear();
        let mut participants: BTreeMap<String, Vec<u64>> = BTreeMap::new();
        for (start, holder) in &self.holders {
            for name in holder.limits() {
                let Some(limit) = limit_for(&self.limits, name) else {
                    continue;
                };
                if self.reserved.len() >= MAX_RESERVED_LIMITS && !self.reserved.contains_key(name) {
                    continue;
                }
                let sum = self.reserved.entry(name.clone()).or_default();
                let own = holder.reserved(name, now, limit.max_request_duration);
                *sum = sum.zip_with(own, u64::saturating_add);
                if self.is_active(holder, now) && holder.requests.contains_key(name) {
                    participants.entry(name.clone()).or_default().push(*start);
                }
            }
        }
        participants
    }

    /// The capacity of a limit that is reserved for all holders together.
    pub(super) fn reserved(&self, limit: &str) -> Capacity {
        self.reserved.get(limit).copied().unwrap_or_default()
    }

    /// The capacity of a limit that may be granted in total; zero where there is no such limit.
    pub(super) fn grantable(&self, limit: &str) -> Capacity {
        limit_for(&self.limits, limit)
            .map(Limit::grantable)
            .unwrap_or_default()
    }

    /// The capacity of a limit that can be granted to a holder beside what is reserved for the others.
    pub(super) fn available(&self, name: &str, holder: &HolderRecord, now: Micros) -> Capacity {
        let Some(limit) = limit_for(&self.limits, name) else {
            return Capacity::ZERO;
        };
        let own = holder.reserved(name, now, limit.max_request_duration);
        let others = self.reserved(name).zip_with(own, u64::saturating_sub);
        limit.available(others)
    }
}
