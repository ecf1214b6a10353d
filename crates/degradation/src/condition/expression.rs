//! The syntax tree of a condition, and its evaluation.

use crate::{Micros, Signal, Signals};

/// A node of the syntax tree.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Expression {
    Comparison(Comparison),
    Not(Box<Expression>),
    All(Vec<Expression>),
    Any(Vec<Expression>),
    /// Met once the operand has been met for a duration.
    Sustained {
        duration: Micros,
        /// Index of the state that tells since when the operand has been met.
        state: usize,
        operand: Box<Expression>,
    },
}

/// A comparison of a signal with a bound.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Comparison {
    pub(super) signal: Signal,
    pub(super) operator: Operator,
    pub(super) bound: f64,
}

/// How a signal is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Operator {
    Above,
    AtLeast,
    Below,
    AtMost,
}

impl Operator {
    /// Whether a value is in this relation to a bound.
    pub(super) fn holds(self, value: f64, bound: f64) -> bool {
        match self {
            Operator::Above => value > bound,
            Operator::AtLeast => value >= bound,
            Operator::Below => value < bound,
            Operator::AtMost => value <= bound,
        }
    }
}

impl Expression {
    /// Calls a function with each comparison, from left to right.
    pub(super) fn for_each_comparison<'a>(&'a self, visit: &mut impl FnMut(&'a Comparison)) {
        match self {
            Expression::Comparison(comparison) => visit(comparison),
            Expression::Not(operand) | Expression::Sustained { operand, .. } => {
                operand.for_each_comparison(visit);
            }
            Expression::All(operands) | Expression::Any(operands) => {
                for operand in operands {
                    operand.for_each_comparison(visit);
                }
            }
        }
    }

    /// Whether the expression is true; `None` if it depends on missing signals. All operands are evaluated each time,
    /// even if the result is certain before, so that durations in them go on.
    pub(super) fn evaluate(
        &self,
        now: Micros,
        signals: &Signals,
        met_since: &mut [Option<Micros>],
    ) -> Option<bool> {
        match self {
            Expression::Comparison(comparison) => {
                let value = signals.get(&comparison.signal)?;
                Some(comparison.operator.holds(value, comparison.bound))
            }
            Expression::Not(operand) => {
                let met = operand.evaluate(now, signals, met_since)?;
                Some(!met)
            }
            Expression::All(operands) => {
                let results = evaluate_all(operands, now, signals, met_since);
                decided_by(&results, false)
            }
            Expression::Any(operands) => {
                let results = evaluate_all(operands, now, signals, met_since);
                decided_by(&results, true)
            }
            Expression::Sustained {
                duration,
                state,
                operand,
            } => {
                let met = operand.evaluate(now, signals, met_since);
                let since = met_since.get_mut(*state)?;
                if met == Some(true) {
                    let elapsed = now.saturating_sub(*since.get_or_insert(now));
                    return Some(elapsed >= *duration);
                }
                // An unknown operand may have been unmet, so the duration starts anew as well.
                *since = None;
                met
            }
        }
    }
}

fn evaluate_all(
    operands: &[Expression],
    now: Micros,
    signals: &Signals,
    met_since: &mut [Option<Micros>],
) -> Vec<Option<bool>> {
    operands
        .iter()
        .map(|operand| operand.evaluate(now, signals, met_since))
        .collect()
}

/// The result of operands of which one that is `decisive` decides: `false` in a conjunction, `true` in a disjunction.
fn decided_by(results: &[Option<bool>], decisive: bool) -> Option<bool> {
    if results.contains(&Some(decisive)) {
        return Some(decisive);
    }
    let all_known = results.iter().all(Option::is_some);
    all_known.then_some(!decisive)
}
