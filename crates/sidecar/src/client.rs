//! A client's connection. While no request is open on it, it is parked: a socket, a place among the clients and one
//! timer, without a parser or a buffer. It wakes on its first byte, is served by `hyper` for as long as it is busy, and
//! is parked again once it has been idle for a moment.
//!
//! Its end is a lingering close: this side says that it writes no more, reads what still comes to the client's own end, within
//! [`LINGERS`] and [`LINGERS_OVER`], and closes then. A close over unread bytes would reset the connection and take the last
//! answer with it. Nothing that is read so is served: a client that hears the end before any answer sends again.
//!
//! A client that has closed its side has gone. `hyper` hears of that by itself where it waits for the next bytes; where some
//! lie unread before the end, nobody reads, and so the system is asked before each attempt begins ([`Client::has_disconnected`]).

use super::fair_scheduler::ChargedAccount;
use super::listener::{CLOSE_GRACE_PERIOD, Listener};
use super::readiness::{self, peek_nonblocking};
use super::request_framing::RequestFraming;
use super::virtual_server;
use bytes::Bytes;
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

/// A connection that was opened, or whose last answer went, so little ago may have a request on the way.
pub(super) const MIN_IDLE_BEFORE_EVICTION: Micros = 50_000;
/// A connection is parked once it has been idle for so long, and looked after as often while it is not.
const PARKED_AFTER: Micros = 250_000;
/// A client that takes nothing of an answer for so long has stopped.
pub(super) const WRITE_STALL_TIMEOUT: Micros = 30_000_000;
/// How long a client's own end is waited for at a close, and how much is read meanwhile: after that the connection may be
/// reset under what still comes.
const LINGERS: Micros = 1_000_000;
const LINGERS_OVER: usize = 1 << 20;
/// How long where descriptors run short.
const LINGERS_IN_A_CROWD: Micros = 50_000;
/// A head, and what is read ahead of a body, hold this much at most.
const HEAD: usize = 16 << 10;

thread_local! {
    /// What is read from clients passes through here.
    static SCRATCH: RefCell<Box<[u8]>> = RefCell::new(vec![0; HEAD].into());
}

/// One client's connection.
pub(super) struct Client {
    number: u64,
    stream: TcpStream,
    /// Since when it has no request open; nothing while it has.
    idle_since: Cell<Option<Micros>>,
    /// It has been told to close: at once where it is idle, else with its answer.
    closing: Cell<bool>,
    /// It was found to have gone while it had a request open.
    gone: Cell<bool>,
    /// Its task.
    waiting: RefCell<Option<Waker>>,
    /// Whose work it is.
    pub(super) charged: Rc<ChargedAccount>,
    /// The body of the last request has been read whole. Left unread, what follows on the connection is not the next
    /// request, and must never be taken for it.
    pub(super) body_read: Cell<bool>,
    /// It is not certain how what it wrote is to be read, so that nothing of it may go on.
    pub(super) ambiguous: Cell<bool>,
    /// Something has been read since the last answer.
    read: Cell<bool>,
    /// An answer is passed on to it as it comes.
    passing: Cell<bool>,
    /// When it last took something.
    wrote: Cell<Micros>,
    /// Nothing that was written waits for the client.
    flushed: Cell<bool>,
}

impl Client {
    fn tell_to_close(&self) {
        self.closing.set(true);
        if let Some(waiting) = self.waiting.borrow().as_ref() {
            waiting.wake_by_ref();
        }
    }

    fn is_told(&self, context: &Context<'_>) -> bool {
        let mut waiting = self.waiting.borrow_mut();
        if waiting
            .as_ref()
            .is_none_or(|waker| !waker.will_wake(context.waker()))
        {
            *waiting = Some(context.waker().clone());
        }
        self.closing.get()
    }

    /// Whether it has closed its side, by the system's word of this moment, also behind bytes that nobody has read. Once this
    /// was found true the connection ends as soon as its task gives way, and its open request with it.
    pub(super) fn has_disconnected(&self) -> bool {
        let gone = match peek_nonblocking(&self.stream) {
            Ok(0) => true,
            Ok(_) => self.has_ended_behind_what_is_unread(),
            Err(error) => !matches!(error, Errno::AGAIN | Errno::INTR),
        };
        self.gone.set(self.gone.get() || gone);
        gone
    }

    fn has_ended_behind_what_is_unread(&self) -> bool {
        let ended = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let mut asked = [PollFd::new(&self.stream, PollFlags::RDHUP)];
        let at_once = Timespec {
            tv_sec: 0,
            tv_nsec: 0,
        };
        poll(&mut asked, Some(&at_once)).is_ok_and(|_| asked[0].revents().intersects(ended))
    }

    fn holds_a_byte(&self) -> bool {
        peek_nonblocking(&self.stream).is_ok_and(|count| count > 0)
    }

    fn poll_read(&self, context: &mut Context<'_>, into: &mut [u8]) -> Poll<io::Result<usize>> {
        let read = readiness::poll_read(&self.stream, context, |stream| stream.try_read(into));
        if read.is_pending() && self.closing.get() && !into.is_empty() {
            // Once it is told to close nothing may be left that came before: the runtime may not have heard of it. This
            // takes nothing of the budget; hyper gives way after 16 rounds by itself.
            let found = rustix::net::recv(&self.stream, &mut *into, RecvFlags::DONTWAIT).ok();
            return found.map_or(Poll::Pending, |(count, _)| Poll::Ready(Ok(count)));
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

    /// The last byte of an answer that is passed on has been read from its server.
    /// Told before the next request on the connection is read.
    pub(super) fn response_ended(&self, now: Micros) {
        self.passing.set(false);
        self.idle_since.set(Some(now));
    }

    fn may_be_parked(&self) -> bool {
        self.idle_since.get().is_some()
            && self.body_read.get()
            && self.flushed.get()
            && !self.read.get()
    }
}

/// The connections of clients.
#[derive(Default)]
pub(super) struct Clients {
    /// Parked, by since when they are idle.
    parked: RefCell<BTreeMap<(Micros, u64), Rc<Client>>>,
    /// All others.
    active: RefCell<HashMap<u64, Rc<Client>, foldhash::quality::FixedState>>,
    accepted: Cell<u64>,
    /// How often one that was parked has been woken by its client.
    wakeups: Cell<u64>,
}

impl Clients {
    /// How many have come, since the start.
    pub(super) fn accepted(&self) -> u64 {
        self.accepted.get()
    }

    pub(super) fn wakeups(&self) -> u64 {
        self.wakeups.get()
    }

    /// How many are there.
    pub(super) fn count(&self) -> usize {
        self.parked() + self.active()
    }

    pub(super) fn parked(&self) -> usize {
        self.parked.borrow().len()
    }

    pub(super) fn active(&self) -> usize {
        self.active.borrow().len()
    }

    /// Has the connection closed that lies idle for longest. One with a request open stays, and so does one so
    /// young that its request may be on the way: what was never read would have failed by that. False where none goes.
    pub(super) fn evict_idle(&self, now: Micros) -> bool {
        let old = |since: Micros| now.saturating_sub(since) >= MIN_IDLE_BEFORE_EVICTION;
        let parked = self
            .parked
            .borrow()
            .first_key_value()
            .map(|((since, _), client)| (*since, Rc::clone(client)));
        // Those that are served and idle have sent a part of a request, or are about to be parked.
        let served = self.active.borrow();
        let staying = served.values().filter(|client| !client.closing.get());
        let idle = staying.filter_map(|client| Some((client.idle_since.get()?, client)));
        let idle = idle.min_by_key(|(since, client)| (*since, client.number));
        let idle = idle.map(|(since, client)| (since, Rc::clone(client)));
        drop(served);
        let oldest = parked
            .into_iter()
            .chain(idle)
            .filter(|(since, _)| old(*since))
            .min_by_key(|(since, _)| *since);
        if let Some((_, client)) = &oldest {
            // It goes once, also where that takes a moment.
            self.wake(client);
            client.tell_to_close();
        }
        oldest.is_some()
    }

    /// Since when the one has been parked that has been idle for longest.
    pub(super) fn oldest_parked_since(&self) -> Option<Micros> {
        self.parked
            .borrow()
            .first_key_value()
            .map(|((since, _), _)| *since)
    }

    /// Has those connections closed that have been idle since this time or before, with nothing of a request on them.
    pub(super) fn close_idle(&self, since: Micros) {
        let parked = self.parked.borrow();
        let old = parked
            .range(..=(since, u64::MAX))
            .map(|(_, client)| Rc::clone(client));
        let mut old: Vec<Rc<Client>> = old.collect();
        drop(parked);
        let served = self.active.borrow();
        let idle = |client: &&Rc<Client>| {
            client.may_be_parked() && client.idle_since.get().is_some_and(|at| at <= since)
        };
        old.extend(served.values().filter(idle).cloned());
        drop(served);
        old.iter().for_each(|client| client.tell_to_close());
    }

    pub(super) fn close_all(&self) {
        let parked: Vec<Rc<Client>> = self.parked.borrow().values().cloned().collect();
        parked.iter().for_each(|client| client.tell_to_close());
        self.active
            .borrow()
            .values()
            .for_each(|client| client.tell_to_close());
    }

    fn park(&self, client: &Rc<Client>, since: Micros) {
        self.active.borrow_mut().remove(&client.number);
        self.parked
            .borrow_mut()
            .insert((since, client.number), Rc::clone(client));
    }

    fn wake(&self, client: &Rc<Client>) {
        if let Some(since) = client.idle_since.get() {
            self.parked.borrow_mut().remove(&(since, client.number));
        }
        self.active
            .borrow_mut()
            .insert(client.number, Rc::clone(client));
    }
}

/// A connection's place among those of the clients; left with its end.
struct Entered<'a> {
    of: &'a Listener,
    client: Rc<Client>,
}

impl<'a> Entered<'a> {
    fn new(of: &'a Listener, stream: TcpStream, charged: Rc<ChargedAccount>) -> Self {
        let clients = &of.clients;
        let number = clients.accepted.replace(clients.accepted.get() + 1);
        let now = of.process.clock.now();
        let client = Rc::new(Client {
            number,
            stream,
            idle_since: Cell::new(Some(now)),
            closing: Cell::new(false),
            gone: Cell::new(false),
            waiting: RefCell::default(),
            charged,
            body_read: Cell::new(true),
            ambiguous: Cell::new(false),
            read: Cell::new(false),
            passing: Cell::new(false),
            wrote: Cell::new(now),
            flushed: Cell::new(true),
        });
        clients.park(&client, now);
        of.process
            .client_connections
            .set(of.process.client_connections.get() + 1);
        Entered { of, client }
    }
}

impl Drop for Entered<'_> {
    fn drop(&mut self) {
        let clients = &self.of.clients;
        if let Some(since) = self.client.idle_since.get() {
            clients
                .parked
                .borrow_mut()
                .remove(&(since, self.client.number));
        }
        clients.active.borrow_mut().remove(&self.client.number);
        self.of
            .process
            .client_connections
            .set(self.of.process.client_connections.get() - 1);
    }
}

/// One less, in the end.
struct Counted<'a>(&'a Cell<usize>);

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// How the serving of a connection has ended.
enum End {
    Idle,
    Over,
    Lost,
}

/// What becomes of a connection that was served.
enum Served {
    /// It has been idle for a moment.
    Idle(ClientIo),
    /// It is over. What its client still writes is read to its end.
    Over,
    /// Its client has gone, or is given up: there is nobody to wait for.
    Lost,
}

/// Serves one connection from its beginning to its end.
pub(super) async fn serve(listener: &Rc<Listener>, stream: TcpStream, charged: Rc<ChargedAccount>) {
    // Only a delay is lost where this cannot be set.
    let _ = stream.set_nodelay(true);
    let entered = Entered::new(listener, stream, charged);
    let client = &entered.client;
    let mut io = ClientIo {
        before: Bytes::new(),
        client: Rc::clone(client),
        listener: Rc::clone(listener),
        framing: RequestFraming::default(),
    };
    while parked(listener, client).await {
        // In a box, as it holds all that a request needs: what is parked is to be small.
        match Box::pin(served(listener, client, io)).await {
            Served::Idle(back) => io = back,
            Served::Over => break,
            Served::Lost => return,
        }
    }
    linger(listener, client).await;
}

/// The lingering close: nothing more is written, and what the client still writes is read and dropped.
async fn linger(listener: &Listener, client: &Client) {
    if shutdown(&client.stream, Shutdown::Write).is_err() {
        return;
    }
    let short = listener.is_near_connection_limit() || listener.process.descriptors_exhausted();
    let within = if short { LINGERS_IN_A_CROWD } else { LINGERS };
    let to_its_end = async {
        let mut left = LINGERS_OVER;
        while left > 0 {
            let read =
                |stream: &TcpStream| SCRATCH.with_borrow_mut(|scratch| stream.try_read(scratch));
            match poll_fn(|context| readiness::poll_read(&client.stream, context, read)).await {
                Ok(0) | Err(_) => return,
                Ok(count) => left = left.saturating_sub(count),
            }
        }
    };
    let _ = listener.process.timeout(within, to_its_end).await;
}

/// Waits for a first byte. False where the connection is to end.
async fn parked(listener: &Listener, client: &Client) -> bool {
    let since = client.idle_since.get().unwrap_or_default();
    let mut alarm = pin!(
        listener
            .process
            .sleep_until(since + listener.settings.get().idle_timeout)
    );
    poll_fn(|context| {
        // What has come before the close is served.
        if client.is_told(context) {
            return Poll::Ready(client.holds_a_byte());
        }
        // Readiness alone is no byte: a fresh socket has been seen to claim it.
        match readiness::poll_peek(&client.stream, context) {
            Poll::Ready(Ok(count)) => return Poll::Ready(count > 0),
            Poll::Ready(Err(_)) => return Poll::Ready(false),
            Poll::Pending => {}
        }
        // A stop of the process breaks off the wait for sockets, and so the alarm is seen first when it goes on: what
        // came meanwhile is in the socket, and the runtime does not know of it.
        alarm.as_mut().poll(context).map(|()| client.holds_a_byte())
    })
    .await
}

/// Serves requests. Gives the connection back once it has been idle for a moment.
async fn served(listener: &Rc<Listener>, client: &Rc<Client>, io: ClientIo) -> Served {
    let process = &listener.process;
    listener.clients.wake(client);
    process
        .active_client_connections
        .set(process.active_client_connections.get() + 1);
    let _served = Counted(&process.active_client_connections);
    process.enforce_connection_memory(2);
    listener
        .clients
        .wakeups
        .set(listener.clients.wakeups.get() + 1);
    let woken = process.clock.now();
    let service =
        hyper::service::service_fn(|request: hyper::Request<hyper::body::Incoming>| async {
            client.idle_since.set(None);
            client.body_read.set(request.body().is_end_stream());
            let mut response = virtual_server::handle_request(listener, client, request).await;
            client.charged.set(listener.account());
            // One that is passed on is idle when it has gone, and not when it begins.
            let (now, passing) = (process.clock.now(), response.body().is_streamed());
            client.passing.set(passing);
            client.wrote.set(now);
            client.idle_since.set((!passing).then_some(now));
            client.read.set(false);
            if process.lifecycle.borrow().ends_connections()
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
        .max_buf_size(HEAD)
        .serve_connection(io, service);
    let mut alarm = process.sleep_until(woken + PARKED_AFTER);
    // When it was told to close.
    let mut told: Option<Micros> = None;
    let end = poll_fn(|context| {
        // How a connection ends is the client's affair: a transaction that was on it is dropped with it.
        if Pin::new(&mut connection).poll(context).is_ready() {
            return Poll::Ready(if client.gone.get() {
                End::Lost
            } else {
                End::Over
            });
        }
        if client.gone.get() {
            return Poll::Ready(End::Lost);
        }
        if client.is_told(context) && told.is_none() {
            let now = process.clock.now();
            told = Some(now);
            alarm = process.sleep_until(now + MIN_IDLE_BEFORE_EVICTION);
            // Closes at once where it lies idle, else with its answer.
            Pin::new(&mut connection).graceful_shutdown();
            if Pin::new(&mut connection).poll(context).is_ready() {
                return Poll::Ready(End::Over);
            }
        }
        while Pin::new(&mut alarm).poll(context).is_ready() {
            let now = process.clock.now();
            let (idle, passing) = (client.idle_since.get(), client.passing.get());
            // A reader that has stopped holds what others need.
            if idle.is_none()
                && passing
                && now.saturating_sub(client.wrote.get()) >= WRITE_STALL_TIMEOUT
            {
                return Poll::Ready(End::Lost);
            }
            let next = match (idle, told) {
                // What a server still gives goes on for as long as its client takes it.
                (None, Some(_)) if passing => now + PARKED_AFTER,
                (_, Some(at)) => {
                    // A head that is half here has a moment; nothing of it has gone on.
                    let moment = idle.is_some() && client.flushed.get();
                    let ends = at
                        + if moment {
                            MIN_IDLE_BEFORE_EVICTION
                        } else {
                            longest_answer(listener)
                        };
                    if now >= ends {
                        return Poll::Ready(End::Over);
                    }
                    ends.min(now + PARKED_AFTER)
                }
                (None, None) => now + PARKED_AFTER,
                (Some(since), None) if client.may_be_parked() => {
                    if now.saturating_sub(since) >= PARKED_AFTER {
                        return Poll::Ready(End::Idle);
                    }
                    since + PARKED_AFTER
                }
                (Some(since), None) => {
                    let until = longest_idle(listener, client, since, woken);
                    if now >= until {
                        return Poll::Ready(End::Lost);
                    }
                    until.min(now + PARKED_AFTER)
                }
            };
            alarm = process.sleep_until(next);
        }
        Poll::Pending
    })
    .await;
    match end {
        End::Over => Served::Over,
        End::Lost => Served::Lost,
        End::Idle => {
            let parts = connection.into_parts();
            let Some(since) = client.idle_since.get() else {
                return Served::Over;
            };
            listener.clients.park(client, since);
            Served::Idle(ClientIo {
                before: parts.read_buf,
                ..parts.io
            })
        }
    }
}

/// How long an answer that was begun may take, and be read for.
fn longest_answer(listener: &Listener) -> Micros {
    let services = listener.process.services.borrow();
    let longest = services
        .iter()
        .map(|service| service.active_settings().max_deadline)
        .max()
        .unwrap_or_default();
    (longest + CLOSE_GRACE_PERIOD).as_micros() as Micros
}

/// Until when a connection may be without an open request, and yet not be parked.
fn longest_idle(listener: &Listener, client: &Client, since: Micros, woken: Micros) -> Micros {
    let settings = listener.settings.get();
    if !client.flushed.get() {
        // Its answer is being read; a client that reads slowly loses no more than one that waits.
        since.max(client.wrote.get()) + longest_answer(listener).max(settings.head_timeout)
    } else if !client.body_read.get() {
        since + virtual_server::BODY_DRAIN_TIMEOUT.max(settings.body_timeout)
    } else {
        // The head of a request is on its way, or was when it woke.
        since.max(woken) + settings.head_timeout
    }
}

/// A client's socket, which tells what has passed over it.
struct ClientIo {
    /// Read before it was parked.
    before: Bytes,
    client: Rc<Client>,
    listener: Rc<Listener>,
    framing: RequestFraming,
}

impl ClientIo {
    fn note(&self, written: &Poll<io::Result<usize>>) {
        if matches!(written, Poll::Ready(Ok(_))) {
            self.client.wrote.set(self.listener.process.clock.now());
        }
    }
}

impl Read for ClientIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.before.is_empty() {
            let count = self.before.len().min(buffer.remaining());
            buffer.put_slice(&self.before.split_to(count));
            self.client.read.set(true);
            return Poll::Ready(Ok(()));
        }
        // By way of a buffer of our own, since what is in hyper's cannot be looked at.
        let io = &mut *self;
        SCRATCH.with_borrow_mut(|scratch| {
            let room = buffer.remaining().min(scratch.len());
            let count = ready!(io.client.poll_read(context, &mut scratch[..room]))?;
            let read = &scratch[..count];
            io.client.read.set(true);
            if !io.framing.follow(read) {
                io.client.ambiguous.set(true);
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
        self.note(&written);
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
        self.note(&written);
        written
    }

    /// Asked for once nothing is left to write.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.client.flushed.set(true);
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(shutdown(&self.client.stream, Shutdown::Write).map_err(io::Error::from))
    }
}
