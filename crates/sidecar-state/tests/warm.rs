//! What is remembered counts by its age, and an old memory counts no more than knowing nothing.

use madderloom_sidecar_state::{
    Aging, ClassMemory, Drain, Recalled, ServerMemory, Warm, WarmWriter, blend, recollect,
};
use madderloom_store::sim::{Loss, SimDisk};
use madderloom_store::{Batch, Durability, Options, Store};
use proptest::prelude::*;
use rstest::rstest;

const S: u64 = 1_000_000;
const AGING: Aging = Aging {
    half: 30 * S,
    oldest: 300 * S,
};
const NOW: u64 = 1_700_000_000 * S;

fn server(name: &str, work: f64, time: f64) -> ServerMemory {
    ServerMemory {
        name: name.into(),
        work,
        time,
        ..ServerMemory::default()
    }
}

fn warm() -> Warm {
    let mut sick = server("s2", 1e4, 9e6);
    (sick.failures, sick.ejected, sick.ejection) = (5, 8 * S, 16 * S);
    let class = ClassMemory {
        name: "read".into(),
        cost: 2e4,
        slow: 9e4,
    };
    Warm {
        taken: NOW,
        means: (2e4, 3e4),
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
        (AGING.weight(NOW, now) - weight).abs() < 1e-12,
        "{}",
        AGING.weight(NOW, now)
    );
}

#[test]
fn a_servers_value_stays_and_its_weight_against_the_unknown_fades() {
    let recalled = warm().recall(NOW + 30 * S, AGING);
    assert_eq!(recalled.servers[0], server("s1", 2e5, 5e5));
    // The failures in a row fade, too, and the ejection has ended meanwhile.
    assert_eq!(
        (recalled.servers[1].failures, recalled.servers[1].ejected),
        (2, 0)
    );
    assert_eq!(recalled.servers[1].ejection, 0);
    let sooner = warm().recall(NOW + 3 * S, AGING);
    assert_eq!(
        (sooner.servers[1].ejected, sooner.servers[1].ejection),
        (5 * S, 16 * S)
    );
    assert_eq!(warm().recall(NOW + 301 * S, AGING), Recalled::default());
    assert_eq!(warm().recall(NOW - 60 * S, AGING), Recalled::default());
}

#[test]
fn a_blend_lies_between_the_guess_and_what_is_remembered() {
    assert!((blend(100.0, 400.0, 0.5) - 200.0).abs() < 1e-9);
    assert!((blend(100.0, 400.0, 0.0) - 100.0).abs() < 1e-9);
    assert!((blend(100.0, 400.0, 1.0) - 400.0).abs() < 1e-9);
    assert_eq!(
        [0.0, -1.0, f64::NAN, f64::INFINITY].map(|odd| blend(100.0, odd, 0.5)),
        [100.0; 4]
    );
}

#[test]
fn what_is_written_is_read_after_a_restart_and_what_is_gone_is_not() {
    let disk = SimDisk::new();
    let mut store = open(&disk);
    let mut writer = WarmWriter::new(&store.snapshot(), "shop").expect("it reads");
    assert_eq!(Warm::load(&store.snapshot(), "shop"), Ok(None));
    let (batch, entries) = writer.batch(&warm());
    store
        .write(&batch, Durability::Durable)
        .expect("it is written");
    writer.written(entries);
    // Only what has changed is written anew, by a process that goes on as by one that begins.
    let mut later = warm();
    later.taken += S;
    later.servers.remove(0);
    let unchanged = writer.batch(&warm()).0.size();
    assert!(unchanged < 90, "{unchanged}");
    let anew = WarmWriter::new(&store.snapshot(), "shop").expect("it reads");
    assert_eq!(anew.batch(&warm()).0.size(), unchanged);
    store
        .write(&anew.batch(&later).0, Durability::Durable)
        .expect("it is written");
    drop(store);
    let store = open(&disk.lose_power(Loss::All));
    assert_eq!(Warm::load(&store.snapshot(), "shop"), Ok(Some(later)));
    assert_eq!(Warm::load(&store.snapshot(), "sho"), Ok(None));
    let all = recollect(&store.snapshot()).expect("it reads");
    assert_eq!(all.keys().collect::<Vec<_>>(), ["shop"]);
    let mut store = store;
    store
        .write(&all["shop"].writer.forget(), Durability::Durable)
        .expect("it is written");
    assert!(recollect(&store.snapshot()).expect("it reads").is_empty());
}

#[test]
fn what_makes_no_sense_in_the_store_is_left_out() {
    let disk = SimDisk::new();
    let mut store = open(&disk);
    let (mut batch, _) = WarmWriter::new(&store.snapshot(), "shop")
        .expect("it reads")
        .batch(&warm());
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
    let read = Warm::load(&store.snapshot(), "shop")
        .expect("it reads")
        .expect("it is there");
    assert_eq!(read, warm());
    store
        .write(
            Batch::new().put("warm/shop\0taken", "later"),
            Durability::Durable,
        )
        .expect("it is written");
    assert_eq!(Warm::load(&store.snapshot(), "shop"), Ok(None));
}

#[test]
fn a_drain_lasts_until_an_operator_ends_it() {
    let disk = SimDisk::new();
    let mut store = open(&disk);
    let drain = |server: &str| Drain {
        server: server.into(),
        since: NOW,
        by: "ada".into(),
    };
    let unknown = |server: &str| Drain {
        server: server.into(),
        since: 0,
        by: String::new(),
    };
    for server in ["s2", "s1"] {
        store
            .write(&drain(server).keep("shop"), Durability::Durable)
            .expect("it is written");
    }
    // One whose record is damaged by another program stays drained.
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
        .write(&Drain::end("shop", "s1"), Durability::Durable)
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

    /// Whatever times and measurements are met: nothing overflows, and no memory weighs more than it did.
    #[test]
    fn no_memory_gains_weight(taken: u64, now: u64, half: u64, oldest: u64, work: f64, time: f64, failures: u32) {
        let aging = Aging { half, oldest };
        let weight = aging.weight(taken, now);
        prop_assert!((0.0..=1.0).contains(&weight));
        prop_assert!(aging.weight(taken, now.saturating_add(S)) <= weight || taken > now);
        let memory = ServerMemory { failures, ejected: now, ..server("s", work, time) };
        let recalled = Warm { taken, means: (1.0, 1.0), servers: vec![memory], classes: Vec::new() }.recall(now, aging);
        for server in recalled.servers {
            prop_assert!(server.work <= work && server.time <= time && server.failures <= failures);
            prop_assert!(server.work >= 0.0 && server.time.is_finite());
        }
    }
}
