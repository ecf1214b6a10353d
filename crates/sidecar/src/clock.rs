//! The clocks of the process: time for the balancers, in whole microseconds on the monotonic clock, and local time.

use madderloom_balancer::Micros;
use rustix::time::{ClockId, clock_gettime};
use std::cell::Cell;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;
use tz::TimeZone;

/// The time in microseconds on a clock that also runs while the machine is suspended, for what expires after a time. Each
/// call reads the clock; its zero has no meaning.
pub(super) fn boottime() -> Micros {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = Micros::try_from(time.tv_sec).unwrap_or(0);
    seconds
        .saturating_mul(1_000_000)
        .saturating_add(Micros::try_from(time.tv_nsec / 1_000).unwrap_or(0))
}

/// The CPU time that this thread has used.
pub(super) fn thread_cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}

/// The monotonic clock, offset so that it equals Unix time at the start. Unix times from discovery can thus be used without
/// conversion, and later steps of the wall clock have no effect.
pub(super) struct Clock {
    start: Instant,
    unix_start: Micros,
    cache: Cell<CachedTime>,
}

/// The time cached while a task that carries requests is being polled.
#[derive(Clone, Copy)]
enum CachedTime {
    /// No such task is being polled.
    Disabled,
    /// The clock has not been read in this poll.
    Unread,
    /// What the clock read when it was first read in this poll.
    At(Micros),
}

impl Clock {
    pub(super) fn start() -> Self {
        Clock {
            start: Instant::now(),
            unix_start: micros(unix_time()),
            cache: Cell::new(CachedTime::Disabled),
        }
    }

    /// The time. Within [`Clock::with_cached_time`] the clock is read once, so the time may be as old as the current poll
    /// of the task. Elsewhere each call reads the clock.
    pub(super) fn now(&self) -> Micros {
        if let CachedTime::At(now) = self.cache.get() {
            return now;
        }
        let now = self.unix_start + micros(self.start.elapsed());
        if matches!(self.cache.get(), CachedTime::Unread) {
            self.cache.set(CachedTime::At(now));
        }
        now
    }

    /// The time as the clock reads now, also within [`Clock::with_cached_time`], where it replaces the cached time. For checks
    /// right before what must not happen late: the process may have been stopped since the clock was last read.
    pub(super) fn read(&self) -> Micros {
        if !matches!(self.cache.get(), CachedTime::Disabled) {
            self.cache.set(CachedTime::Unread);
        }
        self.now()
    }

    /// Runs one poll of a task, in which the clock is read once.
    pub(super) fn with_cached_time<T>(&self, work: impl FnOnce() -> T) -> T {
        let outer = self.cache.replace(CachedTime::Unread);
        let output = work();
        self.cache.set(outer);
        output
    }

    /// How far the wall clock is ahead of this one, in microseconds: it was set forward, or the machine was suspended for
    /// that time. Negative where the wall clock was set back.
    pub(super) fn wall_clock_offset(&self) -> i64 {
        let (wall, own) = (micros(unix_time()), self.now());
        i64::try_from(wall)
            .unwrap_or(i64::MAX)
            .saturating_sub(i64::try_from(own).unwrap_or(i64::MAX))
    }

    /// The time since the start.
    pub(super) fn uptime(&self) -> Micros {
        micros(self.start.elapsed())
    }

    /// Converts a time of this clock for the runtime's timers.
    pub(super) fn instant(&self, at: Micros) -> Instant {
        // A century is later than any timer and avoids overflow.
        let since_start = at
            .saturating_sub(self.unix_start)
            .min(100 * 365 * 86_400_000_000);
        self.start + Duration::from_micros(since_start)
    }
}

/// The time since the Unix epoch, by the wall clock.
fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

fn micros(span: Duration) -> Micros {
    Micros::try_from(span.as_micros()).unwrap_or(Micros::MAX / 2)
}

/// The time zone in which this process runs. Daily traffic patterns follow local time.
pub(super) struct LocalTimeZone(TimeZone);

impl LocalTimeZone {
    /// Reads the system's time zone; UTC where it cannot be read.
    pub(super) fn read() -> Self {
        LocalTimeZone(TimeZone::local().unwrap_or_else(|_| TimeZone::utc()))
    }

    /// The minute of the current day by the wall clock, from 0 to 1,439.
    pub(super) fn minute_of_day(&self) -> u16 {
        self.minute_of_day_at(i64::try_from(unix_time().as_secs()).unwrap_or(0))
    }

    fn minute_of_day_at(&self, unix_seconds: i64) -> u16 {
        let offset_seconds = self
            .0
            .find_local_time_type(unix_seconds)
            .map_or(0, |local| local.ut_offset());
        // The remainder keeps this below 1,440.
        (unix_seconds
            .saturating_add(i64::from(offset_seconds))
            .rem_euclid(86_400)
            / 60) as u16
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The days of 2026 on which daylight saving time begins and ends in Berlin: one skips an hour, one repeats an hour.
    #[test]
    fn days_of_23_and_25_hours_have_the_minutes_that_a_local_clock_shows() {
        let rule = TimeZone::from_posix_tz("CET-1CEST,M3.5.0,M10.5.0/3").expect("a valid rule");
        let time_zone = LocalTimeZone(rule);
        let hours_of_day = |midnight: i64, hours: i64| -> Vec<u16> {
            (0..hours)
                .map(|hour| time_zone.minute_of_day_at(midnight + hour * 3_600) / 60)
                .collect()
        };
        let spring = hours_of_day(1_774_738_800, 23);
        assert_eq!((&spring[..4], spring[22]), (&[0, 1, 3, 4][..], 23));
        let autumn = hours_of_day(1_792_879_200, 25);
        assert_eq!((&autumn[..5], autumn[24]), (&[0, 1, 2, 2, 3][..], 23));
    }
}
