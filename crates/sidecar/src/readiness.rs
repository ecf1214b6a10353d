//! Waits for socket readiness, for all code of this crate that reads or writes sockets itself.
//!
//! Tokio caches that a socket is ready until an operation made through it returns `WouldBlock`. Code that awaits the cached
//! readiness and then calls the kernel directly is woken again at once, without end: its task never yields, and with one
//! thread for all tasks nothing else runs. So all waits go through this module, which keeps two rules:
//!
//! - socket operations go through tokio, so that stale readiness is cleared;
//! - each loop iteration consumes one unit of the task's cooperative budget.
//!
//! **Bound.** A task makes at most 128 socket operations, tokio's budget for one poll of a task, before it yields to all
//! other runnable tasks. One operation moves no more than its caller offers: 64 KiB for a read, and at most one buffered
//! request body, 1 MiB, for a write. The kernel's socket buffers bound the sum as well: with a peer that stands still, the
//! first operation that would block ends the poll.

use rustix::io::Errno;
use rustix::net::RecvFlags;
use std::future::poll_fn;
use std::io::{self, ErrorKind};
use std::task::{Context, Poll, ready};
use tokio::io::{Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::consume_budget;

/// Peeks at the socket in the kernel, past tokio's cached readiness: 1 if there are unread bytes, 0 at the end of the stream.
/// Consumes nothing and does not block. Must not be called in a loop that awaits readiness, as it clears no cached state.
///
/// # Errors
/// `AGAIN` or `INTR` if there is nothing to read yet, else the error of the connection.
pub(super) fn peek_nonblocking(stream: &TcpStream) -> Result<usize, Errno> {
    peek_nonblocking_into(stream, &mut [0])
}

/// As [`peek_nonblocking`], with as many of the unread bytes as `buffer` holds. Returns their number.
///
/// # Errors
/// As [`peek_nonblocking`].
pub(super) fn peek_nonblocking_into(stream: &TcpStream, buffer: &mut [u8]) -> Result<usize, Errno> {
    rustix::net::recv(stream, buffer, RecvFlags::PEEK | RecvFlags::DONTWAIT).map(|(count, _)| count)
}

/// Whether the connection is open and has no unread bytes, as the kernel sees it now. After the process was suspended, the
/// kernel holds bytes of which tokio does not know yet. Consumes nothing; for single checks, as [`peek_nonblocking`].
pub(super) fn is_open_and_silent(stream: &TcpStream) -> bool {
    matches!(peek_nonblocking(stream), Err(Errno::AGAIN | Errno::INTR))
}

/// The event that ends a blocked writer's wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SocketEvent {
    /// The send buffer may have space.
    Writable,
    /// The peer has sent bytes, which are still unread, or has closed the connection.
    PeerReadable,
}

/// Waits until the socket may be writable, or the peer has sent bytes or closed the connection.
///
/// # Errors
/// The runtime is shutting down.
pub(super) async fn writable_or_peer_readable(stream: &TcpStream) -> io::Result<SocketEvent> {
    loop {
        // `ready` consumes no budget.
        consume_budget().await;
        let ready = stream
            .ready(Interest::READABLE | Interest::WRITABLE)
            .await?;
        if ready.is_readable() && is_really_readable(stream) {
            return Ok(SocketEvent::PeerReadable);
        }
        if ready.is_writable() {
            return Ok(SocketEvent::Writable);
        }
    }
}

/// Whether a socket whose cached readiness is readable really is; clears the cached state if not.
fn is_really_readable(stream: &TcpStream) -> bool {
    let peeked = stream.try_io(Interest::READABLE, || {
        peek_nonblocking(stream).map_err(io::Error::from)
    });
    !matches!(peeked, Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted))
}

/// Ready with the number of bytes that can be read, at most 1, or 0 at the end of the stream. Consumes nothing.
pub(super) fn poll_peek(stream: &TcpStream, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
    stream.poll_peek(context, &mut ReadBuf::new(&mut [0]))
}

/// Waits until the peer has sent bytes or closed the connection. Consumes nothing.
pub(super) async fn peer_readable(stream: &TcpStream) {
    // An error ends the connection as well.
    let _ = poll_fn(|context| poll_peek(stream, context)).await;
}

/// Ready with the result of `read` once it does not block. `read` must use one of the stream's `try_` methods.
pub(super) fn poll_read<R>(
    stream: &TcpStream,
    context: &mut Context<'_>,
    mut read: impl FnMut(&TcpStream) -> io::Result<R>,
) -> Poll<io::Result<R>> {
    loop {
        // Consumes one unit of the budget.
        ready!(stream.poll_read_ready(context))?;
        match read(stream) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            result => return Poll::Ready(result),
        }
    }
}

/// Ready with the result of `write` once it does not block. `write` must use one of the stream's `try_` methods.
pub(super) fn poll_write<R>(
    stream: &TcpStream,
    context: &mut Context<'_>,
    mut write: impl FnMut(&TcpStream) -> io::Result<R>,
) -> Poll<io::Result<R>> {
    loop {
        // Consumes one unit of the budget.
        ready!(stream.poll_write_ready(context))?;
        match write(stream) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            result => return Poll::Ready(result),
        }
    }
}
