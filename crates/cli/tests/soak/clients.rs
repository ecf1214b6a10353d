//! Clients that send one request after another for as long as their connection stays open, leave some of them, and a crowd that
//! stops within its requests.

use crate::rig::{LAST_CHUNK, chunked_body, head_with_framing, request_with};
use crate::servers::UPLOAD_HEADER;
use oorandom::Rand32;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// How long an answer is awaited behind its time.
const PATIENCE: Duration = Duration::from_secs(5);
/// How long a client waits before it connects again.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A complete answer.
    Answered { status: u16, has_retry_after: bool },
    /// An answer that has begun, and visibly is not whole.
    BrokenOff,
    /// The connection ended with no byte of an answer.
    NoAnswer,
    /// No answer came for long behind its time.
    TimedOut,
    /// The client closed its connection.
    Left { at: Instant },
    /// The connection ended before the request was written whole.
    NotWritten,
}

/// A request, and what became of it.
#[derive(Clone, Debug)]
pub struct Asked {
    pub id: String,
    pub non_idempotent: bool,
    pub time_left: Duration,
    /// When its last byte was written.
    pub written_at: Instant,
    /// When the first byte of the answer came, or the connection ended.
    pub ended_at: Instant,
    pub end: End,
    /// The answer is that of a server to this request.
    pub is_own: bool,
}

impl Asked {
    pub fn lateness(&self) -> Duration {
        let took = self.ended_at.saturating_duration_since(self.written_at);
        took.saturating_sub(self.time_left)
    }
}

/// One client.
pub struct Client {
    address: SocketAddr,
    random: Rand32,
    /// Begins the ids of its requests.
    name: String,
    may_connect: Arc<AtomicBool>,
    stream: Option<TcpStream>,
    asked: Vec<Asked>,
}

impl Client {
    pub fn new(address: SocketAddr, seed: u64, number: u64, may_connect: Arc<AtomicBool>) -> Self {
        Client {
            address,
            random: Rand32::new(seed * 100 + number),
            name: format!("{seed}-{number}"),
            may_connect,
            stream: None,
            asked: Vec::new(),
        }
    }

    /// Sends requests until it may not connect any more and its connection has ended.
    pub fn run(mut self) -> Vec<Asked> {
        loop {
            if self.stream.is_none() {
                if !self.may_connect.load(Ordering::Relaxed) {
                    return self.asked;
                }
                self.stream = TcpStream::connect(self.address).ok();
            }
            let Some(stream) = self.stream.take() else {
                std::thread::sleep(RECONNECT_DELAY);
                continue;
            };
            self.stream = self.ask(stream);
            let pause = u64::from(self.random.rand_range(0..40));
            std::thread::sleep(Duration::from_millis(pause));
        }
    }

    /// Sends one request. The connection, if it stays open.
    fn ask(&mut self, mut stream: TcpStream) -> Option<TcpStream> {
        let id = format!("{}-{}", self.name, self.asked.len());
        let class = ["submit-check", "recheck"][self.random.rand_range(0..2) as usize];
        let time_left_ms = u64::from(self.random.rand_range(300..1_500));
        let time_left = Duration::from_millis(time_left_ms);
        let message = self.message(&id, class, time_left_ms);
        let leaves = self.random.rand_range(0..20) == 0;
        let written = stream.write_all(&message);
        let written_at = Instant::now();
        let mut asked = Asked {
            id,
            non_idempotent: class == "submit-check",
            time_left,
            written_at,
            ended_at: written_at,
            end: End::NotWritten,
            is_own: false,
        };
        let stays_open = if leaves {
            let wait = u64::from(self.random.rand_range(0..80));
            std::thread::sleep(Duration::from_millis(wait));
            drop(stream);
            asked.end = End::Left { at: Instant::now() };
            None
        } else {
            // An answer may come before all of the request was written.
            let answer = Answer::read(&mut stream, time_left + PATIENCE);
            asked.ended_at = answer.first_byte_at.unwrap_or_else(Instant::now);
            asked.is_own = answer.body.starts_with(asked.id.as_bytes());
            asked.end = match answer.end {
                End::NoAnswer if written.is_err() => End::NotWritten,
                end => end,
            };
            let keeps = matches!(asked.end, End::Answered { .. }) && !answer.closes;
            (keeps && written.is_ok()).then_some(stream)
        };
        self.asked.push(asked);
        stays_open
    }

    fn message(&mut self, id: &str, class: &str, time_left_ms: u64) -> Vec<u8> {
        let body = |length: u32| vec![b'x'; length as usize];
        let head = |framing: String| {
            let header = format!("{UPLOAD_HEADER}: 1\r\n");
            let request = request_with(id, class, time_left_ms, &header);
            head_with_framing(&request, &framing).into_bytes()
        };
        match self.random.rand_range(0..10) {
            0 => {
                let length = self.random.rand_range(20_000..1_500_000);
                [head(format!("Content-Length: {length}")), body(length)].concat()
            }
            1 => {
                let length = self.random.rand_range(20_000..2_000_000);
                let chunks = chunked_body(&body(length));
                [head("Transfer-Encoding: chunked".to_string()), chunks].concat()
            }
            _ => request_with(id, class, time_left_ms, "").into_bytes(),
        }
    }
}

/// What was read of an answer.
struct Answer {
    end: End,
    body: Vec<u8>,
    first_byte_at: Option<Instant>,
    /// It ends its connection.
    closes: bool,
}

impl Answer {
    fn read(stream: &mut TcpStream, patience: Duration) -> Self {
        let started_at = Instant::now();
        let mut answer = Answer {
            end: End::NoAnswer,
            body: Vec::new(),
            first_byte_at: None,
            closes: false,
        };
        let (mut bytes, mut buffer) = (Vec::new(), [0; 16 << 10]);
        loop {
            let left = patience.saturating_sub(started_at.elapsed());
            // An answer that has begun goes on at its server's pace.
            let left = left.max(Duration::from_millis(if bytes.is_empty() {
                1
            } else {
                2_000
            }));
            stream.set_read_timeout(Some(left)).expect("reads end");
            match stream.read(&mut buffer) {
                Ok(count @ 1..) => bytes.extend_from_slice(&buffer[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    answer.end = End::TimedOut;
                    return answer;
                }
                _ if bytes.is_empty() => return answer,
                _ => {
                    answer.end = End::BrokenOff;
                    return answer;
                }
            }
            answer.first_byte_at.get_or_insert_with(Instant::now);
            if answer.parse(&bytes) {
                return answer;
            }
        }
    }

    /// Whether the answer is complete.
    fn parse(&mut self, bytes: &[u8]) -> bool {
        let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else {
            return false;
        };
        let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
        let body = &bytes[end + 4..];
        let field = |name: &str| {
            let lines = head.lines();
            lines
                .filter_map(|line| line.split_once(": "))
                .find(|(field, _)| *field == name)
        };
        let complete = match field("content-length") {
            Some((_, length)) => {
                self.body = body.to_vec();
                body.len() >= length.parse().expect("a length")
            }
            None => {
                self.body = body
                    .iter()
                    .skip_while(|byte| **byte != b'\n')
                    .skip(1)
                    .copied()
                    .collect();
                body.ends_with(LAST_CHUNK)
            }
        };
        let status = head
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok());
        self.closes = field("connection").is_some_and(|(_, value)| value == "close");
        self.end = End::Answered {
            status: status.expect("a status"),
            has_retry_after: field("retry-after").is_some(),
        };
        complete
    }
}

/// Clients that stop within a head or a body, and stay until the process ends their connections.
pub struct Crowd {
    _streams: Vec<TcpStream>,
}

impl Crowd {
    pub fn start(address: SocketAddr, count: usize, seed: u64) -> Self {
        let mut random = Rand32::new(seed + 7);
        let streams = (0..count).filter_map(|number| {
            let mut stream = TcpStream::connect(address).ok()?;
            stream.set_nonblocking(true).ok()?;
            let id = format!("{seed}-crowd-{number}");
            let text = request_with(&id, "recheck", 900, "");
            let message = match random.rand_range(0..3) {
                0 => text.into_bytes()[..40].to_vec(),
                1 => text.into_bytes()[..120].to_vec(),
                _ => {
                    let head = head_with_framing(&text, "Content-Length: 200000");
                    [head.into_bytes(), vec![b'x'; 60_000]].concat()
                }
            };
            // What the buffers hold of it is enough.
            let _ = stream.write(&message);
            Some(stream)
        });
        Crowd {
            _streams: streams.collect(),
        }
    }
}
