//! Levels of reduced service, and changes between them.

use crate::{Condition, Effects, Micros, SECOND};
use madderloom_config_reader::Span;
use std::fmt;

/// A level of reduced service.
#[derive(Clone, Debug, PartialEq)]
pub struct Level {
    /// Its name, unique within a service.
    pub name: String,
    /// The level is entered as soon as this condition is met.
    pub enter: Condition,
    /// The level may be left while this condition is met.
    pub leave: Condition,
    /// The level stays active for at least this long, in microseconds, and longer after frequent changes.
    pub min_stay: Micros,
    /// What it gives up, in addition to all milder levels.
    pub effects: Effects,
}

impl fmt::Display for Level {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let stay = Span(self.min_stay);
        write!(
            f,
            "{}: entered when {}; left when {}, after {stay} at least",
            self.name, self.enter, self.leave
        )
    }
}

/// Damping of changes, as route-flap damping does it (RFC 2439): each change adds 1 to a penalty that decays
/// exponentially, and a level stays active for `min_stay * growth^penalty`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Damping {
    /// What one change multiplies the stay by; at least 1.
    pub growth: f64,
    /// Half-life of the penalty, in microseconds.
    pub half_life: Micros,
    /// Upper bound on a stay, in microseconds. A level's own `min_stay` applies even if it is longer.
    pub max_stay: Micros,
    /// A level is left on trial once the signals of its `leave` have been missing for this long, in microseconds: the
    /// level itself may prevent them from being measured.
    pub blind_timeout: Micros,
    /// Each instance lengthens its stays by a random part up to this, so that a fleet doesn't recover in lockstep.
    pub max_jitter: f64,
}

impl Default for Damping {
    fn default() -> Self {
        Damping {
            growth: 1.3,
            half_life: 600 * SECOND,
            max_stay: 300 * SECOND,
            blind_timeout: 30 * SECOND,
            max_jitter: 0.5,
        }
    }
}

/// A change of level.
#[derive(Clone, Debug, PartialEq)]
pub struct LevelChange {
    /// When the level changed.
    pub at: Micros,
    /// The level that was active; `None` for full service.
    pub from: Option<String>,
    /// The level that is active from now on; `None` for full service.
    pub to: Option<String>,
    /// Why.
    pub cause: ChangeCause,
}

/// Why a level changed.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeCause {
    /// A condition was met.
    ConditionMet {
        /// The condition, as it was written.
        condition: String,
        /// The values of its signals at that time.
        values: String,
    },
    /// Signals of the condition for leaving were missing for so long that the level was left on trial.
    ConditionUnknown {
        /// The condition, as it was written.
        condition: String,
    },
    /// An operator ordered it.
    Ordered {
        /// The operator.
        by: String,
    },
    /// A new configuration doesn't have the level that was active.
    LevelRemoved,
}

impl fmt::Display for ChangeCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChangeCause::ConditionMet { condition, values } => {
                write!(f, "{condition} (now {values})")
            }
            ChangeCause::ConditionUnknown { condition } => {
                write!(f, "on trial, {condition} could not be told")
            }
            ChangeCause::Ordered { by } => write!(f, "ordered by {by}"),
            ChangeCause::LevelRemoved => write!(f, "the file has it no more"),
        }
    }
}

impl fmt::Display for LevelChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name =
            |level: &Option<String>| level.clone().unwrap_or_else(|| "full service".to_string());
        write!(
            f,
            "service level: from {} to {}: {}",
            name(&self.from),
            name(&self.to),
            self.cause
        )
    }
}
