//! Looks at a request that still lies in the system's buffers, without reading it.

use super::readiness::peek_nonblocking_into;
use rustix::io::ioctl_fionread;
use tokio::net::TcpStream;

/// Maximum number of headers of a request that is looked at.
const MAX_HEADERS: usize = 100;

/// Whether a complete request has arrived on this connection: its head, and as many bytes of body as that says. False for a body
/// in chunks and for a head longer than `buffer`. Consumes nothing and does not block.
pub(super) fn has_complete_request(stream: &TcpStream, buffer: &mut [u8]) -> bool {
    let Ok(count) = peek_nonblocking_into(stream, buffer) else {
        return false;
    };
    let arrived = ioctl_fionread(stream).unwrap_or(0);
    message_length(&buffer[..count]).is_some_and(|length| length <= arrived)
}

/// The length of the message at the start of `bytes`, if its head is there and tells it.
fn message_length(bytes: &[u8]) -> Option<u64> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let Ok(httparse::Status::Complete(head)) = request.parse(bytes) else {
        return None;
    };
    let mut body = 0;
    for header in request.headers.iter() {
        if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return None;
        }
        if header.name.eq_ignore_ascii_case("content-length") {
            body = std::str::from_utf8(header.value)
                .ok()?
                .trim()
                .parse()
                .ok()?;
        }
    }
    u64::checked_add(head as u64, body)
}

#[cfg(test)]
mod tests {
    use super::message_length;

    #[test]
    fn a_message_is_as_long_as_its_head_and_the_body_that_it_tells() {
        let length = |text: &str| message_length(text.as_bytes());
        assert_eq!(length("GET / HTTP/1.1\r\nA: b\r\n\r\n"), Some(24));
        let with_body = "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\npaper";
        assert_eq!(length(with_body), Some(with_body.len() as u64));
        assert_eq!(length("POST / HTTP/1.1\r\nContent-Length: 5\r\n"), None);
        let chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
        assert_eq!(length(chunked), None);
        assert_eq!(length("POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n"), None);
    }
}
