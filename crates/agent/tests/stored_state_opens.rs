//! A state directory that an earlier agent left in the middle of a rollout, with leases granted, opens: every record
//! is read as it was written, and the rollout goes on to its end.

mod common;

use common::fleet::TestFleet;
use common::instance::TestInstance;
use common::{PATIENCE, run, start_server, wait_until};
use hyper::Method;
use madderloom_agent::{Agent, DurableStorage, Storage};
use madderloom_store::{Options, RealDisk, Store};
use serde_json::{Value, json};
use std::path::Path;
use tempfile::TempDir;

/// The paces of this test, and the limit that the earlier agent had granted leases of, for 30 s each.
const PACES: &str = "[leases]\nreport = \"100ms\"\nlease = \"2s\"\ngrace = \"2s\"\nlimits = \"2s\"\n\
     [registrations]\nrate = 1000\n[[fleet_limits]]\nname = \"views\"\nrequests_per_second = 40\nburst = 8\nopen = 4\n";

const INSTANCES: usize = 4;

const KEYS: [&str; 17] = [
    "entry/00000000000000000001",
    "lending",
    "member/shop-0",
    "member/shop-1",
    "member/shop-2",
    "member/shop-3",
    "rollout",
    "settled",
    "target/00000000000000000001/shop-0",
    "target/00000000000000000001/shop-1",
    "target/00000000000000000001/shop-2",
    "target/00000000000000000001/shop-3",
    "target/00000000000000000002/shop-0",
    "target/00000000000000000002/shop-1",
    "target/00000000000000000002/shop-2",
    "target/00000000000000000002/shop-3",
    "term",
];

/// The instances of the change that was under way, with the wave of each.
const WAVES: [(&str, u32, &str); INSTANCES] = [
    ("shop-0", 1, "applied"),
    ("shop-1", 2, "pending"),
    ("shop-2", 3, "pending"),
    ("shop-3", 3, "pending"),
];

/// Greater than that of any start of the fixture: those are microseconds since 1970.
const LATER_INCARNATION: u64 = 10_000_000_000_000_000;

fn stored_state() -> TempDir {
    let copy = TempDir::new().expect("a directory");
    let fixture = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/agent-dd0b5ab");
    for entry in std::fs::read_dir(fixture).expect("the fixture") {
        let from = entry.expect("an entry").path();
        std::fs::copy(&from, copy.path().join(from.file_name().expect("a name"))).expect("a copy");
    }
    copy
}

#[test]
fn every_record_is_read_as_it_was_written() {
    let state = stored_state();
    let store = Store::open(
        RealDisk::open(state.path()).expect("a disk"),
        Options::default(),
    )
    .expect("a store");
    let snapshot = store.snapshot();
    let written: Vec<(String, Value)> = snapshot
        .scan(b"", 0)
        .map(|found| {
            let (key, value) = found.expect("it is read");
            (
                String::from_utf8(key.to_vec()).expect("text"),
                serde_json::from_slice(&value).expect("JSON"),
            )
        })
        .collect();
    drop((snapshot, store));
    let records = DurableStorage::new(state.path())
        .load()
        .expect("it is loaded");
    let read: Vec<(String, Value)> = records
        .into_iter()
        .map(|(key, record)| (key, json!(record)))
        .collect();
    assert_eq!(read, written);
    let keys: Vec<&str> = read.iter().map(|(key, _)| key.as_str()).collect();
    assert_eq!(keys, KEYS);
    let record = |key: &str| {
        &read
            .iter()
            .find(|(own, _)| own == key)
            .expect("it is there")
            .1
    };
    assert_eq!(record("term"), &json!({"term": 1}));
    assert_eq!(record("lending"), &json!({"lending": 30_000_000}));
    assert_eq!(
        record("rollout")["rollout"]["phase"],
        json!({"watch": {"wave": 0}})
    );
    assert_eq!(
        record("rollout")["rollout"]["change"]["id"],
        json!("drain-s2")
    );
}

/// A server's weight of the first change, the drain and the limit of the second, as instances have them in effect.
fn both_changes() -> Value {
    json!({"weight/s1": {"weight": 500}, "drain/s2": {"drained": true}, "limit/pay/open": {"limit": 200}})
}

#[test]
fn the_rollout_goes_on_where_it_was() {
    run(async {
        let mut fleet = TestFleet::with_paces(PACES).await;
        fleet.kill_agent().await;
        let state = stored_state();
        let config = fleet.config();
        let agent = start_server(async || {
            let storage = Box::new(DurableStorage::new(state.path()));
            Agent::start(&config, storage).await
        });
        let agent = agent.await;
        tokio::task::spawn_local(async move {
            agent
                .serve(std::future::pending())
                .await
                .expect("it serves");
        });
        check_state_before(&fleet).await;

        let instances: Vec<TestInstance> =
            (0..INSTANCES).map(|_| TestInstance::default()).collect();
        for (number, instance) in instances.iter().enumerate() {
            // Later starts of the same instances.
            instance.0.borrow_mut().memory.incarnation = LATER_INCARNATION;
            fleet.start_instance(number, instance);
        }
        let rollout = fleet.rollout_ended("drain-s2").await;
        assert!(
            rollout.is_applied() && rollout.targets.len() == INSTANCES,
            "{rollout:?}"
        );
        let overlays = async || {
            let overlays = instances
                .iter()
                .map(|instance| json!(instance.0.borrow().overlay));
            overlays.collect::<Vec<Value>>()
        };
        let has_both =
            |overlays: &Vec<Value>| overlays.iter().all(|overlay| *overlay == both_changes());
        wait_until("both changes are in effect", PATIENCE, overlays, has_both).await;
        let status = get(&fleet, "/v1/status").await;
        assert_eq!(
            (&status["revision"], &status["rolling_out"]),
            (&json!(2), &Value::Null)
        );
        assert_eq!(status["in_effect"], json!(["half-s1", "drain-s2"]));
        assert_eq!(status["lends_all"], json!(false));
    });
}

/// The agent has begun its next term, and the rollout is where the earlier one left it.
async fn check_state_before(fleet: &TestFleet) {
    let rollout = get(fleet, "/v1/rollouts/drain-s2").await;
    let head = (&rollout["revision"], &rollout["by"]["who"], &rollout["end"]);
    assert_eq!(head, (&json!(2), &json!("alice"), &Value::Null));
    assert_eq!(rollout["note"], json!("s2 is to be replaced"));
    assert_eq!(
        rollout["difference"],
        json!(["drain/s2 = true", "limit/pay/open = 200"])
    );
    for (name, wave, state) in WAVES {
        let result = &rollout["results"][name];
        assert_eq!(
            (&result["wave"], &result["state"]),
            (&json!(wave), &json!(state)),
            "{name}"
        );
    }
    let status = get(fleet, "/v1/status").await;
    assert_eq!(
        (&status["term"], &status["rolling_out"]),
        (&json!(2), &json!("drain-s2"))
    );
    assert_eq!(status["in_effect"], json!(["half-s1"]));
    // What the earlier agent granted may be in use for 30 s yet.
    assert_eq!(status["lends_all"], json!(false));
    let first = get(fleet, "/v1/rollouts/half-s1").await;
    assert_eq!(
        (&first["end"], &first["counts"]),
        (&json!("done"), &json!({"applied": INSTANCES}))
    );
}

async fn get(fleet: &TestFleet, path: &str) -> Value {
    let client = fleet.client("vic");
    client
        .request(Method::GET, path, vec![])
        .await
        .expect("it answers")
}
