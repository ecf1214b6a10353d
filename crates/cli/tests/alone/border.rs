//! Where input arrives: what cannot be read is an error, and what fails for good costs no more than a look now and then.

use crate::rig::{Options, ScriptedServer, Sidecar, write_config};
use rstest::rstest;
use std::ffi::OsStr;
use std::net::TcpListener;
use std::os::fd::AsRawFd;
use std::os::unix::ffi::OsStrExt;
use std::process::{Command, Stdio};
use std::time::Duration;

/// A variable that is there and cannot be read is not as good as absent.
#[rstest]
#[case("RELAY_NAME")]
#[case("RELAY_LISTEN")]
#[case("RELAY_DISCOVERY")]
#[case("RELAY_CONTROL")]
#[case("RELAY_ACCEPT_FD")]
fn a_variable_that_is_no_text_ends_the_start_with_its_name(#[case] variable: &str) {
    let sidecar = Sidecar::start(&[ScriptedServer::new().address()]);
    let config = write_config(&sidecar.config.0);
    // One that starts all the same is ended by the tool, and so is the test.
    let mut command = Command::new("timeout");
    command
        .args(["10", env!("CARGO_BIN_EXE_madderloom"), "serve"])
        .env("RELAY_CONFIG", config)
        .env(variable, OsStr::from_bytes(b"\xff\xfe"));
    let done = command
        .stderr(Stdio::piped())
        .output()
        .expect("it starts and ends");
    let errors = String::from_utf8_lossy(&done.stderr);
    assert_eq!(done.status.code(), Some(1), "{errors}");
    assert!(
        errors.starts_with(&format!("madderloom: {variable}: ")) && errors.lines().count() == 1,
        "{errors}"
    );
}

fn processor_ms(sidecar: &Sidecar) -> u64 {
    let stat =
        std::fs::read_to_string(format!("/proc/{}/stat", sidecar.child.id())).expect("it runs");
    let (_, fields) = stat.rsplit_once(')').expect("a name");
    let ticks = |at: usize| {
        fields
            .split_whitespace()
            .nth(at)
            .and_then(|t| t.parse::<u64>().ok())
            .expect("a time")
    };
    10 * (ticks(11) + ticks(12))
}

/// The platform holds the socket, and may have shut it down: then each look for a client fails at once.
#[test]
fn a_socket_that_fails_for_good_does_not_have_the_thread_to_itself() {
    let node = ScriptedServer::new();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let shared = rustix::io::dup(&listener).expect("a descriptor is free");
    let inherited = Some((address, shared.as_raw_fd()));
    let mut sidecar = Sidecar::with(
        &[node.address()],
        Options {
            control: true,
            inherited,
            ..Options::default()
        },
    );
    sidecar.serves(&[&node]);
    rustix::net::shutdown(&shared, rustix::net::Shutdown::Both).expect("it is shut down");
    sidecar.wait_for("no client can be taken");
    let before = processor_ms(&sidecar);
    std::thread::sleep(Duration::from_secs(1));
    let spent = processor_ms(&sidecar) - before;
    assert!(spent < 200, "it spent {spent} ms of a second");
    assert_eq!(sidecar.call("PING\n"), "ok\n");
}
