//! Fault injection between processes, for tests only. Production code does not depend on this crate.
//!
//! - A [`Link`] is a proxy between two processes that drops, holds, delays, throttles, resets or blackholes their traffic
//!   as the test commands.
//! - A [`Program`] is a process started by the test, with its log; it is killed when the test ends.
//! - A [`Server`] answers requests and records when each one arrived, so that a test checks bounds from the outside: see
//!   [`Arrivals`].
//! - [`PacedServers`] read a request and write its response at the pace that the request asks for.
//! - A [`LoadGenerator`] sends requests and records their results.
//! - A [`Plan`] is a list of faults as data: generated from a seed, printed, parsed again, and shrunk to the shortest plan
//!   that still fails. A [`Testbed`] executes it.
//!
//! Everything runs on loopback. The number of processes and the time that a test waits are bounded ([`MAX_PROGRAMS`],
//! [`WAIT_TIMEOUT`]); only processes started by this crate are ever stopped.

mod fake_discovery;
mod link;
mod load_generator;
mod paced_server;
pub mod peer;
mod plan;
mod program;
mod server;
mod testbed;

pub use fake_discovery::{DiscoveryBehavior, FakeDiscovery, ListResponse, RejectTiming, list_json};
pub use link::{Direction, Link};
pub use load_generator::{LoadGenerator, RequestResult, verify_results};
pub use paced_server::{
    BodyFraming, ExchangeRecord, InvalidPace, PACE_HEADER, Pace, PacedServers, Piece,
};
pub use plan::{Fault, FaultAction, Plan, PlanGenerator, shrink};
pub use program::{MAX_PROGRAMS, Program, Signal, program_command};
pub use server::{Arrivals, ResponseMode, Server, SlowStart, max_window_excess};
pub use testbed::{ManagedProcess, Testbed};

use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{LazyLock, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::runtime::Handle;

/// Timeout after which a waiting test fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A number from the environment, with which more can be run by hand than CI does.
///
/// # Panics
/// If the variable is set to anything else.
pub fn number_from_env(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |text| text.parse().expect("a number"))
}

/// Waits until a check returns a value, for at most [`WAIT_TIMEOUT`].
///
/// # Panics
/// If the timeout expires.
pub fn wait_until<T>(awaited: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let started_at = Instant::now();
    loop {
        if let Some(value) = check() {
            return value;
        }
        assert!(
            started_at.elapsed() < WAIT_TIMEOUT,
            "timed out waiting for: {awaited}"
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Binds a listener on a loopback address that only this test process uses, at a port that it has not used before. The
/// system reuses a port of 127.0.0.1 as soon as its listener is closed, and a client that still calls the closed listener,
/// such as another test's process, would then reach an unrelated server.
///
/// # Panics
/// If no port is free.
pub fn unique_listener() -> TcpListener {
    let [.., a, b, c] = std::process::id().to_be_bytes();
    fresh_listener(Ipv4Addr::new(127, 1 + a % 250, b, 1 + c % 250))
}

/// Binds a listener at a port of this loopback address that this test process has not used before.
fn fresh_listener(ip: Ipv4Addr) -> TcpListener {
    static USED: LazyLock<Mutex<HashSet<SocketAddr>>> = LazyLock::new(Mutex::default);
    loop {
        let listener = TcpListener::bind((ip, 0)).expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        if lock(&USED).insert(address) {
            return listener;
        }
    }
}

/// An address for a process that may listen there again after it was killed: see [`unique_listener`].
///
/// # Panics
/// If no port is free.
pub fn unique_address() -> SocketAddr {
    unique_listener()
        .local_addr()
        .expect("the listener is bound")
}

/// Runtime of links, servers and load generators, on a thread of its own.
fn runtime() -> &'static Handle {
    static RUNTIME: LazyLock<Handle> = LazyLock::new(|| {
        raise_descriptor_limit();
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

/// Binds a listener at a fresh port of 127.0.0.1, the address that agent certificates name, and returns its address too.
/// It is bound outside the runtime and registered there with [`into_tokio`].
fn listen() -> (TcpListener, SocketAddr) {
    let listener = fresh_listener(Ipv4Addr::LOCALHOST);
    listener
        .set_nonblocking(true)
        .expect("the listener can be nonblocking");
    let address = listener.local_addr().expect("the listener is bound");
    (listener, address)
}

/// Registers a listener with the current runtime.
fn into_tokio(listener: TcpListener) -> tokio::net::TcpListener {
    tokio::net::TcpListener::from_std(listener).expect("the runtime accepts the listener")
}

/// Raises the soft limit on file descriptors to the hard limit.
fn raise_descriptor_limit() {
    use rustix::process::{Resource, getrlimit, setrlimit};
    let mut limit = getrlimit(Resource::Nofile);
    limit.current = limit.maximum;
    let _ = setrlimit(Resource::Nofile, limit);
}

/// Locks a mutex, ignoring poisoning: no update here takes several steps, so the data is always consistent.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
