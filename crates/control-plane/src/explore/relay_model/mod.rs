//! A model of relays that runs the real state machines: an agent with its disk (perhaps a second one that was replaced
//! and does not know it), relays, instances behind them, and connections that are cut.
//!
//! # Transitions
//! - Each message in transit arrives at any time, in its order on its connection.
//! - The connection between a relay and the agent is cut; what is in transit on it is lost. The relay connects again,
//!   to the newest agent or to the one that was replaced.
//! - The agent is killed and started again, with its records or without them.
//! - A relay is killed and another one takes its place. An instance moves to another relay; what it sent to the former
//!   one is lost, or arrives there as long as the instance has not come back. (Behind its return such a message could cost
//!   one registration more: the relay takes it for a sign that its last answer was read.)
//! - An operator pushes a change. An instance applies an order, and reports that later.
//! - Time advances to the next deadline of any of them.
//!
//! # Invariants
//! 1. *Atomic*: the settings in effect on an instance are those that it reports, and either none or those of the change.
//! 2. *Fenced*: no instance obeys an order whose stamp is below one that it has obeyed.
//! 3. *Accurate*: the outcome of an order that the newest agent has recorded is the outcome at the instance.
//! 4. *Sessions last*: what a relay passes on ends no session of an instance: it does not register anew because the agent was away.
//! 5. *Convergence*: a fair continuation ends every rollout and comes to rest.
//! 6. *Desired state*: at rest every instance is registered, alive and has the changes in effect.

mod bounds;
mod invariants;
mod models;
mod state;
mod step;
mod transitions;

pub use bounds::RelayModel;
pub use models::{larger_relay_models, relay_models};
pub use state::RelayModelState;
pub use step::Step;

use super::fixture::{fleet_rules, now};
use super::state_hash::{hash_of, wide_hash_of};
use super::{InvariantViolation, Model};
use crate::Fleet;
use state::{AgentNode, InstanceNode, RelayNode, Remaining};
use std::collections::BTreeMap;

impl RelayModel {
    /// Adds the moves of instances to another relay.
    fn add_moves(&self, state: &RelayModelState, steps: &mut Vec<Step>) {
        if state.remaining.moves == 0 || state.relays.len() == 1 {
            return;
        }
        for (at, instance) in state.instances.iter().enumerate() {
            steps.push(Step::Move {
                instance: at,
                leaves_request: false,
            });
            if state.remaining.late_messages > 0 && instance.request.is_some() {
                steps.push(Step::Move {
                    instance: at,
                    leaves_request: true,
                });
            }
        }
    }

    /// Adds the connections that begin or are cut, and the relays that are killed.
    fn add_connection_steps(&self, state: &RelayModelState, steps: &mut Vec<Step>) {
        let remaining = &state.remaining;
        let newest = state.newest_agent();
        for (relay, node) in state.relays.iter().enumerate() {
            match node.agent {
                None => {
                    let agent = newest;
                    steps.push(Step::Connect { relay, agent });
                    if newest > 0 && remaining.stale_connections > 0 {
                        steps.push(Step::Connect { relay, agent: 0 });
                    }
                }
                Some(_) if remaining.cuts > 0 => steps.push(Step::Cut(relay)),
                Some(_) => {}
            }
            if remaining.relay_kills > 0 {
                steps.push(Step::KillRelay(relay));
            }
        }
    }
}

impl Model for RelayModel {
    type State = RelayModelState;
    type Step = Step;

    fn initial(&self) -> RelayModelState {
        let (fleet, out) = match Fleet::restore(fleet_rules(), now(), 0, []) {
            Ok(restored) => restored,
            Err(problem) => panic!("an empty disk is valid: {problem}"),
        };
        let mut agent = AgentNode {
            fleet,
            disk: BTreeMap::new(),
            routes: BTreeMap::new(),
        };
        agent.save(out.records);
        let mut state = RelayModelState {
            agents: vec![agent],
            relays: (0..self.relays).map(|_| RelayNode::new()).collect(),
            instances: self
                .instances
                .iter()
                .enumerate()
                .map(|(number, relay)| InstanceNode::new(number, *relay))
                .collect(),
            late: Vec::new(),
            is_pushed: !self.pushes,
            remaining: Remaining {
                agent_kills: self.agent_kills,
                relay_kills: self.relay_kills,
                cuts: self.cuts,
                moves: self.moves,
                late_messages: self.late_messages,
                time_advances: self.time_advances,
                stale_connections: u8::from(self.stale_agent),
            },
            violation: None,
        };
        // All are registered and alive at the beginning.
        while let Some(step) = self.fair_step(&state) {
            state = self.apply(&state, &step);
        }
        state
    }

    fn steps(&self, state: &RelayModelState) -> Vec<Step> {
        let mut steps = state.deliveries();
        steps.extend((0..state.late.len()).map(Step::DeliverLate));
        self.add_moves(state, &mut steps);
        self.add_connection_steps(state, &mut steps);
        if state.remaining.agent_kills > 0 {
            steps.push(Step::KillAgent { loses_state: false });
            if self.loses_state {
                steps.push(Step::KillAgent { loses_state: true });
            }
        }
        if !state.is_pushed {
            steps.push(Step::Push);
        }
        if state.remaining.time_advances > 0 {
            steps.push(Step::AdvanceTime);
        }
        steps
    }

    fn apply(&self, state: &RelayModelState, step: &Step) -> RelayModelState {
        let mut state = state.clone();
        state.take_step(self, step);
        state
    }

    fn hash(&self, state: &RelayModelState) -> u128 {
        let relays: Vec<u64> = state.relays.iter().map(RelayNode::explored_hash).collect();
        wide_hash_of(&(
            hash_of(&state.agents),
            relays,
            hash_of(&state.instances),
            hash_of(&state.late),
            (state.is_pushed, state.remaining, &state.violation),
        ))
    }

    fn check(&self, state: &RelayModelState) -> Result<(), InvariantViolation> {
        invariants::check_every_state(state)?;
        invariants::check_at_rest(state).unwrap_or(Ok(()))
    }

    fn fair_step(&self, state: &RelayModelState) -> Option<Step> {
        if invariants::check_at_rest(state).is_some() {
            return None;
        }
        if let Some(step) = state.deliveries().into_iter().next() {
            return Some(step);
        }
        if !state.late.is_empty() {
            return Some(Step::DeliverLate(0));
        }
        let newest = state.newest_agent();
        // An agent that was replaced is ended some time.
        let has_replaced_agent =
            |relay: &RelayNode| relay.agent.is_some_and(|agent| agent < newest);
        if let Some(relay) = state.relays.iter().position(has_replaced_agent) {
            return Some(Step::Cut(relay));
        }
        let disconnected = state.relays.iter().position(|relay| relay.agent.is_none());
        Some(
            disconnected.map_or(Step::AdvanceTime, |relay| Step::Connect {
                relay,
                agent: newest,
            }),
        )
    }
}
