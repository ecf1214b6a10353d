//! How a client opens the byte stream below TLS.

use std::io;
use std::pin::Pin;
use tokio::io::{AsyncRead, AsyncWrite};

/// A stream of bytes in both directions.
pub trait ByteStream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<S: AsyncRead + AsyncWrite + Send + Unpin> ByteStream for S {}

/// A stream that is being opened.
pub type DialFuture<'a> = Pin<Box<dyn Future<Output = io::Result<Box<dyn ByteStream>>> + 'a>>;

/// Opens streams to an agent. It is implemented by whoever counts the bytes of a link, delays it or cuts it.
pub trait Dialer {
    /// Opens a stream to an address, `HOST:PORT`. The caller bounds the time.
    fn dial<'a>(&'a self, address: &'a str) -> DialFuture<'a>;
}
