//! A recorded time line, played as a fault: the errors and the slowness that were seen, when they were seen.

use madderloom_lab::experiment::Experiment;
use madderloom_lab::model::faults::{Change, bounds, time_line};
use madderloom_lab::model::server::Trouble;
use madderloom_lab::play::{self, Driver};
use madderloom_lab::world::World;
use std::ops::ControlFlow;

const GRAY: &str = include_str!("../../../experiments/gray-failure.toml");

const RECORDING: &str = r#"{"version": 1, "server": "node-3", "began_us": 5, "usual_us": 90000, "moments": [
    {"from_ms": 0, "lasts_ms": 10000, "attempts": 9, "errors": 0.0, "lost": 0.0, "refused": 0.0, "slower": 0.9},
    {"from_ms": 10000, "lasts_ms": 10000, "attempts": 9, "errors": 0.5, "lost": 0.4, "refused": 0.1, "slower": 1.0},
    {"from_ms": 25000, "lasts_ms": 5000, "attempts": 9, "errors": 0.0, "lost": 0.0, "refused": 0.0, "slower": 6.0}
]}"#;

/// The experiment with its fault replaced by this one, read with the recording beside it.
fn with(fault: &str, recording: &str) -> Result<Experiment, String> {
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::write(folder.path().join("night.json"), recording).expect("it is written");
    let (before, after) = GRAY.split_once("[[faults]]").expect("it has a fault");
    let (_, after) = after.split_once("[[arms]]").expect("it has arms");
    let text = format!("{before}[[faults]]\n{fault}\n[[arms]]{after}");
    let mut experiment = Experiment::read(&text).map_err(|p| p[0].to_string())?;
    play::with_files(&mut experiment, folder.path())?;
    Ok(experiment)
}

const FAULT: &str =
    "at = \"20s\"\nkind = \"replay\"\nfile = \"night.json\"\nservers = [\"quick\"]\n";

#[test]
fn what_was_recorded_begins_and_ends_when_it_did() {
    let experiment = with(FAULT, RECORDING).expect("it makes sense");
    let world = World::of(&experiment, 1);
    let line = time_line(&experiment, &world, 1);
    assert_eq!(bounds(&experiment), Some((20_000_000, 50_000_000)));
    let of_first: Vec<(u64, Option<Trouble>)> = line
        .iter()
        .filter_map(|(at, change)| match change {
            Change::Begin {
                server: 0, trouble, ..
            } => Some((*at / 1_000_000, Some(*trouble))),
            Change::End { server: 0, .. } => Some((*at / 1_000_000, None)),
            _ => None,
        })
        .collect();
    let wanted = [
        (30, Some(Trouble::FastErrors(0.6))),
        (30, Some(Trouble::LostAnswers(0.4))),
        (40, None),
        (40, None),
        (45, Some(Trouble::Slow(6.0))),
        (50, None),
    ];
    assert_eq!(of_first, wanted);
    // It may be cut short.
    let short = with(&format!("{FAULT}lasts = \"12s\"\n"), RECORDING).expect("it makes sense");
    let line = time_line(&short, &world, 1);
    assert!(line.iter().all(|(at, _)| *at <= 32_000_000) && !line.is_empty());
}

#[test]
fn a_recording_that_makes_no_sense_is_one_clear_line() {
    for (from, to, told) in [
        ("\"version\": 1", "\"version\": 2", "version 2 is not known"),
        (
            "\"from_ms\": 25000",
            "\"from_ms\": 15000",
            "moments[2].from_ms lies before the end",
        ),
        ("\"lost\": 0.4", "\"lost\": 0.9", "moments[1].lost"),
        ("\"slower\": 6.0", "\"slower\": 1e9", "moments[2].slower"),
        ("\"moments\"", "\"moment\"", "unknown field `moment`"),
    ] {
        assert!(RECORDING.contains(from));
        let problem = with(FAULT, &RECORDING.replacen(from, to, 1)).expect_err(to);
        assert!(
            problem.contains("night.json") && problem.contains(told),
            "{problem}"
        );
    }
    let problem =
        with(&FAULT.replace("file = \"night.json\"\n", ""), RECORDING).expect_err("no file");
    assert!(problem.contains("faults[0].file: is missing"), "{problem}");
    let problem = with(&FAULT.replace("night", "day"), RECORDING).expect_err("no such file");
    assert!(problem.contains("day.json"), "{problem}");
}

/// What the policies make of it shows that it befalls them: more is lost than on the same day without it.
#[test]
fn a_day_with_a_recorded_night_is_worse_than_one_without() {
    let play = |experiment: &Experiment| {
        let arm = experiment
            .arms
            .iter()
            .find(|arm| arm.policy == "round_robin")
            .expect("it is there");
        play::play(experiment, arm, 1, Driver::Virtual, &|_| {
            ControlFlow::Continue(())
        })
    };
    let bad = with(FAULT, RECORDING).expect("it makes sense");
    let mut calm = bad.clone();
    calm.faults.clear();
    let (bad, calm) = (play(&bad), play(&calm));
    assert!(
        bad.void.is_none() && calm.void.is_none(),
        "{:?} {:?}",
        bad.void,
        calm.void
    );
    assert!(
        bad.total.attempts > calm.total.attempts,
        "{} attempts against {}",
        bad.total.attempts,
        calm.total.attempts
    );
}
