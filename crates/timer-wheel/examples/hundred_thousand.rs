//! What a timer costs, by how many there are: time to set one and take it back among the others, time to hand one out
//! where all are due in one second, the longest turn of that, and memory.
//!
//! `cargo run --release -p madderloom-timer-wheel --example hundred_thousand`

use madderloom_timer_wheel::{Poll, Wheel};
use std::hint::black_box;
use std::time::Instant;

const BUDGET: u32 = 128;
const TRIES: u64 = 200_000;

fn resident() -> u64 {
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
        "timers", "set, cancel ns", "handed out ns", "longest turn us", "bytes a timer"
    );
    for count in [100_u64, 1_000, 10_000, 100_000] {
        let before = resident();
        let mut wheel = Wheel::new(0);
        // All of them in the second that begins after a minute.
        for at in 0..count {
            wheel.set(60_000_000 + at * 1_000_000 / count, at);
        }
        let memory = resident().saturating_sub(before);
        let begun = Instant::now();
        for at in 0..TRIES {
            let key = wheel.set(2_000_000 + at % 1_000_000, at);
            black_box(wheel.cancel(key));
        }
        let set = begun.elapsed().as_nanos() as f64 / TRIES as f64;
        let (mut handed_out, mut longest) = (0, 0.0_f64);
        let begun = Instant::now();
        while handed_out < count {
            let (turn, mut budget) = (Instant::now(), BUDGET);
            while let Poll::Due(value) = wheel.poll(61_001_000, &mut budget) {
                black_box(value);
                handed_out += 1;
            }
            longest = longest.max(turn.elapsed().as_nanos() as f64 / 1e3);
        }
        let out = begun.elapsed().as_nanos() as f64 / count as f64;
        println!(
            "{count:>8}  {set:>14.1}  {out:>13.1}  {longest:>15.1}  {:>13.1}",
            memory as f64 / count as f64
        );
    }
}
