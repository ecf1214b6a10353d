//! Faults between processes, for tests. Nothing that serves is built on this.
//!
//! - A [`Link`] stands between any two processes and does with their bytes what a test commands: it cuts, holds, delays,
//!   throttles, resets or swallows them.
//! - A [`Program`] is a process that the test has started, with what it logs; it ends with the test.
//! - A [`Server`] answers what it is asked and remembers when each request arrived, so that a bound is judged by who can
//!   see it from outside: see [`Arrivals`].
//! - A [`LoadGenerator`] asks, and keeps what it got.
//! - A [`Plan`] is a list of faults as data: drawn from a seed, printed, read again, and shrunk to the shortest one that
//!   still fails. A [`Testbed`] carries it out.
//!
//! Everything is on loopback. What is open at once, and for how long a test waits, is bounded here ([`MAX_PROGRAMS`],
//! [`WAIT_TIMEOUT`]); only what the rig has started is ever stopped.

mod fake_discovery;
mod link;
mod load_generator;
pub mod peer;
mod plan;
mod program;
mod server;
mod testbed;

pub use fake_discovery::{DiscoveryBehavior, FakeDiscovery, ListResponse, RejectTiming, list_json};
pub use link::{Direction, Link};
pub use load_generator::{LoadGenerator, RequestResult, verify_results};
pub use plan::{Fault, FaultAction, Plan, PlanGenerator, shrink};
pub use program::{MAX_PROGRAMS, Program, Signal, program_command};
pub use server::{Arrivals, ResponseMode, Server, SlowStart, max_window_excess};
pub use testbed::{ManagedProcess, Testbed};

use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{LazyLock, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::runtime::Handle;

/// Ends a test in which something never happens.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// So long lies between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits for something to happen, for [`WAIT_TIMEOUT`] at most.
///
/// # Panics
/// It never did.
pub fn wait_until<T>(what: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let begin = Instant::now();
    loop {
        if let Some(found) = check() {
            return found;
        }
        assert!(begin.elapsed() < WAIT_TIMEOUT, "never: {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// A listener on a loopback address of this test process alone, at a port that it never had before. The system gives a
/// port of 127.0.0.1 again as soon as its listener is closed, and what still calls the closed one, another test's process,
/// would then reach a stranger.
///
/// # Panics
/// No port is free there.
pub fn unique_listener() -> TcpListener {
    let [.., a, b, c] = std::process::id().to_be_bytes();
    fresh_listener(Ipv4Addr::new(127, 1 + a % 250, b, 1 + c % 250))
}

/// A listener at a port of this loopback address that this test process never had there.
fn fresh_listener(ip: Ipv4Addr) -> TcpListener {
    static USED: LazyLock<Mutex<HashSet<SocketAddr>>> = LazyLock::new(Mutex::default);
    loop {
        let listener = TcpListener::bind((ip, 0)).expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        if lock(&USED).insert(address) {
            return listener;
        }
    }
}

/// An address for a process that listens there again after it was killed: see [`unique_listener`].
///
/// # Panics
/// No port is free there.
pub fn unique_address() -> SocketAddr {
    unique_listener().local_addr().expect("it is bound")
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
