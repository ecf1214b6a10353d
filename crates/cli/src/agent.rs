//! `madderloom agent`: the agent, from its file to a program that serves until it is told to stop.

use crate::logging::{LAST_LINES, Logging};
use crate::server::{Signals, read_config, serve_locally};
use madderloom_agent::{Agent as Program, AgentConfig, DurableStorage, MemoryStorage, Storage};
use std::path::PathBuf;
use std::process::ExitCode;

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
        let config = read_config(&self.config, AgentConfig::read)?;
        let storage: Box<dyn Storage> = match &config.state_directory {
            Some(directory) => Box::new(DurableStorage::new(directory)),
            None => {
                tracing::warn!(
                    "no `state` is configured: what the fleet settles on is lost with this process"
                );
                Box::<MemoryStorage>::default()
            }
        };
        let served = serve_locally(async {
            let signals = Signals::listen()?;
            let agent = Program::start(&config, storage).await?;
            let address = agent.address().map_err(|e| e.to_string())?;
            tracing::info!("listening on {address}");
            let keyring = agent.keyring();
            Ok(agent.serve(signals.stop(vec![keyring])).await?)
        });
        written.wait(LAST_LINES);
        served.map(|()| ExitCode::SUCCESS)
    }
}
