//! `madderloom keys`, as an operator runs it.

use std::path::Path;
use std::process::{Command, Output};

fn keys(at: &Path, arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_madderloom"));
    command
        .current_dir(at)
        .arg("keys")
        .args(arguments)
        .output()
        .expect("it runs")
}

fn told(done: &Output) -> String {
    format!(
        "{}{}",
        String::from_utf8_lossy(&done.stdout),
        String::from_utf8_lossy(&done.stderr)
    )
}

#[test]
fn an_authority_is_founded_and_its_certificates_issued_renewed_revoked_and_listed() {
    let at = tempfile::TempDir::new().expect("a directory");
    let sound = |arguments: &[&str]| {
        let done = keys(at.path(), arguments);
        assert!(done.status.success(), "{arguments:?}: {}", told(&done));
        told(&done)
    };
    sound(&["init"]);
    sound(&["issue", "alice", "--role", "operate", "--days", "10"]);
    sound(&["issue", "agent", "--role", "agent", "--host", "localhost"]);
    sound(&["rotate", "alice", "--revoke"]);
    assert!(sound(&["revoke", "agent"]).contains("keys/revoked.pem"));
    let list = sound(&["list"]);
    let states: Vec<bool> = list
        .lines()
        .skip(1)
        .map(|line| line.contains("revoked"))
        .collect();
    assert_eq!(states, [true, true, false], "{list}");
    let listed: serde_json::Value =
        serde_json::from_str(&sound(&["list", "--output", "json"])).expect("JSON");
    assert_eq!(
        (&listed[2]["name"], &listed[2]["state"]),
        (&"alice".into(), &"valid".into())
    );
}

#[test]
fn what_makes_no_sense_is_told_with_what_to_do() {
    let at = tempfile::TempDir::new().expect("a directory");
    let done = keys(at.path(), &["issue", "alice", "--role", "operate"]);
    assert_eq!(done.status.code(), Some(1));
    assert!(
        told(&done).contains("keys init --dir keys"),
        "{}",
        told(&done)
    );
    let done = keys(at.path(), &["issue", "alice", "--role", "opperate"]);
    assert_eq!(done.status.code(), Some(2));
    assert!(
        told(&done).contains("view, operate, instance and agent"),
        "{}",
        told(&done)
    );
}
