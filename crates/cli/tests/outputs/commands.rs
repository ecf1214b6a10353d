//! `--output json` of the commands that ask nobody: `check`, `route explain`, `store` and `keys`.

use crate::rig::PATIENCE;
use crate::shape::assert_shape;
use crate::{text, told};
use madderloom_store::{Batch, Durability, Options, RealDisk, Store};
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::Instant;

fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_madderloom"));
    command
        .env_remove("RELAY_CONFIG")
        .args(arguments)
        .args(["--output", "json"])
        .output()
        .expect("it runs")
}

fn example(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name);
    path.canonicalize()
        .expect("it is there")
        .display()
        .to_string()
}

/// A file of a test's own.
fn written(name: &str, text: &str) -> (tempfile::TempDir, PathBuf) {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join(name);
    std::fs::write(&path, text).expect("it is written");
    (directory, path)
}

/// The exact text that a command tells, with the place of its file as `FILE`.
fn line(arguments: &[&str], file: &str, code: i32) -> String {
    let done = run(arguments);
    assert_eq!(done.status.code(), Some(code), "{}", text(&done.stderr));
    text(&done.stdout).replace(file, "FILE")
}

#[test]
fn check_tells_what_a_file_configures() {
    let sound = |summary: &str| {
        format!(
            r#"{{"file":"FILE","fleet_limits":[],"levels":[],"problems":[],"shared_lists":[],"summary":"{summary}"}}"#
        ) + "\n"
    };
    for (name, summary) in [
        (
            "try/config.json",
            "classes submit-check, recheck; zones zona-4, mixco, villa-nueva; 2 servers known",
        ),
        (
            "fleet/agent.toml",
            "an agent on 127.0.0.1:7070 with PLACE/agent.pem; state kept in PLACE/agent-state",
        ),
        (
            "fleet/relay.toml",
            "the relay relay-north on 127.0.0.1:7071, below the agent at 127.0.0.1:7070; 2000 instances at most",
        ),
        (
            "fleet/shop-1.toml",
            "listeners front; pools reports; 1 routes; admin view 127.0.0.1:9911; time lines off; agent 127.0.0.1:7070 as shop-1",
        ),
        (
            "services/operator.toml",
            "listeners front; pools submissions, reports, reports-next; 3 routes; admin view 127.0.0.1:9901; time lines off",
        ),
    ] {
        let file = example(name);
        let place = Path::new(&file)
            .parent()
            .expect("a directory")
            .display()
            .to_string();
        assert_eq!(
            line(&["check", &file], &file, 0).replace(&place, "PLACE"),
            sound(summary)
        );
    }
}

#[test]
fn check_tells_the_levels_of_a_file() {
    let levels = "version = 1\n[[listeners]]\nname = \"front\"\naddress = \"127.0.0.1:5000\"\n[[pools]]\nname = \"a\"\n\
        servers = [{ name = \"s\", address = \"127.0.0.1:6001\" }]\n[pools.settings]\ngroup_size = 1\nmy_zone = 0\n\
        period = 5000\ndiscovery = \"automatic\"\n\
        services = [{ name = \"view\", effect = \"safe\", on_time = 400_000, give_up = 1_200_000, worth = 1 }]\n\
        limits = { cancel = true, max_attempts = 3 }\nsafety = { cold = 8_400_000, cold_from = 0.31, fall = 2_000_000 }\n\
        [pools.levels]\n[[pools.levels.level]]\nname = \"careful\"\nenter = \"unknown > 30% for 300ms\"\n\
        leave = \"unknown < 10%\"\nleast_stay = \"1s\"\nretries = 0.5\n[pools.levels.level.turn_away]\nview = 1.0\n\
        [[routes]]\nname = \"all\"\npool = \"a\"\n";
    let (_directory, path) = written("operator.toml", levels);
    let file = path.display().to_string();
    let expected = r#"{"file":"FILE","fleet_limits":[],"levels":[{"changes_in_ten_minutes":39,"levels":[{"enter":"unknown > 30% for 300ms","gives_up":["100% of view","50% of the retry budget"],"least_stay_us":1000000,"leave":"unknown < 10%","name":"careful"}],"pool":"a"}],"problems":[],"shared_lists":[],"summary":"listeners front; pools a; 1 routes; admin view off; time lines off"}"#;
    assert_eq!(line(&["check", &file], &file, 0).trim_end(), expected);
}

#[test]
fn check_tells_what_is_wrong_with_a_file() {
    let (_directory, path) = written(
        "operator.toml",
        "version = 1\n[[listeners]]\nname = \"a b\"\n[amin]\n",
    );
    let file = path.display().to_string();
    let expected = r#"{"file":"FILE","problems":[{"column":1,"field":"listeners[0].address","line":2,"problem":"is missing; write one such as \"127.0.0.1:5000\""},{"column":8,"field":"listeners[0].name","line":3,"problem":"is no name; use up to 64 letters, digits, `-`, `_` and `.`"},{"column":1,"field":"amin","line":4,"problem":"is not known; did you mean admin?"}]}"#;
    assert_eq!(line(&["check", &file], &file, 1).trim_end(), expected);
    let (_directory, path) = written("config.json", "{\"name\": 7}");
    let file = path.display().to_string();
    let expected = r#"{"file":"FILE","problems":[{"column":10,"field":"name","line":1,"problem":"invalid type: integer `7`, expected a string"}]}"#;
    assert_eq!(line(&["check", &file], &file, 1).trim_end(), expected);
}

#[test]
fn route_explain_tells_where_a_request_goes() {
    let file = example("services/operator.toml");
    let explain = |request: &[&str], code| {
        line(
            &[&["route", "explain", "--operator", &file], request].concat(),
            &file,
            code,
        )
    };
    for (request, code, expected) in [
        (
            &["GET", "http://reports.example.org/reports/7"][..],
            0,
            r#"{"class":"view","listener":"front","others":[{"route":"submissions","why":"matches too, but its host is less specific"},{"route":"reports","why":"matches too, but its path is less specific"}],"pool":"reports","route":"one-report","split":[]}"#,
        ),
        (
            &[
                "GET",
                "/x",
                "-H",
                "Host: reports.example.org",
                "-H",
                "Cookie: key=12a",
            ],
            0,
            r#"{"class":"view","listener":"front","others":[{"route":"submissions","why":"matches too, but its host is less specific"},{"route":"one-report","why":"wants another path"}],"pool":"reports","route":"reports","split":[{"pool":"reports","weight":90},{"pool":"reports-next","weight":10}]}"#,
        ),
        (
            &["GET", "http://reports.example.org/x"],
            0,
            r#"{"class":"view","listener":"front","others":[{"route":"submissions","why":"matches too, but its host is less specific"},{"route":"one-report","why":"wants another path"}],"pool":null,"route":"reports","split":[{"pool":"reports","weight":90},{"pool":"reports-next","weight":10}]}"#,
        ),
        (
            &["DELETE", "http://reports.example.org/"],
            0,
            r#"{"class":"","listener":"front","others":[{"route":"reports","why":"wants another method"},{"route":"one-report","why":"wants another path"}],"pool":"submissions","route":"submissions","split":[]}"#,
        ),
        (
            &["GET", "http://reports.example.org/a//b"],
            1,
            r#"{"problem":"the path has an empty segment","status":400}"#,
        ),
    ] {
        assert_eq!(explain(request, code).trim_end(), expected);
    }
}

/// Runs a command on a store. A child that another test starts has what is open here, and its lock, until it has become
/// the program that it is to be.
fn on_store(arguments: &[&str]) -> Output {
    let begun = Instant::now();
    loop {
        let done = run(&[&["store"], arguments].concat());
        let is_locked = text(&done.stderr).contains("another process has the store open");
        if !is_locked || begun.elapsed() > PATIENCE {
            return done;
        }
    }
}

#[test]
fn the_commands_on_a_store_tell_what_they_told() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("store");
    {
        let disk = RealDisk::create(&path).expect("it is made");
        let mut store = Store::open(disk, Options::default()).expect("it opens");
        let mut batch = Batch::new();
        batch
            .put("drain/s1", "by ana")
            .put_until([b'r', 0xff], "1", 100);
        store
            .write(&batch, Durability::Durable)
            .expect("it is written");
    }
    let at = path.display().to_string();
    let into = directory.path().join("new").display().to_string();
    let told = |arguments: &[&str]| {
        let done = on_store(arguments);
        assert!(done.status.success(), "{}", text(&done.stderr));
        text(&done.stdout)
            .replace(&into, "NEW")
            .replace(&at, "STORE")
    };
    let expected = r#"{"batches":1,"bytes":111,"damage":null,"directory":"STORE","files":1,"records":2,"sound":true,"strays":0,"torn":0}"#;
    assert_eq!(told(&["verify", &at]).trim_end(), expected);
    let expected = r#"{"batches":1,"directory":"STORE","keys":2,"live_bytes":47,"log_bytes":111,"manifests":1,"segments":1,"torn_bytes":0}"#;
    assert_eq!(told(&["stat", &at]).trim_end(), expected);
    let expected = r#"{"expires":null,"key":"drain/s1","value":"by ana"}
{"expires":100,"key":"r\\xff","value":"1"}"#;
    assert_eq!(told(&["dump", &at]).trim_end(), expected);
    let expected = r#"{"expires":null,"key":"drain/s1"}"#;
    assert_eq!(
        told(&["dump", &at, "--keys", "--prefix", "drain/"]).trim_end(),
        expected
    );
    let expected =
        r#"{"batches":1,"directory":"STORE","into":"NEW","lost":[],"records":2,"torn":0}"#;
    assert_eq!(told(&["salvage", &at, &into]).trim_end(), expected);
    let expected = r#"{"batches":1,"directory":"STORE","keys":2,"live_bytes":47,"log_bytes":143,"manifests":4,"segments":2,"torn_bytes":0}"#;
    assert_eq!(told(&["compact", &at]).trim_end(), expected);
}

#[test]
fn a_damaged_store_is_told_with_its_place() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("store");
    {
        let disk = RealDisk::create(&path).expect("it is made");
        let mut store = Store::open(disk, Options::default()).expect("it opens");
        for value in ["one", "two", "three"] {
            let mut batch = Batch::new();
            batch.put("drain/s1", value);
            store
                .write(&batch, Durability::Durable)
                .expect("it is written");
        }
    }
    let entries = std::fs::read_dir(&path)
        .expect("it reads")
        .map(|entry| entry.expect("it reads").path());
    let segment = entries
        .max_by_key(|path| path.metadata().expect("it reads").len())
        .expect("a file");
    let mut bytes = std::fs::read(&segment).expect("it reads");
    let at = bytes
        .windows(3)
        .position(|window| window == b"two")
        .expect("it is there");
    bytes[at] ^= 1;
    std::fs::write(&segment, bytes).expect("it is written");
    let (at, into) = (
        path.display().to_string(),
        directory.path().join("new").display().to_string(),
    );
    let done = on_store(&["verify", &at]);
    assert_eq!(done.status.code(), Some(1));
    let expected = r#"{"batches":1,"bytes":0,"damage":{"file":"00000001.seg","offset":90,"problem":"a frame does not match its checksum"},"directory":"STORE","files":0,"records":1,"sound":false,"strays":0,"torn":0}"#;
    assert_eq!(
        text(&done.stdout).replace(&at, "STORE").trim_end(),
        expected
    );
    let done = on_store(&["salvage", &at, &into]);
    assert_eq!(done.status.code(), Some(0));
    let expected = r#"{"batches":2,"directory":"STORE","into":"NEW","lost":[{"batches":[1,2],"bytes":58,"file":"00000001.seg","offset":90,"problem":"a frame does not match its checksum"}],"records":2,"torn":0}"#;
    assert_eq!(
        text(&done.stdout)
            .replace(&into, "NEW")
            .replace(&at, "STORE")
            .trim_end(),
        expected
    );
}

#[test]
fn keys_are_listed_as_ever() {
    let directory = tempfile::tempdir().expect("a directory");
    let keys = |arguments: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_madderloom"));
        command
            .current_dir(directory.path())
            .arg("keys")
            .args(arguments)
            .output()
            .expect("it runs")
    };
    for arguments in [
        &["init"][..],
        &["issue", "agent", "--role", "agent", "--host", "localhost"],
        &["issue", "vic", "--role", "view"],
        &["issue", "shop-*", "--role", "instance"],
        &["issue", "alice", "--role", "operate"],
        &["revoke", "alice"],
    ] {
        assert!(keys(arguments).status.success(), "{arguments:?}");
    }
    let listed = told(&keys(&["list", "--output", "json"]));
    let expected = r#"
        [].from whole
        [].hosts []
        [].hosts[] "localhost"
        [].name text
        [].revoked null or whole
        [].role text
        [].serial text
        [].state text
        [].until whole
    "#;
    assert_shape(&listed, expected);
    let each = |field: &str| {
        listed
            .as_array()
            .map(|all| all.iter().map(|one| one[field].clone()).collect::<Value>())
    };
    assert_eq!(
        each("name"),
        Some(json!(["agent", "vic", "shop-*", "alice"]))
    );
    assert_eq!(
        each("role"),
        Some(json!(["agent", "view", "instance", "operate"]))
    );
    assert_eq!(
        each("state"),
        Some(json!(["valid", "valid", "valid", "revoked"]))
    );
}
