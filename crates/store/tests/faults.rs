//! A disk that fills, flushes that fail, two processes, clocks that go back, and what is large, empty or many.

mod common;

use common::*;
use madderloom_store::sim::{Loss, SimDisk};
use madderloom_store::{
    Batch, Durability, Error, MAX_BATCH_BYTES, MAX_KEY_BYTES, Options, RealDisk, Store, verify,
};
use rstest::rstest;
use std::io::ErrorKind;

/// Room for every count of bytes that ends somewhere in a batch, a compaction or a manifest; then there is more.
#[test]
fn a_disk_that_is_full_anywhere_refuses_writes_and_takes_them_once_there_is_room() {
    let (steps, states) = (script(30), states(30));
    let whole = SimDisk::new();
    run(&whole, &steps);
    let most = whole.used_bytes() + 2_000;
    let mut refusals = 0;
    for room in (40..most).step_by(13) {
        let disk = SimDisk::new();
        disk.set_capacity(Some(room));
        let mut store = open(&disk).expect("opening takes no room");
        let mut map = Map::new();
        for (i, step) in steps
            .iter()
            .filter(|s| !matches!(s, Step::Reopen))
            .enumerate()
        {
            let Step::Write(batch, durability) = step else {
                let _ = store.compact(0);
                assert_eq!(contents(&store), map, "room {room}, step {i}");
                continue;
            };
            let written = store.write(batch, *durability);
            match &written {
                Ok(_) => {}
                Err(Error::DiskFull { .. }) => refusals += 1,
                Err(other) => panic!("room {room}, step {i}: {other}"),
            }
            if written.is_err() {
                // Neither half of it nor anything else has changed; with room again it is taken.
                assert_eq!(contents(&store), map, "room {room}, step {i}");
                disk.set_capacity(None);
                store
                    .write(batch, *durability)
                    .expect("there is room again");
                disk.set_capacity(Some(disk.used_bytes() + 100));
            }
            map = contents(&store);
        }
        assert_eq!(map, states[30], "room {room}");
        disk.set_capacity(None);
        store
            .commit(Durability::Durable)
            .expect("there is room again");
        drop(store);
        assert_eq!(
            contents(&open(&disk.lose_power(Loss::All)).expect("it opens")),
            map,
            "room {room}"
        );
    }
    assert!(refusals > 100, "{refusals}");
}

/// Space is reserved ahead only where there is some; what little is left is used.
#[test]
fn a_disk_with_less_room_than_is_reserved_ahead_is_used_to_its_end() {
    let disk = SimDisk::new();
    disk.set_capacity(Some(10_000));
    let mut store = Store::open(disk.clone(), Options::default()).expect("it opens");
    let mut written = 0;
    while store.put(&[written], &[0; 200]).is_ok() {
        written += 1;
    }
    assert!(written >= 38, "{written} of 247 bytes in 10,000");
    assert!(matches!(
        store.put(b"more", &[0; 200]),
        Err(Error::DiskFull { .. })
    ));
    assert_eq!(store.snapshot().len(), usize::from(written));
}

#[test]
fn what_a_failed_flush_was_to_flush_reads_as_absent_and_the_log_goes_on() {
    let disk = SimDisk::new();
    let mut store = open(&disk).expect("it opens");
    store.put(b"a", b"1").expect("it is written");
    store
        .write(Batch::new().put("relaxed", "1"), Durability::Relaxed)
        .expect("it is written");
    let segments = store.statistics(0).segments;
    // The write, then its flush.
    disk.fail_in(2, ErrorKind::Other);
    assert!(matches!(store.put(b"b", b"1"), Err(Error::Io { .. })));
    assert_eq!(store.get(b"b", 0), Ok(None));
    assert_eq!(store.get(b"relaxed", 0), Ok(Some(b"1".to_vec())));
    store.put(b"c", b"1").expect("the log goes on");
    assert_eq!(store.statistics(0).segments, segments + 1);
    drop(store);
    // What was acknowledged behind the failed flush does not lean on what that lost.
    let store = open(&disk.lose_power(Loss::All)).expect("it opens");
    assert_eq!(
        contents(&store).into_keys().collect::<Vec<_>>(),
        [&b"a"[..], b"c", b"relaxed"]
    );
}

#[test]
fn with_the_directorys_flush_failed_behind_a_rename_nothing_more_is_written_before_it_is_opened_again()
 {
    let disk = SimDisk::new();
    let mut store = open(&disk).expect("it opens");
    store.put(b"a", b"1").expect("it is written");
    let mut compaction = store.begin_compaction(0).expect("it begins");
    while !compaction.step(10).expect("it goes on") {}
    // The directory; making, writing, flushing and renaming the manifest; the directory.
    disk.fail_in(6, ErrorKind::Other);
    assert!(matches!(
        store.finish_compaction(compaction),
        Err(Error::Poisoned { .. })
    ));
    assert!(matches!(store.put(b"b", b"1"), Err(Error::Poisoned { .. })));
    assert_eq!(store.get(b"a", 0), Ok(Some(b"1".to_vec())));
    drop(store);
    for loss in [
        Loss::All,
        Loss::Nothing,
        Loss::Random(1),
        Loss::Random(2),
        Loss::Random(3),
    ] {
        let files = disk.files();
        let mut store =
            open(&disk.lose_power(loss)).expect("either manifest finds all that it lists");
        assert_eq!(
            store.get(b"a", 0),
            Ok(Some(b"1".to_vec())),
            "{loss:?}: {:?}",
            files.keys()
        );
        if loss == Loss::Nothing {
            store
                .put(b"b", b"1")
                .expect("opened again, it takes writes");
        }
    }
}

#[rstest]
#[case::two_writers(false)]
#[case::a_reader_beside_a_writer(true)]
fn one_process_at_a_time_opens_a_store(#[case] read_only: bool) {
    let directory = tempfile::tempdir().expect("a directory");
    let disk = RealDisk::open(directory.path()).expect("it is there");
    let mut store = Store::open(disk.clone(), Options::default()).expect("it opens");
    store.put(b"a", b"1").expect("it is written");
    let options = Options {
        read_only,
        ..Options::default()
    };
    assert_eq!(
        Store::open(disk.clone(), options).err(),
        Some(Error::Locked)
    );
    assert_eq!(verify(&disk).err(), Some(Error::Locked));
    drop(store);
    let reader = Store::open(disk.clone(), options).expect("it opens");
    let beside = Store::open(
        disk,
        Options {
            read_only: true,
            ..Options::default()
        },
    );
    assert_eq!(
        beside.err(),
        if read_only { None } else { Some(Error::Locked) }
    );
    assert_eq!(reader.get(b"a", 0), Ok(Some(b"1".to_vec())));
}

#[test]
fn a_store_on_a_disk_that_can_not_be_written_is_read_and_not_changed() {
    let disk = SimDisk::new();
    run(&disk, &script(30));
    let mut files = disk.files();
    // What a crash left is not removed either.
    files.insert("0000ffff.seg".into(), Vec::new());
    let disk = SimDisk::from_files(&files);
    disk.set_read_only(true);
    let mut store = Store::open(
        disk.clone(),
        Options {
            read_only: true,
            ..SMALL
        },
    )
    .expect("reading takes no write");
    assert_eq!(contents(&store), states(30)[30]);
    assert_eq!(store.put(b"a", b"1"), Err(Error::ReadOnly));
    assert_eq!(store.commit(Durability::Durable), Ok(30));
    assert_eq!(store.compact(0), Err(Error::ReadOnly));
    drop(store);
    assert_eq!(verify(&disk).expect("it reads").unlisted_segments, 1);
    assert_eq!(disk.files(), files);
    // Opened to be written to, it can still be read.
    let mut store = open(&disk).expect("it opens");
    assert!(matches!(store.put(b"a", b"1"), Err(Error::Io { .. })));
    assert_eq!(contents(&store), states(30)[30]);
}

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
    run(&disk, &script(40));
    let mut store = open(&disk).expect("it opens");
    for i in 0..50_u64 {
        store
            .write(
                Batch::new().put_until([7], "x", i << 24),
                Durability::Durable,
            )
            .expect("it is written");
    }
    let told = |store: &Store<SimDisk>| {
        [0, 49 << 24, 60 << 24]
            .map(|now| (store.statistics(now).live_bytes, store.statistics(now).keys))
    };
    let before = told(&store);
    assert_eq!(before[1].0 - before[2].0, 17);
    drop(store);
    assert_eq!(told(&open(&disk).expect("it opens")), before);
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
