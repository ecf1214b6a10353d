//! `madderloom relay`: the relay, from its file to a program that serves until it is told to stop.

use crate::logging::{LAST_LINES, Logging};
use crate::server::{Signals, read_config, serve_locally};
use madderloom_agent::relay::{Relay as Program, RelayConfig};
use std::path::PathBuf;
use std::process::ExitCode;

/// Runs a relay: an agent to the instances of a zone, and their one connection to the agent above.
///
/// Instances name the relay's address in place of the agent's. It decides nothing and keeps nothing on disk. While the
/// agent is away its instances stay registered. SIGHUP has its keys read again, as it also looks by itself every 5 s;
/// SIGTERM or SIGINT stops it, and its instances serve on without it.
#[derive(clap::Args)]
pub(crate) struct Relay {
    /// The relay's file
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    #[command(flatten)]
    logging: Logging,
}

impl Relay {
    pub(crate) fn run(self) -> Result<ExitCode, String> {
        let (_, written) = self.logging.start()?;
        let config = read_config(&self.config, RelayConfig::read)?;
        let served = serve_locally(async {
            let signals = Signals::listen()?;
            let relay = Program::start(&config).await?;
            let address = relay.address().map_err(|e| e.to_string())?;
            tracing::info!("listening on {address}");
            let keyrings = relay.keyrings().to_vec();
            Ok(relay.serve(signals.stop(keyrings)).await?)
        });
        written.wait(LAST_LINES);
        served.map(|()| ExitCode::SUCCESS)
    }
}
