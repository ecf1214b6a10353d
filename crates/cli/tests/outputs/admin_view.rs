//! The admin view of a sidecar, raw and by the commands that read it, and the lines at its second address.

use crate::shape::assert_shape;
use crate::stand_ins::*;
use crate::{text, told};
use serde_json::Value;
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use tempfile::TempDir;

const LEVELS: &str = "[pools.levels]\n[[pools.levels.level]]\nname = \"careful\"\nenter = \"unknown > 30% for 300ms\"\n\
    leave = \"unknown < 10%\"\nleast_stay = \"1s\"\n[pools.levels.level.turn_away]\nview = 1.0\n";

/// A process with one server, an admin view on a socket, stories, levels and a state.
struct Site {
    _directory: TempDir,
    socket: PathBuf,
    server: StandIn,
    process: Process,
}

impl Site {
    fn start() -> Self {
        let directory = tempfile::tempdir().expect("a directory");
        let socket = directory.path().join("admin");
        let server = StandIn::new("s-one", Manner::Serves);
        let state = directory.path().join("state");
        std::fs::create_dir(&state).expect("it is made");
        let file = Site::file(&socket, &state, &server);
        let mut process = Process::start(&file);
        process.wait_for("admin view on ");
        Site {
            _directory: directory,
            socket,
            server,
            process,
        }
    }

    fn file(socket: &Path, state: &Path, server: &StandIn) -> String {
        format!(
            "version = 1\n[admin]\nsocket = \"{}\"\n[timeline]\n[state]\ndir = \"{}\"\n{}{}{LEVELS}{}",
            socket.display(),
            state.display(),
            listener("front", ""),
            pool("a", &[server], ""),
            host_route("a"),
        )
    }

    /// One request that is served.
    fn serve_one(&self) {
        let mut client = self.process.client("front");
        client.write(submit("a", 0).1);
        assert_eq!(client.read().expect("an answer").status(), 200);
    }

    /// `STATUS BODY` of what the admin view answers.
    fn ask(&self, request: &str, body: &str) -> String {
        let mut stream = UnixStream::connect(&self.socket).expect("it accepts");
        let head = format!(
            "{request} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(head.as_bytes()).expect("it is written");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("it is read");
        let (head, body) = answer.split_once("\r\n\r\n").expect("a head");
        assert!(head.contains("content-type: application/json"), "{head}");
        assert!(head.contains("cache-control: no-store"), "{head}");
        format!("{} {body}", head.split(' ').nth(1).expect("a status"))
    }

    fn seen(&self, path: &str) -> Value {
        let answer = self.ask(&format!("GET {path}"), "");
        serde_json::from_str(answer.strip_prefix("200 ").expect("200")).expect("JSON")
    }

    fn run(&self, arguments: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_madderloom"));
        let command = command
            .args(arguments)
            .arg("--socket")
            .arg(&self.socket)
            .args(["--output", "json"]);
        command.output().expect("it runs")
    }
}

/// The status without the signals of its one pool, of which those are there that have a value at the moment.
fn without_signals(mut status: Value) -> Value {
    const NAMES: [&str; 9] = [
        "failing_servers",
        "goodput",
        "lateness",
        "refused",
        "retries",
        "open",
        "unknown",
        "cpu",
        "list_age",
    ];
    let signals = status["pools"][0]["service_level"]["signals"].take();
    let signals = signals.as_object().expect("an object");
    for (name, value) in signals {
        let (name, class) = name.split_once('(').unwrap_or((name, "view)"));
        assert!(
            NAMES.contains(&name) && ["view)", "submit)"].contains(&class),
            "{name}({class}"
        );
        assert!(value.is_number(), "{name}: {value}");
    }
    status
}

const STATUS: &str = r#"
    build text
    connections.held.most whole
    connections.held.parked whole
    connections.held.served whole
    connections.held.servers whole
    connections.parked whole
    connections.served whole
    control null
    event_loop.busy_turns whole
    event_loop.stalled_turns whole
    files_read 1
    fleet_limits null
    limits.bodies.total whole
    limits.bodies.used whole
    limits.client_connections.total whole
    limits.client_connections.used whole
    limits.open.total whole
    limits.open.used whole
    limits.server_connections.total whole
    limits.server_connections.used whole
    listeners[].address address
    listeners[].connections.parked whole
    listeners[].connections.served whole
    listeners[].connections.woken whole
    listeners[].connections_ended.client_gone whole
    listeners[].connections_ended.close_requested whole
    listeners[].connections_ended.finished whole
    listeners[].connections_ended.gave_way whole
    listeners[].connections_ended.idle whole
    listeners[].connections_ended.incomplete_head whole
    listeners[].connections_ended.rejected_unread whole
    listeners[].connections_ended.write_stalled whole
    listeners[].connections_taken whole
    listeners[].limits.bodies.denied whole
    listeners[].limits.bodies.guaranteed whole
    listeners[].limits.bodies.most whole
    listeners[].limits.bodies.peak whole
    listeners[].limits.bodies.used whole
    listeners[].limits.connections.denied whole
    listeners[].limits.connections.guaranteed whole
    listeners[].limits.connections.most whole
    listeners[].limits.connections.peak whole
    listeners[].limits.connections.used whole
    listeners[].limits.open.denied whole
    listeners[].limits.open.guaranteed whole
    listeners[].limits.open.most whole
    listeners[].limits.open.peak whole
    listeners[].limits.open.used whole
    listeners[].name "front"
    listeners[].requests.senseless 0
    listeners[].state "serving"
    listeners[].thread.us whole
    listeners[].thread.waits whole
    name ""
    pools[].classes[].behind_deadline[].over_ms whole
    pools[].classes[].behind_deadline[].requests 0
    pools[].classes[].delay fraction
    pools[].classes[].effect "safe" or "unsafe"
    pools[].classes[].name "submit" or "view"
    pools[].classes[].open 0
    pools[].classes[].refused_ago_us null
    pools[].classes[].served_per_s fraction or null
    pools[].classes[].slow_us fraction
    pools[].classes[].usual_us fraction
    pools[].connections.idle whole
    pools[].connections.opened whole
    pools[].discovery null
    pools[].limits.bodies.denied whole
    pools[].limits.bodies.guaranteed whole
    pools[].limits.bodies.most whole
    pools[].limits.bodies.peak whole
    pools[].limits.bodies.used whole
    pools[].limits.connections.denied whole
    pools[].limits.connections.guaranteed whole
    pools[].limits.connections.most whole
    pools[].limits.connections.peak whole
    pools[].limits.connections.used whole
    pools[].limits.open.denied whole
    pools[].limits.open.guaranteed whole
    pools[].limits.open.most whole
    pools[].limits.open.peak whole
    pools[].limits.open.used whole
    pools[].list_version 0
    pools[].name "a"
    pools[].open whole
    pools[].ready true
    pools[].refused_for.body_bytes 0
    pools[].refused_for.deadline 0
    pools[].refused_for.fleet_limit 0
    pools[].refused_for.memory 0
    pools[].refused_for.rate 0
    pools[].refused_for.requests 0
    pools[].refused_for.slow_client 0
    pools[].requests.failed 0
    pools[].requests.late 0
    pools[].requests.over_rate 0
    pools[].requests.refused 0
    pools[].requests.senseless 0
    pools[].requests.served 1
    pools[].requests.turned_away 0
    pools[].retry_budget fraction
    pools[].servers[].address address
    pools[].servers[].capacity 1.0
    pools[].servers[].cell 0
    pools[].servers[].ejected_for_us null
    pools[].servers[].failures 0
    pools[].servers[].kind null
    pools[].servers[].last_answer_ago_us whole
    pools[].servers[].name "s-one"
    pools[].servers[].out whole
    pools[].servers[].report null
    pools[].servers[].share 1.0
    pools[].servers[].state "ready"
    pools[].servers[].warmth 1.0
    pools[].servers[].zone null
    pools[].service_level.changes_in_ten_minutes 39
    pools[].service_level.given_up whole
    pools[].service_level.history[].ago_us whole
    pools[].service_level.history[].cause text
    pools[].service_level.history[].from null
    pools[].service_level.history[].to "careful"
    pools[].service_level.level "careful"
    pools[].service_level.levels[] "careful"
    pools[].service_level.orders[].by text
    pools[].service_level.orders[].for_us whole
    pools[].service_level.orders[].level "careful"
    pools[].service_level.orders[].pin true
    pools[].service_level.signals null
    pools[].service_level.since_us whole
    pools[].state "serving"
    pools[].thread.us whole
    pools[].thread.waits whole
    pools[].unfinished_responses.cancelled whole
    pools[].unfinished_responses.client_deadline whole
    pools[].unfinished_responses.header_timeout whole
    pools[].unfinished_responses.server whole
    pools[].unfinished_responses.stopping whole
    routes 1
    shared_lists null
    state.batches whole
    state.compactions whole
    state.directory text
    state.entries whole
    state.groups whole
    state.live_bytes whole
    state.log_bytes whole
    state.not_compacting null
    state.open true
    state.recording true
    state.refusing null
    state.unrecorded whole
    stopping false
    timers.full_turns whole
    timers.rung whole
    timers.set whole
    up_us whole
    version 1
"#;

#[test]
fn the_status_has_all_that_it_had() {
    let mut site = Site::start();
    site.serve_one();
    let order = r#"{"order":"pin","level":"careful","for_us":60000000,"by":"ana"}"#;
    assert_eq!(site.ask("POST /v1/pools/a/level", order), "200 {}");
    site.process
        .wait_for("service level: from full service to careful");
    let done = site.run(&["status"]);
    assert_eq!(done.status.code(), Some(0));
    assert_shape(&without_signals(told(&done)), STATUS);
    assert_shape(&without_signals(site.seen("/v1/status")), STATUS);
}

#[test]
fn orders_on_a_level_are_answered_as_ever() {
    let site = Site::start();
    let level = "POST /v1/pools/a/level";
    for (request, body, answer) in [
        (
            level,
            r#"{"order":"bar","level":"careful","for_us":60000000}"#,
            "200 {}",
        ),
        (level, r#"{"order":"clear","level":"careful"}"#, "200 {}"),
        (
            level,
            r#"{"order":"clear"}"#,
            r#"400 {"problem":"there is nothing to take back: the pin does not hold"}"#,
        ),
        (
            level,
            r#"{"order":"odd"}"#,
            r#"400 {"problem":"makes no sense: unknown variant `odd`, expected one of `pin`, `bar`, `clear` at line 1 column 14"}"#,
        ),
        (
            level,
            r#"{"order":"pin","more":1}"#,
            r#"400 {"problem":"makes no sense: unknown field `more`, expected one of `order`, `level`, `for_us`, `by` at line 1 column 21"}"#,
        ),
        (
            level,
            r#"{"order":"pin","for_us":1}"#,
            r#"400 {"problem":"names no level"}"#,
        ),
        (
            level,
            r#"{"order":"pin","level":"careful"}"#,
            r#"400 {"problem":"an order holds for some time, 7days at most"}"#,
        ),
        (
            "POST /v1/pools/b/level",
            r#"{"order":"pin"}"#,
            r#"404 {"problem":"there is no pool b"}"#,
        ),
        ("POST /v1/status", "", "405 {}"),
        ("DELETE /v1/status", "", "405 {}"),
        ("GET /v1/odd", "", "404 {}"),
        ("GET /v1/servers/odd", "", "404 {}"),
    ] {
        assert_eq!(site.ask(request, body), answer, "{request} {body}");
    }
}

const SERVERS: &str = r#"
    name ""
    now_us whole
    servers[].address address
    servers[].capacity 1.0
    servers[].cell 0
    servers[].departures []
    servers[].ejected_for_us null
    servers[].failures 0
    servers[].kind null
    servers[].last_answer_ago_us whole
    servers[].lately.from_us whole or null
    servers[].lately.lost whole
    servers[].lately.p50_us whole or null
    servers[].lately.p99_us whole or null
    servers[].lately.refused whole
    servers[].lately.served whole
    servers[].lately.turned_away whole
    servers[].name "s-one"
    servers[].out whole
    servers[].pool "a"
    servers[].report null
    servers[].share 1.0
    servers[].state "ready"
    servers[].warmth 1.0
    servers[].zone null
    shared []
    timelines true
    version 1
"#;

const SERVER: &str = r#"
    address address
    capacity 1.0
    cell 0
    departures []
    ejected_for_us null
    evidence null
    failures 0
    kind null
    last_answer_ago_us whole
    lately.from_us whole or null
    lately.lost whole
    lately.p50_us whole or null
    lately.p99_us whole or null
    lately.refused whole
    lately.served whole
    lately.turned_away whole
    name "s-one"
    notes[].at_us whole
    notes[].event "joined"
    notes[].last_us whole
    notes[].text "is listed"
    notes[].times 1
    now_us whole
    out whole
    pool "a"
    recording.began_us whole
    recording.moments[].attempts whole
    recording.moments[].errors fraction
    recording.moments[].from_ms whole
    recording.moments[].lasts_ms whole
    recording.moments[].lost fraction
    recording.moments[].refused fraction
    recording.moments[].slower fraction
    recording.server "s-one"
    recording.usual_us whole
    recording.version 1
    report null
    share 1.0
    state "ready"
    steps[].cancelled 0
    steps[].connect_failed 0
    steps[].error 0
    steps[].from_us whole
    steps[].full 0
    steps[].mean_us whole or null
    steps[].moot 0
    steps[].most_out whole
    steps[].p50_us whole or null
    steps[].p99_us whole or null
    steps[].region fraction
    steps[].reported null
    steps[].reset 0
    steps[].served whole
    steps[].timeout 0
    steps[].turned_away 0
    steps[].width_us whole
    warmth 1.0
    zone null
"#;

const EVENT: &str = r#"
    at_us whole
    event text
    number whole
    pool "a"
    server "s-new"
    text text
"#;

#[test]
fn servers_their_stories_and_events_have_all_that_they_had() {
    let mut site = Site::start();
    site.serve_one();
    let done = site.run(&["servers"]);
    assert_eq!(done.status.code(), Some(0));
    assert_shape(&told(&done), SERVERS);
    assert_shape(&site.seen("/v1/servers"), SERVERS);

    let done = site.run(&["server", "s-one"]);
    assert_eq!(done.status.code(), Some(0));
    let story = told(&done);
    assert_shape(&story, SERVER);
    let stories = site.seen("/v1/servers/s-one");
    assert_eq!(stories["version"], 1);
    assert_shape(&stories["stories"][0], SERVER);

    // A server that comes, and goes again, is told of.
    let new = StandIn::new("s-new", Manner::Serves);
    let text_of_file = std::fs::read_to_string(&site.process.file).expect("it is there");
    let entry = |server: &StandIn| {
        format!(
            "{{ name = \"{}\", address = \"{}\" }}",
            server.name, server.address
        )
    };
    let both = text_of_file.replace(
        &entry(&site.server),
        &format!("{}, {}", entry(&site.server), entry(&new)),
    );
    site.process.reload(&both);
    site.process.reload(&text_of_file);
    let done = site.run(&["events"]);
    let events: Vec<Value> = text(&done.stdout)
        .lines()
        .map(|line| serde_json::from_str(line).expect("JSON"))
        .collect();
    events.iter().for_each(|event| assert_shape(event, EVENT));
    let words = |field: &str| {
        events
            .iter()
            .map(|event| event[field].clone())
            .collect::<Value>()
    };
    assert_eq!(words("event"), serde_json::json!(["joined", "left"]));
    assert_eq!(
        words("text"),
        serde_json::json!(["s-new is listed", "s-new is gone from the list"])
    );
    let seen = site.seen("/v1/events");
    assert_eq!(seen["events"], Value::Array(events.clone()));
    let expected = r#"
        events[].at_us whole
        events[].event text
        events[].number whole
        events[].pool "a"
        events[].server "s-new"
        events[].text text
        next 2
        oldest 0
        version 1
    "#;
    assert_shape(&seen, expected);
}

/// The lines of INFO at the second address.
#[test]
fn the_figures_at_the_second_address_have_all_that_they_had() {
    let node = crate::rig::ScriptedServer::new();
    let options = crate::rig::Options {
        control: true,
        ..crate::rig::Options::default()
    };
    let sidecar = crate::rig::Sidecar::with(&[node.address()], options);
    sidecar.serves(&[&node]);
    let info = sidecar.call("INFO\n");
    let figures = |line: &str| match line.split_once('=') {
        // The machine may be busy.
        Some((name @ ("app.busy_turns" | "app.stalled_turns"), count)) => {
            assert!(count.parse::<u64>().is_ok(), "{line}");
            format!("{name}=N\n")
        }
        _ => format!("{line}\n"),
    };
    let info: String = info.lines().map(figures).collect();
    assert_eq!(
        info,
        "app.operations.recheck.fulfilled=1\napp.operations.recheck.throttled=0\n\
         app.operations.recheck.faulted=0\napp.operations.submit-check.fulfilled=0\n\
         app.operations.submit-check.throttled=0\napp.operations.submit-check.faulted=0\n\
         app.relayed=1\napp.open_requests=0\napp.registry_entries=1\napp.out_of_rotation=0\n\
         app.cfg_accepted=0\napp.cfg_invalid=0\napp.busy_turns=N\napp.stalled_turns=N\neof\n"
    );
    for (call, answer) in [
        ("PING\n", "ok\n"),
        ("LAMEDUCK\n", "ok\n"),
        ("REJOIN\n", "ok\n"),
        (
            "odd\n",
            "fail there is no such call; call PING, INFO, LAMEDUCK or REJOIN\n",
        ),
    ] {
        assert_eq!(sidecar.call(call), answer);
    }
}
