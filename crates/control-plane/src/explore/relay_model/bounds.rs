//! The bounds of a model: the number of instances and relays, the change, and the number of faults.

use crate::change::{Change, Operation};
use crate::explore::fixture::TIME_UNIT;
use crate::policy::{FailureAction, RolloutPolicy};
use crate::selector::Selector;
use crate::settings::{Edits, Key, Value};

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
    /// The number of times that the agent is killed.
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
    pub late_messages: u8,
    /// The number of times that time advances while messages are in transit.
    pub time_advances: u8,
}

impl RelayModel {
    /// The change that is pushed.
    pub(super) fn change(&self, base: u64) -> Change {
        Change {
            id: "change".into(),
            base,
            note: String::new(),
            select: Selector::default(),
            rollout: RolloutPolicy {
                stages: vec![],
                max_in_flight: 4,
                stage_pause: TIME_UNIT,
                answer_timeout: 3 * TIME_UNIT,
                max_failures: 4,
                on_failure: FailureAction::Stop,
                gate: None,
            },
            operation: Operation::Set(edits()),
        }
    }
}

/// The settings of the change. There are two, so that a partly applied change can be detected.
pub(super) fn edits() -> Edits {
    let weight = (Key::Weight("w".into()), Some(Value::Weight(100)));
    let drain = (Key::Drain("d".into()), Some(Value::Drained(true)));
    [weight, drain].into()
}
