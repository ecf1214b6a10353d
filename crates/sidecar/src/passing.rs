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
const READ: usize = 32 << 10;

/// An answer's body.
pub(super) enum Reply {
    Whole(Full<Bytes>),
    Passing(Box<Passing>),
}

/// A body that is passed on.
pub(super) struct Passing {
    pub(super) service: Rc<Service>,
    pub(super) server: ServerId,
    pub(super) address: SocketAddr,
    pub(super) lease: Option<PooledConnection>,
    /// The server keeps the connection, and has had the whole request.
    pub(super) reusable: bool,
    pub(super) unread: BytesMut,
    pub(super) unwrapper: BodyDecoder,
    /// Taken out of its wrapping already.
    pub(super) first: Bytes,
    /// The request's class, and what it holds until its answer has ended.
    pub(super) held: Option<HeldByAnswer>,
}

/// What an answer holds until its end.
pub(super) struct HeldByAnswer {
    pub(super) counts: Rc<OutcomeCounts>,
    /// Its client, which is not idle before.
    pub(super) client: Rc<Client>,
    pub(super) process: Rc<ProcessState>,
    pub(super) _rest: Box<dyn Any>,
}

impl Reply {
    pub(super) fn is_passing(&self) -> bool {
        matches!(self, Reply::Passing(_))
    }
}

impl Passing {
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, ExchangeError>>> {
        if !self.first.is_empty() {
            return Poll::Ready(Some(Ok(std::mem::take(&mut self.first))));
        }
        loop {
            match self.unwrapper.decode(&mut self.unread) {
                Err(broken) => return Poll::Ready(Some(Err(broken))),
                Ok(Some(data)) => return Poll::Ready(Some(Ok(data))),
                Ok(None) if self.unwrapper.is_complete() => return Poll::Ready(None),
                Ok(None) => {}
            }
            let Some(lease) = self.lease.as_mut() else {
                return Poll::Ready(Some(Err(ExchangeError::Connection)));
            };
            let unread = &mut self.unread;
            let read = readiness::poll_read(&lease.stream, context, |stream| {
                unread.reserve(READ);
                stream.try_read_buf(unread)
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
            if let Some(lease) = lease.filter(|_| self.reusable && there && self.unread.is_empty())
            {
                self.service.connections.release(lease);
            }
        }
        if let Some(held) = &self.held {
            increment(if whole {
                &held.counts.served
            } else {
                &held.counts.failed
            });
        }
        // What it holds goes with the answer's last byte, and not with the connection.
        self.held = None;
    }
}

impl Drop for HeldByAnswer {
    fn drop(&mut self) {
        self.client.answered(self.process.clock.now());
    }
}

impl Body for Reply {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            Reply::Whole(body) => match ready!(Pin::new(body).poll_frame(context)) {
                Some(Ok(frame)) => Poll::Ready(Some(Ok(frame))),
                _ => Poll::Ready(None),
            },
            Reply::Passing(passing) => Poll::Ready(match ready!(passing.poll(context)) {
                Some(Ok(data)) => {
                    // Of a known length the last piece is the end: nobody asks for another.
                    if passing.unwrapper.is_complete() && passing.first.is_empty() {
                        passing.end(true);
                    }
                    Some(Ok(Frame::data(data)))
                }
                Some(Err(broken)) => {
                    let (left, server) =
                        (passing.unwrapper, passing.service.pool.name(passing.server));
                    tracing::warn!(%server, "a long answer of {server} broke off: {broken:?}, {left:?} to come");
                    passing.end(false);
                    Some(Err(io::Error::other("the server has broken off")))
                }
                None => {
                    passing.end(true);
                    None
                }
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Reply::Whole(body) => body.is_end_stream(),
            Reply::Passing(passing) => passing.first.is_empty() && passing.unwrapper.is_complete(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Reply::Whole(body) => body.size_hint(),
            Reply::Passing(passing) => match passing.unwrapper.remaining() {
                Some(left) => SizeHint::with_exact(left + passing.first.len() as u64),
                None => SizeHint::default(),
            },
        }
    }
}
