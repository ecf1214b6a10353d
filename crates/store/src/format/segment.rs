//! The names and the headers of segments.

use super::integers::{u32_at, u64_at};
use super::{FORMAT_VERSION, FormatError};

const SEGMENT_SUFFIX: &str = ".seg";
const SEGMENT_MAGIC: [u8; 8] = *b"mdlm-seg";

/// The length of a segment's header in bytes.
pub(crate) const SEGMENT_HEADER_BYTES: usize = 32;
/// The bytes of the header that its checksum covers: all before it.
const CHECKSUMMED_BYTES: usize = 28;

/// The file name of the segment with this id.
pub(crate) fn segment_name(id: u32) -> String {
    format!("{id:08x}{SEGMENT_SUFFIX}")
}

/// The id of the segment with this file name; `None` for the name of any other file.
pub(crate) fn segment_id(name: &str) -> Option<u32> {
    let digits = name.strip_suffix(SEGMENT_SUFFIX)?;
    let is_digit = |byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    if digits.len() != 8 || !digits.bytes().all(is_digit) {
        return None;
    }
    u32::from_str_radix(digits, 16).ok()
}

/// What a segment holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SegmentKind {
    /// Batches in the order in which they were written.
    Log,
    /// The live records at the time of a compaction, in the order of their keys.
    Compacted,
}

impl SegmentKind {
    pub(super) fn code(self) -> u32 {
        match self {
            SegmentKind::Log => 1,
            SegmentKind::Compacted => 2,
        }
    }

    pub(super) fn from_code(code: u32) -> Option<Self> {
        match code {
            1 => Some(SegmentKind::Log),
            2 => Some(SegmentKind::Compacted),
            _ => None,
        }
    }
}

/// The first bytes of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SegmentHeader {
    pub kind: SegmentKind,
    pub id: u32,
    /// The sequence number of the segment's first frame.
    pub first_sequence: u64,
}

impl SegmentHeader {
    pub fn encode(&self) -> [u8; SEGMENT_HEADER_BYTES] {
        let mut header = [0; SEGMENT_HEADER_BYTES];
        header[..8].copy_from_slice(&SEGMENT_MAGIC);
        header[8..12].copy_from_slice(&FORMAT_VERSION.to_le_bytes());
        header[12..16].copy_from_slice(&self.kind.code().to_le_bytes());
        header[16..20].copy_from_slice(&self.id.to_le_bytes());
        header[20..28].copy_from_slice(&self.first_sequence.to_le_bytes());
        let checksum = crc32c::crc32c(&header[..CHECKSUMMED_BYTES]);
        header[CHECKSUMMED_BYTES..].copy_from_slice(&checksum.to_le_bytes());
        header
    }

    pub fn decode(bytes: &[u8]) -> Result<Self, FormatError> {
        const TRUNCATED: FormatError = FormatError::corrupted(0, "the segment's header is cut off");
        const INVALID: FormatError =
            FormatError::corrupted(12, "the segment's header makes no sense");

        if bytes.get(..8).ok_or(TRUNCATED)? != SEGMENT_MAGIC {
            return Err(FormatError::corrupted(0, "not a segment of a store"));
        }
        // The version is read before the checksum: a newer format may keep its own elsewhere.
        let version = u32_at(bytes, 8).ok_or(TRUNCATED)?;
        if version > FORMAT_VERSION {
            return Err(FormatError::UnsupportedVersion { version });
        }
        let checksummed = bytes.get(..CHECKSUMMED_BYTES).ok_or(TRUNCATED)?;
        let checksum = u32_at(bytes, CHECKSUMMED_BYTES).ok_or(TRUNCATED)?;
        if checksum != crc32c::crc32c(checksummed) {
            return Err(FormatError::corrupted(
                0,
                "the segment's header does not match its checksum",
            ));
        }
        Ok(SegmentHeader {
            kind: u32_at(bytes, 12)
                .and_then(SegmentKind::from_code)
                .ok_or(INVALID)?,
            id: u32_at(bytes, 16).ok_or(INVALID)?,
            first_sequence: u64_at(bytes, 20).ok_or(INVALID)?,
        })
    }
}
