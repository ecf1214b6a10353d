//! Whatever a crash leaves, a restart finds everything that was acknowledged, and no batch in part.

mod common;

use common::*;
use madderloom_store::sim::{Loss, SimDisk};
use madderloom_store::{Batch, Durability, Store};

const BATCHES: usize = 40;

/// Opens what a crash left, compares it, and goes on with it through another loss of power.
fn survives(disk: SimDisk, states: &[Map], progress: Progress, min: usize, context: &str) {
    let mut store = open(&disk).unwrap_or_else(|e| panic!("{context}: {progress:?}: {e}"));
    let found = contents(&store);
    let at = find_state(&states, &found, min, progress.attempted);
    assert!(
        at.is_some(),
        "{context}: {progress:?}: no state from {min} on looks like {found:?}"
    );

    store
        .write(Batch::new().put("after", "1"), Durability::Durable)
        .expect("there is room");
    store.compact(0).expect("it compacts");
    drop(store);
    let disk = disk.lose_power(Loss::All);
    let mut expected = found;
    expected.insert(b"after".to_vec(), b"1".to_vec());
    assert_eq!(
        contents(&open(&disk).expect("it opens again")),
        expected,
        "{context}: {progress:?}"
    );
}

#[test]
fn a_crash_at_any_operation_loses_nothing_acknowledged() {
    let (steps, states) = (script(BATCHES), states(BATCHES));
    let whole = SimDisk::new();
    assert_eq!(run_script(&whole, &steps).acknowledged, BATCHES);
    let operations = whole.operations();
    assert!(
        operations > 200,
        "the script meets few operations: {operations}"
    );
    for at in 1..=operations {
        for loss in [
            Loss::All,
            Loss::Nothing,
            Loss::Random(at),
            Loss::Random(at << 32),
            Loss::Random(at << 48),
        ] {
            let disk = SimDisk::new();
            disk.crash_in(at);
            let progress = run_script(&disk, &steps);
            assert!(disk.has_crashed(), "operation {at} was not reached");
            // Where only the process ends, relaxed writes last, too.
            let min = if loss == Loss::Nothing {
                progress.acknowledged
            } else {
                progress.durable
            };
            survives(
                disk.lose_power(loss),
                &states,
                progress,
                min,
                &format!("operation {at}, {loss:?}"),
            );
        }
    }
}

/// Every prefix of what was not flushed, byte by byte, at the flush of every group.
#[test]
fn an_unflushed_write_torn_at_any_byte_is_there_whole_or_not_at_all() {
    let (steps, states) = (script(6), states(6));
    let whole = SimDisk::new();
    run_script(&whole, &steps);
    let mut tried = 0;
    for at in 1..=whole.operations() {
        let crashed = || {
            let disk = SimDisk::new();
            disk.crash_in(at);
            let progress = run_script(&disk, &steps);
            (disk, progress)
        };
        for kept in 0..=crashed().0.unflushed_bytes() {
            let (disk, progress) = crashed();
            let context = format!("operation {at}, {kept} bytes");
            survives(
                disk.lose_power(Loss::AllAfter(kept)),
                &states,
                progress,
                progress.durable,
                &context,
            );
            tried += 1;
        }
    }
    assert!(tried > 2_000, "{tried}");
}

#[test]
fn the_last_segment_cut_at_any_byte_opens_as_an_earlier_state() {
    let steps: Vec<Step> = script(9);
    let states = states(9);
    let disk = SimDisk::new();
    run_script(&disk, &steps);
    let files = disk.files();
    let (name, bytes) = files
        .iter()
        .rfind(|(name, _)| name.ends_with(".seg"))
        .expect("there is a segment");
    let end = bytes
        .iter()
        .rposition(|b| *b != 0)
        .expect("it holds records")
        + 1;
    let mut last = 0;
    for cut in 32..=end {
        let mut files = files.clone();
        files.insert(name.clone(), bytes[..cut].to_vec());
        let store =
            open(&SimDisk::from_files(&files)).unwrap_or_else(|e| panic!("cut at {cut}: {e}"));
        let at = find_state(&states, &contents(&store), last, 9);
        last = at.unwrap_or_else(|| panic!("cut at {cut}: {:?}", contents(&store)));
        let torn = store.statistics(0).truncated_bytes;
        let reserved = bytes[..cut]
            .iter()
            .rposition(|b| *b != 0)
            .map_or(0, |last| last + 1);
        assert!(torn <= reserved as u64, "cut at {cut}: {torn}");
    }
    assert_eq!(last, 9);
}

/// What a flush was asked for and failed is never trusted, even where it can still be read: the log goes on elsewhere.
#[test]
fn a_failed_flush_at_any_operation_loses_nothing_acknowledged_later() {
    let (steps, states) = (script(BATCHES), states(BATCHES));
    let whole = SimDisk::new();
    run_script(&whole, &steps);
    for at in 1..=whole.operations() {
        let disk = SimDisk::new();
        disk.fail_in(at, std::io::ErrorKind::Other);
        let mut progress = Progress::default();
        let mut map = Map::new();
        let mut store = open(&disk).expect("opening changes nothing");
        // Refused writes are tried again, with the store opened anew where that is what it asks for.
        for step in &steps {
            let Step::Write(batch, durability) = step else {
                let _ = store.compact(0);
                continue;
            };
            progress.attempted += 1;
            for _ in 0..3 {
                let written = store.write(batch, *durability);
                if let Err(madderloom_store::Error::Poisoned { .. }) = written {
                    drop(store);
                    store = open(&disk).expect("it opens again");
                }
                if written.is_ok() {
                    map.clone_from(&states[progress.attempted]);
                    if *durability == Durability::Durable {
                        progress.durable = progress.attempted;
                    }
                    break;
                }
            }
            assert_eq!(contents(&store), map, "operation {at}");
        }
        assert_eq!(
            map, states[BATCHES],
            "operation {at}: a write was never taken"
        );
        drop(store);
        let disk = disk.lose_power(Loss::All);
        let found = contents(&open(&disk).unwrap_or_else(|e| panic!("operation {at}: {e}")));
        assert!(
            find_state(&states, &found, progress.durable, BATCHES).is_some(),
            "operation {at}: {progress:?}: {found:?}"
        );
    }
}

/// Flushed names are not enough: the data of a segment must be there before a manifest lists it, and the manifest's
/// own before it is renamed. A crash inside the opening itself must not matter either.
#[test]
fn a_crash_while_a_crash_is_recovered_from_changes_nothing() {
    let (steps, states) = (script(25), states(25));
    let whole = SimDisk::new();
    run_script(&whole, &steps);
    for at in (1..=whole.operations()).step_by(3) {
        for again in 1..=12 {
            let disk = SimDisk::new();
            disk.crash_in(at);
            let progress = run_script(&disk, &steps);
            let disk = disk.lose_power(Loss::Random(at));
            disk.crash_in(again);
            if let Ok(mut store) = open(&disk) {
                let _ = store.put(b"x", b"y");
            }
            let disk = disk.lose_power(Loss::Random(again));
            let store = open(&disk).unwrap_or_else(|e| panic!("operations {at}, {again}: {e}"));
            let mut found = contents(&store);
            found.remove(&b"x"[..]);
            assert!(
                find_state(&states, &found, progress.durable, progress.attempted).is_some(),
                "operations {at}, {again}: {found:?}"
            );
        }
    }
}

/// What a killed process leaves can be read, but nothing says that it is on the medium: the next one must not build on
/// it, nor remove what it would take to go back.
#[test]
fn what_a_killed_process_left_unflushed_is_not_built_upon() {
    let (steps, states) = (script(BATCHES), states(BATCHES));
    let whole = SimDisk::new();
    run_script(&whole, &steps);
    for at in 1..=whole.operations() {
        // A flush may have failed before the end, and what it lost is read all the same.
        for fails in [false, true] {
            for seed in 0..6 {
                let disk = SimDisk::new();
                if fails {
                    disk.fail_in(at, std::io::ErrorKind::Other);
                } else {
                    disk.crash_in(at);
                }
                let progress = run_script(&disk, &steps);
                let disk = disk.kill();
                let context = format!("operation {at}, {fails}, {seed}: {progress:?}");
                let mut store = open(&disk).unwrap_or_else(|e| panic!("{context}: {e}"));
                let mut found = contents(&store);
                assert!(
                    find_state(&states, &found, progress.acknowledged, progress.attempted)
                        .is_some(),
                    "{context}: {found:?}"
                );
                let written = seed % 2 == 0;
                if written {
                    store
                        .put(b"after", b"1")
                        .unwrap_or_else(|e| panic!("{context}: {e}"));
                    found.insert(b"after".to_vec(), b"1".to_vec());
                }
                drop(store);
                let disk = disk.lose_power(if seed < 2 {
                    Loss::All
                } else {
                    Loss::Random(seed)
                });
                let left = contents(&open(&disk).unwrap_or_else(|e| panic!("{context}: {e}")));
                if written {
                    assert_eq!(left, found, "{context}");
                } else {
                    assert!(
                        find_state(&states, &left, progress.durable, progress.attempted).is_some(),
                        "{context}: {left:?}"
                    );
                }
            }
        }
    }
}

#[test]
fn a_store_that_was_never_written_to_is_empty_and_leaves_nothing() {
    let disk = SimDisk::new();
    drop(open(&disk).expect("it opens"));
    assert!(disk.files().is_empty());
    let refused = Store::open(
        disk,
        madderloom_store::Options {
            create: false,
            ..SMALL
        },
    )
    .err();
    assert_eq!(refused, Some(madderloom_store::Error::StoreNotFound));
}
