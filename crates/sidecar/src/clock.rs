//! Time for the decisions: whole microseconds on the monotonic clock.

use madderloom_balancer::Micros;
use rustix::time::{ClockId, clock_gettime};
use std::cell::Cell;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;
use tz::TimeZone;

/// The time by a clock that also runs while the machine is suspended, by which what holds for a time ends. It is read anew
/// each time; its zero means nothing.
pub(super) fn boottime() -> Micros {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = Micros::try_from(time.tv_sec).unwrap_or(0);
    seconds
        .saturating_mul(1_000_000)
        .saturating_add(Micros::try_from(time.tv_nsec / 1_000).unwrap_or(0))
}

/// The monotonic clock, its zero put so that at the start it reads as Unix time does. Unix times that
/// discovery gives are thus times of this clock as they are, and later steps of the wall clock change nothing.
pub(super) struct Clock {
    start: Instant,
    unix: Micros,
    turn: Cell<Turn>,
}

/// Whether one of the tasks that carry requests is being polled, and what the clock said when it was first asked
/// since that began.
#[derive(Clone, Copy)]
enum Turn {
    Outside,
    Unasked,
    At(Micros),
}

impl Clock {
    pub(super) fn start() -> Self {
        Clock {
            start: Instant::now(),
            unix: micros(unix()),
            turn: Cell::new(Turn::Outside),
        }
    }

    /// The time. Within a turn the clock is read once, so what is given there is as old as the turn at most: the time
    /// that one task runs before it waits again. Elsewhere it is read each time.
    pub(super) fn now(&self) -> Micros {
        if let Turn::At(now) = self.turn.get() {
            return now;
        }
        let now = self.unix + micros(self.start.elapsed());
        if matches!(self.turn.get(), Turn::Unasked) {
            self.turn.set(Turn::At(now));
        }
        now
    }

    /// One turn of a task.
    pub(super) fn with_cached_time<T>(&self, work: impl FnOnce() -> T) -> T {
        let outer = self.turn.replace(Turn::Unasked);
        let done = work();
        self.turn.set(outer);
        done
    }

    /// How far the wall clock is ahead of this one by now, in microseconds: it was put forward, or time went by in which
    /// this machine was suspended. Below 0 where it was put back.
    pub(super) fn wall_clock_offset(&self) -> i64 {
        let (wall, own) = (micros(unix()), self.now());
        i64::try_from(wall)
            .unwrap_or(i64::MAX)
            .saturating_sub(i64::try_from(own).unwrap_or(i64::MAX))
    }

    /// Since the start.
    pub(super) fn uptime(&self) -> Micros {
        micros(self.start.elapsed())
    }

    /// When this time is, for the runtime's timers.
    pub(super) fn instant(&self, at: Micros) -> Instant {
        // A century is further than any timer and nearer than any overflow.
        let ahead = at.saturating_sub(self.unix).min(100 * 365 * 86_400_000_000);
        self.start + Duration::from_micros(ahead)
    }
}

/// Since 1970, by the wall clock.
fn unix() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

fn micros(span: Duration) -> Micros {
    Micros::try_from(span.as_micros()).unwrap_or(Micros::MAX / 2)
}

/// The day of the place where this process runs, as its people know it: what comes every night comes by their clock.
pub(super) struct LocalTimeZone(TimeZone);

impl LocalTimeZone {
    /// By the system's own time zone; by UTC where none can be read.
    pub(super) fn read() -> Self {
        LocalTimeZone(TimeZone::local().unwrap_or_else(|_| TimeZone::utc()))
    }

    /// The minute of the day now, by the wall clock, from 0 to 1,439.
    pub(super) fn minute(&self) -> u16 {
        self.minute_at(i64::try_from(unix().as_secs()).unwrap_or(0))
    }

    fn minute_at(&self, unix: i64) -> u16 {
        let offset = self
            .0
            .find_local_time_type(unix)
            .map_or(0, |kind| kind.ut_offset());
        // Below 1,440 by the remainder.
        (unix.saturating_add(i64::from(offset)).rem_euclid(86_400) / 60) as u16
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The days of 2026 on which the clock of Berlin jumps: each has its minutes, one an hour less, one an hour twice.
    #[test]
    fn days_of_23_and_25_hours_have_the_minutes_that_their_clock_shows() {
        let rule = TimeZone::from_posix_tz("CET-1CEST,M3.5.0,M10.5.0/3").expect("a rule");
        let day = LocalTimeZone(rule);
        let seen = |midnight: i64, hours: i64| -> Vec<u16> {
            (0..hours)
                .map(|hour| day.minute_at(midnight + hour * 3_600) / 60)
                .collect()
        };
        let spring = seen(1_774_738_800, 23);
        assert_eq!((&spring[..4], spring[22]), (&[0, 1, 3, 4][..], 23));
        let autumn = seen(1_792_879_200, 25);
        assert_eq!((&autumn[..5], autumn[24]), (&[0, 1, 2, 2, 3][..], 23));
    }
}
