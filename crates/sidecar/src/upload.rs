//! A client's body: kept whole where it fits, so that it can be sent again, or passed on as it comes.
//!
//! A body is kept up to [`MAX_BUFFERED_BYTES`] bytes as long as all bodies together stay within what is set aside for them. Of a
//! longer one the beginning is kept, and the rest is read from the client as the server takes it: neither side is read
//! faster than the other is written. Once any of that rest has been read, the request cannot be sent again.

use super::limits::Reservation;
use super::listener::Listener;
use super::process_state::ProcessState;
use super::service::Service;
use super::virtual_server::{RequestError, bad_request};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap};
use madderloom_balancer::Micros;
use std::cell::{Cell, RefCell};

/// The longest body that is kept.
pub(super) const MAX_BUFFERED_BYTES: usize = 1 << 20;
/// Before a longer one is passed on, so much of it is there.
const STREAM_PREFIX_BYTES: usize = 16 << 10;
/// The slowest client, in bytes a second, and what it may lag behind that. Clients write 64,000 a second.
pub(super) const MIN_BYTES_PER_SECOND: u64 = 32_000;
pub(super) const READ_DELAY_ALLOWANCE: Micros = 3_000_000;

const BODY_TOO_LONG: RequestError = RequestError::Invalid(
    StatusCode::PAYLOAD_TOO_LARGE,
    "the body is longer than this listener takes",
);

/// How long a body is, as its head tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyLength {
    Known(u64),
    /// In chunks.
    Chunked,
}

impl BodyLength {
    /// By the head of a request. Where it has both a length and chunks, one reader sees a request where another sees
    /// a body, so it is refused; hyper has refused several lengths that differ.
    pub(super) fn from_head(
        body: Option<&Incoming>,
        headers: &HeaderMap,
        most: usize,
    ) -> Result<Self, RequestError> {
        let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
        if let Some(coding) = codings.next() {
            if headers.contains_key(header::CONTENT_LENGTH) {
                return Err(bad_request(
                    "there are both a Content-Length and a Transfer-Encoding",
                ));
            }
            if codings.next().is_some()
                || !coding
                    .as_bytes()
                    .trim_ascii()
                    .eq_ignore_ascii_case(b"chunked")
            {
                return Err(bad_request("the Transfer-Encoding is not just chunked"));
            }
            return Ok(BodyLength::Chunked);
        }
        let size = body.and_then(|body| body.size_hint().exact());
        size.filter(|size| *size <= most as u64)
            .map(BodyLength::Known)
            .ok_or(BODY_TOO_LONG)
    }
}

/// A client's body as it is read.
pub(super) struct BodyReader {
    body: Incoming,
    begun: Micros,
    read: u64,
    most: u64,
}

impl BodyReader {
    pub(super) fn new(process: &ProcessState, body: Incoming, most: usize) -> Self {
        BodyReader {
            body,
            begun: process.clock.now(),
            read: 0,
            most: most as u64,
        }
    }

    /// The next piece; none at the end. A client has its time by what it has sent.
    pub(super) async fn next(
        &mut self,
        process: &ProcessState,
    ) -> Result<Option<Bytes>, RequestError> {
        loop {
            let until = self.begun
                + READ_DELAY_ALLOWANCE
                + self.read.saturating_mul(1_000_000) / MIN_BYTES_PER_SECOND;
            let frame = match process.timeout_at(until, self.body.frame()).await {
                None => {
                    return Err(RequestError::Invalid(
                        StatusCode::REQUEST_TIMEOUT,
                        "the body has not come",
                    ));
                }
                Some(None) => return Ok(None),
                Some(Some(Err(_))) => return Err(bad_request("the body has broken off")),
                Some(Some(Ok(frame))) => frame,
            };
            // Trailers are about the message itself and go no further.
            let Ok(data) = frame.into_data() else {
                continue;
            };
            self.read += data.len() as u64;
            if self.read > self.most {
                return Err(BODY_TOO_LONG);
            }
            if !data.is_empty() {
                return Ok(Some(data));
            }
        }
    }

    /// The rest, of which nothing is wanted any more.
    pub(super) fn into_inner(self) -> Incoming {
        self.body
    }
}

/// A body as it goes to a server.
pub(super) enum RequestBody {
    /// All of it.
    Buffered(Bytes),
    /// Its beginning, and the rest as it comes.
    Streamed(StreamedRequestBody),
}

impl RequestBody {
    /// What is there of it.
    pub(super) fn buffered(&self) -> &Bytes {
        match self {
            RequestBody::Buffered(body) => body,
            RequestBody::Streamed(streamed) => &streamed.prefix,
        }
    }

    pub(super) fn streamed(&self) -> Option<&StreamedRequestBody> {
        match self {
            RequestBody::Buffered(_) => None,
            RequestBody::Streamed(streamed) => Some(streamed),
        }
    }
}

/// A body that is passed on as it comes.
pub(super) struct StreamedRequestBody {
    pub(super) length: BodyLength,
    prefix: Bytes,
    /// In the hands of the attempt that sends it.
    remainder: RefCell<Option<BodyReader>>,
    /// Something of the rest has been read: it can't be sent again.
    pub(super) consumed: Cell<bool>,
    /// When its last byte had come.
    pub(super) completed_at: Cell<Option<Micros>>,
    /// Why it will never be whole.
    pub(super) failure: RefCell<Option<RequestError>>,
}

impl StreamedRequestBody {
    /// The rest, for an attempt, where it can still be sent.
    pub(super) fn take_remainder(&self) -> Option<BodyReader> {
        if self.consumed.get() {
            None
        } else {
            self.remainder.take()
        }
    }

    /// Whether an attempt could send it.
    pub(super) fn can_be_sent(&self) -> bool {
        // Behind the error of a body that broke off comes what looks like its end.
        !self.consumed.get() && self.failure.borrow().is_none() && self.remainder.borrow().is_some()
    }

    /// An attempt has ended before it had sent it all.
    pub(super) fn return_remainder(&self, reader: BodyReader) {
        self.remainder.replace(Some(reader));
    }

    /// What nobody has read and nobody will.
    pub(super) fn take_unread(&self) -> Option<Incoming> {
        self.remainder.take().map(BodyReader::into_inner)
    }
}

/// What a body takes of the room for all bodies together.
pub(super) type BodyReservations = Vec<[Reservation; 2]>;

/// Reads a body whole where it fits, else its beginning. `room` gets what it takes. One that is turned away before it
/// was read is left where it is.
pub(super) async fn read_body(
    listener: &Listener,
    service: &Service,
    body: &mut Option<Incoming>,
    length: BodyLength,
    most: usize,
    room: &mut BodyReservations,
) -> Result<RequestBody, RequestError> {
    let process = &listener.process;
    let mut kept = BytesMut::new();
    // Where it is known to be too long to be kept, no more is than its beginning.
    let (fits, mut held) = match length {
        BodyLength::Known(0) => return Ok(RequestBody::Buffered(Bytes::new())),
        BodyLength::Known(size) if size <= MAX_BUFFERED_BYTES as u64 => {
            let fits = hold(listener, service, size, room);
            // An operator file's limits on bodies turn away what finds no room.
            if !fits && listener.settings.get().drains_rejected_bodies {
                return Err(RequestError::LimitReached(
                    "too much is open",
                    service.retry_after(),
                ));
            }
            (fits, size as usize)
        }
        BodyLength::Known(_) => (false, 0),
        BodyLength::Chunked => (true, 0),
    };
    let Some(body) = body.take() else {
        return Ok(RequestBody::Buffered(Bytes::new()));
    };
    let mut reader = BodyReader::new(process, body, most);
    loop {
        let Some(piece) = reader.next(process).await? else {
            return Ok(RequestBody::Buffered(kept.freeze()));
        };
        let size = kept.len() + piece.len();
        if fits && size > held && size <= MAX_BUFFERED_BYTES {
            // Chunks tell nothing of what is to come: room is made as they do.
            let more = size.next_power_of_two().max(STREAM_PREFIX_BYTES) - held;
            if hold(listener, service, more as u64, room) {
                held += more;
            }
        }
        if kept.is_empty() {
            kept = BytesMut::from(&piece[..]);
        } else {
            kept.extend_from_slice(&piece);
        }
        let enough = if fits {
            kept.len() > held
        } else {
            kept.len() >= STREAM_PREFIX_BYTES
        };
        if enough && !matches!(length, BodyLength::Known(size) if size == kept.len() as u64) {
            let streamed = StreamedRequestBody {
                length,
                prefix: kept.freeze(),
                remainder: RefCell::new(Some(reader)),
                consumed: Cell::new(false),
                completed_at: Cell::new(None),
                failure: RefCell::default(),
            };
            return Ok(RequestBody::Streamed(streamed));
        }
    }
}

fn hold(listener: &Listener, service: &Service, size: u64, room: &mut BodyReservations) -> bool {
    let held = service
        .request_limits
        .reserve_body(size)
        .and_then(|own| Some([own, listener.request_limits.reserve_body(size)?]));
    held.map(|held| room.push(held)).is_some()
}
