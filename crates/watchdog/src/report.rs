//! Warnings about long polls, and the classification of their cause.

use crate::{LONG_POLL, Task};
use std::fmt;
use std::time::Duration;

/// A long poll with at least this much CPU time counts as busy.
const MIN_BUSY_CPU_TIME: Duration = LONG_POLL.checked_div(2).unwrap();

/// Why a poll took long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It used the CPU: a loop that does not await, or work that should be split.
    Busy,
    /// It hardly used the CPU: the process was stopped, got no CPU time, or a call blocked.
    Stalled,
}

/// Duration of a poll, complete or so far.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PollTime {
    /// Elapsed time by the monotonic clock.
    pub(crate) elapsed: Duration,
    /// CPU time of the whole process meanwhile.
    pub(crate) cpu: Duration,
}

impl PollTime {
    /// Elapsed time and CPU time, both in seconds.
    fn seconds(&self) -> (f64, f64) {
        (self.elapsed.as_secs_f64(), self.cpu.as_secs_f64())
    }
}

impl Cause {
    /// Classifies a long poll by the CPU time that the process used during it.
    pub fn from_cpu_time(cpu: Duration) -> Self {
        if cpu >= MIN_BUSY_CPU_TIME {
            Cause::Busy
        } else {
            Cause::Stalled
        }
    }

    fn explanation(self) -> &'static str {
        match self {
            Cause::Busy => "it used the processor without awaiting",
            Cause::Stalled => "the process was stopped or got no processor, or a call blocked",
        }
    }
}

/// Logs a warning about a long poll that has ended.
#[cold]
pub(crate) fn warn_finished(task: Task, usage: PollTime) {
    let (elapsed, cpu) = usage.seconds();
    warn(
        task,
        usage,
        format_args!("a turn of {task} took {elapsed:.3} s (processor time {cpu:.3} s)"),
    );
}

/// Logs a warning about a long poll that is still running.
#[cold]
pub(crate) fn warn_running(task: Task, usage: PollTime) {
    let (elapsed, cpu) = usage.seconds();
    warn(
        task,
        usage,
        format_args!(
            "held by {task} for {elapsed:.3} s so far (processor time {cpu:.3} s), nothing else is served"
        ),
    );
}

fn warn(task: Task, usage: PollTime, event: fmt::Arguments<'_>) {
    let cause = Cause::from_cpu_time(usage.cpu);
    tracing::warn!(
        %task,
        ?cause,
        elapsed_ms = millis(usage.elapsed),
        processor_ms = millis(usage.cpu),
        "event loop: {event}: {}",
        cause.explanation(),
    );
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_long_poll_is_busy_if_its_cpu_time_is_at_least_half_the_threshold() {
        assert_eq!(Cause::from_cpu_time(Duration::ZERO), Cause::Stalled);
        assert_eq!(
            Cause::from_cpu_time(Duration::from_millis(49)),
            Cause::Stalled
        );
        assert_eq!(Cause::from_cpu_time(Duration::from_millis(50)), Cause::Busy);
        assert_eq!(
            Cause::from_cpu_time(Duration::from_secs(3_600)),
            Cause::Busy
        );
    }
}
