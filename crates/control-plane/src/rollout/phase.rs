//! The phases of a rollout.

use crate::Micros;
use serde::{Deserialize, Serialize};
use std::fmt;

/// How a rollout ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutResult {
    /// All stages are complete.
    #[serde(rename = "done")]
    Completed,
    /// Nothing more is sent; the instances that have the change keep it.
    Stopped,
    /// The instances that had the change have their former settings again.
    #[serde(rename = "taken_back")]
    RolledBack,
}

impl fmt::Display for RolloutResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RolloutResult::Completed => "completed",
            RolloutResult::Stopped => "stopped",
            RolloutResult::RolledBack => "rolled back",
        })
    }
}

/// The phase of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The orders of a stage are being sent and answered.
    #[serde(rename = "forward")]
    Deploying {
        /// The stage, from 0.
        #[serde(rename = "wave")]
        stage: u32,
    },
    /// A stage is complete, and the request counts are observed before the next one.
    #[serde(rename = "watch")]
    Observing {
        /// The stage that is complete.
        #[serde(rename = "wave")]
        stage: u32,
    },
    /// The rollout is to stop, and waits for the instances that were sent an order.
    Stopping,
    /// The change is being rolled back.
    #[serde(rename = "back")]
    RollingBack,
    /// The rollout has ended.
    Ended(RolloutResult),
}

impl Phase {
    /// Whether orders of the change may still be sent.
    pub(super) fn is_deploying(self) -> bool {
        matches!(self, Phase::Deploying { .. } | Phase::Observing { .. })
    }

    /// Whether the change can still be rolled back.
    pub(super) fn can_roll_back(self) -> bool {
        self.is_deploying() || self == Phase::Stopping
    }
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Phase::Deploying { stage } => write!(f, "deploying stage {}", stage + 1),
            Phase::Observing { stage } => write!(f, "observing stage {}", stage + 1),
            Phase::Stopping => f.write_str("stopping"),
            Phase::RollingBack => f.write_str("rolling back"),
            Phase::Ended(result) => result.fmt(f),
        }
    }
}

/// The time for which the request counts are observed after a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ObservationWindow {
    /// When the observation may end.
    pub(crate) earliest_end: Micros,
    /// When the observation ends without enough evidence.
    pub(crate) evidence_deadline: Micros,
}

/// The order of a rollout that an instance has to answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AwaitedOrder {
    /// The rollout, by the revision that it makes.
    pub revision: u64,
    /// Whether the order belongs to the rollback.
    pub is_rollback: bool,
}

/// Which settings an instance should have while a rollout is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DesiredVersion {
    /// Those without the change.
    Former,
    /// Those with the change.
    Changed,
}
