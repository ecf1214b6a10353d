//! Literal JSON of endpoint lists: those from discovery or a configuration, and those that instances share.

use super::{ListUpdate, Pool, ServerOverrides, SharedServer};

const ZONES: [&str; 2] = ["north", "south"];
const KINDS: [&str; 2] = ["fast", "old"];

const FULL_LIST: &str = r#"{
    "index": 7,
    "snapshot": true,
    "endpoints": [
        {
            "name": "a",
            "address": "10.0.0.1:5000",
            "zone": "south",
            "type": "old",
            "group": 3,
            "status": "in_service",
            "weight": 2.5,
            "since_ms": 1700000000000
        },
        {"name": "b", "address": "[::1]:5000", "status": "terminating"}
    ]
}"#;

const SHARED: &str = concat!(
    r#"[["a","10.0.0.1:5000","south","old",3,"in_service",2.5,1700000000000],"#,
    r#"["b","[::1]:5000","","",0,"terminating",1.0,0]]"#
);

fn pool() -> Pool {
    let names = |names: [&str; 2]| names.map(str::to_string).to_vec();
    Pool::new(None, names(ZONES), names(KINDS), 0)
}

fn merge(pool: &Pool, update: &str) {
    let update: ListUpdate = serde_json::from_str(update).expect("a list");
    pool.merge(
        update,
        &ServerOverrides::default(),
        (1_800_000_000_000_000, 0),
    );
}

#[test]
fn a_list_from_discovery_is_shared_unchanged() {
    let pool = pool();
    merge(&pool, FULL_LIST);
    assert_eq!(pool.shared_text(), SHARED);
    let changes = r#"{"index": 8, "snapshot": false, "endpoints": [
        {"name": "a", "address": "10.0.0.1:5000", "status": "terminated"},
        {"name": "c", "address": "10.0.0.3:5000", "status": "in_service"}]}"#;
    merge(&pool, changes);
    let shared = pool.shared_text();
    assert!(
        shared.ends_with(r#"["c","10.0.0.3:5000","","",0,"in_service",1.0,0]]"#),
        "{shared}"
    );
}

#[test]
fn a_shared_list_is_read_and_written_unchanged() {
    for text in [
        SHARED,
        "[]",
        r#"[["c","10.0.0.3:5000","","",0,"terminated",1.0,0]]"#,
    ] {
        let servers: Vec<SharedServer> = serde_json::from_str(text).expect("a list");
        assert_eq!(serde_json::to_string(&servers).expect("JSON"), text);
    }
    for invalid in [
        r#"[["c","10.0.0.3:5000","","",0,"in_service",1.0]]"#,
        r#"[["c","10.0.0.3","","",0,"in_service",1.0,0]]"#,
        r#"[["c","10.0.0.3:5000","","",0,"odd",1.0,0]]"#,
    ] {
        assert!(
            serde_json::from_str::<Vec<SharedServer>>(invalid).is_err(),
            "{invalid}"
        );
    }
}

#[test]
fn the_error_for_a_missing_key_names_the_key() {
    for (key, expected) in [
        ("index", "missing field `index`"),
        ("snapshot", "missing field `snapshot`"),
        ("endpoints", "missing field `endpoints`"),
        ("name", "missing field `name`"),
        ("address", "missing field `address`"),
        ("status", "missing field `status`"),
    ] {
        let text = FULL_LIST.replacen(&format!("\"{key}\""), "\"odd\"", 1);
        let error = serde_json::from_str::<ListUpdate>(&text)
            .err()
            .expect("an error")
            .to_string();
        assert!(error.starts_with(expected), "{error}");
    }
    let text = FULL_LIST.replacen("in_service", "odd", 1);
    let error = serde_json::from_str::<ListUpdate>(&text)
        .err()
        .expect("an error")
        .to_string();
    let expected =
        "unknown variant `odd`, expected one of `in_service`, `terminating`, `terminated`";
    assert!(error.starts_with(expected), "{error}");
}

#[test]
fn each_optional_key_of_a_server_has_its_default() {
    for (key, expected) in [
        (
            "zone",
            r#"[["a","10.0.0.1:5000","","old",3,"in_service",2.5,1700000000000],"#,
        ),
        (
            "type",
            r#"[["a","10.0.0.1:5000","south","",3,"in_service",2.5,1700000000000],"#,
        ),
        (
            "group",
            r#"[["a","10.0.0.1:5000","south","old",0,"in_service",2.5,1700000000000],"#,
        ),
        (
            "weight",
            r#"[["a","10.0.0.1:5000","south","old",3,"in_service",1.0,1700000000000],"#,
        ),
        (
            "since_ms",
            r#"[["a","10.0.0.1:5000","south","old",3,"in_service",2.5,0],"#,
        ),
    ] {
        let pool = pool();
        merge(
            &pool,
            &FULL_LIST.replacen(&format!("\"{key}\""), "\"odd\"", 1),
        );
        let shared = pool.shared_text();
        assert!(shared.starts_with(expected), "{key}: {shared}");
    }
}
