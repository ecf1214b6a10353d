//! Reduced service levels: what a service gives up when, stated beforehand and seen afterwards.
//!
//! A [`Condition`] speaks of [`Signal`]s (`failing_servers > 15% for 2s and lateness(submit-check) > 0.3`).
//! [`Levels`] is given the signals and the time and says which level holds; a level's [`Effects`] say what is
//! given up there. How often the level can change in a window of time is bounded by the settings, and
//! [`Levels::changes_at_most`] computes that bound. Nothing here reads a clock or does I/O.

pub mod condition;
mod effects;
pub mod gauge;
pub mod keeper;
mod machine;
pub mod section;
mod signal;

pub use condition::Condition;
pub use effects::Effects;
pub use machine::{Cause, Change, Damping, Level, Levels, Order};
pub use madderloom_balancer::place;
pub use signal::{Signal, Signals};

/// A time, or a span of time, in whole microseconds. Times only ever grow.
pub type Micros = u64;
