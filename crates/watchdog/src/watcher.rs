//! The thread beside the loop: it reports turns that do not end.

use crate::CHECK_INTERVAL;
use crate::monitor::Monitor;
use crate::report;
use crate::task::Mark;
use std::io;
use std::sync::Arc;
use std::sync::mpsc::{RecvTimeoutError, Sender, channel};
use std::time::Duration;

/// The thread at work; it ends soon after this is dropped.
pub(crate) struct Watcher {
    /// The thread waits for its other end, and nothing is ever sent.
    _alive: Sender<()>,
}

/// The turn that was last reported, and how long it is to last until it is reported again.
struct Reported {
    mark: Mark,
    again_at: Duration,
}

impl Watcher {
    pub(crate) fn start(monitor: Arc<Monitor>) -> io::Result<Self> {
        let (alive, ended) = channel::<()>();
        let look_on = move || {
            let mut reported = Reported {
                mark: Mark::IDLE,
                again_at: Duration::ZERO,
            };
            while let Err(RecvTimeoutError::Timeout) = ended.recv_timeout(CHECK_INTERVAL) {
                reported.look(&monitor);
            }
        };
        std::thread::Builder::new()
            .name("watchdog".to_string())
            .spawn(look_on)?;
        Ok(Watcher { _alive: alive })
    }
}

impl Reported {
    /// Reports a turn that goes on: when it is first seen, and each time that it has lasted twice as long.
    fn look(&mut self, monitor: &Monitor) {
        let Some((mark, task, spent)) = monitor.long_turn() else {
            return;
        };
        if self.mark == mark && spent.elapsed < self.again_at {
            return;
        }
        *self = Reported {
            mark,
            again_at: 2 * spent.elapsed,
        };
        monitor.count(mark, spent);
        report::running(task, spent);
    }
}
