//! The lab as its own child: one command is enough on a fresh clone, so the lab can start itself as a sidecar or as
//! the bare pass-through that a sidecar is measured against.

use madderloom_sidecar::{Config, Sidecar};
use rustix::process::{Pid, Signal, getppid, set_parent_process_death_signal};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::Command;
use std::rc::Rc;
use tokio::signal::unix::{SignalKind, signal};

/// Serves as a sidecar that lives no longer than the lab that started it.
#[derive(clap::Args)]
pub struct AsSidecar {
    /// The lab's process: without it there is nobody to serve
    #[arg(long)]
    parent: i32,
    /// Another build's program, which takes this one's place
    #[arg(long)]
    binary: Option<PathBuf>,
}

impl AsSidecar {
    /// Serves until it is told to stop.
    ///
    /// # Errors
    /// A configuration that makes no sense, a lab that has gone, or another build that does not start.
    pub fn run(self) -> Result<(), String> {
        stay_with(self.parent)?;
        if let Some(binary) = self.binary {
            // What was asked of the system about the parent's end holds for the program that takes this one's place.
            let problem = Command::new(&binary).arg("serve").exec();
            return Err(format!("{}: {problem}", binary.display()));
        }
        log_to_standard_error();
        let config = Config::load()?;
        on_one_thread(async {
            let mut changed = signal(SignalKind::hangup()).map_err(|e| format!("signals: {e}"))?;
            let sidecar = Sidecar::new(Some(config), None)?;
            let own = Rc::clone(&sidecar);
            tokio::task::spawn_local(async move {
                while changed.recv().await.is_some() {
                    own.reload().await;
                }
            });
            let stop = told_to_stop()?;
            tokio::task::spawn_local(sidecar.serve(stop))
                .await
                .map_err(|e| e.to_string())?
        })
    }
}

/// Has the system end this process with the lab, however the lab ends.
///
/// # Errors
/// The lab has gone already.
pub(crate) fn stay_with(parent: i32) -> Result<(), String> {
    set_parent_process_death_signal(Some(Signal::KILL))
        .map_err(|e| format!("the end of the lab: {e}"))?;
    // It may have gone before the system was asked.
    if getppid().map(Pid::as_raw_pid) == Some(parent) {
        Ok(())
    } else {
        Err("the lab has gone".into())
    }
}

/// Runs all of this on this thread, as the real program does.
///
/// # Errors
/// Those of the work, or there is no runtime.
pub fn on_one_thread<T>(work: impl Future<Output = Result<T, String>>) -> Result<T, String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    tokio::task::LocalSet::new().block_on(&runtime, work)
}

/// Ends when the process is told to stop by SIGTERM or SIGINT.
pub(crate) fn told_to_stop() -> Result<impl Future<Output = ()>, String> {
    let mut planned = signal(SignalKind::terminate()).map_err(|e| format!("signals: {e}"))?;
    let mut by_hand = signal(SignalKind::interrupt()).map_err(|e| format!("signals: {e}"))?;
    Ok(async move {
        tokio::select! {
            _ = planned.recv() => {}
            _ = by_hand.recv() => {}
        }
    })
}

pub(crate) fn log_to_standard_error() {
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .without_time()
        .log_internal_errors(false)
        .init();
}
