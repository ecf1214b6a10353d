//! Levels in a file: what is refused, and where.

use madderloom_config_reader::{Document, Problem};
use madderloom_degradation::section::{Checked, ClassFacts, Section, built_in};
use serde::Deserialize;

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct File {
    levels: Section,
}

fn classes() -> Vec<ClassFacts> {
    let class = |name: &str, repeatable| ClassFacts {
        name: name.to_string(),
        repeatable,
    };
    vec![class("submit-check", false), class("recheck", true)]
}

fn check(text: &str) -> Result<Checked, Vec<String>> {
    let read = Document::read::<File>(text).and_then(|(mut document, file)| {
        let checked = file.levels.check(&mut document, "levels", &classes());
        document.finish(checked)
    });
    read.map_err(|problems| problems.iter().map(Problem::to_string).collect())
}

const SOUND: &str = "[levels]\nbuilt_in = true\n[[levels.level]]\nname = \"night\"\nenter = \"cpu > 90% for 5s\"\n\
    leave = \"cpu < 70%\"\nleast_stay = \"20s\"\nretries = 0.2\n[levels.level.turn_away]\nrecheck = 0.3\n";

#[test]
fn a_sound_section_stands_behind_the_levels_that_are_built_in() {
    let checked = check(SOUND).expect("it is sound");
    let names: Vec<&str> = checked
        .levels
        .iter()
        .map(|level| level.name.as_str())
        .collect();
    assert_eq!(names, ["lean", "reduced", "essential", "recovery", "night"]);
    assert_eq!(checked.levels[4].effects.turn_away["recheck"], 0.3);
    // A way down a stay at the most, of 5 s each, and five ways up between two of them.
    assert!(
        (5..=6 * 121 + 5).contains(&checked.changes_in_ten_minutes),
        "{}",
        checked.changes_in_ten_minutes
    );
    assert_eq!(
        built_in(&classes()[1..])[2].effects.turn_away.len(),
        0,
        "nothing goes before what is alike"
    );
}

#[test]
fn every_nonsense_is_told_with_its_place() {
    for (from, to, told) in [
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
    ] {
        let problems = check(&SOUND.replacen(from, to, 1)).expect_err(told);
        assert!(
            problems.iter().any(|p| p.starts_with(told)),
            "{told}: {problems:?}"
        );
    }
    let blind = SOUND
        .replace("cpu < 70%", "cpu < 70% and lateness(recheck) < 10%")
        .replace("0.3", "1.0");
    let problems = check(&blind).expect_err("it can't see");
    assert!(problems[0].contains("let a part through"), "{problems:?}");
}

/// Read and of no effect, they would promise what nothing keeps.
#[test]
fn what_no_level_can_do_is_refused_with_its_name() {
    for key in ["second_copies = false", "traces = false", "watch = 2.0"] {
        let text = SOUND.replace("retries = 0.2", key);
        let problems = check(&text).expect_err("it does nothing");
        let name = key.split(' ').next().expect("a name");
        assert!(
            problems.len() == 1 && problems[0].contains(name),
            "{problems:?}"
        );
    }
}
