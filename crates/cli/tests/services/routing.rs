//! A request is seen by servers of the pool that it is routed to, and by no other.

use crate::rig::{Conn, PATIENCE, ScriptedServer, listing};
use crate::stand_ins::*;
use rstest::rstest;
use std::net::TcpStream;

struct Two {
    process: Process,
    servers: [StandIn; 2],
}

/// Submissions by their path, reports by their host.
fn two_services() -> Two {
    let servers = [
        StandIn::new("a-one", Manner::Serves),
        StandIn::new("b-one", Manner::Serves),
    ];
    let text = [
        "version = 1\n".to_string(),
        listener("front", ""),
        pool("submissions", &[&servers[0]], ""),
        pool("reports", &[&servers[1]], ""),
        "[[routes]]\nname = \"submit\"\npath = \"/submit\"\npool = \"submissions\"\n".to_string(),
        "[[routes]]\nname = \"view\"\nhost = \"reports.test\"\npath = \"/reports/{id}\"\nmethods = [\"GET\"]\n\
         set_class = \"view\"\npool = \"reports\"\n"
            .to_string(),
    ];
    Two {
        process: Process::start(&text.concat()),
        servers,
    }
}

#[test]
fn several_services_are_served_by_one_thread() {
    let Two { process, .. } = two_services();
    // Beside it one writes the log, and one watches it.
    assert_eq!(
        process.threads(),
        ["madderloom", "log", "watchdog"],
        "{:?}",
        process.threads()
    );
}

/// Each hard case has one outcome: the pool whose server sees the request, or the status of its refusal.
#[rstest]
#[case::by_path("POST /submit", "Host: any.test", "a-one")]
#[case::by_host("GET /reports/7", "Host: reports.test", "b-one")]
#[case::submit_path_at_the_host_of_reports("POST /submit", "Host: reports.test", "a-one")]
#[case::report_path_at_another_host("GET /reports/7", "Host: any.test", "404")]
#[case::host_in_upper_case("GET /reports/7", "Host: REPORTS.Test", "b-one")]
#[case::path_in_upper_case("GET /Reports/7", "Host: reports.test", "404")]
#[case::trailing_dot("GET /reports/7", "Host: reports.test.", "b-one")]
#[case::port("GET /reports/7", "Host: reports.test:5000", "b-one")]
#[case::absolute_target("GET http://reports.test/reports/7", "Host: reports.test", "b-one")]
#[case::host_and_target_disagree("GET http://reports.test/reports/7", "Host: any.test", "400")]
#[case::no_host("GET /reports/7", "X-None: 1", "400")]
#[case::two_hosts("GET /reports/7", "Host: reports.test\r\nHost: reports.test", "400")]
#[case::escaped("GET /%72eports/7", "Host: reports.test", "b-one")]
#[case::escaped_dots("GET /reports/%2e%2e", "Host: reports.test", "400")]
#[case::dots("GET /reports/../submit", "Host: reports.test", "400")]
#[case::double_slash("GET //reports/7", "Host: reports.test", "400")]
#[case::escaped_slash("GET /reports%2f7", "Host: reports.test", "400")]
#[case::empty_template("GET /reports/", "Host: reports.test", "404")]
#[case::method("POST /reports/7", "Host: reports.test", "404")]
fn a_request_has_one_outcome(#[case] start: &str, #[case] host: &str, #[case] outcome: &str) {
    let Two { process, servers } = two_services();
    let mut client = process.client("front");
    client.write(format!(
        "{start} HTTP/1.1\r\n{host}\r\nX-Trace-Id: t1\r\nX-Expires-In-Ms: 5000\r\n\r\n"
    ));
    let answer = client.read().expect("an answer");
    let told = if answer.status() == 200 {
        String::from_utf8_lossy(&answer.body).into_owned()
    } else {
        assert_eq!(
            answer.header("connection"),
            Some("close"),
            "what follows may be a part of it"
        );
        answer.status().to_string()
    };
    assert_eq!(told, outcome);
    for server in &servers {
        assert_eq!(
            server.seen().contains_key("t1"),
            server.name == outcome,
            "{}",
            server.name
        );
    }
}

#[test]
fn a_canary_gets_its_part_and_a_key_stays_where_it_is() {
    let servers = [
        StandIn::new("old", Manner::Serves),
        StandIn::new("new", Manner::Serves),
    ];
    let text = [
        "version = 1\n".to_string(),
        listener("front", ""),
        pool("stable", &[&servers[0]], ""),
        pool("canary", &[&servers[1]], ""),
        "[[routes]]\nname = \"r\"\nsplit = [{ pool = \"stable\", weight = 70 }, { pool = \"canary\", weight = 30 }]\n"
            .to_string(),
    ];
    let process = Process::start(&text.concat());
    let mut client = process.client("front");
    let mut to_canary = 0;
    for key in 0..200 {
        let answers: Vec<_> = (0..2)
            .map(|round| {
                client.write(format!(
                    "GET /view HTTP/1.1\r\nHost: s\r\nX-Trace-Id: {key}-{round}\r\nX-Expires-In-Ms: 5000\r\n\
                     Cookie: key=k{key}\r\n\r\n"
                ));
                client.read().expect("an answer").body
            })
            .collect();
        assert_eq!(answers[0], answers[1], "key {key} has moved");
        to_canary += usize::from(answers[0] == b"new");
    }
    // Six standard deviations about 60; the hash is the same in every run.
    assert!((22..=98).contains(&to_canary), "{to_canary}");
}

#[test]
fn two_hundred_services_in_one_process_answer_each_by_their_own_servers() {
    const SERVICES: usize = 200;
    let servers: Vec<StandIn> = (0..SERVICES)
        .map(|at| StandIn::new(&format!("s{at}"), Manner::Serves))
        .collect();
    let mut text = format!(
        "version = 1\n[admin]\nlisten = \"127.0.0.1:0\"\n{}",
        listener("front", "")
    );
    for (at, server) in servers.iter().enumerate() {
        text += &pool(&format!("p{at}"), &[server], "");
        text += &host_route(&format!("p{at}"));
    }
    let process = Process::start(&text);
    let mut client = process.client("front");
    for at in 0..SERVICES {
        let (_, head) = submit(&format!("p{at}"), 0);
        client.write(head);
        let answer = client.read().expect("an answer");
        assert_eq!(
            (answer.status(), answer.body),
            (200, format!("s{at}").into_bytes())
        );
    }
    for (at, server) in servers.iter().enumerate() {
        let seen = server.seen();
        assert!(
            seen.len() == 1 && seen.keys().all(|id| id.starts_with(&format!("p{at}-"))),
            "{seen:?}"
        );
    }
    assert_eq!(
        process.status()["pools"].as_array().map(Vec::len),
        Some(SERVICES)
    );
}

/// Where a pool learns of its servers is nobody else's matter.
#[rstest]
#[case::silent(false)]
#[case::gone(true)]
fn a_pool_whose_discovery_is_lost_leaves_the_others_alone(#[case] gone: bool) {
    let discovery = ScriptedServer::new();
    let address = discovery.address();
    let servers = [
        StandIn::new("a-one", Manner::Serves),
        StandIn::new("b-one", Manner::Serves),
    ];
    if gone {
        drop(discovery);
    }
    let lost = format!(
        "[[pools]]\nname = \"lost\"\ndiscovery = \"{address}\"\n{}",
        settings()
    );
    let text = [
        "version = 1\n",
        &listener("front", ""),
        &pool("a", &[&servers[0]], ""),
        &lost,
        &host_route("a"),
        &host_route("lost"),
    ];
    let mut process = Process::start(&text.concat());
    if gone {
        process.wait_for("lost: discovery at ");
    }
    for _ in 0..5 {
        let mut client = process.client("front");
        client.write(submit("a", 0).1);
        assert_eq!(client.read().expect("an answer").status(), 200);
    }
    let ready = |of: &str| {
        let mut client = process.client("front");
        client.write(format!("GET /ready{of} HTTP/1.1\r\nHost: s\r\n\r\n"));
        client.read().expect("an answer").status()
    };
    assert_eq!(
        [ready(""), ready("?pool=a"), ready("?pool=lost")],
        [200, 200, 503]
    );
}

/// Each pool follows a discovery of its own, and a new file may name another one.
#[test]
fn pools_follow_their_own_discoveries() {
    let discoveries = [
        ScriptedServer::new(),
        ScriptedServer::new(),
        ScriptedServer::new(),
    ];
    let servers = [
        StandIn::new("s0", Manner::Serves),
        StandIn::new("s1", Manner::Serves),
    ];
    let pool = |name: &str, discovery: &ScriptedServer| {
        format!(
            "[[pools]]\nname = \"{name}\"\ndiscovery = \"{}\"\n{}",
            discovery.address(),
            settings()
        )
    };
    let file = |first: &ScriptedServer| {
        let pools = pool("a", first) + &pool("b", &discoveries[1]);
        [
            "version = 1\n",
            &listener("front", ""),
            &pools,
            &host_route("a"),
            &host_route("b"),
        ]
        .concat()
    };
    let mut process = Process::start(&file(&discoveries[0]));
    let watch = |discovery: &ScriptedServer, after: u64, server: &StandIn| {
        let mut conn = discovery.accept();
        let asked = conn.read().expect("a request").start;
        assert_eq!(
            asked,
            format!("GET /v1/endpoints?watch=1&after={after} HTTP/1.1")
        );
        let list =
            listing(7, true, &[(&server.name, server.address, "in_service")]).to_string() + "\n";
        conn.write(format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{list}\r\n",
            list.len()
        ));
        conn
    };
    let served_by = |process: &Process, host: &str| {
        let until = std::time::Instant::now() + PATIENCE;
        loop {
            let mut client = process.client("front");
            client.write(submit(host, 0).1);
            let answer = client.read().expect("an answer");
            if answer.status() == 200 {
                return String::from_utf8_lossy(&answer.body).into_owned();
            }
            assert!(std::time::Instant::now() < until, "{host} is never served");
        }
    };
    let mut first = watch(&discoveries[0], 0, &servers[0]);
    let _second = watch(&discoveries[1], 0, &servers[1]);
    assert_eq!(
        [served_by(&process, "a"), served_by(&process, "b")],
        ["s0", "s1"]
    );
    // Another discovery, which names a server that is another pool's too.
    process.reload(&file(&discoveries[2]));
    assert!(first.line().is_none(), "the old watch is still open");
    let _third = watch(&discoveries[2], 0, &servers[1]);
    let until = std::time::Instant::now() + PATIENCE;
    while served_by(&process, "a") != "s1" {
        assert!(
            std::time::Instant::now() < until,
            "the new list is not heard"
        );
    }
    assert_eq!(served_by(&process, "b"), "s1");
    assert!(servers[0].seen().keys().all(|id| id.starts_with("a-")));
}

/// Two pools may name one address: it is then a server of both, with connections of its own for each.
#[test]
fn an_address_that_two_pools_name_serves_both_over_connections_of_their_own() {
    let server = StandIn::new("shared", Manner::Serves);
    let text = [
        "version = 1\n",
        &listener("front", ""),
        &pool("a", &[&server], ""),
        &pool("b", &[&server], ""),
        "[admin]\nlisten = \"127.0.0.1:0\"\n",
        &host_route("a"),
        &host_route("b"),
    ];
    let process = Process::start(&text.concat());
    for host in ["a", "b", "a", "b"] {
        let mut client: Conn =
            Conn::new(TcpStream::connect(process.at("front")).expect("it accepts"));
        client.write(submit(host, 0).1);
        assert_eq!(client.read().expect("an answer").status(), 200);
    }
    let status = process.status();
    for pool in status["pools"].as_array().expect("pools") {
        assert_eq!(pool["requests"]["served"], 2);
        assert!(
            pool["limits"]["connections"]["peak"].as_u64() >= Some(1),
            "{pool}"
        );
    }
}
