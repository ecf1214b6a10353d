//! State that all services and listeners of the process share: clock, timers, resource limits, fair scheduler, and the
//! services and listeners themselves.

use super::admin_events::AdminEvents;
use super::clock::{Clock, LocalTimeZone};
use super::connections::is_resource_exhaustion;
use super::fair_scheduler::{Scheduler, SchedulerAccount};
use super::fleet_limits::FleetLimits;
use super::levels::CpuUsage;
use super::limits::SharedLimit;
use super::listener::Listener;
use super::memory::MemoryBudget;
use super::pool::ServerOverrides;
use super::service::Service;
use super::shared_lists::SharedLists;
use super::shared_request_ids::SharedRequestIds;
use super::state_writer::StateWriter;
use super::timers::Timers;
use madderloom_admin::lifecycle::Lifecycle;
use madderloom_balancer::Micros;
use std::cell::{Cell, OnceCell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// File descriptors kept for uses other than client and server connections. Those two share the rest equally.
const RESERVED_DESCRIPTORS: usize = 16;
/// Upper bound on the connections to clients, and on those to servers: more than one process can use.
pub(super) const MAX_CONNECTIONS_PER_SIDE: usize = 1 << 16;
/// Unless configured otherwise, the bodies of requests in flight may together take the memory divided by this.
const BODY_MEMORY_DIVISOR: u64 = 4;

/// After it has asked a process to stop, the platform waits for the process's longest client deadline plus at least this
/// long before it kills the process.
const PLATFORM_KILL_DELAY: Micros = 700_000;
/// The platform counts at most this much of the longest client deadline.
const MAX_COUNTED_DEADLINE: Micros = 3_000_000;
/// Answers are sent at least this long before the process may be killed, so that they reach their clients.
const ANSWER_DELIVERY_MARGIN: Micros = 100_000;

/// Delay before an operation that failed for lack of a file descriptor is retried.
const DESCRIPTOR_RETRY_DELAY: Micros = 10_000;
/// For this long after such a failure, file descriptors are considered exhausted.
const DESCRIPTOR_EXHAUSTION_PERIOD: Micros = 1_000_000;

/// All connections may together take the memory divided by this.
const CONNECTION_MEMORY_DIVISOR: u64 = 4;

/// State shared by all services and listeners of the process.
pub(super) struct ProcessState {
    pub(super) clock: Clock,
    pub(super) timers: Timers,
    /// Whether the process serves, drains or stops.
    pub(super) lifecycle: RefCell<Lifecycle>,
    /// Set once the process stops: requests that arrive from then on must be answered by this time, because the platform
    /// kills the process soon after.
    answer_deadline: Cell<Option<Micros>>,
    /// When an operation last failed for lack of a file descriptor.
    descriptors_exhausted_at: Cell<Option<Micros>>,
    /// Platform configuration files that were accepted at SIGHUP.
    pub(super) configs_accepted: Cell<u64>,
    /// Platform configuration files that were rejected at SIGHUP.
    pub(super) configs_rejected: Cell<u64>,
    pub(super) shared_limits: SharedLimits,
    /// Open client connections, parked ones included.
    pub(super) client_connections: Cell<usize>,
    /// Above this many client connections, those of listeners that exceed their guaranteed share are closed early.
    pub(super) client_connections_high_watermark: Cell<usize>,
    /// Open client connections that are not parked.
    pub(super) active_client_connections: Cell<usize>,
    /// The bytes that all connections may take together.
    pub(super) max_connection_bytes: Cell<u64>,
    /// What the process may allocate.
    pub(super) memory: MemoryBudget,
    /// `None` where a single service on a single listener has nothing to share the thread with.
    pub(super) scheduler: Option<Rc<Scheduler>>,
    /// All services, including those that drain.
    pub(super) services: RefCell<Vec<Rc<Service>>>,
    pub(super) listeners: RefCell<Vec<Rc<Listener>>>,
    /// Notified when a listener has ended.
    pub(super) listener_ended: Notify,
    /// The number of routes.
    pub(super) route_count: Cell<usize>,
    /// The number of operator files that have taken effect.
    pub(super) operator_files_applied: Cell<u64>,
    /// Recent server events, where endpoint history is recorded.
    pub(super) admin_events: Rc<AdminEvents>,
    time_zone: OnceCell<LocalTimeZone>,
    /// Operator changes to servers, such as drains and weights, that override the server lists.
    pub(super) server_overrides: RefCell<ServerOverrides>,
    /// Writes the state that outlasts the process, where the operator file names a directory for it.
    pub(super) state_writer: OnceCell<Rc<StateWriter>>,
    pub(super) cpu_usage: CpuUsage,
    /// Fleet-wide limits, where the operator file configures any.
    pub(super) fleet_limits: Rc<FleetLimits>,
    /// Server lists that the fleet shares, where the operator file enables it.
    pub(super) shared_lists: SharedLists,
    /// The ids that the processes of an upgrade share, where this one has inherited the clients' socket.
    pub(super) shared_request_ids: OnceCell<SharedRequestIds>,
}

/// Limits that the services, or the listeners, of the process share among themselves.
pub(super) struct SharedLimits {
    pub(super) client_connections: Rc<SharedLimit>,
    pub(super) server_connections: Rc<SharedLimit>,
    pub(super) requests_by_pool: Rc<SharedLimit>,
    pub(super) requests_by_listener: Rc<SharedLimit>,
    pub(super) body_bytes_by_pool: Rc<SharedLimit>,
    pub(super) body_bytes_by_listener: Rc<SharedLimit>,
}

/// The amount of each shared resource.
#[derive(Clone, Copy)]
pub(super) struct ResourceTotals {
    pub(super) descriptors: usize,
    /// Client connections, and as many server connections.
    pub(super) connections: u64,
    /// Requests in flight.
    pub(super) requests: u64,
    /// Bytes of the bodies of requests in flight.
    pub(super) body_bytes: u64,
    /// Bytes that connections take, bodies not counted.
    pub(super) connection_bytes: u64,
    /// All memory of the process.
    pub(super) memory: u64,
}

/// Bytes accounted for a parked client connection. This figure and the next two are rounded up: see docs/connections.md.
pub(super) const PARKED_CONNECTION_BYTES: u64 = 2 << 10;
/// Bytes accounted for a client connection that is not parked: its task, and `hyper`'s state and two buffers for it.
pub(super) const ACTIVE_CONNECTION_BYTES: u64 = 20 << 10;
/// Bytes accounted for a connection to a server.
pub(super) const SERVER_CONNECTION_BYTES: u64 = 1 << 10;

impl ResourceTotals {
    /// The totals within the platform's limits: file descriptors, of which `reserved` are for listeners, watches and the
    /// like, and bytes of memory.
    pub(super) fn new(
        descriptors: usize,
        reserved: usize,
        memory: u64,
        requests: u64,
        body_bytes: Option<u64>,
    ) -> Self {
        let connections = (descriptors.saturating_sub(RESERVED_DESCRIPTORS + reserved) / 2)
            .clamp(1, MAX_CONNECTIONS_PER_SIDE);
        ResourceTotals {
            descriptors,
            connections: connections as u64,
            requests,
            body_bytes: body_bytes.unwrap_or(memory / BODY_MEMORY_DIVISOR),
            connection_bytes: memory / CONNECTION_MEMORY_DIVISOR,
            memory,
        }
    }
}

impl SharedLimits {
    fn new(totals: ResourceTotals) -> Self {
        SharedLimits {
            client_connections: SharedLimit::new(totals.connections),
            server_connections: SharedLimit::new(totals.connections),
            requests_by_pool: SharedLimit::new(totals.requests),
            requests_by_listener: SharedLimit::new(totals.requests),
            body_bytes_by_pool: SharedLimit::new(totals.body_bytes),
            body_bytes_by_listener: SharedLimit::new(totals.body_bytes),
        }
    }
}

impl ProcessState {
    pub(super) fn new(totals: ResourceTotals, fair_scheduling: bool) -> Rc<Self> {
        let clock = Clock::start();
        Rc::new(ProcessState {
            timers: Timers::new(&clock),
            clock,
            lifecycle: RefCell::default(),
            answer_deadline: Cell::new(None),
            descriptors_exhausted_at: Cell::new(None),
            configs_accepted: Cell::new(0),
            configs_rejected: Cell::new(0),
            shared_limits: SharedLimits::new(totals),
            client_connections: Cell::new(0),
            client_connections_high_watermark: Cell::new(totals.descriptors / 4),
            active_client_connections: Cell::new(0),
            max_connection_bytes: Cell::new(totals.connection_bytes),
            memory: MemoryBudget::new(totals.memory),
            scheduler: fair_scheduling.then(Scheduler::new),
            services: RefCell::default(),
            listeners: RefCell::default(),
            listener_ended: Notify::new(),
            route_count: Cell::new(0),
            operator_files_applied: Cell::new(0),
            admin_events: Rc::default(),
            time_zone: OnceCell::new(),
            server_overrides: RefCell::default(),
            state_writer: OnceCell::new(),
            cpu_usage: CpuUsage::default(),
            fleet_limits: Rc::default(),
            shared_lists: SharedLists::default(),
            shared_request_ids: OnceCell::new(),
        })
    }

    /// Whether any service has a server list to serve requests with.
    pub(super) fn can_serve(&self) -> bool {
        self.services
            .borrow()
            .iter()
            .any(|service| service.pool.has_servers())
    }

    /// Called when the process stops: sets the time by which requests must be answered, which follows from the platform's
    /// rules and the longest client deadline, in microseconds, and returns it.
    pub(super) fn set_answer_deadline(&self, longest_deadline: Micros) -> Micros {
        let time_to_answer = longest_deadline.min(MAX_COUNTED_DEADLINE) + PLATFORM_KILL_DELAY
            - ANSWER_DELIVERY_MARGIN;
        let answer_deadline = self.clock.now() + time_to_answer;
        self.answer_deadline.set(Some(answer_deadline));
        answer_deadline
    }

    /// Whether the process stops and the time by which requests must be answered has passed.
    pub(super) fn is_past_answer_deadline(&self) -> bool {
        let now = self.clock.now();
        self.answer_deadline
            .get()
            .is_some_and(|answer_deadline| now >= answer_deadline)
    }

    /// The time left for a request that arrives now: its client's `time_left`, but no more than the process has until its
    /// answer deadline. The process would otherwise be killed with the request unanswered.
    pub(super) fn cap_time_left(&self, now: Micros, time_left: Micros) -> Micros {
        self.answer_deadline.get().map_or(time_left, |deadline| {
            time_left.min(deadline.saturating_sub(now))
        })
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.lifecycle.borrow().is_stopping()
    }

    /// The minute of the day in local time, from 0 to 1,439.
    pub(super) fn minute_of_day(&self) -> u16 {
        self.time_zone
            .get_or_init(LocalTimeZone::read)
            .minute_of_day()
    }

    pub(super) fn set_totals(&self, totals: ResourceTotals) {
        self.max_connection_bytes.set(totals.connection_bytes);
        self.memory.set_memory(totals.memory);
        self.client_connections_high_watermark
            .set(totals.descriptors / 4);
        let limits = &self.shared_limits;
        for (limit, total) in [
            (&limits.client_connections, totals.connections),
            (&limits.server_connections, totals.connections),
            (&limits.requests_by_pool, totals.requests),
            (&limits.requests_by_listener, totals.requests),
            (&limits.body_bytes_by_pool, totals.body_bytes),
            (&limits.body_bytes_by_listener, totals.body_bytes),
        ] {
            limit.set_total(total);
        }
    }

    /// A fair-queueing account of this weight; `None` without a scheduler.
    pub(super) fn account(&self, weight: u32) -> Option<Rc<SchedulerAccount>> {
        self.scheduler
            .as_ref()
            .map(|scheduler| Rc::new(scheduler.open_account(weight)))
    }

    /// The bytes accounted for connections: parked clients, active clients, servers.
    pub(super) fn connection_bytes(&self) -> [u64; 3] {
        // A connection that is being closed no longer counts as parked.
        let parked: usize = self
            .listeners
            .borrow()
            .iter()
            .map(|listener| listener.clients.parked())
            .sum();
        let active = self.active_client_connections.get();
        [
            parked as u64 * PARKED_CONNECTION_BYTES,
            active as u64 * ACTIVE_CONNECTION_BYTES,
            self.shared_limits.server_connections.used() * SERVER_CONNECTION_BYTES,
        ]
    }

    /// Closes the parked connections that have been idle longest while connections take too much memory, at most
    /// `max_closed` of them.
    pub(super) fn enforce_connection_memory(&self, max_closed: u64) {
        let excess = self
            .connection_bytes()
            .iter()
            .sum::<u64>()
            .saturating_sub(self.max_connection_bytes.get());
        for _ in 0..excess.div_ceil(PARKED_CONNECTION_BYTES).min(max_closed) {
            self.close_oldest_parked_connection();
        }
    }

    fn close_oldest_parked_connection(&self) {
        let listeners = self.listeners.borrow();
        let oldest = listeners
            .iter()
            .filter_map(|listener| Some((listener.clients.oldest_parked_since()?, listener)));
        if let Some((_, listener)) = oldest.min_by_key(|(since, _)| *since) {
            listener.clients.evict_idle(self.clock.now());
        }
    }

    /// Makes a file descriptor available after an operation has failed for lack of one. This happens when more descriptors
    /// are in use than this process counts. Closes the client connection that has been idle longest, or else such a server
    /// connection, and waits for [`DESCRIPTOR_RETRY_DELAY`], so that the caller can retry without a busy loop.
    pub(super) async fn free_descriptor(&self) {
        self.descriptors_exhausted_at.set(Some(self.clock.now()));
        let now = self.clock.now();
        let client_closed = self
            .listeners
            .borrow()
            .iter()
            .any(|listener| listener.clients.evict_idle(now));
        if !client_closed {
            self.close_oldest_server_connection();
        }
        self.sleep(DESCRIPTOR_RETRY_DELAY).await;
    }

    /// Connects to an address. While there is no file descriptor for the connection, frees one and retries; the caller
    /// bounds the time that this may take.
    pub(super) async fn connect(&self, address: SocketAddr) -> std::io::Result<TcpStream> {
        loop {
            match TcpStream::connect(address).await {
                Err(problem) if is_resource_exhaustion(&problem) => self.free_descriptor().await,
                connected => return connected,
            }
        }
    }

    /// Whether an operation has recently failed for lack of a file descriptor.
    pub(super) fn descriptors_exhausted(&self) -> bool {
        self.descriptors_exhausted_at
            .get()
            .is_some_and(|at| self.clock.now().saturating_sub(at) < DESCRIPTOR_EXHAUSTION_PERIOD)
    }

    /// Closes the server connection that has been idle longest.
    pub(super) fn close_oldest_server_connection(&self) {
        let services = self.services.borrow();
        let oldest = services
            .iter()
            .filter_map(|s| Some((s.connections.oldest_idle_since()?, s)));
        if let Some((_, service)) = oldest.min_by_key(|(since, _)| *since) {
            service.connections.close_oldest_idle();
        }
    }

    /// Closes the longest-idle server connection of the pools that hold more connections than they are guaranteed.
    pub(super) fn reclaim_server_connection(&self) {
        let services = self.services.borrow();
        let borrowing = services
            .iter()
            .filter(|s| s.connections.slots.exceeds_guarantee());
        let oldest = borrowing.filter_map(|s| Some((s.connections.oldest_idle_since()?, s)));
        if let Some((_, service)) = oldest.min_by_key(|(since, _)| *since) {
            service.connections.close_oldest_idle();
        }
    }

    /// Closes an idle client connection of each listener that holds more connections than it is guaranteed.
    pub(super) fn reclaim_client_connection(&self) {
        for listener in self
            .listeners
            .borrow()
            .iter()
            .filter(|l| l.connection_limit.exceeds_guarantee())
        {
            listener.clients.evict_idle(self.clock.now());
        }
    }
}
