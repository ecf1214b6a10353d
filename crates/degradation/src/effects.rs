//! What a level gives up.

use madderloom_balancer::{DegradationEffects, key_position};
use std::collections::BTreeMap;

/// What is given up while a level is active. The default gives up nothing.
#[derive(Clone, Debug, PartialEq)]
pub struct Effects {
    /// For each class, by name, the share of its keys whose requests are rejected, from 0 to 1.
    pub rejected_shares: BTreeMap<String, f64>,
    /// Classes of at least this priority weight are exempt from rejection.
    pub exempt_weight: f64,
    /// Whether servers may be probed for their load.
    pub allows_probes: bool,
    /// The remaining part of the retry budget, from 0 to 1.
    pub retry_budget_factor: f64,
    /// The remaining part of the time that is waited for a response, above 0 and at most 1.
    pub timeout_factor: f64,
}

impl Default for Effects {
    fn default() -> Self {
        Effects {
            rejected_shares: BTreeMap::new(),
            exempt_weight: f64::INFINITY,
            allows_probes: true,
            retry_budget_factor: 1.0,
            timeout_factor: 1.0,
        }
    }
}

impl Effects {
    /// Both effects together: a level also has the effects of all milder ones.
    pub fn combine(&self, other: &Effects) -> Effects {
        let mut rejected_shares = self.rejected_shares.clone();
        for (class, share) in &other.rejected_shares {
            let combined = rejected_shares.entry(class.clone()).or_insert(0.0);
            *combined = combined.max(*share);
        }
        Effects {
            rejected_shares,
            exempt_weight: self.exempt_weight.min(other.exempt_weight),
            allows_probes: self.allows_probes && other.allows_probes,
            retry_budget_factor: self.retry_budget_factor.min(other.retry_budget_factor),
            timeout_factor: self.timeout_factor.min(other.timeout_factor),
        }
    }

    /// The same for the decision module, whose settings have these classes in this order.
    pub fn for_classes(&self, classes: &[String]) -> DegradationEffects {
        DegradationEffects {
            rejected_shares: classes
                .iter()
                .map(|class| self.rejected_share(class))
                .collect(),
            exempt_weight: self.exempt_weight,
            allows_probes: self.allows_probes,
            retry_budget_factor: self.retry_budget_factor,
            timeout_factor: self.timeout_factor,
        }
    }

    /// Whether a request is rejected. The decision depends on its key: requests of one key are rejected, or served, for
    /// as long as the level is active and at every instance. A request without a key is to be given a random one.
    pub fn rejects(&self, class: &str, key: u64, weight: f64) -> bool {
        weight < self.exempt_weight && key_position(key) < self.rejected_share(class)
    }

    fn rejected_share(&self, class: &str) -> f64 {
        self.rejected_shares.get(class).copied().unwrap_or(0.0)
    }
}
