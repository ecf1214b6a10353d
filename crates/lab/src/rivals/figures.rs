//! The figures of an arm: named numbers in place of a policy's usual ones.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

/// Reads an arm's figures: each policy takes those that it knows, and what is left over is an error.
pub struct Figures<'a> {
    policy: &'a str,
    with: &'a BTreeMap<String, f64>,
    known: Vec<&'static str>,
    problem: Option<String>,
}

impl<'a> Figures<'a> {
    /// The figures `with` of an arm with this policy.
    pub fn new(policy: &'a str, with: &'a BTreeMap<String, f64>) -> Self {
        Figures {
            policy,
            with,
            known: Vec::new(),
            problem: None,
        }
    }

    /// A figure, or its usual value, also where what is given lies out of its bounds: [`Figures::end`] tells of that.
    pub fn take(&mut self, name: &'static str, usual: f64, bounds: RangeInclusive<f64>) -> f64 {
        self.known.push(name);
        let Some(value) = self.with.get(name).copied() else {
            return usual;
        };
        if bounds.contains(&value) {
            return value;
        }
        let (least, most, policy) = (bounds.start(), bounds.end(), self.policy);
        let problem =
            format!("{name} = {value}: policy `{policy}` takes it from {least} to {most}");
        self.problem.get_or_insert(problem);
        usual
    }

    /// A time, given in milliseconds, in microseconds: of an hour at most.
    pub fn time(&mut self, name: &'static str, usual_ms: f64) -> f64 {
        1e3 * self.take(name, usual_ms, 0.0..=3.6e6)
    }

    /// All figures have been taken.
    ///
    /// # Errors
    /// A figure that nobody took, with those that are known, or the first that lay out of its bounds.
    pub fn end(self) -> Result<(), String> {
        let stray = self
            .with
            .keys()
            .find(|name| !self.known.contains(&name.as_str()));
        let stray = stray.map(|name| {
            format!(
                "{name}: policy `{}` takes no such figure; it takes {}",
                self.policy,
                self.known.join(", ")
            )
        });
        stray.or(self.problem).map_or(Ok(()), Err)
    }
}
