//! `[process]`: what concerns the whole process.

use madderloom_config_reader::{Document, Span};
use serde::Deserialize;

/// The section as it is written.
#[derive(Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Section {
    name: String,
    drain: Option<Span>,
}

/// What concerns the whole process.
#[derive(Clone, Debug, PartialEq)]
pub struct Process {
    /// Its name; empty if the file gives none.
    pub name: String,
    /// How long after a reload a pool that the file no longer has may still begin new attempts for the requests that
    /// it has. Usually 2 s; at most 3 s, which is the time that servers are told to leave a drained one.
    pub drain: Span,
}

/// The longest drain.
const LONGEST: Span = Span::s(3);

impl Section {
    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    pub(crate) fn check(self, document: &mut Document<'_>) -> Process {
        let drain = self.drain.unwrap_or(Span::s(2));
        document.require(
            drain <= LONGEST,
            "process.drain",
            format_args!("is over {LONGEST}; write less"),
        );
        Process {
            name: self.name,
            drain,
        }
    }
}
