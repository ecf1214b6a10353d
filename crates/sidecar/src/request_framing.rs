//! Follows the framing of a client's messages in parallel to hyper, to reject ambiguous ones (request smuggling). If a head has
//! both a `Content-Length` and a chunked transfer coding, hyper silently drops the length, while a later reader may go by it
//! and take a part of the body for a request of its own. So the heads are checked here as they were received.

use super::body_decoder::BodyDecoder;
use bytes::BytesMut;

/// The most headers of a request, as in hyper.
const MAX_HEADERS: usize = 100;
/// The longest head of a request.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// What the next bytes belong to.
enum Position {
    /// A head, or nothing yet.
    Head,
    /// A body with this many bytes left.
    Body(u64),
    /// A body in chunked coding.
    ChunkedBody(BodyDecoder),
    /// The framing is invalid or ambiguous; nothing more of this connection may be served.
    Ambiguous,
}

/// The framing of the messages on one client connection.
pub(super) struct RequestFraming {
    position: Position,
    /// The start of a head or of a line between chunks.
    partial: BytesMut,
}

impl Default for RequestFraming {
    fn default() -> Self {
        RequestFraming {
            position: Position::Head,
            partial: BytesMut::new(),
        }
    }
}

impl RequestFraming {
    /// Processes the bytes read from the connection. False once their framing is invalid or ambiguous.
    pub(super) fn follow(&mut self, mut bytes: &[u8]) -> bool {
        loop {
            match &mut self.position {
                Position::Ambiguous => return false,
                Position::Body(remaining) => {
                    let part = bytes
                        .len()
                        .min(usize::try_from(*remaining).unwrap_or(usize::MAX));
                    *remaining -= part as u64;
                    bytes = &bytes[part..];
                    if *remaining > 0 {
                        return true;
                    }
                    self.position = Position::Head;
                }
                Position::ChunkedBody(decoder) => {
                    self.partial.extend_from_slice(bytes);
                    bytes = &[];
                    loop {
                        match decoder.decode(&mut self.partial) {
                            Ok(Some(_)) => {}
                            Ok(None) => break,
                            Err(_) => {
                                self.position = Position::Ambiguous;
                                return false;
                            }
                        }
                    }
                    if !decoder.is_complete() {
                        return true;
                    }
                    self.position = Position::Head;
                }
                Position::Head => {
                    // Most heads arrive in one piece and are parsed in place.
                    let has_partial = !self.partial.is_empty();
                    if has_partial {
                        self.partial.extend_from_slice(bytes);
                    }
                    let available = if has_partial {
                        &self.partial[..]
                    } else {
                        bytes
                    };
                    if available.is_empty() {
                        return true;
                    }
                    match parse_head(available) {
                        Ok(None) => {
                            if !has_partial {
                                self.partial.extend_from_slice(bytes);
                            }
                            return true;
                        }
                        Ok(Some((length, position))) => {
                            self.position = position;
                            if !has_partial {
                                bytes = &bytes[length..];
                                continue;
                            }
                            let rest = self.partial.split_off(length);
                            self.partial.clear();
                            return self.follow(&rest);
                        }
                        Err(()) => {
                            self.position = Position::Ambiguous;
                            return false;
                        }
                    }
                }
            }
        }
    }
}

/// The length of the head at the start of `bytes` and what follows it; `None` if the head is incomplete.
///
/// # Errors
/// The head is malformed or too long, or the framing of its body is invalid or ambiguous.
fn parse_head(bytes: &[u8]) -> Result<Option<(usize, Position)>, ()> {
    let mut headers = [const { std::mem::MaybeUninit::uninit() }; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut []);
    let length = match request.parse_with_uninit_headers(bytes, &mut headers) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() <= MAX_HEAD_BYTES => return Ok(None),
        _ => return Err(()),
    };
    let values = |wanted: &str| {
        let matching = request
            .headers
            .iter()
            .filter(|header| header.name.eq_ignore_ascii_case(wanted));
        matching
            .map(|header| header.value.trim_ascii())
            .collect::<smallvec::SmallVec<[&[u8]; 2]>>()
    };
    let (lengths, codings) = (values("content-length"), values("transfer-encoding"));
    match (&lengths[..], &codings[..]) {
        ([], []) => Ok(Some((length, Position::Head))),
        ([], [coding]) if coding.eq_ignore_ascii_case(b"chunked") && request.version == Some(1) => {
            Ok(Some((
                length,
                Position::ChunkedBody(BodyDecoder::ChunkSizeLine),
            )))
        }
        ([value], []) if !value.is_empty() && value.iter().all(u8::is_ascii_digit) => {
            let remaining = std::str::from_utf8(value)
                .ok()
                .and_then(|digits| digits.parse().ok())
                .ok_or(())?;
            Ok(Some((length, Position::Body(remaining))))
        }
        _ => Err(()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const WITH_LENGTH: &str = "POST /a HTTP/1.1\r\nHost: s\r\nContent-Length: 5\r\n\r\npaper";
    const CHUNKED: &str = "POST /a HTTP/1.1\r\ntransfer-encoding: Chunked\r\n\r\n5;a=b\r\npaper\r\n0\r\nContent-Length: 9\r\n\r\n";
    const WITHOUT_BODY: &str = "\r\nGET /ready HTTP/1.1\r\nHost: s\r\n\r\n";

    fn head_with(first: &str, second: &str) -> String {
        format!("POST /a HTTP/1.1\r\n{first}\r\nX-A: 1\r\n{second}\r\n\r\n0\r\n\r\n")
    }

    #[test]
    fn messages_are_followed_when_read_in_pieces_of_any_size() {
        let all = [WITH_LENGTH, CHUNKED, WITHOUT_BODY, CHUNKED, WITH_LENGTH].concat();
        let with_ambiguous =
            all.clone() + &head_with("Transfer-Encoding: chunked", "Content-Length: 5");
        for size in 1..with_ambiguous.len() {
            let (mut unambiguous, mut ambiguous) =
                (RequestFraming::default(), RequestFraming::default());
            assert!(
                all.as_bytes()
                    .chunks(size)
                    .all(|piece| unambiguous.follow(piece)),
                "in {size}s"
            );
            assert!(
                !with_ambiguous
                    .as_bytes()
                    .chunks(size)
                    .all(|piece| ambiguous.follow(piece)),
                "in {size}s"
            );
        }
    }

    #[test]
    fn ambiguous_framing_is_not_followed() {
        for (first, second) in [
            ("Transfer-Encoding: chunked", "Content-Length: 5"),
            ("Content-Length: 5", "Transfer-Encoding: chunked"),
            ("content-length: 5", "content-length: 5"),
            ("Content-Length: 5", "Content-Length: 6"),
            ("Transfer-Encoding: chunked", "Transfer-Encoding: chunked"),
            ("Transfer-Encoding: gzip, chunked", "X-B: 1"),
            ("Content-Length: +5", "X-B: 1"),
        ] {
            let mut framing = RequestFraming::default();
            assert!(
                !framing.follow(head_with(first, second).as_bytes()),
                "{first}, {second}"
            );
            assert!(
                !framing.follow(WITH_LENGTH.as_bytes()),
                "a later message is followed"
            );
        }
        let mut framing = RequestFraming::default();
        assert!(!framing.follow(&[b'x'; 40_000]));
    }
}
