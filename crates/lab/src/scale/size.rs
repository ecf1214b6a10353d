//! The size that a capacity is reckoned for: a file in TOML.

use madderloom_config_reader::{Document, Problem, Span};
use serde::Deserialize;

/// The fleet and what its control may cost.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SizeFile {
    /// The file's version, 1.
    pub version: u32,
    /// How large the fleet is.
    pub size: Size,
    /// What its control may cost.
    pub budget: Budget,
}

/// How large a fleet is.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Size {
    /// Sidecars.
    pub sidecars: u32,
    /// Services.
    pub services: u32,
    /// Regions.
    pub regions: u32,
    /// Zones.
    pub zones: u32,
    /// Machines of a rack.
    pub rack: u32,
    /// Calls a second, over all sidecars.
    pub calls_per_second: f64,
    /// How deep calls go.
    pub call_depth: u32,
    /// Changes of configuration a day.
    pub changes_per_day: f64,
    /// Machines that fail a day.
    pub machines_failing_per_day: f64,
    /// Machines that are restarted or replaced a day.
    pub restarts_per_day: f64,
}

/// What control may cost.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Budget {
    /// A change is in force everywhere within this time.
    pub change_within: Option<Span>,
    /// Added to a call, for 99 in 100, in milliseconds.
    pub added_to_call_ms: f64,
    /// Of a core, for one sidecar, in percent.
    pub sidecar_core_percent: f64,
    /// Memory of one sidecar, in MB.
    pub sidecar_memory_mb: f64,
    /// Bytes a second of one sidecar.
    pub sidecar_bytes_per_second: f64,
    /// Machines of all control.
    pub machines: u32,
}

impl SizeFile {
    /// Reads the text of a file.
    ///
    /// # Errors
    /// Every problem of it, with its place.
    pub fn read(text: &str) -> Result<Self, Vec<Problem>> {
        let (mut document, file) = Document::read::<SizeFile>(text)?;
        document.require(file.version == 1, "version", "must be 1");
        document.require(file.size.sidecars > 0, "size.sidecars", "must be 1 or more");
        document.require(file.size.services > 0, "size.services", "must be 1 or more");
        document.require(
            file.budget.change_within.is_some(),
            "budget.change_within",
            "is missing; write \"5s\"",
        );
        let figures = [
            (file.size.changes_per_day, "size.changes_per_day"),
            (
                file.budget.sidecar_core_percent,
                "budget.sidecar_core_percent",
            ),
            (file.budget.sidecar_memory_mb, "budget.sidecar_memory_mb"),
            (
                file.budget.sidecar_bytes_per_second,
                "budget.sidecar_bytes_per_second",
            ),
        ];
        for (figure, field) in figures {
            document.require(figure.is_finite() && figure > 0.0, field, "must be above 0");
        }
        document.finish(file)
    }
}

impl Budget {
    /// Within how many seconds a change is to be in force everywhere.
    pub fn change_seconds(&self) -> f64 {
        self.change_within.map_or(0.0, Span::seconds)
    }
}
