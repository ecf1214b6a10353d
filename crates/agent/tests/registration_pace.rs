//! All instances of a fleet return at once after the agent was down: they register at the configured pace, and miss nothing.

mod common;

use common::change::{change, push};
use common::fleet::TestFleet;
use common::run;
use std::time::{Duration, Instant};

/// Instances.
const COUNT: usize = 500;
/// Registrations a second; `rate` of the file.
const RATE: f64 = 150.0;
/// Registrations at once; `burst` of the file.
const BURST: f64 = 50.0;
/// Registrations beyond the pace that are tolerated, since the count and the clock are read one after the other.
const TOLERANCE: f64 = 20.0;

#[test]
fn five_hundred_instances_that_return_at_once_register_at_the_configured_pace_and_get_each_change_once()
 {
    run(async {
        let paces =
            "[leases]\nreport = \"2s\"\nlease = \"8s\"\n[registrations]\nrate = 150\nburst = 50\n";
        let mut fleet = TestFleet::with_paces(paces).await;
        let instances = fleet.start_instances(COUNT).await;
        push(&fleet.client("alice"), &change("before", 0, "w7", 200))
            .await
            .expect("accepted");
        assert!(fleet.rollout_ended("before").await.is_applied());
        fleet.kill_agent().await;
        // Long enough for all to have missed it.
        tokio::time::sleep(Duration::from_millis(500)).await;
        let begin = Instant::now();
        fleet.start_agent().await;
        loop {
            // Those that were there before count as suspect until they have registered with this one.
            let alive = fleet
                .status()
                .await
                .and_then(|status| status.instances.get("alive").copied())
                .unwrap_or(0);
            let most = BURST + RATE * begin.elapsed().as_secs_f64();
            assert!(
                alive as f64 <= most + TOLERANCE,
                "{alive} after {:?}",
                begin.elapsed()
            );
            if alive == COUNT {
                break;
            }
            assert!(
                begin.elapsed() < Duration::from_secs(60),
                "{alive} alone come back"
            );
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        eprintln!("all back after {:?}", begin.elapsed());
        push(&fleet.client("alice"), &change("after", 1, "w8", 300))
            .await
            .expect("accepted");
        assert!(fleet.rollout_ended("after").await.is_applied());
        assert!(
            instances
                .iter()
                .all(|instance| instance.0.borrow().orders == 2),
            "each change once"
        );
    });
}
