//! Reads a segment from its start to its end, and tells a torn end from corruption.
//!
//! Every frame says how far the log was flushed when the frame was written. So an unreadable frame that a later one
//! calls flushed was once complete: it is corrupted. Without such a frame it is a torn end, which a crash left.

mod frame_check;
mod resume;
mod window;

use crate::disk::File;
use crate::error::{Corruption, Error, Result};
use crate::format::{
    FRAME_HEADER_BYTES, FormatError, FrameHeader, SEGMENT_HEADER_BYTES, SegmentEntry,
    SegmentHeader, SegmentKind, SegmentPosition, segment_name,
};
use frame_check::{UnreadableFrame, check_frame};
use resume::find_resume_position;
use std::ops::Range;
use window::{CHUNK_BYTES, Window};

/// A complete frame.
pub(crate) struct Frame<'a> {
    pub header: FrameHeader,
    /// Where the body begins in the segment.
    pub body_offset: u64,
    pub body: &'a [u8],
}

/// Bytes that could not be read, and the batches that were stored there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostRange {
    /// Where the bytes begin, and what is wrong there.
    pub corruption: Corruption,
    /// How many bytes were skipped.
    pub bytes: u64,
    /// The sequence numbers of the lost batches; `None` if they are unknown because the segment was compacted.
    pub sequences: Option<Range<u64>>,
}

/// The result of the scan of a segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SegmentScan {
    /// Behind the last complete frame.
    pub end: SegmentPosition,
    /// The bytes of a torn end behind it, without preallocated zeros. They were never acknowledged as durable.
    pub torn_bytes: u64,
    /// Some frame calls the segment flushed up to here, so that this part survives power loss.
    pub proven_flushed: SegmentPosition,
    /// What was skipped, in the order of the offsets; empty under [`OnCorruption::Fail`].
    pub lost: Vec<LostRange>,
}

/// What a scan does where it meets corruption.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OnCorruption {
    /// It returns an error.
    Fail,
    /// It skips the unreadable bytes, goes on at the next complete frame, and lists what was lost.
    Skip,
}

/// Reads a segment and calls `visit` for each complete frame in order.
///
/// # Errors
/// [`Error::Corrupted`] under [`OnCorruption::Fail`]; [`Error::UnsupportedVersion`]; [`Error::Io`]; and any error that
/// `visit` returns.
pub(crate) fn scan_segment<F: File>(
    file: &F,
    entry: &SegmentEntry,
    on_corruption: OnCorruption,
    mut visit: impl FnMut(Frame<'_>) -> Result<()>,
) -> Result<SegmentScan> {
    let name = segment_name(entry.id);
    let size = file.size().map_err(|error| Error::io(&name, error))?;
    let end = entry.sealed.map_or(size, |sealed| sealed.offset.min(size));
    let first = SegmentPosition {
        offset: SEGMENT_HEADER_BYTES as u64,
        next_sequence: entry.first_sequence,
    };
    let mut scanner = Scanner {
        window: Window::new(file, &name, end),
        name: &name,
        entry,
        on_corruption,
        scan: SegmentScan {
            end: first,
            torn_bytes: 0,
            proven_flushed: first,
            lost: Vec::new(),
        },
    };
    scanner.check_header()?;
    scanner.read_frames(&mut visit)?;
    scanner.check_sealed_end(size)?;
    Ok(scanner.scan)
}

struct Scanner<'a, F> {
    window: Window<'a, F>,
    name: &'a str,
    entry: &'a SegmentEntry,
    on_corruption: OnCorruption,
    /// What is known so far.
    scan: SegmentScan,
}

impl<F: File> Scanner<'_, F> {
    fn check_header(&mut self) -> Result<()> {
        let expected = SegmentHeader {
            kind: self.entry.kind,
            id: self.entry.id,
            first_sequence: self.entry.first_sequence,
        };
        let bytes = self.window.get(0, SEGMENT_HEADER_BYTES)?;
        match SegmentHeader::decode(bytes) {
            Ok(header) if header == expected => Ok(()),
            Ok(_) => {
                let problem = "the header is not that of the segment listed";
                self.lose(12, problem.to_owned(), 0, None)
            }
            Err(FormatError::UnsupportedVersion { version }) => Err(Error::UnsupportedVersion {
                file: self.name.to_owned(),
                version,
            }),
            Err(FormatError::Corrupted { offset, problem }) => {
                self.lose(offset, problem.to_owned(), 0, None)
            }
        }
    }

    fn read_frames(&mut self, visit: &mut impl FnMut(Frame<'_>) -> Result<()>) -> Result<()> {
        while self.scan.end.offset < self.window.end() {
            match self.check_next_frame()? {
                Ok(header) => self.visit_frame(header, visit)?,
                Err(unreadable) => {
                    let Some(resume) = self.find_end_of_corruption()? else {
                        self.scan.torn_bytes = self.count_torn_bytes()?;
                        return Ok(());
                    };
                    self.skip_to(resume, unreadable)?;
                }
            }
        }
        Ok(())
    }

    fn check_next_frame(&mut self) -> Result<std::result::Result<FrameHeader, UnreadableFrame>> {
        let SegmentPosition {
            offset,
            next_sequence,
        } = self.scan.end;
        let checked = check_frame(&mut self.window, self.entry.id, offset)?;
        Ok(match checked {
            Ok(header) if header.sequence != next_sequence => Err(UnreadableFrame::OutOfSequence {
                found: header.sequence,
                expected: next_sequence,
            }),
            checked => checked,
        })
    }

    fn visit_frame(
        &mut self,
        header: FrameHeader,
        visit: &mut impl FnMut(Frame<'_>) -> Result<()>,
    ) -> Result<()> {
        let body_offset = self.scan.end.offset + FRAME_HEADER_BYTES as u64;
        let body = self.window.get(body_offset, header.body_bytes as usize)?;
        visit(Frame {
            header,
            body_offset,
            body,
        })?;
        if header.follows_flush() {
            self.scan.proven_flushed = self.scan.end;
        }
        self.scan.end = SegmentPosition {
            offset: body_offset + u64::from(header.body_bytes),
            next_sequence: header.sequence + 1,
        };
        Ok(())
    }

    /// Where the scan goes on behind an unreadable frame; `None` if that is a torn end.
    fn find_end_of_corruption(&mut self) -> Result<Option<SegmentPosition>> {
        let unreadable = self.scan.end;
        let resume =
            find_resume_position(&mut self.window, self.entry, self.on_corruption, unreadable)?;
        // A sealed segment was complete: without a later frame all of its rest is lost.
        let rest = self.entry.sealed.map(|sealed| SegmentPosition {
            offset: self.window.end(),
            next_sequence: sealed.next_sequence.max(unreadable.next_sequence),
        });
        Ok(resume.or(rest))
    }

    fn skip_to(&mut self, resume: SegmentPosition, unreadable: UnreadableFrame) -> Result<()> {
        let from = self.scan.end;
        self.lose(
            from.offset,
            unreadable.to_string(),
            resume.offset - from.offset,
            Some(from.next_sequence..resume.next_sequence),
        )?;
        self.scan.end = resume;
        Ok(())
    }

    /// Checks that a sealed segment has the length and the frames that the manifest lists.
    fn check_sealed_end(&mut self, file_size: u64) -> Result<()> {
        let Some(sealed) = self.entry.sealed else {
            return Ok(());
        };
        let next = self.scan.end.next_sequence;
        let sequences = next..sealed.next_sequence.max(next);
        if sealed.offset > file_size {
            let missing = sealed.offset - file_size;
            let problem = format!("the file ends {missing} bytes early");
            return self.lose(file_size, problem, missing, Some(sequences));
        }
        if next != sealed.next_sequence {
            let problem = format!("frame {next} is missing");
            return self.lose(self.scan.end.offset, problem, 0, Some(sequences));
        }
        Ok(())
    }

    /// Lists corruption, or returns it as an error.
    fn lose(
        &mut self,
        offset: u64,
        problem: String,
        bytes: u64,
        sequences: Option<Range<u64>>,
    ) -> Result<()> {
        let corruption = Corruption {
            file: self.name.to_owned(),
            offset,
            problem,
        };
        match self.on_corruption {
            OnCorruption::Fail => Err(Error::Corrupted(corruption)),
            OnCorruption::Skip => {
                // The frames of a compacted segment are not numbered by the batch.
                let is_log = self.entry.kind == SegmentKind::Log;
                self.scan.lost.push(LostRange {
                    corruption,
                    bytes,
                    sequences: sequences.filter(|_| is_log),
                });
                Ok(())
            }
        }
    }

    /// The bytes of a torn end up to the last that is not 0: behind it lies what was preallocated.
    fn count_torn_bytes(&mut self) -> Result<u64> {
        let start = self.scan.end.offset;
        let mut offset = start;
        let mut torn_end = start;
        while offset < self.window.end() {
            let bytes = self.window.get(offset, CHUNK_BYTES)?;
            if bytes.is_empty() {
                break;
            }
            if let Some(last) = bytes.iter().rposition(|byte| *byte != 0) {
                torn_end = offset + last as u64 + 1;
            }
            offset += bytes.len() as u64;
        }
        Ok(torn_end - start)
    }
}
