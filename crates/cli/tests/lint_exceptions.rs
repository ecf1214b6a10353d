//! CI's list of excused lints, `.ci/lint-exceptions.txt`: what passes and what does not, by messages that are made up.

use rstest::rstest;
use std::io::Write;
use std::path::Path;
use std::process::Command;

/// A message of the compiler as cargo prints it.
fn message(level: &str, lint: &str, file: &str, line: u32) -> String {
    let span = serde_json::json!({"file_name": file, "line_start": line, "is_primary": true});
    let message = serde_json::json!({
        "level": level, "code": {"code": lint}, "spans": [span], "message": lint, "rendered": format!("{lint} at {file}:{line}"),
    });
    serde_json::json!({"reason": "compiler-message", "message": message}).to_string()
}

/// Runs `.ci/lint` over these messages with this list; returns whether it passes, and what it prints.
fn judged(list: &str, messages: &[String], status: i32) -> (bool, String) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let exceptions = tempfile::NamedTempFile::new().expect("a file");
    std::fs::write(exceptions.path(), list).expect("written");
    let mut printed = tempfile::NamedTempFile::new().expect("a file");
    writeln!(printed, "{}", messages.join("\n")).expect("written");
    let run = format!("cat '{}'; exit {status}", printed.path().display());
    let done = Command::new(root.join(".ci/lint"))
        .args(["sh", "-c", &run])
        .env("LINT_EXCEPTIONS", exceptions.path())
        .output()
        .expect("it runs");
    let text = String::from_utf8_lossy(&done.stdout) + String::from_utf8_lossy(&done.stderr);
    (done.status.success(), text.into_owned())
}

/// A message that names no place in a file.
fn without_place(level: &str, text: &str) -> String {
    let message = serde_json::json!({
        "level": level, "code": null, "spans": [], "message": text, "rendered": text,
    });
    serde_json::json!({"reason": "compiler-message", "message": message}).to_string()
}

const LONG: &str = "clippy::too_many_lines";

#[rstest]
#[case::nothing_is_said("", &[], 0, true, "0 failures")]
#[case::an_excused_warning("cli clippy::too_many_lines 1\n", &[message("warning", LONG, "crates/cli/src/main.rs", 7)], 0, true, "1 warnings in 1 crates are still excused")]
#[case::the_same_warning_of_two_targets("cli clippy::too_many_lines 1\n", &[message("warning", LONG, "crates/cli/src/main.rs", 7), message("warning", LONG, "crates/cli/src/main.rs", 7)], 0, true, "0 failures")]
#[case::a_warning_that_is_not_excused("", &[message("warning", LONG, "crates/cli/src/main.rs", 7)], 0, false, "cli clippy::too_many_lines: 1 warnings, 0 are excused")]
#[case::a_warning_of_another_crate("cli clippy::too_many_lines 1\n", &[message("warning", LONG, "crates/lab/src/main.rs", 7)], 0, false, "lab clippy::too_many_lines: 1 warnings, 0 are excused")]
#[case::more_than_are_excused("cli clippy::too_many_lines 1\n", &[message("warning", LONG, "crates/cli/src/main.rs", 7), message("warning", LONG, "crates/cli/src/main.rs", 9)], 0, false, "2 warnings, 1 are excused")]
#[case::fewer_than_are_excused("cli clippy::too_many_lines 1\n", &[], 0, false, "0 warnings are left, lower the 1")]
#[case::another_lint("", &[message("warning", "clippy::needless_return", "crates/cli/src/main.rs", 7)], 0, false, "clippy::needless_return at crates/cli/src/main.rs:7")]
#[case::a_lint_that_is_never_excused("cli clippy::needless_return 1\n", &[], 0, false, "write `crate lint count`")]
#[case::a_crate_that_is_not_there("no-such-crate clippy::too_many_lines 1\n", &[], 0, false, "write `crate lint count`")]
#[case::an_error("", &[message("error", "E0308", "crates/cli/src/main.rs", 7)], 101, false, "E0308 at")]
#[case::a_warning_without_a_place("", &[without_place("warning", "the linker complains")], 0, false, "the linker complains")]
#[case::a_summary_of_warnings("", &[without_place("warning", "2 warnings emitted")], 0, true, "0 failures")]
#[case::a_run_that_failed_without_a_message("", &[], 101, false, "")]
fn each_warning_is_excused_by_its_line_or_fails(
    #[case] list: &str,
    #[case] messages: &[String],
    #[case] status: i32,
    #[case] passes: bool,
    #[case] told: &str,
) {
    let (passed, printed) = judged(list, messages, status);
    assert_eq!(passed, passes, "{printed}");
    assert!(printed.contains(told), "{told:?} is not in: {printed}");
}
