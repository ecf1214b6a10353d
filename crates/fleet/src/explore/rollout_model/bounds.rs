//! The bounds of a model: how many processes there are, what they are asked for and how much may go wrong.

use super::state::Process;
use crate::change::{Change, Policy, Selector, Share, Then, Traits, What};
use crate::membership::Leases;
use crate::protocol::Who;
use crate::settings::{Edits, Key, Overlay, Value};
use crate::spread::Pace;
use crate::{Instance, Memory, Micros, Rules, Time};
use std::sync::OnceLock;

/// The unit of all spans in the world. What it is in real time does not matter.
pub(super) const UNIT: Micros = 10_000_000;

/// How much of what can go wrong does.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// What it is called.
    pub name: &'static str,
    /// Processes; each number is a name. Two processes may have one name.
    pub processes: Vec<usize>,
    /// The instances by name that refuse every change but the empty one.
    pub refuses: Vec<usize>,
    /// Changes pushed, of two.
    pub changes: usize,
    /// Waves of each, and how many at once.
    pub waves: Vec<Share>,
    /// How many at once.
    pub at_once: u32,
    /// How many may fail.
    pub failures: u32,
    /// What happens then.
    pub then: Then,
    /// Kills of the agent.
    pub agent_kills: u8,
    /// Whether a killed agent goes on all the same, with a disk of its own, beside the new one.
    pub ghost: bool,
    /// Kills of instances.
    pub kills: u8,
    /// Messages that come late: after newer ones, or once more.
    pub late: u8,
    /// Repeats of pushes.
    pub repeats: u8,
    /// Stops and undoings.
    pub commands: u8,
    /// Connections that are lost: an instance hears no answer to a report and goes away.
    pub cuts: u8,
    /// Times that the agent's clock goes on alone.
    pub agent_ticks: u8,
    /// Whether the instances are known and alive at the beginning.
    pub settled: bool,
    /// Whether instances of different names are alike. Sound where one wave takes all at once.
    pub alike: bool,
    /// All that an instance may ever have in effect.
    pub(super) possible: OnceLock<Vec<Overlay>>,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            name: "",
            processes: vec![0, 1],
            refuses: vec![],
            changes: 1,
            waves: vec![Share::Count(1)],
            at_once: 2,
            failures: 0,
            then: Then::TakeBack,
            agent_kills: 0,
            ghost: false,
            kills: 0,
            late: 0,
            repeats: 0,
            commands: 0,
            cuts: 1,
            agent_ticks: 1,
            settled: true,
            alike: false,
            possible: OnceLock::new(),
        }
    }
}

pub(super) fn rules() -> Rules {
    Rules {
        leases: Leases { lease: 2 * UNIT, grace: UNIT, memory: 1_000 * UNIT, most: 8 },
        pace: Pace { rate: u32::MAX, burst: u32::MAX, horizon: UNIT },
        every: UNIT,
    }
}

pub(super) fn now() -> Time {
    Time::default()
}

fn edits(change: usize) -> Edits {
    // Two settings, so that half of a change can be told from all of it; one of them is set by both changes.
    let weight = Value::Weight(100 * (change as u32 + 1));
    let other = Key::Drain(format!("d{change}"));
    [(Key::Weight("w".into()), Some(weight)), (other, Some(Value::Drained(true)))].into()
}

impl Bounds {
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

    pub(super) fn process(&self, name: usize, start: u64, incarnation: u64, memory: Memory) -> Process {
        let who = Who { name: format!("i{name}"), start, incarnation };
        let real = memory.overlay.0.clone();
        let machine = Instance::new(0, who, Traits::default(), memory.clone()).away_after(1);
        let (taking, last, obeyed, obeyed_term) = Default::default();
        Process { name, machine, real, taking, memory, last, obeyed, obeyed_term }
    }

    pub(super) fn names(&self) -> usize {
        self.processes.iter().max().map_or(0, |most| most + 1)
    }
}
