//! Signals say what was measured lately, and nothing where nothing was.

use madderloom_balancer::{Closed, Outcome, ServerId};
use madderloom_degradation::gauge::{End, FEWEST, Gauge, LONGEST, Outside};
use madderloom_degradation::{Signal, Signals};

const S: u64 = 1_000_000;

fn gauge() -> Gauge {
    Gauge::new(vec!["submit-check".into(), "recheck".into()])
}

fn signals(gauge: &Gauge, now: u64) -> Signals {
    gauge.signals(
        now,
        &Outside {
            failing: Some(0.25),
            ..Outside::default()
        },
    )
}

fn closed(attempt: u32, outcome: Outcome) -> Closed {
    Closed {
        request: 1,
        attempt,
        server: ServerId(1),
        outcome,
        elapsed: 1,
        ended: true,
    }
}

#[test]
fn shares_are_those_of_the_last_seconds_by_class_and_in_all() {
    let mut gauge = gauge();
    // Ten seconds ago all was bad.
    (0..100).for_each(|_| gauge.ended(10 * S, 0, End::Failed));
    for at in 0..40 {
        let now = 20 * S + at * 50_000;
        gauge.ended(now, 0, End::InTime);
        gauge.ended(now, 1, [End::Late, End::Refused][at as usize % 2]);
    }
    let signals = signals(&gauge, 22 * S - 1);
    let of = |class: &str| Some(class.to_string());
    assert_eq!(signals.get(&Signal::Goodput(of("submit-check"))), Some(1.0));
    assert_eq!(signals.get(&Signal::Goodput(of("recheck"))), Some(0.0));
    assert_eq!(signals.get(&Signal::Lateness(of("recheck"))), Some(1.0));
    assert_eq!(signals.get(&Signal::Refused(of("recheck"))), Some(0.5));
    assert_eq!(signals.get(&Signal::Goodput(None)), Some(0.5));
    assert_eq!(signals.get(&Signal::Lateness(None)), Some(1.0 / 3.0));
    assert_eq!(signals.get(&Signal::Refused(None)), Some(0.25));
}

#[test]
fn where_little_ends_the_past_counts_for_longer_but_not_for_ever() {
    let mut gauge = gauge();
    (1..=u64::from(FEWEST)).for_each(|at| gauge.ended(at * LONGEST / 20, 0, End::Late));
    let all = LONGEST * u64::from(FEWEST) / 20;
    assert_eq!(signals(&gauge, all).get(&Signal::Lateness(None)), Some(1.0));
    // One more of them is too old than may be, so too few are left to tell.
    assert_eq!(
        signals(&gauge, LONGEST + LONGEST / 20).get(&Signal::Lateness(None)),
        None
    );
    assert_eq!(signals(&gauge, 1_000 * S), Signals::default());
}

#[test]
fn attempts_tell_of_retries_and_of_what_may_have_run() {
    let mut gauge = gauge();
    use Outcome::*;
    for _ in 0..2 {
        for outcome in [Ok, Ok, Ok, Full, ConnectFailed, Error, Timeout, Reset] {
            gauge.closed(S, &closed(0, outcome));
        }
        gauge.closed(S, &closed(1, Ok));
        gauge.closed(S, &closed(2, Ok));
    }
    [Moot, Cancelled]
        .iter()
        .for_each(|outcome| gauge.closed(S, &closed(3, *outcome)));
    let signals = signals(&gauge, S);
    assert_eq!(signals.get(&Signal::Unknown), Some(0.3));
    assert_eq!(signals.get(&Signal::Retries), Some(0.2));
    assert_eq!(signals.get(&Signal::FailingServers), Some(0.25));
}

#[test]
fn servers_that_nobody_has_heard_of_lately_are_not_healthy() {
    let mut gauge = gauge();
    let silent = Outside {
        failing: Some(0.0),
        open: Some(7.0),
        cpu: Some(f64::NAN),
        list_age: Some(3),
    };
    let told = |gauge: &Gauge, now| gauge.signals(now, &silent).get(&Signal::FailingServers);
    assert_eq!(told(&gauge, S), None);
    (0..FEWEST).for_each(|_| gauge.closed(S, &closed(0, Outcome::Ok)));
    assert_eq!(told(&gauge, S), Some(0.0));
    assert_eq!(told(&gauge, 30 * S), None);
    let signals = gauge.signals(S, &silent);
    assert_eq!(signals.get(&Signal::Open), Some(1.0), "a share");
    assert_eq!(signals.get(&Signal::Cpu), None, "no number");
    assert_eq!(signals.get(&Signal::ListAge), Some(3.0));
}

#[test]
fn what_is_given_up_at_the_aim_is_late_and_not_refused() {
    assert_eq!(End::served(S, S), End::InTime);
    assert_eq!(End::served(S + 1, S), End::Late);
    assert_eq!(End::unserved(S - 1_000, S, true), End::Late);
    assert_eq!(End::unserved(0, S, true), End::Refused);
    assert_eq!(End::unserved(S / 2, S, false), End::Failed);
}
