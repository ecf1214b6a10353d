//! Measures what admitting a request costs, under a lease and without limits.
//!
//! `cargo run --release -p madderloom-quota-leases --example admission`

use madderloom_quota_leases::{Amount, Grant, Lease, LeaseHolder, ONE, Safe, ServerId};
use std::hint::black_box;
use std::time::Instant;

const TIMES: u64 = 5_000_000;

fn main() {
    let mut holder = LeaseHolder::default();
    holder.follow(1, [("submissions".to_string(), Safe::Nothing)]);
    let requests = holder.ask(1);
    let amount = Amount {
        rate: 1_000_000_000 * ONE,
        burst: 1_000_000 * ONE,
        open: 1_000_000,
    };
    let of = vec![Lease {
        limit: "submissions".into(),
        amount,
        whole: amount,
    }];
    let by = ServerId { term: 1, id: 1 };
    holder.take(
        1,
        &Grant {
            start: 1,
            by,
            number: 1,
            answers: requests.seq,
            duration: 600_000_000,
            of,
        },
    );
    for limit in ["submissions", "none of this instance's"] {
        let begin = Instant::now();
        for at in 0..TIMES {
            let done = holder.admit(black_box(2 + at / 100), black_box(limit));
            assert!(done.is_ok(), "{done:?}");
            holder.end(limit);
        }
        println!(
            "{limit}: {:.1} ns for admission and end",
            begin.elapsed().as_nanos() as f64 / TIMES as f64
        );
    }
}
