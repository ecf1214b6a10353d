//! The state machines keep their invariants in every state of the models, and the explorer finds injected bugs.

use super::{RolloutModel, Violation, explore, lease_models, rollout_models, with_injected_bug};
use crate::InjectedBug;

/// The most states of one model that a test explores; none of the models has as many.
const MAX_STATES: usize = 400_000;

fn holds(model: usize) {
    let model = rollout_models().swap_remove(model);
    let begin = std::time::Instant::now();
    match explore(&model, MAX_STATES) {
        Ok(explored) => {
            println!("{}: {explored:?} in {:?}", model.name, begin.elapsed());
            assert!(
                explored.is_complete,
                "{}: more than {MAX_STATES} states",
                model.name
            );
            assert!(
                explored.at_rest > 0 && explored.states > 1_000,
                "{}: {explored:?}",
                model.name
            );
        }
        Err(violation) => panic!("{}: {violation}", model.name),
    }
}

macro_rules! every_state_is_sound {
    ($($name:ident: $model:expr),* $(,)?) => {
        $(#[test] fn $name() { holds($model); })*
        #[test]
        fn no_world_is_left_out() {
            assert_eq!([$($model),*].len(), rollout_models().len());
        }
    };
}

every_state_is_sound! {
    with_one_instance_and_both_sides_killed: 0,
    with_the_agent_killed_at_any_step: 1,
    with_an_instance_killed_at_any_step: 2,
    with_a_connection_cut_at_any_step: 3,
    with_an_instance_that_refuses_and_a_change_taken_back: 4,
    with_an_instance_that_refuses_and_a_rollout_stopped: 5,
    with_a_rollout_stopped_or_taken_back_by_hand: 6,
    with_an_agent_that_does_not_know_that_it_was_replaced: 7,
    with_two_processes_of_one_name: 8,
    with_two_changes_on_one_revision: 9,
    with_one_instance_at_a_time: 10,
    with_three_instances_and_the_agent_killed: 11,
    with_three_instances_and_one_of_them_killed: 12,
}

/// The counterexample for a bug, in the first of the models that shows it.
fn found(bug: InjectedBug) -> (RolloutModel, Violation) {
    let violation = with_injected_bug(Some(bug), || {
        let mut found = rollout_models().into_iter().filter_map(|model| {
            let violation = explore(&model, MAX_STATES).err()?;
            Some((model, *violation))
        });
        found.next()
    });
    let (model, violation) = violation.unwrap_or_else(|| panic!("{bug:?} is not found"));
    println!("{bug:?}, in: {}\n{violation}", model.name);
    (model, violation)
}

#[test]
fn an_answer_before_the_effect_is_found() {
    assert!(
        found(InjectedBug::AckBeforeEffect)
            .1
            .invariant
            .starts_with("whole: ")
    );
}

#[test]
fn half_a_change_is_found() {
    assert!(
        found(InjectedBug::ApplyPartially)
            .1
            .invariant
            .starts_with("whole: ")
    );
}

#[test]
fn a_missing_fence_is_found() {
    let violation = found(InjectedBug::NoFencing).1;
    assert!(
        violation.invariant.starts_with("fenced: "),
        "{}",
        violation.invariant
    );
}

#[test]
fn a_repeat_that_is_carried_out_again_is_found() {
    assert!(
        found(InjectedBug::ForgetRepeats)
            .1
            .invariant
            .starts_with("once: ")
    );
}

#[test]
fn an_answer_to_an_earlier_term_is_found() {
    assert!(
        found(InjectedBug::AcceptOldAnswers)
            .1
            .invariant
            .starts_with("true: ")
    );
}

#[test]
fn an_order_sent_before_it_lasts_is_found() {
    let violation = found(InjectedBug::SendBeforeSave).1;
    assert!(
        violation.invariant.starts_with("lasting: "),
        "{}",
        violation.invariant
    );
}

#[test]
fn a_rollout_that_does_not_last_is_found() {
    assert!(
        found(InjectedBug::ForgetRollout)
            .1
            .invariant
            .starts_with("lasting: ")
    );
}

#[test]
fn one_name_for_two_is_found() {
    let violation = found(InjectedBug::IdentifyByName).1;
    assert!(
        violation.invariant.starts_with("one name: "),
        "{}",
        violation.invariant
    );
}

#[test]
fn a_counterexample_is_short_and_says_what_happened() {
    let (_, violation) = found(InjectedBug::AckBeforeEffect);
    let text = violation.to_string();
    assert!(violation.trace.len() <= 4, "{text}");
    assert!(
        text.contains("an operator pushes change 0") && text.contains("order 1.1"),
        "{text}"
    );
}

/// The most states of one lease model that a test explores. Each state takes some 3 kB.
const MAX_LEASE_STATES: usize = 400_000;

#[test]
fn no_order_of_messages_losses_and_ticks_lends_a_limit_beyond_itself() {
    let mut states = 0;
    for model in lease_models() {
        let begin = std::time::Instant::now();
        match explore(&model, MAX_LEASE_STATES) {
            Ok(explored) => {
                println!("{}: {explored:?} in {:?}", model.name, begin.elapsed());
                assert!(explored.is_complete, "{}: {explored:?}", model.name);
                states += explored.states;
            }
            Err(violation) => panic!("{}: {violation}", model.name),
        }
    }
    assert!(states > 20_000, "{states} states");
}

/// Each bug that can be injected into leases is found in one of the models, by an invariant that it violates. (Old
/// reports take more steps than are explored here: a test of the lease server has them.)
#[test]
fn bugs_in_lending_are_found() {
    use madderloom_quota_leases::{InjectedBug, with_injected_bug};
    let killed = "an agent that is killed";
    let two = "two instances, messages late or lost, wants that change";
    for (bug, breaks, name) in [
        (InjectedBug::ReuseBeforeAcknowledgement, "rates", two),
        (
            InjectedBug::NoDrift,
            "rates",
            "an agent 2% fast and an instance 2% slow",
        ),
        (
            InjectedBug::IdentifyByName,
            "rates",
            "another process of the first one's name",
        ),
        (InjectedBug::NoRecovery, "rates", killed),
        (
            InjectedBug::ForgetFormerDuration,
            "rates",
            "the next agent with shorter leases",
        ),
        (InjectedBug::CountFromArrival, "rates", two),
        (
            InjectedBug::NoFencing,
            "rates",
            "words that come behind newer ones",
        ),
        (
            InjectedBug::RefillOnGrant,
            "windows",
            "requests that are let in",
        ),
        (
            InjectedBug::ForgetOpen,
            "open",
            "requests that stay open for long",
        ),
    ] {
        let model = lease_models()
            .into_iter()
            .find(|model| model.name == name)
            .expect("a model");
        let explored = with_injected_bug(Some(bug), || explore(&model, MAX_LEASE_STATES));
        let Err(violation) = explored else {
            panic!("{bug:?} is not found")
        };
        println!("{bug:?}, in: {name}\n{violation}");
        // Leases that exceed the limit do so in rate or burst, whichever shows first.
        let message = violation.invariant.replace("bursts:", "rates:");
        assert!(
            message.starts_with(breaks),
            "{bug:?}: {}",
            violation.invariant
        );
    }
}
