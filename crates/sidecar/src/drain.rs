//! The drain of the process and its end: what the duty decides, carried out on the listeners.

use super::process_state::ProcessState;
use madderloom_admin::duty::State;
use madderloom_watchdog::{self as watchdog, TaskKind};
use std::rc::Rc;
use std::time::Duration;

/// Between looks after what lies idle while it drains.
const LOOK: Duration = Duration::from_millis(50);

/// Begins a drain. One that goes on already goes on.
pub(super) fn begin(process: &Rc<ProcessState>) {
    if !process
        .lifecycle
        .borrow_mut()
        .lame_duck(process.clock.now())
    {
        return;
    }
    tracing::info!("draining: no new work is wanted");
    let process = Rc::clone(process);
    watchdog::spawn(TaskKind::Drain, async move {
        loop {
            tokio::time::sleep(LOOK).await;
            let duty = process.lifecycle.borrow().clone();
            if !matches!(duty.state(), State::Draining { .. }) {
                return;
            }
            if let Some(since) = duty.closes_idle_since(process.clock.now()) {
                process
                    .listeners
                    .borrow()
                    .iter()
                    .for_each(|listener| listener.clients.close_idle(since));
            }
        }
    });
}

/// Ends a drain; nothing where there is none.
pub(super) fn end(process: &ProcessState) {
    if process.lifecycle.borrow_mut().rejoin() {
        tracing::info!("back to work");
    }
}
