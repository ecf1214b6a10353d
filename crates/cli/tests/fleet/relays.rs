//! Relays as processes between real sidecars and an agent: what a region that is cut off has, and what the heal brings.

use crate::many::Fleet;
use madderloom_fault_testing::{FaultAction, LoadGenerator, Server, verify_results, wait_until};
use std::time::Duration;

const ZONES: [&str; 3] = ["north", "south", "east"];
/// Sidecars of each zone.
const EACH: usize = 4;
/// Long enough for a change to end while instances that are cut off still have their names.
const LEASES: &str =
    "report = \"300ms\"\nlease = \"6s\"\ngrace = \"20s\"\n[registrations]\nhorizon = \"1s\"\n";
const SITE: &str = r#"{"group_size": 1, "my_zone": 0, "period": 5000, "discovery": "automatic",
    "services": [{"name": "submit", "effect": "unsafe", "on_time": 2000000, "give_up": 6000000, "worth": 10,
    "key_scope": "all", "window": 4000000}],
    "limits": {"cancel": true, "max_attempts": 3, "retry_after": true, "max_retry_after": 2000000},
    "safety": {"cold": 1000000, "cold_from": 0.3, "fall": 1000000}}"#;
const AT_ONCE: &str =
    "waves = []\npause = \"0\"\nsilence = \"3s\"\nat_once = 1000\nfailures = 1000";

/// An agent, a relay in each of three zones, and four sidecars behind each.
fn tree() -> Fleet {
    let servers = (0..3)
        .map(|n| Server::with_service_time(&format!("w{n}"), Duration::from_millis(5)))
        .collect();
    let mut fleet = Fleet::found(LEASES, servers, SITE);
    for zone in ZONES {
        fleet.add_relay(zone, "[children]\nlease = \"3s\"\nanswer = \"500ms\"\n");
    }
    let pool = format!("servers = [{}]", fleet.rig.entries());
    for number in 0..ZONES.len() * EACH {
        let zone = ZONES[number % ZONES.len()];
        fleet.add(
            &format!("{zone}-{number}"),
            &format!("shop-{number}"),
            "",
            &pool,
        );
    }
    fleet.rig.until_alive(ZONES.len() * EACH);
    fleet
}

/// Requests were served on, and none was lost.
fn judge(fleet: &Fleet, load: LoadGenerator) {
    let got = load.stop();
    assert_eq!(
        verify_results(&got, &fleet.rig.servers, false),
        got.len(),
        "not all requests were served"
    );
}

fn push(fleet: &Fleet, id: &str, set: &str) {
    let pushed = fleet.rig.push(id, AT_ONCE, set);
    assert!(
        pushed.status.success(),
        "{}",
        String::from_utf8_lossy(&pushed.stderr)
    );
}

/// How many instances have each outcome.
fn results(fleet: &Fleet, id: &str) -> (usize, usize) {
    let results = fleet.rig.ended(id);
    let count = |state: &str| {
        results
            .values()
            .filter(|result| result["state"] == state)
            .count()
    };
    (count("applied"), count("failed"))
}

fn registrations(fleet: &Fleet) -> usize {
    let log = fleet.stage.program("agent").log();
    log.iter().filter(|line| line.contains("joining")).count()
}

#[test]
fn a_region_that_is_cut_off_serves_on_and_has_what_it_lacks_soon_after_the_heal() {
    let mut fleet = tree();
    let load = fleet.load();
    push(&fleet, "before", "\"weight/w0\" = 0.5");
    assert_eq!(results(&fleet, "before"), (12, 0));
    fleet.stage.apply("relay-north>agent", FaultAction::Cut);
    // The change goes on without the region, and one that was undone meanwhile never reaches it.
    push(&fleet, "meanwhile", "\"weight/w1\" = 0.5");
    assert_eq!(results(&fleet, "meanwhile"), (8, 4));
    push(&fleet, "regretted", "\"weight/w2\" = 0.5");
    assert_eq!(results(&fleet, "regretted"), (8, 4));
    fleet
        .rig
        .told("alice", &["rollout", "undo", "regretted"], 0);
    fleet.stage.apply("relay-north>agent", FaultAction::Heal);
    fleet.rig.until_alive(12);
    for instance in fleet.rig.listed() {
        assert_eq!(instance["in_line"], true, "{instance}");
    }
    judge(&fleet, load);
}

#[test]
fn an_agent_and_then_a_relay_are_killed_and_all_instances_are_back() {
    let mut fleet = tree();
    let load = fleet.load();
    fleet.stage.apply("agent", FaultAction::Kill);
    // Each has reported meanwhile, and was told that it keeps its name.
    std::thread::sleep(Duration::from_secs(1));
    fleet.stage.apply("agent", FaultAction::Start);
    fleet.rig.until_alive(12);
    assert_eq!(registrations(&fleet), 0, "no instance has registered again");
    fleet.stage.apply("relay-south", FaultAction::Kill);
    fleet.stage.apply("relay-south", FaultAction::Start);
    wait_until("each relay has its instances", || {
        let told = fleet.rig.told("vic", &["top", "--once"], 0);
        told.contains("behind relays: relay-east 4, relay-north 4, relay-south 4")
            .then_some(())
    });
    fleet.rig.until_alive(12);
    push(&fleet, "after", "\"weight/w0\" = 0.5");
    assert_eq!(results(&fleet, "after"), (12, 0));
    judge(&fleet, load);
}

/// An agent that lost its state begins with the first term again, and is told by the relays that there was a later one.
#[test]
fn an_agent_of_an_earlier_term_stands_down_when_a_relay_comes_to_it() {
    let mut fleet = tree();
    fleet.stage.apply("agent", FaultAction::Kill);
    fleet.stage.apply("agent", FaultAction::Start);
    fleet.rig.until_alive(12);
    fleet.stage.apply("agent", FaultAction::Kill);
    fleet.stage.apply("agent", FaultAction::StartWithoutState);
    fleet
        .stage
        .program("agent")
        .wait_for("no more orders are issued");
    fleet
        .stage
        .program("relay-east")
        .wait_for("it is of an earlier term than one that is known");
    // The operator says that the former one is gone.
    fleet.stage.apply("agent", FaultAction::Kill);
    let file = fleet.rig.at("agent.toml");
    let text = std::fs::read_to_string(&file).expect("written");
    std::fs::write(&file, format!("term_above = 5\n{text}")).expect("written");
    fleet.stage.apply("agent", FaultAction::Start);
    fleet.rig.until_alive(12);
    push(&fleet, "after", "\"weight/w0\" = 0.5");
    assert_eq!(results(&fleet, "after"), (12, 0));
}

/// A relay that is stopped for longer than all leases, and goes on with what it had.
#[test]
fn a_relay_that_stood_still_goes_on_and_its_instances_have_what_changed_meanwhile() {
    let mut fleet = tree();
    fleet.stage.apply("relay-east", FaultAction::Stop);
    push(&fleet, "meanwhile", "\"weight/w1\" = 0.5");
    assert_eq!(results(&fleet, "meanwhile"), (8, 4));
    // With the change's 3 s that is longer than a lease at the agent, and longer than one at the relay.
    std::thread::sleep(Duration::from_secs(4));
    fleet.stage.apply("relay-east", FaultAction::Continue);
    fleet.rig.until_alive(12);
}
