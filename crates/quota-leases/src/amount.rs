//! Amounts: shares of a limit, or the whole limit.

use serde::{Deserialize, Serialize};

/// The value of a figure that a limit does not bound.
pub const UNBOUNDED: u64 = u64::MAX;
/// One request, in the thousandths that rates and bursts are counted in.
pub const ONE: u64 = 1_000;

/// A share of a limit, or the whole limit. A figure is [`UNBOUNDED`] where the limit does not bound it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(default)]
pub struct Amount {
    /// Thousandths of a request a second.
    pub rate: u64,
    /// Thousandths of a request that may be admitted at once.
    pub burst: u64,
    /// Requests open at the same time.
    pub open: u64,
}

impl Amount {
    /// No bounds.
    pub const UNBOUNDED: Amount = Amount {
        rate: UNBOUNDED,
        burst: UNBOUNDED,
        open: UNBOUNDED,
    };
    /// Nothing.
    pub const NOTHING: Amount = Amount {
        rate: 0,
        burst: 0,
        open: 0,
    };

    /// Combines each figure with that of `other`.
    pub fn with(self, other: Amount, combine: impl Fn(u64, u64) -> u64) -> Amount {
        Amount {
            rate: combine(self.rate, other.rate),
            burst: combine(self.burst, other.burst),
            open: combine(self.open, other.open),
        }
    }

    /// The lesser of each pair of figures.
    pub fn lesser(self, other: Amount) -> Amount {
        self.with(other, u64::min)
    }

    /// The greater of each pair of figures.
    pub fn greater(self, other: Amount) -> Amount {
        self.with(other, u64::max)
    }

    /// Whether at least one figure is greater than that of `other`.
    pub fn exceeds(self, other: Amount) -> bool {
        self.rate > other.rate || self.burst > other.burst || self.open > other.open
    }
}
