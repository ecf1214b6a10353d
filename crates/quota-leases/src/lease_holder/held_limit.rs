//! One limit at an instance: its lease, its buckets, and the measured demand.

use super::token_bucket::{Bucket, TOKEN};
use crate::{Amount, Micros, UNBOUNDED};

/// The time over which the rate of requests is averaged, in microseconds. At two requests a second, random variation
/// alone moves the average by a third.
const AVERAGING_TIME: u64 = 6_000_000;
/// The recent maximum of open requests decays by this factor from one report to the next (7/10).
const OPEN_DECAY: (u64, u64) = (7, 10);
/// The shortest time between two measurements, in microseconds. A report that is made sooner repeats the last one.
const SHORTEST_MEASUREMENT: Micros = 200_000;

/// The amount of one limit that an instance may use while it holds no lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Safe {
    /// Nothing.
    #[default]
    Nothing,
    /// A fixed amount, whatever the limit is.
    Fixed(Amount),
    /// The limit by the last lease, divided by this number; nothing before the first lease.
    Part(u64),
}

/// One limit at this instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct HeldLimit {
    pub(super) safe: Safe,
    /// Whether the last grant contains a lease of the limit, and its amount.
    pub(super) has_lease: bool,
    pub(super) leased: Amount,
    /// The whole limit, by the last lease of it.
    pub(super) whole: Amount,
    /// Fills under leases.
    pub(super) bucket: Bucket,
    /// Fills without a lease, by the safe amount.
    pub(super) safe_bucket: Bucket,
    pub(super) open: u64,
    /// Requests since the last measurement.
    pub(super) requested: u64,
    /// Requests admitted since the last measurement.
    pub(super) admitted: u64,
    /// The most requests that were open at once, or would have been, since the last measurement.
    pub(super) peak_open: u64,
    pub(super) measured_at: Micros,
    pub(super) wanted: u64,
    pub(super) wanted_open: u64,
    pub(super) used: u64,
    pub(super) denied: u64,
    /// Whether it was created on demand, and is forgotten when it has been idle for [`IDLE_TIME`].
    pub(super) on_demand: bool,
    pub(super) last_request: Micros,
}

impl HeldLimit {
    pub(super) fn new(now: Micros, safe: Safe, on_demand: bool) -> Self {
        let bucket = Bucket {
            tokens: 0,
            filled_at: now,
        };
        HeldLimit {
            safe,
            has_lease: false,
            leased: Amount::NOTHING,
            whole: Amount::NOTHING,
            bucket,
            safe_bucket: bucket,
            open: 0,
            requested: 0,
            admitted: 0,
            peak_open: 0,
            measured_at: now,
            wanted: 0,
            wanted_open: 0,
            used: 0,
            denied: 0,
            on_demand,
            last_request: now,
        }
    }

    /// The amount that may be used without a lease.
    pub(super) fn safe_amount(&self) -> Amount {
        match self.safe {
            Safe::Nothing => Amount::NOTHING,
            Safe::Fixed(amount) => amount,
            Safe::Part(divisor) => {
                let part = |whole: u64| {
                    if whole == UNBOUNDED {
                        UNBOUNDED
                    } else {
                        whole / divisor.max(1)
                    }
                };
                self.whole.with(self.whole, |whole, _| part(whole))
            }
        }
    }

    /// Measures the requests since the last measurement.
    pub(super) fn measure(&mut self, now: Micros) {
        let elapsed = now.saturating_sub(self.measured_at);
        if elapsed < SHORTEST_MEASUREMENT {
            return;
        }
        let per_second = |count: u64| {
            let rate = u128::from(count) * TOKEN / u128::from(elapsed);
            u64::try_from(rate).unwrap_or(u64::MAX).min(crate::MOST)
        };
        let averaged = |former: u64, present: u64| {
            let (former, present) = (u128::from(former), u128::from(present));
            let weight = u128::from(elapsed.min(AVERAGING_TIME));
            let total = u128::from(AVERAGING_TIME);
            u64::try_from((former * (total - weight) + present * weight) / total)
                .unwrap_or(u64::MAX)
        };
        // A rate beyond random variation (two standard deviations) counts at once.
        let certain = self
            .requested
            .saturating_sub(2 * (self.requested + 1).isqrt());
        self.wanted = averaged(self.wanted, per_second(self.requested)).max(per_second(certain));
        self.wanted_open = self
            .peak_open
            .max(self.wanted_open / OPEN_DECAY.1 * OPEN_DECAY.0);
        self.used = averaged(self.used, per_second(self.admitted));
        self.requested = 0;
        self.admitted = 0;
        self.peak_open = self.open;
        self.measured_at = now;
    }
}
