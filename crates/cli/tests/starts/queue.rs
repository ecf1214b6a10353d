//! A discovery that was back from an outage worked all the time and never answered anybody again.
//!
//! It works through calls strictly in turn, also for callers that have given up, and refuses what has waited for over 2 s when its turn
//! comes. Sixty instances called a little faster than it works, so its queue grew. Behind 4.5 s of queue an instance gave its call up before
//! its turn came and made a new one, which cost discovery its work once more; and since nothing had been refused, calls never came
//! less often. 19 had the list, and 40 s behind the return no other one: 336 calls were made, of which discovery can work off 240.
//! The log of one of the 41 others:
//!
//! ```text
//! discovery at 127.0.0.1:35317: no word for too long, after 4501 ms; list is 48658 ms old
//! next call to discovery in 382 ms
//! discovery at 127.0.0.1:35317: no word for too long, after 4501 ms; list is 53545 ms old
//! next call to discovery in 545 ms
//! ```

use super::{DRAIN_GRACE, Fleet, MANNER, Size, many, millis};
use madderloom_fault_testing::{DiscoveryBehavior, FakeDiscovery, RejectTiming};
use rstest::rstest;
use std::time::{Duration, Instant};

/// Discovery takes so long for a call of each instance.
const WORK_FOR_ALL: Duration = millis(10_000);
/// What has waited for longer is refused.
const PATIENCE: Duration = millis(2_000);
const OUTAGE: Duration = millis(15_000);
/// Work for all, and half as much again.
const BOUND: Duration = millis(15_000);
/// The test gives up.
const GIVES_UP: Duration = millis(40_000);

/// An outage in which each call is refused at once.
fn refuse_at_once(lists: &FakeDiscovery) {
    lists.reject_calls(Duration::ZERO);
}

/// It is back, and works through one call after the other.
fn return_with_a_queue(lists: &FakeDiscovery) -> Instant {
    lists.set_behavior(|manner| manner.work_per_call = WORK_FOR_ALL / many() as u32);
    lists.set_call_timeout(PATIENCE, RejectTiming::AfterProcessing);
    lists.accept_calls();
    Instant::now()
}

/// What an instance that has no list logged last.
fn last_lines_of_one_without(fleet: &Fleet) -> Vec<String> {
    let logs = fleet
        .fronts
        .keys()
        .map(|name| fleet.stage.program(name).log());
    let mut without =
        logs.filter(|log| !log.iter().any(|line| line.contains("discovery answered")));
    let log = without.next().unwrap_or_default();
    log[log.len().saturating_sub(8)..].to_vec()
}

fn judge(fleet: &Fleet, back: Instant) {
    let calls_before = fleet.lists.calls().len();
    let mut told_within_bound = None;
    while fleet.lists.notified_watches() != many() && back.elapsed() < GIVES_UP {
        if back.elapsed() > BOUND && told_within_bound.is_none() {
            told_within_bound = Some(fleet.lists.notified_watches());
        }
        std::thread::sleep(millis(20));
    }
    let took = back.elapsed();
    let calls = fleet.lists.calls().len() - calls_before;
    let told = fleet.lists.notified_watches();
    if told < many() {
        eprintln!("{:#?}", last_lines_of_one_without(fleet));
    }
    eprintln!(
        "{told} of {} have the list after {took:.1?}, by {calls} calls",
        many()
    );
    assert!(
        told_within_bound.is_none(),
        "{told_within_bound:?} of {} had the list {BOUND:?} behind the return, {told} after {took:.1?}, by {calls} calls",
        many()
    );
}

/// With a grace of 1 s a call is due every 6 s, and calls come faster than discovery works from the beginning.
#[rstest]
#[case::that_had_an_answer(true, DRAIN_GRACE)]
#[case::that_never_had_one(false, millis(1_000))]
fn all_instances_have_the_list_from_a_discovery_that_refuses_in_turn(
    #[case] had_answer: bool,
    #[case] drain_grace: Duration,
) {
    let manner = DiscoveryBehavior {
        max_waiting_calls: usize::MAX,
        ..MANNER
    };
    let size = Size {
        drain_grace,
        ..Size::said_to_be(many())
    };
    let fleet = Fleet::start_among(size, manner, |_, lists| {
        if !had_answer {
            refuse_at_once(lists);
        }
    });
    if had_answer {
        fleet.all_told();
        refuse_at_once(&fleet.lists);
    }
    std::thread::sleep(OUTAGE);
    let back = return_with_a_queue(&fleet.lists);
    judge(&fleet, back);
}
