//! A segment read from its beginning to its end, and what is wrong with it. Where its end is torn it is told from
//! damage in its middle: every frame says how far the log was flushed when it was written, so an unreadable frame
//! that a later one calls flushed was whole once.

use crate::disk::File;
use crate::error::{Corruption, Error, Result};
use crate::format::{
    FRAME_HEADER, FrameHeader, Kind, Listed, Ops, Refusal, SEGMENT_HEADER, decode_segment_header,
    segment_name,
};
use std::ops::Range;

/// How much is read of a file at a time, in bytes.
const CHUNK: usize = 256 << 10;

/// A part of a file in memory: one chunk, or one frame where that is larger.
struct Window<'a, F> {
    file: &'a F,
    name: &'a str,
    /// The end that counts: what lies behind it is not read.
    end: u64,
    from: u64,
    bytes: Vec<u8>,
}

impl<'a, F: File> Window<'a, F> {
    fn new(file: &'a F, name: &'a str, end: u64) -> Self {
        Window {
            file,
            name,
            end,
            from: 0,
            bytes: Vec::new(),
        }
    }

    /// So many bytes from this place, or as many as there are.
    fn get(&mut self, at: u64, length: usize) -> Result<&[u8]> {
        let length = length.min(usize::try_from(self.end.saturating_sub(at)).unwrap_or(usize::MAX));
        let held = self.from..self.from + self.bytes.len() as u64;
        if at < held.start || at + length as u64 > held.end {
            let rest = usize::try_from(self.end.saturating_sub(at)).unwrap_or(usize::MAX);
            self.bytes.resize(length.max(CHUNK).min(rest), 0);
            self.from = at;
            let read = self
                .file
                .read_at(&mut self.bytes, at)
                .map_err(|e| Error::io(self.name, &e))?;
            self.bytes.truncate(read);
        }
        let from = (at - self.from) as usize;
        let to = (from + length).min(self.bytes.len());
        Ok(self.bytes.get(from..to).unwrap_or_default())
    }
}

/// A whole frame.
pub(crate) struct Frame<'a> {
    pub header: FrameHeader,
    /// Where its body begins.
    pub body_at: u64,
    pub body: &'a [u8],
}

/// Bytes that could not be read, and the frames that stood there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostRange {
    /// Where, and what is wrong there.
    pub corruption: Corruption,
    /// How many bytes were passed over.
    pub bytes: u64,
    /// The sequence numbers of the batches that are missing, where known: not where they were compacted.
    pub sequences: Option<Range<u64>>,
}

/// What a segment's reading came to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Scanned {
    /// Where the last whole frame ends, and the sequence number after it.
    pub end: u64,
    pub next: u64,
    /// The bytes behind, where they are the rest of a torn end.
    pub torn: u64,
    /// Up to here some frame calls the log flushed, with the sequence number after that.
    pub proven: (u64, u64),
    /// What was passed over.
    pub lost: Vec<LostRange>,
}

/// What to do at damage.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mode {
    /// End with an error.
    Refuse,
    /// Go on at the next whole frame, and tell of it.
    Salvage,
}

/// Reads a segment, frame by frame.
///
/// # Errors
/// Corruption, a newer format, a file that can't be read; and what `visit` ends with.
pub(crate) fn scan<F: File>(
    file: &F,
    listed: &Listed,
    mode: Mode,
    mut visit: impl FnMut(Frame<'_>) -> Result<()>,
) -> Result<Scanned> {
    let name = segment_name(listed.id);
    let size = file.size().map_err(|e| Error::io(&name, &e))?;
    let end = listed.sealed.map_or(size, |(length, _)| length.min(size));
    let mut window = Window::new(file, &name, end);
    let mut scanned = Scanned {
        next: listed.first,
        ..Scanned::default()
    };
    let mut lose = |offset: u64, problem: String, bytes: u64, sequences: Option<Range<u64>>| {
        let damage = Corruption {
            file: name.clone(),
            offset,
            problem,
        };
        if mode == Mode::Refuse {
            return Err(Error::Corrupted(damage));
        }
        let sequences = sequences.filter(|_| listed.kind == Kind::Log);
        scanned.lost.push(LostRange {
            corruption: damage,
            bytes,
            sequences,
        });
        Ok(())
    };

    match decode_segment_header(window.get(0, SEGMENT_HEADER)?) {
        Ok(told) if told == (listed.kind, listed.id, listed.first) => {}
        Ok(_) => lose(
            12,
            "the header is not that of the segment listed".into(),
            0,
            None,
        )?,
        Err(Refusal::Newer(version)) => {
            return Err(Error::UnsupportedVersion {
                file: name,
                version,
            });
        }
        Err(Refusal::Damaged(offset, problem)) => lose(offset, problem.into(), 0, None)?,
    }

    let mut at = SEGMENT_HEADER as u64;
    let mut next = listed.first;
    let mut proven = (at, next);
    let mut torn = 0;
    while at < end {
        match frame_at(&mut window, listed.id, at, end)? {
            Ok(header) if header.sequence == next => {
                let body_at = at + FRAME_HEADER as u64;
                let body = window.get(body_at, header.length as usize)?;
                visit(Frame {
                    header,
                    body_at,
                    body,
                })?;
                // The first frame behind a flush says just that: all before itself.
                if header.flushed == next {
                    proven = (at, next);
                }
                at = body_at + u64::from(header.length);
                next += 1;
            }
            found => {
                let problem = match &found {
                    Ok(header) => format!("frame {} where {next} was due", header.sequence),
                    Err(problem) => (*problem).to_owned(),
                };
                let later = next_frame(&mut window, listed, mode, at, end, next)?;
                let due = listed.sealed.map(|(_, due)| due);
                match (later, due) {
                    // An end that was not flushed: it is cut.
                    (None, None) => {
                        torn = torn_bytes(&mut window, at, end)?;
                        break;
                    }
                    (None, Some(due)) => {
                        lose(at, problem, end - at, Some(next..due.max(next)))?;
                        (at, next) = (end, due.max(next));
                    }
                    (Some((to, sequence)), _) => {
                        lose(at, problem, to - at, Some(next..sequence))?;
                        (at, next) = (to, sequence);
                    }
                }
            }
        }
    }
    if let Some((length, due)) = listed.sealed {
        if length > size {
            let missing = length - size;
            lose(
                size,
                format!("the file ends {missing} bytes early"),
                missing,
                Some(next..due.max(next)),
            )?;
        } else if next != due {
            lose(
                at,
                format!("frame {next} is missing"),
                0,
                Some(next..due.max(next)),
            )?;
        }
    }
    Ok(Scanned {
        end: at,
        next,
        torn,
        proven,
        ..scanned
    })
}

/// The header of a whole frame at this place, or what is wrong there.
fn frame_at<F: File>(
    window: &mut Window<'_, F>,
    id: u32,
    at: u64,
    end: u64,
) -> Result<std::result::Result<FrameHeader, &'static str>> {
    let bytes = window.get(at, FRAME_HEADER)?;
    if bytes.len() < FRAME_HEADER {
        return Ok(Err("a frame's header is cut off"));
    }
    let Some(header) = FrameHeader::decode(id, bytes) else {
        return Ok(Err("no frame begins where one was due"));
    };
    let body_at = at + FRAME_HEADER as u64;
    if end - body_at < u64::from(header.length) {
        return Ok(Err("a frame is cut off"));
    }
    let body = window.get(body_at, header.length as usize)?;
    if body.len() < header.length as usize || crc32c::crc32c(body) != header.body_crc {
        return Ok(Err("a frame does not match its checksum"));
    }
    if Ops::of(body).any(|op| op.is_err()) {
        return Ok(Err("a frame holds a record that makes no sense"));
    }
    Ok(Ok(header))
}

/// Where reading goes on behind an unreadable place, and with which frame. In a segment that is still open only a
/// frame that calls what was due flushed counts: any other may be the rest of what was never acknowledged.
fn next_frame<F: File>(
    window: &mut Window<'_, F>,
    listed: &Listed,
    mode: Mode,
    at: u64,
    end: u64,
    due: u64,
) -> Result<Option<(u64, u64)>> {
    let open = listed.sealed.is_none();
    let mut proof = !open;
    let mut found = None;
    let mut place = at;
    while place + (FRAME_HEADER as u64) < end {
        let bytes = window.get(place, CHUNK)?;
        if bytes.len() < FRAME_HEADER {
            break;
        }
        for (i, head) in bytes.windows(FRAME_HEADER).enumerate() {
            let Some(header) = FrameHeader::decode(listed.id, head) else {
                continue;
            };
            let here = place + i as u64;
            if header.sequence < due || (here == at && header.sequence == due) {
                continue;
            }
            proof |= header.flushed > due;
            found = found.or(Some((here, header.sequence)));
            // Refused all the same, wherever reading would go on.
            if proof && mode == Mode::Refuse {
                return Ok(found);
            }
        }
        place += (bytes.len() - FRAME_HEADER + 1) as u64;
    }
    if !proof {
        return Ok(None);
    }
    // Of the frames that have a header, reading goes on at the first that is whole.
    let mut place = at + 1;
    while place + (FRAME_HEADER as u64) < end {
        let bytes = window.get(place, CHUNK)?;
        if bytes.len() < FRAME_HEADER {
            break;
        }
        let heads = bytes.windows(FRAME_HEADER).enumerate();
        let headers =
            heads.filter_map(|(i, head)| Some((i, FrameHeader::decode(listed.id, head)?)));
        let (heads, step): (Vec<_>, _) = (headers.collect(), bytes.len() - FRAME_HEADER + 1);
        for (i, header) in heads {
            let here = place + i as u64;
            if header.sequence >= due && frame_at(window, listed.id, here, end)?.is_ok() {
                return Ok(Some((here, header.sequence)));
            }
        }
        place += step as u64;
    }
    Ok(None)
}

/// The bytes of a torn end up to the last that is not 0: behind it lies what was reserved.
fn torn_bytes<F: File>(window: &mut Window<'_, F>, at: u64, end: u64) -> Result<u64> {
    let (mut place, mut last) = (at, at);
    while place < end {
        let bytes = window.get(place, CHUNK)?;
        if bytes.is_empty() {
            break;
        }
        if let Some(i) = bytes.iter().rposition(|b| *b != 0) {
            last = place + i as u64 + 1;
        }
        place += bytes.len() as u64;
    }
    Ok(last - at)
}
