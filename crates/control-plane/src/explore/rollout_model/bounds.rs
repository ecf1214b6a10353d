//! The bounds of a model: the number of processes, the changes, and the number of faults.

use super::state::Process;
use crate::change::{Change, Policy, Selector, Share, Then, Traits, What};
use crate::membership::Leases;
use crate::protocol::Who;
use crate::settings::{Edits, Key, Overlay, Value};
use crate::spread::Pace;
use crate::{Instance, Memory, Micros, Rules, Time};
use std::sync::OnceLock;

/// The unit of all durations in the model. Its real length does not matter.
pub(in crate::explore) const UNIT: Micros = 10_000_000;

/// The bounds of a model.
#[derive(Clone, Debug)]
pub struct RolloutModel {
    /// Its name.
    pub name: &'static str,
    /// The processes by the number of their names. Two processes may have the same name.
    pub processes: Vec<usize>,
    /// The names of the instances that refuse every change but the empty one.
    pub refuses: Vec<usize>,
    /// The number of changes that are pushed, at most two.
    pub changes: usize,
    /// The waves of each change.
    pub waves: Vec<Share>,
    /// The most instances with an unanswered order.
    pub at_once: u32,
    /// The most instances that may fail.
    pub failures: u32,
    /// What happens when more fail.
    pub then: Then,
    /// The number of times that the agent is killed.
    pub agent_kills: u8,
    /// Whether a killed agent continues beside the new one, with a disk of its own.
    pub stale_agent: bool,
    /// The number of times that an instance is killed.
    pub kills: u8,
    /// The number of messages that arrive late: after newer ones, or a second time.
    pub late: u8,
    /// The number of repeated pushes.
    pub repeats: u8,
    /// The number of stops and undos.
    pub commands: u8,
    /// The number of lost connections: an instance receives no answer to a report and ends its session.
    pub disconnects: u8,
    /// The number of times that the agent's clock advances alone.
    pub agent_ticks: u8,
    /// Whether the instances are registered and alive at the beginning.
    pub settled: bool,
    /// Whether instances of different names are symmetric. This is sound where one wave contains all at once.
    pub symmetric: bool,
    /// All overlays that an instance may ever have in effect.
    pub(super) possible: OnceLock<Vec<Overlay>>,
}

impl Default for RolloutModel {
    fn default() -> Self {
        RolloutModel {
            name: "",
            processes: vec![0, 1],
            refuses: vec![],
            changes: 1,
            waves: vec![Share::Count(1)],
            at_once: 2,
            failures: 0,
            then: Then::TakeBack,
            agent_kills: 0,
            stale_agent: false,
            kills: 0,
            late: 0,
            repeats: 0,
            commands: 0,
            disconnects: 1,
            agent_ticks: 1,
            settled: true,
            symmetric: false,
            possible: OnceLock::new(),
        }
    }
}

pub(in crate::explore) fn rules() -> Rules {
    Rules {
        leases: Leases {
            lease: 2 * UNIT,
            grace: UNIT,
            memory: 1_000 * UNIT,
            most: 8,
        },
        pace: Pace {
            rate: u32::MAX,
            burst: u32::MAX,
            horizon: UNIT,
        },
        every: UNIT,
    }
}

pub(in crate::explore) fn now() -> Time {
    Time::default()
}

fn edits(change: usize) -> Edits {
    // Two settings, so that a partly applied change can be detected. One of them is set by both changes.
    let weight = Value::Weight(100 * (change as u32 + 1));
    let other = Key::Drain(format!("d{change}"));
    [
        (Key::Weight("w".into()), Some(weight)),
        (other, Some(Value::Drained(true))),
    ]
    .into()
}

impl RolloutModel {
    pub(super) fn change(&self, number: usize, base: u64) -> Change {
        Change {
            id: format!("c{number}"),
            base,
            note: String::new(),
            select: Selector::default(),
            rollout: Policy {
                waves: self.waves.clone(),
                at_once: self.at_once,
                pause: UNIT,
                silence: 2 * UNIT,
                failures: self.failures,
                then: self.then,
                gate: None,
            },
            what: What::Set(edits(number)),
        }
    }

    pub(super) fn all_possible(&self) -> Vec<Overlay> {
        let mut possible = vec![Overlay::default()];
        let mut at = 0;
        while let Some(former) = possible.get(at).cloned() {
            for change in 0..self.changes {
                let mut overlay = former.clone();
                overlay.apply(&edits(change));
                if !possible.contains(&overlay) {
                    possible.push(overlay);
                }
            }
            at += 1;
        }
        possible
    }

    pub(super) fn process(
        &self,
        name: usize,
        start: u64,
        incarnation: u64,
        memory: Memory,
    ) -> Process {
        let who = Who {
            name: format!("i{name}"),
            start,
            incarnation,
        };
        let effective = memory.overlay.0.clone();
        let machine = Instance::new(0, who, Traits::default(), memory.clone()).max_unanswered(1);
        let (in_progress, last, obeyed, obeyed_term) = Default::default();
        Process {
            name,
            machine,
            effective,
            in_progress,
            memory,
            last,
            obeyed,
            obeyed_term,
        }
    }

    pub(super) fn names(&self) -> usize {
        self.processes.iter().max().map_or(0, |most| most + 1)
    }
}
