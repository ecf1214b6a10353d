//! Lists of servers as literal JSON: those that discovery and a configuration write, and those that instances share.

use super::{ListUpdate, Pool, Row, ServerOverrides};

const ZONES: [&str; 2] = ["north", "south"];
const KINDS: [&str; 2] = ["fast", "old"];

const LISTING: &str = r#"{
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

fn take_in(pool: &Pool, listing: &str) {
    let listing: ListUpdate = serde_json::from_str(listing).expect("a list");
    pool.take_in(
        listing,
        &ServerOverrides::default(),
        (1_800_000_000_000_000, 0),
    );
}

#[test]
fn a_list_of_discovery_is_read_and_shared_as_it_stands() {
    let pool = pool();
    take_in(&pool, LISTING);
    assert_eq!(pool.shared_text(), SHARED);
    let changes = r#"{"index": 8, "snapshot": false, "endpoints": [
        {"name": "a", "address": "10.0.0.1:5000", "status": "terminated"},
        {"name": "c", "address": "10.0.0.3:5000", "status": "in_service"}]}"#;
    take_in(&pool, changes);
    let shared = pool.shared_text();
    assert!(
        shared.ends_with(r#"["c","10.0.0.3:5000","","",0,"in_service",1.0,0]]"#),
        "{shared}"
    );
}

#[test]
fn a_shared_list_is_read_as_it_is_written() {
    for text in [
        SHARED,
        "[]",
        r#"[["c","10.0.0.3:5000","","",0,"terminated",1.0,0]]"#,
    ] {
        let rows: Vec<Row> = serde_json::from_str(text).expect("a list");
        assert_eq!(serde_json::to_string(&rows).expect("JSON"), text);
    }
    for odd in [
        r#"[["c","10.0.0.3:5000","","",0,"in_service",1.0]]"#,
        r#"[["c","10.0.0.3","","",0,"in_service",1.0,0]]"#,
        r#"[["c","10.0.0.3:5000","","",0,"odd",1.0,0]]"#,
    ] {
        assert!(serde_json::from_str::<Vec<Row>>(odd).is_err(), "{odd}");
    }
}

#[test]
fn each_key_of_a_list_that_is_missing_is_told() {
    for (key, problem) in [
        ("index", "missing field `index`"),
        ("snapshot", "missing field `snapshot`"),
        ("endpoints", "missing field `endpoints`"),
        ("name", "missing field `name`"),
        ("address", "missing field `address`"),
        ("status", "missing field `status`"),
    ] {
        let text = LISTING.replacen(&format!("\"{key}\""), "\"odd\"", 1);
        let told = serde_json::from_str::<ListUpdate>(&text)
            .err()
            .expect("a problem")
            .to_string();
        assert!(told.starts_with(problem), "{told}");
    }
    let text = LISTING.replacen("in_service", "odd", 1);
    let told = serde_json::from_str::<ListUpdate>(&text)
        .err()
        .expect("a problem")
        .to_string();
    let expected =
        "unknown variant `odd`, expected one of `in_service`, `terminating`, `terminated`";
    assert!(told.starts_with(expected), "{told}");
}

#[test]
fn each_key_of_a_server_that_may_be_left_out_has_its_usual_value() {
    for (key, usual) in [
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
        take_in(
            &pool,
            &LISTING.replacen(&format!("\"{key}\""), "\"odd\"", 1),
        );
        let shared = pool.shared_text();
        assert!(shared.starts_with(usual), "{key}: {shared}");
    }
}
