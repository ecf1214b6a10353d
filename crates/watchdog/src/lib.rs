//! Watchdog of a single-threaded event loop: it warns of every turn that takes [`LONG_POLL`] or more.
//!
//! A turn is one poll of one task. While it lasts nothing else on the thread runs, so a task that never awaits stops the
//! whole process without a line in the log. The watchdog names that task.
//!
//! Two mechanisms together, because neither sees everything:
//!
//! - **In the loop.** [`watch`] wraps a task and reads the monotonic clock before and after each poll. Every long turn is
//!   found, with its exact length, but only once it has ended. The hooks of the runtime around a poll would do the same;
//!   they are unstable, and know a task by its number only.
//! - **Beside the loop.** A thread looks every [`CHECK_INTERVAL`] at what the loop has marked as running, and reports a turn that
//!   goes on: at the first look, and again whenever it has lasted twice as long. The loop pays one atomic store for the mark.
//!   The period is far longer than [`LONG_POLL`] because the shorter ones are found in the loop, and an idle process is to
//!   wake up seldom.
//!
//! Each report gives the elapsed time and the processor time of the process meanwhile. A turn that used the processor is
//! *busy*. One that hardly did is *stalled*: the process was stopped, got no processor, or a call blocked. The two are
//! logged and counted apart, so that a stopped process is not taken for one that loops.
//!
//! The watchdog belongs to the thread that [`start`]ed it. On a thread without one, [`spawn`] and [`watch`] add nothing.

mod monitor;
mod report;
mod task;
mod watcher;

pub use monitor::LongPollCounts;
pub use report::Cause;
pub use task::{Task, TaskKind};

use monitor::Monitor;
use std::cell::RefCell;
use std::future::poll_fn;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// A turn that lasts so long or longer is warned of. No task has any business near it: a usual turn takes microseconds,
/// and clients wait out whatever holds the thread.
pub const LONG_POLL: Duration = Duration::from_millis(100);

/// Between two looks of the thread beside the loop.
pub const CHECK_INTERVAL: Duration = Duration::from_secs(1);

thread_local! {
    static MONITOR: RefCell<Option<Arc<Monitor>>> = const { RefCell::new(None) };
}

/// The watchdog of this thread's event loop; it ends when this is dropped.
#[must_use = "the watchdog ends when this is dropped"]
pub struct Watchdog {
    _watcher: Option<watcher::Watcher>,
}

/// Starts the watchdog of this thread's event loop. Tasks that were spawned before are not watched.
///
/// Where its thread cannot be started, only turns that end are reported, and the log says so.
pub fn start() -> Watchdog {
    let monitor = Arc::new(Monitor::new());
    MONITOR.set(Some(Arc::clone(&monitor)));
    let watcher = watcher::Watcher::start(monitor);
    if let Err(problem) = &watcher {
        tracing::warn!(
            "watchdog: its thread cannot be started, turns that never end go unseen: {problem}"
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

/// Spawns a watched task in the present local set.
///
/// # Panics
/// Outside a local set.
pub fn spawn<F>(task: impl Into<Task>, future: F) -> JoinHandle<F::Output>
where
    F: Future + 'static,
    F::Output: 'static,
{
    tokio::task::spawn_local(watch(task.into(), future))
}

/// Has each poll of a future reported that is a long turn. To be used on what is spawned as a task, not within one.
pub fn watch<F: Future>(task: Task, future: F) -> impl Future<Output = F::Output> {
    let monitor = MONITOR.with_borrow(Clone::clone);
    async move {
        let mut future = pin!(future);
        match monitor {
            None => future.await,
            Some(monitor) => {
                poll_fn(|context| {
                    let _turn = monitor.begin_turn(task);
                    future.as_mut().poll(context)
                })
                .await
            }
        }
    }
}

/// What this thread's watchdog has counted; zeros where there is none.
pub fn counts() -> LongPollCounts {
    MONITOR.with_borrow(|monitor| {
        monitor
            .as_ref()
            .map(|monitor| monitor.counts())
            .unwrap_or_default()
    })
}
