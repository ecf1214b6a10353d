//! What a story costs: bytes for each server, as stated and as allocated, and nanoseconds for each attempt.
//!
//! ```sh
//! cargo run --release -p madderloom-endpoint-history --example story_cost
//! ```

use madderloom_balancer::{Outcome, ServerId};
use madderloom_endpoint_history::{
    CompletedAttempt, EndpointGauges, EndpointHistory, ListedEndpoint, Settings,
};
use oorandom::Rand64;
use peak_alloc::PeakAlloc;
use std::time::Instant;

#[global_allocator]
static ALLOCATED: PeakAlloc = PeakAlloc;

const S: u64 = 1_000_000;
/// Attempts that are timed at once.
const TIMED: u64 = 1_000_000;

fn story(servers: u64) -> EndpointHistory {
    let mut story = EndpointHistory::new(Settings {
        servers: servers as usize,
        ..Settings::default()
    });
    (0..servers).for_each(|id| story.listed(0, ServerId(id), ListedEndpoint::default()));
    story
}

fn attempt(random: &mut Rand64, servers: u64) -> CompletedAttempt {
    let elapsed = (50_000.0 * (1.0 - random.rand_float().max(1e-9).ln())) as u64;
    let outcome = if random.rand_float() < 0.001 {
        Outcome::Error
    } else {
        Outcome::Ok
    };
    CompletedAttempt {
        server: ServerId(random.rand_u64() % servers),
        class: 0,
        outcome,
        elapsed,
        size: 1.0,
    }
}

fn main() {
    let mut random = Rand64::new(1);
    println!(
        "bytes for each server, at most, as stated: {}",
        EndpointHistory::bytes_for_each_server()
    );
    for servers in [10, 100] {
        let before = ALLOCATED.current_usage();
        let mut full = story(servers);
        // Three days in which every server is heard from in each second, so that all rows are full.
        for second in 0..3 * 86_400 {
            let now = second * S;
            for id in 0..servers {
                full.gauge(
                    now,
                    ServerId(id),
                    EndpointGauges {
                        out: 1,
                        region: 0.1,
                        reported: Some((1.0, 0)),
                    },
                );
                let seen = CompletedAttempt {
                    server: ServerId(id),
                    ..attempt(&mut random, servers)
                };
                full.attempt(now, (second / 60 % 1_440) as u16, &seen);
            }
            full.step(now);
        }
        let used = ALLOCATED.current_usage() - before;
        println!(
            "bytes for each of {servers} servers, three days on: {}",
            used / servers as usize
        );
    }
    for servers in [10, 100, 1_000] {
        let mut story = story(servers);
        let seen: Vec<CompletedAttempt> =
            (0..TIMED).map(|_| attempt(&mut random, servers)).collect();
        let mut runs: Vec<f64> = (0..5)
            .map(|run| {
                let began = Instant::now();
                // 1,000 a second.
                for (at, seen) in (0..).zip(&seen) {
                    story.attempt((run * TIMED + at) * 1_000, 0, seen);
                }
                began.elapsed().as_nanos() as f64 / TIMED as f64
            })
            .collect();
        runs.sort_by(f64::total_cmp);
        println!(
            "ns for each attempt at {servers} servers: {:.0} ({:.0} to {:.0})",
            runs[2], runs[0], runs[4]
        );
        let began = Instant::now();
        (0..100).for_each(|second| drop(story.step((5 * TIMED / 1_000 + second) * S)));
        println!(
            "us for each second's look at {servers} servers: {:.1}",
            began.elapsed().as_micros() as f64 / 100.0
        );
    }
}
