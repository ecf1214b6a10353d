//! The names of fields and variants in messages and in durable records do not change when the code's names do: other
//! versions of an agent or an instance read them.

use madderloom_control_plane::Record;
use madderloom_control_plane::protocol::{Report, ToAgent, ToInstance, Who};
use madderloom_quota_leases::{Amount, Grant, Lease, LeaseRequest, LeaseRequests, ServerId};
use serde_json::{json, to_value};

const AMOUNT: Amount = Amount {
    rate: 1,
    burst: 2,
    open: 3,
};

#[test]
fn a_grant_is_written_as_before() {
    let lease = Lease {
        limit: "submissions".into(),
        amount: AMOUNT,
        whole: AMOUNT,
    };
    let by = ServerId { term: 4, id: 5 };
    let grant = Grant {
        start: 6,
        by,
        number: 7,
        answers: 8,
        duration: 9,
        of: vec![lease],
    };
    let amount = json!({"rate": 1, "burst": 2, "open": 3});
    let written = json!({"lent": {
        "start": 6,
        "by": {"term": 4, "id": 5},
        "number": 7,
        "answers": 8,
        "lasts": 9,
        "of": [{"limit": "submissions", "amount": amount, "whole": amount}],
    }});
    assert_eq!(
        to_value(ToInstance::Lent(grant.clone())).expect("JSON"),
        written
    );
    assert_eq!(
        serde_json::from_value::<ToInstance>(written).expect("a grant"),
        ToInstance::Lent(grant)
    );
}

#[test]
fn a_request_for_leases_is_written_as_before() {
    let request = LeaseRequest {
        limit: "submissions".into(),
        holds: AMOUNT,
        wanted: 4,
        wanted_open: 5,
        open: 6,
        used: 7,
    };
    let by = Some(ServerId { term: 8, id: 9 });
    let requests = LeaseRequests {
        seq: 10,
        by,
        number: 11,
        of: vec![request],
    };
    let report = Report {
        who: Who::default(),
        asks: Some(Box::new(requests)),
        ..Report::default()
    };
    let written = to_value(ToAgent::Report(report)).expect("JSON");
    let expected = json!({
        "seq": 10,
        "by": {"term": 8, "id": 9},
        "number": 11,
        "of": [{
            "limit": "submissions",
            "holds": {"rate": 1, "burst": 2, "open": 3},
            "wanted": 4,
            "wanted_open": 5,
            "open": 6,
            "used": 7,
        }],
    });
    assert_eq!(written["report"]["asks"], expected);
}

#[test]
fn the_record_of_outstanding_leases_is_written_as_before() {
    let written = json!({"lending": 30_000_000});
    assert_eq!(
        to_value(Record::LeaseDuration(30_000_000)).expect("JSON"),
        written
    );
    let read = serde_json::from_value::<Record>(written).expect("a record");
    assert_eq!(read, Record::LeaseDuration(30_000_000));
}
