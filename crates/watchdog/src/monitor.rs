//! State that the event loop writes and the watchdog thread reads.

use crate::LONG_POLL;
use crate::report::{self, Cause, PollTime};
use crate::task::{PollMark, Task};
use rustix::time::{ClockId, clock_gettime};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

/// Minimum time between two samples of the CPU time. Reading it is a system call, which would be too expensive before
/// every poll.
const CPU_SAMPLE_INTERVAL_MS: u64 = 10;

/// Long polls since the watchdog was started. A running poll is counted when it is first reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LongPollCounts {
    /// Long polls that used the CPU.
    pub busy: u64,
    /// Long polls that hardly used the CPU.
    pub stalled: u64,
}

/// State shared by the event loop and the watchdog thread. Each value is read independently and may be slightly stale, so
/// relaxed ordering suffices.
pub(crate) struct Monitor {
    start: Instant,
    /// The running poll as a [`PollMark`]. Written by the event loop.
    running: AtomicU64,
    /// When the CPU time was last sampled before a poll, in milliseconds since `start`. Written by the event loop.
    sampled_ms: AtomicU64,
    /// CPU time of the process at that sample, in microseconds. Written by the event loop.
    sampled_cpu_us: AtomicU64,
    /// The last counted poll as a [`PollMark`]. Both threads write it with a swap.
    last_counted: AtomicU64,
    busy: AtomicU64,
    stalled: AtomicU64,
}

/// A running poll. It ends when this is dropped, also if the task panics.
pub(crate) struct RunningPoll<'a> {
    monitor: &'a Monitor,
    task: Task,
    mark: PollMark,
    started_at: Instant,
}

impl Monitor {
    pub(crate) fn new() -> Self {
        Monitor {
            start: Instant::now(),
            running: AtomicU64::new(PollMark::IDLE.word()),
            sampled_ms: AtomicU64::new(0),
            sampled_cpu_us: AtomicU64::new(cpu_time_us()),
            last_counted: AtomicU64::new(PollMark::IDLE.word()),
            busy: AtomicU64::new(0),
            stalled: AtomicU64::new(0),
        }
    }

    /// Marks a task as running until the returned guard is dropped. Polls do not nest.
    #[inline]
    pub(crate) fn begin_poll(&self, task: Task) -> RunningPoll<'_> {
        let started_at = Instant::now();
        let started_ms = millis(started_at.duration_since(self.start));
        if started_ms >= self.sampled_ms.load(Relaxed) + CPU_SAMPLE_INTERVAL_MS {
            self.sample_cpu_time(started_ms);
        }
        let mark = PollMark::new(task, started_ms);
        self.running.store(mark.word(), Relaxed);
        RunningPoll {
            monitor: self,
            task,
            mark,
            started_at,
        }
    }

    #[cold]
    fn sample_cpu_time(&self, now_ms: u64) {
        self.sampled_cpu_us.store(cpu_time_us(), Relaxed);
        self.sampled_ms.store(now_ms, Relaxed);
    }

    /// CPU time used by the process since the last sample, which was taken shortly before the current poll.
    fn cpu_time_since_sample(&self) -> Duration {
        Duration::from_micros(cpu_time_us().saturating_sub(self.sampled_cpu_us.load(Relaxed)))
    }

    /// The running poll with its time so far, if it is long.
    pub(crate) fn running_long_poll(&self) -> Option<(PollMark, Task, PollTime)> {
        let mark = PollMark::from_word(self.running.load(Relaxed));
        let (task, started_ms) = mark.task_and_start()?;
        let elapsed = self
            .start
            .elapsed()
            .saturating_sub(Duration::from_millis(started_ms));
        let usage = PollTime {
            elapsed,
            cpu: self.cpu_time_since_sample(),
        };
        // If the poll has ended meanwhile, the CPU time may belong to another poll.
        let still_running = self.running.load(Relaxed) == mark.word();
        (elapsed >= LONG_POLL && still_running).then_some((mark, task, usage))
    }

    /// Counts a long poll once, whichever thread reports it first.
    pub(crate) fn count(&self, mark: PollMark, usage: PollTime) {
        if self.last_counted.swap(mark.word(), Relaxed) == mark.word() {
            return;
        }
        let counter = match Cause::from_cpu_time(usage.cpu) {
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
    fn record_finished_long_poll(&self, poll: &RunningPoll<'_>, elapsed: Duration) {
        let usage = PollTime {
            elapsed,
            cpu: self.cpu_time_since_sample(),
        };
        self.count(poll.mark, usage);
        report::warn_finished(poll.task, usage);
    }
}

impl Drop for RunningPoll<'_> {
    #[inline]
    fn drop(&mut self) {
        self.monitor.running.store(PollMark::IDLE.word(), Relaxed);
        let elapsed = self.started_at.elapsed();
        if elapsed >= LONG_POLL {
            self.monitor.record_finished_long_poll(self, elapsed);
        }
    }
}

/// CPU time of the process so far, in microseconds.
fn cpu_time_us() -> u64 {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    let [seconds, nanos] = [time.tv_sec, time.tv_nsec].map(|part| u64::try_from(part).unwrap_or(0));
    seconds * 1_000_000 + nanos / 1_000
}

fn millis(span: Duration) -> u64 {
    span.as_secs() * 1_000 + u64::from(span.subsec_millis())
}
