//! The token bucket that admits requests at a leased rate.

use crate::{Capacity, Micros, ONE_REQUEST, UNBOUNDED};

/// One request in the billionths that buckets count: a rate in thousandths a second, multiplied by microseconds.
pub(super) const TOKEN: u128 = 1_000_000_000;

/// A token bucket that fills at a rate up to a burst. It is exact: nothing is rounded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct TokenBucket {
    /// Billionths of a request.
    pub(super) tokens: u128,
    /// When it was last filled.
    pub(super) filled_at: Micros,
}

impl TokenBucket {
    /// A bucket without tokens that fills from a time on.
    pub(super) fn empty(filled_at: Micros) -> Self {
        TokenBucket {
            tokens: 0,
            filled_at,
        }
    }

    /// Adds the tokens that have accumulated until `now`, up to the burst.
    pub(super) fn refill(&mut self, now: Micros, capacity: Capacity) {
        let elapsed = now.saturating_sub(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        let full = u128::from(capacity.burst) * TOKEN / u128::from(ONE_REQUEST);
        let accumulated = u128::from(capacity.rate).saturating_mul(u128::from(elapsed));
        self.tokens = self.tokens.saturating_add(accumulated).min(full);
    }

    /// Takes a token. The error is the delay until there is one, or `None` where there never will be.
    pub(super) fn take(&mut self, now: Micros, capacity: Capacity) -> Result<(), Option<Micros>> {
        if capacity.rate == UNBOUNDED {
            return Ok(());
        }
        self.refill(now, capacity);
        if self.tokens >= TOKEN {
            self.tokens -= TOKEN;
            return Ok(());
        }
        if capacity.rate == 0 || capacity.burst < ONE_REQUEST {
            return Err(None);
        }
        let wait = (TOKEN - self.tokens).div_ceil(u128::from(capacity.rate));
        Err(Some(u64::try_from(wait).unwrap_or(u64::MAX)))
    }
}
