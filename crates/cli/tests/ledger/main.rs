//! The ledger of submissions in the program itself: nothing that must not run twice does, whatever ends the process.

#[allow(
    dead_code,
    reason = "shared with the tests of the sidecar, which use more of it"
)]
#[path = "../sidecar/rig.rs"]
mod rig;
#[allow(
    dead_code,
    reason = "shared with the tests of services, which use more of it"
)]
#[path = "../services/stand_ins.rs"]
mod stand_ins;

mod a_disk_that_refuses;
mod no_submission_runs_twice;
mod nothing_without_the_section;
mod warm_start;

use rig::{Conn, Message, PATIENCE};
use stand_ins::{Process, StandIn, host_route, listener, pool};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::Instant;

/// An operator file with one pool, `pay`, which keeps a ledger.
fn file(dir: &Path, ledger: &str, servers: &[&StandIn]) -> String {
    let pool = pool("pay", servers, "").replacen(
        "servers = ",
        &format!("ledger = \"{ledger}\"\nservers = "),
        1,
    );
    let state = format!("[state]\ndir = \"{}\"\n", dir.display());
    format!(
        "version = 1\n{state}{}{pool}{}",
        listener("front", ""),
        host_route("pay")
    )
}

/// Sends a submission with this key and reads its answer; none where the connection ends before.
fn submit(at: SocketAddr, key: &str) -> Option<Message> {
    let mut stream = TcpStream::connect(at).ok()?;
    stream.write_all(submission(key).as_bytes()).ok()?;
    Conn::new(stream).read()
}

/// A submission as it is written, with a fresh trace id.
fn submission(key: &str) -> String {
    let (_, head) = stand_ins::submit("pay", 5);
    let (start, rest) = head.split_once("\r\n").expect("a head");
    format!("{start}\r\nIdempotency-Key: {key}\r\n{rest}paper")
}

/// The status that this process answers such a submission with.
fn status(process: &Process, key: &str) -> u16 {
    submit(process.at("front"), key)
        .expect("an answer")
        .status()
}

fn until(what: &str, condition: impl Fn() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !condition() {
        assert!(Instant::now() < end, "in vain: {what}");
        std::thread::sleep(std::time::Duration::from_millis(1));
    }
}
