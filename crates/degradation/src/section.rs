//! Levels in a configuration file, and the checks of what it says.

mod built_in;
mod level_section;

pub use built_in::built_in_levels;
pub use level_section::LevelSection;

use crate::state_machine::max_changes;
use crate::{Damping, Level, Micros, SECOND, SectionError};
use madderloom_config_reader::{Document, Span};
use serde::{Deserialize, Serialize};

/// The word for full service where operators name a level.
pub const FULL_SERVICE: &str = "full";
/// Levels of one section, at most, besides those that are built in.
const MAX_LEVELS: usize = 16;
/// The window that the bound on changes is reported for.
const CHANGE_BOUND_WINDOW: Micros = 600 * SECOND;
/// The shortest duration that is accepted for stays and damping.
const MIN_DURATION: Micros = SECOND;
/// The largest growth of stays that is accepted.
const MAX_GROWTH: f64 = 10.0;
/// The largest jitter of stays that is accepted.
const MAX_JITTER: f64 = 10.0;

/// The section `levels` of a service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LevelsSection {
    /// Whether the built-in levels precede those of the section.
    pub built_in: bool,
    /// How stays grow with changes.
    pub damping: DampingSection,
    /// The section's own levels, the mildest first.
    #[serde(rename = "level")]
    pub levels: Vec<LevelSection>,
}

/// How stays grow with changes. Fields that are missing are as in [`Damping::default`].
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct DampingSection {
    /// See [`Damping::growth`].
    pub growth: Option<f64>,
    /// See [`Damping::half_life`].
    pub half_life: Option<Span>,
    /// See [`Damping::max_stay`].
    #[serde(rename = "longest_stay")]
    pub max_stay: Option<Span>,
    /// See [`Damping::blind_timeout`].
    #[serde(rename = "blind")]
    pub blind_timeout: Option<Span>,
    /// See [`Damping::max_jitter`].
    #[serde(rename = "spread")]
    pub max_jitter: Option<f64>,
}

/// What levels need to know about a class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassTraits {
    /// Its name.
    pub name: String,
    /// Whether its requests are idempotent, so that a client may also repeat them after a rejection.
    pub is_idempotent: bool,
}

/// The levels of a service, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct LevelPlan {
    /// The levels, the mildest first.
    pub levels: Vec<Level>,
    /// How stays grow with changes.
    pub damping: Damping,
    /// Upper bound on changes within ten minutes, except for operators' orders and new configurations.
    pub max_changes_in_ten_minutes: u64,
}

impl LevelsSection {
    /// The levels of a section that is in no file, or was checked with its file.
    ///
    /// # Errors
    /// All problems of the section.
    pub fn resolve(&self, classes: &[ClassTraits]) -> Result<LevelPlan, SectionError> {
        #[derive(Default, Deserialize)]
        struct EmptyFile {}
        Document::read::<EmptyFile>("")
            .and_then(|(mut document, _)| {
                let plan = self.check(&mut document, "levels", classes);
                document.finish(plan)
            })
            .map_err(|problems| SectionError { problems })
    }

    /// Checks the section, and reports each problem with its field below `path`. Invalid levels are missing in the
    /// result; the document then rejects the file as a whole.
    pub fn check(
        &self,
        document: &mut Document<'_>,
        path: &str,
        classes: &[ClassTraits],
    ) -> LevelPlan {
        let damping = self.damping.check(document, &format!("{path}.damping"));
        let mut levels = if self.built_in {
            built_in_levels(classes)
        } else {
            Vec::new()
        };
        document.require(
            self.levels.len() <= MAX_LEVELS,
            &format!("{path}.level"),
            format!("holds more than {MAX_LEVELS} levels"),
        );
        for (number, section) in self.levels.iter().enumerate().take(MAX_LEVELS) {
            let level_path = format!("{path}.level[{number}]");
            let Some(level) = section.check(document, &level_path, classes) else {
                continue;
            };
            let is_unique = levels.iter().all(|other| other.name != level.name);
            document.require(
                is_unique,
                &format!("{level_path}.name"),
                format!("there is a level {} already", level.name),
            );
            levels.push(level);
        }
        let max_changes_in_ten_minutes = max_changes(&levels, &damping, CHANGE_BOUND_WINDOW);
        LevelPlan {
            levels,
            damping,
            max_changes_in_ten_minutes,
        }
    }
}

impl DampingSection {
    fn check(&self, document: &mut Document<'_>, path: &str) -> Damping {
        let defaults = Damping::default();
        let growth = self.growth.unwrap_or(defaults.growth);
        document.require(
            (1.0..=MAX_GROWTH).contains(&growth),
            &format!("{path}.growth"),
            format!("must lie in 1..={MAX_GROWTH}"),
        );
        let max_jitter = self.max_jitter.unwrap_or(defaults.max_jitter);
        document.require(
            (0.0..=MAX_JITTER).contains(&max_jitter),
            &format!("{path}.spread"),
            format!("must lie in 0..={MAX_JITTER}"),
        );
        let mut duration = |field: &str, written: Option<Span>, default: Micros| {
            let duration = written.map_or(default, Span::micros);
            document.require(
                duration >= MIN_DURATION,
                &format!("{path}.{field}"),
                "must be 1s or more",
            );
            duration
        };
        Damping {
            half_life: duration("half_life", self.half_life, defaults.half_life),
            max_stay: duration("longest_stay", self.max_stay, defaults.max_stay),
            blind_timeout: duration("blind", self.blind_timeout, defaults.blind_timeout),
            growth,
            max_jitter,
        }
    }
}
