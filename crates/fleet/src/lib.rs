//! A fleet of instances and the agent that changes them, as state machines: no clock, no I/O, no randomness but a
//! seed. Whatever is told of time is passed in as whole microseconds of a monotonic clock; all maps are ordered, so
//! that the same events give the same actions.
//!
//! - [`Fleet`] is the agent: [`membership`], the one [`rollout`] under way, the [`change::Layers`] settled on, and
//!   what is ordered of each instance. Whatever must last is given out as records, to be made durable together
//!   before anything else of the same call is done.
//! - [`Instance`] is the instance's side of the [`protocol`].
//! - [`gate`] judges by the instances' own figures whether a change hurts.
//!
//! With the feature `explore` there is also an explorer that runs both sides through every order of messages,
//! losses, repeats and crashes of small fleets.

pub mod change;
pub mod file;
mod fleet;
pub mod gate;
mod instance;
pub mod lending;
pub mod membership;
pub mod protocol;
pub mod rollout;
pub mod settings;
pub mod spread;

#[cfg(any(test, feature = "explore"))]
pub mod explore;

pub use fleet::{
    Accepted, By, Declined, Entry, Fleet, Line, Note, Output, Record, Rules, Since, StandDown, Time, Unsound,
    difference,
};
pub use instance::{Action, Event, Instance, Memory, Session};

use serde::{Deserialize, Serialize};
use std::fmt;

/// A time, or a span of time, in microseconds. Times only ever grow; their zero means nothing.
pub type Micros = u64;

/// What is wrong with something, and where.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Problem {
    /// The field at fault, such as `set.weight/w7`.
    pub field: String,
    /// What is wrong, and what to write instead.
    pub problem: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.problem)
    }
}

/// Bugs that the explorer plants to see whether it finds them. None outside of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// An instance says that an order is in effect before it is.
    AckBeforeEffect,
    /// An instance obeys whatever comes, however old.
    NoFencing,
    /// An instance does not remember what it made of an order: a repeat is tried again.
    ForgetRepeats,
    /// The agent takes an answer to an order of an earlier term for one to its own.
    OldAnswers,
    /// The agent sends before what it decided lasts.
    SendBeforeSave,
    /// An instance is told by its name alone: whoever reports under it renews its lease and answers its orders.
    NamesAlone,
    /// An instance puts settings in effect one by one, and stops where one makes no sense.
    HalfTaken,
    /// The agent forgets a rollout that was under way when it was killed.
    ForgetRollout,
}

/// Whether a bug is planted.
#[inline]
pub(crate) fn planted(_bug: Planted) -> bool {
    #[cfg(any(test, feature = "explore"))]
    return explore::is_planted(_bug);
    #[cfg(not(any(test, feature = "explore")))]
    false
}
