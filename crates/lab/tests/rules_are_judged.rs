//! A policy that breaks a rule is caught, with the story of what it did; one that breaks none is not.

mod common;
use common::*;
use madderloom_config_reader::Span;
use madderloom_lab::experiment::{Effect, Experiment, FaultKind};
use madderloom_lab::record::Breach;

fn caught(experiment: &Experiment, wrong: Wrong, rule: &str) -> Breach {
    let honest = play(experiment, 1, &simple(Wrong::No));
    assert_eq!(honest.void, None);
    assert_eq!(honest.breaches.get(rule), None, "{:#?}", honest.broken);
    let run = play(experiment, 1, &simple(wrong));
    assert_eq!(run.void, None);
    let rules: Vec<&String> = run.breaches.keys().collect();
    assert_eq!(rules, [rule], "{:#?}", run.broken);
    assert!(run.breaches[rule] > 0);
    let kept = run.broken.iter().filter(|b| b.rule == rule).count();
    assert!((1..=3).contains(&kept), "the first few are told of");
    run.broken[0].clone()
}

fn tells(breach: &Breach, words: &[&str]) {
    let story = breach.story.join("\n");
    let mut rest = story.as_str();
    for word in words {
        let Some(at) = rest.find(word) else {
            panic!("{word:?} is missing, or out of order, in\n{story}")
        };
        rest = &rest[at + word.len()..];
    }
}

#[test]
fn a_request_that_is_forgotten_was_dropped() {
    let breach = caught(&calm(Effect::Safe), Wrong::Forgets, "dropped-request");
    tells(
        &breach,
        &["came to instance", "over: Overdue", "told that it is over"],
    );
    // The first ones come at once; two seconds and the grace later they are missed.
    assert!(
        breach.at > Span::ms(2_020) && breach.at < Span::ms(2_200),
        "{}",
        breach.at
    );
}

#[test]
fn a_request_that_is_sent_after_its_end_was_dropped() {
    let mut experiment = calm(Effect::Safe);
    experiment.faults = vec![fault(FaultKind::FastErrors, Span::s(2), &["s"], 0.1)];
    let breach = caught(&experiment, Wrong::Haunts, "dropped-request");
    tells(
        &breach,
        &[
            "attempt 0 sent",
            "over: Error",
            "over: Failed",
            "sent again",
        ],
    );
}

#[test]
fn an_unsafe_request_that_is_sent_again_is_a_repeated_effect() {
    let mut experiment = calm(Effect::Unsafe);
    experiment.faults = vec![fault(FaultKind::LostAnswers, Span::s(2), &["s-1"], 0.5)];
    let breach = caught(&experiment, Wrong::Repeats, "repeated-effect");
    tells(
        &breach,
        &[
            "attempt 0 sent to s-1",
            "attempt 0 run by s-1",
            "attempt 0 over: Reset",
            "attempt 1 sent",
        ],
    );
}

#[test]
fn an_unsafe_request_that_is_refused_after_it_may_have_run_is_a_repeated_effect() {
    let mut experiment = calm(Effect::Unsafe);
    experiment.faults = vec![fault(FaultKind::LostAnswers, Span::s(2), &["s-1"], 0.5)];
    let breach = caught(&experiment, Wrong::Refuses, "repeated-effect");
    tells(&breach, &["attempt 0 run by s-1", "over: Refused"]);
}

#[test]
fn a_keyed_request_that_is_sent_again_past_its_window_is_a_repeated_effect() {
    let mut experiment = calm(Effect::Keyed);
    experiment.classes[0].window = Span::ms(20);
    experiment.clients.rate = 900.0;
    experiment.faults = vec![fault(FaultKind::SpoiltAnswers, Span::s(2), &["s-1"], 0.5)];
    let breach = caught(&experiment, Wrong::Repeats, "repeated-effect");
    tells(&breach, &["attempt 0 over: Reset", "sent to"]);
}

#[test]
fn sends_to_a_server_that_is_known_to_drain_are_an_unsafe_drain() {
    let mut experiment = calm(Effect::Safe);
    experiment.faults = vec![fault(FaultKind::Drain, Span::s(1), &["s-2"], 0.0)];
    let breach = caught(&experiment, Wrong::Deaf, "unsafe-drain");
    // Told after the notice of two seconds; three more are allowed.
    assert!(
        breach.at > Span::s(6) && breach.at < Span::ms(6_100),
        "{}",
        breach.at
    );
    tells(
        &breach,
        &["told that s-2 drains", "sent to s-2", "over: Full"],
    );
}

#[test]
fn whoever_never_asks_counts_as_told_of_a_drain_after_a_while() {
    let mut experiment = calm(Effect::Safe);
    experiment.duration = Span::s(18);
    experiment.faults = vec![fault(FaultKind::Drain, Span::s(1), &["s-2"], 0.0)];
    let breach = caught(&experiment, Wrong::Hermit, "unsafe-drain");
    // Listed at three seconds, counted as told ten later; three more are allowed.
    assert!(
        breach.at > Span::s(16) && breach.at < Span::ms(16_100),
        "{}",
        breach.at
    );
}

#[test]
fn a_cold_server_that_is_overrun_by_those_who_knew_is_an_unsafe_fail_back() {
    let mut experiment = calm(Effect::Safe);
    experiment.servers[0].cold_from = 0.2;
    experiment.servers[0].cold = Span::s(8);
    experiment.faults = vec![fault(FaultKind::Crash, Span::s(1), &["s-0"], 0.0)];
    experiment.faults[0].lasts = Span::s(1);
    let breach = caught(&experiment, Wrong::Rushes, "unsafe-fail-back");
    tells(
        &breach,
        &[
            "s-0 started, cold",
            "s-0 fell over",
            "from instances that knew",
            "which knew",
        ],
    );
}
