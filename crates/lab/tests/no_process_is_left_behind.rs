//! `madderloom-lab up` from outside: it ends in good order, tells what was killed, and leaves no process.

use rustix::process::{Pid, Signal, kill_process};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Only ends a test in which what it waits for never happens.
const PATIENCE: Duration = Duration::from_secs(60);

struct Lab {
    child: Child,
    lines: BufReader<ChildStdout>,
}

impl Lab {
    fn up(arguments: &[&str]) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_madderloom-lab"));
        command
            .args(["up", "--rate", "60", "--servers", "2", "--instances", "2"])
            .args(arguments);
        let mut child = command.stdout(Stdio::piped()).spawn().expect("it starts");
        let lines = BufReader::new(child.stdout.take().expect("piped"));
        Lab { child, lines }
    }

    /// Reads lines until one holds this.
    fn until(&mut self, text: &str) -> String {
        loop {
            let mut line = String::new();
            assert_ne!(
                self.lines.read_line(&mut line).expect("text"),
                0,
                "it ended without {text:?}"
            );
            if line.contains(text) {
                return line;
            }
        }
    }

    /// The processes that it has started.
    fn children(&self) -> Vec<i32> {
        let id = self.child.id();
        let text =
            std::fs::read_to_string(format!("/proc/{id}/task/{id}/children")).expect("it is there");
        text.split_whitespace()
            .map(|id| id.parse().expect("a number"))
            .collect()
    }

    fn signal(&self, signal: Signal) {
        kill(i32::try_from(self.child.id()).expect("a number"), signal);
    }

    fn ends(mut self) -> ExitStatus {
        let until = Instant::now() + PATIENCE;
        loop {
            match self.child.try_wait().expect("its end can be seen") {
                Some(status) => return status,
                None if Instant::now() > until => panic!("it does not end"),
                None => std::thread::sleep(Duration::from_millis(10)),
            }
        }
    }
}

impl Drop for Lab {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn kill(id: i32, signal: Signal) {
    kill_process(Pid::from_raw(id).expect("a process"), signal).expect("it is there");
}

/// Waits until none of these runs any more; one that is dead and not yet collected does not.
fn gone(children: &[i32]) {
    let until = Instant::now() + PATIENCE;
    let runs = |id: &i32| {
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
        stat.rsplit(") ")
            .next()
            .is_some_and(|rest| !rest.is_empty() && !rest.starts_with('Z'))
    };
    while children.iter().any(runs) {
        assert!(Instant::now() < until, "left behind: {children:?}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn it_serves_a_request_by_hand_and_ends_by_itself_with_0_after_its_time() {
    let mut lab = Lab::up(&["--for", "2s"]);
    let hint = lab.until("ask for yourself");
    let (_, address) = hint.trim_end().split_once("http://").expect("an address");
    let mut hand = TcpStream::connect(address.trim_end_matches("/submit")).expect("it accepts");
    hand.set_read_timeout(Some(PATIENCE)).expect("reads end");
    let request = "POST /submit HTTP/1.1\r\nHost: x\r\nX-Trace-Id: 1\r\nX-Expires-In-Ms: 1500\r\n\
                   Connection: close\r\nContent-Length: 5\r\n\r\npaper";
    hand.write_all(request.as_bytes()).expect("it reads");
    let mut answer = String::new();
    hand.read_to_string(&mut answer).expect("it answers");
    assert!(
        answer.starts_with("HTTP/1.1 200") && answer.contains("served by "),
        "{answer}"
    );
    lab.until("1s: goodput");
    let children = lab.children();
    assert_eq!(children.len(), 2);
    assert!(lab.until("rules: ").contains("none broken"));
    assert_eq!(lab.ends().code(), Some(0));
    gone(&children);
}

#[test]
fn a_sidecar_that_is_killed_is_told_of_and_ctrl_c_ends_the_rest_with_0() {
    let mut lab = Lab::up(&[]);
    lab.until("1s: goodput");
    let children = lab.children();
    kill(children[0], Signal::KILL);
    lab.until("killed by signal 9");
    lab.until("goodput");
    lab.signal(Signal::INT);
    assert!(lab.until("rules: ").contains("none broken"));
    assert_eq!(lab.ends().code(), Some(0));
    gone(&children);
}

#[test]
fn a_lab_that_is_killed_takes_its_sidecars_along() {
    let mut lab = Lab::up(&[]);
    lab.until("1s: goodput");
    let children = lab.children();
    assert_eq!(children.len(), 2);
    lab.signal(Signal::KILL);
    assert_eq!(lab.ends().code(), None);
    gone(&children);
}

#[test]
fn another_build_that_does_not_start_is_named() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_madderloom-lab"));
    let out = command
        .args(["up", "--for", "2s", "--binary", "/does/not/exist"])
        .output()
        .expect("it runs");
    assert_eq!(out.status.code(), Some(1));
    let said = String::from_utf8_lossy(&out.stderr);
    assert!(
        said.contains("/does/not/exist") && said.lines().count() == 1,
        "{said}"
    );
}

#[test]
fn a_hop_is_measured_on_both_and_every_request_is_served() {
    hops_are_measured_on_both("1");
}

#[test]
fn three_hops_behind_each_other_are_measured_on_both_and_every_request_is_served() {
    hops_are_measured_on_both("3");
}

fn hops_are_measured_on_both(depth: &str) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_madderloom-lab"));
    command.args([
        "hop",
        "--clients",
        "2,4",
        "--seconds",
        "0.2",
        "--rounds",
        "2",
        "--output",
        "json",
    ]);
    command.args(["--depth", depth]);
    let out = command.output().expect("it runs");
    assert_eq!(
        out.status.code(),
        Some(0),
        "{}",
        String::from_utf8_lossy(&out.stderr)
    );
    let rows: serde_json::Value =
        serde_json::from_slice(&out.stdout).expect("an object for programs");
    assert_eq!(rows.as_array().expect("rows").len(), 2);
    for row in rows.as_array().expect("rows") {
        for which in ["program", "bare"] {
            let figures = &row[which];
            assert_eq!(figures["bad"], 0, "{row}");
            assert!(
                figures["cpu"]["least"]
                    .as_f64()
                    .is_some_and(|cpu| cpu > 0.0),
                "{row}"
            );
            assert!(figures["p99"].as_u64() >= figures["p50"].as_u64(), "{row}");
        }
        assert_eq!(row["direct"]["bad"], 0, "{row}");
        assert!(row["direct"]["p50"].as_u64() > Some(0), "{row}");
        let (least, median) = (
            row["ratio"]["least"].as_f64(),
            row["ratio"]["median"].as_f64(),
        );
        assert!(least > Some(0.0) && least <= median, "{row}");
    }
}
