//! One limit at an instance: its lease, its buckets, and the demand for it.

use super::demand_meter::DemandMeter;
use super::token_bucket::TokenBucket;
use crate::{Capacity, InjectedBug, Lease, LeaseRequest, Micros, UNBOUNDED, is_injected};

/// The delay after which a rejected request is worth retrying where nothing better is known: one report, in
/// microseconds.
const DEFAULT_RETRY_DELAY: Micros = 1_000_000;

/// The capacity of one limit that an instance may use while it holds no lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum SafeCapacity {
    /// None: every request is rejected.
    #[default]
    Zero,
    /// A fixed capacity, whatever the limit is.
    Fixed(Capacity),
    /// The limit by the last lease, divided by this number; zero before the first lease.
    Fraction(u64),
}

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the fleet-wide limit has no room{}", if *.without_lease { ": the instance holds no lease" } else { "" })]
pub struct Rejection {
    /// The delay after which the request will be admitted if nothing changes, in microseconds. `None` where that
    /// depends on requests in flight.
    pub retry_after: Option<Micros>,
    /// Whether the instance holds no lease of the limit.
    pub without_lease: bool,
}

/// One limit at this instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct HeldLimit {
    pub(super) safe: SafeCapacity,
    /// The capacity of the lease in the last grant, if that has one. The holder knows whether the grant is valid.
    pub(super) leased: Option<Capacity>,
    /// The capacity of the limit by the last lease of it.
    pub(super) total: Capacity,
    /// Fills under leases.
    pub(super) bucket: TokenBucket,
    /// Fills without a lease, by the safe capacity.
    pub(super) safe_bucket: TokenBucket,
    pub(super) in_flight: u64,
    pub(super) demand: DemandMeter,
    /// Requests rejected since the start.
    pub(super) rejected: u64,
    /// Whether it was created on demand, and is forgotten when it has been idle for [`super::IDLE_TIMEOUT`].
    pub(super) on_demand: bool,
    pub(super) last_request: Micros,
}

impl HeldLimit {
    pub(super) fn new(now: Micros, safe: SafeCapacity, on_demand: bool) -> Self {
        HeldLimit {
            safe,
            leased: None,
            total: Capacity::ZERO,
            bucket: TokenBucket::empty(now),
            safe_bucket: TokenBucket::empty(now),
            in_flight: 0,
            demand: DemandMeter::new(now),
            rejected: 0,
            on_demand,
            last_request: now,
        }
    }

    /// The capacity that may be used without a lease.
    pub(super) fn safe_capacity(&self) -> Capacity {
        match self.safe {
            SafeCapacity::Zero => Capacity::ZERO,
            SafeCapacity::Fixed(capacity) => capacity,
            SafeCapacity::Fraction(divisor) => {
                let fraction = |figure: u64| {
                    if figure == UNBOUNDED {
                        UNBOUNDED
                    } else {
                        figure / divisor.max(1)
                    }
                };
                self.total
                    .zip_with(self.total, |figure, _| fraction(figure))
            }
        }
    }

    /// The capacity of the lease, while the grant that it is in is valid.
    pub(super) fn valid_lease(&self, grant_is_valid: bool) -> Option<Capacity> {
        self.leased.filter(|_| grant_is_valid)
    }

    /// The capacity that may be used now: that of the lease, or the safe capacity.
    pub(super) fn usable(&self, grant_is_valid: bool) -> Capacity {
        self.valid_lease(grant_is_valid)
            .unwrap_or_else(|| self.safe_capacity())
    }

    /// Admits a request, which is in flight from now on, or rejects it.
    pub(super) fn admit(&mut self, now: Micros, grant_is_valid: bool) -> Result<(), Rejection> {
        self.last_request = now;
        self.demand.count_request(self.in_flight);
        match self.take_token(now, grant_is_valid) {
            Ok(()) => {
                self.in_flight += 1;
                self.demand.count_admission();
                Ok(())
            }
            Err(retry_after) => {
                self.rejected += 1;
                Err(Rejection {
                    retry_after,
                    without_lease: self.valid_lease(grant_is_valid).is_none(),
                })
            }
        }
    }

    /// Takes a token of the bucket that applies. The error is the delay to retry after, or `None` where requests in
    /// flight must end first.
    fn take_token(&mut self, now: Micros, grant_is_valid: bool) -> Result<(), Option<Micros>> {
        let usable = self.usable(grant_is_valid);
        if self.in_flight >= usable.in_flight {
            return Err(None);
        }
        let taken = if self.valid_lease(grant_is_valid).is_some() {
            self.bucket.take(now, usable)
        } else {
            // The tokens of a lease are lost when it expires.
            self.bucket = TokenBucket::empty(now);
            self.safe_bucket.take(now, usable)
        };
        taken.map_err(|wait| Some(wait.unwrap_or(DEFAULT_RETRY_DELAY)))
    }

    /// Replaces the lease by that of a new grant, or by none. The tokens of the former lease are kept, up to the new
    /// burst.
    pub(super) fn replace_lease(
        &mut self,
        now: Micros,
        former_grant_is_valid: bool,
        lease: Option<&Lease>,
    ) {
        match self.valid_lease(former_grant_is_valid) {
            Some(former) => self.bucket.refill(now, former),
            None => self.bucket = TokenBucket::empty(now),
        }
        self.leased = lease.map(|lease| lease.capacity);
        if is_injected(InjectedBug::RefillOnGrant) {
            self.bucket.tokens = u128::MAX;
        }
        self.bucket.refill(now, self.leased.unwrap_or_default());
        if let Some(lease) = lease {
            self.total = lease.total;
        }
    }

    /// The request for a lease of this limit in a report that is made now.
    pub(super) fn make_request(
        &mut self,
        now: Micros,
        limit: &str,
        grant_is_valid: bool,
    ) -> LeaseRequest {
        self.demand.measure(now, self.in_flight);
        LeaseRequest {
            limit: limit.to_string(),
            held: self.valid_lease(grant_is_valid).unwrap_or_default(),
            demand_rate: self.demand.demand_rate(),
            demand_in_flight: self.demand.demand_in_flight(),
            in_flight: self.in_flight,
            admitted_rate: self.demand.admitted_rate(),
        }
    }
}
