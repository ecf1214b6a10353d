//! Corruption is told from a torn end: the end is truncated, what was once complete is rejected, and salvage reports
//! what is lost.

mod common;

use common::*;
use madderloom_store::sim::SimDisk;
use madderloom_store::{Batch, Durability, Error, Options, Store, salvage, verify};
use std::collections::BTreeMap;

type Files = BTreeMap<String, Vec<u8>>;

/// A store with compacted segments, sealed logs and an open one.
fn sound() -> (Files, Vec<Map>) {
    let disk = SimDisk::new();
    assert_eq!(run_script(&disk, &script(34)).durable, 34);
    (disk.files(), states(34))
}

/// The one that holds the last batch.
fn last_segment(files: &Files) -> String {
    let holds = |bytes: &Vec<u8>| bytes.windows(5).any(|w| w == b"0033-");
    let mut segments = files.iter().filter(|(name, _)| name.ends_with(".seg"));
    let last = segments
        .clone()
        .find(|(_, bytes)| holds(bytes))
        .or(segments.next_back());
    last.expect("there is a segment").0.clone()
}

#[test]
fn a_bit_flipped_anywhere_is_refused_with_its_place_or_lies_behind_all_that_was_flushed() {
    let (files, states) = sound();
    let last = last_segment(&files);
    let (mut refused, mut cut) = (0, 0);
    for (name, bytes) in &files {
        for at in 0..bytes.len() {
            let mut files = files.clone();
            files.get_mut(name).expect("it is there")[at] ^= 1 << (at % 8);
            let disk = SimDisk::from_files(&files);
            let verified = verify(&disk);
            match open(&disk) {
                // The last group, and what is reserved behind it: nothing later tells that it was once whole.
                Ok(store) => {
                    assert!(*name == last, "{name}, byte {at} was taken");
                    let found = find_state(&states, &contents(&store), 33, 34);
                    assert!(found.is_some(), "{name}, byte {at}: {:?}", contents(&store));
                    assert_eq!(
                        verified.expect("it reads").corruption,
                        None,
                        "{name}, byte {at}"
                    );
                    cut += 1;
                }
                Err(Error::Corrupted(damage)) => {
                    assert!(
                        damage.file == *name && damage.offset <= at as u64,
                        "{name}, byte {at}: {damage}"
                    );
                    assert_eq!(
                        verified.expect("it reads").corruption,
                        Some(damage),
                        "{name}, byte {at}"
                    );
                    refused += 1;
                }
                // The version itself may be what is flipped.
                Err(Error::UnsupportedVersion { file, .. }) => {
                    assert!(file == *name && (8..12).contains(&at), "byte {at}")
                }
                Err(other) => panic!("{name}, byte {at}: {other}"),
            }
        }
    }
    assert!(refused > 500 && cut > 50, "{refused} refused, {cut} cut");
}

#[test]
fn a_sealed_segment_or_the_manifest_cut_at_any_byte_is_refused() {
    let (files, _) = sound();
    let last = last_segment(&files);
    for (name, bytes) in files.iter().filter(|(name, _)| **name != last) {
        let records = bytes
            .iter()
            .rposition(|b| *b != 0)
            .expect("it holds something")
            + 1;
        for cut in 0..records {
            let mut files = files.clone();
            files.insert(name.clone(), bytes[..cut].to_vec());
            let opened = open(&SimDisk::from_files(&files));
            assert!(
                matches!(opened, Err(Error::Corrupted(_))),
                "{name} cut at {cut}: {:?}",
                opened.err()
            );
        }
    }
}

#[test]
fn a_segment_or_a_manifest_that_is_gone_is_refused_and_named() {
    let (files, _) = sound();
    for name in files.keys() {
        let mut files = files.clone();
        files.remove(name);
        match open(&SimDisk::from_files(&files)) {
            Err(Error::Corrupted(damage)) => assert_eq!(damage.file, *name),
            other => panic!("{name}: {:?}", other.err()),
        }
    }
}

#[test]
fn a_segment_in_the_place_of_another_is_refused() {
    let (files, _) = sound();
    let names: Vec<&String> = files.keys().filter(|n| n.ends_with(".seg")).collect();
    let mut swapped = files.clone();
    swapped.insert(names[0].clone(), files[names[1]].clone());
    assert!(
        matches!(open(&SimDisk::from_files(&swapped)), Err(Error::Corrupted(damage)) if damage.file == *names[0])
    );
}

/// What is refused can be salvaged: all batches before and behind the corruption are there, and what is lost is reported.
#[test]
fn salvage_copies_all_but_what_is_damaged_and_says_what_that_was() {
    let disk = SimDisk::new();
    let mut store = Store::open(
        disk.clone(),
        Options {
            max_preallocated_bytes: 0,
            ..Options::default()
        },
    )
    .expect("it opens");
    for i in 0..20 {
        let mut batch = Batch::new();
        batch
            .put(format!("k{i:02}"), format!("value {i}"))
            .put_until("until", "x", 1_000 + i);
        store
            .write(&batch, Durability::Durable)
            .expect("it is written");
    }
    drop(store);
    let mut files = disk.files();
    let name = last_segment(&files);
    let bytes = files.get_mut(&name).expect("it is there");
    let place = bytes
        .windows(7)
        .position(|w| w == b"value 7")
        .expect("it is written");
    bytes[place] ^= 1;
    let damaged = SimDisk::from_files(&files);
    let refused = Store::open(damaged.clone(), SMALL).err();
    let Some(Error::Corrupted(damage)) = refused else {
        panic!("{refused:?}")
    };

    let to = SimDisk::new();
    let salvaged = salvage(&damaged, to.clone()).expect("it salvages");
    assert_eq!(
        (salvaged.frames, salvaged.records, salvaged.torn_bytes),
        (19, 38, 0)
    );
    let [lost] = &salvaged.lost[..] else {
        panic!("{salvaged:?}")
    };
    assert_eq!(
        (&lost.corruption, lost.sequences.clone()),
        (&damage, Some(7..8))
    );
    assert!((damage.offset..damage.offset + lost.bytes).contains(&(place as u64)));
    assert_eq!(damaged.files(), files, "the damaged store was changed");
    let store = open(&to).expect("what was salvaged opens");
    let keys: Vec<Vec<u8>> = contents(&store).into_keys().collect();
    let kept: Vec<String> = (0..20)
        .filter(|i| *i != 7)
        .map(|i| format!("k{i:02}"))
        .collect();
    assert_eq!(
        keys[..19],
        kept.iter()
            .map(|k| k.as_bytes().to_vec())
            .collect::<Vec<_>>()
    );
    let until = |now| store.get(b"until", now).expect("it reads");
    assert_eq!((until(1_018), until(1_019)), (Some(b"x".to_vec()), None));
}

#[test]
fn salvage_of_a_store_without_its_manifest_finds_what_the_segments_hold() {
    let (mut files, states) = sound();
    files.remove("MANIFEST");
    let to = SimDisk::new();
    salvage(&SimDisk::from_files(&files), to.clone()).expect("it salvages");
    assert_eq!(contents(&open(&to).expect("it opens")), states[34]);
    // And it writes into nothing that is not empty.
    assert!(matches!(
        salvage(&SimDisk::from_files(&files), to),
        Err(Error::SalvageTargetNotEmpty)
    ));
}

#[test]
fn salvage_and_verify_of_a_store_damaged_anywhere_end_with_a_report() {
    let (files, _) = sound();
    for (name, bytes) in &files {
        for at in (0..bytes.len()).step_by(7) {
            let mut files = files.clone();
            let file = files.get_mut(name).expect("it is there");
            file.drain(at..(at + 40).min(bytes.len()));
            let disk = SimDisk::from_files(&files);
            let reports = (salvage(&disk, SimDisk::new()), verify(&disk));
            assert!(
                reports.0.is_ok() && reports.1.is_ok(),
                "{name}, byte {at}: {reports:?}"
            );
        }
    }
}

/// Damage within the open segment is known by any later frame that calls what was there flushed: a single one
/// suffices, behind any number that do not.
#[test]
fn of_two_batches_flushed_together_the_first_unreadable_cuts_both() {
    let disk = SimDisk::new();
    let mut store = open(&disk).expect("it opens");
    store.put(b"a", b"first").expect("it is written");
    for value in ["second", "third"] {
        store
            .append(Batch::new().put("a", value))
            .expect("it is taken");
    }
    store.commit(Durability::Durable).expect("it is written");
    let mut files = disk.files();
    let name = last_segment(&files);
    let damage = |files: &mut Files| {
        let bytes = files.get_mut(&name).expect("it is there");
        let place = bytes
            .windows(6)
            .position(|w| w == b"second")
            .expect("it is written");
        bytes[place] ^= 1;
    };
    damage(&mut files);
    // The last group may have been torn just so, in a crash before it was flushed.
    let cut = open(&SimDisk::from_files(&files)).expect("it opens");
    assert_eq!(cut.get(b"a", 0), Ok(Some(b"first".to_vec())));
    assert!(cut.statistics(0).truncated_bytes > 60);

    // With a later group behind them, they were whole.
    store.put(b"b", b"later").expect("it is written");
    let mut files = disk.files();
    damage(&mut files);
    assert!(matches!(
        open(&SimDisk::from_files(&files)),
        Err(Error::Corrupted(_))
    ));
}

#[test]
fn a_value_damaged_after_the_opening_is_refused_where_it_is_read_and_not_passed_on() {
    let disk = SimDisk::new();
    let mut store = open(&disk).expect("it opens");
    for key in ["a", "b", "c"] {
        store
            .put(key.as_bytes(), format!("value of {key}").as_bytes())
            .expect("it is written");
    }
    let files = disk.files();
    let name = last_segment(&files);
    let place = files[&name]
        .windows(10)
        .position(|w| w == b"value of b")
        .expect("it is written");
    disk.flip_bit(&name, place + 3);
    assert!(
        matches!(store.get(b"b", 0), Err(Error::Corrupted(damage)) if damage.offset == place as u64)
    );
    assert_eq!(store.get(b"c", 0), Ok(Some(b"value of c".to_vec())));
    assert!(matches!(store.compact(0), Err(Error::Corrupted(_))));
    assert!(matches!(store.get(b"b", 0), Err(Error::Corrupted(_))));
    store.put(b"b", b"anew").expect("it is written");
    store
        .compact(0)
        .expect("what was damaged is not live any more");
    assert_eq!(store.get(b"b", 0), Ok(Some(b"anew".to_vec())));
}

/// A manifest and a segment that are each sound, but not of one store.
#[test]
fn a_sealed_segment_of_fewer_batches_than_listed_is_refused() {
    let (mut files, _) = sound();
    let manifest = files.get_mut("MANIFEST").expect("it is there");
    // The number after the last batch of the first segment listed.
    let end = u64::from_le_bytes(manifest[48..56].try_into().expect("eight bytes"));
    manifest[48..56].copy_from_slice(&(end + 1).to_le_bytes());
    let (covered, crc) = manifest.split_last_chunk_mut::<4>().expect("it is long");
    *crc = crc32c::crc32c(covered).to_le_bytes();
    let refused = open(&SimDisk::from_files(&files)).err();
    assert!(
        matches!(&refused, Some(Error::Corrupted(d)) if d.problem.contains("is missing")),
        "{refused:?}"
    );
}
