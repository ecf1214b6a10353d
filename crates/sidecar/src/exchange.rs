//! One HTTP/1.1 request and its response over a connection to a server.
//!
//! The task of the request itself writes and reads the connection: there is no task per connection, no data is passed
//! between tasks, and it is known exactly how many bytes of a request were written. `httparse` parses the syntax. These
//! responses are accepted:
//!
//! | response | end of the body |
//! | --- | --- |
//! | status 204 or 304 | no body |
//! | one `Transfer-Encoding: chunked` | the last chunk |
//! | another `Transfer-Encoding`, or several | rejected as malformed |
//! | `Content-Length`, all of them equal | after that many bytes |
//! | neither header | the end of the connection |
//! | status 1xx except 101 | skipped; the final response follows |

use super::MAX_BUFFERED_BODY_BYTES;
use super::attempt::HOP_BY_HOP_HEADERS;
use super::body_decoder::{BodyDecoder, Framing};
use super::exchange_progress::ExchangeProgress;
use super::memory::MemoryPurpose;
use super::process_state::ProcessState;
use super::read_buffer::poll_read_append;
use super::readiness::{SocketEvent, is_open_and_silent, writable_or_peer_readable};
use super::timers::Sleep;
use bytes::{Bytes, BytesMut};
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, StatusCode};
use madderloom_balancer::Micros;
use smallvec::SmallVec;
use std::future::poll_fn;
use std::io::{self, ErrorKind, IoSlice};
use std::pin::{Pin, pin};
use std::task::Poll;
use tokio::net::TcpStream;
use tokio::task::consume_budget;

/// Minimum size of one read, in bytes. Most responses are shorter.
const MIN_READ_BYTES: usize = 1 << 10;
/// Maximum length of a head, and of a line between chunks, in bytes.
pub(super) const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum number of headers of a response.
const MAX_HEADERS: usize = 100;

/// A response body of unknown length that is not complete after this time is streamed to the client.
const MAX_BUFFERING_TIME: Micros = 50_000;
/// How long a response body may pause while it is being buffered; see [`BufferingPolicy`].
pub(super) const MAX_BODY_PAUSE: Micros = 400_000;

/// Why there is no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExchangeError {
    /// The connection failed or was closed.
    Connection,
    /// The response is not valid HTTP or exceeds a limit.
    Malformed,
}

impl From<io::Error> for ExchangeError {
    fn from(_: io::Error) -> Self {
        ExchangeError::Connection
    }
}

/// A serialized request.
pub(super) struct RequestMessage {
    head: Vec<u8>,
    body: Bytes,
}

impl RequestMessage {
    /// Starts a request without headers.
    pub(super) fn new(method: &Method, target: &str) -> Self {
        let mut head = Vec::with_capacity(512);
        for part in [method.as_str(), " ", target, " HTTP/1.1\r\n"] {
            head.extend_from_slice(part.as_bytes());
        }
        RequestMessage {
            head,
            body: Bytes::new(),
        }
    }

    /// Adds a header. The types guarantee that neither the name nor the value contains a line break.
    pub(super) fn add_header(&mut self, name: &HeaderName, value: &HeaderValue) {
        self.add_line(name, value.as_bytes());
    }

    /// Adds a header with a decimal number as its value.
    pub(super) fn add_number_header(&mut self, name: &HeaderName, mut value: u64) {
        let mut digits = [0; 20];
        let mut first = digits.len();
        loop {
            first -= 1;
            digits[first] = b'0' + (value % 10) as u8;
            value /= 10;
            if value == 0 {
                break;
            }
        }
        self.add_line(name, &digits[first..]);
    }

    fn add_line(&mut self, name: &HeaderName, value: &[u8]) {
        for part in [name.as_str().as_bytes(), b": ", value, b"\r\n"] {
            self.head.extend_from_slice(part);
        }
    }

    /// Ends the head and sets the body.
    pub(super) fn finish(&mut self, body: Bytes) {
        self.head.extend_from_slice(b"\r\n");
        self.body = body;
    }

    fn len(&self) -> usize {
        self.head.len() + self.body.len()
    }

    /// Writes bytes `from..end` of head and body, as many as the socket accepts without blocking.
    fn write(&self, stream: &TcpStream, from: usize, end: usize) -> io::Result<usize> {
        let head_len = self.head.len();
        if from >= head_len {
            return stream.try_write(&self.body[from - head_len..end - head_len]);
        }
        if end <= head_len {
            return stream.try_write(&self.head[from..end]);
        }
        let slices = [
            IoSlice::new(&self.head[from..]),
            IoSlice::new(&self.body[..end - head_len]),
        ];
        stream.try_write_vectored(&slices)
    }
}

/// Writes a request. With a `delay`, the last byte is written only after it has ended, and only if the connection is still
/// open then. Stops if the server responds or closes the connection early; its response can be read afterwards.
pub(super) async fn send(
    stream: &TcpStream,
    message: &RequestMessage,
    delay: Option<impl Future<Output = ()>>,
    progress: &ExchangeProgress,
) -> Result<(), ExchangeError> {
    let length = message.len();
    let mut sent = 0;
    if let Some(delay) = delay {
        if !write_up_to(stream, message, &mut sent, length - 1, progress).await? {
            return Ok(());
        }
        delay.await;
        if !is_open_and_silent(stream) {
            return Ok(());
        }
    }
    progress
        .complete
        .set(write_up_to(stream, message, &mut sent, length, progress).await?);
    Ok(())
}

/// Writes further bytes of a request. Returns false if the server responded or closed the connection first.
pub(super) async fn write_body(
    stream: &TcpStream,
    bytes: &[u8],
    progress: &ExchangeProgress,
) -> Result<bool, ExchangeError> {
    let write = |from: usize| stream.try_write(&bytes[from..]);
    write_all(stream, &mut 0, bytes.len(), progress, write).await
}

/// Writes a request up to byte `end`. Returns false if the server responded or closed the connection first.
async fn write_up_to(
    stream: &TcpStream,
    message: &RequestMessage,
    sent: &mut usize,
    end: usize,
    progress: &ExchangeProgress,
) -> Result<bool, ExchangeError> {
    let write = |from| message.write(stream, from, end);
    write_all(stream, sent, end, progress, write).await
}

/// Calls `write` with the number of bytes already sent until all are. Returns false if the server responded or closed the
/// connection first.
async fn write_all(
    stream: &TcpStream,
    sent: &mut usize,
    end: usize,
    progress: &ExchangeProgress,
    write: impl Fn(usize) -> io::Result<usize>,
) -> Result<bool, ExchangeError> {
    while *sent < end {
        match write(*sent) {
            Ok(0) => return Err(ExchangeError::Connection),
            Ok(count) => {
                *sent += count;
                progress.record_write(count);
                if *sent < end {
                    consume_budget().await;
                }
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                progress.record_full_buffers();
                if writable_or_peer_readable(stream).await? == SocketEvent::PeerReadable {
                    return Ok(false);
                }
            }
            Err(_) => return Err(ExchangeError::Connection),
        }
    }
    Ok(true)
}

/// The head of a response.
#[derive(Debug)]
pub(super) struct ResponseHead {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    framing: Framing,
    /// The server keeps the connection open.
    pub(super) keep_alive: bool,
}

impl ResponseHead {
    /// The length of the body in bytes, if the head tells it.
    pub(super) fn body_length(&self) -> Option<u64> {
        match self.framing {
            Framing::Length(length) => Some(length as u64),
            Framing::Chunked | Framing::UntilClose => None,
        }
    }
}

/// Reads one response.
#[derive(Default)]
pub(super) struct ResponseReader {
    unread: BytesMut,
}

/// A body that was completely read.
#[derive(Debug)]
pub(super) struct CompleteBody {
    pub(super) body: Bytes,
    /// The connection may carry another request.
    pub(super) reusable: bool,
}

/// What was read of a body.
#[derive(Debug)]
pub(super) enum BodyRead {
    Complete(CompleteBody),
    /// More follows: the part decoded so far, and the decoder for the rest.
    Partial {
        decoded: Bytes,
        decoder: BodyDecoder,
    },
}

impl BodyRead {
    fn partial(decoded: BytesMut, decoder: BodyDecoder) -> Self {
        BodyRead::Partial {
            decoded: decoded.freeze(),
            decoder,
        }
    }
}

/// What may be done with a response body that is not complete yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct BufferingPolicy {
    /// The client may get the beginning while the rest arrives. Otherwise the body has to be interpreted first.
    pub(super) may_stream: bool,
    /// Until then another server may be asked instead, and has time to answer. 0 if none may.
    pub(super) retry_until: Micros,
}

/// What follows when a body has paused for as long as a byte of it may take.
enum AfterPause {
    Wait,
    Stream,
    Fail,
}

/// What happens while more of a body is awaited.
enum BodyEvent {
    /// Bytes have arrived, or, if false, the connection has ended.
    Read(io::Result<bool>),
    BufferingTimeOver,
    Paused,
}

impl BufferingPolicy {
    /// The body of an error is not needed. One of which nothing has arrived is waited for: once its head is out, the client can get
    /// no other final response. One of unknown length may be long, and is streamed. A short body that stops after a part fails
    /// where another server has time to answer instead. Otherwise that would only lose it: its server may go on, and the caller's
    /// time limit bounds the wait. Streamed, it might never end.
    fn after_pause(
        self,
        now: Micros,
        head: &ResponseHead,
        is_empty: bool,
        is_sized: bool,
    ) -> AfterPause {
        if self.may_drop_body(head) {
            AfterPause::Stream
        } else if is_empty {
            AfterPause::Wait
        } else if self.may_stream && !is_sized {
            AfterPause::Stream
        } else if now < self.retry_until {
            AfterPause::Fail
        } else {
            AfterPause::Wait
        }
    }

    /// Whether the response can be handled without its body: that of an error is dropped.
    fn may_drop_body(self, head: &ResponseHead) -> bool {
        self.may_stream && head.status != StatusCode::OK
    }
}

impl ResponseReader {
    /// Reads the head of the final response and skips informational ones.
    pub(super) async fn read_head(
        &mut self,
        stream: &TcpStream,
    ) -> Result<ResponseHead, ExchangeError> {
        loop {
            while !self.unread.is_empty() {
                match parse_head(&mut self.unread)? {
                    Some(head) if !head.status.is_informational() => return Ok(head),
                    Some(head) if head.status == StatusCode::SWITCHING_PROTOCOLS => {
                        return Err(ExchangeError::Malformed);
                    }
                    Some(_) => {}
                    None if self.unread.len() >= MAX_HEAD_BYTES => {
                        return Err(ExchangeError::Malformed);
                    }
                    None => break,
                }
            }
            if !self.read_more(stream, MIN_READ_BYTES).await? {
                return Err(ExchangeError::Connection);
            }
        }
    }

    /// The body, if it was read completely with the head.
    pub(super) fn take_buffered_body(&mut self, head: &ResponseHead) -> Option<CompleteBody> {
        match head.framing {
            Framing::Length(length) if self.unread.len() >= length => {
                let body = self.unread.split_to(length).freeze();
                Some(self.complete(head, body))
            }
            _ => None,
        }
    }

    /// Reads a body that has to fit the buffer limit. The caller bounds the time.
    pub(super) async fn read_complete_body(
        &mut self,
        process: &ProcessState,
        head: &ResponseHead,
        stream: &TcpStream,
    ) -> Result<CompleteBody, ExchangeError> {
        let policy = BufferingPolicy {
            may_stream: false,
            retry_until: 0,
        };
        let progress = ExchangeProgress::default();
        let body = self.read_body_start(process, head, stream, (policy, &progress));
        match body.await? {
            BodyRead::Complete(body) => Ok(body),
            BodyRead::Partial { .. } => Err(ExchangeError::Malformed),
        }
    }

    /// Reads the body until it is complete, or known to be too long to be buffered, or until `policy` has the rest streamed:
    /// after [`MAX_BUFFERING_TIME`] for a body of unknown length, which may be a long one that arrives slowly, or when no byte
    /// arrives for [`MAX_BODY_PAUSE`]. A body of which nothing has arrived yet is only late: none of its response is streamed, and
    /// the caller's time limit bounds the wait.
    pub(super) async fn read_body_start(
        &mut self,
        process: &ProcessState,
        head: &ResponseHead,
        stream: &TcpStream,
        (policy, progress): (BufferingPolicy, &ExchangeProgress),
    ) -> Result<BodyRead, ExchangeError> {
        let mut buffer_timer = process.sleep(MAX_BUFFERING_TIME);
        let mut decoder = BodyDecoder::new(head.framing);
        let mut body = BytesMut::new();
        // A body of known length that fits the buffer is short, so streaming it gains nothing.
        let is_sized = matches!(head.framing, Framing::Length(_));
        let is_long =
            matches!(head.framing, Framing::Length(length) if length > MAX_BUFFERED_BODY_BYTES);
        if is_long && (!policy.may_stream || policy.may_drop_body(head)) {
            return Ok(BodyRead::partial(body, decoder));
        }
        let mut stream_rest = is_long;
        let mut buffer_timer_ended = is_sized || !policy.may_stream;
        loop {
            while let Some(piece) = decoder.decode(&mut self.unread)? {
                body.extend_from_slice(&piece);
            }
            progress.record_body(body.len());
            if decoder.is_complete() {
                return Ok(BodyRead::Complete(self.complete(head, body.freeze())));
            }
            if body.len() > MAX_BUFFERED_BODY_BYTES || (stream_rest && !body.is_empty()) {
                return Ok(BodyRead::partial(body, decoder));
            }
            let wanted = match decoder.remaining() {
                Some(remaining) if !is_long => remaining as usize,
                _ => MIN_READ_BYTES,
            };
            if !process.has_memory(MemoryPurpose::Response, 2 * (body.len() + wanted)) {
                if policy.may_drop_body(head) || (policy.may_stream && !body.is_empty()) {
                    return Ok(BodyRead::partial(body, decoder));
                }
                process
                    .wait_for_response_memory(2 * (body.len() + MIN_READ_BYTES))
                    .await;
            }
            let running_timer = (!buffer_timer_ended).then_some(&mut buffer_timer);
            let event = self.next_body_event(process, stream, wanted, running_timer);
            match event.await {
                BodyEvent::Read(more) => {
                    if !more? {
                        return self.at_connection_end(head, body, decoder);
                    }
                }
                BodyEvent::BufferingTimeOver => (stream_rest, buffer_timer_ended) = (true, true),
                BodyEvent::Paused => {
                    let now = process.clock.now();
                    match policy.after_pause(now, head, body.is_empty(), is_sized) {
                        AfterPause::Wait => {}
                        AfterPause::Stream => return Ok(BodyRead::partial(body, decoder)),
                        AfterPause::Fail => return Err(ExchangeError::Connection),
                    }
                }
            }
        }
    }

    /// Waits for more of a body, or until it has paused for [`MAX_BODY_PAUSE`] or `buffer_timer` has ended.
    async fn next_body_event(
        &mut self,
        process: &ProcessState,
        stream: &TcpStream,
        wanted: usize,
        mut buffer_timer: Option<&mut Sleep<'_>>,
    ) -> BodyEvent {
        let mut more = pin!(self.read_more(stream, wanted));
        let mut pause_timer = process.sleep(MAX_BODY_PAUSE);
        poll_fn(|context| {
            if let Poll::Ready(more) = more.as_mut().poll(context) {
                return Poll::Ready(BodyEvent::Read(more));
            }
            if let Some(timer) = &mut buffer_timer
                && Pin::new(&mut **timer).poll(context).is_ready()
            {
                return Poll::Ready(BodyEvent::BufferingTimeOver);
            }
            Pin::new(&mut pause_timer)
                .poll(context)
                .map(|()| BodyEvent::Paused)
        })
        .await
    }

    /// The end of the connection completes only a body that ends with it.
    fn at_connection_end(
        &self,
        head: &ResponseHead,
        body: BytesMut,
        decoder: BodyDecoder,
    ) -> Result<BodyRead, ExchangeError> {
        if !decoder.ends_with_connection() {
            return Err(ExchangeError::Connection);
        }
        Ok(BodyRead::Complete(self.complete(head, body.freeze())))
    }

    fn complete(&self, head: &ResponseHead, body: Bytes) -> CompleteBody {
        // Further bytes would be read as the response to the next request.
        CompleteBody {
            body,
            reusable: head.keep_alive && self.unread.is_empty(),
        }
    }

    /// The bytes that were read but not decoded yet.
    pub(super) fn into_unread(self) -> BytesMut {
        self.unread
    }

    /// Reads what is available; returns false at the end of the connection.
    async fn read_more(&mut self, stream: &TcpStream, wanted: usize) -> io::Result<bool> {
        let max_bytes = wanted.max(MIN_READ_BYTES);
        let unread = &mut self.unread;
        let count = poll_fn(|context| poll_read_append(stream, context, unread, max_bytes)).await?;
        Ok(count > 0)
    }
}

/// The headers of a message that concern its framing and its connection.
#[derive(Default)]
struct FramingHeaders {
    chunked: bool,
    length: Option<usize>,
    close: bool,
}

impl FramingHeaders {
    /// Processes a header. Returns true for a hop-by-hop header, which is not forwarded.
    fn process(&mut self, name: &HeaderName, value: &[u8]) -> Result<bool, ExchangeError> {
        if *name == header::CONTENT_LENGTH {
            let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
            let text = std::str::from_utf8(value).ok().filter(|_| is_number);
            let length = text
                .and_then(|text| text.parse().ok())
                .ok_or(ExchangeError::Malformed)?;
            if self
                .length
                .replace(length)
                .is_some_and(|other| other != length)
            {
                return Err(ExchangeError::Malformed);
            }
        } else if *name == header::TRANSFER_ENCODING {
            if self.chunked || !value.trim_ascii().eq_ignore_ascii_case(b"chunked") {
                return Err(ExchangeError::Malformed);
            }
            self.chunked = true;
        } else if *name == header::CONNECTION {
            let mut options = value.split(|byte| *byte == b',');
            self.close |= options.any(|option| option.trim_ascii().eq_ignore_ascii_case(b"close"));
        }
        Ok(HOP_BY_HOP_HEADERS.contains(name))
    }

    fn framing(&self, status: StatusCode) -> Framing {
        let has_no_body = status.is_informational()
            || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        match self.length {
            _ if has_no_body => Framing::Length(0),
            _ if self.chunked => Framing::Chunked,
            Some(length) => Framing::Length(length),
            None => Framing::UntilClose,
        }
    }
}

/// Parses a head at the start of what was read. None if it is incomplete.
fn parse_head(unread: &mut BytesMut) -> Result<Option<ResponseHead>, ExchangeError> {
    let mut headers = [const { std::mem::MaybeUninit::uninit() }; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut []);
    let parsed = httparse::ParserConfig::default().parse_response_with_uninit_headers(
        &mut response,
        unread,
        &mut headers,
    );
    let length = match parsed {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(ExchangeError::Malformed),
    };
    let status = response
        .code
        .and_then(|code| StatusCode::from_u16(code).ok())
        .ok_or(ExchangeError::Malformed)?;
    let is_http_1_1 = response.version == Some(1);
    let buffer_start = unread.as_ptr() as usize;
    let mut framing_headers = FramingHeaders::default();
    // Names with the positions of their values, so that the values need not be copied.
    let mut fields: SmallVec<[(HeaderName, usize, usize); 12]> = SmallVec::new();
    for field in response.headers.iter() {
        let name =
            HeaderName::from_bytes(field.name.as_bytes()).map_err(|_| ExchangeError::Malformed)?;
        if !framing_headers.process(&name, field.value)? {
            // An empty value need not point into this buffer.
            let offset = if field.value.is_empty() {
                0
            } else {
                field.value.as_ptr() as usize - buffer_start
            };
            fields.push((name, offset, field.value.len()));
        }
    }
    let bytes = unread.split_to(length).freeze();
    let mut headers = HeaderMap::with_capacity(fields.len());
    for (name, offset, length) in fields {
        let value = HeaderValue::from_maybe_shared(bytes.slice(offset..offset + length));
        headers.append(name, value.map_err(|_| ExchangeError::Malformed)?);
    }
    let framing = framing_headers.framing(status);
    let keep_alive = is_http_1_1 && framing != Framing::UntilClose && !framing_headers.close;
    Ok(Some(ResponseHead {
        status,
        headers,
        framing,
        keep_alive,
    }))
}
