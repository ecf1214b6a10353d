//! What a level gives up.

use madderloom_balancer::{Reduced, place};
use std::collections::BTreeMap;

/// What is given up. The default gives up nothing.
#[derive(Clone, Debug, PartialEq)]
pub struct Effects {
    /// The share of a class's requests that is turned away, from 0 to 1.
    pub turn_away: BTreeMap<String, f64>,
    /// Requests of at least this worth are spared that.
    pub spare_worth: f64,
    /// Servers may be probed.
    pub probes: bool,
    /// The part of the usual retry budget that is left, from 0 to 1.
    pub retries: f64,
    /// The part of the usual time that is waited for an answer, above 0 and at most 1.
    pub patience: f64,
}

impl Default for Effects {
    fn default() -> Self {
        Effects {
            turn_away: BTreeMap::new(),
            spare_worth: f64::INFINITY,
            probes: true,
            retries: 1.0,
            patience: 1.0,
        }
    }
}

impl Effects {
    /// All that either gives up: a level does what those below it do, too.
    pub fn with(&self, other: &Effects) -> Effects {
        let mut turn_away = self.turn_away.clone();
        for (class, share) in &other.turn_away {
            let ours = turn_away.entry(class.clone()).or_insert(0.0);
            *ours = ours.max(*share);
        }
        Effects {
            turn_away,
            spare_worth: self.spare_worth.min(other.spare_worth),
            probes: self.probes && other.probes,
            retries: self.retries.min(other.retries),
            patience: self.patience.min(other.patience),
        }
    }

    /// The same for a decision module whose settings hold these classes in this order.
    pub fn of_classes(&self, classes: &[String]) -> Reduced {
        Reduced {
            away: classes
                .iter()
                .map(|class| self.turn_away.get(class).copied().unwrap_or(0.0))
                .collect(),
            spare_worth: self.spare_worth,
            probes: self.probes,
            retries: self.retries,
            patience: self.patience,
        }
    }

    /// Whether a request is turned away. It is so by its key: whom it befalls once it befalls again for as long as
    /// the level holds, at every instance, and all others are served as ever. A request without a key is to be
    /// given a random one.
    pub fn turns_away(&self, class: &str, key: u64, worth: f64) -> bool {
        let share = self.turn_away.get(class).copied().unwrap_or(0.0);
        worth < self.spare_worth && place(key) < share
    }
}
