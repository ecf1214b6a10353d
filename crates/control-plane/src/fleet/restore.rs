//! The agent is restored from its durable records.

use super::record::{Record, TERM_KEY, parse_member_key, parse_target_key};
use super::{Fleet, FleetOutput, FleetSettings, Time};
use crate::layers::Layers;
use crate::membership::Membership;
use crate::registration_limiter::RegistrationLimiter;
use crate::{Error, Micros};
use std::collections::{BTreeMap, VecDeque};

impl Fleet {
    /// Restores the agent from its records, in a new term that is greater than `above`. The output contains the
    /// record of the term: it must be durable before the agent sends anything.
    ///
    /// # Errors
    /// A record whose key does not match its contents.
    pub fn restore(
        settings: FleetSettings,
        time: Time,
        above: u64,
        records: impl IntoIterator<Item = (String, Record)>,
    ) -> Result<(Self, FleetOutput), Error> {
        let mut fleet = Fleet::empty(settings);
        for (key, record) in records {
            fleet.restore_record(time.now, &key, record)?;
        }
        fleet
            .history
            .make_contiguous()
            .sort_by_key(|entry| entry.revision);
        if let Some(rollout) = &mut fleet.rollout {
            rollout.targets = fleet.results.remove(&rollout.revision).unwrap_or_default();
            rollout.resume(time.now);
        }
        fleet.term = fleet.term.max(above).saturating_add(1);
        let mut out = FleetOutput::default();
        out.save(TERM_KEY, Record::Term(fleet.term));
        Ok((fleet, out))
    }

    /// An agent without records.
    fn empty(settings: FleetSettings) -> Self {
        Fleet {
            settings,
            term: 0,
            superseded_by: None,
            newest_revision: 0,
            layers: Layers::default(),
            rollout: None,
            history: VecDeque::new(),
            results: BTreeMap::new(),
            membership: Membership::new(settings.leases),
            registrations: RegistrationLimiter::new(settings.registration_rate),
            instances: BTreeMap::new(),
            highest_order_number: 0,
            reported_phase: None,
            fleet_limits: None,
            outstanding_duration: 0,
        }
    }

    fn restore_record(&mut self, now: Micros, key: &str, record: Record) -> Result<(), Error> {
        match record {
            Record::Term(term) => self.term = term,
            Record::LeaseDuration(duration) => self.outstanding_duration = duration,
            Record::Settled(newest_revision, layers) => {
                self.newest_revision = newest_revision;
                self.layers = layers;
            }
            Record::Rollout(rollout) => self.rollout = Some(*rollout),
            Record::Target(target) => {
                let (revision, name) = parse_target_key(key)?;
                let targets = self.results.entry(revision).or_default();
                targets.insert(name.to_string(), target);
            }
            Record::Member(member) => {
                let name = parse_member_key(key)?;
                self.membership.restore(now, name.to_string(), member);
            }
            Record::HistoryEntry(entry) => self.history.push_back(*entry),
        }
        Ok(())
    }
}
