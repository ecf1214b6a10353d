//! A state of the model, and its transitions by name.

use super::super::rollout_model::{UNIT, hash_of};
use crate::change::Traits;
use crate::fleet::Record;
use crate::protocol::{Order, Stamp, ToAgent, ToInstance, Who};
use crate::relay::{Addressed, BatchAnswer, Relay, RelayRules};
use crate::settings::{Key, Value};
use crate::spread::Pace;
use crate::{Fleet, Instance, Memory};
use std::collections::BTreeMap;
use std::fmt;

/// An agent with its disk, and the relay that each instance is behind.
#[derive(Clone, Debug, Hash)]
pub(super) struct AgentNode {
    pub(super) fleet: Fleet,
    pub(super) disk: BTreeMap<String, Record>,
    pub(super) routes: BTreeMap<String, usize>,
}

impl AgentNode {
    pub(super) fn save(&mut self, saves: BTreeMap<String, Option<Record>>) {
        for (key, record) in saves {
            match record {
                Some(record) => self.disk.insert(key, record),
                None => self.disk.remove(&key),
            };
        }
    }
}

/// A relay, and what is in transit between it and the agent that it is connected to.
#[derive(Clone, Debug)]
pub(super) struct RelayNode {
    pub(super) relay: Relay,
    pub(super) agent: Option<usize>,
    pub(super) answer: Option<BatchAnswer>,
    pub(super) lines: Vec<Addressed>,
}

impl RelayNode {
    pub(super) fn new() -> Self {
        let rules = RelayRules {
            lease: 3 * UNIT,
            answer_timeout: UNIT / 5,
            max_children: 8,
            pace: Pace {
                rate: u32::MAX,
                burst: u32::MAX,
                horizon: UNIT,
            },
        };
        let (agent, answer, lines) = Default::default();
        RelayNode {
            relay: Relay::new(rules),
            agent,
            answer,
            lines,
        }
    }

    pub(super) fn explored_hash(&self) -> u64 {
        hash_of((
            self.relay.explored_hash(),
            self.agent,
            &self.answer,
            &self.lines,
        ))
    }
}

/// An instance, and what is in transit between it and its relay.
#[derive(Clone, Debug, Hash)]
pub(super) struct InstanceNode {
    pub(super) machine: Instance,
    pub(super) relay: usize,
    pub(super) request: Option<ToAgent>,
    /// A request has arrived whose answer has not: the next one is sent after that.
    pub(super) is_asking: bool,
    pub(super) answer: Option<Vec<ToInstance>>,
    pub(super) pushes: Vec<ToInstance>,
    pub(super) in_progress: Option<Order>,
    /// The settings in effect, apart from what the state machine reports.
    pub(super) effective: BTreeMap<Key, Value>,
    pub(super) obeyed: Stamp,
}

impl InstanceNode {
    pub(super) fn new(number: usize, relay: usize) -> Self {
        let who = Who {
            name: format!("i{number}"),
            start: number as u64 + 1,
            incarnation: 1,
        };
        let machine = Instance::new(0, who, Traits::default(), Memory::default()).max_unanswered(2);
        let (request, is_asking, answer, pushes, in_progress, effective, obeyed) =
            Default::default();
        InstanceNode {
            machine,
            relay,
            request,
            is_asking,
            answer,
            pushes,
            in_progress,
            effective,
            obeyed,
        }
    }

    pub(super) fn name(&self) -> &str {
        &self.machine.who().name
    }

    /// The connection to its relay ends.
    pub(super) fn drop_messages(&mut self) {
        (self.request, self.is_asking, self.answer) = (None, false, None);
        self.pushes.clear();
    }
}

/// How often each fault may still happen.
#[derive(Clone, Copy, Debug, Hash)]
pub(super) struct Remaining {
    pub(super) agent_kills: u8,
    pub(super) relay_kills: u8,
    pub(super) cuts: u8,
    pub(super) moves: u8,
    pub(super) late: u8,
    pub(super) passes: u8,
    pub(super) stale_connections: u8,
}

/// A state of the model.
#[derive(Clone, Debug)]
pub struct RelayModelState {
    /// The newest agent is the last.
    pub(super) agents: Vec<AgentNode>,
    pub(super) relays: Vec<RelayNode>,
    pub(super) instances: Vec<InstanceNode>,
    /// Messages that instances left behind when they moved, with the relay that they arrive at.
    pub(super) late: Vec<(usize, ToAgent)>,
    pub(super) is_pushed: bool,
    pub(super) remaining: Remaining,
    pub(super) violation: Option<String>,
}

impl RelayModelState {
    /// All messages that may arrive, and orders that may be carried out.
    pub(super) fn deliveries(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for (at, instance) in self.instances.iter().enumerate() {
            if instance.in_progress.is_some() {
                steps.push(Step::Take(at));
            }
            if instance.request.is_some() && !instance.is_asking {
                steps.push(Step::Request(at));
            }
            if instance.answer.is_some() {
                steps.push(Step::Answer(at));
            }
            if !instance.pushes.is_empty() {
                steps.push(Step::PushToInstance(at));
            }
        }
        for (at, relay) in self.relays.iter().enumerate() {
            if relay.agent.is_some() && relay.relay.ready_for_batch() > 0 {
                steps.push(Step::Batch(at));
            }
            if relay.answer.is_some() {
                steps.push(Step::BatchAnswer(at));
            }
            if !relay.lines.is_empty() {
                steps.push(Step::Line(at));
            }
        }
        steps
    }
}

/// A transition.
#[derive(Clone, Debug)]
pub enum Step {
    /// A request of an instance arrives at its relay.
    Request(usize),
    /// The answer arrives at the instance.
    Answer(usize),
    /// A message arrives over the instance's watch.
    PushToInstance(usize),
    /// An instance carries an order out.
    Take(usize),
    /// A batch of a relay arrives at the agent.
    Batch(usize),
    /// The answer arrives at the relay.
    BatchAnswer(usize),
    /// A line of the relay's watch arrives.
    Line(usize),
    /// A message arrives that an instance left behind when it moved.
    DeliverLate(usize),
    /// A relay connects to an agent.
    Connect {
        /// The relay.
        relay: usize,
        /// The agent.
        agent: usize,
    },
    /// Its connection is cut.
    Cut(usize),
    /// The agent is killed and started again.
    KillAgent {
        /// Whether its records are lost.
        loses_state: bool,
    },
    /// A relay is killed, and another one takes its place.
    KillRelay(usize),
    /// An instance moves to the next relay.
    Move {
        /// The instance.
        instance: usize,
        /// Whether its last message arrives at the former relay all the same.
        leaves_request: bool,
    },
    /// The change is pushed.
    Push,
    /// Time passes until the next deadline.
    Pass,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::Request(at) => write!(f, "i{at}'s message arrives at its relay"),
            Step::Answer(at) => write!(f, "the answer to it arrives at i{at}"),
            Step::PushToInstance(at) => write!(f, "a message arrives over i{at}'s watch"),
            Step::Take(at) => write!(f, "i{at} carries its order out"),
            Step::Batch(at) => write!(f, "a batch of relay {at} arrives at the agent"),
            Step::BatchAnswer(at) => write!(f, "the answer arrives at relay {at}"),
            Step::Line(at) => write!(f, "a line arrives over the watch of relay {at}"),
            Step::DeliverLate(_) => f.write_str("a late message arrives"),
            Step::Connect { relay, agent } => write!(f, "relay {relay} connects to agent {agent}"),
            Step::Cut(at) => write!(f, "the connection of relay {at} is cut"),
            Step::KillAgent { loses_state: true } => {
                f.write_str("the agent is killed and loses its records")
            }
            Step::KillAgent { .. } => f.write_str("the agent is killed"),
            Step::KillRelay(at) => write!(f, "relay {at} is killed"),
            Step::Move { instance, .. } => write!(f, "i{instance} moves to the next relay"),
            Step::Push => f.write_str("the change is pushed"),
            Step::Pass => f.write_str("time passes"),
        }
    }
}
