//! How limits and the shares of single instances stand, for display.

use super::LeaseServer;
use super::holder_record::HolderRecord;
use super::limit::limit_for;
use crate::{Amount, Micros};
use std::collections::BTreeMap;

/// How a limit, or one instance's share of it, stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitStatus {
    /// The whole limit.
    pub whole: Amount,
    /// The amount that may be in use under leases.
    pub lent: Amount,
    /// The recent rate of admitted requests, in thousandths a second.
    pub used: u64,
    /// The recent rate of requests, in thousandths a second.
    pub wanted: u64,
    /// Requests that are open.
    pub open: u64,
    /// Instances that take part and have reported recently.
    pub instances: usize,
    /// Of these, the instances that hold a lease.
    pub with_part: usize,
}

impl LeaseServer {
    /// How each limit stands.
    pub fn views(&self, now: Micros) -> BTreeMap<String, LimitStatus> {
        let mut all: BTreeMap<String, LimitStatus> = BTreeMap::new();
        for (name, limit) in self.limits.iter().filter(|(_, limit)| !limit.each_server) {
            all.insert(
                name.clone(),
                LimitStatus {
                    whole: limit.whole,
                    ..LimitStatus::default()
                },
            );
        }
        for holder in self.holders.values() {
            for (name, share) in self.shares(holder, now) {
                let sum = all.entry(name).or_insert(LimitStatus {
                    whole: share.whole,
                    ..LimitStatus::default()
                });
                sum.lent = sum.lent.with(share.lent, u64::saturating_add);
                sum.used = sum.used.saturating_add(share.used);
                sum.wanted = sum.wanted.saturating_add(share.wanted);
                sum.open = sum.open.saturating_add(share.open);
                sum.instances += share.instances;
                sum.with_part += share.with_part;
            }
        }
        all
    }

    /// How each limit stands at the instance of this name. Empty where the instance takes part in none.
    pub fn views_at(&self, now: Micros, name: &str) -> BTreeMap<String, LimitStatus> {
        let starts = self.holders.values().filter(|holder| holder.name == name);
        starts.flat_map(|holder| self.shares(holder, now)).collect()
    }

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
            let has_lease = holder.granted(name, now) != Amount::NOTHING;
            let status = LimitStatus {
                whole: limit.whole,
                lent: holder.possibly_used(name, now, limit.longest),
                used: request.used,
                wanted: request.wanted,
                open: request.open,
                instances: usize::from(is_active),
                with_part: usize::from(has_lease && is_active),
            };
            Some((name.clone(), status))
        };
        holder.limits().into_iter().filter_map(status).collect()
    }
}
