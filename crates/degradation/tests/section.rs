//! Levels in a configuration file: what is rejected, and at which place.

use madderloom_config_reader::{Document, Problem};
use madderloom_degradation::{ClassTraits, LevelPlan, LevelsSection, built_in_levels};
use serde::Deserialize;

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct File {
    levels: LevelsSection,
}

fn classes() -> Vec<ClassTraits> {
    let class = |name: &str, is_idempotent| ClassTraits {
        name: name.to_string(),
        is_idempotent,
    };
    vec![class("submit-check", false), class("recheck", true)]
}

fn check(text: &str) -> Result<LevelPlan, Vec<String>> {
    let read = Document::read::<File>(text).and_then(|(mut document, file)| {
        let plan = file.levels.check(&mut document, "levels", &classes());
        document.finish(plan)
    });
    read.map_err(|problems| problems.iter().map(Problem::to_string).collect())
}

const VALID: &str = "[levels]\nbuilt_in = true\n[[levels.level]]\nname = \"night\"\nenter = \"cpu > 90% for 5s\"\n\
    leave = \"cpu < 70%\"\nleast_stay = \"20s\"\nretries = 0.2\n[levels.level.turn_away]\nrecheck = 0.3\n";

#[test]
fn levels_of_a_valid_section_follow_the_built_in_ones() {
    let plan = check(VALID).expect("it is valid");
    let names: Vec<&str> = plan
        .levels
        .iter()
        .map(|level| level.name.as_str())
        .collect();
    assert_eq!(names, ["lean", "reduced", "essential", "recovery", "night"]);
    assert_eq!(plan.levels[4].effects.rejected_shares["recheck"], 0.3);
    // At most one change down per stay of 5 s, and five changes up between two of them.
    assert!(
        (5..=6 * 121 + 5).contains(&plan.max_changes_in_ten_minutes),
        "{}",
        plan.max_changes_in_ten_minutes
    );
    assert_eq!(
        built_in_levels(&classes()[1..])[2]
            .effects
            .rejected_shares
            .len(),
        0,
        "classes that are alike are not given up"
    );
}

/// A text of the valid section, an invalid one in its place, and the problem that is reported.
const PROBLEMS: [(&str, &str, &str); 11] = [
    ("night", "", "4:8: levels.level[0].name: must be a name"),
    (
        "night",
        "lean",
        "4:8: levels.level[0].name: there is a level lean already",
    ),
    (
        "cpu > 90%",
        "cpu > 190%",
        "5:9: levels.level[0].enter: cpu > 190% is never met",
    ),
    (
        "cpu > 90%",
        "load > 90%",
        "5:9: levels.level[0].enter: there is no signal load",
    ),
    (
        "cpu < 70%",
        "cpu > 70%",
        "6:9: levels.level[0].leave: is met while enter is, at cpu = 1.0000",
    ),
    (
        "cpu < 70%",
        "lateness(x) < 70%",
        "6:9: levels.level[0].leave: there is no class x",
    ),
    (
        "20s",
        "20ms",
        "7:14: levels.level[0].least_stay: must be 1s or more",
    ),
    (
        "0.2",
        "-0.2",
        "8:11: levels.level[0].retries: must lie in 0..=1",
    ),
    (
        "recheck = 0.3",
        "recheck = 3",
        "10:11: levels.level[0].turn_away.recheck: must lie in 0..=1",
    ),
    (
        "recheck = 0.3",
        "rechek = 0.3",
        "10:10: levels.level[0].turn_away.rechek: there is no class rechek",
    ),
    (
        "leave = \"cpu < 70%\"\n",
        "",
        "3:1: levels.level[0].leave: is missing",
    ),
];

#[test]
fn every_problem_is_reported_with_its_place() {
    for (from, to, expected) in PROBLEMS {
        let problems = check(&VALID.replacen(from, to, 1)).expect_err(expected);
        assert!(
            problems.iter().any(|p| p.starts_with(expected)),
            "{expected}: {problems:?}"
        );
    }
    let blind = VALID
        .replace("cpu < 70%", "cpu < 70% and lateness(recheck) < 10%")
        .replace("0.3", "1.0");
    let problems = check(&blind).expect_err("it can't measure recovery");
    assert!(problems[0].contains("let a part through"), "{problems:?}");
}

/// Accepted without an effect, they would mislead.
#[test]
fn unsupported_effects_are_rejected_by_name() {
    for key in ["second_copies = false", "traces = false", "watch = 2.0"] {
        let text = VALID.replace("retries = 0.2", key);
        let problems = check(&text).expect_err("it has no effect");
        let name = key.split(' ').next().expect("a name");
        assert!(
            problems.len() == 1 && problems[0].contains(name),
            "{problems:?}"
        );
    }
}
