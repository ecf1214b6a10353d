//! Hollow instances beside real sidecars: the same agent settings, the same calm stretch and the same change, and what the
//! agent counts of each.
//!
//! Lists are left out: the real ones would need a discovery, and so are requests, since nobody calls these sidecars.

use super::agent::{AgentProcess, start_child};
use super::child::Program;
use super::conductor::{RigSettings, change};
use super::hollow::limit_name;
use super::limits;
use super::places::{self, Group};
use super::protocol::{Command, Manner, Totals};
use super::record::Work;
use super::usage::{self, Allowed, Usage};
use super::workers::Workers;
use crate::sockets::child::Process;
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::time::{Duration, Instant};

/// Within this part of the real ones' figures a hollow one's are taken to be the same.
pub const TOLERANCE: f64 = 0.05;
/// All are there within this time.
const PATIENCE: Duration = Duration::from_secs(120);
/// Before the calm stretch, what the start has brought about settles.
const SETTLE: Duration = Duration::from_secs(3);
/// How long the change is looked at.
const PUSH: Duration = Duration::from_secs(3);
const LOOK: Duration = Duration::from_millis(100);

/// What one kind of instance came to.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Kind {
    /// At the agent, in the calm stretch.
    pub calm: Work,
    /// At the agent, from a change on.
    pub push: Work,
    /// At the instances' processes in the calm stretch: processor time, and memory and descriptors at its end.
    pub own: Usage,
}

/// Both kinds beside each other.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Comparison {
    /// Instances of each kind.
    pub instances: usize,
    /// How often they report, in milliseconds.
    pub report_ms: u64,
    /// How long the calm stretch lasted, in seconds.
    pub calm_seconds: f64,
    /// Real sidecars, a process each.
    pub real: Kind,
    /// Hollow instances.
    pub hollow: Kind,
}

/// By how much a figure of the hollow instances differs from that of the real ones, as a part of the latter.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// What it is of.
    pub figure: &'static str,
    /// The real ones' figure.
    pub real: u64,
    /// The hollow ones'.
    pub hollow: u64,
}

impl Difference {
    /// As a part of the real ones' figure; 0 where both are 0.
    pub fn part(&self) -> f64 {
        if self.real == self.hollow {
            0.0
        } else {
            (self.hollow as f64 - self.real as f64) / self.real.max(1) as f64
        }
    }

    /// Whether the two are taken to be the same.
    pub fn is_small(&self) -> bool {
        self.part().abs() <= TOLERANCE
    }
}

impl Comparison {
    /// Bytes and messages each way, in the calm stretch and from the change on.
    pub fn differences(&self) -> Vec<Difference> {
        let (calm, push) = (
            (self.real.calm, self.hollow.calm),
            (self.real.push, self.hollow.push),
        );
        let of = |figure, (real, hollow): (Work, Work), value: fn(&Work) -> u64| Difference {
            figure,
            real: value(&real),
            hollow: value(&hollow),
        };
        vec![
            of("calm, bytes to the agent", calm, |work| work.bytes_in),
            of("calm, bytes from the agent", calm, |work| work.bytes_out),
            of("calm, messages to the agent", calm, |work| work.messages_in),
            of("calm, messages from the agent", calm, |work| {
                work.messages_out
            }),
            of("push, bytes to the agent", push, |work| work.bytes_in),
            of("push, bytes from the agent", push, |work| work.bytes_out),
            of("push, messages to the agent", push, |work| work.messages_in),
            of("push, messages from the agent", push, |work| {
                work.messages_out
            }),
        ]
    }
}

/// The instances of one kind, as processes.
enum Instances {
    Real(Vec<Process>),
    Hollow(Workers),
}

impl Instances {
    fn usage(&mut self) -> Result<Usage, String> {
        match self {
            Instances::Hollow(workers) => Ok(workers.totals()?.usage),
            Instances::Real(processes) => {
                let mut all = Usage::default();
                for process in processes {
                    // In nanoseconds: within a short stretch one of them takes less than a tick.
                    let cpu_seconds = process.usage().cpu as f64 / 1e9;
                    all += Usage {
                        cpu_seconds,
                        ..usage::of(process.id())
                    };
                }
                Ok(all)
            }
        }
    }
}

/// Compares so many instances of each kind.
///
/// # Errors
/// The machine does not bear it, something does not start, or not all instances register.
pub async fn compare(settings: &RigSettings) -> Result<Comparison, String> {
    // Real ones are a process each, beside the agent and the lab.
    limits::check_processes(settings.instances + 2).map_err(|e| e.to_string())?;
    limits::check(settings.instances, 0, Allowed::here()).map_err(|e| e.to_string())?;
    let manner = Manner {
        requests: 0,
        lists: 0,
        ..settings.manner.clone()
    };
    let settings = RigSettings {
        manner,
        ..settings.clone()
    };
    Ok(Comparison {
        instances: settings.instances,
        report_ms: settings.report_ms,
        calm_seconds: settings.calm.as_secs_f64(),
        real: one_kind(&settings, true).await?,
        hollow: one_kind(&settings, false).await?,
    })
}

async fn one_kind(settings: &RigSettings, real: bool) -> Result<Kind, String> {
    let directory = tempfile::tempdir().map_err(|e| format!("a directory for keys: {e}"))?;
    let place = directory.path();
    let agent = AgentProcess::start(place, settings.binary.clone(), settings.agent()).await?;
    let mut instances = if real {
        Instances::Real(start_sidecars(settings, place, agent.address())?)
    } else {
        let mut workers = Workers::start(
            settings.instances,
            &[agent.address().into()],
            place,
            &settings.manner,
        )?;
        workers.tell(&Command::Start(Group::All))?;
        Instances::Hollow(workers)
    };
    until_alive(&agent, settings.instances).await?;
    tokio::time::sleep(SETTLE).await;
    let used = instances.usage()?;
    let begin = agent.totals().await?;
    tokio::time::sleep(settings.calm).await;
    let calm = agent.totals().await?;
    let uses = instances.usage()?;
    let pushed = push(&agent, settings).await?;
    let own = Usage {
        cpu_seconds: uses.cpu_seconds - used.cpu_seconds,
        ..uses
    };
    Ok(Kind {
        calm: Work::between(&begin, &calm),
        push: Work::between(&calm, &pushed),
        own,
    })
}

async fn push(agent: &AgentProcess, settings: &RigSettings) -> Result<Totals, String> {
    agent
        .push(&change(1, 0, Group::All, settings.silence())?)
        .await?;
    tokio::time::sleep(PUSH).await;
    agent.totals().await
}

async fn until_alive(agent: &AgentProcess, wanted: usize) -> Result<(), String> {
    let begin = Instant::now();
    loop {
        let alive = agent
            .status()
            .await?
            .instances
            .get("alive")
            .copied()
            .unwrap_or(0);
        if alive == wanted {
            return Ok(());
        }
        if begin.elapsed() > PATIENCE {
            return Err(format!(
                "{alive} of {wanted} instances are there after {PATIENCE:?}"
            ));
        }
        tokio::time::sleep(LOOK).await;
    }
}

fn start_sidecars(
    settings: &RigSettings,
    place: &Path,
    agent: &str,
) -> Result<Vec<Process>, String> {
    let start = |number| {
        let file = place.join(format!("{}.toml", places::name(number)));
        std::fs::write(&file, operator_file(number, agent, settings.manner.limits))
            .map_err(|e| format!("{}: {e}", file.display()))?;
        start_child(
            &places::name(number),
            Program::Sidecar,
            &file,
            settings.binary.as_deref(),
        )
    };
    (0..settings.instances).map(start).collect()
}

/// The operator file of a real sidecar with one pool, whose only server nobody calls.
fn operator_file(number: usize, agent: &str, limits: usize) -> String {
    let traits = places::traits(number);
    let labels: Vec<String> = traits
        .labels
        .iter()
        .map(|(label, value)| format!("{label} = \"{value}\""))
        .collect();
    let limits: String = (0..limits)
        .map(|limit| {
            format!(
                "[[control.fleet_limits]]\nname = \"{}\"\npool = \"shop\"\n",
                limit_name(limit)
            )
        })
        .collect();
    format!(
        "version = 1\n[admin]\nlisten = \"127.0.0.1:0\"\n[control]\nagent = \"{agent}\"\nname = \"{}\"\n\
         zone = \"{}\"\nlabels = {{ {} }}\nkeys = {{ authority = \"keys/authority.pem\", certificate = \
         \"shop-any.pem\", key = \"shop-any.key\" }}\n{limits}\
         [[listeners]]\nname = \"front\"\naddress = \"127.0.0.1:0\"\n\
         [[pools]]\nname = \"shop\"\nservers = [{{ name = \"marker\", address = \"127.0.0.1:9\" }}]\n\
         [pools.settings]\ngroup_size = 1\nmy_zone = 0\nperiod = 5000\ndiscovery = \"automatic\"\n\
         services = [{{ name = \"read\", effect = \"safe\", on_time = 400_000, give_up = 1_200_000, worth = 1 }}]\n\
         limits = {{ cancel = true, max_attempts = 3 }}\n\
         safety = {{ cold = 1_000_000, cold_from = 0.3, fall = 1_000_000 }}\n\
         [[routes]]\nname = \"all\"\npool = \"shop\"\n",
        places::name(number),
        traits.zone,
        labels.join(", "),
    )
}
