//! Scripted peers: clients and servers whose every byte the test writes and reads itself. Every wait is for something to
//! happen; [`STEP_TIMEOUT`] only ends a test in which it never does.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// The longest wait for one thing to happen.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(20);

/// A listener whose connections the test takes when it wants them.
pub struct ScriptedServer(pub TcpListener);

impl Default for ScriptedServer {
    fn default() -> Self {
        ScriptedServer::new()
    }
}

impl ScriptedServer {
    /// One at an address that nothing else in this test process has or had.
    ///
    /// # Panics
    /// None is free.
    pub fn new() -> Self {
        let listener = crate::unique_listener();
        listener.set_nonblocking(true).expect("it may not block");
        ScriptedServer(listener)
    }

    /// Where it listens.
    ///
    /// # Panics
    /// Never: it is bound.
    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().expect("it is bound")
    }

    /// A connection, if one waits.
    ///
    /// # Panics
    /// The listener has failed.
    pub fn try_accept(&self) -> Option<Conn> {
        match self.0.accept() {
            Ok((stream, _)) => Some(Conn::new(stream)),
            Err(e) if e.kind() == ErrorKind::WouldBlock => None,
            Err(e) => panic!("accept: {e}"),
        }
    }

    /// The next connection, once there is one.
    ///
    /// # Panics
    /// None comes within [`STEP_TIMEOUT`].
    pub fn accept(&self) -> Conn {
        accept_any(&[self]).1
    }

    /// Whether a connection to it is tried now and has not come up.
    ///
    /// # Panics
    /// The system does not tell of its connections.
    pub fn has_pending_connect(&self) -> bool {
        const SYN_SENT: &str = "02";
        let own = as_listed(self.address());
        let all =
            std::fs::read_to_string("/proc/net/tcp").expect("the system's table of connections");
        all.lines().any(|line| {
            let mut words = line.split_whitespace().skip(2);
            words.next() == Some(own.as_str()) && words.next() == Some(SYN_SENT)
        })
    }

    /// From now on no connection comes up: its backlog is full. Those that are tried do come up, late, once what is given
    /// here is dropped.
    ///
    /// # Panics
    /// It can't be filled.
    pub fn block_connections(&self) -> BlockedConnections {
        rustix::net::listen(&self.0, 0).expect("it listens already");
        let mut filling = Vec::new();
        while let Ok(stream) =
            TcpStream::connect_timeout(&self.address(), Duration::from_millis(200))
        {
            filling.push(stream);
            assert!(filling.len() < 64, "its backlog is never full");
        }
        let own = self.0.try_clone().expect("a descriptor is free");
        BlockedConnections { filling, own }
    }
}

/// Connections to a [`ScriptedServer`] do not come up for as long as this is there.
pub struct BlockedConnections {
    filling: Vec<TcpStream>,
    own: TcpListener,
}

impl Drop for BlockedConnections {
    /// Connections come up from now on, those that were tried meanwhile when their system tries again, after a second at
    /// first.
    fn drop(&mut self) {
        let _ = rustix::net::listen(&self.own, 128);
        for stream in &self.filling {
            let wanted = stream.local_addr().ok();
            // In the order in which they came, so nobody else's is taken.
            while let Ok((_, from)) = self.own.accept() {
                if Some(from) == wanted {
                    break;
                }
            }
        }
    }
}

/// The first connection to come to any of these, and to which.
///
/// # Panics
/// None comes within [`STEP_TIMEOUT`].
pub fn accept_any(nodes: &[&ScriptedServer]) -> (usize, Conn) {
    let until = Instant::now() + STEP_TIMEOUT;
    while Instant::now() < until {
        if let Some(found) = nodes
            .iter()
            .enumerate()
            .find_map(|(at, node)| Some((at, node.try_accept()?)))
        {
            return found;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    panic!("nobody connects");
}

/// A server whose every connection is served by a thread of its own, which writes what it wants and ends the connection by
/// returning false.
pub fn serve(
    node: ScriptedServer,
    each: impl Fn(&Message, &mut Conn) -> bool + Send + Sync + 'static,
) {
    let each = Arc::new(each);
    std::thread::spawn(move || {
        loop {
            let Some(mut conn) = node.try_accept() else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            let each = Arc::clone(&each);
            std::thread::spawn(move || {
                while conn.read().is_some_and(|message| each(&message, &mut conn)) {}
            });
        }
    });
}

/// A server that answers all that comes.
pub fn serve_all(node: ScriptedServer) {
    serve(node, |_, conn| {
        conn.respond("200 OK", "made");
        true
    });
}

/// One end of a connection, and whether the head of a watch has been written to it.
pub struct Conn(BufReader<TcpStream>, bool);

/// A request or an answer, read whole.
pub struct Message {
    /// Its first line.
    pub start: String,
    /// Its headers, as they were written.
    pub headers: Vec<(String, String)>,
    /// Its body, where it has a length.
    pub body: Vec<u8>,
}

impl Message {
    /// A header's value, whatever the case of its name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }

    /// The status of an answer.
    ///
    /// # Panics
    /// It is none.
    pub fn status(&self) -> u16 {
        self.start
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .expect("a status line")
    }
}

impl Conn {
    /// One end, whose reads end after [`STEP_TIMEOUT`].
    ///
    /// # Panics
    /// The system refuses that.
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nonblocking(false).expect("it may block");
        stream
            .set_read_timeout(Some(STEP_TIMEOUT))
            .expect("reads end");
        Conn(BufReader::new(stream), false)
    }

    /// The port that the other side has here.
    ///
    /// # Panics
    /// The connection has gone.
    pub fn peer_port(&self) -> u16 {
        self.0.get_ref().peer_addr().expect("it stands").port()
    }

    /// Writes this.
    ///
    /// # Panics
    /// The other side has gone.
    pub fn write(&mut self, bytes: impl AsRef<[u8]>) {
        self.0
            .get_mut()
            .write_all(bytes.as_ref())
            .expect("the other side reads");
    }

    /// The next message; none where the connection ends first.
    ///
    /// # Panics
    /// What comes is no message.
    pub fn read(&mut self) -> Option<Message> {
        let start = self.line()?;
        let mut headers = Vec::new();
        loop {
            match self.line()? {
                line if line.is_empty() => break,
                line => {
                    let (name, value) = line.split_once(':').expect("a header");
                    headers.push((name.to_string(), value.trim().to_string()));
                }
            }
        }
        let mut message = Message {
            start,
            headers,
            body: Vec::new(),
        };
        let length = message
            .header("content-length")
            .map_or(0, |l| l.parse().expect("a length"));
        message.body.resize(length, 0);
        self.0.read_exact(&mut message.body).ok()?;
        Some(message)
    }

    /// The next message with all of its body, which may be in chunks; none where the connection ends before its end.
    ///
    /// # Panics
    /// What comes is no message.
    pub fn read_complete(&mut self) -> Option<Message> {
        let mut message = self.read()?;
        if message.header("transfer-encoding") == Some("chunked") {
            while self.chunk(&mut message.body)? {}
        }
        Some(message)
    }

    /// Reads a chunk behind these bytes, and whether it was not the last; none where the connection ends first.
    fn chunk(&mut self, to: &mut Vec<u8>) -> Option<bool> {
        let size = usize::from_str_radix(&self.line()?, 16).expect("the size of a chunk");
        let from = to.len();
        to.resize(from + size, 0);
        self.0.read_exact(&mut to[from..]).ok()?;
        assert_eq!(self.line()?, "", "a chunk is longer than it says");
        Some(size > 0)
    }

    /// Whether there is something to read, or the end.
    ///
    /// # Panics
    /// The system refuses to say.
    pub fn is_readable(&mut self) -> bool {
        let stream = self.0.get_ref();
        stream.set_nonblocking(true).expect("it need not block");
        let blocks = matches!(stream.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock);
        stream.set_nonblocking(false).expect("it may block");
        !blocks
    }

    /// How many bytes the other side has written and nobody has read, here or still at its end.
    ///
    /// # Panics
    /// The connection has gone, or the system does not tell of its connections.
    pub fn unread_incoming(&self) -> u64 {
        let (own, other) = self.ends();
        unread(other, own)
    }

    /// How many bytes this side has written and the other has not read.
    ///
    /// # Panics
    /// As [`Conn::unread_incoming`].
    pub fn unread_outgoing(&self) -> u64 {
        let (own, other) = self.ends();
        unread(own, other)
    }

    /// The addresses of both ends, this one's first.
    fn ends(&self) -> (SocketAddr, SocketAddr) {
        let stream = self.0.get_ref();
        (
            stream.local_addr().expect("it is bound"),
            stream.peer_addr().expect("it is connected"),
        )
    }

    /// Waits for one byte and reads it, with nothing behind it.
    ///
    /// # Panics
    /// None comes.
    pub fn read_byte(&mut self) {
        self.0.get_mut().read_exact(&mut [0]).expect("a byte");
    }

    /// Reads so many bytes.
    ///
    /// # Panics
    /// They do not come.
    pub fn read_exact(&mut self, bytes: &mut [u8]) {
        self.0.read_exact(bytes).expect("they come");
    }

    /// Reads to the end of the connection, however it ends.
    pub fn read_to_end(&mut self, to: &mut Vec<u8>) {
        let _ = self.0.read_to_end(to);
    }

    /// Reads to the end of the connection, however it ends, and keeps nothing of it.
    pub fn drain(&mut self) {
        let _ = std::io::copy(&mut self.0, &mut std::io::sink());
    }

    /// Says that it writes no more; it still reads (a half-close).
    ///
    /// # Panics
    /// The connection has gone.
    pub fn end_writing(&mut self) {
        self.0
            .get_mut()
            .shutdown(std::net::Shutdown::Write)
            .expect("it stands");
    }

    /// Closes with a reset, whatever is still on its way.
    ///
    /// # Panics
    /// The system refuses to.
    pub fn reset(self) {
        rustix::net::sockopt::set_socket_linger(self.0.get_ref(), Some(Duration::ZERO))
            .expect("it can be set");
    }

    /// Writes the same again and again, until nobody reads any more.
    pub fn write_repeatedly(&mut self, bytes: Vec<u8>, times: usize) {
        for _ in 0..times {
            if self.0.get_mut().write_all(&bytes).is_err() {
                return;
            }
        }
    }

    /// The next line, without its end; none at the end of the connection.
    ///
    /// # Panics
    /// Nothing comes.
    pub fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.0.read_line(&mut line) {
            Ok(0) => None,
            Ok(_) => Some(line.trim_end().to_string()),
            Err(e) if e.kind() == ErrorKind::ConnectionReset => None,
            Err(e) => panic!("read: {e}"),
        }
    }

    /// Writes a line of a watch, behind the head of its answer where this is the first.
    ///
    /// # Panics
    /// The other side has gone.
    pub fn write_watch_line(&mut self, line: &str) {
        if !std::mem::replace(&mut self.1, true) {
            self.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        }
        self.write(format!("{:x}\r\n{line}\n\r\n", line.len() + 1));
    }

    /// Writes an answer with this status and body.
    ///
    /// # Panics
    /// The other side has gone.
    pub fn respond(&mut self, status: &str, body: &str) {
        self.write(format!(
            "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ));
    }
}

/// The bytes between two ends of a connection over IPv4: sent and not acknowledged, and received and not read.
fn unread(from: SocketAddr, to: SocketAddr) -> u64 {
    let all = std::fs::read_to_string("/proc/net/tcp").expect("the system's table of connections");
    let queues = |local: SocketAddr, remote: SocketAddr| {
        let (local, remote) = (as_listed(local), as_listed(remote));
        all.lines().find_map(|line| {
            let words: Vec<&str> = line.split_whitespace().collect();
            let (sent, received) = words.get(4)?.split_once(':')?;
            let bytes = |digits| u64::from_str_radix(digits, 16).ok();
            (words[1] == local && words[2] == remote).then_some((bytes(sent)?, bytes(received)?))
        })
    };
    let sent = queues(from, to).map_or(0, |(sent, _)| sent);
    let received = queues(to, from).map_or(0, |(_, received)| received);
    sent + received
}

/// An address as the system's table of connections writes it.
fn as_listed(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else {
        panic!("{address} is not of IPv4")
    };
    format!(
        "{:08X}:{:04X}",
        u32::from_ne_bytes(address.ip().octets()),
        address.port()
    )
}

/// A request as clients send it, with a fresh id; `more` holds further header lines.
pub fn request(class: &str, left_ms: u64, more: &str) -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    request_with(
        &format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed)),
        class,
        left_ms,
        more,
    )
}

/// The same, with this id.
pub fn request_with(id: &str, class: &str, left_ms: u64, more: &str) -> String {
    format!(
        "POST /{class}?q=1 HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: {id}\r\n\
         X-Expires-In-Ms: {left_ms}\r\nIdempotency-Key: 5c0f6e1a\r\n{more}Content-Length: 5\r\n\r\npaper"
    )
}
