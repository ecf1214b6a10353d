//! `rollout` and `history`: rollouts shown, stopped and undone.

use super::FAILED;
use super::connection::{Connection, get, is_missing, unknown};
use super::follow::{Waiting, code, follow, tell_rollout};
use super::text::{counts, json, when};
use crate::output::{Output, Table, tell};
use clap::Subcommand;
use hyper::Method;
use madderloom_agent::view::RolloutView;
use madderloom_control_plane::Accepted;
use std::process::ExitCode;

/// Shows a rollout, stops it or takes it back.
#[derive(clap::Args)]
pub(crate) struct Rollout {
    #[command(subcommand)]
    what: RolloutVerb,
}

#[derive(Subcommand)]
enum RolloutVerb {
    /// Shows where it is, and each instance that has it not; exit codes as those of `push`
    Status(One),
    /// Stops it: instances that have it keep it
    Stop(One),
    /// Takes it back, also once it is over
    Undo(One),
}

#[derive(clap::Args)]
struct One {
    /// The change's id
    id: String,
    #[command(flatten)]
    connection: Connection,
    #[command(flatten)]
    waiting: Waiting,
}

impl Rollout {
    pub(crate) fn run(self) -> Result<ExitCode, String> {
        let (one, verb) = match self.what {
            RolloutVerb::Status(one) => (one, None),
            RolloutVerb::Stop(one) => (one, Some("stop")),
            RolloutVerb::Undo(one) => (one, Some("undo")),
        };
        one.connection.run(async |client| {
            let path = format!("/v1/rollouts/{}", one.id);
            if let Some(verb) = verb {
                let accepted = client
                    .request::<Accepted>(Method::POST, &format!("{path}/{verb}"), Vec::new())
                    .await?;
                let code = follow(&client, &accepted, &one.waiting).await?;
                // What was asked for is that it ends so.
                return Ok(if one.waiting.no_wait || verb == "stop" {
                    ExitCode::SUCCESS
                } else {
                    undone(code)
                });
            }
            match get::<RolloutView>(&client, &path).await {
                Err(failed) if is_missing(&failed) => {
                    let known: Vec<RolloutView> = get(&client, "/v1/rollouts").await?;
                    Err(unknown(
                        "change",
                        &one.id,
                        known.into_iter().map(|rollout| rollout.id),
                    ))
                }
                Err(failed) => Err(failed.into()),
                Ok(rollout) => {
                    tell_rollout(&rollout, one.waiting.output);
                    Ok(if rollout.end.is_none() {
                        ExitCode::SUCCESS
                    } else {
                        code(&rollout)
                    })
                }
            }
        })
    }
}

/// A change that was taken back on the way counts as undone.
fn undone(code: ExitCode) -> ExitCode {
    if code == ExitCode::from(FAILED) {
        ExitCode::SUCCESS
    } else {
        code
    }
}

/// Lists the changes of late, newest first.
#[derive(clap::Args)]
pub(crate) struct History {
    #[command(flatten)]
    connection: Connection,
    /// How they are told
    #[arg(long, value_enum, default_value_t = Output::Text)]
    output: Output,
}

impl History {
    pub(crate) fn run(self) -> Result<ExitCode, String> {
        self.connection.run(async |client| {
            let all: Vec<RolloutView> = get(&client, "/v1/rollouts").await?;
            if self.output == Output::Json {
                json(&all);
                return Ok(ExitCode::SUCCESS);
            }
            let mut table = Table::new([
                "REVISION",
                "CHANGE",
                "BY",
                "AT",
                "STATE",
                "INSTANCES",
                "WHAT",
            ]);
            for rollout in &all {
                let what = match rollout.difference.as_slice() {
                    [one] => one.clone(),
                    [first, ..] => format!("{first} and {} more", rollout.difference.len() - 1),
                    [] => String::new(),
                };
                let RolloutView {
                    id,
                    revision,
                    author,
                    phase,
                    ..
                } = rollout;
                let row = [
                    revision.to_string(),
                    id.clone(),
                    author.who.clone(),
                    when(author.at),
                    phase.clone(),
                ];
                let [revision, id, who, at, phase] = row;
                table.row([revision, id, who, at, phase, counts(rollout), what]);
            }
            tell(format_args!("{table}"));
            Ok(ExitCode::SUCCESS)
        })
    }
}
