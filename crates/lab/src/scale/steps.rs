//! The steps that a fleet is taken through.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A step.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    clap::ValueEnum,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// All instances start at once, at an agent that knows none of them
    Start,
    /// Nothing happens
    Calm,
    /// A change for all
    PushAll,
    /// A change for one service
    PushService,
    /// A change for one zone
    PushZone,
    /// The agent is killed and started again with its state
    RestartWithState,
    /// The agent is killed and started again without its state
    RestartWithoutState,
    /// A zone loses its power, and comes back
    ZoneLost,
    /// The links of a region are cut for a time, in which a change for all is pushed
    RegionCut,
    /// A rack of 40 loses its power, and comes back
    RackLost,
    /// Instances are restarted, one a second
    Restarts,
    /// Discovery tells of another list of servers
    ListChange,
}

impl Step {
    /// All of them, in the order in which they are taken.
    pub const ALL: [Step; 12] = [
        Step::Start,
        Step::Calm,
        Step::PushAll,
        Step::PushService,
        Step::PushZone,
        Step::ListChange,
        Step::Restarts,
        Step::RackLost,
        Step::ZoneLost,
        Step::RegionCut,
        Step::RestartWithState,
        Step::RestartWithoutState,
    ];
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Step::Start => "start",
            Step::Calm => "calm",
            Step::PushAll => "push-all",
            Step::PushService => "push-service",
            Step::PushZone => "push-zone",
            Step::RestartWithState => "restart-with-state",
            Step::RestartWithoutState => "restart-without-state",
            Step::ZoneLost => "zone-lost",
            Step::RegionCut => "region-cut",
            Step::RackLost => "rack-lost",
            Step::Restarts => "restarts",
            Step::ListChange => "list-change",
        })
    }
}
