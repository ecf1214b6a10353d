//! The manifest: the list of the segments that make up the store.

use super::integers::{u32_at, u64_at};
use super::{FORMAT_VERSION, FormatError, SEGMENT_HEADER_BYTES, SegmentKind};

const MANIFEST_MAGIC: [u8; 8] = *b"mdlm-man";
/// The bytes before the first entry: magic, version, count of entries, generation.
const HEADER_BYTES: usize = 24;
/// The bytes of an entry.
const ENTRY_BYTES: usize = 32;
/// The bytes of the checksum at the end.
const CHECKSUM_BYTES: usize = 4;
/// What stands for the end of a segment that is not sealed.
const NOT_SEALED: u64 = u64::MAX;
/// The most entries that are read. A store that is compacted when it is due has a few dozen.
const MAX_ENTRIES: u64 = 1_000_000;
/// The most bytes of a manifest that are read, so that a corrupted file takes bounded memory.
pub(crate) const MAX_MANIFEST_BYTES: u64 =
    (HEADER_BYTES + CHECKSUM_BYTES) as u64 + (ENTRY_BYTES as u64) * MAX_ENTRIES;

/// A place between two frames of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SegmentPosition {
    /// The bytes of the segment up to here.
    pub offset: u64,
    /// The sequence number of the frame that begins here, or would.
    pub next_sequence: u64,
}

/// A segment as the manifest lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SegmentEntry {
    pub id: u32,
    pub kind: SegmentKind,
    /// The sequence number of the first frame. A compacted segment counts its frames from the number of the first batch
    /// that is not in it.
    pub first_sequence: u64,
    /// Where a sealed segment ends. What lies behind it in the file is no part of the segment. `None` for the active
    /// segment, which is the last.
    pub sealed: Option<SegmentPosition>,
}

/// Which segments make up the store, in the order in which they apply.
///
/// A manifest is replaced as a whole: after a crash of the process and after power loss, at any point, either the former
/// one or the new one is found complete.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Manifest {
    /// How many manifests there were before this one.
    pub generation: u64,
    pub segments: Vec<SegmentEntry>,
}

impl Manifest {
    /// Whether the manifest lists the segment with this id.
    pub fn lists(&self, id: u32) -> bool {
        self.segments.iter().any(|segment| segment.id == id)
    }

    pub fn encode(&self) -> Vec<u8> {
        let capacity = HEADER_BYTES + ENTRY_BYTES * self.segments.len() + CHECKSUM_BYTES;
        let mut bytes = Vec::with_capacity(capacity);
        bytes.extend_from_slice(&MANIFEST_MAGIC);
        bytes.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
        bytes.extend_from_slice(&(self.segments.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&self.generation.to_le_bytes());
        for segment in &self.segments {
            segment.encode(&mut bytes);
        }
        bytes.extend_from_slice(&crc32c::crc32c(&bytes).to_le_bytes());
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Result<Self, FormatError> {
        const TRUNCATED: FormatError = FormatError::corrupted(0, "the manifest is cut off");

        if bytes.get(..8).ok_or(TRUNCATED)? != MANIFEST_MAGIC {
            return Err(FormatError::corrupted(0, "not a manifest of a store"));
        }
        // The version is read before the checksum: a newer format may keep its own elsewhere.
        let version = u32_at(bytes, 8).ok_or(TRUNCATED)?;
        if version > FORMAT_VERSION {
            return Err(FormatError::UnsupportedVersion { version });
        }
        let (checksummed, checksum) = bytes
            .split_last_chunk::<CHECKSUM_BYTES>()
            .ok_or(TRUNCATED)?;
        if u32::from_le_bytes(*checksum) != crc32c::crc32c(checksummed) {
            return Err(FormatError::corrupted(
                0,
                "the manifest does not match its checksum",
            ));
        }
        let count = u32_at(checksummed, 12).ok_or(TRUNCATED)? as usize;
        let generation = u64_at(checksummed, 16).ok_or(TRUNCATED)?;
        let entries = checksummed.get(HEADER_BYTES..).ok_or(TRUNCATED)?;
        if Some(entries.len()) != count.checked_mul(ENTRY_BYTES) {
            return Err(FormatError::corrupted(
                12,
                "the manifest lists another number of segments than it says",
            ));
        }
        Ok(Manifest {
            generation,
            segments: decode_entries(entries, count)?,
        })
    }
}

fn decode_entries(bytes: &[u8], count: usize) -> Result<Vec<SegmentEntry>, FormatError> {
    let mut segments = Vec::with_capacity(count);
    for (position, entry) in bytes.chunks_exact(ENTRY_BYTES).enumerate() {
        let offset = (HEADER_BYTES + position * ENTRY_BYTES) as u64;
        let segment = SegmentEntry::decode(entry)
            .ok_or(FormatError::corrupted(offset, "an entry makes no sense"))?;
        if segment.sealed.is_none() && position + 1 != count {
            return Err(FormatError::corrupted(
                offset,
                "a segment that is not the last is still open",
            ));
        }
        segments.push(segment);
    }
    Ok(segments)
}

impl SegmentEntry {
    fn encode(&self, bytes: &mut Vec<u8>) {
        let end = self.sealed.unwrap_or(SegmentPosition {
            offset: NOT_SEALED,
            next_sequence: NOT_SEALED,
        });
        bytes.extend_from_slice(&self.id.to_le_bytes());
        bytes.extend_from_slice(&self.kind.code().to_le_bytes());
        bytes.extend_from_slice(&self.first_sequence.to_le_bytes());
        bytes.extend_from_slice(&end.offset.to_le_bytes());
        bytes.extend_from_slice(&end.next_sequence.to_le_bytes());
    }

    fn decode(bytes: &[u8]) -> Option<Self> {
        let id = u32_at(bytes, 0)?;
        let kind = u32_at(bytes, 4).and_then(SegmentKind::from_code)?;
        let first_sequence = u64_at(bytes, 8)?;
        let end = SegmentPosition {
            offset: u64_at(bytes, 16)?,
            next_sequence: u64_at(bytes, 24)?,
        };
        let sealed = match (end.offset, end.next_sequence) {
            (NOT_SEALED, NOT_SEALED) => None,
            _ if end.is_plausible(first_sequence) => Some(end),
            _ => return None,
        };
        Some(SegmentEntry {
            id,
            kind,
            first_sequence,
            sealed,
        })
    }
}

impl SegmentPosition {
    /// Whether a segment that begins with this sequence number can end here.
    fn is_plausible(&self, first_sequence: u64) -> bool {
        self.offset >= SEGMENT_HEADER_BYTES as u64 && self.next_sequence >= first_sequence
    }
}
