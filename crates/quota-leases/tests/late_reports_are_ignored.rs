//! A lease server ignores reports that arrive after newer ones.

use madderloom_quota_leases::{
    Capacity, Grant, LeaseRequest, LeaseRequests, LeaseServer, Limit, Micros, ONE_REQUEST, ServerId,
};
use std::collections::BTreeMap;

/// The time between two reports of an instance.
const REPORT_INTERVAL: Micros = 300_000;
/// The duration of a lease.
const DURATION: Micros = 3_000_000;
const LIMIT: &str = "submissions";

fn limit(rate: u64, burst: u64, in_flight: u64) -> Limit {
    Limit {
        total: Capacity {
            rate: rate * ONE_REQUEST,
            burst: burst * ONE_REQUEST,
            in_flight,
        },
        max_request_duration: 400_000,
        ..Limit::default()
    }
}

/// An instance with three requests in flight under a lease of three is granted one less. A report from before it had
/// them in flight arrives late, and must not return capacity to others.
#[test]
fn a_report_that_arrives_after_a_newer_one_is_ignored() {
    let server_id = ServerId { term: 1, id: 1 };
    let mut server = LeaseServer::new(0, server_id, DURATION, 0, REPORT_INTERVAL);
    server.set_limits(0, BTreeMap::from([(LIMIT.to_string(), limit(900, 900, 3))]));
    let request = |sequence, grant_number, in_flight| LeaseRequests {
        sequence,
        server: (grant_number > 0).then_some(server_id),
        grant_number,
        requests: vec![LeaseRequest {
            limit: LIMIT.into(),
            demand_rate: ONE_REQUEST,
            demand_in_flight: 2,
            in_flight,
            ..Default::default()
        }],
    };
    let granted_in_flight =
        |grant: Option<Grant>| grant.map(|grant| grant.leases[0].capacity.in_flight);
    assert_eq!(
        granted_in_flight(server.handle_report(10_000_000, "a", "", 1, &request(1, 0, 0))),
        Some(3)
    );
    server.handle_report(10_000_000, "b", "", 2, &request(1, 0, 0));
    let lowered =
        granted_in_flight(server.handle_report(10_400_000, "a", "", 1, &request(3, 1, 3)))
            .expect("a grant");
    assert!(lowered < 3, "{lowered}");
    server.handle_report(10_500_000, "a", "", 1, &request(4, 2, 3));
    assert_eq!(
        server.handle_report(10_600_000, "a", "", 1, &request(2, 2, 0)),
        None
    );
    assert_eq!(
        granted_in_flight(server.handle_report(10_900_000, "b", "", 2, &request(2, 1, 0))),
        Some(0),
        "three are in flight at a"
    );
}
