//! Servers that take nothing of what is sent to them.

use crate::rig::{Conn, ScriptedServer, Sidecar, serve_all, until};
use crate::{CLASS, WAITS_MS, is_at_rest, is_reached, others_are_served, start, until_read};
use std::time::Duration;

/// As long as a body may be that is kept whole before it is sent.
const LONG: usize = 1 << 20;
/// A connection is used again once nothing has come behind its answer for 20 ms.
const QUIET: Duration = Duration::from_millis(40);
/// What the process reads of an answer at once: one that fills it leaves the connection remembered as readable.
const READ: usize = 1 << 10;
/// More requests of that length than the system holds for a server that reads nothing.
const MOST: u64 = 40;

/// Parts of a message that are written at once.
const CHUNKS: usize = 10_000;

/// A request with a body of this length.
fn long_request(length: usize) -> Vec<u8> {
    let head = format!(
        "POST /{CLASS} HTTP/1.1\r\nHost: s\r\nX-Trace-Id: long\r\nX-Expires-In-Ms: {WAITS_MS}\r\n\
         Idempotency-Key: k\r\nContent-Length: {length}\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + length, b'x');
    bytes
}

/// An answer that is so long with its head.
fn answer_of(length: usize) -> String {
    let head = |body: usize| format!("HTTP/1.1 200 OK\r\nContent-Length: {body}\r\n\r\n");
    let body = length - head(length).len();
    let body = body + (length - head(body).len() - body);
    format!("{}{}", head(body), "x".repeat(body))
}

/// Long requests over one connection to a server that reads none of them and answers each, until one does not fit into
/// what the system holds. The answer before it has filled the buffer that it was read into, so the connection is
/// remembered as readable, and nothing more has come. With it comes the length that is not reached.
fn stuck_behind_an_answer(
    sidecar: &Sidecar,
    node: &ScriptedServer,
    client: &mut Conn,
) -> (Conn, u64) {
    client.write(long_request(LONG));
    let mut conn = node.accept();
    for number in 1..=MOST {
        until("a long request is on its way", || {
            conn.unread_incoming() > (number - 1) * LONG as u64
        });
        until_read(client);
        is_reached(sidecar);
        if conn.unread_incoming() < number * LONG as u64 {
            return (conn, number * LONG as u64);
        }
        conn.write(answer_of(READ));
        assert_eq!(client.read().expect("an answer").status(), 200);
        // A connection that is used too early would not be this one.
        std::thread::sleep(QUIET);
        client.write(long_request(LONG));
    }
    panic!("the system holds {MOST} requests of {LONG} bytes");
}

#[test]
fn a_server_that_takes_nothing_of_a_request_holds_up_nobody_else() {
    let node = ScriptedServer::new();
    let sidecar = start(&[&node]);
    let mut client = sidecar.client();
    let (conn, whole) = stuck_behind_an_answer(&sidecar, &node, &mut client);
    serve_all(node);
    others_are_served(&sidecar);
    is_at_rest(&sidecar);
    others_are_served(&sidecar);
    assert!(
        conn.unread_incoming() < whole && !client.is_readable(),
        "its request is not stuck"
    );
    // Its connection breaks before its last byte: it is sent again, to where it is taken.
    conn.reset();
    assert_eq!(client.read().expect("an answer").status(), 200);
}

/// A server that writes one byte of its answer after the other, each in a chunk of its own, to a client that reads all.
#[test]
fn an_answer_in_chunks_without_end_holds_up_nobody_else() {
    let node = ScriptedServer::new();
    let sidecar = start(&[&node]);
    let mut client = sidecar.ask(CLASS, WAITS_MS);
    let mut conn = node.accept();
    assert!(conn.read().is_some());
    conn.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    let writes = std::thread::spawn(move || {
        conn.write_repeatedly("1\r\nx\r\n".repeat(CHUNKS).into_bytes(), usize::MAX)
    });
    let mut some = vec![0; CHUNKS];
    client.read_exact(&mut some);
    let reads = std::thread::spawn(move || client.drain());
    serve_all(node);
    others_are_served(&sidecar);
    assert!(
        !writes.is_finished() && !reads.is_finished(),
        "it was over before the others were served"
    );
    drop(sidecar);
    writes.join().expect("it ends with its connection");
    reads.join().expect("it ends with its connection");
}

/// A server that says again and again that its answer is yet to come.
#[test]
fn interim_answers_without_end_hold_up_nobody_else() {
    let node = ScriptedServer::new();
    let sidecar = start(&[&node]);
    let client = sidecar.ask(CLASS, WAITS_MS);
    let mut conn = node.accept();
    assert!(conn.read().is_some());
    let interim = "HTTP/1.1 102 Processing\r\n\r\n"
        .repeat(CHUNKS)
        .into_bytes();
    let writes = std::thread::spawn(move || conn.write_repeatedly(interim, usize::MAX));
    serve_all(node);
    is_reached(&sidecar);
    others_are_served(&sidecar);
    assert!(
        !writes.is_finished(),
        "it was over before the others were served"
    );
    drop((client, sidecar));
    writes.join().expect("it ends with its connection");
}
