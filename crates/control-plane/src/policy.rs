//! How a change is rolled out: its stages, its bounds, and what happens when it fails.

use crate::bounds::{MAX_PATTERNS, MAX_WAIT};
use crate::health_gate::HealthGate;
use crate::{Micros, Problem};
use serde::{Deserialize, Serialize};

/// The number of selected instances that have the change after a stage, including those of earlier stages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StageSize {
    /// A fixed number.
    Count(u32),
    /// A percentage, rounded up.
    Percent(u32),
}

impl StageSize {
    /// The number of instances out of `all`.
    pub fn of(self, all: usize) -> usize {
        match self {
            StageSize::Count(count) => (count as usize).min(all),
            StageSize::Percent(percent) => (all * percent.min(100) as usize).div_ceil(100),
        }
    }

    /// Whether the stage contains an instance, and no more than all of them.
    fn is_valid(self) -> bool {
        match self {
            StageSize::Count(count) => count > 0,
            StageSize::Percent(percent) => (1..=100).contains(&percent),
        }
    }
}

/// What happens when too many instances refuse or fail, or when the health gate finds that the change does harm.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum FailureAction {
    /// The rollout stops. Instances that have the change keep it.
    Stop,
    /// Instances that may have the change get their former settings back.
    #[default]
    #[serde(rename = "take-back")]
    RollBack,
}

/// How a change is rolled out.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RolloutPolicy {
    /// Stages, each including those before it. A last stage with all other instances is always added.
    #[serde(rename = "waves")]
    pub stages: Vec<StageSize>,
    /// The most instances with an unanswered order.
    #[serde(rename = "at_once")]
    pub max_in_flight: u32,
    /// The shortest time between two stages, in microseconds.
    #[serde(rename = "pause")]
    pub stage_pause: Micros,
    /// The time after which an instance that has not answered counts as unreachable, in microseconds.
    #[serde(rename = "silence")]
    pub answer_timeout: Micros,
    /// The most instances that may refuse or fail before the rollout ends.
    #[serde(rename = "failures")]
    pub max_failures: u32,
    /// What happens when more of them do.
    #[serde(rename = "then")]
    pub on_failure: FailureAction,
    /// The health gate between stages; none without it.
    pub gate: Option<HealthGate>,
}

impl Default for RolloutPolicy {
    /// One canary, a tenth, all; twenty orders in flight, half a minute between stages; the first failure rolls the
    /// change back.
    fn default() -> Self {
        RolloutPolicy {
            stages: vec![StageSize::Count(1), StageSize::Percent(10)],
            max_in_flight: 20,
            stage_pause: 30_000_000,
            answer_timeout: 15_000_000,
            max_failures: 0,
            on_failure: FailureAction::RollBack,
            gate: Some(HealthGate::default()),
        }
    }
}

impl RolloutPolicy {
    /// Adds all problems of the policy, by the names that its fields have in a change document.
    pub(crate) fn check(&self, problems: &mut Vec<Problem>) {
        let mut require = |holds: bool, field: &str, problem: &str| {
            if !holds {
                problems.push(Problem {
                    field: format!("rollout.{field}"),
                    problem: problem.into(),
                });
            }
        };
        require(self.max_in_flight > 0, "at_once", "must be at least 1");
        require(
            self.answer_timeout > 0,
            "silence",
            "must be more than nothing",
        );
        require(
            self.answer_timeout <= MAX_WAIT,
            "silence",
            "must be a day at most",
        );
        require(
            self.stage_pause <= MAX_WAIT,
            "pause",
            "must be a day at most",
        );
        require(
            self.stages.len() <= MAX_PATTERNS,
            "waves",
            "are too many; there are 256 at most",
        );
        for (index, stage) in self.stages.iter().enumerate() {
            require(
                stage.is_valid(),
                &format!("waves[{index}]"),
                "must be at least 1, and in percent at most 100",
            );
        }
        for Problem { field, problem } in self.gate.iter().flat_map(HealthGate::check) {
            require(false, &format!("gate.{field}"), &problem);
        }
    }
}
