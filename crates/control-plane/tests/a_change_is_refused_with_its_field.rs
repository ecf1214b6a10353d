//! Changes as documents: the file, the checks, fingerprints, layers and differences.

use madderloom_control_plane::change::{
    Change, Layer, Layers, MOST_NAMES, Policy, Selector, Share, Then, Traits, What,
};
use madderloom_control_plane::file;
use madderloom_control_plane::settings::{Edits, Key, LogLevel, Overlay, Value};
use proptest::prelude::*;

const FILE: &str = r#"
version = 1
id = "slow-w7"
base = 41
note = "w7 answers late"

[select]
names = ["shop-*"]
zones = ["north"]

[rollout]
waves = [1, "10%"]
at_once = 5
pause = "20s"
failures = 2
then = "stop"

[rollout.gate]
worse = "0.5%"

[set]
"weight/w7.north" = 0.2
"drain/w9" = true
"limit/reports/open" = 200
"log_level" = "debug"
"route/viewer" = "file"
"#;

#[test]
fn a_file_is_read_as_it_is_meant() {
    let change = file::read(FILE, None).expect("sound");
    assert_eq!((change.id.as_str(), change.base), ("slow-w7", 41));
    assert_eq!(change.rollout.waves, [Share::Count(1), Share::Percent(10)]);
    assert_eq!(
        (change.rollout.pause, change.rollout.then),
        (20_000_000, Then::Stop)
    );
    assert_eq!(change.rollout.gate.map(|gate| gate.worse), Some(5));
    let What::Set(edits) = &change.what else {
        panic!("it sets")
    };
    assert_eq!(
        edits[&Key::Weight("w7.north".into())],
        Some(Value::Weight(200))
    );
    assert_eq!(edits[&Key::Route("viewer".into())], None);
    assert_eq!(edits[&Key::LogLevel], Some(Value::Level(LogLevel::Debug)));
    let text = serde_json::to_string(&change).expect("JSON");
    assert_eq!(
        serde_json::from_str::<Change>(&text).expect("the same"),
        change
    );
}

#[test]
fn every_problem_names_its_field() {
    let told = |from: &str, to: &str| -> Vec<String> {
        let text = FILE.replace(from, to);
        assert_ne!(text, FILE, "{from} is there");
        let problems = file::read(&text, None).expect_err(to);
        problems
            .iter()
            .map(|problem| format!("{}: {}", problem.field, problem.problem))
            .collect()
    };
    let begins = |told: Vec<String>, begin: &str| {
        assert!(told[0].starts_with(begin), "{told:?} is not {begin}")
    };
    begins(
        told("id = \"slow-w7\"", "id = \"slow w7\""),
        "id: holds ' '",
    );
    begins(told("base = 41", ""), "base: is missing");
    begins(
        told("at_once = 5", "at_once = 0"),
        "rollout.at_once: must be at least 1",
    );
    begins(
        told("\"10%\"", "\"ten\""),
        "rollout.waves[1]: \"ten\" is no wave",
    );
    begins(told("\"10%\"", "\"110%\""), "rollout.waves[1]: must be");
    begins(
        told("\"0.5%\"", "\"half\""),
        "rollout.gate.worse: \"half\" is no share",
    );
    begins(told("true", "1"), "set.drain/w9: must be true or false");
    begins(
        told("= 200", "= -1"),
        "set.limit/reports/open: is not negative",
    );
    begins(
        told("log_level", "log_levle"),
        "set: \"log_levle\" is no setting; there are",
    );
    begins(
        told("[select]", "[selcet]"),
        "selcet: is not known; did you mean select?",
    );
    begins(
        told("zones = [\"north\"]", "zones = [\"a b\"]"),
        "select.zones[0]: holds ' '",
    );
}

/// A change may name each instance of a large fleet, and there is a bound that is told.
#[test]
fn a_change_names_4_096_instances_and_no_more() {
    let named = |count: usize| {
        let names: Vec<String> = (0..count)
            .map(|number| format!("\"shop-{number}\""))
            .collect();
        file::read(&FILE.replace("\"shop-*\"", &names.join(", ")), None)
    };
    let change = named(MOST_NAMES).expect("sound");
    assert!(change.select.names.len() == 4_096 && change.check().is_empty());
    let all = Traits {
        zone: "north".into(),
        ..Traits::default()
    };
    assert!(change.select.matches("shop-4095", &all) && !change.select.matches("shop-4096", &all));
    let fields: Vec<String> = match named(MOST_NAMES + 1) {
        Ok(change) => change
            .check()
            .into_iter()
            .map(|problem| problem.field)
            .collect(),
        Err(problems) => problems.into_iter().map(|problem| problem.field).collect(),
    };
    assert_eq!(fields, ["select.names"]);
}

#[test]
fn a_difference_tells_people_what_changed() {
    let mut former = Overlay::default();
    former
        .0
        .insert(Key::Weight("w7".into()), Value::Weight(1_000));
    former
        .0
        .insert(Key::Drain("w9".into()), Value::Drained(true));
    let mut later = former.clone();
    later.apply(&Edits::from([
        (Key::Weight("w7".into()), Some(Value::Weight(200))),
        (Key::Drain("w9".into()), None),
    ]));
    assert_eq!(
        former.diff(&later),
        ["weight/w7: 1 -> 0.2", "drain/w9: true -> -"]
    );
    assert_ne!(former.fingerprint(), later.fingerprint());
}

fn layer(revision: u64, select: Selector, server: &str, weight: u32) -> Layer {
    let edits = Edits::from([(Key::Weight(server.into()), Some(Value::Weight(weight)))]);
    Layer {
        revision,
        id: format!("c{revision}"),
        select,
        edits,
    }
}

#[test]
fn undoing_one_change_leaves_those_over_and_under_it() {
    let mut layers = Layers::default();
    for (revision, weight) in [(1, 100), (2, 200), (3, 300)] {
        layers.add(layer(revision, Selector::default(), "w", weight));
    }
    let weight = |layers: &Layers| {
        layers
            .overlay("a", &Traits::default())
            .0
            .0
            .into_values()
            .next()
    };
    assert_eq!(weight(&layers), Some(Value::Weight(300)));
    assert_eq!(weight(&layers.without("c2")), Some(Value::Weight(300)));
    assert_eq!(weight(&layers.without("c3")), Some(Value::Weight(200)));
}

fn any_selector() -> impl Strategy<Value = Selector> {
    prop_oneof![
        Just(Selector::default()),
        Just(Selector::named(["a".to_string()])),
        Just(Selector {
            names: vec!["b*".into()],
            ..Selector::default()
        }),
    ]
}

proptest! {
    /// Layers that are dropped for showing nowhere never showed, also not after the undoing of one that can be.
    #[test]
    fn dropping_hidden_layers_changes_nothing(
        made in proptest::collection::vec((any_selector(), 0usize..3, 0u32..5), 0..90),
        undone in proptest::collection::vec(0usize..32, 0..3),
    ) {
        let (mut kept, mut all) = (Layers::default(), Layers::default());
        for (revision, (select, server, weight)) in made.into_iter().enumerate() {
            let layer = layer(revision as u64, select, ["w1", "w2", "w3"][server], weight);
            kept.add(layer.clone());
            all.0.push(layer);
        }
        prop_assert!(kept.0.len() <= 32 + 9, "{} layers", kept.0.len());
        for back in undone {
            let Some(id) = all.0.iter().rev().nth(back).map(|layer| layer.id.clone()) else { continue };
            if kept.undoable(&id).is_ok() {
                (kept, all) = (kept.without(&id), all.without(&id));
            }
        }
        for name in ["a", "b1", "c"] {
            let traits = Traits::default();
            prop_assert_eq!(kept.overlay(name, &traits).0, all.overlay(name, &traits).0);
        }
    }

    #[test]
    fn no_text_is_too_odd(text in "\\PC{0,40}", key in "[a-z_/]{0,24}") {
        let _ = file::read(&text, Some(1));
        let _ = file::read(&format!("version = 1\nid = \"x\"\n[set]\n\"{key}\" = 1\n"), Some(1));
    }

    #[test]
    fn waves_end_with_all_or_fewer(count in 0usize..3_000, percent in 1u32..101, many in 1u32..4_000) {
        prop_assert!(Share::Percent(percent).of(count) <= count);
        prop_assert!(Share::Count(many).of(count) <= count);
        prop_assert!(count == 0 || Share::Percent(percent).of(count) >= 1);
    }
}

#[test]
fn the_usual_policy_is_sound() {
    let set = Edits::from([(Key::LogLevel, Some(Value::Level(LogLevel::Info)))]);
    let change = Change {
        id: "c".into(),
        base: 0,
        note: String::new(),
        select: Selector::default(),
        rollout: Policy::default(),
        what: What::Set(set),
    };
    assert_eq!(change.check(), []);
}
