//! CI's list of tests that may fail, `KNOWN-RED.txt`: what passes over it and what does not, by a run that is made up.

use rstest::rstest;
use std::path::Path;
use std::process::Command;

/// Runs `.ci/tests` over a run with two tests, of which one ends so, with this list; gives whether it passes, and what it prints.
fn judged(list: &str, outcome: &str, ended: i32) -> (bool, String) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let file = tempfile::NamedTempFile::new().expect("a file");
    std::fs::write(file.path(), list).expect("written");
    let run =
        format!("printf 'test a::well ... ok\\ntest a::planted ... {outcome}\\n'; exit {ended}");
    let mut command = Command::new("bash");
    command
        .arg(root.join(".ci/tests"))
        .args(["sh", "-c", &run])
        .env("KNOWN_RED", file.path());
    let done = command.output().expect("it runs");
    (
        done.status.success(),
        String::from_utf8(done.stdout).expect("text"),
    )
}

#[rstest]
#[case::all_pass("", "ok", 0, true, "")]
#[case::a_failure_that_is_not_listed("", "FAILED", 101, false, "red, and not known: a::planted")]
#[case::a_failure_that_is_listed(
    "a::planted, a race, 34\n",
    "FAILED",
    101,
    true,
    "known red: a::planted: FAILED"
)]
#[case::a_listed_test_that_passes(
    "a::planted, a race, 34\n",
    "ok",
    0,
    true,
    "known red: a::planted: ok"
)]
#[case::another_one_is_listed(
    "a::well, a race, 34\n",
    "FAILED",
    101,
    false,
    "red, and not known: a::planted"
)]
#[case::a_name_that_no_test_has("a::plante, a race, 34\n", "ok", 0, false, "no test has this name")]
#[case::a_line_without_its_issue(
    "a::planted, a race\n",
    "ok",
    0,
    false,
    "write \"test, cause, issue\""
)]
#[case::a_fourth_line(
    "a, b, 1\na, b, 1\na, b, 1\na, b, 1\n",
    "ok",
    0,
    false,
    "three are the most"
)]
#[case::a_run_that_ends_badly("", "ok", 101, false, "no test is told to have failed")]
fn only_what_is_listed_is_passed_over(
    #[case] list: &str,
    #[case] outcome: &str,
    #[case] ended: i32,
    #[case] passes: bool,
    #[case] prints: &str,
) {
    let (passed, printed) = judged(list, outcome, ended);
    assert!(
        passed == passes && printed.contains(prints),
        "passed {passed}: {printed}"
    );
}
