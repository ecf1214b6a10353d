//! The levels of a pool as `madderloom check` tells them.

use madderloom_config_reader::Span;
use madderloom_degradation::{Effects, Level, LevelPlan};
use serde_json::{Value, json};
use std::fmt;

/// What a pool gives up when.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolLevels {
    /// The pool.
    pub pool: String,
    /// Its levels.
    pub plan: LevelPlan,
}

impl PoolLevels {
    /// The same for programs.
    pub fn to_json(&self) -> Value {
        let level = |level: &Level| {
            json!({"name": level.name, "enter": level.enter.to_string(), "leave": level.leave.to_string(),
                "least_stay_us": level.min_stay, "gives_up": given_up(&level.effects)})
        };
        let levels: Value = self.plan.levels.iter().map(level).collect();
        json!({"pool": self.pool, "levels": levels, "changes_in_ten_minutes": self.plan.max_changes_in_ten_minutes})
    }
}

impl fmt::Display for PoolLevels {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let most = self.plan.max_changes_in_ten_minutes;
        write!(
            f,
            "pool {}: at most {most} changes of level in any ten minutes",
            self.pool
        )?;
        for level in &self.plan.levels {
            write!(
                f,
                "\n  {}\n    enter: {}\n    leave: {}",
                level.name, level.enter, level.leave
            )?;
            write!(f, "\n    least stay: {}", Span(level.min_stay))?;
            let given_up = given_up(&level.effects);
            let given_up = if given_up.is_empty() {
                "nothing".into()
            } else {
                given_up.join(", ")
            };
            write!(f, "\n    gives up: {given_up}")?;
        }
        Ok(())
    }
}

/// What a level gives up itself, besides those below it.
fn given_up(effects: &Effects) -> Vec<String> {
    let usual = Effects::default();
    let percent = |part: f64| format!("{}%", (1e4 * part).round() / 1e2);
    let mut told: Vec<String> = effects
        .rejected_shares
        .iter()
        .map(|(class, share)| format!("{} of {class}", percent(*share)))
        .collect();
    if effects.exempt_weight.is_finite() {
        told.push(format!(
            "but no class worth {} or more",
            effects.exempt_weight
        ));
    }
    if effects.retry_budget_factor < usual.retry_budget_factor {
        told.push(format!(
            "{} of the retry budget",
            percent(1.0 - effects.retry_budget_factor)
        ));
    }
    if effects.timeout_factor < usual.timeout_factor {
        told.push(format!(
            "{} of what is waited for",
            percent(1.0 - effects.timeout_factor)
        ));
    }
    if !effects.allows_probes {
        told.push("probes".into());
    }
    told
}
