//! A change as a document: what is set, where, and how it is rolled out.

use crate::gate::GateRule;
use crate::settings::{Edits, Fingerprint, Key, Overlay, check_edits, check_name};
use crate::{Error, Micros, Problem};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The longest note, in bytes.
pub const LONGEST_NOTE: usize = 1_024;
/// The most patterns, labels or zones of a selector, and the most waves.
pub const MOST_PATTERNS: usize = 256;
/// The most names, and the most zones, that a change selects instances by: it may name each instance of a large fleet.
pub const MOST_NAMES: usize = 4_096;

/// The traits of an instance, by which it can be selected.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Traits {
    /// Its zone; may be empty.
    pub zone: String,
    /// Labels, such as `tier` = `canary`; at most 256.
    pub labels: BTreeMap<String, String>,
    /// The build that runs.
    pub build: String,
    /// Fingerprint of its own operator file.
    pub file: Fingerprint,
}

impl Traits {
    /// Checks the traits that an instance has sent.
    ///
    /// # Errors
    /// The invalid field, and why.
    pub fn check(&self) -> Result<(), Problem> {
        let problem = |field: &str, problem: String| Problem {
            field: field.into(),
            problem,
        };
        if !self.zone.is_empty() {
            check_name(&self.zone).map_err(|error| problem("zone", error.to_string()))?;
        }
        if self.labels.len() > MOST_PATTERNS {
            return Err(problem(
                "labels",
                format!(
                    "{} of them; there are {MOST_PATTERNS} at most",
                    self.labels.len()
                ),
            ));
        }
        for (label, value) in &self.labels {
            check_name(label)
                .and_then(|()| check_name(value))
                .map_err(|error| problem("labels", error.to_string()))?;
        }
        if self.build.len() > crate::settings::LONGEST_NAME {
            return Err(problem("build", "is too long".into()));
        }
        Ok(())
    }
}

/// The instances that a change is for: those that match every part that is given. An empty selector matches all.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Selector {
    /// Names; a name that ends in `*` matches every name with that prefix.
    pub names: Vec<String>,
    /// Labels with the value that they must have.
    pub labels: BTreeMap<String, String>,
    /// Zones.
    pub zones: Vec<String>,
}

impl Selector {
    /// Selects exactly these instances.
    pub fn named(names: impl IntoIterator<Item = String>) -> Self {
        Selector {
            names: names.into_iter().collect(),
            ..Selector::default()
        }
    }

    /// Whether it matches every instance.
    pub fn is_all(&self) -> bool {
        self.names.is_empty() && self.labels.is_empty() && self.zones.is_empty()
    }

    /// Whether it matches an instance.
    pub fn matches(&self, name: &str, traits: &Traits) -> bool {
        let named = |pattern: &String| madderloom_quota_leases::fits(pattern, name);
        (self.names.is_empty() || self.names.iter().any(named))
            && (self.zones.is_empty() || self.zones.contains(&traits.zone))
            && self
                .labels
                .iter()
                .all(|(label, value)| traits.labels.get(label) == Some(value))
    }

    fn check(&self, problems: &mut Vec<Problem>) {
        let mut add = |field: String, problem: String| problems.push(Problem { field, problem });
        let lists = [
            ("names", self.names.len(), MOST_NAMES),
            ("labels", self.labels.len(), MOST_PATTERNS),
            ("zones", self.zones.len(), MOST_NAMES),
        ];
        for (field, count, most) in lists {
            if count > most {
                add(
                    format!("select.{field}"),
                    format!("{count} of them; there are {most} at most"),
                );
            }
        }
        for (at, pattern) in self.names.iter().enumerate() {
            let begin = pattern.strip_suffix('*').unwrap_or(pattern);
            if let Err(error) = check_name(begin) {
                // A lone star matches all, as an empty list does.
                if pattern != "*" {
                    add(format!("select.names[{at}]"), error.to_string());
                }
            }
        }
        for (at, zone) in self.zones.iter().enumerate() {
            if let Err(error) = check_name(zone) {
                add(format!("select.zones[{at}]"), error.to_string());
            }
        }
        for (label, value) in &self.labels {
            if let Err(error) = check_name(label).and_then(|()| check_name(value)) {
                add(format!("select.labels.{label}"), error.to_string());
            }
        }
    }
}

/// The number of selected instances that have the change after a wave, including those of earlier waves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Share {
    /// A fixed number.
    Count(u32),
    /// A percentage, rounded up.
    Percent(u32),
}

impl Share {
    /// The number of instances out of `all`.
    pub fn of(self, all: usize) -> usize {
        match self {
            Share::Count(count) => (count as usize).min(all),
            Share::Percent(percent) => (all * percent.min(100) as usize).div_ceil(100),
        }
    }
}

/// What happens when too many instances refuse or fail, or the change does harm.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Then {
    /// The rollout stops. Instances that have the change keep it.
    Stop,
    /// Instances that may have the change get their former settings back.
    #[default]
    TakeBack,
}

/// How a change is rolled out.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Waves, each including those before it. A last wave with all other instances is always added.
    pub waves: Vec<Share>,
    /// The most instances with an unanswered order.
    pub at_once: u32,
    /// The shortest time between two waves, in microseconds.
    pub pause: Micros,
    /// The time after which an instance that has not answered counts as unreachable, in microseconds.
    pub silence: Micros,
    /// The most instances that may refuse or fail before the rollout ends.
    pub failures: u32,
    /// What happens then.
    pub then: Then,
    /// The health gate between waves; none without it.
    pub gate: Option<GateRule>,
}

impl Default for Policy {
    /// One instance, a tenth, all; twenty at once, half a minute between waves; the first failure takes the change
    /// back.
    fn default() -> Self {
        Policy {
            waves: vec![Share::Count(1), Share::Percent(10)],
            at_once: 20,
            pause: 30_000_000,
            silence: 15_000_000,
            failures: 0,
            then: Then::TakeBack,
            gate: Some(GateRule::default()),
        }
    }
}

/// The longest pause and silence: a day, in microseconds.
pub const LONGEST_WAIT: Micros = 86_400_000_000;

impl Policy {
    fn check(&self, problems: &mut Vec<Problem>) {
        let mut require = |holds: bool, field: &str, problem: &str| {
            if !holds {
                problems.push(Problem {
                    field: format!("rollout.{field}"),
                    problem: problem.into(),
                });
            }
        };
        require(self.at_once > 0, "at_once", "must be at least 1");
        require(self.silence > 0, "silence", "must be more than nothing");
        require(
            self.silence <= LONGEST_WAIT,
            "silence",
            "must be a day at most",
        );
        require(self.pause <= LONGEST_WAIT, "pause", "must be a day at most");
        require(
            self.waves.len() <= MOST_PATTERNS,
            "waves",
            "are too many; there are 256 at most",
        );
        for (at, wave) in self.waves.iter().enumerate() {
            let sound = match *wave {
                Share::Count(count) => count > 0,
                Share::Percent(percent) => (1..=100).contains(&percent),
            };
            require(
                sound,
                &format!("waves[{at}]"),
                "must be at least 1, and in percent at most 100",
            );
        }
        if let Some(gate) = &self.gate {
            for Problem { field, problem } in gate.check() {
                require(false, &format!("gate.{field}"), &problem);
            }
        }
    }
}

/// What a change does.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// Sets values on the selected instances.
    Set(Edits),
    /// Undoes another change, named by its id, on the instances that have it.
    Undo(String),
}

/// A change as an operator pushes it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Names the change permanently: a second push of the same id changes nothing.
    pub id: String,
    /// The fleet's revision that it was made on.
    pub base: u64,
    /// Why.
    #[serde(default)]
    pub note: String,
    /// For which instances.
    #[serde(default)]
    pub select: Selector,
    /// How it is rolled out.
    #[serde(default)]
    pub rollout: Policy,
    /// What it does.
    pub what: What,
}

impl Change {
    /// All problems of the change, each with its field.
    pub fn check(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        if let Err(error) = check_name(&self.id) {
            problems.push(Problem {
                field: "id".into(),
                problem: error.to_string(),
            });
        }
        if self.note.len() > LONGEST_NOTE {
            let problem = format!(
                "has {} bytes; there are {LONGEST_NOTE} at most",
                self.note.len()
            );
            problems.push(Problem {
                field: "note".into(),
                problem,
            });
        }
        self.select.check(&mut problems);
        self.rollout.check(&mut problems);
        match &self.what {
            What::Set(edits) if edits.is_empty() => {
                problems.push(Problem {
                    field: "set".into(),
                    problem: "nothing is set".into(),
                });
            }
            What::Set(edits) => {
                check_edits(edits, &mut problems);
                let of_fleet = edits.keys().find(|key| matches!(key, Key::Fleet { .. }));
                if let Some(key) = of_fleet.filter(|_| !self.select.is_all()) {
                    let problem = format!(
                        "{key} holds for the whole fleet; a change of it selects all instances"
                    );
                    problems.push(Problem {
                        field: "select".into(),
                        problem,
                    });
                }
            }
            What::Undo(id) => {
                if let Err(error) = check_name(id) {
                    problems.push(Problem {
                        field: "undo".into(),
                        problem: error.to_string(),
                    });
                }
            }
        }
        problems
    }

    /// A hash that is the same for the same document.
    pub fn fingerprint(&self) -> Fingerprint {
        Fingerprint::of(self)
    }
}

/// A change in effect.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Layer {
    /// The revision that it made.
    pub revision: u64,
    /// The change's id.
    pub id: String,
    /// The instances that have it: those selected or, where the rollout was stopped, those that had it by then.
    pub select: Selector,
    /// What it sets.
    pub edits: Edits,
}

/// The number of newest layers that can be undone.
pub const UNDOABLE: usize = 32;
/// The most layers in effect.
pub const MOST_LAYERS: usize = 256;

/// The changes in effect: layers, each applied on top of those before it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Layers(pub Vec<Layer>);

impl Layers {
    /// The settings of an instance, and the newest layer that applies to it.
    pub fn overlay(&self, name: &str, traits: &Traits) -> (Overlay, Option<&Layer>) {
        let mut overlay = Overlay::default();
        let mut newest = None;
        for layer in self
            .0
            .iter()
            .filter(|layer| layer.select.matches(name, traits))
        {
            overlay.apply(&layer.edits);
            newest = Some(layer);
        }
        (overlay, newest)
    }

    /// Adds a layer on top, and drops those that have no effect and that no undo can uncover.
    pub fn add(&mut self, layer: Layer) {
        self.0.push(layer);
        let fixed = self.0.len().saturating_sub(UNDOABLE);
        let hidden = |at: usize| {
            let layer = &self.0[at];
            let over = &self.0[at + 1..fixed];
            let covers = |over: &&Layer| over.select.is_all() || over.select == layer.select;
            layer.edits.keys().all(|key| {
                over.iter()
                    .filter(covers)
                    .any(|over| over.edits.contains_key(key))
            })
        };
        let keep: Vec<bool> = (0..self.0.len())
            .map(|at| at >= fixed || !hidden(at))
            .collect();
        let mut keep = keep.into_iter();
        self.0.retain(|_| keep.next().unwrap_or(true));
    }

    /// The layers without that of a change.
    pub fn without(&self, id: &str) -> Layers {
        Layers(
            self.0
                .iter()
                .filter(|layer| layer.id != id)
                .cloned()
                .collect(),
        )
    }

    /// The layer of a change that can be undone.
    ///
    /// # Errors
    /// Why it cannot be undone.
    pub fn undoable(&self, id: &str) -> Result<&Layer, Error> {
        let place = self.0.iter().position(|layer| layer.id == id);
        match place {
            None => Err(Error::NotInEffect { id: id.to_string() }),
            Some(place) if self.0.len() - place > UNDOABLE => {
                Err(Error::TooOldToUndo { id: id.to_string() })
            }
            Some(place) => Ok(&self.0[place]),
        }
    }
}
