//! The built-in levels.

use super::ClassTraits;
use crate::{Condition, Effects, Level, Micros, SECOND};
use std::collections::BTreeMap;

/// The shortest stay of a built-in level.
const MIN_STAY: Micros = 5 * SECOND;
/// Stands for the class in the text of a condition that is repeated for each protected class.
const CLASS_PLACEHOLDER: char = '*';

/// What `reduced` rejects of idempotent classes.
const REDUCED_SHARE: f64 = 0.5;
/// What `essential` rejects of idempotent classes.
const ESSENTIAL_SHARE: f64 = 0.95;
/// What `recovery` rejects of protected classes, and of all classes if they are alike.
const RECOVERY_SHARE: f64 = 0.9;

/// Built-in levels for a service with these classes, the mildest first.
///
/// Idempotent classes are given up before the others, which are protected: a client whose idempotent request is rejected
/// loses only time. Nothing is rejected because of errors that less load would not prevent: the conditions depend on
/// requests that are late or rejected.
///
/// - `lean`: servers fail, or attempts end without telling whether they ran. Halves the retry budget.
/// - `reduced`: protected requests are rejected or late. Rejects half of the idempotent ones, and allows a tenth of the
///   retry budget.
/// - `essential`: half of the protected requests are rejected or late. Rejects most of the idempotent ones, and allows
///   neither retries nor probes.
/// - `recovery`: for twelve seconds most protected requests were not served in time, for whatever reason. Rejects most
///   of them as well, so that queues that sustain the overload can empty.
pub fn built_in_levels(classes: &[ClassTraits]) -> Vec<Level> {
    let builder = LevelBuilder::new(classes);
    let lean = Effects {
        retry_budget_factor: 0.5,
        ..Effects::default()
    };
    let reduced = Effects {
        rejected_shares: builder.idempotent_shares(REDUCED_SHARE),
        retry_budget_factor: 0.1,
        ..Effects::default()
    };
    let essential = Effects {
        rejected_shares: builder.idempotent_shares(ESSENTIAL_SHARE),
        retry_budget_factor: 0.0,
        allows_probes: false,
        ..Effects::default()
    };
    let recovery = Effects {
        rejected_shares: builder.recovery_shares(),
        ..essential.clone()
    };
    let levels = [
        builder.level(
            "lean",
            "failing_servers > 10% for 2s or unknown > 15% for 2s",
            "(failing_servers < 5% and unknown < 5%) for 2s",
            lean,
        ),
        builder.level(
            "reduced",
            "refused* > 10% for 1s or lateness* > 20% for 1s",
            "(refused* < 3% and lateness* < 5%) for 2s",
            reduced,
        ),
        builder.level(
            "essential",
            "refused* > 40% for 1s or lateness* > 50% for 2s",
            "(refused* < 10% and lateness* < 20%) for 2s",
            essential,
        ),
        builder.level(
            "recovery",
            "goodput* < 50% for 12s",
            "goodput* > 85%",
            recovery,
        ),
    ];
    levels.into_iter().flatten().collect()
}

struct LevelBuilder<'a> {
    classes: &'a [ClassTraits],
    /// Whether all classes are idempotent, or none. None of them is given up before another then.
    classes_are_alike: bool,
}

impl<'a> LevelBuilder<'a> {
    fn new(classes: &'a [ClassTraits]) -> Self {
        let has_idempotent = classes.iter().any(|class| class.is_idempotent);
        let has_protected = classes.iter().any(|class| !class.is_idempotent);
        LevelBuilder {
            classes,
            classes_are_alike: !(has_idempotent && has_protected),
        }
    }

    /// A share of each idempotent class; nothing if classes are alike.
    fn idempotent_shares(&self, share: f64) -> BTreeMap<String, f64> {
        if self.classes_are_alike {
            return BTreeMap::new();
        }
        self.classes
            .iter()
            .filter(|class| class.is_idempotent)
            .map(|class| (class.name.clone(), share))
            .collect()
    }

    /// The shares of all classes that `recovery` rejects.
    fn recovery_shares(&self) -> BTreeMap<String, f64> {
        let share_of = |class: &ClassTraits| {
            if class.is_idempotent && !self.classes_are_alike {
                ESSENTIAL_SHARE
            } else {
                RECOVERY_SHARE
            }
        };
        self.classes
            .iter()
            .map(|class| (class.name.clone(), share_of(class)))
            .collect()
    }

    fn level(&self, name: &str, enter: &str, leave: &str, effects: Effects) -> Option<Level> {
        Some(Level {
            name: name.to_string(),
            enter: self.condition(enter, " or ")?,
            leave: self.condition(leave, " and ")?,
            min_stay: MIN_STAY,
            effects,
        })
    }

    /// The condition for each protected class, joined by an operator. It is one on all classes together if classes are
    /// alike, or if the text would be too long or has a name that conditions can't have.
    fn condition(&self, text: &str, operator: &str) -> Option<Condition> {
        let by_class = Condition::parse(&self.text_by_class(text, operator));
        if let Ok(condition) = by_class
            && !self.classes_are_alike
        {
            return Some(condition);
        }
        Condition::parse(&text.replace(CLASS_PLACEHOLDER, "")).ok()
    }

    fn text_by_class(&self, text: &str, operator: &str) -> String {
        let texts: Vec<String> = self
            .classes
            .iter()
            .filter(|class| !class.is_idempotent)
            .map(|class| text.replace(CLASS_PLACEHOLDER, &format!("({})", class.name)))
            .collect();
        texts.join(operator)
    }
}
