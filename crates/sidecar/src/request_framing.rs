//! Follows what a client writes, from message to message, beside hyper. Where a head has both a length and chunks, hyper
//! drops the length without a word; another reader further on may go by it, and read a part of the body as a request of
//! its own. What two readers may read differently is to be refused, so the heads are looked at here as they came.

use super::exchange::BodyDecoder;
use bytes::BytesMut;

/// Headers of a request, at most: hyper takes as many.
const HEADERS: usize = 100;
/// The longest head.
const HEAD: usize = 16 << 10;

enum At {
    /// A head, or nothing.
    Head,
    /// A body of which so much is to come.
    Length(u64),
    /// A body in chunks.
    Chunks(BodyDecoder),
    /// What comes is not understood here, and so it is not to be served.
    Lost,
}

/// Where a client's connection stands.
pub(super) struct RequestFraming {
    at: At,
    /// What has come of a head or of a line between chunks.
    unread: BytesMut,
}

impl Default for RequestFraming {
    fn default() -> Self {
        RequestFraming {
            at: At::Head,
            unread: BytesMut::new(),
        }
    }
}

impl RequestFraming {
    /// Takes in what was read. False once it is not certain how all of it is to be read.
    pub(super) fn follow(&mut self, mut bytes: &[u8]) -> bool {
        loop {
            match &mut self.at {
                At::Lost => return false,
                At::Length(left) => {
                    let part = bytes
                        .len()
                        .min(usize::try_from(*left).unwrap_or(usize::MAX));
                    *left -= part as u64;
                    bytes = &bytes[part..];
                    if *left > 0 {
                        return true;
                    }
                    self.at = At::Head;
                }
                At::Chunks(unwrapper) => {
                    self.unread.extend_from_slice(bytes);
                    bytes = &[];
                    loop {
                        match unwrapper.decode(&mut self.unread) {
                            Ok(Some(_)) => {}
                            Ok(None) => break,
                            Err(_) => {
                                self.at = At::Lost;
                                return false;
                            }
                        }
                    }
                    if !unwrapper.is_complete() {
                        return true;
                    }
                    self.at = At::Head;
                }
                At::Head => {
                    // Most heads come at once, and are looked at where they lie.
                    let joined = !self.unread.is_empty();
                    if joined {
                        self.unread.extend_from_slice(bytes);
                    }
                    let there = if joined { &self.unread[..] } else { bytes };
                    if there.is_empty() {
                        return true;
                    }
                    match next(there) {
                        Ok(None) => {
                            if !joined {
                                self.unread.extend_from_slice(bytes);
                            }
                            return true;
                        }
                        Ok(Some((length, at))) => {
                            self.at = at;
                            if !joined {
                                bytes = &bytes[length..];
                                continue;
                            }
                            let rest = self.unread.split_off(length);
                            self.unread.clear();
                            return self.follow(&rest);
                        }
                        Err(()) => {
                            self.at = At::Lost;
                            return false;
                        }
                    }
                }
            }
        }
    }
}

/// The length of the head that this begins with, and what follows it.
fn next(bytes: &[u8]) -> Result<Option<(usize, At)>, ()> {
    let mut headers = [const { std::mem::MaybeUninit::uninit() }; HEADERS];
    let mut request = httparse::Request::new(&mut []);
    let length = match request.parse_with_uninit_headers(bytes, &mut headers) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() <= HEAD => return Ok(None),
        _ => return Err(()),
    };
    let values = |wanted: &str| {
        let of = request
            .headers
            .iter()
            .filter(|header| header.name.eq_ignore_ascii_case(wanted));
        of.map(|header| header.value.trim_ascii())
            .collect::<smallvec::SmallVec<[&[u8]; 2]>>()
    };
    let (lengths, codings) = (values("content-length"), values("transfer-encoding"));
    match (&lengths[..], &codings[..]) {
        ([], []) => Ok(Some((length, At::Head))),
        ([], [coding]) if coding.eq_ignore_ascii_case(b"chunked") && request.version == Some(1) => {
            Ok(Some((length, At::Chunks(BodyDecoder::ChunkSizeLine))))
        }
        ([one], []) if !one.is_empty() && one.iter().all(u8::is_ascii_digit) => {
            let left = std::str::from_utf8(one)
                .ok()
                .and_then(|digits| digits.parse().ok())
                .ok_or(())?;
            Ok(Some((length, At::Length(left))))
        }
        _ => Err(()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const PLAIN: &str = "POST /a HTTP/1.1\r\nHost: s\r\nContent-Length: 5\r\n\r\npaper";
    const CHUNKS: &str = "POST /a HTTP/1.1\r\ntransfer-encoding: Chunked\r\n\r\n5;a=b\r\npaper\r\n0\r\nContent-Length: 9\r\n\r\n";
    const NONE: &str = "\r\nGET /ready HTTP/1.1\r\nHost: s\r\n\r\n";

    fn both(first: &str, second: &str) -> String {
        format!("POST /a HTTP/1.1\r\n{first}\r\nX-A: 1\r\n{second}\r\n\r\n0\r\n\r\n")
    }

    #[test]
    fn messages_are_followed_in_pieces_of_any_size() {
        let all = [PLAIN, CHUNKS, NONE, CHUNKS, PLAIN].concat();
        let hidden = all.clone() + &both("Transfer-Encoding: chunked", "Content-Length: 5");
        for size in 1..hidden.len() {
            let (mut sound, mut odd) = (RequestFraming::default(), RequestFraming::default());
            assert!(
                all.as_bytes().chunks(size).all(|piece| sound.follow(piece)),
                "in {size}s"
            );
            assert!(
                !hidden
                    .as_bytes()
                    .chunks(size)
                    .all(|piece| odd.follow(piece)),
                "in {size}s"
            );
        }
    }

    #[test]
    fn what_may_be_read_in_two_ways_is_not_followed() {
        for (first, second) in [
            ("Transfer-Encoding: chunked", "Content-Length: 5"),
            ("Content-Length: 5", "Transfer-Encoding: chunked"),
            ("content-length: 5", "content-length: 5"),
            ("Content-Length: 5", "Content-Length: 6"),
            ("Transfer-Encoding: chunked", "Transfer-Encoding: chunked"),
            ("Transfer-Encoding: gzip, chunked", "X-B: 1"),
            ("Content-Length: +5", "X-B: 1"),
        ] {
            let mut heads = RequestFraming::default();
            assert!(
                !heads.follow(both(first, second).as_bytes()),
                "{first}, {second}"
            );
            assert!(!heads.follow(PLAIN.as_bytes()), "it was forgotten");
        }
        let mut heads = RequestFraming::default();
        assert!(!heads.follow(&[b'x'; 40_000]));
    }
}
