//! A client's connection. While no request is open on it, it is parked: a socket, a place among the clients and one
//! timer, without a parser or a buffer. It wakes on its first byte, is served by `hyper` for as long as it is busy, and
//! is parked again once it has been idle for a moment.

use super::heads::Heads;
use super::listener::{LINGER, Listener};
use super::turns::Charged;
use super::virtual_server;
use bytes::Bytes;
use hyper::body::Body;
use hyper::header::{self, HeaderValue};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use madderloom_balancer::Micros;
use rustix::net::RecvFlags;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;

/// A connection that was opened, or whose last answer went, so little ago may have a request on the way.
pub(super) const YOUNG: Micros = 50_000;
/// A connection is parked once it has been idle for so long, and looked after as often while it is not.
const PARKED_AFTER: Micros = 250_000;
/// A client that takes nothing of an answer for so long has stopped.
pub(super) const STOPPED: Micros = 30_000_000;
/// A head, and what is read ahead of a body, hold this much at most.
const HEAD: usize = 16 << 10;

thread_local! {
    /// What is read from clients passes through here.
    static SCRATCH: RefCell<Box<[u8]>> = RefCell::new(vec![0; HEAD].into());
}

/// What a connection has been told.
#[derive(Clone, Copy, PartialEq)]
enum Told {
    Nothing,
    /// It ends at once where it is idle, else with its answer.
    Close,
}

/// One client's connection.
pub(super) struct Client {
    number: u64,
    /// Since when it has no request open; nothing while it has.
    idle_since: Cell<Option<Micros>>,
    told: Cell<Told>,
    /// Its task.
    waiting: RefCell<Option<Waker>>,
    /// Whose work it is.
    pub(super) charged: Rc<Charged>,
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
        self.told.set(Told::Close);
        if let Some(waiting) = self.waiting.borrow().as_ref() {
            waiting.wake_by_ref();
        }
    }

    fn is_told(&self, context: &Context<'_>) -> bool {
        let mut waiting = self.waiting.borrow_mut();
        if waiting.as_ref().is_none_or(|waker| !waker.will_wake(context.waker())) {
            *waiting = Some(context.waker().clone());
        }
        self.told.get() == Told::Close
    }

    /// The last byte of an answer that is passed on has been read from its server.
    /// Told before the next request on the connection is read.
    pub(super) fn answered(&self, now: Micros) {
        self.passing.set(false);
        self.idle_since.set(Some(now));
    }

    fn may_be_parked(&self) -> bool {
        self.idle_since.get().is_some() && self.body_read.get() && self.flushed.get() && !self.read.get()
    }
}

/// The connections of clients.
#[derive(Default)]
pub(super) struct Clients {
    /// Parked, by since when they are idle.
    parked: RefCell<BTreeMap<(Micros, u64), Rc<Client>>>,
    /// All others.
    served: RefCell<HashMap<u64, Rc<Client>, foldhash::quality::FixedState>>,
    entered: Cell<u64>,
    /// How often one that was parked has been woken by its client.
    woken: Cell<u64>,
}

impl Clients {
    /// How many have come, since the start.
    pub(super) fn entered(&self) -> u64 {
        self.entered.get()
    }

    pub(super) fn woken(&self) -> u64 {
        self.woken.get()
    }

    /// How many are there.
    pub(super) fn count(&self) -> usize {
        self.parked() + self.served()
    }

    pub(super) fn parked(&self) -> usize {
        self.parked.borrow().len()
    }

    pub(super) fn served(&self) -> usize {
        self.served.borrow().len()
    }

    /// Has the connection closed that lies idle for longest. One with a request open stays, and so does one so
    /// young that its request may be on the way: what was never read would have failed by that.
    pub(super) fn make_room(&self, now: Micros) {
        let old = |since: Micros| now.saturating_sub(since) >= YOUNG;
        let parked =
            self.parked.borrow().first_key_value().map(|((since, _), client)| (*since, Rc::clone(client)));
        // Those that are served and idle have sent a part of a request, or are about to be parked.
        let served = self.served.borrow();
        let idle = served.values().filter_map(|client| Some((client.idle_since.get()?, client)));
        let idle = idle.min_by_key(|(since, client)| (*since, client.number));
        let idle = idle.map(|(since, client)| (since, Rc::clone(client)));
        drop(served);
        let oldest =
            parked.into_iter().chain(idle).filter(|(since, _)| old(*since)).min_by_key(|(since, _)| *since);
        if let Some((_, client)) = oldest {
            // It goes once, also where that takes a moment: until then it counts as one with a request.
            self.wake(&client);
            client.idle_since.set(None);
            client.tell_to_close();
        }
    }

    /// Since when the one has been parked that has been idle for longest.
    pub(super) fn oldest_parked(&self) -> Option<Micros> {
        self.parked.borrow().first_key_value().map(|((since, _), _)| *since)
    }

    /// Has those connections closed that have been idle since this time or before, with nothing of a request on them.
    pub(super) fn close_idle(&self, since: Micros) {
        let parked = self.parked.borrow();
        let old = parked.range(..=(since, u64::MAX)).map(|(_, client)| Rc::clone(client));
        let mut old: Vec<Rc<Client>> = old.collect();
        drop(parked);
        let served = self.served.borrow();
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
        self.served.borrow().values().for_each(|client| client.tell_to_close());
    }

    fn park(&self, client: &Rc<Client>, since: Micros) {
        self.served.borrow_mut().remove(&client.number);
        self.parked.borrow_mut().insert((since, client.number), Rc::clone(client));
    }

    fn wake(&self, client: &Rc<Client>) {
        if let Some(since) = client.idle_since.get() {
            self.parked.borrow_mut().remove(&(since, client.number));
        }
        self.served.borrow_mut().insert(client.number, Rc::clone(client));
    }
}

/// A connection's place among those of the clients; left with its end.
struct Entered<'a> {
    of: &'a Listener,
    client: Rc<Client>,
}

impl<'a> Entered<'a> {
    fn new(of: &'a Listener, charged: Rc<Charged>) -> Self {
        let clients = &of.clients;
        let number = clients.entered.replace(clients.entered.get() + 1);
        let now = of.common.clock.now();
        let client = Rc::new(Client {
            number,
            idle_since: Cell::new(Some(now)),
            told: Cell::new(Told::Nothing),
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
        of.common.clients.set(of.common.clients.get() + 1);
        Entered { of, client }
    }
}

impl Drop for Entered<'_> {
    fn drop(&mut self) {
        let clients = &self.of.clients;
        if let Some(since) = self.client.idle_since.get() {
            clients.parked.borrow_mut().remove(&(since, self.client.number));
        }
        clients.served.borrow_mut().remove(&self.client.number);
        self.of.common.clients.set(self.of.common.clients.get() - 1);
    }
}

/// One less, in the end.
struct Counted<'a>(&'a Cell<usize>);

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Why a connection is not served any longer.
enum End {
    /// It is over.
    Over,
    /// It has been told to end.
    Told,
    /// It has been idle for a moment.
    Idle,
}

/// Serves one connection from its beginning to its end.
pub(super) async fn serve(listener: &Rc<Listener>, stream: TcpStream, charged: Rc<Charged>) {
    // Only a delay is lost where this cannot be set.
    let _ = stream.set_nodelay(true);
    let entered = Entered::new(listener, charged);
    let client = &entered.client;
    let mut io = ClientIo {
        stream: TokioIo::new(stream),
        before: Bytes::new(),
        client: Rc::clone(client),
        listener: Rc::clone(listener),
        heads: Heads::default(),
    };
    while parked(listener, client, io.stream.inner()).await {
        // In a box, as it holds all that a request needs: what is parked is to be small.
        match Box::pin(served(listener, client, io)).await {
            Some(back) => io = back,
            None => return,
        }
    }
}

/// Waits for a first byte. False where the connection is to end.
async fn parked(listener: &Listener, client: &Client, stream: &TcpStream) -> bool {
    let since = client.idle_since.get().unwrap_or_default();
    let mut alarm = pin!(listener.common.alarm(since + listener.manner.get().idle_within));
    poll_fn(|context| {
        if client.is_told(context) {
            return Poll::Ready(false);
        }
        // Readiness alone is no byte: a fresh socket has been seen to claim it.
        match stream.poll_peek(context, &mut ReadBuf::new(&mut [0])) {
            Poll::Ready(Ok(count)) => return Poll::Ready(count > 0),
            Poll::Ready(Err(_)) => return Poll::Ready(false),
            Poll::Pending => {}
        }
        // A stop of the process breaks off the wait for sockets, and so the alarm is seen first when it goes on: what
        // came meanwhile is in the socket, and the runtime does not know of it.
        alarm.as_mut().poll(context).map(|()| holds_a_byte(stream))
    })
    .await
}

/// Whether a first byte waits to be read: asked of the system, and not of what the runtime has heard.
fn holds_a_byte(stream: &TcpStream) -> bool {
    let found = rustix::net::recv(stream, &mut [0_u8; 1], RecvFlags::PEEK | RecvFlags::DONTWAIT);
    found.is_ok_and(|(count, _)| count > 0)
}

/// Serves requests. Gives the connection back once it has been idle for a moment.
async fn served(listener: &Rc<Listener>, client: &Rc<Client>, io: ClientIo) -> Option<ClientIo> {
    let common = &listener.common;
    listener.clients.wake(client);
    common.served_clients.set(common.served_clients.get() + 1);
    let _served = Counted(&common.served_clients);
    common.keep_to_memory(2);
    listener.clients.woken.set(listener.clients.woken.get() + 1);
    let woken = common.clock.now();
    let service = hyper::service::service_fn(|request: hyper::Request<hyper::body::Incoming>| async {
        client.idle_since.set(None);
        client.body_read.set(request.body().is_end_stream());
        let mut response = virtual_server::answer(listener, client, request).await;
        client.charged.set(listener.account());
        // One that is passed on is idle when it has gone, and not when it begins.
        let (now, passing) = (common.clock.now(), response.body().is_passing());
        client.passing.set(passing);
        client.wrote.set(now);
        client.idle_since.set((!passing).then_some(now));
        client.read.set(false);
        if common.duty.borrow().ends_connections() || listener.is_leaving() || listener.is_crowded() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        Ok::<_, Infallible>(response)
    });
    let mut connection = http1::Builder::new().max_buf_size(HEAD).serve_connection(io, service);
    let mut alarm = common.alarm(woken + PARKED_AFTER);
    let end = poll_fn(|context| {
        if client.is_told(context) {
            return Poll::Ready(End::Told);
        }
        // How a connection ends is the client's affair: a transaction that was on it is dropped with it.
        if Pin::new(&mut connection).poll(context).is_ready() {
            return Poll::Ready(End::Over);
        }
        while Pin::new(&mut alarm).poll(context).is_ready() {
            let now = common.clock.now();
            let next = match client.idle_since.get() {
                // A reader that has stopped holds what others need.
                None if client.passing.get() && now.saturating_sub(client.wrote.get()) >= STOPPED => {
                    return Poll::Ready(End::Over);
                }
                None => now + PARKED_AFTER,
                Some(since) if client.may_be_parked() => {
                    if now.saturating_sub(since) >= PARKED_AFTER {
                        return Poll::Ready(End::Idle);
                    }
                    since + PARKED_AFTER
                }
                Some(since) => {
                    let until = longest_idle(listener, client, since, woken);
                    if now >= until {
                        return Poll::Ready(End::Over);
                    }
                    until.min(now + PARKED_AFTER)
                }
            };
            alarm = common.alarm(next);
        }
        Poll::Pending
    })
    .await;
    match end {
        End::Over => None,
        End::Told => {
            // Closes at once where it lies idle, else with its answer. A request that never comes whole ends it too.
            Pin::new(&mut connection).graceful_shutdown();
            // What a server still gives goes on for as long as its client takes it.
            while common.within(longest_answer(listener), &mut connection).await.is_none()
                && client.passing.get()
                && common.clock.now().saturating_sub(client.wrote.get()) < STOPPED
            {}
            None
        }
        End::Idle => {
            let parts = connection.into_parts();
            let since = client.idle_since.get()?;
            listener.clients.park(client, since);
            Some(ClientIo { before: parts.read_buf, ..parts.io })
        }
    }
}

/// How long an answer that was begun may take, and be read for.
fn longest_answer(listener: &Listener) -> Micros {
    let services = listener.common.services.borrow();
    let longest = services.iter().map(|service| service.tuned().longest).max().unwrap_or_default();
    (longest + LINGER).as_micros() as Micros
}

/// Until when a connection may be without an open request, and yet not be parked.
fn longest_idle(listener: &Listener, client: &Client, since: Micros, woken: Micros) -> Micros {
    let manner = listener.manner.get();
    if !client.flushed.get() {
        // Its answer is being read; a client that reads slowly loses no more than one that waits.
        since.max(client.wrote.get()) + longest_answer(listener).max(manner.head_within)
    } else if !client.body_read.get() {
        since + virtual_server::DRAINED_FOR.max(manner.body_within)
    } else {
        // The head of a request is on its way, or was when it woke.
        since.max(woken) + manner.head_within
    }
}

/// A client's socket, which tells what has passed over it.
struct ClientIo {
    stream: TokioIo<TcpStream>,
    /// Read before it was parked.
    before: Bytes,
    client: Rc<Client>,
    listener: Rc<Listener>,
    heads: Heads,
}

impl ClientIo {
    fn note(&self, written: &Poll<io::Result<usize>>) {
        if matches!(written, Poll::Ready(Ok(_))) {
            self.client.wrote.set(self.listener.common.clock.now());
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
            let mut read = ReadBuf::new(&mut scratch[..room]);
            ready!(Pin::new(io.stream.inner_mut()).poll_read(context, &mut read))?;
            io.client.read.set(true);
            if !io.heads.follow(read.filled()) {
                io.client.ambiguous.set(true);
            }
            buffer.put_slice(read.filled());
            Poll::Ready(Ok(()))
        })
    }
}

impl Write for ClientIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.client.flushed.set(false);
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.note(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.client.flushed.set(false);
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, bytes);
        self.note(&written);
        written
    }

    /// Asked for once nothing is left to write.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.client.flushed.set(true);
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
