//! The names of fields and variants in messages and in durable records do not change when the code's names do: other
//! versions of an agent or an instance read them.

use madderloom_control_plane::change::Change;
use madderloom_control_plane::protocol::{InstanceId, Report, ToAgent, ToInstance};
use madderloom_control_plane::relay::RelayStatus;
use madderloom_control_plane::{Author, Record, Rejection};
use madderloom_quota_leases::{Capacity, Grant, Lease, LeaseRequest, LeaseRequests, ServerId};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json, to_value};

const CAPACITY: Capacity = Capacity {
    rate: 1,
    burst: 2,
    in_flight: 3,
};

#[test]
fn a_grant_is_written_as_before() {
    let lease = Lease {
        limit: "submissions".into(),
        capacity: CAPACITY,
        total: CAPACITY,
    };
    let server = ServerId { term: 4, id: 5 };
    let grant = Grant {
        start: 6,
        server,
        number: 7,
        answered_sequence: 8,
        duration: 9,
        leases: vec![lease],
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
        to_value(ToInstance::LeaseGrant(grant.clone())).expect("JSON"),
        written
    );
    assert_eq!(
        serde_json::from_value::<ToInstance>(written).expect("a grant"),
        ToInstance::LeaseGrant(grant)
    );
}

#[test]
fn a_request_for_leases_is_written_as_before() {
    let request = LeaseRequest {
        limit: "submissions".into(),
        held: CAPACITY,
        demand_rate: 4,
        demand_in_flight: 5,
        in_flight: 6,
        admitted_rate: 7,
    };
    let server = Some(ServerId { term: 8, id: 9 });
    let requests = LeaseRequests {
        sequence: 10,
        server,
        grant_number: 11,
        requests: vec![request],
    };
    let report = Report {
        id: InstanceId::default(),
        lease_requests: Some(Box::new(requests)),
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

/// Requires that a document is read, and that it is written with the same names and values.
fn assert_written_as_read<T: DeserializeOwned + Serialize>(written: Value) {
    let read = serde_json::from_value::<T>(written.clone()).expect("it is read");
    assert_eq!(to_value(read).expect("JSON"), written);
}

const FINGERPRINT: &str = "0123456789abcdef0123456789abcdef";

fn change() -> Value {
    json!({
        "id": "slow-w7",
        "base": 41,
        "note": "w7 is slow",
        "select": {"names": ["shop-*"], "labels": {"tier": "canary"}, "zones": ["north"]},
        "rollout": {
            "waves": [{"count": 1}, {"percent": 10}],
            "at_once": 20,
            "pause": 30_000_000,
            "silence": 15_000_000,
            "failures": 2,
            "then": "take-back",
            "gate": {
                "worse": 10,
                "evidence": 200,
                "sure": 233,
                "patience": 60_000_000,
                "unproven": true,
            },
        },
        "what": {"set": {"drain/w9": {"drained": true}, "weight/w7": {"weight": 200}, "route/r": null}},
    })
}

#[test]
fn a_change_is_written_as_before() {
    assert_written_as_read::<Change>(change());
    let mut undo = change();
    undo["what"] = json!({"undo": "slow-w8"});
    undo["rollout"]["then"] = json!("stop");
    assert_written_as_read::<Change>(undo);
}

#[test]
fn messages_of_an_instance_are_written_as_before() {
    let who = json!({"name": "shop-1", "start": 7, "incarnation": 3});
    let traits =
        json!({"zone": "north", "labels": {"tier": "canary"}, "build": "1", "file": FINGERPRINT});
    assert_written_as_read::<ToAgent>(
        json!({"register": {"who": who, "traits": traits, "term": 4}}),
    );
    assert_written_as_read::<ToAgent>(json!({"report": {
        "who": who,
        "term": 4,
        "answer": {
            "stamp": {"term": 4, "number": 2},
            "change": "slow-w7",
            "revision": 42,
            "overlay": FINGERPRINT,
            "outcome": {"refused": {"field": "set.route/r", "problem": "is not known"}},
        },
        "holding": {"revision": 42, "overlay": FINGERPRINT},
        "counts": {"ended": 100, "bad": 1},
    }}));
}

#[test]
fn messages_to_an_instance_are_written_as_before() {
    for message in [
        json!({"welcome": {"start": 7, "incarnation": 3, "term": 4, "every": 5, "spread": 6}}),
        json!({"superseded": {"start": 7, "by": 8, "again": 9}}),
        json!({"later": {"start": 7, "again": 9}}),
        json!({"unknown": {"start": 7}}),
        json!({"renewed": {"start": 7, "term": 4}}),
        json!({"order": {
            "start": 7,
            "stamp": {"term": 4, "number": 2},
            "change": "slow-w7",
            "revision": 42,
            "overlay": {"log_level": {"level": "debug"}, "weight/w7": {"weight": 200}},
        }}),
    ] {
        assert_written_as_read::<ToInstance>(message);
    }
    let lists = json!({"lists": {"start": 7}});
    let read = serde_json::from_value::<ToInstance>(lists).expect("lists");
    assert!(matches!(read, ToInstance::EndpointLists(_)));
}

#[test]
fn records_are_written_as_before() {
    let by = json!({"who": "alice", "at": 5});
    let counts = json!({"ended": 100, "bad": 1});
    let phases = [
        json!({"forward": {"wave": 1}}),
        json!({"watch": {"wave": 1}}),
        json!("stopping"),
        json!("back"),
        json!({"ended": "done"}),
        json!({"ended": "stopped"}),
        json!({"ended": "taken_back"}),
    ];
    for phase in phases {
        assert_written_as_read::<Record>(json!({"rollout": {
            "change": change(),
            "revision": 42,
            "back_revision": 43,
            "by": by,
            "phase": phase,
            "why": "stopped by alice",
            "others": {"shop-2": counts},
        }}));
    }
    let steps = [
        json!("pending"),
        json!("sent"),
        json!("applied"),
        json!({"refused": {"field": "set", "problem": "is not known"}}),
        json!({"failed": "unreachable"}),
        json!({"failed": "not_reached"}),
        json!({"failed": "overtaken"}),
    ];
    for step in steps {
        assert_written_as_read::<Record>(
            json!({"target": {"wave": 1, "step": step, "back": "sent", "before": counts}}),
        );
    }
    assert_written_as_read::<Record>(json!({"entry": {
        "change": change(),
        "revision": 42,
        "back_revision": null,
        "by": by,
        "end": "done",
        "why": null,
        "ended": 6,
    }}));
    let traits = json!({"zone": "", "labels": {}, "build": "", "file": FINGERPRINT});
    assert_written_as_read::<Record>(
        json!({"member": {"start": 7, "incarnation": 3, "traits": traits}}),
    );
    assert_written_as_read::<Record>(json!({"term": 4}));
    assert_written_as_read::<Record>(json!({"settled": [42, [{
        "revision": 42,
        "id": "slow-w7",
        "select": {"names": [], "labels": {}, "zones": []},
        "edits": {"log_level": null},
    }]]}));
}

#[test]
fn answers_to_operators_are_written_as_before() {
    let by = json!({"who": "alice", "at": 5});
    assert_written_as_read::<Author>(by.clone());
    for rejection in [
        json!({"invalid": [{"field": "set", "problem": "nothing is set"}]}),
        json!({"conflict": {
            "base": 41,
            "newest": 42,
            "since": [{"revision": 42, "id": "c", "by": by, "end": "taken_back", "difference": ["log_level = debug"]}],
            "more": false,
        }}),
        json!({"busy": {"id": "c", "by": by}}),
        json!({"id_used": {"revision": 42}}),
        json!({"impossible": "no change c is known"}),
        json!({"stood_down": {"term": 4}}),
    ] {
        assert_written_as_read::<Rejection>(rejection);
    }
    assert_written_as_read::<RelayStatus>(json!({
        "is_connected": true,
        "term": 4,
        "children": 3,
        "registered": 2,
        "outgoing": 1,
        "answered_alone": 5,
    }));
}
