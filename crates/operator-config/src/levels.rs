//! The degradation levels of a pool, as `madderloom check` prints them.

use madderloom_config_reader::Span;
use madderloom_degradation::{Effects, Level, LevelPlan};
use serde_json::{Value, json};
use std::fmt;

/// The degradation levels of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolLevels {
    /// Name of the pool.
    pub pool: String,
    /// The levels and their conditions.
    pub plan: LevelPlan,
}

impl PoolLevels {
    /// The levels as JSON.
    pub fn to_json(&self) -> Value {
        let level = |level: &Level| {
            json!({"name": level.name, "enter": level.enter.to_string(), "leave": level.leave.to_string(),
                "least_stay_us": level.min_stay, "gives_up": effect_texts(&level.effects)})
        };
        let levels: Value = self.plan.levels.iter().map(level).collect();
        json!({"pool": self.pool, "levels": levels, "changes_in_ten_minutes": self.plan.max_changes_in_ten_minutes})
    }
}

impl fmt::Display for PoolLevels {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let max_changes = self.plan.max_changes_in_ten_minutes;
        write!(
            f,
            "pool {}: at most {max_changes} changes of level in any ten minutes",
            self.pool
        )?;
        for level in &self.plan.levels {
            write!(
                f,
                "\n  {}\n    enter: {}\n    leave: {}",
                level.name, level.enter, level.leave
            )?;
            write!(f, "\n    least stay: {}", Span(level.min_stay))?;
            let effects = effect_texts(&level.effects);
            let effects = if effects.is_empty() {
                "nothing".into()
            } else {
                effects.join(", ")
            };
            write!(f, "\n    gives up: {effects}")?;
        }
        Ok(())
    }
}

/// Describes the effects of a level itself, without those of the levels below it.
fn effect_texts(effects: &Effects) -> Vec<String> {
    let defaults = Effects::default();
    let percent = |share: f64| format!("{}%", (1e4 * share).round() / 1e2);
    let mut texts: Vec<String> = effects
        .rejected_shares
        .iter()
        .map(|(class, share)| format!("{} of {class}", percent(*share)))
        .collect();
    if effects.exempt_weight.is_finite() {
        texts.push(format!(
            "but no class worth {} or more",
            effects.exempt_weight
        ));
    }
    if effects.retry_budget_factor < defaults.retry_budget_factor {
        texts.push(format!(
            "{} of the retry budget",
            percent(1.0 - effects.retry_budget_factor)
        ));
    }
    if effects.timeout_factor < defaults.timeout_factor {
        texts.push(format!(
            "{} of what is waited for",
            percent(1.0 - effects.timeout_factor)
        ));
    }
    if !effects.allows_probes {
        texts.push("probes".into());
    }
    texts
}
