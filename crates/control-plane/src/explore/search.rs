//! The breadth-first search through the states of a model.

use super::{Counterexample, Exploration, Invariant, InvariantViolation, Model};
use std::collections::{HashMap, VecDeque};

/// The index of a state, and of its parent, where there is none.
const NONE: u32 = u32::MAX;

/// The record of a visited state. The state itself is not kept: a trace is replayed from the initial state.
#[derive(Clone, Copy)]
struct Visited {
    parent: u32,
    /// Which of the parent's transitions leads here.
    step: u16,
    depth: u16,
    /// The state after the fair step; the state itself at rest.
    fair_successor: u32,
}

struct Search<'m, M: Model> {
    model: &'m M,
    indices: HashMap<u128, u32, foldhash::fast::FixedState>,
    visited: Vec<Visited>,
    frontier: VecDeque<(u32, M::State)>,
    transitions: usize,
    /// The shortest counterexample of a fair continuation so far.
    fair_counterexample: Option<Box<Counterexample>>,
}

/// Explores a model, up to a number of states.
///
/// # Errors
/// The first violation of an invariant.
pub fn explore<M: Model>(model: &M, max_states: usize) -> Result<Exploration, Box<Counterexample>> {
    let mut search = Search::new(model);
    search.visit(model.initial(), NONE, 0, None)?;
    let mut is_complete = true;
    while let Some((at, state)) = search.frontier.pop_front() {
        search.report_fair_counterexample(at)?;
        let has_room = search.visited.len() < max_states;
        is_complete &= has_room;
        if has_room {
            search.expand(at, &state)?;
        }
        let successor = match model.fair_step(&state) {
            None => at,
            Some(step) => search.follow_fair_steps(at, &state, &step),
        };
        search.visited[at as usize].fair_successor = successor;
    }
    if let Some(counterexample) = search.fair_counterexample {
        return Err(counterexample);
    }
    let at_rest = search.check_convergence()?;
    Ok(Exploration {
        states: search.visited.len(),
        transitions: search.transitions,
        depth: search.max_depth(),
        at_rest,
        is_complete,
    })
}

impl<'m, M: Model> Search<'m, M> {
    fn new(model: &'m M) -> Self {
        Search {
            model,
            indices: HashMap::default(),
            visited: Vec::new(),
            frontier: VecDeque::new(),
            transitions: 0,
            fair_counterexample: None,
        }
    }

    fn max_depth(&self) -> usize {
        self.visited
            .iter()
            .map(|visited| visited.depth as usize)
            .max()
            .unwrap_or(0)
    }

    /// Fails with the counterexample of a fair continuation, once the search can find no shorter one.
    fn report_fair_counterexample(&mut self, at: u32) -> Result<(), Box<Counterexample>> {
        let depth = self.visited[at as usize].depth as usize;
        let is_shortest = |known: &mut Box<Counterexample>| known.trace.len() <= depth + 1;
        self.fair_counterexample
            .take_if(is_shortest)
            .map_or(Ok(()), Err)
    }

    /// Visits the states after all transitions of a state.
    fn expand(&mut self, at: u32, state: &M::State) -> Result<(), Box<Counterexample>> {
        for (number, step) in self.model.steps(state).iter().enumerate() {
            let next = self.model.apply(state, step);
            self.visit(next, at, number as u16, Some(step))?;
            self.transitions += 1;
        }
        Ok(())
    }

    /// Checks a state that was not visited before, and queues it.
    fn visit(
        &mut self,
        state: M::State,
        parent: u32,
        step: u16,
        taken: Option<&M::Step>,
    ) -> Result<(), Box<Counterexample>> {
        let hash = self.model.hash(&state);
        if self.indices.contains_key(&hash) {
            return Ok(());
        }
        if let Err(violation) = self.model.check(&state) {
            return Err(self.counterexample_after(violation, parent, taken));
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
            fair_successor: NONE,
        });
        self.frontier.push_back((index, state));
        Ok(())
    }

    /// The index of the state after a fair step. Beyond the bound of states it follows further fair steps until it
    /// reaches a known state or rest.
    fn follow_fair_steps(&mut self, at: u32, state: &M::State, step: &M::Step) -> u32 {
        let mut next = self.model.apply(state, step);
        let mut lines = vec![step.to_string()];
        let mut passed = HashMap::new();
        loop {
            let hash = self.model.hash(&next);
            if let Some(index) = self.indices.get(&hash) {
                return *index;
            }
            let cycle = passed.insert(hash, lines.len()).map(|begin| {
                let length = lines.len() - begin;
                let details = format!("the last {length} fair steps form a cycle");
                Invariant::Convergence.violated(details)
            });
            if let Some(violation) = self.model.check(&next).err().or(cycle) {
                let mut counterexample = self.counterexample_after(violation, at, None);
                counterexample.trace.append(&mut lines);
                self.keep_shorter(counterexample);
                return at;
            }
            let Some(step) = self.model.fair_step(&next) else {
                return at;
            };
            lines.push(step.to_string());
            next = self.model.apply(&next, &step);
        }
    }

    /// Keeps the counterexample of a fair continuation where none as short is known.
    fn keep_shorter(&mut self, counterexample: Box<Counterexample>) {
        let known = self.fair_counterexample.as_ref();
        if known.is_none_or(|known| known.trace.len() > counterexample.trace.len()) {
            self.fair_counterexample = Some(counterexample);
        }
    }

    /// Checks that the fair steps lead from every state to rest. Returns the number of states at rest.
    fn check_convergence(&self) -> Result<usize, Box<Counterexample>> {
        let count = self.visited.len();
        let mut converges = vec![false; count];
        // The start of the path that last reached a state: a state reached twice on one path closes a cycle.
        let mut reached_from = vec![NONE; count];
        for start in 0..count {
            let mut at = start;
            let mut path = Vec::new();
            while !converges[at] {
                if reached_from[at] == start as u32 {
                    let violation = Invariant::Convergence.violated("fair steps form a cycle");
                    return Err(self.counterexample_at(violation, at as u32));
                }
                reached_from[at] = start as u32;
                path.push(at);
                let next = self.visited[at].fair_successor as usize;
                if next == at {
                    break;
                }
                at = next;
            }
            path.into_iter().for_each(|at| converges[at] = true);
        }
        Ok((0..count)
            .filter(|at| self.visited[*at].fair_successor as usize == *at)
            .count())
    }

    /// The counterexample that ends with a transition from a visited state.
    fn counterexample_after(
        &self,
        violation: InvariantViolation,
        parent: u32,
        taken: Option<&M::Step>,
    ) -> Box<Counterexample> {
        let mut counterexample = self.counterexample_at(violation, parent);
        counterexample.trace.extend(taken.map(M::Step::to_string));
        counterexample
    }

    /// The counterexample that ends in a visited state. The trace to the state is replayed.
    fn counterexample_at(&self, violation: InvariantViolation, index: u32) -> Box<Counterexample> {
        let mut state = self.model.initial();
        let mut trace = Vec::new();
        for number in self.path_to(index) {
            let steps = self.model.steps(&state);
            let Some(step) = steps.get(number as usize) else {
                break;
            };
            trace.push(step.to_string());
            state = self.model.apply(&state, step);
        }
        Box::new(Counterexample {
            violation,
            trace,
            states: self.visited.len(),
        })
    }

    /// The numbers of the transitions from the initial state to a visited one.
    fn path_to(&self, index: u32) -> Vec<u16> {
        let mut path = Vec::new();
        let mut at = index;
        while let Some(visited) = self
            .visited
            .get(at as usize)
            .filter(|visited| visited.parent != NONE)
        {
            path.push(visited.step);
            at = visited.parent;
        }
        path.reverse();
        path
    }
}
