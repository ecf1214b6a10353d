//! How long the event loop did not run while responses were awaited: the process was stopped, got no processor, or one task
//! kept the thread. A server may have responded meanwhile, so this time says nothing about it.
//!
//! While a response is awaited, the timer task runs at least once in each [`HEARTBEAT_INTERVAL`]. If it runs late, nothing else
//! ran in the meantime either.

use super::process_state::ProcessState;
use madderloom_balancer::Micros;
use std::cell::Cell;
use std::rc::Rc;

/// A stall is measured too short by at most this. A shorter interval wakes the process more often for each request.
const HEARTBEAT_INTERVAL: Micros = 50_000;
/// A heartbeat that is less late than this is no stall: other tasks ran first, or other processes.
const MIN_STALL: Micros = 100_000;

/// Measures stalls of the event loop while responses are awaited.
#[derive(Default)]
pub(super) struct StallDetector {
    /// Responses that are awaited now.
    awaited: Cell<u32>,
    /// When the next heartbeat is due; `None` while no response is awaited.
    heartbeat_due: Cell<Option<Micros>>,
    /// Duration of all stalls that have ended with a heartbeat.
    ended_stalls: Cell<Micros>,
}

/// A moment from which the time that the event loop ran is measured.
#[derive(Clone, Copy)]
pub(super) struct LoopInstant {
    /// The moment by the process's clock.
    pub(super) at: Micros,
    /// Duration of the stalls before it.
    stalled_before: Micros,
}

impl StallDetector {
    /// Duration of all stalls up to `now`, the running one included: after a stall, tasks that read the clock may run before the
    /// late heartbeat.
    pub(super) fn stalled_until(&self, now: Micros) -> Micros {
        let late = self
            .heartbeat_due
            .get()
            .map_or(0, |due| now.saturating_sub(due));
        let running = if late >= MIN_STALL { late } else { 0 };
        self.ended_stalls.get() + running
    }

    /// The moment `now`, to measure from.
    pub(super) fn instant(&self, now: Micros) -> LoopInstant {
        LoopInstant {
            at: now,
            stalled_before: self.stalled_until(now),
        }
    }

    /// The time that the event loop ran between `since` and `now`.
    pub(super) fn elapsed(&self, since: LoopInstant, now: Micros) -> Micros {
        let stalled = self.stalled_until(now).saturating_sub(since.stalled_before);
        now.saturating_sub(since.at).saturating_sub(stalled)
    }

    /// When the timer task has to run next.
    pub(super) fn heartbeat_due(&self) -> Option<Micros> {
        self.heartbeat_due.get()
    }

    /// To be called whenever the timer task runs.
    pub(super) fn heartbeat(&self, now: Micros) {
        self.ended_stalls.set(self.stalled_until(now));
        let due = (self.awaited.get() > 0).then(|| now.saturating_add(HEARTBEAT_INTERVAL));
        self.heartbeat_due.set(due);
    }

    fn response_awaited(&self, now: Micros) {
        self.awaited.set(self.awaited.get() + 1);
        if self.heartbeat_due.get().is_none() {
            self.heartbeat_due
                .set(Some(now.saturating_add(HEARTBEAT_INTERVAL)));
        }
    }
}

/// An awaited response. Stalls are measured while one exists.
pub(super) struct AwaitedResponse {
    process: Rc<ProcessState>,
    since: Cell<LoopInstant>,
}

impl AwaitedResponse {
    /// Starts to wait now.
    pub(super) fn start(process: &Rc<ProcessState>, now: Micros) -> Self {
        let timers = &process.timers;
        timers.stalls.response_awaited(now);
        timers.wake_for_heartbeat();
        AwaitedResponse {
            process: Rc::clone(process),
            since: Cell::new(timers.stalls.instant(now)),
        }
    }

    /// The wait starts over now.
    pub(super) fn restart(&self, now: Micros) {
        self.since.set(self.process.timers.stalls.instant(now));
    }

    /// When the wait started.
    pub(super) fn since(&self) -> Micros {
        self.since.get().at
    }

    /// The time that the event loop has run since the wait started.
    pub(super) fn elapsed(&self, now: Micros) -> Micros {
        self.process.timers.stalls.elapsed(self.since.get(), now)
    }
}

impl Drop for AwaitedResponse {
    fn drop(&mut self) {
        let awaited = &self.process.timers.stalls.awaited;
        awaited.set(awaited.get() - 1);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const START: Micros = 1_000_000;

    #[test]
    fn a_stall_counts_from_the_heartbeat_that_it_delays_and_once() {
        let stalls = StallDetector::default();
        stalls.response_awaited(START);
        let since = stalls.instant(START);
        let resumed = START + HEARTBEAT_INTERVAL + 1_200_000;
        // A task that runs before the late heartbeat, the heartbeat, and a task that runs behind it.
        assert_eq!(stalls.elapsed(since, resumed), HEARTBEAT_INTERVAL);
        stalls.heartbeat(resumed);
        assert_eq!(stalls.elapsed(since, resumed), HEARTBEAT_INTERVAL);
        assert_eq!(
            stalls.elapsed(since, resumed + 2_000),
            HEARTBEAT_INTERVAL + 2_000
        );
    }

    #[test]
    fn a_slow_response_is_charged_whole_while_the_loop_runs() {
        let stalls = StallDetector::default();
        stalls.response_awaited(START);
        let since = stalls.instant(START);
        let mut now = START;
        for _ in 0..20 {
            now += HEARTBEAT_INTERVAL + MIN_STALL - 1;
            stalls.heartbeat(now);
        }
        assert_eq!(stalls.elapsed(since, now), now - START);
    }

    #[test]
    fn an_idle_process_has_no_heartbeat_and_no_stall() {
        let stalls = StallDetector::default();
        assert_eq!(stalls.heartbeat_due(), None);
        assert_eq!(stalls.stalled_until(3_600_000_000), 0);
        stalls.response_awaited(START);
        stalls.awaited.set(0);
        stalls.heartbeat(START + HEARTBEAT_INTERVAL);
        assert_eq!(stalls.heartbeat_due(), None);
    }
}
