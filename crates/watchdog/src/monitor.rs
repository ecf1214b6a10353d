//! What the loop marks and measures, and what the thread beside it reads.

use crate::LONG_POLL;
use crate::report::{self, Cause, Spent};
use crate::task::{Mark, Task};
use rustix::time::{ClockId, clock_gettime};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

/// The processor time at the beginning of a turn is known to so many milliseconds: to read it is a system call, which
/// not every turn is to pay.
const SAMPLE_EVERY_MS: u64 = 10;

/// Long turns since the watchdog was started. One that goes on is counted from its first report on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LongPollCounts {
    /// Those that used the processor.
    pub busy: u64,
    /// Those that hardly did.
    pub stalled: u64,
}

/// State shared by the loop and the thread beside it. Each value is read for itself, and one that is a moment old does no harm:
/// no ordering between them is needed.
pub(crate) struct Monitor {
    start: Instant,
    /// The turn that goes on, as a [`Mark`]. Written by the loop.
    running: AtomicU64,
    /// When the processor time was last read before a turn, in milliseconds, and what it was, in microseconds. Written by
    /// the loop.
    sampled_ms: AtomicU64,
    processor_us: AtomicU64,
    /// The last turn that was counted, as a [`Mark`]. Written by both, by a swap.
    counted: AtomicU64,
    busy: AtomicU64,
    stalled: AtomicU64,
}

/// A turn that goes on; it ends when this is dropped, also by a panic of its task.
pub(crate) struct Turn<'a> {
    monitor: &'a Monitor,
    task: Task,
    mark: Mark,
    began: Instant,
}

impl Monitor {
    pub(crate) fn new() -> Self {
        Monitor {
            start: Instant::now(),
            running: AtomicU64::new(Mark::IDLE.word()),
            sampled_ms: AtomicU64::new(0),
            processor_us: AtomicU64::new(processor_us()),
            counted: AtomicU64::new(Mark::IDLE.word()),
            busy: AtomicU64::new(0),
            stalled: AtomicU64::new(0),
        }
    }

    /// Marks a task as running until the turn is dropped. Turns do not nest.
    #[inline]
    pub(crate) fn begin_turn(&self, task: Task) -> Turn<'_> {
        let began = Instant::now();
        let began_ms = millis(began.duration_since(self.start));
        if began_ms >= self.sampled_ms.load(Relaxed) + SAMPLE_EVERY_MS {
            self.sample(began_ms);
        }
        let mark = Mark::new(task, began_ms);
        self.running.store(mark.word(), Relaxed);
        Turn {
            monitor: self,
            task,
            mark,
            began,
        }
    }

    #[cold]
    fn sample(&self, now_ms: u64) {
        self.processor_us.store(processor_us(), Relaxed);
        self.sampled_ms.store(now_ms, Relaxed);
    }

    /// Processor time of the process since shortly before the present turn.
    fn processor(&self) -> Duration {
        Duration::from_micros(processor_us().saturating_sub(self.processor_us.load(Relaxed)))
    }

    /// The turn that goes on and is long, with what it has taken so far.
    pub(crate) fn long_turn(&self) -> Option<(Mark, Task, Spent)> {
        let mark = Mark::from_word(self.running.load(Relaxed));
        let (task, began_ms) = mark.turn()?;
        let elapsed = self
            .start
            .elapsed()
            .saturating_sub(Duration::from_millis(began_ms));
        let spent = Spent {
            elapsed,
            processor: self.processor(),
        };
        // It may have ended meanwhile, and the processor time be that of another.
        let goes_on = self.running.load(Relaxed) == mark.word();
        (elapsed >= LONG_POLL && goes_on).then_some((mark, task, spent))
    }

    /// Counts a long turn once, whoever comes first with it.
    pub(crate) fn count(&self, mark: Mark, spent: Spent) {
        if self.counted.swap(mark.word(), Relaxed) == mark.word() {
            return;
        }
        let counter = match Cause::from_cpu_time(spent.processor) {
            Cause::Busy => &self.busy,
            Cause::Stalled => &self.stalled,
        };
        counter.fetch_add(1, Relaxed);
    }

    pub(crate) fn counts(&self) -> LongPollCounts {
        LongPollCounts {
            busy: self.busy.load(Relaxed),
            stalled: self.stalled.load(Relaxed),
        }
    }

    #[cold]
    fn long_turn_ended(&self, turn: &Turn<'_>, elapsed: Duration) {
        let spent = Spent {
            elapsed,
            processor: self.processor(),
        };
        self.count(turn.mark, spent);
        report::ended(turn.task, spent);
    }
}

impl Drop for Turn<'_> {
    #[inline]
    fn drop(&mut self) {
        self.monitor.running.store(Mark::IDLE.word(), Relaxed);
        let elapsed = self.began.elapsed();
        if elapsed >= LONG_POLL {
            self.monitor.long_turn_ended(self, elapsed);
        }
    }
}

/// Processor time of the process so far, in microseconds.
fn processor_us() -> u64 {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    let [seconds, nanos] = [time.tv_sec, time.tv_nsec].map(|part| u64::try_from(part).unwrap_or(0));
    seconds * 1_000_000 + nanos / 1_000
}

fn millis(span: Duration) -> u64 {
    span.as_secs() * 1_000 + u64::from(span.subsec_millis())
}
