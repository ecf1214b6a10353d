//! Keys, values and batches of every size, the limit of what waits, and many keys.

mod common;

use common::*;
use madderloom_store::sim::SimDisk;
use madderloom_store::{
    Batch, Durability, Error, MAX_BATCH_BYTES, MAX_KEY_BYTES, Options, RealDisk, Store,
};
use rstest::rstest;

#[test]
fn what_is_large_and_what_is_empty_is_kept_and_what_is_too_large_is_refused() {
    let disk = SimDisk::new();
    let mut store = Store::open(disk.clone(), Options::default()).expect("it opens");
    let large: Vec<u8> = (0..64 << 10).map(|i| (i % 251) as u8).collect();
    let largest = vec![7; MAX_BATCH_BYTES - MAX_KEY_BYTES - 15];
    store.put(b"", &large).expect("a key of nothing");
    store.put(b"empty", b"").expect("a value of nothing");
    store
        .put(b"\0", b"small")
        .expect("small, before what is large");
    store
        .put(&vec![1; MAX_KEY_BYTES], &largest)
        .expect("the largest that may be");
    assert!(matches!(
        store.put(&vec![1; MAX_KEY_BYTES + 1], b""),
        Err(Error::KeyTooLarge { .. })
    ));
    assert!(matches!(
        store.put(b"a", &vec![0; MAX_BATCH_BYTES]),
        Err(Error::BatchTooLarge { .. })
    ));
    assert_eq!(store.write(&Batch::new(), Durability::Durable), Ok(4));
    for _ in 0..2 {
        assert_eq!(store.get(b"", 0), Ok(Some(large.clone())));
        assert_eq!(store.get(b"empty", 0), Ok(Some(Vec::new())));
        assert_eq!(
            store
                .get(&vec![1; MAX_KEY_BYTES], 0)
                .map(|v| v == Some(largest.clone())),
            Ok(true)
        );
        assert_eq!(
            store.snapshot().scan(b"", 0).filter(Result::is_ok).count(),
            4
        );
        store.compact(0).expect("it compacts");
        drop(store);
        store = Store::open(disk.clone(), Options::default()).expect("it opens");
    }
}

#[test]
fn more_than_may_wait_is_refused_and_what_waits_is_written() {
    let disk = SimDisk::new();
    let mut store = Store::open(
        disk,
        Options {
            max_pending_bytes: 1_000,
            ..SMALL
        },
    )
    .expect("it opens");
    let large = Batch::new().put("large", vec![0; 5_000]).clone();
    store.append(&large).expect("alone, any batch is taken");
    assert_eq!(
        store.append(Batch::new().put("small", "1")),
        Err(Error::Busy)
    );
    assert_eq!(
        store.get(b"large", 0),
        Ok(None),
        "nothing can be read before it is written"
    );
    store.commit(Durability::Durable).expect("it is written");
    assert_eq!(
        store.get(b"large", 0).map(|v| v.map(|v| v.len())),
        Ok(Some(5_000))
    );
}

/// What compaction goes by is the same whether it was counted as it was written or as it was read.
#[test]
fn live_bytes_are_counted_alike_before_and_after_a_restart() {
    let disk = SimDisk::new();
    run_script(&disk, &script(40));
    let mut store = open(&disk).expect("it opens");
    for i in 0..50_u64 {
        store
            .write(
                Batch::new().put_until([7], "x", i << 24),
                Durability::Durable,
            )
            .expect("it is written");
    }
    let counts = |store: &Store<SimDisk>| {
        [0, 49 << 24, 60 << 24]
            .map(|now| (store.statistics(now).live_bytes, store.statistics(now).keys))
    };
    let before = counts(&store);
    assert_eq!(before[1].0 - before[2].0, 17);
    drop(store);
    assert_eq!(counts(&open(&disk).expect("it opens")), before);
}

/// A million small keys take a while in a build without optimization: CI takes fewer.
#[rstest]
#[case::in_ci(50_000)]
#[ignore = "takes a while"]
#[case::a_million(1_000_000)]
fn many_small_keys_are_found_in_order_after_a_restart(#[case] keys: u32) {
    let directory = tempfile::tempdir().expect("a directory");
    let disk = RealDisk::open(directory.path()).expect("it is there");
    let mut store = Store::open(disk.clone(), Options::default()).expect("it opens");
    for i in 0..keys {
        // Out of order, each once.
        let key = u64::from(i).wrapping_mul(2_654_435_761) % (1 << 32);
        store
            .append(Batch::new().put((key as u32).to_be_bytes(), i.to_le_bytes()))
            .expect("it is taken");
        if i % 1_000 == 999 {
            store.commit(Durability::Relaxed).expect("it is written");
        }
    }
    store.commit(Durability::Durable).expect("it is written");
    store.compact(0).expect("it compacts");
    drop(store);
    let store = Store::open(disk, Options::default()).expect("it opens");
    let snapshot = store.snapshot();
    let found: Vec<u32> = snapshot
        .keys(b"", 0)
        .map(|entry| u32::from_be_bytes(entry.key.try_into().expect("four bytes")))
        .collect();
    assert!(found.is_sorted_by(|a, b| a < b) && found.len() == keys as usize);
    assert_eq!(
        store.get(&0_u32.to_be_bytes(), 0),
        Ok(Some(0_u32.to_le_bytes().to_vec()))
    );
}
