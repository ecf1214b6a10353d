//! A state directory that an earlier agent left in the middle of a rollout, with leases granted, opens: every record
//! is read as it was written, and the rollout goes on to its end.

mod common;

use common::{Rig, Toy, run};
use hyper::Method;
use madderloom_agent::{Agent, Lasting, Storage, view};
use madderloom_store::{Options, RealDisk, Store};
use serde_json::{Value, json};
use std::path::Path;
use std::time::{Duration, Instant};
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
const WAVES: [(&str, u32, &str); INSTANCES] =
    [("shop-0", 1, "applied"), ("shop-1", 2, "pending"), ("shop-2", 3, "pending"), ("shop-3", 3, "pending")];

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
    let store =
        Store::open(RealDisk::open(state.path()).expect("a disk"), Options::default()).expect("a store");
    let snapshot = store.snapshot();
    let written: Vec<(String, Value)> = snapshot
        .scan(b"", 0)
        .map(|found| {
            let (key, value) = found.expect("it is read");
            (String::from_utf8(key.to_vec()).expect("text"), serde_json::from_slice(&value).expect("JSON"))
        })
        .collect();
    drop((snapshot, store));
    let records = Lasting::new(state.path()).load().expect("it is loaded");
    let read: Vec<(String, Value)> = records.into_iter().map(|(key, record)| (key, json!(record))).collect();
    assert_eq!(read, written);
    let keys: Vec<&str> = read.iter().map(|(key, _)| key.as_str()).collect();
    assert_eq!(keys, KEYS);
    let record = |key: &str| &read.iter().find(|(own, _)| own == key).expect("it is there").1;
    assert_eq!(record("term"), &json!({"term": 1}));
    assert_eq!(record("lending"), &json!({"lending": 30_000_000}));
    assert_eq!(record("rollout")["rollout"]["phase"], json!({"watch": {"wave": 0}}));
    assert_eq!(record("rollout")["rollout"]["change"]["id"], json!("drain-s2"));
}

/// A server's weight of the first change, the drain and the limit of the second, as instances have them in effect.
fn both_changes() -> Value {
    json!({"weight/s1": {"weight": 500}, "drain/s2": {"drained": true}, "limit/pay/open": {"limit": 200}})
}

#[test]
fn the_rollout_goes_on_where_it_was() {
    run(async {
        let mut rig = Rig::at_paces(PACES).await;
        rig.kill_agent().await;
        let state = stored_state();
        let agent = start(&rig, state.path()).await;
        let client = rig.client("vic");
        let before: view::Rollouts =
            client.get(Method::GET, "/v1/rollouts/drain-s2", vec![]).await.expect("it is known");
        assert_eq!((before.revision, before.by.who.as_str(), before.end), (2, "alice", None));
        assert_eq!(before.note, "s2 is to be replaced");
        assert_eq!(before.difference, ["drain/s2 = true", "limit/pay/open = 200"]);
        let waves: Vec<(&str, u32, &str)> = before
            .results
            .iter()
            .map(|(name, result)| (name.as_str(), result.wave, result.state.as_str()))
            .collect();
        assert_eq!(waves, WAVES);
        let status = rig.status().await.expect("it answers");
        assert_eq!((status.term, status.rolling_out.as_deref()), (2, Some("drain-s2")));
        assert_eq!(status.in_effect, ["half-s1"]);
        // What the earlier agent granted may be in use for 30 s yet.
        assert_eq!(status.lends_all, Some(false));
        let first: view::Rollouts =
            client.get(Method::GET, "/v1/rollouts/half-s1", vec![]).await.expect("it is known");
        assert!(first.is_applied() && first.results.len() == INSTANCES, "{first:?}");

        let toys: Vec<Toy> = (0..INSTANCES).map(|_| Toy::default()).collect();
        for (number, toy) in toys.iter().enumerate() {
            // Later starts of the same instances.
            toy.0.borrow_mut().memory.incarnation = LATER_INCARNATION;
            rig.start_instance(number, toy);
        }
        let rollout = rig.ended("drain-s2").await;
        assert!(rollout.is_applied() && rollout.results.len() == INSTANCES, "{rollout:?}");
        let begin = Instant::now();
        while toys.iter().any(|toy| json!(toy.0.borrow().overlay) != both_changes()) {
            let overlays: Vec<Value> = toys.iter().map(|toy| json!(toy.0.borrow().overlay)).collect();
            assert!(begin.elapsed() < Duration::from_secs(20), "not in effect everywhere: {overlays:?}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let status = rig.status().await.expect("it answers");
        assert_eq!((status.revision, status.rolling_out, status.lends_all), (2, None, Some(false)));
        assert_eq!(status.in_effect, ["half-s1", "drain-s2"]);
        agent.abort();
    });
}

async fn start(rig: &Rig, state: &Path) -> tokio::task::JoinHandle<()> {
    let begin = Instant::now();
    let agent = loop {
        // The port of the former one may take a moment to be free.
        match Agent::start(&rig.config(), Box::new(Lasting::new(state))).await {
            Ok(agent) => break agent,
            Err(problem) if begin.elapsed() > Duration::from_secs(20) => panic!("{problem}"),
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    };
    tokio::task::spawn_local(async move {
        agent.serve(std::future::pending()).await.expect("it serves");
    })
}
