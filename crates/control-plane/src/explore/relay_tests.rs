//! Relays keep the invariants in every state of the models, and the explorer finds injected bugs.

use super::{explore, relay_models, with_injected_bug};
use crate::InjectedBug;

/// The most states of one model that a test explores; none of the models has as many.
const MAX_STATES: usize = 400_000;

#[test]
fn no_order_of_messages_cuts_deaths_and_moves_breaks_an_invariant() {
    for model in relay_models() {
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
                    explored.at_rest > 0 && explored.states > 500,
                    "{}: {explored:?}",
                    model.name
                );
            }
            Err(violation) => panic!("{}: {violation}", model.name),
        }
    }
}

/// The invariant that a bug breaks, in the first of the models that shows it.
fn broken_by(bug: InjectedBug) -> String {
    let violation = with_injected_bug(Some(bug), || {
        relay_models().into_iter().find_map(|model| {
            let violation = explore(&model, MAX_STATES).err()?;
            println!("{bug:?}, in: {}\n{violation}", model.name);
            Some(violation.invariant)
        })
    });
    violation.unwrap_or_else(|| panic!("{bug:?} is not found"))
}

#[test]
fn a_relay_that_does_not_register_its_children_anew_is_found() {
    let invariant = broken_by(InjectedBug::RelayForgetsToRegister);
    assert!(
        invariant.starts_with("a fair continuation never comes to rest"),
        "{invariant}"
    );
}

#[test]
fn a_relay_that_obeys_an_agent_of_a_former_term_is_found() {
    let invariant = broken_by(InjectedBug::RelayObeysFormerTerms);
    assert!(
        invariant.starts_with("quiet: ") || invariant.starts_with("fenced: "),
        "{invariant}"
    );
}

#[test]
fn a_relay_whose_messages_overtake_its_answers_is_found() {
    let invariant = broken_by(InjectedBug::RelayOvertakesAnswers);
    assert!(invariant.starts_with("quiet: "), "{invariant}");
}
