//! An explorer: walks every state that a model can reach, breadth first, and checks in each that its invariants hold
//! and that a fair continuation comes to rest.
//!
//! - A state is known by a 128-bit hash of it; two states that are taken for one by chance are not to be expected
//!   below some 10^15 of them. A model may hash states alike that differ by a renaming alone (symmetry).
//! - Breadth first, so that the trace to what is broken is a shortest one (of an invariant that only a fair
//!   continuation breaks, the shortest that was met).
//! - *Every rollout ends* is checked as: in every state there is one fair step ([`Model::fair`]: nothing more is lost
//!   or crashes, messages come in some order, time passes); following these from any state reached must come to a
//!   state at rest, and not go in a circle.

mod lending;
mod rollout_model;
#[cfg(test)]
mod tests;

pub use lending::{Lendings, larger_lendings, lendings};
pub use rollout_model::{Bounds, World, large, shipped};

use crate::Planted;
use std::cell::Cell;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::fmt;

thread_local! {
    static PLANTED: Cell<Option<Planted>> = const { Cell::new(None) };
}

pub(crate) fn is_planted(bug: Planted) -> bool {
    PLANTED.get() == Some(bug)
}

/// Does something with a bug planted in the machines of this thread.
pub fn with_planted<T>(bug: Option<Planted>, act: impl FnOnce() -> T) -> T {
    let former = PLANTED.replace(bug);
    let done = act();
    PLANTED.set(former);
    done
}

/// Something that goes from state to state by steps.
pub trait Model {
    /// A state, with whatever the invariants need to remember.
    type State: Clone;
    /// What can happen.
    type Step: Clone + fmt::Display;

    /// Where it begins.
    fn initial(&self) -> Self::State;
    /// All that can happen in a state, always in the same order.
    fn steps(&self, state: &Self::State) -> Vec<Self::Step>;
    /// What comes of it.
    fn apply(&self, state: &Self::State, step: &Self::Step) -> Self::State;
    /// The same for the same state.
    fn hash(&self, state: &Self::State) -> u128;
    /// Whether all invariants hold.
    ///
    /// # Errors
    /// The one that does not.
    fn check(&self, state: &Self::State) -> Result<(), String>;
    /// The step that a fair continuation takes; `None` at rest.
    fn fair(&self, state: &Self::State) -> Option<Self::Step>;
}

/// What was explored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Explored {
    /// States visited.
    pub states: usize,
    /// Steps taken between them.
    pub steps: usize,
    /// The longest of the shortest ways to a state.
    pub depth: usize,
    /// The states in which all is at rest.
    pub at_rest: usize,
    /// Whether these are all that there are; else the bound was met.
    pub whole: bool,
}

/// An invariant that does not hold, and the shortest way there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    /// The invariant.
    pub invariant: String,
    /// What happened, a line each.
    pub trace: Vec<String>,
    /// States visited until then.
    pub states: usize,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "broken after {} states: {}", self.states, self.invariant)?;
        self.trace.iter().enumerate().try_for_each(|(at, line)| writeln!(f, "{:>3}. {line}", at + 1))
    }
}

#[derive(Clone, Copy)]
struct Visited {
    parent: u32,
    /// Which of the parent's steps led here.
    step: u16,
    depth: u16,
    /// Where the fair step leads; itself at rest.
    fair: u32,
}

const UNKNOWN: u32 = u32::MAX;

struct Walk<'m, M: Model> {
    model: &'m M,
    places: HashMap<u128, u32, foldhash::fast::FixedState>,
    visited: Vec<Visited>,
    ahead: VecDeque<(u32, M::State)>,
    steps: usize,
    /// What a fair continuation was found to break, until something closer is found.
    ahead_broken: Option<Box<Broken>>,
}

/// Walks through a model, up to so many states.
///
/// # Errors
/// The first invariant found that does not hold.
pub fn explore<M: Model>(model: &M, most: usize) -> Result<Explored, Box<Broken>> {
    let mut walk = Walk {
        model,
        places: HashMap::default(),
        visited: Vec::new(),
        ahead: VecDeque::new(),
        steps: 0,
        ahead_broken: None,
    };
    walk.visit(model.initial(), UNKNOWN, 0, None)?;
    let mut whole = true;
    while let Some((at, state)) = walk.ahead.pop_front() {
        let depth = walk.visited[at as usize].depth as usize;
        if let Some(broken) = walk.ahead_broken.take_if(|broken| broken.trace.len() <= depth + 1) {
            return Err(broken);
        }
        let room = walk.visited.len() < most;
        whole &= room;
        if room {
            for (number, step) in model.steps(&state).iter().enumerate() {
                walk.visit(model.apply(&state, step), at, number as u16, Some(step))?;
                walk.steps += 1;
            }
        }
        let fair = match model.fair(&state) {
            None => at,
            Some(step) => walk.follow(at, &state, &step),
        };
        walk.visited[at as usize].fair = fair;
    }
    if let Some(broken) = walk.ahead_broken {
        return Err(broken);
    }
    let at_rest = walk.come_to_rest()?;
    let depth = walk.visited.iter().map(|v| v.depth as usize).max().unwrap_or(0);
    Ok(Explored { states: walk.visited.len(), steps: walk.steps, depth, at_rest, whole })
}

impl<M: Model> Walk<'_, M> {
    fn visit(
        &mut self,
        state: M::State,
        parent: u32,
        step: u16,
        taken: Option<&M::Step>,
    ) -> Result<u32, Box<Broken>> {
        let hash = self.model.hash(&state);
        if let Some(place) = self.places.get(&hash) {
            return Ok(*place);
        }
        if let Err(invariant) = self.model.check(&state) {
            return Err(self.broken(invariant, parent, taken));
        }
        let place = self.visited.len() as u32;
        let depth = self.visited.get(parent as usize).map_or(0, |parent| parent.depth + 1);
        self.places.insert(hash, place);
        self.visited.push(Visited { parent, step, depth, fair: UNKNOWN });
        self.ahead.push_back((place, state));
        Ok(place)
    }

    /// Where the fair step leads. Beyond the bound it is followed until it meets a state that was visited or rest.
    fn follow(&mut self, at: u32, state: &M::State, step: &M::Step) -> u32 {
        let mut next = self.model.apply(state, step);
        let mut lines = vec![step.to_string()];
        let mut met = HashMap::new();
        loop {
            let hash = self.model.hash(&next);
            if let Some(place) = self.places.get(&hash) {
                return *place;
            }
            let circle = met.insert(hash, lines.len()).map(|begin| {
                let length = lines.len() - begin;
                format!("a fair continuation never comes to rest: its last {length} steps go in a circle")
            });
            if let Some(invariant) = self.model.check(&next).err().or(circle) {
                let mut broken = self.broken(invariant, at, None);
                broken.trace.append(&mut lines);
                let former = self.ahead_broken.as_ref().map(|former| former.trace.len());
                if former.is_none_or(|former| former > broken.trace.len()) {
                    self.ahead_broken = Some(broken);
                }
                return at;
            }
            let Some(step) = self.model.fair(&next) else { return at };
            lines.push(step.to_string());
            next = self.model.apply(&next, &step);
        }
    }

    /// Whether every state leads to rest. Gives the number of states that are at rest.
    fn come_to_rest(&self) -> Result<usize, Box<Broken>> {
        let count = self.visited.len();
        let mut sound = vec![false; count];
        // The walk that last came by: a state met twice in one walk closes a circle.
        let mut met = vec![UNKNOWN; count];
        for start in 0..count {
            let mut at = start;
            let mut way = Vec::new();
            while !sound[at] {
                if met[at] == start as u32 {
                    let invariant =
                        "a fair continuation never comes to rest: it goes in a circle".to_string();
                    return Err(self.broken_at(invariant, at as u32));
                }
                met[at] = start as u32;
                way.push(at);
                let next = self.visited[at].fair as usize;
                if next == at {
                    break;
                }
                at = next;
            }
            way.into_iter().for_each(|at| sound[at] = true);
        }
        Ok((0..count).filter(|at| self.visited[*at].fair as usize == *at).count())
    }

    fn broken(&self, invariant: String, parent: u32, taken: Option<&M::Step>) -> Box<Broken> {
        let mut broken = self.broken_at(invariant, parent);
        broken.trace.extend(taken.map(M::Step::to_string));
        broken
    }

    /// With the way to a state that was visited, walked once more.
    fn broken_at(&self, invariant: String, place: u32) -> Box<Broken> {
        let mut way = Vec::new();
        let mut at = place;
        while let Some(visited) = self.visited.get(at as usize).filter(|v| v.parent != UNKNOWN) {
            way.push(visited.step);
            at = visited.parent;
        }
        let mut state = self.model.initial();
        let mut trace = Vec::new();
        for number in way.into_iter().rev() {
            let steps = self.model.steps(&state);
            let Some(step) = steps.get(number as usize) else { break };
            trace.push(step.to_string());
            state = self.model.apply(&state, step);
        }
        Box::new(Broken { invariant, trace, states: self.visited.len() })
    }
}
