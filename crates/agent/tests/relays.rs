//! Relays between instances and an agent, over real sockets and TLS: each instance gets a change once, and sessions survive
//! while the agent is down.

mod common;

use common::change::{change, push};
use common::fleet::TestFleet;
use common::instance::TestInstance;
use common::relay::TestRelay;
use common::{PATIENCE, run, wait_until};
use madderloom_agent::relay::RelayView;
use madderloom_control_plane::settings::Value;
use std::time::{Duration, Instant};

/// The relays of a test.
const RELAYS: usize = 3;
/// The instances behind each relay.
const EACH: usize = 8;
/// The time within which an agent that has started again knows all instances.
const RECOVERY_TIME: Duration = Duration::from_secs(5);

/// An agent, three relays, and eight instances behind each.
async fn start_tree(fleet: &mut TestFleet) -> (Vec<TestRelay>, Vec<TestInstance>) {
    let mut relays = Vec::new();
    for number in 0..RELAYS {
        relays.push(
            fleet
                .start_relay(&format!("zone-{number}"), "127.0.0.1:0")
                .await,
        );
    }
    let instances: Vec<TestInstance> = (0..RELAYS * EACH)
        .map(|_| TestInstance::default())
        .collect();
    for (number, instance) in instances.iter().enumerate() {
        fleet.start_instance_at(&relays[number % RELAYS].address, number, instance);
    }
    fleet.wait_until_alive(RELAYS * EACH).await;
    (relays, instances)
}

fn registrations(instances: &[TestInstance]) -> usize {
    instances
        .iter()
        .map(|instance| instance.0.borrow().registrations)
        .sum()
}

/// Pushes a change, and checks that each instance has it, by one order.
async fn push_to_all(
    fleet: &TestFleet,
    instances: &[TestInstance],
    id: &str,
    base: u64,
    value: u32,
) {
    let before: Vec<usize> = instances
        .iter()
        .map(|instance| instance.0.borrow().orders)
        .collect();
    push(&fleet.client("alice"), &change(id, base, "w7", value))
        .await
        .expect("accepted");
    let rollout = fleet.rollout_ended(id).await;
    assert!(
        rollout.is_applied() && rollout.targets.len() == instances.len(),
        "{rollout:?}"
    );
    assert!(
        instances
            .iter()
            .all(|instance| instance.weight("w7") == Some(Value::Weight(value)))
    );
    let once = instances
        .iter()
        .zip(before)
        .all(|(instance, before)| instance.0.borrow().orders == before + 1);
    assert!(once, "each order is carried out once");
}

#[test]
fn a_change_reaches_each_instance_once_and_the_agent_has_two_connections_for_each_relay() {
    run(async {
        let mut fleet = TestFleet::new().await;
        let (_relays, instances) = start_tree(&mut fleet).await;
        push_to_all(&fleet, &instances, "slow-w7", 0, 200).await;
        let status = fleet.status().await.expect("it answers");
        let behind: Vec<usize> = status.relays.values().copied().collect();
        assert_eq!(behind, [EACH; RELAYS], "{:?}", status.relays);
        // One of the operator who asks, and those of the operators of this test that are not closed yet.
        assert!(
            status.traffic.connections as usize <= 2 * RELAYS + 4,
            "{:?}",
            status.traffic
        );
    });
}

#[test]
fn sessions_survive_while_the_agent_is_down_and_it_knows_all_instances_at_once_when_it_returns() {
    run(async {
        let mut fleet = TestFleet::new().await;
        let (relays, instances) = start_tree(&mut fleet).await;
        push_to_all(&fleet, &instances, "before", 0, 200).await;
        let registered = registrations(&instances);
        fleet.kill_agent().await;
        for relay in &relays {
            let alone = |count| {
                move |view: &RelayView| {
                    !view.status.is_connected && view.status.answered_alone >= count
                }
            };
            // Each instance has reported three times meanwhile, and was answered.
            fleet
                .wait_for_relay(
                    relay,
                    "reports are answered without the agent",
                    alone(3 * EACH as u64),
                )
                .await;
        }
        let begin = Instant::now();
        fleet.start_agent().await;
        fleet.wait_until_alive(RELAYS * EACH).await;
        assert!(
            begin.elapsed() < RECOVERY_TIME,
            "all back after {:?}",
            begin.elapsed()
        );
        push_to_all(&fleet, &instances, "after", 1, 300).await;
        assert_eq!(
            registrations(&instances),
            registered,
            "no instance has registered again"
        );
    });
}

#[test]
fn an_agent_that_has_lost_its_state_gets_all_instances_from_their_relays() {
    run(async {
        let mut fleet = TestFleet::new().await;
        let (_relays, instances) = start_tree(&mut fleet).await;
        let registered = registrations(&instances);
        let term = fleet.status().await.expect("it answers").term;
        fleet.kill_agent().await;
        fleet.lose_records(term);
        let begin = Instant::now();
        fleet.start_agent().await;
        fleet.wait_until_alive(RELAYS * EACH).await;
        assert!(
            begin.elapsed() < RECOVERY_TIME,
            "all back after {:?}",
            begin.elapsed()
        );
        push_to_all(&fleet, &instances, "after", 0, 300).await;
        assert_eq!(
            registrations(&instances),
            registered,
            "no instance has registered again"
        );
    });
}

#[test]
fn instances_of_a_killed_relay_return_through_its_replacement_or_another_relay() {
    run(async {
        let mut fleet = TestFleet::new().await;
        let (mut relays, instances) = start_tree(&mut fleet).await;
        let dead = relays.remove(0);
        let (name, address) = (dead.name.clone(), dead.address.clone());
        dead.kill().await;
        // A change made meanwhile is in effect where its instances are reached.
        push(&fleet.client("alice"), &change("meanwhile", 0, "w7", 200))
            .await
            .expect("accepted");
        let replacement = fleet.start_relay(&name, &address).await;
        let rollout = fleet.rollout_ended("meanwhile").await;
        assert!(rollout.is_applied(), "{rollout:?}");
        assert!(
            instances
                .iter()
                .all(|instance| instance.weight("w7") == Some(Value::Weight(200)))
        );
        fleet
            .wait_for_relay(&replacement, "it has its instances", |view| {
                view.status.registered == EACH
            })
            .await;

        // One of them moves to another relay: it is the same instance, and has the next change once.
        let moved = TestInstance(instances[0].0.clone());
        fleet.kill_instance(0);
        fleet.start_instance_at(&relays[0].address, 0, &moved);
        fleet
            .wait_for_relay(&relays[0], "it has one more", |view| {
                view.status.registered == EACH + 1
            })
            .await;
        fleet.wait_until_alive(RELAYS * EACH).await;
        push_to_all(&fleet, &instances, "afterwards", 1, 300).await;
    });
}

#[test]
fn instances_move_one_by_one_to_a_replacement_while_the_former_relay_still_serves() {
    run(async {
        let mut fleet = TestFleet::new().await;
        let (relays, instances) = start_tree(&mut fleet).await;
        // Of the same name, at another address: a replacement that its instances are led to.
        let second = fleet.start_relay(&relays[0].name, "127.0.0.1:0").await;
        for place in (0..instances.len()).step_by(2 * RELAYS) {
            let moved = TestInstance(instances[place].0.clone());
            fleet.kill_instance(place);
            fleet.start_instance_at(&second.address, place, &moved);
        }
        let half = EACH / 2;
        fleet
            .wait_for_relay(&second, "half of them have come", |view| {
                view.status.registered == half
            })
            .await;
        fleet.wait_until_alive(RELAYS * EACH).await;
        push_to_all(&fleet, &instances, "both", 0, 200).await;
        fleet
            .wait_for_relay(&relays[0], "it has forgotten them", |view| {
                view.status.children == half
            })
            .await;
        push_to_all(&fleet, &instances, "both-again", 1, 300).await;
    });
}

/// Another relay stands in for an agent of an earlier version: both answer that there is no such path.
#[test]
fn instances_are_told_to_retry_later_behind_a_relay_whose_agent_does_not_support_relays() {
    run(async {
        let mut fleet = TestFleet::new().await;
        let first = fleet.start_relay("zone-0", "127.0.0.1:0").await;
        let second = fleet
            .start_relay_below(&first.address, "zone-1", "127.0.0.1:0")
            .await;
        let instance = TestInstance::default();
        fleet.start_instance_at(&second.address, 0, &instance);
        let observe = async || instance.0.borrow().registrations;
        wait_until("it tries again", PATIENCE, observe, |count| *count >= 2).await;
        let view = fleet.relay_view(&second).await.expect("it answers");
        assert!(
            !view.status.is_connected && view.status.registered == 0,
            "{view:?}"
        );
        fleet
            .wait_for_status("the agent has heard of nobody", |status| {
                status.instances.values().all(|count| *count == 0)
            })
            .await;
    });
}

#[test]
fn a_relay_may_only_register_names_that_its_certificate_is_valid_for() {
    run(async {
        let fleet = TestFleet::new().await;
        let client = fleet.client("shop-any");
        let batch =
            r#"{"messages":[{"register":{"who":{"name":"till-1","start":1,"incarnation":1}}}]}"#;
        let path = "/v1/relays/zone-0/batch?start=5";
        let answer = client
            .send(hyper::Method::POST, path, batch.into())
            .await
            .expect("it answers");
        assert_eq!(answer.status, hyper::StatusCode::FORBIDDEN, "{answer:?}");
        let viewer = fleet.client("vic");
        let batch = batch.replace("till-1", "shop-1");
        let answer = viewer
            .send(hyper::Method::POST, path, batch.clone().into())
            .await
            .expect("it answers");
        assert_eq!(answer.status, hyper::StatusCode::FORBIDDEN, "{answer:?}");
        let answer = client
            .send(hyper::Method::POST, path, batch.into())
            .await
            .expect("it answers");
        assert_eq!(answer.status, hyper::StatusCode::OK, "{answer:?}");
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        assert!(
            text.contains("welcome") && text.contains("shop-1"),
            "{text}"
        );
    });
}
