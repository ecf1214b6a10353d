//! Requests under a wrong role or a revoked certificate, requests that are not valid, and changes while the disk is full: they
//! are rejected and recorded, and change nothing.

mod common;

use common::change::{change, push};
use common::fleet::TestFleet;
use common::run;
use hyper::{Method, StatusCode};
use madderloom_agent::ClientError;
use madderloom_pki::Authority;
use std::time::{Duration, Instant};
use time::OffsetDateTime;

#[test]
fn a_viewer_and_an_instance_change_nothing() {
    run(async {
        let mut fleet = TestFleet::new().await;
        fleet.start_instances(1).await;
        for name in ["vic", "shop-any"] {
            let failed = push(&fleet.client(name), &change("c", 0, "w", 1))
                .await
                .expect_err("refused");
            assert!(
                matches!(
                    failed,
                    ClientError::Rejected {
                        status: StatusCode::FORBIDDEN,
                        ..
                    }
                ),
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
            let answer = fleet
                .client(name)
                .send(Method::POST, &path, b"{}".to_vec())
                .await
                .expect("an answer");
            assert_eq!(answer.status, StatusCode::FORBIDDEN, "{name}");
        }
        assert_eq!(fleet.status().await.map(|status| status.revision), Some(0));
        let audit = fleet.audit_log();
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
fn a_revoked_certificate_is_rejected_from_the_next_request_on_without_a_restart() {
    run(async {
        let fleet = TestFleet::new().await;
        let alice = fleet.client("alice");
        push(&alice, &change("c1", 0, "w", 1))
            .await
            .expect("accepted");
        let mut authority = Authority::open(&fleet.path("keys")).expect("an authority");
        authority
            .revoke("alice", OffsetDateTime::now_utc())
            .expect("revoked");
        let begin = Instant::now();
        let failed = loop {
            // The connection that is open, and any new one.
            match alice
                .request::<serde_json::Value>(Method::GET, "/v1/status", vec![])
                .await
            {
                Err(failed) => break failed,
                Ok(_) => assert!(begin.elapsed() < Duration::from_secs(20), "still let in"),
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        };
        assert!(failed.to_string().contains("was revoked"), "{failed}");
        let failed = push(&fleet.client("alice"), &change("c2", 1, "w", 1))
            .await
            .expect_err("refused");
        assert!(failed.to_string().contains("was revoked"), "{failed}");
        assert_eq!(fleet.status().await.map(|status| status.revision), Some(1));
    });
}

#[test]
fn no_change_is_accepted_while_the_disk_is_full_and_the_agent_recovers_afterwards() {
    run(async {
        let mut fleet = TestFleet::new().await;
        let instances = fleet.start_instances(3).await;
        fleet.storage.set_full(true);
        let alice = fleet.client("alice");
        let failed = push(&alice, &change("c1", 0, "w", 1))
            .await
            .expect_err("refused");
        assert!(failed.to_string().contains("no space left"), "{failed}");
        assert!(
            instances
                .iter()
                .all(|instance| instance.0.borrow().orders == 0)
        );
        // However long it lasts.
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        assert!(push(&alice, &change("c1", 0, "w", 1)).await.is_err());
        fleet.storage.set_full(false);
        fleet
            .wait_for_status("it goes on", |status| {
                status.term == 2 && status.revision == 0
            })
            .await;
        push(&alice, &change("c1", 0, "w", 1))
            .await
            .expect("accepted");
        assert!(fleet.rollout_ended("c1").await.is_applied());
        assert!(fleet.storage.commits() > 3);
    });
}

#[test]
fn invalid_requests_are_rejected_with_the_field_at_fault() {
    run(async {
        let fleet = TestFleet::new().await;
        let alice = fleet.client("alice");
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
                .send(method, path, body.to_vec())
                .await
                .expect("an answer");
            assert_eq!(answer.status, status, "{path}");
        }
        let large = alice
            .send(Method::POST, "/v1/changes", vec![b' '; (8 << 20) + 1])
            .await;
        assert!(
            large.is_err()
                || large.is_ok_and(|answer| answer.status == StatusCode::PAYLOAD_TOO_LARGE)
        );
    });
}
