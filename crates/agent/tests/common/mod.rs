//! An agent, relays and instances in one process, over real sockets and TLS.

#![allow(dead_code, reason = "each file of tests uses a part of it")]

pub mod change;
pub mod fleet;
pub mod instance;
pub mod relay;
pub mod storage;

use std::fmt::Debug;
use std::time::{Duration, Instant};

/// The interval at which a condition is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The time limit of what a test waits for, where the test does not say.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// Runs a test on a runtime of its own.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// Observes something until a condition holds, and returns what was observed then.
///
/// # Panics
/// The condition does not hold within `patience`.
pub async fn wait_until<T: Debug>(
    what: &str,
    patience: Duration,
    mut observe: impl AsyncFnMut() -> T,
    holds: impl Fn(&T) -> bool,
) -> T {
    let begin = Instant::now();
    loop {
        let observed = observe().await;
        if holds(&observed) {
            return observed;
        }
        assert!(begin.elapsed() < patience, "never: {what}: {observed:?}");
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Starts a server. The port of a former one may take a moment to be free.
///
/// # Panics
/// It does not start within 20 seconds.
pub async fn start_server<S, E: std::fmt::Display>(
    mut start: impl AsyncFnMut() -> Result<S, E>,
) -> S {
    let begin = Instant::now();
    loop {
        match start().await {
            Ok(server) => return server,
            Err(error) if begin.elapsed() > Duration::from_secs(20) => panic!("{error}"),
            Err(_) => tokio::time::sleep(CHECK_INTERVAL).await,
        }
    }
}
