//! Conditions: boolean expressions over signals, with durations.
//!
//! ```text
//! condition  = conjunction, { "or", conjunction }
//! conjunction = term, { "and", term }
//! term       = ["not"], ( "(", condition, ")" | comparison ), ["for", duration]
//! comparison = signal, ["(", class, ")"], (">" | ">=" | "<" | "<="), bound
//! bound      = number, ["%"] | duration
//! ```
//!
//! A comparison with a missing signal is neither true nor false (Kleene's three-valued logic): a condition that depends
//! on it is not met, and neither is its negation.

mod expression;
mod overlap;
mod parser;

use crate::{ConditionError, Micros, Signal, Signals};
use expression::Expression;
use madderloom_config_reader::Span;
use std::collections::BTreeSet;
use std::fmt;

/// A parsed condition, with the state that its durations need.
#[derive(Clone, Debug, PartialEq)]
pub struct Condition {
    text: String,
    expression: Expression,
    /// For each `for`: since when its operand has been met.
    met_since: Vec<Option<Micros>>,
}

impl Condition {
    /// Parses a condition.
    ///
    /// # Errors
    /// The text doesn't follow the grammar, names an unknown signal, has an invalid bound, or is too long.
    pub fn parse(text: &str) -> Result<Self, ConditionError> {
        let parsed = parser::parse(text)?;
        Ok(Condition {
            text: text.trim().to_string(),
            expression: parsed.expression,
            met_since: vec![None; parsed.durations],
        })
    }

    /// Whether the condition is met; `None` if signals are missing. To be called regularly, since durations are measured
    /// from call to call.
    pub fn evaluate(&mut self, now: Micros, signals: &Signals) -> Option<bool> {
        self.expression.evaluate(now, signals, &mut self.met_since)
    }

    /// The signals that the condition depends on.
    pub fn signals(&self) -> BTreeSet<&Signal> {
        let mut signals = BTreeSet::new();
        self.expression.for_each_comparison(&mut |comparison| {
            signals.insert(&comparison.signal);
        });
        signals
    }

    /// Describes the values of its signals in one line.
    pub fn describe_values(&self, signals: &Signals) -> String {
        let describe = |signal: &Signal| match signals.get(signal) {
            Some(value) if signal.is_duration() => {
                format!("{signal} = {}", Span(value.max(0.0) as u64))
            }
            Some(value) => format!("{signal} = {value:.3}"),
            None => format!("{signal} is not known"),
        };
        let described: Vec<String> = self.signals().into_iter().map(describe).collect();
        described.join(", ")
    }

    /// Signal values at which both conditions are met, described in one line; `None` if there are none. Durations count
    /// as satisfied.
    ///
    /// # Errors
    /// There are too many combinations of signals and bounds to look at all of them.
    pub fn met_together(&self, other: &Condition) -> Result<Option<String>, ConditionError> {
        overlap::met_together(self, other)
    }

    /// Whether the condition is met at these values if all durations are satisfied.
    fn is_met_at(&self, signals: &Signals) -> bool {
        let mut met_since = vec![Some(0); self.met_since.len()];
        let met = self
            .expression
            .evaluate(Micros::MAX, signals, &mut met_since);
        met == Some(true)
    }
}

impl fmt::Display for Condition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}
