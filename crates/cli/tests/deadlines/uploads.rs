//! Large uploads to servers that read slowly or stop reading, alone and in crowds, with small requests beside them.

use crate::LOST_AFTER;
use crate::rig::{Conn, Options, ScriptedServer, Sidecar};
use crate::rig::{chunked_body, head_with_framing, request, until};
use madderloom_fault_testing::number_from_env;
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// What a server reads of an upload before it slows down.
const READ_AT_ONCE_BYTES: usize = 11_000;
/// A server that reads slowly reads in steps of this length.
const READ_STEP: Duration = Duration::from_millis(50);
const SERVERS: usize = 3;
/// The time of an upload's client.
const MIN_TIME_LEFT_MS: u32 = 600;
const MAX_TIME_LEFT_MS: u32 = 850;
/// The time of the clients of small requests, and the pause between two of them.
const SMALL_TIME_LEFT_MS: u64 = 900;
const SMALL_PAUSE: Duration = Duration::from_millis(25);
/// Time for the last uploads to begin before SIGTERM.
const BEFORE_TERMINATION: Duration = Duration::from_millis(150);
/// How long an answer is awaited behind its time.
const PATIENCE: Duration = Duration::from_secs(6);
/// Marks an upload for the servers.
const UPLOAD_HEADER: &str = "X-Upload";

/// Crowds are not to disturb each other.
static ONE_CROWD: Mutex<()> = Mutex::new(());

/// How a request states the length of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunks,
}

/// Uploads to make, and the servers that get them.
#[derive(Clone, Copy, Debug)]
struct Crowd {
    uploads: u32,
    /// Between the starts of two.
    interval: Duration,
    framing: Framing,
    min_bytes: u32,
    max_bytes: u32,
    /// How many of the servers slow down.
    slow_servers: usize,
    /// How fast these read then.
    bytes_per_second: usize,
    memory_mb: usize,
    signal: Option<Signal>,
}

/// The signals that the process gets while the uploads go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Signal {
    /// SIGHUP after each upload.
    Reload,
    /// SIGTERM when the last upload has begun.
    Terminate,
}

/// 200 uploads of 1 to 2 MB, one each 20 ms, to servers of which none reads them.
const CROWD: Crowd = Crowd {
    uploads: 200,
    interval: Duration::from_millis(20),
    framing: Framing::Chunks,
    min_bytes: 1_000_000,
    max_bytes: 2_000_000,
    slow_servers: SERVERS,
    bytes_per_second: 0,
    memory_mb: 32,
    signal: None,
};

/// A request and what became of it.
#[derive(Clone, Copy, Debug)]
struct Asked {
    /// 0 without an answer.
    status: u16,
    /// The answer says when to come back.
    has_retry_after: bool,
    /// From its last byte to its final answer, or to the end of its connection.
    took: Duration,
    time_left: Duration,
}

impl Asked {
    fn is_lost(&self) -> bool {
        self.status == 0 || self.lateness() > LOST_AFTER
    }

    fn lateness(&self) -> Duration {
        self.took.saturating_sub(self.time_left)
    }

    /// It was rejected without a `Retry-After`.
    fn is_without_advice(&self) -> bool {
        self.status == 503 && !self.has_retry_after
    }
}

/// Awaits the answer on this connection to a request of which the last byte has just been written.
fn answer_of(mut stream: TcpStream, time_left: Duration) -> Asked {
    let written_at = Instant::now();
    stream
        .set_read_timeout(Some(time_left + PATIENCE))
        .expect("reads end");
    let (status, has_retry_after) = read_answer(&mut stream).unwrap_or((0, false));
    Asked {
        status,
        has_retry_after,
        took: written_at.elapsed(),
        time_left,
    }
}

/// The status of a complete answer with a length, and whether it says when to come back.
fn read_answer(stream: &mut TcpStream) -> Option<(u16, bool)> {
    let (mut bytes, mut buffer) = (Vec::new(), [0; 1_024]);
    loop {
        let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
        bytes.extend_from_slice(&buffer[..count]);
        let text = std::str::from_utf8(&bytes).ok()?;
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let head = head.to_ascii_lowercase();
        let length: usize = head
            .split("content-length: ")
            .nth(1)?
            .lines()
            .next()?
            .parse()
            .ok()?;
        if body.len() >= length {
            let status = head.split(' ').nth(1)?.parse().ok()?;
            return Some((status, head.contains("\r\nretry-after: ")));
        }
    }
}

/// An upload of so many bytes.
fn message(class: &str, framing: Framing, length: usize, time_left_ms: u32) -> Vec<u8> {
    let body = vec![b'x'; length];
    let head = |framing: &str| {
        let header = format!("{UPLOAD_HEADER}: 1\r\n");
        let request = request(class, u64::from(time_left_ms), &header);
        head_with_framing(&request, framing).into_bytes()
    };
    match framing {
        Framing::Length => [head(&format!("Content-Length: {length}")), body].concat(),
        Framing::Chunks => {
            let head = head("Transfer-Encoding: chunked");
            [head, chunked_body(&body)].concat()
        }
    }
}

/// Makes one upload, written at once.
fn upload(
    address: SocketAddr,
    class: &str,
    crowd: &Crowd,
    (length, time_left_ms): (u32, u32),
    connected: &AtomicU32,
) -> Asked {
    let message = message(class, crowd.framing, length as usize, time_left_ms);
    let mut stream = TcpStream::connect(address).expect("it accepts");
    connected.fetch_add(1, Ordering::Relaxed);
    // An answer may come, and the connection end, before all is written.
    let _ = stream.write_all(&message);
    answer_of(stream, Duration::from_millis(u64::from(time_left_ms)))
}

/// Serves small requests at once, and reads of an upload [`READ_AT_ONCE_BYTES`] and then so many bytes a second.
fn start_server(bytes_per_second: Option<usize>, stop: Arc<AtomicBool>) -> SocketAddr {
    let server = ScriptedServer::new();
    let address = server.address();
    std::thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            match server.try_accept() {
                Some(conn) => {
                    let stop = Arc::clone(&stop);
                    std::thread::spawn(move || serve_connection(conn, bytes_per_second, &stop));
                }
                None => std::thread::sleep(Duration::from_millis(1)),
            }
        }
    });
    address
}

fn serve_connection(mut conn: Conn, bytes_per_second: Option<usize>, stop: &AtomicBool) {
    while let Some(mut message) = conn.read_head() {
        if let Some(bytes_per_second) = bytes_per_second
            && message.header(UPLOAD_HEADER).is_some()
        {
            conn.skip_available(READ_AT_ONCE_BYTES);
            let step_bytes = bytes_per_second * READ_STEP.as_millis() as usize / 1_000;
            while !stop.load(Ordering::Relaxed) {
                std::thread::sleep(READ_STEP);
                conn.skip_available(step_bytes);
            }
            return;
        }
        if conn.read_body(&mut message).is_none() {
            return;
        }
        conn.write_repeatedly(
            b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmade".to_vec(),
            1,
        );
    }
}

/// Asks for something small again and again, each time on a connection of its own, until `stop` is set.
fn ask_small(address: SocketAddr, stop: &AtomicBool) -> Vec<Asked> {
    let time_left = Duration::from_millis(SMALL_TIME_LEFT_MS);
    let mut asked = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let mut stream = TcpStream::connect(address).expect("it accepts");
        let _ = stream.write_all(request("recheck", SMALL_TIME_LEFT_MS, "").as_bytes());
        asked.push(answer_of(stream, time_left));
        std::thread::sleep(SMALL_PAUSE);
    }
    asked
}

/// What became of the uploads and of the small requests beside them.
struct Outcome {
    uploads: Vec<Asked>,
    small: Vec<Asked>,
}

impl Crowd {
    fn run(&self, seed: u64) -> Outcome {
        let mut random = oorandom::Rand32::new(seed);
        let servers_stop = Arc::new(AtomicBool::new(false));
        let servers: Vec<SocketAddr> = (0..SERVERS)
            .map(|index| {
                let pace = (index < self.slow_servers).then_some(self.bytes_per_second);
                start_server(pace, Arc::clone(&servers_stop))
            })
            .collect();
        let options = Options {
            memory_mb: self.memory_mb,
            ..Options::default()
        };
        let sidecar = Sidecar::with(&servers, options);
        let address = sidecar.address;
        let stop = Arc::new(AtomicBool::new(false));
        let small_stop = Arc::clone(&stop);
        let small = std::thread::spawn(move || ask_small(address, &small_stop));
        let crowd = *self;
        let connected = Arc::new(AtomicU32::new(0));
        let uploads: Vec<_> = (0..self.uploads)
            .map(|number| {
                let class = if number % 2 == 0 {
                    "submit-check"
                } else {
                    "recheck"
                };
                let length = random.rand_range(self.min_bytes..self.max_bytes + 1);
                let time_left_ms = random.rand_range(MIN_TIME_LEFT_MS..MAX_TIME_LEFT_MS + 1);
                std::thread::sleep(self.interval);
                if self.signal == Some(Signal::Reload) {
                    sidecar.signal("HUP");
                }
                let connected = Arc::clone(&connected);
                std::thread::spawn(move || {
                    upload(address, class, &crowd, (length, time_left_ms), &connected)
                })
            })
            .collect();
        if self.signal == Some(Signal::Terminate) {
            stop.store(true, Ordering::Relaxed);
            until("all have connected", || {
                connected.load(Ordering::Relaxed) == self.uploads
            });
            std::thread::sleep(BEFORE_TERMINATION);
            sidecar.signal("TERM");
        }
        let uploads = uploads
            .into_iter()
            .map(|upload| upload.join().expect("it ends"))
            .collect();
        stop.store(true, Ordering::Relaxed);
        let small = small.join().expect("it ends");
        servers_stop.store(true, Ordering::Relaxed);
        Outcome { uploads, small }
    }
}

/// How many of these requests were answered with each status, and how late they were.
fn summary(asked: &[Asked]) -> String {
    let count = |status: u16| asked.iter().filter(|one| one.status == status).count();
    let late = |by: Duration| asked.iter().filter(|one| one.lateness() > by).count();
    let most = asked.iter().map(Asked::lateness).max().unwrap_or_default();
    format!(
        "{} asked: {} 200, {} 502, {} 503, {} none; {} over 50 ms late, {} over 500 ms, at most {} ms",
        asked.len(),
        count(200),
        count(502),
        count(503),
        count(0),
        late(Duration::from_millis(50)),
        late(LOST_AFTER),
        most.as_millis()
    )
}

fn judge(crowd: &Crowd, seed: u64) {
    let _one_crowd = ONE_CROWD.lock().unwrap_or_else(PoisonError::into_inner);
    let outcome = crowd.run(seed);
    println!("{crowd:?}, seed {seed}");
    println!("  uploads: {}", summary(&outcome.uploads));
    println!("  small: {}", summary(&outcome.small));
    let lost =
        |asked: &[Asked]| -> Vec<Asked> { asked.iter().copied().filter(Asked::is_lost).collect() };
    let (uploads, small) = (lost(&outcome.uploads), lost(&outcome.small));
    assert!(uploads.is_empty(), "uploads lost: {uploads:?}");
    assert!(small.is_empty(), "small requests lost: {small:?}");
    let refused = outcome.uploads.iter().chain(&outcome.small);
    let without_advice = refused.filter(|asked| asked.is_without_advice()).count();
    assert_eq!(without_advice, 0, "refused without a Retry-After");
}

#[rstest]
#[case::as_reported(CROWD)]
#[case::with_a_length(Crowd { framing: Framing::Length, ..CROWD })]
#[case::more_memory(Crowd { memory_mb: 64, uploads: 100, ..CROWD })]
#[case::at_the_same_moment(Crowd { uploads: 40, interval: Duration::ZERO, memory_mb: 192, ..CROWD })]
#[case::one_after_another(Crowd { uploads: 6, interval: Duration::from_millis(1_000), memory_mb: 192, ..CROWD })]
#[case::short_and_read_slowly(Crowd { min_bytes: 300_000, max_bytes: 300_000, bytes_per_second: 64_000, ..CROWD })]
#[case::under_a_termination(Crowd { uploads: 40, interval: Duration::ZERO, signal: Some(Signal::Terminate), ..CROWD })]
#[case::beside_reloads(Crowd { uploads: 60, signal: Some(Signal::Reload), ..CROWD })]
fn uploads_to_servers_that_stop_reading_are_answered_in_time(#[case] crowd: Crowd) {
    judge(&crowd, 1);
}

/// One client sends one upload after another on its connection, each as soon as it has the answer to the one before, for longer
/// than it waits for one. The time of each runs from its own last byte.
#[rstest]
fn uploads_without_a_pause_on_one_connection_have_their_own_time_each(
    #[values(Framing::Length, Framing::Chunks)] framing: Framing,
) {
    const LENGTH: usize = 100_000;
    let stop = Arc::new(AtomicBool::new(false));
    let server = start_server(None, Arc::clone(&stop));
    let sidecar = Sidecar::start(&[server]);
    let mut stream = TcpStream::connect(sidecar.address).expect("it accepts");
    let started_at = Instant::now();
    let mut answered = 0;
    while started_at.elapsed() < Duration::from_millis(3 * u64::from(MIN_TIME_LEFT_MS)) {
        let message = message("recheck", framing, LENGTH, MIN_TIME_LEFT_MS);
        stream.write_all(&message).expect("it reads");
        let (status, _) = read_answer(&mut stream).expect("an answer");
        assert_eq!(status, 200, "after {:?}", started_at.elapsed());
        answered += 1;
    }
    stop.store(true, Ordering::Relaxed);
    assert!(answered > 10, "{answered} prove nothing");
}

/// A client that writes its body for longer than it waits for the answer: its time begins with the last byte.
#[rstest]
fn an_upload_that_is_written_steadily_for_longer_than_its_time_is_served(
    #[values(Framing::Length, Framing::Chunks)] framing: Framing,
) {
    const PIECE_BYTES: usize = 64 << 10;
    const PIECES: usize = 150;
    const PAUSE: Duration = Duration::from_millis(8);
    let stop = Arc::new(AtomicBool::new(false));
    let server = start_server(None, Arc::clone(&stop));
    let sidecar = Sidecar::start(&[server]);
    let mut stream = TcpStream::connect(sidecar.address).expect("it accepts");
    let message = message("recheck", framing, PIECES * PIECE_BYTES, MIN_TIME_LEFT_MS);
    for piece in message.chunks(PIECE_BYTES) {
        stream.write_all(piece).expect("it reads");
        std::thread::sleep(PAUSE);
    }
    let (status, _) = read_answer(&mut stream).expect("an answer");
    assert_eq!(status, 200);
    stop.store(true, Ordering::Relaxed);
}

/// Crowds of which all is drawn from a seed. `MADDERLOOM_SEED` is the first, `MADDERLOOM_SEEDS` their number.
#[test]
fn uploads_of_any_crowd_are_answered_in_time() {
    const DEFAULT_SEEDS: u64 = 3;
    let first = number_from_env("MADDERLOOM_SEED", 1);
    for seed in first..first + number_from_env("MADDERLOOM_SEEDS", DEFAULT_SEEDS) {
        let mut random = oorandom::Rand32::new(seed);
        let mut one_of =
            |values: &[u32]| values[random.rand_range(0..values.len() as u32) as usize];
        let uploads = one_of(&[1, 10, 40, 100, 200]);
        let min_bytes = one_of(&[100_000, 300_000, 1_000_000, 2_000_000, 6_000_000]);
        let crowd = Crowd {
            // The system's memory for sockets is not to fill up.
            uploads: uploads.min(400_000_000 / (2 * min_bytes)),
            interval: Duration::from_millis(u64::from(one_of(&[0, 5, 20, 50]))),
            framing: [Framing::Length, Framing::Chunks][one_of(&[0, 1]) as usize],
            min_bytes,
            max_bytes: 2 * min_bytes,
            slow_servers: one_of(&[1, SERVERS as u32]) as usize,
            bytes_per_second: one_of(&[0, 16_000, 64_000, 256_000]) as usize,
            memory_mb: one_of(&[16, 32, 64, 192]) as usize,
            signal: [None, Some(Signal::Reload), Some(Signal::Terminate)]
                [one_of(&[0, 0, 1, 2]) as usize],
        };
        judge(&crowd, seed);
    }
}
