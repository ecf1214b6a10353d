//! A segment that a compaction writes.

use crate::disk::{Disk, File};
use crate::error::{Error, Result};
use crate::format::{
    FRAME_HEADER_BYTES, FrameHeader, SEGMENT_HEADER_BYTES, SegmentEntry, SegmentHeader,
    SegmentKind, SegmentPosition, encode_put, segment_name,
};
use std::sync::Arc;

/// The bytes at which the body of a frame is closed; a larger record has a frame of its own. No measurement stands
/// behind the number.
const MAX_FRAME_BODY_BYTES: usize = 64 << 10;

/// A complete segment that a compaction wrote and flushed. It is part of the store only once a manifest lists it.
pub(super) struct FinishedOutput<F> {
    pub entry: SegmentEntry,
    pub file: Arc<F>,
}

/// A segment that a compaction is writing. Nothing of it survives power loss before [`CompactionOutput::flush`], and
/// recovery removes it after any crash.
pub(super) struct CompactionOutput<F> {
    file: Arc<F>,
    id: u32,
    first_sequence: u64,
    /// Behind the last frame that was written.
    end: SegmentPosition,
    /// The body of the next frame.
    body: Vec<u8>,
}

impl<F: File> CompactionOutput<F> {
    /// Creates the file. [`CompactionOutput::write_header`] comes next.
    pub fn create<D: Disk<File = F>>(disk: &D, id: u32, first_sequence: u64) -> Result<Self> {
        let name = segment_name(id);
        let file = disk
            .create(&name)
            .map_err(|error| Error::io(&name, error))?;
        Ok(CompactionOutput {
            file: Arc::new(file),
            id,
            first_sequence,
            end: SegmentPosition {
                offset: SEGMENT_HEADER_BYTES as u64,
                next_sequence: first_sequence,
            },
            body: Vec::new(),
        })
    }

    pub fn id(&self) -> u32 {
        self.id
    }

    /// The segment's length in bytes once the current frame is written.
    pub fn length(&self) -> u64 {
        self.end.offset + self.body.len() as u64
    }

    pub fn write_header(&self) -> Result<()> {
        let header = SegmentHeader {
            kind: SegmentKind::Compacted,
            id: self.id,
            first_sequence: self.first_sequence,
        };
        self.file
            .write_at(&header.encode(), 0)
            .map_err(|error| self.io_error(error))
    }

    /// Adds a record and returns the offset of its value.
    pub fn put(&mut self, key: &[u8], value: &[u8], expires_at: u64) -> Result<u32> {
        if self.body.len() + key.len() + value.len() >= MAX_FRAME_BODY_BYTES {
            self.write_frame()?;
        }
        encode_put(key, value, expires_at, &mut self.body);
        let value_offset = self.body.len() - value.len();
        let offset = self.end.offset as usize + FRAME_HEADER_BYTES + value_offset;
        // A segment is at most 1 GiB and one record long.
        Ok(offset as u32)
    }

    fn write_frame(&mut self) -> Result<()> {
        if self.body.is_empty() {
            return Ok(());
        }
        let body = std::mem::take(&mut self.body);
        let mut bytes = Vec::with_capacity(FRAME_HEADER_BYTES + body.len());
        FrameHeader::for_body(&body, self.end.next_sequence, 0).encode(self.id, &mut bytes);
        bytes.extend_from_slice(&body);
        self.file
            .write_at(&bytes, self.end.offset)
            .map_err(|error| self.io_error(error))?;
        self.end = SegmentPosition {
            offset: self.end.offset + bytes.len() as u64,
            next_sequence: self.end.next_sequence + 1,
        };
        Ok(())
    }

    /// Writes the last frame and flushes the segment.
    pub fn flush(&mut self) -> Result<()> {
        self.write_frame()?;
        self.file.sync().map_err(|error| self.io_error(error))
    }

    /// The segment after its flush.
    pub fn into_finished(self) -> FinishedOutput<F> {
        FinishedOutput {
            entry: SegmentEntry {
                id: self.id,
                kind: SegmentKind::Compacted,
                first_sequence: self.first_sequence,
                sealed: Some(self.end),
            },
            file: self.file,
        }
    }

    fn io_error(&self, error: std::io::Error) -> Error {
        Error::io(&segment_name(self.id), error)
    }
}
