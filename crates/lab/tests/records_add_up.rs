//! What a record says of a run: worth, windows, warm-up, recovery.

mod common;
use common::*;
use madderloom_config_reader::Span;
use madderloom_lab::experiment::{Distribution, Effect, Experiment, FaultKind};
use madderloom_lab::record::Run;

fn honest(experiment: &Experiment) -> Run {
    let run = play(experiment, 1, &simple(Wrong::No));
    assert_eq!(run.void, None);
    run
}

/// All servers fail everything from 3 to 5 s.
fn outage() -> Experiment {
    let mut experiment = calm(Effect::Safe);
    experiment.faults = vec![fault(FaultKind::FastErrors, Span::s(3), &["s"], 1.0)];
    experiment.faults[0].lasts = Span::s(2);
    experiment
}

#[test]
fn worth_is_earned_by_the_second_in_which_a_request_was_due() {
    let run = honest(&outage());
    let goodput: Vec<f64> = run.windows.iter().map(|w| w.earned / w.worth).collect();
    assert_eq!(goodput, [1.0, 1.0, 1.0, 0.0, 0.0, 1.0, 1.0, 1.0, 1.0, 1.0]);
    assert_eq!(run.recovery, Some(Span(0)));
    assert_eq!(
        run.total.earned,
        run.windows.iter().map(|w| w.earned).sum::<f64>()
    );
    assert_eq!(run.total.failed, run.total.outcomes["error"]);
    // Half loaded, and idle while everything fails at once.
    assert!(
        run.windows[1].load.iter().all(|l| (0.3..0.7).contains(l)),
        "{:?}",
        run.windows[1].load
    );
    assert!(
        run.windows[4].load.iter().all(|l| *l == 0.0),
        "{:?}",
        run.windows[4].load
    );
}

#[test]
fn recovery_counts_from_the_end_of_the_last_fault_and_is_none_where_there_was_none() {
    let mut experiment = outage();
    // What waits at a hung server at its end takes a while.
    experiment
        .faults
        .push(fault(FaultKind::Slow, Span::s(3), &["s"], 40.0));
    experiment.faults[1].lasts = Span::ms(2_500);
    experiment.faults[0].kind = FaultKind::Slow;
    experiment.classes[0].aim = Span::ms(100);
    let slow = honest(&experiment).recovery.expect("it recovers");
    assert!(slow > Span(0) && slow < Span::s(4), "{slow}");
    experiment.duration = Span::s(5);
    assert_eq!(honest(&experiment).recovery, None);
    assert_eq!(honest(&calm(Effect::Safe)).recovery, None);
    // A tenth less for good is no recovery.
    let mut worse = outage();
    (worse.faults[0].lasts, worse.faults[0].size) = (Span(0), 0.1);
    assert_eq!(honest(&worse).recovery, None);
}

#[test]
fn what_is_due_before_the_end_of_the_warm_up_counts_for_nothing() {
    let mut experiment = outage();
    experiment.warmup = Span::s(5);
    let run = honest(&experiment);
    assert_eq!((run.total.goodput(), run.total.failed), (1.0, 0));
    let later: u64 = run.windows[5..].iter().map(|w| w.classes["read"].0).sum();
    assert_eq!(run.total.asked, later);
}

#[test]
fn a_late_answer_earns_its_part_and_latency_counts_from_when_it_was_due() {
    let mut experiment = calm(Effect::Safe);
    experiment.clients.rate = 1.0;
    experiment.classes[0].dist = Distribution::Fixed;
    experiment.classes[0].work = Span::ms(30);
    experiment.classes[0].aim = Span::ms(20);
    experiment.classes[0].late_worth = 0.25;
    let run = honest(&experiment);
    assert_eq!(
        (run.total.late, run.total.goodput()),
        (run.total.asked, 0.25)
    );
    // The way there and back, and for some the opening of a connection, another such.
    let mean = run.total.latency.sum / run.total.asked;
    assert!((30_500..=31_000).contains(&mean), "{mean}");
}
