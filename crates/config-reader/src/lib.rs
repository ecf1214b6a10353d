//! TOML files of madderloom's own: the operator file, the agent's, the lab's experiments.
//!
//! [`Document::read`] gives a value or *every* problem of the file at once, each with field, line and column
//! and, for a name that is not known, the nearest one that is. A type that is read should give every field a
//! default (`#[serde(default, deny_unknown_fields)]`) and say in its own check what must not be missing: a
//! field at fault is then reported, set aside, and reading goes on behind it.
//!
//! [`Span`] and [`Size`] are times and sizes as people write them, with their unit.

mod document;
mod units;

pub use document::{Document, Problem};
pub use units::{Size, Span};
