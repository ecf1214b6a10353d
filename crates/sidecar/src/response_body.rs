//! Response bodies: buffered in full, or streamed from the server to the client.
//!
//! A streamed body is read from the server only when hyper can take more of it for the client, so that at most one buffer of
//! it is in memory. If the server ends it early, the client's connection is closed without the end of the response.

use super::body_decoder::BodyDecoder;
use super::client::Client;
use super::connections::PooledConnection;
use super::counts::{OutcomeCounts, increment};
use super::exchange::ExchangeError;
use super::memory::MemoryPurpose;
use super::pool::Incarnation;
use super::process_state::ProcessState;
use super::read_buffer::poll_read_append;
use super::service::Service;
use bytes::{Bytes, BytesMut};
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use madderloom_balancer::{Micros, ServerId};
use std::any::Any;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

/// Bytes that one read from a server may return.
const MAX_READ_BYTES: usize = 16 << 10;
/// As [`MAX_READ_BYTES`], while memory is scarce.
const MAX_READ_BYTES_UNDER_PRESSURE: usize = 4 << 10;

/// Bytes of a body that are read before its task yields to the others. The system's buffers may take megabytes at once.
pub(super) const MAX_BYTES_PER_TURN: usize = MAX_READ_BYTES;

/// Counts bytes in one turn of a task, in which the clock stands still. `hyper` polls a body several times in a turn.
#[derive(Default)]
pub(super) struct TurnBytes {
    turn: Micros,
    count: usize,
}

impl TurnBytes {
    /// The bytes of the turn of this time.
    fn at(&mut self, now: Micros) -> usize {
        if self.turn != now {
            (self.turn, self.count) = (now, 0);
        }
        self.count
    }
}

/// The body of a response to a client.
pub(super) enum ResponseBody {
    Buffered(Full<Bytes>),
    Streamed(Box<StreamedResponseBody>),
}

/// A body that is streamed from a server.
pub(super) struct StreamedResponseBody {
    pub(super) service: Rc<Service>,
    pub(super) server: ServerId,
    pub(super) incarnation: Incarnation,
    pub(super) connection: Option<PooledConnection>,
    /// The server keeps the connection open and has received the complete request.
    pub(super) reusable: bool,
    /// Read from the server, and not decoded yet.
    pub(super) undecoded: BytesMut,
    pub(super) decoder: BodyDecoder,
    /// Already decoded, and not yet sent to the client.
    pub(super) decoded: Bytes,
    /// Bytes read in the current turn of its task.
    pub(super) read_in_turn: TurnBytes,
    /// Released when the response ends.
    pub(super) resources: Option<ResponseResources>,
}

/// What a request holds until its streamed response has ended.
pub(super) struct ResponseResources {
    pub(super) counts: Rc<OutcomeCounts>,
    /// The client, whose connection counts as idle only afterwards.
    pub(super) client: Rc<Client>,
    pub(super) process: Rc<ProcessState>,
    /// Guards that are only dropped.
    pub(super) _guards: Box<dyn Any>,
}

impl ResponseBody {
    pub(super) fn is_streamed(&self) -> bool {
        matches!(self, ResponseBody::Streamed(_))
    }
}

impl StreamedResponseBody {
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, ExchangeError>>> {
        if !self.decoded.is_empty() {
            return Poll::Ready(Some(Ok(std::mem::take(&mut self.decoded))));
        }
        loop {
            match self.decoder.decode(&mut self.undecoded) {
                Err(error) => return Poll::Ready(Some(Err(error))),
                Ok(Some(data)) => return Poll::Ready(Some(Ok(data))),
                Ok(None) if self.decoder.is_complete() => return Poll::Ready(None),
                Ok(None) => {}
            }
            let Some(connection) = self.connection.as_mut() else {
                return Poll::Ready(Some(Err(ExchangeError::Connection)));
            };
            let now = self.service.process.clock.now();
            if self.read_in_turn.at(now) >= MAX_BYTES_PER_TURN {
                context.waker().wake_by_ref();
                return Poll::Pending;
            }
            let process = &self.service.process;
            let mut size = MAX_READ_BYTES;
            if !process.has_memory(MemoryPurpose::ReadAhead, MAX_READ_BYTES) {
                size = MAX_READ_BYTES_UNDER_PRESSURE;
                let client = self.resources.as_ref().map(|resources| &resources.client);
                if client.is_some_and(|client| client.write_pace.poll_blocked(context)) {
                    return Poll::Pending;
                }
                // The client's connection polls this again at its next check.
                if !process.has_memory(MemoryPurpose::Response, size) {
                    return Poll::Pending;
                }
            }
            let read = poll_read_append(&connection.stream, context, &mut self.undecoded, size);
            match ready!(read) {
                Ok(0) if self.decoder.ends_with_connection() => return Poll::Ready(None),
                Ok(0) | Err(_) => return Poll::Ready(Some(Err(ExchangeError::Connection))),
                Ok(count) => self.read_in_turn.count += count,
            }
        }
    }

    /// Ends the body; `complete` unless the server ended it early.
    fn end(&mut self, complete: bool) {
        let connection = self.connection.take();
        if complete {
            self.service.connections.record_response(self.server);
            let is_current = self.service.pool.incarnation(self.server) == Some(self.incarnation);
            if let Some(connection) =
                connection.filter(|_| self.reusable && is_current && self.undecoded.is_empty())
            {
                self.service.connections.release(connection);
            }
        }
        if let Some(resources) = &self.resources {
            increment(if complete {
                &resources.counts.served
            } else {
                &resources.counts.failed
            });
        }
        // Released with the last byte of the response, not when the client's connection closes.
        self.resources = None;
    }
}

impl Drop for ResponseResources {
    fn drop(&mut self) {
        self.client.response_ended(self.process.clock.now());
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            ResponseBody::Buffered(body) => match ready!(Pin::new(body).poll_frame(context)) {
                Some(Ok(frame)) => Poll::Ready(Some(Ok(frame))),
                _ => Poll::Ready(None),
            },
            ResponseBody::Streamed(body) => Poll::Ready(match ready!(body.poll(context)) {
                Some(Ok(data)) => {
                    // hyper does not poll again after the last piece of a body of known length.
                    if body.decoder.is_complete() && body.decoded.is_empty() {
                        body.end(true);
                    }
                    Some(Ok(Frame::data(data)))
                }
                Some(Err(error)) => {
                    let (remaining, server) = (body.decoder, body.service.pool.name(body.server));
                    tracing::warn!(%server, "streamed response of {server} ended early: {error:?}, remaining: {remaining:?}");
                    body.end(false);
                    Some(Err(io::Error::other("the server ended the response early")))
                }
                None => {
                    body.end(true);
                    None
                }
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Buffered(body) => body.is_end_stream(),
            ResponseBody::Streamed(body) => body.decoded.is_empty() && body.decoder.is_complete(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered(body) => body.size_hint(),
            ResponseBody::Streamed(body) => match body.decoder.remaining() {
                Some(remaining) => SizeHint::with_exact(remaining + body.decoded.len() as u64),
                None => SizeHint::default(),
            },
        }
    }
}
