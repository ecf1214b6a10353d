//! Reads madderloom's TOML files: the operator file, the agent's file and the experiment files of the lab.
//!
//! [`Document::read`] returns a value or *all* problems of the file at once, each with field, line and column and, for an
//! unknown name, the most similar known name. A type to be read should have a default for every field
//! (`#[serde(default, deny_unknown_fields)]`) and report missing required fields in its own check: an invalid field is
//! then reported and removed, and reading continues with the rest.
//!
//! [`Span`] and [`Size`] are durations and sizes written with a unit.

mod document;
mod units;

pub use document::{Document, Problem};
pub use units::{Size, Span};
