//! A snapshot stays what it was while writes, compactions and removals of files go on.

mod common;

use common::*;
use madderloom_store::sim::SimDisk;
use madderloom_store::{Batch, Durability, RealDisk, Store};

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
