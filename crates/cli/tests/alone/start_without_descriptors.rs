//! A start on a system that has no descriptor for the listener for a moment.

use crate::rig::{Options, PATIENCE, ScriptedServer, Sidecar, write_config};
use rustix::process::{Pid, Resource, Rlimit, prlimit};
use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};
use std::time::Instant;

/// Limits of descriptors within which the runtime starts and the listener has none, whatever the start opens before.
const LIMITS: std::ops::Range<u64> = 6..40;
const ENOUGH: u64 = 256;
const WAITS: &str = "cannot listen on ";
const LISTENS: &str = "listening on ";

/// A process that may open so many descriptors, and its log.
fn start(config: &std::path::Path, limit: u64) -> (Child, BufReader<std::process::ChildStderr>) {
    let script = format!(
        "ulimit -S -n {limit}; exec {} serve",
        env!("CARGO_BIN_EXE_madderloom")
    );
    let mut child = Command::new("/bin/sh")
        .args(["-c", &script])
        .env("RELAY_CONFIG", config)
        .stderr(Stdio::piped())
        .spawn()
        .expect("a shell");
    let log = BufReader::new(child.stderr.take().expect("piped"));
    (child, log)
}

/// The next line that holds one of these; none where the process ends first.
fn line_with(log: &mut impl BufRead, texts: &[&str]) -> Option<String> {
    let until = Instant::now() + PATIENCE;
    let mut line = String::new();
    while log.read_line(&mut line).expect("text") > 0 {
        assert!(Instant::now() < until, "none of {texts:?} came");
        if texts.iter().any(|text| line.contains(text)) {
            return Some(line);
        }
        line.clear();
    }
    None
}

/// Guards against a start that ends because one call of `socket` failed for a moment; it has 30 s to be ready.
#[test]
fn a_start_waits_for_a_descriptor_of_its_listener() {
    // Its control address takes the descriptor that its configuration was read with.
    let options = Options {
        control: true,
        ..Options::default()
    };
    let sidecar = Sidecar::with(&[ScriptedServer::new().address()], options);
    let config = write_config(&sidecar.config.0);
    let mut waited = 0;
    for limit in LIMITS {
        let (mut child, mut log) = start(&config, limit);
        let first = line_with(&mut log, &[WAITS, LISTENS]);
        if first.is_some_and(|line| line.contains(WAITS)) {
            waited += 1;
            let id = Pid::from_raw(child.id() as i32).expect("a process id");
            let more = Rlimit {
                current: Some(ENOUGH),
                maximum: Some(ENOUGH),
            };
            prlimit(Some(id), Resource::Nofile, more).expect("it runs");
            let line = line_with(&mut log, &[LISTENS]);
            assert!(
                line.is_some(),
                "it ended, with {limit} descriptors at first"
            );
        }
        let _ = child.kill();
        let _ = child.wait();
    }
    assert!(waited > 0, "no limit let the runtime start and no listener");
}
