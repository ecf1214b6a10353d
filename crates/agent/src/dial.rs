//! How a client opens the byte stream that its TLS runs over.

use std::io;
use std::pin::Pin;
use tokio::io::{AsyncRead, AsyncWrite};

/// A stream of bytes in both directions.
pub trait ByteStream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<S: AsyncRead + AsyncWrite + Send + Unpin> ByteStream for S {}

/// A stream that is being opened.
pub type DialFuture<'a> = Pin<Box<dyn Future<Output = io::Result<Box<dyn ByteStream>>> + 'a>>;

/// Opens streams to an agent. Whoever wants to count bytes, or to hold or cut a link, implements this.
pub trait Dialer {
    /// Opens a stream to an address, `HOST:PORT`.
    fn dial<'a>(&'a self, address: &'a str) -> DialFuture<'a>;
}
