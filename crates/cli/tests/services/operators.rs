//! What operators see: the admin view, `status`, `check` and `route explain`.

use crate::rig::{ScriptedServer, Sidecar, write_config};
use crate::stand_ins::*;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::process::{Command, Output};

fn madderloom(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_madderloom"))
        .args(arguments)
        .output()
        .expect("it runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn the_admin_view_is_on_a_socket_of_its_owner_alone_and_status_reads_it() {
    let server = StandIn::new("s-one", Manner::Serves);
    // The path of a Unix socket is short.
    let socket = std::env::temp_dir().join(format!("madderloom-{}.sock", std::process::id()));
    let socket_name = socket.display().to_string();
    let file = format!(
        "version = 1\n[admin]\nsocket = \"{socket_name}\"\n{}{}{}",
        listener("front", ""),
        pool("a", &[&server], ""),
        host_route("a")
    );
    // A socket that a killed process has left behind is no obstacle.
    drop(std::os::unix::net::UnixListener::bind(&socket).expect("it is bound"));
    // A process that another test starts at this moment may hold it open until it has become that program.
    while std::os::unix::net::UnixStream::connect(&socket).is_ok() {
        std::thread::sleep(std::time::Duration::from_millis(1));
    }
    let mut process = Process::start(&file);
    process.wait_for("admin view on ");
    let mode = std::fs::metadata(&socket)
        .expect("it is there")
        .permissions()
        .mode();
    assert_eq!(mode & 0o777, 0o600);
    let mut client = process.client("front");
    client.write(submit("a", 0).1);
    assert_eq!(client.read().expect("an answer").status(), 200);
    let operator = process.file.display().to_string();
    let done = madderloom(&["status", "--operator", &operator]);
    let told = text(&done.stdout);
    assert_eq!(done.status.code(), Some(0), "{told}");
    for words in ["front", "s-one", "100.0%", &server.address.to_string()] {
        assert!(told.contains(words), "no {words} in {told}");
    }
    let done = madderloom(&["status", "--socket", &socket_name, "--output", "json", "a"]);
    let told: serde_json::Value = serde_json::from_slice(&done.stdout).expect("an object");
    assert_eq!(
        (&told["version"], &told["pools"][0]["requests"]["served"]),
        (&1.into(), &1.into())
    );
    assert_eq!(told["pools"][0]["servers"][0]["share"], 1.0);
    for turns in ["busy_turns", "stalled_turns"] {
        assert!(
            told["event_loop"][turns].is_u64(),
            "{turns}: {}",
            told["event_loop"]
        );
    }
    let done = madderloom(&["status", "--socket", &socket_name, "z"]);
    assert_eq!(done.status.code(), Some(1));
    assert!(
        text(&done.stderr).contains("there is no pool z; there are a"),
        "{}",
        text(&done.stderr)
    );
    assert_eq!(process.stop(), Some(0));
    assert!(!socket.exists(), "its socket is still there");
    let done = madderloom(&["status", "--operator", &operator]);
    assert_eq!(done.status.code(), Some(1));
    assert!(
        text(&done.stderr).contains("is the process there"),
        "{}",
        text(&done.stderr)
    );
}

#[test]
fn explain_says_which_route_takes_a_request_and_why_the_others_lose() {
    let example =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/services/operator.toml");
    let example = example.display().to_string();
    let explain = |more: &[&str]| {
        let mut arguments = vec!["route", "explain", "--operator", &example];
        arguments.extend(more);
        madderloom(&arguments)
    };
    let done = explain(&[
        "GET",
        "http://reports.example.org/reports/7",
        "--output",
        "json",
    ]);
    assert_eq!(done.status.code(), Some(0));
    let told: serde_json::Value = serde_json::from_slice(&done.stdout).expect("an object");
    assert_eq!(
        (&told["route"], &told["pool"], &told["class"]),
        (&"one-report".into(), &"reports".into(), &"view".into())
    );
    assert_eq!(
        told["others"][0]["why"],
        "matches too, but its host is less specific"
    );
    let keyed = [
        "GET",
        "/x",
        "-H",
        "Host: reports.example.org",
        "-H",
        "Cookie: key=12a",
    ];
    let told = text(&explain(&keyed).stdout);
    assert!(told.contains("(of reports 90, reports-next 10)"), "{told}");
    let done = explain(&["GET", "http://reports.example.org/a//b"]);
    assert_eq!(done.status.code(), Some(1));
    assert_eq!(text(&done.stdout), "400: the path has an empty segment\n");
    let done = explain(&["--listener", "side", "GET", "/x"]);
    assert!(
        text(&done.stderr).contains("there is no side; there are platform, front"),
        "{}",
        text(&done.stderr)
    );
}

#[test]
fn check_reads_the_operator_file_too_and_tells_all_problems_at_once() {
    let example =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/services/operator.toml");
    let done = madderloom(&["check", &example.display().to_string()]);
    assert_eq!(done.status.code(), Some(0));
    assert!(text(&done.stdout).contains("pools submissions, reports, reports-next; 3 routes"));
    let bad = write_config("version = 1\n[[listeners]]\nname = \"a b\"\n[amin]\n");
    let bad = {
        let named = bad.with_extension("toml");
        std::fs::rename(&bad, &named).expect("it is renamed");
        named.display().to_string()
    };
    let done = madderloom(&["check", &bad]);
    assert_eq!(done.status.code(), Some(1));
    let told = text(&done.stdout);
    assert_eq!(told.lines().count(), 3, "{told}");
    for words in [
        "listeners[0].name: is no name",
        "listeners[0].address: is missing",
        "did you mean admin?",
    ] {
        assert!(told.contains(words), "{told}");
    }
}

/// Without RELAY_CONFIG the file must stand alone; with it, it may add to what the platform configures.
#[test]
fn the_file_adds_to_what_the_platform_configures() {
    let done = Command::new(env!("CARGO_BIN_EXE_madderloom"))
        .env_remove("RELAY_CONFIG")
        .args(["serve", "--operator"])
        .arg(write_config("version = 1\n"))
        .output()
        .expect("it ends");
    assert_eq!(done.status.code(), Some(1));
    assert!(
        text(&done.stderr).contains("RELAY_CONFIG is not set"),
        "{}",
        text(&done.stderr)
    );

    let (node, extra) = (ScriptedServer::new(), StandIn::new("s", Manner::Serves));
    // The configuration of the sidecar's own tests, taken from one that has ended: its discovery is gone.
    let config = Sidecar::start(&[node.address()]).config.0.clone();
    let config = write_config(&config);
    let file = format!(
        "version = 1\n{}[[routes]]\nname = \"more\"\npath_prefix = \"/more\"\nset_class = \"submit\"\npool = \"a\"\n",
        pool("a", &[&extra], "")
    );
    let mut process = Process::with(&file, |command| {
        command.env("RELAY_CONFIG", &config);
    });
    let line = process.wait_for("platform: listening on ");
    let at = line.rsplit(' ').next().expect("an address");
    let ask = |path: &str, id: &str| {
        let mut client =
            crate::rig::Conn::new(std::net::TcpStream::connect(at).expect("it accepts"));
        client.write(format!(
            "POST {path} HTTP/1.1\r\nHost: s\r\nX-Trace-Id: {id}\r\nX-Expires-In-Ms: 5000\r\nContent-Length: 0\r\n\r\n"
        ));
        client
    };
    assert_eq!(ask("/more/x", "1").read().expect("an answer").body, b"s");
    // What no route takes goes to the platform's own servers.
    let mut client = ask("/submit-check", "2");
    let mut conn = node.accept();
    assert_eq!(
        conn.read().expect("a request").header("x-trace-id"),
        Some("2")
    );
    conn.respond("200 OK", "made");
    assert_eq!(client.read().expect("an answer").body, b"made");
}
