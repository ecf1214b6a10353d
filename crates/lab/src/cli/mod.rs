//! The subcommands, a module each.

mod check;
mod compare;
mod count;
mod list;
mod report;
mod run;

pub use check::Check;
pub use compare::Compare;
pub use count::Count;
pub use list::List;
pub use report::Report;
pub use run::Run;

use crate::experiment::Experiment;
use crate::play;
use crate::shipped::Text;
use comfy_table::{ContentArrangement, Table, presets};
use serde::Serialize;
use std::io::Write;

/// How an outcome is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Output {
    /// Tables and lines for people
    Text,
    /// An object for programs
    Json,
}

/// Writes to standard output. Nobody may read it: what is told by the exit code is told all the same.
pub(crate) fn tell(text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
}

/// Writes an object to standard output.
pub(crate) fn tell_json(value: &impl Serialize) -> Result<(), String> {
    let text = serde_json::to_string_pretty(value).map_err(|e| e.to_string())?;
    tell(&format!("{text}\n"));
    Ok(())
}

/// A table with this head, as wide as the terminal where there is one.
pub(crate) fn table(head: &[&str]) -> Table {
    let mut table = Table::new();
    table
        .load_style(presets::UTF8_BORDERS_ONLY)
        .set_header(head.iter().copied());
    // Into a pipe no line is broken.
    if let Some((_, columns)) = console::Term::stdout().size_checked() {
        table
            .set_content_arrangement(ContentArrangement::Dynamic)
            .set_width(columns);
    }
    table
}

/// Reads an experiment with its recorded arrivals, and the arrivals' hash; else all problems, a line each.
fn read(text: &Text) -> Result<(Experiment, Option<String>), Vec<String>> {
    let Text { name, text, beside } = text;
    let mut experiment = Experiment::read(text).map_err(|problems| {
        problems
            .iter()
            .map(|problem| format!("{name}:{problem}"))
            .collect::<Vec<_>>()
    })?;
    let hash = play::with_files(&mut experiment, beside).map_err(|problem| vec![problem])?;
    Ok((experiment, hash))
}
