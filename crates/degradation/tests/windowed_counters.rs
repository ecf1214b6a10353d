//! Signals hold what was measured recently, and nothing without measurements.

use madderloom_balancer::{AttemptResult, Outcome, ServerId};
use madderloom_degradation::{
    ExternalSignals, MAX_WINDOW, MIN_COUNT, RequestEnd, Signal, Signals, WindowedCounters,
};

const S: u64 = 1_000_000;

fn counters() -> WindowedCounters {
    WindowedCounters::new(vec!["submit-check".into(), "recheck".into()])
}

fn signals(counters: &WindowedCounters, now: u64) -> Signals {
    counters.signals(
        now,
        &ExternalSignals {
            failing_servers: Some(0.25),
            ..ExternalSignals::default()
        },
    )
}

fn closed(attempt: u32, outcome: Outcome) -> AttemptResult {
    AttemptResult {
        request: 1,
        attempt,
        server: ServerId(1),
        outcome,
        elapsed: 1,
        request_ended: true,
    }
}

#[test]
fn shares_are_those_of_the_window_by_class_and_in_total() {
    let mut counters = counters();
    // Ten seconds ago everything failed.
    (0..100).for_each(|_| counters.request_ended(10 * S, 0, RequestEnd::Failed));
    for at in 0..40 {
        let now = 20 * S + at * 50_000;
        counters.request_ended(now, 0, RequestEnd::WithinObjective);
        counters.request_ended(
            now,
            1,
            [RequestEnd::Late, RequestEnd::Rejected][at as usize % 2],
        );
    }
    let signals = signals(&counters, 22 * S - 1);
    let of = |class: &str| Some(class.to_string());
    assert_eq!(signals.get(&Signal::Goodput(of("submit-check"))), Some(1.0));
    assert_eq!(signals.get(&Signal::Goodput(of("recheck"))), Some(0.0));
    assert_eq!(signals.get(&Signal::Lateness(of("recheck"))), Some(1.0));
    assert_eq!(signals.get(&Signal::Rejected(of("recheck"))), Some(0.5));
    assert_eq!(signals.get(&Signal::Goodput(None)), Some(0.5));
    assert_eq!(signals.get(&Signal::Lateness(None)), Some(1.0 / 3.0));
    assert_eq!(signals.get(&Signal::Rejected(None)), Some(0.25));
}

#[test]
fn few_counts_extend_the_window_up_to_a_limit() {
    let mut counters = counters();
    (1..=u64::from(MIN_COUNT))
        .for_each(|at| counters.request_ended(at * MAX_WINDOW / 20, 0, RequestEnd::Late));
    let all = MAX_WINDOW * u64::from(MIN_COUNT) / 20;
    assert_eq!(
        signals(&counters, all).get(&Signal::Lateness(None)),
        Some(1.0)
    );
    // One of them is too old by now, so too few are left.
    assert_eq!(
        signals(&counters, MAX_WINDOW + MAX_WINDOW / 20).get(&Signal::Lateness(None)),
        None
    );
    assert_eq!(signals(&counters, 1_000 * S), Signals::default());
}

#[test]
fn retries_and_unknown_outcomes_are_shares_of_attempts() {
    let mut counters = counters();
    use Outcome::*;
    for _ in 0..2 {
        for outcome in [Ok, Ok, Ok, Full, ConnectFailed, Error, Timeout, Reset] {
            counters.attempt_ended(S, &closed(0, outcome));
        }
        counters.attempt_ended(S, &closed(1, Ok));
        counters.attempt_ended(S, &closed(2, Ok));
    }
    [Moot, Cancelled]
        .iter()
        .for_each(|outcome| counters.attempt_ended(S, &closed(3, *outcome)));
    let signals = signals(&counters, S);
    assert_eq!(signals.get(&Signal::UnknownOutcome), Some(0.3));
    assert_eq!(signals.get(&Signal::Retries), Some(0.2));
    assert_eq!(signals.get(&Signal::FailingServers), Some(0.25));
}

#[test]
fn servers_without_recent_attempts_are_not_known_to_be_healthy() {
    let mut counters = counters();
    let external = ExternalSignals {
        failing_servers: Some(0.0),
        open_requests: Some(7.0),
        cpu: Some(f64::NAN),
        list_age: Some(3),
    };
    let failing = |counters: &WindowedCounters, now| {
        counters
            .signals(now, &external)
            .get(&Signal::FailingServers)
    };
    assert_eq!(failing(&counters, S), None);
    (0..MIN_COUNT).for_each(|_| counters.attempt_ended(S, &closed(0, Outcome::Ok)));
    assert_eq!(failing(&counters, S), Some(0.0));
    assert_eq!(failing(&counters, 30 * S), None);
    let signals = counters.signals(S, &external);
    assert_eq!(signals.get(&Signal::OpenRequests), Some(1.0), "a share");
    assert_eq!(signals.get(&Signal::Cpu), None, "no number");
    assert_eq!(signals.get(&Signal::ListAge), Some(3.0));
}

#[test]
fn a_request_given_up_close_to_its_objective_is_late_and_not_rejected() {
    assert_eq!(RequestEnd::served(S, S), RequestEnd::WithinObjective);
    assert_eq!(RequestEnd::served(S + 1, S), RequestEnd::Late);
    assert_eq!(RequestEnd::unserved(S - 1_000, S, true), RequestEnd::Late);
    assert_eq!(RequestEnd::unserved(0, S, true), RequestEnd::Rejected);
    assert_eq!(RequestEnd::unserved(S / 2, S, false), RequestEnd::Failed);
}
