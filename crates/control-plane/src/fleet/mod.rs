//! The agent's state machine: the membership, the changes in effect, the rollout under way, and the orders to each
//! instance.

mod event;
#[cfg(any(test, feature = "explore"))]
mod explored;
mod limits;
mod orders;
mod output;
mod push;
mod record;
mod registry;
mod rejection;
mod restore;
mod rollouts;
mod undo;

pub use event::FleetEvent;
pub use orders::InstanceState;
pub use output::FleetOutput;
pub use record::{HistoryEntry, Record};
pub use rejection::{Accepted, InterveningChange, Rejection, SupersededBy, describe_operation};

use crate::Micros;
use crate::fleet_limits::FleetLimits;
use crate::layers::Layers;
use crate::membership::{LeaseSettings, Membership};
use crate::protocol::{ToAgent, ToInstance};
use crate::registration_limiter::{RegistrationLimiter, RegistrationRate};
use crate::rollout::{Phase, Rollout, Target};
use record::member_key;
use registry::Admission;
use std::collections::{BTreeMap, VecDeque};

/// The most changes that are remembered after their rollouts have ended.
pub const MAX_HISTORY: usize = 64;
/// The most of these changes whose results on each instance are remembered.
pub const MAX_REMEMBERED_RESULTS: usize = 16;

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
pub struct FleetSettings {
    /// The leases of names.
    pub leases: LeaseSettings,
    /// The rate of registrations.
    pub registration_rate: RegistrationRate,
    /// The report interval, in microseconds; at most a third of the lease.
    pub report_interval: Micros,
}

impl Default for FleetSettings {
    fn default() -> Self {
        FleetSettings {
            leases: LeaseSettings::default(),
            registration_rate: RegistrationRate::default(),
            report_interval: 3_000_000,
        }
    }
}

/// The agent's state machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Fleet {
    settings: FleetSettings,
    /// The term of this agent.
    term: u64,
    /// The term of a later agent, once one is known.
    superseded_by: Option<u64>,
    newest_revision: u64,
    /// The changes in effect.
    layers: Layers,
    /// The rollout under way.
    rollout: Option<Rollout>,
    /// The changes that have ended, oldest first.
    history: VecDeque<HistoryEntry>,
    /// The results of the newest of them on each instance, by revision.
    results: BTreeMap<u64, BTreeMap<String, Target>>,
    membership: Membership,
    registrations: RegistrationLimiter,
    instances: BTreeMap<String, InstanceState>,
    /// The greatest order number of the instances that were forgotten in this term; new ones start above it.
    highest_order_number: u64,
    /// The phase of the rollout that was last reported as an event.
    reported_phase: Option<Phase>,
    /// The fleet-wide limits; none where the agent's file has none.
    fleet_limits: Option<Box<FleetLimits>>,
    /// The longest duration of leases that may be outstanding, in microseconds.
    outstanding_duration: Micros,
}

impl Fleet {
    /// Handles a message of an instance. `jitter` must be random.
    pub fn receive(&mut self, time: Time, message: &ToAgent, jitter: u64) -> FleetOutput {
        let mut out = FleetOutput::default();
        match message {
            ToAgent::Register(registration) => {
                self.register(time, registration, Admission::RateLimited, jitter, &mut out);
            }
            ToAgent::Report(report) => self.report_all(time, [report], &mut out),
        }
        out
    }

    /// Handles a batch of messages that came through a relay. `jitter` must be random.
    pub fn receive_batch(&mut self, time: Time, batch: &[ToAgent], jitter: u64) -> FleetOutput {
        let mut out = FleetOutput::default();
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

    /// Handles a term that a relay knows. A later one than the agent's own supersedes the agent.
    pub fn observe_relay_term(&mut self, term: u64) -> FleetOutput {
        let mut out = FleetOutput::default();
        self.observe_term(term, &mut out);
        out
    }

    /// Makes all transitions that are due.
    pub fn tick(&mut self, time: Time) -> FleetOutput {
        let mut out = FleetOutput::default();
        for (name, state) in self.membership.tick(time.now) {
            if self.membership.get(&name).is_some() {
                out.events.push(FleetEvent::MemberState { name, state });
            } else {
                self.forget_instance(&name, &mut out);
            }
        }
        self.advance(time, &mut out);
        if let Some(fleet_limits) = &mut self.fleet_limits {
            for addressed in fleet_limits.server.tick(time.now) {
                out.send(&addressed.instance, ToInstance::LeaseGrant(addressed.grant));
            }
        }
        self.collect_lease_events(&mut out);
        out
    }

    /// Drops the state and the record of a member that was forgotten.
    fn forget_instance(&mut self, name: &str, out: &mut FleetOutput) {
        let number = self
            .instances
            .remove(name)
            .map_or(0, |instance| instance.last_order_number);
        self.highest_order_number = self.highest_order_number.max(number);
        out.delete(member_key(name));
    }

    /// When [`Fleet::tick`] is due next, if nothing else happens before.
    pub fn next_deadline(&self, now: Micros) -> Option<Micros> {
        let rollout = self
            .rollout
            .as_ref()
            .and_then(|rollout| rollout.next_deadline(now));
        let leases = self
            .fleet_limits
            .as_ref()
            .and_then(|fleet_limits| fleet_limits.server.next_tick(now));
        self.membership
            .next_deadline()
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
    pub fn superseded_by(&self) -> Option<u64> {
        self.superseded_by
    }

    /// The newest revision.
    pub fn newest_revision(&self) -> u64 {
        self.newest_revision
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
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &HistoryEntry> {
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
    pub fn instance(&self, name: &str) -> Option<&InstanceState> {
        self.instances.get(name)
    }

    /// Whether the desired configuration is in effect on an instance; `None` where the instance is not known.
    pub fn has_converged(&self, name: &str) -> Option<bool> {
        let instance = self.instances.get(name)?;
        let desired = self.desired_configuration(name).overlay.fingerprint();
        Some(instance.applied.fingerprint == desired)
    }
}
