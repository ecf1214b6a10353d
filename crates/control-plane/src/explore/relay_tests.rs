//! Relays keep the invariants in every state of the models, and the explorer finds injected bugs.

use super::{Invariant, explore, relay_models, with_injected_bug};
use crate::InjectedBug;
use std::time::Instant;

/// The most states of one model that a test explores; none of the models has as many.
const MAX_STATES: usize = 400_000;

#[test]
fn no_order_of_messages_cuts_kills_and_moves_violates_an_invariant() {
    for model in relay_models() {
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
                    explored.at_rest > 0 && explored.states > 500,
                    "{}: {explored:?}",
                    model.name
                );
            }
            Err(counterexample) => panic!("{}: {counterexample}", model.name),
        }
    }
}

/// The invariant that a bug violates, in the first of the models that shows it.
fn violated_by(bug: InjectedBug) -> Invariant {
    let violated = with_injected_bug(Some(bug), || {
        relay_models().into_iter().find_map(|model| {
            let counterexample = explore(&model, MAX_STATES).err()?;
            println!("{bug:?}, in: {}\n{counterexample}", model.name);
            Some(counterexample.violation.invariant)
        })
    });
    violated.unwrap_or_else(|| panic!("{bug:?} is not found"))
}

#[test]
fn a_relay_that_does_not_register_its_children_again_is_found() {
    let violated = violated_by(InjectedBug::RelayForgetsToRegister);
    assert_eq!(violated, Invariant::Convergence);
}

#[test]
fn a_relay_that_obeys_an_agent_of_a_former_term_is_found() {
    let violated = violated_by(InjectedBug::RelayObeysFormerTerms);
    let expected = [Invariant::SessionsLast, Invariant::Fenced];
    assert!(expected.contains(&violated), "{violated}");
}

#[test]
fn a_relay_whose_messages_overtake_its_answers_is_found() {
    let violated = violated_by(InjectedBug::RelayOvertakesAnswers);
    assert_eq!(violated, Invariant::SessionsLast);
}
