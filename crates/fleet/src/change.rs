//! A change as a document: what is set, where, and how it is rolled out.

use crate::gate::GateRule;
use crate::settings::{Edits, Fingerprint, Key, Overlay, check_edits, check_name};
use crate::{Micros, Problem};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The longest note, in bytes.
pub const LONGEST_NOTE: usize = 1_024;
/// The most patterns, labels or zones of a selector, and the most waves.
pub const MOST_PATTERNS: usize = 256;
/// The most names, and the most zones, that a change selects instances by: it may name each instance of a large fleet.
pub const MOST_NAMES: usize = 4_096;

/// What an instance says of itself and can be selected by.
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
    /// Checks what an instance has sent.
    ///
    /// # Errors
    /// The field that makes no sense, and why.
    pub fn check(&self) -> Result<(), Problem> {
        let problem = |field: &str, problem: String| Problem { field: field.into(), problem };
        if !self.zone.is_empty() {
            check_name(&self.zone).map_err(|e| problem("zone", e))?;
        }
        if self.labels.len() > MOST_PATTERNS {
            return Err(problem(
                "labels",
                format!("{} of them; there are {MOST_PATTERNS} at most", self.labels.len()),
            ));
        }
        for (label, value) in &self.labels {
            check_name(label).and_then(|()| check_name(value)).map_err(|e| problem("labels", e))?;
        }
        if self.build.len() > crate::settings::LONGEST_NAME {
            return Err(problem("build", "is too long".into()));
        }
        Ok(())
    }
}

/// Which instances a change is for: those that fit every part that is given. An empty one takes all.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Selector {
    /// Names; one that ends in `*` takes all that begin so.
    pub names: Vec<String>,
    /// Labels with the value that they must have.
    pub labels: BTreeMap<String, String>,
    /// Zones.
    pub zones: Vec<String>,
}

impl Selector {
    /// Exactly these instances.
    pub fn named(names: impl IntoIterator<Item = String>) -> Self {
        Selector { names: names.into_iter().collect(), ..Selector::default() }
    }

    /// Whether it takes every instance.
    pub fn is_all(&self) -> bool {
        self.names.is_empty() && self.labels.is_empty() && self.zones.is_empty()
    }

    /// Whether an instance is one of those.
    pub fn matches(&self, name: &str, traits: &Traits) -> bool {
        let named = |pattern: &String| madderloom_quota::fits(pattern, name);
        (self.names.is_empty() || self.names.iter().any(named))
            && (self.zones.is_empty() || self.zones.contains(&traits.zone))
            && self.labels.iter().all(|(label, value)| traits.labels.get(label) == Some(value))
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
                add(format!("select.{field}"), format!("{count} of them; there are {most} at most"));
            }
        }
        for (at, pattern) in self.names.iter().enumerate() {
            let begin = pattern.strip_suffix('*').unwrap_or(pattern);
            if let Err(problem) = check_name(begin) {
                // A lone star takes all, as no names do.
                if pattern != "*" {
                    add(format!("select.names[{at}]"), problem);
                }
            }
        }
        for (at, zone) in self.zones.iter().enumerate() {
            if let Err(problem) = check_name(zone) {
                add(format!("select.zones[{at}]"), problem);
            }
        }
        for (label, value) in &self.labels {
            if let Err(problem) = check_name(label).and_then(|()| check_name(value)) {
                add(format!("select.labels.{label}"), problem);
            }
        }
    }
}

/// How far a wave goes: so many instances of those selected, waves before it counted in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Share {
    /// So many.
    Count(u32),
    /// So many in a hundred, rounded up.
    Percent(u32),
}

impl Share {
    /// How many of so many.
    pub fn of(self, all: usize) -> usize {
        match self {
            Share::Count(count) => (count as usize).min(all),
            Share::Percent(percent) => (all * percent.min(100) as usize).div_ceil(100),
        }
    }
}

/// What happens when too many instances refuse or fail, or the change hurts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Then {
    /// Nothing more is sent. Those that have the change keep it.
    Stop,
    /// Those that may have the change get back what they had.
    #[default]
    TakeBack,
}

/// How a change is rolled out.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Waves, each counting those before it in; a last one that takes the rest is always there.
    pub waves: Vec<Share>,
    /// How many instances at most have an order and have not answered it.
    pub at_once: u32,
    /// How long at least is waited between two waves, in microseconds.
    pub pause: Micros,
    /// How long an instance may take to answer before it is held to be unreachable, in microseconds.
    pub silence: Micros,
    /// How many may refuse or fail; one more ends the rollout.
    pub failures: u32,
    /// What happens then.
    pub then: Then,
    /// What is asked of the instances' own figures between waves; nothing without it.
    pub gate: Option<GateRule>,
}

impl Default for Policy {
    /// One instance, a tenth, all; twenty at once, half a minute between; the first failure takes it back.
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
                problems.push(Problem { field: format!("rollout.{field}"), problem: problem.into() });
            }
        };
        require(self.at_once > 0, "at_once", "must be at least 1");
        require(self.silence > 0, "silence", "must be more than nothing");
        require(self.silence <= LONGEST_WAIT, "silence", "must be a day at most");
        require(self.pause <= LONGEST_WAIT, "pause", "must be a day at most");
        require(self.waves.len() <= MOST_PATTERNS, "waves", "are too many; there are 256 at most");
        for (at, wave) in self.waves.iter().enumerate() {
            let sound = match *wave {
                Share::Count(count) => count > 0,
                Share::Percent(percent) => (1..=100).contains(&percent),
            };
            require(sound, &format!("waves[{at}]"), "must be at least 1, and in percent at most 100");
        }
        if let Some(gate) = &self.gate {
            for (field, problem) in gate.check() {
                require(false, &format!("gate.{field}"), &problem);
            }
        }
    }
}

/// What a change does.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// It sets things on the instances selected.
    Set(Edits),
    /// It takes back what another change, named by its id, has set; who is selected is that one's matter.
    Undo(String),
}

/// A change as an operator pushes it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Names it for good: a second push of the same id changes nothing.
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
    /// All that is wrong with it, each with its field.
    pub fn check(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        if let Err(problem) = check_name(&self.id) {
            problems.push(Problem { field: "id".into(), problem });
        }
        if self.note.len() > LONGEST_NOTE {
            let problem = format!("has {} bytes; there are {LONGEST_NOTE} at most", self.note.len());
            problems.push(Problem { field: "note".into(), problem });
        }
        self.select.check(&mut problems);
        self.rollout.check(&mut problems);
        match &self.what {
            What::Set(edits) if edits.is_empty() => {
                problems.push(Problem { field: "set".into(), problem: "nothing is set".into() });
            }
            What::Set(edits) => {
                check_edits(edits, &mut problems);
                let of_fleet = edits.keys().find(|key| matches!(key, Key::Fleet { .. }));
                if let Some(key) = of_fleet.filter(|_| !self.select.is_all()) {
                    let problem =
                        format!("{key} holds for the whole fleet; a change of it selects all instances");
                    problems.push(Problem { field: "select".into(), problem });
                }
            }
            What::Undo(id) => {
                if let Err(problem) = check_name(id) {
                    problems.push(Problem { field: "undo".into(), problem });
                }
            }
        }
        problems
    }

    /// The same for the same document.
    pub fn fingerprint(&self) -> Fingerprint {
        Fingerprint::of(self)
    }
}

/// A change that the fleet has settled on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Layer {
    /// The revision that it made.
    pub revision: u64,
    /// The change's id.
    pub id: String,
    /// Who has it: those selected or, where the rollout was stopped, those that had taken it by then.
    pub select: Selector,
    /// What it sets.
    pub edits: Edits,
}

/// So many of the newest layers can be undone.
pub const UNDOABLE: usize = 32;
/// The most layers in effect together.
pub const MOST_LAYERS: usize = 256;

/// What the fleet has settled on: layers, each over those before it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Layers(pub Vec<Layer>);

impl Layers {
    /// What is in effect on an instance, and the newest layer that concerns it.
    pub fn overlay(&self, name: &str, traits: &Traits) -> (Overlay, Option<&Layer>) {
        let mut overlay = Overlay::default();
        let mut newest = None;
        for layer in self.0.iter().filter(|layer| layer.select.matches(name, traits)) {
            overlay.apply(&layer.edits);
            newest = Some(layer);
        }
        (overlay, newest)
    }

    /// Adds a layer on top, and drops those that show nowhere and that no undoing can uncover.
    pub fn add(&mut self, layer: Layer) {
        self.0.push(layer);
        let fixed = self.0.len().saturating_sub(UNDOABLE);
        let hidden = |at: usize| {
            let layer = &self.0[at];
            let over = &self.0[at + 1..fixed];
            let covers = |over: &&Layer| over.select.is_all() || over.select == layer.select;
            layer.edits.keys().all(|key| over.iter().filter(covers).any(|over| over.edits.contains_key(key)))
        };
        let keep: Vec<bool> = (0..self.0.len()).map(|at| at >= fixed || !hidden(at)).collect();
        let mut keep = keep.into_iter();
        self.0.retain(|_| keep.next().unwrap_or(true));
    }

    /// Without the layer of a change.
    pub fn without(&self, id: &str) -> Layers {
        Layers(self.0.iter().filter(|layer| layer.id != id).cloned().collect())
    }

    /// The layer of a change, if it can be undone.
    ///
    /// # Errors
    /// Why it can't be.
    pub fn undoable(&self, id: &str) -> Result<&Layer, String> {
        let place = self.0.iter().position(|layer| layer.id == id);
        match place {
            None => Err(format!("no change {id} is in effect")),
            Some(place) if self.0.len() - place > UNDOABLE => Err(format!(
                "{id} is older than the last {UNDOABLE} changes; push one that sets anew what it set"
            )),
            Some(place) => Ok(&self.0[place]),
        }
    }
}
