//! An overlay is checked together with its operator file, and its problems are reported by the name of the setting.

use madderloom_control_plane::settings::{Key, Overlay, Value};
use madderloom_operator_config::{OperatorConfig, Source};
use std::collections::BTreeMap;

const FILE: &str = r#"
version = 1
[control]
agent = "127.0.0.1:7070"
name = "shop-1"
state = "kept"
keys = { authority = "authority.pem", certificate = "shop-any.pem", key = "shop-any.key" }

[[listeners]]
name = "front"
address = "127.0.0.1:0"

[[pools]]
name = "a"
servers = [{ name = "s1", address = "127.0.0.1:6001" }]
settings_file = "site.json"
[pools.limits]
open = { most = 50 }

[[routes]]
name = "all"
path_prefix = "/view"
pool = "a"
"#;

const SITE: &str = r#"{"group_size": 1, "my_zone": 0, "period": 5000, "discovery": "automatic",
    "services": [{"name": "view", "effect": "safe", "on_time": 400000, "give_up": 1200000, "worth": 1}],
    "limits": {"cancel": true, "max_attempts": 3, "retry_after": true, "max_retry_after": 2000000},
    "safety": {"cold": 8400000, "cold_from": 0.31, "fall": 2000000}}"#;

fn source() -> (tempfile::TempDir, Source, OperatorConfig) {
    let directory = tempfile::TempDir::new().expect("a directory");
    std::fs::write(directory.path().join("site.json"), SITE).expect("written");
    std::fs::write(directory.path().join("operator.toml"), FILE).expect("written");
    let (source, operator) =
        Source::load(&directory.path().join("operator.toml")).expect("a valid file");
    (directory, source, operator)
}

fn overlay(settings: &[(&str, Value)]) -> Overlay {
    let settings = settings
        .iter()
        .map(|(key, value)| (key.parse::<Key>().expect("a key"), value.clone()));
    Overlay(settings.collect::<BTreeMap<_, _>>())
}

fn route(text: &str) -> Value {
    Value::Route(text.into())
}

#[test]
fn an_overlay_changes_limits_and_routes_of_the_file() {
    let (directory, source, unchanged) = source();
    // Later changes on disk have no effect: an overlay is applied to the file as it was read.
    std::fs::write(directory.path().join("site.json"), "{}").expect("written");
    let settings = overlay(&[
        ("limit/a/open", Value::Limit(7)),
        ("limit/a/requests_per_second", Value::Limit(100)),
        ("limit/a/bodies.most", Value::Limit(1 << 20)),
        (
            "route/all",
            route("path_prefix = \"/view/old\"\npool = \"a\""),
        ),
        (
            "route/more",
            route("path = \"/view/new\"\nmethods = [\"GET\"]\npool = \"a\""),
        ),
        ("weight/s1", Value::Weight(500)),
        ("drain/s1", Value::Drained(true)),
    ]);
    let operator = source.apply(&settings).expect("a valid file");
    let limits = operator.pools[0].limits;
    assert_eq!(
        (limits.open.max, limits.bodies.max),
        (Some(7), Some(1 << 20))
    );
    assert_eq!(
        limits.rate.map(|r| (r.per_second, r.burst)),
        Some((100.0, 10))
    );
    let names: Vec<&str> = operator.routes.iter().map(|r| r.name.as_str()).collect();
    assert_eq!(names, ["all", "more"]);
    assert_ne!(operator.routes[0].path, unchanged.routes[0].path);
    // Everything else comes from the file, and an empty overlay changes nothing.
    assert_eq!(
        (&operator.listeners, &operator.control),
        (&unchanged.listeners, &unchanged.control)
    );
    assert_eq!(source.apply(&overlay(&[])), Ok(unchanged));
}

#[test]
fn an_invalid_setting_is_rejected_by_its_name() {
    let (_directory, source, _) = source();
    for (key, value, field, words) in [
        (
            "limit/b/open.most",
            Value::Limit(1),
            "set.limit/b/open.most",
            "there is no pool b; there are a",
        ),
        ("limit/a/opne", Value::Limit(1), "set.limit/a/opne", "open"),
        (
            "limit/a/open.most",
            Value::Limit(0),
            "set.limit/a/open.most",
            "at least 1",
        ),
        (
            "limit/a/weight",
            Value::Limit(2_000),
            "set.limit/a/weight",
            "1 to 1000",
        ),
        (
            "limit/a/weight",
            Value::Limit(u64::MAX),
            "set.limit/a/weight",
            "too much",
        ),
        (
            "limit/a/open.most.more",
            Value::Limit(1),
            "set.limit/a/open.most.more",
            "nothing below it",
        ),
        ("route/x", route("path = [\n"), "set.route/x", "no TOML"),
        (
            "route/x",
            route("path = \"/view/y\"\npool = \"z\""),
            "set.route/x.pool",
            "there is no z",
        ),
        (
            "route/x",
            route("name = \"y\"\npool = \"a\""),
            "set.route/x",
            "another name",
        ),
        (
            "route/x",
            route("path_prefix = \"/view\"\npool = \"a\""),
            "set.route/x.name",
            "clashes with all",
        ),
        (
            "route/x",
            route("pool = \"a\"\n[[pools]]\nname = \"b\""),
            "set.route/x.pools",
            "not known",
        ),
    ] {
        let problem = source.apply(&overlay(&[(key, value)])).expect_err(key);
        assert_eq!(problem.field, field, "{problem}");
        assert!(problem.problem.contains(words), "{problem}");
    }
}

#[test]
fn the_control_section_is_checked_and_its_paths_are_relative_to_the_file() {
    let (directory, _, operator) = source();
    let control = operator.control.expect("a control section");
    assert_eq!(control.state, Some(directory.path().join("kept")));
    assert_eq!(control.key, directory.path().join("shop-any.key"));
    let read = |_: &str| Ok(SITE.to_string());
    for (from, to, field) in [
        ("127.0.0.1:7070", "127.0.0.1", "control.agent"),
        ("name = \"shop-1\"", "", "control.name"),
        ("shop-1", "shop 1", "control.name"),
        ("state = ", "zone = \"no zone\"\nstate = ", "control.zone"),
        ("shop-any.pem", "", "control.keys.certificate"),
    ] {
        let problems = OperatorConfig::parse(&FILE.replace(from, to), &read).expect_err(field);
        assert!(
            problems.iter().any(|p| p.field == field),
            "{field}: {problems:?}"
        );
    }
    // The name defaults to that of the process.
    let named = FILE
        .replace("name = \"shop-1\"\n", "")
        .replace("[control]", "[process]\nname = \"shop-2\"\n[control]");
    let operator = OperatorConfig::parse(&named, &read).expect("a valid file");
    assert_eq!(operator.control.map(|c| c.name), Some("shop-2".to_string()));
}
