//! Servers that serve most requests, and hang, break, stop reading or answer slowly with the others.

use crate::rig::{Conn, LAST_CHUNK, ScriptedServer, chunk};
use oorandom::Rand32;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Marks a request with a long body.
pub const UPLOAD_HEADER: &str = "X-Upload";
/// What a server that stops reading has read of a long body.
const READ_BEFORE_STOP_BYTES: usize = 11_000;
const SLOW_PIECES: u32 = 4;
const SLOW_PIECE_BYTES: usize = 2_000;
/// How long a server keeps a connection on which it does nothing.
const MAX_HANG: Duration = Duration::from_secs(4);

/// What a server does with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behavior {
    Serve,
    ServeAfter(Duration),
    /// Answers in pieces, so far apart.
    AnswerSlowly(Duration),
    /// Writes the head of an answer, and nothing behind it.
    WriteHeadAlone,
    /// Ends the connection once it has the request.
    Leave,
    Hang,
    /// Reads no more of a long body.
    StopReading,
    /// Says that it does not run the request.
    Refuse,
}

impl Behavior {
    fn draw(random: &mut Rand32) -> Self {
        let delay = Duration::from_millis(u64::from(random.rand_range(5..100)));
        match random.rand_range(0..100) {
            0..60 => Behavior::Serve,
            60..80 => Behavior::ServeAfter(delay),
            80..86 => Behavior::AnswerSlowly(3 * delay),
            86..89 => Behavior::WriteHeadAlone,
            89..92 => Behavior::Leave,
            92..94 => Behavior::Hang,
            94..97 => Behavior::StopReading,
            _ => Behavior::Refuse,
        }
    }
}

/// What the servers saw of the request with one id.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// When each attempt's head had come.
    pub attempts: Vec<Instant>,
    /// How often it was read whole, and not refused.
    pub runs: u32,
}

pub type SeenById = BTreeMap<String, Seen>;

/// Servers with a thread for each connection.
pub struct Servers {
    pub addresses: Vec<SocketAddr>,
    seen: Arc<Mutex<SeenById>>,
    stop: Arc<AtomicBool>,
    accepting: Vec<JoinHandle<()>>,
}

impl Servers {
    pub fn start(count: usize, seed: u64) -> Self {
        let (seen, stop) = (
            Arc::<Mutex<SeenById>>::default(),
            Arc::<AtomicBool>::default(),
        );
        let (mut addresses, mut accepting) = (Vec::new(), Vec::new());
        for number in 0..count {
            let server = ScriptedServer::new();
            addresses.push(server.address());
            let (seen, stop) = (Arc::clone(&seen), Arc::clone(&stop));
            let seed = seed * 1_000 + number as u64;
            accepting.push(std::thread::spawn(move || {
                accept_until_stopped(&server, seed, &seen, &stop);
            }));
        }
        Servers {
            addresses,
            seen,
            stop,
            accepting,
        }
    }

    /// Stops them, and returns what they saw.
    pub fn stop(self) -> SeenById {
        self.stop.store(true, Ordering::Relaxed);
        for server in self.accepting {
            server.join().expect("it ends");
        }
        let seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        seen.clone()
    }
}

fn accept_until_stopped(
    server: &ScriptedServer,
    seed: u64,
    seen: &Arc<Mutex<SeenById>>,
    stop: &Arc<AtomicBool>,
) {
    let mut connections = 0;
    while !stop.load(Ordering::Relaxed) {
        let Some(conn) = server.try_accept() else {
            std::thread::sleep(Duration::from_millis(1));
            continue;
        };
        connections += 1;
        let (seen, stop) = (Arc::clone(seen), Arc::clone(stop));
        let random = Rand32::new(seed * 10_000 + connections);
        std::thread::spawn(move || {
            let mut connection = Connection { conn, seen, stop };
            connection.serve(random);
        });
    }
}

struct Connection {
    conn: Conn,
    seen: Arc<Mutex<SeenById>>,
    stop: Arc<AtomicBool>,
}

impl Connection {
    fn serve(&mut self, mut random: Rand32) {
        while let Some(mut message) = self.conn.read_head() {
            let id = message.header("x-trace-id").unwrap_or_default().to_string();
            self.note(&id, |seen| seen.attempts.push(Instant::now()));
            let behavior = Behavior::draw(&mut random);
            if behavior == Behavior::StopReading && message.header(UPLOAD_HEADER).is_some() {
                self.conn.skip_available(READ_BEFORE_STOP_BYTES);
                return self.hang();
            }
            if self.conn.read_body(&mut message).is_none() {
                return;
            }
            if behavior != Behavior::Refuse {
                self.note(&id, |seen| seen.runs += 1);
            }
            if !self.answer(behavior, &id) {
                return;
            }
        }
    }

    fn note(&self, id: &str, change: impl FnOnce(&mut Seen)) {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        change(seen.entry(id.to_string()).or_default());
    }

    /// Answers a request with its id. Whether the connection stays open.
    fn answer(&mut self, behavior: Behavior, id: &str) -> bool {
        match behavior {
            Behavior::Serve | Behavior::StopReading => self.respond("200 OK", id),
            Behavior::ServeAfter(delay) => {
                std::thread::sleep(delay);
                self.respond("200 OK", id);
            }
            Behavior::Refuse => self.respond("503 Busy\r\nX-Never-Ran: 1", ""),
            Behavior::AnswerSlowly(pause) => self.answer_slowly(pause, id),
            Behavior::WriteHeadAlone => {
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                self.conn.write_repeatedly(head.as_bytes().to_vec(), 1);
                self.hang();
                return false;
            }
            Behavior::Hang => {
                self.hang();
                return false;
            }
            Behavior::Leave => return false,
        }
        true
    }

    fn respond(&mut self, status: &str, body: &str) {
        let length = body.len();
        let answer = format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}");
        self.conn.write_repeatedly(answer.into_bytes(), 1);
    }

    /// The id comes first, and pieces of filling behind it.
    fn answer_slowly(&mut self, pause: Duration, id: &str) {
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        self.conn.write_repeatedly(head.as_bytes().to_vec(), 1);
        self.conn.write_repeatedly(chunk(id.as_bytes()), 1);
        for _ in 0..SLOW_PIECES {
            std::thread::sleep(pause);
            self.conn
                .write_repeatedly(chunk(&[b' '; SLOW_PIECE_BYTES]), 1);
        }
        self.conn.write_repeatedly(LAST_CHUNK.to_vec(), 1);
    }

    fn hang(&self) {
        let started_at = Instant::now();
        while !self.stop.load(Ordering::Relaxed) && started_at.elapsed() < MAX_HANG {
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}
