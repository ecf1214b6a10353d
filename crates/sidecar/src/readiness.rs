//! Waiting for sockets, for everything here that reads or writes one itself.
//!
//! The runtime remembers that a socket was ready until an operation that it knows of finds that it would block. Whoever
//! awaits the remembered state and then asks the system in a way that the runtime does not see is told "ready" again and
//! again, at once: its task never gives way, and since there is one thread for all tasks, nobody else is served. So all
//! waits go through this module, which keeps to two rules:
//!
//! - the system is asked through the runtime, so that readiness that is out of date is forgotten;
//! - each turn of a loop takes one unit of the task's cooperative budget.
//!
//! **Bound.** A task makes at most 128 operations on sockets, the runtime's budget for one turn of a task, before it gives
//! way to all others that can run. One operation moves no more than its caller offers: 64 KiB where something is read,
//! and at most one kept body of a request, 1 MiB, where something is written. What the system's buffers hold bounds the
//! sum of these as well: a peer that stands still ends the turn with the first operation that would block.

use rustix::io::Errno;
use rustix::net::RecvFlags;
use std::future::poll_fn;
use std::io::{self, ErrorKind};
use std::task::{Context, Poll, ready};
use tokio::io::{Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::consume_budget;

/// How long the first unread bytes are, up to one, and 0 at the end of the connection: asked of the system, and not of
/// what the runtime remembers. Reads nothing and does not wait. Not to be called in a loop that awaits readiness: what
/// the runtime remembers stays as it is.
pub(super) fn peek_nonblocking(stream: &TcpStream) -> Result<usize, Errno> {
    rustix::net::recv(
        stream,
        &mut [0_u8; 1],
        RecvFlags::PEEK | RecvFlags::DONTWAIT,
    )
    .map(|(count, _)| count)
}

/// Whether nothing has come and the connection stands, by the system's word of this moment: what came while the process
/// stood still is there before the runtime has heard of it. Reads nothing; for single looks, as [`peek_nonblocking`].
pub(super) fn is_open_and_silent(stream: &TcpStream) -> bool {
    matches!(peek_nonblocking(stream), Err(Errno::AGAIN | Errno::INTR))
}

/// What a writer that was blocked goes on by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SocketEvent {
    /// There may be room for more.
    Writable,
    /// The peer has sent something or closed. What it sent is still to be read.
    PeerReadable,
}

/// Waits until there may be room to write, or the peer has sent something or closed.
///
/// # Errors
/// The runtime ends.
pub(super) async fn writable_or_peer_readable(stream: &TcpStream) -> io::Result<SocketEvent> {
    loop {
        // `ready` takes nothing of the budget.
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

/// Whether a socket that is remembered as readable really is. Where it is not, that is forgotten.
fn is_really_readable(stream: &TcpStream) -> bool {
    let looked = stream.try_io(Interest::READABLE, || {
        peek_nonblocking(stream).map_err(io::Error::from)
    });
    !matches!(looked, Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted))
}

/// Ready with the length of what can be read, up to one byte, or 0 at the end. Nothing is read.
pub(super) fn poll_peek(stream: &TcpStream, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
    stream.poll_peek(context, &mut ReadBuf::new(&mut [0]))
}

/// Waits until the peer has sent something or closed. Nothing is read.
pub(super) async fn peer_readable(stream: &TcpStream) {
    // An error is the end of the connection too.
    let _ = poll_fn(|context| poll_peek(stream, context)).await;
}

/// Ready with what `read` gives once it does not block. `read` must go through one of the stream's `try_` methods.
pub(super) fn poll_read<R>(
    stream: &TcpStream,
    context: &mut Context<'_>,
    mut read: impl FnMut(&TcpStream) -> io::Result<R>,
) -> Poll<io::Result<R>> {
    loop {
        // Takes a unit of the budget.
        ready!(stream.poll_read_ready(context))?;
        match read(stream) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            done => return Poll::Ready(done),
        }
    }
}

/// Ready with what `write` gives once it does not block. `write` must go through one of the stream's `try_` methods.
pub(super) fn poll_write<R>(
    stream: &TcpStream,
    context: &mut Context<'_>,
    mut write: impl FnMut(&TcpStream) -> io::Result<R>,
) -> Poll<io::Result<R>> {
    loop {
        // Takes a unit of the budget.
        ready!(stream.poll_write_ready(context))?;
        match write(stream) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            done => return Poll::Ready(done),
        }
    }
}
