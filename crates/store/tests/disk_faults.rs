//! A disk that is full, fails a flush or cannot be written loses nothing that was acknowledged.

mod common;

use common::*;
use madderloom_store::sim::{Loss, SimDisk};
use madderloom_store::{Batch, Durability, Error, Options, Store, verify};
use std::io::ErrorKind;

/// Room for every count of bytes that ends somewhere in a batch, a compaction or a manifest; then there is more.
#[test]
fn a_disk_that_is_full_anywhere_refuses_writes_and_takes_them_once_there_is_room() {
    let (steps, states) = (script(30), states(30));
    let whole = SimDisk::new();
    run_script(&whole, &steps);
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

#[test]
fn a_store_on_a_disk_that_can_not_be_written_is_read_and_not_changed() {
    let disk = SimDisk::new();
    run_script(&disk, &script(30));
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
