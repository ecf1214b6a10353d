//! Operators see the texts of errors, and their tools may look for them.

use madderloom_control_plane::change::Layers;
use madderloom_control_plane::settings::{Key, Value, check_name};
use madderloom_control_plane::{Error, Fleet, Record, Rules, Time};
use std::error::Error as _;

fn of_name(name: &str) -> String {
    check_name(name).expect_err(name).to_string()
}

fn of_key(key: &str) -> Error {
    key.parse::<Key>().expect_err(key)
}

fn of_record(key: &str, record: Record) -> Error {
    let records = [(key.to_string(), record)];
    Fleet::restore(Rules::default(), Time::default(), 0, records).expect_err(key)
}

#[test]
fn of_names() {
    assert_eq!(of_name(""), "is empty");
    assert_eq!(
        of_name(&"a".repeat(129)),
        "has 129 bytes; a name has 128 at most"
    );
    assert_eq!(
        of_name("a b"),
        "holds ' '; a name has letters, digits and . _ : - alone"
    );
}

#[test]
fn of_keys_with_their_source() {
    let error = of_key("weight/");
    assert_eq!(error.to_string(), r#""weight/": "" is empty"#);
    assert_eq!(
        error.source().map(ToString::to_string).as_deref(),
        Some("is empty")
    );
    assert_eq!(
        of_key("fleet/orders/rate").to_string(),
        r#""fleet/orders/rate": a fleet limit has requests_per_second, burst and open, and no "rate""#
    );
    assert_eq!(
        of_key("weights/w7").to_string(),
        r#""weights/w7" is no setting; there are weight/SERVER, drain/SERVER, limit/SERVICE/LIMIT, route/NAME, log_level, "#
            .to_string()
            + "fleet/LIMIT/FIGURE"
    );
}

#[test]
fn of_values() {
    let of = |key: &str, value: Value| {
        let key: Key = key.parse().expect("a key");
        value
            .validate(&key)
            .expect_err("a value of another kind")
            .to_string()
    };
    let flag = Value::Drained(true);
    assert_eq!(
        of("weight/w7", Value::Weight(100_001)),
        "a weight is from 0 to 100"
    );
    assert_eq!(
        of("weight/w7", flag.clone()),
        "must be a weight from 0 to 100"
    );
    assert_eq!(of("drain/w7", Value::Limit(1)), "must be true or false");
    assert_eq!(of("limit/s/open", flag.clone()), "must be a whole number");
    assert_eq!(of("fleet/l/open", flag.clone()), "must be a whole number");
    assert_eq!(of("route/r", flag.clone()), "must be the text of a route");
    assert_eq!(
        of("route/r", Value::Route("x".repeat(4_097))),
        "has 4097 bytes; a route has 4096 at most"
    );
    assert_eq!(
        of("log_level", flag),
        "must be off, error, warn, info, debug or trace"
    );
}

#[test]
fn of_undoing_and_of_records_with_their_source() {
    let error = Layers::default()
        .undoable("c1")
        .expect_err("nothing is in effect");
    assert_eq!(error.to_string(), "no change c1 is in effect");
    let target = || {
        let text = r#"{"target": {"wave": 0, "step": "pending", "back": null, "before": {}}}"#;
        serde_json::from_str::<Record>(text).expect("a record")
    };
    assert_eq!(
        of_record("target", target()).to_string(),
        "target: is no key of a target"
    );
    let error = of_record("target/x/i1", target());
    assert_eq!(error.to_string(), "target/x/i1: holds no revision");
    assert_eq!(
        error.source().map(ToString::to_string).as_deref(),
        Some("invalid digit found in string")
    );
    let member = r#"{"member": {"start": 1, "incarnation": 1, "traits": {}}}"#;
    let member = serde_json::from_str::<Record>(member).expect("a record");
    assert_eq!(
        of_record("members/i1", member).to_string(),
        "members/i1: is no key of a member"
    );
}
