//! Why a request was not served, and how its attempts went, are in the log under the id that its client gave it.

use crate::rig::{Conn, Message, Options, ScriptedServer, Sidecar};
use crate::rig::{chunked_body, head_with_framing, request_with, serve};
use std::io::{BufRead, Read, Write};
use std::time::Duration;

/// What a process has logged by its end.
fn log_of(mut sidecar: Sidecar) -> Vec<String> {
    // The log is written from beside what serves.
    std::thread::sleep(Duration::from_millis(300));
    sidecar.signal("TERM");
    let mut lines = Vec::new();
    let mut line = String::new();
    while sidecar
        .errors
        .read_line(&mut line)
        .is_ok_and(|count| count > 0)
    {
        lines.push(std::mem::take(&mut line));
    }
    lines
}

/// Whether some line says all of these.
fn says(log: &[String], parts: &[&str]) -> bool {
    log.iter()
        .any(|line| parts.iter().all(|part| line.contains(part)))
}

/// Reads a request and ends its connection.
fn leave(_: &Message, _: &mut Conn) -> bool {
    false
}

#[test]
fn a_failed_request_and_each_of_its_attempts_are_in_the_log_with_its_id() {
    const ID: &str = "71d2c09be3a4f586";
    let servers: Vec<ScriptedServer> = (0..2).map(|_| ScriptedServer::new()).collect();
    let addresses: Vec<_> = servers.iter().map(ScriptedServer::address).collect();
    for server in servers {
        serve(server, leave);
    }
    let sidecar = Sidecar::start(&addresses);
    let mut client = sidecar.client();
    client.write(request_with(ID, "submit-check", 900, ""));
    assert_eq!(client.read().expect("an answer").status(), 502);
    let log = log_of(sidecar);
    let id = format!("id={ID}");
    let attempt = [
        "attempt failed",
        &id,
        "server=n",
        "outcome=Reset",
        "written=All",
    ];
    assert!(says(&log, &attempt), "{log:?}");
    assert!(
        says(&log, &["request failed", &id, "attempts=1"]),
        "{log:?}"
    );
}

/// Servers read nothing, and the bodies find no memory.
#[test]
fn a_request_that_is_refused_for_memory_is_in_the_log_with_its_id() {
    const UPLOADS: u32 = 120;
    let servers: Vec<ScriptedServer> = (0..3).map(|_| ScriptedServer::new()).collect();
    let addresses: Vec<_> = servers.iter().map(ScriptedServer::address).collect();
    let sidecar = Sidecar::with(
        &addresses,
        Options {
            memory_mb: 16,
            ..Options::default()
        },
    );
    let address = sidecar.address;
    let clients: Vec<_> = (0..UPLOADS)
        .map(|number| {
            std::thread::spawn(move || {
                let id = format!("upload-{number}");
                let request = request_with(&id, "recheck", 700, "");
                let head = head_with_framing(&request, "Transfer-Encoding: chunked");
                let message = [head.into_bytes(), chunked_body(&[b'x'; 1_500_000])];
                let mut stream = std::net::TcpStream::connect(address).expect("it accepts");
                let _ = stream.write_all(&message.concat());
                let mut answer = String::new();
                let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
                let _ = stream.read_to_string(&mut answer);
                (id, answer)
            })
        })
        .collect();
    let answers: Vec<_> = clients
        .into_iter()
        .map(|client| client.join().expect("it ends"))
        .collect();
    let refused: Vec<&String> = answers
        .iter()
        .filter(|(_, answer)| answer.contains("too much is open"))
        .map(|(id, _)| id)
        .collect();
    println!("{} of {UPLOADS} refused", refused.len());
    assert!(!refused.is_empty(), "none refused proves nothing");
    let log = log_of(sidecar);
    let is_named =
        |id: &&&String| says(&log, &["request rejected", &format!("id={id} "), "reason="]);
    let named = refused.iter().filter(is_named).count();
    // The log writes 20 lines of a kind in a second.
    assert!(
        named >= refused.len().min(20),
        "{named} of {}: {log:?}",
        refused.len()
    );
    drop(servers);
}
