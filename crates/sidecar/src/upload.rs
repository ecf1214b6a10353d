//! A client's body: kept whole where it fits, so that it can be sent again, or passed on as it comes.
//!
//! A body is kept up to [`KEPT`] bytes as long as all bodies together stay within what is set aside for them. Of a
//! longer one the beginning is kept, and the rest is read from the client as the server takes it: neither side is read
//! faster than the other is written. Once any of that rest has been read, the request cannot be sent again.

use super::limits::Held;
use super::listener::Listener;
use super::process_state::ProcessState;
use super::service::Service;
use super::virtual_server::{Reject, senseless};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap};
use madderloom_balancer::Micros;
use std::cell::{Cell, RefCell};

/// The longest body that is kept.
pub(super) const KEPT: usize = 1 << 20;
/// Before a longer one is passed on, so much of it is there.
const BEGINNING: usize = 16 << 10;
/// The slowest client, in bytes a second, and what it may lag behind that. Clients write 64,000 a second.
pub(super) const SLOWEST: u64 = 32_000;
pub(super) const LAG: Micros = 3_000_000;

const TOO_LONG: Reject = Reject::Senseless(
    StatusCode::PAYLOAD_TOO_LARGE,
    "the body is longer than this listener takes",
);

/// How long a body is, as its head tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Length {
    Known(u64),
    /// In chunks.
    Chunked,
}

impl Length {
    /// By the head of a request. Where it has both a length and chunks, one reader sees a request where another sees
    /// a body, so it is refused; hyper has refused several lengths that differ.
    pub(super) fn of(
        body: Option<&Incoming>,
        headers: &HeaderMap,
        most: usize,
    ) -> Result<Self, Reject> {
        let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
        if let Some(coding) = codings.next() {
            if headers.contains_key(header::CONTENT_LENGTH) {
                return Err(senseless(
                    "there are both a Content-Length and a Transfer-Encoding",
                ));
            }
            if codings.next().is_some()
                || !coding
                    .as_bytes()
                    .trim_ascii()
                    .eq_ignore_ascii_case(b"chunked")
            {
                return Err(senseless("the Transfer-Encoding is not just chunked"));
            }
            return Ok(Length::Chunked);
        }
        let size = body.and_then(|body| body.size_hint().exact());
        size.filter(|size| *size <= most as u64)
            .map(Length::Known)
            .ok_or(TOO_LONG)
    }
}

/// A client's body as it is read.
pub(super) struct Reader {
    body: Incoming,
    begun: Micros,
    read: u64,
    most: u64,
}

impl Reader {
    pub(super) fn new(process: &ProcessState, body: Incoming, most: usize) -> Self {
        Reader {
            body,
            begun: process.clock.now(),
            read: 0,
            most: most as u64,
        }
    }

    /// The next piece; none at the end. A client has its time by what it has sent.
    pub(super) async fn next(&mut self, process: &ProcessState) -> Result<Option<Bytes>, Reject> {
        loop {
            let until = self.begun + LAG + self.read.saturating_mul(1_000_000) / SLOWEST;
            let frame = match process.timeout_at(until, self.body.frame()).await {
                None => {
                    return Err(Reject::Senseless(
                        StatusCode::REQUEST_TIMEOUT,
                        "the body has not come",
                    ));
                }
                Some(None) => return Ok(None),
                Some(Some(Err(_))) => return Err(senseless("the body has broken off")),
                Some(Some(Ok(frame))) => frame,
            };
            // Trailers are about the message itself and go no further.
            let Ok(data) = frame.into_data() else {
                continue;
            };
            self.read += data.len() as u64;
            if self.read > self.most {
                return Err(TOO_LONG);
            }
            if !data.is_empty() {
                return Ok(Some(data));
            }
        }
    }

    /// The rest, of which nothing is wanted any more.
    pub(super) fn into_rest(self) -> Incoming {
        self.body
    }
}

/// A body as it goes to a server.
pub(super) enum Upload {
    /// All of it.
    Kept(Bytes),
    /// Its beginning, and the rest as it comes.
    Passing(Passing),
}

impl Upload {
    /// What is there of it.
    pub(super) fn at_hand(&self) -> &Bytes {
        match self {
            Upload::Kept(body) => body,
            Upload::Passing(passing) => &passing.beginning,
        }
    }

    pub(super) fn passing(&self) -> Option<&Passing> {
        match self {
            Upload::Kept(_) => None,
            Upload::Passing(passing) => Some(passing),
        }
    }
}

/// A body that is passed on as it comes.
pub(super) struct Passing {
    pub(super) length: Length,
    beginning: Bytes,
    /// In the hands of the attempt that sends it.
    rest: RefCell<Option<Reader>>,
    /// Something of the rest has been read: it can't be sent again.
    pub(super) spent: Cell<bool>,
    /// When its last byte had come.
    pub(super) whole: Cell<Option<Micros>>,
    /// Why it will never be whole.
    pub(super) broken: RefCell<Option<Reject>>,
}

impl Passing {
    /// The rest, for an attempt, where it can still be sent.
    pub(super) fn take(&self) -> Option<Reader> {
        if self.spent.get() {
            None
        } else {
            self.rest.take()
        }
    }

    /// Whether an attempt could send it.
    pub(super) fn can_be_sent(&self) -> bool {
        // Behind the error of a body that broke off comes what looks like its end.
        !self.spent.get() && self.broken.borrow().is_none() && self.rest.borrow().is_some()
    }

    /// An attempt has ended before it had sent it all.
    pub(super) fn give_back(&self, reader: Reader) {
        self.rest.replace(Some(reader));
    }

    /// What nobody has read and nobody will.
    pub(super) fn unread(&self) -> Option<Incoming> {
        self.rest.take().map(Reader::into_rest)
    }
}

/// What a body takes of the room for all bodies together.
pub(super) type Room = Vec<[Held; 2]>;

/// Reads a body whole where it fits, else its beginning. `room` gets what it takes. One that is turned away before it
/// was read is left where it is.
pub(super) async fn take(
    listener: &Listener,
    service: &Service,
    body: &mut Option<Incoming>,
    length: Length,
    most: usize,
    room: &mut Room,
) -> Result<Upload, Reject> {
    let process = &listener.process;
    let mut kept = BytesMut::new();
    // Where it is known to be too long to be kept, no more is than its beginning.
    let (fits, mut held) = match length {
        Length::Known(0) => return Ok(Upload::Kept(Bytes::new())),
        Length::Known(size) if size <= KEPT as u64 => {
            let fits = hold(listener, service, size, room);
            // An operator file's limits on bodies turn away what finds no room.
            if !fits && listener.manner.get().drains {
                return Err(Reject::Refused("too much is open", service.retry_after()));
            }
            (fits, size as usize)
        }
        Length::Known(_) => (false, 0),
        Length::Chunked => (true, 0),
    };
    let Some(body) = body.take() else {
        return Ok(Upload::Kept(Bytes::new()));
    };
    let mut reader = Reader::new(process, body, most);
    loop {
        let Some(piece) = reader.next(process).await? else {
            return Ok(Upload::Kept(kept.freeze()));
        };
        let size = kept.len() + piece.len();
        if fits && size > held && size <= KEPT {
            // Chunks tell nothing of what is to come: room is made as they do.
            let more = size.next_power_of_two().max(BEGINNING) - held;
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
            kept.len() >= BEGINNING
        };
        if enough && !matches!(length, Length::Known(size) if size == kept.len() as u64) {
            let passing = Passing {
                length,
                beginning: kept.freeze(),
                rest: RefCell::new(Some(reader)),
                spent: Cell::new(false),
                whole: Cell::new(None),
                broken: RefCell::default(),
            };
            return Ok(Upload::Passing(passing));
        }
    }
}

fn hold(listener: &Listener, service: &Service, size: u64, room: &mut Room) -> bool {
    let held = service
        .allowance
        .room_for(size)
        .and_then(|own| Some([own, listener.allowance.room_for(size)?]));
    held.map(|held| room.push(held)).is_some()
}
