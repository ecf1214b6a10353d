//! The state of the agent as a whole.

use super::FleetSnapshot;
use super::fleet_limit::{self, FleetLimitView};
use crate::traffic::Traffic;
use madderloom_control_plane::Fleet;
use madderloom_control_plane::membership::Presence;
use madderloom_endpoint_sharing::EndpointListStatus;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The body of `GET /v1/status`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StatusView {
    /// The agent's term.
    pub term: u64,
    /// The newest revision.
    pub revision: u64,
    /// The term of an agent that has taken over, if one has: this agent sends no orders any more.
    #[serde(rename = "stood_down")]
    pub superseded_by: Option<u64>,
    /// How many instances are `joining`, `alive`, `suspect`, `gone`. A state that no instance has is absent.
    pub instances: BTreeMap<String, usize>,
    /// The id of the change that is rolling out.
    pub rolling_out: Option<String>,
    /// The ids of the changes in effect, oldest first.
    pub in_effect: Vec<String>,
    /// Fleet-wide limits, by their names.
    #[serde(default)]
    pub fleet_limits: BTreeMap<String, FleetLimitView>,
    /// Whether the leases of a former agent have expired, so that the fleet-wide limits can be granted in full. None: there
    /// are no fleet-wide limits.
    #[serde(default, rename = "lends_all")]
    pub grants_in_full: Option<bool>,
    /// The endpoint lists that the fleet shares, by their names.
    #[serde(default)]
    pub shared_lists: BTreeMap<String, EndpointListStatus>,
    /// What has passed over the agent's connections since it started.
    #[serde(default)]
    pub traffic: Traffic,
    /// The relays that are connected, with the number of instances that have registered through each.
    #[serde(default)]
    pub relays: BTreeMap<String, usize>,
}

impl StatusView {
    /// The state of the agent. The caller gives the traffic, of which the fleet's state knows nothing.
    pub(crate) fn new(snapshot: &FleetSnapshot<'_>, traffic: Traffic) -> Self {
        let FleetSnapshot {
            fleet,
            lists,
            routes,
            now,
        } = *snapshot;
        let rollout = fleet.rollout();
        let lease_server = fleet.lender();
        StatusView {
            term: fleet.term(),
            revision: fleet.newest(),
            superseded_by: fleet.stood_down(),
            instances: count_by_presence(fleet),
            rolling_out: rollout.map(|rollout| rollout.change.id.clone()),
            in_effect: changes_in_effect(fleet),
            fleet_limits: lease_server
                .map(|server| fleet_limit::views(server.views(now)))
                .unwrap_or_default(),
            grants_in_full: lease_server.map(|server| server.has_learned(now)),
            shared_lists: lists.statuses(now),
            traffic,
            relays: routes.instances_by_relay(),
        }
    }
}

fn count_by_presence(fleet: &Fleet) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for (_, member) in fleet.membership().iter() {
        let name = presence_name(member.presence).to_string();
        *counts.entry(name).or_insert(0) += 1;
    }
    counts
}

fn presence_name(presence: Presence) -> &'static str {
    match presence {
        Presence::Joining => "joining",
        Presence::Alive => "alive",
        Presence::Suspect => "suspect",
        Presence::Gone => "gone",
    }
}

fn changes_in_effect(fleet: &Fleet) -> Vec<String> {
    let layers = &fleet.layers().0;
    layers.iter().map(|layer| layer.id.clone()).collect()
}
