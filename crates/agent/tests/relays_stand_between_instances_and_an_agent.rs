//! Relays over real sockets and TLS: instances behind them are changed once each, and keep their sessions while the agent
//! is away.

mod common;

use common::{Rig, TestRelay, Toy, change, push, run};
use madderloom_control_plane::settings::{Key, Value};
use std::time::{Duration, Instant};

/// Relays of a test.
const RELAYS: usize = 3;
/// Instances behind each.
const EACH: usize = 8;
/// Within so long all instances are known to an agent that has started again.
const BACK: Duration = Duration::from_secs(5);

/// An agent, three relays, and eight instances behind each.
async fn tree(rig: &mut Rig) -> (Vec<TestRelay>, Vec<Toy>) {
    let mut relays = Vec::new();
    for number in 0..RELAYS {
        relays.push(
            rig.start_relay(&format!("zone-{number}"), "127.0.0.1:0")
                .await,
        );
    }
    let toys: Vec<Toy> = (0..RELAYS * EACH).map(|_| Toy::default()).collect();
    for (number, toy) in toys.iter().enumerate() {
        rig.start_instance_at(&relays[number % RELAYS].address, number, toy);
    }
    until_alive(rig).await;
    (relays, toys)
}

async fn until_alive(rig: &Rig) {
    rig.until("all are alive", |status| {
        status.instances.get("alive") == Some(&(RELAYS * EACH))
    })
    .await;
}

fn weight(toy: &Toy, server: &str) -> Option<Value> {
    toy.0
        .borrow()
        .overlay
        .0
        .get(&Key::Weight(server.into()))
        .cloned()
}

fn registrations(toys: &[Toy]) -> usize {
    toys.iter().map(|toy| toy.0.borrow().registrations).sum()
}

/// Pushes a change, and checks that each instance has it, by one order.
async fn change_all(rig: &Rig, toys: &[Toy], id: &str, base: u64, value: u32) {
    let before: Vec<usize> = toys.iter().map(|toy| toy.0.borrow().taken).collect();
    push(&rig.client("alice"), &change(id, base, "w7", value))
        .await
        .expect("accepted");
    let rollout = rig.ended(id).await;
    assert!(
        rollout.is_applied() && rollout.results.len() == toys.len(),
        "{rollout:?}"
    );
    assert!(
        toys.iter()
            .all(|toy| weight(toy, "w7") == Some(Value::Weight(value)))
    );
    let once = toys
        .iter()
        .zip(before)
        .all(|(toy, before)| toy.0.borrow().taken == before + 1);
    assert!(once, "each order is carried out once");
}

#[test]
fn a_change_reaches_each_instance_once_and_the_agent_has_two_connections_for_each_relay() {
    run(async {
        let mut rig = Rig::new().await;
        let (_relays, toys) = tree(&mut rig).await;
        change_all(&rig, &toys, "slow-w7", 0, 200).await;
        let status = rig.status().await.expect("it answers");
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
fn instances_keep_their_sessions_while_the_agent_is_away_and_it_has_all_of_them_at_once_again() {
    run(async {
        let mut rig = Rig::new().await;
        let (relays, toys) = tree(&mut rig).await;
        change_all(&rig, &toys, "before", 0, 200).await;
        let registered = registrations(&toys);
        rig.kill_agent().await;
        for relay in &relays {
            let alone = |count| {
                move |view: &madderloom_agent::relay::RelayView| {
                    !view.relay.is_connected && view.relay.answered_locally >= count
                }
            };
            // Each instance has reported three times meanwhile, and was answered.
            rig.until_relay(
                relay,
                "reports are answered without the agent",
                alone(3 * EACH as u64),
            )
            .await;
        }
        let begin = Instant::now();
        rig.start_agent().await;
        until_alive(&rig).await;
        assert!(
            begin.elapsed() < BACK,
            "all back after {:?}",
            begin.elapsed()
        );
        change_all(&rig, &toys, "after", 1, 300).await;
        assert_eq!(
            registrations(&toys),
            registered,
            "no instance has registered again"
        );
    });
}

#[test]
fn an_agent_that_has_lost_its_state_gets_all_instances_from_their_relays() {
    run(async {
        let mut rig = Rig::new().await;
        let (_relays, toys) = tree(&mut rig).await;
        let registered = registrations(&toys);
        let term = rig.status().await.expect("it answers").term;
        rig.kill_agent().await;
        rig.lose_state(term);
        let begin = Instant::now();
        rig.start_agent().await;
        until_alive(&rig).await;
        assert!(
            begin.elapsed() < BACK,
            "all back after {:?}",
            begin.elapsed()
        );
        change_all(&rig, &toys, "after", 0, 300).await;
        assert_eq!(
            registrations(&toys),
            registered,
            "no instance has registered again"
        );
    });
}

#[test]
fn instances_of_a_relay_that_dies_are_back_by_the_one_in_its_place_or_by_another() {
    run(async {
        let mut rig = Rig::new().await;
        let (mut relays, toys) = tree(&mut rig).await;
        let dead = relays.remove(0);
        let (name, address) = (dead.name.clone(), dead.address.clone());
        dead.kill().await;
        // A change made meanwhile is in effect where its instances are reached.
        push(&rig.client("alice"), &change("meanwhile", 0, "w7", 200))
            .await
            .expect("accepted");
        let replacement = rig.start_relay(&name, &address).await;
        let rollout = rig.ended("meanwhile").await;
        assert!(rollout.is_applied(), "{rollout:?}");
        assert!(
            toys.iter()
                .all(|toy| weight(toy, "w7") == Some(Value::Weight(200)))
        );
        rig.until_relay(&replacement, "it has its instances", |view| {
            view.relay.registered == EACH
        })
        .await;

        // One of them moves to another relay: it is the same instance, and has the next change once.
        let moved = Toy(toys[0].0.clone());
        rig.kill_instance(0);
        rig.start_instance_at(&relays[0].address, 0, &moved);
        rig.until_relay(&relays[0], "it has one more", |view| {
            view.relay.registered == EACH + 1
        })
        .await;
        until_alive(&rig).await;
        change_all(&rig, &toys, "afterwards", 1, 300).await;
    });
}

#[test]
fn a_relay_in_the_place_of_one_that_still_serves_takes_its_instances_one_by_one() {
    run(async {
        let mut rig = Rig::new().await;
        let (relays, toys) = tree(&mut rig).await;
        // Of the same name, at another address: a replacement that its instances are led to.
        let second = rig.start_relay(&relays[0].name, "127.0.0.1:0").await;
        for place in (0..toys.len()).step_by(2 * RELAYS) {
            let moved = Toy(toys[place].0.clone());
            rig.kill_instance(place);
            rig.start_instance_at(&second.address, place, &moved);
        }
        let half = EACH / 2;
        rig.until_relay(&second, "half of them have come", |view| {
            view.relay.registered == half
        })
        .await;
        until_alive(&rig).await;
        change_all(&rig, &toys, "both", 0, 200).await;
        rig.until_relay(&relays[0], "it has forgotten them", |view| {
            view.relay.children == half
        })
        .await;
        change_all(&rig, &toys, "both-again", 1, 300).await;
    });
}

/// Another relay answers what an agent of a former version does: that there is no such path.
#[test]
fn an_agent_that_does_not_know_relays_is_left_alone_and_instances_are_told_to_come_later() {
    run(async {
        let mut rig = Rig::new().await;
        let first = rig.start_relay("zone-0", "127.0.0.1:0").await;
        let second = rig
            .start_relay_below(&first.address, "zone-1", "127.0.0.1:0")
            .await;
        let toy = Toy::default();
        rig.start_instance_at(&second.address, 0, &toy);
        let begin = Instant::now();
        while toy.0.borrow().registrations < 2 {
            assert!(
                begin.elapsed() < Duration::from_secs(30),
                "it never comes again"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let view = rig.relay_view(&second).await.expect("it answers");
        assert!(
            !view.relay.is_connected && view.relay.registered == 0,
            "{view:?}"
        );
        rig.until("the agent has heard of nobody", |status| {
            status.instances.values().all(|count| *count == 0)
        })
        .await;
    });
}

/// Its certificate is not good for the name that it speaks for.
#[test]
fn a_relay_speaks_for_those_names_alone_that_its_certificate_is_good_for() {
    run(async {
        let rig = Rig::new().await;
        let client = rig.client("shop-any");
        let batch =
            r#"{"messages":[{"register":{"who":{"name":"till-1","start":1,"incarnation":1}}}]}"#;
        let path = "/v1/relays/zone-0/batch?start=5";
        let answer = client
            .ask(hyper::Method::POST, path, batch.into())
            .await
            .expect("it answers");
        assert_eq!(answer.status, hyper::StatusCode::FORBIDDEN, "{answer:?}");
        let viewer = rig.client("vic");
        let batch = batch.replace("till-1", "shop-1");
        let answer = viewer
            .ask(hyper::Method::POST, path, batch.clone().into())
            .await
            .expect("it answers");
        assert_eq!(answer.status, hyper::StatusCode::FORBIDDEN, "{answer:?}");
        let answer = client
            .ask(hyper::Method::POST, path, batch.into())
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
