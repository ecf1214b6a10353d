//! Counts of what passes over the connections of an agent, a relay or a client.

use serde::{Deserialize, Serialize};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// What has passed since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Traffic {
    /// Connections that are open now, including those of operators.
    pub connections: u64,
    /// Connections that were ever opened, including those of operators.
    pub opened: u64,
    /// Bytes read, TLS included.
    pub bytes_in: u64,
    /// Bytes written, TLS included.
    pub bytes_out: u64,
    /// Messages received: at a server registrations and reports, at a client those in answers and over watches.
    pub messages_in: u64,
    /// Messages sent: at a server those in answers and over watches, at a client registrations and reports.
    pub messages_out: u64,
}

/// The counters behind [`Traffic`]. Any thread may add to them.
#[derive(Debug, Default)]
pub struct TrafficCounters {
    open: AtomicU64,
    opened: AtomicU64,
    bytes_in: AtomicU64,
    bytes_out: AtomicU64,
    messages_in: AtomicU64,
    messages_out: AtomicU64,
}

impl TrafficCounters {
    /// The present counts. They are read one after the other, so that they may be of slightly different times.
    pub fn read(&self) -> Traffic {
        let value = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Traffic {
            connections: value(&self.open),
            opened: value(&self.opened),
            bytes_in: value(&self.bytes_in),
            bytes_out: value(&self.bytes_out),
            messages_in: value(&self.messages_in),
            messages_out: value(&self.messages_out),
        }
    }

    /// Adds to the messages received.
    pub fn add_messages_in(&self, count: usize) {
        self.messages_in.fetch_add(count as u64, Ordering::Relaxed);
    }

    /// Adds to the messages sent.
    pub fn add_messages_out(&self, count: usize) {
        self.messages_out.fetch_add(count as u64, Ordering::Relaxed);
    }
}

/// A stream whose bytes are counted. It counts as an open connection until it is dropped.
#[derive(Debug)]
pub struct CountedStream<S> {
    stream: S,
    counters: Arc<TrafficCounters>,
}

impl<S> CountedStream<S> {
    /// Counts a stream from now on.
    pub fn new(stream: S, counters: Arc<TrafficCounters>) -> Self {
        counters.open.fetch_add(1, Ordering::Relaxed);
        counters.opened.fetch_add(1, Ordering::Relaxed);
        CountedStream { stream, counters }
    }

    fn add_bytes_in(&self, count: usize) {
        let counter = &self.counters.bytes_in;
        counter.fetch_add(count as u64, Ordering::Relaxed);
    }

    fn add_bytes_out(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(count)) = written {
            let counter = &self.counters.bytes_out;
            counter.fetch_add(*count as u64, Ordering::Relaxed);
        }
    }
}

impl<S> Drop for CountedStream<S> {
    fn drop(&mut self) {
        self.counters.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.add_bytes_in(buffer.filled().len() - filled_before);
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.add_bytes_out(&polled);
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.add_bytes_out(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
