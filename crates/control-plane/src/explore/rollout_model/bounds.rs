//! The bounds of a model: the number of processes, the changes, and the number of faults.

use crate::change::{Change, Operation};
use crate::explore::fixture::TIME_UNIT;
use crate::policy::{FailureAction, RolloutPolicy, StageSize};
use crate::selector::Selector;
use crate::settings::{Edits, Key, Overlay, Value};
use std::sync::OnceLock;

/// The bounds of a model.
#[derive(Clone, Debug)]
pub struct RolloutModel {
    /// Its name.
    pub name: &'static str,
    /// The processes by the number of their names. Two processes may have the same name.
    pub processes: Vec<usize>,
    /// The names of the instances that refuse every change but the empty one.
    pub refusing_names: Vec<usize>,
    /// The number of changes that are pushed, at most two.
    pub changes: usize,
    /// The stages of each change.
    pub stages: Vec<StageSize>,
    /// The most instances with an unanswered order.
    pub max_unanswered: u32,
    /// The most instances that may fail.
    pub max_failures: u32,
    /// What the rollout does when more fail.
    pub on_failure: FailureAction,
    /// The number of times that the agent is killed.
    pub agent_kills: u8,
    /// Whether a killed agent continues beside the new one, with a disk of its own.
    pub stale_agent: bool,
    /// The number of times that an instance is killed.
    pub instance_kills: u8,
    /// The number of messages that arrive late: after newer ones, or a second time.
    pub late_messages: u8,
    /// The number of repeated pushes.
    pub repeated_pushes: u8,
    /// The number of stops and undos.
    pub commands: u8,
    /// The number of lost connections: an instance receives no answer to a report and ends its session.
    pub disconnects: u8,
    /// The number of times that the agent's clock advances alone.
    pub agent_ticks: u8,
    /// Whether the instances are registered and alive at the beginning.
    pub starts_settled: bool,
    /// Whether instances of different names are symmetric. This is sound where one stage contains all at once.
    pub symmetric: bool,
    /// The result of [`RolloutModel::possible_overlays`], computed once.
    pub(super) possible: OnceLock<Vec<Overlay>>,
}

impl Default for RolloutModel {
    fn default() -> Self {
        RolloutModel {
            name: "",
            processes: vec![0, 1],
            refusing_names: vec![],
            changes: 1,
            stages: vec![StageSize::Count(1)],
            max_unanswered: 2,
            max_failures: 0,
            on_failure: FailureAction::RollBack,
            agent_kills: 0,
            stale_agent: false,
            instance_kills: 0,
            late_messages: 0,
            repeated_pushes: 0,
            commands: 0,
            disconnects: 1,
            agent_ticks: 1,
            starts_settled: true,
            symmetric: false,
            possible: OnceLock::new(),
        }
    }
}

/// The settings of a change. There are two, so that a partly applied change can be detected. One of them is set by both
/// changes.
fn edits(change: usize) -> Edits {
    let weight = Value::Weight(100 * (change as u32 + 1));
    let drain = Key::Drain(format!("d{change}"));
    [
        (Key::Weight("w".into()), Some(weight)),
        (drain, Some(Value::Drained(true))),
    ]
    .into()
}

impl RolloutModel {
    /// The change of a number, made on a revision.
    pub(super) fn change(&self, number: usize, base: u64) -> Change {
        Change {
            id: format!("c{number}"),
            base,
            note: String::new(),
            select: Selector::default(),
            rollout: RolloutPolicy {
                stages: self.stages.clone(),
                max_in_flight: self.max_unanswered,
                stage_pause: TIME_UNIT,
                answer_timeout: 2 * TIME_UNIT,
                max_failures: self.max_failures,
                on_failure: self.on_failure,
                gate: None,
            },
            operation: Operation::Set(edits(number)),
        }
    }

    /// All overlays that an instance may ever have in effect.
    pub(super) fn possible_overlays(&self) -> Vec<Overlay> {
        let mut overlays = vec![Overlay::default()];
        let mut at = 0;
        while let Some(former) = overlays.get(at).cloned() {
            for change in 0..self.changes {
                let mut overlay = former.clone();
                overlay.apply(&edits(change));
                if !overlays.contains(&overlay) {
                    overlays.push(overlay);
                }
            }
            at += 1;
        }
        overlays
    }

    /// The number of names.
    pub(super) fn names(&self) -> usize {
        self.processes.iter().max().map_or(0, |most| most + 1)
    }
}
