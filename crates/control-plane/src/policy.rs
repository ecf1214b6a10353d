//! How a change is rolled out: its stages, its bounds, and what happens when it fails.

use crate::bounds::{LONGEST_WAIT, MOST_PATTERNS};
use crate::gate::GateRule;
use crate::{Micros, Problem};
use serde::{Deserialize, Serialize};

/// The number of selected instances that have the change after a wave, including those of earlier waves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Share {
    /// A fixed number.
    Count(u32),
    /// A percentage, rounded up.
    Percent(u32),
}

impl Share {
    /// The number of instances out of `all`.
    pub fn of(self, all: usize) -> usize {
        match self {
            Share::Count(count) => (count as usize).min(all),
            Share::Percent(percent) => (all * percent.min(100) as usize).div_ceil(100),
        }
    }
}

/// What happens when too many instances refuse or fail, or the change does harm.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Then {
    /// The rollout stops. Instances that have the change keep it.
    Stop,
    /// Instances that may have the change get their former settings back.
    #[default]
    TakeBack,
}

/// How a change is rolled out.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Waves, each including those before it. A last wave with all other instances is always added.
    pub waves: Vec<Share>,
    /// The most instances with an unanswered order.
    pub at_once: u32,
    /// The shortest time between two waves, in microseconds.
    pub pause: Micros,
    /// The time after which an instance that has not answered counts as unreachable, in microseconds.
    pub silence: Micros,
    /// The most instances that may refuse or fail before the rollout ends.
    pub failures: u32,
    /// What happens then.
    pub then: Then,
    /// The health gate between waves; none without it.
    pub gate: Option<GateRule>,
}

impl Default for Policy {
    /// One instance, a tenth, all; twenty at once, half a minute between waves; the first failure takes the change
    /// back.
    fn default() -> Self {
        Policy {
            waves: vec![Share::Count(1), Share::Percent(10)],
            at_once: 20,
            pause: 30_000_000,
            silence: 15_000_000,
            failures: 0,
            then: Then::TakeBack,
            gate: Some(GateRule::default()),
        }
    }
}

impl Policy {
    pub(crate) fn check(&self, problems: &mut Vec<Problem>) {
        let mut require = |holds: bool, field: &str, problem: &str| {
            if !holds {
                problems.push(Problem {
                    field: format!("rollout.{field}"),
                    problem: problem.into(),
                });
            }
        };
        require(self.at_once > 0, "at_once", "must be at least 1");
        require(self.silence > 0, "silence", "must be more than nothing");
        require(
            self.silence <= LONGEST_WAIT,
            "silence",
            "must be a day at most",
        );
        require(self.pause <= LONGEST_WAIT, "pause", "must be a day at most");
        require(
            self.waves.len() <= MOST_PATTERNS,
            "waves",
            "are too many; there are 256 at most",
        );
        for (at, wave) in self.waves.iter().enumerate() {
            let sound = match *wave {
                Share::Count(count) => count > 0,
                Share::Percent(percent) => (1..=100).contains(&percent),
            };
            require(
                sound,
                &format!("waves[{at}]"),
                "must be at least 1, and in percent at most 100",
            );
        }
        if let Some(gate) = &self.gate {
            for Problem { field, problem } in gate.check() {
                require(false, &format!("gate.{field}"), &problem);
            }
        }
    }
}
