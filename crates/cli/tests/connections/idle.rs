//! Connections of clients that lie idle, wake together, or are slow.

use super::*;
use std::io::{ErrorKind, Read, Write};

const IDLE: usize = 1_000;

/// All of these answers, at once: nobody waits for another's.
pub fn ask_all(conns: &mut [Conn]) -> Vec<u16> {
    for conn in conns.iter_mut() {
        let (_, head) = submit("papers", 5);
        conn.write(head + "paper");
    }
    conns
        .iter_mut()
        .map(|conn| conn.read().map_or(0, |answer| answer.status()))
        .collect()
}

#[test]
fn a_thousand_parked_clients_that_wake_together_are_all_served_and_parked_again() {
    let server = StandIn::new("s", Manner::Serves);
    let process = process(
        "idle_within = \"1h\"",
        &[&server],
        "descriptors = 8192\nmemory = \"256MiB\"",
    );
    let active = Active::start(process.at("in"));
    let mut conns: Vec<Conn> = (0..IDLE).map(|_| connect(process.at("in"))).collect();
    wait_until(&process, "/connections/parked", |parked| {
        parked >= IDLE as u64
    });
    for _ in 0..2 {
        // A burst is more than the decisions let one server have; nobody is left without an answer.
        let answers = ask_all(&mut conns);
        assert!(answers.contains(&200));
        let others: Vec<u16> = answers
            .into_iter()
            .filter(|status| ![200, 503].contains(status))
            .collect();
        assert_eq!(others, [] as [u16; 0], "answers other than 200 and 503");
        wait_until(&process, "/connections/parked", |parked| {
            parked >= IDLE as u64
        });
        // The active one, and no other, has a parser.
        assert!(figure(&process, "/connections/served") <= 1);
    }
    assert!(figure(&process, "/listeners/0/connections/woken") >= 2 * IDLE as u64);
    active.none_lost();
}

#[test]
fn idle_connections_whose_timers_are_due_together_all_end_and_delay_no_request() {
    let server = StandIn::new("s", Manner::Serves);
    let process = process("idle_within = \"1500ms\"", &[&server], "descriptors = 8192");
    let active = Active::start(process.at("in"));
    let mut conns: Vec<Conn> = (0..IDLE).map(|_| connect(process.at("in"))).collect();
    assert!(
        conns.iter_mut().all(|conn| conn.read().is_none()),
        "nothing is said to them"
    );
    wait_until(&process, "/connections/parked", |parked| parked <= 1);
    assert!(active.all_served() > 0);
}

/// A process that goes on after a stop finds the time of those that lie idle over before it has looked at its sockets:
/// the wait for them was broken off by the signal. What they have asked meanwhile is in their sockets.
#[test]
fn a_process_that_stood_still_answers_what_was_asked_meanwhile() {
    let server = StandIn::new("s", Manner::Serves);
    let process = process("idle_within = \"1s\"", &[&server], "");
    let mut conns: Vec<Conn> = (0..20).map(|_| connect(process.at("in"))).collect();
    for _ in 0..3 {
        assert!(ask_all(&mut conns).contains(&200));
        wait_until(&process, "/connections/parked", |parked| parked >= 20);
        process.signal("STOP");
        let asked = std::thread::spawn(move || (ask_all(&mut conns), conns));
        std::thread::sleep(Duration::from_millis(1_200));
        process.signal("CONT");
        let (answers, asked) = asked.join().expect("no panic");
        assert!(
            answers.iter().all(|status| [200, 503].contains(status)),
            "{answers:?}"
        );
        conns = asked;
    }
}

/// What a client that sends a byte at a time reaches, and when its connection ends.
fn trickle(mut stream: TcpStream, bytes: &[u8], gap: Duration) -> (usize, Duration) {
    let begun = Instant::now();
    stream.set_read_timeout(Some(gap)).expect("reads end");
    for (sent, byte) in bytes.iter().enumerate() {
        if stream.write_all(&[*byte]).is_err() {
            return (sent, begun.elapsed());
        }
        match stream.read(&mut [0; 256]) {
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            _ => return (sent, begun.elapsed()),
        }
    }
    (bytes.len(), begun.elapsed())
}

/// It may be silent for an hour; a head that it has begun must come within its time.
#[test]
fn a_client_that_sends_a_byte_now_and_then_is_bounded_by_time_and_holds_no_transaction() {
    let server = StandIn::new("s", Manner::Serves);
    let listener = "head_within = \"400ms\"\nidle_within = \"1h\"\nbody_within = \"400ms\"";
    let process = process(listener, &[&server], "");
    let active = Active::start(process.at("in"));
    let (_, head) = submit("papers", 5);
    let at = process.at("in");
    let slow: Vec<_> = [head.clone(), head.clone() + "paper"]
        .into_iter()
        .enumerate()
        .map(|(in_body, text)| {
            std::thread::spawn(move || {
                let stream = TcpStream::connect(at).expect("it accepts");
                // Parked for longer than a head may take.
                std::thread::sleep(Duration::from_millis(900));
                let from = if in_body == 1 { text.len() - 5 } else { 0 };
                (&stream)
                    .write_all(&text.as_bytes()[..from])
                    .expect("it reads");
                trickle(stream, &text.as_bytes()[from..], Duration::from_millis(150))
            })
        })
        .collect();
    for (in_body, slow) in slow.into_iter().enumerate() {
        let (sent, took) = slow.join().expect("it ends");
        let whole = if in_body == 1 { 5 } else { head.len() };
        assert!(
            sent > 0 && sent < whole,
            "{sent} bytes went out in {took:?}"
        );
        assert!(took >= Duration::from_millis(300), "{took:?}");
    }
    // The active one has one now and then.
    assert!(figure(&process, "/pools/0/open") <= 1);
    active.all_served();
}

/// A body that a limit turned away is still on its way when its answer goes: parked there, the connection would take
/// the rest of it for the next request.
#[test]
fn what_is_left_of_a_body_that_was_turned_away_is_no_request() {
    let server = StandIn::new("s", Manner::Serves);
    let listener = "idle_within = \"1h\"\nbody_within = \"3s\"\n[listeners.limits]\nbodies = { most = \"1KiB\" }";
    let process = process(listener, &[&server], "");
    let mut conn = process.client("in");
    let (id, head) = submit("papers", 0);
    let hidden = head.clone();
    let (_, outer) = submit("papers", 4096 + hidden.len());
    conn.write(&outer);
    assert_eq!(conn.read().expect("an answer").status(), 503);
    // Longer than what it takes for an idle connection to be parked.
    std::thread::sleep(Duration::from_millis(700));
    conn.write("x".repeat(4096) + &hidden);
    assert_eq!(ask(&mut conn), Some(200));
    assert!(
        !server.seen().contains_key(&id),
        "a part of a body was taken for a request"
    );
}

#[test]
fn connections_beyond_what_they_may_hold_make_room_by_the_one_parked_for_longest() {
    let server = StandIn::new("s", Manner::Serves);
    // A quarter of it is less than so many hold.
    let process = process(
        "idle_within = \"1h\"",
        &[&server],
        "descriptors = 8192\nmemory = \"8MiB\"",
    );
    let mut first = process.client("in");
    assert_eq!(ask(&mut first), Some(200));
    wait_until(&process, "/connections/parked", |parked| parked == 1);
    let mut conns: Vec<Conn> = (0..IDLE * 3 / 2)
        .map(|_| connect(process.at("in")))
        .collect();
    wait_until(&process, "/listeners/0/connections_taken", |taken| {
        taken as usize > IDLE * 3 / 2
    });
    assert!(first.read().is_none(), "the oldest stays");
    let most = figure(&process, "/connections/held/most");
    let others = |process: &Process| {
        figure(process, "/connections/held/served") + figure(process, "/connections/held/servers")
    };
    wait_until(&process, "/connections/held/parked", |parked| {
        parked + others(&process) <= most
    });
    let stayed = figure(&process, "/connections/parked") as usize;
    assert!(
        stayed > IDLE / 2,
        "more had to go than was needed: {stayed} stayed of {}",
        process.status()["connections"]
    );
    assert_eq!(ask(conns.last_mut().expect("a thousand")), Some(200));
}
