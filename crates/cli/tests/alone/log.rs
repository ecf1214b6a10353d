//! The log under a flood: whoever reads it, slowly or not at all, the answers are the same.

use crate::rig::{
    Conn, Options, PATIENCE, ScriptedServer, Sidecar, request, serve, serve_all, until,
};
use rstest::rstest;
use std::io::{BufRead, BufReader};
use std::net::TcpStream;
use std::process::{ChildStderr, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// What its standard error is read by.
fn take_errors(sidecar: &mut Sidecar) -> BufReader<ChildStderr> {
    let mut nobody = Command::new("true")
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");
    let errors = BufReader::new(nobody.stderr.take().expect("piped"));
    nobody.wait().expect("it ends");
    std::mem::replace(&mut sidecar.errors, errors)
}

/// Its lines, as they come.
fn lines(errors: BufReader<ChildStderr>) -> Receiver<String> {
    let (tell, told) = channel();
    std::thread::spawn(move || {
        errors
            .lines()
            .map_while(Result::ok)
            .all(|line| tell.send(line).is_ok())
    });
    told
}

/// Waits for a line that holds this.
fn comes(told: &Receiver<String>, text: &str) -> String {
    let until = Instant::now() + PATIENCE;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        let line = told
            .recv_timeout(left)
            .unwrap_or_else(|_| panic!("it never says {text}"));
        if line.contains(text) {
            return line;
        }
    }
}

fn resident_kb(sidecar: &Sidecar) -> u64 {
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", sidecar.child.id())).expect("it runs");
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .expect("it is told");
    line.trim()
        .trim_end_matches(" kB")
        .parse()
        .expect("a number")
}

#[derive(Clone, Copy, PartialEq)]
enum Errors {
    Read,
    /// A pipe that is full.
    Unread,
    /// A pipe that nobody has the other end of.
    Closed,
}

/// At the level `debug` each request is several lines: more than a pipe and the queue hold.
#[rstest]
#[case::read(Errors::Read)]
#[case::unread(Errors::Unread)]
#[case::closed(Errors::Closed)]
fn a_flood_is_served_alike_whoever_reads_the_log(#[case] errors: Errors) {
    let nodes = [ScriptedServer::new(), ScriptedServer::new()];
    let addresses = nodes.each_ref().map(ScriptedServer::address);
    for node in nodes {
        serve_all(node);
    }
    let options = Options {
        arguments: "--log-level debug",
        control: true,
        ..Options::default()
    };
    let mut sidecar = Sidecar::with(&addresses, options);
    let told = match errors {
        Errors::Read => Some(lines(take_errors(&mut sidecar))),
        Errors::Closed => {
            drop(take_errors(&mut sidecar));
            None
        }
        Errors::Unread => None,
    };
    let mut before = 0;
    let mut client = sidecar.client();
    for round in 0..4_000 {
        if round == 200 {
            before = resident_kb(&sidecar);
        }
        client.write(request("recheck", 5_000, ""));
        assert_eq!(
            client
                .read()
                .expect("it answers, whoever reads its log")
                .status(),
            200
        );
    }
    let ended = ["fulfilled", "throttled", "faulted"]
        .map(|end| sidecar.figure(&format!("app.operations.recheck.{end}")));
    assert_eq!(
        (ended, sidecar.figure("app.open_requests")),
        ([4_000, 0, 0], 0),
        "taken is ended and open"
    );
    let grown = resident_kb(&sidecar).saturating_sub(before);
    assert!(grown < 4_096, "it has grown by {grown} kB");
    sidecar.signal("TERM");
    until("it has ended", || {
        sidecar.child.try_wait().expect("it can be asked").is_some()
    });
    assert_eq!(sidecar.child.wait().expect("it has ended").code(), Some(0));
    if let Some(told) = told {
        // The last line of all is there.
        comes(&told, "closed to new clients");
    }
}

/// A line of a kind that comes for each request is told of, and does not crowd out what the regions do.
#[test]
fn in_a_flood_of_one_kind_the_rest_is_counted_and_region_moves_are_told() {
    let (well, ill) = (ScriptedServer::new(), ScriptedServer::new());
    let addresses = [well.address(), ill.address()];
    let slow = Arc::new(AtomicBool::new(false));
    let is_slow = Arc::clone(&slow);
    serve(well, move |_, conn| {
        std::thread::sleep(Duration::from_millis(if is_slow.load(Ordering::Relaxed) {
            60
        } else {
            0
        }));
        conn.respond("200 OK", "made");
        true
    });
    // An answer that breaks off when its head has gone on to the client: one line for each.
    serve(ill, |_, conn| {
        std::thread::sleep(Duration::from_millis(3));
        conn.write("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nits beginning");
        false
    });
    let mut sidecar = Sidecar::start(&addresses);
    let told = lines(take_errors(&mut sidecar));
    let address = sidecar.address;
    let over = Arc::new(AtomicBool::new(false));
    let is_over = Arc::clone(&over);
    let broken = Arc::new(AtomicU64::new(0));
    let counts_broken = Arc::clone(&broken);
    let flood = std::thread::spawn(move || {
        while !is_over.load(Ordering::Relaxed) {
            let mut client = Conn::new(TcpStream::connect(address).expect("it accepts"));
            client.write(request("recheck", 5_000, ""));
            counts_broken.fetch_add(u64::from(client.read().is_none()), Ordering::Relaxed);
        }
    });
    let counted = comes(
        &told,
        " more lines like those of madderloom_sidecar::response_body",
    );
    let written = |line: &str| {
        line.split(' ')
            .nth(1)
            .and_then(|count| count.parse::<u64>().ok())
    };
    assert!(
        written(&counted).is_some_and(|left_out| left_out > 10),
        "{counted}"
    );
    // How many answers break off within a second is up to the machine; that over a hundred do is a flood.
    until("over a hundred answers broke off", || {
        broken.load(Ordering::Relaxed) > 100
    });
    // The flood goes on, and the server that was well becomes slow.
    slow.store(true, Ordering::Relaxed);
    let moved = comes(&told, "regions moved: ");
    assert!(
        moved.contains("% to ") && moved.contains(" over time "),
        "{moved}"
    );
    comes(&told, "n0 from ");
    over.store(true, Ordering::Relaxed);
    flood.join().expect("it ends");
}
