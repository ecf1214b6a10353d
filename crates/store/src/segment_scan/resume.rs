//! The search for the next frame behind unreadable bytes.

use super::OnCorruption;
use super::frame_check::check_frame;
use super::window::{CHUNK_BYTES, Window};
use crate::disk::File;
use crate::error::Result;
use crate::format::{FRAME_HEADER_BYTES, FrameHeader, SegmentEntry, SegmentPosition};

/// A frame's header somewhere in a segment. The body is not checked.
struct FoundHeader {
    offset: u64,
    header: FrameHeader,
}

impl FoundHeader {
    fn position(&self) -> SegmentPosition {
        SegmentPosition {
            offset: self.offset,
            next_sequence: self.header.sequence,
        }
    }
}

/// The headers that begin in one chunk, and where the search goes on.
struct HeaderChunk {
    headers: Vec<FoundHeader>,
    next_offset: u64,
}

/// Searches for the position at which the scan can go on behind an unreadable frame. Returns `None` if the unreadable
/// bytes are a torn end, or if no frame follows.
///
/// In the active segment a later frame counts only if one of them calls the unreadable frame flushed: all others may be
/// the rest of writes that were never acknowledged.
pub(super) fn find_resume_position<F: File>(
    window: &mut Window<'_, F>,
    entry: &SegmentEntry,
    on_corruption: OnCorruption,
    unreadable: SegmentPosition,
) -> Result<Option<SegmentPosition>> {
    let Some(later) = find_later_header(window, entry, unreadable)? else {
        return Ok(None);
    };
    match on_corruption {
        // The scan ends with an error, wherever it would go on.
        OnCorruption::Fail => Ok(Some(later)),
        OnCorruption::Skip => find_complete_frame(window, entry, unreadable),
    }
}

/// The position of the first later header, if that proves corruption.
fn find_later_header<F: File>(
    window: &mut Window<'_, F>,
    entry: &SegmentEntry,
    unreadable: SegmentPosition,
) -> Result<Option<SegmentPosition>> {
    let mut is_corruption = entry.sealed.is_some();
    let mut first = None;
    let mut offset = unreadable.offset;
    while let Some(chunk) = read_headers(window, entry.id, offset)? {
        for found in chunk.headers {
            let sequence = found.header.sequence;
            let is_unreadable = found.position() == unreadable;
            if sequence < unreadable.next_sequence || is_unreadable {
                continue;
            }
            is_corruption |= found.header.flushed_below > unreadable.next_sequence;
            first = first.or(Some(found.position()));
            if is_corruption {
                return Ok(first);
            }
        }
        offset = chunk.next_offset;
    }
    Ok(None)
}

/// The position of the first later frame that is complete.
fn find_complete_frame<F: File>(
    window: &mut Window<'_, F>,
    entry: &SegmentEntry,
    unreadable: SegmentPosition,
) -> Result<Option<SegmentPosition>> {
    let mut offset = unreadable.offset + 1;
    while let Some(chunk) = read_headers(window, entry.id, offset)? {
        for found in chunk.headers {
            if found.header.sequence >= unreadable.next_sequence
                && check_frame(window, entry.id, found.offset)?.is_ok()
            {
                return Ok(Some(found.position()));
            }
        }
        offset = chunk.next_offset;
    }
    Ok(None)
}

/// The headers of frames in this segment that begin in the chunk at this offset; `None` at the end of the segment.
fn read_headers<F: File>(
    window: &mut Window<'_, F>,
    segment: u32,
    offset: u64,
) -> Result<Option<HeaderChunk>> {
    if offset + FRAME_HEADER_BYTES as u64 >= window.end() {
        return Ok(None);
    }
    let bytes = window.get(offset, CHUNK_BYTES)?;
    if bytes.len() < FRAME_HEADER_BYTES {
        return Ok(None);
    }
    let headers = (offset..)
        .zip(bytes.windows(FRAME_HEADER_BYTES))
        .filter_map(|(offset, bytes)| {
            let header = FrameHeader::decode(segment, bytes)?;
            Some(FoundHeader { offset, header })
        })
        .collect();
    let searched = bytes.len() - FRAME_HEADER_BYTES + 1;
    Ok(Some(HeaderChunk {
        headers,
        next_offset: offset + searched as u64,
    }))
}
