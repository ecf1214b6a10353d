//! The agent's state machine: the membership, the changes in effect, the rollout under way, and the orders to each
//! instance.

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
pub use orders::InstanceState;
pub use record::{By, Entry, Record};

use crate::change::Layers;
use crate::fleet_limits::FleetLimits;
use crate::membership::{Leases, Membership};
use crate::protocol::{ToAgent, ToInstance};
use crate::rollout::{Phase, Rollout, Target};
use crate::spread::{Pace, Spread};
use crate::{Error, Micros};
use registry::Admission;
use std::collections::{BTreeMap, VecDeque};

/// The number of ended changes that are remembered.
pub const HISTORY: usize = 64;
/// The number of ended changes whose results by instance are remembered.
pub const RESULTS: usize = 16;

/// The present time by two clocks. No decision depends on the wall clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct Time {
    /// Monotonic time, in microseconds.
    pub now: Micros,
    /// Wall-clock time for people, in milliseconds since 1970.
    pub wall: u64,
}

/// The settings of an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Rules {
    /// The leases of names.
    pub leases: Leases,
    /// The rate of registrations.
    pub pace: Pace,
    /// The report interval, in microseconds; at most a third of the lease.
    pub every: Micros,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            leases: Leases::default(),
            pace: Pace::default(),
            every: 3_000_000,
        }
    }
}

/// The result of a call. The records must be durable, all or none, before any message or answer is sent. Where they
/// cannot be made durable, the state machine must be dropped and restored from the durable records.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// Records to store, or to delete, by key.
    pub saves: BTreeMap<String, Option<Record>>,
    /// Messages to instances, by name. A message that cannot be sent is dropped.
    pub sends: Vec<(String, ToInstance)>,
    /// Events for the log.
    pub notes: Vec<Note>,
}

/// The agent's state machine.
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
    instances: BTreeMap<String, InstanceState>,
    /// The greatest order number of the instances that were forgotten in this term; new ones start above it.
    highest_number: u64,
    /// The phase of the rollout that was last noted for the log.
    noted_phase: Option<Phase>,
    /// The fleet-wide limits; none where the agent's file has none.
    fleet_limits: Option<Box<FleetLimits>>,
    /// The longest duration of leases that may be outstanding.
    outstanding_duration: Micros,
}

impl Fleet {
    /// Restores the agent from its records, in a new term that is greater than `above`. The output contains the
    /// record of the term: it must be durable before the agent sends anything.
    ///
    /// # Errors
    /// A record whose key does not match its contents.
    pub fn restore(
        rules: Rules,
        time: Time,
        above: u64,
        records: impl IntoIterator<Item = (String, Record)>,
    ) -> Result<(Self, Output), Error> {
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
            instances: BTreeMap::new(),
            highest_number: 0,
            noted_phase: None,
            fleet_limits: None,
            outstanding_duration: 0,
        };
        let mut entries = BTreeMap::new();
        for (key, record) in records {
            match record {
                Record::Term(term) => fleet.term = term,
                Record::LeaseDuration(duration) => fleet.outstanding_duration = duration,
                Record::Settled(newest, layers) => (fleet.newest, fleet.layers) = (newest, layers),
                Record::Rollout(rollout) => fleet.rollout = Some(*rollout),
                Record::Target(target) => {
                    let place = key
                        .strip_prefix("target/")
                        .and_then(|rest| rest.split_once('/'));
                    let (revision, name) =
                        place.ok_or_else(|| Error::InvalidTargetKey { key: key.clone() })?;
                    let revision = revision.parse().map_err(|source| Error::InvalidRevision {
                        key: key.clone(),
                        source,
                    })?;
                    fleet
                        .results
                        .entry(revision)
                        .or_default()
                        .insert(name.to_string(), target);
                }
                Record::Member(member) => {
                    let name = key
                        .strip_prefix("member/")
                        .ok_or_else(|| Error::InvalidMemberKey { key: key.clone() })?;
                    fleet.membership.restore(time.now, name.to_string(), member);
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
        out.saves
            .insert("term".into(), Some(Record::Term(fleet.term)));
        Ok((fleet, out))
    }

    /// Handles a message of an instance. `jitter` must be random.
    pub fn receive(&mut self, time: Time, message: &ToAgent, jitter: u64) -> Output {
        let mut out = Output::default();
        match message {
            ToAgent::Register(registration) => {
                self.register(time, registration, Admission::Paced, jitter, &mut out);
            }
            ToAgent::Report(report) => self.report_all(time, [report], &mut out),
        }
        out
    }

    /// Handles a batch of messages that came through a relay. `jitter` must be random.
    pub fn receive_batch(&mut self, time: Time, batch: &[ToAgent], jitter: u64) -> Output {
        let mut out = Output::default();
        let mut reports = Vec::new();
        for message in batch {
            match message {
                ToAgent::Register(registration) => {
                    self.register(time, registration, Admission::Relayed, jitter, &mut out);
                }
                ToAgent::Report(report) => reports.push(report),
            }
        }
        self.report_all(time, reports, &mut out);
        out
    }

    /// Handles that a relay knows of a term. The agent stands down where it is a later one.
    pub fn hear_of_term(&mut self, term: u64) -> Output {
        let mut out = Output::default();
        self.observe_term(term, &mut out);
        out
    }

    /// Does what is due by now.
    pub fn tick(&mut self, time: Time) -> Output {
        let mut out = Output::default();
        for (name, presence) in self.membership.tick(time.now) {
            if self.membership.get(&name).is_none() {
                let number = self
                    .instances
                    .remove(&name)
                    .map_or(0, |instance| instance.number);
                self.highest_number = self.highest_number.max(number);
                out.saves.insert(format!("member/{name}"), None);
            } else {
                out.notes.push(Note::Presence(name, presence));
            }
        }
        self.advance(time, &mut out);
        if let Some(fleet_limits) = &mut self.fleet_limits {
            let grants = fleet_limits.server.tick(time.now);
            out.sends.extend(
                grants
                    .into_iter()
                    .map(|(name, grant)| (name, ToInstance::Lent(grant))),
            );
        }
        self.collect_lease_notes(&mut out);
        out
    }

    /// When [`Fleet::tick`] is due next, if nothing else happens before.
    pub fn next(&self, now: Micros) -> Option<Micros> {
        let rollout = self.rollout.as_ref().and_then(|rollout| rollout.next(now));
        let leases = self
            .fleet_limits
            .as_ref()
            .and_then(|fleet_limits| fleet_limits.server.next(now));
        self.membership
            .next()
            .into_iter()
            .chain(rollout)
            .chain(leases)
            .min()
    }

    /// The term of this agent.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// The term of a later agent, if one is known.
    pub fn stood_down(&self) -> Option<u64> {
        self.stood_down
    }

    /// The newest revision.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// The changes in effect.
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

    /// The results of an ended change by instance, while they are remembered.
    pub fn results(&self, revision: u64) -> Option<&BTreeMap<String, Target>> {
        self.results.get(&revision)
    }

    /// The membership.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// The state of an instance beside its membership.
    pub fn line(&self, name: &str) -> Option<&InstanceState> {
        self.instances.get(name)
    }

    /// Whether the desired settings are in effect on an instance; `None` where the instance is not known.
    pub fn in_line(&self, name: &str) -> Option<bool> {
        let instance = self.instances.get(name)?;
        Some(instance.holding.overlay == self.desired_settings(name).0.fingerprint())
    }
}
