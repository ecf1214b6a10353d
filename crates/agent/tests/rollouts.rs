//! Rollouts to instances over real sockets: a change ends as applied, rejected or failed at each of them, and what they have
//! in effect is what the agent shows.

mod common;

use common::change::{change, push};
use common::fleet::TestFleet;
use common::{run, wait_until};
use hyper::Method;
use madderloom_agent::ClientError;
use madderloom_agent::view::{InstanceView, TargetState, TargetView};
use madderloom_control_plane::change::Then;
use madderloom_control_plane::gate::{Counts, GateRule};
use madderloom_control_plane::rollout::End;
use madderloom_control_plane::settings::{Key, Value};
use madderloom_control_plane::{Accepted, Declined};
use std::time::Duration;

/// The time limit of what these tests wait for.
const PATIENCE: Duration = Duration::from_secs(20);

#[test]
fn a_change_is_applied_everywhere_once_and_undone() {
    run(async {
        let mut fleet = TestFleet::new().await;
        let instances = fleet.start_instances(20).await;
        let alice = fleet.client("alice");
        let change = change("slow-w7", 0, "w7", 200);
        let accepted = push(&alice, &change).await.expect("accepted");
        assert_eq!(
            accepted,
            Accepted {
                id: "slow-w7".into(),
                revision: 1,
                repeat: false
            }
        );
        let rollout = fleet.rollout_ended("slow-w7").await;
        assert!(
            rollout.is_applied() && rollout.targets.len() == 20,
            "{rollout:?}"
        );
        assert!(
            instances
                .iter()
                .all(|instance| instance.weight("w7") == Some(Value::Weight(200)))
        );
        // The same again changes nothing and says the same.
        assert!(push(&alice, &change).await.expect("known").repeat);
        assert!(
            instances
                .iter()
                .all(|instance| instance.0.borrow().orders == 1)
        );

        let undone: Accepted = alice
            .request(Method::POST, "/v1/rollouts/slow-w7/undo", vec![])
            .await
            .expect("undone");
        let rollout = fleet.rollout_ended(&undone.id).await;
        assert!(
            rollout.is_applied() && rollout.targets.len() == 20,
            "{rollout:?}"
        );
        assert!(
            instances
                .iter()
                .all(|instance| instance.weight("w7").is_none())
        );
        let audit = fleet.audit_log();
        assert!(
            audit
                .iter()
                .all(|line| line["who"] == "alice" && line["role"] == "operate"),
            "{audit:?}"
        );
        let outcomes: Vec<&str> = audit
            .iter()
            .filter_map(|line| line["outcome"].as_str())
            .collect();
        assert!(
            outcomes.contains(&"accepted as revision 1")
                && outcomes.contains(&"accepted as revision 2")
        );
    });
}

#[test]
fn a_change_that_an_instance_rejects_is_taken_back_from_all() {
    run(async {
        let mut fleet = TestFleet::new().await;
        let instances = fleet.start_instances(20).await;
        for instance in &instances[5..7] {
            instance.0.borrow_mut().rejects = Some(Key::Weight("w7".into()));
        }
        push(&fleet.client("alice"), &change("slow-w7", 0, "w7", 200))
            .await
            .expect("accepted");
        let rollout = fleet.rollout_ended("slow-w7").await;
        assert_eq!(rollout.end, Some(End::TakenBack), "{rollout:?}");
        let refused: Vec<_> = rollout
            .targets
            .iter()
            .filter(|(_, result)| result.state == TargetState::Rejected)
            .collect();
        assert!((1..=2).contains(&refused.len()), "{refused:?}");
        let told = |result: &TargetView| {
            result
                .reason
                .as_ref()
                .is_some_and(|why| why.starts_with("set.weight/w7: "))
        };
        assert!(
            refused.iter().all(
                |(name, result)| ["shop-5", "shop-6"].contains(&name.as_str()) && told(result)
            )
        );
        assert!(rollout.targets.values().all(|result| {
            [
                TargetState::Applied,
                TargetState::Rejected,
                TargetState::Failed,
            ]
            .contains(&result.state)
        }));
        assert!(
            instances
                .iter()
                .all(|instance| instance.weight("w7").is_none())
        );
    });
}

#[test]
fn a_change_that_raises_the_error_rate_is_taken_back_after_the_first_wave() {
    run(async {
        let mut fleet = TestFleet::new().await;
        let instances = fleet.start_instances(20).await;
        for instance in &instances {
            let mut instance = instance.0.borrow_mut();
            instance.counts = Counts { ended: 400, bad: 4 };
            instance.hurt_by = Some(Key::Weight("w7".into()));
        }
        // Their figures are with the agent before the change begins.
        let all_counted = |instances: &Vec<InstanceView>| {
            let mut ended = instances.iter().map(|view| view.request_counts.ended);
            ended.all(|ended| ended == 400)
        };
        let observe = async || fleet.instances().await;
        wait_until("their counts arrive", PATIENCE, observe, all_counted).await;
        let mut change = change("slow-w7", 0, "w7", 200);
        change.rollout.pause = 500_000;
        change.rollout.gate = Some(GateRule::default());
        push(&fleet.client("alice"), &change)
            .await
            .expect("accepted");
        let rollout = fleet.rollout_ended("slow-w7").await;
        assert_eq!(rollout.end, Some(End::TakenBack), "{rollout:?}");
        assert!(
            rollout
                .reason
                .as_ref()
                .is_some_and(|why| why.starts_with("it hurts")),
            "{rollout:?}"
        );
        assert_eq!(
            rollout.target_counts.get(&TargetState::Applied),
            Some(&4),
            "{rollout:?}"
        );
        assert!(
            instances
                .iter()
                .all(|instance| instance.weight("w7").is_none())
        );
    });
}

#[test]
fn a_rollout_goes_on_after_the_agent_was_killed_and_all_instances_register_again() {
    run(async {
        let mut fleet = TestFleet::new().await;
        let instances = fleet.start_instances(20).await;
        let mut change = change("slow-w7", 0, "w7", 200);
        change.rollout.pause = 300_000;
        push(&fleet.client("alice"), &change)
            .await
            .expect("accepted");
        for _ in 0..2 {
            fleet.kill_agent().await;
            fleet.start_agent().await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        let rollout = fleet.rollout_ended("slow-w7").await;
        assert!(
            rollout.is_applied() && rollout.targets.len() == 20,
            "{rollout:?}"
        );
        assert!(
            instances
                .iter()
                .all(|instance| instance.weight("w7") == Some(Value::Weight(200)))
        );
        assert!(
            instances
                .iter()
                .all(|instance| instance.0.borrow().orders == 1),
            "a repeat changes nothing"
        );
        fleet
            .wait_for_status("all came back", |status| {
                status.instances.get("alive") == Some(&20) && status.term == 3
            })
            .await;
    });
}

#[test]
fn an_unreachable_instance_fails_and_gets_the_change_when_it_returns() {
    run(async {
        let mut fleet = TestFleet::new().await;
        let instances = fleet.start_instances(4).await;
        fleet.kill_instance(2);
        let mut change = change("slow-w7", 0, "w7", 200);
        (change.rollout.silence, change.rollout.failures) = (700_000, 1);
        push(&fleet.client("alice"), &change)
            .await
            .expect("accepted");
        let rollout = fleet.rollout_ended("slow-w7").await;
        assert_eq!(rollout.end, Some(End::Done), "{rollout:?}");
        let failed = &rollout.targets["shop-2"];
        assert_eq!(
            (failed.state, failed.reason.as_deref()),
            (TargetState::Failed, Some("unreachable"))
        );
        assert_eq!(instances[2].weight("w7"), None);
        fleet.start_instance(2, &instances[2]);
        let observe = async || instances[2].weight("w7");
        wait_until("it gets the change", PATIENCE, observe, Option::is_some).await;
    });
}

#[test]
fn a_change_made_on_an_old_revision_is_declined_with_who_changed_what_since() {
    run(async {
        let mut fleet = TestFleet::new().await;
        fleet.start_instances(2).await;
        let (alice, bob) = (fleet.client("alice"), fleet.client("bob"));
        push(&alice, &change("slow-w7", 0, "w7", 200))
            .await
            .expect("accepted");
        fleet.rollout_ended("slow-w7").await;
        let failed = push(&bob, &change("fast-w7", 0, "w7", 2_000))
            .await
            .expect_err("too late");
        let ClientError::Declined(declined) = &failed else {
            panic!("{failed}")
        };
        let Declined::Conflict {
            base: 0,
            newest: 1,
            since,
            more: false,
        } = &**declined
        else {
            panic!("{failed}")
        };
        assert_eq!(
            (since[0].by.who.as_str(), &since[0].difference[..]),
            ("alice", &["weight/w7 = 0.2".to_string()][..])
        );
        assert!(
            failed
                .to_string()
                .contains("slow-w7 by alice made 1: weight/w7 = 0.2"),
            "{failed}"
        );
        let other = change("slow-w7", 1, "w8", 1);
        assert!(
            matches!(push(&bob, &other).await, Err(ClientError::Declined(d)) if matches!(*d, Declined::IdUsed { revision: 1 }))
        );
    });
}

#[test]
fn instances_that_have_the_change_keep_it_when_its_rollout_is_stopped() {
    run(async {
        let mut fleet = TestFleet::new().await;
        let instances = fleet.start_instances(10).await;
        let mut change = change("slow-w7", 0, "w7", 200);
        change.rollout.pause = 60_000_000;
        change.rollout.then = Then::Stop;
        let alice = fleet.client("alice");
        push(&alice, &change).await.expect("accepted");
        let applied = || {
            instances
                .iter()
                .filter(|instance| instance.weight("w7").is_some())
                .count()
        };
        let observe = async || applied();
        wait_until("the first wave has it", PATIENCE, observe, |count| {
            *count >= 2
        })
        .await;
        let _: Accepted = alice
            .request(Method::POST, "/v1/rollouts/slow-w7/stop", vec![])
            .await
            .expect("stopped");
        let rollout = fleet.rollout_ended("slow-w7").await;
        assert_eq!(
            (
                rollout.end,
                rollout.target_counts.get(&TargetState::Applied)
            ),
            (Some(End::Stopped), Some(&2)),
            "{rollout:?}"
        );
        assert_eq!(applied(), 2);
    });
}
