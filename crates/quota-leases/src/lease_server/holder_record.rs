//! The server's record of one lease holder: its last report, and the grants that it may still use.

use super::with_drift;
use crate::{Capacity, InjectedBug, LeaseRequest, Micros, is_injected};
use std::collections::{BTreeMap, BTreeSet};

/// The most unacknowledged grants to one holder that are tracked separately. It bounds the memory for a holder that
/// acknowledges none; no measurement stands behind the figure.
const MAX_OUTSTANDING: usize = 24;

/// A grant that its holder may still use.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct OutstandingGrant {
    pub(super) number: u64,
    /// When the grant has expired for certain, by the server's clock.
    pub(super) expires: Micros,
    /// The leased capacity by limit.
    pub(super) leased: BTreeMap<String, Capacity>,
}

/// The record of one start of an instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct HolderRecord {
    /// The instance's name.
    pub(super) name: String,
    pub(super) zone: String,
    /// The sequence number of its last report.
    pub(super) last_sequence: u64,
    /// When its last report arrived.
    pub(super) last_report: Micros,
    /// The number of the last grant.
    pub(super) last_grant: u64,
    /// The requests of its last report by limit.
    pub(super) requests: BTreeMap<String, LeaseRequest>,
    /// Its unexpired or unacknowledged grants, oldest first.
    pub(super) outstanding: Vec<OutstandingGrant>,
    /// Its share of each limit by the last allocation.
    pub(super) target: BTreeMap<String, Capacity>,
}

impl HolderRecord {
    /// The capacity of a limit that must be reserved for the holder: the greatest that it may be using, and the
    /// requests that may be in flight under it.
    pub(super) fn reserved(
        &self,
        limit: &str,
        now: Micros,
        max_request_duration: Micros,
    ) -> Capacity {
        let counts_in_flight = !is_injected(InjectedBug::ForgetInFlight);
        let may_be_in_flight = |last_use: Micros| {
            counts_in_flight && last_use.saturating_add(with_drift(max_request_duration)) > now
        };
        let mut reserved = Capacity::ZERO;
        let mut last_use = self.last_report;
        for grant in &self.outstanding {
            let Some(leased) = grant.leased.get(limit) else {
                continue;
            };
            if grant.expires > now {
                reserved = reserved.component_max(*leased);
            } else if may_be_in_flight(grant.expires) {
                reserved.in_flight = reserved.in_flight.max(leased.in_flight);
            }
            last_use = last_use.max(grant.expires);
        }
        if may_be_in_flight(last_use) {
            let reported = self
                .requests
                .get(limit)
                .map_or(0, |request| request.in_flight);
            reserved.in_flight = reserved.in_flight.max(reported);
        }
        reserved
    }

    /// The limits that it takes part in or may have a lease of.
    pub(super) fn limits(&self) -> BTreeSet<&String> {
        let leased = self
            .outstanding
            .iter()
            .flat_map(|grant| grant.leased.keys());
        self.requests.keys().chain(leased).collect()
    }

    /// The capacity of a limit in the newest grant, while that is valid; zero otherwise.
    pub(super) fn granted(&self, limit: &str, now: Micros) -> Capacity {
        let newest = self.outstanding.last().filter(|grant| grant.expires > now);
        newest
            .and_then(|grant| grant.leased.get(limit))
            .copied()
            .unwrap_or_default()
    }

    /// Adds a grant. Beyond [`MAX_OUTSTANDING`] the two oldest are merged into one that covers both.
    pub(super) fn add_outstanding(&mut self, grant: OutstandingGrant) {
        self.outstanding.push(grant);
        if self.outstanding.len() <= MAX_OUTSTANDING {
            return;
        }
        let oldest = self.outstanding.remove(0);
        if let Some(second) = self.outstanding.first_mut() {
            second.expires = second.expires.max(oldest.expires);
            for (limit, leased) in oldest.leased {
                let merged = second.leased.entry(limit).or_default();
                *merged = merged.component_max(leased);
            }
        }
    }
}
