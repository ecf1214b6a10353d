//! The unit of account of limits and leases: a rate, a burst, and requests in flight.

use serde::{Deserialize, Serialize};

/// The value of a figure that a limit does not bound.
pub const UNBOUNDED: u64 = u64::MAX;
/// One request, in the thousandths that rates and bursts are counted in.
pub const ONE_REQUEST: u64 = 1_000;
/// The greatest rate (thousandths of a request a second) or burst (thousandths of a request): a billion requests. It
/// keeps all products within 128 bits.
pub const MAX_RATE_OR_BURST: u64 = 1_000_000_000_000;

/// The capacity of a limit, or of a lease of a share of it. A figure is [`UNBOUNDED`] where the limit does not bound
/// it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(default)]
pub struct Capacity {
    /// Thousandths of a request a second.
    pub rate: u64,
    /// Thousandths of a request that may be admitted at once.
    pub burst: u64,
    /// Requests in flight at the same time.
    #[serde(rename = "open")]
    pub in_flight: u64,
}

impl Capacity {
    /// No bounds.
    pub const UNBOUNDED: Capacity = Capacity {
        rate: UNBOUNDED,
        burst: UNBOUNDED,
        in_flight: UNBOUNDED,
    };
    /// No capacity.
    pub const ZERO: Capacity = Capacity {
        rate: 0,
        burst: 0,
        in_flight: 0,
    };

    /// Combines each figure with the same figure of `other`.
    pub fn zip_with(self, other: Capacity, combine: impl Fn(u64, u64) -> u64) -> Capacity {
        Capacity {
            rate: combine(self.rate, other.rate),
            burst: combine(self.burst, other.burst),
            in_flight: combine(self.in_flight, other.in_flight),
        }
    }

    /// The lesser of each pair of figures.
    pub fn component_min(self, other: Capacity) -> Capacity {
        self.zip_with(other, u64::min)
    }

    /// The greater of each pair of figures.
    pub fn component_max(self, other: Capacity) -> Capacity {
        self.zip_with(other, u64::max)
    }

    /// Whether at least one figure is greater than the same figure of `other`.
    pub fn exceeds(self, other: Capacity) -> bool {
        self.rate > other.rate || self.burst > other.burst || self.in_flight > other.in_flight
    }
}
