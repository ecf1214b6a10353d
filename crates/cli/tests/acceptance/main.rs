//! The operators' acceptance at the rare moments: each crossing of `docs/acceptance.md` is forced here, with the real program
//! as a process and peers of which the test writes and reads every byte. What the peers saw is judged.

#[path = "../sidecar/rig.rs"]
#[allow(dead_code, reason = "each test target uses a part of it")]
mod rig;

mod answers;
mod closes;
mod gone_clients;
mod repeats;
mod uploads;
mod watches;

use rig::{Conn, ScriptedServer};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// When a server was asked, by `X-Trace-Id`.
#[derive(Clone, Default)]
struct Asked(Arc<Mutex<BTreeMap<String, Vec<Instant>>>>);

impl Asked {
    /// Has the server answer all that comes, and counts it.
    fn by(node: ScriptedServer) -> Self {
        let asked = Asked::default();
        let own = asked.clone();
        rig::serve(node, move |message, conn| {
            own.note(message.header("x-trace-id").unwrap_or_default());
            conn.respond("200 OK", "made");
            true
        });
        asked
    }

    fn note(&self, id: &str) {
        self.0
            .lock()
            .expect("no thread panics")
            .entry(id.to_string())
            .or_default()
            .push(Instant::now());
    }

    fn times(&self, id: &str) -> u32 {
        self.0
            .lock()
            .expect("no thread panics")
            .get(id)
            .map_or(0, |times| times.len() as u32)
    }

    fn all(&self) -> u32 {
        let asked = self.0.lock().expect("no thread panics");
        asked.values().map(|times| times.len() as u32).sum()
    }

    /// How long behind `start` each request came.
    fn since(&self, start: Instant) -> Vec<(String, Duration)> {
        let asked = self.0.lock().expect("no thread panics");
        let times = asked
            .iter()
            .flat_map(|(id, times)| times.iter().map(move |at| (id, at)));
        times
            .map(|(id, at)| (id.clone(), at.saturating_duration_since(start)))
            .collect()
    }
}

/// Connections to servers may take nine seconds to come up.
fn late_connections(config: &mut serde_json::Value) {
    config["settings"]["limits"]["connect_timeout"] = 9_000_000.into();
}

/// Asks for something that a server answers, and waits for that: whatever was begun before it has gone on by then.
fn is_served(mut client: Conn) {
    client.write(rig::request("recheck", 5_900, ""));
    assert_eq!(client.read().expect("an answer").status(), 200);
}

/// Now, in milliseconds of Unix time.
fn now_ms() -> u64 {
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_millis()).expect("not that late")
}

/// Whether some connection at this local port holds bytes that its process has not read.
fn has_unread(port: u16) -> bool {
    let all = std::fs::read_to_string("/proc/net/tcp").expect("the system's table of connections");
    let port = format!(":{port:04X}");
    all.lines().any(|line| {
        let words: Vec<&str> = line.split_whitespace().collect();
        // What waits to be read, behind the colon; of a listening socket, the connections that wait to be taken.
        words.len() > 4 && words[1].ends_with(&port) && !words[4].ends_with(":00000000")
    })
}

/// Closes these clients' connections to a process, and waits until its system has their ends. A busy system may deliver them some
/// milliseconds later than what is written next on another connection.
fn close_all(clients: Vec<Conn>, process_port: u16) {
    let ports: Vec<u16> = clients.iter().map(Conn::local_port).collect();
    drop(clients);
    rig::until("the closes have arrived", || {
        let open = open_peers(process_port);
        !ports.iter().any(|port| open.contains(port))
    });
}

/// The peers' ports of the connections at this local port that the system takes for open in both directions.
fn open_peers(local_port: u16) -> BTreeSet<u16> {
    const ESTABLISHED: &str = "01";
    let all = std::fs::read_to_string("/proc/net/tcp").expect("the system's table of connections");
    let local_port = format!(":{local_port:04X}");
    let peer_port = |line: &str| {
        let words: Vec<&str> = line.split_whitespace().collect();
        let is_open = words.len() > 4 && words[1].ends_with(&local_port) && words[3] == ESTABLISHED;
        let (_, port) = words.get(2).filter(|_| is_open)?.split_once(':')?;
        u16::from_str_radix(port, 16).ok()
    };
    all.lines().filter_map(peer_port).collect()
}

/// Whether a process has been stopped.
fn stands_still(id: u32) -> bool {
    let told = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    told.rsplit(") ")
        .next()
        .is_some_and(|rest| rest.starts_with('T'))
}
