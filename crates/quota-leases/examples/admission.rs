//! Measures what admitting a request costs, under a lease and without limits.
//!
//! `cargo run --release -p madderloom-quota-leases --example admission`

use madderloom_quota_leases::{
    Capacity, Grant, Lease, LeaseHolder, MAX_LEASE_DURATION, ONE_REQUEST, SafeCapacity, ServerId,
};
use std::hint::black_box;
use std::time::Instant;

/// The number of requests of each measurement.
const REQUESTS: u64 = 5_000_000;

fn main() {
    let mut holder = LeaseHolder::default();
    holder.set_limits(1, [("submissions".to_string(), SafeCapacity::Zero)]);
    let requests = holder.make_report(1);
    let capacity = Capacity {
        rate: 1_000_000_000 * ONE_REQUEST,
        burst: 1_000_000 * ONE_REQUEST,
        in_flight: 1_000_000,
    };
    let lease = Lease {
        limit: "submissions".into(),
        capacity,
        total: capacity,
    };
    let grant = Grant {
        start: 1,
        server: ServerId { term: 1, id: 1 },
        number: 1,
        answered_sequence: requests.sequence,
        duration: MAX_LEASE_DURATION,
        leases: vec![lease],
    };
    holder.apply_grant(1, &grant);
    for limit in ["submissions", "a limit of others"] {
        let begin = Instant::now();
        for at in 0..REQUESTS {
            let admitted = holder.admit(black_box(2 + at / 100), black_box(limit));
            assert!(admitted.is_ok(), "{admitted:?}");
            holder.release(limit);
        }
        println!(
            "{limit}: {:.1} ns for admission and release",
            begin.elapsed().as_nanos() as f64 / REQUESTS as f64
        );
    }
}
