//! Requests went to servers that had begun to drain, up to half a minute after an outage of discovery was over.
//!
//! While discovery was down it answered each call with 503 two seconds after the call came, just as it does when it has too many
//! callers. Each instance took that for overload and doubled its wait, to 0.32 s for each instance of the fleet: 13 s among 40,
//! 36 s among 169. Discovery was back meanwhile and listed drains that nobody asked for. The log of one of the instances:
//!
//! ```text
//! 3.846 discovery at ...: answered 503 Service Unavailable, after 2000 ms; list is 3821 ms old
//! 3.846 next call to discovery in 5073 ms
//! 10.923 discovery at ...: answered 503 Service Unavailable, after 2001 ms; list is 10897 ms old
//! 10.923 next call to discovery in 6319 ms
//! ```
//!
//! From the beginning of one call to the next may be 8 s: a change counts as told 6 s after discovery had it and could be reached,
//! the grace is 3 s, and an answer may take one.

use super::{DiscoveryBehavior, Fleet, MANNER, Size, many, millis};
use crate::told::{GRACE_OVER, drain, judge};
use madderloom_fault_testing::RejectTiming;
use std::time::{Duration, Instant};

/// Discovery refuses a call after this, whether it is down or has too many callers.
const REFUSED_AFTER: Duration = millis(2_000);
/// How long a call to a discovery that is back may take.
const ANSWERED: Duration = millis(1_000);

/// Discovery is down for so long. A server begins to drain in the moment in which it is back, which is returned.
fn outage(fleet: &Fleet, lasts: Duration) -> Instant {
    fleet.lists.reject_calls(REFUSED_AFTER);
    std::thread::sleep(lasts);
    drain(fleet);
    fleet.lists.accept_calls();
    Instant::now()
}

#[test]
fn a_drain_is_heard_of_in_time_behind_an_outage_in_which_calls_were_refused() {
    let fleet = Fleet::start_among(Size::said_to_be(169), MANNER, |_, _| ());
    let load = fleet.load();
    fleet.all_told();
    std::thread::sleep(millis(1_500));
    let back = outage(&fleet, millis(20_000));
    std::thread::sleep(GRACE_OVER + millis(3_000));
    fleet.judge(&load.stop(), false);
    judge(&fleet, back);
}

/// The same, of a discovery that needs 0.1 s for each call: among sixty it is busy for 6 s once it is back, and behind two
/// seconds of work that is waiting it refuses. All have the list, and none sends to a server that drains, as if it were fast.
#[test]
fn a_drain_is_heard_of_in_time_from_a_discovery_that_all_have_to_wait_for() {
    let manner = DiscoveryBehavior {
        work_per_call: millis(20),
        max_waiting_calls: 10_000,
        ..MANNER
    };
    let fleet = Fleet::start(manner, |_, _| ());
    let load = fleet.load();
    fleet.all_told();
    fleet
        .lists
        .set_behavior(|manner| manner.work_per_call = millis(100));
    fleet
        .lists
        .set_call_timeout(REFUSED_AFTER, RejectTiming::AtDeadline);
    let back = outage(&fleet, millis(15_000));
    while fleet.lists.notified_watches() != many() && back.elapsed() < GRACE_OVER + ANSWERED {
        std::thread::sleep(millis(20));
    }
    let (told, took) = (fleet.lists.notified_watches(), back.elapsed());
    eprintln!("{told} have the list {took:.1?} behind the outage");
    std::thread::sleep((back + GRACE_OVER + millis(2_000)).duration_since(Instant::now()));
    fleet.judge(&load.stop(), false);
    judge(&fleet, back);
    assert_eq!(told, many(), "have the list {took:?} behind the outage");
}
