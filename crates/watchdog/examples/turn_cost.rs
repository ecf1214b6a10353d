//! What the watchdog adds to a turn of the event loop: `cargo run --release -p madderloom-watchdog --example turn_cost`.
//!
//! The same task is woken again and again, with the watchdog and without; the two take turns, and the least of each counts,
//! because whatever else the machine does only adds to it.

use madderloom_watchdog::{self as watchdog, TaskKind};
use std::time::Instant;
use tokio::task::{LocalSet, yield_now};

const TURNS: u32 = 200_000;
const ROUNDS: usize = 15;

/// Nanoseconds a turn.
fn measured(watched: bool) -> f64 {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime");
    let _watchdog = watched.then(watchdog::start);
    LocalSet::new().block_on(&runtime, async {
        let task = watchdog::spawn(TaskKind::Maintenance, async {
            let began = Instant::now();
            for _ in 0..TURNS {
                yield_now().await;
            }
            began.elapsed().as_nanos() as f64 / f64::from(TURNS)
        });
        task.await.expect("it ends")
    })
}

fn main() {
    let mut least = [f64::INFINITY; 2];
    for _ in 0..ROUNDS {
        for (least, watched) in least.iter_mut().zip([false, true]) {
            *least = least.min(measured(watched));
        }
    }
    let [without, with] = least;
    println!(
        "{without:.1} ns a turn without, {with:.1} ns with: {:.1} ns more",
        with - without
    );
}
