//! Changes as documents: the file, the checks, fingerprints, layers and differences.

use madderloom_control_plane::bounds::MAX_SELECTED_NAMES;
use madderloom_control_plane::change::{Change, Operation};
use madderloom_control_plane::change_file;
use madderloom_control_plane::layers::{Layer, Layers};
use madderloom_control_plane::policy::{FailureAction, RolloutPolicy, StageSize};
use madderloom_control_plane::selector::{Attributes, Selector};
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
fn a_change_file_is_read_into_its_change() {
    let change = change_file::read(FILE, None).expect("valid");
    assert_eq!((change.id.as_str(), change.base), ("slow-w7", 41));
    assert_eq!(
        change.rollout.stages,
        [StageSize::Count(1), StageSize::Percent(10)]
    );
    assert_eq!(
        (change.rollout.stage_pause, change.rollout.on_failure),
        (20_000_000, FailureAction::Stop)
    );
    assert_eq!(
        change
            .rollout
            .gate
            .map(|gate| gate.max_increase_thousandths),
        Some(5)
    );
    let Operation::Set(edits) = &change.operation else {
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
    let problems_after = |from: &str, to: &str| -> Vec<String> {
        let text = FILE.replace(from, to);
        assert_ne!(text, FILE, "{from} is there");
        let problems = change_file::read(&text, None).expect_err(to);
        problems
            .iter()
            .map(|problem| format!("{}: {}", problem.field, problem.problem))
            .collect()
    };
    let assert_first_begins = |problems: Vec<String>, begin: &str| {
        assert!(
            problems[0].starts_with(begin),
            "{problems:?} is not {begin}"
        )
    };
    assert_first_begins(
        problems_after("id = \"slow-w7\"", "id = \"slow w7\""),
        "id: holds ' '",
    );
    assert_first_begins(problems_after("base = 41", ""), "base: is missing");
    assert_first_begins(
        problems_after("at_once = 5", "at_once = 0"),
        "rollout.at_once: must be at least 1",
    );
    assert_first_begins(
        problems_after("\"10%\"", "\"ten\""),
        "rollout.waves[1]: \"ten\" is no wave",
    );
    assert_first_begins(
        problems_after("\"10%\"", "\"110%\""),
        "rollout.waves[1]: must be",
    );
    assert_first_begins(
        problems_after("\"0.5%\"", "\"half\""),
        "rollout.gate.worse: \"half\" is no share",
    );
    assert_first_begins(
        problems_after("true", "1"),
        "set.drain/w9: must be true or false",
    );
    assert_first_begins(
        problems_after("= 200", "= -1"),
        "set.limit/reports/open: is not negative",
    );
    assert_first_begins(
        problems_after("log_level", "log_levle"),
        "set: \"log_levle\" is no setting; there are",
    );
    assert_first_begins(
        problems_after("[select]", "[selcet]"),
        "selcet: is not known; did you mean select?",
    );
    assert_first_begins(
        problems_after("zones = [\"north\"]", "zones = [\"a b\"]"),
        "select.zones[0]: holds ' '",
    );
}

/// A change may name each instance of a large fleet, up to a bound that the error names.
#[test]
fn a_change_names_4_096_instances_and_no_more() {
    let named = |count: usize| {
        let names: Vec<String> = (0..count)
            .map(|number| format!("\"shop-{number}\""))
            .collect();
        change_file::read(&FILE.replace("\"shop-*\"", &names.join(", ")), None)
    };
    let change = named(MAX_SELECTED_NAMES).expect("valid");
    assert!(change.select.names.len() == 4_096 && change.check().is_empty());
    let all = Attributes {
        zone: "north".into(),
        ..Attributes::default()
    };
    assert!(change.select.matches("shop-4095", &all) && !change.select.matches("shop-4096", &all));
    let fields: Vec<String> = match named(MAX_SELECTED_NAMES + 1) {
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
fn a_difference_has_one_line_for_each_setting() {
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
fn undoing_one_change_leaves_those_above_and_below_it() {
    let mut layers = Layers::default();
    for (revision, weight) in [(1, 100), (2, 200), (3, 300)] {
        layers.add(layer(revision, Selector::default(), "w", weight));
    }
    let weight = |layers: &Layers| {
        layers
            .overlay("a", &Attributes::default())
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
    /// Layers that are dropped because later ones hide them had no effect, also after any undo that is still possible.
    #[test]
    fn dropping_hidden_layers_changes_nothing(
        layers in proptest::collection::vec((any_selector(), 0usize..3, 0u32..5), 0..90),
        undos in proptest::collection::vec(0usize..32, 0..3),
    ) {
        let (mut merged, mut all) = (Layers::default(), Layers::default());
        for (revision, (select, server, weight)) in layers.into_iter().enumerate() {
            let layer = layer(revision as u64, select, ["w1", "w2", "w3"][server], weight);
            merged.add(layer.clone());
            all.0.push(layer);
        }
        prop_assert!(merged.0.len() <= 32 + 9, "{} layers", merged.0.len());
        for back in undos {
            let Some(id) = all.0.iter().rev().nth(back).map(|layer| layer.id.clone()) else { continue };
            if merged.undoable(&id).is_ok() {
                (merged, all) = (merged.without(&id), all.without(&id));
            }
        }
        for name in ["a", "b1", "c"] {
            let attributes = Attributes::default();
            prop_assert_eq!(merged.overlay(name, &attributes).0, all.overlay(name, &attributes).0);
        }
    }

    #[test]
    fn any_text_is_read_without_a_panic(text in "\\PC{0,40}", key in "[a-z_/]{0,24}") {
        let _ = change_file::read(&text, Some(1));
        let _ = change_file::read(&format!("version = 1\nid = \"x\"\n[set]\n\"{key}\" = 1\n"), Some(1));
    }

    #[test]
    fn a_stage_has_no_more_instances_than_there_are(count in 0usize..3_000, percent in 1u32..101, many in 1u32..4_000) {
        prop_assert!(StageSize::Percent(percent).of(count) <= count);
        prop_assert!(StageSize::Count(many).of(count) <= count);
        prop_assert!(count == 0 || StageSize::Percent(percent).of(count) >= 1);
    }
}

#[test]
fn the_default_policy_is_valid() {
    let set = Edits::from([(Key::LogLevel, Some(Value::Level(LogLevel::Info)))]);
    let change = Change {
        id: "c".into(),
        base: 0,
        note: String::new(),
        select: Selector::default(),
        rollout: RolloutPolicy::default(),
        operation: Operation::Set(set),
    };
    assert_eq!(change.check(), []);
}
