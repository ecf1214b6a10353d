//! What on-call staff and the platform do with a sidecar that serves: ask it, drain it, retune it, upgrade it. The real
//! program, with its clients, servers and callers played by the test.

#[allow(
    dead_code,
    reason = "shared with the tests of the sidecar, which use more of it"
)]
#[path = "../sidecar/rig.rs"]
mod rig;

mod bodies;
mod calls;
mod drain;
mod long_turns;
mod retune;
mod upgrade;

use rig::{Conn, Options, ScriptedServer, Sidecar, until};

/// A sidecar with a second address.
fn asked(nodes: &[&ScriptedServer]) -> Sidecar {
    let addresses: Vec<_> = nodes.iter().map(|node| node.address()).collect();
    Sidecar::with(
        &addresses,
        Options {
            control: true,
            ..Options::default()
        },
    )
}

/// What `GET /ready` says.
fn ready(sidecar: &Sidecar) -> u16 {
    let mut client = sidecar.client();
    client.write("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n");
    client.read().expect("an answer").status()
}

/// Answers the next request that comes to the node, over a connection of its own or this one.
fn answer(conn: &mut Conn, status: &str) {
    assert!(conn.read().is_some(), "no request came");
    conn.respond(status, "made");
}
