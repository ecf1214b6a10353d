//! How many requests may come in a second.

use crate::Micros;

/// A token bucket, as the generic cell rate algorithm keeps it (ITU-T I.371, the virtual scheduling form): one time
/// instead of a count, so that it holds without a timer and at any rate.
///
/// The times that go in may jump forward, and stand still; one that goes back is taken as the last.
#[derive(Clone, Debug, PartialEq)]
pub struct Rate {
    /// Between two tokens, in nanoseconds.
    interval: u64,
    /// How far ahead of the time the bucket may be emptied, in nanoseconds.
    tolerance: u64,
    /// When the bucket is full again, in nanoseconds.
    full_at: u64,
    now: u64,
}

impl Rate {
    /// So many requests a second on average, and up to `burst` at once. Rates lie in 0.001..=1e9 (others are
    /// clipped), a burst is at least 1.
    pub fn new(per_second: f64, burst: u32) -> Self {
        let interval = (1e9 / per_second.clamp(1e-3, 1e9)).round() as u64;
        let tolerance = interval.saturating_mul(u64::from(burst.max(1) - 1));
        Rate {
            interval,
            tolerance,
            full_at: 0,
            now: 0,
        }
    }

    /// Takes a token, or says how long it is until there is one.
    pub fn take(&mut self, now: Micros) -> Result<(), Micros> {
        self.now = self.now.max(now.saturating_mul(1_000));
        let early = self.full_at.saturating_sub(self.tolerance);
        if self.now < early {
            return Err((early - self.now).div_ceil(1_000));
        }
        self.full_at = self.full_at.max(self.now).saturating_add(self.interval);
        Ok(())
    }

    /// Takes over another bucket's rate, and keeps what is spent of this one.
    pub fn turn_to(&mut self, other: &Rate) {
        (self.interval, self.tolerance) = (other.interval, other.tolerance);
        self.full_at = self.full_at.min(
            self.now
                .saturating_add(self.tolerance.saturating_add(self.interval)),
        );
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use governor::clock::FakeRelativeClock;
    use governor::{Quota, RateLimiter};
    use proptest::prelude::*;
    use std::num::NonZeroU32;
    use std::time::Duration;

    proptest! {
        /// A well-kept library of the same algorithm, on a clock that is moved by hand, says the same.
        #[test]
        fn it_agrees_with_governor(
            interval_us in 1u64..5_000_000,
            burst in 1u32..50,
            gaps in prop::collection::vec(0u64..3_000_000, 1..200),
        ) {
            let clock = FakeRelativeClock::default();
            let quota = Quota::with_period(Duration::from_micros(interval_us)).expect("it is above 0");
            let quota = quota.allow_burst(NonZeroU32::new(burst).expect("it is above 0"));
            let theirs = RateLimiter::direct_with_clock(quota, clock.clone());
            let mut ours = Rate::new(1e6 / interval_us as f64, burst);
            // Their zero is the start, ours may be any time.
            let mut now = 7_000_000_000;
            for gap in gaps {
                clock.advance(Duration::from_micros(gap));
                now += gap;
                prop_assert_eq!(ours.take(now).is_ok(), theirs.check().is_ok());
            }
        }

        #[test]
        fn no_more_than_the_burst_and_the_rate_pass_in_any_span(
            per_second in 0.01f64..5_000.0,
            burst in 1u32..20,
            gaps in prop::collection::vec(0u64..50_000, 1..200),
        ) {
            let mut rate = Rate::new(per_second, burst);
            let (mut now, mut passed) = (1_000_000, Vec::new());
            for gap in gaps {
                now += gap;
                match rate.take(now) {
                    Ok(()) => passed.push(now),
                    Err(wait) => {
                        // What it says of the wait is true, to the microsecond.
                        prop_assert!(rate.clone().take(now + wait).is_ok());
                        prop_assert!(rate.clone().take(now + wait - 1).is_err());
                    }
                }
            }
            for (at, from) in passed.iter().enumerate() {
                for (more, to) in passed[at..].iter().enumerate() {
                    let most = f64::from(burst) + (to - from) as f64 / 1e6 * per_second;
                    // Intervals are whole nanoseconds.
                    prop_assert!((more + 1) as f64 <= most * 1.000_01 + 1e-3);
                }
            }
        }

        #[test]
        fn no_figure_is_too_odd(per_second: f64, burst: u32, times: Vec<u64>) {
            let mut rate = Rate::new(per_second, burst);
            for now in times {
                let _ = rate.take(now);
                rate.turn_to(&Rate::new(1.0, 1));
            }
        }
    }

    #[test]
    fn a_bucket_that_changes_its_rate_keeps_what_is_spent() {
        let mut rate = Rate::new(10.0, 5);
        for _ in 0..5 {
            assert!(rate.take(1_000_000).is_ok());
        }
        rate.turn_to(&Rate::new(10.0, 5));
        assert_eq!(rate.take(1_000_000), Err(100_000));
        // A debt of minutes does not stay behind when the rate goes up.
        rate.turn_to(&Rate::new(1_000.0, 1));
        assert_eq!(rate.take(1_000_000), Err(1_000));
    }
}
