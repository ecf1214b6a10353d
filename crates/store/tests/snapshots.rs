//! A snapshot stays what it was while writes, compactions and removals of files go on.

mod common;

use common::*;
use madderloom_store::sim::SimDisk;
use madderloom_store::{Batch, Durability, Options, RealDisk, Store};

#[test]
fn a_snapshot_held_through_three_compactions_reads_as_it_did() {
    let directory = tempfile::tempdir().expect("a directory");
    let disk = RealDisk::open(directory.path()).expect("it is there");
    let mut store = Store::open(disk, SMALL).expect("it opens");
    for i in 0..100 {
        store
            .put(format!("k{i:03}").as_bytes(), format!("old {i}").as_bytes())
            .expect("it is written");
    }
    let snapshot = store.snapshot();
    let read = || -> Vec<(Vec<u8>, Vec<u8>)> {
        snapshot
            .scan(b"k", 0)
            .map(|e| e.map(|(k, v)| (k.to_vec(), v)).expect("it reads"))
            .collect()
    };
    let before = read();
    for round in 0..3 {
        for i in 0..100 {
            let mut batch = Batch::new();
            batch
                .put(format!("k{i:03}"), format!("new {round}"))
                .delete(format!("k{:03}", (i * 7) % 100));
            store
                .write(&batch, Durability::Relaxed)
                .expect("it is written");
        }
        store.compact(0).expect("it compacts");
        assert_eq!(read(), before, "round {round}");
    }
    assert_eq!(before.len(), 100);
    assert_ne!(store.snapshot().len(), 100);
    // Of what it held open, no name is left: only the files that the manifest lists, and the manifest.
    let names = std::fs::read_dir(directory.path())
        .expect("it reads")
        .count();
    assert_eq!(names as u64, store.statistics(0).segments + 1);
    // With it, the files that only it needed are closed: what is left is the log's, and the directory, which is locked.
    drop(snapshot);
    let held = std::fs::read_dir("/proc/self/fd")
        .expect("it reads")
        .flatten();
    let held = held
        .filter(|e| std::fs::read_link(e.path()).is_ok_and(|l| l.starts_with(directory.path())));
    assert_eq!(held.count() as u64, store.statistics(0).segments + 1);
}

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

#[test]
fn a_scan_finds_the_keys_of_a_prefix_in_their_order() {
    let mut store = open(&SimDisk::new()).expect("it opens");
    for key in ["b", "a/2", "a", "a/1", "a/", "a0", "", "a/10"] {
        store
            .put(key.as_bytes(), key.as_bytes())
            .expect("it is written");
    }
    let snapshot = store.snapshot();
    let scan = |prefix: &str| -> Vec<String> {
        let entries = snapshot
            .scan(prefix.as_bytes(), 0)
            .map(|e| e.expect("it reads").1);
        entries
            .map(|v| String::from_utf8(v).expect("text"))
            .collect()
    };
    assert_eq!(scan("a/"), ["a/", "a/1", "a/10", "a/2"]);
    assert_eq!(scan(""), ["", "a", "a/", "a/1", "a/10", "a/2", "a0", "b"]);
    assert_eq!(scan("c"), Vec::<String>::new());
}
