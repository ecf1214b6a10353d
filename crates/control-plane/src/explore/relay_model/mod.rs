//! A model of relays that runs the real state machines: an agent with its disk (perhaps one that was replaced and does not
//! know it), relays, instances behind them, and connections that are cut.
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
//! - Time passes until the next deadline of any of them.
//!
//! # Invariants
//! 1. *Whole*: the settings in effect on an instance are those that it reports, and either none or those of the change.
//! 2. *Fenced*: no instance obeys an order whose stamp is below one that it has obeyed.
//! 3. *True*: the outcome of an order that the newest agent has recorded is the outcome at the instance.
//! 4. *Quiet*: what a relay passes on ends no session of an instance: it does not register anew because the agent was away.
//! 5. *Rest*: a fair continuation ends every rollout; then every instance is registered, alive and has the changes in
//!    effect.

mod rules;
mod state;
mod transitions;

pub use state::{RelayModelState, Step};

use super::Model;
use super::rollout_model::{UNIT, hash_of, now};
use crate::Fleet;
use crate::change::{Change, Policy, Selector, Then, What};
use crate::settings::{Edits, Key, Value};
use foldhash::quality::FixedState;
use state::{AgentNode, InstanceNode, RelayNode, Remaining};
use std::collections::BTreeMap;
use std::hash::BuildHasher;

/// The bounds of a model.
#[derive(Clone, Debug, Default)]
pub struct RelayModel {
    /// Its name.
    pub name: &'static str,
    /// For each instance, the relay that it begins behind.
    pub instances: Vec<usize>,
    /// The number of relays.
    pub relays: usize,
    /// Whether a change is pushed.
    pub pushes: bool,
    /// The number of times that the agent is killed, and whether its records may be lost with it.
    pub agent_kills: u8,
    /// Whether the agent's records may be lost when it is killed.
    pub loses_state: bool,
    /// Whether a killed agent continues beside the new one, and takes connections of relays.
    pub stale_agent: bool,
    /// The number of times that a relay is killed.
    pub relay_kills: u8,
    /// The number of connections between relays and the agent that are cut.
    pub cuts: u8,
    /// The number of moves of instances to another relay.
    pub moves: u8,
    /// The number of moves after which the last message arrives at the former relay all the same.
    pub late: u8,
    /// The number of times that time passes while messages are in transit.
    pub passes: u8,
}

/// The models that are explored in each test run.
pub fn relay_models() -> Vec<RelayModel> {
    let usual = || RelayModel {
        instances: vec![0],
        relays: 1,
        pushes: true,
        ..RelayModel::default()
    };
    vec![
        RelayModel {
            name: "the agent killed twice at any step, time passes",
            agent_kills: 2,
            cuts: 1,
            passes: 2,
            ..usual()
        },
        RelayModel {
            name: "the agent killed, its records lost, a cut",
            agent_kills: 2,
            loses_state: true,
            cuts: 1,
            passes: 1,
            ..usual()
        },
        RelayModel {
            name: "an agent that does not know that it was replaced, two relays, an instance that moves",
            relays: 2,
            agent_kills: 1,
            stale_agent: true,
            moves: 2,
            late: 1,
            cuts: 1,
            passes: 2,
            ..usual()
        },
        RelayModel {
            name: "a relay killed at any step",
            relay_kills: 2,
            cuts: 1,
            passes: 2,
            ..usual()
        },
        RelayModel {
            name: "an instance that moves in the middle of a change, late messages",
            relays: 2,
            moves: 2,
            late: 1,
            cuts: 1,
            passes: 2,
            ..usual()
        },
        RelayModel {
            name: "two instances behind one relay, its connection cut, the agent killed",
            instances: vec![0, 0],
            agent_kills: 1,
            cuts: 1,
            ..usual()
        },
    ]
}

/// Larger models, which take minutes.
pub fn larger_relay_models() -> Vec<RelayModel> {
    let usual = || RelayModel {
        instances: vec![0, 1],
        relays: 2,
        pushes: true,
        ..RelayModel::default()
    };
    vec![
        RelayModel {
            name: "two relays, the agent killed, its records lost, a cut",
            agent_kills: 1,
            loses_state: true,
            cuts: 1,
            passes: 1,
            ..usual()
        },
        RelayModel {
            name: "two relays, a relay killed, an instance that moves, late reports",
            relay_kills: 1,
            moves: 1,
            late: 1,
            ..usual()
        },
    ]
}

impl RelayModel {
    /// The change that is pushed.
    fn change(&self, base: u64) -> Change {
        Change {
            id: "change".into(),
            base,
            note: String::new(),
            select: Selector::default(),
            rollout: Policy {
                waves: vec![],
                at_once: 4,
                pause: UNIT,
                silence: 3 * UNIT,
                failures: 4,
                then: Then::Stop,
                gate: None,
            },
            what: What::Set(edits()),
        }
    }
}

/// Two settings, so that half a change can be detected.
fn edits() -> Edits {
    let weight = (Key::Weight("w".into()), Some(Value::Weight(100)));
    let drain = (Key::Drain("d".into()), Some(Value::Drained(true)));
    [weight, drain].into()
}

impl Model for RelayModel {
    type State = RelayModelState;
    type Step = Step;

    fn initial(&self) -> RelayModelState {
        let (fleet, out) = match Fleet::restore(rules::fleet_rules(), now(), 0, []) {
            Ok(restored) => restored,
            Err(problem) => panic!("an empty disk makes sense: {problem}"),
        };
        let mut agent = AgentNode {
            fleet,
            disk: BTreeMap::new(),
            routes: BTreeMap::new(),
        };
        agent.save(out.saves);
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
                late: self.late,
                passes: self.passes,
                stale_connections: u8::from(self.stale_agent),
            },
            violation: None,
        };
        // All are registered and alive at the beginning.
        while let Some(step) = self.fair(&state) {
            state = self.apply(&state, &step);
        }
        state
    }

    fn steps(&self, state: &RelayModelState) -> Vec<Step> {
        let mut steps = state.deliveries();
        let remaining = &state.remaining;
        steps.extend((0..state.late.len()).map(Step::DeliverLate));
        for (at, instance) in state.instances.iter().enumerate() {
            if remaining.moves > 0 && state.relays.len() > 1 {
                steps.push(Step::Move {
                    instance: at,
                    leaves_request: false,
                });
                if remaining.late > 0 && instance.request.is_some() {
                    steps.push(Step::Move {
                        instance: at,
                        leaves_request: true,
                    });
                }
            }
        }
        let newest = state.agents.len() - 1;
        for (at, relay) in state.relays.iter().enumerate() {
            match relay.agent {
                None => {
                    steps.push(Step::Connect {
                        relay: at,
                        agent: newest,
                    });
                    if newest > 0 && remaining.stale_connections > 0 {
                        steps.push(Step::Connect {
                            relay: at,
                            agent: 0,
                        });
                    }
                }
                Some(_) if remaining.cuts > 0 => steps.push(Step::Cut(at)),
                Some(_) => {}
            }
            if remaining.relay_kills > 0 {
                steps.push(Step::KillRelay(at));
            }
        }
        if remaining.agent_kills > 0 {
            steps.push(Step::KillAgent { loses_state: false });
            if self.loses_state {
                steps.push(Step::KillAgent { loses_state: true });
            }
        }
        if !state.is_pushed {
            steps.push(Step::Push);
        }
        if remaining.passes > 0 {
            steps.push(Step::Pass);
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
        let whole = (
            hash_of(&state.agents),
            relays,
            hash_of(&state.instances),
            hash_of(&state.late),
            (state.is_pushed, state.remaining, &state.violation),
        );
        let half = |seed: u64| FixedState::with_seed(seed).hash_one(&whole);
        u128::from(half(3)) << 64 | u128::from(half(4))
    }

    fn check(&self, state: &RelayModelState) -> Result<(), String> {
        rules::check_state(state)?;
        rules::rest(state).unwrap_or(Ok(()))
    }

    fn fair(&self, state: &RelayModelState) -> Option<Step> {
        if rules::rest(state).is_some() {
            return None;
        }
        if let Some(step) = state.deliveries().into_iter().next() {
            return Some(step);
        }
        if !state.late.is_empty() {
            return Some(Step::DeliverLate(0));
        }
        let newest = state.agents.len() - 1;
        // An agent that was replaced is ended some time.
        let lost = state
            .relays
            .iter()
            .position(|relay| relay.agent.is_some_and(|agent| agent < newest));
        if let Some(relay) = lost {
            return Some(Step::Cut(relay));
        }
        let apart = state.relays.iter().position(|relay| relay.agent.is_none());
        Some(apart.map_or(Step::Pass, |relay| Step::Connect {
            relay,
            agent: newest,
        }))
    }
}
