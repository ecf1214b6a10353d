//! Request bodies: buffered in full where they fit, so that the request can be retried, or streamed.
//!
//! A body of up to [`MAX_BUFFERED_BYTES`] is buffered while all bodies together stay within the limits on body bytes. Of a
//! longer one only a prefix is buffered, and the remainder is read from the client at the pace at which the server accepts
//! it. Once any of the remainder has been read, the request cannot be sent again.

use super::client_pace::ClientLag;
use super::lateness::WaitKind;
use super::limits::Reservation;
use super::listener::Listener;
use super::memory::MemoryPurpose;
use super::process_state::ProcessState;
use super::rejection::{Exhaustion, RequestError, bad_request};
use super::request_deadline::RequestDeadline;
use super::service::Service;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{self, HeaderMap};
use madderloom_balancer::Micros;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// The longest body that is buffered in full.
pub(super) const MAX_BUFFERED_BYTES: usize = 1 << 20;
/// How much of a longer body is buffered before it is streamed.
const STREAM_PREFIX_BYTES: usize = 16 << 10;
/// The longest body of the platform's protocol. A longer one is an upload.
const MAX_PROTOCOL_BODY_BYTES: usize = 64 << 10;
/// The lowest rate at which a client may send its body. Clients send 64,000 bytes a second.
pub(super) const MIN_BYTES_PER_SECOND: u64 = 32_000;
/// How far a client may fall behind [`MIN_BYTES_PER_SECOND`].
pub(super) const READ_DELAY_ALLOWANCE: Micros = 3_000_000;

/// Interval at which a reader that waits checks whether its client has to give way to others.
const LAG_CHECK_INTERVAL: Micros = 100_000;
/// How long a body may wait for memory, all its pieces together, before its request is rejected.
const MEMORY_WAIT_TIMEOUT: Micros = 1_000_000;

const BODY_TOO_SLOW: RequestError =
    RequestError::Invalid(StatusCode::REQUEST_TIMEOUT, "the body has not come");
const BODY_TOO_LONG: RequestError = RequestError::Invalid(
    StatusCode::PAYLOAD_TOO_LARGE,
    "the body is longer than this listener takes",
);

/// The length of a body according to the head of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyLength {
    Known(u64),
    /// Chunked transfer coding: the length is unknown.
    Chunked,
}

impl BodyLength {
    /// Determines the length of a body of at most `max_bytes`.
    ///
    /// # Errors
    /// The body is longer, or its framing is ambiguous: with both a length and chunked coding, one reader may see a request
    /// where another sees a part of the body. hyper has already rejected requests with several different lengths.
    pub(super) fn from_head(
        body: Option<&Incoming>,
        headers: &HeaderMap,
        max_bytes: usize,
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
        size.filter(|size| *size <= max_bytes as u64)
            .map(BodyLength::Known)
            .ok_or(BODY_TOO_LONG)
    }
}

/// Reads a client's body, at a minimum rate and within the deadline of its request.
pub(super) struct BodyReader {
    body: Incoming,
    /// How long it has waited for the client in all.
    waited: Micros,
    lag: ClientLag,
    /// How long it may still wait for memory.
    memory_wait_left: Micros,
    deadline: Rc<RequestDeadline>,
    max_bytes: u64,
}

impl BodyReader {
    pub(super) fn new(body: Incoming, deadline: &Rc<RequestDeadline>, max_bytes: usize) -> Self {
        BodyReader {
            body,
            waited: 0,
            lag: ClientLag::default(),
            memory_wait_left: MEMORY_WAIT_TIMEOUT,
            deadline: Rc::clone(deadline),
            max_bytes: max_bytes as u64,
        }
    }

    /// The next piece of the body; `None` at its end.
    ///
    /// # Errors
    /// The client falls behind the minimum rate, its body ends early, it is longer than allowed, or there is no memory to read it
    /// by the deadline.
    pub(super) async fn next(
        &mut self,
        process: &ProcessState,
    ) -> Result<Option<Bytes>, RequestError> {
        loop {
            let frame = match self.next_frame(process).await? {
                None => return Ok(None),
                Some(Err(_)) => return Err(bad_request("the body has broken off")),
                Some(Ok(frame)) => frame,
            };
            // Trailers are not forwarded.
            let Ok(data) = frame.into_data() else {
                continue;
            };
            self.lag.record_bytes(data.len());
            self.deadline
                .record_read(data.len() as u64, process.clock.now());
            if self.deadline.bytes_read() > self.max_bytes {
                return Err(BODY_TOO_LONG);
            }
            if !data.is_empty() {
                return Ok(Some(data));
            }
        }
    }

    /// Waits for the client within what the minimum rate allows. Only this wait counts: a server that takes the body slowly, or
    /// memory that is scarce, holds up its client.
    async fn next_frame(
        &mut self,
        process: &ProcessState,
    ) -> Result<Option<Result<Frame<Bytes>, hyper::Error>>, RequestError> {
        let allowed = READ_DELAY_ALLOWANCE
            + self.deadline.bytes_read().saturating_mul(1_000_000) / MIN_BYTES_PER_SECOND;
        let deadline = Rc::clone(&self.deadline);
        let _awaits_body = deadline.await_body();
        let mut checked_at = process.clock.now();
        let mut check_at = checked_at + LAG_CHECK_INTERVAL;
        loop {
            let frame = process.timeout_at(check_at, self.body.frame()).await;
            let now = process.clock.now();
            let waited = now.saturating_sub(checked_at);
            checked_at = now;
            if let Some(frame) = frame {
                self.record_wait(waited);
                return Ok(frame);
            }
            let awaits_client = deadline.awaits_client(now);
            if awaits_client {
                self.record_wait(waited);
            }
            if self.waited >= allowed {
                return Err(BODY_TOO_SLOW);
            }
            let due_at = deadline.due_at_if(awaits_client, now);
            if now >= due_at {
                return Err(RequestError::Exhausted(Exhaustion::Deadline));
            }
            if process.memory.must_release(self.lag.get(), now) {
                return Err(RequestError::Exhausted(Exhaustion::SlowClient));
            }
            let too_slow_at = now + allowed.saturating_sub(self.waited);
            check_at = due_at.min(too_slow_at).min(now + LAG_CHECK_INTERVAL);
        }
    }

    fn record_wait(&mut self, waited: Micros) {
        self.waited += waited;
        self.lag.record_wait(waited);
    }

    /// Waits for the memory to buffer so many bytes, until the response is due at the latest.
    ///
    /// # Errors
    /// There is none in time.
    async fn wait_for_buffer(
        &mut self,
        process: &ProcessState,
        bytes: usize,
    ) -> Result<(), RequestError> {
        // The buffer may double when it grows.
        let bytes = 2 * bytes;
        if process.has_memory(MemoryPurpose::Request, bytes) {
            return Ok(());
        }
        let started_at = process.clock.now();
        let timeout = self
            .deadline
            .remaining(started_at)
            .min(self.memory_wait_left);
        let available = process
            .wait_for_memory(MemoryPurpose::Request, bytes, timeout)
            .await;
        let waited = process.clock.now().saturating_sub(started_at);
        self.memory_wait_left = self.memory_wait_left.saturating_sub(waited);
        self.deadline.waits.add(WaitKind::Memory, waited);
        available
            .then_some(())
            .ok_or(RequestError::Exhausted(Exhaustion::Memory))
    }

    /// The remainder of the body, to be drained.
    pub(super) fn into_inner(self) -> Incoming {
        self.body
    }
}

/// A request body as it is sent to a server.
pub(super) enum RequestBody {
    /// The complete body.
    Buffered(Bytes),
    /// A buffered prefix, and a remainder that is read while it is sent.
    Streamed(StreamedRequestBody),
}

impl RequestBody {
    /// The buffered part: the complete body, or the prefix of a streamed one.
    pub(super) fn buffered(&self) -> &Bytes {
        match self {
            RequestBody::Buffered(body) => body,
            RequestBody::Streamed(streamed) => &streamed.prefix,
        }
    }

    /// Whether the body is so long that its server may take a while to read it.
    pub(super) fn is_upload(&self) -> bool {
        self.streamed().is_some() || self.buffered().len() > MAX_PROTOCOL_BODY_BYTES
    }

    pub(super) fn streamed(&self) -> Option<&StreamedRequestBody> {
        match self {
            RequestBody::Buffered(_) => None,
            RequestBody::Streamed(streamed) => Some(streamed),
        }
    }
}

/// A body that is streamed from the client to the server.
pub(super) struct StreamedRequestBody {
    prefix: Bytes,
    /// `None` while an attempt has taken it.
    remainder: RefCell<Option<BodyReader>>,
    /// Some of the remainder has been read, so the body cannot be sent again.
    pub(super) consumed: Cell<bool>,
    /// Set once it has been sent completely: the earliest time at which the client may have written its last byte.
    pub(super) completed_at: Cell<Option<Micros>>,
    /// Why it will never be complete.
    pub(super) failure: RefCell<Option<RequestError>>,
}

impl StreamedRequestBody {
    fn new(prefix: Bytes, remainder: BodyReader) -> Self {
        StreamedRequestBody {
            prefix,
            remainder: RefCell::new(Some(remainder)),
            consumed: Cell::new(false),
            completed_at: Cell::new(None),
            failure: RefCell::default(),
        }
    }

    /// Lends the remainder to an attempt that sends it; `None` if it was consumed or is taken.
    pub(super) fn take_remainder(&self) -> Option<LentBodyReader<'_>> {
        if self.consumed.get() {
            return None;
        }
        let reader = self.remainder.take();
        reader.map(|reader| LentBodyReader {
            streamed: self,
            reader: Some(reader),
        })
    }

    /// Whether an attempt could still send the complete body.
    pub(super) fn can_be_sent(&self) -> bool {
        // After the error of a body that ended early, hyper reports what looks like its regular end.
        !self.consumed.get() && self.failure.borrow().is_none() && self.remainder.borrow().is_some()
    }

    /// The unread remainder, which no attempt will read any more.
    pub(super) fn take_unread(&self) -> Option<Incoming> {
        self.remainder.take().map(BodyReader::into_inner)
    }
}

/// The remainder of a streamed body while an attempt sends it. What the attempt has not read by its end, also where it is
/// dropped, is put back, to be drained.
pub(super) struct LentBodyReader<'a> {
    streamed: &'a StreamedRequestBody,
    /// `None` once the body has been read to its end.
    reader: Option<BodyReader>,
}

impl LentBodyReader<'_> {
    /// As [`BodyReader::next`].
    pub(super) async fn next(
        &mut self,
        process: &ProcessState,
    ) -> Result<Option<Bytes>, RequestError> {
        match &mut self.reader {
            Some(reader) => reader.next(process).await,
            None => Ok(None),
        }
    }

    /// Nothing is left of the body.
    pub(super) fn finish(mut self) {
        self.reader = None;
    }
}

impl Drop for LentBodyReader<'_> {
    fn drop(&mut self) {
        if let Some(reader) = self.reader.take() {
            self.streamed.remainder.replace(Some(reader));
        }
    }
}

/// The reservations of body bytes for one request.
pub(super) type BodyReservations = Vec<[Reservation; 2]>;

/// Reads a complete body where it fits, else its prefix, and adds what it reserves to `reservations`. `body` is left in place
/// if the request is rejected before the body was read.
///
/// # Errors
/// The body is invalid or comes too slowly, or its length exceeds the free body bytes and the listener drains rejected bodies.
pub(super) async fn read_body(
    listener: &Listener,
    service: &Service,
    body: &mut Option<Incoming>,
    deadline: &Rc<RequestDeadline>,
    max_bytes: usize,
    reservations: &mut BodyReservations,
) -> Result<RequestBody, RequestError> {
    let process = &listener.process;
    let length = deadline.length();
    let mut buffered = BytesMut::new();
    // Only a prefix is buffered of a body that is known to be too long.
    let (buffers_all, mut reserved) = match length {
        BodyLength::Known(0) => return Ok(RequestBody::Buffered(Bytes::new())),
        BodyLength::Known(size) if size <= MAX_BUFFERED_BYTES as u64 => {
            let buffers_all = reserve(listener, service, size, reservations);
            // Limits of an operator file reject a body that does not fit, rather than streaming it.
            if !buffers_all && listener.settings.get().drains_rejected_bodies {
                return Err(RequestError::Exhausted(Exhaustion::BodyBytes));
            }
            (buffers_all, size as usize)
        }
        BodyLength::Known(_) => (false, 0),
        BodyLength::Chunked => (true, 0),
    };
    let Some(body) = body.take() else {
        return Ok(RequestBody::Buffered(Bytes::new()));
    };
    let mut reader = BodyReader::new(body, deadline, max_bytes);
    loop {
        let Some(piece) = reader.next(process).await? else {
            deadline.record_body_complete();
            return Ok(RequestBody::Buffered(buffered.freeze()));
        };
        let size = buffered.len() + piece.len();
        reader.wait_for_buffer(process, size).await?;
        if buffers_all && size > reserved && size <= MAX_BUFFERED_BYTES {
            // The length of a chunked body is unknown, so its reservation grows as chunks arrive.
            let more = size.next_power_of_two().max(STREAM_PREFIX_BYTES) - reserved;
            if reserve(listener, service, more as u64, reservations) {
                reserved += more;
            }
        }
        if buffered.is_empty() {
            buffered = BytesMut::from(&piece[..]);
        } else {
            buffered.extend_from_slice(&piece);
        }
        let must_stream = if buffers_all {
            buffered.len() > reserved
        } else {
            buffered.len() >= STREAM_PREFIX_BYTES
        };
        if must_stream
            && !matches!(length, BodyLength::Known(size) if size == buffered.len() as u64)
        {
            let streamed = StreamedRequestBody::new(buffered.freeze(), reader);
            return Ok(RequestBody::Streamed(streamed));
        }
    }
}

fn reserve(
    listener: &Listener,
    service: &Service,
    size: u64,
    reservations: &mut BodyReservations,
) -> bool {
    let reserved = service
        .request_limits
        .reserve_body(size)
        .and_then(|of_service| Some([of_service, listener.request_limits.reserve_body(size)?]));
    reserved.map(|units| reservations.push(units)).is_some()
}
