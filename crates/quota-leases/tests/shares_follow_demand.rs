//! The shares of a limit follow the demand of its holders, and do not change while that is steady.

use madderloom_quota_leases::{
    Capacity, LeaseRequest, LeaseRequests, LeaseServer, Limit, Micros, ONE_REQUEST, ServerId,
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

/// Steady demand: the shares of 300 instances, of which a few carry most of the traffic, are found within three reports
/// and stay.
#[test]
fn shares_of_hundreds_are_found_in_three_reports_and_do_not_oscillate() {
    let now = |report: u64| 10_000_000 + report * REPORT_INTERVAL;
    let server_id = ServerId { term: 1, id: 1 };
    let mut lease_server = LeaseServer::new(0, server_id, DURATION, 0, REPORT_INTERVAL);
    lease_server.set_limits(
        0,
        BTreeMap::from([(LIMIT.to_string(), limit(1_000, 600, 10_000))]),
    );
    let demand_rate = |at: u64| {
        if at.is_multiple_of(30) {
            150 * ONE_REQUEST
        } else {
            ONE_REQUEST
        }
    };
    let mut granted: Vec<Vec<u64>> = Vec::new();
    let mut numbers = vec![0; 300];
    let mut grants = 0;
    for report in 0..40 {
        let mut row = vec![0; 300];
        for at in 0..300u64 {
            let request = LeaseRequest {
                limit: LIMIT.into(),
                demand_rate: demand_rate(at) + report % 2,
                demand_in_flight: 3,
                ..Default::default()
            };
            let server = (numbers[at as usize] > 0).then_some(server_id);
            let requests = LeaseRequests {
                sequence: report + 1,
                server,
                grant_number: numbers[at as usize],
                requests: vec![request],
            };
            let grant = lease_server
                .handle_report(now(report) + at * 900, &format!("i{at}"), "", at, &requests)
                .expect("a grant");
            (numbers[at as usize], row[at as usize]) =
                (grant.number, grant.leases[0].capacity.rate);
        }
        if report > 4 {
            grants += lease_server.tick(now(report) + 299_000).len();
        }
        granted.push(row);
    }
    // Ten that request 150 a second share what the 290 others leave them.
    let heavy: Vec<u64> = (0..300).step_by(30).map(|at| granted[3][at]).collect();
    assert!(
        heavy
            .iter()
            .all(|rate| rate.abs_diff(heavy[0]) <= heavy[0] / 8),
        "{heavy:?}"
    );
    assert!(
        granted[3].iter().sum::<u64>() >= 950_000,
        "{}",
        granted[3].iter().sum::<u64>()
    );
    for row in &granted[4..] {
        assert_eq!(row, &granted[4], "shares oscillate under steady demand");
    }
    assert_eq!(grants, 0, "unsolicited grants");
}

#[test]
fn more_holders_than_whole_requests_take_turns_and_all_have_had_one() {
    let server_id = ServerId { term: 1, id: 1 };
    let mut lease_server = LeaseServer::new(0, server_id, DURATION, 0, REPORT_INTERVAL);
    lease_server.set_limits(0, BTreeMap::from([(LIMIT.to_string(), limit(5, 3, 1_000))]));
    let (mut numbers, mut had, mut at_once) = (vec![0; 20], vec![false; 20], 0);
    for report in 0..1_200u64 {
        let mut have = 0;
        for at in 0..20u64 {
            let request = LeaseRequest {
                limit: LIMIT.into(),
                demand_rate: ONE_REQUEST,
                ..Default::default()
            };
            let server = (numbers[at as usize] > 0).then_some(server_id);
            let requests = LeaseRequests {
                sequence: report + 1,
                server,
                grant_number: numbers[at as usize],
                requests: vec![request],
            };
            let now = 10_000_000 + report * REPORT_INTERVAL + at * 10_000;
            let grant = lease_server
                .handle_report(now, &format!("i{at}"), "", at, &requests)
                .expect("a grant");
            numbers[at as usize] = grant.number;
            have += usize::from(grant.leases[0].capacity.burst >= ONE_REQUEST);
            had[at as usize] |= grant.leases[0].capacity.burst >= ONE_REQUEST;
        }
        at_once = at_once.max(have);
    }
    assert!(
        had.iter().all(|had| *had) && at_once <= 3,
        "{had:?}, {at_once} at once"
    );
}
