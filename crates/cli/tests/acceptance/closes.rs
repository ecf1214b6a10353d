//! Closes of connections, by this side and by others, while something is on its way.

use crate::Asked;
use crate::rig::{Conn, Options, ScriptedServer, Sidecar, request, until};
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Clients wait for six seconds at this site, of which the platform counts three: SIGKILL comes 3.7 s behind SIGTERM.
const KILLED_AFTER: Duration = Duration::from_millis(3_700);

/// A request that comes on an open connection behind SIGTERM, and whose server hangs.
#[test]
fn what_comes_behind_a_sigterm_has_its_answer_before_the_platform_kills() {
    let node = ScriptedServer::new();
    let mut sidecar = Sidecar::start(&[node.address()]);
    let mut client = sidecar.client();
    let told = Instant::now();
    sidecar.signal("TERM");
    sidecar.wait_for("stopping");
    client.write(request("submit-check", 5_900, ""));
    let mut conn = node.accept();
    assert!(conn.read().is_some());
    assert_eq!(client.read().expect("an answer").status(), 502);
    assert!(
        told.elapsed() < KILLED_AFTER,
        "{:?} behind SIGTERM",
        told.elapsed()
    );
    assert!(sidecar.child.wait().expect("it ends").success());
}

/// A head of which half has come when the process is told to stop: nothing of it goes on, and nobody waits for the rest.
#[test]
fn half_a_head_under_a_sigterm_is_closed_and_never_sent_on() {
    let node = ScriptedServer::new();
    let mut sidecar = Sidecar::start(&[node.address()]);
    let whole = request("submit-check", 5_900, "");
    let (mut half, mut client) = (sidecar.client(), sidecar.client());
    half.write(&whole[..whole.len() / 2]);
    client.write(request("recheck", 5_900, ""));
    let mut conn = node.accept();
    assert!(conn.read().is_some());
    let told = Instant::now();
    sidecar.signal("TERM");
    sidecar.wait_for("closed to new clients");
    conn.respond("200 OK", "made");
    assert_eq!(client.read().expect("an answer").status(), 200);
    // Its end comes while the connection is read on, and what it writes then is dropped.
    assert!(half.read().is_none());
    half.write(&whole[whole.len() / 2..]);
    drop((half, client));
    let asked = Asked::by(node);
    assert!(sidecar.child.wait().expect("it ends").success());
    assert!(
        told.elapsed() < KILLED_AFTER,
        "it ended {:?} behind SIGTERM",
        told.elapsed()
    );
    assert_eq!(asked.all(), 0);
}

/// Signals that cross: the process ends once, in order, whatever else it is told.
#[test]
fn signals_in_the_first_moment_twice_and_with_sighup_end_it_in_order() {
    let node = ScriptedServer::new();
    for signals in [
        &["TERM"][..],
        &["TERM", "TERM"],
        &["HUP", "TERM", "HUP"],
        &["TERM", "HUP", "TERM"],
    ] {
        let mut sidecar = Sidecar::start(&[node.address()]);
        signals.iter().for_each(|signal| sidecar.signal(signal));
        let ended = sidecar.child.wait().expect("it ends");
        assert!(ended.success(), "{signals:?}: {ended}");
    }
}

/// More than the client's system takes without its reading, so that the end of it lies here when the connection ends.
const LONG: usize = 1 << 20;

/// An answer that ends its connection, over bytes that came behind its request: a close would reset the connection, and what
/// of the answer still lies here would be lost.
#[test]
fn a_close_over_unread_bytes_takes_no_answer_with_it() {
    let node = ScriptedServer::new();
    let sidecar = Sidecar::start(&[node.address()]);
    let stream = TcpStream::connect(sidecar.address).expect("it accepts");
    let port = stream.local_addr().expect("it is connected").port();
    let mut client = Conn::new(stream);
    client.write(request("recheck", 5_900, "Connection: close\r\n"));
    let mut conn = node.accept();
    assert!(conn.read().is_some());
    // More than is read ahead.
    client.write(format!(
        "POST /recheck HTTP/1.1\r\nX-Trace-Id: {}",
        "x".repeat(60_000)
    ));
    conn.write(format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG}\r\n\r\n"));
    conn.write(vec![b'x'; LONG]);
    until("its side has closed", || {
        !is_open(sidecar.address.port(), port)
    });
    let answer = client.read().expect("all of the answer");
    assert_eq!((answer.status(), answer.body.len()), (200, LONG));
}

/// Whether a connection from one local port to another can still be written to from the first.
fn is_open(from: u16, to: u16) -> bool {
    const ESTABLISHED: &str = "01";
    let all = std::fs::read_to_string("/proc/net/tcp").expect("the system's table of connections");
    let (from, to) = (format!(":{from:04X}"), format!(":{to:04X}"));
    all.lines().any(|line| {
        let words: Vec<&str> = line.split_whitespace().collect();
        words.len() > 3
            && words[1].ends_with(&from)
            && words[2].ends_with(&to)
            && words[3] == ESTABLISHED
    })
}

/// A request that is on its way when its idle connection is closed: it is served, or it is not read by anything that could
/// send it on, and its client can tell.
#[test]
fn a_request_that_crosses_the_close_of_its_idle_connection_is_served_or_never_sent_on() {
    let node = ScriptedServer::new();
    let mut sidecar = Sidecar::start(&[node.address()]);
    let asked = Asked::by(node);
    let mut clients: Vec<TcpStream> = (0..40)
        .map(|_| TcpStream::connect(sidecar.address).expect("it accepts"))
        .collect();
    crate::is_served(sidecar.client());
    sidecar.signal("TERM");
    sidecar.wait_for("closed to new clients");
    let mut answered = 0;
    let ids: Vec<String> = (0..clients.len())
        .map(|number| format!("crossing-{number}"))
        .collect();
    for (client, id) in clients.iter_mut().zip(&ids) {
        let _ =
            client.write_all(crate::rig::request_with(id, "submit-check", 5_900, "").as_bytes());
    }
    for (client, id) in clients.into_iter().zip(&ids) {
        let answer = Conn::new(client).read().map(|answer| answer.status());
        assert_eq!(
            asked.times(id),
            u32::from(answer == Some(200)),
            "{id}: {answer:?}"
        );
        answered += u32::from(answer.is_some());
    }
    eprintln!("{answered} of {} were served", ids.len());
    assert!(sidecar.child.wait().expect("it ends").success());
}

/// Cold for a minute, so that a second request is held back until a moment that a timer brings.
fn cold_for_long(config: &mut serde_json::Value) {
    config["settings"]["safety"]["cold"] = 60_000_000.into();
    config["settings"]["safety"]["cold_from"] = 0.01.into();
    config["known"]["endpoints"][0]["since_ms"] = crate::now_ms().into();
}

/// A request waits for a timer while a connection to its server lies idle. The process stands still, the server closes the
/// connection, and the timer is due: when the process goes on, timers come before the looks at sockets.
#[test]
fn a_connection_that_its_server_closed_while_the_process_stood_still_is_not_written_to() {
    let node = ScriptedServer::new();
    let options = Options {
        edit: cold_for_long,
        ..Options::default()
    };
    let sidecar = Sidecar::with(&[node.address()], options);
    let mut client = sidecar.ask("submit-check", 5_900);
    let mut conn = node.accept();
    assert!(conn.read().is_some());
    conn.respond("200 OK", "made");
    assert_eq!(client.read().expect("an answer").status(), 200);
    let mut held = sidecar.ask("submit-check", 5_900);
    // Whether it is held is for the server to tell: it has been read here, and did not go on.
    crate::rig::until("it has been read", || {
        !crate::has_unread(sidecar.address.port())
    });
    sidecar.signal("STOP");
    crate::rig::until("it stands still", || {
        crate::stands_still(sidecar.child.id())
    });
    let went_on = conn.is_readable();
    drop(conn);
    // What it is held by fills up by a quarter of a request a second, and a little less than one is missing.
    std::thread::sleep(Duration::from_millis(4_200));
    sidecar.signal("CONT");
    let asked = Asked::by(node);
    let answer = held.read().expect("an answer").status();
    assert!(!went_on, "it was not held");
    assert_eq!((answer, asked.all()), (200, 1));
}
