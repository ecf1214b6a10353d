//! Wrong roles, foreign and revoked certificates, a full disk: refused, on record, and nothing has changed.

mod common;

use common::{Rig, change, push, run};
use hyper::{Method, StatusCode};
use madderloom_agent::Failed;
use madderloom_pki::Authority;
use std::time::{Duration, Instant};
use time::OffsetDateTime;

#[test]
fn a_viewer_and_an_instance_change_nothing() {
    run(async {
        let mut rig = Rig::new().await;
        rig.fleet(1).await;
        for name in ["vic", "shop-any"] {
            let failed = push(&rig.client(name), &change("c", 0, "w", 1))
                .await
                .expect_err("refused");
            assert!(
                matches!(failed, Failed::Refused(StatusCode::FORBIDDEN, _)),
                "{failed:?}"
            );
            assert!(
                failed.to_string().contains("may not change the fleet"),
                "{failed}"
            );
        }
        // Nor is an operator an instance, or an instance another one.
        for (name, instance) in [("alice", "shop-0"), ("shop-any", "till-0")] {
            let path = format!("/v1/instances/{instance}/report");
            let answer = rig
                .client(name)
                .ask(Method::POST, &path, b"{}".to_vec())
                .await
                .expect("an answer");
            assert_eq!(answer.status, StatusCode::FORBIDDEN, "{name}");
        }
        assert_eq!(rig.status().await.map(|status| status.revision), Some(0));
        let audit = rig.audit();
        assert_eq!(audit.len(), 2, "{audit:?}");
        assert!(
            audit
                .iter()
                .all(|line| line["outcome"] == "refused: wrong role"),
            "{audit:?}"
        );
    });
}

#[test]
fn a_revoked_certificate_ends_with_the_next_request_without_a_restart() {
    run(async {
        let rig = Rig::new().await;
        let alice = rig.client("alice");
        push(&alice, &change("c1", 0, "w", 1))
            .await
            .expect("accepted");
        let mut authority = Authority::open(&rig.at("keys")).expect("an authority");
        authority
            .revoke("alice", OffsetDateTime::now_utc())
            .expect("revoked");
        let begin = Instant::now();
        let failed = loop {
            // The connection that is open, and any new one.
            match alice
                .get::<serde_json::Value>(Method::GET, "/v1/status", vec![])
                .await
            {
                Err(failed) => break failed,
                Ok(_) => assert!(begin.elapsed() < Duration::from_secs(20), "still let in"),
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        };
        assert!(failed.to_string().contains("was revoked"), "{failed}");
        let failed = push(&rig.client("alice"), &change("c2", 1, "w", 1))
            .await
            .expect_err("refused");
        assert!(failed.to_string().contains("was revoked"), "{failed}");
        assert_eq!(rig.status().await.map(|status| status.revision), Some(1));
    });
}

#[test]
fn while_the_disk_is_full_nothing_is_accepted_and_all_goes_on_afterwards() {
    run(async {
        let mut rig = Rig::new().await;
        let toys = rig.fleet(3).await;
        rig.disk.fill(true);
        let alice = rig.client("alice");
        let failed = push(&alice, &change("c1", 0, "w", 1))
            .await
            .expect_err("refused");
        assert!(failed.to_string().contains("no space left"), "{failed}");
        assert!(toys.iter().all(|toy| toy.0.borrow().taken == 0));
        // However long it lasts.
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        assert!(push(&alice, &change("c1", 0, "w", 1)).await.is_err());
        rig.disk.fill(false);
        rig.until("it goes on", |status| {
            status.term == 2 && status.revision == 0
        })
        .await;
        push(&alice, &change("c1", 0, "w", 1))
            .await
            .expect("accepted");
        assert!(rig.ended("c1").await.is_applied());
        assert!(rig.disk.commits() > 3);
    });
}

#[test]
fn what_makes_no_sense_is_refused_with_its_field() {
    run(async {
        let rig = Rig::new().await;
        let alice = rig.client("alice");
        let mut odd = change("c1", 0, "w", 1);
        odd.rollout.max_in_flight = 0;
        let failed = push(&alice, &odd).await.expect_err("refused");
        assert!(
            failed
                .to_string()
                .contains("rollout.at_once: must be at least 1"),
            "{failed}"
        );
        for (method, path, body, status) in [
            (
                Method::POST,
                "/v1/changes",
                &b"{"[..],
                StatusCode::BAD_REQUEST,
            ),
            (
                Method::POST,
                "/v1/rollouts/nothing/undo",
                b"",
                StatusCode::NOT_FOUND,
            ),
            (
                Method::GET,
                "/v1/instances/nobody",
                b"",
                StatusCode::NOT_FOUND,
            ),
            (Method::GET, "/v2/status", b"", StatusCode::NOT_FOUND),
            (Method::DELETE, "/v1/instances", b"", StatusCode::NOT_FOUND),
        ] {
            let answer = alice
                .ask(method, path, body.to_vec())
                .await
                .expect("an answer");
            assert_eq!(answer.status, status, "{path}");
        }
        let large = alice
            .ask(Method::POST, "/v1/changes", vec![b' '; (8 << 20) + 1])
            .await;
        assert!(
            large.is_err()
                || large.is_ok_and(|answer| answer.status == StatusCode::PAYLOAD_TOO_LARGE)
        );
    });
}
