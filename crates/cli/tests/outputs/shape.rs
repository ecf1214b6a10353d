//! JSON values compared field by field with a literal.

use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The scalars at each path, and what is empty. All entries of a list have one path, which ends with `[]`.
fn leaves<'v>(value: &'v Value, at: &str, all: &mut BTreeMap<String, Vec<&'v Value>>) {
    match value {
        Value::Object(fields) if !fields.is_empty() => {
            for (name, field) in fields {
                let path = if at.is_empty() {
                    name.clone()
                } else {
                    format!("{at}.{name}")
                };
                leaves(field, &path, all);
            }
        }
        Value::Array(entries) if !entries.is_empty() => {
            entries
                .iter()
                .for_each(|entry| leaves(entry, &format!("{at}[]"), all));
        }
        leaf => all.entry(at.to_string()).or_default().push(leaf),
    }
}

/// Whether a value is as it is described: `whole`, `fraction`, `text`, `address`, or exact JSON.
fn is_described(value: &Value, description: &str) -> bool {
    match description {
        "whole" => value.is_u64() || value.is_i64(),
        "fraction" => value.is_f64(),
        "text" => value.is_string(),
        "address" => value
            .as_str()
            .is_some_and(|text| text.parse::<SocketAddr>().is_ok()),
        exact => {
            let text = value.to_string();
            text == exact
        }
    }
}

/// Compares a value with lines of `PATH DESCRIPTION`, or `PATH DESCRIPTION or DESCRIPTION` where it differs between
/// the entries of a list or from run to run. No path may be missing, and none may be there beside them.
#[track_caller]
pub fn assert_shape(value: &Value, expected: &str) {
    let mut actual = BTreeMap::new();
    leaves(value, "", &mut actual);
    let lines = expected
        .lines()
        .map(str::trim)
        .filter(|line| !line.is_empty());
    let expected: BTreeMap<&str, &str> = lines
        .map(|line| line.split_once(' ').expect("PATH DESCRIPTION"))
        .collect();
    let mut problems = Vec::new();
    for (path, values) in &actual {
        let Some(description) = expected.get(path.as_str()) else {
            problems.push(format!("{path} is not expected: {}", values[0]));
            continue;
        };
        let odd = values.iter().find(|value| {
            !description
                .split(" or ")
                .any(|one| is_described(value, one))
        });
        problems.extend(odd.map(|odd| format!("{path} is {odd} in place of {description}")));
    }
    let missing = expected.keys().filter(|path| !actual.contains_key(**path));
    problems.extend(missing.map(|path| format!("{path} is missing")));
    assert!(problems.is_empty(), "{}\nin {value:#}", problems.join("\n"));
}

#[test]
fn what_differs_is_found() {
    let value = serde_json::json!({"a": [{"b": 1, "c": "127.0.0.1:1"}, {"b": null, "c": "[::1]:2"}], "d": 0.5, "e": []});
    let sound = "a[].b whole or null\na[].c address\nd fraction\ne []\n";
    assert_shape(&value, sound);
    for (from, to) in [
        ("a[].b", "a[].x"),
        ("whole or null", "whole"),
        ("address", "\"127.0.0.1:1\""),
        ("fraction", "whole"),
        ("e []", "e [] \nf whole"),
        ("e []", ""),
    ] {
        let odd = sound.replace(from, to);
        let found = std::panic::catch_unwind(|| assert_shape(&value, &odd));
        assert!(found.is_err(), "{odd}");
    }
}
