//! Answers whose length nothing tells: their end is the connection's, and a reset is no end.

use crate::Asked;
use crate::rig::{Conn, LAST_CHUNK, ScriptedServer, Sidecar, accept_any, until};
use madderloom_fault_testing::BodyFraming;
use rstest::rstest;
use std::time::{Duration, Instant};

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

/// A server writes its head and no body, or half of a short one, and stays. The client hears the end of it in its time: an answer that
/// has failed, or one that breaks off and shows it.
#[rstest]
fn an_answer_that_never_ends_is_ended_in_the_clients_time(
    #[values("recheck", "submit-check")] class: &str,
    #[values(BodyFraming::Length, BodyFraming::Chunks, BodyFraming::Close)] end: BodyFraming,
    #[values("", "half")] body: &'static str,
) {
    const TIME_LEFT_MS: u64 = 1_500;
    const SLACK: Duration = Duration::from_millis(300);
    // What has begun without a length may be long, and goes on for as long as its client stays.
    if !matches!(end, BodyFraming::Length) && !body.is_empty() {
        return;
    }
    let node = ScriptedServer::new();
    let sidecar = Sidecar::start(&[node.address()]);
    let started_at = Instant::now();
    let mut client = sidecar.ask(class, TIME_LEFT_MS);
    let server = std::thread::spawn(move || {
        let mut conns = Vec::new();
        while started_at.elapsed() < Duration::from_secs(3) {
            if let Some(mut conn) = node.try_accept() {
                if conn.read().is_some() {
                    conn.write(end.head(9));
                    conn.write(body);
                }
                conns.push(conn);
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    });
    let bytes = rest_or_answer(&mut client);
    let took = started_at.elapsed();
    let limit = Duration::from_millis(TIME_LEFT_MS) + SLACK;
    assert!(took <= limit, "{took:?}: {bytes:?}");
    assert!(!bytes.ends_with("0\r\n\r\n"), "it looks whole: {bytes:?}");
    assert!(
        ["502", "503", "200"].contains(&bytes.split(' ').nth(1).unwrap_or_default()),
        "{bytes:?}"
    );
    server.join().expect("the server ends");
}

/// What comes until an answer other than 200, or the end of the connection.
fn rest_or_answer(client: &mut Conn) -> String {
    let status_line = client.line().unwrap_or_default();
    if !status_line.starts_with("HTTP/1.1 200") {
        return status_line;
    }
    status_line + &String::from_utf8_lossy(&rest(client))
}

/// A server writes its head, pauses, and writes the body in two halves with a pause between them. The answer is sound, however
/// late its body begins; nothing of it is cut off.
#[rstest]
fn a_body_that_begins_late_and_pauses_is_not_cut_off(
    #[values("recheck", "submit-check")] class: &str,
    #[values(BodyFraming::Length, BodyFraming::Chunks, BodyFraming::Close)] end: BodyFraming,
    #[values(1_000, LONG)] length: usize,
    #[values(0, 600)] pause_between_ms: u64,
) {
    const PAUSE: Duration = Duration::from_millis(600);
    // A short answer that stops half way, and may be asked for elsewhere, is.
    if class == "recheck"
        && length < LONG
        && matches!(end, BodyFraming::Length)
        && pause_between_ms > 0
    {
        return;
    }
    let node = ScriptedServer::new();
    let sidecar = Sidecar::start(&[node.address()]);
    let mut client = sidecar.ask(class, 3_000);
    let mut conn = node.accept();
    assert!(conn.read().is_some());
    let body = vec![b'x'; length];
    conn.write(end.head(length));
    std::thread::sleep(PAUSE);
    conn.write(end.piece(&body[..length / 2]));
    std::thread::sleep(Duration::from_millis(pause_between_ms));
    conn.write(end.piece(&body[length / 2..]));
    conn.write(end.end());
    if matches!(end, BodyFraming::Close) {
        drop(conn);
    }
    let answer = client.read_complete().expect("an answer");
    assert_eq!(answer.status(), 200);
    assert!(answer.body == body, "{} bytes came", answer.body.len());
}
