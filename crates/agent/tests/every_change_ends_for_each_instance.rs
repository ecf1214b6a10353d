//! Twenty instances over real sockets: every change ends applied, refused or failed for each, and what they have in
//! effect is what the agent says.

mod common;

use common::{Rig, Toy, change, push, run};
use hyper::Method;
use madderloom_agent::{Failed, view};
use madderloom_control_plane::health_gate::{HealthGate, RequestCounts};
use madderloom_control_plane::policy::FailureAction;
use madderloom_control_plane::rollout::RolloutResult;
use madderloom_control_plane::settings::{Key, Value};
use madderloom_control_plane::{Accepted, Rejection};
use std::time::Duration;

fn weight(toy: &Toy, server: &str) -> Option<Value> {
    toy.0
        .borrow()
        .overlay
        .0
        .get(&Key::Weight(server.into()))
        .cloned()
}

#[test]
fn a_change_is_applied_everywhere_once_and_undone() {
    run(async {
        let mut rig = Rig::new().await;
        let toys = rig.fleet(20).await;
        let alice = rig.client("alice");
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
        let rollout = rig.ended("slow-w7").await;
        assert!(
            rollout.is_applied() && rollout.results.len() == 20,
            "{rollout:?}"
        );
        assert!(
            toys.iter()
                .all(|toy| weight(toy, "w7") == Some(Value::Weight(200)))
        );
        // The same again changes nothing and says the same.
        assert!(push(&alice, &change).await.expect("known").repeat);
        assert!(toys.iter().all(|toy| toy.0.borrow().taken == 1));

        let undone: Accepted = alice
            .get(Method::POST, "/v1/rollouts/slow-w7/undo", vec![])
            .await
            .expect("undone");
        let rollout = rig.ended(&undone.id).await;
        assert!(
            rollout.is_applied() && rollout.results.len() == 20,
            "{rollout:?}"
        );
        assert!(toys.iter().all(|toy| weight(toy, "w7").is_none()));
        let audit = rig.audit();
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
fn one_that_refuses_has_it_taken_back_from_all() {
    run(async {
        let mut rig = Rig::new().await;
        let toys = rig.fleet(20).await;
        for toy in &toys[5..7] {
            toy.0.borrow_mut().refuses = Some(Key::Weight("w7".into()));
        }
        push(&rig.client("alice"), &change("slow-w7", 0, "w7", 200))
            .await
            .expect("accepted");
        let rollout = rig.ended("slow-w7").await;
        assert_eq!(rollout.end, Some(RolloutResult::RolledBack), "{rollout:?}");
        let refused: Vec<_> = rollout
            .results
            .iter()
            .filter(|(_, result)| result.state == "refused")
            .collect();
        assert!((1..=2).contains(&refused.len()), "{refused:?}");
        let told = |result: &view::Result| {
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
        assert!(
            rollout
                .results
                .values()
                .all(|result| ["applied", "refused", "failed"].contains(&result.state.as_str()))
        );
        assert!(toys.iter().all(|toy| weight(toy, "w7").is_none()));
    });
}

#[test]
fn a_change_that_hurts_is_taken_back_after_the_first_wave() {
    run(async {
        let mut rig = Rig::new().await;
        let toys = rig.fleet(20).await;
        for toy in &toys {
            let mut toy = toy.0.borrow_mut();
            toy.counts = RequestCounts { ended: 400, bad: 4 };
            toy.hurt_by = Some(Key::Weight("w7".into()));
        }
        // Their figures are with the agent before the change begins.
        let begin = std::time::Instant::now();
        while rig
            .instances()
            .await
            .iter()
            .any(|instance| instance.counts.ended != 400)
        {
            assert!(
                begin.elapsed() < Duration::from_secs(20),
                "their figures do not come"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let mut change = change("slow-w7", 0, "w7", 200);
        change.rollout.stage_pause = 500_000;
        change.rollout.gate = Some(HealthGate::default());
        push(&rig.client("alice"), &change).await.expect("accepted");
        let rollout = rig.ended("slow-w7").await;
        assert_eq!(rollout.end, Some(RolloutResult::RolledBack), "{rollout:?}");
        assert!(
            rollout
                .why
                .as_ref()
                .is_some_and(|why| why.starts_with("it hurts")),
            "{rollout:?}"
        );
        assert_eq!(rollout.counts.get("applied"), Some(&4), "{rollout:?}");
        assert!(toys.iter().all(|toy| weight(toy, "w7").is_none()));
    });
}

#[test]
fn the_agent_killed_in_a_rollout_goes_on_and_the_fleet_comes_back() {
    run(async {
        let mut rig = Rig::new().await;
        let toys = rig.fleet(20).await;
        let mut change = change("slow-w7", 0, "w7", 200);
        change.rollout.stage_pause = 300_000;
        push(&rig.client("alice"), &change).await.expect("accepted");
        for _ in 0..2 {
            rig.kill_agent().await;
            rig.start_agent().await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        let rollout = rig.ended("slow-w7").await;
        assert!(
            rollout.is_applied() && rollout.results.len() == 20,
            "{rollout:?}"
        );
        assert!(
            toys.iter()
                .all(|toy| weight(toy, "w7") == Some(Value::Weight(200)))
        );
        assert!(
            toys.iter().all(|toy| toy.0.borrow().taken == 1),
            "a repeat changes nothing"
        );
        rig.until("all came back", |status| {
            status.instances.get("alive") == Some(&20) && status.term == 3
        })
        .await;
    });
}

#[test]
fn a_silent_one_fails_and_is_brought_in_line_when_it_is_back() {
    run(async {
        let mut rig = Rig::new().await;
        let toys = rig.fleet(4).await;
        rig.kill_instance(2);
        let mut change = change("slow-w7", 0, "w7", 200);
        (change.rollout.answer_timeout, change.rollout.max_failures) = (700_000, 1);
        push(&rig.client("alice"), &change).await.expect("accepted");
        let rollout = rig.ended("slow-w7").await;
        assert_eq!(rollout.end, Some(RolloutResult::Completed), "{rollout:?}");
        let failed = &rollout.results["shop-2"];
        assert_eq!(
            (failed.state.as_str(), failed.reason.as_deref()),
            ("failed", Some("unreachable"))
        );
        assert_eq!(weight(&toys[2], "w7"), None);
        rig.start_instance(2, &toys[2]);
        let begin = std::time::Instant::now();
        while weight(&toys[2], "w7").is_none() {
            assert!(
                begin.elapsed() < Duration::from_secs(20),
                "it is not brought in line"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
}

#[test]
fn of_two_operators_the_second_is_told_who_changed_what() {
    run(async {
        let mut rig = Rig::new().await;
        rig.fleet(2).await;
        let (alice, bob) = (rig.client("alice"), rig.client("bob"));
        push(&alice, &change("slow-w7", 0, "w7", 200))
            .await
            .expect("accepted");
        rig.ended("slow-w7").await;
        let failed = push(&bob, &change("fast-w7", 0, "w7", 2_000))
            .await
            .expect_err("too late");
        let Failed::Declined(declined) = &failed else {
            panic!("{failed}")
        };
        let Rejection::Conflict {
            base: 0,
            newest: 1,
            since,
            more: false,
        } = &**declined
        else {
            panic!("{failed}")
        };
        assert_eq!(
            (since[0].by.name.as_str(), &since[0].difference[..]),
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
            matches!(push(&bob, &other).await, Err(Failed::Declined(d)) if matches!(*d, Rejection::IdUsed { revision: 1 }))
        );
    });
}

#[test]
fn a_stopped_rollout_leaves_those_that_have_it_with_it() {
    run(async {
        let mut rig = Rig::new().await;
        let toys = rig.fleet(10).await;
        let mut change = change("slow-w7", 0, "w7", 200);
        change.rollout.stage_pause = 60_000_000;
        change.rollout.on_failure = FailureAction::Stop;
        let alice = rig.client("alice");
        push(&alice, &change).await.expect("accepted");
        let applied = || {
            toys.iter()
                .filter(|toy| weight(toy, "w7").is_some())
                .count()
        };
        let begin = std::time::Instant::now();
        while applied() < 2 {
            assert!(
                begin.elapsed() < Duration::from_secs(20),
                "the first wave does not come"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let _: Accepted = alice
            .get(Method::POST, "/v1/rollouts/slow-w7/stop", vec![])
            .await
            .expect("stopped");
        let rollout = rig.ended("slow-w7").await;
        assert_eq!(
            (rollout.end, rollout.counts.get("applied")),
            (Some(RolloutResult::Stopped), Some(&2)),
            "{rollout:?}"
        );
        assert_eq!(applied(), 2);
    });
}
