//! Busy clients and instant servers: both ends of a hop, as cheap as they can be, so that the hop alone is short of
//! time.

use hdrhistogram::Histogram;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The longest message that either end reads.
const MESSAGE: usize = 16 << 10;
/// What a request holds: a page's first lines.
const BODY: &str = "A paper is handed in, and its first two hundred bytes are these: so many that a body is there, \
and so few that copying them costs little beside what is asked of a hop. What it says is of no interest here.\n";
const ANSWER: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\nhello hello\n";

/// Threads for each end. Each has a runtime of its own: the one with threads would come along into the production
/// program, since a workspace is built with the features of all its members.
const THREADS: u32 = 2;

/// Instant servers: they answer each request as soon as it has come. They live as long as the program.
///
/// # Errors
/// There is no port or no thread for one.
pub(super) fn instant_servers(count: u32) -> io::Result<Vec<SocketAddr>> {
    let mut addresses = Vec::new();
    let mut shares: Vec<Vec<std::net::TcpListener>> = (0..THREADS).map(|_| Vec::new()).collect();
    for at in 0..count {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        addresses.push(listener.local_addr()?);
        shares[(at % THREADS) as usize].push(listener);
    }
    for share in shares {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        std::thread::Builder::new().spawn(move || {
            runtime.block_on(async {
                for listener in share {
                    tokio::spawn(serve(TcpListener::from_std(listener)?));
                }
                std::future::pending::<io::Result<()>>().await
            })
        })?;
    }
    Ok(addresses)
}

async fn serve(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(answer_all(stream));
    }
}

async fn answer_all(mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut unread = Vec::with_capacity(MESSAGE);
    while read_message(&mut stream, &mut unread).await?.is_some() {
        stream.write_all(ANSWER).await?;
    }
    Ok(())
}

/// Reads one message and gives its first line's second word; none where the connection has ended.
async fn read_message(stream: &mut TcpStream, unread: &mut Vec<u8>) -> io::Result<Option<[u8; 3]>> {
    loop {
        if let Some((length, word)) = whole_message(unread)? {
            unread.drain(..length);
            return Ok(Some(word));
        }
        if unread.len() > MESSAGE {
            return Err(io::Error::other("a message is too long"));
        }
        if stream.read_buf(unread).await? == 0 {
            return Ok(None);
        }
    }
}

/// The length of the message at the beginning, if it is there whole, and the first bytes of its second word.
fn whole_message(bytes: &[u8]) -> io::Result<Option<(usize, [u8; 3])>> {
    let Some(head) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else {
        return Ok(None);
    };
    let text = std::str::from_utf8(&bytes[..head]).map_err(io::Error::other)?;
    let length = text.lines().skip(1).filter_map(|line| line.split_once(':'));
    let length = length
        .filter(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .find_map(|(_, value)| value.trim().parse::<usize>().ok())
        .unwrap_or(0);
    let whole = head.saturating_add(4).saturating_add(length);
    let word = text
        .split(' ')
        .nth(1)
        .and_then(|w| w.as_bytes().first_chunk::<3>())
        .copied();
    Ok((bytes.len() >= whole).then_some((whole, word.unwrap_or_default())))
}

/// What came back to the clients of one round.
#[derive(Clone, Debug)]
pub(super) struct Answers {
    /// Answers 200, and all else.
    pub(super) good: u64,
    pub(super) bad: u64,
    /// Microseconds from a request's first byte out to its answer's last byte in.
    pub(super) latency: Histogram<u64>,
}

/// So many clients, each with a connection and one request after the other, for so long.
///
/// # Errors
/// There is no thread for them.
pub(super) fn busy_clients(at: SocketAddr, count: u32, time: Duration) -> io::Result<Answers> {
    let until = Instant::now() + time;
    let ids = Arc::new(AtomicU64::new(0));
    let mut threads = Vec::new();
    for thread in 0..THREADS {
        let (share, ids) = ((thread..count).step_by(THREADS as usize), Arc::clone(&ids));
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        threads.push(std::thread::Builder::new().spawn(move || {
            runtime.block_on(async {
                let clients: Vec<_> = share
                    .map(|_| tokio::spawn(busy_client(at, until, Arc::clone(&ids))))
                    .collect();
                let mut all = Answers::default();
                for client in clients {
                    match client.await {
                        Ok(Ok(one)) => all.add(&one),
                        _ => all.bad += 1,
                    }
                }
                all
            })
        })?);
    }
    let mut all = Answers::default();
    for thread in threads {
        all.add(
            &thread
                .join()
                .map_err(|_| io::Error::other("the clients panicked"))?,
        );
    }
    Ok(all)
}

impl Answers {
    fn add(&mut self, other: &Answers) {
        self.good += other.good;
        self.bad += other.bad;
        // Both have the same bounds.
        let _ = self.latency.add(&other.latency);
    }
}

impl Default for Answers {
    fn default() -> Self {
        Answers {
            good: 0,
            bad: 0,
            latency: empty_histogram(),
        }
    }
}

/// Up to a minute, with three significant digits.
fn empty_histogram() -> Histogram<u64> {
    #[expect(
        clippy::expect_used,
        reason = "the bounds are constants that the library accepts"
    )]
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("constant bounds")
}

async fn busy_client(at: SocketAddr, until: Instant, ids: Arc<AtomicU64>) -> io::Result<Answers> {
    let mut stream = TcpStream::connect(at).await?;
    stream.set_nodelay(true)?;
    let mut answers = Answers::default();
    let mut unread = Vec::with_capacity(MESSAGE);
    while Instant::now() < until {
        let id = ids.fetch_add(1, Ordering::Relaxed);
        let request = format!(
            "POST /submit?q=1 HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: {id:016x}\r\n\
             X-Expires-In-Ms: 1900\r\nCookie: key={:016x}\r\nContent-Length: {}\r\n\r\n{BODY}",
            id % 1000,
            BODY.len()
        );
        let sent = Instant::now();
        stream.write_all(request.as_bytes()).await?;
        let Some(status) = read_message(&mut stream, &mut unread).await? else {
            stream = TcpStream::connect(at).await?;
            stream.set_nodelay(true)?;
            answers.bad += 1;
            continue;
        };
        if &status == b"200" {
            answers.good += 1;
            let micros = u64::try_from(sent.elapsed().as_micros()).unwrap_or(u64::MAX);
            answers.latency.saturating_record(micros.max(1));
        } else {
            answers.bad += 1;
        }
    }
    Ok(answers)
}

#[cfg(test)]
mod tests {
    use super::whole_message;

    #[test]
    fn a_message_is_whole_with_its_last_byte_and_no_sooner() {
        let text = b"HTTP/1.1 503 No\r\nX: y\r\ncontent-length: 3\r\n\r\nabcHTTP";
        let whole = text.len() - 4;
        for end in 0..whole {
            assert!(
                whole_message(&text[..end]).expect("text").is_none(),
                "{end}"
            );
        }
        assert_eq!(whole_message(text).expect("text"), Some((whole, *b"503")));
    }
}
