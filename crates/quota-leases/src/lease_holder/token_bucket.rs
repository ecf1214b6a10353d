//! The token bucket that admits requests at a leased rate.

use crate::{Amount, Micros, ONE, UNBOUNDED};

/// One request in the billionths that buckets count: a rate in thousandths a second, multiplied by microseconds.
pub(super) const TOKEN: u128 = 1_000_000_000;

/// A token bucket that fills at a rate up to a burst. It is exact: nothing is rounded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Bucket {
    /// Billionths of a request.
    pub(super) tokens: u128,
    /// When it was last filled.
    pub(super) filled_at: Micros,
}

impl Bucket {
    /// Adds the tokens that have accumulated until `now`.
    pub(super) fn refill(&mut self, now: Micros, amount: Amount) {
        let elapsed = now.saturating_sub(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        let full = u128::from(amount.burst) * TOKEN / u128::from(ONE);
        let more = u128::from(amount.rate).saturating_mul(u128::from(elapsed));
        self.tokens = self.tokens.saturating_add(more).min(full);
    }

    /// Takes a token. The error is the delay until there is one, or `None` where there never will be.
    pub(super) fn take(&mut self, now: Micros, amount: Amount) -> Result<(), Option<Micros>> {
        if amount.rate == UNBOUNDED {
            return Ok(());
        }
        self.refill(now, amount);
        if self.tokens >= TOKEN {
            self.tokens -= TOKEN;
            return Ok(());
        }
        if amount.rate == 0 || amount.burst < ONE {
            return Err(None);
        }
        let wait = (TOKEN - self.tokens).div_ceil(u128::from(amount.rate));
        Err(Some(u64::try_from(wait).unwrap_or(u64::MAX)))
    }
}
