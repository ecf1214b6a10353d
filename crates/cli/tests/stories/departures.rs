//! A server that departs from its usual is told of within seconds, once, and told to be well again.

use crate::rig::{Conn, PATIENCE};
use crate::stand_ins::*;
use rstest::rstest;
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::net::TcpStream;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::Receiver;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Clients that ask one thing after another, each with a pause, until this is dropped.
pub struct Load {
    over: Arc<AtomicBool>,
    pub asked: Arc<AtomicU64>,
    clients: Vec<JoinHandle<()>>,
}

impl Load {
    pub fn on(process: &Process, clients: u64, pause: Duration) -> Self {
        let (over, asked) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicU64::new(0)),
        );
        let at = process.at("front");
        let clients = (0..clients).map(|client| {
            let (over, asked) = (Arc::clone(&over), Arc::clone(&asked));
            std::thread::spawn(move || {
                let mut number = client;
                while !over.load(Ordering::Relaxed) {
                    let Ok(stream) = TcpStream::connect(at) else {
                        continue;
                    };
                    let mut conn = Conn::new(stream);
                    // A connection until it is closed from the other side.
                    while !over.load(Ordering::Relaxed) {
                        number += 1;
                        conn.write(request(client, number));
                        if conn
                            .read()
                            .is_none_or(|answer| answer.header("connection") == Some("close"))
                        {
                            break;
                        }
                        asked.fetch_add(1, Ordering::Relaxed);
                        std::thread::sleep(pause);
                    }
                }
            })
        });
        let clients = clients.collect();
        Load {
            over,
            asked,
            clients,
        }
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        self.clients
            .drain(..)
            .for_each(|client| drop(client.join()));
    }
}

/// One in three is a submission, one in five of the others is heavy.
fn request(client: u64, number: u64) -> String {
    let (method, class, length) = if number.is_multiple_of(3) {
        ("POST", "submit", "Content-Length: 0\r\n")
    } else {
        ("GET", "view", "")
    };
    let hint = if number.is_multiple_of(5) {
        120_000
    } else {
        20_000
    };
    format!(
        "{method} /{class} HTTP/1.1\r\nHost: a.test\r\nX-Trace-Id: {client}-{number}\r\nX-Expires-In-Ms: 5000\r\n\
         X-Size-Hint: {hint}\r\n{length}\r\n"
    )
}

/// `madderloom events --follow`, read line by line.
struct Followed {
    child: Child,
    lines: Receiver<String>,
}

impl Followed {
    fn new(process: &Process) -> Self {
        let at = process.at("admin view").to_string();
        let mut command = Command::new(env!("CARGO_BIN_EXE_madderloom"));
        command
            .args(["events", "--follow", "--output", "json", "--listen", &at])
            .stdout(Stdio::piped());
        let mut child = command.spawn().expect("it runs");
        let read = BufReader::new(child.stdout.take().expect("piped")).lines();
        let (told, lines) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            read.map_while(Result::ok)
                .try_for_each(|line| told.send(line))
        });
        Followed { child, lines }
    }

    /// The next event of this kind.
    fn next(&mut self, kind: &str) -> Value {
        loop {
            let line = self
                .lines
                .recv_timeout(3 * PATIENCE)
                .unwrap_or_else(|e| panic!("no {kind}: {e}"));
            let event: Value = serde_json::from_str(&line).expect("an object");
            if event["event"] == kind {
                return event;
            }
        }
    }
}

impl Drop for Followed {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

const LATE: Duration = Duration::from_millis(150);

#[rstest]
#[case::fast_errors(Manner::Fails, "loses_answers", None)]
#[case::lost_answers(Manner::LosesSome(30), "loses_answers", None)]
#[case::slow(Manner::ServesLate(LATE), "slow", None)]
#[case::heavy_alone(Manner::ServesHeavyLate(LATE), "slow_when_heavy", None)]
#[case::hang(Manner::Hangs, "", None)]
#[case::one_class(Manner::FailsSubmits, "loses_answers", Some("submit"))]
fn an_injected_departure_is_one_event_within_seconds_and_cleared_when_it_is_over(
    #[case] manner: Manner,
    #[case] fault: &str,
    #[case] class: Option<&str>,
) {
    let servers: Vec<StandIn> = ["s-one", "s-two", "s-three", "s-four"]
        .map(|name| StandIn::new(name, Manner::Serves))
        .into();
    let all: Vec<&StandIn> = servers.iter().collect();
    let file = format!(
        "version = 1\n[admin]\nlisten = \"127.0.0.1:0\"\n[timeline]\nfalse_alarms_a_day = 0.1\n{}{}{}",
        listener("front", ""),
        pool("a", &all, ""),
        host_route("a")
    );
    let mut process = Process::start(&file);
    let mut followed = Followed::new(&process);
    let load = Load::on(&process, 8, Duration::from_millis(10));
    let until = Instant::now() + PATIENCE;
    // What is usual is known after some dozens of answers; a quantile of them is steady after some hundreds.
    while load.asked.load(Ordering::Relaxed) < 1_600 {
        assert!(
            Instant::now() < until,
            "only {} were answered",
            load.asked.load(Ordering::Relaxed)
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    servers[2].turn_to(manner);
    let began = Instant::now();
    let raised = followed.next("raised");
    let within = began.elapsed();
    let departure = &raised["departure"];
    let text = raised["text"].as_str().expect("a text");
    assert_eq!(raised["server"], "s-three", "{raised}");
    assert!(fault.is_empty() || departure["fault"] == fault, "{raised}");
    assert!(within < Duration::from_secs(20), "only after {within:?}");
    if let Some(class) = class {
        assert!(text.contains(&format!("for {class}")), "{raised}");
    }
    // The command line knows it too, and says so by its exit code.
    let at = process.at("admin view").to_string();
    let madderloom = |arguments: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_madderloom"));
        command
            .args(arguments)
            .args(["--listen", &at])
            .output()
            .expect("it runs")
    };
    let done = madderloom(&["servers"]);
    let told = String::from_utf8_lossy(&done.stdout).into_owned();
    assert_eq!(done.status.code(), Some(1), "{told}");
    assert!(
        told.contains("server s-three departs from its usual"),
        "{told}"
    );
    servers[2].turn_to(Manner::Serves);
    followed.next("cleared");
    drop(load);
    let log = process.log();
    let raised: Vec<&String> = log
        .iter()
        .filter(|line| line.contains("departs from its usual"))
        .collect();
    assert_eq!(raised.len(), 1, "{raised:#?}");
    let done = madderloom(&["server", "s-three", "--output", "json"]);
    let story: Value = serde_json::from_slice(&done.stdout).expect("an object");
    let notes: Vec<&str> = story["notes"]
        .as_array()
        .expect("a list")
        .iter()
        .filter_map(|note| note["event"].as_str())
        .collect();
    assert!(
        notes.contains(&"raised") && notes.contains(&"cleared"),
        "{notes:?}"
    );
    assert_eq!(process.stop(), Some(0));
}
