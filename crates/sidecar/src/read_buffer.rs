//! Reads from servers by way of one buffer for all connections of the thread. Only what has arrived is copied, so that a connection
//! holds no memory for bytes that may come, and a short piece no more than its own length.

use super::MAX_BUFFERED_BODY_BYTES;
use super::readiness;
use bytes::BytesMut;
use std::cell::RefCell;
use std::io;
use std::task::{Context, Poll, ready};
use tokio::net::TcpStream;

thread_local! {
    static READ_BUFFER: RefCell<Box<[u8]>> = RefCell::new(vec![0; MAX_BUFFERED_BODY_BYTES].into());
}

/// Reads what is available, at most `max_bytes` and [`MAX_BUFFERED_BODY_BYTES`], and appends it. Ready with the number of bytes, 0
/// at the end of the connection.
pub(super) fn poll_read_append(
    stream: &TcpStream,
    context: &mut Context<'_>,
    target: &mut BytesMut,
    max_bytes: usize,
) -> Poll<io::Result<usize>> {
    READ_BUFFER.with_borrow_mut(|buffer| {
        let max_bytes = max_bytes.min(buffer.len());
        let read = readiness::poll_read(stream, context, |stream| {
            stream.try_read(&mut buffer[..max_bytes])
        });
        let count = ready!(read)?;
        append_exactly(target, &buffer[..count]);
        Poll::Ready(Ok(count))
    })
}

/// Appends bytes. An empty buffer is replaced, since its next allocation would be as large as its first.
fn append_exactly(buffer: &mut BytesMut, bytes: &[u8]) {
    if buffer.is_empty() {
        *buffer = BytesMut::from(bytes);
    } else {
        buffer.extend_from_slice(bytes);
    }
}
