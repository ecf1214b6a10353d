//! The clocks of the process: a monotonic one for leases and timers, and the wall clock for records that people read.

use madderloom_control_plane::{Micros, Time};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The farthest time that a timer is set to, from now. A process never lives for a year, and tokio cannot represent times
/// that are much farther.
const MAX_TIMER: Micros = 365 * 86_400_000_000;

/// The monotonic clock. It starts when it is made; copies of it show the same time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock(Instant);

impl Clock {
    pub(crate) fn new() -> Self {
        Clock(Instant::now())
    }

    /// Microseconds since the start, and one more, because 0 stands for no time at all.
    pub(crate) fn now(&self) -> Micros {
        u64::try_from(self.0.elapsed().as_micros())
            .unwrap_or(u64::MAX)
            .saturating_add(1)
    }

    /// The time on both clocks.
    pub(crate) fn time(&self) -> Time {
        Time {
            now: self.now(),
            wall: unix_millis(),
        }
    }

    /// The instant at which this clock shows `time`, or a year from now where that is sooner.
    pub(crate) fn instant_at(&self, time: Micros) -> tokio::time::Instant {
        let time = time.min(self.now().saturating_add(MAX_TIMER));
        tokio::time::Instant::from_std(self.0 + Duration::from_micros(time))
    }
}

/// The wall clock, in milliseconds since 1970.
pub(crate) fn unix_millis() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// The wall clock, in seconds since 1970.
pub(crate) fn unix_seconds() -> u64 {
    unix_millis() / 1_000
}

/// A seed for random numbers that differs between the starts of a program and between the programs of a machine.
pub(crate) fn random_seed() -> u128 {
    u128::from(unix_millis()) << 32 | u128::from(std::process::id())
}
