//! Connections to servers: opened if none is idle, used by one attempt at a time, closed before the server would close them,
//! and limited by the file descriptors that are available.
//!
//! The cost of a request doesn't depend on the number of idle connections. An idle connection holds a socket, its entry and
//! some 80 bytes: no task, no buffer and no timer of its own. All connections of a pool have the same maximum idle time, so
//! they expire in the order in which they became idle.

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

/// A connection is reused only after it has been idle for this time without receiving anything: late bytes, such as a second
/// copy of the response, would be read as the response to the next request.
const REUSE_DELAY: Micros = 20_000;
/// How long further connections are expected to break after one has broken.
const BREAKING_PERIOD: Micros = 10_000_000;
/// Maximum number of idle connections that are checked for a close by the server, or closed as expired, without yielding to the
/// event loop. Each takes about ten microseconds.
const MAX_CHECKED_AT_ONCE: usize = 512;

/// Maximum number of connections being opened to one server at the same time. After a server's restart all waiting requests
/// would connect at once, and each connection costs the server work. Further attempts wait, and their time limits run on.
pub(super) const MAX_CONNECTING_PER_SERVER: usize = 32;

/// The connections to one server.
struct ServerConnections {
    open_count: Cell<usize>,
    connect_permits: Semaphore,
}

/// Counts one connection as open to its server until it is dropped.
struct OpenConnectionGuard(Rc<ServerConnections>);

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.0.open_count.set(self.0.open_count.get() - 1);
    }
}

/// A connection that one attempt uses. It is closed when dropped; [`Connections::release`] keeps it for reuse.
pub(super) struct PooledConnection {
    pub(super) stream: TcpStream,
    /// It has carried a request before, so the server may have closed it while it was idle.
    pub(super) reused: bool,
    /// The server it belongs to. Another server may be listed with the same address while this connection is open.
    server: ServerId,
    /// Its slot in the pool's connection limit.
    _slot: Reservation,
    _guard: OpenConnectionGuard,
}

/// An idle connection. `sequence` increases in the order in which connections become idle.
struct IdleConnection {
    connection: PooledConnection,
    idle_since: Micros,
    sequence: u64,
}

/// The idle connections of a pool.
#[derive(Default)]
struct IdleConnections {
    /// For each server, in the order in which the connections became idle.
    by_server: HashMap<ServerId, VecDeque<IdleConnection>, FixedState>,
    /// The same order across all servers. May contain entries that are gone: at most as many as there are connections, plus 64.
    order: VecDeque<(u64, ServerId)>,
    count: usize,
    last_sequence: u64,
    /// The sequence number after which the next sweep continues.
    checked_up_to: u64,
}

impl IdleConnections {
    fn insert(&mut self, connection: PooledConnection, idle_since: Micros) {
        self.last_sequence += 1;
        let (sequence, server) = (self.last_sequence, connection.server);
        self.by_server
            .entry(server)
            .or_default()
            .push_back(IdleConnection {
                connection,
                idle_since,
                sequence,
            });
        self.order.push_back((sequence, server));
        self.count += 1;
        if self.order.len() > 2 * self.count + 64 {
            let by_server = &self.by_server;
            self.order
                .retain(|(sequence, server)| position(by_server, *server, *sequence).is_some());
        }
    }

    fn remove_server(&mut self, server: ServerId) {
        self.count -= self
            .by_server
            .remove(&server)
            .map_or(0, |of_server| of_server.len());
    }

    fn remove(&mut self, server: ServerId, index: usize) -> Option<IdleConnection> {
        let idle = self.by_server.get_mut(&server)?.remove(index)?;
        self.count -= 1;
        Some(idle)
    }

    /// The connection that has been idle for the longest time.
    fn oldest(&mut self) -> Option<&IdleConnection> {
        while let Some((sequence, server)) = self.order.front() {
            // It is the first of its server, or it is gone.
            let first = self.by_server.get(server).and_then(VecDeque::front);
            if first.is_some_and(|idle| idle.sequence == *sequence) {
                break;
            }
            self.order.pop_front();
        }
        let (_, server) = self.order.front()?;
        self.by_server.get(server)?.front()
    }

    fn evict_oldest(&mut self) -> bool {
        let server = self.oldest().map(|idle| idle.connection.server);
        server.and_then(|server| self.remove(server, 0)).is_some()
    }

    /// Closes those of the next few connections that the server has closed or sent bytes on.
    fn close_next_disconnected(&mut self) {
        let from = self
            .order
            .partition_point(|(sequence, _)| *sequence <= self.checked_up_to);
        let next: Vec<(u64, ServerId)> = self
            .order
            .range(from..)
            .take(MAX_CHECKED_AT_ONCE)
            .copied()
            .collect();
        self.checked_up_to = next
            .last()
            .filter(|_| next.len() == MAX_CHECKED_AT_ONCE)
            .map_or(0, |(sequence, _)| *sequence);
        for (sequence, server) in next {
            let Some(index) = position(&self.by_server, server, sequence) else {
                continue;
            };
            let idle = self
                .by_server
                .get(&server)
                .and_then(|of_server| of_server.get(index));
            if idle.is_some_and(|idle| !is_open_and_silent(&idle.connection.stream)) {
                self.remove(server, index);
            }
        }
    }
}

/// The index of an idle connection among those to its server.
fn position(
    by_server: &HashMap<ServerId, VecDeque<IdleConnection>, FixedState>,
    server: ServerId,
    sequence: u64,
) -> Option<usize> {
    let of_server = by_server.get(&server)?;
    // Most requested entries are gone and were older.
    if of_server.front()?.sequence > sequence {
        return None;
    }
    of_server
        .binary_search_by_key(&sequence, |idle| idle.sequence)
        .ok()
}

/// Why there is no connection.
pub(super) enum ConnectError {
    /// The server could not be reached.
    Failed,
    /// A connection, file descriptor or memory limit of this sidecar is reached.
    NoCapacity,
}

/// All connections to the servers of a pool.
pub(super) struct Connections {
    idle_connections: RefCell<IdleConnections>,
    servers: RefCell<HashMap<ServerId, Rc<ServerConnections>, FixedState>>,
    /// When the last response was received from each server.
    last_response: RefCell<HashMap<ServerId, Micros, FixedState>>,
    /// When a connection last broke.
    last_break: Cell<Option<Micros>>,
    process: Rc<ProcessState>,
    /// This pool's share of the connection limit.
    pub(super) slots: LimitShare,
    idle_for: Cell<Micros>,
    connect_timeout: Cell<Micros>,
    /// Connections opened since the start.
    opened: Cell<u64>,
}

impl Connections {
    pub(super) fn new(
        process: &Rc<ProcessState>,
        slots: LimitShare,
        server_idle_timeout: Micros,
        connect_timeout: Micros,
    ) -> Self {
        Connections {
            idle_connections: RefCell::default(),
            servers: RefCell::default(),
            last_response: RefCell::default(),
            last_break: Cell::new(None),
            process: Rc::clone(process),
            slots,
            idle_for: Cell::new(max_idle_time(server_idle_timeout)),
            connect_timeout: Cell::new(connect_timeout),
            opened: Cell::new(0),
        }
    }

    pub(super) fn set_timeouts(&self, server_idle_timeout: Micros, connect_timeout: Micros) {
        self.idle_for.set(max_idle_time(server_idle_timeout));
        self.connect_timeout.set(connect_timeout);
    }

    /// Returns a connection to this server: the most recently used idle one that received nothing since, so that the others can
    /// expire, or a new one.
    pub(super) async fn acquire(
        &self,
        server: ServerId,
        address: SocketAddr,
    ) -> Result<PooledConnection, ConnectError> {
        match self.take_idle(server) {
            Some(connection) => Ok(connection),
            None => self.open(server, address).await,
        }
    }

    /// The cost hardly depends on the number of idle connections: they are kept in the order in which they became idle, so the
    /// expired ones are at the front and those not yet reusable at the back.
    fn take_idle(&self, server: ServerId) -> Option<PooledConnection> {
        let now = self.process.clock.now();
        let idle_connections = &mut *self.idle_connections.borrow_mut();
        let of_server = idle_connections.by_server.get_mut(&server)?;
        let is_expired =
            |idle: &IdleConnection| now.saturating_sub(idle.idle_since) >= self.idle_for.get();
        let dropped = of_server
            .partition_point(is_expired)
            .min(MAX_CHECKED_AT_ONCE);
        of_server.drain(..dropped);
        idle_connections.count -= dropped;
        let expired = of_server.partition_point(is_expired);
        let reusable =
            of_server.partition_point(|idle| now.saturating_sub(idle.idle_since) >= REUSE_DELAY);
        // Further expired or broken connections are left to the sweep.
        for index in (expired..reusable).rev().take(MAX_CHECKED_AT_ONCE) {
            let idle = idle_connections.remove(server, index)?;
            if is_open_and_silent(&idle.connection.stream) {
                return Some(idle.connection);
            }
        }
        None
    }

    async fn open(
        &self,
        server: ServerId,
        address: SocketAddr,
    ) -> Result<PooledConnection, ConnectError> {
        let of_server = self.server_connections(server);
        // Can't fail: the semaphore is never closed.
        let connect_permit = of_server
            .connect_permits
            .acquire()
            .await
            .map_err(|_| ConnectError::Failed)?;
        let (slot, guard) = self
            .reserve_slot(&of_server)
            .ok_or(ConnectError::NoCapacity)?;
        let result = self
            .process
            .timeout(self.connect_timeout.get(), self.process.connect(address))
            .await;
        super::event_log::opened(
            self.process.clock.now(),
            server,
            matches!(result, Some(Ok(_))),
        );
        let stream = match result {
            Some(Ok(stream)) => stream,
            None if self.process.descriptors_exhausted() => {
                tracing::warn!(%server, "file descriptor or memory limit reached; can't connect to {address}");
                return Err(ConnectError::NoCapacity);
            }
            _ => return Err(ConnectError::Failed),
        };
        // Failing to set this only adds latency.
        let _ = stream.set_nodelay(true);
        self.opened.set(self.opened.get() + 1);
        drop(connect_permit);
        Ok(PooledConnection {
            stream,
            reused: false,
            server,
            _slot: slot,
            _guard: guard,
        })
    }

    fn server_connections(&self, server: ServerId) -> Rc<ServerConnections> {
        let mut servers = self.servers.borrow_mut();
        let new_entry = || {
            Rc::new(ServerConnections {
                open_count: Cell::new(0),
                connect_permits: Semaphore::new(MAX_CONNECTING_PER_SERVER),
            })
        };
        Rc::clone(servers.entry(server).or_insert_with(new_entry))
    }

    /// Reserves a slot for a new connection. If none is free, evicts the connection that has been idle the longest, in this pool
    /// or in one that uses more than its guaranteed share. One server has at most three quarters of the pool's connections, so
    /// that a server that hangs leaves some for the others.
    fn reserve_slot(
        &self,
        server: &Rc<ServerConnections>,
    ) -> Option<(Reservation, OpenConnectionGuard)> {
        let max_open = usize::try_from(self.slots.usage().part.most).unwrap_or(usize::MAX);
        if server.open_count.get() >= (max_open - max_open / 4).max(1) {
            return None;
        }
        let slot = self.slots.reserve(1).ok().or_else(|| {
            if !self.close_oldest_idle() {
                self.process.reclaim_server_connection();
            }
            self.slots.reserve(1).ok()
        })?;
        server.open_count.set(server.open_count.get() + 1);
        Some((slot, OpenConnectionGuard(Rc::clone(server))))
    }

    /// Returns a connection for reuse. Its response must have been read completely, with no bytes after it.
    pub(super) fn release(&self, mut connection: PooledConnection) {
        connection.reused = true;
        self.idle_connections
            .borrow_mut()
            .insert(connection, self.process.clock.now());
    }

    /// Records that a response was received from this server.
    pub(super) fn record_response(&self, server: ServerId) {
        self.last_response
            .borrow_mut()
            .insert(server, self.process.clock.now());
    }

    /// Closes the server's idle connections if no response was received from it since `sent_at`, when an attempt that timed out
    /// was sent. The machine may be cut off from the network: its connections then stay open and silent, and each would cost a
    /// request its whole time limit, while a new connection that can't be established proves at once that nothing ran.
    pub(super) fn drop_idle_if_silent(&self, server: ServerId, sent_at: Micros) {
        if self
            .last_response
            .borrow()
            .get(&server)
            .is_none_or(|received_at| *received_at < sent_at)
        {
            self.idle_connections.borrow_mut().remove_server(server);
        }
    }

    /// Records that a connection broke during a request. For [`BREAKING_PERIOD`] others are expected to break as well.
    pub(super) fn record_break(&self) {
        self.last_break.set(Some(self.process.clock.now()));
    }

    pub(super) fn recently_broke(&self) -> bool {
        self.last_break
            .get()
            .is_some_and(|at| self.process.clock.now().saturating_sub(at) < BREAKING_PERIOD)
    }

    /// Closes the idle connections of a server that gets no new attempts.
    pub(super) fn remove_server(&self, server: ServerId) {
        self.idle_connections.borrow_mut().remove_server(server);
        self.last_response.borrow_mut().remove(&server);
    }

    /// Closes expired idle connections, [`MAX_CHECKED_AT_ONCE`] at most. Returns true if more are left.
    pub(super) fn close_expired(&self) -> bool {
        let now = self.process.clock.now();
        let is_expired = |idle_since: Micros| now.saturating_sub(idle_since) >= self.idle_for.get();
        let mut idle_connections = self.idle_connections.borrow_mut();
        for _ in 0..MAX_CHECKED_AT_ONCE {
            if !idle_connections
                .oldest()
                .is_some_and(|idle| is_expired(idle.idle_since))
            {
                return false;
            }
            idle_connections.evict_oldest();
        }
        true
    }

    /// Checks a bounded number of idle connections and closes those that their servers have closed; removes the entries of
    /// servers without connections. To be called once a second.
    pub(super) fn sweep(&self) {
        let now = self.process.clock.now();
        let is_expired = |idle_since: Micros| now.saturating_sub(idle_since) >= self.idle_for.get();
        let mut idle_connections = self.idle_connections.borrow_mut();
        idle_connections.close_next_disconnected();
        idle_connections
            .by_server
            .retain(|_, of_server| !of_server.is_empty());
        self.last_response
            .borrow_mut()
            .retain(|_, at| !is_expired(*at));
        // Removes servers without open or waiting connections.
        self.servers
            .borrow_mut()
            .retain(|_, server| Rc::strong_count(server) > 1);
    }

    /// Evicts the connection that has been idle the longest. Returns false if none is idle.
    pub(super) fn close_oldest_idle(&self) -> bool {
        self.idle_connections.borrow_mut().evict_oldest()
    }

    /// Since when the longest idle connection has been idle.
    pub(super) fn oldest_idle_since(&self) -> Option<Micros> {
        self.idle_connections
            .borrow_mut()
            .oldest()
            .map(|idle| idle.idle_since)
    }

    pub(super) fn close_all_idle(&self) {
        *self.idle_connections.borrow_mut() = IdleConnections::default();
    }

    pub(super) fn idle_count(&self) -> usize {
        self.idle_connections.borrow().count
    }

    /// The number of connections opened since the start.
    pub(super) fn opened_count(&self) -> u64 {
        self.opened.get()
    }
}

/// The maximum idle time of a connection: 80% of the time after which the server closes it, since a request written at that
/// moment would be lost.
fn max_idle_time(server_idle_timeout: Micros) -> Micros {
    server_idle_timeout / 10 * 8
}

/// Whether an error means that this process or machine has run out of file descriptors or of memory for sockets. Such an
/// error is local and says nothing about the peer.
pub(super) fn is_resource_exhaustion(error: &std::io::Error) -> bool {
    const ENOMEM: i32 = 12;
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    const ENOBUFS: i32 = 105;
    matches!(
        error.raw_os_error(),
        Some(ENOMEM | ENFILE | EMFILE | ENOBUFS)
    )
}

#[cfg(test)]
mod tests {
    use super::is_resource_exhaustion;
    use std::io::Error;

    /// An exhausted local resource must not count as a failure of the server.
    #[test]
    fn exhausted_local_resources_are_distinguished_from_a_failing_server() {
        for (number, is_local) in [
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
                is_local,
                "{number}"
            );
        }
    }
}
