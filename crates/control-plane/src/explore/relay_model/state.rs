//! A state of the model: agents with their disks, relays, instances, and messages in transit.

use super::step::Step;
use crate::explore::InvariantViolation;
use crate::explore::fixture::{TIME_UNIT, UNLIMITED_RATE};
use crate::explore::state_hash::hash_of;
use crate::fleet::Record;
use crate::protocol::{FencingToken, InstanceId, Order, ToAgent, ToInstance};
use crate::relay::{AddressedMessage, BatchAnswer, Relay, RelaySettings};
use crate::selector::Attributes;
use crate::settings::{Key, Value};
use crate::{Fleet, Instance, PersistedInstance};
use std::collections::BTreeMap;

/// An agent with its disk.
#[derive(Clone, Debug, Hash)]
pub(super) struct AgentNode {
    pub(super) fleet: Fleet,
    pub(super) disk: BTreeMap<String, Record>,
    /// The relay that each instance has last come through, by name.
    pub(super) routes: BTreeMap<String, usize>,
}

impl AgentNode {
    /// Stores records on the disk.
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
    /// The agent that it is connected to.
    pub(super) agent: Option<usize>,
    /// The answer to its batch, in transit.
    pub(super) answer: Option<BatchAnswer>,
    /// Messages in transit on its watch, oldest first.
    pub(super) watch_messages: Vec<AddressedMessage>,
}

impl RelayNode {
    pub(super) fn new() -> Self {
        let rules = RelaySettings {
            child_lease: 3 * TIME_UNIT,
            answer_timeout: TIME_UNIT / 5,
            max_children: 8,
            registration_rate: UNLIMITED_RATE,
        };
        RelayNode {
            relay: Relay::new(rules),
            agent: None,
            answer: None,
            watch_messages: Vec::new(),
        }
    }

    /// The hash of the relay and of what is in transit.
    pub(super) fn explored_hash(&self) -> u64 {
        hash_of((
            self.relay.explored_hash(),
            self.agent,
            &self.answer,
            &self.watch_messages,
        ))
    }
}

/// An instance, and what is in transit between it and its relay.
#[derive(Clone, Debug, Hash)]
pub(super) struct InstanceNode {
    pub(super) machine: Instance,
    /// The relay that it is connected to.
    pub(super) relay: usize,
    /// Its next request, in transit.
    pub(super) request: Option<ToAgent>,
    /// Whether a request has arrived whose answer has not: the next one is sent after that.
    pub(super) awaits_answer: bool,
    /// The answer to its request, in transit.
    pub(super) answer: Option<Vec<ToInstance>>,
    /// Messages in transit on its watch, oldest first.
    pub(super) watch_messages: Vec<ToInstance>,
    /// The order that it carries out.
    pub(super) in_progress: Option<Order>,
    /// The settings in effect, apart from what the state machine reports.
    pub(super) effective: BTreeMap<Key, Value>,
    /// The greatest stamp that it has obeyed.
    pub(super) obeyed: FencingToken,
}

impl InstanceNode {
    /// The instance of a number behind a relay.
    pub(super) fn new(number: usize, relay: usize) -> Self {
        let who = InstanceId {
            name: format!("i{number}"),
            start: number as u64 + 1,
            incarnation: 1,
        };
        let machine = Instance::new(0, who, Attributes::default(), PersistedInstance::default())
            .with_max_unanswered_reports(2);
        InstanceNode {
            machine,
            relay,
            request: None,
            awaits_answer: false,
            answer: None,
            watch_messages: Vec::new(),
            in_progress: None,
            effective: BTreeMap::new(),
            obeyed: FencingToken::default(),
        }
    }

    pub(super) fn name(&self) -> &str {
        &self.machine.id().name
    }

    /// The connection to its relay ends.
    pub(super) fn drop_messages(&mut self) {
        self.request = None;
        self.awaits_answer = false;
        self.answer = None;
        self.watch_messages.clear();
    }
}

/// How often each fault may still happen.
#[derive(Clone, Copy, Debug, Hash)]
pub(super) struct Remaining {
    pub(super) agent_kills: u8,
    pub(super) relay_kills: u8,
    pub(super) cuts: u8,
    pub(super) moves: u8,
    pub(super) late_messages: u8,
    pub(super) time_advances: u8,
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
    /// Whether the change was pushed, or is none to push.
    pub(super) is_pushed: bool,
    pub(super) remaining: Remaining,
    /// The first violation that a transition has shown.
    pub(super) violation: Option<InvariantViolation>,
}

impl RelayModelState {
    /// The index of the newest agent.
    pub(super) fn newest_agent(&self) -> usize {
        self.agents.len() - 1
    }

    /// All messages that may arrive, and orders that may be carried out.
    pub(super) fn deliveries(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for (at, instance) in self.instances.iter().enumerate() {
            if instance.in_progress.is_some() {
                steps.push(Step::ExecuteOrder(at));
            }
            if instance.request.is_some() && !instance.awaits_answer {
                steps.push(Step::Request(at));
            }
            if instance.answer.is_some() {
                steps.push(Step::Answer(at));
            }
            if !instance.watch_messages.is_empty() {
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
            if !relay.watch_messages.is_empty() {
                steps.push(Step::WatchMessage(at));
            }
        }
        steps
    }
}
