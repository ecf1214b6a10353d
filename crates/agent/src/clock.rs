//! The two clocks.

use madderloom_control_plane::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The clocks of this process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock(Instant);

impl Clock {
    pub(crate) fn new() -> Self {
        Clock(Instant::now())
    }

    /// Microseconds since the clock was made; the zero is no time at all.
    pub(crate) fn now(&self) -> u64 {
        u64::try_from(self.0.elapsed().as_micros())
            .unwrap_or(u64::MAX)
            .saturating_add(1)
    }

    pub(crate) fn time(&self) -> Time {
        Time {
            now: self.now(),
            wall: wall(),
        }
    }

    /// When the clock shows this.
    pub(crate) fn at(&self, micros: u64) -> tokio::time::Instant {
        // A year from now is never in this process.
        let micros = micros.min(self.now().saturating_add(365 * 86_400_000_000));
        tokio::time::Instant::from_std(self.0 + Duration::from_micros(micros))
    }
}

/// Milliseconds since 1970.
pub(crate) fn wall() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
