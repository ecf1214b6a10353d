//! Answers whose head comes and whose body does not: while nothing of the body is there, the client can still get a final answer.

use crate::rig::{Conn, ScriptedServer, Sidecar};
use rstest::rstest;
use std::time::{Duration, Instant};

const TIME_LEFT: Duration = Duration::from_millis(500);
const SLACK: Duration = Duration::from_millis(50);
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
        let framing = match self {
            Framing::ShortLength => "Content-Length: 9\r\n\r\n".to_string(),
            Framing::LongLength => format!("Content-Length: {LONG}\r\n\r\n"),
            Framing::Chunks => "Transfer-Encoding: chunked\r\n\r\n".to_string(),
            Framing::ChunkSize => "Transfer-Encoding: chunked\r\n\r\n9\r\n".to_string(),
            Framing::Close => "\r\n".to_string(),
        };
        format!("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n{framing}")
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
