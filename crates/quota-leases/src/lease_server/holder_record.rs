//! What the server knows of one lease holder: its last report, and the grants that it may still use.

use super::with_drift;
use crate::{Amount, InjectedBug, LeaseRequest, Micros, is_injected};
use std::collections::{BTreeMap, BTreeSet};

/// The most unacknowledged grants to one holder that are tracked separately.
const MAX_OUTSTANDING: usize = 24;

/// A grant that its holder may still use.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct OutstandingGrant {
    pub(super) number: u64,
    /// When the grant has expired for certain, by the server's clock.
    pub(super) expires: Micros,
    pub(super) amounts: BTreeMap<String, Amount>,
}

/// One start of an instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct HolderRecord {
    pub(super) name: String,
    pub(super) zone: String,
    /// The sequence number of its last report.
    pub(super) seq: u64,
    /// When its last report arrived.
    pub(super) last_report: Micros,
    /// The number of the last grant.
    pub(super) number: u64,
    pub(super) requests: BTreeMap<String, LeaseRequest>,
    pub(super) outstanding: Vec<OutstandingGrant>,
    /// Its share of each limit by the last allocation.
    pub(super) target: BTreeMap<String, Amount>,
}

impl HolderRecord {
    /// The greatest amount of a limit that it may be using, and the requests that may be open under it.
    pub(super) fn possibly_used(&self, limit: &str, now: Micros, longest: Micros) -> Amount {
        let open_counts = !is_injected(InjectedBug::ForgetOpen);
        let mut most = Amount::NOTHING;
        let mut last_use = self.last_report;
        for grant in &self.outstanding {
            let Some(amount) = grant.amounts.get(limit) else {
                continue;
            };
            if grant.expires > now {
                most = most.greater(*amount);
            } else if open_counts && grant.expires.saturating_add(with_drift(longest)) > now {
                most.open = most.open.max(amount.open);
            }
            last_use = last_use.max(grant.expires);
        }
        if open_counts && last_use.saturating_add(with_drift(longest)) > now {
            let reported = self.requests.get(limit).map_or(0, |request| request.open);
            most.open = most.open.max(reported);
        }
        most
    }

    /// The limits that it takes part in or may have a lease of.
    pub(super) fn limits(&self) -> BTreeSet<&String> {
        self.requests
            .keys()
            .chain(
                self.outstanding
                    .iter()
                    .flat_map(|grant| grant.amounts.keys()),
            )
            .collect()
    }

    /// The amount of a limit in the newest grant, while that is valid.
    pub(super) fn granted(&self, limit: &str, now: Micros) -> Amount {
        let last = self.outstanding.last().filter(|grant| grant.expires > now);
        last.and_then(|grant| grant.amounts.get(limit))
            .copied()
            .unwrap_or_default()
    }

    /// Adds a grant. Beyond [`MAX_OUTSTANDING`] the two oldest are merged into one that covers both.
    pub(super) fn add_outstanding(&mut self, grant: OutstandingGrant) {
        self.outstanding.push(grant);
        if self.outstanding.len() <= MAX_OUTSTANDING {
            return;
        }
        let first = self.outstanding.remove(0);
        if let Some(second) = self.outstanding.first_mut() {
            second.expires = second.expires.max(first.expires);
            for (limit, amount) in first.amounts {
                let merged = second.amounts.entry(limit).or_default();
                *merged = merged.greater(amount);
            }
        }
    }
}
