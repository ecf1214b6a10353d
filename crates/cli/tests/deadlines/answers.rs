//! Answers whose head comes and whose body does not: while nothing of the body is there, the client can still get a final answer.

use crate::SLACK;
use crate::rig::{Conn, LAST_CHUNK, Message, ScriptedServer, Sidecar, chunk, request, serve};
use madderloom_fault_testing::BodyFraming;
use rstest::rstest;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const TIME_LEFT: Duration = Duration::from_millis(500);
/// Longer than what is buffered whole.
const LONG: usize = 200_000;

/// How a server tells where its answer ends.
#[derive(Clone, Copy, Debug)]
enum Framing {
    ShortLength,
    LongLength,
    Chunks,
    /// Chunks, and the size of the first one has come.
    ChunkSize,
    Close,
}

impl Framing {
    fn head(self) -> String {
        match self {
            Framing::ShortLength => BodyFraming::Length.head(9),
            Framing::LongLength => BodyFraming::Length.head(LONG),
            Framing::Chunks => BodyFraming::Chunks.head(LONG),
            Framing::ChunkSize => BodyFraming::Chunks.head(LONG) + "9\r\n",
            Framing::Close => BodyFraming::Close.head(LONG),
        }
    }
}

/// Has the server write this to each request, and stay. Returns the connections, to be kept open.
fn write_to_all(server: &ScriptedServer, bytes: &str, until: Instant) -> Vec<Conn> {
    let mut conns = Vec::new();
    while Instant::now() < until {
        if let Some(mut conn) = server.try_accept() {
            if conn.read().is_some() {
                conn.write(bytes);
            }
            conns.push(conn);
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    conns
}

#[rstest]
fn a_head_without_a_byte_of_its_body_is_followed_by_a_complete_answer_in_time(
    #[values("recheck", "submit-check")] class: &str,
    #[values(
        Framing::ShortLength,
        Framing::LongLength,
        Framing::Chunks,
        Framing::ChunkSize,
        Framing::Close
    )]
    framing: Framing,
) {
    let server = ScriptedServer::new();
    let sidecar = Sidecar::start(&[server.address()]);
    let asked_at = Instant::now();
    let mut client = sidecar.ask(class, TIME_LEFT.as_millis() as u64);
    let until = asked_at + 3 * TIME_LEFT;
    let written = std::thread::spawn(move || write_to_all(&server, &framing.head(), until));
    let answer = client.read_complete();
    let took = asked_at.elapsed();
    let status = answer.expect("a complete answer").status();
    assert!([502, 503].contains(&status), "{status}");
    assert!(took <= TIME_LEFT + SLACK, "answered after {took:?}");
    drop(written.join().expect("the server ends"));
}

/// Pieces of a slow answer, of [`PIECE_BYTES`] each, in chunks.
const PIECES: usize = 4;
const PIECE_BYTES: usize = 2_000;
/// The time of the clients of small requests beside slow answers, and the pause between two of them.
const SMALL_TIME_LEFT_MS: u64 = 900;
const SMALL_PAUSE: Duration = Duration::from_millis(10);

/// Answers a request for something slow piece by piece, so many milliseconds apart, and others at once.
fn answer_slowly(message: &Message, conn: &mut Conn) -> bool {
    let Some(pause_ms) = message.header("x-pause-ms") else {
        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmade";
        conn.write_repeatedly(answer.to_vec(), 1);
        return true;
    };
    let pause = Duration::from_millis(pause_ms.parse().expect("a number"));
    conn.write_repeatedly(Framing::Chunks.head().into_bytes(), 1);
    let piece = chunk(&[b'x'; PIECE_BYTES]);
    for _ in 0..PIECES {
        std::thread::sleep(pause);
        conn.write_repeatedly(piece.clone(), 1);
    }
    conn.write_repeatedly(LAST_CHUNK.to_vec(), 1);
    true
}

/// The statuses of small requests, made one after another until `stop` is set; 0 without an answer.
fn ask_small(sidecar: &Sidecar, stop: &AtomicBool) -> Vec<u16> {
    let mut statuses = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let answer = sidecar.ask("recheck", SMALL_TIME_LEFT_MS).read();
        statuses.push(answer.map_or(0, |answer| answer.status()));
        std::thread::sleep(SMALL_PAUSE);
    }
    statuses
}

/// A server that writes its answer slowly works on nothing else for it: neither such answers nor others are refused.
#[rstest]
#[case::a_second_in_all(300, 2_000)]
#[case::beyond_the_clients_time(700, 1_500)]
fn slow_answers_come_whole_and_let_others_be_served(
    #[case] pause_ms: u64,
    #[case] time_left_ms: u64,
    #[values("recheck", "submit-check")] class: &'static str,
) {
    const AT_ONCE: usize = 12;
    const ROUNDS: usize = 3;
    let servers: Vec<ScriptedServer> = (0..3).map(|_| ScriptedServer::new()).collect();
    let addresses: Vec<_> = servers.iter().map(ScriptedServer::address).collect();
    for server in servers {
        serve(server, answer_slowly);
    }
    let sidecar = Arc::new(Sidecar::start(&addresses));
    let stop = Arc::new(AtomicBool::new(false));
    let (small_sidecar, small_stop) = (Arc::clone(&sidecar), Arc::clone(&stop));
    let small = std::thread::spawn(move || ask_small(&small_sidecar, &small_stop));
    let mut whole = 0;
    for _ in 0..ROUNDS {
        let clients: Vec<Conn> = (0..AT_ONCE)
            .map(|_| {
                let mut client = sidecar.client();
                let header = format!("X-Pause-Ms: {pause_ms}\r\n");
                client.write(request(class, time_left_ms, &header));
                client
            })
            .collect();
        let answers = clients.into_iter().map(|mut client| client.read_complete());
        whole += answers
            .flatten()
            .filter(|answer| answer.status() == 200)
            .filter(|answer| answer.body.len() == PIECES * PIECE_BYTES)
            .count();
    }
    stop.store(true, Ordering::Relaxed);
    let small = small.join().expect("it ends");
    let served = small.iter().filter(|status| **status == 200).count();
    println!(
        "{whole} of {} slow ones whole, {served} of {} small ones served",
        AT_ONCE * ROUNDS,
        small.len()
    );
    assert_eq!(
        (whole, served),
        (AT_ONCE * ROUNDS, small.len()),
        "refused, cut off or lost"
    );
}
