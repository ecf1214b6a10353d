//! A model checker: it explores every state that a model can reach, breadth first. In each state it checks that the
//! invariants hold and that a fair continuation comes to rest.
//!
//! - A state is identified by a 128-bit hash. A collision is not to be expected below some 10^15 states. A model may
//!   give states that differ only by a renaming the same hash (symmetry reduction).
//! - The search is breadth first, so that the trace to a violation is a shortest one. For a violation that only a
//!   fair continuation shows, it is the shortest that was found.
//! - *Every rollout ends* is checked as follows. Each state has one fair step ([`Model::fair`]): nothing more is lost
//!   or crashes, messages arrive in some order, time passes. Following the fair steps from any reached state must
//!   lead to a state at rest, and not into a cycle.

mod lease_model;
mod relay_model;
#[cfg(test)]
mod relay_tests;
mod rollout_model;
#[cfg(test)]
mod tests;

pub use lease_model::{LeaseModel, larger_lease_models, lease_models};
pub use relay_model::{RelayModel, larger_relay_models, relay_models};
pub use rollout_model::{RolloutModel, larger_rollout_models, rollout_models};

pub(crate) use rollout_model::hash_of;

use crate::InjectedBug;
use std::cell::Cell;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::fmt;

thread_local! {
    static INJECTED_BUG: Cell<Option<InjectedBug>> = const { Cell::new(None) };
}

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
    /// The invariant that is violated.
    fn check(&self, state: &Self::State) -> Result<(), String>;
    /// The transition of a fair continuation; `None` at rest.
    fn fair(&self, state: &Self::State) -> Option<Self::Step>;
}

/// The result of an exploration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Explored {
    /// The number of states.
    pub states: usize,
    /// The number of transitions.
    pub steps: usize,
    /// The greatest distance of a state from the initial one.
    pub depth: usize,
    /// The number of states at rest.
    pub at_rest: usize,
    /// Whether all reachable states were explored; false where the bound was reached.
    pub is_complete: bool,
}

/// A violated invariant, and a shortest trace to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The invariant.
    pub invariant: String,
    /// The transitions, one line each.
    pub trace: Vec<String>,
    /// The number of states that were explored until then.
    pub states: usize,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "broken after {} states: {}", self.states, self.invariant)?;
        self.trace
            .iter()
            .enumerate()
            .try_for_each(|(at, line)| writeln!(f, "{:>3}. {line}", at + 1))
    }
}

#[derive(Clone, Copy)]
struct Visited {
    parent: u32,
    /// Which of the parent's transitions leads here.
    step: u16,
    depth: u16,
    /// The state after the fair step; the state itself at rest.
    fair: u32,
}

const UNKNOWN: u32 = u32::MAX;

struct Search<'m, M: Model> {
    model: &'m M,
    indices: HashMap<u128, u32, foldhash::fast::FixedState>,
    visited: Vec<Visited>,
    frontier: VecDeque<(u32, M::State)>,
    steps: usize,
    /// The shortest violation that a fair continuation has shown so far.
    fair_violation: Option<Box<Violation>>,
}

/// Explores a model, up to a number of states.
///
/// # Errors
/// The first violation of an invariant.
pub fn explore<M: Model>(model: &M, most: usize) -> Result<Explored, Box<Violation>> {
    let mut search = Search {
        model,
        indices: HashMap::default(),
        visited: Vec::new(),
        frontier: VecDeque::new(),
        steps: 0,
        fair_violation: None,
    };
    search.visit(model.initial(), UNKNOWN, 0, None)?;
    let mut is_complete = true;
    while let Some((at, state)) = search.frontier.pop_front() {
        let depth = search.visited[at as usize].depth as usize;
        if let Some(violation) = search
            .fair_violation
            .take_if(|violation| violation.trace.len() <= depth + 1)
        {
            return Err(violation);
        }
        let room = search.visited.len() < most;
        is_complete &= room;
        if room {
            for (number, step) in model.steps(&state).iter().enumerate() {
                search.visit(model.apply(&state, step), at, number as u16, Some(step))?;
                search.steps += 1;
            }
        }
        let fair = match model.fair(&state) {
            None => at,
            Some(step) => search.follow(at, &state, &step),
        };
        search.visited[at as usize].fair = fair;
    }
    if let Some(violation) = search.fair_violation {
        return Err(violation);
    }
    let at_rest = search.come_to_rest()?;
    let depth = search
        .visited
        .iter()
        .map(|v| v.depth as usize)
        .max()
        .unwrap_or(0);
    Ok(Explored {
        states: search.visited.len(),
        steps: search.steps,
        depth,
        at_rest,
        is_complete,
    })
}

impl<M: Model> Search<'_, M> {
    fn visit(
        &mut self,
        state: M::State,
        parent: u32,
        step: u16,
        taken: Option<&M::Step>,
    ) -> Result<u32, Box<Violation>> {
        let hash = self.model.hash(&state);
        if let Some(index) = self.indices.get(&hash) {
            return Ok(*index);
        }
        if let Err(invariant) = self.model.check(&state) {
            return Err(self.violation(invariant, parent, taken));
        }
        let index = self.visited.len() as u32;
        let depth = self
            .visited
            .get(parent as usize)
            .map_or(0, |parent| parent.depth + 1);
        self.indices.insert(hash, index);
        self.visited.push(Visited {
            parent,
            step,
            depth,
            fair: UNKNOWN,
        });
        self.frontier.push_back((index, state));
        Ok(index)
    }

    /// The state after a fair step. Beyond the bound it follows further fair steps until it reaches a known state or
    /// rest.
    fn follow(&mut self, at: u32, state: &M::State, step: &M::Step) -> u32 {
        let mut next = self.model.apply(state, step);
        let mut lines = vec![step.to_string()];
        let mut met = HashMap::new();
        loop {
            let hash = self.model.hash(&next);
            if let Some(index) = self.indices.get(&hash) {
                return *index;
            }
            let circle = met.insert(hash, lines.len()).map(|begin| {
                let length = lines.len() - begin;
                format!("a fair continuation never comes to rest: its last {length} steps go in a circle")
            });
            if let Some(invariant) = self.model.check(&next).err().or(circle) {
                let mut violation = self.violation(invariant, at, None);
                violation.trace.append(&mut lines);
                let former = self
                    .fair_violation
                    .as_ref()
                    .map(|former| former.trace.len());
                if former.is_none_or(|former| former > violation.trace.len()) {
                    self.fair_violation = Some(violation);
                }
                return at;
            }
            let Some(step) = self.model.fair(&next) else {
                return at;
            };
            lines.push(step.to_string());
            next = self.model.apply(&next, &step);
        }
    }

    /// Checks that every state leads to rest. Returns the number of states at rest.
    fn come_to_rest(&self) -> Result<usize, Box<Violation>> {
        let count = self.visited.len();
        let mut sound = vec![false; count];
        // The start of the path that last reached a state: a state reached twice on one path closes a cycle.
        let mut met = vec![UNKNOWN; count];
        for start in 0..count {
            let mut at = start;
            let mut path = Vec::new();
            while !sound[at] {
                if met[at] == start as u32 {
                    let invariant =
                        "a fair continuation never comes to rest: it goes in a circle".to_string();
                    return Err(self.violation_at(invariant, at as u32));
                }
                met[at] = start as u32;
                path.push(at);
                let next = self.visited[at].fair as usize;
                if next == at {
                    break;
                }
                at = next;
            }
            path.into_iter().for_each(|at| sound[at] = true);
        }
        Ok((0..count)
            .filter(|at| self.visited[*at].fair as usize == *at)
            .count())
    }

    fn violation(&self, invariant: String, parent: u32, taken: Option<&M::Step>) -> Box<Violation> {
        let mut violation = self.violation_at(invariant, parent);
        violation.trace.extend(taken.map(M::Step::to_string));
        violation
    }

    /// The violation with the trace to a visited state, which is replayed for it.
    fn violation_at(&self, invariant: String, index: u32) -> Box<Violation> {
        let mut path = Vec::new();
        let mut at = index;
        while let Some(visited) = self
            .visited
            .get(at as usize)
            .filter(|v| v.parent != UNKNOWN)
        {
            path.push(visited.step);
            at = visited.parent;
        }
        let mut state = self.model.initial();
        let mut trace = Vec::new();
        for number in path.into_iter().rev() {
            let steps = self.model.steps(&state);
            let Some(step) = steps.get(number as usize) else {
                break;
            };
            trace.push(step.to_string());
            state = self.model.apply(&state, step);
        }
        Box::new(Violation {
            invariant,
            trace,
            states: self.visited.len(),
        })
    }
}
