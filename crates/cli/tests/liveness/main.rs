//! No connection holds the one thread: whatever one peer does or leaves undone, the requests of others are answered in time
//! by the same process, and it does not spend its processor's time on waiting.
//!
//! The real program runs as a process, and the test plays its servers and clients byte by byte. Each test first brings the
//! process into the state in which one connection makes no progress, shown by what the system tells of the sockets, and
//! then asks on others.

#[path = "../sidecar/rig.rs"]
#[allow(dead_code, reason = "each test target uses a part of it")]
mod rig;

mod clients;
mod lists;
mod servers;

use rig::{Conn, Options, ScriptedServer, Sidecar, request, until};
use std::time::{Duration, Instant};

/// Requests on other connections have their answers within this, also on a machine whose cores are all busy.
const IN_TIME: Duration = Duration::from_secs(3);
/// How many other requests are made one after the other.
const OTHERS: usize = 10;
/// For how long the process is watched while nothing is asked of it, and the processor's time that it may use meanwhile.
const WATCHED: Duration = Duration::from_secs(1);
const IDLE_USE: Duration = Duration::from_millis(200);
/// A class whose requests wait for so long that none ends by its time before the test has judged it.
const CLASS: &str = "recheck";
const WAITS_MS: u64 = 120_000;

/// A process that opens no connections of its own accord: it probes no server. Its clients wait for long.
fn start(nodes: &[&ScriptedServer]) -> Sidecar {
    let addresses: Vec<_> = nodes.iter().map(|node| node.address()).collect();
    let edit = |config: &mut serde_json::Value| {
        let settings = &mut config["settings"];
        settings["limits"]["probes"] = false.into();
        let classes = settings["services"].as_array_mut().expect("classes");
        let class = classes
            .iter_mut()
            .find(|class| class["name"] == CLASS)
            .expect("the class");
        for time in ["on_time", "give_up"] {
            class[time] = (WAITS_MS * 1_000).into();
        }
    };
    Sidecar::with(
        &addresses,
        Options {
            edit,
            ..Options::default()
        },
    )
}

/// Asks on connections of their own, one after the other, and wants each answered in time.
fn others_are_served(sidecar: &Sidecar) {
    for number in 0..OTHERS {
        let began = Instant::now();
        let mut client = sidecar.client();
        client.write(request(CLASS, WAITS_MS, ""));
        until_within(
            IN_TIME,
            &format!("request {number} of another client is answered"),
            || client.is_readable(),
        );
        let answer = client.read().expect("an answer");
        assert_eq!(
            answer.status(),
            200,
            "request {number} of another client, after {:?}",
            began.elapsed()
        );
    }
}

/// Waits until this holds, for so long at most.
fn until_within(limit: Duration, what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + limit;
    while !holds() {
        assert!(
            Instant::now() < end,
            "it did not come within {limit:?} that {what}"
        );
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Waits until the process has read all that this client has written. Looked at twice, since bytes may pass from one end of
/// the connection to the other between the looks at them.
fn until_read(client: &Conn) {
    until("all that a client wrote is read", || {
        client.unread_outgoing() == 0 && client.unread_outgoing() == 0
    });
}

/// Waits until the process has done what it could do before: a request that it answers by itself, on a connection that comes
/// later, is answered.
fn is_reached(sidecar: &Sidecar) {
    for _ in 0..2 {
        let mut client = sidecar.client();
        client.write("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n");
        until_within(IN_TIME, "the process says that it is ready", || {
            client.is_readable()
        });
        assert_eq!(client.read().expect("an answer").status(), 200);
    }
}

/// The processor's time that the process has used.
fn processor_time(sidecar: &Sidecar) -> Duration {
    let told =
        std::fs::read_to_string(format!("/proc/{}/stat", sidecar.child.id())).expect("it runs");
    // Behind the name, which may hold spaces: the 14th and 15th of all, in hundredths of a second.
    let behind_name = told.rsplit(") ").next().expect("more than a name");
    let ticks: u64 = behind_name
        .split(' ')
        .skip(11)
        .take(2)
        .map(|ticks| ticks.parse::<u64>().expect("a number"))
        .sum();
    Duration::from_millis(10 * ticks)
}

/// Wants the process to wait, and not to look again and again.
fn is_at_rest(sidecar: &Sidecar) {
    let before = processor_time(sidecar);
    std::thread::sleep(WATCHED);
    let used = processor_time(sidecar) - before;
    assert!(
        used <= IDLE_USE,
        "it used {used:?} of the processor within {WATCHED:?} of waiting"
    );
}
