//! An answer's body on its way to the client: whole, or passed on as the server gives it.
//!
//! What is passed on is read from the server when the client's side has room for it, so that one buffer's worth of it is
//! here at any time. Where the server breaks off, the client's connection ends without the end of the answer.

use super::client::Client;
use super::connections::PooledConnection;
use super::counts::{OutcomeCounts, increment};
use super::exchange::{BodyDecoder, ExchangeError};
use super::process_state::ProcessState;
use super::readiness;
use super::service::Service;
use bytes::{Bytes, BytesMut};
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use madderloom_balancer::ServerId;
use std::any::Any;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

/// What is read at once.
const READ_SIZE: usize = 32 << 10;

/// An answer's body.
pub(super) enum ResponseBody {
    Buffered(Full<Bytes>),
    Streamed(Box<StreamedResponseBody>),
}

/// A body that is passed on.
pub(super) struct StreamedResponseBody {
    pub(super) service: Rc<Service>,
    pub(super) server: ServerId,
    pub(super) address: SocketAddr,
    pub(super) lease: Option<PooledConnection>,
    /// The server keeps the connection, and has had the whole request.
    pub(super) reusable: bool,
    pub(super) undecoded: BytesMut,
    pub(super) unwrapper: BodyDecoder,
    /// Taken out of its wrapping already.
    pub(super) decoded: Bytes,
    /// The request's class, and what it holds until its answer has ended.
    pub(super) resources: Option<ResponseResources>,
}

/// What an answer holds until its end.
pub(super) struct ResponseResources {
    pub(super) counts: Rc<OutcomeCounts>,
    /// Its client, which is not idle before.
    pub(super) client: Rc<Client>,
    pub(super) process: Rc<ProcessState>,
    pub(super) _rest: Box<dyn Any>,
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
            match self.unwrapper.decode(&mut self.undecoded) {
                Err(broken) => return Poll::Ready(Some(Err(broken))),
                Ok(Some(data)) => return Poll::Ready(Some(Ok(data))),
                Ok(None) if self.unwrapper.is_complete() => return Poll::Ready(None),
                Ok(None) => {}
            }
            let Some(lease) = self.lease.as_mut() else {
                return Poll::Ready(Some(Err(ExchangeError::Connection)));
            };
            let undecoded = &mut self.undecoded;
            let read = readiness::poll_read(&lease.stream, context, |stream| {
                undecoded.reserve(READ_SIZE);
                stream.try_read_buf(undecoded)
            });
            match ready!(read) {
                Ok(0) if self.unwrapper.ends_with_connection() => return Poll::Ready(None),
                Ok(0) | Err(_) => return Poll::Ready(Some(Err(ExchangeError::Connection))),
                Ok(_) => {}
            }
        }
    }

    /// It has ended, well or not.
    fn end(&mut self, whole: bool) {
        let lease = self.lease.take();
        if whole {
            self.service.connections.record_response(self.server);
            let there = self.service.pool.address(self.server) == Some(self.address);
            if let Some(lease) =
                lease.filter(|_| self.reusable && there && self.undecoded.is_empty())
            {
                self.service.connections.release(lease);
            }
        }
        if let Some(resources) = &self.resources {
            increment(if whole {
                &resources.counts.served
            } else {
                &resources.counts.failed
            });
        }
        // What it holds goes with the answer's last byte, and not with the connection.
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
                    // Of a known length the last piece is the end: nobody asks for another.
                    if body.unwrapper.is_complete() && body.decoded.is_empty() {
                        body.end(true);
                    }
                    Some(Ok(Frame::data(data)))
                }
                Some(Err(broken)) => {
                    let (left, server) = (body.unwrapper, body.service.pool.name(body.server));
                    tracing::warn!(%server, "a long answer of {server} broke off: {broken:?}, {left:?} to come");
                    body.end(false);
                    Some(Err(io::Error::other("the server has broken off")))
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
            ResponseBody::Streamed(body) => body.decoded.is_empty() && body.unwrapper.is_complete(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered(body) => body.size_hint(),
            ResponseBody::Streamed(body) => match body.unwrapper.remaining() {
                Some(left) => SizeHint::with_exact(left + body.decoded.len() as u64),
                None => SizeHint::default(),
            },
        }
    }
}
