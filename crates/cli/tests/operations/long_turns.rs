//! What staff see of a turn of the event loop that takes too long: a line with the task, while it lasts and once it has
//! ended, and a count.

use super::{asked, until};
use crate::rig::{ScriptedServer, Sidecar};
use std::io::Write;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

/// Puts a pipe in the place of the sidecar's configuration: whoever reads it again waits for what is written there.
fn pipe_for_configuration(sidecar: &Sidecar) -> PathBuf {
    let path = sidecar.config.1.clone();
    std::fs::remove_file(&path).expect("it is there");
    assert!(
        Command::new("mkfifo")
            .arg(&path)
            .status()
            .expect("it runs")
            .success()
    );
    path
}

/// A call that blocks the one thread: nothing is served, and nothing in the loop could say so.
#[test]
fn a_turn_that_does_not_end_is_in_the_log_with_its_task_while_it_lasts() {
    let node = ScriptedServer::new();
    let mut sidecar = asked(&[&node]);
    let path = pipe_for_configuration(&sidecar);
    sidecar.signal("HUP");
    sidecar.wait_for("event loop: held by reload for");
    let mut pipe = std::fs::OpenOptions::new()
        .write(true)
        .open(&path)
        .expect("it is read");
    pipe.write_all(sidecar.config.0.as_bytes())
        .expect("it is read");
    drop(pipe);
    sidecar.wait_for("event loop: a turn of reload took");
    until("it is taken", || sidecar.figure("app.cfg_accepted") == 1);
    // It waited, and used no processor.
    assert_eq!(
        (
            sidecar.figure("app.busy_turns"),
            sidecar.figure("app.stalled_turns")
        ),
        (0, 1)
    );
    sidecar.serves(&[&node]);
}

/// Work that should be done in pieces: a file of so many classes takes a good part of a second to read.
#[test]
fn a_long_turn_is_in_the_log_and_in_the_figures_with_its_task() {
    const CLASSES: usize = 15_000;
    let node = ScriptedServer::new();
    let mut sidecar = asked(&[&node]);
    assert_eq!(
        (
            sidecar.figure("app.busy_turns"),
            sidecar.figure("app.stalled_turns")
        ),
        (0, 0)
    );
    sidecar.reconfigure(|config| {
        let mut config: serde_json::Value = serde_json::from_str(config).expect("an object");
        let services = config["settings"]["services"]
            .as_array_mut()
            .expect("a list");
        for number in 0..CLASSES {
            let mut class = services[1].clone();
            class["name"] = format!("class-{number}").into();
            services.push(class);
        }
        config.to_string()
    });
    sidecar.wait_for("event loop: a turn of reload took");
    assert_eq!(
        sidecar.figure("app.busy_turns") + sidecar.figure("app.stalled_turns"),
        1
    );
}

/// Stopped while nothing ran: no task is to blame.
#[test]
fn a_process_that_was_stopped_is_not_told_to_have_been_busy() {
    let node = ScriptedServer::new();
    let sidecar = asked(&[&node]);
    sidecar.signal("STOP");
    std::thread::sleep(Duration::from_millis(2_500));
    sidecar.signal("CONT");
    sidecar.serves(&[&node]);
    assert_eq!(sidecar.figure("app.busy_turns"), 0);
}
