//! Scripted peers: clients and servers whose every byte the test writes and reads itself. Every wait is for an event;
//! [`STEP_TIMEOUT`] only fails a test in which the event never happens.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Maximum wait for one event.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(20);

/// A listener whose connections the test accepts explicitly.
pub struct ScriptedServer(pub TcpListener);

impl Default for ScriptedServer {
    fn default() -> Self {
        ScriptedServer::new()
    }
}

impl ScriptedServer {
    /// Binds an address that this test process has not used before.
    ///
    /// # Panics
    /// If no address is free.
    pub fn new() -> Self {
        let listener = crate::unique_listener();
        listener
            .set_nonblocking(true)
            .expect("the listener can be nonblocking");
        ScriptedServer(listener)
    }

    /// Address on which it listens.
    ///
    /// # Panics
    /// Never: the listener is bound.
    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().expect("the socket is bound")
    }

    /// Accepts a pending connection, if there is one.
    ///
    /// # Panics
    /// If the listener has failed.
    pub fn try_accept(&self) -> Option<Conn> {
        match self.0.accept() {
            Ok((stream, _)) => Some(Conn::new(stream)),
            Err(e) if e.kind() == ErrorKind::WouldBlock => None,
            Err(e) => panic!("accept: {e}"),
        }
    }

    /// Waits for the next connection.
    ///
    /// # Panics
    /// If there is none within [`STEP_TIMEOUT`].
    pub fn accept(&self) -> Conn {
        accept_any(&[self]).1
    }

    /// Whether a connection attempt to it is in progress (SYN sent).
    ///
    /// # Panics
    /// If the table of connections cannot be read.
    pub fn has_pending_connect(&self) -> bool {
        const SYN_SENT: &str = "02";
        let own = proc_net_format(self.address());
        let all =
            std::fs::read_to_string("/proc/net/tcp").expect("the table of connections is readable");
        all.lines().any(|line| {
            let mut words = line.split_whitespace().skip(2);
            words.next() == Some(own.as_str()) && words.next() == Some(SYN_SENT)
        })
    }

    /// Blocks new connections by filling the backlog, until the returned guard is dropped. Pending attempts then succeed, late.
    ///
    /// # Panics
    /// If the backlog cannot be filled.
    pub fn block_connections(&self) -> BlockedConnections {
        rustix::net::listen(&self.0, 0).expect("the socket listens already");
        let mut filling = Vec::new();
        while let Ok(stream) =
            TcpStream::connect_timeout(&self.address(), Duration::from_millis(200))
        {
            filling.push(stream);
            assert!(filling.len() < 64, "the backlog does not fill up");
        }
        let own = self.0.try_clone().expect("a descriptor is free");
        BlockedConnections { filling, own }
    }
}

/// Guard that blocks connections to a [`ScriptedServer`] until it is dropped.
pub struct BlockedConnections {
    filling: Vec<TcpStream>,
    own: TcpListener,
}

impl Drop for BlockedConnections {
    /// Unblocks connections. Pending attempts succeed when the client's kernel retransmits, at first after one second.
    fn drop(&mut self) {
        let _ = rustix::net::listen(&self.own, 128);
        for stream in &self.filling {
            let wanted = stream.local_addr().ok();
            // Connections are accepted in order of arrival, so no other connection is accepted by mistake.
            while let Ok((_, from)) = self.own.accept() {
                if Some(from) == wanted {
                    break;
                }
            }
        }
    }
}

/// Waits for the first connection to any of these servers and returns it with the index of the server.
///
/// # Panics
/// If there is none within [`STEP_TIMEOUT`].
pub fn accept_any(servers: &[&ScriptedServer]) -> (usize, Conn) {
    let deadline = Instant::now() + STEP_TIMEOUT;
    while Instant::now() < deadline {
        if let Some(found) = servers
            .iter()
            .enumerate()
            .find_map(|(index, server)| Some((index, server.try_accept()?)))
        {
            return found;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    panic!("timed out waiting for a connection");
}

/// Serves each connection on a thread of its own. `handler` writes the response to each message and closes the connection by
/// returning false.
pub fn serve(
    server: ScriptedServer,
    handler: impl Fn(&Message, &mut Conn) -> bool + Send + Sync + 'static,
) {
    serve_connections(server, move |mut conn| {
        while conn
            .read()
            .is_some_and(|message| handler(&message, &mut conn))
        {}
    });
}

/// Runs `handler` for each connection on a thread of its own.
pub fn serve_connections(server: ScriptedServer, handler: impl Fn(Conn) + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        loop {
            let Some(conn) = server.try_accept() else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || handler(conn));
        }
    });
}

/// Serves each message with 200.
pub fn serve_all(server: ScriptedServer) {
    serve(server, |_, conn| {
        conn.respond("200 OK", "made");
        true
    });
}

/// One end of a connection, with a flag for whether the response head of a watch has been written.
pub struct Conn(BufReader<TcpStream>, bool);

/// A complete request or response.
pub struct Message {
    /// Start line.
    pub start: String,
    /// Headers as received.
    pub headers: Vec<(String, String)>,
    /// Body, if the message has a length.
    pub body: Vec<u8>,
}

impl Message {
    /// Value of a header; the name is case-insensitive.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }

    /// Status of a response.
    ///
    /// # Panics
    /// If this is not a response.
    pub fn status(&self) -> u16 {
        self.start
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .expect("a status line")
    }
}

impl Conn {
    /// Wraps a stream, with [`STEP_TIMEOUT`] as its read timeout.
    ///
    /// # Panics
    /// If the socket options cannot be set.
    pub fn new(stream: TcpStream) -> Self {
        stream
            .set_nonblocking(false)
            .expect("the socket can be blocking");
        stream
            .set_read_timeout(Some(STEP_TIMEOUT))
            .expect("the read timeout can be set");
        Conn(BufReader::new(stream), false)
    }

    /// Port of the peer.
    ///
    /// # Panics
    /// If the connection is closed.
    pub fn peer_port(&self) -> u16 {
        self.0
            .get_ref()
            .peer_addr()
            .expect("the connection is open")
            .port()
    }

    /// Local port.
    ///
    /// # Panics
    /// If the connection is closed.
    pub fn local_port(&self) -> u16 {
        self.ends().0.port()
    }

    /// Writes these bytes.
    ///
    /// # Panics
    /// If the peer has closed the connection.
    pub fn write(&mut self, bytes: impl AsRef<[u8]>) {
        self.0
            .get_mut()
            .write_all(bytes.as_ref())
            .expect("the peer reads");
    }

    /// Reads the next message; none if the connection ends first.
    ///
    /// # Panics
    /// If the message is malformed.
    pub fn read(&mut self) -> Option<Message> {
        let mut message = self.read_head()?;
        self.read_sized_body(&mut message)?;
        Some(message)
    }

    /// Reads the next message with its complete body, which may be chunked; none if the connection ends first.
    ///
    /// # Panics
    /// If the message is malformed.
    pub fn read_complete(&mut self) -> Option<Message> {
        let mut message = self.read_head()?;
        self.read_body(&mut message)?;
        Some(message)
    }

    /// Reads the head of the next message; none if the connection ends first. [`Conn::read_body`] reads the rest.
    ///
    /// # Panics
    /// If the head is malformed.
    pub fn read_head(&mut self) -> Option<Message> {
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
        Some(Message {
            start,
            headers,
            body: Vec::new(),
        })
    }

    /// Reads the body behind a head; none if the connection ends first.
    ///
    /// # Panics
    /// If the body is malformed.
    pub fn read_body(&mut self, message: &mut Message) -> Option<()> {
        if message.header("transfer-encoding") != Some("chunked") {
            return self.read_sized_body(message);
        }
        while self.chunk(&mut message.body)? {}
        Some(())
    }

    fn read_sized_body(&mut self, message: &mut Message) -> Option<()> {
        let length = message
            .header("content-length")
            .map_or(0, |l| l.parse().expect("a length"));
        message.body.resize(length, 0);
        self.0.read_exact(&mut message.body).ok()
    }

    /// Appends a chunk to these bytes and returns whether more chunks follow; none if the connection ends first.
    fn chunk(&mut self, to: &mut Vec<u8>) -> Option<bool> {
        let size = usize::from_str_radix(&self.line()?, 16).expect("the size of a chunk");
        let from = to.len();
        to.resize(from + size, 0);
        self.0.read_exact(&mut to[from..]).ok()?;
        assert_eq!(self.line()?, "", "a chunk is longer than its size line");
        Some(size > 0)
    }

    /// Reads and drops at most this many bytes, without waiting. Returns their number.
    ///
    /// # Panics
    /// If the socket mode cannot be changed.
    pub fn skip_available(&mut self, count: usize) -> usize {
        let stream = self.0.get_mut();
        stream
            .set_nonblocking(true)
            .expect("the socket can be nonblocking");
        let mut buffer = vec![0; count];
        let mut skipped = 0;
        while skipped < count {
            match stream.read(&mut buffer[skipped..]) {
                Ok(0) | Err(_) => break,
                Ok(count) => skipped += count,
            }
        }
        stream
            .set_nonblocking(false)
            .expect("the socket can be blocking");
        skipped
    }

    /// Whether there are bytes to read or the connection has ended.
    ///
    /// # Panics
    /// If the socket mode cannot be changed.
    pub fn is_readable(&mut self) -> bool {
        let stream = self.0.get_ref();
        stream
            .set_nonblocking(true)
            .expect("the socket can be nonblocking");
        let blocks = matches!(stream.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock);
        stream
            .set_nonblocking(false)
            .expect("the socket can be blocking");
        !blocks
    }

    /// Number of bytes that the peer has written and this side has not read, in the buffers of both kernels.
    ///
    /// # Panics
    /// If the connection is closed or the table of connections cannot be read.
    pub fn unread_incoming(&self) -> u64 {
        let (own, other) = self.ends();
        unread(other, own)
    }

    /// Number of bytes that this side has written and the peer has not read.
    ///
    /// # Panics
    /// As [`Conn::unread_incoming`].
    pub fn unread_outgoing(&self) -> u64 {
        let (own, other) = self.ends();
        unread(own, other)
    }

    /// The local and the peer address.
    fn ends(&self) -> (SocketAddr, SocketAddr) {
        let stream = self.0.get_ref();
        (
            stream.local_addr().expect("the socket is bound"),
            stream.peer_addr().expect("the socket is connected"),
        )
    }

    /// Waits for one byte and reads it, without buffering.
    ///
    /// # Panics
    /// If there is none.
    pub fn read_byte(&mut self) {
        self.0.get_mut().read_exact(&mut [0]).expect("a byte");
    }

    /// Fills this buffer.
    ///
    /// # Panics
    /// If fewer bytes arrive.
    pub fn read_exact(&mut self, bytes: &mut [u8]) {
        self.0.read_exact(bytes).expect("the bytes arrive");
    }

    /// Reads to the end of the connection, however it ends.
    pub fn read_to_end(&mut self, to: &mut Vec<u8>) {
        let _ = self.0.read_to_end(to);
    }

    /// Reads and discards everything to the end of the connection, however it ends.
    pub fn drain(&mut self) {
        let _ = std::io::copy(&mut self.0, &mut std::io::sink());
    }

    /// Half-closes the connection: ends writing and still reads.
    ///
    /// # Panics
    /// If the connection is closed.
    pub fn end_writing(&mut self) {
        self.0
            .get_mut()
            .shutdown(std::net::Shutdown::Write)
            .expect("the connection is open");
    }

    /// Closes the connection at once. To drop it does so only when no process that another thread is starting has a copy of the
    /// socket, which lasts until that process runs its program.
    pub fn close(self) {
        // The peer may have closed it before.
        let _ = self.0.get_ref().shutdown(std::net::Shutdown::Both);
    }

    /// Closes the connection with a reset, discarding unsent bytes.
    ///
    /// # Panics
    /// If the socket option cannot be set.
    pub fn reset(self) {
        rustix::net::sockopt::set_socket_linger(self.0.get_ref(), Some(Duration::ZERO))
            .expect("the option can be set");
    }

    /// Sends each write at once, without waiting for the peer to confirm the one before it.
    ///
    /// # Panics
    /// If the socket option cannot be set.
    pub fn set_nodelay(&self) {
        let stream = self.0.get_ref();
        stream.set_nodelay(true).expect("the option can be set");
    }

    /// Writes these bytes. Returns false if the peer has closed the connection.
    pub fn try_write(&mut self, bytes: &[u8]) -> bool {
        self.0.get_mut().write_all(bytes).is_ok()
    }

    /// Waits for bytes and reads at most this many. Returns their number; 0 if the connection ends first.
    pub fn skip_some(&mut self, max_bytes: usize) -> usize {
        let mut buffer = vec![0; max_bytes];
        self.0.read(&mut buffer).unwrap_or(0)
    }

    /// Writes the same bytes this many times, or until a write fails.
    pub fn write_repeatedly(&mut self, bytes: Vec<u8>, times: usize) {
        for _ in 0..times {
            if !self.try_write(&bytes) {
                return;
            }
        }
    }

    /// Reads the next line, without its terminator; none at the end of the connection.
    ///
    /// # Panics
    /// If the read times out.
    pub fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.0.read_line(&mut line) {
            Ok(0) => None,
            Ok(_) => Some(line.trim_end().to_string()),
            Err(e) if e.kind() == ErrorKind::ConnectionReset => None,
            Err(e) => panic!("read: {e}"),
        }
    }

    /// Writes a line of a watch, preceded by the response head if it is the first line.
    ///
    /// # Panics
    /// If the peer has closed the connection.
    pub fn write_watch_line(&mut self, line: &str) {
        if !std::mem::replace(&mut self.1, true) {
            self.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        }
        self.write(format!("{:x}\r\n{line}\n\r\n", line.len() + 1));
    }

    /// Writes a response with this status and body.
    ///
    /// # Panics
    /// If the peer has closed the connection.
    pub fn respond(&mut self, status: &str, body: &str) {
        self.write(format!(
            "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ));
    }
}

/// Bytes in flight in one direction of an IPv4 connection: sent and not acknowledged, or received and not read.
fn unread(from: SocketAddr, to: SocketAddr) -> u64 {
    let all =
        std::fs::read_to_string("/proc/net/tcp").expect("the table of connections is readable");
    let queues = |local: SocketAddr, remote: SocketAddr| {
        let (local, remote) = (proc_net_format(local), proc_net_format(remote));
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

/// An address in the format of `/proc/net/tcp`.
fn proc_net_format(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else {
        panic!("{address} is not an IPv4 address")
    };
    format!(
        "{:08X}:{:04X}",
        u32::from_ne_bytes(address.ip().octets()),
        address.port()
    )
}

/// One chunk of the chunked transfer coding.
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat()
}

/// The end of a body in that coding.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// A body of one chunk in that coding.
pub fn chunked_body(bytes: &[u8]) -> Vec<u8> {
    [&chunk(bytes), LAST_CHUNK].concat()
}

/// The length and the body of the requests that [`request`] makes.
const USUAL_FRAMING_AND_BODY: &str = "Content-Length: 5\r\n\r\npaper";

/// The head of a request that [`request`] has made, with this framing header in place of its own and without its body.
///
/// # Panics
/// If the request has another body.
pub fn head_with_framing(request: &str, framing: &str) -> String {
    let head = request.strip_suffix(USUAL_FRAMING_AND_BODY);
    format!("{}{framing}\r\n\r\n", head.expect("the usual body"))
}

/// A request that [`request`] has made, with a body of this many bytes and a length in place of its own.
///
/// # Panics
/// If the request has another body.
pub fn with_sized_body(request: &str, bytes: usize) -> Vec<u8> {
    let head = head_with_framing(request, &format!("Content-Length: {bytes}"));
    [head.into_bytes(), vec![b'x'; bytes]].concat()
}

/// A request as clients send it, with a new id; `more` holds additional header lines.
pub fn request(class: &str, left_ms: u64, more: &str) -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    request_with(
        &format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed)),
        class,
        left_ms,
        more,
    )
}

/// Like [`request`], with this id.
pub fn request_with(id: &str, class: &str, left_ms: u64, more: &str) -> String {
    format!(
        "POST /{class}?q=1 HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: {id}\r\n\
         X-Expires-In-Ms: {left_ms}\r\nIdempotency-Key: 5c0f6e1a\r\n{more}{USUAL_FRAMING_AND_BODY}"
    )
}
