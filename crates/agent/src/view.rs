//! What the agent can be asked for.

use crate::traffic::Traffic;
use madderloom_control_plane::gate::Counts;
use madderloom_control_plane::membership::{Presence, SEEN};
use madderloom_control_plane::protocol::Outcome;
use madderloom_control_plane::rollout::{End, Phase, Rollout, Step, Target};
use madderloom_control_plane::{By, Entry, Fleet, Micros};
use madderloom_endpoint_sharing::{Relay, SharedList};
use madderloom_quota_leases::{Capacity, LimitStatus, ONE_REQUEST, UNBOUNDED};
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

impl From<Capacity> for Figures {
    fn from(capacity: Capacity) -> Self {
        let bounded = |figure: u64| Some(figure).filter(|figure| *figure != UNBOUNDED);
        let whole = |figure: u64| bounded(figure).map(|figure| figure as f64 / ONE_REQUEST as f64);
        Figures {
            requests_per_second: whole(capacity.rate),
            burst: whole(capacity.burst),
            open: bounded(capacity.in_flight),
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

impl From<LimitStatus> for Share {
    fn from(status: LimitStatus) -> Self {
        let LimitStatus {
            total,
            reserved,
            admitted_rate,
            demand_rate,
            in_flight,
            participants,
            lease_holders,
        } = status;
        let whole_of = |figure: u64| figure as f64 / ONE_REQUEST as f64;
        let over = if total.rate == UNBOUNDED {
            0
        } else {
            admitted_rate.saturating_sub(total.rate)
        };
        Share {
            whole: total.into(),
            lent: reserved.into(),
            used: whole_of(admitted_rate),
            wanted: whole_of(demand_rate),
            open: in_flight,
            over: whole_of(over),
            instances: participants,
            with_part: lease_holders,
        }
    }
}

/// An instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Instance {
    /// Its name.
    pub name: String,
    /// Whether it is there.
    pub presence: Presence,
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
    pub counts: Counts,
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
    pub by: By,
    /// Where it is, for people.
    pub phase: String,
    /// How it ended.
    pub end: Option<End>,
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
        self.end == Some(End::Done) && self.counts.keys().all(|state| state == "applied")
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
            .entry(format!("{:?}", member.presence).to_lowercase())
            .or_insert(0) += 1;
    }
    Status {
        term: fleet.term(),
        revision: fleet.newest(),
        stood_down: fleet.stood_down(),
        instances,
        rolling_out: fleet.rollout().map(|rollout| rollout.change.id.clone()),
        in_effect: fleet
            .layers()
            .0
            .iter()
            .map(|layer| layer.id.clone())
            .collect(),
        fleet_limits: fleet
            .lender()
            .map(|lender| shares(lender.statuses(now)))
            .unwrap_or_default(),
        lends_all: fleet.lender().map(|lender| lender.has_recovered(now)),
        shared_lists: relay.views(now).collect(),
        // The machine knows nothing of connections: whoever holds them fills this in.
        traffic: Traffic::default(),
        relays: BTreeMap::new(),
    }
}

fn shares(statuses: BTreeMap<String, LimitStatus>) -> BTreeMap<String, Share> {
    statuses
        .into_iter()
        .map(|(name, status)| (name, status.into()))
        .collect()
}

pub(crate) fn instance(fleet: &Fleet, now: Micros, name: &str) -> Option<Instance> {
    let member = fleet.membership().get(name)?;
    let line = fleet.line(name);
    let refused = match line.and_then(|line| line.answer.as_ref()) {
        Some(Outcome::Refused(problem)) => Some(problem.to_string()),
        _ => None,
    };
    Some(Instance {
        name: name.to_string(),
        presence: member.presence,
        incarnation: member.incarnation,
        zone: member.traits.zone.clone(),
        labels: member.traits.labels.clone(),
        build: member.traits.build.clone(),
        file: member.traits.file.to_string(),
        revision: line.map_or(0, |line| line.holding.revision),
        in_line: line
            .filter(|_| member.presence != Presence::Joining)
            .and_then(|_| fleet.in_line(name)),
        refused,
        counts: line.map(|line| line.counts).unwrap_or_default(),
        rival: member
            .rival
            .filter(|rival| rival.seen >= SEEN)
            .map(|rival| rival.incarnation),
        fleet_limits: fleet
            .lender()
            .map(|lender| shares(lender.statuses_at(now, name)))
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
    let (overlay, _) = fleet.layers().overlay(name, &member.traits);
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

fn state(step: &Step) -> &'static str {
    match step {
        Step::Pending => "pending",
        Step::Sent => "sent",
        Step::Applied => "applied",
        Step::Refused(_) => "refused",
        Step::Failed(_) => "failed",
    }
}

fn result(target: &Target) -> Result {
    let text = target.step.to_string();
    let reason = text.split_once(": ").map(|(_, reason)| reason.to_string());
    let back = target.back.as_ref().map(Step::to_string);
    Result {
        wave: target.wave + 1,
        state: state(&target.step).into(),
        reason,
        back,
    }
}

fn counts(targets: &BTreeMap<String, Target>) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::<&str, usize>::new();
    for target in targets.values() {
        *counts.entry(state(&target.step)).or_default() += 1;
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
        .map(|target| target.wave + 1)
        .max()
        .unwrap_or(1);
    match rollout.phase {
        Phase::Forward { wave } => format!("wave {} of {waves}", wave + 1),
        Phase::Watch { wave } => format!("watching after wave {} of {waves}", wave + 1),
        Phase::Stopping => "stopping".into(),
        Phase::Back => "being taken back".into(),
        Phase::Ended(end) => ended(end).into(),
    }
}

fn ended(end: End) -> &'static str {
    match end {
        End::Done => "done",
        End::Stopped => "stopped",
        End::TakenBack => "taken back",
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
        why: rollout.why.clone(),
        note: rollout.change.note.clone(),
        difference: madderloom_control_plane::difference(&rollout.change),
        counts: counts(&rollout.targets),
        results: results
            .map(|(name, target)| (name.clone(), result(target)))
            .collect(),
    }
}

fn over(fleet: &Fleet, entry: &Entry, whole: bool) -> Rollouts {
    let targets = fleet.results(entry.revision);
    let results = targets.into_iter().flatten().filter(|_| whole);
    Rollouts {
        id: entry.change.id.clone(),
        revision: entry.revision,
        by: entry.by.clone(),
        phase: ended(entry.end).into(),
        end: Some(entry.end),
        ended: Some(entry.ended),
        why: entry.why.clone(),
        note: entry.change.note.clone(),
        difference: madderloom_control_plane::difference(&entry.change),
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
