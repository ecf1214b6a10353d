//! A new file takes effect whole or not at all, and costs no request its one answer.

use crate::rig::{PATIENCE, ScriptedServer, chunk, listing};
use crate::stand_ins::*;
use rstest::rstest;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

fn file(parts: &[&str]) -> String {
    format!(
        "version = 1\n[admin]\nlisten = \"127.0.0.1:0\"\n{}",
        parts.concat()
    )
}

/// Clients that ask for these hosts' services until the work is done: what each request got.
fn under_load(
    process: &mut Process,
    hosts: &[&str],
    work: impl FnOnce(&mut Process),
) -> Vec<(String, u16)> {
    let (over, answers) = (AtomicBool::new(false), Mutex::new(Vec::new()));
    let at = process.at("front");
    std::thread::scope(|scope| {
        for host in hosts.iter().cycle().take(3 * hosts.len()) {
            let (over, answers) = (&over, &answers);
            scope.spawn(move || {
                while !over.load(Ordering::Relaxed) {
                    let stream = std::net::TcpStream::connect(at).expect("it accepts");
                    let mut client = crate::rig::Conn::new(stream);
                    for _ in 0..5 {
                        let (id, head) = submit(host, 5);
                        client.write(head + "paper");
                        let answer = client.read().expect("one answer for each request");
                        let closes = answer.header("connection") == Some("close");
                        answers
                            .lock()
                            .expect("no thread panics")
                            .push((id, answer.status()));
                        std::thread::sleep(Duration::from_millis(1));
                        if closes {
                            break;
                        }
                    }
                }
            });
        }
        work(process);
        over.store(true, Ordering::Relaxed);
    });
    answers.into_inner().expect("no thread panics")
}

/// How often servers saw each request, which must never be more than once.
fn seen(servers: &[&StandIn]) -> BTreeMap<String, u32> {
    let mut all = BTreeMap::new();
    for (id, times) in servers.iter().flat_map(|s| s.seen()) {
        *all.entry(id).or_insert(0) += times;
    }
    let twice: Vec<_> = all.iter().filter(|(_, times)| **times > 1).collect();
    assert!(twice.is_empty(), "seen twice: {twice:?}");
    all
}

/// The text with another latency objective of all classes: their pools have new settings.
fn with_new_settings(text: &str) -> String {
    let retuned = text.replace("on_time = 2_000_000", "on_time = 2_500_000");
    assert_ne!(retuned, text);
    retuned
}

/// The pool of these servers, whose list comes from a discovery.
fn discovered_pool(discovery: &ScriptedServer, known: &[&StandIn]) -> String {
    let servers: Vec<String> = known
        .iter()
        .map(|s| format!("{{ name = \"{}\", address = \"{}\" }}", s.name, s.address))
        .collect();
    format!(
        "[[pools]]\nname = \"a\"\ndiscovery = \"{}\"\nservers = [{}]\n{}",
        discovery.address(),
        servers.join(", "),
        settings()
    )
}

/// Answers a call of a pool with this list, and keeps the watch open.
fn answer_watch(discovery: &ScriptedServer, servers: &[(&StandIn, &str)]) -> crate::rig::Conn {
    let mut conn = discovery.accept();
    conn.read().expect("a call");
    let entries: Vec<_> = servers
        .iter()
        .map(|(server, status)| (server.name.as_str(), server.address, *status))
        .collect();
    let list = listing(7, true, &entries).to_string() + "\n";
    let list = chunk(list.as_bytes());
    conn.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    conn.write(list);
    conn
}

/// Other settings make a new pool of it, which calls discovery at its time: until then it goes by what the former one knew, and
/// neither sends to a server that drains nor refuses all.
#[rstest]
#[case::with_servers_in_the_file(true)]
#[case::with_none(false)]
fn a_pool_with_new_settings_keeps_the_list_that_discovery_told(#[case] in_file: bool) {
    let discovery = ScriptedServer::new();
    let (stays, drains) = (
        StandIn::new("stays", Manner::Serves),
        StandIn::new("drains", Manner::Serves),
    );
    let known: &[&StandIn] = if in_file { &[&stays, &drains] } else { &[] };
    let pool = discovered_pool(&discovery, known);
    let text = file(&[&listener("front", ""), &pool, &host_route("a")]);
    let mut process = Process::start(&text);
    let _watch = answer_watch(
        &discovery,
        &[(&stays, "in_service"), (&drains, "terminating")],
    );
    let ask = |process: &Process| {
        let mut client = process.client("front");
        client.write(submit("a", 0).1);
        let answer = client.read().expect("an answer");
        (
            answer.status(),
            String::from_utf8_lossy(&answer.body).into_owned(),
        )
    };
    crate::rig::until("the list is known", || {
        let status = process.status();
        status["pools"][0]["list_version"] == 7
    });
    process.reload(&with_new_settings(&text));
    for number in 0..40 {
        let served = ask(&process);
        assert_eq!(
            served,
            (200, "stays".to_string()),
            "request {number} after the reload"
        );
    }
}

/// A client leaves while a server works on its request, the pool gets new settings, and the same request comes again.
#[rstest]
#[case::client_left(true)]
#[case::client_waits(false)]
fn an_id_that_may_have_run_is_not_sent_again_by_a_pool_with_new_settings(#[case] leaves: bool) {
    let server = StandIn::new("hangs", Manner::Hangs);
    let pool = pool("a", &[&server], "");
    let text = file(&[&listener("front", ""), &pool, &host_route("a")]);
    let mut process = Process::start(&text);
    let (id, request) = submit("a", 0);
    let mut client = Some(process.client("front"));
    client.as_mut().expect("it is there").write(&request);
    crate::rig::until("it runs", || server.seen().contains_key(&id));
    if leaves {
        client = None;
        crate::rig::until("its client's departure is noticed", || {
            process.status()["pools"][0]["open"] == 0
        });
    }
    process.reload(&with_new_settings(&text));
    server.turn_to(Manner::Serves);
    let mut again = process.client("front");
    again.write(&request);
    assert_eq!(again.read().expect("an answer").status(), 409);
    assert_eq!(server.seen()[&id], 1);
    drop(client);
}

/// Pools come, go, are renamed and swap their servers, ten times in a second, while requests are open.
#[test]
fn ten_reloads_in_a_second_cost_no_request_its_one_answer() {
    let late = Manner::ServesLate(Duration::from_millis(20));
    let servers = [
        StandIn::new("s0", late),
        StandIn::new("s1", late),
        StandIn::new("s2", late),
    ];
    let [s0, s1, s2] = &servers;
    let front = listener("front", "");
    let files = [
        file(&[
            &front,
            &pool("a", &[s0], ""),
            &pool("b", &[s1], ""),
            &host_route("a"),
            &host_route("b"),
        ]),
        // Swapped lists.
        file(&[
            &front,
            &pool("a", &[s1], ""),
            &pool("b", &[s0], ""),
            &host_route("a"),
            &host_route("b"),
        ]),
        // Another pool, and a has other limits.
        file(&[
            &front,
            &pool("a", &[s0], "weight = 3"),
            &pool("b", &[s1], ""),
            &pool("c", &[s2], ""),
            &host_route("a"),
            &host_route("b"),
        ]),
        // b is renamed, and is at the same host.
        file(&[
            &front,
            &pool("a", &[s0], ""),
            &pool("b-next", &[s1], ""),
            &host_route("a"),
            &host_route("b-next").replace("b-next.test", "b.test"),
        ]),
    ];
    let mut process = Process::start(&files[0]);
    let answers = under_load(&mut process, &["a", "b"], |process| {
        let began = Instant::now();
        for round in 1..=12 {
            let told = process.reload(&files[round % files.len()]);
            assert!(told.contains("operator file read again"), "{told}");
            // Ten in a second.
            std::thread::sleep(Duration::from_millis(90));
        }
        assert!(began.elapsed() < PATIENCE);
    });
    assert!(answers.len() > 100, "{}", answers.len());
    let odd: Vec<_> = answers
        .iter()
        .filter(|(_, status)| *status != 200)
        .collect();
    assert!(odd.is_empty(), "{odd:?}");
    let seen = seen(&servers.each_ref());
    assert!(answers.iter().all(|(id, _)| seen.contains_key(id)));
    assert_eq!(seen.len(), answers.len());
    assert!(
        s2.seen().is_empty(),
        "a pool that no route leads to was asked"
    );
}

/// A pool that goes finishes what it has, and gets nothing new.
#[test]
fn a_pool_that_goes_finishes_what_it_has_and_gets_nothing_new() {
    let servers = [
        StandIn::new("s0", Manner::ServesLate(Duration::from_millis(400))),
        StandIn::new("s1", Manner::Serves),
    ];
    let front = listener("front", "");
    let both = file(&[
        &front,
        &pool("a", &[&servers[0]], ""),
        &pool("b", &[&servers[1]], ""),
        &host_route("a"),
        &host_route("b"),
    ]);
    let one = file(&[&front, &pool("b", &[&servers[1]], ""), &host_route("b")]);
    let mut process = Process::start(&both);
    let mut open = process.client("front");
    open.write(submit("a", 0).1);
    let until = Instant::now() + PATIENCE;
    while servers[0].seen().is_empty() {
        assert!(Instant::now() < until, "it never comes");
        std::thread::sleep(Duration::from_millis(1));
    }
    let told = process.reload(&one);
    assert!(told.contains("1 pools (1 leave), 1 routes"), "{told}");
    let states: Vec<String> = process.status()["pools"]
        .as_array()
        .expect("pools")
        .iter()
        .map(|p| {
            format!(
                "{} {}",
                p["name"].as_str().unwrap_or("?"),
                p["state"].as_str().unwrap_or("?")
            )
        })
        .collect();
    assert_eq!(states, ["a leaving", "b serving"]);
    let mut late = process.client("front");
    late.write(submit("a", 0).1);
    assert_eq!(late.read().expect("an answer").status(), 404);
    // What was open before has its answer after.
    assert_eq!(open.read().expect("an answer").status(), 200);
    process.wait_for("a: gone");
    assert_eq!(servers[0].seen().len(), 1);
    let pools = process.status()["pools"].as_array().map(Vec::len);
    assert_eq!(pools, Some(1));
    // It may come back.
    process.reload(&both);
    let mut again = process.client("front");
    again.write(submit("a", 0).1);
    assert_eq!(again.read().expect("an answer").status(), 200);
}

/// What was routed to a pool before it went is its own, though its body came later.
#[test]
fn a_request_whose_body_comes_after_its_pool_has_gone_is_served() {
    let servers = [
        StandIn::new("s0", Manner::Serves),
        StandIn::new("s1", Manner::Serves),
    ];
    let front = listener("front", "");
    let [a, b] = [pool("a", &[&servers[0]], ""), pool("b", &[&servers[1]], "")];
    let mut process = Process::start(&file(&[&front, &a, &b, &host_route("a"), &host_route("b")]));
    let mut client = process.client("front");
    client.write(submit("a", 5).1);
    // Once it is there, one that came after it on another connection has its answer.
    let mut other = process.client("front");
    other.write(submit("b", 0).1);
    assert_eq!(other.read().expect("an answer").status(), 200);
    process.reload(&file(&[&front, &b, &host_route("b")]));
    std::thread::sleep(Duration::from_millis(100));
    client.write("paper");
    assert_eq!(client.read().expect("an answer").body, b"s0");
    process.wait_for("a: gone");
}

/// An attempt that fails after its pool's drain is over is not tried again, though other servers are there.
#[test]
fn after_the_drain_a_pool_that_goes_sends_nothing_new() {
    let fails = Manner::FailsLate(Duration::from_millis(500));
    let servers = [StandIn::new("s0", fails), StandIn::new("s1", fails)];
    let front = listener("front", "");
    let process = "[process]\ndrain = \"0\"\n";
    let with = file(&[
        process,
        &front,
        &pool("a", &[&servers[0], &servers[1]], ""),
        &pool("b", &[], ""),
        &host_route("a"),
    ]);
    let without = file(&[process, &front, &pool("b", &[], ""), &host_route("b")]);
    let mut process = Process::start(&with);
    let mut open = process.client("front");
    // A read may be tried again.
    open.write(
        "GET /view HTTP/1.1\r\nHost: a.test\r\nX-Trace-Id: v\r\nX-Expires-In-Ms: 5000\r\n\r\n",
    );
    let until = Instant::now() + PATIENCE;
    let attempts = || {
        servers
            .iter()
            .map(|s| s.seen().values().sum::<u32>())
            .sum::<u32>()
    };
    while attempts() == 0 {
        assert!(Instant::now() < until, "it never comes");
        std::thread::sleep(Duration::from_millis(1));
    }
    process.reload(&without);
    let answer = open.read().expect("an answer");
    assert_eq!(answer.status(), 503);
    assert_eq!(attempts(), 1, "a server was asked after the drain");
}

#[test]
fn a_bad_file_is_one_line_in_the_log_and_changes_nothing() {
    let server = StandIn::new("s", Manner::Serves);
    let front = listener("front", "");
    let sound = file(&[&front, &pool("a", &[&server], ""), &host_route("a")]);
    let mut process = Process::start(&sound);
    let busy = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let taken = busy.local_addr().expect("it is bound");
    let other = format!("[[listeners]]\nname = \"more\"\naddress = \"{taken}\"\n");
    for (bad, words) in [
        (
            sound.replace("pool = \"a\"", "pool = \"z\""),
            "routes[0].pool: there is no z",
        ),
        ("version = [".to_string(), "toml:1:"),
        // It makes sense, but can't be had: the pool in it must not appear.
        (
            file(&[&front, &other, &pool("b", &[&server], ""), &host_route("b")]),
            "listeners[1].address",
        ),
        (
            sound.replace("127.0.0.1:0\"\n[[", &format!("{taken}\"\n[[")),
            "admin",
        ),
    ] {
        let lines = process.log().len();
        let told = process.reload(&bad);
        assert!(
            told.starts_with("operator file not read again: ") && told.contains(words),
            "{told}"
        );
        assert_eq!(process.log().len(), lines + 1, "{:#?}", process.log());
        let mut client = process.client("front");
        client.write(submit("a", 0).1);
        assert_eq!(client.read().expect("an answer").status(), 200);
        assert_eq!(process.status()["pools"].as_array().map(Vec::len), Some(1));
    }
}

#[test]
fn listeners_come_and_go_and_one_that_goes_finishes_what_it_has() {
    let server = StandIn::new("s", Manner::ServesLate(Duration::from_millis(2_200)));
    let pool = pool("a", &[&server], "");
    let two = file(&[
        &listener("front", ""),
        &listener("side", ""),
        &pool,
        &host_route("a"),
    ]);
    let one = file(&[&listener("front", ""), &pool, &host_route("a")]);
    let mut process = Process::start(&two);
    let (front, side) = (process.at("front"), process.at("side"));
    assert_ne!(front, side);
    // One that a newer file wants back at once stays where it is.
    process.reload(&one);
    process.reload(&two);
    let mut open = process.client("side");
    open.write(submit("a", 0).1);
    std::thread::sleep(Duration::from_millis(1_000));
    assert!(
        !process
            .log()
            .iter()
            .any(|line| line.contains("side: closed")),
        "{:#?}",
        process.log()
    );
    process.reload(&one);
    process.wait_for("side: closed to new clients");
    assert!(
        std::net::TcpStream::connect(side).is_err(),
        "it still listens"
    );
    assert_eq!(
        open.read().expect("an answer").header("connection"),
        Some("close")
    );
    let mut client = process.client("front");
    client.write(submit("a", 0).1);
    assert_eq!(client.read().expect("an answer").status(), 200);
    assert_eq!(process.stop(), Some(0));
}
