//! The amount of each limit that all holders together may be using.

use super::LeaseServer;
use super::holder_record::HolderRecord;
use super::limit::{Limit, limit_for};
use crate::{Amount, Micros};
use std::collections::BTreeMap;

/// The most limits with outstanding grants. The limits of single servers count one each.
const MAX_TOTALS: usize = 4_096;

impl LeaseServer {
    /// Removes a holder's usage from the totals. Between two allocations the totals may be too high, never too low.
    pub(super) fn subtract_from_totals(&mut self, start: u64, now: Micros) {
        self.update_totals(start, now, u64::saturating_sub);
    }

    /// Adds a holder's usage to the totals.
    pub(super) fn add_to_totals(&mut self, start: u64, now: Micros) {
        self.update_totals(start, now, u64::saturating_add);
    }

    fn update_totals(&mut self, start: u64, now: Micros, combine: fn(u64, u64) -> u64) {
        let Some(holder) = self.holders.get(&start) else {
            return;
        };
        for name in holder.limits() {
            let Some(limit) = limit_for(&self.limits, name) else {
                continue;
            };
            if self.totals.len() < MAX_TOTALS || self.totals.contains_key(name) {
                let total = self.totals.entry(name.clone()).or_default();
                *total = total.with(holder.possibly_used(name, now, limit.longest), combine);
            }
        }
    }

    pub(super) fn total(&self, limit: &str) -> Amount {
        self.totals.get(limit).copied().unwrap_or_default()
    }

    pub(super) fn grantable(&self, limit: &str) -> Amount {
        limit_for(&self.limits, limit)
            .map(Limit::grantable)
            .unwrap_or_default()
    }

    /// The amount of a limit that can be granted to a holder beside what the others may be using.
    pub(super) fn available(&self, name: &str, holder: &HolderRecord, now: Micros) -> Amount {
        let Some(limit) = limit_for(&self.limits, name) else {
            return Amount::NOTHING;
        };
        let own = holder.possibly_used(name, now, limit.longest);
        limit.available(self.total(name).with(own, u64::saturating_sub))
    }

    /// Computes the totals anew. Returns the active participants of each limit.
    pub(super) fn recount_totals(&mut self, now: Micros) -> BTreeMap<String, Vec<u64>> {
        self.totals.clear();
        let mut participants: BTreeMap<String, Vec<u64>> = BTreeMap::new();
        for (start, holder) in &self.holders {
            for name in holder.limits() {
                let Some(limit) = limit_for(&self.limits, name) else {
                    continue;
                };
                if self.totals.len() >= MAX_TOTALS && !self.totals.contains_key(name) {
                    continue;
                }
                let total = self.totals.entry(name.clone()).or_default();
                *total = total.with(
                    holder.possibly_used(name, now, limit.longest),
                    u64::saturating_add,
                );
                if self.is_active(holder, now) && holder.requests.contains_key(name) {
                    participants.entry(name.clone()).or_default().push(*start);
                }
            }
        }
        participants
    }
}
