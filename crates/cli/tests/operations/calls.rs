//! The second address.

use super::{asked, until};
use crate::rig::{Options, ScriptedServer, Sidecar, listing, request, write_config};
use rstest::rstest;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::process::{Command, Stdio};

#[test]
fn a_call_is_answered_by_one_line_and_the_end() {
    let node = ScriptedServer::new();
    let sidecar = asked(&[&node]);
    assert_eq!(sidecar.call("PING\n"), "ok\n");
    assert_eq!(sidecar.call("PING\r\n"), "ok\n");
    // Behind the call nothing is looked at, and it does no harm.
    assert_eq!(sidecar.call("REJOIN\nLAMEDUCK\nmore"), "ok\n");
    let told = sidecar.call("INFO\n");
    assert!(
        told.ends_with("\neof\n")
            && told
                .lines()
                .all(|line| line == "eof" || line.starts_with("app.")),
        "{told}"
    );
    assert_eq!(sidecar.figure("app.registry_entries"), 1);
}

/// Dashboards and scripts read them by these names, in this order.
#[test]
fn the_figures_have_these_names() {
    let node = ScriptedServer::new();
    let sidecar = asked(&[&node]);
    let told = sidecar.call("INFO\n");
    let names: Vec<&str> = told
        .lines()
        .map(|line| line.split('=').next().unwrap_or_default())
        .collect();
    assert_eq!(
        names,
        [
            "app.operations.recheck.fulfilled",
            "app.operations.recheck.throttled",
            "app.operations.recheck.faulted",
            "app.operations.submit-check.fulfilled",
            "app.operations.submit-check.throttled",
            "app.operations.submit-check.faulted",
            "app.relayed",
            "app.open_requests",
            "app.registry_entries",
            "app.out_of_rotation",
            "app.cfg_accepted",
            "app.cfg_invalid",
            "app.busy_turns",
            "app.stalled_turns",
            "eof",
        ]
    );
    let mut counts = told.lines().filter_map(|line| line.split_once('='));
    assert!(
        counts.all(|(_, count)| count.parse::<u64>().is_ok()),
        "{told}"
    );
}

/// Those of a class stand on the page once, as `CLASS`.
#[test]
fn each_figure_is_on_the_page_for_on_call_staff() {
    let page = include_str!("../../../../docs/on-call.md");
    let node = ScriptedServer::new();
    let sidecar = asked(&[&node]);
    let told = sidecar.call("INFO\n");
    let names = told
        .lines()
        .filter_map(|line| line.split_once('='))
        .map(|(name, _)| name);
    let names: Vec<&str> = names
        .filter(|name| !name.starts_with("app.operations."))
        .collect();
    assert!(names.len() >= 8, "{told}");
    for name in names {
        assert!(
            page.contains(&format!("`{name}`")),
            "{name} is not on the page"
        );
    }
}

#[rstest]
#[case::empty("\n")]
#[case::unknown("STOP\n")]
#[case::small("ping\n")]
#[case::no_text("\0\u{1}\n")]
#[case::long(&"PING ".repeat(100))]
fn what_is_no_call_is_told_so_with_a_reason(#[case] line: &str) {
    let node = ScriptedServer::new();
    let sidecar = asked(&[&node]);
    let told = sidecar.call(line);
    assert!(
        told.starts_with("fail ") && told.ends_with('\n') && told.lines().count() == 1,
        "{told:?}"
    );
    assert_eq!(sidecar.call("PING\n"), "ok\n");
}

/// Callers that say nothing, or half a line, and stay; more of them than there are places.
#[test]
fn a_call_is_answered_beside_two_hundred_callers_that_say_nothing() {
    let node = ScriptedServer::new();
    let sidecar = asked(&[&node]);
    let at = sidecar.control.expect("it has one");
    let idle: Vec<TcpStream> = (0..200)
        .map(|number| {
            let mut caller = TcpStream::connect(at).expect("it accepts");
            if number % 2 == 0 {
                caller.write_all(b"PIN").expect("it reads");
            }
            caller
        })
        .collect();
    assert_eq!(sidecar.call("PING\n"), "ok\n");
    sidecar.serves(&[&node]);
    drop(idle);
    // Nor do they leave anything behind.
    until("only its own descriptors are open", || {
        let open = std::fs::read_dir(format!("/proc/{}/fd", sidecar.child.id()))
            .expect("it lives")
            .count();
        open < 40
    });
}

/// Clients that hold all that they may have, in a process that has no descriptor beyond its limit.
#[test]
fn a_call_is_answered_when_clients_hold_all_their_descriptors() {
    let node = ScriptedServer::new();
    let options = Options {
        control: true,
        sockets: 80,
        before: "ulimit -n 80",
        ..Options::default()
    };
    let sidecar = Sidecar::with(&[node.address()], options);
    let clients: Vec<_> = (0..120).map(|_| sidecar.client()).collect();
    for call in ["PING\n", "LAMEDUCK\n", "REJOIN\n"] {
        assert_eq!(sidecar.call(call), "ok\n");
    }
    drop(clients);
    sidecar.serves(&[&node]);
}

#[test]
fn an_address_that_is_taken_ends_the_start_with_one_line() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let at = taken.local_addr().expect("it is bound").to_string();
    let node = ScriptedServer::new();
    let sidecar = Sidecar::start(&[node.address()]);
    let config = sidecar
        .config
        .0
        .replacen('{', &format!("{{\"control\":\"{at}\","), 1);
    let mut command = Command::new(env!("CARGO_BIN_EXE_madderloom"));
    let command = command
        .arg("serve")
        .env("RELAY_CONFIG", write_config(&config))
        .stderr(Stdio::piped());
    let done = command.output().expect("it starts and ends");
    let errors = String::from_utf8(done.stderr).expect("text");
    assert!(
        !done.status.success() && errors.contains(&format!("RELAY_CONTROL: {at}")),
        "{errors}"
    );
}

/// Each request ends in one figure of its class, and what is open is counted by what is open.
#[test]
fn the_figures_are_those_that_clients_and_servers_count() {
    let node = ScriptedServer::new();
    let sidecar = asked(&[&node]);
    for status in ["200 OK", "200 OK", "500 Oops"] {
        let mut client = sidecar.ask("submit-check", 5000);
        let mut conn = node.accept();
        assert!(conn.read().is_some());
        conn.respond(status, "made");
        let served = client.read().expect("an answer").status() == 200;
        assert_eq!(served, status.starts_with("200"));
        drop(conn);
    }
    let mut client = sidecar.client();
    client.write(request("recheck", 1900, "Idempotency-Key: another\r\n"));
    assert_eq!(client.read().expect("an answer").status(), 400);
    let mut unknown = sidecar.client();
    unknown.write(request("nothing", 1900, ""));
    assert_eq!(unknown.read().expect("an answer").status(), 404);
    let open = sidecar.ask("submit-check", 19_000);
    let mut conn = node.accept();
    assert!(conn.read().is_some());
    for (name, count) in [
        ("operations.submit-check.fulfilled", 2),
        ("operations.submit-check.faulted", 1),
        ("operations.submit-check.throttled", 0),
        ("operations.recheck.faulted", 1),
        ("operations.recheck.fulfilled", 0),
        ("relayed", 4),
        ("open_requests", 1),
        ("cfg_accepted", 0),
    ] {
        assert_eq!(sidecar.figure(&format!("app.{name}")), count, "{name}");
    }
    assert!(
        !sidecar.call("INFO\n").contains("nothing"),
        "a class that there is not is counted"
    );
    // Its client goes; whether that is counted or not, nothing is open.
    drop(open);
    until("nothing is open", || {
        sidecar.figure("app.open_requests") == 0
    });
    assert_eq!(sidecar.figure("app.operations.submit-check.faulted"), 1);
}

#[test]
fn a_server_that_is_drained_is_listed_and_out_of_rotation() {
    let nodes = [ScriptedServer::new(), ScriptedServer::new()];
    let sidecar = asked(&[&nodes[0], &nodes[1]]);
    let mut watch = sidecar.discovery.accept();
    assert!(watch.read().is_some());
    let list = listing(
        42,
        true,
        &[
            ("n0", nodes[0].address(), "in_service"),
            ("n1", nodes[1].address(), "terminating"),
        ],
    );
    watch.write(format!("HTTP/1.1 200 OK\r\n\r\n{list}\n"));
    until("one is out of rotation", || {
        sidecar.figure("app.out_of_rotation") == 1
    });
    assert_eq!(sidecar.figure("app.registry_entries"), 2);
}
