//! The rollout of one change, as a state machine. Every state of it can be persisted and resumed.
//!
//! ```text
//! Deploying(stage) -> Observing(stage) -> Deploying(stage + 1) ... -> Ended(Completed)
//!       |                  |
//!       +--------+---------+--> Stopping    -> Ended(Stopped)
//!                +------------> RollingBack -> Ended(RolledBack)      (from Stopping too)
//! ```
//!
//! Deadlines are not persisted: an agent that resumes a rollout gives each instance that has not answered its full
//! time again.

mod advance;
mod phase;
mod target;

pub(crate) use phase::ObservationWindow;
pub use phase::{AwaitedOrder, DesiredVersion, Phase, RolloutResult};
pub use target::{FailureReason, Target, TargetState};

use crate::author::Author;
use crate::change::{Change, Operation};
use crate::health_gate::RequestCounts;
use crate::protocol::Outcome;
use crate::settings::Fingerprint;
use crate::{Micros, Problem};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The rollout of a change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Rollout {
    /// The change.
    pub change: Change,
    /// The revision that the change makes.
    pub revision: u64,
    /// The revision that the rollback has made; none before it has begun.
    #[serde(rename = "back_revision")]
    pub rollback_revision: Option<u64>,
    /// Who pushed the change.
    pub by: Author,
    /// The state of the rollout.
    pub phase: Phase,
    /// Why the rollout stops or is rolled back, and by whom.
    #[serde(rename = "why")]
    pub reason: Option<String>,
    /// The requests of the instances that the change is not for, in the last window before the rollout began.
    pub others: BTreeMap<String, RequestCounts>,
    /// The instances that the change is for. Each is persisted in a record of its own.
    #[serde(skip)]
    pub targets: BTreeMap<String, Target>,
    /// Set in [`Phase::Observing`] only. Not persisted.
    #[serde(skip)]
    pub(crate) observation: Option<ObservationWindow>,
    /// What has changed since it was last persisted.
    #[serde(skip)]
    pub(crate) unsaved: Unsaved,
}

/// The parts of a rollout that must be persisted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Unsaved {
    /// Whether the rollout itself has changed, without its targets.
    pub(crate) head: bool,
    /// The names of the targets that have changed.
    pub(crate) targets: BTreeSet<String>,
}

impl Rollout {
    /// Starts the rollout of a change, with the request counts of the instances that it is for and of the others.
    pub fn new(
        change: Change,
        revision: u64,
        by: Author,
        selected: BTreeMap<String, RequestCounts>,
        others: BTreeMap<String, RequestCounts>,
    ) -> Self {
        let targets = assign_stages(&change, selected);
        let unsaved = Unsaved {
            head: true,
            targets: targets.keys().cloned().collect(),
        };
        Rollout {
            change,
            revision,
            rollback_revision: None,
            by,
            phase: Phase::Deploying { stage: 0 },
            reason: None,
            others,
            targets,
            observation: None,
            unsaved,
        }
    }

    /// The rollout without its targets, as it is persisted.
    pub fn head(&self) -> Rollout {
        Rollout {
            targets: BTreeMap::new(),
            observation: None,
            unsaved: Unsaved::default(),
            ..self.clone()
        }
    }

    /// Resumes the rollout after a restart of the agent: every deadline starts anew.
    pub fn resume(&mut self, now: Micros) {
        let deadline = self.answer_deadline(now);
        for target in self.targets.values_mut() {
            target.deadline = target.is_awaited(self.phase).then_some(deadline);
        }
        if let Phase::Observing { .. } = self.phase {
            self.begin_observation(now);
        }
    }

    /// When an instance that is sent an order now counts as unreachable.
    fn answer_deadline(&self, now: Micros) -> Micros {
        now.saturating_add(self.change.rollout.answer_timeout)
    }

    /// Which settings an instance should have.
    pub fn desired_version(&self, name: &str) -> DesiredVersion {
        let Some(target) = self.targets.get(name) else {
            return DesiredVersion::Former;
        };
        if let Phase::RollingBack | Phase::Ended(RolloutResult::RolledBack) = self.phase {
            return DesiredVersion::Former;
        }
        match target.state {
            TargetState::Pending
            | TargetState::Refused(_)
            | TargetState::Failed(FailureReason::NotReached | FailureReason::RolledBack) => {
                DesiredVersion::Former
            }
            TargetState::Sent
            | TargetState::Applied
            | TargetState::Failed(FailureReason::Unreachable) => DesiredVersion::Changed,
        }
    }

    /// The order that an instance has to answer, if there is one.
    pub fn awaited_order(&self, name: &str) -> Option<AwaitedOrder> {
        let target = self.targets.get(name)?;
        let is_awaited = target.is_awaited(self.phase) && target.deadline.is_some();
        is_awaited.then_some(AwaitedOrder {
            revision: self.revision,
            is_rollback: self.phase == Phase::RollingBack,
        })
    }

    /// Records the answer to an order of this rollout. An answer to any other order is ignored.
    pub fn record_answer(&mut self, name: &str, order: AwaitedOrder, outcome: &Outcome) {
        if self.awaited_order(name) != Some(order) {
            return;
        }
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        let state = match outcome {
            Outcome::Applied => TargetState::Applied,
            Outcome::Refused(problem) => TargetState::Refused(problem.clone()),
        };
        target.order_ended(order.is_rollback, state);
        self.unsaved.targets.insert(name.to_string());
    }

    /// Records that an instance that had the change has restarted and now refuses it.
    pub fn record_late_refusal(&mut self, name: &str, problem: &Problem) {
        if self.phase.can_roll_back()
            && let Some(target) = self.targets.get_mut(name)
            && target.state == TargetState::Applied
        {
            target.state = TargetState::Refused(problem.clone());
            self.unsaved.targets.insert(name.to_string());
        }
    }

    /// Stops the rollout: instances that have the change keep it. Returns false where it is too late.
    pub fn stop(&mut self, reason: String) -> bool {
        let can_stop = self.phase.is_deploying();
        if can_stop {
            self.abort(Phase::Stopping, reason);
        }
        can_stop
    }

    /// Rolls the change back under a new revision. Returns false where it is too late.
    pub fn roll_back(&mut self, now: Micros, revision: u64, reason: String) -> bool {
        if !self.phase.can_roll_back() {
            return false;
        }
        self.abort(Phase::RollingBack, reason);
        self.rollback_revision = Some(revision);
        let deadline = self.answer_deadline(now);
        for (name, target) in &mut self.targets {
            if target.begin_rollback(deadline) {
                self.unsaved.targets.insert(name.clone());
            }
        }
        true
    }

    /// Leaves the deployment for a phase that ends it early.
    fn abort(&mut self, phase: Phase, reason: String) {
        self.phase = phase;
        self.reason = Some(reason);
        self.observation = None;
        self.unsaved.head = true;
    }

    /// When the rollout has to be advanced next.
    pub fn next_deadline(&self, now: Micros) -> Option<Micros> {
        let answers = self.targets.values().filter_map(|target| target.deadline);
        let observation = self
            .observation
            .into_iter()
            .flat_map(|window| [window.earliest_end, window.evidence_deadline]);
        answers
            .chain(observation)
            .filter(|deadline| *deadline > now)
            .min()
    }

    /// The number of targets that refused the change or are unreachable.
    pub fn failures(&self) -> usize {
        self.targets
            .values()
            .filter(|target| target.state.is_failure())
            .count()
    }

    /// Whether the change undoes another one.
    pub fn is_undo(&self) -> bool {
        matches!(self.change.operation, Operation::Undo(_))
    }

    /// Sets the clock back.
    #[cfg(any(test, feature = "explore"))]
    pub(crate) fn rebase(&mut self, by: Micros) {
        let back = |time: &mut Micros| *time = time.saturating_sub(by);
        self.targets
            .values_mut()
            .filter_map(|target| target.deadline.as_mut())
            .for_each(back);
        if let Some(window) = &mut self.observation {
            back(&mut window.earliest_end);
            back(&mut window.evidence_deadline);
        }
    }
}

/// Assigns each selected instance to a stage. The order depends on the id of the change as well as on the names, so
/// that the canaries are not always the same instances.
fn assign_stages(
    change: &Change,
    selected: BTreeMap<String, RequestCounts>,
) -> BTreeMap<String, Target> {
    let mut order: Vec<(String, RequestCounts)> = selected.into_iter().collect();
    order.sort_by_cached_key(|(name, _)| Fingerprint::of(&(&change.id, name)));
    let stage_ends: Vec<usize> = change
        .rollout
        .stages
        .iter()
        .map(|size| size.of(order.len()))
        .collect();
    let stage_of = |index: usize| stage_ends.iter().filter(|end| **end <= index).count() as u32;
    order
        .into_iter()
        .enumerate()
        .map(|(index, (name, counts))| (name, Target::pending(stage_of(index), counts)))
        .collect()
}
