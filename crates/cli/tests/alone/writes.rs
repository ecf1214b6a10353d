//! Writes counted over every layer: what one client means to have done arrives whole at servers at most so often, whoever
//! tries again: the client with or without its mark, the module, or a connection that was closed while it lay idle.

use crate::rig::{Conn, Message, ScriptedServer, Sidecar, request_with, serve};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What arrived whole.
#[derive(Default)]
struct Arrived {
    /// By the id of the try.
    by_try: BTreeMap<String, u32>,
    /// By what the client meant, those that were not answered as never run.
    may_have_run: BTreeMap<String, u32>,
    all: u64,
}

/// Ends what arrived in one of eight ways. Whether the connection stays.
fn end(way: u64, conn: &mut Conn) -> bool {
    match way {
        0 => conn.respond("503 Busy\r\nX-Never-Ran: 1", ""),
        1 => conn.respond("503 Busy\r\nX-Never-Ran: 1\r\nConnection: close", ""),
        2 => conn.respond("500 Oops", ""),
        3 => return false,
        4 => conn.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"),
        5 => conn.write("no such thing\r\n\r\n"),
        // It says nothing for longer than the client waits.
        6 => std::thread::sleep(Duration::from_millis(500)),
        // It answers, and closes what the sidecar will keep as idle.
        _ => conn.respond("200 OK", "made"),
    }
    matches!(way, 0 | 2)
}

fn server(arrived: &Arc<Mutex<Arrived>>, ways: &'static [u64]) -> SocketAddr {
    let node = ScriptedServer::new();
    let address = node.address();
    let (arrived, next) = (Arc::clone(arrived), AtomicU64::new(0));
    serve(node, move |message: &Message, conn| {
        let way = ways[next.fetch_add(1, Ordering::Relaxed) as usize % ways.len()];
        let header = |name| message.header(name).expect("it is passed on").to_string();
        let mut arrived = arrived.lock().expect("nobody panics");
        arrived.all += 1;
        *arrived.by_try.entry(header("x-trace-id")).or_default() += 1;
        if way > 1 {
            *arrived.may_have_run.entry(header("x-meaning")).or_default() += 1;
        }
        drop(arrived);
        end(way, conn)
    });
    address
}

/// A server that takes connections and drops them at once.
fn dropper() -> SocketAddr {
    let node = ScriptedServer::new();
    let address = node.address();
    std::thread::spawn(move || {
        loop {
            drop(node.try_accept());
            std::thread::sleep(Duration::from_millis(1));
        }
    });
    address
}

/// A client that means so many things, and tries each up to three times where its class lets it. Gives back its tries.
fn client(at: SocketAddr, number: u64, class: &str, meanings: u64) -> u64 {
    let mut tries = 0;
    for meaning in 0..meanings {
        for number_of_try in 0..3 {
            tries += 1;
            let id = format!("{number:04x}{meaning:08x}{number_of_try:04x}");
            // Every other client marks its tries.
            let mark = if number_of_try > 0 && number.is_multiple_of(2) {
                "X-Second-Try: 1\r\n"
            } else {
                ""
            };
            let more = format!("X-Meaning: {class}-{number}-{meaning}\r\n{mark}");
            let mut conn = Conn::new(TcpStream::connect(at).expect("it accepts"));
            conn.write(request_with(&id, class, 300, &more));
            let status = conn.read().map_or(0, |answer| answer.status());
            assert!(matches!(status, 200 | 502 | 503), "{status}");
            let again = status == 503 || status == 502 && class == "recheck";
            if !again {
                break;
            }
        }
    }
    tries
}

/// Attempts that one request may have, by the settings of the rig.
const MOST_ATTEMPTS: u32 = 6;

fn play(ways: [&'static [u64]; 2], all_fail: bool) {
    let arrived = Arc::<Mutex<Arrived>>::default();
    let nodes = [
        server(&arrived, ways[0]),
        server(&arrived, ways[1]),
        dropper(),
    ];
    let sidecar = Sidecar::start(&nodes);
    let at = sidecar.address;
    let clients = (0..8).map(|number| {
        let class = if number < 4 {
            "submit-check"
        } else {
            "recheck"
        };
        std::thread::spawn(move || client(at, number, class, 12))
    });
    let clients: Vec<_> = clients.collect();
    let tries: u64 = clients
        .into_iter()
        .map(|client| client.join().expect("each try is answered"))
        .sum();
    let arrived = arrived.lock().expect("nobody panics");
    let unsafe_twice: Vec<_> = arrived
        .may_have_run
        .iter()
        .filter(|(of, count)| of.starts_with("submit") && **count > 1)
        .collect();
    assert!(
        unsafe_twice.is_empty(),
        "may have run twice: {unsafe_twice:?}"
    );
    let most = arrived.by_try.values().max().copied().unwrap_or(0);
    assert!(
        most <= MOST_ATTEMPTS,
        "one request was written {most} times"
    );
    assert!(arrived.all > 0);
    // Each request earns half an attempt more, and ten are saved up at the start.
    let bound = tries + tries / 2 + 10;
    assert!(
        arrived.all <= bound,
        "{} writes for {tries} requests",
        arrived.all
    );
    if all_fail {
        // With no answer at all, each meaning costs three tries of its client at most.
        assert!(
            arrived.all <= 8 * 12 * 3 * 3 / 2 + 10,
            "{} writes",
            arrived.all
        );
    }
}

#[test]
fn under_failures_of_every_kind_nothing_unsafe_arrives_twice_and_writes_are_bounded() {
    const EACH: &[u64] = &[7, 0, 1, 2, 7, 3, 4, 5, 7, 6];
    const OTHER: &[u64] = &[0, 3, 7, 1, 5, 2];
    play([EACH, OTHER], false);
}

#[test]
fn when_everything_fails_at_once_the_writes_do_not_feed_themselves() {
    play([&[0, 2, 3], &[1, 4, 5]], true);
}
