//! A listener: accepts client connections on one socket and owns them.

use super::client::{self, Clients, MIN_IDLE_BEFORE_EVICTION};
use super::connections::is_resource_exhaustion;
use super::counts::OutcomeCounts;
use super::fair_scheduler::{self, ChargedAccount, FairTask, SchedulerAccount};
use super::limits::{LimitShare, RequestLimits, Reservation};
use super::process_state::ProcessState;
use super::routing::Routing;
use super::service::{ResourceShares, Service};
use madderloom_balancer::Micros;
use madderloom_operator_config::ResourceLimits;
use madderloom_watchdog::{self as watchdog, TaskKind};
use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Notify, watch};

/// How long a draining listener still accepts connections. On a shared socket it stops accepting at once, and keeps its idle
/// connections open this long for further requests. Clients connect until 0.4 s after a SIGTERM, and a request that arrives
/// within 0.7 s of it still has its full time before the platform kills the process.
pub(super) const CLOSE_GRACE_PERIOD: Duration = Duration::from_millis(650);
/// Interval at which a listener on a shared socket checks whether it can serve yet, and the first delay after a failed accept.
const ACCEPT_RETRY_DELAY: Micros = 10_000;
/// Interval between two log lines about accepts that fail.
const ACCEPT_FAILURE_LOG_INTERVAL: Micros = 60_000_000;
/// How long the start of the process waits for the system to have room for a socket. A third of what it may take until the
/// process is ready.
const MAX_START_DELAY: Duration = Duration::from_secs(10);
/// Delay between two attempts to listen.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The longest delay between accepts that fail repeatedly.
const MAX_ACCEPT_RETRY_DELAY: Micros = 1_000_000;
/// With less than the limit divided by this left, requests of further connections are rejected unread.
const REJECTING_CONNECTIONS_DIVISOR: u64 = 16;
/// Connections that the kernel queues until they are accepted.
pub(super) const LISTEN_BACKLOG: u32 = 1_024;

/// Timeouts and size limits of a listener, in microseconds and bytes.
#[derive(Clone, Copy)]
pub(super) struct ListenerSettings {
    /// A client that has sent no complete head for this long since it connected, or since its last response, is closed to
    /// free its descriptor. Connections with a request in flight are exempt.
    pub(super) head_timeout: Micros,
    /// A client that has sent nothing at all for this long, since it connected or since its last response, is closed. May be
    /// longer or shorter than the timeout of a head.
    pub(super) idle_timeout: Micros,
    /// How long the body of a request may take after its head.
    pub(super) body_timeout: Micros,
    /// The longest request body.
    pub(super) max_body_size: usize,
    /// The longest GraphQL message; these are buffered in full.
    pub(super) max_message_size: usize,
    /// Whether the body of a request that exceeds a limit is read and dropped after the response. Unread bytes would reset the
    /// connection, and the response could be lost.
    pub(super) drains_rejected_bodies: bool,
}

impl ListenerSettings {
    /// The settings of a sidecar without an operator file.
    pub(super) fn defaults() -> Self {
        ListenerSettings {
            head_timeout: 2_600_000,
            idle_timeout: 2_000_000,
            body_timeout: 900_000,
            max_body_size: super::DEFAULT_MAX_BODY_BYTES,
            max_message_size: super::MAX_BUFFERED_BODY_BYTES,
            drains_rejected_bodies: false,
        }
    }
}

/// A bound socket with its configured address.
pub(super) struct BoundSocket {
    pub(super) configured_address: SocketAddr,
    pub(super) socket: TcpListener,
    /// Another process listens on it as well.
    pub(super) shared: bool,
}

/// One listener.
pub(super) struct Listener {
    pub(super) name: RefCell<String>,
    pub(super) process: Rc<ProcessState>,
    pub(super) configured_address: SocketAddr,
    /// The address that the socket is bound to; differs from the configured one in a port that the kernel chose.
    pub(super) address: SocketAddr,
    /// Its socket is shared with the process that this one replaces, or that will replace it.
    shared: bool,
    pub(super) settings: Cell<ListenerSettings>,
    pub(super) routing: RefCell<Rc<Routing>>,
    /// Its share of all client connections.
    pub(super) connection_limit: LimitShare,
    /// Limits on its clients' requests in flight and their bodies.
    pub(super) request_limits: RequestLimits,
    account: Option<Rc<SchedulerAccount>>,
    /// With more connections than this, responses close their connections.
    congestion_threshold: Cell<usize>,
    pub(super) clients: Clients,
    pub(super) counts: OutcomeCounts,
    draining: watch::Sender<bool>,
    /// It no longer accepts connections.
    stopped_accepting: Cell<bool>,
    /// Notified when one of its connections has ended.
    connection_ended: Notify,
}

/// Binds a socket and listens on it, without accepting connections.
///
/// # Errors
/// The socket cannot be bound.
pub(super) fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Like [`bind`], for the start of the process: while the system has no descriptor or memory for the socket, tries again for up
/// to [`MAX_START_DELAY`]. This blocks the thread, which has nothing else to do yet.
///
/// # Errors
/// The socket cannot be bound, or the system had no room for it in all that time.
pub(super) fn bind_at_start(address: SocketAddr) -> io::Result<TcpListener> {
    let started_at = Instant::now();
    let mut failures: u32 = 0;
    loop {
        match bind(address) {
            Err(error)
                if is_resource_exhaustion(&error) && started_at.elapsed() < MAX_START_DELAY =>
            {
                if failures == 0 {
                    tracing::warn!(%address, %error, "cannot listen on {address} yet: {error}; trying again");
                }
                failures += 1;
                std::thread::sleep(BIND_RETRY_DELAY);
            }
            result => {
                if failures > 0 {
                    tracing::info!(%address, failures, "listening on {address} failed {failures} times before");
                }
                return result;
            }
        }
    }
}

/// Half of the connections that a listener may hold. Without an operator file only the count of the whole process matters.
fn congestion_threshold_of(limits: Option<ResourceLimits>, shares: ResourceShares) -> usize {
    let half = usize::try_from(shares.connections.most / 2).unwrap_or(usize::MAX);
    limits.map_or(usize::MAX, |_| half.max(1))
}

/// Failures of a listening socket: the first is logged, and then one in each [`ACCEPT_FAILURE_LOG_INTERVAL`] with the number of
/// those between.
#[derive(Default)]
struct AcceptFailures {
    logged_at: Option<Micros>,
    unreported: u64,
}

impl AcceptFailures {
    /// Records a failure. The number of failures since the last one that was logged, if this one is to be logged.
    fn record(&mut self, now: Micros) -> Option<u64> {
        let is_recent = |at: Micros| now.saturating_sub(at) < ACCEPT_FAILURE_LOG_INTERVAL;
        if self.logged_at.is_some_and(is_recent) {
            self.unreported += 1;
            return None;
        }
        self.logged_at = Some(now);
        Some(std::mem::take(&mut self.unreported))
    }
}

/// What is done about errors of a listening socket.
struct AcceptErrors {
    exhaustions: AcceptFailures,
    failures: AcceptFailures,
    /// Delay before the next attempt. It doubles with each failure.
    retry_delay: Micros,
}

impl AcceptErrors {
    fn new() -> Self {
        AcceptErrors {
            exhaustions: AcceptFailures::default(),
            failures: AcceptFailures::default(),
            retry_delay: ACCEPT_RETRY_DELAY,
        }
    }

    /// Handles an error, and waits until the next attempt may be made.
    async fn handle(&mut self, listener: &Listener, error: &io::Error) {
        let (process, prefix) = (&listener.process, listener.log_prefix());
        let now = process.clock.now();
        if is_resource_exhaustion(error) {
            if let Some(unreported) = self.exhaustions.record(now) {
                tracing::warn!(
                    unreported,
                    "{prefix}no descriptor for a client: {error}; {unreported} failures before were not logged"
                );
            }
            return process.free_descriptor().await;
        }
        // The client disconnected before its connection was accepted.
        if error.kind() == ErrorKind::ConnectionAborted {
            return;
        }
        if let Some(unreported) = self.failures.record(now) {
            tracing::warn!(
                unreported,
                "{prefix}no client can be taken: {error}; {unreported} failures before were not logged"
            );
        }
        // A socket that fails every time must not monopolize the thread.
        process.sleep(self.retry_delay).await;
        self.retry_delay = (2 * self.retry_delay).min(MAX_ACCEPT_RETRY_DELAY);
    }
}

impl Listener {
    /// Starts a listener; must be called within a `LocalSet`. Without limits it may use the whole shared capacity.
    pub(super) fn start(
        process: &Rc<ProcessState>,
        name: &str,
        BoundSocket {
            configured_address,
            socket,
            shared,
        }: BoundSocket,
        (settings, routing): (ListenerSettings, Routing),
        (limits, shares): (Option<ResourceLimits>, ResourceShares),
    ) -> Rc<Self> {
        // A bound socket has an address, so the fallback is never used.
        let address = socket.local_addr().unwrap_or(configured_address);
        let shared_limits = &process.shared_limits;
        let listener = Rc::new(Listener {
            process: Rc::clone(process),
            configured_address,
            address,
            shared,
            settings: Cell::new(settings),
            routing: RefCell::new(Rc::new(routing)),
            connection_limit: shared_limits.client_connections.join(shares.connections),
            request_limits: RequestLimits::new(
                shared_limits.requests_by_listener.join(shares.requests),
                shared_limits.body_bytes_by_listener.join(shares.body_bytes),
                limits.and_then(|l| l.rate),
            ),
            account: process.account(limits.map_or(1, |l| l.weight)),
            congestion_threshold: Cell::new(congestion_threshold_of(limits, shares)),
            clients: Clients::default(),
            counts: OutcomeCounts::default(),
            draining: watch::channel(false).0,
            stopped_accepting: Cell::new(false),
            connection_ended: Notify::new(),
            name: RefCell::new(name.to_string()),
        });
        process.listeners.borrow_mut().push(Rc::clone(&listener));
        let accepting = Rc::clone(&listener);
        let prefix = accepting.log_prefix();
        tracing::info!(at = %address, "{prefix}listening on {address}");
        watchdog::spawn(TaskKind::AcceptLoop, accepting.serve(socket));
        listener
    }

    /// Sets other settings, limits and routes. Requests in flight continue under the former ones. A drain is cancelled if the
    /// socket is still open.
    pub(super) fn update(
        &self,
        settings: ListenerSettings,
        routing: Routing,
        limits: ResourceLimits,
        shares: ResourceShares,
    ) {
        self.draining.send_replace(false);
        self.settings.set(settings);
        self.set_routing(routing);
        self.connection_limit.update(shares.connections);
        self.request_limits
            .update(shares.requests, shares.body_bytes, limits.rate);
        self.congestion_threshold
            .set(congestion_threshold_of(Some(limits), shares));
        if let Some(account) = self.account.as_ref() {
            account.set_weight(limits.weight);
        }
    }

    pub(super) fn set_name(&self, name: &str) {
        self.name.replace(name.to_string());
    }

    /// Prefix of its log messages; empty if it is the only listener.
    fn log_prefix(&self) -> String {
        let name = self.name.borrow();
        if name.is_empty() {
            String::new()
        } else {
            format!("{name}: ")
        }
    }

    pub(super) fn set_routing(&self, routing: Routing) {
        self.routing.replace(Rc::new(routing));
    }

    /// Starts draining: the listener stops accepting after [`CLOSE_GRACE_PERIOD`], at once on a shared socket, and ends once all
    /// requests in flight have their responses.
    pub(super) fn start_draining(&self) {
        self.draining.send_replace(true);
    }

    /// Whether it is draining and still accepts connections, so that [`Self::update`] can cancel the drain.
    pub(super) fn can_cancel_draining(&self) -> bool {
        self.is_draining() && !self.stopped_accepting.get()
    }

    pub(super) fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Time it used on the event loop's thread: for accepting connections, reading heads and rejecting requests.
    pub(super) fn cpu_time_used(&self) -> madderloom_routing::turns::Spent {
        self.account
            .as_ref()
            .map_or_else(Default::default, |account| account.usage())
    }

    /// Serves clients until the listener is drained.
    async fn serve(self: Rc<Self>, socket: TcpListener) {
        let mut draining = self.draining.subscribe();
        let drain_started = async {
            loop {
                // The sender lives as long as this listener.
                let _ = draining.wait_for(|draining| *draining).await;
                // Clients keep connecting for a while, and connections in the backlog count as accepted for their clients.
                // On a shared socket the other process accepts both.
                if self.shared {
                    return;
                }
                tokio::select! {
                    () = tokio::time::sleep(CLOSE_GRACE_PERIOD) => return,
                    // A newer operator file keeps the listener.
                    _ = draining.wait_for(|draining| !*draining) => {}
                }
            }
        };
        let charged = Rc::new(ChargedAccount::new(self.account.clone()));
        tokio::select! {
            () = FairTask::new(&self.process, charged, self.accept_loop(&socket)) => {}
            () = drain_started => {}
        }
        self.stopped_accepting.set(true);
        drop(socket);
        let prefix = self.log_prefix();
        tracing::info!("{prefix}closed to new clients");
        if self.shared {
            // Requests that arrive on open connections in the meantime end them with their response, so that no close crosses
            // a request.
            tokio::time::sleep(CLOSE_GRACE_PERIOD).await;
        }
        self.clients.close_all();
        // Once no connection is left, no response is outstanding.
        while self.connection_limit.usage().used > 0 {
            self.connection_ended.notified().await;
        }
        self.process
            .listeners
            .borrow_mut()
            .retain(|other| !Rc::ptr_eq(other, &self));
        self.process.listener_ended.notify_one();
    }

    /// Accepts connections until it is dropped.
    async fn accept_loop(self: &Rc<Self>, socket: &TcpListener) {
        // Until this process can serve, the process that it replaces accepts all connections.
        while self.shared && !self.process.can_serve() {
            self.process.sleep(ACCEPT_RETRY_DELAY).await;
        }
        let mut errors = AcceptErrors::new();
        loop {
            self.process.enforce_connection_memory(2);
            // For its client, a connection in the backlog is already accepted. So the connection that has been idle for
            // longest is closed before the limit is reached.
            let usage = self.connection_limit.usage();
            let available = self.connection_limit.available();
            // Relative to what it may hold now: closing own connections frees nothing that others hold of the shared part.
            if self.is_near_connection_limit() || available <= (usage.used + available) / 8 {
                self.clients.evict_idle(self.process.clock.now());
            }
            let Ok(reservation) = self.connection_limit.reserve(1) else {
                if usage.used < usage.part.most {
                    self.process.reclaim_client_connection();
                }
                self.process.request_release();
                // At the limit, a connection that was too recently active to be evicted is old enough a little later.
                let _ = self
                    .process
                    .timeout(MIN_IDLE_BEFORE_EVICTION, self.connection_ended.notified())
                    .await;
                continue;
            };
            match socket.accept().await {
                Ok((stream, peer)) => {
                    errors.retry_delay = ACCEPT_RETRY_DELAY;
                    self.spawn_connection(stream, peer, reservation);
                }
                Err(error) => errors.handle(self, &error).await,
            }
        }
    }

    /// Serves a client's connection in a task of its own.
    fn spawn_connection(
        self: &Rc<Self>,
        stream: TcpStream,
        peer: SocketAddr,
        reservation: Reservation,
    ) {
        let listener = Rc::clone(self);
        let charged = Rc::new(ChargedAccount::new(self.account.clone()));
        let charged_account = Rc::clone(&charged);
        let connection_task = FairTask::new(&self.process, charged, async move {
            client::serve(&listener, stream, charged_account).await;
            drop(reservation);
            listener.connection_ended.notify_one();
        });
        watchdog::spawn(TaskKind::ClientConnection.for_peer(peer), connection_task);
    }

    /// Whether connections are scarce, so that responses should close theirs: idle keep-alive connections of some clients would
    /// keep others from connecting. That is so above the process's high watermark, unless this listener stays within its
    /// guaranteed connections, and above the listener's own threshold. All clients together hold at most half of the
    /// descriptors.
    pub(super) fn is_near_connection_limit(&self) -> bool {
        let process_near_limit = self.process.client_connections.get()
            > self.process.client_connections_high_watermark.get()
            && self.connection_limit.exceeds_guarantee();
        process_near_limit || self.clients.count() > self.congestion_threshold.get()
    }

    /// Whether so few connections are left, and most of them held by their clients, that a request is rejected unread: nobody is
    /// to wait for the pace of others. Asks slow clients to release their connections if so.
    pub(super) fn must_reject_unread(&self) -> bool {
        let available = self.connection_limit.available();
        let total = self.connection_limit.usage().used + available;
        let exhausted = available < total / REJECTING_CONNECTIONS_DIVISOR
            && self.clients.are_mostly_held_by_clients();
        if exhausted {
            self.process.request_release();
        }
        exhausted
    }

    pub(super) fn account(&self) -> Option<Rc<SchedulerAccount>> {
        self.account.clone()
    }

    /// Charges the further work of a request to the account of its service, once that is known.
    pub(super) fn charge(&self, charged: &ChargedAccount, service: &Service) {
        charged.set(fair_scheduler::charged_account(&service.charged));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a log that is filled by a socket that fails now and then.
    #[test]
    fn failures_are_logged_at_first_and_then_once_a_minute_with_their_count() {
        let mut failures = AcceptFailures::default();
        let logged: Vec<u64> = (0..300)
            .filter_map(|second| failures.record(second * 500_000))
            .collect();
        assert_eq!(logged, [0, 119, 119]);
    }
}
