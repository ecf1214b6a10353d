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
//! 1. *Atomic*: the settings in effect on an instance are exactly one of the possible overlays, and the one that the
//!    instance reports.
//! 2. *Fenced*: no start obeys an order with a stamp below one that it has obeyed, and no instance that keeps its
//!    state obeys an order of a term below one that it has obeyed.
//! 3. *Once*: no start carries out the same order twice in a row.
//! 4. *Accurate*: the outcome of an order (applied, refused) that the newest agent has recorded is the outcome at that
//!    start of the instance.
//! 5. *Unique name*: of all processes with one name, no two have a session under one incarnation, and only
//!    reports of the one that the newest agent takes for the holder are accepted.
//! 6. *Stages*: at most `max_unanswered` instances have an unanswered order, and no stage begins before the one before it is
//!    complete.
//! 7. *Durable*: an instance has no revision that the agent's disk does not know; an accepted change stays known.
//! 8. *Convergence*: a fair continuation ends every rollout and comes to rest.
//! 9. *Desired state*: at rest every instance that is alive has the changes in effect, or is recorded as having refused
//!    them, with the reason.

mod agent;
mod bounds;
mod budget;
mod faults;
mod hashed;
mod invariants;
mod models;
mod operator;
mod packet;
mod possible_steps;
mod process;
mod rest;
mod state;
mod step;
mod transitions;

pub use bounds::RolloutModel;
pub use models::{larger_rollout_models, rollout_models};
use packet::Channel;
pub use state::ModelState;
pub use step::Step;

use super::fixture::{fleet_rules, now};
use super::state_hash::{hash_of, wide_hash_of};
use super::{InvariantViolation, Model};
use crate::{Fleet, PersistedInstance};
use agent::Agent;
use hashed::Hashed;
use process::Process;
use state::Remaining;
use std::collections::BTreeMap;
use std::sync::Arc;

impl RolloutModel {
    /// The state machine of the newest agent.
    fn newest_fleet<'s>(&self, state: &'s ModelState) -> &'s Fleet {
        &state.agents[state.newest_agent()].fleet
    }

    /// The hash of the part of a state that concerns one name, with all its processes.
    fn hash_of_name(&self, state: &ModelState, name: usize) -> u64 {
        let agents: Vec<u64> = state
            .agents
            .iter()
            .map(|agent| agent.name_hashes[name])
            .collect();
        let own = |at: &usize| state.processes[*at].value.name == name;
        let process = |at: usize| {
            let in_transit = |is_to_agent: bool| {
                let channel = Channel {
                    process: at,
                    is_to_agent,
                };
                state.in_transit.get(&channel).map(|packet| packet.hash)
            };
            (
                state.processes[at].hash,
                in_transit(false),
                in_transit(true),
            )
        };
        let processes: Vec<_> = (0..state.processes.len())
            .filter(own)
            .map(process)
            .collect();
        let late: Vec<u64> = state
            .late
            .iter()
            .filter(|(packet, _)| packet.name() == name)
            .map(|(_, hash)| *hash)
            .collect();
        hash_of((
            agents,
            processes,
            late,
            state.starts[name],
            self.refusing_names.contains(&name),
        ))
    }
}

impl Model for RolloutModel {
    type State = ModelState;
    type Step = Step;

    fn initial(&self) -> ModelState {
        let (fleet, out) = match Fleet::restore(fleet_rules(), now(), 0, []) {
            Ok(restored) => restored,
            Err(problem) => panic!("an empty disk is valid: {problem}"),
        };
        let agent = Agent::new(fleet.clone(), Arc::default(), None, self.names());
        // Instances are symmetric only where all of them receive their orders at once.
        let all_at_once = self.stages.is_empty() && self.max_unanswered as usize >= self.names();
        assert!(!self.symmetric || all_at_once);
        let mut starts = vec![0; self.names()];
        let processes: Vec<Hashed<Process>> = self
            .processes
            .iter()
            .map(|name| {
                starts[*name] += 1;
                Process::new(*name, starts[*name], 1, PersistedInstance::default()).hashed()
            })
            .collect();
        let mut state = ModelState {
            agents: vec![agent],
            processes,
            in_transit: BTreeMap::new(),
            late: BTreeMap::new(),
            remaining: Remaining {
                agent_kills: self.agent_kills,
                instance_kills: self.instance_kills,
                late_messages: self.late_messages,
                repeated_pushes: self.repeated_pushes,
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
        if self.starts_settled {
            while let Some(step) = self.fair_step(&state) {
                state = self.apply(&state, &step);
            }
        }
        state
    }

    fn steps(&self, state: &ModelState) -> Vec<Step> {
        self.possible_steps(state)
    }

    fn apply(&self, state: &ModelState, step: &Step) -> ModelState {
        let mut next = state.clone();
        self.spend(&mut next, step);
        match step {
            Step::Deliver {
                packet,
                agent,
                channel,
            } => self.deliver(&mut next, &packet.0, *agent, *channel),
            Step::Duplicate(packet) => {
                let hash = packet.0.hash_without_name();
                next.late.insert(packet.0.clone(), hash);
            }
            Step::AgentTick(agent) => {
                if let Some(by) = next.agents[*agent].fleet.next_deadline(0) {
                    self.advance_agent(&mut next, *agent, by);
                }
            }
            Step::InstanceTick(at) => self.advance_instance(&mut next, *at),
            Step::ExecuteOrder(at) => self.execute_order(&mut next, *at),
            Step::KillAgent => self.kill_agent(&mut next),
            Step::KillAgentBeforeSave(change) => {
                self.push_without_save(&mut next, *change);
                self.kill_agent(&mut next);
            }
            Step::KillInstance {
                process,
                keeps_memory,
                resets_incarnation,
            } => self.kill_instance(&mut next, *process, *keeps_memory, *resets_incarnation),
            Step::Push { change, base } => self.push(&mut next, *change, *base),
            Step::Stop(change) => self.stop(&mut next, *change),
            Step::Undo(change) => self.undo(&mut next, *change),
            Step::AdvanceTime => self.advance_all(&mut next),
        }
        next
    }

    fn hash(&self, state: &ModelState) -> u128 {
        let mut names: Vec<u64> = (0..self.names())
            .map(|name| self.hash_of_name(state, name))
            .collect();
        if self.symmetric {
            names.sort_unstable();
        }
        let common: Vec<u64> = state.agents.iter().map(|agent| agent.common_hash).collect();
        wide_hash_of(&(
            common,
            names,
            state.remaining,
            &state.pushed,
            &state.accepted,
            &state.violation,
        ))
    }

    fn check(&self, state: &ModelState) -> Result<(), InvariantViolation> {
        self.check_every_state(state)?;
        self.check_at_rest(state).unwrap_or(Ok(()))
    }

    fn fair_step(&self, state: &ModelState) -> Option<Step> {
        self.next_fair_step(state)
    }
}
