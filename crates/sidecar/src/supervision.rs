//! Background tasks that the process can't do without: one that ends is seen, logged and begun again.

use madderloom_watchdog::{self as watchdog, TaskKind};
use std::future::Future;
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// Waits before a task is begun again: the first, and the longest after doubling.
const WAITS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(5));
/// A task that ran for so long has recovered: it is begun again after the first wait.
const RECOVERED: Duration = Duration::from_secs(30);

/// A task that ends with whoever has this.
pub(super) struct AbortOnDrop(pub(super) JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Runs a task in the present local set and begins it again whenever it ends or panics, 50 ms later at first and 5 s at
/// most, until there is none to begin. What it had in hand is lost; what it is to look after must be kept elsewhere.
pub(super) async fn supervise<F>(kind: TaskKind, what: &str, mut begin: impl FnMut() -> Option<F>)
where
    F: Future<Output = ()> + 'static,
{
    let mut wait = WAITS.0;
    while let Some(task) = begin() {
        let began = Instant::now();
        let mut task = AbortOnDrop(watchdog::spawn(kind, task));
        let how = match (&mut task.0).await {
            Ok(()) => "ended".to_string(),
            Err(problem) => problem.to_string(),
        };
        if began.elapsed() >= RECOVERED {
            wait = WAITS.0;
        }
        tracing::error!(%what, wait_ms = wait.as_millis() as u64, "{what}: {how}; it begins again");
        tokio::time::sleep(wait).await;
        wait = (2 * wait).min(WAITS.1);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::cell::Cell;
    use std::rc::Rc;

    #[test]
    fn a_task_that_ends_or_panics_begins_again_and_ends_with_its_keeper() {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .build()
            .expect("a runtime");
        let (begun, dropped) = (Rc::new(Cell::new(0)), Rc::new(()));
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let (own, held) = (Rc::clone(&begun), Rc::clone(&dropped));
            let keeper = tokio::task::spawn_local(async move {
                supervise(TaskKind::Upkeep, "a test's task", || {
                    own.set(own.get() + 1);
                    let (turn, held) = (own.get(), Rc::clone(&held));
                    Some(async move {
                        assert!(turn != 1, "the first panics");
                        if turn == 3 {
                            std::future::pending::<()>().await;
                        }
                        drop(held);
                    })
                })
                .await;
            });
            let at = Instant::now();
            while begun.get() < 3 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            // 50 ms after the first, and twice that after the second.
            assert!(at.elapsed() >= 3 * WAITS.0);
            keeper.abort();
            while Rc::strong_count(&dropped) > 1 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        });
        assert_eq!(begun.get(), 3);
    }
}
