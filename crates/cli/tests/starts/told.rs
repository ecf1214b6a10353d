//! What discovery has to tell counts as told 6 s after it had it and could be reached, and from the end of the grace on nothing
//! new goes to a server that drains: whatever became of watches and calls before.

use super::{Fleet, MANNER, Size, ZONES, millis};
use madderloom_fault_testing::{Arrivals, FaultAction};
use std::time::{Duration, Instant};

/// Told, and the grace of the settings, and the protocol's slack on it.
pub(super) const GRACE_OVER: Duration = millis(6_000 + 3_000 + 50);

fn on_all_links(fleet: &mut Fleet, act: FaultAction) {
    ZONES
        .iter()
        .for_each(|zone| fleet.stage.apply(&format!("{zone}>lists"), act));
}

/// The first of the new servers drains from now on, by a list of this version.
pub(super) fn drain(fleet: &Fleet) {
    let all: Vec<_> = fleet.servers.iter().collect();
    fleet.lists.publish(3, &all, &["w3"]);
}

pub(super) fn judge(fleet: &Fleet, from: Instant) {
    let server = &fleet.servers[3];
    assert!(
        !server.request_counts().is_empty(),
        "it had requests before"
    );
    let late = Arrivals::of_servers([server])
        .since(from + GRACE_OVER)
        .len();
    assert_eq!(
        late, 0,
        "{late} requests went to a server that drains, behind its grace"
    );
}

/// All watches are stalled at once, as they are where something on the way forgets its connections; calls go through.
#[test]
fn behind_watches_that_fell_silent_together_a_drain_is_heard_of_in_time() {
    // All of a fleet of 300 would call, of which these are some.
    let mut fleet = Fleet::start_among(Size::said_to_be(300), MANNER, |_, _| ());
    let load = fleet.load();
    fleet.all_told();
    std::thread::sleep(millis(1_500));
    on_all_links(&mut fleet, FaultAction::HoldExisting);
    let from = Instant::now();
    drain(&fleet);
    std::thread::sleep(GRACE_OVER + millis(3_000));
    fleet.judge(&load.stop(), false);
    judge(&fleet, from);
}

/// Discovery is out of reach for so long that each has called again and again. The drain is listed meanwhile.
#[test]
fn a_drain_is_heard_of_in_time_once_discovery_is_back_in_reach() {
    let mut fleet = Fleet::start(MANNER, |_, _| ());
    let load = fleet.load();
    fleet.all_told();
    std::thread::sleep(millis(1_500));
    on_all_links(&mut fleet, FaultAction::Cut);
    std::thread::sleep(millis(16_000));
    drain(&fleet);
    // New connections go on; the old ones have lost bytes and stay silent for good.
    on_all_links(&mut fleet, FaultAction::Heal);
    let from = Instant::now();
    std::thread::sleep(GRACE_OVER + millis(3_000));
    fleet.judge(&load.stop(), false);
    judge(&fleet, from);
}
