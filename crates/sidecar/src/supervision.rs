//! Supervision of background tasks that the process cannot do without: a task that ends is logged and restarted.

use madderloom_watchdog::{self as watchdog, TaskKind};
use std::future::Future;
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// Delay before the first restart. It doubles at each further one.
const MIN_RESTART_DELAY: Duration = Duration::from_millis(50);
/// The longest delay before a restart.
const MAX_RESTART_DELAY: Duration = Duration::from_secs(5);
/// A task that ran for this long counts as healthy: its next restart comes after the first delay again.
const HEALTHY_AFTER: Duration = Duration::from_secs(30);

/// Aborts a task when dropped.
pub(super) struct AbortOnDrop(pub(super) JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Runs a task in the current local set and restarts it whenever it ends or panics, until `start` returns none. State that
/// has to survive a restart must be kept outside the task.
pub(super) async fn supervise<F>(
    kind: TaskKind,
    task_name: &str,
    mut start: impl FnMut() -> Option<F>,
) where
    F: Future<Output = ()> + 'static,
{
    let mut delay = MIN_RESTART_DELAY;
    while let Some(task) = start() {
        let started_at = Instant::now();
        let mut task = AbortOnDrop(watchdog::spawn(kind, task));
        let outcome = match (&mut task.0).await {
            Ok(()) => "ended".to_string(),
            Err(problem) => problem.to_string(),
        };
        if started_at.elapsed() >= HEALTHY_AFTER {
            delay = MIN_RESTART_DELAY;
        }
        tracing::error!(what = %task_name, wait_ms = delay.as_millis() as u64, "{task_name}: {outcome}; restarting");
        tokio::time::sleep(delay).await;
        delay = (2 * delay).min(MAX_RESTART_DELAY);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::cell::Cell;
    use std::rc::Rc;

    #[test]
    fn a_task_that_ends_or_panics_is_restarted_and_is_aborted_with_its_supervisor() {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .build()
            .expect("a runtime");
        let (starts, alive) = (Rc::new(Cell::new(0)), Rc::new(()));
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let (start_count, task_alive) = (Rc::clone(&starts), Rc::clone(&alive));
            let supervisor = tokio::task::spawn_local(async move {
                supervise(TaskKind::Maintenance, "a test's task", || {
                    start_count.set(start_count.get() + 1);
                    let (run, task_alive) = (start_count.get(), Rc::clone(&task_alive));
                    Some(async move {
                        assert!(run != 1, "the first run panics");
                        if run == 3 {
                            std::future::pending::<()>().await;
                        }
                        drop(task_alive);
                    })
                })
                .await;
            });
            let began = Instant::now();
            while starts.get() < 3 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            // 50 ms after the first run, and twice that after the second.
            assert!(began.elapsed() >= 3 * MIN_RESTART_DELAY);
            supervisor.abort();
            while Rc::strong_count(&alive) > 1 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        });
        assert_eq!(starts.get(), 3);
    }
}
