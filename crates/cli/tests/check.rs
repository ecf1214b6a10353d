//! `madderloom check` on files that make sense and files that don't.

use rstest::rstest;
use std::path::Path;
use std::process::{Command, Output};

const SOUND: &str = include_str!("../../../examples/try/config.json");

fn check(name: &str, text: &str, more: &[&str]) -> Output {
    let path =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("check-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("the file is written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_madderloom"));
    command
        .arg("check")
        .arg(path)
        .args(more)
        .output()
        .expect("it runs")
}

#[test]
fn a_file_that_makes_sense_is_told_with_what_it_configures() {
    let done = check("sound", SOUND, &[]);
    let told = String::from_utf8(done.stdout).expect("text");
    assert!(done.status.success(), "{told}");
    assert!(
        told.contains("submit-check, recheck") && told.contains("2 servers"),
        "{told}"
    );
}

/// What the reader refuses and what only the decision module refuses: both are named as the file names them.
#[rstest]
#[case::text(
    "\"on_time\": 600000",
    "\"on_time\": \"soon\"",
    "settings.services[0].on_time",
    13,
    "string"
)]
#[case::nothing(
    "\"on_time\": 600000",
    "\"on_time\": 0",
    "settings.services[0].on_time",
    13,
    "above 0"
)]
#[case::cold(
    "\"cold_from\": 0.31",
    "\"cold_from\": 1.5",
    "settings.safety.cold_from",
    19,
    "at most at 1"
)]
#[case::price(
    "\"probe\": 0.0094",
    "\"probe\": -1",
    "settings.tariffs.probe",
    20,
    "0 or more"
)]
#[case::end("\"worth_by\": \"work\"", "\"worth_by\"", "settings", 21, "expected")]
fn a_field_at_fault_is_named_with_its_place(
    #[case] sound: &str,
    #[case] bad: &str,
    #[case] field: &str,
    #[case] line: usize,
    #[case] problem: &str,
) {
    assert!(SOUND.contains(sound));
    let bad = SOUND.replacen(sound, bad, 1);
    let done = check(
        &format!("{field}-{}", problem.len()),
        &bad,
        &["--output", "json"],
    );
    assert_eq!(done.status.code(), Some(1));
    let told: serde_json::Value = serde_json::from_slice(&done.stdout).expect("an object");
    let told = &told["problems"][0];
    assert!(told["field"] == field, "{told}");
    assert!(
        told["problem"].as_str().expect("text").contains(problem),
        "{told}"
    );
    assert_eq!(told["line"], line);
    assert!(told["column"].as_u64().expect("a number") > 1);
}

#[test]
fn a_file_that_is_not_there_is_named() {
    let done = Command::new(env!("CARGO_BIN_EXE_madderloom"))
        .args(["check", "no/such/file"])
        .output();
    let done = done.expect("it runs");
    assert_eq!(done.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&done.stderr).contains("no/such/file"));
}

#[test]
fn an_agents_file_is_told_from_an_operator_file() {
    let sound = include_str!("../../../examples/fleet/agent.toml");
    let done = check("agent.toml", sound, &[]);
    let told = String::from_utf8(done.stdout).expect("text");
    assert!(
        done.status.success() && told.contains("an agent on 127.0.0.1:7070"),
        "{told}"
    );
    let done = check(
        "agent-bad.toml",
        &sound.replace("\"10s\"", "\"1s\"").replace("audit.log", ""),
        &[],
    );
    let told = String::from_utf8(done.stdout).expect("text");
    assert_eq!(done.status.code(), Some(1), "{told}");
    assert!(
        told.contains("leases.lease: must be three reports or more"),
        "{told}"
    );
    let operator = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/fleet/shop-1.toml");
    let done = Command::new(env!("CARGO_BIN_EXE_madderloom"))
        .arg("check")
        .arg(operator)
        .output()
        .expect("it runs");
    let told = String::from_utf8(done.stdout).expect("text");
    assert!(
        done.status.success() && told.contains("agent 127.0.0.1:7070 as shop-1"),
        "{told}"
    );
}

#[test]
fn a_relays_file_is_told_from_an_agents() {
    let sound = include_str!("../../../examples/fleet/relay.toml");
    let done = check("relay.toml", sound, &[]);
    let told = String::from_utf8(done.stdout).expect("text");
    let summary = "the relay relay-north on 127.0.0.1:7071, below the agent at 127.0.0.1:7070; 2000 instances at most";
    assert!(done.status.success() && told.contains(summary), "{told}");
    let bad = sound
        .replace("\"127.0.0.1:7070\"", "\"somewhere\"")
        .replace("answer = \"2s\"", "answer = \"20s\"")
        .replace("rate = 400", "rate = 0")
        .replace("instances = 2000", "instances = 0")
        .replace("key = \"shop-any.key\"\n", "");
    let done = check("relay-bad.toml", &bad, &[]);
    let told = String::from_utf8(done.stdout).expect("text");
    assert_eq!(done.status.code(), Some(1), "{told}");
    for problem in [
        "parent.agents[0]: must be HOST:PORT",
        "parent.key: is missing",
        "children.answer: must be from 10ms to 4s",
        "children.instances: must be from 1 to 65536",
        "registrations.rate: must be 1 or more",
    ] {
        assert!(told.contains(problem), "{problem} in {told}");
    }
}
