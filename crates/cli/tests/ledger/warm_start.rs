use crate::rig::ScriptedServer;
use crate::stand_ins::{Manner, Process, StandIn, host_route, listener, pool, submit};
use crate::until;
use rstest::rstest;
use std::path::Path;
use std::time::Duration;

fn file(dir: &Path, warm: bool, servers: &[&StandIn]) -> String {
    let spans = "warm_every = \"200ms\"\nwarm_oldest = \"5m\"";
    let state = format!("[state]\ndir = \"{}\"\n{spans}\n", dir.display());
    let pool = pool("pay", servers, "").replacen(
        "servers = ",
        &format!("warm_start = {warm}\nservers = "),
        1,
    );
    format!(
        "version = 1\n{state}{}{pool}{}",
        listener("front", ""),
        host_route("pay")
    )
}

/// Reads, which may be sent to another server where one fails.
fn views(process: &Process, count: usize) {
    let mut client = process.client("front");
    for _ in 0..count {
        let (_, head) = submit("pay", 0);
        client.write(head.replace("POST /submit", "GET /view"));
        assert_eq!(client.read().expect("an answer").status(), 200);
    }
}

fn tries(server: &StandIn) -> u32 {
    server.seen().values().sum()
}

/// Runs until the module holds `s2` to be failing, has that written, and is killed.
fn learn(directory: &Path, servers: &[&StandIn; 2]) {
    let process = Process::start(&file(directory, true, servers));
    // Three errors eject it, a failed trial for longer.
    until("it fails", || {
        views(&process, 10);
        tries(servers[1]) >= 4
    });
    std::thread::sleep(Duration::from_millis(500));
}

#[rstest]
#[case::warm(true, "5m", 0..=2)]
#[case::cold(false, "5m", 3..=100)]
#[case::stale(true, "1s", 3..=100)]
fn a_failing_server_is_avoided_from_the_first_request_on_where_it_was_known_lately(
    #[case] warm: bool,
    #[case] oldest: &str,
    #[case] expected: std::ops::RangeInclusive<u32>,
) {
    let directory = tempfile::tempdir().expect("a directory");
    let (good, bad) = (
        StandIn::new("s1", Manner::Serves),
        StandIn::new("s2", Manner::Fails),
    );
    learn(directory.path(), &[&good, &bad]);
    if oldest == "1s" {
        std::thread::sleep(Duration::from_millis(1_100));
    }
    let before = tries(&bad);
    let text =
        file(directory.path(), warm, &[&good, &bad]).replace("\"5m\"", &format!("\"{oldest}\""));
    let process = Process::start(&text);
    views(&process, 100);
    let after = tries(&bad) - before;
    assert!(expected.contains(&after), "{after}");
}

/// Discovery goes before the file's list, the file's before the snapshot's, and that before nothing.
#[test]
fn without_discovery_and_a_list_the_servers_of_the_snapshot_stand() {
    let directory = tempfile::tempdir().expect("a directory");
    let (one, other) = (
        StandIn::new("s1", Manner::Serves),
        StandIn::new("s2", Manner::Serves),
    );
    // Nobody answers there.
    let discovery = ScriptedServer::new();
    let with = |servers: &str| {
        let text = file(directory.path(), true, &[&one]);
        let (before, rest) = text.split_once("servers = ").expect("there");
        let (_, after) = rest.split_once('\n').expect("a line");
        format!(
            "{before}discovery = \"{}\"\n{servers}\n{after}",
            discovery.address()
        )
    };
    let list = |server: &StandIn| {
        format!(
            "servers = [{{ name = \"{}\", address = \"{}\" }}]",
            server.name, server.address
        )
    };
    let mut process = Process::start(&with(&list(&one)));
    views(&process, 5);
    assert_eq!(process.stop(), Some(0));
    let mut process = Process::start(&with(""));
    views(&process, 5);
    assert_eq!((tries(&one), tries(&other)), (10, 0));
    assert_eq!(process.stop(), Some(0));
    views(&Process::start(&with(&list(&other))), 5);
    assert_eq!((tries(&one), tries(&other)), (10, 5));
    std::thread::sleep(Duration::from_millis(1_100));
    let process = Process::start(&with("").replace("5m", "1s"));
    let mut client = process.client("front");
    client.write("GET /ready HTTP/1.1\r\nHost: pay.test\r\n\r\n");
    assert_eq!(client.read().expect("an answer").status(), 503);
}
