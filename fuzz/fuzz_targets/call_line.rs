//! Bytes at the second address: in pieces they are the same call as at once, and no more is kept than a line.
#![no_main]

use libfuzzer_sys::fuzz_target;
use madderloom_admin::call::{LONGEST, read};

fuzz_target!(|bytes: &[u8]| {
    let first = (0..=bytes.len()).find_map(|end| Some((end, read(&bytes[..end])?)));
    assert_eq!(read(bytes), first.map(|(_, call)| call));
    assert!(first.map_or(bytes.len(), |(end, _)| end) <= LONGEST + 2);
});
