//! Client connections. An idle connection is parked: it holds a socket, an entry in [`Clients`] and one timer, but no parser
//! and no buffers. Its first byte makes it active; `hyper` then serves it until it has been idle for [`PARK_AFTER_IDLE`] and is
//! parked again.
//!
//! A connection ends with a lingering close: this side shuts down its writing half, reads and drops what the client still sends,
//! within [`LINGER_TIMEOUT`] and [`LINGER_MAX_BYTES`], and then closes. Closing with unread bytes would reset the connection,
//! and the client could lose its last response. Requests read in this phase are not served; a client that sees the end of
//! the connection before a response sends its request again.
//!
//! A client that has closed its side counts as disconnected. `hyper` notices that while it waits for more bytes. With unread
//! bytes ahead of the end nothing reads the socket, so the kernel is asked before each attempt starts
//! ([`Client::has_disconnected`]).

mod connection_end;
mod unread_request;

use super::client_arrivals::ClientArrivals;
use super::client_pace::WritePace;
use super::counts::CountGuard;
use super::fair_scheduler::ChargedAccount;
use super::listener::{CLOSE_GRACE_PERIOD, Listener};
use super::memory::MemoryPurpose;
use super::readiness::{self, peek_nonblocking};
use super::reason_counts::ReasonCounts;
use super::request_framing::RequestFraming;
use super::virtual_server;
use bytes::Bytes;
use connection_end::ConnectionEnd;
use hyper::body::Body;
use hyper::header::{self, HeaderValue};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::server::conn::http1;
use madderloom_balancer::Micros;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;
use rustix::net::{RecvFlags, Shutdown, shutdown};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use tokio::net::TcpStream;
use unread_request::{Unread, reject_unread, wait_for_activation};

/// A connection that was opened, or sent its last response, less than this ago may have a request on the way to it, and is not
/// evicted.
pub(super) const MIN_IDLE_BEFORE_EVICTION: Micros = 50_000;
/// A connection that has been idle for this long is parked. Also the interval at which active connections are checked.
const PARK_AFTER_IDLE: Micros = 250_000;
/// A client that accepts no byte of a streamed response for this long is disconnected.
pub(super) const WRITE_STALL_TIMEOUT: Micros = 30_000_000;
/// How long a lingering close waits for the client to close its side. After that, the close may reset the connection.
const LINGER_TIMEOUT: Micros = 1_000_000;
/// What one more read for a request may have `hyper` allocate.
const REQUEST_READ_BYTES: usize = 2 * MAX_HEAD_BYTES;
/// How many bytes a lingering close reads.
const LINGER_MAX_BYTES: usize = 1 << 20;
/// As [`LINGER_TIMEOUT`], while connections or file descriptors are scarce.
const LINGER_TIMEOUT_UNDER_PRESSURE: Micros = 50_000;
/// The longest head, and the most that is read ahead of a body.
const MAX_HEAD_BYTES: usize = 16 << 10;

thread_local! {
    /// Buffer for every read from a client, shared by all connections of the thread.
    static READ_BUFFER: RefCell<Box<[u8]>> = RefCell::new(vec![0; MAX_HEAD_BYTES].into());
}

/// One client's connection.
pub(super) struct Client {
    id: u64,
    stream: TcpStream,
    /// Since when it has no request in flight; `None` while it has one.
    idle_since: Cell<Option<Micros>>,
    /// It should close: at once if it is idle, else after its response.
    close_requested: Cell<bool>,
    /// It was found disconnected while a request was in flight.
    disconnected: Cell<bool>,
    /// Waker of its task.
    waker: RefCell<Option<Waker>>,
    /// The account that its work is charged to.
    pub(super) charged: Rc<ChargedAccount>,
    /// The body of the last request has been read to its end. If not, the next bytes on the connection still belong to it and
    /// must never be taken for the next request.
    pub(super) body_complete: Cell<bool>,
    /// The framing of what it sent is ambiguous, so that nothing more of it may be forwarded.
    pub(super) ambiguous_framing: Cell<bool>,
    /// Bytes have been read since the last response.
    read_since_response: Cell<bool>,
    /// A response is being streamed to it.
    streaming: Cell<bool>,
    /// When a write to it last succeeded.
    last_write_at: Cell<Micros>,
    /// Everything written has been passed to the kernel.
    flushed: Cell<bool>,
    /// How fast the client reads what is written to it.
    pub(super) write_pace: WritePace,
    /// When the client can have written what arrives.
    arrivals: ClientArrivals,
    /// How long its next request has waited unread for memory.
    activation_wait: Cell<Micros>,
}

impl Client {
    fn request_close(&self) {
        self.close_requested.set(true);
        if let Some(waker) = self.waker.borrow().as_ref() {
            waker.wake_by_ref();
        }
    }

    /// Whether it should close. Registers the task to be woken once that changes.
    fn poll_close_requested(&self, context: &Context<'_>) -> bool {
        let mut waker = self.waker.borrow_mut();
        if waker
            .as_ref()
            .is_none_or(|waker| !waker.will_wake(context.waker()))
        {
            *waker = Some(context.waker().clone());
        }
        self.close_requested.get()
    }

    /// Whether the client has closed its side, as the kernel sees it now, also after unread bytes. Once this returned true, the
    /// connection ends with its request in flight as soon as its task yields.
    pub(super) fn has_disconnected(&self) -> bool {
        let disconnected = match peek_nonblocking(&self.stream) {
            Ok(0) => true,
            Ok(_) => self.is_closed_after_unread_bytes(),
            Err(error) => !matches!(error, Errno::AGAIN | Errno::INTR),
        };
        self.disconnected
            .set(self.disconnected.get() || disconnected);
        disconnected
    }

    fn is_closed_after_unread_bytes(&self) -> bool {
        let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let mut polled = [PollFd::new(&self.stream, PollFlags::RDHUP)];
        let no_wait = Timespec {
            tv_sec: 0,
            tv_nsec: 0,
        };
        poll(&mut polled, Some(&no_wait)).is_ok_and(|_| polled[0].revents().intersects(closed))
    }

    /// A time at which the client had not written all that was read since. It may have written all of it right after: what this
    /// process does not read stays in the system's buffers.
    pub(super) fn unfinished_at(&self) -> Micros {
        self.arrivals.unfinished_at()
    }

    /// How long the request that is read now has waited unread for memory.
    pub(super) fn take_activation_wait(&self) -> Micros {
        self.activation_wait.take()
    }

    /// Looks at the socket: whether the client certainly has written nothing beyond what was read.
    pub(super) fn is_silent(&self, now: Micros) -> bool {
        match peek_nonblocking(&self.stream) {
            Err(Errno::AGAIN | Errno::INTR) => self.arrivals.record_empty(now),
            Ok(_) | Err(_) => self.arrivals.record_unread(now),
        }
        self.arrivals.is_silent(now)
    }

    fn has_unread_bytes(&self) -> bool {
        peek_nonblocking(&self.stream).is_ok_and(|count| count > 0)
    }

    fn poll_read(&self, context: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        let read = readiness::poll_read(&self.stream, context, |stream| stream.try_read(buffer));
        if read.is_pending() && self.close_requested.get() && !buffer.is_empty() {
            // Before closing, bytes that have arrived but that tokio does not know of yet must be read. This consumes no
            // budget; hyper yields by itself after 16 rounds.
            let received = rustix::net::recv(&self.stream, &mut *buffer, RecvFlags::DONTWAIT).ok();
            return received.map_or(Poll::Pending, |(count, _)| Poll::Ready(Ok(count)));
        }
        read
    }

    fn poll_write(
        &self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        readiness::poll_write(&self.stream, context, write)
    }

    /// Records that the last byte of a streamed response has been read from its server. Must be called before the next request
    /// on the connection is read.
    pub(super) fn response_ended(&self, now: Micros) {
        self.streaming.set(false);
        self.idle_since.set(Some(now));
        self.arrivals.record_response(now);
    }

    /// How far it is behind what is expected of a client: with reading its response, or else with the head of a request.
    fn lag(&self, now: Micros, activated_at: Micros) -> Micros {
        let waits_for_head =
            self.flushed.get() && self.body_complete.get() && self.read_since_response.get();
        match self.idle_since.get() {
            Some(since) if waits_for_head => now.saturating_sub(since.max(activated_at)),
            _ if self.streaming.get() || !self.flushed.get() => self.write_pace.lag(now),
            _ => 0,
        }
    }

    fn may_be_parked(&self) -> bool {
        self.idle_since.get().is_some()
            && self.body_complete.get()
            && self.flushed.get()
            && !self.read_since_response.get()
    }
}

/// The client connections of one listener.
#[derive(Default)]
pub(super) struct Clients {
    /// Parked connections, by the start of their idleness and their id.
    parked: RefCell<BTreeMap<(Micros, u64), Rc<Client>>>,
    /// All other connections, by id.
    active: RefCell<HashMap<u64, Rc<Client>, foldhash::quality::FixedState>>,
    accepted: Cell<u64>,
    /// How often a parked connection became active.
    wakeups: Cell<u64>,
    ends: ReasonCounts<ConnectionEnd>,
}

impl Clients {
    /// Connections accepted since the start.
    pub(super) fn accepted(&self) -> u64 {
        self.accepted.get()
    }

    pub(super) fn wakeups(&self) -> u64 {
        self.wakeups.get()
    }

    /// Connections that have ended, by the reason.
    pub(super) fn ends(&self) -> impl Iterator<Item = (&'static str, u64)> {
        self.ends.counts()
    }

    /// Open connections.
    pub(super) fn count(&self) -> usize {
        self.parked() + self.active()
    }

    pub(super) fn parked(&self) -> usize {
        self.parked.borrow().len()
    }

    pub(super) fn active(&self) -> usize {
        self.active.borrow().len()
    }

    /// Closes the connection that has been idle for longest. Connections with a request in flight stay, and so do those that
    /// were active within [`MIN_IDLE_BEFORE_EVICTION`]: their next request may be on the way and would fail unread. False if no
    /// connection could be closed.
    pub(super) fn evict_idle(&self, now: Micros) -> bool {
        let is_old = |since: Micros| now.saturating_sub(since) >= MIN_IDLE_BEFORE_EVICTION;
        let parked = self
            .parked
            .borrow()
            .first_key_value()
            .map(|((since, _), client)| (*since, Rc::clone(client)));
        // Active connections that are idle have sent a part of a request, or are about to be parked.
        let active = self.active.borrow();
        let open = active
            .values()
            .filter(|client| !client.close_requested.get());
        let idle = open.filter_map(|client| Some((client.idle_since.get()?, client)));
        let idle = idle.min_by_key(|(since, client)| (*since, client.id));
        let idle = idle.map(|(since, client)| (since, Rc::clone(client)));
        drop(active);
        let oldest = parked
            .into_iter()
            .chain(idle)
            .filter(|(since, _)| is_old(*since))
            .min_by_key(|(since, _)| *since);
        if let Some((_, client)) = &oldest {
            // No longer parked, it is not chosen again while it closes.
            self.wake(client);
            client.request_close();
        }
        oldest.is_some()
    }

    /// Whether most connections are held for as long as their clients take to send a body or to read a streamed response.
    pub(super) fn are_mostly_held_by_clients(&self) -> bool {
        let active = self.active.borrow();
        let held = active
            .values()
            .filter(|client| client.streaming.get() || !client.body_complete.get());
        2 * held.count() > self.parked() + active.len()
    }

    /// The start of the idleness of the parked connection that has been idle for longest.
    pub(super) fn oldest_parked_since(&self) -> Option<Micros> {
        self.parked
            .borrow()
            .first_key_value()
            .map(|((since, _), _)| *since)
    }

    /// Closes the connections that have been idle since `since` or earlier and have sent no part of a request.
    pub(super) fn close_idle(&self, since: Micros) {
        let parked = self.parked.borrow();
        let idle_parked = parked
            .range(..=(since, u64::MAX))
            .map(|(_, client)| Rc::clone(client));
        let mut to_close: Vec<Rc<Client>> = idle_parked.collect();
        drop(parked);
        let active = self.active.borrow();
        let idle = |client: &&Rc<Client>| {
            client.may_be_parked()
                && client
                    .idle_since
                    .get()
                    .is_some_and(|idle_since| idle_since <= since)
        };
        to_close.extend(active.values().filter(idle).cloned());
        drop(active);
        to_close.iter().for_each(|client| client.request_close());
    }

    pub(super) fn close_all(&self) {
        let parked: Vec<Rc<Client>> = self.parked.borrow().values().cloned().collect();
        parked.iter().for_each(|client| client.request_close());
        self.active
            .borrow()
            .values()
            .for_each(|client| client.request_close());
    }

    fn park(&self, client: &Rc<Client>, since: Micros) {
        self.active.borrow_mut().remove(&client.id);
        self.parked
            .borrow_mut()
            .insert((since, client.id), Rc::clone(client));
    }

    fn wake(&self, client: &Rc<Client>) {
        if let Some(since) = client.idle_since.get() {
            self.parked.borrow_mut().remove(&(since, client.id));
        }
        self.active
            .borrow_mut()
            .insert(client.id, Rc::clone(client));
    }
}

/// Registers a connection with its listener until it is dropped.
struct Registration<'a> {
    listener: &'a Listener,
    client: Rc<Client>,
}

impl<'a> Registration<'a> {
    fn new(listener: &'a Listener, stream: TcpStream, charged: Rc<ChargedAccount>) -> Self {
        let clients = &listener.clients;
        let id = clients.accepted.replace(clients.accepted.get() + 1);
        let now = listener.process.clock.now();
        let client = Rc::new(Client {
            id,
            stream,
            idle_since: Cell::new(Some(now)),
            close_requested: Cell::new(false),
            disconnected: Cell::new(false),
            waker: RefCell::default(),
            charged,
            body_complete: Cell::new(true),
            ambiguous_framing: Cell::new(false),
            read_since_response: Cell::new(false),
            streaming: Cell::new(false),
            last_write_at: Cell::new(now),
            flushed: Cell::new(true),
            write_pace: WritePace::default(),
            arrivals: ClientArrivals::new(now),
            activation_wait: Cell::new(0),
        });
        clients.park(&client, now);
        listener
            .process
            .client_connections
            .set(listener.process.client_connections.get() + 1);
        Registration { listener, client }
    }
}

impl Drop for Registration<'_> {
    fn drop(&mut self) {
        let clients = &self.listener.clients;
        if let Some(since) = self.client.idle_since.get() {
            clients.parked.borrow_mut().remove(&(since, self.client.id));
        }
        clients.active.borrow_mut().remove(&self.client.id);
        self.listener
            .process
            .client_connections
            .set(self.listener.process.client_connections.get() - 1);
    }
}

/// How serving a connection has ended; see [`ServeOutcome`].
enum ServeEnd {
    Idle,
    Closed(ConnectionEnd),
    Lost(ConnectionEnd),
}

/// What to do with a connection after serving it.
enum ServeOutcome {
    /// Idle: park it.
    Idle(ClientIo),
    /// Closed by this side or by hyper: the lingering close follows.
    Closed(ConnectionEnd),
    /// The client has disconnected or timed out: drop it at once.
    Lost(ConnectionEnd),
}

/// What follows the end of a client's connection.
enum Closing {
    Linger,
    AtOnce,
}

/// Serves one connection from its accept to its close.
pub(super) async fn serve(listener: &Rc<Listener>, stream: TcpStream, charged: Rc<ChargedAccount>) {
    // A failure only delays responses.
    let _ = stream.set_nodelay(true);
    let registration = Registration::new(listener, stream, charged);
    let client = &registration.client;
    let (end, closing) = serve_until_end(listener, client).await;
    listener.clients.ends.record(end);
    end.log(&client.stream);
    if matches!(closing, Closing::Linger) {
        lingering_close(listener, client).await;
    }
}

/// Serves a connection until it has to be closed.
async fn serve_until_end(listener: &Rc<Listener>, client: &Rc<Client>) -> (ConnectionEnd, Closing) {
    let mut io = ClientIo {
        read_ahead: Bytes::new(),
        client: Rc::clone(client),
        listener: Rc::clone(listener),
        framing: RequestFraming::default(),
    };
    loop {
        if let Err(end) = wait_while_parked(listener, client).await {
            return (end, Closing::Linger);
        }
        if listener.must_reject_unread() || !wait_for_activation(listener, client).await {
            let closing = match reject_unread(listener, client) {
                Unread::Complete => Closing::AtOnce,
                Unread::Incomplete => Closing::Linger,
            };
            return (ConnectionEnd::RejectedUnread, closing);
        }
        // Boxed, since the future holds everything that a request needs, and parked connections must be small.
        match Box::pin(serve_requests(listener, client, io)).await {
            ServeOutcome::Idle(parked_io) => io = parked_io,
            ServeOutcome::Closed(end) => return (end, Closing::Linger),
            ServeOutcome::Lost(end) => return (end, Closing::AtOnce),
        }
    }
}

/// Shuts down the writing half, then reads and drops what the client still sends.
async fn lingering_close(listener: &Listener, client: &Client) {
    if shutdown(&client.stream, Shutdown::Write).is_err() {
        return;
    }
    let under_pressure =
        listener.is_near_connection_limit() || listener.process.descriptors_exhausted();
    let timeout = if under_pressure {
        LINGER_TIMEOUT_UNDER_PRESSURE
    } else {
        LINGER_TIMEOUT
    };
    let read_to_end = async {
        let mut remaining = LINGER_MAX_BYTES;
        while remaining > 0 {
            let read = |stream: &TcpStream| {
                READ_BUFFER.with_borrow_mut(|read_buffer| stream.try_read(read_buffer))
            };
            match poll_fn(|context| readiness::poll_read(&client.stream, context, read)).await {
                Ok(0) | Err(_) => return,
                Ok(count) => remaining = remaining.saturating_sub(count),
            }
        }
    };
    let _ = listener.process.timeout(timeout, read_to_end).await;
}

/// Waits for the first byte of a request.
///
/// # Errors
/// The connection is to be closed.
async fn wait_while_parked(listener: &Listener, client: &Client) -> Result<(), ConnectionEnd> {
    let since = client.idle_since.get().unwrap_or_default();
    let mut timer = pin!(
        listener
            .process
            .sleep_until(since + listener.settings.get().idle_timeout)
    );
    // Requests that arrived before a close are still served.
    let unless_unread = |end| match client.has_unread_bytes() {
        true => Ok(()),
        false => Err(end),
    };
    poll_fn(|context| {
        if client.poll_close_requested(context) {
            return Poll::Ready(unless_unread(ConnectionEnd::CloseRequested));
        }
        // Readiness alone does not prove a byte: fresh sockets have been seen to report it without one.
        match readiness::poll_peek(&client.stream, context) {
            Poll::Ready(Ok(1..)) => {
                client.arrivals.record_arrival(listener.process.clock.now());
                return Poll::Ready(Ok(()));
            }
            Poll::Ready(_) => return Poll::Ready(Err(ConnectionEnd::Finished)),
            Poll::Pending => {}
        }
        // SIGSTOP interrupts tokio's wait for sockets, so after SIGCONT the timer is seen first: the socket may hold bytes that
        // tokio does not know of yet.
        timer
            .as_mut()
            .poll(context)
            .map(|()| unless_unread(ConnectionEnd::Idle))
    })
    .await
}

/// Serves requests until the connection has been idle for [`PARK_AFTER_IDLE`] or is closed.
async fn serve_requests(
    listener: &Rc<Listener>,
    client: &Rc<Client>,
    io: ClientIo,
) -> ServeOutcome {
    let process = &listener.process;
    listener.clients.wake(client);
    let _active = CountGuard::new(&process.active_client_connections);
    process.enforce_connection_memory(2);
    listener
        .clients
        .wakeups
        .set(listener.clients.wakeups.get() + 1);
    let activated_at = process.clock.now();
    let service =
        hyper::service::service_fn(|request: hyper::Request<hyper::body::Incoming>| async {
            client.idle_since.set(None);
            client.body_complete.set(request.body().is_end_stream());
            let mut response = virtual_server::handle_request(listener, client, request).await;
            client.charged.set(listener.account());
            // With a streamed response, the connection is idle once that has ended, not when it starts.
            let (now, streaming) = (process.clock.now(), response.body().is_streamed());
            client.streaming.set(streaming);
            client.last_write_at.set(now);
            client.idle_since.set((!streaming).then_some(now));
            client.read_since_response.set(false);
            client.arrivals.record_response(now);
            client.write_pace.start_response();
            if process.lifecycle.borrow().closes_after_response()
                || listener.is_draining()
                || listener.is_near_connection_limit()
            {
                response
                    .headers_mut()
                    .insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        });
    let mut connection = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(io, service);
    let mut timer = process.sleep_until(activated_at + PARK_AFTER_IDLE);
    // When its close was first requested.
    let mut close_requested_at: Option<Micros> = None;
    let end = poll_fn(|context| {
        // Errors of the connection are not reported: the client caused them, and its transaction is dropped with it.
        if Pin::new(&mut connection).poll(context).is_ready() {
            return Poll::Ready(if client.disconnected.get() {
                ServeEnd::Lost(ConnectionEnd::ClientGone)
            } else {
                ServeEnd::Closed(ConnectionEnd::Finished)
            });
        }
        if client.disconnected.get() {
            return Poll::Ready(ServeEnd::Lost(ConnectionEnd::ClientGone));
        }
        if client.poll_close_requested(context) && close_requested_at.is_none() {
            let now = process.clock.now();
            close_requested_at = Some(now);
            timer = process.sleep_until(now + MIN_IDLE_BEFORE_EVICTION);
            // Closes at once if it is idle, else after its response.
            Pin::new(&mut connection).graceful_shutdown();
            if Pin::new(&mut connection).poll(context).is_ready() {
                return Poll::Ready(ServeEnd::Closed(ConnectionEnd::CloseRequested));
            }
        }
        while Pin::new(&mut timer).poll(context).is_ready() {
            let now = process.clock.now();
            let (idle, streaming) = (client.idle_since.get(), client.streaming.get());
            // A client that has stopped reading holds resources that others need.
            if idle.is_none()
                && streaming
                && now.saturating_sub(client.last_write_at.get()) >= WRITE_STALL_TIMEOUT
            {
                return Poll::Ready(ServeEnd::Lost(ConnectionEnd::WriteStalled));
            }
            if process
                .memory
                .must_release(client.lag(now, activated_at), now)
            {
                return Poll::Ready(ServeEnd::Lost(ConnectionEnd::GaveWay));
            }
            let next = match (idle, close_requested_at) {
                // A streamed response continues for as long as its client reads it.
                (None, Some(_)) if streaming => now + PARK_AFTER_IDLE,
                (_, Some(requested_at)) => {
                    // An incomplete head gets a short time only; nothing of its request has been forwarded.
                    let without_request = idle.is_some() && client.flushed.get();
                    let deadline = requested_at
                        + if without_request {
                            MIN_IDLE_BEFORE_EVICTION
                        } else {
                            max_response_time(listener)
                        };
                    if now >= deadline {
                        return Poll::Ready(ServeEnd::Closed(ConnectionEnd::CloseRequested));
                    }
                    deadline.min(now + PARK_AFTER_IDLE)
                }
                (None, None) => now + PARK_AFTER_IDLE,
                (Some(since), None) if client.may_be_parked() => {
                    if now.saturating_sub(since) >= PARK_AFTER_IDLE {
                        return Poll::Ready(ServeEnd::Idle);
                    }
                    since + PARK_AFTER_IDLE
                }
                (Some(since), None) => {
                    let deadline = unparked_deadline(listener, client, since, activated_at);
                    if now >= deadline {
                        return Poll::Ready(ServeEnd::Lost(ConnectionEnd::IncompleteHead));
                    }
                    deadline.min(now + PARK_AFTER_IDLE)
                }
            };
            timer = process.sleep_until(next);
        }
        Poll::Pending
    })
    .await;
    match end {
        ServeEnd::Closed(end) => ServeOutcome::Closed(end),
        ServeEnd::Lost(end) => ServeOutcome::Lost(end),
        ServeEnd::Idle => {
            let parts = connection.into_parts();
            let Some(since) = client.idle_since.get() else {
                return ServeOutcome::Closed(ConnectionEnd::Finished);
            };
            listener.clients.park(client, since);
            ServeOutcome::Idle(ClientIo {
                read_ahead: parts.read_buf,
                ..parts.io
            })
        }
    }
}

/// How long a response may take in all, until the client has read it.
fn max_response_time(listener: &Listener) -> Micros {
    let services = listener.process.services.borrow();
    let longest = services
        .iter()
        .map(|service| service.active_settings().max_deadline)
        .max()
        .unwrap_or_default();
    (longest + CLOSE_GRACE_PERIOD).as_micros() as Micros
}

/// Until when an active connection may stay without a request in flight and without being parked.
fn unparked_deadline(
    listener: &Listener,
    client: &Client,
    since: Micros,
    activated_at: Micros,
) -> Micros {
    let settings = listener.settings.get();
    if !client.flushed.get() {
        // Its response is still being read; a slow reader gets as much time as a client that waits for its response.
        since.max(client.last_write_at.get())
            + max_response_time(listener).max(settings.head_timeout)
    } else if !client.body_complete.get() {
        since + virtual_server::BODY_DRAIN_TIMEOUT.max(settings.body_timeout)
    } else {
        // The head of a request is incomplete, or was when the connection became active.
        since.max(activated_at) + settings.head_timeout
    }
}

/// A client's socket as hyper uses it; records reads and writes in [`Client`].
struct ClientIo {
    /// Bytes that hyper had read, but not used, before the connection was parked.
    read_ahead: Bytes,
    client: Rc<Client>,
    listener: Rc<Listener>,
    framing: RequestFraming,
}

impl ClientIo {
    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        let now = self.listener.process.clock.now();
        match written {
            Poll::Ready(Ok(count)) => {
                self.client.last_write_at.set(now);
                self.client.write_pace.record_written(*count, now);
            }
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.client.write_pace.record_blocked(now),
        }
    }
}

impl Read for ClientIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.read_ahead.is_empty() {
            let count = self.read_ahead.len().min(buffer.remaining());
            buffer.put_slice(&self.read_ahead.split_to(count));
            self.client.read_since_response.set(true);
            return Poll::Ready(Ok(()));
        }
        // The connection is polled again at its next check, at the latest after [`PARK_AFTER_IDLE`].
        // What a connection reads first was admitted with it.
        let process = &self.listener.process;
        if self.client.read_since_response.get()
            && !process.has_memory(MemoryPurpose::Request, REQUEST_READ_BYTES)
        {
            return Poll::Pending;
        }
        // Read into a buffer of our own, since hyper's cursor does not let its bytes be inspected.
        let io = &mut *self;
        READ_BUFFER.with_borrow_mut(|read_buffer| {
            let capacity = buffer.remaining().min(read_buffer.len());
            let polled = io.client.poll_read(context, &mut read_buffer[..capacity]);
            let now = io.listener.process.clock.now();
            if polled.is_pending() {
                io.client.arrivals.record_empty(now);
            }
            let count = ready!(polled)?;
            io.client.arrivals.record_arrival(now);
            let read = &read_buffer[..count];
            io.client.read_since_response.set(true);
            if !io.framing.follow(read) {
                io.client.ambiguous_framing.set(true);
            }
            buffer.put_slice(read);
            Poll::Ready(Ok(()))
        })
    }
}

impl Write for ClientIo {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.client.flushed.set(false);
        let written = self
            .client
            .poll_write(context, |stream| stream.try_write(bytes));
        self.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.client.flushed.set(false);
        let written = self
            .client
            .poll_write(context, |stream| stream.try_write_vectored(bytes));
        self.record_write(&written);
        written
    }

    /// hyper flushes once it has nothing left to write.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.client.flushed.set(true);
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(shutdown(&self.client.stream, Shutdown::Write).map_err(io::Error::from))
    }
}
