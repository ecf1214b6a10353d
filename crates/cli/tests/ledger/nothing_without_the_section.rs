use crate::stand_ins::{Manner, Process, StandIn};
use crate::{file, status};
use std::process::Command;

fn without_state(text: &str) -> String {
    let kept = text
        .lines()
        .filter(|l| !l.starts_with("[state]") && !l.starts_with("dir") && !l.starts_with("ledger"));
    kept.collect::<Vec<_>>().join("\n")
}

#[test]
fn without_the_section_there_is_no_thread_and_a_repeat_is_sent() {
    let directory = tempfile::tempdir().expect("a directory");
    let server = StandIn::new("s1", Manner::Serves);
    let text = file(directory.path(), "durable", &[&server]);
    // One serves, one writes the log, and one watches the event loop.
    let usual = ["madderloom", "log", "watchdog"]
        .map(str::to_string)
        .to_vec();
    let with_store = [usual.clone(), vec!["store".to_string()]].concat();
    for (text, threads, second) in [
        (text.clone(), with_store, 502),
        (without_state(&text), usual, 200),
    ] {
        let process = Process::start(&text);
        assert_eq!(
            (status(&process, "a"), status(&process, "a")),
            (200, second)
        );
        assert_eq!(process.threads(), threads);
    }
    assert_eq!(
        server.seen()["a"],
        3,
        "one by the first process, two by the second"
    );
}

#[test]
fn a_directory_that_can_not_be_used_is_one_clear_line_at_the_start() {
    let directory = tempfile::tempdir().expect("a directory");
    let server = StandIn::new("s1", Manner::Serves);
    let other = tempfile::tempdir().expect("a directory");
    let _holds_it = Process::start(&file(other.path(), "relaxed", &[&server]));
    std::fs::write(directory.path().join("file"), "").expect("it is written");
    for (dir, words) in [
        (directory.path().join("none"), "make the directory first"),
        (directory.path().join("file"), "not a directory"),
        (
            other.path().to_path_buf(),
            "another process has the store open",
        ),
    ] {
        let name = directory.path().join("operator.toml");
        std::fs::write(&name, file(&dir, "durable", &[&server])).expect("it is written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_madderloom"));
        command
            .args(["serve", "--operator"])
            .arg(&name)
            .env_remove("RELAY_CONFIG");
        let done = command.output().expect("it runs");
        let told = String::from_utf8_lossy(&done.stderr).into_owned();
        assert_eq!(done.status.code(), Some(1), "{told}");
        assert!(
            told.contains("state.dir: ") && told.contains(words) && told.lines().count() == 1,
            "{told}"
        );
    }
}

#[test]
fn a_newer_file_may_change_what_pools_keep_but_not_where() {
    let directory = tempfile::tempdir().expect("a directory");
    let server = StandIn::new("s1", Manner::Serves);
    let text = file(directory.path(), "durable", &[&server]);
    let mut process = Process::start(&text);
    let told = process.reload(&text.replace("[state]\ndir = \"", "[state]\ndir = \"/elsewhere"));
    assert!(
        told.contains("not read again") && told.contains("state.dir: can't change"),
        "{told}"
    );
    assert!(
        process
            .reload(&without_state(&text))
            .contains("state.dir: can't change")
    );
    assert_eq!((status(&process, "a"), status(&process, "a")), (200, 502));
    process.reload(&text.replace("durable", "off"));
    assert_eq!(status(&process, "a"), 200);
    process.reload(&text);
    assert_eq!(status(&process, "a"), 502);
    let mut process = Process::start(&without_state(&text));
    assert!(
        process
            .reload(&text)
            .contains("state: takes effect with a restart")
    );
}
