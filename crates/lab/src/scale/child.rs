//! The real programs of a rig, as processes that end with the lab: the agent, relays and, for the comparison with hollow
//! instances, sidecars.

use crate::sockets::itself::{log_to_standard_error, on_one_thread, stay_with, told_to_stop};
use madderloom_agent::relay::{Relay, RelayConfig};
use madderloom_agent::{Agent, AgentConfig, DurableStorage, MemoryStorage, Storage};
use madderloom_config_reader::Problem;
use madderloom_operator_config::OperatorConfig;
use madderloom_sidecar::Sidecar;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Which program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Program {
    /// `madderloom agent`
    Agent,
    /// `madderloom relay`
    Relay,
    /// `madderloom serve --operator`
    Sidecar,
}

/// Runs a program of the rig, which ends with the lab that started it.
#[derive(clap::Args)]
pub struct ScaleChild {
    /// Which one
    #[arg(value_enum)]
    program: Program,
    /// Its file
    #[arg(long)]
    file: PathBuf,
    /// The lab's process
    #[arg(long)]
    parent: i32,
    /// The `madderloom` that takes this process's place; without it the same program as it is built into the lab
    #[arg(long)]
    binary: Option<PathBuf>,
}

impl ScaleChild {
    /// Runs it until it is told to stop.
    ///
    /// # Errors
    /// The lab has gone, or what the program says.
    pub fn run(self) -> Result<(), String> {
        stay_with(self.parent)?;
        if let Some(binary) = &self.binary {
            let mut command = Command::new(binary);
            match self.program {
                Program::Agent => command.args(["agent", "--config"]),
                Program::Relay => command.args(["relay", "--config"]),
                Program::Sidecar => command.args(["serve", "--operator"]),
            };
            // What was asked of the system about the parent's end holds for the program that takes this one's place.
            let problem = command.arg(&self.file).exec();
            return Err(format!("{}: {problem}", binary.display()));
        }
        log_to_standard_error();
        match self.program {
            Program::Agent => serve_agent(&self.file),
            Program::Relay => serve_relay(&self.file),
            Program::Sidecar => serve_sidecar(&self.file),
        }
    }
}

fn serve_agent(file: &Path) -> Result<(), String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let config = AgentConfig::read(&text, file).map_err(|problems| written(file, &problems))?;
    let storage: Box<dyn Storage> = match &config.state_directory {
        Some(directory) => Box::new(DurableStorage::new(directory)),
        None => Box::<MemoryStorage>::default(),
    };
    on_one_thread(async {
        let stop = told_to_stop()?;
        let agent = Agent::start(&config, storage).await?;
        let address = agent.address().map_err(|e| e.to_string())?;
        tracing::info!("listening on {address}");
        Ok(agent.serve(stop).await?)
    })
}

fn serve_relay(file: &Path) -> Result<(), String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let config = RelayConfig::read(&text, file).map_err(|problems| written(file, &problems))?;
    on_one_thread(async {
        let stop = told_to_stop()?;
        let relay = Relay::start(&config).await?;
        let address = relay.address().map_err(|e| e.to_string())?;
        tracing::info!("listening on {address}");
        Ok(relay.serve(stop).await?)
    })
}

/// The problems of a file, a line each.
fn written(file: &Path, problems: &[Problem]) -> String {
    let lines: Vec<String> = problems
        .iter()
        .map(|problem| format!("{}:{problem}", file.display()))
        .collect();
    lines.join("\n")
}

fn serve_sidecar(file: &Path) -> Result<(), String> {
    let operator = OperatorConfig::load(file).map_err(|faults| faults.to_string())?;
    on_one_thread(async {
        let stop = told_to_stop()?;
        let sidecar = Sidecar::new(None, Some((file.to_path_buf(), operator)))?;
        tokio::task::spawn_local(sidecar.serve(stop))
            .await
            .map_err(|e| e.to_string())?
    })
}
