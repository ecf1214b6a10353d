//! The agent, whole: who is there, what the fleet has settled on, the rollout under way, and what is ordered of each.

mod declined;
#[cfg(any(test, feature = "explore"))]
mod explored;
mod limits;
mod note;
mod operator;
mod orders;
mod record;
mod registry;
mod rollouts;

pub use declined::{Accepted, Declined, Since, StandDown, difference};
pub use note::Note;
pub use orders::Line;
pub use record::{By, Entry, Record, Unsound};

use crate::Micros;
use crate::change::Layers;
use crate::lending::Desk;
use crate::membership::{Leases, Membership};
use crate::protocol::{ToAgent, ToInstance};
use crate::rollout::{Phase, Rollout, Target};
use crate::spread::{Pace, Spread};
use std::collections::{BTreeMap, VecDeque};

/// So many ended changes are remembered.
pub const HISTORY: usize = 64;
/// Of so many of them, what came of each instance.
pub const RESULTS: usize = 16;

/// Now, on both clocks. Nothing is decided by the wall's.
#[derive(Clone, Copy, Debug, Default)]
pub struct Time {
    /// Monotonic, in microseconds.
    pub now: Micros,
    /// Milliseconds since 1970, for people.
    pub wall: u64,
}

/// Figures of an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Rules {
    /// Leases of instances.
    pub leases: Leases,
    /// How fast they may register.
    pub pace: Pace,
    /// How often they report, in microseconds; at most a third of the lease.
    pub every: Micros,
}

impl Default for Rules {
    fn default() -> Self {
        Rules { leases: Leases::default(), pace: Pace::default(), every: 3_000_000 }
    }
}

/// What a call asks for. The saves must be durable, all or none, before anything is sent or answered; where they
/// can't be, the machine must be thrown away and restored from what lasts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// Records to be kept, or deleted, by key.
    pub saves: BTreeMap<String, Option<Record>>,
    /// Messages to instances. Those that can't be sent are dropped.
    pub sends: Vec<(String, ToInstance)>,
    /// For the log.
    pub notes: Vec<Note>,
}

/// The agent without its I/O.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Fleet {
    rules: Rules,
    term: u64,
    stood_down: Option<u64>,
    newest: u64,
    layers: Layers,
    rollout: Option<Rollout>,
    history: VecDeque<Entry>,
    results: BTreeMap<u64, BTreeMap<String, Target>>,
    membership: Membership,
    spread: Spread,
    lines: BTreeMap<String, Line>,
    /// The greatest order number of the lines that were dropped in this term; new ones begin above.
    numbers: u64,
    /// The phase of the rollout that was last told to the log.
    told: Option<Phase>,
    /// Lends fleet-wide limits, where the agent's file has any.
    desk: Option<Box<Desk>>,
    /// How long leases may last that are out.
    lent_for: Micros,
}

impl Fleet {
    /// The agent as its records say, in a new term. The output holds the term: it must last before the agent says
    /// anything to anyone. `above` is a term that the new one must be greater than.
    ///
    /// # Errors
    /// A record whose key and contents do not fit each other.
    pub fn restore(
        rules: Rules,
        time: Time,
        above: u64,
        records: impl IntoIterator<Item = (String, Record)>,
    ) -> Result<(Self, Output), Unsound> {
        let membership = Membership::new(rules.leases);
        let spread = Spread::new(rules.pace);
        let mut fleet = Fleet {
            rules,
            term: 0,
            stood_down: None,
            newest: 0,
            layers: Layers::default(),
            rollout: None,
            history: VecDeque::new(),
            results: BTreeMap::new(),
            membership,
            spread,
            lines: BTreeMap::new(),
            numbers: 0,
            told: None,
            desk: None,
            lent_for: 0,
        };
        let mut entries = BTreeMap::new();
        for (key, record) in records {
            let unsound = |problem: &str| Unsound { key: key.clone(), problem: problem.to_string() };
            match record {
                Record::Term(term) => fleet.term = term,
                Record::Lending(lasts) => fleet.lent_for = lasts,
                Record::Settled(newest, layers) => (fleet.newest, fleet.layers) = (newest, layers),
                Record::Rollout(rollout) => fleet.rollout = Some(*rollout),
                Record::Target(target) => {
                    let place = key.strip_prefix("target/").and_then(|rest| rest.split_once('/'));
                    let (revision, name) = place.ok_or_else(|| unsound("is no key of a target"))?;
                    let revision = revision.parse().map_err(|_| unsound("holds no revision"))?;
                    fleet.results.entry(revision).or_default().insert(name.to_string(), target);
                }
                Record::Member(kept) => {
                    let name = key.strip_prefix("member/").ok_or_else(|| unsound("is no key of a member"))?;
                    fleet.membership.restore(time.now, name.to_string(), kept);
                }
                Record::Entry(entry) => {
                    entries.insert(entry.revision, *entry);
                }
            }
        }
        fleet.history = entries.into_values().collect();
        if let Some(rollout) = &mut fleet.rollout {
            rollout.targets = fleet.results.remove(&rollout.revision).unwrap_or_default();
            rollout.resume(time.now);
        }
        fleet.term = fleet.term.max(above).saturating_add(1);
        let mut out = Output::default();
        out.saves.insert("term".into(), Some(Record::Term(fleet.term)));
        Ok((fleet, out))
    }

    /// A message has come from an instance. `jitter` is a random number.
    pub fn receive(&mut self, time: Time, message: &ToAgent, jitter: u64) -> Output {
        let mut out = Output::default();
        match message {
            ToAgent::Register(wish) => self.register(time, wish, jitter, &mut out),
            ToAgent::Report(report) => self.report(time, report, &mut out),
        }
        out
    }

    /// Time has passed.
    pub fn tick(&mut self, time: Time) -> Output {
        let mut out = Output::default();
        for (name, presence) in self.membership.tick(time.now) {
            if self.membership.get(&name).is_none() {
                let number = self.lines.remove(&name).map_or(0, |line| line.number);
                self.numbers = self.numbers.max(number);
                out.saves.insert(format!("member/{name}"), None);
            } else {
                out.notes.push(Note::Presence(name, presence));
            }
        }
        self.advance(time, &mut out);
        if let Some(desk) = &mut self.desk {
            let words = desk.lender.tick(time.now);
            out.sends.extend(words.into_iter().map(|(name, lent)| (name, ToInstance::Lent(lent))));
        }
        self.note_lending(&mut out);
        out
    }

    /// When [`Fleet::tick`] is to be called next, if nothing else happens before.
    pub fn next(&self, now: Micros) -> Option<Micros> {
        let rollout = self.rollout.as_ref().and_then(|rollout| rollout.next(now));
        let lending = self.desk.as_ref().and_then(|desk| desk.lender.next(now));
        self.membership.next().into_iter().chain(rollout).chain(lending).min()
    }

    /// The term of this agent.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// The later term that has been heard of, if one has.
    pub fn stood_down(&self) -> Option<u64> {
        self.stood_down
    }

    /// The newest revision.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// What the fleet has settled on.
    pub fn layers(&self) -> &Layers {
        &self.layers
    }

    /// The rollout under way.
    pub fn rollout(&self) -> Option<&Rollout> {
        self.rollout.as_ref()
    }

    /// Changes that have ended, oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &Entry> {
        self.history.iter()
    }

    /// What came of each instance for an ended change, while that is remembered.
    pub fn results(&self, revision: u64) -> Option<&BTreeMap<String, Target>> {
        self.results.get(&revision)
    }

    /// Who is there.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// What is known of an instance beside its membership.
    pub fn line(&self, name: &str) -> Option<&Line> {
        self.lines.get(name)
    }

    /// Whether an instance has what it is to have. None if it is not known.
    pub fn in_line(&self, name: &str) -> Option<bool> {
        let line = self.lines.get(name)?;
        Some(line.holding.overlay == self.wanted(name).0.fingerprint())
    }
}
