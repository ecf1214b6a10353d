//! One sidecar: from its environment to a program that serves until it is told to stop.
#![forbid(unsafe_code)]

use madderloom::net::{Config, Sidecar};
use std::io::Write;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::signal::unix::{Signal, SignalKind, signal};

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            // Standard error may be closed; that must not hide the exit code.
            let _ = writeln!(std::io::stderr(), "madderloom: {problem}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let config = Config::load()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        // In a task of its own: what is awaited here is polled again whenever any task has been.
        let (sidecar, stop, mut changed) =
            (Sidecar::new(config)?, stop()?, listen_for(SignalKind::hangup())?);
        let own = Rc::clone(&sidecar);
        tokio::task::spawn_local(async move {
            while changed.recv().await.is_some() {
                own.reload();
            }
        });
        let serving = tokio::task::spawn_local(sidecar.serve(stop));
        serving.await.map_err(|e| e.to_string())?
    })
}

fn listen_for(kind: SignalKind) -> Result<Signal, String> {
    signal(kind).map_err(|e| format!("signals: {e}"))
}

/// Ends when the program is told to stop.
fn stop() -> Result<impl Future<Output = ()>, String> {
    let mut planned = listen_for(SignalKind::terminate())?;
    let mut by_hand = listen_for(SignalKind::interrupt())?;
    Ok(async move {
        tokio::select! {
            _ = planned.recv() => {}
            _ = by_hand.recv() => {}
        }
    })
}
