//! A model checker: it explores every state that a model can reach, breadth first. In each state it checks that the
//! invariants hold and that a fair continuation comes to rest.
//!
//! - A state is identified by a 128-bit hash. A collision is not to be expected below some 10^15 states. A model may
//!   give states that differ only by a renaming the same hash (symmetry reduction).
//! - The search is breadth first, so that the trace to a violation is a shortest one. For a violation that only a
//!   fair continuation shows, it is the shortest that was found.
//! - *Every rollout ends* is checked as follows. Each state has one fair step ([`Model::fair_step`]): nothing more is
//!   lost or crashes, messages arrive in some order, time passes. Following the fair steps from any reached state must
//!   lead to a state at rest, and not into a cycle.
//!
//! The models run the real state machines: [`LeaseModel`] those of `madderloom-quota-leases`, [`RolloutModel`] the agent
//! and the instances, [`RelayModel`] the relays between them.

mod fixture;
mod invariant;
mod lease_model;
mod relay_model;
mod rollout_model;
mod search;
mod state_hash;

#[cfg(test)]
mod lease_tests;
#[cfg(test)]
mod relay_tests;
#[cfg(test)]
mod rollout_tests;

pub use invariant::{Invariant, InvariantViolation};
pub use lease_model::{LeaseModel, WholeRequests, larger_lease_models, lease_models};
pub use relay_model::{RelayModel, larger_relay_models, relay_models};
pub use rollout_model::{RolloutModel, larger_rollout_models, rollout_models};
pub use search::explore;

pub(crate) use state_hash::hash_of;

use crate::InjectedBug;
use std::cell::Cell;
use std::fmt;

thread_local! {
    static INJECTED_BUG: Cell<Option<InjectedBug>> = const { Cell::new(None) };
}

/// Whether a bug is injected into the state machines of this thread.
pub(crate) fn is_injected(bug: InjectedBug) -> bool {
    INJECTED_BUG.get() == Some(bug)
}

/// Calls `run` with a bug injected into all state machines of this thread.
pub fn with_injected_bug<T>(bug: Option<InjectedBug>, run: impl FnOnce() -> T) -> T {
    let former = INJECTED_BUG.replace(bug);
    let result = run();
    INJECTED_BUG.set(former);
    result
}

/// A transition system.
pub trait Model {
    /// A state, with the history that the invariants need.
    type State: Clone;
    /// A transition.
    type Step: Clone + fmt::Display;

    /// The initial state.
    fn initial(&self) -> Self::State;
    /// All transitions that are possible in a state, always in the same order.
    fn steps(&self, state: &Self::State) -> Vec<Self::Step>;
    /// The state after a transition.
    fn apply(&self, state: &Self::State, step: &Self::Step) -> Self::State;
    /// A hash that is the same for the same state.
    fn hash(&self, state: &Self::State) -> u128;
    /// Checks all invariants.
    ///
    /// # Errors
    /// The first invariant that is violated.
    fn check(&self, state: &Self::State) -> Result<(), InvariantViolation>;
    /// The next transition of a fair continuation; `None` at rest.
    fn fair_step(&self, state: &Self::State) -> Option<Self::Step>;
}

/// The result of an exploration without a violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exploration {
    /// The number of states.
    pub states: usize,
    /// The number of transitions.
    pub transitions: usize,
    /// The greatest distance of a state from the initial one.
    pub depth: usize,
    /// The number of states at rest.
    pub at_rest: usize,
    /// Whether all reachable states were explored; false where the bound was reached.
    pub is_complete: bool,
}

/// A violated invariant, and a shortest trace to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Counterexample {
    /// The violated invariant.
    pub violation: InvariantViolation,
    /// The transitions, one line each.
    pub trace: Vec<String>,
    /// The number of states that were explored until then.
    pub states: usize,
}

impl fmt::Display for Counterexample {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Counterexample {
            violation,
            trace,
            states,
        } = self;
        writeln!(f, "violated after {states} states: {violation}")?;
        trace
            .iter()
            .enumerate()
            .try_for_each(|(at, line)| writeln!(f, "{:>3}. {line}", at + 1))
    }
}
