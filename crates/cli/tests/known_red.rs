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
    let mut command = Command::new(root.join(".ci/tests"));
    command
        .args(["sh", "-c", &run])
        .env("KNOWN_RED", file.path());
    let done = command.output().expect("it runs");
    (
        done.status.success(),
        String::from_utf8(done.stdout).expect("text"),
    )
}

/// An entry of this form for this test, with lines put in the place of others.
fn entry(test: &str, changed: &[(&str, &str)]) -> String {
    let fields = [
        ("test", test),
        ("command", "cargo test planted"),
        ("seed", "none, a race"),
        ("seen", "2 of 5 runs, 46 s of 44"),
        ("issue", "34"),
    ];
    let line = |(field, value): (&str, &str)| match changed.iter().find(|(name, _)| *name == field)
    {
        Some((_, line)) => line.to_string(),
        None => format!("{field}: {value}\n"),
    };
    fields.map(line).concat()
}

fn planted(changed: &[(&str, &str)]) -> String {
    entry("a::planted", changed)
}

#[rstest]
#[case::all_pass(String::new(), "ok", 0, true, "")]
#[case::a_failure_that_is_not_listed(
    String::new(),
    "FAILED",
    101,
    false,
    "red, and not known: a::planted"
)]
#[case::a_failure_that_is_listed(
    planted(&[]),
    "FAILED",
    101,
    true,
    "known red: a::planted: FAILED (issue 34)\n  cargo test planted; seed none, a race\n  2 of 5 runs, 46 s of 44"
)]
#[case::a_listed_test_that_passes(
    planted(&[]),
    "ok",
    0,
    true,
    "known red: a::planted: ok (issue 34)\n  it passes"
)]
#[case::another_one_is_listed(
    entry("a::well", &[("command", "command: cargo test well\n")]),
    "FAILED",
    101,
    false,
    "red, and not known: a::planted"
)]
#[case::two_are_listed(
    format!("{}\n{}", entry("a::well", &[("command", "command: cargo test well\n")]), planted(&[])),
    "FAILED",
    101,
    true,
    "known red: a::well: ok"
)]
#[case::two_entries_for_one_test(
    format!("{}\n{}", planted(&[]), planted(&[])),
    "FAILED",
    101,
    false,
    ""
)]
#[case::two_entries_in_one_block(format!("{}{}", planted(&[]), planted(&[])), "FAILED", 101, false, "")]
#[case::a_name_that_no_test_has(
    entry("a::plante", &[]),
    "ok",
    0,
    false,
    "no test has this name"
)]
#[case::no_test(planted(&[("test", "")]), "FAILED", 101, false, "")]
#[case::no_command(planted(&[("command", "")]), "FAILED", 101, false, "")]
#[case::no_seed(planted(&[("seed", "")]), "FAILED", 101, false, "")]
#[case::an_empty_seed(planted(&[("seed", "seed:\n")]), "FAILED", 101, false, "")]
#[case::nothing_seen(planted(&[("seen", "")]), "FAILED", 101, false, "")]
#[case::no_issue(planted(&[("issue", "")]), "FAILED", 101, false, "")]
#[case::an_issue_without_a_number(planted(&[("issue", "issue: soon\n")]), "FAILED", 101, false, "")]
#[case::the_command_of_another_test(
    planted(&[("command", "command: cargo test well\n")]),
    "FAILED",
    101,
    false,
    ""
)]
#[case::the_former_form("a::planted, a race, 34\n".to_string(), "FAILED", 101, false, "")]
#[case::a_run_that_ends_badly(String::new(), "ok", 101, false, "no test is told to have failed")]
fn only_what_is_listed_is_passed_over(
    #[case] list: String,
    #[case] outcome: &str,
    #[case] ended: i32,
    #[case] passes: bool,
    #[case] prints: &str,
) {
    let (passed, printed) = judged(&list, outcome, ended);
    assert!(
        passed == passes && printed.contains(prints),
        "passed {passed}: {printed}"
    );
}

/// What a listed test prints without being kept back stands between its name and its outcome.
#[test]
fn an_outcome_behind_what_a_test_prints_is_read() {
    let (passed, printed) = judged("", "printed by it ok", 0);
    assert!(passed, "{printed}");
    let (passed, printed) = judged("", "printed by it FAILED", 101);
    assert!(!passed && printed.contains("red, and not known: a::planted"));
}
