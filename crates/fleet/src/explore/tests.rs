//! The machines hold their invariants in every state of the worlds shipped, and the explorer finds planted bugs.

use super::{Bounds, Broken, explore, lendings, shipped, with_planted};
use crate::Planted;

/// A landing explores no more than so many states of one world; none of those shipped has as many.
const MOST: usize = 400_000;

fn holds(world: usize) {
    let bounds = shipped().swap_remove(world);
    let begin = std::time::Instant::now();
    match explore(&bounds, MOST) {
        Ok(explored) => {
            println!("{}: {explored:?} in {:?}", bounds.name, begin.elapsed());
            assert!(explored.whole, "{}: more than {MOST} states", bounds.name);
            assert!(explored.at_rest > 0 && explored.states > 1_000, "{}: {explored:?}", bounds.name);
        }
        Err(broken) => panic!("{}: {broken}", bounds.name),
    }
}

macro_rules! every_state_is_sound {
    ($($name:ident: $world:expr),* $(,)?) => {
        $(#[test] fn $name() { holds($world); })*
        #[test]
        fn no_world_is_left_out() {
            assert_eq!([$($world),*].len(), shipped().len());
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

/// The counterexample for a bug, in the first of the shipped worlds that shows it.
fn found(bug: Planted) -> (Bounds, Broken) {
    let broken = with_planted(Some(bug), || {
        let mut found = shipped().into_iter().filter_map(|bounds| {
            let broken = explore(&bounds, MOST).err()?;
            Some((bounds, *broken))
        });
        found.next()
    });
    let (bounds, broken) = broken.unwrap_or_else(|| panic!("{bug:?} is not found"));
    println!("{bug:?}, in: {}\n{broken}", bounds.name);
    (bounds, broken)
}

#[test]
fn an_answer_before_the_effect_is_found() {
    assert!(found(Planted::AckBeforeEffect).1.invariant.starts_with("whole: "));
}

#[test]
fn half_a_change_is_found() {
    assert!(found(Planted::HalfTaken).1.invariant.starts_with("whole: "));
}

#[test]
fn a_missing_fence_is_found() {
    let broken = found(Planted::NoFencing).1;
    assert!(broken.invariant.starts_with("fenced: "), "{}", broken.invariant);
}

#[test]
fn a_repeat_that_is_carried_out_again_is_found() {
    assert!(found(Planted::ForgetRepeats).1.invariant.starts_with("once: "));
}

#[test]
fn an_answer_to_an_earlier_term_is_found() {
    assert!(found(Planted::OldAnswers).1.invariant.starts_with("true: "));
}

#[test]
fn an_order_sent_before_it_lasts_is_found() {
    let broken = found(Planted::SendBeforeSave).1;
    assert!(broken.invariant.starts_with("lasting: "), "{}", broken.invariant);
}

#[test]
fn a_rollout_that_does_not_last_is_found() {
    assert!(found(Planted::ForgetRollout).1.invariant.starts_with("lasting: "));
}

#[test]
fn one_name_for_two_is_found() {
    let broken = found(Planted::NamesAlone).1;
    assert!(broken.invariant.starts_with("one name: "), "{}", broken.invariant);
}

#[test]
fn a_counterexample_is_short_and_says_what_happened() {
    let (_, broken) = found(Planted::AckBeforeEffect);
    let text = broken.to_string();
    assert!(broken.trace.len() <= 4, "{text}");
    assert!(text.contains("an operator pushes change 0") && text.contains("order 1.1"), "{text}");
}

/// States of one world of lending that a landing explores at most; each takes some 3 kB.
const LENDINGS: usize = 400_000;

#[test]
fn no_order_of_messages_losses_and_ticks_lends_a_limit_beyond_itself() {
    let mut states = 0;
    for world in lendings() {
        let begin = std::time::Instant::now();
        match explore(&world, LENDINGS) {
            Ok(explored) => {
                println!("{}: {explored:?} in {:?}", world.name, begin.elapsed());
                assert!(explored.whole, "{}: {explored:?}", world.name);
                states += explored.states;
            }
            Err(broken) => panic!("{}: {broken}", world.name),
        }
    }
    assert!(states > 20_000, "{states} states");
}

/// Each bug that can be planted in lending is found in one of the worlds, by an invariant that it breaks. (Old reports
/// take more steps than are walked here: a test of the lender's own has them.)
#[test]
fn bugs_in_lending_are_found() {
    use madderloom_quota::{Planted, with_planted};
    let killed = "an agent that is killed";
    let two = "two instances, messages late or lost, wants that change";
    for (bug, breaks, world) in [
        (Planted::LendBeforeObeyed, "rates", two),
        (Planted::NoDrift, "rates", "an agent 2% fast and an instance 2% slow"),
        (Planted::NamesAlone, "rates", "another process of the first one's name"),
        (Planted::NoLearning, "rates", killed),
        (Planted::ForgetLength, "rates", "the next agent with shorter leases"),
        (Planted::CountFromArrival, "rates", two),
        (Planted::NoFencing, "rates", "words that come behind newer ones"),
        (Planted::FillAnew, "windows", "requests that are let in"),
        (Planted::ForgetOpen, "open", "requests that stay open for long"),
    ] {
        let bounds = lendings().into_iter().find(|bounds| bounds.name == world).expect("a world");
        let explored = with_planted(Some(bug), || explore(&bounds, LENDINGS));
        let Err(broken) = explored else { panic!("{bug:?} is not found") };
        println!("{bug:?}, in: {world}\n{broken}");
        // Leases that come to too much do so in rate or burst, whichever shows first.
        let told = broken.invariant.replace("bursts:", "rates:");
        assert!(told.starts_with(breaks), "{bug:?}: {}", broken.invariant);
    }
}
