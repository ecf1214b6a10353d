//! Reduced service levels: which parts of a service are given up under which conditions.
//!
//! A [`Condition`] is an expression over [`Signal`]s, such as
//! `failing_servers > 15% for 2s and lateness(submit-check) > 0.3`. A [`Level`] has a condition to be entered, one to be
//! left, and [`Effects`]: what is given up while it is active. A [`LevelStateMachine`] is given the signals and the time,
//! and decides which level is active. The number of changes of level in any window of time is bounded by the settings;
//! [`LevelStateMachine::max_changes`] computes the bound. A [`LevelController`] joins the state machine with
//! [`WindowedCounters`] that measure the signals of one service.
//!
//! The caller passes the current time in; nothing here reads a clock or does I/O.

mod condition;
mod effects;
mod error;
mod level;
mod level_controller;
mod operator_order;
mod section;
mod signal;
mod state_machine;
mod windowed_counters;

pub use condition::Condition;
pub use effects::Effects;
pub use error::{ConditionError, OrderError, SectionError, SignalError};
pub use level::{ChangeCause, Damping, Level, LevelChange};
pub use level_controller::{EVALUATION_INTERVAL, LevelController};
pub use operator_order::{OperatorOrder, OrderKind};
pub use section::{
    ClassTraits, DampingSection, FULL_SERVICE, LevelPlan, LevelSection, LevelsSection,
    built_in_levels,
};
pub use signal::{Signal, Signals};
pub use state_machine::LevelStateMachine;
pub use windowed_counters::{ExternalSignals, MAX_WINDOW, MIN_COUNT, RequestEnd, WindowedCounters};

/// A point in time or a duration, in whole microseconds. Points in time never decrease from call to call.
pub type Micros = u64;

/// One second.
pub(crate) const SECOND: Micros = 1_000_000;
