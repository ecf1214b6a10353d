//! Explores the fleet's state machines, and prints the number of states or the trace to a violated invariant.
//!
//! `cargo run --release -p madderloom-control-plane --features explore --example explore [large] [STATES]`
//!
//! `large` explores the larger models; `STATES` bounds the states of each (ten million by default, some 2 GB).

use madderloom_control_plane::explore::{
    Explored, explore, larger_lease_models, larger_rollout_models, lease_models, rollout_models,
};
use std::process::ExitCode;
use std::time::Instant;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let is_large = arguments.iter().any(|a| a == "large");
    let most = arguments
        .iter()
        .find_map(|a| a.parse().ok())
        .unwrap_or(10_000_000);
    let mut violations = 0;
    let mut report = |name: &str, begin: Instant, result: Result<Explored, String>| match result {
        Ok(explored) => {
            let all = if explored.is_complete {
                "all"
            } else {
                "the first"
            };
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
            violations += 1;
            println!("{name}: {found}");
        }
    };
    for model in if is_large {
        larger_rollout_models()
    } else {
        rollout_models()
    } {
        let begin = Instant::now();
        report(
            model.name,
            begin,
            explore(&model, most).map_err(|violation| violation.to_string()),
        );
    }
    for model in if is_large {
        larger_lease_models()
    } else {
        lease_models()
    } {
        let begin = Instant::now();
        report(
            model.name,
            begin,
            explore(&model, most).map_err(|violation| violation.to_string()),
        );
    }
    if violations == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
