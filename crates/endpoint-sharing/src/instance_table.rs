//! What the agent knows of the instances that report lists.

use crate::limits::{ENOUGH_WATCHERS, MAX_LISTS};
use crate::message::EndpointListReports;
use crate::timing::Micros;
use crate::version::ListVersion;
use std::collections::BTreeMap;
use std::ops::Bound;

/// An instance that reported within this time counts as present.
pub(crate) const PRESENCE_TIMEOUT: Micros = 5_000_000;
/// An instance that has not reported for this long is forgotten: it gets no updates until it reports again.
const FORGET_AFTER: Micros = 60_000_000;
/// The most instances that are tracked. Further ones get updates only as answers to their own reports.
const MAX_INSTANCES: usize = 16_384;

/// The latest report of one instance.
pub(crate) struct InstanceRecord {
    pub(crate) incarnation: u64,
    pub(crate) sequence: u64,
    pub(crate) reported_at: Micros,
    /// The version that the instance holds of each list that it shares.
    pub(crate) held_versions: BTreeMap<String, Option<ListVersion>>,
    /// The lists for which the instance watches discovery.
    watched_lists: Vec<String>,
}

impl InstanceRecord {
    fn new(now: Micros, incarnation: u64, reports: &EndpointListReports) -> Self {
        let lists = || reports.lists.iter().take(MAX_LISTS);
        let held_versions = lists().map(|report| (report.name.clone(), report.version));
        let watched = lists().filter(|report| report.watches_discovery);
        InstanceRecord {
            incarnation,
            sequence: reports.sequence,
            reported_at: now,
            held_versions: held_versions.collect(),
            watched_lists: watched.map(|report| report.name.clone()).collect(),
        }
    }

    fn is_present(&self, now: Micros) -> bool {
        now.saturating_sub(self.reported_at) <= PRESENCE_TIMEOUT
    }

    fn watches(&self, list: &str) -> bool {
        self.watched_lists.iter().any(|watched| watched == list)
    }
}

/// The instances that reported recently, by name. At most [`MAX_INSTANCES`].
#[derive(Default)]
pub(crate) struct InstanceTable {
    instances: BTreeMap<String, InstanceRecord>,
}

impl InstanceTable {
    /// Records a report, unless a later one of the same incarnation is known or the table is full.
    pub(crate) fn record(
        &mut self,
        now: Micros,
        name: &str,
        incarnation: u64,
        reports: &EndpointListReports,
    ) {
        let known = self.instances.get(name);
        let is_full = known.is_none() && self.instances.len() >= MAX_INSTANCES;
        let is_latest = known.is_none_or(|record| {
            record.incarnation != incarnation || record.sequence < reports.sequence
        });
        if is_latest && !is_full {
            let record = InstanceRecord::new(now, incarnation, reports);
            self.instances.insert(name.into(), record);
        }
    }

    /// Forgets instances that have not reported for [`FORGET_AFTER`].
    pub(crate) fn forget_silent(&mut self, now: Micros) {
        self.instances
            .retain(|_, record| now.saturating_sub(record.reported_at) <= FORGET_AFTER);
    }

    /// All instances but the one of this name.
    pub(crate) fn others(&self, name: &str) -> impl Iterator<Item = (&String, &InstanceRecord)> {
        self.instances
            .iter()
            .filter(move |(other, _)| *other != name)
    }

    /// The number of present instances that watch discovery for a list.
    pub(crate) fn watcher_count(&self, now: Micros, list: &str) -> usize {
        self.present(now)
            .filter(|record| record.watches(list))
            .count()
    }

    /// The number of present instances that share a list and hold another version of it.
    pub(crate) fn behind_count(&self, now: Micros, list: &str, version: ListVersion) -> usize {
        let holds_other = |record: &&InstanceRecord| {
            let held = record.held_versions.get(list);
            held.is_some_and(|held| *held != Some(version))
        };
        self.present(now).filter(holds_other).count()
    }

    /// Whether [`ENOUGH_WATCHERS`] present instances whose names sort before this one watch discovery for a list. The
    /// first names go on watching, so that not all instances stop at once.
    pub(crate) fn has_enough_watchers_before(&self, now: Micros, name: &str, list: &str) -> bool {
        self.instances
            .range::<str, _>((Bound::Unbounded, Bound::Excluded(name)))
            .filter(|(_, record)| record.is_present(now) && record.watches(list))
            .nth(ENOUGH_WATCHERS - 1)
            .is_some()
    }

    fn present(&self, now: Micros) -> impl Iterator<Item = &InstanceRecord> {
        self.instances
            .values()
            .filter(move |record| record.is_present(now))
    }
}
