//! The whole fleet comes back at once after the agent was away: it is let in at a pace, and loses nothing.

mod common;

use common::{Rig, change, push, run};
use std::time::{Duration, Instant};

const COUNT: usize = 500;
const RATE: f64 = 150.0;
const BURST: f64 = 50.0;

#[test]
fn five_hundred_that_come_back_at_once_are_let_in_at_a_pace_and_are_told_nothing_twice() {
    run(async {
        let paces =
            "[leases]\nreport = \"2s\"\nlease = \"8s\"\n[registrations]\nrate = 150\nburst = 50\n";
        let mut rig = Rig::at_paces(paces).await;
        let toys = rig.fleet(COUNT).await;
        push(&rig.client("alice"), &change("before", 0, "w7", 200))
            .await
            .expect("accepted");
        assert!(rig.ended("before").await.is_applied());
        rig.kill_agent().await;
        // Long enough for all to have missed it.
        tokio::time::sleep(Duration::from_millis(500)).await;
        let begin = Instant::now();
        rig.start_agent().await;
        loop {
            // Those that were there before count as suspect until they have registered with this one.
            let alive = rig
                .status()
                .await
                .and_then(|status| status.instances.get("alive").copied())
                .unwrap_or(0);
            let most = BURST + RATE * begin.elapsed().as_secs_f64();
            assert!(
                alive as f64 <= most + 20.0,
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
        push(&rig.client("alice"), &change("after", 1, "w8", 300))
            .await
            .expect("accepted");
        assert!(rig.ended("after").await.is_applied());
        assert!(
            toys.iter().all(|toy| toy.0.borrow().taken == 2),
            "each change once"
        );
    });
}
