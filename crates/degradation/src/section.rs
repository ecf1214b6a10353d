//! Levels as a file has them, and the check of what it says.

use crate::machine::changes_at_most;
use crate::{Condition, Damping, Effects, Level, Micros};
use madderloom_config_reader::{Document, Problem, Span};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The word for full service, where operators name a level.
pub const FULL: &str = "full";
/// Levels in one service, at most.
const MOST: usize = 16;
/// The window for which a file's bound on changes is told.
pub const TOLD_WINDOW: Micros = 600_000_000;

/// The section `levels` of a service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Section {
    /// Whether the levels that are built in stand before those of the file.
    pub built_in: bool,
    /// How stays grow with changes.
    pub damping: DampingSection,
    /// The file's levels, the mildest first.
    pub level: Vec<LevelSection>,
}

/// How stays grow with changes; what is not said is as [`Damping::default`] has it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct DampingSection {
    /// See [`Damping::growth`].
    pub growth: Option<f64>,
    /// See [`Damping::half_life`].
    pub half_life: Option<Span>,
    /// See [`Damping::longest`].
    pub longest_stay: Option<Span>,
    /// See [`Damping::blind`].
    pub blind: Option<Span>,
    /// See [`Damping::spread`].
    pub spread: Option<f64>,
}

/// One level.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LevelSection {
    /// Its name.
    pub name: String,
    /// When it is entered.
    pub enter: String,
    /// When it is left.
    pub leave: String,
    /// How long it holds at least; 10 s where the file does not say.
    pub least_stay: Option<Span>,
    /// The share of each class that is turned away.
    pub turn_away: BTreeMap<String, f64>,
    /// Requests of at least this worth are spared that.
    pub spare_worth: Option<f64>,
    /// Whether servers may be probed.
    pub probes: Option<bool>,
    /// The part of the retry budget that is left.
    pub retries: Option<f64>,
    /// The part of the time that is waited.
    pub patience: Option<f64>,
}

/// A class, as far as levels are concerned.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassFacts {
    /// Its name.
    pub name: String,
    /// Whether a request of it may be sent again without harm: by the client too, after it was turned away.
    pub repeatable: bool,
}

/// Levels that were read.
#[derive(Clone, Debug, PartialEq)]
pub struct Checked {
    /// The mildest first.
    pub levels: Vec<Level>,
    /// How stays grow.
    pub damping: Damping,
    /// Changes in any ten minutes, at most, but for operators' orders and new files.
    pub changes_in_ten_minutes: u64,
}

impl Section {
    /// The levels of a section that stands in no file, or was checked with the one that it stands in. An error tells
    /// all that is wrong in one line.
    pub fn resolve(&self, classes: &[ClassFacts]) -> Result<Checked, String> {
        #[derive(Default, Deserialize)]
        struct Nothing {}
        let read = Document::read::<Nothing>("").and_then(|(mut document, _)| {
            let checked = self.check(&mut document, "levels", classes);
            document.finish(checked)
        });
        let told = |problem: &Problem| format!("{}: {}", problem.field, problem.problem);
        read.map_err(|problems| problems.iter().map(told).collect::<Vec<_>>().join("; "))
    }

    /// Reads the conditions and checks all, noting each problem with its field under `path`. What is not sound is left
    /// out of what is given back; the document then refuses the file as a whole.
    pub fn check(
        &self,
        document: &mut Document<'_>,
        path: &str,
        classes: &[ClassFacts],
    ) -> Checked {
        let damping = self.damping.check(document, &format!("{path}.damping"));
        let mut levels = if self.built_in {
            built_in(classes)
        } else {
            Vec::new()
        };
        document.require(
            self.level.len() <= MOST,
            &format!("{path}.level"),
            format!("holds more than {MOST} levels"),
        );
        for (number, section) in self.level.iter().enumerate().take(MOST) {
            let at = format!("{path}.level[{number}]");
            if let Some(level) = section.check(document, &at, classes) {
                let known = levels.iter().any(|other| other.name == level.name);
                document.require(
                    !known,
                    &format!("{at}.name"),
                    format!("there is a level {} already", level.name),
                );
                levels.push(level);
            }
        }
        let changes_in_ten_minutes = changes_at_most(&levels, &damping, TOLD_WINDOW);
        Checked {
            levels,
            damping,
            changes_in_ten_minutes,
        }
    }
}

impl DampingSection {
    fn check(&self, document: &mut Document<'_>, path: &str) -> Damping {
        let usual = Damping::default();
        let growth = self.growth.unwrap_or(usual.growth);
        document.require(
            (1.0..=10.0).contains(&growth),
            &format!("{path}.growth"),
            "must lie in 1..=10",
        );
        let spread = self.spread.unwrap_or(usual.spread);
        document.require(
            (0.0..=10.0).contains(&spread),
            &format!("{path}.spread"),
            "must lie in 0..=10",
        );
        let mut span = |field: &str, span: Option<Span>, usual: Micros| {
            let span = span.map_or(usual, Span::micros);
            document.require(
                span >= 1_000_000,
                &format!("{path}.{field}"),
                "must be 1s or more",
            );
            span
        };
        Damping {
            half_life: span("half_life", self.half_life, usual.half_life),
            longest: span("longest_stay", self.longest_stay, usual.longest),
            blind: span("blind", self.blind, usual.blind),
            growth,
            spread,
        }
    }
}

impl LevelSection {
    fn check(
        &self,
        document: &mut Document<'_>,
        path: &str,
        classes: &[ClassFacts],
    ) -> Option<Level> {
        let field = |name: &str| format!("{path}.{name}");
        let sound = !self.name.is_empty()
            && self.name.len() <= 64
            && !self.name.chars().any(char::is_control);
        document.require(sound, &field("name"), "must be a name of 1 to 64 bytes");
        let free = self.name != FULL;
        document.require(
            free,
            &field("name"),
            format!("is the word for full service; take another than {FULL}"),
        );
        let least_stay = self.least_stay.unwrap_or(Span::s(10)).micros();
        document.require(
            least_stay >= 1_000_000,
            &field("least_stay"),
            "must be 1s or more",
        );
        for (class, share) in &self.turn_away {
            let at = field(&format!("turn_away.{class}"));
            let known = classes.iter().any(|c| c.name == *class);
            document.require(known, &at, no_class(class, classes));
            document.require((0.0..=1.0).contains(share), &at, "must lie in 0..=1");
        }
        let usual = Effects::default();
        let mut part = |name: &str, value: Option<f64>, usual: f64, least: f64, most: f64| {
            let value = value.unwrap_or(usual);
            let sound = value >= least && value <= most;
            document.require(
                value == usual || sound,
                &field(name),
                format!("must lie in {least}..={most}"),
            );
            value
        };
        let effects = Effects {
            turn_away: self.turn_away.clone(),
            spare_worth: part(
                "spare_worth",
                self.spare_worth,
                usual.spare_worth,
                0.0,
                f64::MAX,
            ),
            probes: self.probes.unwrap_or(usual.probes),
            retries: part("retries", self.retries, usual.retries, 0.0, 1.0),
            patience: part("patience", self.patience, usual.patience, 0.1, 1.0),
        };
        let enter = read(document, &field("enter"), &self.enter, classes)?;
        let leave = read(document, &field("leave"), &self.leave, classes)?;
        match enter.met_together(&leave) {
            Ok(None) => {}
            Ok(Some(values)) => {
                document.problem(
                    &field("leave"),
                    format!("is met while enter is, at {values}: the level would flap"),
                );
            }
            Err(problem) => document.problem(&field("leave"), format!("with enter {problem}")),
        }
        // A level that lets nothing of a class through can't see that it is well again.
        for class in leave
            .signals()
            .into_iter()
            .filter_map(|signal| signal.class())
        {
            if self.turn_away.get(class).is_some_and(|share| *share > 0.98) {
                let all = "turns away all of a class on which its leave hangs: let a part through, such as 0.95";
                document.problem(&field(&format!("turn_away.{class}")), all);
            }
        }
        Some(Level {
            name: self.name.clone(),
            enter,
            leave,
            least_stay,
            effects,
        })
    }
}

fn no_class(class: &str, classes: &[ClassFacts]) -> String {
    let names: Vec<&str> = classes.iter().map(|c| c.name.as_str()).collect();
    format!("there is no class {class}; there are {}", names.join(", "))
}

fn read(
    document: &mut Document<'_>,
    field: &str,
    text: &str,
    classes: &[ClassFacts],
) -> Option<Condition> {
    if text.is_empty() {
        document.problem(field, "is missing");
        return None;
    }
    match Condition::parse(text) {
        Ok(condition) => {
            let unknown = condition
                .signals()
                .into_iter()
                .filter_map(|signal| signal.class());
            let unknown: Vec<&str> = unknown
                .filter(|class| !classes.iter().any(|c| c.name == *class))
                .collect();
            for class in unknown {
                document.problem(field, no_class(class, classes));
            }
            Some(condition)
        }
        Err(problem) => {
            document.problem(field, problem);
            None
        }
    }
}

/// Sound levels for a service of these classes. What may be asked again without harm is given up before what may not:
/// a client that is turned away loses only time there. Nothing is turned away for errors that less load would not cure:
/// conditions for that speak of what comes late or is refused.
///
/// - `lean`: servers fail or attempts end without telling; half of the retries go.
/// - `reduced`: what may not be repeated is refused or comes late; half of what may be repeated goes, and nearly all
///   retries.
/// - `essential`: half of what may not be repeated is refused or comes late; most of what may be repeated goes, and all
///   retries and probes.
/// - `recovery`: what may not be repeated is mostly not served in time for twelve seconds, for whatever reason; most of it
///   goes as well, so that queues can empty that would else feed themselves.
pub fn built_in(classes: &[ClassFacts]) -> Vec<Level> {
    let (repeatable, others): (Vec<_>, Vec<_>) = classes.iter().partition(|class| class.repeatable);
    // Where all classes are alike, none is given up before another: only what they cost beyond themselves is.
    let alike = repeatable.is_empty() || others.is_empty();
    let away = |share: f64| match alike {
        true => BTreeMap::new(),
        false => repeatable
            .iter()
            .map(|class| (class.name.clone(), share))
            .collect(),
    };
    // A condition on each class that is kept; on all together where there is no such, or its text would be too long.
    let each = |text: &str, joined: &str| {
        let texts: Vec<String> = others
            .iter()
            .map(|class| text.replace('*', &format!("({})", class.name)))
            .collect();
        let whole = Condition::parse(&texts.join(joined))
            .ok()
            .filter(|_| !alike);
        whole.or_else(|| Condition::parse(&text.replace('*', "")).ok())
    };
    let level = |name: &str, enter: &str, leave: &str, effects: Effects| {
        let (enter, leave) = (each(enter, " or ")?, each(leave, " and ")?);
        Some(Level {
            name: name.to_string(),
            enter,
            leave,
            least_stay: 5_000_000,
            effects,
        })
    };
    let lean = Effects {
        retries: 0.5,
        ..Effects::default()
    };
    let reduced = Effects {
        turn_away: away(0.5),
        retries: 0.1,
        ..Effects::default()
    };
    let essential = Effects {
        turn_away: away(0.95),
        retries: 0.0,
        probes: false,
        ..Effects::default()
    };
    let all = |class: &ClassFacts| {
        (
            class.name.clone(),
            if class.repeatable && !alike {
                0.95
            } else {
                0.9
            },
        )
    };
    let recovery = Effects {
        turn_away: classes.iter().map(all).collect(),
        ..essential.clone()
    };
    [
        level(
            "lean",
            "failing_servers > 10% for 2s or unknown > 15% for 2s",
            "(failing_servers < 5% and unknown < 5%) for 2s",
            lean,
        ),
        level(
            "reduced",
            "refused* > 10% for 1s or lateness* > 20% for 1s",
            "(refused* < 3% and lateness* < 5%) for 2s",
            reduced,
        ),
        level(
            "essential",
            "refused* > 40% for 1s or lateness* > 50% for 2s",
            "(refused* < 10% and lateness* < 20%) for 2s",
            essential,
        ),
        level(
            "recovery",
            "goodput* < 50% for 12s",
            "goodput* > 85%",
            recovery,
        ),
    ]
    .into_iter()
    .flatten()
    .collect()
}
