//! Where a response body ends, and the transfer coding that it comes in.

use super::exchange::{ExchangeError, MAX_HEAD_BYTES};
use bytes::{Buf, Bytes, BytesMut};

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    Length(usize),
    Chunked,
    UntilClose,
}

/// Decodes the transfer coding of a body incrementally. The value is what the decoder expects next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyDecoder {
    /// This many bytes of the body.
    Length(u64),
    /// This many bytes of the current chunk, then [`BodyDecoder::ChunkEnd`].
    Chunk(u64),
    /// The line break after a chunk's data.
    ChunkEnd,
    /// The line with the next chunk's size.
    ChunkSizeLine,
    /// Trailers after the last chunk.
    Trailers,
    /// All bytes up to the end of the connection.
    UntilClose,
    /// Nothing; the body has ended.
    Complete,
}

impl BodyDecoder {
    /// A decoder for a body that has not begun.
    pub(super) fn new(framing: Framing) -> Self {
        match framing {
            Framing::Length(0) => BodyDecoder::Complete,
            Framing::Length(length) => BodyDecoder::Length(length as u64),
            Framing::Chunked => BodyDecoder::ChunkSizeLine,
            Framing::UntilClose => BodyDecoder::UntilClose,
        }
    }

    pub(super) fn is_complete(self) -> bool {
        self == BodyDecoder::Complete
    }

    pub(super) fn ends_with_connection(self) -> bool {
        self == BodyDecoder::UntilClose
    }

    /// The number of body bytes still to come, if it is known.
    pub(super) fn remaining(self) -> Option<u64> {
        match self {
            BodyDecoder::Length(left) => Some(left),
            BodyDecoder::Complete => Some(0),
            _ => None,
        }
    }

    /// Decodes the next piece of what was read. None if more has to be read or the body has ended.
    pub(super) fn decode(&mut self, unread: &mut BytesMut) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            if unread.is_empty() {
                return Ok(None);
            }
            match *self {
                BodyDecoder::Complete => return Ok(None),
                BodyDecoder::UntilClose => return Ok(Some(unread.split().freeze())),
                BodyDecoder::Length(left) | BodyDecoder::Chunk(left) => {
                    let size = unread
                        .len()
                        .min(usize::try_from(left).unwrap_or(usize::MAX));
                    let left = left - size as u64;
                    *self = match *self {
                        BodyDecoder::Chunk(_) if left == 0 => BodyDecoder::ChunkEnd,
                        BodyDecoder::Chunk(_) => BodyDecoder::Chunk(left),
                        _ if left == 0 => BodyDecoder::Complete,
                        _ => BodyDecoder::Length(left),
                    };
                    return Ok(Some(unread.split_to(size).freeze()));
                }
                BodyDecoder::ChunkEnd => {
                    if unread.len() < 2 {
                        return Ok(None);
                    }
                    if &unread[..2] != b"\r\n" {
                        return Err(ExchangeError::Malformed);
                    }
                    unread.advance(2);
                    *self = BodyDecoder::ChunkSizeLine;
                }
                BodyDecoder::ChunkSizeLine => match httparse::parse_chunk_size(unread) {
                    Ok(httparse::Status::Complete((line, size))) => {
                        unread.advance(line);
                        *self = if size == 0 {
                            BodyDecoder::Trailers
                        } else {
                            BodyDecoder::Chunk(size)
                        };
                    }
                    Ok(httparse::Status::Partial) if unread.len() < MAX_HEAD_BYTES => {
                        return Ok(None);
                    }
                    _ => return Err(ExchangeError::Malformed),
                },
                // Trailers apply to this message only and are not forwarded.
                BodyDecoder::Trailers => match unread.iter().position(|byte| *byte == b'\n') {
                    Some(end) => {
                        let line = unread.split_to(end + 1);
                        if line.trim_ascii().is_empty() {
                            *self = BodyDecoder::Complete;
                        }
                    }
                    None if unread.len() < MAX_HEAD_BYTES => return Ok(None),
                    None => return Err(ExchangeError::Malformed),
                },
            }
        }
    }
}
