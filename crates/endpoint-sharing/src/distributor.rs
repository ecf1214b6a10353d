//! The agent's side: stores the newest version of each list and sends it to the instances that hold another.

use crate::error::Error;
use crate::instance_table::{InstanceRecord, InstanceTable};
use crate::limits::{MAX_LIST_BYTES, MAX_LISTS, MAX_NAME_BYTES};
use crate::message::{
    AgentTimestamp, EndpointListReport, EndpointListReports, EndpointListUpdate,
    EndpointListUpdates,
};
use crate::pending_requests::PendingRequests;
use crate::stored_list::{ReportEffect, StoredList};
use crate::timing::{Micros, longest_real_age, shortest_real_age};
use crate::version::ListVersion;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Something that happened while a report was handled, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DistributionEvent {
    /// The agent has adopted a list from an instance and now distributes it.
    ListAdopted {
        /// The list's name.
        list: String,
        /// Discovery's number of the list.
        index: u64,
        /// The instance that reported it.
        instance: String,
    },
    /// The report of one list was ignored; the instance's other reports were handled.
    ReportRejected {
        /// The instance that reported it.
        instance: String,
        /// What is wrong with it.
        reason: Error,
    },
}

/// What is known of one list, as the agent's status shows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EndpointListStatus {
    /// Discovery's number of the list.
    pub version: u64,
    /// The age of the evidence for it, in microseconds.
    pub age_us: Micros,
    /// The number of present instances that watch discovery for it.
    #[serde(rename = "watched")]
    pub watcher_count: usize,
    /// The number of present instances that hold another version.
    #[serde(rename = "behind")]
    pub behind_count: usize,
}

/// An update for an instance other than the one that reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Push {
    /// The name of the instance.
    pub instance: String,
    /// What it is sent.
    pub updates: EndpointListUpdates,
}

/// The result of handling one report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Distribution {
    /// The answer to the instance that reported.
    pub answer: EndpointListUpdates,
    /// Updates to be sent to other instances immediately.
    pub pushes: Vec<Push>,
    /// What happened, for the log.
    pub events: Vec<DistributionEvent>,
}

/// Passes on the newest version of each list.
///
/// Its memory is bounded: [`MAX_LISTS`] lists of [`MAX_LIST_BYTES`], and one record for each instance that reported
/// recently. Nothing is persisted; after a restart of the agent the instances report everything again.
pub struct EndpointListDistributor {
    term: u64,
    incarnation: u64,
    lists: BTreeMap<String, StoredList>,
    text_requests: PendingRequests,
    discovery_requests: PendingRequests,
    instances: InstanceTable,
}

impl EndpointListDistributor {
    /// A distributor that knows no list yet. `incarnation` is drawn at random at each start of the agent.
    pub fn new(term: u64, incarnation: u64) -> Self {
        EndpointListDistributor {
            term,
            incarnation,
            lists: BTreeMap::new(),
            text_requests: PendingRequests::default(),
            discovery_requests: PendingRequests::default(),
            instances: InstanceTable::default(),
        }
    }

    /// Handles a report of the instance of this name. `incarnation` is that of the instance.
    pub fn handle_report(
        &mut self,
        now: Micros,
        instance: &str,
        incarnation: u64,
        reports: &EndpointListReports,
    ) -> Distribution {
        let mut events = Vec::new();
        let mut updated = Vec::new();
        let mut wanted = Vec::new();
        for report in reports.lists.iter().take(MAX_LISTS) {
            match self.apply(now, instance, reports, report, &mut events) {
                Ok(ReportEffect::Updated) => updated.push(report.name.clone()),
                Ok(ReportEffect::TextWanted) => wanted.push(report.name.as_str()),
                Ok(ReportEffect::Unchanged) => {}
                Err(reason) => events.push(DistributionEvent::ReportRejected {
                    instance: instance.into(),
                    reason,
                }),
            }
        }
        self.instances.record(now, instance, incarnation, reports);
        let lists = self.answer(now, instance, reports, &wanted);
        let answer = self.updates(now, incarnation, reports.sequence, lists);
        let pushes = if updated.is_empty() {
            Vec::new()
        } else {
            self.push_to_others(now, instance, &updated)
        };
        Distribution {
            answer,
            pushes,
            events,
        }
    }

    /// The status of each list, by name.
    pub fn statuses(&self, now: Micros) -> BTreeMap<String, EndpointListStatus> {
        let status = |(name, list): (&String, &StoredList)| {
            let status = EndpointListStatus {
                version: list.version.index,
                age_us: now.saturating_sub(list.evidence_at),
                watcher_count: self.instances.watcher_count(now, name),
                behind_count: self.instances.behind_count(now, name, list.version),
            };
            (name.clone(), status)
        };
        self.lists.iter().map(status).collect()
    }

    /// Takes in the report of one list.
    fn apply(
        &mut self,
        now: Micros,
        instance: &str,
        reports: &EndpointListReports,
        report: &EndpointListReport,
        events: &mut Vec<DistributionEvent>,
    ) -> Result<ReportEffect, Error> {
        let Some(version) = report.version else {
            return Ok(ReportEffect::Unchanged);
        };
        self.validate(report, version)?;
        let evidence_at = self.evidence_time(now, reports, report);
        if let Some(stored) = self.lists.get_mut(&report.name) {
            if stored.version == version {
                return Ok(stored.refresh(now, evidence_at));
            }
            // Before the instance has a timestamp of this agent the age is unknown. The agent may still ask for the text:
            // the report with the text will bear an age.
            let latest_evidence_at = evidence_at.unwrap_or(now);
            if !version.supersedes(latest_evidence_at, stored.version, stored.evidence_at, now) {
                return Ok(ReportEffect::Unchanged);
            }
        }
        let (Some(text), Some(evidence_at)) = (&report.text, evidence_at) else {
            return Ok(if self.text_requests.try_start(&report.name, now) {
                ReportEffect::TextWanted
            } else {
                ReportEffect::Unchanged
            });
        };
        self.text_requests.complete(&report.name);
        let stored = StoredList {
            version,
            text: text.clone(),
            evidence_at,
        };
        self.lists.insert(report.name.clone(), stored);
        events.push(DistributionEvent::ListAdopted {
            list: report.name.clone(),
            index: version.index,
            instance: instance.into(),
        });
        Ok(ReportEffect::Updated)
    }

    fn validate(&self, report: &EndpointListReport, version: ListVersion) -> Result<(), Error> {
        if report.name.is_empty() || report.name.len() > MAX_NAME_BYTES {
            return Err(Error::InvalidName);
        }
        if let Some(text) = &report.text {
            if text.len() > MAX_LIST_BYTES {
                return Err(Error::TextTooLong);
            }
            if ListVersion::of(version.index, text) != version {
                return Err(Error::WrongChecksum);
            }
        }
        if !self.lists.contains_key(&report.name) && self.lists.len() >= MAX_LISTS {
            return Err(Error::TooManyLists);
        }
        Ok(())
    }

    /// The earliest time, by the agent's clock, of the evidence that an instance reports; none if the instance has no
    /// timestamp of this agent. The agent knows when it sent that timestamp; the time since then is taken as short, and
    /// the age as long, as clock drift allows.
    fn evidence_time(
        &self,
        now: Micros,
        reports: &EndpointListReports,
        report: &EndpointListReport,
    ) -> Option<Micros> {
        let agent_time = reports
            .agent_time
            .filter(|time| time.is_same_agent(&self.timestamp(now)))?;
        let earliest_report_at = agent_time
            .at
            .saturating_add(shortest_real_age(reports.since_agent_time))
            .min(now);
        Some(earliest_report_at.saturating_sub(longest_real_age(report.evidence_age)))
    }

    /// The updates that answer an instance's reports. `wanted` names the lists whose text the agent needs.
    fn answer(
        &mut self,
        now: Micros,
        instance: &str,
        reports: &EndpointListReports,
        wanted: &[&str],
    ) -> Vec<EndpointListUpdate> {
        let has_agent_time = reports.agent_time.is_some();
        let mut updates = Vec::new();
        for report in reports.lists.iter().take(MAX_LISTS) {
            let update = self.update(now, &report.name, report.version);
            let text_wanted = wanted.contains(&report.name.as_str());
            let call_discovery =
                !text_wanted && self.request_discovery_call(now, report, has_agent_time);
            if update.is_none() && !text_wanted && !call_discovery {
                continue;
            }
            let may_stop_watching =
                report.watches_discovery && self.has_enough_watchers(now, instance, report);
            updates.push(EndpointListUpdate {
                name: report.name.clone(),
                text_wanted,
                call_discovery,
                may_stop_watching,
                ..update.unwrap_or_default()
            });
        }
        updates
    }

    /// Decides whether the reporting instance is to call discovery, because no instance has recent evidence. An instance
    /// that holds a list, but cannot state its age to this agent yet, may be about to report recent evidence.
    fn request_discovery_call(
        &mut self,
        now: Micros,
        report: &EndpointListReport,
        has_agent_time: bool,
    ) -> bool {
        let is_stale = self
            .lists
            .get(&report.name)
            .is_none_or(|stored| !stored.is_fresh(now));
        let is_age_unknown = report.version.is_some() && !has_agent_time;
        if !is_stale || is_age_unknown || report.name.is_empty() {
            return false;
        }
        self.discovery_requests.try_start(&report.name, now)
    }

    /// Whether the instance holds the newest version and enough others watch discovery for the list.
    fn has_enough_watchers(
        &self,
        now: Micros,
        instance: &str,
        report: &EndpointListReport,
    ) -> bool {
        let holds_newest = self
            .lists
            .get(&report.name)
            .is_some_and(|stored| Some(stored.version) == report.version && stored.is_fresh(now));
        holds_newest
            && self
                .instances
                .has_enough_watchers_before(now, instance, &report.name)
    }

    /// The update on one list for an instance that holds the version `held` and reported at `reported_at`.
    fn update(
        &self,
        reported_at: Micros,
        list: &str,
        held: Option<ListVersion>,
    ) -> Option<EndpointListUpdate> {
        let stored = self.lists.get(list)?;
        let text = (held != Some(stored.version)).then(|| stored.text.clone());
        Some(EndpointListUpdate {
            name: list.into(),
            version: stored.version,
            evidence_age: reported_at.saturating_sub(stored.evidence_at),
            text,
            ..EndpointListUpdate::default()
        })
    }

    fn push_to_others(&mut self, now: Micros, reporter: &str, updated: &[String]) -> Vec<Push> {
        self.instances.forget_silent(now);
        self.instances
            .others(reporter)
            .filter_map(|(name, record)| self.push(now, name, record, updated))
            .collect()
    }

    /// The push of the updated lists that an instance shares; none if it shares none of them.
    fn push(
        &self,
        now: Micros,
        name: &str,
        record: &InstanceRecord,
        updated: &[String],
    ) -> Option<Push> {
        let update = |list: &String| {
            let held = *record.held_versions.get(list)?;
            self.update(record.reported_at, list, held)
        };
        let lists: Vec<EndpointListUpdate> = updated.iter().filter_map(update).collect();
        (!lists.is_empty()).then(|| Push {
            instance: name.into(),
            updates: self.updates(now, record.incarnation, record.sequence, lists),
        })
    }

    fn updates(
        &self,
        now: Micros,
        incarnation: u64,
        answered_sequence: u64,
        lists: Vec<EndpointListUpdate>,
    ) -> EndpointListUpdates {
        EndpointListUpdates {
            incarnation,
            sent_at: self.timestamp(now),
            answered_sequence,
            max_list_bytes: MAX_LIST_BYTES,
            lists,
        }
    }

    fn timestamp(&self, at: Micros) -> AgentTimestamp {
        AgentTimestamp {
            term: self.term,
            incarnation: self.incarnation,
            at,
        }
    }
}
