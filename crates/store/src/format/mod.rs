//! The encoding of everything the store writes, without any I/O. `docs/store-format.md` describes the same bytes.
//!
//! All numbers are little-endian. Every checksum is CRC32C (Castagnoli; RFC 3720, appendix B.4).

mod frame;
#[cfg(test)]
mod frame_tests;
mod integers;
mod manifest;
mod record;
mod segment;

pub(crate) use frame::{FRAME_HEADER_BYTES, FrameHeader};
pub(crate) use manifest::{MAX_MANIFEST_BYTES, Manifest, SegmentEntry, SegmentPosition};
pub(crate) use record::{
    InvalidRecord, NO_EXPIRY, RECORD_HEADER_BYTES, Record, Records, encode_batch, encode_put,
};
pub(crate) use segment::{
    SEGMENT_HEADER_BYTES, SegmentHeader, SegmentKind, segment_id, segment_name,
};

/// The version of the format that is written, and the newest that is read.
pub const FORMAT_VERSION: u32 = 1;
/// The most bytes of a key: its length has 16 bits in the log.
pub const MAX_KEY_BYTES: usize = u16::MAX as usize;
/// The most bytes of a batch: its keys, its values, and 15 bytes for each operation. A batch is read into memory as a
/// whole, so that this bounds the memory of a recovery.
pub const MAX_BATCH_BYTES: usize = 4 << 20;

/// The manifest's file name.
pub(crate) const MANIFEST: &str = "MANIFEST";
/// The name under which a manifest is written before it replaces the current one.
pub(crate) const MANIFEST_NEW: &str = "MANIFEST.new";

/// The reason why the start of a file, or a manifest, is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FormatError {
    /// A newer version of the program wrote the file.
    UnsupportedVersion { version: u32 },
    /// The bytes at this offset differ from what the store writes.
    Corrupted { offset: u64, problem: &'static str },
}

impl FormatError {
    const fn corrupted(offset: u64, problem: &'static str) -> Self {
        FormatError::Corrupted { offset, problem }
    }
}
