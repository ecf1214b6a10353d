//! Starts and ends the drain of the process: applies the decisions of its lifecycle state to the listeners.

use super::process_state::ProcessState;
use madderloom_admin::lifecycle::State;
use madderloom_watchdog::{self as watchdog, TaskKind};
use std::rc::Rc;
use std::time::Duration;

/// Interval at which idle client connections are checked during a drain.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Starts a drain; does nothing if the process is draining already or stopping.
pub(super) fn begin(process: &Rc<ProcessState>) {
    if !process
        .lifecycle
        .borrow_mut()
        .start_draining(process.clock.now())
    {
        return;
    }
    tracing::info!("draining: this instance should get no new work");
    let process = Rc::clone(process);
    watchdog::spawn(TaskKind::Drain, async move {
        loop {
            tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
            let lifecycle = process.lifecycle.borrow().clone();
            if !matches!(lifecycle.state(), State::Draining { .. }) {
                return;
            }
            if let Some(since) = lifecycle.idle_close_cutoff(process.clock.now()) {
                process
                    .listeners
                    .borrow()
                    .iter()
                    .for_each(|listener| listener.clients.close_idle(since));
            }
        }
    });
}

/// Ends a drain; does nothing if there is none.
pub(super) fn end(process: &ProcessState) {
    if process.lifecycle.borrow_mut().rejoin() {
        tracing::info!("drain ended: this instance takes work again");
    }
}
