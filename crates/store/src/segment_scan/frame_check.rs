//! Checks one frame.

use super::window::Window;
use crate::disk::File;
use crate::error::Result;
use crate::format::{FRAME_HEADER_BYTES, FrameHeader, Records};

/// The reason why no frame can be read at an offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum UnreadableFrame {
    #[error("a frame's header is cut off")]
    HeaderTruncated,
    #[error("no frame begins where one was due")]
    NoHeader,
    #[error("a frame is cut off")]
    BodyTruncated,
    #[error("a frame does not match its checksum")]
    ChecksumMismatch,
    #[error("a frame holds a record that makes no sense")]
    InvalidRecord,
    #[error("frame {found} where {expected} was due")]
    OutOfSequence { found: u64, expected: u64 },
}

/// Reads the header of a frame in this segment and checks the whole frame, but not its sequence number.
pub(super) fn check_frame<F: File>(
    window: &mut Window<'_, F>,
    segment: u32,
    offset: u64,
) -> Result<std::result::Result<FrameHeader, UnreadableFrame>> {
    let end = window.end();
    let bytes = window.get(offset, FRAME_HEADER_BYTES)?;
    if bytes.len() < FRAME_HEADER_BYTES {
        return Ok(Err(UnreadableFrame::HeaderTruncated));
    }
    let Some(header) = FrameHeader::decode(segment, bytes) else {
        return Ok(Err(UnreadableFrame::NoHeader));
    };
    let body_offset = offset + FRAME_HEADER_BYTES as u64;
    if end - body_offset < u64::from(header.body_bytes) {
        return Ok(Err(UnreadableFrame::BodyTruncated));
    }
    let body = window.get(body_offset, header.body_bytes as usize)?;
    if body.len() < header.body_bytes as usize || crc32c::crc32c(body) != header.body_checksum {
        return Ok(Err(UnreadableFrame::ChecksumMismatch));
    }
    if Records::new(body).any(|record| record.is_err()) {
        return Ok(Err(UnreadableFrame::InvalidRecord));
    }
    Ok(Ok(header))
}
