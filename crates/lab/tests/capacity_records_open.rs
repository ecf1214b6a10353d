//! Every measured file of docs/capacity is read, with every value in it: docs/CAPACITY.md is computed from them.

use madderloom_lab::scale::measured::Measured;
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

const SERIES: [(&str, usize); 8] = [
    ("1000-registrations", 2),
    ("base", 25),
    ("beside-relays", 2),
    ("cut-60s", 1),
    ("pair-as-found", 2),
    ("pair-bounded-work", 2),
    ("relays", 9),
    ("without-limits-and-lists", 3),
];

/// Figures of all runs of one size of a series, computed from the files by another program.
const FIGURES: &[(&str, &str, f64, &[f64])] = &[
    (
        "base",
        "agent, calm: memory [MB]",
        1_000.0,
        &[77.676544, 80.781312, 80.91648, 79.683584, 80.50688],
    ),
    (
        "base",
        "agent, calm: both directions [KB/s]",
        1_000.0,
        &[
            547.355923745,
            624.15389993,
            652.267557861,
            562.384753722,
            662.5545808,
        ],
    ),
    (
        "base",
        "push to all: last in force [ms]",
        1_000.0,
        &[121.08, 96.31, 278.34, 120.75, 87.51],
    ),
    (
        "base",
        "start of all at once: last registered [s]",
        3_000.0,
        &[31.09365, 30.98055, 32.21086, 32.06644, 31.3514],
    ),
    (
        "relays",
        "agent, calm: memory [MB]",
        6_000.0,
        &[53.506048, 53.10464],
    ),
    (
        "relays",
        "agent, calm: both directions [KB/s]",
        6_000.0,
        &[4060.268200378, 3612.499002792],
    ),
    (
        "relays",
        "push to all: last in force [ms]",
        6_000.0,
        &[407.64, 276.72],
    ),
    (
        "relays",
        "start of all at once: last registered [s]",
        6_000.0,
        &[3.52198, 3.55162],
    ),
];

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/capacity")
}

fn json_of(file: &Path) -> Value {
    let text =
        std::fs::read(file).unwrap_or_else(|problem| panic!("{}: {problem}", file.display()));
    serde_json::from_slice(&text).expect("JSON")
}

/// What a value is written as.
fn written(value: &impl Serialize) -> Value {
    let text = serde_json::to_string(value).expect("JSON");
    serde_json::from_str(&text).expect("JSON")
}

/// What a file holds and what was read of it does not, by its place. What was read may hold more: later fields that
/// earlier files do not have.
fn lost(file: &Value, read: &Value, place: &str, lost_values: &mut Vec<String>) {
    match (file, read) {
        (Value::Object(file), Value::Object(read)) => {
            for (key, value) in file {
                let read = read.get(key).unwrap_or(&Value::Null);
                lost(value, read, &format!("{place}.{key}"), lost_values);
            }
        }
        (Value::Array(file), Value::Array(read)) if file.len() == read.len() => {
            for (position, (file, read)) in file.iter().zip(read).enumerate() {
                lost(file, read, &format!("{place}[{position}]"), lost_values);
            }
        }
        (file, read) if file == read => {}
        (file, read) => lost_values.push(format!("{place}: {file} is read as {read}")),
    }
}

fn assert_whole(name: &str, read: &Value) {
    let mut lost_values = Vec::new();
    lost(&json_of(&folder().join(name)), read, name, &mut lost_values);
    assert_eq!(lost_values, Vec::<String>::new());
}

#[test]
fn every_value_of_every_file_is_read() {
    let measured = Measured::read(&folder()).expect("measured files");
    let counts: BTreeMap<&str, usize> = measured
        .series
        .iter()
        .map(|(name, runs)| (name.as_str(), runs.len()))
        .collect();
    assert_eq!(counts, BTreeMap::from(SERIES));
    for (series, runs) in &measured.series {
        let mut files: Vec<String> = std::fs::read_dir(folder().join(series))
            .expect("a folder")
            .map(|entry| {
                entry
                    .expect("an entry")
                    .file_name()
                    .into_string()
                    .expect("a name")
            })
            .collect();
        files.sort();
        assert_eq!(files.len(), runs.len(), "{series}");
        for (file, run) in files.iter().zip(runs) {
            assert_whole(&format!("{series}/{file}"), &written(run));
        }
    }
    assert_whole("real.json", &written(&measured.real));
    assert_whole("hops.json", &written(&measured.hops));
}

#[test]
fn figures_are_those_of_the_files() {
    let measured = Measured::read(&folder()).expect("measured files");
    let lines = measured.lines();
    for &(series, name, instances, expected) in FIGURES {
        let figure = madderloom_lab::scale::figures::Figure::ALL
            .into_iter()
            .find(|figure| figure.name() == name);
        let points = measured.points(
            series,
            figure.unwrap_or_else(|| panic!("there is no {name}")),
        );
        let found: Vec<f64> = points
            .iter()
            .filter(|(size, _)| *size == instances)
            .map(|(_, value)| *value)
            .collect();
        assert_eq!(found.len(), expected.len(), "{series}, {name}: {found:?}");
        for (found, expected) in found.iter().zip(expected) {
            assert!(
                (found - expected).abs() < 1e-6,
                "{series}, {name}: {found}, not {expected}"
            );
        }
        assert!(
            lines[series].contains_key(name),
            "{series}, {name}: no line"
        );
    }
}
