//! A process that is told to stop while a client is still writing its request's body.

use crate::rig::{LAST_CHUNK, ScriptedServer, Sidecar, chunk, head_with_framing, request, until};
use rstest::rstest;
use std::time::{Duration, Instant};

/// SIGKILL comes no earlier behind SIGTERM at this site, whose clients wait for six seconds, of which three are counted.
const KILLED_AFTER: Duration = Duration::from_millis(3_700);

/// How the length of a body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunks,
}

impl Framing {
    fn header(self, length: usize) -> String {
        match self {
            Framing::Length => format!("Content-Length: {length}"),
            Framing::Chunks => "Transfer-Encoding: chunked".to_string(),
        }
    }

    fn piece(self, bytes: &[u8]) -> Vec<u8> {
        match self {
            Framing::Length => bytes.to_vec(),
            Framing::Chunks => chunk(bytes),
        }
    }

    fn end(self) -> &'static [u8] {
        match self {
            Framing::Length => b"",
            Framing::Chunks => LAST_CHUNK,
        }
    }
}

/// A request whose body is still to come.
fn head(framing: Framing, length: usize) -> String {
    let request = request("submit-check", 5_900, "");
    head_with_framing(&request, &framing.header(length))
}

/// A body of which a part that is missing, doubled or moved shows.
fn body(length: usize) -> Vec<u8> {
    (0..length).map(|at| (at / 251 % 251) as u8).collect()
}

/// A body of each framing that is short enough to be kept whole before anything goes on, and one that is passed on while it
/// comes. The process is told to stop when half of it has come; the client writes the other half piece by piece, the last of
/// it when the listener has closed. All of it arrives at the server, and the answer at the client.
#[rstest]
#[case::kept(Framing::Length, 120_000)]
#[case::kept_chunks(Framing::Chunks, 120_000)]
#[case::passed_on(Framing::Length, 3 << 20)]
#[case::passed_on_chunks(Framing::Chunks, 3 << 20)]
fn an_upload_under_a_sigterm_goes_on_to_its_end_and_is_answered(
    #[case] framing: Framing,
    #[case] length: usize,
) {
    const PIECES: usize = 8;
    let node = ScriptedServer::new();
    let mut sidecar = Sidecar::start(&[node.address()]);
    let sent = body(length);
    let pieces: Vec<Vec<u8>> = sent
        .chunks(length / PIECES)
        .map(|piece| framing.piece(piece))
        .collect();
    let server = std::thread::spawn(move || {
        let mut conn = node.accept();
        let message = conn.read_complete().expect("a request");
        conn.respond("200 OK", "made");
        // It stays open until the process ends: nothing but the process's own end closes it.
        assert!(conn.read().is_none(), "a second request came");
        message.body
    });
    let port = sidecar.address.port();
    let mut client = sidecar.client();
    client.write(head(framing, length));
    pieces[..PIECES / 2]
        .iter()
        .for_each(|piece| client.write(piece));
    until("the first half has been read", || !crate::has_unread(port));
    let told = Instant::now();
    sidecar.signal("TERM");
    sidecar.wait_for("stopping");
    for piece in &pieces[PIECES / 2..PIECES - 1] {
        client.write(piece);
        until("it has been read", || !crate::has_unread(port));
    }
    sidecar.wait_for("closed to new clients");
    pieces[PIECES - 1..]
        .iter()
        .for_each(|piece| client.write(piece));
    client.write(framing.end());
    let answer = client.read().expect("an answer");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, Some("close"))
    );
    assert!(client.read().is_none(), "more than one answer came");
    // As clients do behind the end; the process would wait a second for it.
    client.close();
    assert_eq!(sidecar.child.wait().expect("it ends").code(), Some(0));
    assert!(
        told.elapsed() < KILLED_AFTER,
        "it ended {:?} behind SIGTERM",
        told.elapsed()
    );
    let arrived = server.join().expect("the server had one request");
    assert!(
        arrived == sent,
        "{} bytes arrived of {length}, or others",
        arrived.len()
    );
}

/// The client stops writing for good when the process is told to stop: it is not waited for beyond its time, it is told so,
/// and the process ends in order before the platform would kill it. What has not come whole has run nowhere.
#[test]
fn an_upload_that_stands_still_under_a_sigterm_is_answered_and_does_not_hold_the_process() {
    let node = ScriptedServer::new();
    let mut sidecar = Sidecar::start(&[node.address()]);
    let mut client = sidecar.client();
    client.write(head(Framing::Length, 90_000));
    client.write(body(1_000));
    until("it has been read", || {
        !crate::has_unread(sidecar.address.port())
    });
    let told = Instant::now();
    sidecar.signal("TERM");
    sidecar.wait_for("stopping");
    assert_eq!(client.read().expect("an answer").status(), 408);
    client.close();
    assert_eq!(sidecar.child.wait().expect("it ends").code(), Some(0));
    assert!(
        told.elapsed() < KILLED_AFTER,
        "it ended {:?} behind SIGTERM",
        told.elapsed()
    );
    assert!(node.try_accept().is_none(), "half a request was sent on");
}

/// A server reads the beginning of a long body and then nothing more, or no faster than it takes ten seconds in all. The client's
/// time runs from its last byte, which lies in the system's buffers: its final answer comes within that time.
#[rstest]
#[case::stands_still(0)]
#[case::reads_slowly(300_000)]
fn an_upload_to_a_server_that_reads_slowly_is_answered_in_time(
    #[case] bytes_per_read: usize,
    #[values(Framing::Length, Framing::Chunks)] framing: Framing,
    #[values("submit-check", "recheck")] class: &str,
) {
    const LENGTH: usize = 6 << 20;
    const TIME_LEFT: Duration = Duration::from_millis(1_400);
    const SLACK: Duration = Duration::from_millis(50);
    let node = ScriptedServer::new();
    let sidecar = Sidecar::start(&[node.address()]);
    let server = std::thread::spawn(move || {
        let mut conns = Vec::new();
        let until = Instant::now() + Duration::from_secs(8);
        while Instant::now() < until {
            conns.extend(node.try_accept());
            for conn in &mut conns {
                conn.skip_available(bytes_per_read);
            }
            std::thread::sleep(Duration::from_millis(500));
        }
    });
    let mut client = sidecar.client();
    let request = request(class, TIME_LEFT.as_millis() as u64, "");
    let head = head_with_framing(&request, &framing.header(LENGTH));
    client.write(
        [
            head.as_bytes(),
            &framing.piece(&body(LENGTH)),
            framing.end(),
        ]
        .concat(),
    );
    let last_byte_at = Instant::now();
    let answer = client.read();
    let took = last_byte_at.elapsed();
    assert!(took <= TIME_LEFT + SLACK, "answered after {took:?}");
    let status = answer.expect("an answer").status();
    assert!([502, 503].contains(&status), "{status}");
    drop(sidecar);
    server.join().expect("the server ends");
}
