//! Overhead of the watchdog per poll: `cargo run --release -p madderloom-watchdog --example poll_overhead`.
//!
//! Polls the same task repeatedly with and without the watchdog, alternating between the two. The minimum of each counts,
//! because other load on the machine can only add time.

use madderloom_watchdog::{self as watchdog, TaskKind};
use std::time::Instant;
use tokio::task::{LocalSet, yield_now};

const POLLS: u32 = 200_000;
const ROUNDS: usize = 15;

/// Measures nanoseconds per poll.
fn nanos_per_poll(watched: bool) -> f64 {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime");
    let _watchdog = watched.then(watchdog::start);
    LocalSet::new().block_on(&runtime, async {
        let task = watchdog::spawn(TaskKind::Maintenance, async {
            let started_at = Instant::now();
            for _ in 0..POLLS {
                yield_now().await;
            }
            started_at.elapsed().as_nanos() as f64 / f64::from(POLLS)
        });
        task.await.expect("it ends")
    })
}

fn main() {
    let mut minimum = [f64::INFINITY; 2];
    for _ in 0..ROUNDS {
        for (minimum, watched) in minimum.iter_mut().zip([false, true]) {
            *minimum = minimum.min(nanos_per_poll(watched));
        }
    }
    let [without, with] = minimum;
    println!(
        "{without:.1} ns per poll without, {with:.1} ns with: {:.1} ns more",
        with - without
    );
}
