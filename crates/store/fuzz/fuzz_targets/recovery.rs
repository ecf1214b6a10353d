//! Files of any bytes are opened or refused, never met with a panic, and in memory bounded by their size.
//!
//! ```sh
//! cd crates/store/fuzz && cargo +nightly fuzz run --fuzz-dir . recovery corpus seeds -- -rss_limit_mb=512 -max_len=65536
//! ```

#![no_main]

use libfuzzer_sys::fuzz_target;
use madderloom_store::sim::SimDisk;
use madderloom_store::{Options, Store, salvage, verify};
use std::collections::BTreeMap;

/// The input is a list of files: a byte for the name, two for the length, the content.
fn files(mut data: &[u8]) -> BTreeMap<String, Vec<u8>> {
    let mut files = BTreeMap::new();
    while let Some(([name, low, high], rest)) = data.split_first_chunk::<3>() {
        let length = usize::from(u16::from_le_bytes([*low, *high])).min(rest.len());
        let (content, behind) = rest.split_at(length);
        let name = if *name == 0 {
            "MANIFEST".to_owned()
        } else {
            format!("{name:08x}.seg")
        };
        files.insert(name, content.to_vec());
        data = behind;
    }
    files
}

/// Checksums are put right, or nothing behind them would ever be met.
fn mend(name: &str, bytes: &mut [u8]) {
    if name == "MANIFEST" {
        if let Some((covered, crc)) = bytes.split_last_chunk_mut::<4>() {
            *crc = crc32c(&[covered]).to_le_bytes();
        }
        return;
    }
    let Some((header, mut rest)) = bytes.split_first_chunk_mut::<32>() else {
        return;
    };
    let crc = crc32c(&[&header[..28]]).to_le_bytes();
    header[28..].copy_from_slice(&crc);
    let id = header[16..20].to_vec();
    while let Some((header, behind)) = rest.split_first_chunk_mut::<32>() {
        let length = u32::from_le_bytes([header[4], header[5], header[6], header[7]]) as usize;
        let Some((body, behind)) = behind.split_at_mut_checked(length) else {
            return;
        };
        header[8..12].copy_from_slice(&crc32c(&[body]).to_le_bytes());
        let crc = crc32c(&[&id, &header[4..]]).to_le_bytes();
        header[..4].copy_from_slice(&crc);
        rest = behind;
    }
}

/// Bit by bit, from its definition, so that the store's own is not checked by itself.
fn crc32c(parts: &[&[u8]]) -> u32 {
    let mut crc = u32::MAX;
    for byte in parts.iter().copied().flatten() {
        crc ^= u32::from(*byte);
        for _ in 0..8 {
            crc = (crc >> 1) ^ (0x82f6_3b78 & 0_u32.wrapping_sub(crc & 1));
        }
    }
    !crc
}

fuzz_target!(|data: &[u8]| {
    let Some((mends, data)) = data.split_first() else {
        return;
    };
    let mut files = files(data);
    if mends % 2 == 1 {
        files.iter_mut().for_each(|(name, bytes)| mend(name, bytes));
    }
    let disk = SimDisk::from_files(&files);
    let _ = verify(&disk);
    let _ = salvage(&disk, SimDisk::new());
    if let Ok(mut store) = Store::open(
        disk.clone(),
        Options {
            max_preallocated_bytes: 0,
            ..Options::default()
        },
    ) {
        let snapshot = store.snapshot();
        let before: Vec<_> = snapshot
            .scan(b"", 0)
            .map(|e| e.map(|(k, v)| (k.to_vec(), v)))
            .collect();
        let _ = store.put(b"a", b"1");
        let _ = store.compact(0);
        drop(store);
        // What was opened once opens again, and holds what it held.
        let store = Store::open(disk, Options::default()).expect("it opens again");
        for (key, value) in before
            .into_iter()
            .map(|e| e.expect("it was read to be opened"))
        {
            assert!(key == b"a" || store.get(&key, 0) == Ok(Some(value)));
        }
    }
});
