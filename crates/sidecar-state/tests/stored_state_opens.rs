//! The state of a sidecar that an earlier program wrote opens: what may have run is not sent again, what was measured
//! is remembered, and what was drained stays drained.

use madderloom_sidecar_state::{
    Admission, Drain, IdempotencyKey, IdempotencyLimits, IdempotencyMode, IdempotencyTracker,
    RecordState, SnapshotDecay, restore_services,
};
use madderloom_store::{Durability, Options, RealDisk, Store};
use serde_json::{Value, json};
use std::path::Path;
use tempfile::TempDir;

const LIMITS: IdempotencyLimits = IdempotencyLimits {
    retention: 300_000_000,
    max_records: 1_000,
};
const SECOND: u64 = 1_000_000;
/// When the snapshot of the fixture was taken, in microseconds since 1970.
const TAKEN: u64 = 1_796_224_620_407_741;

/// A copy of a fixture, opened as a sidecar opens it.
fn open(fixture: &str) -> (TempDir, Store<RealDisk>) {
    let copy = TempDir::new().expect("a directory");
    let fixture = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(fixture);
    for entry in std::fs::read_dir(fixture).expect("the fixture") {
        let from = entry.expect("an entry").path();
        std::fs::copy(&from, copy.path().join(from.file_name().expect("a name"))).expect("a copy");
    }
    let store = Store::open(
        RealDisk::open(copy.path()).expect("a disk"),
        Options::default(),
    )
    .expect("a store");
    (copy, store)
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec())
        .expect("text")
        .replace('\0', "|")
}

#[test]
fn records_have_the_keys_that_they_were_written_with() {
    let (_copy, store) = open("sidecar-dd0b5ab");
    let snapshot = store.snapshot();
    let keys: Vec<String> = snapshot.keys(b"", 0).map(|entry| text(entry.key)).collect();
    assert_eq!(
        keys,
        [
            "start",
            "sub/\u{3}payidempotency-key|order-answered",
            "sub/\u{3}payidempotency-key|order-unanswered",
            "sub/\u{3}payx-trace-id|trace-alone",
            "warm/pay|class/submit",
            "warm/pay|class/view",
            "warm/pay|server/s1",
            "warm/pay|server/s2",
            "warm/pay|taken",
        ]
    );
}

#[test]
fn what_was_sent_before_is_not_sent_again() {
    let (_copy, mut store) = open("sidecar-dd0b5ab");
    let snapshot = store.snapshot();
    let mut tracker = IdempotencyTracker::open(LIMITS, &snapshot, 7 * SECOND);
    assert_eq!(tracker.len(), 3);
    for batch in tracker.upgrade_records(&snapshot, 7 * SECOND) {
        store
            .write(&batch, Durability::Durable)
            .expect("it is written");
    }
    for (key, record) in [
        (
            "idempotency-key\0order-answered",
            Some(RecordState::Answered),
        ),
        (
            "idempotency-key\0order-unanswered",
            Some(RecordState::MayHaveRun),
        ),
        ("x-trace-id\0trace-alone", Some(RecordState::Answered)),
        ("idempotency-key\0order-new", None),
    ] {
        let key = IdempotencyKey::new("pay", key.as_bytes()).expect("it is short");
        assert_eq!(
            tracker.record_state(&store.reader(), &key, 7 * SECOND),
            record,
            "{key:?}"
        );
        let admission = tracker.admit(&store.reader(), &key, IdempotencyMode::Durable, 7 * SECOND);
        assert_eq!(
            admission == Admission::Fail,
            record.is_some(),
            "{key:?}: {admission:?}"
        );
    }
    // The records hold for their window from then on, and no longer.
    let late = 7 * SECOND + LIMITS.retention + SECOND;
    let key = IdempotencyKey::new("pay", b"idempotency-key\0order-answered").expect("it is short");
    assert!(matches!(
        tracker.admit(&store.reader(), &key, IdempotencyMode::Durable, late),
        Admission::Record { .. }
    ));
}

#[test]
fn what_was_measured_is_remembered_at_its_age() {
    let (_copy, store) = open("sidecar-dd0b5ab");
    let snapshot = store.snapshot();
    let mut found = restore_services(&snapshot).expect("it is read");
    assert_eq!(found.keys().collect::<Vec<_>>(), ["pay"]);
    let found = found.remove("pay").expect("it is there");
    let warm = found.snapshot.expect("a snapshot");
    // Every value is read as it was written.
    let raw = |key: &str| -> Value {
        let value = snapshot
            .get(key.as_bytes(), 0)
            .expect("it is read")
            .expect("it is there");
        serde_json::from_slice(&value).expect("JSON")
    };
    let servers: Vec<Value> = warm.servers.iter().map(|server| json!(server)).collect();
    assert_eq!(
        servers,
        [raw("warm/pay\0server/s1"), raw("warm/pay\0server/s2")]
    );
    let classes: Vec<Value> = warm.classes.iter().map(|class| json!(class)).collect();
    assert_eq!(
        classes,
        [raw("warm/pay\0class/submit"), raw("warm/pay\0class/view")]
    );
    assert_eq!(
        json!({"taken": warm.taken_at, "means": [warm.means.work, warm.means.answer_time]}),
        raw("warm/pay\0taken")
    );
    // And these are the values.
    assert_eq!(warm.taken_at, TAKEN);
    let listed = |name: &str, port: u16, zone: &str| json!({"address": format!("127.0.0.1:{port}"), "zone": zone, "kind": "", "group": 0, "weight": 1.0, "name": name});
    for (server, (name, port, zone)) in servers
        .iter()
        .zip([("s1", 47181, "north"), ("s2", 47182, "south")])
    {
        let mut own = server["listed"].clone();
        own["name"] = server["name"].clone();
        assert_eq!(own, listed(name, port, zone));
    }
    let measured: Vec<(f64, f64)> = warm
        .servers
        .iter()
        .map(|server| (server.work, server.attempt_time))
        .collect();
    assert_eq!(measured, [(489_555.562_5, 9_783.9), (379_125.0, 226_303.2)]);
    // After the half-life all has half its weight.
    let decay = SnapshotDecay {
        half_life: 30 * SECOND,
        max_age: 300 * SECOND,
    };
    let decayed = warm.decayed(warm.taken_at + 30 * SECOND, decay);
    assert!((decayed.weight - 0.5).abs() < 1e-9);
    assert!((decayed.servers[0].work - warm.servers[0].work / 2.0).abs() < 1e-6);
}

#[test]
fn what_was_drained_stays_drained() {
    let (_copy, store) = open("drains-dd0b5ab");
    let drains = Drain::load(&store.snapshot(), "pay").expect("it is read");
    let drain = |server: &str, since, by: &str| Drain {
        server: server.into(),
        drained_at: since,
        requested_by: by.into(),
    };
    assert_eq!(
        drains,
        [
            drain("s2", 1_796_000_000_000_000, "alice"),
            drain("s3", 1_796_000_060_000_000, "bob")
        ]
    );
    assert_eq!(
        Drain::load(&store.snapshot(), "reports")
            .expect("it is read")
            .len(),
        1
    );
    let raw = store
        .snapshot()
        .get(b"drain/pay\0s2", 0)
        .expect("it is read")
        .expect("it is there");
    let raw: Value = serde_json::from_slice(&raw).expect("JSON");
    assert_eq!(
        raw,
        json!({"server": "s2", "since": 1_796_000_000_000_000_u64, "by": "alice"})
    );
}

/// Writes the fixture anew: the program has no call yet that would. To be run by hand.
#[test]
#[ignore = "writes the fixture"]
fn write_drains() {
    let fixture = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/drains-dd0b5ab");
    std::fs::create_dir_all(&fixture).expect("a directory");
    let disk = RealDisk::open(&fixture).expect("a disk");
    let mut store = Store::open(
        disk,
        Options {
            max_preallocated_bytes: 0,
            ..Options::default()
        },
    )
    .expect("a store");
    for (service, server, since, by) in [
        ("pay", "s1", 1_795_000_000_000_000, "alice"),
        ("pay", "s2", 1_796_000_000_000_000, "alice"),
        ("pay", "s3", 1_796_000_060_000_000, "bob"),
        ("reports", "r1", 1_796_000_000_000_000, "bob"),
    ] {
        let drain = Drain {
            server: server.into(),
            drained_at: since,
            requested_by: by.into(),
        };
        store
            .write(
                &drain.put_batch(service),
                madderloom_store::Durability::Durable,
            )
            .expect("it is written");
    }
    store
        .write(
            &Drain::delete_batch("pay", "s1"),
            madderloom_store::Durability::Durable,
        )
        .expect("it is written");
}
