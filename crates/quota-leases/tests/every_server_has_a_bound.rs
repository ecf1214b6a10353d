//! A limit of each server bounds every server, however many there are.

use madderloom_quota_leases::{
    Capacity, LeaseHolder, MAX_LIMITS_PER_HOLDER, ONE_REQUEST, SafeCapacity,
};

/// More servers than there may be limits: none of them is without a bound, and the least recently used is dropped.
#[test]
fn no_server_is_without_a_bound_however_many_there_are() {
    let mut holder = LeaseHolder::default();
    let one = Capacity {
        rate: ONE_REQUEST,
        burst: ONE_REQUEST,
        in_flight: 1,
    };
    holder.set_limits(1, [("node".to_string(), SafeCapacity::Fixed(one))]);
    for server in 0..1_000u64 {
        let (now, name) = (2_000_000 + 2_000_000 * server, format!("w{server}"));
        assert!(
            holder.admit_to_server(now, "node", &name).is_err(),
            "an empty bucket admits nothing"
        );
        let later = now + 1_000_000;
        assert!(holder.admit_to_server(later, "node", &name).is_ok());
        assert!(
            holder.admit_to_server(later, "node", &name).is_err(),
            "one is in flight"
        );
        holder.release(&format!("node/{name}"));
    }
    let known = |holder: &LeaseHolder| holder.statuses(0).count();
    assert_eq!(known(&holder), MAX_LIMITS_PER_HOLDER);
    // All in use: another one is rejected, and none is forgotten.
    let now = 4_000_000_000;
    for server in 745..1_000 {
        assert!(
            holder
                .admit_to_server(now, "node", &format!("w{server}"))
                .is_ok()
        );
    }
    assert!(holder.admit_to_server(now, "node", "another").is_err());
    assert_eq!(
        holder
            .statuses(now)
            .map(|(_, status)| status.in_flight)
            .sum::<u64>(),
        255
    );
}
