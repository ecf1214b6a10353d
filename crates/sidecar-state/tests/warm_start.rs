//! A snapshot is weighted by its age, and an old one counts no more than none. Drains last until an operator ends them.

use madderloom_sidecar_state::{
    ClassSnapshot, DecayedSnapshot, Drain, Means, ServerSnapshot, SnapshotDecay, SnapshotWriter,
    WarmStartSnapshot, blend, restore_services,
};
use madderloom_store::sim::{Loss, SimDisk};
use madderloom_store::{Batch, Durability, Options, Store};
use proptest::prelude::*;
use rstest::rstest;

const S: u64 = 1_000_000;
const DECAY: SnapshotDecay = SnapshotDecay {
    half_life: 30 * S,
    max_age: 300 * S,
};
const NOW: u64 = 1_700_000_000 * S;

fn server(name: &str, work: f64, attempt_time: f64) -> ServerSnapshot {
    ServerSnapshot {
        name: name.into(),
        work,
        attempt_time,
        ..ServerSnapshot::default()
    }
}

fn snapshot() -> WarmStartSnapshot {
    let mut sick = server("s2", 1e4, 9e6);
    sick.consecutive_failures = 5;
    (sick.ejection_left, sick.ejection_time) = (8 * S, 16 * S);
    let class = ClassSnapshot {
        name: "read".into(),
        usual_work: 2e4,
        slow_time: 9e4,
    };
    WarmStartSnapshot {
        taken_at: NOW,
        means: Means {
            work: 2e4,
            answer_time: 3e4,
        },
        servers: vec![server("s1", 4e5, 1e6), sick],
        classes: vec![class],
    }
}

fn open(disk: &SimDisk) -> Store<SimDisk> {
    Store::open(disk.clone(), Options::default()).expect("it opens")
}

#[rstest]
#[case::now(0, 1.0)]
#[case::a_half_later(30 * S as i64, 0.5)]
#[case::two_halves_later(60 * S as i64, 0.25)]
#[case::at_the_oldest(300 * S as i64, 1.0 / 1024.0)]
#[case::older(300 * S as i64 + 1, 0.0)]
#[case::a_clock_set_back_a_little(-(S as i64), 1.0)]
#[case::a_clock_set_back(-(S as i64) - 1, 0.0)]
#[case::a_clock_at_nothing(-(NOW as i64), 0.0)]
fn the_weight_halves_and_ends(#[case] age: i64, #[case] weight: f64) {
    let now = NOW.checked_add_signed(age).expect("it fits");
    assert!(
        (DECAY.weight(NOW, now) - weight).abs() < 1e-12,
        "{}",
        DECAY.weight(NOW, now)
    );
}

#[test]
fn a_servers_throughput_stays_and_its_weight_decays() {
    let decayed = snapshot().decayed(NOW + 30 * S, DECAY);
    assert_eq!(decayed.servers[0], server("s1", 2e5, 5e5));
    // The consecutive failures decay, too, and the ejection has ended.
    assert_eq!(
        (
            decayed.servers[1].consecutive_failures,
            decayed.servers[1].ejection_left
        ),
        (2, 0)
    );
    assert_eq!(decayed.servers[1].ejection_time, 0);
    let sooner = snapshot().decayed(NOW + 3 * S, DECAY);
    assert_eq!(
        (
            sooner.servers[1].ejection_left,
            sooner.servers[1].ejection_time
        ),
        (5 * S, 16 * S)
    );
    assert_eq!(
        snapshot().decayed(NOW + 301 * S, DECAY),
        DecayedSnapshot::default()
    );
    assert_eq!(
        snapshot().decayed(NOW - 60 * S, DECAY),
        DecayedSnapshot::default()
    );
}

#[test]
fn a_blend_lies_between_the_assumption_and_the_stored_value() {
    assert!((blend(100.0, 400.0, 0.5) - 200.0).abs() < 1e-9);
    assert!((blend(100.0, 400.0, 0.0) - 100.0).abs() < 1e-9);
    assert!((blend(100.0, 400.0, 1.0) - 400.0).abs() < 1e-9);
    assert_eq!(
        [0.0, -1.0, f64::NAN, f64::INFINITY].map(|odd| blend(100.0, odd, 0.5)),
        [100.0; 4]
    );
}

#[test]
fn a_snapshot_is_read_after_a_restart_without_what_was_removed() {
    let disk = SimDisk::new();
    let mut store = open(&disk);
    let mut writer = SnapshotWriter::load(&store.snapshot(), "shop").expect("it reads");
    assert_eq!(WarmStartSnapshot::load(&store.snapshot(), "shop"), Ok(None));
    let pending = writer.prepare(&snapshot());
    store
        .write(&pending.batch, Durability::Durable)
        .expect("it is written");
    writer.set_written(pending);
    // Only what has changed is written, by a process that continues as by one that has just started.
    let mut later = snapshot();
    later.taken_at += S;
    later.servers.remove(0);
    let unchanged = writer.prepare(&snapshot()).batch.size();
    assert!(unchanged < 90, "{unchanged}");
    let anew = SnapshotWriter::load(&store.snapshot(), "shop").expect("it reads");
    assert_eq!(anew.prepare(&snapshot()).batch.size(), unchanged);
    store
        .write(&anew.prepare(&later).batch, Durability::Durable)
        .expect("it is written");
    drop(store);
    let store = open(&disk.lose_power(Loss::All));
    assert_eq!(
        WarmStartSnapshot::load(&store.snapshot(), "shop"),
        Ok(Some(later))
    );
    assert_eq!(WarmStartSnapshot::load(&store.snapshot(), "sho"), Ok(None));
    let all = restore_services(&store.snapshot()).expect("it reads");
    assert_eq!(all.keys().collect::<Vec<_>>(), ["shop"]);
    let mut store = store;
    store
        .write(&all["shop"].writer.delete_batch(), Durability::Durable)
        .expect("it is written");
    assert!(
        restore_services(&store.snapshot())
            .expect("it reads")
            .is_empty()
    );
}

#[test]
fn invalid_values_in_the_store_are_left_out() {
    let disk = SimDisk::new();
    let mut store = open(&disk);
    let writer = SnapshotWriter::load(&store.snapshot(), "shop").expect("it reads");
    let mut batch = writer.prepare(&snapshot()).batch;
    for (name, value) in [
        ("a", r#"{"name":"a","work":-1,"time":1}"#),
        ("b", r#"{"name":"b","work":1e999,"time":1}"#),
        ("c", "nonsense"),
    ] {
        batch.put(format!("warm/shop\0server/{name}"), value);
    }
    store
        .write(&batch, Durability::Durable)
        .expect("it is written");
    let read = WarmStartSnapshot::load(&store.snapshot(), "shop")
        .expect("it reads")
        .expect("it is there");
    assert_eq!(read, snapshot());
    store
        .write(
            Batch::new().put("warm/shop\0taken", "later"),
            Durability::Durable,
        )
        .expect("it is written");
    assert_eq!(WarmStartSnapshot::load(&store.snapshot(), "shop"), Ok(None));
}

#[test]
fn a_drain_lasts_until_an_operator_ends_it() {
    let disk = SimDisk::new();
    let mut store = open(&disk);
    let drain = |server: &str| Drain {
        server: server.into(),
        drained_at: NOW,
        requested_by: "ada".into(),
    };
    let unknown = |server: &str| Drain {
        server: server.into(),
        drained_at: 0,
        requested_by: String::new(),
    };
    for server in ["s2", "s1"] {
        store
            .write(&drain(server).put_batch("shop"), Durability::Durable)
            .expect("it is written");
    }
    // A server whose record another program has damaged stays drained.
    store.put(b"drain/shop\0s3", b"?").expect("it is written");
    store
        .put(
            b"drain/shop\0s4",
            br#"{"server":"s1","since":1,"by":"ada"}"#,
        )
        .expect("it is written");
    drop(store);
    let mut store = open(&disk.lose_power(Loss::All));
    let read = Drain::load(&store.snapshot(), "shop").expect("it reads");
    assert_eq!(
        read,
        [drain("s1"), drain("s2"), unknown("s3"), unknown("s4")]
    );
    store
        .write(&Drain::delete_batch("shop", "s1"), Durability::Durable)
        .expect("it is written");
    assert_eq!(
        Drain::load(&store.snapshot(), "shop")
            .expect("it reads")
            .len(),
        3
    );
    assert_eq!(Drain::load(&store.snapshot(), "sh"), Ok(Vec::new()));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(9),
        ..ProptestConfig::default() })]

    /// For any times and measurements nothing overflows, and no snapshot gains weight.
    #[test]
    fn no_snapshot_gains_weight(taken_at: u64, now: u64, half_life: u64, max_age: u64, work: f64, time: f64, failures: u32) {
        let decay = SnapshotDecay { half_life, max_age };
        let weight = decay.weight(taken_at, now);
        prop_assert!((0.0..=1.0).contains(&weight));
        prop_assert!(decay.weight(taken_at, now.saturating_add(S)) <= weight || taken_at > now);
        let stored = ServerSnapshot { consecutive_failures: failures, ejection_left: now, ..server("s", work, time) };
        let means = Means { work: 1.0, answer_time: 1.0 };
        let snapshot = WarmStartSnapshot { taken_at, means, servers: vec![stored], classes: Vec::new() };
        for server in snapshot.decayed(now, decay).servers {
            prop_assert!(server.work <= work && server.attempt_time <= time && server.consecutive_failures <= failures);
            prop_assert!(server.work >= 0.0 && server.attempt_time.is_finite());
        }
    }
}
