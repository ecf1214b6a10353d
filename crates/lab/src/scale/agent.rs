//! The real agent of a rig: its keys and files in a directory of their own, and the process.

use super::child::Program;
use super::hollow::limit_name;
use super::protocol::Totals;
use super::usage;
use crate::sockets::child::Process;
use hyper::Method;
use madderloom_agent::Client;
use madderloom_agent::view::{RolloutView, StatusView};
use madderloom_control_plane::Accepted;
use madderloom_control_plane::change::Change;
use madderloom_pki::{Authority, CertificateRequest, KeyFiles, Role};
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use time::OffsetDateTime;

/// Days for which the keys of a rig are good.
const DAYS: u32 = 2;
/// How long an agent may take to answer.
const PATIENCE: Duration = Duration::from_secs(30);
/// How long lies between two looks at a rollout.
const LOOK: Duration = Duration::from_millis(100);

/// How the agent of a rig is set.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// How often instances report, in milliseconds.
    pub report_ms: u64,
    /// How long a lease lasts, in milliseconds.
    pub lease_ms: u64,
    /// Registrations a second.
    pub registrations: u32,
    /// Instances that may be known.
    pub instances: usize,
    /// Fleet-wide limits.
    pub limits: usize,
}

impl AgentSettings {
    /// The agent's file. `above` is a term that its own must be greater than.
    fn file(&self, listen: &str, above: u64) -> String {
        let AgentSettings {
            report_ms,
            lease_ms,
            registrations,
            instances,
            limits,
        } = self;
        let connections = 2 * instances + 64;
        let mut text = format!(
            "version = 1\nlisten = \"{listen}\"\nstate = \"state\"\naudit = \"audit.log\"\nterm_above = {above}\n\
             connections = {connections}\n[keys]\nauthority = \"keys/authority.pem\"\ncertificate = \"agent.pem\"\n\
             key = \"agent.key\"\nrevoked = \"keys/revoked.pem\"\n[leases]\nreport = \"{report_ms}ms\"\n\
             lease = \"{lease_ms}ms\"\ninstances = {}\n[registrations]\nrate = {registrations}\n",
            instances.max(&16)
        );
        for limit in 0..*limits {
            let name = limit_name(limit);
            let _ = write!(
                text,
                "[[fleet_limits]]\nname = \"{name}\"\nrequests_per_second = 100000\nopen = 50000\n"
            );
        }
        text
    }
}

/// The agent of a rig.
pub struct AgentProcess {
    directory: PathBuf,
    binary: Option<PathBuf>,
    settings: AgentSettings,
    address: String,
    process: Option<Process>,
    client: Client,
}

impl AgentProcess {
    /// Makes keys in a directory, and starts the agent there.
    ///
    /// # Errors
    /// Keys or files can't be written, or the agent does not start.
    pub async fn start(
        directory: &Path,
        binary: Option<PathBuf>,
        settings: AgentSettings,
    ) -> Result<Self, String> {
        make_keys(directory)?;
        let (process, address) = spawn(
            directory,
            binary.as_deref(),
            &settings.file("127.0.0.1:0", 0),
        )
        .await?;
        let client = Client::new(&address, files(directory, "alice"))?;
        let directory = directory.to_path_buf();
        Ok(AgentProcess {
            directory,
            binary,
            settings,
            address,
            process: Some(process),
            client,
        })
    }

    /// Where it listens, also after a restart.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Kills it without a word.
    pub fn kill(&mut self) {
        self.process = None;
    }

    /// Starts it again at the same address. Without its state its term is above the one given.
    ///
    /// # Errors
    /// It does not start.
    pub async fn start_again(&mut self, state_lost: Option<u64>) -> Result<(), String> {
        if state_lost.is_some() {
            let state = self.directory.join("state");
            std::fs::remove_dir_all(&state).map_err(|e| format!("{}: {e}", state.display()))?;
        }
        let file = self.settings.file(&self.address, state_lost.unwrap_or(0));
        let (process, _) = spawn(&self.directory, self.binary.as_deref(), &file).await?;
        self.process = Some(process);
        self.client = Client::new(&self.address, files(&self.directory, "alice"))?;
        Ok(())
    }

    /// What it says of itself.
    ///
    /// # Errors
    /// It does not answer.
    pub async fn status(&self) -> Result<StatusView, String> {
        self.get("/v1/status").await
    }

    /// What has passed, and what it used.
    ///
    /// # Errors
    /// It does not answer.
    pub async fn totals(&self) -> Result<Totals, String> {
        let usage = self
            .process
            .as_ref()
            .map_or_else(Default::default, |process| usage::of(process.id()));
        let traffic = self.status().await?.traffic;
        if traffic.opened == 0 {
            // An answer came over a connection.
            return Err("this agent counts no traffic: it is of an older build".into());
        }
        Ok(Totals { traffic, usage })
    }

    /// Pushes a change.
    ///
    /// # Errors
    /// It is declined, or the agent does not answer.
    pub async fn push(&self, change: &Change) -> Result<Accepted, String> {
        let body = serde_json::to_vec(change).map_err(|e| e.to_string())?;
        let accepted = self
            .client
            .request::<Accepted>(Method::POST, "/v1/changes", body)
            .await;
        accepted.map_err(|e| e.to_string())
    }

    /// Waits until a rollout has ended, and gives how.
    ///
    /// # Errors
    /// It does not end in time, or the agent does not answer.
    pub async fn ended(&self, id: &str, patience: Duration) -> Result<RolloutView, String> {
        let begin = Instant::now();
        loop {
            let status = self.status().await?;
            if status.rolling_out.as_deref() != Some(id) {
                return self.get(&format!("/v1/rollouts/{id}")).await;
            }
            if begin.elapsed() > patience {
                return Err(format!("{id} is still rolling out after {patience:?}"));
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    async fn get<T: for<'a> serde::Deserialize<'a>>(&self, path: &str) -> Result<T, String> {
        let begin = Instant::now();
        loop {
            match self.client.request(Method::GET, path, vec![]).await {
                Err(error) if error.is_unanswered() && begin.elapsed() > PATIENCE => {
                    return Err(error.to_string());
                }
                // An agent that is busy with many connections may be slow to answer.
                Err(error) if error.is_unanswered() => tokio::time::sleep(LOOK).await,
                other => return other.map_err(|e| e.to_string()),
            }
        }
    }
}

async fn spawn(
    directory: &Path,
    binary: Option<&Path>,
    file: &str,
) -> Result<(Process, String), String> {
    let path = directory.join("agent.toml");
    std::fs::write(&path, file).map_err(|e| format!("{}: {e}", path.display()))?;
    let mut process = start_child("agent", Program::Agent, &path, binary)?;
    let address = process.listens().await?.to_string();
    Ok((process, address))
}

/// Starts a program of the rig as a process that ends with the lab.
///
/// # Errors
/// It can't be started.
pub fn start_child(
    name: &str,
    program: Program,
    file: &Path,
    binary: Option<&Path>,
) -> Result<Process, String> {
    let program = match program {
        Program::Agent => "agent",
        Program::Relay => "relay",
        Program::Sidecar => "sidecar",
    };
    let file = file.display().to_string();
    Process::start(
        name,
        &["scale-child", program, "--file", &file],
        binary,
        None,
    )
}

fn make_keys(directory: &Path) -> Result<(), String> {
    let (own, now) = (directory.join("keys"), OffsetDateTime::now_utc());
    Authority::create(&own, "fleet", 30, now)?;
    let mut authority = Authority::open(&own)?;
    let hosts = ["127.0.0.1".to_string()];
    let all = [
        ("agent", Role::Agent, &hosts[..]),
        ("alice", Role::Operate, &[]),
        ("shop-*", Role::Instance, &[]),
    ];
    for (name, role, hosts) in all {
        let request = CertificateRequest {
            name,
            role,
            hosts,
            days: DAYS,
        };
        authority.issue(request, directory, now)?;
    }
    Ok(())
}

fn files(directory: &Path, name: &str) -> KeyFiles {
    KeyFiles {
        authority: directory.join("keys/authority.pem"),
        certificate: directory.join(format!("{name}.pem")),
        key: directory.join(format!("{name}.key")),
        revoked: None,
    }
}
