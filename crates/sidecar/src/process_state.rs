//! What belongs to the process: its clock, its limits, the turns on its thread, and who is there.

use super::clock::{Clock, LocalTimeZone};
use super::connections::is_resource_exhaustion;
use super::fair_scheduler::{Scheduler, SchedulerAccount};
use super::feed::Feed;
use super::fleet_limits::FleetLimits;
use super::levels::CpuUsage;
use super::limits::SharedLimit;
use super::listener::Listener;
use super::pool::ServerOverrides;
use super::service::Service;
use super::shared_lists::SharedLists;
use super::state_writer::StateWriter;
use super::timers::Timers;
use madderloom_admin::duty::Duty;
use madderloom_balancer::Micros;
use std::cell::{Cell, OnceCell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Descriptors that are neither a client's nor a server's; the rest is shared out equally.
const OWN_DESCRIPTORS: usize = 16;
/// Of the most connections to one side, which is more than one process can use.
pub(super) const MAX_CONNECTIONS_PER_SIDE: usize = 1 << 16;
/// The bodies of open requests together hold this part of the memory at most, where nothing else is said.
const BODIES: u64 = 4;

/// The platform kills a process that is to stop no sooner than this behind its longest deadline, of which it counts so much
/// at most.
const KILLED_AFTER: Micros = 700_000;
const LONGEST_COUNTED: Micros = 3_000_000;
/// An answer is on its way by so much sooner.
const ON_ITS_WAY: Micros = 100_000;

/// Before something is opened again for which there was no descriptor, and how long a want of them is taken to last.
const OPENED_AGAIN: Micros = 10_000;
const EXHAUSTED: Micros = 1_000_000;

/// All connections together hold this part of the memory at most.
const HELD: u64 = 4;

/// What belongs to the process.
pub(super) struct ProcessState {
    pub(super) clock: Clock,
    pub(super) timers: Timers,
    /// Whether it serves, drains or stops.
    pub(super) lifecycle: RefCell<Duty>,
    /// Once the process stops: by when all that comes from then on is to be answered, as the platform ends it soon after.
    answers_by: Cell<Option<Micros>>,
    /// When this process last had no descriptor for what it wanted to open.
    exhausted: Cell<Option<Micros>>,
    /// Files taken at SIGHUP, and those turned down.
    pub(super) configs_accepted: Cell<u64>,
    pub(super) configs_rejected: Cell<u64>,
    pub(super) shared_limits: SharedLimits,
    /// Connections of clients that are there, and how many of them are a crowd.
    pub(super) client_connections: Cell<usize>,
    pub(super) client_connections_high_watermark: Cell<usize>,
    /// Of the connections of clients those that are not parked.
    pub(super) active_client_connections: Cell<usize>,
    /// What connections may hold together, in bytes.
    pub(super) max_connection_bytes: Cell<u64>,
    /// None where there is but one service on one listener, and nobody to take turns with.
    pub(super) scheduler: Option<Rc<Scheduler>>,
    /// All that live, those that are on their way out as well.
    pub(super) services: RefCell<Vec<Rc<Service>>>,
    pub(super) listeners: RefCell<Vec<Rc<Listener>>>,
    /// A listener has ended.
    pub(super) listener_ended: Notify,
    /// How many routes there are, and how many operator files have taken effect.
    pub(super) route_count: Cell<usize>,
    pub(super) operator_files_applied: Cell<u64>,
    /// What happened to servers of late, where their stories are kept.
    pub(super) feed: Rc<Feed>,
    day: OnceCell<LocalTimeZone>,
    /// What is set of servers beside their lists.
    pub(super) server_overrides: RefCell<ServerOverrides>,
    /// What outlasts the process, where the operator file names a place for it.
    pub(super) state_writer: OnceCell<Rc<StateWriter>>,
    pub(super) processor: CpuUsage,
    /// Fleet-wide limits, where the operator file has any.
    pub(super) fleet_limits: Rc<FleetLimits>,
    /// Lists of servers that the fleet shares, where the operator file says so.
    pub(super) shared_lists: SharedLists,
}

/// What all services and listeners share.
pub(super) struct SharedLimits {
    pub(super) client_connections: Rc<SharedLimit>,
    pub(super) server_connections: Rc<SharedLimit>,
    pub(super) requests_by_pool: Rc<SharedLimit>,
    pub(super) requests_by_listener: Rc<SharedLimit>,
    pub(super) body_bytes_by_pool: Rc<SharedLimit>,
    pub(super) body_bytes_by_listener: Rc<SharedLimit>,
}

/// How much there is of what is shared.
#[derive(Clone, Copy)]
pub(super) struct ResourceTotals {
    pub(super) descriptors: usize,
    /// Connections of clients, and as many to servers.
    pub(super) connections: u64,
    pub(super) requests: u64,
    pub(super) body_bytes: u64,
    /// Bytes that connections hold, bodies not counted.
    pub(super) connection_bytes: u64,
}

/// What connections are counted as holding, in bytes. Measured, and rounded up: see docs/connections.md.
pub(super) const PARKED_BYTES: u64 = 2 << 10;
/// Of a client's connection that is not parked: its task, and `hyper`'s state and two buffers for it.
pub(super) const SERVED_BYTES: u64 = 20 << 10;
/// Of a connection to a server.
pub(super) const SERVER_BYTES: u64 = 1 << 10;

impl ResourceTotals {
    /// By what the platform gives. `more` descriptors are taken up by further listeners and watches.
    pub(super) fn new(
        descriptors: usize,
        more: usize,
        memory: u64,
        requests: u64,
        body_bytes: Option<u64>,
    ) -> Self {
        let share = (descriptors.saturating_sub(OWN_DESCRIPTORS + more) / 2)
            .clamp(1, MAX_CONNECTIONS_PER_SIDE);
        ResourceTotals {
            descriptors,
            connections: share as u64,
            requests,
            body_bytes: body_bytes.unwrap_or(memory / BODIES),
            connection_bytes: memory / HELD,
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
    pub(super) fn new(totals: ResourceTotals, in_turn: bool) -> Rc<Self> {
        let clock = Clock::start();
        Rc::new(ProcessState {
            timers: Timers::new(&clock),
            clock,
            lifecycle: RefCell::default(),
            answers_by: Cell::new(None),
            exhausted: Cell::new(None),
            configs_accepted: Cell::new(0),
            configs_rejected: Cell::new(0),
            shared_limits: SharedLimits::new(totals),
            client_connections: Cell::new(0),
            client_connections_high_watermark: Cell::new(totals.descriptors / 4),
            active_client_connections: Cell::new(0),
            max_connection_bytes: Cell::new(totals.connection_bytes),
            scheduler: in_turn.then(Scheduler::new),
            services: RefCell::default(),
            listeners: RefCell::default(),
            listener_ended: Notify::new(),
            route_count: Cell::new(0),
            operator_files_applied: Cell::new(0),
            feed: Rc::default(),
            day: OnceCell::new(),
            server_overrides: RefCell::default(),
            state_writer: OnceCell::new(),
            processor: CpuUsage::default(),
            fleet_limits: Rc::default(),
            shared_lists: SharedLists::default(),
        })
    }

    /// Whether there is a service that could serve a request.
    pub(super) fn can_serve(&self) -> bool {
        self.services
            .borrow()
            .iter()
            .any(|service| service.pool.has_servers())
    }

    /// The process stops now, under the platform's rules, where clients wait no longer than this.
    pub(super) fn set_answer_deadline(&self, longest: Micros) {
        let within = longest.min(LONGEST_COUNTED) + KILLED_AFTER - ON_ITS_WAY;
        self.answers_by.set(Some(self.clock.now() + within));
    }

    /// What is left for a request that comes now and whose client waits for so long: no more than the process has itself.
    /// Else it would be killed with the request unanswered.
    pub(super) fn cap_time_left(&self, now: Micros, left: Micros) -> Micros {
        self.answers_by
            .get()
            .map_or(left, |by| left.min(by.saturating_sub(now)))
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.lifecycle.borrow().is_stopping()
    }

    /// The minute of the local day, from 0 to 1,439.
    pub(super) fn minute_of_day(&self) -> u16 {
        self.day.get_or_init(LocalTimeZone::read).minute()
    }

    pub(super) fn set_totals(&self, totals: ResourceTotals) {
        self.max_connection_bytes.set(totals.connection_bytes);
        self.client_connections_high_watermark
            .set(totals.descriptors / 4);
        let bounds = &self.shared_limits;
        for (bound, total) in [
            (&bounds.client_connections, totals.connections),
            (&bounds.server_connections, totals.connections),
            (&bounds.requests_by_pool, totals.requests),
            (&bounds.requests_by_listener, totals.requests),
            (&bounds.body_bytes_by_pool, totals.body_bytes),
            (&bounds.body_bytes_by_listener, totals.body_bytes),
        ] {
            bound.set_total(total);
        }
    }

    /// An account of this weight, where work is taken in turn.
    pub(super) fn account(&self, weight: u32) -> Option<Rc<SchedulerAccount>> {
        self.scheduler
            .as_ref()
            .map(|scheduler| Rc::new(scheduler.open_account(weight)))
    }

    /// What connections hold, by what each is counted as: parked, served, and to servers.
    pub(super) fn connection_bytes(&self) -> [u64; 3] {
        // One that has been told to go is not parked any more.
        let parked: usize = self
            .listeners
            .borrow()
            .iter()
            .map(|listener| listener.clients.parked())
            .sum();
        let served = self.active_client_connections.get();
        [
            parked as u64 * PARKED_BYTES,
            served as u64 * SERVED_BYTES,
            self.shared_limits.server_connections.used() * SERVER_BYTES,
        ]
    }

    /// Has those parked connections closed that have been idle for longest, so many at most, where connections hold
    /// too much.
    pub(super) fn enforce_connection_memory(&self, at_once: u64) {
        let excess = self
            .connection_bytes()
            .iter()
            .sum::<u64>()
            .saturating_sub(self.max_connection_bytes.get());
        for _ in 0..excess.div_ceil(PARKED_BYTES).min(at_once) {
            self.drop_oldest_parked();
        }
    }

    fn drop_oldest_parked(&self) {
        let listeners = self.listeners.borrow();
        let oldest = listeners
            .iter()
            .filter_map(|listener| Some((listener.clients.oldest_parked_since()?, listener)));
        if let Some((_, listener)) = oldest.min_by_key(|(since, _)| *since) {
            listener.clients.evict_idle(self.clock.now());
        }
    }

    /// There was no descriptor for something that is wanted now: others than this program's count hold some. The client that
    /// has been idle for longest goes, or else the connection to a server; it may be tried again once this ends, which nobody
    /// is kept spinning by.
    pub(super) async fn free_descriptor(&self) {
        self.exhausted.set(Some(self.clock.now()));
        let now = self.clock.now();
        let made = self
            .listeners
            .borrow()
            .iter()
            .any(|listener| listener.clients.evict_idle(now));
        if !made {
            self.close_oldest_server_connection();
        }
        self.sleep(OPENED_AGAIN).await;
    }

    /// A connection to this address; for as long as there is no descriptor for it, room is made and it is tried again. Whoever
    /// asks says for how long.
    pub(super) async fn connect(&self, address: SocketAddr) -> std::io::Result<TcpStream> {
        loop {
            match TcpStream::connect(address).await {
                Err(problem) if is_resource_exhaustion(&problem) => self.free_descriptor().await,
                came => return came,
            }
        }
    }

    /// Whether there was no descriptor for something of late.
    pub(super) fn descriptors_exhausted(&self) -> bool {
        self.exhausted
            .get()
            .is_some_and(|at| self.clock.now().saturating_sub(at) < EXHAUSTED)
    }

    /// Closes the connection to a server that has been idle for longest.
    pub(super) fn close_oldest_server_connection(&self) {
        let services = self.services.borrow();
        let oldest = services
            .iter()
            .filter_map(|s| Some((s.connections.oldest_idle_since()?, s)));
        if let Some((_, service)) = oldest.min_by_key(|(since, _)| *since) {
            service.connections.close_oldest_idle();
        }
    }

    /// Has a connection to a server closed that lies idle beyond what is guaranteed to its pool.
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

    /// Has a client's connection closed that lies idle beyond what is guaranteed to its listener.
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
