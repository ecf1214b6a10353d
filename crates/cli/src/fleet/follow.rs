//! Waiting for a rollout to end, and how it is shown.

use super::connection::{CommandError, get};
use super::text::{counts, json, when};
use super::{FAILED, LOOK, REFUSED};
use crate::output::{Output, Table, tell};
use madderloom_agent::Client;
use madderloom_agent::view::{RolloutView, TargetState};
use madderloom_control_plane::Accepted;
use std::io::{IsTerminal, Write};
use std::process::ExitCode;

#[derive(clap::Args)]
pub(super) struct Waiting {
    /// Return once it is accepted
    #[arg(long)]
    pub(super) no_wait: bool,
    /// How it is told
    #[arg(long, value_enum, default_value_t = Output::Text)]
    pub(super) output: Output,
}

/// Waits until a rollout has ended, showing where it is.
pub(super) async fn follow(
    client: &Client,
    accepted: &Accepted,
    waiting: &Waiting,
) -> Result<ExitCode, CommandError> {
    if waiting.no_wait {
        match waiting.output {
            Output::Json => json(accepted),
            Output::Text => tell(format_args!(
                "{} is accepted as revision {}",
                accepted.id, accepted.revision
            )),
        }
        return Ok(ExitCode::SUCCESS);
    }
    let mut shown = String::new();
    let path = format!("/v1/rollouts/{}", accepted.id);
    loop {
        let rollout: RolloutView = get(client, &path).await?;
        let progress = format!("{}: {}: {}", rollout.id, rollout.phase, counts(&rollout));
        if progress != shown && waiting.output == Output::Text {
            show_progress(&progress);
            shown = progress;
        }
        if rollout.end.is_some() {
            if std::io::stderr().is_terminal() && waiting.output == Output::Text {
                let _ = writeln!(std::io::stderr());
            }
            tell_rollout(&rollout, waiting.output);
            return Ok(code(&rollout));
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// On a terminal in one line that is written over, else a line each.
fn show_progress(progress: &str) {
    let mut err = std::io::stderr();
    let _ = if err.is_terminal() {
        write!(err, "\r\x1b[K{progress}")
    } else {
        writeln!(err, "{progress}")
    };
    let _ = err.flush();
}

pub(super) fn code(rollout: &RolloutView) -> ExitCode {
    if rollout.is_applied() {
        ExitCode::SUCCESS
    } else if rollout.is_rejected() {
        ExitCode::from(REFUSED)
    } else {
        ExitCode::from(FAILED)
    }
}

pub(super) fn tell_rollout(rollout: &RolloutView, output: Output) {
    if output == Output::Json {
        return json(rollout);
    }
    let why = rollout
        .reason
        .as_ref()
        .map(|why| format!(": {why}"))
        .unwrap_or_default();
    let RolloutView {
        id,
        revision,
        author,
        phase,
        ..
    } = rollout;
    tell(format_args!(
        "{id}, revision {revision}, by {} at {}: {phase}{why}",
        author.who,
        when(author.at)
    ));
    rollout
        .difference
        .iter()
        .for_each(|line| tell(format_args!("  {line}")));
    tell(format_args!("{}", counts(rollout)));
    let mut table = Table::new(["NAME", "WAVE", "RESULT", "REASON", "TAKEN BACK"]);
    let odd = rollout
        .targets
        .iter()
        .filter(|(_, target)| target.state != TargetState::Applied || target.rollback.is_some());
    let mut any = false;
    for (name, target) in odd {
        any = true;
        let text = |text: &Option<String>| text.clone().unwrap_or_default();
        let row = [
            name.clone(),
            target.wave.to_string(),
            target.state.to_string(),
            text(&target.reason),
            text(&target.rollback),
        ];
        table.row(row);
    }
    if any {
        tell(format_args!("{table}"));
    }
}
