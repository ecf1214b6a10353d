//! Entries expire by the times that readers pass in, whatever the clock does.

mod common;

use common::*;
use madderloom_store::sim::SimDisk;
use madderloom_store::{Batch, Durability, Store};

/// Expiry is a matter of the times passed in, also where they go back between two starts: an entry is absent whenever
/// it has expired by the time it is read at, and gone for good only once a compaction has dropped it.
#[test]
fn a_clock_that_goes_back_brings_back_what_had_expired_and_loses_nothing() {
    let disk = SimDisk::new();
    let mut store = open(&disk).expect("it opens");
    store
        .write(
            Batch::new().put_until("a", "1", 1_000).put("b", "1"),
            Durability::Durable,
        )
        .expect("written");
    let has = |store: &Store<SimDisk>, now| store.get(b"a", now).expect("it reads").is_some();
    assert_eq!((has(&store, 999), has(&store, 1_000)), (true, false));
    drop(store);
    let mut store = open(&disk).expect("it opens");
    assert!(
        has(&store, 10),
        "an earlier time reads what has not expired by it"
    );
    store.compact(500).expect("it compacts");
    assert!(has(&store, 10));
    store.compact(1_000).expect("it compacts");
    assert!(
        !has(&store, 10),
        "a compaction drops what has expired by its time"
    );
    assert_eq!(store.statistics(0).keys, 1);
    drop(store);
    assert!(!has(&open(&disk).expect("it opens"), 10));
}

/// An older value of a key must not come back once the newer one has expired and is dropped.
#[test]
fn an_expired_value_does_not_uncover_the_one_before_it() {
    let disk = SimDisk::new();
    let mut store = open(&disk).expect("it opens");
    store.put(b"a", b"old").expect("it is written");
    store
        .write(Batch::new().put_until("a", "new", 10), Durability::Durable)
        .expect("it is written");
    for _ in 0..3 {
        store.compact(10).expect("it compacts");
        drop(store);
        store = open(&disk).expect("it opens");
        assert_eq!(store.get(b"a", 0), Ok(None));
    }
}
