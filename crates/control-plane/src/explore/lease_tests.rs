//! Lease servers and holders keep the invariants in every state of the models, and the explorer finds injected bugs.

use super::{Counterexample, Invariant, explore, lease_models};
use madderloom_quota_leases::{InjectedBug, with_injected_bug};
use std::time::Instant;

/// The most states of one model that a test explores; none of the models has as many. Each state takes some 3 kB.
const MAX_STATES: usize = 400_000;

#[test]
fn no_order_of_messages_losses_and_ticks_grants_more_than_a_limit() {
    let mut states = 0;
    for model in lease_models() {
        let begin = Instant::now();
        match explore(&model, MAX_STATES) {
            Ok(explored) => {
                println!("{}: {explored:?} in {:?}", model.name, begin.elapsed());
                assert!(explored.is_complete, "{}: {explored:?}", model.name);
                states += explored.states;
            }
            Err(counterexample) => panic!("{}: {counterexample}", model.name),
        }
    }
    assert!(states > 20_000, "{states} states");
}

/// The counterexample for a bug, in the model of this name.
fn counterexample(bug: InjectedBug, name: &str) -> Counterexample {
    let model = lease_models()
        .into_iter()
        .find(|model| model.name == name)
        .expect("a model");
    let explored = with_injected_bug(Some(bug), || explore(&model, MAX_STATES));
    let Err(counterexample) = explored else {
        panic!("{bug:?} is not found")
    };
    println!("{bug:?}, in: {name}\n{counterexample}");
    *counterexample
}

/// Each bug that can be injected into leases is found in one of the models, by an invariant that it violates. (Reports
/// that arrive after newer ones take more steps than are explored here: a test of the lease server has them.)
#[test]
fn injected_bugs_in_leases_are_found() {
    let killed = "an agent that is killed";
    let two = "two instances, messages late or lost, demands that change";
    for (bug, invariant, name) in [
        (
            InjectedBug::ReuseBeforeAcknowledgement,
            Invariant::Rates,
            two,
        ),
        (
            InjectedBug::NoDrift,
            Invariant::Rates,
            "an agent 2% fast and an instance 2% slow",
        ),
        (
            InjectedBug::IdentifyByName,
            Invariant::Rates,
            "another process of the first one's name",
        ),
        (InjectedBug::NoRecovery, Invariant::Rates, killed),
        (
            InjectedBug::ForgetFormerDuration,
            Invariant::Rates,
            "the next agent with shorter leases",
        ),
        (InjectedBug::CountFromArrival, Invariant::Rates, two),
        (
            InjectedBug::NoFencing,
            Invariant::Rates,
            "grants that arrive after newer ones",
        ),
        (
            InjectedBug::RefillOnGrant,
            Invariant::Windows,
            "requests that are admitted",
        ),
        (
            InjectedBug::ForgetInFlight,
            Invariant::InFlight,
            "requests that stay in flight for long",
        ),
    ] {
        let violation = counterexample(bug, name).violation;
        // Leases that exceed the limit do so in rate or burst, whichever shows first.
        let violated = match violation.invariant {
            Invariant::Bursts => Invariant::Rates,
            other => other,
        };
        assert_eq!(violated, invariant, "{bug:?}: {violation}");
    }
}
