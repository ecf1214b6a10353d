//! Clients that hold what descriptors there are. A target of its own: the processes that other tests start at the same time
//! would inherit what this one leaves open for its sidecar.

#[path = "../sidecar/rig.rs"]
#[allow(dead_code, reason = "each test target uses a part of it")]
mod rig;

use rig::{Conn, Options, ScriptedServer, Sidecar, listing};
use std::net::TcpStream;
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

/// Descriptors that others than the program's own count hold: it has inherited them.
const INHERITED: usize = 40;

fn processor_ms(id: u32) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).expect("it runs");
    let fields: Vec<&str> = stat
        .rsplit(") ")
        .next()
        .expect("fields")
        .split(' ')
        .collect();
    let ticks: u64 =
        fields[11].parse::<u64>().expect("a number") + fields[12].parse::<u64>().expect("a number");
    ticks * 10
}

/// While discovery is out of reach, idle clients take every descriptor as soon as it is free. Then discovery is back, with a
/// server that was not known: it is reached, so is the server, and so is the sidecar by a client with a request.
#[test]
fn discovery_servers_and_a_new_client_are_reached_when_idle_clients_hold_all_descriptors() {
    let (known, new) = (ScriptedServer::new(), ScriptedServer::new());
    let inherited: Vec<OwnedFd> = (0..INHERITED)
        .map(|_| rustix::io::dup(&known.0).expect("a descriptor is free"))
        .collect();
    let options = Options {
        sockets: 64,
        before: "ulimit -n 64",
        ..Options::default()
    };
    let mut sidecar = Sidecar::with(&[known.address()], options);
    drop(inherited);
    let held = sidecar.discovery.block_connections();
    let (over, address) = (Arc::new(AtomicBool::new(false)), sidecar.address);
    let told = Arc::clone(&over);
    let flood = std::thread::spawn(move || {
        let mut idle: Vec<TcpStream> = Vec::new();
        while !told.load(Ordering::Relaxed) {
            idle.retain(|client| {
                client.set_nonblocking(true).expect("it need not block");
                client.peek(&mut [0]).is_err()
            });
            while idle.len() < 100 {
                idle.push(TcpStream::connect(address).expect("the backlog has room"));
            }
            std::thread::sleep(std::time::Duration::from_millis(2));
        }
    });
    sidecar.wait_for("no descriptor for a client");
    let (began, spent) = (Instant::now(), processor_ms(sidecar.child.id()));
    std::thread::sleep(std::time::Duration::from_millis(2_000));
    let spent = processor_ms(sidecar.child.id()) - spent;
    let part = spent as f64 / began.elapsed().as_millis() as f64;
    drop(held);
    // Calls that were given up meanwhile may lie in its backlog.
    let mut watch: Conn = std::iter::repeat_with(|| sidecar.discovery.accept())
        .find_map(|mut conn| conn.read().map(|_| conn))
        .expect("it goes on accepting");
    watch.write_watch_line(&listing(50, true, &[("new", new.address(), "in_service")]).to_string());
    let mut client = sidecar.ask("recheck", 5_900);
    // One that came up as its time to was over carries nothing, and the next one has the request.
    let mut conn = std::iter::repeat_with(|| new.accept())
        .find_map(|mut conn| conn.read().map(|_| conn))
        .expect("it goes on accepting");
    conn.respond("200 OK", "made");
    assert_eq!(client.read().expect("an answer").status(), 200);
    over.store(true, Ordering::Relaxed);
    flood.join().expect("no panic");
    assert!(
        part < 0.5,
        "{part} of a processor while there was no descriptor"
    );
}
