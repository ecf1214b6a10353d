//! Connections to servers that break, are closed, or never come to anything.

use super::*;
use rig::{ScriptedServer, Sidecar};
use rstest::rstest;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read};
use std::net::TcpListener;
use std::sync::Mutex;

/// A server that answers each connection's first request, and then ends it in some way.
struct OneAnswer {
    address: SocketAddr,
    seen: Arc<Mutex<BTreeMap<String, u32>>>,
}

#[derive(Clone, Copy, Debug)]
enum After {
    /// It says that it closes.
    Says,
    /// It closes without a word.
    Closes,
    /// It closes when the next request may be on its way.
    ClosesLater,
}

impl OneAnswer {
    fn start(after: After) -> Self {
        let listener = madderloom_fault_testing::unique_listener();
        let address = listener.local_addr().expect("it is bound");
        let seen = Arc::<Mutex<BTreeMap<String, u32>>>::default();
        let kept = Arc::clone(&seen);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let seen = Arc::clone(&kept);
                std::thread::spawn(move || answer_once(stream, after, &seen));
            }
        });
        OneAnswer { address, seen }
    }
}

fn answer_once(stream: TcpStream, after: After, seen: &Mutex<BTreeMap<String, u32>>) -> Option<()> {
    use std::io::Write;
    let mut reader = BufReader::new(stream);
    let mut id = String::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        id = line.strip_prefix("x-trace-id: ").map_or(id, str::to_string);
    }
    reader.read_exact(&mut [0; 5]).ok()?;
    *seen
        .lock()
        .expect("no thread panics")
        .entry(id)
        .or_default() += 1;
    let close = if matches!(after, After::Says) {
        "Connection: close\r\n"
    } else {
        ""
    };
    let answer = format!("HTTP/1.1 200 OK\r\n{close}Content-Length: 4\r\n\r\nmade");
    reader.get_mut().write_all(answer.as_bytes()).ok()?;
    if matches!(after, After::ClosesLater) {
        // A connection is used again once it was quiet for 20 ms.
        std::thread::sleep(Duration::from_micros(22_000));
    }
    None
}

#[rstest]
#[case(After::Says, 0)]
#[case(After::Closes, 0)]
#[case(After::ClosesLater, 50)]
fn a_server_that_closes_after_each_answer_gets_no_request_twice(
    #[case] after: After,
    #[case] lost: usize,
) {
    const ASKED: usize = 100;
    let server = OneAnswer::start(after);
    let sidecar = Sidecar::start(&[server.address]);
    let mut client = sidecar.client();
    let mut others = Vec::new();
    for at in 0..ASKED {
        client.write(rig::request("submit-check", 1900, ""));
        let status = client.read().expect("an answer").status();
        if status != 200 {
            others.push((at, status));
        }
        std::thread::sleep(Duration::from_millis(if lost > 0 { 22 } else { 1 }));
    }
    // Written whole to a connection that closes at that moment, a request may have run: it is failed, not sent again.
    assert!(
        others.len() <= lost && others.iter().all(|(_, status)| *status == 502),
        "{others:?}"
    );
    let seen = server.seen.lock().expect("no thread panics");
    assert!(seen.values().all(|times| *times == 1), "{seen:?}");
}

/// It accepts and never answers, while others serve.
#[test]
fn a_server_that_accepts_and_never_answers_keeps_nobody_from_the_others() {
    let (hangs, serves) = (
        StandIn::new("hangs", Manner::Hangs),
        StandIn::new("serves", Manner::Serves),
    );
    let process = process("", &[&hangs, &serves], "");
    let mut conn = process.client("in");
    let mut served = 0;
    let until = Instant::now() + PATIENCE;
    while served < 100 {
        assert!(Instant::now() < until, "{served} were served");
        let id = format!(
            "v-{}",
            Instant::now().duration_since(until - PATIENCE).as_nanos()
        );
        conn.write(format!(
            "GET /view HTTP/1.1\r\nHost: papers.test\r\nX-Trace-Id: {id}\r\nX-Expires-In-Ms: 1000\r\n\r\n"
        ));
        served += u32::from(conn.read().is_some_and(|answer| answer.status() == 200));
    }
}

/// All connections break at one moment. The requests that come next are served over new ones, none of them twice.
#[test]
fn a_restart_of_every_server_at_once_costs_no_request_that_comes_after_it() {
    let nodes = [ScriptedServer::new(), ScriptedServer::new()];
    let sidecar = Sidecar::start(&[nodes[0].address(), nodes[1].address()]);
    const OPEN: usize = 20;
    let mut open: Vec<(Conn, Conn)> = Vec::new();
    for _ in 0..OPEN {
        let client = sidecar.ask("recheck", 1900);
        let (_, mut conn) = rig::accept_any(&[&nodes[0], &nodes[1]]);
        assert!(conn.read().is_some());
        open.push((client, conn));
    }
    for (client, conn) in &mut open {
        conn.respond("200 OK", "made");
        assert_eq!(client.read().expect("an answer").status(), 200);
    }
    std::thread::sleep(Duration::from_millis(200));
    let mut clients: Vec<Conn> = open.into_iter().map(|(client, _)| client).collect();
    std::thread::sleep(Duration::from_millis(200));
    for client in &mut clients {
        client.write(rig::request("submit-check", 1900, ""));
    }
    let mut new: Vec<Conn> = (0..OPEN)
        .map(|_| rig::accept_any(&[&nodes[0], &nodes[1]]).1)
        .collect();
    for conn in &mut new {
        assert!(conn.read().is_some());
        conn.respond("200 OK", "made");
    }
    for client in &mut clients {
        assert_eq!(client.read().expect("an answer").status(), 200);
    }
}

/// A server whose queue of connections is full, as that of one that starts again: connections to it come up when they
/// come up. Of all that want one, a bounded number knocks at a time.
#[test]
fn a_server_that_takes_no_connections_is_not_stormed() {
    let full = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = full.local_addr().expect("it is bound");
    // Until one does not come up any more: the queue is full.
    let mut queue = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) {
        queue.push(stream);
        assert!(queue.len() < 10_000, "the queue has no end");
    }
    let mut stormed = StandIn::new("stormed", Manner::Serves);
    let own = std::mem::replace(&mut stormed.address, address);
    let process = process("", &[&stormed], "descriptors = 4096");
    // Where its end is told it.
    stormed.address = own;
    let mut clients: Vec<Conn> = (0..150).map(|_| connect(process.at("in"))).collect();
    for client in &mut clients {
        let (_, head) = submit("papers", 5);
        client.write(head + "paper");
    }
    let answers: Vec<u16> = clients
        .iter_mut()
        .filter_map(Conn::read)
        .map(|answer| answer.status())
        .collect();
    // Nothing ran, so each was told that it may try again, or had no time left.
    assert!(
        answers.len() == 150 && answers.iter().all(|status| [502, 503].contains(status)),
        "{answers:?}"
    );
    let peak = figure(&process, "/pools/0/limits/connections/peak");
    assert!((1..=32).contains(&peak), "{peak} at once");
}
