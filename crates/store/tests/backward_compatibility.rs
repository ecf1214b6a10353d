//! A store that an older version wrote opens; one that a newer version wrote is refused, in words.

mod common;

use common::*;
use madderloom_store::sim::SimDisk;
use madderloom_store::{Batch, Durability, Error, FORMAT_VERSION, RealDisk, Store, verify};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

type Files = BTreeMap<String, Vec<u8>>;

fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/version-1")
}

/// A store with every kind of file and record of version 1: compacted, sealed and open segments, a value without end
/// and one with, deletions, relaxed batches, an empty key.
fn version_1() -> Files {
    let disk = SimDisk::new();
    let mut store = Store::open(
        disk.clone(),
        madderloom_store::Options {
            max_preallocated_bytes: 0,
            ..SMALL
        },
    )
    .expect("it opens");
    for i in 0..40_u8 {
        let mut batch = Batch::new();
        batch
            .put(format!("key {}", i % 9), format!("value {i}"))
            .put_until(vec![b'u', i], "until", 1_000 + u64::from(i));
        batch
            .delete(format!("key {}", (i + 4) % 9))
            .put("", vec![i]);
        let durability = if i % 4 == 3 {
            Durability::Relaxed
        } else {
            Durability::Durable
        };
        store.write(&batch, durability).expect("it is written");
        if i == 20 {
            store.compact(1_010).expect("it compacts");
        }
    }
    store.commit(Durability::Durable).expect("it is flushed");
    disk.files()
}

fn expected() -> Map {
    let mut map: Map = (11..40_u8)
        .map(|i| (vec![b'u', i], b"until".to_vec()))
        .collect();
    // Of nine keys in turn, each batch sets one and deletes the one that was set five batches before.
    map.extend((35..40).map(|i| {
        (
            format!("key {}", i % 9).into_bytes(),
            format!("value {i}").into_bytes(),
        )
    }));
    map.insert(Vec::new(), vec![39]);
    map
}

fn read(path: &Path) -> Files {
    let entries = std::fs::read_dir(path)
        .expect("the fixture is there")
        .map(|e| e.expect("it reads"));
    let file = |e: std::fs::DirEntry| {
        (
            e.file_name().into_string().expect("a name"),
            std::fs::read(e.path()).expect("it reads"),
        )
    };
    entries.map(file).collect()
}

/// Writes the fixture anew. To be run by hand, and only where version 1 itself was wrong.
#[test]
#[ignore = "writes the fixture"]
fn write_version_1() {
    std::fs::create_dir_all(fixture()).expect("a directory");
    for (name, bytes) in version_1() {
        std::fs::write(fixture().join(name), bytes).expect("it is written");
    }
}

#[test]
fn a_store_of_version_1_opens_and_goes_on() {
    let files = read(&fixture());
    assert!(files.len() > 4, "{:?}", files.keys());
    let disk = SimDisk::from_files(&files);
    let mut store = open(&disk).expect("it opens");
    assert_eq!(contents(&store), expected());
    store.put(b"more", b"1").expect("it is written");
    store.compact(0).expect("it compacts");
    drop(store);
    let mut more = expected();
    more.insert(b"more".to_vec(), b"1".to_vec());
    assert_eq!(contents(&open(&disk).expect("it opens")), more);
    // Verifying reads it, too, on the real disk.
    let verified = verify(&RealDisk::open(fixture()).expect("it is there")).expect("it reads");
    assert_eq!((verified.corruption, verified.torn_bytes), (None, 0));
}

/// A change of what is written without a new version would be met by no test of an older store.
#[test]
fn version_1_is_still_what_is_written() {
    assert_eq!(FORMAT_VERSION, 1);
    assert_eq!(version_1(), read(&fixture()));
}

#[test]
fn a_newer_store_is_refused_and_named() {
    for (name, bytes) in version_1() {
        let mut files = version_1();
        let mut newer = bytes;
        newer[8..12].copy_from_slice(&(FORMAT_VERSION + 1).to_le_bytes());
        files.insert(name.clone(), newer);
        let disk = SimDisk::from_files(&files);
        let refused = open(&disk).err().expect("it is refused");
        assert_eq!(
            refused,
            Error::UnsupportedVersion {
                file: name.clone(),
                version: FORMAT_VERSION + 1
            }
        );
        let line = format!(
            "{name}: written in format 2 by a newer program; this one reads up to format 1"
        );
        assert_eq!(refused.to_string(), line);
        assert_eq!(verify(&disk), Err(refused));
        assert_eq!(disk.files(), files, "a refused store was changed");
    }
}
