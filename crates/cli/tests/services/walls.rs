//! What happens to one service is no other's affair: floods, failures, connections that say nothing.

use crate::rig::Conn;
use crate::stand_ins::*;
use rstest::rstest;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// How the neighbour is flooded, by so many clients at once.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Flood {
    LongBodies,
    ByteByByte,
    Silent,
}

const FLOODERS: usize = 40;

fn flood(at: SocketAddr, how: Flood, over: Arc<AtomicBool>, answered: Arc<AtomicU32>) {
    let body = vec![b'x'; 64 << 10];
    while !over.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(at) else {
            continue;
        };
        let limit = Some(Duration::from_millis(500));
        let _ = (
            stream.set_read_timeout(limit),
            stream.set_write_timeout(limit),
        );
        let (_, head) = submit("loud", body.len());
        let sent = match how {
            Flood::Silent => {
                std::thread::sleep(Duration::from_millis(300));
                continue;
            }
            Flood::LongBodies => stream
                .write_all(head.as_bytes())
                .and_then(|()| stream.write_all(&body)),
            Flood::ByteByByte => {
                let bytes = head.as_bytes().iter().chain(&body[..100]);
                bytes.into_iter().try_for_each(|byte| {
                    std::thread::sleep(Duration::from_micros(500));
                    stream.write_all(&[*byte])
                })
            }
        };
        let mut answer = [0; 12];
        if sent.is_ok() && std::io::Read::read_exact(&mut stream, &mut answer).is_ok() {
            answered.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Asks so often, and counts what was not served.
fn errors_of(process: &Process, listener: &str, host: &str, asked: u32) -> u32 {
    let mut errors = 0;
    for _ in 0..asked {
        let mut client = process.client(listener);
        let (_, head) = submit(host, 5);
        client.write(head + "paper");
        errors += u32::from(client.read().is_none_or(|answer| answer.status() != 200));
        std::thread::sleep(Duration::from_millis(5));
    }
    errors
}

#[rstest]
#[case::long_bodies(Flood::LongBodies)]
#[case::byte_by_byte(Flood::ByteByByte)]
#[case::silent(Flood::Silent)]
fn a_flood_at_one_service_costs_the_other_no_request(#[case] how: Flood) {
    let servers = [
        StandIn::new("q-one", Manner::Serves),
        StandIn::new("q-two", Manner::Serves),
        StandIn::new("l-one", Manner::ServesLate(Duration::from_millis(5))),
    ];
    // Descriptors for 100 clients; the flood comes with 40 connections at a time, and could have all bodies' memory.
    let text = [
        "version = 1\n[admin]\nlisten = \"127.0.0.1:0\"\n[limits]\ndescriptors = 240\nbodies = \"1MiB\"\n",
        &listener("loud-front", "connections = { most = 30 }"),
        &listener("quiet-front", "connections = { guaranteed = 20 }"),
        &pool(
            "loud",
            &servers.iter().skip(2).collect::<Vec<_>>(),
            "requests_per_second = 50\nopen = { most = 20 }",
        ),
        &pool(
            "quiet",
            &servers.iter().take(2).collect::<Vec<_>>(),
            "weight = 4",
        ),
        &host_route("loud"),
        &host_route("quiet"),
    ];
    let process = Process::start(&text.concat());
    assert_eq!(errors_of(&process, "quiet-front", "quiet", 20), 0, "alone");
    let over = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(AtomicU32::new(0));
    let at = process.at("loud-front");
    let flooders: Vec<_> = (0..FLOODERS)
        .map(|_| {
            let (over, answered) = (Arc::clone(&over), Arc::clone(&answered));
            std::thread::spawn(move || flood(at, how, over, answered))
        })
        .collect();
    // The flood is there before the count begins.
    std::thread::sleep(Duration::from_millis(300));
    let errors = errors_of(&process, "quiet-front", "quiet", 100);
    over.store(true, Ordering::Relaxed);
    let status = process.status();
    flooders
        .into_iter()
        .for_each(|flooder| flooder.join().expect("it ends"));
    assert_eq!(errors, 0, "beside the flood");
    let loud = &status["pools"][0];
    let turned_away = loud["requests"]["turned_away"].as_u64().expect("a number");
    if how == Flood::LongBodies {
        assert!(turned_away > 50, "the flood was not one: {loud}");
        // What is turned away is told so: its answer is not lost with its unread body.
        assert!(
            u64::from(answered.load(Ordering::Relaxed)) > turned_away,
            "{answered:?} of {turned_away}"
        );
    }
    let peak = status["listeners"][0]["limits"]["connections"]["peak"].as_u64();
    assert!(
        peak <= Some(30),
        "{peak:?} connections at the listener that is flooded"
    );
    // All that it may have were taken, and no more.
    assert!(how != Flood::Silent || peak == Some(30), "{peak:?}");
}

/// All of a pool's servers are lost in some way.
#[rstest]
#[case::fail(Manner::Fails)]
#[case::hang(Manner::Hangs)]
#[case::babble(Manner::Babbles)]
#[case::break_off(Manner::Breaks)]
fn a_pool_whose_servers_are_all_lost_costs_the_other_no_request(#[case] manner: Manner) {
    let servers = [
        StandIn::new("q-one", Manner::Serves),
        StandIn::new("l-one", manner),
        StandIn::new("l-two", manner),
    ];
    let text = [
        "version = 1\n[limits]\ndescriptors = 120\n",
        &listener("front", ""),
        &pool("lost", &[&servers[1], &servers[2]], ""),
        &pool("quiet", &[&servers[0]], ""),
        &host_route("lost"),
        &host_route("quiet"),
    ];
    let process = Process::start(&text.concat());
    let over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                while !over.load(Ordering::Relaxed) {
                    let mut client = process.client("front");
                    let (_, head) = submit("lost", 0);
                    client.write(head.replace("5000", "300"));
                    // Failed, or refused: never served, and never silence.
                    let status = client.read().expect("an answer").status();
                    assert!(matches!(status, 502 | 503), "{status}");
                }
            });
        }
        let errors = errors_of(&process, "front", "quiet", 60);
        over.store(true, Ordering::Relaxed);
        assert_eq!(errors, 0, "beside the lost servers");
    });
    assert!(
        servers[0].seen().keys().all(|id| id.starts_with("quiet-")),
        "a server of another pool was asked"
    );
    assert!(
        servers[1].seen().keys().all(|id| id.starts_with("lost-")),
        "a server of another pool was asked"
    );
}

/// What a limit turns away it turns away at once: the body of this one never comes.
#[test]
fn what_comes_too_often_is_refused_before_its_body_is_read() {
    let server = StandIn::new("s", Manner::Serves);
    let text = [
        "version = 1\n[admin]\nlisten = \"127.0.0.1:0\"\n",
        &listener("front", ""),
        &pool("a", &[&server], "requests_per_second = 0.5\nburst = 2"),
        &host_route("a"),
    ];
    let process = Process::start(&text.concat());
    let mut client = process.client("front");
    for _ in 0..2 {
        client.write(submit("a", 5).1 + "paper");
        assert_eq!(client.read().expect("an answer").status(), 200);
    }
    let (id, head) = submit("a", 1_000);
    client.write(head);
    let answer = client.read().expect("an answer before the body");
    assert_eq!(answer.status(), 503);
    let wait: f64 = answer
        .header("retry-after")
        .and_then(|w| w.parse().ok())
        .expect("a time");
    // The bucket fills in 2 s, and clients honour 1.5 s at the most.
    assert!((0.5..=1.5).contains(&wait), "{wait}");
    assert!(!server.seen().contains_key(&id), "it was sent on");
    // Once its body has come after all, however late, the connection goes on.
    std::thread::sleep(Duration::from_millis(100));
    client.write(vec![b'x'; 1_000]);
    client.write(submit("a", 0).1);
    assert_eq!(client.read().expect("an answer").status(), 503);
    let requests = process.status()["pools"][0]["requests"].clone();
    assert_eq!(
        (
            &requests["served"],
            &requests["turned_away"],
            &requests["over_rate"]
        ),
        (&2.into(), &2.into(), &2.into())
    );
}

/// Open requests of one pool fill all that is common; what is the other's own is still there.
#[test]
fn what_is_guaranteed_to_a_pool_is_there_when_others_have_taken_all_else() {
    let servers = [
        StandIn::new("s", Manner::Hangs),
        StandIn::new("t", Manner::Serves),
    ];
    let text = [
        "version = 1\n[limits]\nopen = 10\n",
        &listener("front", ""),
        &pool("greedy", &[&servers[0]], ""),
        &pool("modest", &[&servers[1]], "open = { guaranteed = 2 }"),
        &host_route("greedy"),
        &host_route("modest"),
    ];
    let process = Process::start(&text.concat());
    let mut open: Vec<Conn> = Vec::new();
    let mut refused = None;
    for _ in 0..10 {
        let mut client = process.client("front");
        client.write(submit("greedy", 0).1);
        open.push(client);
    }
    // 8 are at the server, of which all can be seen; the other two are turned away.
    let until = Instant::now() + crate::rig::PATIENCE;
    while servers[0].seen().len() < 8 {
        assert!(
            Instant::now() < until,
            "only {} are open",
            servers[0].seen().len()
        );
        std::thread::sleep(Duration::from_millis(1));
    }
    let mut client = process.client("front");
    client.write(submit("greedy", 0).1);
    refused.replace(client.read().expect("an answer").status());
    assert_eq!(refused, Some(503));
    assert_eq!(errors_of(&process, "front", "modest", 10), 0);
    assert_eq!(servers[0].seen().len(), 8);
}

/// Connections that lie idle beyond what is guaranteed to their pool go as soon as another pool needs them.
#[test]
fn borrowed_connections_to_servers_are_returned_to_who_needs_them() {
    let late = Manner::ServesLate(Duration::from_millis(200));
    let servers = [StandIn::new("s", late), StandIn::new("t", late)];
    // 23 connections: 5 are each pool's own, 13 are common.
    let text = [
        "version = 1\n[limits]\ndescriptors = 64\n",
        &listener("front", ""),
        &pool("first", &[&servers[0]], ""),
        &pool("second", &[&servers[1]], ""),
        &host_route("first"),
        &host_route("second"),
    ];
    let process = Process::start(&text.concat());
    for host in ["first", "second"] {
        let mut clients: Vec<Conn> = (0..18).map(|_| process.client("front")).collect();
        clients
            .iter_mut()
            .for_each(|client| client.write(submit(host, 0).1));
        for client in &mut clients {
            assert_eq!(client.read().expect("an answer").status(), 200, "{host}");
        }
    }
}

/// Clients that lie idle at a listener made room for every new one as soon as others had taken all that is common.
#[test]
fn idle_clients_of_a_listener_stay_when_others_have_taken_all_that_is_common() {
    let server = StandIn::new("s", Manner::Hangs);
    // 107 connections of clients: 8 are each listener's own.
    let names = ["loud", "quiet", "c", "d", "e", "f"];
    let listeners: String = names.iter().map(|name| listener(name, "")).collect();
    let text = [
        "version = 1\n[limits]\ndescriptors = 244\n[admin]\nlisten = \"127.0.0.1:0\"\n",
        &listeners,
        &pool("a", &[&server], ""),
        &host_route("a"),
    ];
    let process = Process::start(&text.concat());
    // Each with a request open, so that none is closed to make room: all that is common, and the listener's own.
    let busy: Vec<Conn> = (0..67)
        .map(|_| {
            let mut client = process.client("loud");
            client.write(submit("a", 0).1);
            client
        })
        .collect();
    let until = Instant::now() + crate::rig::PATIENCE;
    let held = || process.status()["listeners"][0]["limits"]["connections"]["used"].as_u64();
    while held() < Some(67) {
        assert!(Instant::now() < until, "{:?} are held", held());
    }
    let ready = |client: &mut Conn| {
        client.write("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n");
        client.read().is_some_and(|answer| answer.status() == 200)
    };
    let mut idle: Vec<Conn> = (0..3).map(|_| process.client("quiet")).collect();
    assert!(idle.iter_mut().all(ready));
    std::thread::sleep(Duration::from_millis(100));
    let mut more: Vec<Conn> = (0..3).map(|_| process.client("quiet")).collect();
    assert!(more.iter_mut().all(ready));
    assert!(
        idle.iter_mut().all(ready),
        "an idle client has made room for no need"
    );
    assert_eq!(
        held(),
        Some(67),
        "the others did not hold all that is common"
    );
    drop(busy);
}
