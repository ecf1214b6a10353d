//! Two arms against each other, seed by seed.
//!
//! Each seed gives both arms the same world, load and faults, so what counts is the difference within a seed: its mean
//! over the seeds, with a bootstrap interval (see [`crate::stats::bootstrap`]). Where the interval spans zero, no
//! difference is seen.

use crate::experiment::Experiment;
use crate::figures::{self, Figure};
use crate::record::Run;
use crate::results::Results;
use crate::stats::{FEWEST, Interval, bootstrap, mean};
use serde::Serialize;
use serde_json::Value;

/// One arm of one folder.
#[derive(Clone, Copy, Debug)]
pub struct Side<'r> {
    /// The folder.
    pub results: &'r Results,
    /// The arm.
    pub arm: &'r str,
}

/// What can be said of a difference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Seen {
    /// The second is better.
    Better,
    /// The second is worse.
    Worse,
    /// The interval spans zero.
    NoDifference,
    /// There are too few seeds to tell.
    TooFewSeeds,
}

/// The difference of a figure.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// Which figure.
    pub figure: Figure,
    /// Of which class; of all together where it is none.
    pub class: Option<String>,
    /// The mean of the first arm over the common seeds.
    pub first: f64,
    /// The mean of the second.
    pub second: f64,
    /// The second less the first, seed by seed.
    pub difference: Interval,
    /// What can be said of it.
    pub seen: Seen,
}

/// Two arms.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Pair {
    /// The first arm.
    pub first: String,
    /// The second.
    pub second: String,
    /// The seeds with which both were played.
    pub seeds: Vec<u64>,
    /// Seeds that one of them has alone, or whose run is void there.
    pub left_out: Vec<u64>,
    /// Figure by figure, first of all classes together, then of each.
    pub differences: Vec<Difference>,
}

/// What keeps two folders from being compared: the world, load or faults differ. Empty where nothing does.
pub fn obstacles(first: &Results, second: &Results) -> Vec<String> {
    let mut obstacles = Vec::new();
    let (a, b) = (day(&first.experiment), day(&second.experiment));
    differing("", &a, &b, &mut obstacles);
    if first.manifest.arrivals != second.manifest.arrivals {
        obstacles.push("the recorded arrivals differ".into());
    }
    obstacles
}

/// What is worth knowing of two folders that are compared.
pub fn notes(first: &Results, second: &Results) -> Vec<String> {
    let mut notes = Vec::new();
    let (a, b) = (&first.manifest, &second.manifest);
    if a.driver != b.driver {
        notes.push(format!("Other drivers: {} and {}.", a.driver, b.driver));
    }
    if (&a.version, &a.build) != (&b.version, &b.build) {
        notes.push(format!(
            "Other builds: {} ({}) and {} ({}).",
            a.version, a.build, b.version, b.build
        ));
    }
    for arm in &first.experiment.arms {
        if let Some(other) = second
            .experiment
            .arms
            .iter()
            .find(|other| other.name == arm.name)
            && (&other.policy, &other.with, &other.binary, &other.levels)
                != (&arm.policy, &arm.with, &arm.binary, &arm.levels)
        {
            notes.push(format!(
                "The arm {} is defined otherwise in the second folder.",
                arm.name
            ));
        }
    }
    notes
}

/// All of an experiment that decides what a day is like.
fn day(experiment: &Experiment) -> Value {
    let mut value = serde_json::to_value(experiment).unwrap_or_default();
    if let Some(fields) = value.as_object_mut() {
        for free in ["arms", "expect", "seeds", "about"] {
            fields.remove(free);
        }
    }
    value
}

fn differing(path: &str, a: &Value, b: &Value, found: &mut Vec<String>) {
    const MOST: usize = 8;
    if a == b || found.len() >= MOST {
        return;
    }
    match (a, b) {
        (Value::Object(fields), Value::Object(others)) => {
            let dot = if path.is_empty() { "" } else { "." };
            for (name, value) in fields {
                differing(
                    &format!("{path}{dot}{name}"),
                    value,
                    others.get(name).unwrap_or(&Value::Null),
                    found,
                );
            }
        }
        (Value::Array(list), Value::Array(others)) if list.len() == others.len() => {
            for (i, (value, other)) in list.iter().zip(others).enumerate() {
                differing(&format!("{path}[{i}]"), value, other, found);
            }
        }
        (Value::Array(list), Value::Array(others)) => {
            found.push(format!(
                "{path}: {} entries and {}",
                list.len(),
                others.len()
            ));
        }
        _ => found.push(format!("{path}: {a} and {b}")),
    }
}

/// Two arms against each other, with intervals of this confidence.
pub fn pair(first: Side<'_>, second: Side<'_>, confidence: f64) -> Pair {
    let runs = |side: Side<'_>| {
        side.results
            .of_arm(side.arm)
            .map(|run| run.seed)
            .collect::<Vec<_>>()
    };
    let (a, b) = (runs(first), runs(second));
    let seeds: Vec<u64> = a.iter().copied().filter(|seed| b.contains(seed)).collect();
    let mut planned = first.results.manifest.seeds.clone();
    planned.extend(
        second
            .results
            .manifest
            .seeds
            .iter()
            .filter(|seed| !first.results.manifest.seeds.contains(seed)),
    );
    let left_out = planned
        .into_iter()
        .filter(|seed| !seeds.contains(seed))
        .collect();
    let pairs: Vec<(&Run, &Run)> = seeds
        .iter()
        .filter_map(|seed| {
            let of = |side: Side<'_>| {
                side.results
                    .runs
                    .iter()
                    .position(|run| run.arm == side.arm && run.seed == *seed)
            };
            Some((
                first.results.runs.get(of(first)?)?,
                second.results.runs.get(of(second)?)?,
            ))
        })
        .collect();
    let classes = first
        .results
        .experiment
        .classes
        .iter()
        .map(|class| Some(class.name.as_str()));
    let several = classes.len() > 1;
    let groups = std::iter::once(None).chain(classes.filter(|_| several));
    let differences = groups
        .flat_map(|class| figures::ALL.iter().map(move |figure| (class, *figure)))
        .filter_map(|(class, figure)| difference(figure, class, &pairs, first, second, confidence))
        .collect();
    Pair {
        first: first.arm.into(),
        second: second.arm.into(),
        seeds,
        left_out,
        differences,
    }
}

fn difference(
    figure: Figure,
    class: Option<&str>,
    pairs: &[(&Run, &Run)],
    first: Side<'_>,
    second: Side<'_>,
    confidence: f64,
) -> Option<Difference> {
    let values: Vec<(f64, f64)> = pairs
        .iter()
        .filter_map(|(a, b)| {
            Some((
                figure.of(&first.results.experiment, a, class)?,
                figure.of(&second.results.experiment, b, class)?,
            ))
        })
        .collect();
    let differences: Vec<f64> = values.iter().map(|(a, b)| b - a).collect();
    let difference = bootstrap(&differences, confidence)?;
    let seen = match difference.excludes_zero() {
        None => Seen::TooFewSeeds,
        Some(false) => Seen::NoDifference,
        Some(true) if (difference.mean > 0.0) == figure.more_is_better() => Seen::Better,
        Some(true) => Seen::Worse,
    };
    Some(Difference {
        figure,
        class: class.map(str::to_string),
        first: mean(&values.iter().map(|(a, _)| *a).collect::<Vec<_>>()),
        second: mean(&values.iter().map(|(_, b)| *b).collect::<Vec<_>>()),
        difference,
        seen,
    })
}

/// What must be borne in mind with so many intervals at once.
pub fn caution(pairs: &[Pair], confidence: f64) -> String {
    let judged = pairs
        .iter()
        .flat_map(|pair| &pair.differences)
        .filter(|d| d.seen != Seen::TooFewSeeds)
        .count();
    if judged == 0 {
        return format!("No difference is judged: that takes {FEWEST} seeds that both have.");
    }
    let by_chance = judged as f64 * (1.0 - confidence);
    format!(
        "Of {judged} comparisons at {}% each, about {by_chance:.1} would show a difference by chance alone, if there were \
         none; nothing is corrected for that. Raise --confidence where one is picked out of many.",
        (confidence * 1e4).round() / 1e2
    )
}
