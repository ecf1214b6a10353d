//! The agent and the instances keep the invariants in every state of the models, and the explorer finds injected bugs.

use super::{Counterexample, Invariant, RolloutModel, explore, rollout_models, with_injected_bug};
use crate::InjectedBug;
use std::time::Instant;

/// The most states of one model that a test explores; none of the models has as many.
const MAX_STATES: usize = 400_000;

/// Explores a model whole.
fn assert_sound(model: usize) {
    let model = rollout_models().swap_remove(model);
    let begin = Instant::now();
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
        Err(counterexample) => panic!("{}: {counterexample}", model.name),
    }
}

macro_rules! every_state_is_sound {
    ($($name:ident: $model:expr),* $(,)?) => {
        $(#[test] fn $name() { assert_sound($model); })*
        #[test]
        fn no_model_is_left_out() {
            assert_eq!([$($model),*].len(), rollout_models().len());
        }
    };
}

every_state_is_sound! {
    with_one_instance_and_both_sides_killed: 0,
    with_the_agent_killed_at_any_step: 1,
    with_an_instance_killed_at_any_step: 2,
    with_a_connection_cut_at_any_step: 3,
    with_an_instance_that_refuses_and_the_change_undone: 4,
    with_an_instance_that_refuses_and_a_rollout_stopped: 5,
    with_a_rollout_stopped_or_undone_by_an_operator: 6,
    with_an_agent_that_does_not_know_that_it_was_replaced: 7,
    with_two_processes_of_one_name: 8,
    with_two_changes_on_one_revision: 9,
    with_one_instance_at_a_time: 10,
    with_three_instances_and_the_agent_killed: 11,
    with_three_instances_and_one_of_them_killed: 12,
}

/// The counterexample for a bug, in the first of the models that shows it.
fn counterexample(bug: InjectedBug) -> Counterexample {
    let found = with_injected_bug(Some(bug), || {
        let counterexample = |model: RolloutModel| {
            let counterexample = *explore(&model, MAX_STATES).err()?;
            println!("{bug:?}, in: {}\n{counterexample}", model.name);
            Some(counterexample)
        };
        rollout_models().into_iter().find_map(counterexample)
    });
    found.unwrap_or_else(|| panic!("{bug:?} is not found"))
}

/// Checks that the explorer finds a bug by the invariant that it violates.
fn assert_violates(bug: InjectedBug, invariant: Invariant) {
    let violation = counterexample(bug).violation;
    assert_eq!(violation.invariant, invariant, "{violation}");
}

#[test]
fn an_acknowledgement_before_the_effect_is_found() {
    assert_violates(InjectedBug::AckBeforeEffect, Invariant::Atomic);
}

#[test]
fn a_partly_applied_change_is_found() {
    assert_violates(InjectedBug::ApplyPartially, Invariant::Atomic);
}

#[test]
fn missing_fencing_is_found() {
    assert_violates(InjectedBug::NoFencing, Invariant::Fenced);
}

#[test]
fn a_repeated_order_that_is_carried_out_again_is_found() {
    assert_violates(InjectedBug::ForgetRepeats, Invariant::Once);
}

#[test]
fn an_answer_to_an_order_of_an_earlier_term_is_found() {
    assert_violates(InjectedBug::AcceptOldAnswers, Invariant::Accurate);
}

#[test]
fn an_order_sent_before_its_record_is_durable_is_found() {
    assert_violates(InjectedBug::SendBeforeSave, Invariant::Durable);
}

#[test]
fn a_rollout_that_is_not_durable_is_found() {
    assert_violates(InjectedBug::ForgetRollout, Invariant::Durable);
}

#[test]
fn two_processes_under_one_name_are_found() {
    assert_violates(InjectedBug::IdentifyByName, Invariant::UniqueName);
}

#[test]
fn a_counterexample_is_short_and_says_what_happened() {
    let counterexample = counterexample(InjectedBug::AckBeforeEffect);
    let text = counterexample.to_string();
    assert!(counterexample.trace.len() <= 4, "{text}");
    assert!(
        text.contains("an operator pushes change 0") && text.contains("order 1.1"),
        "{text}"
    );
}
