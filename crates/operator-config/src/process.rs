//! `[process]`: settings of the whole process.

use madderloom_config_reader::{Document, Span};
use serde::Deserialize;

/// The section as written in the file.
#[derive(Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Section {
    name: String,
    drain: Option<Span>,
}

/// Settings of the whole process.
#[derive(Clone, Debug, PartialEq)]
pub struct Process {
    /// The name of the process; empty if the file does not set one.
    pub name: String,
    /// How long a pool that a reload removed may still start new attempts for its requests. Default 2 s; at most 3 s, the
    /// time that servers are told to allow for draining.
    pub drain: Span,
}

/// Maximum of [`Process::drain`].
const MAX_DRAIN: Span = Span::s(3);

impl Section {
    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    pub(crate) fn check(self, document: &mut Document<'_>) -> Process {
        let drain = self.drain.unwrap_or(Span::s(2));
        document.require(
            drain <= MAX_DRAIN,
            "process.drain",
            format_args!("must be at most {MAX_DRAIN}"),
        );
        Process {
            name: self.name,
            drain,
        }
    }
}
