//! The segment at the end of the log, to which frames are added.

use crate::disk::{Disk, File};
use crate::error::{Error, Result};
use crate::format::{
    FRAME_HEADER_BYTES, FrameHeader, SEGMENT_HEADER_BYTES, SegmentEntry, SegmentHeader,
    SegmentKind, SegmentPosition, segment_name,
};
use crate::options::Durability;
use crate::preallocation::Preallocation;
use crate::segment_scan::SegmentScan;
use std::io;
use std::sync::Arc;

/// The bytes of relaxed frames at which they are flushed, so that the memory for [`UnflushedFrame`]s is bounded. No
/// measurement stands behind the number.
const MAX_UNFLUSHED_BYTES: usize = 1 << 20;

/// A frame that was written and is not known to survive power loss.
///
/// It survives a crash of the process. Its body is kept in memory until a flush, so that a new segment can repeat it if
/// the flush of this one fails.
pub(crate) struct UnflushedFrame {
    pub sequence: u64,
    pub body: Vec<u8>,
}

/// Whether frames may be added to the active segment.
enum WriteState<F> {
    /// Frames may be added.
    Writable {
        file: Arc<F>,
        preallocation: Preallocation,
    },
    /// No frame may be added. The segment was found at an opening, or a write to it or a flush of it failed: nothing is
    /// known of the bytes behind the last flush.
    ReadOnly,
}

/// The segment at the end of the log.
///
/// What it holds up to [`ActiveSegment::flushed`] survives power loss. What stands behind that survives a crash of the
/// process, and a new segment repeats it before this one is sealed.
pub(crate) struct ActiveSegment<F> {
    id: u32,
    first_sequence: u64,
    write_state: WriteState<F>,
    /// The length of the header and of all frames, without preallocated zeros.
    length: u64,
    flushed: SegmentPosition,
    /// The frames behind `flushed`, in order.
    unflushed: Vec<UnflushedFrame>,
}

/// Frames that were added to the active segment.
pub(crate) struct AppendedFrames {
    /// Where the first of them begins.
    pub offset: u64,
    /// Whether they were flushed, so that they survive power loss.
    pub is_flushed: bool,
}

impl<F: File> ActiveSegment<F> {
    /// The active segment as it was found at an opening. Nothing may be added to it.
    pub fn recovered(
        entry: &SegmentEntry,
        scan: &SegmentScan,
        unflushed: Vec<UnflushedFrame>,
    ) -> Self {
        ActiveSegment {
            id: entry.id,
            first_sequence: entry.first_sequence,
            write_state: WriteState::ReadOnly,
            length: scan.end.offset,
            flushed: scan.proven_flushed,
            unflushed,
        }
    }

    /// Creates a segment that begins with copies of these frames, which end before `next_sequence`. The frames and the
    /// file's name are flushed, so that both survive power loss.
    ///
    /// # Errors
    /// [`Error::Io`], [`Error::DiskFull`]. The file may exist then.
    pub fn create<D: Disk<File = F>>(
        disk: &D,
        header: SegmentHeader,
        frames: &[UnflushedFrame],
        next_sequence: u64,
        max_preallocated_bytes: u64,
    ) -> Result<Self> {
        let name = segment_name(header.id);
        let mut bytes = header.encode().to_vec();
        for frame in frames {
            FrameHeader::for_body(&frame.body, frame.sequence, header.first_sequence)
                .encode(header.id, &mut bytes);
            bytes.extend_from_slice(&frame.body);
        }
        let mut preallocation = Preallocation::new(max_preallocated_bytes);
        let file = create_flushed(disk, &name, &bytes, &mut preallocation)
            .map_err(|error| Error::io(&name, error))?;
        let length = bytes.len() as u64;
        Ok(ActiveSegment {
            id: header.id,
            first_sequence: header.first_sequence,
            write_state: WriteState::Writable {
                file: Arc::new(file),
                preallocation,
            },
            length,
            flushed: SegmentPosition {
                offset: length,
                next_sequence,
            },
            unflushed: Vec::new(),
        })
    }

    pub fn id(&self) -> u32 {
        self.id
    }

    /// The length in bytes, without preallocated zeros.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Up to here the segment survives power loss.
    pub fn flushed(&self) -> SegmentPosition {
        self.flushed
    }

    /// The frames that are not known to survive power loss.
    pub fn unflushed(&self) -> &[UnflushedFrame] {
        &self.unflushed
    }

    /// The file, while frames may be added.
    pub fn writable_file(&self) -> Option<&Arc<F>> {
        match &self.write_state {
            WriteState::Writable { file, .. } => Some(file),
            WriteState::ReadOnly => None,
        }
    }

    /// The segment's entry in the manifest once it is sealed behind its last flushed frame; `None` if no frame of it was
    /// flushed, so that the segment is not needed any more.
    pub fn sealed_entry(&self) -> Option<SegmentEntry> {
        (self.flushed.next_sequence > self.first_sequence).then_some(SegmentEntry {
            id: self.id,
            kind: SegmentKind::Log,
            first_sequence: self.first_sequence,
            sealed: Some(self.flushed),
        })
    }

    /// The segment's entry in the manifest while it is active.
    pub fn active_entry(&self) -> SegmentEntry {
        SegmentEntry {
            id: self.id,
            kind: SegmentKind::Log,
            first_sequence: self.first_sequence,
            sealed: None,
        }
    }

    /// Adds one frame for each body with one write, and flushes for [`Durability::Durable`] or once too much is
    /// unflushed. The caller hands the bodies to [`ActiveSegment::keep_unflushed`] if they were not flushed.
    ///
    /// # Errors
    /// [`Error::DiskFull`] or [`Error::Io`] without an effect if there is no space. After any other failure the segment
    /// is read-only: each of the frames may survive or not.
    pub fn append(
        &mut self,
        bodies: &[Vec<u8>],
        first_sequence: u64,
        durability: Durability,
    ) -> Result<AppendedFrames> {
        let bytes = self.encode_frames(bodies, first_sequence);
        let WriteState::Writable {
            file,
            preallocation,
        } = &mut self.write_state
        else {
            return Err(Error::Closed);
        };
        let failed = |error| Error::io(&segment_name(self.id), error);
        preallocation
            .ensure(&**file, self.length, bytes.len() as u64)
            .map_err(failed)?;
        let unflushed_bytes: usize = self.unflushed.iter().map(|frame| frame.body.len()).sum();
        let is_flushed = durability == Durability::Durable
            || unflushed_bytes + bytes.len() > MAX_UNFLUSHED_BYTES;
        let written = file.write_at(&bytes, self.length);
        let flushed = written.and_then(|()| if is_flushed { file.sync() } else { Ok(()) });
        if let Err(error) = flushed {
            self.write_state = WriteState::ReadOnly;
            return Err(failed(error));
        }
        let offset = self.length;
        self.length += bytes.len() as u64;
        if is_flushed {
            self.mark_flushed(first_sequence + bodies.len() as u64);
        }
        Ok(AppendedFrames { offset, is_flushed })
    }

    fn encode_frames(&self, bodies: &[Vec<u8>], first_sequence: u64) -> Vec<u8> {
        let size = bodies
            .iter()
            .map(|body| FRAME_HEADER_BYTES + body.len())
            .sum();
        let mut bytes = Vec::with_capacity(size);
        for (sequence, body) in (first_sequence..).zip(bodies) {
            FrameHeader::for_body(body, sequence, self.flushed.next_sequence)
                .encode(self.id, &mut bytes);
            bytes.extend_from_slice(body);
        }
        bytes
    }

    /// Keeps the bodies of appended frames until they are flushed.
    pub fn keep_unflushed(&mut self, bodies: Vec<Vec<u8>>, first_sequence: u64) {
        let frames = (first_sequence..)
            .zip(bodies)
            .map(|(sequence, body)| UnflushedFrame { sequence, body });
        self.unflushed.extend(frames);
    }

    /// Flushes the segment, which ends before `next_sequence`.
    ///
    /// # Errors
    /// [`Error::Io`]. The segment is read-only then, and its unflushed frames are still to be repeated.
    pub fn flush(&mut self, next_sequence: u64) -> Result<()> {
        let WriteState::Writable { file, .. } = &self.write_state else {
            return Err(Error::Closed);
        };
        if let Err(error) = file.sync() {
            self.write_state = WriteState::ReadOnly;
            return Err(Error::io(&segment_name(self.id), error));
        }
        self.mark_flushed(next_sequence);
        Ok(())
    }

    fn mark_flushed(&mut self, next_sequence: u64) {
        self.flushed = SegmentPosition {
            offset: self.length,
            next_sequence,
        };
        self.unflushed.clear();
    }
}

/// Creates a file with these bytes, and flushes it and its name.
fn create_flushed<D: Disk>(
    disk: &D,
    name: &str,
    bytes: &[u8],
    preallocation: &mut Preallocation,
) -> io::Result<D::File> {
    let file = disk.create(name)?;
    preallocation.ensure(&file, 0, bytes.len() as u64)?;
    file.write_at(bytes, 0)?;
    file.sync()?;
    disk.sync()?;
    Ok(file)
}

/// Where the first frame of a segment begins.
pub(crate) const FIRST_FRAME_OFFSET: u64 = SEGMENT_HEADER_BYTES as u64;
