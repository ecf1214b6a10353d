//! Cost of the history: bytes for each endpoint, as bounded and as allocated, and time for each attempt and poll.
//!
//! ```sh
//! cargo run --release -p madderloom-endpoint-history --example history_cost
//! ```

use madderloom_balancer::{Outcome, ServerId};
use madderloom_endpoint_history::{
    CompletedAttempt, EndpointGauges, EndpointHistory, ListedEndpoint, ReportedLoad, Settings,
};
use oorandom::Rand64;
use peak_alloc::PeakAlloc;
use std::time::Instant;

#[global_allocator]
static ALLOCATED: PeakAlloc = PeakAlloc;

/// One second, in microseconds.
const S: u64 = 1_000_000;
/// Attempts in one timed run.
const TIMED_ATTEMPTS: u64 = 1_000_000;
/// Timed runs; the median is reported.
const RUNS: u64 = 5;
/// Attempts arrive at this interval in timed runs, in microseconds: 1,000 a second.
const ATTEMPT_INTERVAL: u64 = 1_000;
/// Timed polls.
const POLLS: u64 = 100;
/// After three days the rows of every resolution are full.
const FULL_AFTER_SECONDS: u64 = 3 * 86_400;

fn history_of(servers: u64) -> EndpointHistory {
    let mut history = EndpointHistory::new(Settings {
        max_endpoints: servers as usize,
        ..Settings::default()
    });
    for id in 0..servers {
        history.endpoint_listed(0, ServerId(id), ListedEndpoint::default());
    }
    history
}

fn random_attempt(random: &mut Rand64, servers: u64) -> CompletedAttempt {
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
        relative_size: 1.0,
    }
}

/// Bytes allocated for each endpoint once every interval of all timelines holds something.
fn measure_memory(random: &mut Rand64, servers: u64) {
    let gauges = EndpointGauges {
        in_flight: 1,
        region_fraction: 0.1,
        reported: Some(ReportedLoad { held: 1.0, age: 0 }),
    };
    let before = ALLOCATED.current_usage();
    let mut history = history_of(servers);
    for second in 0..FULL_AFTER_SECONDS {
        let now = second * S;
        let minute_of_day = (second / 60 % 1_440) as u16;
        for id in 0..servers {
            let server = ServerId(id);
            history.record_gauges(now, server, gauges);
            let attempt = CompletedAttempt {
                server,
                ..random_attempt(random, servers)
            };
            history.record_attempt(now, minute_of_day, &attempt);
        }
        history.poll_anomalies(now);
    }
    let bytes = (ALLOCATED.current_usage() - before) / servers as usize;
    println!("bytes for each of {servers} servers, three days on: {bytes}");
}

fn measure_time(random: &mut Rand64, servers: u64) {
    let mut history = history_of(servers);
    let attempts: Vec<CompletedAttempt> = (0..TIMED_ATTEMPTS)
        .map(|_| random_attempt(random, servers))
        .collect();
    let mut nanos: Vec<f64> = (0..RUNS)
        .map(|run| {
            let begin = Instant::now();
            for (index, attempt) in (0..).zip(&attempts) {
                let now = (run * TIMED_ATTEMPTS + index) * ATTEMPT_INTERVAL;
                history.record_attempt(now, 0, attempt);
            }
            begin.elapsed().as_nanos() as f64 / TIMED_ATTEMPTS as f64
        })
        .collect();
    nanos.sort_by(f64::total_cmp);
    println!(
        "ns for each attempt at {servers} servers: {:.0} ({:.0} to {:.0})",
        nanos[2], nanos[0], nanos[4]
    );
    let first_poll = RUNS * TIMED_ATTEMPTS * ATTEMPT_INTERVAL;
    let begin = Instant::now();
    for poll in 0..POLLS {
        drop(history.poll_anomalies(first_poll + poll * S));
    }
    let micros = begin.elapsed().as_micros() as f64 / POLLS as f64;
    println!("us for each poll at {servers} servers: {micros:.1}");
}

fn main() {
    let mut random = Rand64::new(1);
    let bound = EndpointHistory::max_bytes_per_endpoint();
    println!("bytes for each server, at most, as bounded: {bound}");
    for servers in [10, 100] {
        measure_memory(&mut random, servers);
    }
    for servers in [10, 100, 1_000] {
        measure_time(&mut random, servers);
    }
}
