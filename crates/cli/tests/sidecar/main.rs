//! The real sidecar, started as a process and talked to over sockets.

#[allow(dead_code, reason = "shared with other tests, which use more of it")]
mod rig;
use rig::*;
use rstest::rstest;
use std::process::{Command, Stdio};

#[test]
fn a_request_goes_on_unchanged_and_its_answer_comes_back_unchanged() {
    let node = ScriptedServer::new();
    let sidecar = Sidecar::start(&[node.address()]);
    let mut client = sidecar.client();
    client.write(request_with(
        "9b1f03aa5c7e2d41",
        "submit-check",
        1500,
        "Cookie: a=b; key=7f3a9c21e0b4d655\r\nX-Size-Hint: 90000\r\n",
    ));
    let mut conn = node.accept();
    for round in 0..2 {
        let got = conn.read().expect("a request");
        assert_eq!(got.start, "POST /submit-check?q=1 HTTP/1.1");
        assert_eq!(got.header("x-trace-id").map(str::len), Some(16));
        assert!(round > 0 || got.header("x-trace-id") == Some("9b1f03aa5c7e2d41"));
        assert_eq!(got.header("idempotency-key"), Some("5c0f6e1a"));
        assert_eq!(got.body, b"paper");
        let left: u64 = got
            .header("x-expires-in-ms")
            .expect("is passed on")
            .parse()
            .expect("whole");
        assert!(
            (1..1500).contains(&left),
            "{left} ms are not what is left of 1500"
        );
        conn.write(
            "HTTP/1.1 200 OK\r\nContent-Encoding: odd\r\nContent-Length: 4\r\n\r\n\x00\x01\r\n",
        );
        let answer = client.read().expect("an answer");
        assert_eq!(
            (answer.status(), &answer.body[..]),
            (200, &b"\x00\x01\r\n"[..])
        );
        // Without it the body could not be understood.
        assert_eq!(answer.header("content-encoding"), Some("odd"));
        if round == 0 {
            // The next one goes over the same two connections.
            quiet();
            client.write(request("submit-check", 1500, ""));
        }
    }
    assert!(node.try_accept().is_none());
}

/// Of these lines of a whole fleet it is counted what all instances did together.
#[test]
fn at_the_level_debug_each_attempt_and_connection_is_a_line_of_the_log() {
    let node = ScriptedServer::new();
    let options = Options {
        arguments: "--log-level debug",
        ..Options::default()
    };
    let mut sidecar = Sidecar::with(&[node.address()], options);
    let _conn = serve_one(&sidecar, &node);
    for line in ["request 1", "send 1", "open: up true", "ended 1: Ok"] {
        sidecar.wait_for(line);
    }
}

/// What may have run must not run twice where the class forbids it, and is tried again where it may be.
#[rstest]
#[case::error(
    "submit-check",
    "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
    false
)]
#[case::unproven(
    "submit-check",
    "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
    false
)]
#[case::disproven(
    "submit-check",
    "HTTP/1.1 503 Busy\r\nX-Never-Ran: 0\r\nContent-Length: 0\r\n\r\n",
    false
)]
#[case::proven(
    "submit-check",
    "HTTP/1.1 503 Busy\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n",
    true
)]
#[case::late(
    "submit-check",
    "HTTP/1.1 504 Over\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n",
    true
)]
#[case::proof_on_500(
    "submit-check",
    "HTTP/1.1 500 Oops\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n",
    false
)]
#[case::silence("submit-check", "", false)]
#[case::half(
    "submit-check",
    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
    false
)]
#[case::garbage("submit-check", "no such thing\r\n\r\n", false)]
#[case::repeatable_error("recheck", "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", true)]
#[case::repeatable_reset("recheck", "", true)]
fn an_attempt_is_repeated_only_where_that_is_safe(
    #[case] class: &str,
    #[case] reply: &str,
    #[case] repeated: bool,
) {
    let nodes = [ScriptedServer::new(), ScriptedServer::new()];
    let sidecar = Sidecar::start(&nodes.each_ref().map(ScriptedServer::address));
    let mut client = sidecar.ask(class, 5000);
    let (first, mut conn) = accept_any(&[&nodes[0], &nodes[1]]);
    assert!(conn.read().is_some());
    conn.write(reply);
    drop(conn);
    if repeated {
        let mut conn = nodes[1 - first].accept();
        assert!(conn.read().is_some());
        conn.respond("200 OK", "made");
    }
    let answer = client.read().expect("an answer");
    assert_eq!(answer.status(), if repeated { 200 } else { 502 });
    assert!(
        nodes.iter().all(|n| n.try_accept().is_none()),
        "it was sent once more"
    );
}

#[test]
fn a_refused_connection_proves_that_nothing_ran() {
    // A port that nothing is given by chance: a freed one may soon be another test's.
    let gone = "127.0.0.1:1".parse().expect("an address");
    let node = ScriptedServer::new();
    let sidecar = Sidecar::start(&[gone, node.address()]);
    // Whichever is tried first, the request ends at the one that is there.
    for _ in 0..8 {
        sidecar.serves(&[&node]);
    }
}

#[rstest]
#[case::time_out(true)]
#[case::client_gone(false)]
fn an_abandoned_attempt_closes_its_connection_and_nothing_is_sent_over_it_again(
    #[case] time_out: bool,
) {
    let node = ScriptedServer::new();
    let sidecar = Sidecar::start(&[node.address()]);
    let mut client = sidecar.ask("submit-check", if time_out { 300 } else { 6000 });
    let mut conn = node.accept();
    assert!(conn.read().is_some());
    if time_out {
        assert_eq!(client.read().expect("an answer").status(), 502);
    }
    drop(client);
    assert!(conn.read().is_none(), "its connection is still open");
    sidecar.serves(&[&node]);
}

#[test]
fn a_connection_that_the_node_has_closed_costs_no_request() {
    let node = ScriptedServer::new();
    let sidecar = Sidecar::start(&[node.address()]);
    for _ in 0..5 {
        // Each round ends with the node's close of a connection that lies idle.
        sidecar.serves(&[&node]);
    }
}

/// What makes no sense is never passed on; its connection is closed, since what follows may be a part of it.
#[rstest]
#[case::no_time(400, "POST /submit-check", "X-Trace-Id: 1\r\n")]
#[case::odd_time(
    400,
    "POST /submit-check",
    "X-Trace-Id: 1\r\nX-Expires-In-Ms: soon\r\n"
)]
#[case::no_time_left(
    400,
    "POST /submit-check",
    "X-Trace-Id: 1\r\nX-Expires-In-Ms: -500\r\n"
)]
#[case::no_id(400, "POST /submit-check", "X-Expires-In-Ms: 500\r\n")]
#[case::two_ids(
    400,
    "POST /submit-check",
    "X-Trace-Id: 1\r\nX-Trace-Id: 2\r\nX-Expires-In-Ms: 500\r\n"
)]
#[case::no_key(400, "POST /recheck", "X-Trace-Id: 1\r\nX-Expires-In-Ms: 500\r\n")]
#[case::two_keys(
    400,
    "POST /recheck",
    "X-Trace-Id: 1\r\nX-Expires-In-Ms: 500\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\n"
)]
#[case::two_times(
    400,
    "POST /submit-check",
    "X-Trace-Id: 1\r\nX-Expires-In-Ms: 500\r\nX-Expires-In-Ms: 900\r\n"
)]
#[case::odd_header(400, "POST /submit-check", "X Y: 1\r\n")]
#[case::method(405, "GET /submit-check", "X-Trace-Id: 1\r\nX-Expires-In-Ms: 500\r\n")]
#[case::unknown_class(
    404,
    "POST /no-such-class",
    "X-Trace-Id: 1\r\nX-Expires-In-Ms: 500\r\n"
)]
#[case::long_body(
    413,
    "POST /submit-check",
    "X-Trace-Id: 1\r\nX-Expires-In-Ms: 500\r\nContent-Length: 999999999\r\n"
)]
#[case::hidden(
    400,
    "POST /submit-check",
    "X-Trace-Id: 1\r\nX-Expires-In-Ms: 500\r\nContent-Length: 400\r\nTransfer-Encoding: chunked\r\n"
)]
#[case::half_a_body(
    408,
    "POST /submit-check",
    "X-Trace-Id: 1\r\nX-Expires-In-Ms: 500\r\nContent-Length: 500\r\n"
)]
fn a_bad_request_is_answered_and_does_no_harm(
    #[case] status: u16,
    #[case] start: &str,
    #[case] headers: &str,
) {
    let node = ScriptedServer::new();
    let sidecar = Sidecar::start(&[node.address()]);
    let mut client = sidecar.client();
    client.write(format!("{start} HTTP/1.1\r\nHost: s\r\n{headers}\r\n"));
    if headers.contains("chunked") {
        client.write(format!("0\r\n\r\n{}", request("recheck", 1900, "")));
    }
    assert_eq!(client.read().expect("an answer").status(), status);
    assert!(client.line().is_none(), "its connection is still open");
    assert!(node.try_accept().is_none());
    sidecar.serves(&[&node]);
}

/// Such connections stayed for good, and in the end held all descriptors.
#[rstest]
#[case::silent("")]
#[case::half_a_head("POST /recheck HTTP/1.1\r\nHost: s\r\n")]
#[case::idle("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n")]
fn a_connection_with_no_request_open_is_closed_in_time(#[case] sent: &str) {
    let node = ScriptedServer::new();
    let sidecar = Sidecar::start(&[node.address()]);
    let mut open = sidecar.ask("submit-check", 19_000);
    let mut client = sidecar.client();
    client.write(sent);
    while client.line().is_some() {}
    // One that waits for its answer stays, however long that takes.
    let mut conn = node.accept();
    assert!(conn.read().is_some());
    conn.respond("200 OK", "made");
    assert_eq!(open.read().expect("an answer").status(), 200);
}

/// With one id, an answer could not be told from the other's.
#[test]
fn a_second_request_with_the_id_of_an_open_one_is_turned_away() {
    let node = ScriptedServer::new();
    let sidecar = Sidecar::start(&[node.address()]);
    let mut first = sidecar.client();
    first.write(request_with("9b1f03aa5c7e2d41", "submit-check", 5000, ""));
    let mut conn = node.accept();
    assert!(conn.read().is_some());
    let mut thief = sidecar.client();
    thief.write(request_with("9b1f03aa5c7e2d41", "submit-check", 5000, ""));
    assert_eq!(thief.read().expect("an answer").status(), 409);
    conn.respond("200 OK", "made");
    assert_eq!(first.read().expect("an answer").status(), 200);
    assert!(node.try_accept().is_none());
    sidecar.serves(&[&node]);
}

/// Bodies of hundreds of requests at once were held without a bound.
#[test]
fn open_bodies_are_bounded_in_total_and_what_finds_no_room_is_passed_on() {
    let node = ScriptedServer::new();
    let sidecar = Sidecar::with(
        &[node.address()],
        Options {
            memory_mb: 1,
            ..Options::default()
        },
    );
    let long = |class| {
        let mut client = sidecar.client();
        client.write(
            request(class, 5000, "").replace("Length: 5\r\n\r\npaper", "Length: 65536\r\n\r\n"),
        );
        client.write(vec![b'x'; 65536]);
        client
    };
    let mut taken: Vec<(Conn, Conn)> = (0..4)
        .map(|_| (long("submit-check"), node.accept()))
        .collect();
    // Kept, none of its bytes could be with the server before the last one is here.
    let mut passed = sidecar.client();
    let head = request("submit-check", 5000, "")
        .replace("Length: 5\r\n\r\npaper", "Length: 65536\r\n\r\n");
    passed.write(head + &"x".repeat(32768));
    let conn = node.accept();
    passed.write(vec![b'x'; 32768]);
    taken.push((passed, conn));
    for (client, conn) in &mut taken {
        assert_eq!(conn.read().expect("a request").body.len(), 65536);
        conn.respond("200 OK", "made");
        assert_eq!(client.read().expect("an answer").status(), 200);
    }
    sidecar.serves(&[&node]);
}

#[rstest]
#[case::none("", "RELAY_CONFIG")]
#[case::no_json("{", "configuration")]
#[case::no_listen(r#"{"discovery":"127.0.0.1:1","seed":"1"}"#, "listen")]
#[case::odd_seed(r#""seed":"xyz""#, "seed")]
#[case::odd_address(r#""discovery":"nowhere""#, "discovery")]
#[case::odd_setting(r#""settings":{"group_size":"many"}"#, "settings.group_size")]
#[case::senseless(r#""settings":0"#, "settings")]
fn a_bad_configuration_ends_it_with_one_line_that_names_the_field(
    #[case] part: &str,
    #[case] field: &str,
) {
    let sound = r#""listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1""#;
    let config = if part.starts_with('"') {
        let key = part.split(':').next().expect("a key");
        let kept: Vec<&str> = sound.split(',').filter(|p| !p.starts_with(key)).collect();
        format!("{{{part},{}}}", kept.join(","))
    } else {
        part.to_string()
    };
    let mut command = Command::new(env!("CARGO_BIN_EXE_madderloom"));
    command
        .arg("serve")
        .env_remove("RELAY_CONFIG")
        .stderr(Stdio::piped());
    if !part.is_empty() {
        command.env("RELAY_CONFIG", write_config(&config));
    }
    let done = command.output().expect("it starts and ends");
    let errors = String::from_utf8(done.stderr).expect("text");
    assert!(!done.status.success());
    assert_eq!(errors.lines().count(), 1, "{errors}");
    assert!(errors.contains(field), "{errors}");
}

/// Long enough for a connection to be used again, and far under what ends it.
fn quiet() {
    std::thread::sleep(std::time::Duration::from_millis(200));
}

/// A watch that the test answers: its first line, and what it asked for.
fn watch(discovery: &ScriptedServer) -> (Conn, String) {
    let mut conn = discovery.accept();
    let asked = conn.read().expect("a request").start;
    conn.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    (conn, asked)
}

fn tell(conn: &mut Conn, line: &str) {
    conn.write(format!("{:x}\r\n{line}\n\r\n", line.len() + 1));
}

/// Waits until requests reach this node, and no other any more.
fn settles_on(sidecar: &Sidecar, nodes: &[&ScriptedServer], wanted: usize) {
    let mut in_a_row = 0;
    for _ in 0..400 {
        let mut client = sidecar.ask("recheck", 1900);
        // One that came up behind the word that its server drains carries nothing, and the next one has the request.
        let (at, mut conn) = std::iter::repeat_with(|| accept_any(nodes))
            .find_map(|(at, mut conn)| conn.read().map(|_| (at, conn)))
            .expect("it goes on accepting");
        conn.write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        assert_eq!(client.read().expect("an answer").status(), 200);
        in_a_row = if at == wanted { in_a_row + 1 } else { 0 };
        if in_a_row == 30 {
            return;
        }
    }
    panic!("requests go on to a node that wants none");
}

#[test]
fn the_watch_tells_what_changes_and_is_asked_again_from_where_it_broke() {
    let nodes = [ScriptedServer::new(), ScriptedServer::new()];
    let [first, second] = nodes.each_ref().map(ScriptedServer::address);
    let sidecar = Sidecar::start(&[first, second]);
    let both = [&nodes[0], &nodes[1]];
    let (mut conn, asked) = watch(&sidecar.discovery);
    assert_eq!(asked, "GET /v1/endpoints?watch=1&after=41 HTTP/1.1");
    tell(
        &mut conn,
        &listing(43, false, &[("n0", first, "terminating")]).to_string(),
    );
    settles_on(&sidecar, &both, 1);
    // Heartbeats, a line in two pieces, an older change that must not undo a newer one.
    tell(&mut conn, "");
    let line = listing(44, true, &[("n0", first, "in_service")]).to_string() + "\n";
    for piece in [&line[..30], &line[30..]] {
        conn.write(format!("{:x}\r\n{piece}\r\n", piece.len()));
    }
    tell(
        &mut conn,
        &listing(42, false, &[("n1", second, "in_service")]).to_string(),
    );
    settles_on(&sidecar, &both, 0);
    // Garbage ends the watch; what was known is kept, and asked is from there.
    tell(
        &mut conn,
        "{\"index\":50,\"snapshot\":true,\"endpoints\":[{}]}",
    );
    let (mut conn, asked) = watch(&sidecar.discovery);
    assert_eq!(asked, "GET /v1/endpoints?watch=1&after=44 HTTP/1.1");
    settles_on(&sidecar, &both, 0);
    // A watch that ends, too, is asked for again.
    conn.write("0\r\n\r\n");
    let (mut conn, _) = watch(&sidecar.discovery);
    tell(
        &mut conn,
        &listing(
            45,
            false,
            &[("n1", second, "in_service"), ("n0", first, "terminated")],
        )
        .to_string(),
    );
    settles_on(&sidecar, &both, 1);
}

/// SIGHUP ended the program. Now it follows the discovery that the file names, though `RELAY_DISCOVERY` still
/// names the old one, and believes it though its version is lower; what it knew serves until then.
#[test]
fn on_sighup_it_follows_the_discovery_that_the_file_names() {
    let (nodes, next) = (
        [ScriptedServer::new(), ScriptedServer::new()],
        ScriptedServer::new(),
    );
    let both = [&nodes[0], &nodes[1]];
    let mut sidecar = Sidecar::start(&[nodes[0].address()]);
    let (mut old, _) = watch(&sidecar.discovery);
    sidecar.reconfigure(|_| "{".to_string());
    sidecar.wait_for("not read again: configuration");
    sidecar.serves(&both);
    let (from, to) = (
        sidecar.discovery.address().to_string(),
        next.address().to_string(),
    );
    sidecar.reconfigure(|sound| sound.replace(&from, &to));
    let (mut conn, asked) = watch(&next);
    assert_eq!(asked, "GET /v1/endpoints?watch=1&after=0 HTTP/1.1");
    assert!(old.line().is_none(), "the old watch is still open");
    sidecar.serves(&both[..1]);
    tell(
        &mut conn,
        &listing(3, true, &[("n1", nodes[1].address(), "in_service")]).to_string(),
    );
    settles_on(&sidecar, &both, 1);
}

#[test]
fn a_watch_that_falls_silent_is_asked_for_again_in_time() {
    let node = ScriptedServer::new();
    let sidecar = Sidecar::start(&[node.address()]);
    let (mut conn, _) = watch(&sidecar.discovery);
    tell(&mut conn, "");
    let since = std::time::Instant::now();
    let (_next, asked) = watch(&sidecar.discovery);
    assert!(asked.contains("after=41"));
    // The site holds it to know all after 10 s without asking.
    assert!(since.elapsed().as_secs() < 10);
    drop(conn);
}

#[test]
fn a_planned_stop_finishes_what_was_taken_and_still_answers_who_comes() {
    let node = ScriptedServer::new();
    let mut sidecar = Sidecar::start(&[node.address()]);
    let mut idle = sidecar.client();
    let mut early = sidecar.ask("submit-check", 5000);
    let mut conn = node.accept();
    assert!(conn.read().is_some());
    sidecar.signal("TERM");
    sidecar.wait_for("stopping");
    // One comes on a new connection, one on a connection that was there: both are served, and told to go.
    let mut late = sidecar.ask("submit-check", 5000);
    idle.write(request("submit-check", 5000, ""));
    for _ in 0..2 {
        let mut conn = node.accept();
        assert!(conn.read().is_some());
        conn.respond("200 OK", "made");
    }
    for client in [&mut late, &mut idle] {
        let answer = client.read().expect("an answer");
        assert_eq!(
            (answer.status(), answer.header("connection")),
            (200, Some("close"))
        );
    }
    // What was taken before is waited for.
    sidecar.wait_for("closed");
    conn.respond("200 OK", "made");
    assert_eq!(early.read().expect("an answer").status(), 200);
    assert_eq!(sidecar.child.wait().expect("it ends").code(), Some(0));
}

#[rstest]
#[case::by_its_own_count(Options { sockets: 100, ..Options::default() })]
#[case::by_the_system(Options { before: "ulimit -n 40", ..Options::default() })]
fn clients_beyond_the_descriptors_are_served_all_the_same(#[case] options: Options) {
    let node = ScriptedServer::new();
    let sidecar = Sidecar::with(&[node.address()], options);
    // More connections than it can hold; each has been used, and lies idle until it is closed for others.
    let mut clients = Vec::new();
    for _ in 0..120 {
        let mut client = sidecar.client();
        client.write("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n");
        assert_eq!(client.read().expect("an answer").status(), 200);
        clients.push(client);
    }
    sidecar.serves(&[&node]);
}

/// In a crowd, connections were closed in the order of their coming, open and new ones too: what was on its way
/// over a new one was never read.
#[test]
fn in_a_crowd_of_connections_those_with_a_request_stay() {
    let node = ScriptedServer::new();
    let sidecar = Sidecar::with(
        &[node.address()],
        Options {
            sockets: 116,
            ..Options::default()
        },
    );
    // 50 places. Half are taken by requests that are open, the rest again and again by connections that are idle.
    let mut open: Vec<Conn> = (0..25).map(|_| sidecar.ask("submit-check", 6000)).collect();
    let mut idle = Vec::new();
    for _ in 0..60 {
        let mut client = sidecar.client();
        client.write("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n");
        let ready = client
            .read()
            .expect("what is asked over a new connection is answered");
        assert_eq!(ready.status(), 200);
        idle.push((ready.header("connection").map(str::to_string), client));
    }
    // Clients would have none left before the descriptors run out: near that, an answer ends its connection.
    let closed = |(close, _): &(Option<String>, Conn)| close.as_deref() == Some("close");
    assert!(!closed(&idle[0]) && closed(&idle[40]));
    for _ in 0..25 {
        let mut conn = node.accept();
        assert!(conn.read().is_some());
        conn.respond("200 OK", "made");
    }
    for client in &mut open {
        let answer = client.read().expect("an answer");
        assert_eq!(answer.status(), 200);
    }
}

#[rstest]
#[case::named_as_in_the_settings("rif")]
#[case::named_as_in_the_protocol("inflight")]
fn where_it_may_ask_it_sends_to_the_node_that_holds_least(#[case] name: &str) {
    let nodes = [ScriptedServer::new(), ScriptedServer::new()];
    let options = Options {
        group_size: 16,
        ..Options::default()
    };
    let sidecar = Sidecar::with(&nodes.each_ref().map(ScriptedServer::address), options);
    let both = [&nodes[0], &nodes[1]];
    for busy in [0, 1, 0, 1] {
        let mut client = sidecar.ask("submit-check", 5000);
        let mut idle_conn = None;
        for _ in 0..2 {
            let (at, mut conn) = accept_any(&both);
            assert_eq!(
                conn.read().expect("a probe").start,
                "GET /status/load HTTP/1.1"
            );
            let held = if at == busy { 50 } else { 0 };
            conn.respond("200 OK", &format!("TEXT {name}={held}, busy=0.5, novel=x"));
            if at != busy {
                idle_conn = Some(conn);
            }
        }
        // On a slow machine the probe's connection has not been quiet for long enough, and another one is opened.
        let (idle_node, mut conn) = (both[1 - busy], idle_conn.expect("both are asked"));
        let until = std::time::Instant::now() + rig::PATIENCE;
        while !conn.is_readable() {
            assert!(std::time::Instant::now() < until, "it is not sent");
            match idle_node.try_accept() {
                Some(other) => conn = other,
                None => std::thread::sleep(std::time::Duration::from_millis(1)),
            }
        }
        assert!(
            conn.read()
                .expect("it is sent here")
                .start
                .starts_with("POST /submit-check")
        );
        conn.respond("200 OK", "made");
        assert_eq!(client.read().expect("an answer").status(), 200);
    }
}

#[test]
fn it_is_ready_once_it_has_a_list() {
    let node = ScriptedServer::new();
    let sidecar = Sidecar::start(&[]);
    let ready = |sidecar: &Sidecar| {
        let mut client = sidecar.client();
        client.write("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n");
        client.read().expect("an answer").status()
    };
    assert_eq!(ready(&sidecar), 503);
    let (mut conn, _) = watch(&sidecar.discovery);
    tell(
        &mut conn,
        &listing(42, true, &[("n0", node.address(), "in_service")]).to_string(),
    );
    while ready(&sidecar) == 503 {}
    sidecar.serves(&[&node]);
}

/// A machine that is cut off says nothing on connections that were open: what is sent there is lost after its
/// whole time, while a new connection that never comes up proves at once that nothing ran.
#[rstest]
#[case::cut_off(false)]
#[case::only_slow(true)]
fn after_silence_the_idle_connections_to_a_node_are_not_trusted(#[case] heard: bool) {
    let node = ScriptedServer::new();
    let sidecar = Sidecar::start(&[node.address()]);
    let mut made: Vec<(Conn, Conn)> = Vec::new();
    for _ in 0..3 {
        let client = sidecar.ask("recheck", 1900);
        let mut conn = node.accept();
        assert!(conn.read().is_some());
        made.push((client, conn));
    }
    for (client, conn) in &mut made {
        conn.respond("200 OK", "made");
        assert_eq!(client.read().expect("an answer").status(), 200);
    }
    // The connection used last is used first.
    quiet();
    let [(_, oldest), (_, second), (_, newest)] = &mut made[..] else {
        panic!("three were made")
    };
    let mut lost = sidecar.ask("submit-check", 400);
    assert!(newest.read().is_some());
    if heard {
        let mut other = sidecar.ask("recheck", 1900);
        assert!(second.read().is_some());
        second.respond("200 OK", "made");
        assert_eq!(other.read().expect("an answer").status(), 200);
    }
    assert_eq!(lost.read().expect("an answer").status(), 502);
    let mut client = sidecar.ask("recheck", 1900);
    let mut fresh = None;
    let conn = if heard {
        second
    } else {
        fresh.insert(node.accept())
    };
    assert!(conn.read().is_some());
    conn.respond("200 OK", "made");
    assert_eq!(client.read().expect("an answer").status(), 200);
    if !heard {
        assert!(oldest.read().is_none(), "an idle one is still open");
    }
}

/// Bytes that come a little behind an answer were taken for the answer to the next request.
#[test]
fn what_comes_behind_an_answer_is_no_answer_to_the_next_request() {
    let node = ScriptedServer::new();
    let sidecar = Sidecar::start(&[node.address()]);
    let mut client = sidecar.client();
    // The second one is there when the first is answered, so that it follows at once.
    client.write(request("recheck", 1900, "") + &request("recheck", 1900, ""));
    let mut first = node.accept();
    assert!(first.read().is_some());
    first.respond("200 OK", "made");
    std::thread::sleep(std::time::Duration::from_millis(2));
    first.respond("200 OK", "copy");
    assert_eq!(client.read().expect("an answer").body, b"made");
    let mut second = node.accept();
    assert!(second.read().is_some());
    second.respond("200 OK", "its own");
    assert_eq!(client.read().expect("an answer").body, b"its own");
    assert!(
        first.read().is_none(),
        "a connection with something left over is still open"
    );
}

/// Has the node serve one request. Returns its connection, which stays open.
fn serve_one(sidecar: &Sidecar, node: &ScriptedServer) -> Conn {
    let mut client = sidecar.ask("recheck", 1900);
    let mut conn = node.accept();
    assert!(conn.read().is_some());
    conn.respond("200 OK", "made");
    assert_eq!(client.read().expect("an answer").status(), 200);
    conn
}

/// The address of a server that has gone may be given to a new one: what was open belongs to the old machine.
#[test]
fn a_new_server_at_an_old_address_gets_connections_of_its_own() {
    let node = ScriptedServer::new();
    let sidecar = Sidecar::start(&[node.address()]);
    let (mut watch, _) = watch(&sidecar.discovery);
    let mut old = serve_one(&sidecar, &node);
    let change = [
        ("n0", node.address(), "terminated"),
        ("n1", node.address(), "in_service"),
    ];
    tell(&mut watch, &listing(42, false, &change).to_string());
    assert!(old.read().is_none(), "the old one is still open");
    sidecar.serves(&[&node]);
}

/// A server that starts again at its address, under its name, is another process: what was open belongs to the one before, whose
/// machine may not say that it is gone.
#[test]
fn a_server_that_has_started_again_gets_connections_of_its_own() {
    let node = ScriptedServer::new();
    let sidecar = Sidecar::start(&[node.address()]);
    let (mut watch, _) = watch(&sidecar.discovery);
    let mut old = serve_one(&sidecar, &node);
    let started_again = listing(42, false, &[("n0", node.address(), "in_service")])
        .to_string()
        .replace(r#""since_ms":0"#, r#""since_ms":1790000000000"#);
    tell(&mut watch, &started_again);
    assert!(old.read().is_none(), "the old one is still open");
    sidecar.serves(&[&node]);
}

/// A node that has dropped a connection without a word resets it as the next request comes. Nothing can have run
/// then, but that was known only if the connection broke before the last byte was written.
#[test]
fn once_connections_break_a_break_before_the_last_byte_proves_that_nothing_ran() {
    let node = ScriptedServer::new();
    let sidecar = Sidecar::start(&[node.address()]);
    let (tell, told) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        loop {
            // Every other connection is reset at the first byte; the rest of the request is left unread.
            let mut broken = node.accept();
            broken.read_byte();
            drop(broken);
            tell.send("broke").expect("the test goes on");
            let mut conn = node.accept();
            assert!(conn.read().is_some());
            tell.send("served").expect("the test goes on");
            conn.write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        }
    });
    // The reset may come too late for one request, but hardly for a hundred.
    let repeated = (0..100).any(|_| {
        let status = sidecar
            .ask("submit-check", 5000)
            .read()
            .expect("an answer")
            .status();
        let events: Vec<_> = told.try_iter().collect();
        status == 200 && events == ["broke", "served"]
    });
    assert!(repeated, "what cannot have run was given up");
}

/// An answer shorter than its head says, on a connection that stays open, took all the time that was left.
#[test]
fn an_answer_that_stops_halfway_is_given_up_early() {
    let nodes = [ScriptedServer::new(), ScriptedServer::new()];
    let sidecar = Sidecar::start(&nodes.each_ref().map(ScriptedServer::address));
    let mut client = sidecar.ask("recheck", 1_900_000);
    let (first, mut conn) = accept_any(&[&nodes[0], &nodes[1]]);
    assert!(conn.read().is_some());
    conn.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
    let mut other = nodes[1 - first].accept();
    assert!(conn.read().is_none(), "its connection is still open");
    assert!(other.read().is_some());
    other.respond("200 OK", "made");
    assert_eq!(client.read().expect("an answer").body, b"made");
}

#[test]
fn a_connection_is_dropped_before_the_node_would_close_it_as_idle() {
    let node = ScriptedServer::new();
    let options = Options {
        conn_idle_ms: 250,
        ..Options::default()
    };
    let sidecar = Sidecar::with(&[node.address()], options);
    let mut conn = serve_one(&sidecar, &node);
    std::thread::sleep(std::time::Duration::from_millis(250));
    // It still stands open at the node's end, yet the next request takes a new one.
    sidecar.serves(&[&node]);
    assert!(conn.read().is_none(), "the old one is still open");
}

/// The module sets a timer for the very time at which an attempt runs out. Heard of first, it would have the
/// attempt called off, and a node that hangs would never be held to fail.
#[test]
fn a_node_that_hangs_is_ejected_for_its_time_outs() {
    let node = ScriptedServer::new();
    let mut sidecar = Sidecar::start(&[node.address()]);
    let mut silent = Vec::new();
    for _ in 0..6 {
        let mut client = sidecar.ask("submit-check", 100);
        silent.push(node.accept());
        assert_eq!(client.read().expect("an answer").status(), 502);
    }
    // The log is written behind the answers; a process that is told to stop writes all of it.
    sidecar.signal("TERM");
    sidecar.wait_for("ejected n0: Timeout");
}
