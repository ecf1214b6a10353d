//! Arms are compared seed by seed, and no more is said of them than the seeds bear out.

use madderloom_config_reader::Span;
use madderloom_lab::compare::{self, Seen, Side};
use madderloom_lab::expect;
use madderloom_lab::experiment::Experiment;
use madderloom_lab::figures::Figure;
use madderloom_lab::record::{Run, Tally};
use madderloom_lab::results::{Manifest, Results};

const TEXT: &str = r#"version = 1
name = "paired"
about = "For tests."
seeds = [1, 2, 3, 4, 5, 6, 7, 8]
[[servers]]
name = "std"
[[classes]]
name = "read"
[clients]
rate = 10.0
[[faults]]
at = "2s"
lasts = "3s"
kind = "hang"
share = 0.5
[[arms]]
name = "ours"
policy = "madderloom"
[[arms]]
name = "dice"
policy = "random"
[[expect]]
arm = "ours"
goodput = 0.8
recovers_within = "4s"
attempts = 2.0
"#;

fn run(arm: &str, seed: u64, earned: f64) -> Run {
    let total = Tally {
        asked: 100,
        worth: 100.0,
        earned,
        attempts: 120,
        ..Tally::default()
    };
    Run {
        arm: arm.into(),
        seed,
        total,
        recovery: Some(Span::s(seed % 4)),
        ..Run::default()
    }
}

fn results(text: &str, runs: Vec<Run>) -> Results {
    let experiment = Experiment::read(text).expect("an experiment");
    let arms = experiment.arms.iter().map(|arm| arm.name.clone()).collect();
    let manifest = Manifest {
        text: text.into(),
        arms,
        seeds: experiment.seeds.clone(),
        ..Manifest::default()
    };
    Results {
        path: "d".into(),
        manifest,
        experiment,
        runs,
        missing: Vec::new(),
    }
}

/// Of goodput, where `ours` has as much as each seed's day allows and `dice` so much more.
fn seen(seeds: u64, more: impl Fn(u64) -> f64) -> (Seen, f64) {
    let day = |seed: u64| 40.0 + 5.0 * seed as f64;
    let runs = (1..=seeds)
        .flat_map(|s| [run("ours", s, day(s)), run("dice", s, day(s) + more(s))])
        .collect();
    let results = results(TEXT, runs);
    let [a, b] = ["ours", "dice"].map(|arm| Side {
        results: &results,
        arm,
    });
    let pair = compare::pair(a, b, 0.95);
    let goodput = pair
        .differences
        .iter()
        .find(|d| d.figure == Figure::Goodput)
        .expect("goodput");
    (goodput.seen, goodput.difference.mean)
}

#[test]
fn a_small_steady_difference_is_seen_through_days_that_differ_more() {
    let (seen_so, mean) = seen(8, |seed| -2.0 - 0.1 * seed as f64);
    assert!(
        seen_so == Seen::Worse && (mean + 0.0245).abs() < 1e-9,
        "{seen_so:?} {mean}"
    );
    assert_eq!(seen(8, |seed| 1.0 + 0.1 * seed as f64).0, Seen::Better);
}

#[test]
fn where_signs_differ_or_nothing_does_no_difference_is_seen() {
    assert_eq!(
        seen(8, |seed| if seed % 2 == 0 { 3.0 } else { -2.5 }).0,
        Seen::NoDifference
    );
    assert_eq!(seen(8, |_| 0.0).0, Seen::NoDifference);
}

#[test]
fn of_four_seeds_nothing_is_said_however_clear() {
    assert_eq!(seen(4, |_| 9.0).0, Seen::TooFewSeeds);
}

#[test]
fn seeds_that_one_lacks_are_left_out_and_told() {
    let mut runs: Vec<Run> = (1..=8).map(|seed| run("ours", seed, 50.0)).collect();
    runs.extend((1..=6).map(|seed| run("dice", seed, 50.0)));
    runs[0].void = Some("panicked".into());
    let results = results(TEXT, runs);
    let [a, b] = ["ours", "dice"].map(|arm| Side {
        results: &results,
        arm,
    });
    let pair = compare::pair(a, b, 0.95);
    assert_eq!(
        (pair.seeds, pair.left_out),
        (vec![2, 3, 4, 5, 6], vec![1, 7, 8])
    );
}

#[test]
fn other_worlds_are_not_compared_but_other_arms_and_words_are() {
    let one = results(TEXT, Vec::new());
    let other = results(
        &TEXT
            .replace("rate = 10.0", "rate = 11.0")
            .replace("hang", "crash"),
        Vec::new(),
    );
    assert_eq!(
        compare::obstacles(&one, &other),
        [
            "clients.rate: 10.0 and 11.0",
            "faults[0].kind: \"hang\" and \"crash\""
        ]
    );
    let words = TEXT
        .replace("For tests.", "Other words.")
        .replace("\"random\"", "\"round_robin\"");
    let words = results(&words, Vec::new());
    assert!(compare::obstacles(&one, &words).is_empty());
    assert_eq!(
        compare::notes(&one, &words),
        ["The arm dice is defined otherwise in the second folder."]
    );
}

#[test]
fn expectations_are_judged_over_all_seeds_or_not_at_all() {
    let experiment = Experiment::read(TEXT).expect("an experiment");
    let judged = |runs: &[Run]| {
        let verdicts = expect::verdicts(&experiment, &["ours".into()], 3, runs);
        verdicts
            .iter()
            .map(|v| (v.what.clone(), v.held))
            .collect::<Vec<_>>()
    };
    let names = [
        "goodput",
        "attempts a request",
        "recovery with each seed",
        "rules",
    ]
    .map(String::from);
    let all = |held: [Option<bool>; 4]| names.iter().cloned().zip(held).collect::<Vec<_>>();
    let mut runs: Vec<Run> = (1..=3).map(|seed| run("ours", seed, 85.0)).collect();
    assert_eq!(judged(&runs), all([Some(true); 4]));
    assert_eq!(judged(&runs[..2]), all([None; 4]));
    runs[0].recovery = None;
    runs[1].breaches = [("repeated-effect".to_string(), 2)].into();
    assert_eq!(
        judged(&runs),
        all([Some(true), Some(true), Some(false), Some(false)])
    );
    runs.iter_mut()
        .for_each(|run| (run.total.earned, run.total.attempts) = (79.0, 201));
    assert_eq!(judged(&runs), all([Some(false); 4]));
    runs[2].void = Some("panicked".into());
    assert_eq!(judged(&runs), all([None; 4]));
}
