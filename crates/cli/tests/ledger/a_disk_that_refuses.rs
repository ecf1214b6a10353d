use crate::stand_ins::{Manner, Process, StandIn};
use crate::{file, status, submission, submit};
use std::process::{Command, Stdio};

/// The program where no file may grow, as on a disk that is full.
fn without_room(text: &str) -> Process {
    Process::with(text, |command| {
        let arguments: Vec<_> = command.get_args().map(|a| a.to_owned()).collect();
        let mut shell = Command::new("/bin/sh");
        shell.args([
            "-c",
            "trap '' XFSZ; ulimit -f 0; exec \"$0\" \"$@\"",
            env!("CARGO_BIN_EXE_madderloom"),
        ]);
        shell
            .args(arguments)
            .env_remove("RELAY_CONFIG")
            .stderr(Stdio::piped());
        *command = shell;
    })
}

#[test]
fn durable_refuses_before_anything_is_sent_and_the_program_goes_on() {
    let directory = tempfile::tempdir().expect("a directory");
    let server = StandIn::new("s1", Manner::Serves);
    let mut process = without_room(&file(directory.path(), "durable", &[&server]));
    for _ in 0..3 {
        let answer = submit(process.at("front"), "a").expect("an answer");
        assert_eq!(answer.status(), 503);
        assert!(answer.header("retry-after").is_some());
    }
    // What may run twice is not the ledger's affair.
    let mut client = process.client("front");
    client.write(submission("b").replace("POST /submit", "GET /view"));
    assert_eq!(client.read().expect("an answer").status(), 200);
    assert_eq!(server.seen().get("a"), None);
    let told = process
        .log()
        .iter()
        .filter(|line| line.contains("no record can be written"))
        .count();
    assert_eq!(told, 1, "{:#?}", process.log());
    assert_eq!(process.stop(), Some(0));
}

#[test]
fn relaxed_goes_on_without_a_record_and_says_so_once() {
    let directory = tempfile::tempdir().expect("a directory");
    let server = StandIn::new("s1", Manner::Serves);
    let mut process = without_room(&file(directory.path(), "relaxed", &[&server]));
    for key in ["a", "b", "c"] {
        assert_eq!(status(&process, key), 200);
    }
    let told = process
        .log()
        .iter()
        .filter(|line| line.contains("no record can be written"))
        .count();
    assert_eq!(told, 1, "{:#?}", process.log());
    assert_eq!(process.stop(), Some(0));
}
