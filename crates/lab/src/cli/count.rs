//! `madderloom-lab count`.

use super::{Output, table, tell, tell_json};
use crate::count::{self, Counted};
use crate::starts::AGES;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;

/// Adds up what all instances of a fleet did, from their logs.
///
/// The logs are those of `madderloom serve --log-level debug --log-format json`, a file `*.log` for each instance in one
/// folder. A server counts as cold for `--cold-ms` after its start.
#[derive(clap::Args)]
pub struct Count {
    /// A folder with one log of each instance
    folder: PathBuf,
    /// The length of a step, in milliseconds
    #[arg(long, value_name = "MS", default_value_t = 1_000, value_parser = clap::value_parser!(u64).range(1..=3_600_000))]
    step_ms: u64,
    /// How long a server is cold after its start, in milliseconds
    #[arg(long, value_name = "MS", default_value_t = 8_400, value_parser = clap::value_parser!(u64).range(0..=3_600_000))]
    cold_ms: u64,
    /// A line for each server in place of one for each step
    #[arg(long)]
    servers: bool,
    /// What became of requests by the age of their process, and how long starts took, in place of a line for each step
    #[arg(long, conflicts_with = "servers")]
    starts: bool,
    /// How it is told; an object holds the steps and the servers
    #[arg(long, value_enum, default_value_t = Output::Text)]
    output: Output,
}

impl Count {
    /// Counts.
    ///
    /// # Errors
    /// The folder or a log can't be read, or no log holds a line to count.
    pub fn run(self) -> Result<ExitCode, String> {
        let place = self.folder.display();
        let mut logs = Vec::new();
        for entry in std::fs::read_dir(&self.folder).map_err(|e| format!("{place}: {e}"))? {
            let path = entry.map_err(|e| format!("{place}: {e}"))?.path();
            if path.extension().is_some_and(|ending| ending == "log") {
                // A process that is killed may leave half a character.
                let bytes = std::fs::read(&path).map_err(|e| format!("{}: {e}", path.display()))?;
                logs.push(String::from_utf8_lossy(&bytes).into_owned());
            }
        }
        let counted = count::count(
            logs.iter().map(String::as_str),
            1_000 * self.step_ms,
            1_000 * self.cold_ms,
        );
        if counted.instances == 0 {
            return Err(format!(
                "{place}: no file *.log there holds a line to count; are they of `--log-level debug --log-format json`?"
            ));
        }
        match self.output {
            Output::Json => tell_json(&counted)?,
            Output::Text if self.starts => tell(&starts(&counted)),
            Output::Text if self.servers => tell(&servers(&counted)),
            Output::Text => tell(&steps(&counted)),
        }
        Ok(ExitCode::SUCCESS)
    }
}

fn outcomes(ended: &BTreeMap<String, u64>) -> String {
    ended
        .iter()
        .map(|(outcome, many)| format!("{outcome} {many}"))
        .collect::<Vec<_>>()
        .join(", ")
}

fn steps(counted: &Counted) -> String {
    let head = [
        "s",
        "requests",
        "refused",
        "failed",
        "sent",
        "to cold",
        "most to one",
        "opened",
        "not up",
        "most at one",
        "probes",
        "asks",
        "ended",
    ];
    let mut table = table(&head);
    for step in &counted.steps {
        let numbers = [
            step.requests,
            step.refused,
            step.failed,
            step.sent,
            step.sent_cold,
            step.sent_most,
            step.opened,
            step.not_up,
            step.opened_most,
            step.probes,
            step.asks,
        ];
        let row = std::iter::once(format!("{:.1}", step.at as f64 / 1e6));
        table.add_row(
            row.chain(numbers.map(|n| n.to_string()))
                .chain([outcomes(&step.ended)]),
        );
    }
    format!(
        "{table}\n{} instances; {} lines passed over\n",
        counted.instances, counted.passed_over
    )
}

fn starts(counted: &Counted) -> String {
    let mut text = String::new();
    let kinds = [
        "processes that are the first in their logs",
        "processes that follow",
    ];
    for (kind, started) in kinds.iter().zip(&counted.starts) {
        let mut ages = table(&[
            "age up to s",
            "requests",
            "sent",
            "early",
            "no list",
            "all cold",
            "no server",
            "tried",
            "left",
        ]);
        for (most, at) in AGES.iter().zip(&started.ages) {
            let most = if *most == u64::MAX {
                "any".to_string()
            } else {
                format!("{}", most / 1_000_000)
            };
            let numbers = [
                at.requests,
                at.sent,
                at.early,
                at.no_list,
                at.all_cold,
                at.no_server,
                at.tried,
                at.left,
            ];
            ages.add_row(std::iter::once(most).chain(numbers.map(|n| n.to_string())));
        }
        let mut firsts = table(&["ms to the first", "median", "nine in ten", "all", "never"]);
        let of = [
            ("list", &started.list),
            ("attempt", &started.attempt),
            ("answer", &started.answer),
        ];
        for (name, first) in of {
            let at = |part| {
                first
                    .quantile(part)
                    .map_or("-".into(), |us| format!("{:.1}", us as f64 / 1e3))
            };
            firsts.add_row([
                name.into(),
                at(0.5),
                at(0.9),
                at(1.0),
                first.never.to_string(),
            ]);
        }
        text += &format!("{} {kind}\n{ages}\n{firsts}\n", started.lives);
    }
    text
}

fn servers(counted: &Counted) -> String {
    let mut table = table(&[
        "server",
        "senders",
        "sent",
        "opened",
        "served in ms",
        "ended",
    ]);
    for server in &counted.servers {
        let served_in = format!("{:.1}", server.served_in as f64 / 1e3);
        let numbers = [server.senders, server.sent, server.opened].map(|n| n.to_string());
        let row = std::iter::once(server.name.clone()).chain(numbers);
        table.add_row(row.chain([served_in, outcomes(&server.ended)]));
    }
    format!("{table}\n")
}
