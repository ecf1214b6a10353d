//! Results are the same with however many jobs, and what is there can be read however the lab ended.

use madderloom_lab::check;
use madderloom_lab::experiment::Experiment;
use madderloom_lab::results::{End, Results};
use madderloom_lab::shipped;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};
use tempfile::TempDir;

const SMALL: &str = r#"version = 1
name = "small"
about = "For tests."
duration = "3s"
seeds = [1, 2, 3, 4]
[[servers]]
name = "std"
count = 3
[[classes]]
name = "read"
[clients]
rate = 100.0
[[faults]]
at = "1s"
lasts = "500ms"
kind = "fast_errors"
size = 0.5
share = 0.5
[[arms]]
name = "ours"
policy = "madderloom"
[[arms]]
name = "dice"
policy = "random"
"#;

struct Place(TempDir);

impl Place {
    fn new(text: &str) -> Self {
        let place = Place(tempfile::tempdir().expect("a folder"));
        std::fs::write(place.path("e.toml"), text).expect("a file");
        place
    }

    fn path(&self, name: &str) -> PathBuf {
        self.0.path().join(name)
    }

    fn lab(&self, line: &str) -> Command {
        let mut lab = Command::new(env!("CARGO_BIN_EXE_madderloom-lab"));
        lab.args(line.split(' '))
            .current_dir(self.0.path())
            .stdin(Stdio::null());
        lab
    }

    fn run(&self, line: &str) -> (Option<i32>, String, String) {
        let Output {
            status,
            stdout,
            stderr,
        } = self.lab(line).output().expect("the lab runs");
        let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
        (status.code(), text(stdout), text(stderr))
    }
}

/// As Ctrl-C does.
fn interrupt(lab: &Child) {
    let kill = Command::new("sh")
        .args(["-c", &format!("kill -INT {}", lab.id())])
        .status();
    assert!(kill.expect("a shell").success());
}

/// Every file below a folder, by its path from there.
fn files(folder: &Path) -> BTreeMap<PathBuf, Vec<u8>> {
    let (mut all, mut folders) = (BTreeMap::new(), vec![folder.to_path_buf()]);
    while let Some(next) = folders.pop() {
        for entry in std::fs::read_dir(next).expect("a folder") {
            let path = entry.expect("an entry").path();
            if path.is_dir() {
                folders.push(path);
            } else {
                let bytes = std::fs::read(&path).expect("a file");
                all.insert(
                    path.strip_prefix(folder).expect("below it").to_path_buf(),
                    bytes,
                );
            }
        }
    }
    all
}

#[test]
fn one_job_and_eight_give_the_same_folder_byte_for_byte() {
    let place = Place::new(SMALL);
    for (jobs, folder) in [(1, "one"), (8, "eight")] {
        let (code, out, err) = place.run(&format!("run e.toml --jobs {jobs} -o {folder}"));
        assert_eq!(code, Some(0), "{out}{err}");
    }
    let (one, eight) = (files(&place.path("one")), files(&place.path("eight")));
    assert_eq!(one.len(), 2 + 8, "{:?}", one.keys());
    assert!(one == eight);
    let read = Results::read(&place.path("one")).expect("results");
    assert!(
        read.flaws().is_empty() && read.runs.iter().all(|run| run.total.asked > 100),
        "{:?}",
        read.flaws()
    );
}

#[test]
fn an_arm_that_panics_voids_its_own_runs_alone() {
    let text = SMALL.replace(
        "policy = \"random\"",
        "policy = \"panics\"\nwith = { after = 20 }",
    ) + "[[expect]]\narm = \"ours\"\ngoodput = 0.1\n[[expect]]\narm = \"dice\"\ngoodput = 0.1\n";
    let place = Place::new(&text);
    let (code, out, err) = place.run("run e.toml --seeds 2 -o d");
    assert_eq!(code, Some(4), "{out}{err}");
    assert!(
        err.contains(
            "dice with seed 2 is void: its policy panicked: the policy `panics` panics on purpose"
        ),
        "{err}"
    );
    assert!(
        out.contains("held: ours: goodput") && out.contains("NOT JUDGED: dice: goodput"),
        "{out}"
    );
    let read = Results::read(&place.path("d")).expect("results");
    assert_eq!(
        (
            read.of_arm("ours").count(),
            read.of_arm("dice").count(),
            read.runs.len()
        ),
        (2, 0, 4)
    );
}

#[test]
fn an_expectation_that_failed_is_named_and_told_by_the_exit_code() {
    let place = Place::new(&format!(
        "{SMALL}[[expect]]\narm = \"dice\"\nclass = \"read\"\np99 = \"1us\"\n"
    ));
    let (code, out, err) = place.run("run e.toml --quick --arms dice -o d");
    assert_eq!(code, Some(3), "{out}{err}");
    assert!(
        out.contains("FAILED: dice: p99 of read: wanted at most 1us, got "),
        "{out}"
    );
    let (code, out, _) = place.run("run e.toml --quick --arms ours -o ours --output json");
    assert_eq!(
        code,
        Some(0),
        "what is expected of an arm that is not played is nothing: {out}"
    );
    let told: serde_json::Value = serde_json::from_str(&out).expect("an object");
    assert_eq!(told["runs"], 2);
}

#[test]
fn a_folder_that_exists_is_left_as_it_is() {
    let place = Place::new(SMALL);
    std::fs::create_dir(place.path("d")).expect("a folder");
    let (code, _, err) = place.run("run e.toml -o d");
    assert_eq!(code, Some(1));
    assert!(
        err.contains("d: exists, and results are never overwritten"),
        "{err}"
    );
    assert_eq!(files(&place.path("d")).len(), 0);
    // Where no folder is named, the first free one is taken.
    for folder in ["small", "small-2"] {
        place.run("run e.toml --quick --arms ours");
        assert!(
            Results::read(&place.path("lab-results").join(folder)).is_ok(),
            "{folder}"
        );
    }
}

#[test]
fn what_was_broken_off_can_be_read_compared_and_reported() {
    let place = Place::new(&SMALL.replace("3s", "20s"));
    let mut lab = place.lab("run e.toml --seeds 1000 --jobs 2 -o d");
    let mut lab = lab
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("the lab runs");
    let until = Instant::now() + Duration::from_secs(60);
    // Two seeds of both arms, so that there is something to compare; the second may be done before the first.
    let first = ["ours/1", "ours/2", "dice/1", "dice/2"]
        .map(|run| place.path(&format!("d/runs/{run}.json")));
    while !first.iter().all(|run| run.exists()) {
        assert!(
            Instant::now() < until && lab.try_wait().expect("a status").is_none(),
            "it ended too soon or hangs"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
    let interrupt = Command::new("sh")
        .args(["-c", &format!("kill -INT {}", lab.id())])
        .status()
        .expect("kill");
    assert!(interrupt.success());
    assert_eq!(lab.wait().expect("a status").code(), Some(130));
    let read = Results::read(&place.path("d")).expect("results");
    assert_eq!(read.manifest.end, Some(End::BrokenOff));
    assert!(
        !read.missing.is_empty() && read.of_arm("ours").count() >= 2,
        "{} missing",
        read.missing.len()
    );
    assert!(
        files(&place.path("d"))
            .keys()
            .all(|file| file.extension().is_some_and(|e| e != "part"))
    );
    let (code, out, err) = place.run("compare d");
    assert!(
        code == Some(0) && out.contains("dice beside ours") && out.contains("It was broken off."),
        "{out}{err}"
    );
    assert_eq!(place.run("report d").0, Some(0));
}

#[test]
fn a_run_that_would_take_minutes_is_ended_at_once() {
    let day = SMALL
        .replace("duration = \"3s\"", "duration = \"23h\"\nwindow = \"60s\"")
        .replace("100.0", "200.0");
    let place = Place::new(&day);
    let mut lab = place.lab("run e.toml --quick --jobs 2 -o d");
    let mut lab = lab
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("the lab runs");
    // The folder is made once it listens for being broken off.
    let until = Instant::now() + Duration::from_secs(60);
    while !place.path("d").exists() && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(5));
    }
    // Long enough for the runs to have begun; were they not, this would pass all the same.
    std::thread::sleep(Duration::from_millis(700));
    let asked = Instant::now();
    interrupt(&lab);
    assert_eq!(lab.wait().expect("a status").code(), Some(130));
    assert!(
        asked.elapsed() < Duration::from_secs(20),
        "{:?}",
        asked.elapsed()
    );
    assert_eq!(
        Results::read(&place.path("d")).expect("results").runs.len(),
        0
    );
}

#[test]
fn what_is_no_folder_of_results_is_told_in_a_line() {
    let place = Place::new(SMALL);
    place.run("run e.toml --quick -o d");
    assert!(place.run("report .").2.contains("is no folder of results"));
    std::fs::write(place.path("d/runs/ours/1.json"), "{\"arm\":").expect("a file");
    let (code, _, err) = place.run("compare d");
    assert!(
        code == Some(1) && err.contains("1.json: can't be read") && err.lines().count() == 1,
        "{err}"
    );
}

#[test]
fn bad_files_are_told_by_place_and_names_by_the_nearest() {
    let place = Place::new(&SMALL.replace("rate = 100.0", "rate = -1.0"));
    let (code, out, _) = place.run("check e.toml calm");
    assert_eq!(code, Some(1));
    assert!(
        out.starts_with("e.toml:12:8: clients.rate: is -1, but must lie in"),
        "{out}"
    );
    assert!(out.contains("\ncalm: makes sense"), "{out}");
    assert!(place.run("run clam").2.contains("did you mean calm?"));
    assert_eq!(place.run("check").0, Some(2));
}

#[test]
fn recorded_arrivals_are_read_from_beside_the_file_and_checked() {
    let place = Place::new(&SMALL.replace("rate = 100.0", "arrivals = \"a.txt\""));
    assert!(place.run("check e.toml").1.contains("a.txt: "));
    std::fs::write(place.path("a.txt"), "0 read - 1000\n9 write - 1000\n").expect("a file");
    assert!(
        place
            .run("check e.toml")
            .1
            .contains("a.txt: line 2: there is no class \"write\"")
    );
    std::fs::write(place.path("a.txt"), "0 read - 1000\n9 read - 1000\n").expect("a file");
    let (code, out, err) = place.run("run e.toml --quick -o d");
    assert_eq!(code, Some(0), "{out}{err}");
    assert!(
        Results::read(&place.path("d"))
            .expect("results")
            .runs
            .iter()
            .all(|run| run.total.asked == 2)
    );
}

#[test]
fn every_shipped_experiment_makes_sense_under_its_own_name() {
    let beside = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../experiments");
    let there = std::fs::read_dir(beside).expect("the experiments").count();
    assert_eq!(there, shipped::ALL.len());
    for (name, text) in shipped::ALL {
        let experiment =
            Experiment::read(text).unwrap_or_else(|problems| panic!("{name}: {problems:?}"));
        assert_eq!(experiment.name, *name);
        assert!(!experiment.expect.is_empty(), "{name} expects nothing");
        assert!(experiment.pairs() <= check::MOST_PAIRS);
    }
}
