//! However many holders a server knows and however fast new ones arrive, allocations for new ones look at 10,000 holders a
//! second at most, and each new one has its share within a quarter of the report interval.

use madderloom_quota_leases::{
    Amount, Grant, LeaseRequest, LeaseRequests, LeaseServer, Limit, Micros, ONE, ServerId,
};
use std::collections::BTreeMap;

const MS: Micros = 1_000;
const S: Micros = 1_000 * MS;
const REPORT_INTERVAL: Micros = 3 * S;
const LEASE: Micros = 10 * S;
const LIMIT: &str = "submissions";
/// Leases of former servers are over by then.
const BEGIN: Micros = 20 * S;

fn server() -> LeaseServer {
    let limit = Limit {
        // A share of it is there for a new holder though the others hold all that there is.
        whole: Amount::UNBOUNDED,
        floor: 0,
        weights: Vec::new(),
        by_zone: false,
        each_server: false,
        longest: S,
    };
    let mut server = LeaseServer::new(
        0,
        ServerId { term: 1, id: 1 },
        LEASE,
        LEASE,
        REPORT_INTERVAL,
    );
    server.set_limits(0, BTreeMap::from([(LIMIT.to_string(), limit)]));
    server
}

/// The first report of a start, and the grant that answers it.
fn first_report(server: &mut LeaseServer, now: Micros, start: u64) -> Grant {
    let request = LeaseRequest {
        limit: LIMIT.into(),
        wanted: ONE,
        wanted_open: 2,
        ..Default::default()
    };
    let requests = LeaseRequests {
        seq: 1,
        by: None,
        number: 0,
        of: vec![request],
    };
    server
        .handle_report(now, &format!("i{start}"), "", start, &requests)
        .expect("a grant")
}

/// A server with so many holders whose last allocation was at [`BEGIN`].
fn server_with(holders: u64) -> LeaseServer {
    let mut server = server();
    for start in 0..holders {
        first_report(&mut server, BEGIN - S, start);
    }
    server.tick(BEGIN);
    server
}

fn has_share(grant: &Grant) -> bool {
    grant.of.iter().any(|lease| lease.amount.rate > 0)
}

#[test]
fn a_new_holder_among_few_has_its_share_with_its_first_grant() {
    let mut server = server_with(100);
    assert!(has_share(&first_report(
        &mut server,
        BEGIN + 20 * MS,
        1_000_000
    )));
    assert!(has_share(&first_report(
        &mut server,
        BEGIN + 40 * MS,
        1_000_001
    )));
}

/// 1,000 holders are looked at ten times a second.
#[test]
fn new_holders_among_many_share_an_allocation() {
    let mut server = server_with(1_000);
    assert!(!has_share(&first_report(
        &mut server,
        BEGIN + 50 * MS,
        1_000_000
    )));
    assert!(has_share(&first_report(
        &mut server,
        BEGIN + 101 * MS,
        1_000_001
    )));
    assert!(!has_share(&first_report(
        &mut server,
        BEGIN + 150 * MS,
        1_000_002
    )));
    let grants = server.tick(BEGIN + 101 * MS + REPORT_INTERVAL / 4);
    for name in ["i1000000", "i1000002"] {
        let own = grants.iter().find(|(to, _)| to == name);
        assert!(
            own.is_some_and(|(_, grant)| has_share(grant)),
            "{name} was told of no share"
        );
    }
}

/// Beyond 7,500 holders an allocation for new ones is no rarer than the usual one.
#[test]
fn a_new_holder_waits_no_longer_than_for_the_usual_allocation() {
    let mut server = server_with(8_000);
    assert!(!has_share(&first_report(
        &mut server,
        BEGIN + REPORT_INTERVAL / 4 - MS,
        1_000_000
    )));
    assert!(has_share(&first_report(
        &mut server,
        BEGIN + REPORT_INTERVAL / 4,
        1_000_001
    )));
}
