//! Explores the fleet's machines, and prints what was visited or how an invariant is broken.
//!
//! `cargo run --release -p madderloom-fleet --features explore --example explore [large] [STATES]`
//!
//! `large` takes the worlds for a quiet hour; `STATES` bounds each of them (ten millions without it, some 2 GB).

use madderloom_fleet::explore::{Explored, explore, large, larger_lendings, lendings, shipped};
use std::process::ExitCode;
use std::time::Instant;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let is_large = arguments.iter().any(|a| a == "large");
    let most = arguments.iter().find_map(|a| a.parse().ok()).unwrap_or(10_000_000);
    let mut broken = 0;
    let mut tell = |name: &str, begin: Instant, done: Result<Explored, String>| match done {
        Ok(explored) => {
            let all = if explored.whole { "all" } else { "the first" };
            println!(
                "{name}: sound in {all} {} states ({} steps, {} deep, {} at rest), {:.1} s",
                explored.states,
                explored.steps,
                explored.depth,
                explored.at_rest,
                begin.elapsed().as_secs_f64()
            );
        }
        Err(found) => {
            broken += 1;
            println!("{name}: {found}");
        }
    };
    for bounds in if is_large { large() } else { shipped() } {
        let begin = Instant::now();
        tell(bounds.name, begin, explore(&bounds, most).map_err(|broken| broken.to_string()));
    }
    for bounds in if is_large { larger_lendings() } else { lendings() } {
        let begin = Instant::now();
        tell(bounds.name, begin, explore(&bounds, most).map_err(|broken| broken.to_string()));
    }
    if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
