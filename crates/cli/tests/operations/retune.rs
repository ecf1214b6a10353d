//! New settings for a sidecar that serves.

use super::{answer, asked, until};
use crate::rig::{ScriptedServer, accept_any, request, write_config};
use rstest::rstest;
use std::io::{BufRead, BufReader, Write};
use std::process::{Command, Stdio};

/// A class more in a configuration.
fn with_class(config: &str, name: &str, effect: &str) -> String {
    let mut config: serde_json::Value = serde_json::from_str(config).expect("an object");
    let services = config["settings"]["services"]
        .as_array_mut()
        .expect("a list");
    let mut class = services[1].clone();
    (class["name"], class["effect"]) = (name.into(), effect.into());
    services.push(class);
    config.to_string()
}

/// The rule that an open request came under stays its rule; those that come later are under the new one.
#[test]
fn open_requests_keep_their_old_class_and_new_ones_are_under_the_new() {
    let nodes = [ScriptedServer::new(), ScriptedServer::new()];
    let sidecar = asked(&[&nodes[0], &nodes[1]]);
    let mut open = sidecar.ask("submit-check", 19_000);
    let (_, mut conn) = accept_any(&[&nodes[0], &nodes[1]]);
    assert!(conn.read().is_some());
    sidecar.reconfigure(|config| {
        let config = with_class(config, "late", "keyed");
        // What must not run twice may be repeated from now on, and "recheck" is no more.
        config
            .replace("\"unsafe\"", "\"keyed\"")
            .replace("\"recheck\"", "\"renamed\"")
    });
    until("it is taken", || sidecar.figure("app.cfg_accepted") == 1);
    // Came under the rule that it must not run twice.
    conn.respond("500 Oops", "");
    assert_eq!(open.read().expect("an answer").status(), 502);
    // The sidecar keeps this connection, and once it has been idle for 20 ms the next request would go over it: here only
    // new connections are waited for.
    drop(conn);
    // Came under the new one.
    for class in ["submit-check", "late"] {
        let mut client = sidecar.ask(class, 5000);
        let (first, mut conn) = accept_any(&[&nodes[0], &nodes[1]]);
        answer(&mut conn, "500 Oops");
        drop(conn);
        answer(&mut nodes[1 - first].accept(), "200 OK");
        assert_eq!(client.read().expect("an answer").status(), 200, "{class}");
    }
    let mut gone = sidecar.ask("recheck", 5000);
    assert_eq!(gone.read().expect("an answer").status(), 404);
    assert_eq!(sidecar.figure("app.operations.late.fulfilled"), 1);
    assert_eq!(sidecar.figure("app.operations.submit-check.faulted"), 1);
}

#[test]
fn the_number_of_attempts_is_that_of_the_new_file() {
    let nodes = [ScriptedServer::new(), ScriptedServer::new()];
    let sidecar = asked(&[&nodes[0], &nodes[1]]);
    sidecar.reconfigure(|config| config.replace("\"max_attempts\":6", "\"max_attempts\":1"));
    until("it is taken", || sidecar.figure("app.cfg_accepted") == 1);
    let mut client = sidecar.ask("recheck", 5000);
    let (_, mut conn) = accept_any(&[&nodes[0], &nodes[1]]);
    answer(&mut conn, "500 Oops");
    assert_eq!(client.read().expect("an answer").status(), 502);
    assert!(nodes.iter().all(|node| node.try_accept().is_none()));
}

/// Whoever starts it may send the signal at once: it must not end the program, and the newer file is taken.
#[test]
fn a_signal_that_comes_before_it_serves_does_not_end_it() {
    let node = ScriptedServer::new();
    let other = asked(&[&node]);
    let path = write_config("");
    std::fs::remove_file(&path).expect("it is there");
    assert!(
        Command::new("mkfifo")
            .arg(&path)
            .status()
            .expect("it runs")
            .success()
    );
    let mut command = Command::new(env!("CARGO_BIN_EXE_madderloom"));
    let command = command
        .arg("serve")
        .env("RELAY_CONFIG", &path)
        .stderr(Stdio::piped());
    let mut child = command.spawn().expect("it starts");
    // Opened once the program opens it, which then waits for what it says.
    let mut pipe = std::fs::OpenOptions::new()
        .write(true)
        .open(&path)
        .expect("it is read");
    std::fs::rename(write_config(&other.config.0), &path).expect("it is replaced");
    let id = child.id().to_string();
    assert!(
        Command::new("kill")
            .args(["-s", "HUP", &id])
            .status()
            .expect("kill runs")
            .success()
    );
    pipe.write_all(other.config.0.as_bytes())
        .expect("it is read");
    drop(pipe);
    let errors = BufReader::new(child.stderr.take().expect("piped"));
    let told = errors
        .lines()
        .map_while(Result::ok)
        .any(|line| line.contains("configuration read again"));
    let _ = child.kill();
    let _ = child.wait();
    assert!(told, "it ended without having read the newer file");
}

/// Written by hand, or caught half written.
#[rstest]
#[case::empty(|_: &str| String::new())]
#[case::half(|config: &str| config[..config.len() / 2].to_string())]
#[case::no_end(|config: &str| config[..config.len() - 1].to_string())]
#[case::no_settings(|config: &str| config.replace("\"settings\"", "\"settlings\""))]
#[case::no_key_of_a_class(|config: &str| config.replacen("\"window\":4000000,", "", 1))]
#[case::no_tariffs(|config: &str| config.replace("\"tariffs\"", "\"tarifs\""))]
#[case::no_limits(|config: &str| config.replace("\"limits\":{\"cores\"", "\"limit\":{\"cores\""))]
#[case::no_deadline(|config: &str| config.replacen("\"give_up\":6000000", "\"give_up\":0", 1))]
#[case::negative_deadline(|config: &str| config.replacen("\"give_up\":6000000", "\"give_up\":-1", 1))]
#[case::deadline_no_number(|config: &str| config.replacen("\"give_up\":6000000", "\"give_up\":\"long\"", 1))]
#[case::endless_deadline(|config: &str| config.replacen("\"give_up\":6000000", "\"give_up\":1e999", 1))]
#[case::no_attempts(|config: &str| config.replace("\"max_attempts\":6", "\"max_attempts\":0"))]
#[case::attempts_no_number(|config: &str| config.replace("\"max_attempts\":6", "\"max_attempts\":null"))]
#[case::a_class_twice(|config: &str| with_class(config, "recheck", "safe"))]
fn a_broken_file_changes_nothing_and_is_counted(#[case] broken: impl Fn(&str) -> String) {
    let node = ScriptedServer::new();
    let sidecar = asked(&[&node]);
    // A class that is good, so that a file of which a part were taken would show.
    sidecar.reconfigure(|config| broken(&config.replace("\"submit-check\"", "\"other\"")));
    until("it is turned down", || {
        sidecar.figure("app.cfg_invalid") == 1
    });
    assert_eq!(sidecar.figure("app.cfg_accepted"), 0);
    let mut client = sidecar.ask("submit-check", 5000);
    answer(&mut node.accept(), "200 OK");
    assert_eq!(client.read().expect("an answer").status(), 200);
    let mut client = sidecar.client();
    client.write(request("other", 5000, ""));
    assert_eq!(client.read().expect("an answer").status(), 404);
    // And a good one is taken after it.
    sidecar.reconfigure(|config| with_class(config, "late", "keyed"));
    until("it is taken", || sidecar.figure("app.cfg_accepted") == 1);
}
