//! Connections to servers: opened when none is idle, used by one flow at a time, dropped before the other
//! side would close them, and no more of them than there are descriptors for.
//!
//! What is done for a request costs the same however many are idle, and one that is idle holds a socket, its place
//! and some 80 bytes: no task, no buffer, no timer of its own. All of a pool may be idle for equally long, so the order
//! in which they were put by is that in which they grow too old.

use super::limits::{LimitShare, Reservation};
use super::process_state::ProcessState;
use super::readiness::is_open_and_silent;
use foldhash::quality::FixedState;
use madderloom_balancer::{Micros, ServerId};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

/// A connection is used again only when nothing more has come behind its answer for this long: bytes that came
/// late, a copy of the answer or its close, would be taken for the answer to the next request.
const QUIET: Micros = 20_000;
/// How long connections are held to be breaking after one has broken.
const BREAKING: Micros = 10_000_000;
/// Idle connections that are looked at in one turn of the thread for what the other side has closed, and that are closed
/// in one turn as too old. Each costs some ten microseconds.
const AT_ONCE: usize = 512;

/// Connections that are opened to one server at once. After a restart all that wait for it would come together, and each
/// costs it work; those beyond wait for one to be open, and their time goes on.
pub(super) const MAX_CONNECTING_PER_SERVER: usize = 32;

/// What there is to one server.
struct Server {
    open: Cell<usize>,
    opening: Semaphore,
}

/// A connection's place among those to its server.
struct Place(Rc<Server>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// A connection in the hands of one flow. Dropped, it is closed; only [`Connections::release`] saves it.
pub(super) struct PooledConnection {
    pub(super) stream: TcpStream,
    /// It has carried a request before, so it may have been closed from the other side meanwhile.
    pub(super) reused: bool,
    /// Whose it is. An address may be given to another server while this one's connections stand.
    server: ServerId,
    /// Its place among those that may be open.
    _seat: Reservation,
    _place: Place,
}

struct Idle {
    lease: PooledConnection,
    since: Micros,
    number: u64,
}

/// What is idle.
#[derive(Default)]
struct Waiting {
    /// Of each server in the order in which they were put by.
    by_server: HashMap<ServerId, VecDeque<Idle>, FixedState>,
    /// Of all servers in that order. Some are no longer there: as many as are, and a few more, at most.
    order: VecDeque<(u64, ServerId)>,
    count: usize,
    numbered: u64,
    /// Where the next sweep looks on.
    looked_at: u64,
}

impl Waiting {
    fn put(&mut self, lease: PooledConnection, since: Micros) {
        self.numbered += 1;
        let (number, server) = (self.numbered, lease.server);
        self.by_server.entry(server).or_default().push_back(Idle {
            lease,
            since,
            number,
        });
        self.order.push_back((number, server));
        self.count += 1;
        if self.order.len() > 2 * self.count + 64 {
            let by_server = &self.by_server;
            self.order
                .retain(|(number, server)| place(by_server, *server, *number).is_some());
        }
    }

    fn remove_server(&mut self, server: ServerId) {
        self.count -= self
            .by_server
            .remove(&server)
            .map_or(0, |waiting| waiting.len());
    }

    fn remove(&mut self, server: ServerId, at: usize) -> Option<Idle> {
        let found = self.by_server.get_mut(&server)?.remove(at)?;
        self.count -= 1;
        Some(found)
    }

    /// The one that has been idle for longest.
    fn oldest(&mut self) -> Option<&Idle> {
        while let Some((number, server)) = self.order.front() {
            // It is the first of its server, or it is not there any more.
            let first = self.by_server.get(server).and_then(VecDeque::front);
            if first.is_some_and(|idle| idle.number == *number) {
                break;
            }
            self.order.pop_front();
        }
        let (_, server) = self.order.front()?;
        self.by_server.get(server)?.front()
    }

    fn drop_oldest(&mut self) -> bool {
        let server = self.oldest().map(|idle| idle.lease.server);
        server.and_then(|server| self.remove(server, 0)).is_some()
    }

    /// Drops those that have broken among the next few.
    fn look(&mut self) {
        let from = self
            .order
            .partition_point(|(number, _)| *number <= self.looked_at);
        let next: Vec<(u64, ServerId)> = self.order.range(from..).take(AT_ONCE).copied().collect();
        self.looked_at = next
            .last()
            .filter(|_| next.len() == AT_ONCE)
            .map_or(0, |(number, _)| *number);
        for (number, server) in next {
            let Some(at) = place(&self.by_server, server, number) else {
                continue;
            };
            let idle = self
                .by_server
                .get(&server)
                .and_then(|waiting| waiting.get(at));
            if idle.is_some_and(|idle| !is_open_and_silent(&idle.lease.stream)) {
                self.remove(server, at);
            }
        }
    }
}

fn place(
    by_server: &HashMap<ServerId, VecDeque<Idle>, FixedState>,
    server: ServerId,
    number: u64,
) -> Option<usize> {
    let waiting = by_server.get(&server)?;
    // Most of those that are asked for have gone, and were older.
    if waiting.front()?.number > number {
        return None;
    }
    waiting
        .binary_search_by_key(&number, |idle| idle.number)
        .ok()
}

/// Why there is no connection.
pub(super) enum ConnectError {
    /// The server is not reached.
    Failed,
    /// This sidecar has no descriptor left for it.
    NoCapacity,
}

/// All connections to the servers of a pool.
pub(super) struct Connections {
    waiting: RefCell<Waiting>,
    servers: RefCell<HashMap<ServerId, Rc<Server>, FixedState>>,
    /// When an answer last came from a server.
    heard: RefCell<HashMap<ServerId, Micros, FixedState>>,
    /// When one last broke.
    broke: Cell<Option<Micros>>,
    process: Rc<ProcessState>,
    /// What this pool may have open.
    pub(super) slots: LimitShare,
    idle_for: Cell<Micros>,
    connect_timeout: Cell<Micros>,
    /// Opened since the start.
    opened: Cell<u64>,
}

impl Connections {
    pub(super) fn new(
        process: &Rc<ProcessState>,
        slots: LimitShare,
        idle: Micros,
        connect_timeout: Micros,
    ) -> Self {
        Connections {
            waiting: RefCell::default(),
            servers: RefCell::default(),
            heard: RefCell::default(),
            broke: Cell::new(None),
            process: Rc::clone(process),
            slots,
            idle_for: Cell::new(stays_for(idle)),
            connect_timeout: Cell::new(connect_timeout),
            opened: Cell::new(0),
        }
    }

    /// Takes over other times.
    pub(super) fn set_timeouts(&self, idle: Micros, connect_timeout: Micros) {
        self.idle_for.set(stays_for(idle));
        self.connect_timeout.set(connect_timeout);
    }

    /// A connection to this server: of those seen quiet the one used last, since the others may then grow old,
    /// or a new one.
    pub(super) async fn acquire(
        &self,
        server: ServerId,
        address: SocketAddr,
    ) -> Result<PooledConnection, ConnectError> {
        match self.take_idle(server) {
            Some(lease) => Ok(lease),
            None => self.open(server, address).await,
        }
    }

    /// Costs little more however many are idle: they lie in the order in which they were put by, so what is too old
    /// is at the front, and what is still to be seen quiet at the back.
    fn take_idle(&self, server: ServerId) -> Option<PooledConnection> {
        let now = self.process.clock.now();
        let waiting = &mut *self.waiting.borrow_mut();
        let of_server = waiting.by_server.get_mut(&server)?;
        let is_old = |idle: &Idle| now.saturating_sub(idle.since) >= self.idle_for.get();
        let dropped = of_server.partition_point(is_old).min(AT_ONCE);
        of_server.drain(..dropped);
        waiting.count -= dropped;
        let old = of_server.partition_point(is_old);
        let quiet = of_server.partition_point(|idle| now.saturating_sub(idle.since) >= QUIET);
        // What is too old or has broken beyond so many is left to the sweep.
        for at in (old..quiet).rev().take(AT_ONCE) {
            let found = waiting.remove(server, at)?;
            if is_open_and_silent(&found.lease.stream) {
                return Some(found.lease);
            }
        }
        None
    }

    async fn open(
        &self,
        server: ServerId,
        address: SocketAddr,
    ) -> Result<PooledConnection, ConnectError> {
        let of_server = self.server(server);
        // Not to fail: nobody closes it.
        let opening = of_server
            .opening
            .acquire()
            .await
            .map_err(|_| ConnectError::Failed)?;
        let (seat, place) = self.seat(&of_server).ok_or(ConnectError::NoCapacity)?;
        let came = self
            .process
            .timeout(self.connect_timeout.get(), self.process.connect(address))
            .await;
        super::event_log::opened(
            self.process.clock.now(),
            server,
            matches!(came, Some(Ok(_))),
        );
        let stream = match came {
            Some(Ok(stream)) => stream,
            None if self.process.descriptors_exhausted() => {
                tracing::warn!(%server, "no descriptor or no memory for a connection to {address}");
                return Err(ConnectError::NoCapacity);
            }
            _ => return Err(ConnectError::Failed),
        };
        // Only a delay is lost where this cannot be set.
        let _ = stream.set_nodelay(true);
        self.opened.set(self.opened.get() + 1);
        drop(opening);
        Ok(PooledConnection {
            stream,
            reused: false,
            server,
            _seat: seat,
            _place: place,
        })
    }

    fn server(&self, server: ServerId) -> Rc<Server> {
        let mut servers = self.servers.borrow_mut();
        let new = || {
            Rc::new(Server {
                open: Cell::new(0),
                opening: Semaphore::new(MAX_CONNECTING_PER_SERVER),
            })
        };
        Rc::clone(servers.entry(server).or_insert_with(new))
    }

    /// A place for a new connection; what lies idle for longest makes room for it, here or where it is borrowed. One
    /// server alone never has more than three quarters of all, so one that hangs leaves some to the others.
    fn seat(&self, server: &Rc<Server>) -> Option<(Reservation, Place)> {
        let most = usize::try_from(self.slots.usage().part.most).unwrap_or(usize::MAX);
        if server.open.get() >= (most - most / 4).max(1) {
            return None;
        }
        let seat = self.slots.reserve(1).ok().or_else(|| {
            if !self.close_oldest_idle() {
                self.process.reclaim_server_connection();
            }
            self.slots.reserve(1).ok()
        })?;
        server.open.set(server.open.get() + 1);
        Some((seat, Place(Rc::clone(server))))
    }

    /// Puts a connection by for the next flow. Its answer must have been read whole, and nothing behind it.
    pub(super) fn release(&self, mut lease: PooledConnection) {
        lease.reused = true;
        self.waiting
            .borrow_mut()
            .put(lease, self.process.clock.now());
    }

    /// An answer has come from there.
    pub(super) fn record_response(&self, server: ServerId) {
        self.heard
            .borrow_mut()
            .insert(server, self.process.clock.now());
    }

    /// Nothing came for a flow that was sent then. If nothing has come from there at all since, the machine may
    /// be cut off: open connections stay open and silent then, and each would cost a request its whole time.
    /// A new one that does not come up proves at once that nothing ran.
    pub(super) fn drop_idle_if_silent(&self, server: ServerId, sent: Micros) {
        if self
            .heard
            .borrow()
            .get(&server)
            .is_none_or(|heard| *heard < sent)
        {
            self.waiting.borrow_mut().remove_server(server);
        }
    }

    /// A connection broke under a request. For a while others are held to break as well.
    pub(super) fn record_break(&self) {
        self.broke.set(Some(self.process.clock.now()));
    }

    pub(super) fn recently_broke(&self) -> bool {
        self.broke
            .get()
            .is_some_and(|at| self.process.clock.now().saturating_sub(at) < BREAKING)
    }

    /// Drops what lies idle for a server that gets nothing new any more.
    pub(super) fn remove_server(&self, server: ServerId) {
        self.waiting.borrow_mut().remove_server(server);
        self.heard.borrow_mut().remove(&server);
    }

    /// Drops what has been idle for too long, some of it: true where more is left.
    pub(super) fn close_expired(&self) -> bool {
        let now = self.process.clock.now();
        let old = |since: Micros| now.saturating_sub(since) >= self.idle_for.get();
        let mut waiting = self.waiting.borrow_mut();
        for _ in 0..AT_ONCE {
            if !waiting.oldest().is_some_and(|idle| old(idle.since)) {
                return false;
            }
            waiting.drop_oldest();
        }
        true
    }

    /// Drops of a bounded number of idle connections what the other side has closed, and forgets servers that nobody
    /// asks for. To be called once a second.
    pub(super) fn sweep(&self) {
        let now = self.process.clock.now();
        let old = |since: Micros| now.saturating_sub(since) >= self.idle_for.get();
        let mut waiting = self.waiting.borrow_mut();
        waiting.look();
        waiting
            .by_server
            .retain(|_, of_server| !of_server.is_empty());
        self.heard.borrow_mut().retain(|_, at| !old(*at));
        // Those that nobody has a connection to, or waits for.
        self.servers
            .borrow_mut()
            .retain(|_, server| Rc::strong_count(server) > 1);
    }

    /// Makes room for a new connection. False where none is idle.
    pub(super) fn close_oldest_idle(&self) -> bool {
        self.waiting.borrow_mut().drop_oldest()
    }

    /// Since when the one has been idle that has been so for longest.
    pub(super) fn oldest_idle_since(&self) -> Option<Micros> {
        self.waiting.borrow_mut().oldest().map(|idle| idle.since)
    }

    /// Drops all that is idle.
    pub(super) fn close_all_idle(&self) {
        *self.waiting.borrow_mut() = Waiting::default();
    }

    /// How many are idle.
    pub(super) fn idle_count(&self) -> usize {
        self.waiting.borrow().count
    }

    /// How many have been opened since the start.
    pub(super) fn opened_count(&self) -> u64 {
        self.opened.get()
    }
}

/// The other side closes at this age at the latest: a request written then would be lost.
fn stays_for(idle: Micros) -> Micros {
    idle / 10 * 8
}

/// Whether an error tells that this process or machine has no descriptor left, or no memory for its sockets: that is its
/// own want, and says nothing of whoever is at the other end.
pub(super) fn is_resource_exhaustion(problem: &std::io::Error) -> bool {
    const ENOMEM: i32 = 12;
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    const ENOBUFS: i32 = 105;
    matches!(
        problem.raw_os_error(),
        Some(ENOMEM | ENFILE | EMFILE | ENOBUFS)
    )
}

#[cfg(test)]
mod tests {
    use super::is_resource_exhaustion;
    use std::io::Error;

    /// A want of one's own says nothing of whoever is at the other end.
    #[test]
    fn an_own_want_is_told_from_a_server_that_fails() {
        for (number, own) in [
            (12, true),
            (23, true),
            (24, true),
            (105, true),
            (104, false),
            (110, false),
            (111, false),
        ] {
            assert_eq!(
                is_resource_exhaustion(&Error::from_raw_os_error(number)),
                own,
                "{number}"
            );
        }
    }
}
