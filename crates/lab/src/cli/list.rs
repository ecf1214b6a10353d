//! `madderloom-lab list`.

use super::{Output, table, tell, tell_json};
use crate::check::unknown;
use crate::experiment::Experiment;
use crate::play;
use crate::shipped;
use serde_json::json;
use std::process::ExitCode;

/// Lists the shipped experiments, or prints one.
///
/// `madderloom-lab list burst > mine.toml` is the beginning of an experiment of one's own.
#[derive(clap::Args)]
pub struct List {
    /// A shipped experiment, to print its file
    #[arg(conflicts_with = "policies")]
    name: Option<String>,
    /// Lists the policies that an arm may name instead
    #[arg(long)]
    policies: bool,
    /// How the list is told
    #[arg(long, value_enum, default_value_t = Output::Text)]
    output: Output,
}

impl List {
    /// Lists.
    ///
    /// # Errors
    /// There is no shipped experiment of that name.
    pub fn run(self) -> Result<ExitCode, String> {
        if let Some(name) = &self.name {
            let known = || shipped::ALL.iter().map(|(name, _)| *name);
            let (_, text) = shipped::ALL
                .iter()
                .find(|(own, _)| own == name)
                .ok_or_else(|| unknown("shipped experiment", name, known()))?;
            tell(text);
            return Ok(ExitCode::SUCCESS);
        }
        let (head, entries): (_, Vec<(String, String)>) = if self.policies {
            (
                "policy",
                play::policies()
                    .map(|(name, about)| (name.into(), about.into()))
                    .collect(),
            )
        } else {
            (
                "experiment",
                shipped::ALL
                    .iter()
                    .map(|(name, text)| ((*name).into(), about(text)))
                    .collect(),
            )
        };
        if self.output == Output::Json {
            let objects: Vec<_> = entries
                .iter()
                .map(|(name, about)| json!({ "name": name, "about": about }))
                .collect();
            tell_json(&objects)?;
        } else {
            let mut table = table(&[head, "what it shows"]);
            if self.policies {
                table.set_header([head, "what it is"]);
            }
            for (name, about) in entries {
                table.add_row([name, about]);
            }
            tell(&format!("{table}\n"));
        }
        Ok(ExitCode::SUCCESS)
    }
}

fn about(text: &str) -> String {
    Experiment::read(text).map_or_else(
        |_| "(makes no sense to this build)".into(),
        |experiment| experiment.about,
    )
}
