//! Explores the models of the fleet's state machines, and prints the number of states or the trace to a violated
//! invariant.
//!
//! `cargo run --release -p madderloom-control-plane --features explore --example explore [large] [STATES]`
//!
//! `large` explores the larger models; `STATES` bounds the states of each (ten million by default, some 2 GB).

use madderloom_control_plane::explore::{
    Model, explore, larger_lease_models, larger_rollout_models, lease_models, rollout_models,
};
use std::process::ExitCode;
use std::time::Instant;

/// The most states of a model where the command line gives none.
const DEFAULT_MAX_STATES: usize = 10_000_000;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let is_large = arguments.iter().any(|argument| argument == "large");
    let max_states = arguments
        .iter()
        .find_map(|argument| argument.parse().ok())
        .unwrap_or(DEFAULT_MAX_STATES);
    let (rollouts, leases) = if is_large {
        (larger_rollout_models(), larger_lease_models())
    } else {
        (rollout_models(), lease_models())
    };
    let mut are_sound = true;
    for model in rollouts {
        are_sound &= report(model.name, &model, max_states);
    }
    for model in leases {
        are_sound &= report(model.name, &model, max_states);
    }
    if are_sound {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Explores a model and prints the result. Returns whether no invariant is violated.
fn report(name: &str, model: &impl Model, max_states: usize) -> bool {
    let begin = Instant::now();
    match explore(model, max_states) {
        Ok(explored) => {
            let part = if explored.is_complete {
                "all"
            } else {
                "the first"
            };
            println!(
                "{name}: sound in {part} {} states ({} steps, {} deep, {} at rest), {:.1} s",
                explored.states,
                explored.transitions,
                explored.depth,
                explored.at_rest,
                begin.elapsed().as_secs_f64()
            );
            true
        }
        Err(counterexample) => {
            println!("{name}: {counterexample}");
            false
        }
    }
}
