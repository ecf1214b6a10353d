//! Cost of reduced service levels: time for each request, and for each evaluation of the conditions, as the best and the
//! median of eleven rounds.
//!
//! ```sh
//! cargo run --release -p madderloom-degradation --example cost
//! ```

use madderloom_balancer::{AttemptResult, Outcome, ServerId, key_position};
use madderloom_degradation::{
    ClassTraits, EVALUATION_INTERVAL, ExternalSignals, LevelController, LevelsSection, RequestEnd,
};
use std::hint::black_box;
use std::time::Instant;

const ROUNDS: usize = 11;
/// Latency of every request, in microseconds.
const LATENCY: u64 = 20_000;
const LATENCY_OBJECTIVE: u64 = 500_000;
/// Requests between two evaluations.
const REQUESTS_PER_EVALUATION: u64 = 100;

fn controller() -> LevelController {
    let class = |name: &str, is_idempotent| ClassTraits {
        name: name.into(),
        is_idempotent,
    };
    let section = LevelsSection {
        built_in: true,
        ..LevelsSection::default()
    };
    let plan = section
        .resolve(&[class("submit-check", false), class("recheck", true)])
        .expect("built-in levels are valid");
    let classes = vec!["submit-check".into(), "recheck".into()];
    LevelController::new(plan, classes, 0.5, 0)
}

fn measure(name: &str, iterations: u64, mut run: impl FnMut(&mut LevelController, u64)) {
    let mut nanos: Vec<f64> = (0..ROUNDS)
        .map(|_| {
            let mut controller = controller();
            let begin = Instant::now();
            (0..iterations).for_each(|iteration| run(&mut controller, iteration));
            black_box(&controller);
            begin.elapsed().as_nanos() as f64 / iterations as f64
        })
        .collect();
    nanos.sort_by(f64::total_cmp);
    println!(
        "{name}: {:.0} ns at best, {:.0} ns in the median",
        nanos[0],
        nanos[ROUNDS / 2]
    );
}

fn served_attempt(request: u64) -> AttemptResult {
    AttemptResult {
        request,
        attempt: 0,
        server: ServerId(1),
        outcome: Outcome::Ok,
        elapsed: LATENCY,
        request_ended: true,
    }
}

fn main() {
    let served = RequestEnd::served(LATENCY, LATENCY_OBJECTIVE);
    measure(
        "a request's end and that of its attempt",
        1_000_000,
        |controller, number| {
            let now = 1_000 * number;
            controller.attempt_ended(now, &served_attempt(number));
            controller.request_ended(now, (number % 2) as usize, served);
        },
    );
    let external = ExternalSignals {
        failing_servers: Some(0.1),
        open_requests: Some(0.2),
        cpu: Some(0.3),
        list_age: Some(1),
    };
    measure(
        "an evaluation, with 100 requests since the last",
        10_000,
        |controller, number| {
            let now = EVALUATION_INTERVAL * number;
            for request in 0..REQUESTS_PER_EVALUATION {
                controller.request_ended(now + request, (request % 2) as usize, served);
            }
            black_box(controller.evaluate(now + REQUESTS_PER_EVALUATION, &external));
        },
    );
    let reduced = controller().reduced().clone();
    measure(
        "a key's place, beside a share of none",
        10_000_000,
        |_, key| {
            black_box(
                reduced
                    .rejected_shares
                    .first()
                    .is_some_and(|share| *share > 0.0),
            );
            black_box(key_position(key));
        },
    );
}
