//! Faults between processes, for tests. Nothing that serves is built on this.
//!
//! - A [`Link`] stands between any two processes and does with their bytes what a test commands: it cuts, holds, delays,
//!   throttles, resets or swallows them.
//! - A [`Program`] is a process that the test has started, with what it logs; it ends with the test.
//! - A [`Server`] answers what it is asked and remembers when each request arrived, so that a bound is judged by who can
//!   see it from outside: see [`Arrivals`].
//! - A [`Load`] asks, and keeps what it got.
//! - A [`Plan`] is a list of faults as data: drawn from a seed, printed, read again, and shrunk to the shortest one that
//!   still fails. A [`Stage`] carries it out.
//!
//! Everything is on loopback. What is open at once, and for how long a test waits, is bounded here ([`MOST_PROGRAMS`],
//! [`PATIENCE`]); only what the rig has started is ever stopped.

mod link;
mod lists;
mod load;
pub mod peer;
mod plan;
mod program;
mod server;
mod stage;

pub use link::{Direction, Link};
pub use lists::{Lists, Manner, Refuses, Says, listing};
pub use load::{Got, Load, served};
pub use plan::{Act, Fault, Menu, Plan, shrink};
pub use program::{MOST_PROGRAMS, Program, Signal, built};
pub use server::{Answers, Arrivals, Cold, Server, worst};
pub use stage::{Slot, Stage};

use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{LazyLock, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::runtime::Handle;

/// Ends a test in which something never happens.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// So long lies between two looks.
const LOOK: Duration = Duration::from_millis(20);

/// Waits for something to happen, for [`PATIENCE`] at most.
///
/// # Panics
/// It never did.
pub fn until<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let begin = Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(begin.elapsed() < PATIENCE, "never: {what}");
        std::thread::sleep(LOOK);
    }
}

/// A listener on a loopback address of this test process alone, at a port that it never had before. The system gives a
/// port of 127.0.0.1 again as soon as its listener is closed, and what still calls the closed one, another test's process,
/// would then reach a stranger.
///
/// # Panics
/// No port is free there.
pub fn own_listener() -> TcpListener {
    let [.., a, b, c] = std::process::id().to_be_bytes();
    fresh_listener(Ipv4Addr::new(127, 1 + a % 250, b, 1 + c % 250))
}

/// A listener at a port of this loopback address that this test process never had there.
fn fresh_listener(ip: Ipv4Addr) -> TcpListener {
    static GIVEN: LazyLock<Mutex<HashSet<SocketAddr>>> = LazyLock::new(Mutex::default);
    loop {
        let listener = TcpListener::bind((ip, 0)).expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        if lock(&GIVEN).insert(address) {
            return listener;
        }
    }
}

/// An address for a process that listens there again after it was killed: see [`own_listener`].
///
/// # Panics
/// No port is free there.
pub fn own_address() -> SocketAddr {
    own_listener().local_addr().expect("it is bound")
}

/// What carries links, servers and loads: one thread beside the test's own.
fn runtime() -> &'static Handle {
    static RUNTIME: LazyLock<Handle> = LazyLock::new(|| {
        raise_descriptors();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        let handle = runtime.handle().clone();
        std::thread::spawn(move || runtime.block_on(std::future::pending::<()>()));
        handle
    });
    &RUNTIME
}

/// What listens at a fresh port of 127.0.0.1, which certificates of agents name, and where. It can be bound beside the
/// runtime, which then has it [`taken`].
fn listen() -> (TcpListener, SocketAddr) {
    let listener = fresh_listener(Ipv4Addr::LOCALHOST);
    listener.set_nonblocking(true).expect("it can be");
    let address = listener.local_addr().expect("it is bound");
    (listener, address)
}

/// A listener in the hands of the runtime.
fn taken(listener: TcpListener) -> tokio::net::TcpListener {
    tokio::net::TcpListener::from_std(listener).expect("it is a listener")
}

/// This process may open as many descriptors as the system lets it.
fn raise_descriptors() {
    use rustix::process::{Resource, getrlimit, setrlimit};
    let mut limit = getrlimit(Resource::Nofile);
    limit.current = limit.maximum;
    let _ = setrlimit(Resource::Nofile, limit);
}

/// What a panic elsewhere left locked is as good as ever: nothing here is changed in several steps.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
