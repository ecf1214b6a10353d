//! What a link is told to do with bytes is what its two ends see.

use madderloom_fault_testing::{Arrivals, Direction, Link, LoadGenerator, Server, wait_until};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A link, and both ends of a connection through it.
struct Pair {
    link: Link,
    listener: TcpListener,
    near: TcpStream,
    far: TcpStream,
}

impl Pair {
    fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let link = Link::new(listener.local_addr().expect("it is bound"));
        let (near, far) = connect(&link, &listener);
        Pair {
            link,
            listener,
            near,
            far,
        }
    }
}

fn connect(link: &Link, listener: &TcpListener) -> (TcpStream, TcpStream) {
    let near = TcpStream::connect(link.address()).expect("it listens");
    let far = listener.accept().expect("it goes on").0;
    for end in [&near, &far] {
        end.set_read_timeout(Some(Duration::from_millis(150)))
            .expect("it can be");
    }
    (near, far)
}

/// What comes within 150 ms: bytes, the end, a reset, or nothing.
fn came(end: &mut TcpStream) -> Result<String, ErrorKind> {
    let mut buffer = [0; 64];
    match end.read(&mut buffer) {
        Ok(read) => Ok(String::from_utf8_lossy(&buffer[..read]).into_owned()),
        Err(problem) => Err(problem.kind()),
    }
}

const NOTHING: Result<String, ErrorKind> = Err(ErrorKind::WouldBlock);

fn told(text: &str) -> Result<String, ErrorKind> {
    Ok(text.to_string())
}

#[test]
fn one_direction_is_cut_and_the_other_goes_on_and_a_connection_that_lost_bytes_stays_silent() {
    let Pair {
        link,
        listener,
        mut near,
        mut far,
    } = Pair::new();
    link.cut(Direction::ToServer);
    near.write_all(b"lost").expect("written");
    far.write_all(b"back").expect("written");
    assert_eq!((came(&mut far), came(&mut near)), (NOTHING, told("back")));
    link.heal();
    near.write_all(b"late").expect("written");
    assert_eq!(came(&mut far), NOTHING);
    drop(near);
    assert_eq!(came(&mut far), NOTHING, "nobody hears of the end either");
    let (mut near, mut far) = connect(&link, &listener);
    near.write_all(b"anew").expect("written");
    assert_eq!(came(&mut far), told("anew"));
}

#[test]
fn what_is_held_comes_all_at_once_also_when_its_sender_has_gone() {
    let Pair {
        link,
        mut near,
        mut far,
        ..
    } = Pair::new();
    link.hold(Direction::ToServer);
    near.write_all(b"a").expect("written");
    near.write_all(b"b").expect("written");
    drop(near);
    assert_eq!(came(&mut far), NOTHING);
    link.release();
    let mut text = String::new();
    far.read_to_string(&mut text).expect("it ends");
    assert_eq!(text, "ab");
}

#[test]
fn bytes_of_an_old_connection_come_behind_those_of_a_new_one() {
    let Pair {
        link,
        listener,
        mut near,
        mut far,
    } = Pair::new();
    link.hold_existing();
    near.write_all(b"old").expect("written");
    let (mut newer, mut its_far) = connect(&link, &listener);
    newer.write_all(b"new").expect("written");
    assert_eq!((came(&mut its_far), came(&mut far)), (told("new"), NOTHING));
    link.release();
    assert_eq!(came(&mut far), told("old"));
}

#[test]
fn a_direction_is_cut_behind_so_many_bytes_and_others_are_delayed_and_throttled() {
    let Pair {
        link,
        listener,
        mut near,
        mut far,
    } = Pair::new();
    link.cut_after(Direction::ToClient, 3);
    far.write_all(b"abcdef").expect("written");
    assert_eq!((came(&mut near), came(&mut near)), (told("abc"), NOTHING));
    link.heal();
    link.delay(Duration::from_millis(60));
    let (mut near, mut far) = connect(&link, &listener);
    let begin = Instant::now();
    near.write_all(b"slow").expect("written");
    assert_eq!(came(&mut far), told("slow"));
    assert!(begin.elapsed() >= Duration::from_millis(60));
    link.heal();
    link.throttle(50);
    let begin = Instant::now();
    near.write_all(b"12345").expect("written");
    assert_eq!(came(&mut far), told("12345"));
    assert!(begin.elapsed() >= Duration::from_millis(100));
}

#[test]
fn connections_are_reset_or_taken_and_never_read() {
    let Pair {
        link,
        listener,
        mut near,
        mut far,
    } = Pair::new();
    link.reset();
    assert_eq!(
        (came(&mut near), came(&mut far)),
        (
            Err(ErrorKind::ConnectionReset),
            Err(ErrorKind::ConnectionReset)
        )
    );
    link.blackhole();
    let mut taken = TcpStream::connect(link.address()).expect("it is taken");
    taken
        .set_read_timeout(Some(Duration::from_millis(100)))
        .expect("it can be");
    taken.write_all(b"anyone").expect("written");
    assert_eq!(came(&mut taken), NOTHING);
    link.heal();
    assert_eq!(came(&mut taken), Err(ErrorKind::ConnectionReset));
    let (mut near, mut far) = connect(&link, &listener);
    near.write_all(b"anew").expect("written");
    assert_eq!(came(&mut far), told("anew"));
    assert_eq!(link.accepted_connections(), 3);
}

#[test]
fn a_server_counts_what_arrives_by_windows_and_what_is_open() {
    let server = Server::with_service_time("one", Duration::from_millis(40));
    let link = Link::new(server.address);
    let load = LoadGenerator::start(&[link.address(); 3], Duration::from_millis(1));
    wait_until("some were served", || {
        (server.request_counts().len() > 30).then_some(())
    });
    let got = load.stop();
    assert!(
        got.iter()
            .all(|got| got.status == Some(200) && server.request_counts()[&got.id] == 1)
    );
    let arrivals = Arrivals::of_servers([&server]);
    assert_eq!((arrivals.len(), arrivals.max_concurrent()), (got.len(), 3));
    // Three clients with 41 ms or more for each request: some 70 a second.
    let none = Duration::ZERO;
    assert!(
        arrivals.rate_excess(80.0, 4.0, none) <= 0.0
            && arrivals.rate_excess(10.0, 4.0, none) > 10.0
    );
    assert!(
        arrivals.rate_excess(75.0, 0.0, none) > 0.0,
        "three at once are more than none"
    );
}
