//! Lists on a watch in every form that they may come in, and one that stops in its middle.

use crate::rig::{Conn, ScriptedServer, Sidecar, accept_any, listing};
use rstest::rstest;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// From the moment in which a watch falls silent what it misses counts as told after this.
const TOLD: Duration = Duration::from_secs(6);
/// A watch is given up after a longer silence than this: discovery beats every two seconds.
const BEATS: Duration = Duration::from_secs(2);

/// A watch is given up when it has said nothing for so long.
const SILENCE: Duration = Duration::from_secs(3);

/// The next watch: its first line, and the head of its answer is written.
fn watch(discovery: &ScriptedServer) -> (Conn, String) {
    let mut conn = discovery.accept();
    let asked = conn.read().expect("a request").start;
    conn.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    (conn, asked)
}

fn chunk(conn: &mut Conn, bytes: &str) {
    conn.write(format!("{:x}\r\n{bytes}\r\n", bytes.len()));
}

/// Waits until requests reach this node, and the other not any more.
fn settles_on(sidecar: &Sidecar, nodes: [&ScriptedServer; 2], wanted: usize) {
    const IN_A_ROW: usize = 30;
    let mut in_a_row = 0;
    for _ in 0..400 {
        let mut client = sidecar.ask("recheck", 1_900);
        // A connection that came up when its server had begun to drain carries nothing.
        let (at, mut conn) = std::iter::repeat_with(|| accept_any(&nodes))
            .find_map(|(at, mut conn)| conn.read().map(|_| (at, conn)))
            .expect("it goes on accepting");
        conn.write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        assert_eq!(client.read().expect("an answer").status(), 200);
        in_a_row = if at == wanted { in_a_row + 1 } else { 0 };
        if in_a_row == IN_A_ROW {
            return;
        }
    }
    panic!("requests go on to a node that wants none");
}

/// How discovery writes an object.
#[derive(Clone, Copy)]
enum Form {
    Line,
    /// On one line, behind white space.
    BehindSpace,
    /// Over several lines.
    Indented,
    /// The same, a byte at a time.
    Bytes,
}

impl Form {
    fn tell(self, conn: &mut Conn, list: &serde_json::Value) {
        let indented = || serde_json::to_string_pretty(list).expect("it can be written") + "\n";
        match self {
            Form::Line => chunk(conn, &format!("{list}\n")),
            Form::BehindSpace => chunk(conn, &format!(" \t  {list}  \r\n")),
            Form::Indented => chunk(conn, &indented()),
            Form::Bytes => indented()
                .chars()
                .for_each(|byte| chunk(conn, &byte.to_string())),
        }
    }
}

fn drains(index: u64, (name, address): (&str, SocketAddr)) -> serde_json::Value {
    listing(index, false, &[(name, address, "terminating")])
}

/// Changes, a whole list that undoes them by its naming of servers alone, and changes again: each is taken whole.
#[rstest]
#[case::line(Form::Line)]
#[case::behind_space(Form::BehindSpace)]
#[case::indented(Form::Indented)]
#[case::bytes(Form::Bytes)]
fn a_list_is_taken_in_every_form(#[case] form: Form) {
    let nodes = [ScriptedServer::new(), ScriptedServer::new()];
    let [first, second] = nodes.each_ref().map(ScriptedServer::address);
    let both = [&nodes[0], &nodes[1]];
    let sidecar = Sidecar::start(&[first, second]);
    let (mut conn, _) = watch(&sidecar.discovery);
    form.tell(&mut conn, &drains(42, ("n0", first)));
    settles_on(&sidecar, both, 1);
    chunk(&mut conn, "\n");
    // What a whole list does not name is gone, also where it still answers.
    form.tell(
        &mut conn,
        &listing(43, true, &[("n0", first, "in_service")]),
    );
    settles_on(&sidecar, both, 0);
    form.tell(
        &mut conn,
        &listing(
            44,
            false,
            &[("n1", second, "in_service"), ("n0", first, "terminated")],
        ),
    );
    settles_on(&sidecar, both, 1);
    assert!(
        sidecar.discovery.try_accept().is_none(),
        "the watch was given up"
    );
}

/// A change of which all but the end has come when the watch falls silent. Nothing of it is taken, the watch is opened anew and
/// asks for that change once more, in time for what it missed; the rest of the old one is read by nobody.
#[rstest]
#[case::in_a_line(false)]
#[case::between_indented_lines(true)]
fn a_watch_that_falls_silent_within_a_list_is_opened_anew_and_none_of_the_list_is_lost(
    #[case] indented: bool,
) {
    let nodes = [ScriptedServer::new(), ScriptedServer::new()];
    let [first, second] = nodes.each_ref().map(ScriptedServer::address);
    let both = [&nodes[0], &nodes[1]];
    let sidecar = Sidecar::start(&[first, second]);
    let (mut old, asked) = watch(&sidecar.discovery);
    assert!(asked.contains("after=41 "), "{asked}");
    let change = drains(43, ("n0", first));
    let text = if indented {
        serde_json::to_string_pretty(&change).expect("written")
    } else {
        change.to_string()
    };
    // So that the pause that ends it is the one within the list.
    chunk(&mut old, "\n");
    for piece in [&text[..20], &text[20..text.len() - 2]] {
        chunk(&mut old, piece);
    }
    let silent = Instant::now();
    let (mut new, asked) = watch(&sidecar.discovery);
    let took = silent.elapsed();
    assert!(
        took > BEATS && took < TOLD,
        "it was opened anew after {took:?}"
    );
    assert!(
        asked.contains("after=41 "),
        "{asked}: half a change was taken"
    );
    assert!(old.read().is_none(), "the old watch is still open");
    Form::Line.tell(&mut new, &change);
    settles_on(&sidecar, both, 1);
}

/// A line that is there in the moment in which the silence before it is over: the process stood still from before the one to
/// behind the other, and finds both. The line is taken whole, or the watch is opened anew and asks for it again.
#[test]
fn a_line_that_comes_with_the_time_out_of_its_watch_is_taken_whole_or_asked_for_again() {
    let nodes = [ScriptedServer::new(), ScriptedServer::new()];
    let [first, second] = nodes.each_ref().map(ScriptedServer::address);
    let both = [&nodes[0], &nodes[1]];
    let sidecar = Sidecar::start(&[first, second]);
    let (mut old, asked) = watch(&sidecar.discovery);
    assert!(asked.contains("after=41 "), "{asked}");
    let change = drains(43, ("n0", first));
    chunk(&mut old, "\n");
    sidecar.signal("STOP");
    std::thread::sleep(SILENCE + Duration::from_millis(500));
    Form::Line.tell(&mut old, &change);
    sidecar.signal("CONT");
    // At once, or after the next silence.
    let (mut new, asked) = watch(&sidecar.discovery);
    if asked.contains("after=41 ") {
        Form::Line.tell(&mut new, &change);
    } else {
        assert!(asked.contains("after=43 "), "{asked}");
    }
    settles_on(&sidecar, both, 1);
}

/// Pauses that are each shorter than the silence that ends a watch.
#[test]
fn a_list_that_comes_slowly_is_taken_whole_once_it_is() {
    let nodes = [ScriptedServer::new(), ScriptedServer::new()];
    let [first, second] = nodes.each_ref().map(ScriptedServer::address);
    let both = [&nodes[0], &nodes[1]];
    let sidecar = Sidecar::start(&[first, second]);
    let (mut conn, _) = watch(&sidecar.discovery);
    let text = drains(43, ("n0", first)).to_string() + "\n";
    for piece in [&text[..20], &text[20..40], &text[40..]] {
        chunk(&mut conn, piece);
        std::thread::sleep(Duration::from_millis(1_500));
    }
    settles_on(&sidecar, both, 1);
    assert!(
        sidecar.discovery.try_accept().is_none(),
        "the watch was given up"
    );
}
