//! The wire under a stand-in's HTTP: it can break with a reset and spoil what is written.

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;

/// How an answer can be made unreadable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spoil {
    /// What is written is no HTTP.
    Garbled,
    /// It ends half way.
    CutShort,
}

/// What is to happen to a connection, told from outside of its task.
#[derive(Default)]
pub struct Fate {
    /// Its end is a reset, and not a close in good order.
    resets: Cell<bool>,
    spoil: Cell<Option<Spoil>>,
}

impl Fate {
    /// Its end, whenever that is, will be a reset.
    pub fn reset(&self) {
        self.resets.set(true);
    }

    /// What is written next is spoilt, and the connection ends with it.
    pub fn spoil(&self, how: Spoil) {
        self.spoil.set(Some(how));
    }
}

/// A connection of a stand-in.
pub struct Wire {
    stream: TokioIo<TcpStream>,
    fate: Rc<Fate>,
    over: bool,
}

impl Wire {
    /// Takes a connection over.
    pub fn new(stream: TcpStream, fate: Rc<Fate>) -> Self {
        // Only a delay is lost where this cannot be set.
        let _ = stream.set_nodelay(true);
        Wire {
            stream: TokioIo::new(stream),
            fate,
            over: false,
        }
    }
}

impl Drop for Wire {
    fn drop(&mut self) {
        if self.fate.resets.get() {
            // With no time to linger, the system sends a reset. Where that fails it is a close, as real ones may be.
            let _ =
                rustix::net::sockopt::set_socket_linger(self.stream.inner(), Some(Duration::ZERO));
        }
    }
}

impl Read for Wire {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        to: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, to)
    }
}

impl Write for Wire {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.over {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        let Some(how) = self.fate.spoil.get() else {
            return Pin::new(&mut self.stream).poll_write(context, bytes);
        };
        let spoilt = match how {
            Spoil::Garbled => bytes.iter().map(|byte| byte ^ 0x80).collect(),
            Spoil::CutShort => bytes[..bytes.len() / 2].to_vec(),
        };
        let written = Pin::new(&mut self.stream).poll_write(context, &spoilt);
        if written.is_ready() {
            self.over = true;
        }
        // The library is told that all went out: its answer is whole, what arrives is not.
        written.map_ok(|_| bytes.len())
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.over {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
