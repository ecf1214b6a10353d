//! The progress of a rollout on one instance.

use super::Phase;
use crate::health_gate::RequestCounts;
use crate::{Micros, Problem};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Why a target failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureReason {
    /// It did not answer in time. It may have the change or not, and receives the desired settings once it is back.
    Unreachable,
    /// The rollout ended before its turn; it was sent nothing.
    NotReached,
    /// The rollout was rolled back before it had answered.
    #[serde(rename = "overtaken")]
    RolledBack,
}

/// The state of the change, or of its rollback, on a target.
///
/// ```text
/// Pending --order sent--> Sent --answer--> Applied or Refused
///    |                     +--no answer--> Failed
///    +--rollout ended--> Failed
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// Its turn has not come.
    Pending,
    /// The order was sent and has not been answered.
    Sent,
    /// The change is in effect in full.
    Applied,
    /// The change was refused, and the former settings are still in effect.
    Refused(Problem),
    /// It is not known whether the change is in effect.
    Failed(FailureReason),
}

impl TargetState {
    /// Whether the state will not change any more.
    pub fn is_final(&self) -> bool {
        !matches!(self, TargetState::Pending | TargetState::Sent)
    }

    /// Whether the state counts against the failures that the policy tolerates.
    pub(super) fn is_failure(&self) -> bool {
        matches!(
            self,
            TargetState::Refused(_) | TargetState::Failed(FailureReason::Unreachable)
        )
    }
}

impl fmt::Display for TargetState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TargetState::Pending => f.write_str("pending"),
            TargetState::Sent => f.write_str("sent"),
            TargetState::Applied => f.write_str("applied"),
            TargetState::Refused(problem) => write!(f, "refused: {problem}"),
            TargetState::Failed(FailureReason::Unreachable) => f.write_str("failed: unreachable"),
            TargetState::Failed(FailureReason::NotReached) => {
                f.write_str("failed: the rollout ended before its turn")
            }
            TargetState::Failed(FailureReason::RolledBack) => {
                f.write_str("failed: taken back before it had answered")
            }
        }
    }
}

/// An instance that the change is for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Target {
    /// Its stage, from 0.
    #[serde(rename = "wave")]
    pub stage: u32,
    /// The state of the change.
    #[serde(rename = "step")]
    pub state: TargetState,
    /// The state of the rollback, once that has begun and if the instance may have had the change.
    #[serde(rename = "back")]
    pub rollback: Option<TargetState>,
    /// Its requests of the last window before the rollout began.
    #[serde(rename = "before")]
    pub counts_before: RequestCounts,
    /// When it counts as unreachable; none while no order is unanswered. Not persisted.
    #[serde(skip)]
    pub deadline: Option<Micros>,
}

impl Target {
    pub(super) fn pending(stage: u32, counts_before: RequestCounts) -> Self {
        Target {
            stage,
            state: TargetState::Pending,
            rollback: None,
            counts_before,
            deadline: None,
        }
    }

    /// Whether an order was sent and has not been answered.
    pub(super) fn is_awaited(&self, phase: Phase) -> bool {
        match phase {
            Phase::RollingBack => self.rollback == Some(TargetState::Sent),
            Phase::Ended(_) => false,
            Phase::Deploying { .. } | Phase::Observing { .. } | Phase::Stopping => {
                self.state == TargetState::Sent
            }
        }
    }

    /// Records that the order of the change was sent.
    pub(super) fn order_sent(&mut self, deadline: Micros) {
        self.state = TargetState::Sent;
        self.deadline = Some(deadline);
    }

    /// Records how the order of the change, or of its rollback, has ended.
    pub(super) fn order_ended(&mut self, is_rollback: bool, state: TargetState) {
        self.deadline = None;
        if is_rollback {
            self.rollback = Some(state);
        } else {
            self.state = state;
        }
    }

    /// Begins the rollback of the change. Returns whether anything has changed.
    pub(super) fn begin_rollback(&mut self, deadline: Micros) -> bool {
        match self.state {
            TargetState::Pending | TargetState::Failed(FailureReason::NotReached) => {
                self.state = TargetState::Failed(FailureReason::NotReached);
                return true;
            }
            // Its former settings are in effect.
            TargetState::Refused(_) => return false,
            TargetState::Sent => self.state = TargetState::Failed(FailureReason::RolledBack),
            TargetState::Applied | TargetState::Failed(_) => {}
        }
        self.rollback = Some(TargetState::Sent);
        self.deadline = Some(deadline);
        true
    }
}
