//! How the limits of an instance stand, for display.

use crate::{Amount, LeaseHolder, Micros};

/// How one limit stands at this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// The amount that may be used now: that of the lease, or the safe amount.
    pub may: Amount,
    /// The whole limit by the last lease; nothing before the first lease.
    pub whole: Amount,
    /// Whether the instance holds a lease of the limit.
    pub leased: bool,
    /// Requests that are open.
    pub open: u64,
    /// The recent rate of admitted requests, in thousandths a second.
    pub used: u64,
    /// Requests that were denied since the start.
    pub denied: u64,
}

impl LeaseHolder {
    /// The name and standing of each limit.
    pub fn standings(&self, now: Micros) -> impl Iterator<Item = (&str, Standing)> {
        let leased = self.is_leased(now);
        self.limits.iter().map(move |(name, held)| {
            let standing = Standing {
                may: if leased && held.has_lease {
                    held.leased
                } else {
                    held.safe_amount()
                },
                whole: held.whole,
                leased: leased && held.has_lease,
                open: held.open,
                used: held.used,
                denied: held.denied,
            };
            (name.as_str(), standing)
        })
    }
}
