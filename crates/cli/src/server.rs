//! What an agent and a relay share as processes: one thread, and the signals.

use madderloom_config_reader::Problem;
use madderloom_pki::Keyring;
use madderloom_watchdog::{self as watchdog, TaskKind};
use std::path::Path;
use std::sync::Arc;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Reads the file of a server. Problems are told with their places, a line each.
///
/// # Errors
/// The file cannot be read, or makes no sense.
pub(crate) fn read_config<T>(
    file: &Path,
    read: impl FnOnce(&str, &Path) -> Result<T, Vec<Problem>>,
) -> Result<T, String> {
    let name = file.display();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
    read(&text, file).map_err(|problems| {
        let lines: Vec<String> = problems
            .iter()
            .map(|problem| format!("{name}:{problem}"))
            .collect();
        lines.join("\n")
    })
}

/// Runs a server on this thread, watched.
///
/// # Errors
/// Those of the server, and that there is no runtime.
pub(crate) fn serve_locally(
    served: impl Future<Output = Result<(), String>>,
) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    let _watchdog = watchdog::start();
    tokio::task::LocalSet::new().block_on(&runtime, served)
}

/// The signals that a server heeds.
pub(crate) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Listens to them from now on; before, each of them would end the process.
    ///
    /// # Errors
    /// What the system says.
    pub(crate) fn listen() -> Result<Self, String> {
        let listen = |kind| signal(kind).map_err(|e| format!("signals: {e}"));
        Ok(Signals {
            terminate: listen(SignalKind::terminate())?,
            interrupt: listen(SignalKind::interrupt())?,
            hangup: listen(SignalKind::hangup())?,
        })
    }

    /// Has these keys read again on SIGHUP, and waits for a signal that stops the server.
    pub(crate) async fn stop(mut self, keyrings: Vec<Arc<Keyring>>) {
        let mut hangup = self.hangup;
        watchdog::spawn(TaskKind::KeyFiles, async move {
            while hangup.recv().await.is_some() {
                keyrings.iter().for_each(|keyring| reload(keyring));
            }
        });
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

fn reload(keyring: &Keyring) {
    match keyring.reload() {
        Ok(_) => tracing::info!("the keys were read again"),
        Err(problem) => tracing::warn!("the keys stay as they were: {problem}"),
    }
}
