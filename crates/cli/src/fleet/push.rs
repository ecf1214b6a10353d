//! `push` and `drain`: changes to the fleet.

use super::REFUSED;
use super::connection::{CommandError, Connection, get};
use super::follow::{Waiting, follow};
use super::text::json;
use crate::output::{Output, Table, tell};
use hyper::Method;
use madderloom_agent::Client;
use madderloom_agent::view::{InstanceView, RolloutView, StatusView};
use madderloom_control_plane::change::{Change, Policy, Selector, Traits, What};
use madderloom_control_plane::membership::Presence;
use madderloom_control_plane::rollout::Rollout as FleetRollout;
use madderloom_control_plane::settings::{Edits, Key, Value};
use madderloom_control_plane::{Accepted, By, Error};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;

/// Pushes a change to the fleet, and waits until each instance has it, refused it or failed.
///
/// Exits with 0 where all have it, with 3 where it was declined or an instance refused it, with 4 where it was
/// stopped or taken back or an instance failed, and with 1 where the agent could not be asked.
#[derive(clap::Args)]
pub(crate) struct Push {
    /// The change, a TOML file; `base` in it is the revision that it was made on
    file: PathBuf,
    /// Say whether the agent would accept it now, and for which instances it is; change nothing. What an instance
    /// itself would refuse shows only there. Exits with 0 or 3
    #[arg(long, conflicts_with = "no_wait")]
    dry_run: bool,
    #[command(flatten)]
    connection: Connection,
    #[command(flatten)]
    waiting: Waiting,
}

impl Push {
    pub(crate) fn run(self) -> Result<ExitCode, String> {
        let name = self.file.display().to_string();
        let text = std::fs::read_to_string(&self.file).map_err(|e| format!("{name}: {e}"))?;
        let read = |newest| {
            madderloom_control_plane::file::read(&text, newest).map_err(|problems| {
                let lines: Vec<String> = problems
                    .iter()
                    .map(|problem| format!("{name}:{problem}"))
                    .collect();
                lines.join("\n")
            })
        };
        // All but the revision can be said before anyone is asked.
        read(Some(0))?;
        self.connection.run(async |client| {
            let status: StatusView = get(&client, "/v1/status").await?;
            let change = read(Some(status.revision)).map_err(CommandError::Invalid)?;
            if self.dry_run {
                return dry_run(&client, change, &status, self.waiting.output).await;
            }
            push(&client, &change, &self.waiting).await
        })
    }
}

/// Tells what a push would do, by what the agent shows of itself.
async fn dry_run(
    client: &Client,
    change: Change,
    status: &StatusView,
    output: Output,
) -> Result<ExitCode, CommandError> {
    let instances: Vec<InstanceView> = get(client, "/v1/instances").await?;
    let known: Vec<RolloutView> = get(client, "/v1/rollouts").await?;
    let (id, base, newest) = (change.id.clone(), change.base, status.revision);
    let difference = madderloom_control_plane::difference(&change);
    let why = if let Some(term) = status.superseded_by {
        Some(format!("an agent of term {term} has taken over"))
    } else if let Some(former) = known.iter().find(|former| former.id == id) {
        let same = former.difference == difference;
        let told = if same {
            "a push of the same changes nothing"
        } else {
            "choose another id"
        };
        Some(format!("{id} is revision {}; {told}", former.revision))
    } else if base != newest {
        Some(format!(
            "made on revision {base}, but the fleet is at {newest}"
        ))
    } else {
        status
            .rolling_out
            .as_ref()
            .map(|other| format!("{other} is rolling out"))
    };
    let there = instances
        .iter()
        .filter(|instance| instance.presence != Presence::Gone);
    let chosen = there.filter(|instance| {
        let (zone, labels) = (instance.zone.clone(), instance.labels.clone());
        change.select.matches(
            &instance.name,
            &Traits {
                zone,
                labels,
                ..Traits::default()
            },
        )
    });
    let chosen = chosen
        .map(|instance| (instance.name.clone(), instance.request_counts))
        .collect();
    let by = By {
        who: String::new(),
        at: 0,
    };
    let rollout = FleetRollout::new(
        change,
        newest.saturating_add(1),
        by,
        chosen,
        Default::default(),
    );
    let waves = rollout
        .targets
        .iter()
        .map(|(name, target)| (name.as_str(), target.wave + 1));
    let waves: BTreeMap<&str, u32> = waves.collect();
    if output == Output::Json {
        json(&serde_json::json!({
            "id": id, "base": base, "accepted": why.is_none(), "why": why, "difference": difference, "waves": waves,
        }));
    } else {
        match &why {
            Some(why) => tell(format_args!("{id} would be declined: {why}")),
            None => tell(format_args!(
                "{id} would be accepted as revision {}",
                newest.saturating_add(1)
            )),
        }
        difference
            .iter()
            .for_each(|line| tell(format_args!("  {line}")));
        let mut table = Table::new(["NAME", "WAVE"]);
        waves
            .iter()
            .for_each(|(name, wave)| table.row([name.to_string(), wave.to_string()]));
        match waves.is_empty() {
            true => tell(format_args!("no instance is selected")),
            false => tell(format_args!("{table}")),
        }
    }
    Ok(if why.is_none() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(REFUSED)
    })
}

async fn push(
    client: &Client,
    change: &Change,
    waiting: &Waiting,
) -> Result<ExitCode, CommandError> {
    let body = serde_json::to_vec(change).unwrap_or_default();
    let accepted: Accepted = client.request(Method::POST, "/v1/changes", body).await?;
    follow(client, &accepted, waiting).await
}

/// Drains a server: instances send it nothing new. Exit codes as those of `push`.
#[derive(clap::Args)]
pub(crate) struct Drain {
    /// The server, as discovery names it
    server: String,
    /// Lift it again
    #[arg(long)]
    lift: bool,
    /// For instances of this zone alone; may be given again
    #[arg(long = "zone", value_name = "ZONE")]
    zones: Vec<String>,
    /// Why
    #[arg(long, default_value = "")]
    note: String,
    #[command(flatten)]
    connection: Connection,
    #[command(flatten)]
    waiting: Waiting,
}

impl Drain {
    pub(crate) fn run(self) -> Result<ExitCode, String> {
        let key: Key = format!("drain/{}", self.server)
            .parse()
            .map_err(|error: Error| error.to_string())?;
        self.connection.run(async |client| {
            let status: StatusView = get(&client, "/v1/status").await?;
            let verb = if self.lift { "lift" } else { "drain" };
            let drained = Some(Value::Drained(true)).filter(|_| !self.lift);
            let change = Change {
                id: format!("{verb}-{}-{}", self.server, status.revision + 1),
                base: status.revision,
                note: self.note.clone(),
                select: Selector {
                    zones: self.zones.clone(),
                    ..Selector::default()
                },
                // A drain is wanted at once, and harms nobody who is slow to hear of it.
                rollout: Policy {
                    waves: vec![],
                    at_once: 1_000,
                    pause: 0,
                    failures: u32::MAX,
                    gate: None,
                    ..Policy::default()
                },
                what: What::Set(Edits::from([(key.clone(), drained)])),
            };
            push(&client, &change, &self.waiting).await
        })
    }
}
