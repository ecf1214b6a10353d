//! Servers that read a request and write its response at the pace that the request asks for in a header, and record when they
//! wrote what.

use crate::lock;
use crate::peer::{Conn, LAST_CHUNK, Message, ScriptedServer, chunk, serve_connections};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The header with the [`Pace`] of a request's response.
pub const PACE_HEADER: &str = "X-Pace";
/// A server that reads slowly reads once in this time.
const READ_STEP: Duration = Duration::from_millis(10);

/// How a response states where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// `Content-Length`.
    Length,
    /// Chunked transfer coding.
    Chunks,
    /// The end of the connection.
    Close,
}

impl BodyFraming {
    /// Every framing.
    pub const ALL: [BodyFraming; 3] =
        [BodyFraming::Length, BodyFraming::Chunks, BodyFraming::Close];

    /// The head of a response 200 with a body of this many bytes.
    pub fn head(self, length: usize) -> String {
        let framing = match self {
            BodyFraming::Length => format!("Content-Length: {length}\r\n"),
            BodyFraming::Chunks => "Transfer-Encoding: chunked\r\n".to_string(),
            BodyFraming::Close => String::new(),
        };
        format!("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n{framing}\r\n")
    }

    /// These bytes as a piece of the body.
    pub fn piece(self, bytes: &[u8]) -> Vec<u8> {
        match self {
            BodyFraming::Chunks => chunk(bytes),
            BodyFraming::Length | BodyFraming::Close => bytes.to_vec(),
        }
    }

    /// What follows the last piece on the connection.
    pub fn end(self) -> &'static [u8] {
        match self {
            BodyFraming::Chunks => LAST_CHUNK,
            BodyFraming::Length | BodyFraming::Close => b"",
        }
    }
}

/// A piece of a response body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Piece {
    /// How long after the previous piece, or the head, it is written.
    pub after: Duration,
    /// Its length in bytes.
    pub bytes: usize,
}

/// The pace of one exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pace {
    /// How the response states where its body ends.
    pub framing: BodyFraming,
    /// Bytes of the request body that the server reads in a second; `None` reads without a pause.
    pub read_rate: Option<usize>,
    /// How long after the request's last byte the head of the response is written.
    pub head_after: Duration,
    /// The body. Without any piece, the server stays silent behind the head.
    pub pieces: Vec<Piece>,
}

impl Pace {
    /// A response of these pieces, each written so many milliseconds after the one before it, with its head after `head_ms`.
    pub fn new(framing: BodyFraming, head_ms: u64, pieces: &[(u64, usize)]) -> Self {
        let piece = |(after_ms, bytes): &(u64, usize)| Piece {
            after: Duration::from_millis(*after_ms),
            bytes: *bytes,
        };
        Pace {
            framing,
            read_rate: None,
            head_after: Duration::from_millis(head_ms),
            pieces: pieces.iter().map(piece).collect(),
        }
    }

    /// The header line that asks for it.
    pub fn header(&self) -> String {
        format!("{PACE_HEADER}: {self}\r\n")
    }

    /// The complete body.
    pub fn body(&self) -> Vec<u8> {
        (0..self.body_length()).map(body_byte).collect()
    }

    /// Length of the complete body in bytes.
    pub fn body_length(&self) -> usize {
        self.pieces.iter().map(|piece| piece.bytes).sum()
    }
}

/// The byte of a body at this offset. A piece that is missing or repeated shows.
fn body_byte(offset: usize) -> u8 {
    b'a' + ((offset / 7 + offset) % 26) as u8
}

impl fmt::Display for Pace {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let framing = self.framing as usize;
        let read_rate = self.read_rate.unwrap_or(0);
        write!(
            formatter,
            "{framing} {read_rate} {}",
            self.head_after.as_millis()
        )?;
        self.pieces
            .iter()
            .try_for_each(|piece| write!(formatter, " {} {}", piece.after.as_millis(), piece.bytes))
    }
}

/// A header that holds no [`Pace`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidPace;

impl FromStr for Pace {
    type Err = InvalidPace;

    fn from_str(text: &str) -> Result<Self, InvalidPace> {
        let numbers: Result<Vec<usize>, _> = text.split(' ').map(str::parse).collect();
        let numbers = numbers.map_err(|_| InvalidPace)?;
        let [framing, read_rate, head_ms, pieces @ ..] = &numbers[..] else {
            return Err(InvalidPace);
        };
        let framing = BodyFraming::ALL.get(*framing).ok_or(InvalidPace)?;
        let pieces: Vec<(u64, usize)> = pieces
            .chunks_exact(2)
            .map(|piece| (piece[0] as u64, piece[1]))
            .collect();
        Ok(Pace {
            read_rate: (*read_rate > 0).then_some(*read_rate),
            ..Pace::new(*framing, *head_ms as u64, &pieces)
        })
    }
}

/// What the servers saw of one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExchangeRecord {
    /// How often it was read completely.
    pub runs: u32,
    /// When the last head of a response to it was written.
    pub head_written_at: Option<Instant>,
    /// When the first piece of the latest response was written.
    pub first_piece_at: Option<Instant>,
    /// When the last piece of the latest response was written.
    pub last_piece_at: Option<Instant>,
}

/// Servers that keep to the pace in [`PACE_HEADER`], with a thread for each connection. They answer other requests at once.
pub struct PacedServers {
    /// Where they listen.
    pub addresses: Vec<SocketAddr>,
    records: Records,
}

/// By the `X-Trace-Id` of the request.
type Records = Arc<Mutex<BTreeMap<String, ExchangeRecord>>>;

impl PacedServers {
    /// Starts this many. They end with the test's process.
    pub fn start(count: usize) -> Self {
        let mut addresses = Vec::new();
        let records = Records::default();
        for _ in 0..count {
            let server = ScriptedServer::new();
            addresses.push(server.address());
            let records = Arc::clone(&records);
            serve_connections(server, move |conn| {
                conn.set_nodelay();
                let records = Arc::clone(&records);
                let mut connection = PacedConnection { conn, records };
                while connection.serve_one() {}
            });
        }
        PacedServers { addresses, records }
    }

    /// What they saw of the request with this id.
    pub fn record(&self, id: &str) -> ExchangeRecord {
        lock(&self.records).get(id).copied().unwrap_or_default()
    }
}

struct PacedConnection {
    conn: Conn,
    records: Records,
}

impl PacedConnection {
    /// Serves one request. Whether the connection stays open.
    fn serve_one(&mut self) -> bool {
        let Some(mut message) = self.conn.read_head() else {
            return false;
        };
        let pace = message.header(PACE_HEADER).map(str::parse::<Pace>);
        let pace = match pace {
            Some(pace) => pace.expect("a pace"),
            None => Pace::new(BodyFraming::Length, 0, &[(0, 4)]),
        };
        if !self.read_body(&mut message, pace.read_rate) {
            return false;
        }
        let id = message.header("x-trace-id").unwrap_or_default().to_string();
        self.note(&id, |record| record.runs += 1);
        self.answer(&id, &pace)
    }

    /// Reads the body of a request. Whether it came completely.
    fn read_body(&mut self, message: &mut Message, read_rate: Option<usize>) -> bool {
        let Some(rate) = read_rate else {
            return self.conn.read_body(message).is_some();
        };
        let length = message.header("content-length");
        let mut left: usize = length
            .expect("a slow reader needs a length")
            .parse()
            .expect("a length");
        let step_bytes = (rate as f64 * READ_STEP.as_secs_f64()) as usize;
        while left > 0 {
            std::thread::sleep(READ_STEP);
            let count = self.conn.skip_some(step_bytes.clamp(1, left));
            if count == 0 {
                return false;
            }
            left -= count;
        }
        true
    }

    /// Writes the response. Whether the connection stays open.
    fn answer(&mut self, id: &str, pace: &Pace) -> bool {
        std::thread::sleep(pace.head_after);
        self.note(id, |record| {
            *record = ExchangeRecord {
                runs: record.runs,
                head_written_at: Some(Instant::now()),
                ..ExchangeRecord::default()
            };
        });
        // Without a piece the body is announced and never comes.
        let head = pace.framing.head(pace.body_length().max(1));
        if !self.conn.try_write(head.as_bytes()) {
            return false;
        }
        if pace.pieces.is_empty() {
            return true;
        }
        if !self.write_body(id, pace) {
            return false;
        }
        let now = Instant::now();
        self.note(id, |record| record.last_piece_at = Some(now));
        pace.framing != BodyFraming::Close
    }

    /// Writes the body of a response. Whether the peer has accepted all of it.
    fn write_body(&mut self, id: &str, pace: &Pace) -> bool {
        let body = pace.body();
        let mut unwritten = &body[..];
        for piece in &pace.pieces {
            std::thread::sleep(piece.after);
            let (bytes, rest) = unwritten.split_at(piece.bytes);
            unwritten = rest;
            if !self.conn.try_write(&pace.framing.piece(bytes)) {
                return false;
            }
            let now = Instant::now();
            self.note(id, |record| {
                record.first_piece_at.get_or_insert(now);
            });
        }
        self.conn.try_write(pace.framing.end())
    }

    fn note(&self, id: &str, change: impl FnOnce(&mut ExchangeRecord)) {
        change(lock(&self.records).entry(id.to_string()).or_default());
    }
}
