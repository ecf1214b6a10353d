//! Changes, from the start of their rollout on.

use madderloom_control_plane::rollout::{End, Phase, Rollout, Step, Target};
use madderloom_control_plane::{By, Entry, Fleet, difference};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// The state of one target in a rollout. Variants are in the order of their names, which is that of the JSON of
/// [`RolloutView::target_counts`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// The change is in effect in full.
    Applied,
    /// It is not known whether the change is in effect.
    Failed,
    /// Its turn has not come.
    Pending,
    /// It rejected the change.
    #[serde(rename = "refused")]
    Rejected,
    /// The order was sent and has not been answered.
    Sent,
}

impl fmt::Display for TargetState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            TargetState::Applied => "applied",
            TargetState::Failed => "failed",
            TargetState::Pending => "pending",
            TargetState::Rejected => "refused",
            TargetState::Sent => "sent",
        })
    }
}

impl From<&Step> for TargetState {
    fn from(step: &Step) -> Self {
        match step {
            Step::Pending => TargetState::Pending,
            Step::Sent => TargetState::Sent,
            Step::Applied => TargetState::Applied,
            Step::Refused(_) => TargetState::Rejected,
            Step::Failed(_) => TargetState::Failed,
        }
    }
}

/// One target of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetView {
    /// Its wave, from 1.
    pub wave: u32,
    /// Its state.
    pub state: TargetState,
    /// Why, where it rejected the change or failed.
    pub reason: Option<String>,
    /// How taking the change back stands, where that has begun.
    #[serde(rename = "back")]
    pub rollback: Option<String>,
}

impl From<&Target> for TargetView {
    fn from(target: &Target) -> Self {
        let text = target.step.to_string();
        let reason = text.split_once(": ").map(|(_, reason)| reason.to_string());
        TargetView {
            wave: target.wave + 1,
            state: TargetState::from(&target.step),
            reason,
            rollback: target.back.as_ref().map(Step::to_string),
        }
    }
}

/// A change whose rollout is under way or over: the body of `GET /v1/rollouts/ID`, and an entry of `GET /v1/rollouts`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RolloutView {
    /// The id of the change.
    pub id: String,
    /// The revision that it makes.
    pub revision: u64,
    /// Who pushed it, and when.
    #[serde(rename = "by")]
    pub author: By,
    /// The phase of the rollout, as a text for people.
    pub phase: String,
    /// How the rollout ended. None: it is under way.
    pub end: Option<End>,
    /// When the rollout ended, in milliseconds since 1970.
    #[serde(rename = "ended")]
    pub ended_at_ms: Option<u64>,
    /// Why it was stopped or taken back.
    #[serde(rename = "why")]
    pub reason: Option<String>,
    /// The note of its author.
    pub note: String,
    /// What it sets, an entry each.
    pub difference: Vec<String>,
    /// The number of targets in each state. A state that no target has is absent.
    #[serde(rename = "counts")]
    pub target_counts: BTreeMap<TargetState, usize>,
    /// The targets by their names, while they are remembered. Empty in lists of rollouts.
    #[serde(rename = "results")]
    pub targets: BTreeMap<String, TargetView>,
}

/// How much of a rollout a view shows.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Detail {
    /// Without its targets.
    Summary,
    /// With each target.
    Targets,
}

impl RolloutView {
    /// Whether the change is in effect at all its targets.
    pub fn is_applied(&self) -> bool {
        let mut states = self.target_counts.keys();
        self.end == Some(End::Done) && states.all(|state| *state == TargetState::Applied)
    }

    /// Whether a target rejected the change.
    pub fn is_rejected(&self) -> bool {
        self.target_counts.contains_key(&TargetState::Rejected)
    }

    /// The rollout of the change of this id, if it is known.
    pub(crate) fn find(fleet: &Fleet, id: &str) -> Option<Self> {
        let current = fleet.rollout().filter(|rollout| rollout.change.id == id);
        if let Some(rollout) = current {
            return Some(RolloutView::current(rollout, Detail::Targets));
        }
        let entry = fleet.history().find(|entry| entry.change.id == id)?;
        Some(RolloutView::past(fleet, entry, Detail::Targets))
    }

    /// All rollouts that are known, newest first.
    pub(crate) fn all(fleet: &Fleet) -> Vec<Self> {
        let current = fleet.rollout().into_iter();
        let current = current.map(|rollout| RolloutView::current(rollout, Detail::Summary));
        let past = fleet.history().rev();
        let past = past.map(|entry| RolloutView::past(fleet, entry, Detail::Summary));
        current.chain(past).collect()
    }

    /// The rollout that is under way.
    fn current(rollout: &Rollout, detail: Detail) -> Self {
        RolloutView {
            id: rollout.change.id.clone(),
            revision: rollout.revision,
            author: rollout.by.clone(),
            phase: phase_text(rollout),
            end: None,
            ended_at_ms: None,
            reason: rollout.why.clone(),
            note: rollout.change.note.clone(),
            difference: difference(&rollout.change),
            target_counts: count_by_state(&rollout.targets),
            targets: target_views(&rollout.targets, detail),
        }
    }

    /// A rollout that is over.
    fn past(fleet: &Fleet, entry: &Entry, detail: Detail) -> Self {
        let targets = fleet.results(entry.revision);
        RolloutView {
            id: entry.change.id.clone(),
            revision: entry.revision,
            author: entry.by.clone(),
            phase: end_text(entry.end).to_string(),
            end: Some(entry.end),
            ended_at_ms: Some(entry.ended),
            reason: entry.why.clone(),
            note: entry.change.note.clone(),
            difference: difference(&entry.change),
            target_counts: targets.map(count_by_state).unwrap_or_default(),
            targets: targets
                .map(|targets| target_views(targets, detail))
                .unwrap_or_default(),
        }
    }
}

fn count_by_state(targets: &BTreeMap<String, Target>) -> BTreeMap<TargetState, usize> {
    let mut counts = BTreeMap::new();
    for target in targets.values() {
        *counts.entry(TargetState::from(&target.step)).or_insert(0) += 1;
    }
    counts
}

fn target_views(
    targets: &BTreeMap<String, Target>,
    detail: Detail,
) -> BTreeMap<String, TargetView> {
    match detail {
        Detail::Summary => BTreeMap::new(),
        Detail::Targets => {
            let views = targets.iter();
            views
                .map(|(name, target)| (name.clone(), TargetView::from(target)))
                .collect()
        }
    }
}

/// The phase of a rollout that is under way, for people. Waves are counted from 1.
fn phase_text(rollout: &Rollout) -> String {
    let last_wave = rollout.targets.values().map(|target| target.wave).max();
    let waves = last_wave.map_or(1, |wave| wave + 1);
    match rollout.phase {
        Phase::Forward { wave } => format!("wave {} of {waves}", wave + 1),
        Phase::Watch { wave } => format!("watching after wave {} of {waves}", wave + 1),
        Phase::Stopping => "stopping".into(),
        Phase::Back => "being taken back".into(),
        Phase::Ended(end) => end_text(end).into(),
    }
}

fn end_text(end: End) -> &'static str {
    match end {
        End::Done => "done",
        End::Stopped => "stopped",
        End::TakenBack => "taken back",
    }
}
