//! A model of rollouts that runs the real state machines: an agent with its disk (perhaps a second one that does not
//! know that it was replaced), instances, and a network that loses, delays, duplicates and reorders messages.
//!
//! # Transitions
//! - One message at a time is in transit between the agent and each process in each direction. A newer one replaces
//!   one that has not arrived, which is lost. A bounded number of messages may also arrive late: a second time, or
//!   after newer ones, at any time.
//! - The agent's clock advances to its next deadline; so does that of an instance. Clocks are independent of each
//!   other, except in the fair step, where all advance together.
//! - An instance applies an order or refuses it. Doing so and reporting it are two steps.
//! - The agent is killed and restarted from its durable records. An instance is killed and restarted, with the state
//!   that it persisted or with none; its incarnation may decrease.
//! - An operator pushes a change (again), stops it or undoes it.
//!
//! # Invariants
//! 1. *Whole*: the settings in effect on an instance are exactly one of the possible overlays, and the one that the
//!    instance reports.
//! 2. *Fenced*: no start obeys an order with a stamp below one that it has obeyed, and no instance that keeps its
//!    state obeys an order of a term below one that it has obeyed.
//! 3. *Once*: no start carries out the same order twice in a row.
//! 4. *True*: the outcome of an order (applied, refused) that the newest agent has recorded is the outcome at that
//!    start of the instance.
//! 5. *One name, one instance*: of all processes with one name, no two have a session under one incarnation, and only
//!    reports of the one that the newest agent takes for the holder are accepted.
//! 6. *Waves*: at most `at_once` instances have an unanswered order, and no wave begins before the one before it is
//!    complete.
//! 7. *Lasting*: an instance has no revision that the agent's disk does not know; an accepted change stays known.
//! 8. *Rest*: a fair continuation ends every rollout; then every instance that is alive has the changes in effect, or
//!    is recorded as having refused them, with the reason.

mod bounds;
mod hashed;
mod invariants;
mod packet;
mod shipped;
mod state;
mod step;
mod transitions;

pub use bounds::RolloutModel;
pub use shipped::{larger_rollout_models, rollout_models};
pub use state::ModelState;
pub use step::Step;

use super::Model;
use crate::{By, Event, Fleet, InjectedBug, Memory, is_injected};
pub(super) use bounds::{UNIT, now, rules};
use foldhash::quality::FixedState;
use hashed::Hashed;
pub(crate) use hashed::hash_of;
use packet::{Packet, PacketShown};
use state::{Agent, Process, Remaining};
use std::collections::BTreeMap;
use std::hash::BuildHasher;
use std::sync::Arc;

impl Model for RolloutModel {
    type State = ModelState;
    type Step = Step;

    fn initial(&self) -> ModelState {
        let (fleet, out) = match Fleet::restore(rules(), now(), 0, []) {
            Ok(restored) => restored,
            Err(problem) => panic!("an empty disk makes sense: {problem}"),
        };
        let agent = Agent::new(fleet.clone(), Arc::default(), None, self.names());
        // Instances are symmetric only where none has a turn of its own.
        assert!(!self.symmetric || self.waves.is_empty() && self.at_once as usize >= self.names());
        let mut starts = vec![0; self.names()];
        let processes: Vec<Hashed<Process>> = self
            .processes
            .iter()
            .map(|name| {
                starts[*name] += 1;
                Hashed::<Process>::new(self.process(*name, starts[*name], 1, Memory::default()))
            })
            .collect();
        let mut state = ModelState {
            agents: vec![agent],
            processes,
            net: BTreeMap::new(),
            late: BTreeMap::new(),
            remaining: Remaining {
                agent_kills: self.agent_kills,
                kills: self.kills,
                late: self.late,
                repeats: self.repeats,
                commands: self.commands,
                disconnects: self.disconnects,
                agent_ticks: self.agent_ticks,
            },
            pushed: vec![None; self.changes],
            accepted: Vec::new(),
            starts,
            violation: None,
        };
        self.commit(&mut state, 0, fleet, out);
        if self.settled {
            while let Some(step) = self.fair(&state) {
                state = self.apply(&state, &step);
            }
        }
        state
    }

    fn steps(&self, state: &ModelState) -> Vec<Step> {
        let mut steps = Vec::new();
        let newest = state.agents.len() - 1;
        let coming = state
            .net
            .iter()
            .map(|(from, (packet, _))| (packet, Some(*from)));
        for (packet, from) in coming.chain(state.late.keys().map(|packet| (packet, None))) {
            let shown = || Box::new(PacketShown(packet.clone()));
            let agents = match packet {
                Packet::Up { .. } => 0..state.agents.len(),
                Packet::Down { .. } => 0..1,
            };
            steps.extend(agents.map(|agent| Step::Deliver {
                packet: shown(),
                agent,
                from,
            }));
            if state.remaining.late > 0 && from.is_some() && !state.late.contains_key(packet) {
                steps.push(Step::Keep(shown()));
            }
        }
        for (at, process) in state.processes.iter().enumerate() {
            let process = &process.value;
            if process.in_progress.is_some() {
                steps.push(Step::Take(at));
            }
            if state.remaining.disconnects > 0 || !process.machine.ends_session() {
                steps.push(Step::InstanceTick(at));
            }
            if state.remaining.kills > 0 {
                steps.push(Step::Kill {
                    process: at,
                    keeps: true,
                    backwards: false,
                });
                steps.push(Step::Kill {
                    process: at,
                    keeps: false,
                    backwards: true,
                });
            }
        }
        if state.remaining.agent_ticks > 0 {
            let ticks = |agent: &usize| {
                state.agents[*agent]
                    .fleet
                    .next(0)
                    .is_some_and(|at| at < 100 * UNIT)
            };
            steps.extend((0..=newest).filter(ticks).map(Step::AgentTick));
        }
        if state.remaining.agent_kills > 0 {
            steps.push(Step::KillAgent);
        }
        for change in 0..self.changes {
            let accepted = state.accepted.iter().any(|accepted| accepted.0 == change);
            if !accepted {
                let current = self.fleet(state).newest();
                let stale = (current > 0 && state.remaining.repeats > 0).then_some(0);
                for base in [Some(current), stale].into_iter().flatten() {
                    steps.push(Step::Push { change, base });
                }
                if is_injected(InjectedBug::SendBeforeSave) && state.remaining.agent_kills > 0 {
                    steps.push(Step::KillUnsaved(change));
                }
            } else {
                if state.remaining.repeats > 0 {
                    steps.push(Step::Push { change, base: 0 });
                }
                if state.remaining.commands > 0 {
                    steps.extend([Step::Stop(change), Step::Undo(change)]);
                }
            }
        }
        steps
    }

    fn apply(&self, state: &ModelState, step: &Step) -> ModelState {
        let mut state = state.clone();
        match step {
            Step::Deliver {
                packet,
                agent,
                from,
            } => {
                match from {
                    Some(from) => drop(state.net.remove(from)),
                    None => drop(state.late.remove(&packet.0)),
                }
                self.deliver(&mut state, &packet.0, *agent);
            }
            Step::Keep(packet) => {
                state.remaining.late -= 1;
                state
                    .late
                    .insert(packet.0.clone(), packet.0.hash_without_name());
            }
            Step::AgentTick(agent) => {
                state.remaining.agent_ticks -= 1;
                if let Some(by) = state.agents[*agent].fleet.next(0) {
                    self.agent_tick(&mut state, *agent, by);
                }
            }
            Step::InstanceTick(at) => {
                state.remaining.disconnects -=
                    u8::from(state.processes[*at].value.machine.ends_session());
                self.instance_tick(&mut state, *at);
            }
            Step::Take(at) => self.apply_order(&mut state, *at),
            Step::KillAgent => {
                state.remaining.agent_kills -= 1;
                self.kill_agent(&mut state);
            }
            Step::KillUnsaved(change) => {
                state.remaining.agent_kills -= 1;
                let base = self.fleet(&state).newest();
                self.push(&mut state, *change, base, false);
                self.kill_agent(&mut state);
            }
            Step::Kill {
                process,
                keeps,
                backwards,
            } => {
                state.remaining.kills -= 1;
                self.kill(&mut state, *process, *keeps, *backwards);
            }
            Step::Push { change, base } => {
                if state.accepted.iter().any(|accepted| accepted.0 == *change)
                    || *base < self.fleet(&state).newest()
                {
                    state.remaining.repeats -= 1;
                }
                self.push(&mut state, *change, *base, true);
            }
            Step::Stop(change) | Step::Undo(change) => {
                state.remaining.commands -= 1;
                let agent = state.agents.len() - 1;
                let mut fleet = (*state.agents[agent].fleet).clone();
                let id = format!("c{change}");
                let (_, out) = match step {
                    Step::Stop(_) => fleet.stop(now(), &id, &By::default()),
                    _ => fleet.undo(now(), &id, By::default()),
                };
                self.commit(&mut state, agent, fleet, out);
            }
            Step::Pass => {
                let fleet = &self.fleet(&state);
                let agent = state.agents.len() - 1;
                let timers = state
                    .processes
                    .iter()
                    .map(|process| process.value.machine.next());
                let Some(by) = timers.chain(fleet.next(0)).min() else {
                    return state;
                };
                for at in 0..state.processes.len() {
                    let mut process = (*state.processes[at].value).clone();
                    let due = process.machine.next() <= by;
                    process.machine.rebase(by);
                    state.processes[at] = Hashed::new(process);
                    if due {
                        self.instance(&mut state, at, Event::Timer);
                    }
                }
                self.agent_tick(&mut state, agent, by);
            }
        }
        state
    }

    fn hash(&self, state: &ModelState) -> u128 {
        // One part for each name, with the state of all its processes; symmetric parts are sorted.
        let mut names: Vec<u64> = (0..self.names())
            .map(|name| {
                let agents: Vec<u64> = state
                    .agents
                    .iter()
                    .map(|agent| agent.by_name[name])
                    .collect();
                let own = |at: &usize| state.processes[*at].value.name == name;
                let processes: Vec<usize> = (0..state.processes.len()).filter(own).collect();
                let each = |at: &usize| {
                    let coming = |up: bool| state.net.get(&(*at, up)).map(|packet| packet.1);
                    (state.processes[*at].hash, coming(false), coming(true))
                };
                let processes: Vec<_> = processes.iter().map(each).collect();
                let late = state
                    .late
                    .iter()
                    .filter(|(packet, _)| packet.name() == name);
                let late: Vec<u64> = late.map(|(_, hash)| *hash).collect();
                hash_of((
                    agents,
                    processes,
                    late,
                    state.starts[name],
                    self.refuses.contains(&name),
                ))
            })
            .collect();
        if self.symmetric {
            names.sort_unstable();
        }
        let common: Vec<u64> = state.agents.iter().map(|agent| agent.common).collect();
        let whole = (
            common,
            names,
            state.remaining,
            &state.pushed,
            &state.accepted,
            &state.violation,
        );
        let half = |seed: u64| FixedState::with_seed(seed).hash_one(&whole);
        u128::from(half(3)) << 64 | u128::from(half(4))
    }

    fn check(&self, state: &ModelState) -> Result<(), String> {
        self.check_state(state)?;
        self.rest(state).unwrap_or(Ok(()))
    }

    fn fair(&self, state: &ModelState) -> Option<Step> {
        if self.rest(state).is_some() {
            return None;
        }
        if let Some(at) = state
            .processes
            .iter()
            .position(|process| process.value.in_progress.is_some())
        {
            return Some(Step::Take(at));
        }
        let agent = state.agents.len() - 1;
        let coming = state
            .net
            .iter()
            .map(|(from, (packet, _))| (packet, Some(*from)));
        match coming
            .chain(state.late.keys().map(|packet| (packet, None)))
            .next()
        {
            Some((packet, from)) => Some(Step::Deliver {
                packet: Box::new(PacketShown(packet.clone())),
                agent,
                from,
            }),
            None => Some(Step::Pass),
        }
    }
}
