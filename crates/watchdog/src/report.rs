//! What is said of a long turn, and which of the two kinds it is.

use crate::{LONG_POLL, Task};
use std::fmt;
use std::time::Duration;

/// Processor time from which on a long turn counts as busy.
const BUSY: Duration = LONG_POLL.checked_div(2).unwrap();

/// Why a turn took long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It used the processor: a loop that does not await, or work that should be done in pieces.
    Busy,
    /// It hardly used the processor: the process was stopped, got no processor, or a call blocked.
    Stalled,
}

/// How long a turn lasted, or has lasted so far.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Spent {
    /// By the monotonic clock.
    pub(crate) elapsed: Duration,
    /// Processor time of the whole process meanwhile.
    pub(crate) processor: Duration,
}

impl Spent {
    /// Both in seconds.
    fn seconds(&self) -> (f64, f64) {
        (self.elapsed.as_secs_f64(), self.processor.as_secs_f64())
    }
}

impl Cause {
    /// By the processor time that the process used in a long turn.
    pub fn from_cpu_time(processor: Duration) -> Self {
        if processor >= BUSY {
            Cause::Busy
        } else {
            Cause::Stalled
        }
    }

    fn explained(self) -> &'static str {
        match self {
            Cause::Busy => "it used the processor without awaiting",
            Cause::Stalled => "the process was stopped or got no processor, or a call blocked",
        }
    }
}

/// Warns of a turn that has ended.
#[cold]
pub(crate) fn ended(task: Task, spent: Spent) {
    let (seconds, used) = spent.seconds();
    warn(
        task,
        spent,
        format_args!("a turn of {task} took {seconds:.3} s (processor time {used:.3} s)"),
    );
}

/// Warns of a turn that goes on.
#[cold]
pub(crate) fn running(task: Task, spent: Spent) {
    let (seconds, used) = spent.seconds();
    warn(
        task,
        spent,
        format_args!(
            "held by {task} for {seconds:.3} s so far (processor time {used:.3} s), nothing else is served"
        ),
    );
}

fn warn(task: Task, spent: Spent, event: fmt::Arguments<'_>) {
    let cause = Cause::from_cpu_time(spent.processor);
    tracing::warn!(
        %task,
        ?cause,
        elapsed_ms = millis(spent.elapsed),
        processor_ms = millis(spent.processor),
        "event loop: {event}: {}",
        cause.explained(),
    );
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_turn_is_busy_from_half_of_the_bound_of_processor_time_on() {
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
