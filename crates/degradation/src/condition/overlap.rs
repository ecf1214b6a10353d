//! Search for signal values at which two conditions are met.

use super::Condition;
use crate::{ConditionError, Signal, Signals};
use std::collections::BTreeMap;

/// Combinations of values that are looked at, at most.
const MAX_COMBINATIONS: usize = 200_000;

/// The values of one signal that are looked at: one in each part that the bounds split its range into.
struct Axis<'a> {
    signal: &'a Signal,
    values: Vec<f64>,
}

impl<'a> Axis<'a> {
    /// The bounds, the ends of the signal's range, and the midpoints between them.
    fn new(signal: &'a Signal, bounds: Vec<f64>) -> Self {
        let mut values = bounds;
        values.extend([0.0, signal.max_value()]);
        values.sort_by(f64::total_cmp);
        values.dedup();
        let midpoints: Vec<f64> = values
            .windows(2)
            .map(|pair| pair[0] / 2.0 + pair[1] / 2.0)
            .collect();
        values.extend(midpoints);
        Axis { signal, values }
    }
}

/// See [`Condition::met_together`].
pub(super) fn met_together(
    one: &Condition,
    other: &Condition,
) -> Result<Option<String>, ConditionError> {
    let axes = axes_of(one, other);
    let combinations = axes
        .iter()
        .try_fold(1usize, |product, axis| {
            product.checked_mul(axis.values.len())
        })
        .filter(|combinations| *combinations <= MAX_COMBINATIONS)
        .ok_or(ConditionError::TooManyCombinations)?;
    for combination in 0..combinations {
        let signals = values_at(&axes, combination);
        if one.is_met_at(&signals) && other.is_met_at(&signals) {
            return Ok(Some(describe(&axes, &signals)));
        }
    }
    Ok(None)
}

fn axes_of<'a>(one: &'a Condition, other: &'a Condition) -> Vec<Axis<'a>> {
    let mut bounds = BTreeMap::<&Signal, Vec<f64>>::new();
    for condition in [one, other] {
        condition.expression.for_each_comparison(&mut |comparison| {
            bounds
                .entry(&comparison.signal)
                .or_default()
                .push(comparison.bound);
        });
    }
    bounds
        .into_iter()
        .map(|(signal, bounds)| Axis::new(signal, bounds))
        .collect()
}

/// The values of a combination, numbered as by an odometer whose first digit turns fastest.
fn values_at(axes: &[Axis<'_>], combination: usize) -> Signals {
    let mut signals = Signals::default();
    let mut rest = combination;
    for axis in axes {
        let count = axis.values.len();
        signals.set(axis.signal.clone(), axis.values[rest % count]);
        rest /= count;
    }
    signals
}

fn describe(axes: &[Axis<'_>], signals: &Signals) -> String {
    let described: Vec<String> = axes
        .iter()
        .map(|axis| {
            let value = signals.get(axis.signal).unwrap_or(0.0);
            format!("{} = {value:.4}", axis.signal)
        })
        .collect();
    described.join(", ")
}
