//! Both ends of a connection observe the faults that a link applies.

use madderloom_fault_testing::{Arrivals, Direction, Link, LoadGenerator, Server, wait_until};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A link and both ends of a connection through it.
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
    let near = TcpStream::connect(link.address()).expect("the link listens");
    let far = listener
        .accept()
        .expect("the link forwards the connection")
        .0;
    for end in [&near, &far] {
        end.set_read_timeout(Some(Duration::from_millis(150)))
            .expect("the read timeout can be set");
    }
    (near, far)
}

/// What arrives within 150 ms: bytes, the end of the stream, a reset, or nothing.
fn received(end: &mut TcpStream) -> Result<String, ErrorKind> {
    let mut buffer = [0; 64];
    match end.read(&mut buffer) {
        Ok(read) => Ok(String::from_utf8_lossy(&buffer[..read]).into_owned()),
        Err(error) => Err(error.kind()),
    }
}

const NOTHING: Result<String, ErrorKind> = Err(ErrorKind::WouldBlock);

fn sent(text: &str) -> Result<String, ErrorKind> {
    Ok(text.to_string())
}

#[test]
fn cutting_one_direction_leaves_the_other_open_and_a_connection_that_lost_bytes_stays_silent() {
    let Pair {
        link,
        listener,
        mut near,
        mut far,
    } = Pair::new();
    link.cut(Direction::ToServer);
    near.write_all(b"lost").expect("written");
    far.write_all(b"back").expect("written");
    assert_eq!(
        (received(&mut far), received(&mut near)),
        (NOTHING, sent("back"))
    );
    link.heal();
    near.write_all(b"late").expect("written");
    assert_eq!(received(&mut far), NOTHING);
    drop(near);
    assert_eq!(
        received(&mut far),
        NOTHING,
        "the end of the stream is dropped too"
    );
    let (mut near, mut far) = connect(&link, &listener);
    near.write_all(b"anew").expect("written");
    assert_eq!(received(&mut far), sent("anew"));
}

#[test]
fn held_bytes_arrive_at_once_even_if_their_sender_has_disconnected() {
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
    assert_eq!(received(&mut far), NOTHING);
    link.release();
    let mut text = String::new();
    far.read_to_string(&mut text).expect("the stream ends");
    assert_eq!(text, "ab");
}

#[test]
fn bytes_of_an_old_connection_arrive_after_those_of_a_new_one() {
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
    assert_eq!(
        (received(&mut its_far), received(&mut far)),
        (sent("new"), NOTHING)
    );
    link.release();
    assert_eq!(received(&mut far), sent("old"));
}

#[test]
fn a_direction_is_cut_after_a_number_of_bytes_and_links_delay_and_throttle() {
    let Pair {
        link,
        listener,
        mut near,
        mut far,
    } = Pair::new();
    link.cut_after(Direction::ToClient, 3);
    far.write_all(b"abcdef").expect("written");
    assert_eq!(
        (received(&mut near), received(&mut near)),
        (sent("abc"), NOTHING)
    );
    link.heal();
    link.delay(Duration::from_millis(60));
    let (mut near, mut far) = connect(&link, &listener);
    let begin = Instant::now();
    near.write_all(b"slow").expect("written");
    assert_eq!(received(&mut far), sent("slow"));
    assert!(begin.elapsed() >= Duration::from_millis(60));
    link.heal();
    link.throttle(50);
    let begin = Instant::now();
    near.write_all(b"12345").expect("written");
    assert_eq!(received(&mut far), sent("12345"));
    assert!(begin.elapsed() >= Duration::from_millis(100));
}

#[test]
fn connections_are_reset_or_accepted_and_never_read() {
    let Pair {
        link,
        listener,
        mut near,
        mut far,
    } = Pair::new();
    link.reset();
    assert_eq!(
        (received(&mut near), received(&mut far)),
        (
            Err(ErrorKind::ConnectionReset),
            Err(ErrorKind::ConnectionReset)
        )
    );
    link.blackhole();
    let mut taken = TcpStream::connect(link.address()).expect("the link accepts");
    taken
        .set_read_timeout(Some(Duration::from_millis(100)))
        .expect("the read timeout can be set");
    taken.write_all(b"anyone").expect("written");
    assert_eq!(received(&mut taken), NOTHING);
    link.heal();
    assert_eq!(received(&mut taken), Err(ErrorKind::ConnectionReset));
    let (mut near, mut far) = connect(&link, &listener);
    near.write_all(b"anew").expect("written");
    assert_eq!(received(&mut far), sent("anew"));
    assert_eq!(link.accepted_connections(), 3);
}

#[test]
fn a_server_measures_its_arrival_rate_and_concurrent_requests() {
    let server = Server::with_service_time("one", Duration::from_millis(40));
    let link = Link::new(server.address);
    let load = LoadGenerator::start(&[link.address(); 3], Duration::from_millis(1));
    wait_until("some requests to be served", || {
        (server.request_counts().len() > 30).then_some(())
    });
    let results = load.stop();
    assert!(
        results
            .iter()
            .all(|result| result.status == Some(200) && server.request_counts()[&result.id] == 1)
    );
    let arrivals = Arrivals::of_servers([&server]);
    assert_eq!(
        (arrivals.len(), arrivals.max_concurrent()),
        (results.len(), 3)
    );
    // Three clients that take at least 41 ms per request send about 70 requests per second.
    let none = Duration::ZERO;
    assert!(
        arrivals.rate_excess(80.0, 4.0, none) <= 0.0
            && arrivals.rate_excess(10.0, 4.0, none) > 10.0
    );
    assert!(
        arrivals.rate_excess(75.0, 0.0, none) > 0.0,
        "three simultaneous requests exceed a burst of zero"
    );
}
