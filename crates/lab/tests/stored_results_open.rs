//! A folder of results that an earlier lab wrote is read, reported and compared, and every value in it is read.

use madderloom_lab::results::Results;
use serde::Serialize;
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::process::Command;
use tempfile::TempDir;

/// Of each run: arm, seed, and requests that arrived, were served in time, failed, and attempts at servers.
const FIGURES: [(&str, u64, [u64; 4]); 4] = [
    ("ours", 1, [350, 350, 0, 378]),
    ("ours", 2, [295, 295, 0, 316]),
    ("dice", 1, [350, 350, 0, 381]),
    ("dice", 2, [295, 295, 0, 316]),
];

/// Means over the seeds, of the first arm and of the second.
const COMPARED: [(&str, [f64; 2]); 4] = [
    ("goodput", [1.0, 1.0]),
    ("mean", [10.433_418_184_019_37, 11.753_032_179_176_756]),
    ("p50", [6.847, 7.463]),
    ("p99", [45.279, 59.631]),
];

fn copy(from: &Path, to: &Path) {
    std::fs::create_dir_all(to).expect("a folder");
    for entry in std::fs::read_dir(from).expect("a folder") {
        let path = entry.expect("an entry").path();
        let to = to.join(path.file_name().expect("a name"));
        if path.is_dir() {
            copy(&path, &to);
        } else {
            std::fs::copy(&path, &to).expect("a copy");
        }
    }
}

fn stored() -> (TempDir, PathBuf) {
    let directory = TempDir::new().expect("a folder");
    let folder = directory.path().join("results");
    copy(
        &Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/results-dd0b5ab"),
        &folder,
    );
    (directory, folder)
}

fn lab(arguments: &[&str], folder: &Path) -> String {
    let mut lab = Command::new(env!("CARGO_BIN_EXE_madderloom-lab"));
    let done = lab.args(arguments).arg(folder).output().expect("it runs");
    assert!(
        done.status.success(),
        "{}",
        String::from_utf8_lossy(&done.stderr)
    );
    String::from_utf8(done.stdout).expect("text")
}

fn json_of(file: &Path) -> Value {
    serde_json::from_slice(&std::fs::read(file).expect("a file")).expect("JSON")
}

/// What a value is written as.
fn written(value: &impl Serialize) -> Value {
    let text = serde_json::to_string(value).expect("JSON");
    serde_json::from_str(&text).expect("JSON")
}

#[test]
fn every_value_is_read() {
    let (_directory, folder) = stored();
    let results = Results::read(&folder).expect("results");
    assert_eq!(results.flaws(), Vec::<String>::new());
    assert_eq!(
        written(&results.manifest),
        json_of(&folder.join("manifest.json"))
    );
    assert_eq!(results.runs.len(), 4);
    for run in &results.runs {
        let file = folder
            .join("runs")
            .join(&run.arm)
            .join(format!("{}.json", run.seed));
        assert_eq!(written(run), json_of(&file), "{}", file.display());
    }
    let total: Vec<_> = results
        .runs
        .iter()
        .map(|run| figures(run.arm.as_str(), run.seed, &written(run)))
        .collect();
    assert_eq!(total, FIGURES);
}

/// Asked, in time, failed, attempts.
fn figures<'r>(arm: &'r str, seed: u64, run: &Value) -> (&'r str, u64, [u64; 4]) {
    let figure = |name: &str| run["total"][name].as_u64().expect("a count");
    (
        arm,
        seed,
        ["asked", "in_time", "failed", "attempts"].map(figure),
    )
}

#[test]
fn it_is_reported() {
    let (_directory, folder) = stored();
    lab(&["report"], &folder);
    let page = std::fs::read_to_string(folder.join("report.html")).expect("a page");
    for text in ["stored", "ours", "dice", "<svg"] {
        assert!(page.contains(text), "{text}");
    }
}

#[test]
fn its_arms_are_compared() {
    let (_directory, folder) = stored();
    let compared: Value =
        serde_json::from_str(&lab(&["compare", "--output", "json"], &folder)).expect("JSON");
    let pair = &compared["pairs"][0];
    assert_eq!(
        (&pair["first"], &pair["second"], &pair["seeds"]),
        (&json!("ours"), &json!("dice"), &json!([1, 2]))
    );
    let figure = |name: &str| {
        let all = pair["differences"].as_array().expect("a list");
        let found = all
            .iter()
            .find(|difference| difference["figure"] == name)
            .expect("it is there");
        [
            found["first"].as_f64().expect("a figure"),
            found["second"].as_f64().expect("a figure"),
        ]
    };
    for (name, expected) in COMPARED {
        let found = figure(name);
        let near = found
            .iter()
            .zip(expected)
            .all(|(found, expected)| (found - expected).abs() < 1e-9);
        assert!(near, "{name}: {found:?}, not {expected:?}");
    }
}
