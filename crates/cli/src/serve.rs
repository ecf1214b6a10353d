//! `madderloom serve`: one sidecar, from its environment to a program that serves until it is told to stop.

use crate::logging::{LAST_LINES, Logging};
use madderloom_operator_config::OperatorConfig;
use madderloom_sidecar::{Config, Sidecar};
use madderloom_watchdog::{self as watchdog, TaskKind};
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Serves as a sidecar until it is told to stop.
///
/// RELAY_CONFIG names the configuration; RELAY_LISTEN, RELAY_DISCOVERY and RELAY_NAME go before what it
/// says. With an operator file, RELAY_CONFIG may be left out. SIGHUP has the files read again; SIGTERM or SIGINT stops
/// the program once all that it took is answered.
#[derive(clap::Args)]
pub(crate) struct Serve {
    /// Listeners, pools, routes and limits beyond what RELAY_CONFIG says
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    #[command(flatten)]
    logging: Logging,
}

impl Serve {
    pub(crate) fn run(self) -> Result<ExitCode, String> {
        let (log, written) = self.logging.start()?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
        let _watchdog = watchdog::start();
        let served = tokio::task::LocalSet::new().block_on(&runtime, async {
            // In a task of its own: what is awaited here is polled again whenever any task has been.
            // Before all else: a signal that comes while the files are read must not end the program.
            let (stop, mut changed) = (stop()?, listen_for(SignalKind::hangup())?);
            let operator = match self.operator {
                Some(file) => {
                    let operator =
                        OperatorConfig::load(&file).map_err(|faults| faults.to_string())?;
                    Some((file, operator))
                }
                None => None,
            };
            // With an operator file there need be no platform.
            let alone = operator.is_some() && std::env::var_os("RELAY_CONFIG").is_none();
            let config = if alone { None } else { Some(Config::load()?) };
            let sidecar = Sidecar::new(config, operator)?;
            sidecar.set_log(log);
            let own = Rc::clone(&sidecar);
            watchdog::spawn(TaskKind::Reload, async move {
                while changed.recv().await.is_some() {
                    own.reload().await;
                }
            });
            let serving = watchdog::spawn(TaskKind::Lifecycle, sidecar.serve(stop));
            serving.await.map_err(|e| e.to_string())?
        });
        // The last lines tell how it ended; a standard error that nobody reads must not keep it from ending.
        written.wait(LAST_LINES);
        served.map(|()| ExitCode::SUCCESS)
    }
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
