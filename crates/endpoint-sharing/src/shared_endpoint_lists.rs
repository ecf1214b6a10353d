//! The instance's side: the lists that it holds, their ages, and when it has to call discovery itself.

use crate::held_list::HeldList;
use crate::limits::{DEFAULT_ACCEPTED_LIST_BYTES, MAX_LIST_BYTES, MAX_LISTS};
use crate::message::{
    AgentTimestamp, EndpointListReport, EndpointListReports, EndpointListUpdate,
    EndpointListUpdates,
};
use crate::timing::{HIGHER_VERSION_TIMEOUT, Micros, longest_real_age};
use crate::version::ListVersion;
use std::collections::{BTreeMap, VecDeque};

/// The number of reports whose times are remembered. The age in an answer to an earlier report is not known.
const REMEMBERED_REPORTS: usize = 8;

/// A list from the agent that supersedes the one that the instance holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The list's name.
    pub list: String,
    /// Its version.
    pub version: ListVersion,
    /// Its text; the checksum of the version was verified.
    pub text: String,
    /// The earliest time of its evidence, by the instance's clock.
    pub evidence_at: Micros,
}

/// A list that an instance has from discovery, and has not shared yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnList {
    /// Discovery's number of the list.
    pub index: u64,
    /// All of it.
    pub text: String,
    /// The time of the latest evidence, by the instance's clock.
    pub evidence_at: Micros,
    /// The instance watches discovery, and that watch has delivered the list.
    pub watches_discovery: bool,
}

/// What an instance has to do after an update from the agent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpdateOutcome {
    /// Lists that supersede those held. Each is to be [adopted](SharedEndpointLists::adopt) if the instance can use it.
    pub offers: Vec<Offer>,
    /// The next report should be sent immediately.
    pub report_now: bool,
    /// The names of the lists for which to call discovery now, on behalf of the fleet.
    pub call_discovery: Vec<String>,
    /// The names of the lists whose watch of discovery may end, because enough other instances watch.
    pub stop_watching: Vec<String>,
}

/// A list that an instance holds, as its status shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldListStatus<'a> {
    /// The list's name.
    pub name: &'a str,
    /// Discovery's number of the list.
    pub index: u64,
    /// The time of the latest evidence, by the instance's clock.
    pub evidence_at: Micros,
}

/// A report that was sent.
struct SentReport {
    sequence: u64,
    sent_at: Micros,
}

/// The agent's latest timestamp, and when it arrived by the instance's clock.
#[derive(Clone, Copy)]
struct ReceivedTimestamp {
    agent_time: AgentTimestamp,
    received_at: Micros,
}

/// The endpoint lists that an instance shares with its fleet; at most [`MAX_LISTS`].
///
/// All times are by a clock that also runs while the machine is suspended. The time of the evidence for a list, on which
/// [`SharedEndpointLists::discovery_call_due`] is based, is never later than the actual time of the evidence, however long
/// messages take.
#[derive(Default)]
pub struct SharedEndpointLists {
    /// The number of the latest report.
    sequence: u64,
    /// The latest reports, newest first; at most [`REMEMBERED_REPORTS`].
    sent_reports: VecDeque<SentReport>,
    agent_time: Option<ReceivedTimestamp>,
    /// The longest text that the agent accepts, in bytes; none until the agent has sent an update.
    agent_max_list_bytes: Option<usize>,
    /// What is held of each list that is followed.
    lists: BTreeMap<String, Option<HeldList>>,
}

impl SharedEndpointLists {
    /// Shares the lists of these names from now on; names beyond [`MAX_LISTS`] are ignored. What is held of lists that were
    /// followed before is kept.
    pub fn follow(&mut self, names: impl IntoIterator<Item = String>) {
        let mut former = std::mem::take(&mut self.lists);
        let with_held = |name: String| {
            let held = former.remove(&name).flatten();
            (name, held)
        };
        self.lists = names.into_iter().take(MAX_LISTS).map(with_held).collect();
    }

    /// Whether the instance follows no list.
    pub fn is_empty(&self) -> bool {
        self.lists.is_empty()
    }

    /// Whether the instance follows the list of this name.
    pub fn follows(&self, list: &str) -> bool {
        self.lists.contains_key(list)
    }

    /// Takes in a list that the instance had before it shared it: older ones do not supersede it. Without effect if the list
    /// is not followed or a version is held.
    pub fn hold_own(&mut self, list: &str, own: OwnList) {
        let Some(held @ None) = self.lists.get_mut(list) else {
            return;
        };
        let (evidence_at, watches_discovery) = (own.evidence_at, own.watches_discovery);
        let own = HeldList::from_discovery(own.index, own.text, evidence_at, watches_discovery);
        *held = Some(own);
    }

    /// Discards what is held of a list, because it came from a discovery that is no longer used.
    pub fn forget(&mut self, list: &str) {
        if let Some(held) = self.lists.get_mut(list) {
            *held = None;
        }
    }

    /// Takes in a list from discovery; `text` is all of it. Returns whether to report to the agent immediately.
    pub fn discovery_updated(&mut self, now: Micros, list: &str, index: u64, text: String) -> bool {
        let Some(held) = self.lists.get_mut(list) else {
            return false;
        };
        let new = HeldList::from_discovery(index, text, now, true);
        let report_now = held.as_ref().is_none_or(|held| {
            held.version != new.version
                || now.saturating_sub(held.evidence_at) > HIGHER_VERSION_TIMEOUT
        });
        *held = Some(new);
        report_now
    }

    /// Takes in that discovery has confirmed, over the watch that delivered the list, that nothing has changed.
    pub fn discovery_confirmed(&mut self, now: Micros, list: &str) {
        if let Some(held) = self.held_mut(list) {
            held.refresh(now);
        }
    }

    /// Takes in that the watch of discovery for a list has ended.
    pub fn watch_ended(&mut self, list: &str) {
        if let Some(held) = self.held_mut(list) {
            held.watches_discovery = false;
        }
    }

    /// Whether a list of this version from discovery may be used: it is not older than the one held, or the evidence for
    /// that one is older than `max_age`. So a discovery that lags behind itself does not undo a change, and one that has
    /// restarted its numbering is believed once there is no more evidence for the higher version.
    pub fn accepts_from_discovery(
        &self,
        now: Micros,
        list: &str,
        index: u64,
        max_age: Micros,
    ) -> bool {
        self.held(list).is_none_or(|held| {
            held.version.index <= index || now.saturating_sub(held.evidence_at) > max_age
        })
    }

    /// Whether the list that is held is too long to be shared at all, or for the agent that was last heard.
    pub fn is_too_long(&self, list: &str) -> bool {
        let max_list_bytes = self.agent_max_list_bytes.unwrap_or(MAX_LIST_BYTES);
        self.held(list)
            .is_some_and(|held| !held.fits(max_list_bytes))
    }

    /// Makes the report of all lists that is sent now.
    pub fn report(&mut self, now: Micros) -> EndpointListReports {
        self.sequence += 1;
        self.sent_reports.truncate(REMEMBERED_REPORTS - 1);
        self.sent_reports.push_front(SentReport {
            sequence: self.sequence,
            sent_at: now,
        });
        EndpointListReports {
            sequence: self.sequence,
            agent_time: self.agent_time.map(|received| received.agent_time),
            since_agent_time: self
                .agent_time
                .map_or(0, |received| now.saturating_sub(received.received_at)),
            lists: self.report_lists(now),
        }
    }

    /// Reports each list. A list that is too long for the agent is reported as not held.
    fn report_lists(&mut self, now: Micros) -> Vec<EndpointListReport> {
        let max_list_bytes = self.accepted_list_bytes();
        // One text in each report: two may not fit into a message.
        let mut may_send_text = true;
        let mut reports = Vec::new();
        for (name, held) in &mut self.lists {
            let report = match held {
                Some(held) if held.fits(max_list_bytes) => held.report(now, name, may_send_text),
                _ => EndpointListReport {
                    name: name.clone(),
                    ..EndpointListReport::default()
                },
            };
            may_send_text &= report.text.is_none();
            reports.push(report);
        }
        reports
    }

    /// Takes in an update from the agent.
    pub fn agent_updated(&mut self, now: Micros, updates: &EndpointListUpdates) -> UpdateOutcome {
        self.record_agent_time(now, updates.sent_at);
        let mut outcome = UpdateOutcome {
            report_now: self.record_accepted_list_bytes(updates.max_list_bytes),
            ..UpdateOutcome::default()
        };
        let max_list_bytes = self.accepted_list_bytes();
        let answered_sequence = updates.answered_sequence;
        let answered = self
            .sent_reports
            .iter()
            .find(|report| report.sequence == answered_sequence);
        let answered_report_at = answered.map(|report| report.sent_at);
        for update in updates.lists.iter().take(MAX_LISTS) {
            let Some(held) = self.lists.get_mut(&update.name) else {
                continue;
            };
            apply_requests(update, held.as_mut(), max_list_bytes, &mut outcome);
            // The age counts from a report. If its time is no longer known, neither is the age.
            if let Some(report_at) = answered_report_at {
                let evidence_at = report_at.saturating_sub(longest_real_age(update.evidence_age));
                let offer = apply_version(now, update, held.as_mut(), evidence_at);
                outcome.offers.extend(offer);
            }
        }
        outcome
    }

    /// Of one agent's timestamps the latest counts; that of another agent replaces it.
    fn record_agent_time(&mut self, now: Micros, agent_time: AgentTimestamp) {
        let replaces = self.agent_time.is_none_or(|known| {
            !known.agent_time.is_same_agent(&agent_time) || known.agent_time.at < agent_time.at
        });
        if replaces {
            self.agent_time = Some(ReceivedTimestamp {
                agent_time,
                received_at: now,
            });
        }
    }

    /// Records the agent's limit. Returns whether a list that was too long before may be reported now.
    fn record_accepted_list_bytes(&mut self, max_list_bytes: usize) -> bool {
        let former = self.accepted_list_bytes();
        let accepted = max_list_bytes.clamp(DEFAULT_ACCEPTED_LIST_BYTES, MAX_LIST_BYTES);
        self.agent_max_list_bytes = Some(accepted);
        self.lists
            .values()
            .flatten()
            .any(|held| held.fits(accepted) && !held.fits(former))
    }

    /// The longest text that may be sent to the agent. Until the agent states its limit, what every agent accepts.
    fn accepted_list_bytes(&self) -> usize {
        self.agent_max_list_bytes
            .unwrap_or(DEFAULT_ACCEPTED_LIST_BYTES)
    }

    /// Holds an offered list, which the instance now uses.
    pub fn adopt(&mut self, offer: Offer) {
        if let Some(held) = self.lists.get_mut(&offer.list) {
            let watches_discovery = held.as_ref().is_some_and(|held| held.watches_discovery);
            *held = Some(HeldList::new(
                offer.version,
                Some(offer.text),
                offer.evidence_at,
                watches_discovery,
            ));
        }
    }

    /// When the instance has to call discovery for a list: `max_age` after the latest evidence. None if it holds no such
    /// list; then it has to call immediately.
    pub fn discovery_call_due(&self, list: &str, max_age: Micros) -> Option<Micros> {
        Some(self.evidence_at(list)?.saturating_add(max_age))
    }

    /// The time of the latest evidence for a list; none if the instance holds no such list.
    pub fn evidence_at(&self, list: &str) -> Option<Micros> {
        Some(self.held(list)?.evidence_at)
    }

    /// Whether to report now so that the agent answers with later evidence, because the evidence for a list is `age` old.
    /// True once for each evidence.
    pub fn take_agent_refresh(&mut self, now: Micros, list: &str, age: Micros) -> bool {
        self.held_mut(list)
            .is_some_and(|held| held.take_agent_refresh(now, age))
    }

    /// The lists that are held, by name.
    pub fn statuses(&self) -> impl Iterator<Item = HeldListStatus<'_>> {
        self.lists.iter().filter_map(|(name, held)| {
            let held = held.as_ref()?;
            Some(HeldListStatus {
                name,
                index: held.version.index,
                evidence_at: held.evidence_at,
            })
        })
    }

    fn held(&self, list: &str) -> Option<&HeldList> {
        self.lists.get(list)?.as_ref()
    }

    fn held_mut(&mut self, list: &str) -> Option<&mut HeldList> {
        self.lists.get_mut(list)?.as_mut()
    }
}

/// Takes in what the agent requests for one list.
fn apply_requests(
    update: &EndpointListUpdate,
    held: Option<&mut HeldList>,
    max_list_bytes: usize,
    outcome: &mut UpdateOutcome,
) {
    let watches_discovery = held.as_ref().is_some_and(|held| held.watches_discovery);
    if update.may_stop_watching && watches_discovery {
        outcome.stop_watching.push(update.name.clone());
    }
    if update.call_discovery {
        outcome.call_discovery.push(update.name.clone());
    }
    if update.text_wanted
        && let Some(held) = held.filter(|held| held.fits(max_list_bytes))
    {
        held.text_wanted = true;
        outcome.report_now = true;
    }
}

/// Takes in the version of one list, for which there was evidence at `evidence_at`. Returns the list if it supersedes the
/// one held and its text matches the checksum.
fn apply_version(
    now: Micros,
    update: &EndpointListUpdate,
    held: Option<&mut HeldList>,
    evidence_at: Micros,
) -> Option<Offer> {
    let version = update.version;
    if let Some(held) = held {
        if held.version == version {
            held.refresh(evidence_at);
            return None;
        }
        if !version.supersedes(evidence_at, held.version, held.evidence_at, now) {
            return None;
        }
    }
    let text = update.text.as_ref()?;
    (ListVersion::of(version.index, text) == version).then(|| Offer {
        list: update.name.clone(),
        version,
        text: text.clone(),
        evidence_at,
    })
}
