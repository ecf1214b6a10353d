//! The invariants of all models, and their violations.

use std::fmt;

/// An invariant. The documentation of each model says which ones it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Invariant {
    /// An instance has a change in effect as a whole or not at all, and reports what it has in effect.
    Atomic,
    /// No instance obeys an order that is older than one that it has obeyed.
    Fenced,
    /// No start of an instance carries out the same order twice in a row.
    Once,
    /// The recorded outcome of an order is the outcome at the instance.
    Accurate,
    /// One process at a time has a session under a name.
    UniqueName,
    /// A rollout keeps to its stages and to the number of orders at a time.
    Stages,
    /// An accepted change stays known, and no instance has a change that the agent has lost.
    Durable,
    /// A relay ends no session of an instance.
    SessionsLast,
    /// A fair continuation comes to rest.
    Convergence,
    /// A state at rest is the desired one.
    DesiredState,
    /// The rates of all leases fit into the limit.
    Rates,
    /// The bursts of all leases fit into the limit.
    Bursts,
    /// The requests in flight fit into the limit.
    InFlight,
    /// The requests admitted in every window fit into the limit.
    Windows,
}

impl Invariant {
    /// A violation of this invariant.
    pub(super) fn violated(self, details: impl Into<String>) -> InvariantViolation {
        InvariantViolation {
            invariant: self,
            details: details.into(),
        }
    }
}

impl fmt::Display for Invariant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Invariant::Atomic => "atomic",
            Invariant::Fenced => "fenced",
            Invariant::Once => "once",
            Invariant::Accurate => "accurate",
            Invariant::UniqueName => "unique name",
            Invariant::Stages => "stages",
            Invariant::Durable => "durable",
            Invariant::SessionsLast => "sessions last",
            Invariant::Convergence => "convergence",
            Invariant::DesiredState => "desired state",
            Invariant::Rates => "rates",
            Invariant::Bursts => "bursts",
            Invariant::InFlight => "in flight",
            Invariant::Windows => "windows",
        })
    }
}

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq, Hash, thiserror::Error)]
#[error("{invariant}: {details}")]
pub struct InvariantViolation {
    /// The invariant.
    pub invariant: Invariant,
    /// What violates it.
    pub details: String,
}
