//! Watchdog for a single-threaded event loop. It logs a warning for every poll of a task that takes [`LONG_POLL`] or more.
//!
//! Nothing else on the thread runs during a poll, so a task that never awaits blocks the whole process without a line in
//! the log. The watchdog names that task.
//!
//! Two mechanisms work together because neither detects everything:
//!
//! - **In the event loop.** [`watch`] wraps a task and reads the monotonic clock before and after each poll. It finds every
//!   long poll with its exact duration, but only after the poll has ended. The runtime's poll hooks would do the same, but
//!   they are unstable and identify a task only by its number.
//! - **On a separate thread.** A thread checks every [`CHECK_INTERVAL`] which poll the event loop has marked as running, and
//!   reports a long one at the first check and again whenever its duration has doubled. The mark costs the event loop one
//!   atomic store. The interval is much longer than [`LONG_POLL`] because the event loop finds shorter polls itself and an
//!   idle process should wake up rarely.
//!
//! Each report contains the elapsed time and the CPU time that the process used meanwhile. A long poll that used the CPU is
//! *busy*. One that hardly used it is *stalled*: the process was stopped, got no CPU time, or a call blocked. The two are
//! logged and counted separately, so that a stopped process is not mistaken for one that loops.
//!
//! [`timeout`] does not give up what arrived while the process was stopped.
//!
//! The watchdog belongs to the thread that called [`start`]. On a thread without one, [`spawn`] and [`watch`] add nothing.

mod monitor;
mod report;
mod task;
mod timeout;
mod watcher;

pub use monitor::LongPollCounts;
pub use report::Cause;
pub use task::{Task, TaskKind};
pub use timeout::{Elapsed, timeout};

use monitor::Monitor;
use std::cell::RefCell;
use std::future::poll_fn;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// A poll of at least this duration is reported. A usual poll takes microseconds, and all clients wait while one runs.
pub const LONG_POLL: Duration = Duration::from_millis(100);

/// Interval between two checks of the watchdog thread.
pub const CHECK_INTERVAL: Duration = Duration::from_secs(1);

thread_local! {
    static MONITOR: RefCell<Option<Arc<Monitor>>> = const { RefCell::new(None) };
}

/// The watchdog of this thread's event loop. Dropping it stops the watchdog.
#[must_use = "dropping this stops the watchdog"]
pub struct Watchdog {
    _watcher: Option<watcher::Watcher>,
}

/// Starts the watchdog of this thread's event loop. Tasks spawned earlier are not watched.
///
/// If the watchdog thread cannot be started, this logs a warning, and only polls that end are reported.
pub fn start() -> Watchdog {
    let monitor = Arc::new(Monitor::new());
    MONITOR.set(Some(Arc::clone(&monitor)));
    let watcher = watcher::Watcher::start(monitor);
    if let Err(error) = &watcher {
        tracing::warn!(
            "watchdog: failed to start its thread; polls that never end will not be reported: {error}"
        );
    }
    Watchdog {
        _watcher: watcher.ok(),
    }
}

impl Drop for Watchdog {
    fn drop(&mut self) {
        MONITOR.take();
    }
}

/// Spawns a watched task on the current `LocalSet`.
///
/// # Panics
/// If called outside a `LocalSet`.
pub fn spawn<F>(task: impl Into<Task>, future: F) -> JoinHandle<F::Output>
where
    F: Future + 'static,
    F::Output: 'static,
{
    tokio::task::spawn_local(watch(task.into(), future))
}

/// Wraps a future so that its long polls are reported. For futures that are spawned as a task, not for use inside a task.
pub fn watch<F: Future>(task: Task, future: F) -> impl Future<Output = F::Output> {
    let monitor = MONITOR.with_borrow(Clone::clone);
    async move {
        let mut future = pin!(future);
        match monitor {
            None => future.await,
            Some(monitor) => {
                poll_fn(|context| {
                    let _poll = monitor.begin_poll(task);
                    future.as_mut().poll(context)
                })
                .await
            }
        }
    }
}

/// The long polls that this thread's watchdog has counted; zeros if the thread has no watchdog.
pub fn counts() -> LongPollCounts {
    MONITOR.with_borrow(|monitor| {
        monitor
            .as_ref()
            .map(|monitor| monitor.counts())
            .unwrap_or_default()
    })
}
