//! The watchdog thread, which reports polls that do not end.

use crate::CHECK_INTERVAL;
use crate::monitor::Monitor;
use crate::report;
use crate::task::PollMark;
use std::io;
use std::sync::Arc;
use std::sync::mpsc::{RecvTimeoutError, Sender, channel};
use std::time::Duration;

/// Handle of the watchdog thread, which exits soon after this is dropped.
pub(crate) struct Watcher {
    /// The thread exits once this is dropped; nothing is ever sent.
    _shutdown: Sender<()>,
}

/// The last reported poll and the duration at which it is reported again.
struct LastReport {
    mark: PollMark,
    next_report_at: Duration,
}

impl Watcher {
    pub(crate) fn start(monitor: Arc<Monitor>) -> io::Result<Self> {
        let (shutdown, stopped) = channel::<()>();
        let run = move || {
            let mut last_report = LastReport {
                mark: PollMark::IDLE,
                next_report_at: Duration::ZERO,
            };
            while let Err(RecvTimeoutError::Timeout) = stopped.recv_timeout(CHECK_INTERVAL) {
                last_report.check(&monitor);
            }
        };
        std::thread::Builder::new()
            .name("watchdog".to_string())
            .spawn(run)?;
        Ok(Watcher {
            _shutdown: shutdown,
        })
    }
}

impl LastReport {
    /// Reports a running long poll when it is first seen and each time its duration has doubled.
    fn check(&mut self, monitor: &Monitor) {
        let Some((mark, task, usage)) = monitor.running_long_poll() else {
            return;
        };
        if self.mark == mark && usage.elapsed < self.next_report_at {
            return;
        }
        *self = LastReport {
            mark,
            next_report_at: 2 * usage.elapsed,
        };
        monitor.count(mark, usage);
        report::warn_running(task, usage);
    }
}
