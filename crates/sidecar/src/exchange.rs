//! One request and its answer over a connection to a server.
//!
//! Written and read here, in the task of the request itself: there is no task for each connection, nothing is passed
//! between tasks, and how many bytes of a request have left is known exactly. The syntax is read by `httparse`; what
//! of it this side accepts:
//!
//! | an answer has | it ends |
//! | --- | --- |
//! | 204 or 304 | with its head |
//! | `Transfer-Encoding: chunked`, alone | with its last chunk |
//! | another `Transfer-Encoding`, or several | it makes no sense |
//! | `Content-Length`, all of them equal | after so many bytes |
//! | neither | with the connection |
//! | 1xx but for 101 | it is passed over; the answer is yet to come |

use super::MAX_BUFFERED_BODY_BYTES;
use super::attempt::HOP_BY_HOP_HEADERS;
use super::readiness::{SocketEvent, is_open_and_silent, writable_or_peer_readable};
use bytes::{Buf, Bytes, BytesMut};
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, StatusCode};
use smallvec::SmallVec;
use std::cell::Cell;
use std::future::poll_fn;
use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::consume_budget;

/// What is read at once; most answers are shorter.
const READ: usize = 1 << 10;
/// A head, and a line between chunks, hold this much at most.
const HEAD: usize = 16 << 10;
/// Headers of an answer, at most.
const HEADERS: usize = 100;

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExchangeError {
    /// The connection broke or ended.
    Connection,
    /// What came is no answer, or one that holds too much.
    Malformed,
}

impl From<io::Error> for ExchangeError {
    fn from(_: io::Error) -> Self {
        ExchangeError::Connection
    }
}

/// A request as it goes out.
pub(super) struct RequestMessage {
    head: Vec<u8>,
    body: Bytes,
}

impl RequestMessage {
    /// A request without headers.
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

    /// Adds a header. The types see to it that neither holds the end of a line.
    pub(super) fn add_header(&mut self, name: &HeaderName, value: &HeaderValue) {
        self.line(name, value.as_bytes());
    }

    /// Adds a header that holds a number.
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
        self.line(name, &digits[first..]);
    }

    fn line(&mut self, name: &HeaderName, value: &[u8]) {
        for part in [name.as_str().as_bytes(), b": ", value, b"\r\n"] {
            self.head.extend_from_slice(part);
        }
    }

    /// Ends the head, with this body behind it.
    pub(super) fn finish(&mut self, body: Bytes) {
        self.head.extend_from_slice(b"\r\n");
        self.body = body;
    }

    fn len(&self) -> usize {
        self.head.len() + self.body.len()
    }

    /// Writes from this byte on up to `end`, for as long as the connection takes it.
    fn write(&self, stream: &TcpStream, from: usize, end: usize) -> io::Result<usize> {
        let head = self.head.len();
        if from >= head {
            return stream.try_write(&self.body[from - head..end - head]);
        }
        if end <= head {
            return stream.try_write(&self.head[from..end]);
        }
        let slices = [
            IoSlice::new(&self.head[from..]),
            IoSlice::new(&self.body[..end - head]),
        ];
        stream.try_write_vectored(&slices)
    }
}

/// How far the writing of a request has come.
#[derive(Default)]
pub(super) struct SendProgress {
    /// Not one byte has left as long as this is false.
    pub(super) started: Cell<bool>,
    /// Its last byte has left.
    pub(super) complete: Cell<bool>,
}

/// Writes a request. With a hold, its last byte leaves only after that, and only if the connection has stood until
/// then. A server that answers or closes before it has had all gets no more; what it says is there to be read.
pub(super) async fn send(
    stream: &TcpStream,
    message: &RequestMessage,
    hold: Option<impl Future<Output = ()>>,
    progress: &SendProgress,
) -> Result<(), ExchangeError> {
    let length = message.len();
    let mut sent = 0;
    if let Some(hold) = hold {
        if !write_up_to(stream, message, &mut sent, length - 1, progress).await? {
            return Ok(());
        }
        hold.await;
        if !is_open_and_silent(stream) {
            return Ok(());
        }
    }
    progress
        .complete
        .set(write_up_to(stream, message, &mut sent, length, progress).await?);
    Ok(())
}

/// Writes bytes behind what has gone out already. False where the server has answered or closed before that.
pub(super) async fn write_body(stream: &TcpStream, bytes: &[u8]) -> Result<bool, ExchangeError> {
    write_all(stream, &mut 0, bytes.len(), |from| {
        stream.try_write(&bytes[from..])
    })
    .await
}

/// False where the server has answered or closed before that.
async fn write_up_to(
    stream: &TcpStream,
    message: &RequestMessage,
    sent: &mut usize,
    end: usize,
    progress: &SendProgress,
) -> Result<bool, ExchangeError> {
    let write = |from| {
        let written = message.write(stream, from, end);
        if matches!(written, Ok(count) if count > 0) {
            progress.started.set(true);
        }
        written
    };
    write_all(stream, sent, end, write).await
}

/// Has `write` called with how much is sent until that is all. False where the server has answered or closed before.
async fn write_all(
    stream: &TcpStream,
    sent: &mut usize,
    end: usize,
    write: impl Fn(usize) -> io::Result<usize>,
) -> Result<bool, ExchangeError> {
    while *sent < end {
        match write(*sent) {
            Ok(0) => return Err(ExchangeError::Connection),
            Ok(count) => {
                *sent += count;
                if *sent < end {
                    consume_budget().await;
                }
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                if writable_or_peer_readable(stream).await? == SocketEvent::PeerReadable {
                    return Ok(false);
                }
            }
            Err(_) => return Err(ExchangeError::Connection),
        }
    }
    Ok(true)
}

/// How a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length(usize),
    Chunked,
    Close,
}

/// Takes a body out of its wrapping, piece by piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyDecoder {
    /// So many bytes are to come.
    Length(u64),
    /// Of the present chunk; behind it comes the end of its line.
    Chunk(u64),
    /// The end of a chunk's line.
    ChunkEnd,
    /// The line with a chunk's size.
    ChunkSizeLine,
    /// Lines behind the last chunk.
    Trailers,
    /// All that comes, to the end of the connection.
    Close,
    /// It has ended.
    Complete,
}

impl BodyDecoder {
    fn new(framing: Framing) -> Self {
        match framing {
            Framing::Length(0) => BodyDecoder::Complete,
            Framing::Length(length) => BodyDecoder::Length(length as u64),
            Framing::Chunked => BodyDecoder::ChunkSizeLine,
            Framing::Close => BodyDecoder::Close,
        }
    }

    pub(super) fn is_complete(self) -> bool {
        self == BodyDecoder::Complete
    }

    pub(super) fn ends_with_connection(self) -> bool {
        self == BodyDecoder::Close
    }

    /// How much is to come, where that is known.
    pub(super) fn remaining(self) -> Option<u64> {
        match self {
            BodyDecoder::Length(left) => Some(left),
            BodyDecoder::Complete => Some(0),
            _ => None,
        }
    }

    /// The next piece out of what was read; none where more must be read, or where it has ended.
    pub(super) fn decode(&mut self, unread: &mut BytesMut) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            if unread.is_empty() {
                return Ok(None);
            }
            match *self {
                BodyDecoder::Complete => return Ok(None),
                BodyDecoder::Close => return Ok(Some(unread.split().freeze())),
                BodyDecoder::Length(left) | BodyDecoder::Chunk(left) => {
                    let size = unread
                        .len()
                        .min(usize::try_from(left).unwrap_or(usize::MAX));
                    let left = left - size as u64;
                    *self = match *self {
                        BodyDecoder::Chunk(_) if left == 0 => BodyDecoder::ChunkEnd,
                        BodyDecoder::Chunk(_) => BodyDecoder::Chunk(left),
                        _ if left == 0 => BodyDecoder::Complete,
                        _ => BodyDecoder::Length(left),
                    };
                    return Ok(Some(unread.split_to(size).freeze()));
                }
                BodyDecoder::ChunkEnd => {
                    if unread.len() < 2 {
                        return Ok(None);
                    }
                    if &unread[..2] != b"\r\n" {
                        return Err(ExchangeError::Malformed);
                    }
                    unread.advance(2);
                    *self = BodyDecoder::ChunkSizeLine;
                }
                BodyDecoder::ChunkSizeLine => match httparse::parse_chunk_size(unread) {
                    Ok(httparse::Status::Complete((line, size))) => {
                        unread.advance(line);
                        *self = if size == 0 {
                            BodyDecoder::Trailers
                        } else {
                            BodyDecoder::Chunk(size)
                        };
                    }
                    Ok(httparse::Status::Partial) if unread.len() < HEAD => return Ok(None),
                    _ => return Err(ExchangeError::Malformed),
                },
                // Trailers are about the message itself and go no further.
                BodyDecoder::Trailers => match unread.iter().position(|byte| *byte == b'\n') {
                    Some(end) => {
                        let line = unread.split_to(end + 1);
                        if line.trim_ascii().is_empty() {
                            *self = BodyDecoder::Complete;
                        }
                    }
                    None if unread.len() < HEAD => return Ok(None),
                    None => return Err(ExchangeError::Malformed),
                },
            }
        }
    }
}

/// The head of an answer.
#[derive(Debug)]
pub(super) struct ResponseHead {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    framing: Framing,
    /// The server keeps the connection.
    pub(super) keep_alive: bool,
}

/// An answer on its way.
#[derive(Default)]
pub(super) struct ResponseReader {
    unread: BytesMut,
}

/// A body, read whole.
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
    /// It goes on: its beginning, and how the rest is to be read.
    Partial {
        first: Bytes,
        unwrapper: BodyDecoder,
    },
}

impl ResponseReader {
    /// Reads the head.
    pub(super) async fn read_head(
        &mut self,
        stream: &mut TcpStream,
    ) -> Result<ResponseHead, ExchangeError> {
        loop {
            while !self.unread.is_empty() {
                match parse(&mut self.unread)? {
                    Some(head) if !head.status.is_informational() => return Ok(head),
                    Some(head) if head.status == StatusCode::SWITCHING_PROTOCOLS => {
                        return Err(ExchangeError::Malformed);
                    }
                    Some(_) => {}
                    None if self.unread.len() >= HEAD => return Err(ExchangeError::Malformed),
                    None => break,
                }
            }
            if !self.more(stream, READ).await? {
                return Err(ExchangeError::Connection);
            }
        }
    }

    /// The body, if all of it is here already.
    pub(super) fn take_buffered_body(&mut self, head: &ResponseHead) -> Option<CompleteBody> {
        match head.framing {
            Framing::Length(length) if self.unread.len() >= length => {
                let body = self.unread.split_to(length).freeze();
                Some(self.end(head, body))
            }
            _ => None,
        }
    }

    /// Reads the body, as much of it as is taken whole.
    pub(super) async fn read_complete_body(
        &mut self,
        head: &ResponseHead,
        stream: &mut TcpStream,
    ) -> Result<CompleteBody, ExchangeError> {
        let never = std::future::pending::<()>;
        match self.read_body_start(head, stream, never(), never).await? {
            BodyRead::Complete(whole) => Ok(whole),
            BodyRead::Partial { .. } => Err(ExchangeError::Malformed),
        }
    }

    /// Reads the body whole, or so much of it as shows that it is too long for that, or as has come until `patience`
    /// ends: a body of unknown length may be a long one that comes slowly. One of which nothing comes until what `stalls`
    /// makes has ended is given up.
    pub(super) async fn read_body_start<S: Future<Output = ()>>(
        &mut self,
        head: &ResponseHead,
        stream: &mut TcpStream,
        patience: impl Future<Output = ()>,
        stalls: impl Fn() -> S,
    ) -> Result<BodyRead, ExchangeError> {
        let mut patience = std::pin::pin!(patience);
        let mut unwrapper = BodyDecoder::new(head.framing);
        let mut body = BytesMut::new();
        if matches!(head.framing, Framing::Length(length) if length > MAX_BUFFERED_BODY_BYTES) {
            return Ok(BodyRead::Partial {
                first: Bytes::new(),
                unwrapper,
            });
        }
        let mut impatient = false;
        loop {
            while let Some(piece) = unwrapper.decode(&mut self.unread)? {
                body.extend_from_slice(&piece);
            }
            if unwrapper.is_complete() {
                return Ok(BodyRead::Complete(self.end(head, body.freeze())));
            }
            if body.len() > MAX_BUFFERED_BODY_BYTES || (impatient && !body.is_empty()) {
                return Ok(BodyRead::Partial {
                    first: body.freeze(),
                    unwrapper,
                });
            }
            let wanted = unwrapper.remaining().map_or(READ, |left| left as usize);
            let mut at_end = true;
            let more = {
                let mut more = std::pin::pin!(self.more(stream, wanted));
                let mut stalled = std::pin::pin!(stalls());
                // Of a known length nothing is to be gained by passing on what is short.
                let known = matches!(head.framing, Framing::Length(_));
                poll_fn(|context| {
                    if let std::task::Poll::Ready(more) = more.as_mut().poll(context) {
                        return std::task::Poll::Ready(Some(more));
                    }
                    if !known && !impatient && patience.as_mut().poll(context).is_ready() {
                        return std::task::Poll::Ready(None);
                    }
                    stalled.as_mut().poll(context).map(|()| {
                        at_end = false;
                        Some(Ok(false))
                    })
                })
                .await
            };
            match more {
                None => impatient = true,
                Some(more) => {
                    if !more? {
                        // Where nothing but the end of the connection tells, a stall is no end.
                        return match unwrapper {
                            BodyDecoder::Close if at_end => {
                                Ok(BodyRead::Complete(self.end(head, body.freeze())))
                            }
                            _ => Err(ExchangeError::Connection),
                        };
                    }
                }
            }
        }
    }

    fn end(&self, head: &ResponseHead, body: Bytes) -> CompleteBody {
        // What comes behind an answer would be taken for the next one.
        CompleteBody {
            body,
            reusable: head.keep_alive && self.unread.is_empty(),
        }
    }

    /// What was read and not looked at, for whoever reads on.
    pub(super) fn into_unread(self) -> BytesMut {
        self.unread
    }

    /// Reads what there is; false at the end of the connection.
    async fn more(&mut self, stream: &mut TcpStream, wanted: usize) -> io::Result<bool> {
        // No room is made before there is something for it.
        poll_fn(|context| stream.poll_read_ready(context)).await?;
        let there = self.unread.len();
        let room = there + wanted.clamp(READ, MAX_BUFFERED_BODY_BYTES);
        let unread = &mut self.unread;
        poll_fn(|context| {
            // Without unsafe code the room must be zeroed before it is read into.
            unread.resize(room, 0);
            let mut buffer = ReadBuf::new(&mut unread[there..]);
            let read = Pin::new(&mut *stream).poll_read(context, &mut buffer);
            let count = buffer.filled().len();
            unread.truncate(there + count);
            read.map(|read| read.map(|()| count > 0))
        })
        .await
    }
}

/// What is about this message and this connection, and not about what it holds.
#[derive(Default)]
struct Frame {
    chunked: bool,
    length: Option<usize>,
    close: bool,
}

impl Frame {
    /// Takes in a header. False where it is to be passed on.
    fn take_in(&mut self, name: &HeaderName, value: &[u8]) -> Result<bool, ExchangeError> {
        if *name == header::CONTENT_LENGTH {
            let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
            let text = std::str::from_utf8(value).ok().filter(|_| digits);
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
            let mut words = value.split(|byte| *byte == b',');
            self.close |= words.any(|word| word.trim_ascii().eq_ignore_ascii_case(b"close"));
        }
        Ok(HOP_BY_HOP_HEADERS.contains(name))
    }

    fn framing(&self, status: StatusCode) -> Framing {
        let bare = status.is_informational()
            || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        match self.length {
            _ if bare => Framing::Length(0),
            _ if self.chunked => Framing::Chunked,
            Some(length) => Framing::Length(length),
            None => Framing::Close,
        }
    }
}

/// Takes a head from the beginning of what was read; none where it is not there whole.
fn parse(unread: &mut BytesMut) -> Result<Option<ResponseHead>, ExchangeError> {
    let mut headers = [const { std::mem::MaybeUninit::uninit() }; HEADERS];
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
    let newer = response.version == Some(1);
    let start = unread.as_ptr() as usize;
    let mut frame = Frame::default();
    // Names, and where the values stand, so that these need not be copied.
    let mut found: SmallVec<[(HeaderName, usize, usize); 12]> = SmallVec::new();
    for one in response.headers.iter() {
        let name =
            HeaderName::from_bytes(one.name.as_bytes()).map_err(|_| ExchangeError::Malformed)?;
        if !frame.take_in(&name, one.value)? {
            // That of an empty value need not lie here at all.
            let at = if one.value.is_empty() {
                0
            } else {
                one.value.as_ptr() as usize - start
            };
            found.push((name, at, one.value.len()));
        }
    }
    let bytes = unread.split_to(length).freeze();
    let mut headers = HeaderMap::with_capacity(found.len());
    for (name, at, length) in found {
        let value = HeaderValue::from_maybe_shared(bytes.slice(at..at + length));
        headers.append(name, value.map_err(|_| ExchangeError::Malformed)?);
    }
    let framing = frame.framing(status);
    let keep_alive = newer && framing != Framing::Close && !frame.close;
    Ok(Some(ResponseHead {
        status,
        headers,
        framing,
        keep_alive,
    }))
}
