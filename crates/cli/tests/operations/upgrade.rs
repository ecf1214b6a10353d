//! Two processes that are one sidecar for a while: the clients' socket is held by whoever starts them.

use super::{asked, until};
use crate::rig::{Conn, Options, ScriptedServer, Sidecar, request, request_with, serve_all};
use rstest::rstest;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsRawFd, OwnedFd};
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

/// The clients' socket, which every process that is started inherits by its number.
struct Shared {
    address: SocketAddr,
    socket: OwnedFd,
}

impl Shared {
    fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        // Unlike the original, the copy stays open in what is started.
        let socket = rustix::io::dup(&listener).expect("a descriptor is free");
        Shared { address, socket }
    }

    fn start(&self, node: SocketAddr) -> Sidecar {
        let inherited = Some((self.address, self.socket.as_raw_fd()));
        Sidecar::with(
            &[node],
            Options {
                control: true,
                inherited,
                ..Options::default()
            },
        )
    }
}

/// A client that keeps its connection for as long as it may, and counts what it got. One that finds it closed between
/// two requests opens another.
fn keep_asking(at: SocketAddr, stop: &Arc<AtomicBool>) -> JoinHandle<u64> {
    let stop = Arc::clone(stop);
    std::thread::spawn(move || {
        let connect = || Conn::new(TcpStream::connect(at).expect("nobody is refused"));
        let (mut conn, mut served) = (connect(), 0);
        while !stop.load(Ordering::Relaxed) {
            if conn.is_readable() {
                conn = connect();
            }
            conn.write(request("submit-check", 5000, ""));
            let answer = conn.read().expect("no answer is lost");
            assert_eq!(answer.status(), 200);
            served += 1;
            if answer.header("connection") == Some("close") {
                conn = connect();
            }
            std::thread::sleep(std::time::Duration::from_millis(3));
        }
        served
    })
}

#[test]
fn clients_that_keep_their_connections_lose_nothing_while_two_upgrades_go_by() {
    let shared = Shared::new();
    let node = ScriptedServer::new();
    let server = node.address();
    let mut present = shared.start(server);
    let (at, stop) = (shared.address, Arc::new(AtomicBool::new(false)));
    let clients: Vec<_> = (0..4).map(|_| keep_asking(at, &stop)).collect();
    serve_all(node);
    for _ in 0..2 {
        // Only now: of two new ones that are there at once, all clients may come to the other.
        let next = shared.start(server);
        until("the new one says yes", || next.call("PING\n") == "ok\n");
        let before = next.figure("app.operations.submit-check.fulfilled");
        present.signal("TERM");
        until("the old one has ended", || {
            present.child.try_wait().expect("it can be asked").is_some()
        });
        assert_eq!(present.child.wait().expect("it has ended").code(), Some(0));
        until("the new one serves", || {
            next.figure("app.operations.submit-check.fulfilled") > before
        });
        present = next;
    }
    stop.store(true, Ordering::Relaxed);
    let served: u64 = clients
        .into_iter()
        .map(|client| client.join().expect("nothing was lost"))
        .sum();
    assert!(served > 0);
}

/// How the client of the first process ends its wait.
#[derive(Clone, Copy, PartialEq)]
enum Wait {
    GoesOn,
    EndsWithItsConnection,
}

/// A request is sent by one process of an upgrade, and comes again at the other while its server works on it, or after its client
/// has left, or after the process was killed: what must not run twice is not sent on.
#[rstest]
#[case::in_flight(Wait::GoesOn, None)]
#[case::left(Wait::EndsWithItsConnection, None)]
#[case::the_first_is_told_to_end(Wait::EndsWithItsConnection, Some("TERM"))]
#[case::the_first_is_killed(Wait::GoesOn, Some("KILL"))]
fn an_id_that_comes_again_at_the_other_process_does_not_run_twice(
    #[case] wait: Wait,
    #[case] signal: Option<&str>,
) {
    let shared = Shared::new();
    let node = ScriptedServer::new();
    let mut old = shared.start(node.address());
    let text = request_with("5eed000000000a3d", "submit-check", 5_900, "");
    let mut client = Conn::new(TcpStream::connect(shared.address).expect("it accepts"));
    client.write(&text);
    let mut conn = node.accept();
    assert!(conn.read().is_some());
    let new = shared.start(node.address());
    until("the new one says yes", || new.call("PING\n") == "ok\n");
    let mut kept = Some(client);
    if wait == Wait::EndsWithItsConnection {
        kept = None;
        assert!(conn.read().is_none(), "the attempt goes on");
    }
    match signal {
        Some(signal) => {
            old.signal(signal);
            until("the old one has ended", || {
                old.child.try_wait().expect("it can be asked").is_some()
            });
        }
        // Neither accepts anything then but the new one, once the old one is stopped.
        None => old.signal("STOP"),
    }
    let mut again = Conn::new(TcpStream::connect(shared.address).expect("it accepts"));
    again.write(&text);
    assert_eq!(again.read().expect("an answer").status(), 409);
    assert!(!node.has_pending_connect(), "it was sent on");
    // Another id is served.
    serve_all(node);
    let mut other = Conn::new(TcpStream::connect(shared.address).expect("it accepts"));
    other.write(request("submit-check", 5_900, ""));
    assert_eq!(other.read().expect("an answer").status(), 200);
    drop(kept);
}

/// What one process has answered may come again at the other.
#[test]
fn an_id_that_was_answered_by_one_process_is_served_by_the_other() {
    let shared = Shared::new();
    let node = ScriptedServer::new();
    let server = node.address();
    serve_all(node);
    let old = shared.start(server);
    let text = request_with("5eed000000000a4d", "submit-check", 5_900, "");
    let ask = || {
        let mut client = Conn::new(TcpStream::connect(shared.address).expect("it accepts"));
        client.write(&text);
        client.read().expect("an answer").status()
    };
    assert_eq!(ask(), 200);
    let new = shared.start(server);
    until("the new one says yes", || new.call("PING\n") == "ok\n");
    old.signal("STOP");
    assert_eq!(ask(), 200);
    assert_eq!(new.figure("app.operations.submit-check.fulfilled"), 1);
}

/// Killed before it could serve, the new process has taken nothing.
#[test]
fn a_new_process_that_dies_at_once_is_not_noticed() {
    let shared = Shared::new();
    let node = ScriptedServer::new();
    let old = shared.start(node.address());
    drop(shared.start(node.address()));
    old.serves(&[&node]);
}

#[test]
fn a_descriptor_that_is_no_such_socket_ends_the_start_with_one_line() {
    let node = ScriptedServer::new();
    let sidecar = asked(&[&node]);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let elsewhere = rustix::io::dup(&listener).expect("a descriptor is free");
    let stream =
        TcpStream::connect(listener.local_addr().expect("it is bound")).expect("it accepts");
    let stream = rustix::io::dup(&stream).expect("a descriptor is free");
    for (number, why) in [
        ("900".to_string(), "is not open"),
        ("three".to_string(), "invalid digit"),
        ("2".to_string(), "standard stream"),
        (stream.as_raw_fd().to_string(), "no listening stream socket"),
        (
            elsewhere.as_raw_fd().to_string(),
            "clients are to connect to",
        ),
    ] {
        let mut command = Command::new(env!("CARGO_BIN_EXE_madderloom"));
        command
            .arg("serve")
            .env("RELAY_CONFIG", &sidecar.config.1)
            .env("RELAY_ACCEPT_FD", &number);
        let done = command
            .stderr(Stdio::piped())
            .output()
            .expect("it starts and ends");
        let errors = String::from_utf8(done.stderr).expect("text");
        assert!(
            !done.status.success() && errors.contains("RELAY_ACCEPT_FD: "),
            "{errors}"
        );
        assert!(errors.contains(why), "{errors}");
    }
    assert!(matches!(
        TcpStream::connect(sidecar.address).map_err(|e| e.kind()),
        Ok(_) | Err(ErrorKind::Interrupted)
    ));
}
