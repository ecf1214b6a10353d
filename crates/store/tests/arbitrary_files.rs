//! Whatever the files hold, opening them ends: with a store, or with an error.

use madderloom_store::sim::SimDisk;
use madderloom_store::{Batch, Durability, Options, Store, salvage, verify};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

type Files = BTreeMap<String, Vec<u8>>;

fn sound() -> Files {
    let disk = SimDisk::new();
    let options = Options {
        segment_bytes: 1024,
        compaction_slack_bytes: 256,
        max_preallocated_bytes: 64,
        ..Options::default()
    };
    let mut store = Store::open(disk.clone(), options).expect("it opens");
    for i in 0..30_u8 {
        let mut batch = Batch::new();
        batch
            .put([i % 7], vec![i; usize::from(i)])
            .put_until([9, i], "x", u64::from(i))
            .delete([i % 3]);
        store
            .write(&batch, Durability::Durable)
            .expect("it is written");
        if i == 15 {
            store.compact(0).expect("it compacts");
        }
    }
    disk.files()
}

/// What is opened may be read and written to.
fn use_all(files: &Files) {
    let disk = SimDisk::from_files(files);
    let _ = verify(&disk);
    let _ = salvage(&disk, SimDisk::new());
    if let Ok(mut store) = Store::open(disk, Options::default()) {
        let _ = store.snapshot().scan(b"", 0).count();
        let _ = store.put(b"a", b"1");
        let _ = store.compact(0);
        let _ = store.statistics(0);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: RngSeed::Fixed(9), ..ProptestConfig::default() })]

    #[test]
    fn files_of_any_bytes_are_opened_or_refused(
        manifest in prop::collection::vec(any::<u8>(), 0..200),
        segments in prop::collection::vec((0_u32..4, prop::collection::vec(any::<u8>(), 0..300)), 0..4),
    ) {
        let mut files: Files = segments.into_iter().map(|(id, b)| (format!("{id:08x}.seg"), b)).collect();
        use_all(&files);
        files.insert("MANIFEST".into(), manifest);
        use_all(&files);
    }

    /// Bytes overwritten, taken out and put in, and checksums put right over them, so that what lies behind is met.
    #[test]
    fn a_store_changed_anywhere_is_opened_or_refused(
        edits in prop::collection::vec((any::<prop::sample::Index>(), any::<prop::sample::Index>(), 0_u8..3,
            prop::collection::vec(any::<u8>(), 1..12)), 1..6),
        mend in any::<bool>(),
    ) {
        let mut files = sound();
        for (file, at, how, bytes) in edits {
            let names: Vec<String> = files.keys().cloned().collect();
            let content = files.get_mut(file.get(&names)).expect("it is there");
            let at = at.index(content.len() + 1);
            let end = (at + bytes.len()).min(content.len());
            match how {
                0 => { content.splice(at..end, bytes); }
                1 => { content.splice(at..at, bytes); }
                _ => { content.drain(at..end); }
            }
        }
        if mend {
            files.iter_mut().for_each(|(name, bytes)| mend_checksums(name, bytes));
        }
        use_all(&files);
    }
}

/// Puts right the checksums of a manifest, and those of a segment's header and frames as far as they can be followed.
fn mend_checksums(name: &str, bytes: &mut [u8]) {
    if name == "MANIFEST" {
        if let Some((covered, crc)) = bytes.split_last_chunk_mut::<4>() {
            *crc = crc32c::crc32c(covered).to_le_bytes();
        }
        return;
    }
    let Some((header, mut rest)) = bytes.split_first_chunk_mut::<32>() else {
        return;
    };
    let crc = crc32c::crc32c(&header[..28]).to_le_bytes();
    header[28..].copy_from_slice(&crc);
    let id = header[16..20].to_vec();
    while let Some((header, behind)) = rest.split_first_chunk_mut::<32>() {
        let length = u32::from_le_bytes(header[4..8].try_into().expect("four bytes")) as usize;
        let Some((body, behind)) = behind.split_at_mut_checked(length) else {
            return;
        };
        header[8..12].copy_from_slice(&crc32c::crc32c(body).to_le_bytes());
        let crc = crc32c::crc32c_append(crc32c::crc32c(&id), &header[4..]).to_le_bytes();
        header[..4].copy_from_slice(&crc);
        rest = behind;
    }
}
