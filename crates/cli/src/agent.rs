//! `madderloom agent`: the agent, from its file to a program that serves until it is told to stop.

use crate::logging::{LAST_LINES, Logging};
use madderloom_agent::{Agent as Program, Config, Lasting, Memory, Storage};
use madderloom_watchdog::{self as watchdog, TaskKind};
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

/// Runs the agent, which instances register with and changes are pushed to.
///
/// SIGHUP has its keys read again, as it also looks by itself every 5 s; SIGTERM or SIGINT stops it. Instances serve
/// on without it, and a rollout goes on where it was when the agent is started again.
#[derive(clap::Args)]
pub(crate) struct Agent {
    /// The agent's file
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    #[command(flatten)]
    logging: Logging,
}

impl Agent {
    pub(crate) fn run(self) -> Result<ExitCode, String> {
        let (_, written) = self.logging.start()?;
        let name = self.config.display();
        let text = std::fs::read_to_string(&self.config).map_err(|e| format!("{name}: {e}"))?;
        let config = Config::read(&text, &self.config).map_err(|problems| {
            let lines: Vec<String> = problems.iter().map(|problem| format!("{name}:{problem}")).collect();
            lines.join("\n")
        })?;
        let storage: Box<dyn Storage> = match &config.state {
            Some(directory) => Box::new(Lasting::new(directory)),
            None => {
                tracing::warn!(
                    "no `state` is configured: what the fleet settles on is lost with this process"
                );
                Box::<Memory>::default()
            }
        };
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
        let _watchdog = watchdog::start();
        let served = tokio::task::LocalSet::new().block_on(&runtime, async {
            let listen = |kind| signal(kind).map_err(|e| format!("signals: {e}"));
            let (mut planned, mut by_hand) =
                (listen(SignalKind::terminate())?, listen(SignalKind::interrupt())?);
            let mut again = listen(SignalKind::hangup())?;
            let agent = Program::start(&config, storage).await?;
            let address = agent.address().map_err(|e| e.to_string())?;
            tracing::info!("listening on {address}");
            let keyring = agent.keyring();
            watchdog::spawn(TaskKind::KeyFiles, async move {
                while again.recv().await.is_some() {
                    match keyring.reload() {
                        Ok(_) => tracing::info!("the keys were read again"),
                        Err(problem) => tracing::warn!("the keys stay as they were: {problem}"),
                    }
                }
            });
            let stop = async move {
                tokio::select! {
                    _ = planned.recv() => {}
                    _ = by_hand.recv() => {}
                }
            };
            agent.serve(stop).await
        });
        written.wait(LAST_LINES);
        served.map(|()| ExitCode::SUCCESS)
    }
}
