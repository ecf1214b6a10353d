//! One level of a section, and its checks.

use super::{ClassTraits, FULL_SERVICE, MIN_DURATION};
use crate::{Condition, Effects, Level, Micros};
use madderloom_config_reader::{Document, Span};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The longest name of a level, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// The shortest stay of a level that doesn't say otherwise.
const DEFAULT_MIN_STAY: Span = Span::s(10);
/// The largest share of a class that a level may reject if its condition for leaving is measured on that class: enough
/// requests must pass to show that the class has recovered.
const MAX_REJECTED_SHARE_OF_MEASURED_CLASS: f64 = 0.98;
/// The smallest part of timeouts that a level may leave.
const MIN_TIMEOUT_FACTOR: f64 = 0.1;

/// One level.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LevelSection {
    /// Its name.
    pub name: String,
    /// The condition to be entered.
    pub enter: String,
    /// The condition to be left.
    pub leave: String,
    /// How long it stays active at least; 10 s if missing.
    #[serde(rename = "least_stay")]
    pub min_stay: Option<Span>,
    /// See [`Effects::rejected_shares`].
    #[serde(rename = "turn_away")]
    pub rejected_shares: BTreeMap<String, f64>,
    /// See [`Effects::exempt_weight`].
    #[serde(rename = "spare_worth")]
    pub exempt_weight: Option<f64>,
    /// See [`Effects::allows_probes`].
    #[serde(rename = "probes")]
    pub allows_probes: Option<bool>,
    /// See [`Effects::retry_budget_factor`].
    #[serde(rename = "retries")]
    pub retry_budget_factor: Option<f64>,
    /// See [`Effects::timeout_factor`].
    #[serde(rename = "patience")]
    pub timeout_factor: Option<f64>,
}

/// Where problems of a level are reported.
struct LevelCheck<'a, 't> {
    document: &'a mut Document<'t>,
    /// The path of the level's fields.
    path: &'a str,
    classes: &'a [ClassTraits],
}

impl LevelSection {
    /// Checks the level, and reports problems with their fields below `path`. `None` if a condition is invalid.
    pub(super) fn check(
        &self,
        document: &mut Document<'_>,
        path: &str,
        classes: &[ClassTraits],
    ) -> Option<Level> {
        let mut check = LevelCheck {
            document,
            path,
            classes,
        };
        check.name(&self.name);
        let min_stay = check.min_stay(self.min_stay);
        check.rejected_shares(&self.rejected_shares);
        let effects = check.effects(self);
        let enter = check.condition("enter", &self.enter)?;
        let leave = check.condition("leave", &self.leave)?;
        check.conditions_exclude_each_other(&enter, &leave);
        check.leave_can_be_measured(&leave, &self.rejected_shares);
        Some(Level {
            name: self.name.clone(),
            enter,
            leave,
            min_stay,
            effects,
        })
    }
}

impl LevelCheck<'_, '_> {
    fn field(&self, name: &str) -> String {
        format!("{}.{name}", self.path)
    }

    fn name(&mut self, name: &str) {
        let is_valid =
            !name.is_empty() && name.len() <= MAX_NAME_BYTES && !name.chars().any(char::is_control);
        let field = self.field("name");
        self.document.require(
            is_valid,
            &field,
            format!("must be a name of 1 to {MAX_NAME_BYTES} bytes"),
        );
        self.document.require(
            name != FULL_SERVICE,
            &field,
            format!("is the word for full service; take another than {FULL_SERVICE}"),
        );
    }

    fn min_stay(&mut self, written: Option<Span>) -> Micros {
        let min_stay = written.unwrap_or(DEFAULT_MIN_STAY).micros();
        self.document.require(
            min_stay >= MIN_DURATION,
            &self.field("least_stay"),
            "must be 1s or more",
        );
        min_stay
    }

    fn rejected_shares(&mut self, shares: &BTreeMap<String, f64>) {
        for (class, share) in shares {
            let field = self.field(&format!("turn_away.{class}"));
            let is_known = self.is_known_class(class);
            let problem = self.unknown_class(class);
            self.document.require(is_known, &field, problem);
            self.document
                .require((0.0..=1.0).contains(share), &field, "must lie in 0..=1");
        }
    }

    fn effects(&mut self, section: &LevelSection) -> Effects {
        let defaults = Effects::default();
        Effects {
            rejected_shares: section.rejected_shares.clone(),
            exempt_weight: self.number(
                "spare_worth",
                section.exempt_weight,
                defaults.exempt_weight,
                0.0..=f64::MAX,
            ),
            allows_probes: section.allows_probes.unwrap_or(defaults.allows_probes),
            retry_budget_factor: self.number(
                "retries",
                section.retry_budget_factor,
                defaults.retry_budget_factor,
                0.0..=1.0,
            ),
            timeout_factor: self.number(
                "patience",
                section.timeout_factor,
                defaults.timeout_factor,
                MIN_TIMEOUT_FACTOR..=1.0,
            ),
        }
    }

    /// A number within a range, or the default.
    fn number(
        &mut self,
        name: &str,
        written: Option<f64>,
        default: f64,
        range: std::ops::RangeInclusive<f64>,
    ) -> f64 {
        let value = written.unwrap_or(default);
        self.document.require(
            value == default || range.contains(&value),
            &self.field(name),
            format!("must lie in {}..={}", range.start(), range.end()),
        );
        value
    }

    /// Parses a condition and checks its classes.
    fn condition(&mut self, name: &str, text: &str) -> Option<Condition> {
        let field = self.field(name);
        if text.is_empty() {
            self.document.problem(&field, "is missing");
            return None;
        }
        let condition = match Condition::parse(text) {
            Ok(condition) => condition,
            Err(error) => {
                self.document.problem(&field, error);
                return None;
            }
        };
        for class in classes_of(&condition) {
            if !self.is_known_class(class) {
                let problem = self.unknown_class(class);
                self.document.problem(&field, problem);
            }
        }
        Some(condition)
    }

    /// A level that may be left while it may be entered would flap.
    fn conditions_exclude_each_other(&mut self, enter: &Condition, leave: &Condition) {
        let problem = match enter.met_together(leave) {
            Ok(None) => return,
            Ok(Some(values)) => {
                format!("is met while enter is, at {values}: the level would flap")
            }
            Err(error) => format!("with enter {error}"),
        };
        self.document.problem(&self.field("leave"), problem);
    }

    /// A level that rejects all requests of a class can't see that the class has recovered.
    fn leave_can_be_measured(
        &mut self,
        leave: &Condition,
        rejected_shares: &BTreeMap<String, f64>,
    ) {
        for class in classes_of(leave) {
            let share = rejected_shares.get(class).copied().unwrap_or(0.0);
            if share > MAX_REJECTED_SHARE_OF_MEASURED_CLASS {
                let field = self.field(&format!("turn_away.{class}"));
                self.document.problem(
                    &field,
                    "turns away all of a class on which its leave hangs: let a part through, such as 0.95",
                );
            }
        }
    }

    fn is_known_class(&self, name: &str) -> bool {
        self.classes.iter().any(|class| class.name == name)
    }

    fn unknown_class(&self, name: &str) -> String {
        let known: Vec<&str> = self
            .classes
            .iter()
            .map(|class| class.name.as_str())
            .collect();
        format!("there is no class {name}; there are {}", known.join(", "))
    }
}

/// The classes that a condition names.
fn classes_of(condition: &Condition) -> Vec<&str> {
    condition
        .signals()
        .into_iter()
        .filter_map(|signal| signal.class())
        .collect()
}
