//! Cost of a timer by the number of timers: time to set and cancel one among the others, time to return one when all are
//! due within one second, the longest batch of that, and memory.
//!
//! `cargo run --release -p madderloom-timer-wheel --example timer_cost`

use madderloom_timer_wheel::{Poll, Wheel};
use std::hint::black_box;
use std::time::Instant;

const BATCH_BUDGET: u32 = 128;
const SET_CANCEL_ROUNDS: u64 = 200_000;

fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or(0)
        * 4_096
}

fn main() {
    println!(
        "{:>8}  {:>14}  {:>13}  {:>15}  {:>13}",
        "timers", "set, cancel ns", "returned ns", "longest batch us", "bytes per timer"
    );
    for count in [100_u64, 1_000, 10_000, 100_000] {
        let memory_before = resident_bytes();
        let mut wheel = Wheel::new(0);
        // All timers are due within the second that starts after a minute.
        for at in 0..count {
            wheel.set(60_000_000 + at * 1_000_000 / count, at);
        }
        let memory = resident_bytes().saturating_sub(memory_before);
        let started_at = Instant::now();
        for at in 0..SET_CANCEL_ROUNDS {
            let key = wheel.set(2_000_000 + at % 1_000_000, at);
            black_box(wheel.cancel(key));
        }
        let set_cancel_nanos = started_at.elapsed().as_nanos() as f64 / SET_CANCEL_ROUNDS as f64;
        let (mut returned, mut longest_us) = (0, 0.0_f64);
        let started_at = Instant::now();
        while returned < count {
            let (batch_start, mut budget) = (Instant::now(), BATCH_BUDGET);
            while let Poll::Due(value) = wheel.poll(61_001_000, &mut budget) {
                black_box(value);
                returned += 1;
            }
            longest_us = longest_us.max(batch_start.elapsed().as_nanos() as f64 / 1e3);
        }
        let return_nanos = started_at.elapsed().as_nanos() as f64 / count as f64;
        println!(
            "{count:>8}  {set_cancel_nanos:>14.1}  {return_nanos:>13.1}  {longest_us:>15.1}  {:>13.1}",
            memory as f64 / count as f64
        );
    }
}
