//! What the admin view shows of stories, and what it costs those who look.

use crate::departures::Load;
use crate::rig::PATIENCE;
use crate::stand_ins::*;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

fn madderloom(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_madderloom"))
        .args(arguments)
        .output()
        .expect("it runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// What the admin view answers to this path.
fn ask(at: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(at).expect("it accepts");
    stream
        .write_all(format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes())
        .expect("it is written");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("it is read");
    answer
}

fn file(admin: &str, timeline: &str, servers: &[&StandIn]) -> String {
    let (front, pool, route) = (
        listener("front", ""),
        pool("a", servers, ""),
        host_route("a"),
    );
    format!("version = 1\n[admin]\n{admin}\n{timeline}\n{front}{pool}{route}")
}

/// A file of this test's own.
fn own_file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{name}", std::process::id()))
}

#[test]
fn a_story_is_shown_as_a_table_a_plot_a_page_and_a_recording() {
    let server = StandIn::new("s-one", Manner::LosesSome(10));
    let other = StandIn::new("s-two", Manner::Serves);
    let mut process = Process::start(&file(
        "listen = \"127.0.0.1:0\"",
        "[timeline]",
        &[&server, &other],
    ));
    let load = Load::on(&process, 4, Duration::from_millis(2));
    let until = Instant::now() + PATIENCE;
    while load.asked.load(Ordering::Relaxed) < 300 {
        assert!(Instant::now() < until);
        std::thread::sleep(Duration::from_millis(10));
    }
    drop(load);
    let at = process.at("admin view");
    let (place, name) = (at.to_string(), "s-one");
    let (svg, export) = (own_file("plot.svg"), own_file("line.json"));
    let (svg_name, export_name) = (svg.display().to_string(), export.display().to_string());
    let done = madderloom(&[
        "server",
        "--listen",
        &place,
        name,
        "--svg",
        &svg_name,
        "--export",
        &export_name,
        "--span",
        "2min",
    ]);
    let told = text(&done.stdout);
    assert!(
        told.contains(name) && told.contains("p50 ms"),
        "{told}{}",
        text(&done.stderr)
    );
    for drawn in [
        std::fs::read_to_string(&svg).expect("it is there"),
        ask(at, "/"),
    ] {
        assert!(
            drawn.contains(name) && drawn.contains("99% within"),
            "{drawn}"
        );
    }
    let page = ask(at, "/servers/s%2Done?pool=a&span=2min");
    assert!(page.starts_with("HTTP/1.1 200"), "{page}");
    assert!(page.contains("<svg"), "{page}");
    assert!(
        page.contains("content-security-policy: default-src 'none'"),
        "{page}"
    );
    let recording: Value =
        serde_json::from_slice(&std::fs::read(&export).expect("it is there")).expect("an object");
    let (mut attempts, mut lost) = (0.0, 0.0);
    for moment in recording["moments"].as_array().expect("a list") {
        let count = moment["attempts"].as_f64().expect("a number");
        attempts += count;
        lost += count * moment["lost"].as_f64().expect("a number");
    }
    assert!(attempts > 20.0 && lost > 0.0, "{recording}");
    let done = madderloom(&["server", "--listen", &place, "s-nine"]);
    assert_eq!(done.status.code(), Some(1));
    assert!(
        text(&done.stderr).contains("no story is kept of a server s-nine"),
        "{}",
        text(&done.stderr)
    );
    // Without the section there is no story, and nothing is lost of it but that.
    process.reload(&file("listen = \"127.0.0.1:0\"", "", &[&server, &other]));
    let told = text(&madderloom(&["servers", "--listen", &place]).stdout);
    assert!(
        told.contains("s-two") && told.contains("time lines are off"),
        "{told}"
    );
    let done = madderloom(&["events", "--follow", "--listen", &place]);
    assert!(
        text(&done.stderr).contains("time lines are off"),
        "{}",
        text(&done.stderr)
    );
    assert_eq!(process.stop(), Some(0));
}

#[test]
fn a_restart_a_drain_of_the_list_and_a_new_server_at_an_old_address_are_told() {
    let (one, two) = (
        StandIn::new("s-one", Manner::Serves),
        StandIn::new("s-two", Manner::Serves),
    );
    let mut process = Process::start(&file(
        "listen = \"127.0.0.1:0\"",
        "[timeline]",
        &[&one, &two],
    ));
    let place = process.at("admin view").to_string();
    let new = StandIn::new("s-new", Manner::Serves);
    let text_of = |servers: &[&StandIn]| file("listen = \"127.0.0.1:0\"", "[timeline]", servers);
    process.reload(&text_of(&[&one, &two, &new]));
    // The one that is new has the address of the one that is gone.
    let moved = text_of(&[&one, &new]).replace(&new.address.to_string(), &two.address.to_string());
    process.reload(&moved);
    let told = text(&madderloom(&["events", "--listen", &place, "--output", "json"]).stdout);
    let events: Vec<(String, String)> = told
        .lines()
        .map(|line| serde_json::from_str(line).expect("an object"))
        .map(|event: Value| (event["event"].to_string(), event["server"].to_string()))
        .collect();
    let wanted = [
        ("joined", "s-new"),
        ("left", "s-two"),
        ("address_taken", "s-two"),
    ];
    let wanted = wanted.map(|(event, server)| (format!("\"{event}\""), format!("\"{server}\"")));
    assert_eq!(events, wanted, "{told}");
    let told = text(&madderloom(&["servers", "--listen", &place]).stdout);
    assert!(
        told.lines()
            .any(|line| line.contains("s-two") && line.contains("left")),
        "{told}"
    );
    assert_eq!(process.stop(), Some(0));
}

/// The resident memory of a process, in KiB.
fn resident(process: &Process) -> u64 {
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", process.id())).expect("it lives");
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS"))
        .expect("it is told");
    line.split_whitespace()
        .nth(1)
        .and_then(|kib| kib.parse().ok())
        .expect("a number")
}

#[test]
fn followers_that_do_not_read_cost_little_hinder_nobody_and_are_ended() {
    let socket =
        std::env::temp_dir().join(format!("madderloom-stories-{}.sock", std::process::id()));
    let admin = format!("socket = \"{}\"", socket.display());
    let server = StandIn::new("s-one", Manner::Serves);
    let named = |letter: &str| -> Vec<String> {
        (0..300)
            .map(|n| {
                format!(
                    "{{ name = \"{}{n}\", address = \"{}\" }}",
                    letter.repeat(50),
                    server.address
                )
            })
            .collect()
    };
    let plain = file(&admin, "[timeline]\nservers = 16", &[&server]);
    let lists = ["a", "b"].map(|letter| {
        let (before, after) = plain.split_once("servers = [").expect("it has a list");
        let (_, after) = after.split_once("]\n").expect("it ends");
        format!("{before}servers = [{}]\n{after}", named(letter).join(", "))
    });
    let mut process = Process::start(&plain);
    process.wait_for("admin view on ");
    let follow = || {
        let mut stream = UnixStream::connect(&socket).expect("it accepts");
        let _ = stream.set_read_timeout(Some(PATIENCE));
        let request = "GET /v1/events?follow=1&after=0 HTTP/1.1\r\nHost: x\r\n\r\n";
        stream.write_all(request.as_bytes()).expect("it is written");
        stream
    };
    let first_line = |stream: &mut UnixStream| {
        let mut line = [0; 12];
        stream.read_exact(&mut line).expect("it is read");
        text(&line)
    };
    let mut followers: Vec<UnixStream> = (0..4).map(|_| follow()).collect();
    assert!(
        followers
            .iter_mut()
            .all(|stream| first_line(stream) == "HTTP/1.1 200")
    );
    assert_eq!(first_line(&mut follow()), "HTTP/1.1 503");
    process.reload(&lists[0]);
    let before = resident(&process);
    // Some thousands of events of 200 bytes or more: more than is kept, and than a socket takes.
    for turn in 1..=4 {
        process.reload(&lists[turn % 2]);
    }
    let after = resident(&process);
    assert!(
        after < before + 4_096,
        "{before} KiB before, {after} KiB after"
    );
    let socket_name = socket.display().to_string();
    let told = text(&madderloom(&["events", "--socket", &socket_name, "--output", "json"]).stdout);
    let kept = told.len();
    assert!(
        kept > 200_000,
        "only {kept} bytes of events: {:?}",
        process.log()
    );
    let began = Instant::now();
    assert!(
        !madderloom(&["status", "--socket", &socket_name])
            .stdout
            .is_empty()
    );
    assert!(
        began.elapsed() < Duration::from_secs(4),
        "others wait: {:?}",
        began.elapsed()
    );
    // One after another is ended, whereupon there is room again.
    let until = Instant::now() + 2 * PATIENCE;
    while first_line(&mut follow()) != "HTTP/1.1 200" {
        assert!(Instant::now() < until, "they are never ended");
        std::thread::sleep(Duration::from_millis(200));
    }
    // What they had from the socket's buffer is whole, and then it ends.
    let mut rest = Vec::new();
    let _ = followers[0].read_to_end(&mut rest);
    assert!(!rest.is_empty());
    assert_eq!(process.stop(), Some(0));
}
