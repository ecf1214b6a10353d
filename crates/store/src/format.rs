//! Bytes to records and back, without any file. `docs/store-format.md` tells the same in words.
//!
//! All numbers are little-endian. Every checksum is CRC32C (Castagnoli; RFC 3720, appendix B.4).

use crate::batch::{Batch, Op};

/// The format that is written, and the newest that is read.
pub const FORMAT_VERSION: u32 = 1;
/// The most bytes of a key.
pub const MAX_KEY_BYTES: usize = u16::MAX as usize;
/// The most bytes of a batch, with 15 for each operation and its keys and values.
pub const MAX_BATCH_BYTES: usize = 4 << 20;

/// The manifest's name, and that under which the next is written.
pub(crate) const MANIFEST: &str = "MANIFEST";
pub(crate) const MANIFEST_NEW: &str = "MANIFEST.new";
const SEGMENT_SUFFIX: &str = ".seg";

const SEGMENT_MAGIC: [u8; 8] = *b"mdlm-seg";
const MANIFEST_MAGIC: [u8; 8] = *b"mdlm-man";

/// Bytes of a segment's header, a frame's header, and what each operation takes beside key and value.
pub(crate) const SEGMENT_HEADER: usize = 32;
pub(crate) const FRAME_HEADER: usize = 32;
pub(crate) const OP_HEADER: usize = 15;

/// No expiry.
pub(crate) const NEVER: u64 = u64::MAX;

pub(crate) fn segment_name(id: u32) -> String {
    format!("{id:08x}{SEGMENT_SUFFIX}")
}

pub(crate) fn segment_id(name: &str) -> Option<u32> {
    let digits = name.strip_suffix(SEGMENT_SUFFIX)?;
    let plain = digits.len() == 8
        && digits
            .bytes()
            .all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    plain
        .then(|| u32::from_str_radix(digits, 16).ok())
        .flatten()
}

fn u16_at(bytes: &[u8], at: usize) -> Option<u16> {
    Some(u16::from_le_bytes(*bytes.get(at..)?.first_chunk()?))
}

fn u32_at(bytes: &[u8], at: usize) -> Option<u32> {
    Some(u32::from_le_bytes(*bytes.get(at..)?.first_chunk()?))
}

fn u64_at(bytes: &[u8], at: usize) -> Option<u64> {
    Some(u64::from_le_bytes(*bytes.get(at..)?.first_chunk()?))
}

/// What a segment is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Batches as they came.
    Log,
    /// What was live at a compaction, in the order of its keys.
    Compacted,
}

impl Kind {
    fn code(self) -> u32 {
        match self {
            Kind::Log => 1,
            Kind::Compacted => 2,
        }
    }

    fn of(code: u32) -> Option<Self> {
        match code {
            1 => Some(Kind::Log),
            2 => Some(Kind::Compacted),
            _ => None,
        }
    }
}

/// Why a file's beginning is not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// A newer format.
    Newer(u32),
    /// Not what was written: the place, and why.
    Damaged(u64, &'static str),
}

/// A segment's first bytes: magic, version, kind, id, sequence number of its first frame, checksum.
pub(crate) fn encode_segment_header(kind: Kind, id: u32, first: u64) -> [u8; SEGMENT_HEADER] {
    let mut header = [0; SEGMENT_HEADER];
    header[..8].copy_from_slice(&SEGMENT_MAGIC);
    header[8..12].copy_from_slice(&FORMAT_VERSION.to_le_bytes());
    header[12..16].copy_from_slice(&kind.code().to_le_bytes());
    header[16..20].copy_from_slice(&id.to_le_bytes());
    header[20..28].copy_from_slice(&first.to_le_bytes());
    let crc = crc32c::crc32c(&header[..28]);
    header[28..].copy_from_slice(&crc.to_le_bytes());
    header
}

/// Kind, id and first sequence number.
pub(crate) fn decode_segment_header(bytes: &[u8]) -> Result<(Kind, u32, u64), Refusal> {
    let short = Refusal::Damaged(0, "the segment's header is cut off");
    if bytes.get(..8).ok_or(short.clone())? != SEGMENT_MAGIC {
        return Err(Refusal::Damaged(0, "not a segment of a store"));
    }
    // The version is read before the checksum: a newer format may keep its own elsewhere.
    let version = u32_at(bytes, 8).ok_or(short.clone())?;
    if version > FORMAT_VERSION {
        return Err(Refusal::Newer(version));
    }
    let covered = bytes.get(..28).ok_or(short.clone())?;
    if u32_at(bytes, 28).ok_or(short)? != crc32c::crc32c(covered) {
        return Err(Refusal::Damaged(
            0,
            "the segment's header does not match its checksum",
        ));
    }
    let strange = Refusal::Damaged(12, "the segment's header makes no sense");
    let kind = u32_at(bytes, 12)
        .and_then(Kind::of)
        .ok_or(strange.clone())?;
    let id = u32_at(bytes, 16).ok_or(strange.clone())?;
    let first = u64_at(bytes, 20).ok_or(strange)?;
    Ok((kind, id, first))
}

/// What stands before a frame's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FrameHeader {
    /// Bytes of the body.
    pub length: u32,
    /// Checksum of the body.
    pub body_crc: u32,
    /// The frame's own sequence number.
    pub sequence: u64,
    /// Every frame below this number was known to outlast a loss of power when this one was written. It is what
    /// tells damage from a torn end: an unreadable frame below it was once whole.
    pub flushed: u64,
}

impl FrameHeader {
    /// The checksum covers the segment's id too, so that no frame is taken for one of another segment.
    fn crc(id: u32, covered: &[u8]) -> u32 {
        crc32c::crc32c_append(crc32c::crc32c(&id.to_le_bytes()), covered)
    }

    pub fn of(body: &[u8], sequence: u64, flushed: u64) -> Self {
        FrameHeader {
            length: body.len() as u32,
            body_crc: crc32c::crc32c(body),
            sequence,
            flushed,
        }
    }

    pub fn encode(&self, id: u32, to: &mut Vec<u8>) {
        let mut header = [0; FRAME_HEADER];
        header[4..8].copy_from_slice(&self.length.to_le_bytes());
        header[8..12].copy_from_slice(&self.body_crc.to_le_bytes());
        header[16..24].copy_from_slice(&self.sequence.to_le_bytes());
        header[24..].copy_from_slice(&self.flushed.to_le_bytes());
        let crc = Self::crc(id, &header[4..]);
        header[..4].copy_from_slice(&crc.to_le_bytes());
        to.extend_from_slice(&header);
    }

    /// None where these bytes are no frame's header in this segment.
    pub fn decode(id: u32, bytes: &[u8]) -> Option<Self> {
        let bytes = bytes.get(..FRAME_HEADER)?;
        let length = u32_at(bytes, 4)?;
        let (sequence, flushed) = (u64_at(bytes, 16)?, u64_at(bytes, 24)?);
        // The cheap questions first: the search for a frame behind damage asks this at every byte.
        let sound = (1..=MAX_BATCH_BYTES as u32).contains(&length)
            && flushed <= sequence
            && sequence < u64::MAX;
        if !sound || u32_at(bytes, 12)? != 0 || u32_at(bytes, 0)? != Self::crc(id, bytes.get(4..)?)
        {
            return None;
        }
        Some(FrameHeader {
            length,
            body_crc: u32_at(bytes, 8)?,
            sequence,
            flushed,
        })
    }
}

const PUT: u8 = 1;
const DELETE: u8 = 2;

/// A batch as a frame's body.
pub(crate) fn encode_batch(batch: &Batch) -> Vec<u8> {
    let mut body = Vec::with_capacity(batch.size());
    for op in batch.ops() {
        match op {
            Op::Put {
                key,
                value,
                expires,
            } => encode_put(key, value, expires.unwrap_or(NEVER), &mut body),
            Op::Delete { key } => encode_op(DELETE, key, &[], NEVER, &mut body),
        }
    }
    body
}

pub(crate) fn encode_put(key: &[u8], value: &[u8], expires: u64, to: &mut Vec<u8>) {
    encode_op(PUT, key, value, expires, to);
}

fn encode_op(kind: u8, key: &[u8], value: &[u8], expires: u64, to: &mut Vec<u8>) {
    to.push(kind);
    to.extend_from_slice(&(key.len() as u16).to_le_bytes());
    to.extend_from_slice(&(value.len() as u32).to_le_bytes());
    to.extend_from_slice(&expires.to_le_bytes());
    to.extend_from_slice(key);
    to.extend_from_slice(value);
}

/// One operation of a frame's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Read<'a> {
    pub key: &'a [u8],
    /// The value, where it begins in the body, and when it expires; none for a deletion.
    pub put: Option<(&'a [u8], usize, u64)>,
}

/// The operations of a frame's body, in order; an error ends them.
pub(crate) struct Ops<'a> {
    body: &'a [u8],
    at: usize,
}

impl<'a> Ops<'a> {
    pub fn of(body: &'a [u8]) -> Self {
        Ops { body, at: 0 }
    }

    fn read(&mut self) -> Option<Read<'a>> {
        let kind = *self.body.get(self.at)?;
        let key_at = self.at + OP_HEADER;
        let value_at = key_at + usize::from(u16_at(self.body, self.at + 1)?);
        let end = value_at.checked_add(u32_at(self.body, self.at + 3)? as usize)?;
        let expires = u64_at(self.body, self.at + 7)?;
        let (key, value) = (
            self.body.get(key_at..value_at)?,
            self.body.get(value_at..end)?,
        );
        self.at = end;
        match kind {
            PUT => Some(Read {
                key,
                put: Some((value, value_at, expires)),
            }),
            DELETE if value.is_empty() => Some(Read { key, put: None }),
            _ => None,
        }
    }
}

impl<'a> Iterator for Ops<'a> {
    /// An error is the place in the body that makes no sense.
    type Item = Result<Read<'a>, usize>;

    fn next(&mut self) -> Option<Self::Item> {
        if self.at >= self.body.len() {
            return None;
        }
        let from = self.at;
        let read = self.read().ok_or(from);
        if read.is_err() {
            self.at = self.body.len();
        }
        Some(read)
    }
}

/// A segment as the manifest lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Listed {
    pub id: u32,
    pub kind: Kind,
    /// The sequence number of its first frame. A compacted segment counts its frames from the number of the first
    /// batch that is not in it.
    pub first: u64,
    /// Its length in bytes and the sequence number after its last frame, once nothing more is added to it.
    pub sealed: Option<(u64, u64)>,
}

/// Which segments make up the store, in the order in which they apply.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Manifest {
    /// Counts the switches.
    pub generation: u64,
    pub segments: Vec<Listed>,
}

const LISTED: usize = 32;
const OPEN: u64 = u64::MAX;
/// The most bytes of a manifest: a million segments.
pub(crate) const MAX_MANIFEST: u64 = 24 + (LISTED as u64) * 1_000_000 + 4;

impl Manifest {
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(28 + LISTED * self.segments.len());
        bytes.extend_from_slice(&MANIFEST_MAGIC);
        bytes.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
        bytes.extend_from_slice(&(self.segments.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&self.generation.to_le_bytes());
        for segment in &self.segments {
            let (length, end) = segment.sealed.unwrap_or((OPEN, OPEN));
            bytes.extend_from_slice(&segment.id.to_le_bytes());
            bytes.extend_from_slice(&segment.kind.code().to_le_bytes());
            bytes.extend_from_slice(&segment.first.to_le_bytes());
            bytes.extend_from_slice(&length.to_le_bytes());
            bytes.extend_from_slice(&end.to_le_bytes());
        }
        bytes.extend_from_slice(&crc32c::crc32c(&bytes).to_le_bytes());
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Result<Self, Refusal> {
        let short = Refusal::Damaged(0, "the manifest is cut off");
        if bytes.get(..8).ok_or(short.clone())? != MANIFEST_MAGIC {
            return Err(Refusal::Damaged(0, "not a manifest of a store"));
        }
        let version = u32_at(bytes, 8).ok_or(short.clone())?;
        if version > FORMAT_VERSION {
            return Err(Refusal::Newer(version));
        }
        let (covered, crc) = bytes.split_last_chunk::<4>().ok_or(short.clone())?;
        if u32::from_le_bytes(*crc) != crc32c::crc32c(covered) {
            return Err(Refusal::Damaged(
                0,
                "the manifest does not match its checksum",
            ));
        }
        let count = u32_at(covered, 12).ok_or(short.clone())? as usize;
        let generation = u64_at(covered, 16).ok_or(short.clone())?;
        let listed = covered.get(24..).ok_or(short)?;
        if Some(listed.len()) != count.checked_mul(LISTED) {
            return Err(Refusal::Damaged(
                12,
                "the manifest lists another number of segments than it says",
            ));
        }
        let mut segments = Vec::with_capacity(count);
        for (i, entry) in listed.chunks_exact(LISTED).enumerate() {
            let at = (24 + i * LISTED) as u64;
            let segment =
                decode_listed(entry).ok_or(Refusal::Damaged(at, "an entry makes no sense"))?;
            if segment.sealed.is_none() && i + 1 != count {
                return Err(Refusal::Damaged(
                    at,
                    "a segment that is not the last is still open",
                ));
            }
            segments.push(segment);
        }
        Ok(Manifest {
            generation,
            segments,
        })
    }
}

fn decode_listed(bytes: &[u8]) -> Option<Listed> {
    let kind = u32_at(bytes, 4).and_then(Kind::of)?;
    let (id, first) = (u32_at(bytes, 0)?, u64_at(bytes, 8)?);
    let (length, end) = (u64_at(bytes, 16)?, u64_at(bytes, 24)?);
    let sealed = match (length, end) {
        (OPEN, OPEN) => None,
        _ if length >= SEGMENT_HEADER as u64 && end >= first => Some((length, end)),
        _ => return None,
    };
    Some(Listed {
        id,
        kind,
        first,
        sealed,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_frame_is_taken_in_its_own_segment_alone_and_with_every_bit_as_written() {
        let mut bytes = Vec::new();
        let header = FrameHeader::of(b"body", 7, 5);
        header.encode(3, &mut bytes);
        assert_eq!(FrameHeader::decode(3, &bytes), Some(header));
        assert_eq!(FrameHeader::decode(4, &bytes), None);
        for bit in 0..8 * FRAME_HEADER {
            bytes[bit / 8] ^= 1 << (bit % 8);
            assert_eq!(FrameHeader::decode(3, &bytes), None, "bit {bit}");
            bytes[bit / 8] ^= 1 << (bit % 8);
        }
    }
}
