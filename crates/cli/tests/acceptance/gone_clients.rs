//! A client that has closed its connection has gone: no attempt for it begins any more, also where nobody reads up to the
//! end that it has written.

use crate::rig::{Conn, Options, ScriptedServer, Sidecar, accept_any, request_with, until};
use crate::{Asked, close_all, is_served, late_connections};
use rstest::rstest;
use std::time::Instant;

/// What a client has written behind its request, unread when its end comes.
#[derive(Clone, Copy, Debug)]
enum Unread {
    Nothing,
    /// The beginning of a next request.
    NextRequest,
    /// A body of which little has come: it is passed on as it comes, and read no further until a server takes it.
    PausedBody,
}

impl Unread {
    /// A client that asks so and leaves it at that.
    fn ask(self, sidecar: &Sidecar, id: &str) -> Conn {
        let mut client = sidecar.client();
        match self {
            Unread::Nothing => client.write(request_with(id, "recheck", 5_900, "")),
            Unread::NextRequest => {
                client.write(
                    request_with(id, "recheck", 5_900, "") + "POST /recheck HTTP/1.1\r\nHost: s",
                );
            }
            Unread::PausedBody => {
                client.write(format!(
                    "POST /recheck HTTP/1.1\r\nHost: s\r\nX-Trace-Id: {id}\r\nX-Expires-In-Ms: 5900\r\n\
                     Idempotency-Key: k\r\nContent-Length: 4000000\r\n\r\n"
                ));
                client.write(vec![b'x'; 60_000]);
            }
        }
        client
    }
}

/// The attempt that a connection is opened for has not begun: nothing has been written.
#[rstest]
fn a_client_that_leaves_while_a_connection_comes_up_gets_no_attempt(
    #[values(Unread::Nothing, Unread::NextRequest, Unread::PausedBody)] unread: Unread,
    #[values(1, 60)] clients: usize,
    #[values(false, true)] drains: bool,
) {
    let node = ScriptedServer::new();
    let options = Options {
        edit: late_connections,
        ..Options::default()
    };
    let mut sidecar = Sidecar::with(&[node.address()], options);
    let held = node.block_connections();
    let ids: Vec<String> = (0..clients)
        .map(|number| format!("gone-{number}"))
        .collect();
    let waiting: Vec<Conn> = ids.iter().map(|id| unread.ask(&sidecar, id)).collect();
    until("connections are tried", || node.has_pending_connect());
    // This one stays, on a connection that it opened before any drain.
    let mut stays = sidecar.client();
    stays.write(request_with("stays", "recheck", 5_900, ""));
    if drains {
        sidecar.signal("TERM");
        sidecar.wait_for("stopping");
    }
    close_all(waiting, sidecar.address.port());
    let closed_at = Instant::now();
    drop(held);
    let asked = Asked::by(node);
    assert_eq!(stays.read().expect("an answer").status(), 200);
    assert_eq!(
        (asked.times("stays"), asked.all()),
        (1, 1),
        "an attempt began for a client that had gone: {:?}",
        asked.since(closed_at)
    );
}

/// The first attempt has been read whole when its client leaves, and is lost then. The class may be repeated.
#[rstest]
fn a_client_that_leaves_under_its_first_attempt_gets_no_second(
    #[values(Unread::Nothing, Unread::NextRequest)] unread: Unread,
) {
    let nodes = [ScriptedServer::new(), ScriptedServer::new()];
    let sidecar = Sidecar::start(&[nodes[0].address(), nodes[1].address()]);
    let client = unread.ask(&sidecar, "gone");
    let (_, mut conn) = accept_any(&[&nodes[0], &nodes[1]]);
    assert_eq!(
        conn.read().expect("the first attempt").header("x-trace-id"),
        Some("gone")
    );
    close_all(vec![client], sidecar.address.port());
    let closed_at = Instant::now();
    conn.reset();
    let asked = nodes.map(Asked::by);
    // Two in a row, since the first may find its connection before the repeat would have.
    is_served(sidecar.client());
    is_served(sidecar.client());
    assert_eq!(
        asked.iter().map(|asked| asked.times("gone")).sum::<u32>(),
        0,
        "a second attempt began: {:?}",
        asked.each_ref().map(|asked| asked.since(closed_at))
    );
}

/// A client leaves while a server works on its request, and sends the same request again: what must not run twice is not sent on,
/// what may is.
#[rstest]
#[case::must_not_run_twice("submit-check", false)]
#[case::may_run_twice("recheck", true)]
fn an_id_that_comes_again_after_its_client_left_does_not_run_twice(
    #[case] class: &str,
    #[case] runs_again: bool,
) {
    let node = ScriptedServer::new();
    let sidecar = Sidecar::start(&[node.address()]);
    let text = request_with("5eed00000000001d", class, 5_900, "");
    let mut client = sidecar.client();
    client.write(&text);
    let mut conn = node.accept();
    assert!(conn.read().is_some());
    client.close();
    assert!(conn.read().is_none(), "the attempt goes on");
    let asked = Asked::by(node);
    let mut again = sidecar.client();
    again.write(&text);
    let status = again.read().expect("an answer").status();
    assert_eq!(status, if runs_again { 200 } else { 409 });
    assert_eq!(asked.all(), u32::from(runs_again));
}

/// What its client left before it had come whole has run nowhere: it is taken when it comes again.
#[test]
fn an_id_whose_request_never_came_whole_is_served_when_it_comes_again() {
    let node = ScriptedServer::new();
    let sidecar = Sidecar::start(&[node.address()]);
    let asked = Asked::by(node);
    let text = request_with("5eed00000000002d", "submit-check", 5_900, "");
    let mut client = sidecar.client();
    client.write(&text[..text.len() - 2]);
    until("it has been read", || {
        !crate::has_unread(sidecar.address.port())
    });
    client.close();
    let mut again = sidecar.client();
    again.write(&text);
    assert_eq!(again.read().expect("an answer").status(), 200);
    assert_eq!(asked.all(), 1);
}

/// A client that has sent many requests at once closes its connection while the first is at work: none of the others is sent on.
#[test]
fn requests_that_lie_unread_behind_a_close_are_not_sent_on() {
    const REQUESTS: u32 = 400;
    let node = ScriptedServer::new();
    let sidecar = Sidecar::start(&[node.address()]);
    let mut client = sidecar.client();
    let requests: String = (0..REQUESTS)
        .map(|number| request_with(&format!("5eed0000{number:08x}"), "submit-check", 5_900, ""))
        .collect();
    client.write(&requests);
    let mut conn = node.accept();
    assert!(conn.read().is_some());
    client.close();
    assert!(conn.read().is_none(), "the attempt goes on");
    let asked = Asked::by(node);
    is_served(sidecar.client());
    assert_eq!(asked.all(), 1, "more than what came behind the close");
}
