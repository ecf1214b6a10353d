//! Clients that read nothing, or write without end.

use crate::rig::{Conn, ScriptedServer, Sidecar, request, serve_all, until};
use crate::{
    CLASS, IN_TIME, WAITS_MS, is_at_rest, is_reached, others_are_served, start, until_within,
};
use std::thread::JoinHandle;

/// What is written at once.
const PIECE: usize = 64 << 10;
/// Longer than all buffers on the way of an answer.
const LONG_ANSWER: usize = 64 << 20;
/// The longest body that is taken, and how many pieces of it are sent.
const LONG_BODY: usize = 256 << 20;
const PIECES: usize = LONG_BODY / PIECE;
/// Clients that write without end at once.
const WRITERS: usize = 8;

/// Writes pieces in a thread of its own, until there are so many or nobody reads any more.
fn pour(mut conn: Conn, pieces: usize) -> JoinHandle<Conn> {
    std::thread::spawn(move || {
        conn.write_repeatedly(vec![b'x'; PIECE], pieces);
        conn
    })
}

/// A client that sends a body of [`LONG_BODY`], as fast as it is read.
fn uploads(sidecar: &Sidecar) -> JoinHandle<Conn> {
    let mut client = sidecar.client();
    client.write(format!(
        "POST /{CLASS} HTTP/1.1\r\nHost: s\r\nX-Trace-Id: long\r\nX-Expires-In-Ms: {WAITS_MS}\r\n\
         Idempotency-Key: k\r\nContent-Length: {LONG_BODY}\r\n\r\n"
    ));
    pour(client, PIECES)
}

/// A server that reads a request's beginning, and then as many pieces of its body as it is told to.
fn takes_pieces(node: &ScriptedServer, pieces: usize) -> Conn {
    let mut conn = node.accept();
    while !conn.line().expect("a head").is_empty() {}
    let mut piece = vec![0; PIECE];
    (0..pieces).for_each(|_| conn.read_exact(&mut piece));
    conn
}

#[test]
fn a_client_that_reads_nothing_of_its_answer_holds_up_nobody_else() {
    let node = ScriptedServer::new();
    let sidecar = start(&[&node]);
    let client = sidecar.ask(CLASS, WAITS_MS);
    let mut conn = node.accept();
    assert!(conn.read().is_some());
    conn.write(format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {LONG_ANSWER}\r\n\r\n"
    ));
    let writes = pour(conn, LONG_ANSWER / PIECE);
    serve_all(node);
    until("its answer lies unread", || {
        client.unread_incoming() >= PIECE as u64
    });
    is_reached(&sidecar);
    others_are_served(&sidecar);
    is_at_rest(&sidecar);
    others_are_served(&sidecar);
    assert!(!writes.is_finished(), "all of the answer has gone");
    client.close();
    drop(writes.join().expect("it ends with its connection"));
}

/// Its server takes some of the body and no more: the rest lies with the client.
#[test]
fn an_upload_that_its_server_does_not_take_holds_up_nobody_else() {
    let node = ScriptedServer::new();
    let sidecar = start(&[&node]);
    let writes = uploads(&sidecar);
    let conn = takes_pieces(&node, 4);
    serve_all(node);
    until("what it does not take lies unread", || {
        conn.unread_incoming() >= PIECE as u64
    });
    is_reached(&sidecar);
    others_are_served(&sidecar);
    is_at_rest(&sidecar);
    others_are_served(&sidecar);
    assert!(!writes.is_finished(), "all of the body has gone");
    drop(conn);
    drop(sidecar);
    drop(writes.join().expect("it ends with its connection"));
}

#[test]
fn an_upload_as_fast_as_it_is_taken_holds_up_nobody_else() {
    let node = ScriptedServer::new();
    let sidecar = start(&[&node]);
    let writes = uploads(&sidecar);
    let mut conn = takes_pieces(&node, 4);
    serve_all(node);
    let takes = std::thread::spawn(move || conn.drain());
    others_are_served(&sidecar);
    assert!(
        !writes.is_finished(),
        "it was over before the others were served"
    );
    drop(sidecar);
    drop(writes.join().expect("it ends with its connection"));
    takes.join().expect("it ends with its connection");
}

/// The same, once the process has told its clients to close. What others have asked for by then is answered.
#[test]
fn an_upload_that_goes_on_while_the_process_stops_holds_up_no_answer() {
    let node = ScriptedServer::new();
    let mut sidecar = start(&[&node]);
    let mut other = sidecar.ask(CLASS, WAITS_MS);
    let mut answers = node.accept();
    assert!(answers.read().is_some());
    let writes = uploads(&sidecar);
    let mut conn = takes_pieces(&node, 4);
    let takes = std::thread::spawn(move || conn.drain());
    sidecar.signal("TERM");
    sidecar.wait_for("closed to new clients");
    answers.respond("200 OK", "made");
    until_within(IN_TIME, "a request that was open has its answer", || {
        other.is_readable()
    });
    assert_eq!(other.read().expect("an answer").status(), 200);
    drop(sidecar);
    drop(writes.join().expect("it ends with its connection"));
    takes.join().expect("it ends with its connection");
}

/// Behind an answer that ends its connection: the lingering close reads what still comes, for a second and up to 1 MiB.
#[test]
fn clients_that_write_without_end_into_a_lingering_close_hold_up_nobody_else() {
    let node = ScriptedServer::new();
    let sidecar = start(&[&node]);
    serve_all(node);
    let begin = || {
        let mut client = sidecar.client();
        client.write(request(CLASS, WAITS_MS, "Connection: close\r\n"));
        pour(client, PIECES)
    };
    let writers: Vec<_> = (0..WRITERS).map(|_| begin()).collect();
    others_are_served(&sidecar);
    for writer in writers {
        drop(
            writer
                .join()
                .expect("its connection is closed over what it writes"),
        );
    }
    is_at_rest(&sidecar);
}
