//! The control plane of a fleet as state machines: an agent, and the instances that it changes. They have no clock,
//! do no I/O and use no randomness but a seed. The caller passes times in as whole microseconds of a monotonic clock.
//! All maps are ordered, so that the same events give the same actions.
//!
//! - [`Fleet`] is the agent's state machine: the [`membership`], the one [`rollout`] under way, the
//!   [`change::Layers`] in effect, and the orders to each instance. It returns what must be durable as records. The
//!   caller must make them durable together before it does anything else that the same call returned.
//! - [`Instance`] is the instance's side of the [`protocol`].
//! - [`relay`] passes the messages of many instances on to an agent above it.
//! - [`gate`] judges by the instances' own request counts whether a change does harm.
//!
//! With the feature `explore` there is also an explorer that runs both sides through every order of messages, losses,
//! repeats and crashes of small fleets.

pub mod change;
mod error;
pub mod file;
mod fleet;
pub mod fleet_limits;
pub mod gate;
mod instance;
pub mod membership;
pub mod protocol;
pub mod relay;
pub mod rollout;
pub mod settings;
pub mod spread;

#[cfg(any(test, feature = "explore"))]
pub mod explore;

pub use error::Error;
pub use fleet::{
    Accepted, By, Declined, Entry, Fleet, InstanceState, Note, Output, Record, Rules, Since,
    StandDown, Time, difference,
};
// The former name, for code that still uses it.
pub use fleet::InstanceState as Line;
pub use instance::{Action, Event, Instance, Memory, Session};

use serde::{Deserialize, Serialize};
use std::fmt;

/// A point in time or a duration, in microseconds. Times never decrease; their zero has no meaning.
pub type Micros = u64;

/// What is wrong with a document, and where.
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

/// Bugs that the explorer injects to check that it finds them. A program that serves has none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// An instance acknowledges an order before it has taken effect.
    AckBeforeEffect,
    /// An instance obeys every order, however old.
    NoFencing,
    /// An instance does not remember the outcome of an order, and carries a repeated one out again.
    ForgetRepeats,
    /// The agent accepts an answer to an order of an earlier term as one to its own order.
    AcceptOldAnswers,
    /// The agent sends messages before the records of its decision are durable.
    SendBeforeSave,
    /// The agent identifies instances by their names only: any process may renew the lease and answer the orders.
    IdentifyByName,
    /// An instance applies settings one by one, and stops at the first invalid one.
    ApplyPartially,
    /// The agent forgets a rollout that was under way when it was killed.
    ForgetRollout,
    /// A relay passes on what an agent of an earlier term says.
    RelayObeysFormerTerms,
    /// A relay sends messages over watches that overtake answers under a former term.
    RelayOvertakesAnswers,
    /// A relay does not register its children with a parent that does not know them.
    RelayForgetsToRegister,
}

/// Whether a bug is injected. Always false in a program that serves.
#[inline]
pub(crate) fn is_injected(_bug: InjectedBug) -> bool {
    #[cfg(any(test, feature = "explore"))]
    return explore::is_injected(_bug);
    #[cfg(not(any(test, feature = "explore")))]
    false
}
