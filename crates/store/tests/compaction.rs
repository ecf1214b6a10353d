//! A compaction loses no write, can be abandoned, and bounds the log.

mod common;

use common::*;
use madderloom_store::sim::SimDisk;
use madderloom_store::{Batch, Durability, Options, Store};

#[test]
fn writes_made_while_a_compaction_runs_are_not_undone_by_it() {
    let disk = SimDisk::new();
    let mut store = open(&disk).expect("it opens");
    let mut expected = Map::new();
    let set = |store: &mut Store<SimDisk>, expected: &mut Map, key: String, value: &str| {
        store
            .put(key.as_bytes(), value.as_bytes())
            .expect("it is written");
        expected.insert(key.into_bytes(), value.as_bytes().to_vec());
    };
    for i in 0..60 {
        set(&mut store, &mut expected, format!("k{i:02}"), "before");
    }
    let mut compaction = store.begin_compaction(0).expect("it begins");
    let mut steps = 0;
    while !compaction.step(20).expect("it goes on") {
        set(
            &mut store,
            &mut expected,
            format!("k{:02}", (steps * 13) % 60),
            "during",
        );
        set(&mut store, &mut expected, format!("n{steps:02}"), "during");
        let gone = format!("k{:02}", (steps * 17) % 60);
        store.delete(gone.as_bytes()).expect("it is written");
        expected.remove(gone.as_bytes());
        steps += 1;
    }
    assert!(steps > 10, "{steps}");
    store.finish_compaction(compaction).expect("it is switched");
    while store.relocate_entries(7) {
        set(
            &mut store,
            &mut expected,
            format!("k{:02}", (steps * 29) % 60),
            "after",
        );
        steps += 1;
        assert_eq!(contents(&store), expected);
    }
    assert_eq!(contents(&store), expected);
    drop(store);
    assert_eq!(contents(&open(&disk).expect("it opens")), expected);
}

#[test]
fn a_compaction_that_is_given_up_leaves_the_store_as_it_was() {
    let disk = SimDisk::new();
    let mut store = open(&disk).expect("it opens");
    for i in 0..60 {
        store
            .put(format!("k{i:02}").as_bytes(), &[7; 50])
            .expect("it is written");
    }
    let before = contents(&store);
    for steps in 0..4 {
        let mut compaction = store.begin_compaction(0).expect("it begins");
        let names = disk.files().len();
        for _ in 0..steps {
            compaction.step(1_000).expect("it goes on");
        }
        drop(compaction);
        assert_eq!(disk.files().len(), names, "{steps}");
    }
    assert_eq!(contents(&store), before);
    drop(store);
    assert_eq!(contents(&open(&disk).expect("it opens")), before);
}

/// The log stays within twice the live bytes, the slack, and what is reserved, whatever is overwritten or expires.
#[test]
fn compaction_when_due_bounds_the_log() {
    let disk = SimDisk::new();
    let options = Options {
        segment_bytes: 4096,
        compaction_slack_bytes: 4096,
        max_preallocated_bytes: 1024,
        ..SMALL
    };
    let mut store = Store::open(disk.clone(), options).expect("it opens");
    let (mut compactions, mut worst) = (0, 0);
    for i in 0..20_000_u64 {
        let mut batch = Batch::new();
        // Times in steps of the count of expiries, which is coarse.
        let now = i << 23;
        batch.put(format!("k{}", i % 50), vec![1; 40]).put_until(
            i.to_be_bytes(),
            "x",
            now + (20 << 23),
        );
        store
            .write(&batch, Durability::Relaxed)
            .expect("it is written");
        let stat = store.statistics(now);
        worst = worst.max(stat.log_bytes.saturating_sub(2 * stat.live_bytes));
        if store.is_compaction_due(now) {
            store.compact(now).expect("it compacts");
            compactions += 1;
            assert!(!store.is_compaction_due(now), "one compaction suffices");
            assert!(store.statistics(now).keys <= 50 + 21);
        }
    }
    assert!(compactions > 50, "{compactions}");
    assert!(worst <= 4096 + 200, "{worst}");
    assert!(disk.used_bytes() < 20_000, "{}", disk.used_bytes());
}
