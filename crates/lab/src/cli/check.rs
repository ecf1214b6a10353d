//! `madderloom-lab check`.

use super::{Output, tell, tell_json};
use crate::experiment::Experiment;
use crate::shipped;
use serde_json::json;
use std::process::ExitCode;

/// Says whether experiment files make sense, and where they do not.
///
/// Each problem is one line, FILE:LINE:COLUMN: FIELD: PROBLEM; all problems of a file are told at once. Nothing is played.
/// Exits with 0 where all files make sense, else with 1.
#[derive(clap::Args)]
pub struct Check {
    /// Experiment files, or names of shipped experiments
    #[arg(required = true, value_name = "FILE|NAME")]
    files: Vec<String>,
    /// How the outcome is told
    #[arg(long, value_enum, default_value_t = Output::Text)]
    output: Output,
}

impl Check {
    /// Checks.
    ///
    /// # Errors
    /// The outcome can't be told.
    pub fn run(self) -> Result<ExitCode, String> {
        let mut sound = true;
        let mut objects = Vec::new();
        for file in &self.files {
            let lines = match shipped::find(file) {
                Ok(text) => match super::read(&text) {
                    Ok((experiment, _)) => {
                        if self.output == Output::Text {
                            tell(&format!("{file}: makes sense: {}\n", summary(&experiment)));
                        }
                        Vec::new()
                    }
                    Err(lines) => lines,
                },
                Err(problem) => vec![problem],
            };
            sound &= lines.is_empty();
            if self.output == Output::Text {
                lines.iter().for_each(|line| tell(&format!("{line}\n")));
            }
            objects.push(json!({ "file": file, "problems": lines }));
        }
        if self.output == Output::Json {
            tell_json(&objects)?;
        }
        Ok(if sound {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        })
    }
}

fn summary(e: &Experiment) -> String {
    let s = |n: usize| if n == 1 { "" } else { "s" };
    format!(
        "{} servers, {} instances, {} for {} arm{} with {} seed{}",
        e.server_count(),
        e.instances.count,
        e.duration,
        e.arms.len(),
        s(e.arms.len()),
        e.seeds.len(),
        s(e.seeds.len())
    )
}
