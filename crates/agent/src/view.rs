//! What the agent can be asked for.

use crate::traffic::Traffic;
use madderloom_control_plane::health_gate::RequestCounts;
use madderloom_control_plane::membership::{CONFLICT_CONFIRMED, MemberState};
use madderloom_control_plane::protocol::Outcome;
use madderloom_control_plane::rollout::{Phase, Rollout, RolloutResult, Target, TargetState};
use madderloom_control_plane::{Author, Fleet, HistoryEntry, Micros};
use madderloom_endpoint_sharing::{Relay, SharedList};
use madderloom_quota_leases::{Amount, ONE, UNBOUNDED, View};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The agent itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// Its term.
    pub term: u64,
    /// The newest revision.
    pub revision: u64,
    /// The later term that has taken over, if one has.
    pub stood_down: Option<u64>,
    /// How many instances are joining, alive, suspect, gone.
    pub instances: BTreeMap<String, usize>,
    /// The change that is rolling out.
    pub rolling_out: Option<String>,
    /// Changes in effect, oldest first.
    pub in_effect: Vec<String>,
    /// Fleet-wide limits, by their names.
    #[serde(default)]
    pub fleet_limits: BTreeMap<String, Share>,
    /// Whether all of them may be lent: what a former agent lent is over. None where there are none.
    #[serde(default)]
    pub lends_all: Option<bool>,
    /// The lists that the fleet shares, by name.
    #[serde(default)]
    pub shared_lists: BTreeMap<String, SharedList>,
    /// What has passed over its connections since it started.
    #[serde(default)]
    pub traffic: Traffic,
    /// The relays that are connected, with how many instances have come through each.
    #[serde(default)]
    pub relays: BTreeMap<String, usize>,
}

/// Figures of a fleet-wide limit: all of it, or a part.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// Requests a second; none where it has no such bound.
    pub requests_per_second: Option<f64>,
    /// Requests at once.
    pub burst: Option<f64>,
    /// Requests open at once.
    pub open: Option<u64>,
}

impl From<Amount> for Figures {
    fn from(amount: Amount) -> Self {
        let bounded = |figure: u64| Some(figure).filter(|figure| *figure != UNBOUNDED);
        let whole = |figure: u64| bounded(figure).map(|figure| figure as f64 / ONE as f64);
        Figures {
            requests_per_second: whole(amount.rate),
            burst: whole(amount.burst),
            open: bounded(amount.open),
        }
    }
}

/// How a fleet-wide limit, or an instance's part of one, stands.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// All of it.
    pub whole: Figures,
    /// What may be out.
    pub lent: Figures,
    /// Requests a second that were let in of late.
    pub used: f64,
    /// Requests a second that came of late.
    pub wanted: f64,
    /// Requests that are open.
    pub open: u64,
    /// By how much more were let in a second than the limit has, of late: bursts, and safe parts.
    pub over: f64,
    /// Instances that take part and were heard of late.
    pub instances: usize,
    /// Those of them that have a part.
    pub with_part: usize,
}

impl From<View> for Share {
    fn from(view: View) -> Self {
        let View {
            whole,
            lent,
            used,
            wanted,
            open,
            instances,
            with_part,
        } = view;
        let whole_of = |figure: u64| figure as f64 / ONE as f64;
        let over = if whole.rate == UNBOUNDED {
            0
        } else {
            used.saturating_sub(whole.rate)
        };
        Share {
            whole: whole.into(),
            lent: lent.into(),
            used: whole_of(used),
            wanted: whole_of(wanted),
            open,
            over: whole_of(over),
            instances,
            with_part,
        }
    }
}

/// An instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Instance {
    /// Its name.
    pub name: String,
    /// Whether it is there.
    pub presence: MemberState,
    /// The incarnation it goes by.
    pub incarnation: u64,
    /// Its zone.
    pub zone: String,
    /// Its labels.
    pub labels: BTreeMap<String, String>,
    /// Its build.
    pub build: String,
    /// The fingerprint of its own file.
    pub file: String,
    /// The newest change that it has in effect; 0 for none.
    pub revision: u64,
    /// Whether it has what it is to have, by its last report; not known before one.
    pub in_line: Option<bool>,
    /// Why it refused its last order, if it did.
    pub refused: Option<String>,
    /// Its requests within the last window.
    pub counts: RequestCounts,
    /// That another process wants its name, with its incarnation.
    pub rival: Option<u64>,
    /// Its parts of fleet-wide limits, all its processes together.
    #[serde(default)]
    pub fleet_limits: BTreeMap<String, Share>,
}

/// An instance with what it has in effect beside its own file, as it should be.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InstanceWhole {
    /// What is in the list as well.
    #[serde(flatten)]
    pub instance: Instance,
    /// What the fleet has settled on for it.
    pub settled: Vec<String>,
}

/// How a target stands in a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Result {
    /// Its wave, from 1.
    pub wave: u32,
    /// `pending`, `sent`, `applied`, `refused` or `failed`.
    pub state: String,
    /// Why, where it was refused or failed.
    pub reason: Option<String>,
    /// The same of taking it back, where that has begun.
    pub back: Option<String>,
}

/// A change under way or over.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Rollouts {
    /// Its id.
    pub id: String,
    /// The revision that it makes.
    pub revision: u64,
    /// Who pushed it, and when.
    pub by: Author,
    /// Where it is, for people.
    pub phase: String,
    /// How it ended.
    pub end: Option<RolloutResult>,
    /// When it ended: milliseconds since 1970.
    pub ended: Option<u64>,
    /// Why it stopped or was taken back.
    pub why: Option<String>,
    /// Its note.
    pub note: String,
    /// What it sets.
    pub difference: Vec<String>,
    /// How many instances stand how.
    pub counts: BTreeMap<String, usize>,
    /// Each instance, while that is remembered; empty in lists.
    pub results: BTreeMap<String, Result>,
}

impl Rollouts {
    /// Whether all that it is for have it.
    pub fn is_applied(&self) -> bool {
        self.end == Some(RolloutResult::Completed)
            && self.counts.keys().all(|state| state == "applied")
    }

    /// Whether an instance refused it.
    pub fn is_refused(&self) -> bool {
        self.counts.contains_key("refused")
    }
}

pub(crate) fn status(fleet: &Fleet, relay: &Relay, now: Micros) -> Status {
    let mut instances = BTreeMap::new();
    for (_, member) in fleet.membership().iter() {
        *instances
            .entry(format!("{:?}", member.state).to_lowercase())
            .or_insert(0) += 1;
    }
    Status {
        term: fleet.term(),
        revision: fleet.newest_revision(),
        stood_down: fleet.superseded_by(),
        instances,
        rolling_out: fleet.rollout().map(|rollout| rollout.change.id.clone()),
        in_effect: fleet
            .layers()
            .0
            .iter()
            .map(|layer| layer.id.clone())
            .collect(),
        fleet_limits: fleet
            .lease_server()
            .map(|lender| shares(lender.views(now)))
            .unwrap_or_default(),
        lends_all: fleet.lease_server().map(|lender| lender.has_learned(now)),
        shared_lists: relay.views(now).collect(),
        // The machine knows nothing of connections: whoever holds them fills this in.
        traffic: Traffic::default(),
        relays: BTreeMap::new(),
    }
}

fn shares(views: BTreeMap<String, View>) -> BTreeMap<String, Share> {
    views
        .into_iter()
        .map(|(name, view)| (name, view.into()))
        .collect()
}

pub(crate) fn instance(fleet: &Fleet, now: Micros, name: &str) -> Option<Instance> {
    let member = fleet.membership().get(name)?;
    let line = fleet.instance(name);
    let refused = match line.and_then(|line| line.outcome.as_ref()) {
        Some(Outcome::Refused(problem)) => Some(problem.to_string()),
        _ => None,
    };
    Some(Instance {
        name: name.to_string(),
        presence: member.state,
        incarnation: member.incarnation,
        zone: member.attributes.zone.clone(),
        labels: member.attributes.labels.clone(),
        build: member.attributes.build.clone(),
        file: member.attributes.file.to_string(),
        revision: line.map_or(0, |line| line.applied.revision),
        in_line: line
            .filter(|_| member.state != MemberState::Joining)
            .and_then(|_| fleet.has_converged(name)),
        refused,
        counts: line.map(|line| line.counts).unwrap_or_default(),
        rival: member
            .conflict
            .filter(|rival| rival.rejections >= CONFLICT_CONFIRMED)
            .map(|rival| rival.incarnation),
        fleet_limits: fleet
            .lease_server()
            .map(|lender| shares(lender.views_at(now, name)))
            .unwrap_or_default(),
    })
}

pub(crate) fn instances(fleet: &Fleet, now: Micros) -> Vec<Instance> {
    fleet
        .membership()
        .iter()
        .filter_map(|(name, _)| instance(fleet, now, name))
        .collect()
}

pub(crate) fn instance_whole(fleet: &Fleet, now: Micros, name: &str) -> Option<InstanceWhole> {
    let member = fleet.membership().get(name)?;
    let (overlay, _) = fleet.layers().overlay(name, &member.attributes);
    let settled = overlay
        .0
        .iter()
        .map(|(key, value)| format!("{key} = {value}"))
        .collect();
    Some(InstanceWhole {
        instance: instance(fleet, now, name)?,
        settled,
    })
}

fn state(step: &TargetState) -> &'static str {
    match step {
        TargetState::Pending => "pending",
        TargetState::Sent => "sent",
        TargetState::Applied => "applied",
        TargetState::Refused(_) => "refused",
        TargetState::Failed(_) => "failed",
    }
}

fn result(target: &Target) -> Result {
    let text = target.state.to_string();
    let reason = text.split_once(": ").map(|(_, reason)| reason.to_string());
    let back = target.rollback.as_ref().map(TargetState::to_string);
    Result {
        wave: target.stage + 1,
        state: state(&target.state).into(),
        reason,
        back,
    }
}

fn counts(targets: &BTreeMap<String, Target>) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::<&str, usize>::new();
    for target in targets.values() {
        *counts.entry(state(&target.state)).or_default() += 1;
    }
    counts
        .into_iter()
        .map(|(state, count)| (state.to_string(), count))
        .collect()
}

fn phase(rollout: &Rollout) -> String {
    let waves = rollout
        .targets
        .values()
        .map(|target| target.stage + 1)
        .max()
        .unwrap_or(1);
    match rollout.phase {
        Phase::Deploying { stage } => format!("wave {} of {waves}", stage + 1),
        Phase::Observing { stage } => format!("watching after wave {} of {waves}", stage + 1),
        Phase::Stopping => "stopping".into(),
        Phase::RollingBack => "being taken back".into(),
        Phase::Ended(end) => ended(end).into(),
    }
}

fn ended(end: RolloutResult) -> &'static str {
    match end {
        RolloutResult::Completed => "done",
        RolloutResult::Stopped => "stopped",
        RolloutResult::RolledBack => "taken back",
    }
}

fn under_way(rollout: &Rollout, whole: bool) -> Rollouts {
    let results = rollout.targets.iter().filter(|_| whole);
    Rollouts {
        id: rollout.change.id.clone(),
        revision: rollout.revision,
        by: rollout.by.clone(),
        phase: phase(rollout),
        end: None,
        ended: None,
        why: rollout.reason.clone(),
        note: rollout.change.note.clone(),
        difference: madderloom_control_plane::describe_operation(&rollout.change),
        counts: counts(&rollout.targets),
        results: results
            .map(|(name, target)| (name.clone(), result(target)))
            .collect(),
    }
}

fn over(fleet: &Fleet, entry: &HistoryEntry, whole: bool) -> Rollouts {
    let targets = fleet.results(entry.revision);
    let results = targets.into_iter().flatten().filter(|_| whole);
    Rollouts {
        id: entry.change.id.clone(),
        revision: entry.revision,
        by: entry.by.clone(),
        phase: ended(entry.result).into(),
        end: Some(entry.result),
        ended: Some(entry.ended_at),
        why: entry.reason.clone(),
        note: entry.change.note.clone(),
        difference: madderloom_control_plane::describe_operation(&entry.change),
        counts: targets.map(counts).unwrap_or_default(),
        results: results
            .map(|(name, target)| (name.clone(), result(target)))
            .collect(),
    }
}

pub(crate) fn rollout(fleet: &Fleet, id: &str) -> Option<Rollouts> {
    match fleet.rollout().filter(|rollout| rollout.change.id == id) {
        Some(rollout) => Some(under_way(rollout, true)),
        None => fleet
            .history()
            .find(|entry| entry.change.id == id)
            .map(|entry| over(fleet, entry, true)),
    }
}

/// Newest first.
pub(crate) fn history(fleet: &Fleet) -> Vec<Rollouts> {
    let now = fleet.rollout().map(|rollout| under_way(rollout, false));
    now.into_iter()
        .chain(fleet.history().rev().map(|entry| over(fleet, entry, false)))
        .collect()
}
