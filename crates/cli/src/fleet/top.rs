//! `top`: the fleet watched in the terminal.

use super::connection::{CommandError, Connection, get};
use super::text::{counts, lists, shares, table};
use crate::output::tell;
use madderloom_agent::Client;
use madderloom_agent::view::{InstanceView, RolloutView, StatusView};
use madderloom_control_plane::membership::Presence;
use std::fmt;
use std::io::IsTerminal;
use std::process::ExitCode;
use std::time::Duration;

/// Watches the fleet in the terminal, until it is interrupted.
#[derive(clap::Args)]
pub(crate) struct Top {
    #[command(flatten)]
    connection: Connection,
    /// Seconds between two looks
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=3_600))]
    every: u64,
    /// Look once, and end
    #[arg(long)]
    once: bool,
}

/// Rows of instances on a screen that is written anew; what is written once has all of them.
const ROWS: usize = 40;

impl Top {
    pub(crate) fn run(self) -> Result<ExitCode, String> {
        self.connection.run(async |client| {
            let live = !self.once && std::io::stdout().is_terminal();
            loop {
                let view = look(&client, if live { ROWS } else { usize::MAX }).await;
                let text = match &view {
                    Ok(view) => view.to_string(),
                    Err(failed) if live => format!("{failed}; trying again"),
                    Err(_) => return view.map(|_| ExitCode::SUCCESS),
                };
                if !live {
                    tell(format_args!("{text}"));
                    return Ok(ExitCode::SUCCESS);
                }
                tell(format_args!("\x1b[H\x1b[2J{text}"));
                tokio::time::sleep(Duration::from_secs(self.every)).await;
            }
        })
    }
}

struct View {
    status: StatusView,
    rollout: Option<RolloutView>,
    instances: Vec<InstanceView>,
    /// The most instances that are shown.
    rows: usize,
}

async fn look(client: &Client, rows: usize) -> Result<View, CommandError> {
    let status: StatusView = get(client, "/v1/status").await?;
    let rollout = match &status.rolling_out {
        // It may have ended since.
        Some(id) => get(client, &format!("/v1/rollouts/{id}")).await.ok(),
        None => None,
    };
    let mut instances: Vec<InstanceView> = get(client, "/v1/instances").await?;
    // What needs a look stands first.
    instances.sort_by_key(|i| {
        (
            i.presence == Presence::Alive && i.in_sync == Some(true) && i.rejection.is_none(),
            i.name.clone(),
        )
    });
    Ok(View {
        status,
        rollout,
        instances,
        rows,
    })
}

impl fmt::Display for View {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let StatusView {
            term,
            revision,
            instances,
            in_effect,
            superseded_by,
            ..
        } = &self.status;
        let there: Vec<String> = instances
            .iter()
            .map(|(state, count)| format!("{count} {state}"))
            .collect();
        let changes = in_effect.len();
        writeln!(
            f,
            "revision {revision}, {changes} changes in effect, term {term}; instances: {}",
            there.join(", ")
        )?;
        if let Some(term) = superseded_by {
            writeln!(
                f,
                "an agent of term {term} has taken over: this one gives no orders any more"
            )?;
        }
        match &self.rollout {
            Some(rollout) => writeln!(f, "{}: {}: {}", rollout.id, rollout.phase, counts(rollout))?,
            None => writeln!(f, "nothing is rolling out")?,
        }
        if !self.status.fleet_limits.is_empty() {
            if self.status.grants_in_full == Some(false) {
                writeln!(
                    f,
                    "fleet limits: what a former agent lent may be out, and is lent again alone"
                )?;
            }
            writeln!(f, "{}", shares(&self.status.fleet_limits))?;
        }
        if !self.status.relays.is_empty() {
            let behind = self
                .status
                .relays
                .iter()
                .map(|(relay, count)| format!("{relay} {count}"));
            writeln!(
                f,
                "instances behind relays: {}",
                behind.collect::<Vec<_>>().join(", ")
            )?;
        }
        if !self.status.shared_lists.is_empty() {
            writeln!(f, "{}", lists(&self.status.shared_lists))?;
        }
        let shown = &self.instances[..self.instances.len().min(self.rows)];
        write!(f, "{}", table(shown))?;
        match self.instances.len() - shown.len() {
            0 => Ok(()),
            more => write!(f, "\nand {more} more"),
        }
    }
}
