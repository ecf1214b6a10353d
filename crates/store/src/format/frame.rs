//! The headers of frames. A frame holds one batch, or one part of a compacted segment.

use super::MAX_BATCH_BYTES;
use super::integers::{u32_at, u64_at};

/// The length of a frame's header in bytes.
pub(crate) const FRAME_HEADER_BYTES: usize = 32;

/// What stands before a frame's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FrameHeader {
    /// The length of the body in bytes; 1 to [`MAX_BATCH_BYTES`].
    pub body_bytes: u32,
    /// The checksum of the body.
    pub body_checksum: u32,
    /// The frame's own sequence number.
    pub sequence: u64,
    /// Every frame with a lower sequence number was known to survive power loss when this one was written. This tells
    /// corruption from a torn end: an unreadable frame below this number was once complete.
    pub flushed_below: u64,
}

impl FrameHeader {
    /// The header of a frame with this body.
    pub fn for_body(body: &[u8], sequence: u64, flushed_below: u64) -> Self {
        FrameHeader {
            body_bytes: body.len() as u32,
            body_checksum: crc32c::crc32c(body),
            sequence,
            flushed_below,
        }
    }

    /// Whether this is the first frame behind a flush: it calls all frames before itself flushed.
    pub fn follows_flush(&self) -> bool {
        self.flushed_below == self.sequence
    }

    /// The checksum of a header. It covers the segment's id, so that no frame is taken for one of another segment.
    fn checksum(segment_id: u32, checksummed: &[u8]) -> u32 {
        crc32c::crc32c_append(crc32c::crc32c(&segment_id.to_le_bytes()), checksummed)
    }

    /// Appends the header of a frame in this segment.
    pub fn encode(&self, segment_id: u32, buffer: &mut Vec<u8>) {
        let mut header = [0; FRAME_HEADER_BYTES];
        header[4..8].copy_from_slice(&self.body_bytes.to_le_bytes());
        header[8..12].copy_from_slice(&self.body_checksum.to_le_bytes());
        header[16..24].copy_from_slice(&self.sequence.to_le_bytes());
        header[24..].copy_from_slice(&self.flushed_below.to_le_bytes());
        let checksum = Self::checksum(segment_id, &header[4..]);
        header[..4].copy_from_slice(&checksum.to_le_bytes());
        buffer.extend_from_slice(&header);
    }

    /// Reads a header; `None` if these bytes do not begin with the header of a frame in this segment.
    pub fn decode(segment_id: u32, bytes: &[u8]) -> Option<Self> {
        let bytes = bytes.get(..FRAME_HEADER_BYTES)?;
        let header = FrameHeader {
            body_bytes: u32_at(bytes, 4)?,
            body_checksum: u32_at(bytes, 8)?,
            sequence: u64_at(bytes, 16)?,
            flushed_below: u64_at(bytes, 24)?,
        };
        // The cheap comparisons come first: the search behind corruption decodes at every byte.
        if !header.is_plausible() || u32_at(bytes, 12)? != 0 {
            return None;
        }
        let checksum = Self::checksum(segment_id, bytes.get(4..)?);
        (u32_at(bytes, 0)? == checksum).then_some(header)
    }

    /// Whether the fields are within their bounds.
    fn is_plausible(&self) -> bool {
        (1..=MAX_BATCH_BYTES as u32).contains(&self.body_bytes)
            && self.flushed_below <= self.sequence
            && self.sequence < u64::MAX
    }
}
