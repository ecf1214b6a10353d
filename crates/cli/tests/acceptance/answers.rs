//! Answers whose length nothing tells: their end is the connection's, and a reset is no end.

use crate::Asked;
use crate::rig::{Conn, ScriptedServer, Sidecar, accept_any, until};
use rstest::rstest;

/// The head of an answer that has neither a length nor chunks.
const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n";
/// Longer than what is taken whole before any of it goes on.
const LONG: usize = 200_000;

const HALF: &str = "half of what was to come";

/// Reads what comes of an answer, chunks of it or not, to the end of its connection.
fn rest(client: &mut Conn) -> Vec<u8> {
    let mut bytes = Vec::new();
    client.read_to_end(&mut bytes);
    bytes
}

/// A short answer without a length is passed on 50 ms behind its head, whether its end has come or not. Reset before, it has
/// failed, or is asked for elsewhere where it may run twice; reset later, it breaks off at the client. Half of it is
/// never an answer that looks whole.
#[rstest]
#[case::may_run_twice_reset_at_once("recheck", false)]
#[case::must_not_reset_at_once("submit-check", false)]
#[case::may_run_twice_reset_later("recheck", true)]
#[case::must_not_reset_later("submit-check", true)]
fn half_of_a_short_answer_without_a_length_never_looks_whole(
    #[case] class: &str,
    #[case] later: bool,
) {
    let mut nodes = vec![ScriptedServer::new(), ScriptedServer::new()];
    let addresses = [nodes[0].address(), nodes[1].address()];
    let sidecar = Sidecar::start(&addresses);
    let mut client = sidecar.ask(class, 5_900);
    let (first, mut conn) = accept_any(&[&nodes[0], &nodes[1]]);
    assert!(conn.read().is_some());
    let asked = Asked::by(nodes.remove(1 - first));
    conn.write(format!("{HEAD}{HALF}"));
    if later {
        until("its beginning is passed on", || client.is_readable());
    }
    conn.reset();
    let bytes = rest(&mut client);
    let text = String::from_utf8_lossy(&bytes);
    let again = class == "recheck";
    match text.split(' ').nth(1) {
        Some("200") if text.contains(HALF) => {
            assert!(!text.ends_with("0\r\n\r\n"), "it looks whole: {text}")
        }
        Some("200") => assert!(again && !later && text.ends_with("made"), "{text}"),
        Some("502") => assert!(!again && !later, "{text}"),
        _ => panic!("{text:?}"),
    }
    assert!(asked.all() <= u32::from(again), "it was sent once more");
}

/// A long answer is passed on as it comes. Ended by its server it ends at the client; reset, it breaks off there too.
#[rstest]
#[case::ended(true)]
#[case::reset(false)]
fn a_long_answer_without_a_length_ends_only_where_its_server_ends_it(#[case] ended: bool) {
    const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
    let node = ScriptedServer::new();
    let sidecar = Sidecar::start(&[node.address()]);
    let mut client = sidecar.ask("submit-check", 5_900);
    let mut conn = node.accept();
    assert!(conn.read().is_some());
    let port = conn.peer_port();
    conn.write(HEAD);
    conn.write(vec![b'x'; LONG]);
    until("it has been read", || !crate::has_unread(port));
    let head = client.read().expect("a head");
    assert_eq!(head.status(), 200);
    assert_eq!(
        head.header("transfer-encoding"),
        Some("chunked"),
        "{:?}",
        head.headers
    );
    match ended {
        true => drop(conn),
        false => conn.reset(),
    }
    let bytes = rest(&mut client);
    assert_eq!(
        bytes.ends_with(LAST_CHUNK),
        ended,
        "{} bytes came",
        bytes.len()
    );
    assert!(!ended || bytes.iter().filter(|byte| **byte == b'x').count() == LONG);
}
