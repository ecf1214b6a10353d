//! The instances that an agent knows.

use super::FleetSnapshot;
use super::fleet_limit::{self, FleetLimitView};
use madderloom_control_plane::InstanceState;
use madderloom_control_plane::gate::Counts;
use madderloom_control_plane::membership::{Presence, SEEN};
use madderloom_control_plane::protocol::Outcome;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One instance, as in the list that is the body of `GET /v1/instances`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InstanceView {
    /// Its name.
    pub name: String,
    /// Whether it is there, by its lease.
    pub presence: Presence,
    /// The incarnation that holds the name.
    pub incarnation: u64,
    /// Its zone.
    pub zone: String,
    /// Its labels.
    pub labels: BTreeMap<String, String>,
    /// The version of its program.
    pub build: String,
    /// The fingerprint of its own configuration file.
    #[serde(rename = "file")]
    pub config_fingerprint: String,
    /// The revision of the newest change that it has in effect; 0: it has none.
    pub revision: u64,
    /// Whether its settings are the intended ones, by its last report. None: it has not reported yet.
    #[serde(rename = "in_line")]
    pub in_sync: Option<bool>,
    /// Why it rejected its last order, if it did.
    #[serde(rename = "refused")]
    pub rejection: Option<String>,
    /// Its requests within the last window.
    #[serde(rename = "counts")]
    pub request_counts: Counts,
    /// The incarnation of another process that wants the same name, if there is one.
    #[serde(rename = "rival")]
    pub rival_incarnation: Option<u64>,
    /// Its parts of fleet-wide limits, those of all its processes together.
    #[serde(default)]
    pub fleet_limits: BTreeMap<String, FleetLimitView>,
}

/// One instance with its intended settings: the body of `GET /v1/instances/NAME`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InstanceDetailView {
    /// What the list shows of it.
    #[serde(flatten)]
    pub instance: InstanceView,
    /// The settings that changes intend for it beside its own file, `KEY = VALUE` each.
    #[serde(rename = "settled")]
    pub intended_settings: Vec<String>,
}

impl InstanceView {
    /// The instance of this name, if the agent knows one.
    pub(crate) fn new(snapshot: &FleetSnapshot<'_>, name: &str) -> Option<Self> {
        let fleet = snapshot.fleet;
        let member = fleet.membership().get(name)?;
        let state = fleet.line(name);
        let has_reported = state.is_some() && member.presence != Presence::Joining;
        let rival = member.rival.filter(|rival| rival.seen >= SEEN);
        Some(InstanceView {
            name: name.to_string(),
            presence: member.presence,
            incarnation: member.incarnation,
            zone: member.traits.zone.clone(),
            labels: member.traits.labels.clone(),
            build: member.traits.build.clone(),
            config_fingerprint: member.traits.file.to_string(),
            revision: state.map_or(0, |state| state.holding.revision),
            in_sync: has_reported.then(|| fleet.in_line(name)).flatten(),
            rejection: state.and_then(rejection),
            request_counts: state.map(|state| state.counts).unwrap_or_default(),
            rival_incarnation: rival.map(|rival| rival.incarnation),
            fleet_limits: fleet
                .lender()
                .map(|server| fleet_limit::views(server.views_at(snapshot.now, name)))
                .unwrap_or_default(),
        })
    }

    /// All instances, in the order of their names.
    pub(crate) fn all(snapshot: &FleetSnapshot<'_>) -> Vec<Self> {
        let members = snapshot.fleet.membership().iter();
        members
            .filter_map(|(name, _)| InstanceView::new(snapshot, name))
            .collect()
    }
}

impl InstanceDetailView {
    /// The instance of this name, if the agent knows one.
    pub(crate) fn new(snapshot: &FleetSnapshot<'_>, name: &str) -> Option<Self> {
        let fleet = snapshot.fleet;
        let member = fleet.membership().get(name)?;
        let (overlay, _) = fleet.layers().overlay(name, &member.traits);
        let settings = overlay.0.iter();
        Some(InstanceDetailView {
            instance: InstanceView::new(snapshot, name)?,
            intended_settings: settings
                .map(|(key, value)| format!("{key} = {value}"))
                .collect(),
        })
    }
}

fn rejection(state: &InstanceState) -> Option<String> {
    match &state.answer {
        Some(Outcome::Refused(problem)) => Some(problem.to_string()),
        _ => None,
    }
}
