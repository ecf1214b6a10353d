//! A listener: where clients connect, and the connections that they have there.

use super::client::{self, Clients, MIN_IDLE_BEFORE_EVICTION};
use super::connections::is_resource_exhaustion;
use super::counts::OutcomeCounts;
use super::fair_scheduler::{self, ChargedAccount, FairTask, SchedulerAccount};
use super::limits::{LimitShare, RequestLimits};
use super::process_state::ProcessState;
use super::routing::Routing;
use super::service::{ResourceShares, Service};
use madderloom_balancer::Micros;
use madderloom_operator_config::MemberLimits;
use madderloom_watchdog::{self as watchdog, TaskKind};
use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{Notify, watch};

/// How long after it is told to leave a listener still takes what comes, or, on a shared socket, where it takes no clients any
/// more, waits for those that it has to come once more. Clients connect for 0.4 s after a SIGTERM, and what comes within
/// 0.7 s of it still has its whole time before the platform ends the process.
pub(super) const CLOSE_GRACE_PERIOD: Duration = Duration::from_millis(650);
/// Before a socket on which clients are about to be taken by another process is looked at again.
const ACCEPT_RETRY_DELAY: Micros = 10_000;
/// And at most, where it fails again and again for another reason.
const MAX_ACCEPT_RETRY_DELAY: Micros = 1_000_000;
/// Connections that wait to be taken.
pub(super) const LISTEN_BACKLOG: u32 = 1_024;

/// How a listener treats its clients.
#[derive(Clone, Copy)]
pub(super) struct ListenerSettings {
    /// A client that has sent no whole head for this long since it connected, or since its last answer, is silent,
    /// idle or hostile: its descriptor goes to others. A connection with a request open is never closed by this.
    pub(super) head_timeout: Micros,
    /// A client that has sent nothing at all for this long may have been silent for longer than a head may take.
    pub(super) idle_timeout: Micros,
    /// How long the rest of a request may take behind its head.
    pub(super) body_timeout: Micros,
    /// The longest body.
    pub(super) max_body_size: usize,
    /// The longest GraphQL message, which is read whole.
    pub(super) max_message_size: usize,
    /// What a limit turns away has its body read and dropped behind the answer, so that the answer arrives.
    pub(super) drains_rejected_bodies: bool,
}

impl ListenerSettings {
    /// That of a sidecar without an operator file.
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

/// A bound socket, and where it was told to be.
pub(super) struct BoundSocket {
    pub(super) configured_address: SocketAddr,
    pub(super) socket: TcpListener,
    /// Another process has it too.
    pub(super) shared: bool,
}

/// One listener.
pub(super) struct Listener {
    pub(super) name: RefCell<String>,
    pub(super) process: Rc<ProcessState>,
    /// Where it was told to listen, and where it does.
    pub(super) configured_address: SocketAddr,
    pub(super) address: SocketAddr,
    /// Its socket is shared with the process that this one replaces, or that will replace it.
    shared: bool,
    pub(super) settings: Cell<ListenerSettings>,
    pub(super) routing: RefCell<Rc<Routing>>,
    /// What its clients may hold: connections, and requests with their bodies.
    pub(super) connection_limit: LimitShare,
    pub(super) request_limits: RequestLimits,
    account: Option<Rc<SchedulerAccount>>,
    /// So many connections of its own are a crowd.
    many: Cell<usize>,
    pub(super) clients: Clients,
    pub(super) counts: OutcomeCounts,
    leaving: watch::Sender<bool>,
    /// It takes no clients any more.
    closed: Cell<bool>,
    /// One of its connections has ended.
    freed: Notify,
}

/// A bound socket that nobody is taken from yet.
pub(super) fn bind(at: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if at.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(LISTEN_BACKLOG)
}

/// A crowd is half of what a listener may hold; without a file, the process's own count alone tells.
fn congestion_threshold(limits: Option<MemberLimits>, parts: ResourceShares) -> usize {
    let half = usize::try_from(parts.connections.most / 2).unwrap_or(usize::MAX);
    limits.map_or(usize::MAX, |_| half.max(1))
}

impl Listener {
    /// A listener at work. To be called in a local set. Without limits it has all that there is.
    pub(super) fn start(
        process: &Rc<ProcessState>,
        name: &str,
        BoundSocket {
            configured_address,
            socket,
            shared,
        }: BoundSocket,
        (settings, routing): (ListenerSettings, Routing),
        (limits, parts): (Option<MemberLimits>, ResourceShares),
    ) -> Rc<Self> {
        // A socket that is bound knows where.
        let address = socket.local_addr().unwrap_or(configured_address);
        let bounds = &process.shared_limits;
        let listener = Rc::new(Listener {
            process: Rc::clone(process),
            configured_address,
            address,
            shared,
            settings: Cell::new(settings),
            routing: RefCell::new(Rc::new(routing)),
            connection_limit: bounds.client_connections.join(parts.connections),
            request_limits: RequestLimits::new(
                bounds.requests_by_listener.join(parts.requests),
                bounds.body_bytes_by_listener.join(parts.body_bytes),
                limits.and_then(|l| l.rate),
            ),
            account: process.account(limits.map_or(1, |l| l.weight)),
            many: Cell::new(congestion_threshold(limits, parts)),
            clients: Clients::default(),
            counts: OutcomeCounts::default(),
            leaving: watch::channel(false).0,
            closed: Cell::new(false),
            freed: Notify::new(),
            name: RefCell::new(name.to_string()),
        });
        process.listeners.borrow_mut().push(Rc::clone(&listener));
        let own = Rc::clone(&listener);
        let of = own.label();
        tracing::info!(at = %address, "{of}listening on {address}");
        watchdog::spawn(TaskKind::AcceptLoop, own.serve(socket));
        listener
    }

    /// Takes over another settings, other limits and other routes; what is open goes on as it began. One that was
    /// about to leave stays.
    pub(super) fn update(
        &self,
        settings: ListenerSettings,
        routing: Routing,
        limits: MemberLimits,
        parts: ResourceShares,
    ) {
        self.leaving.send_replace(false);
        self.settings.set(settings);
        self.set_routing(routing);
        self.connection_limit.update(parts.connections);
        self.request_limits
            .update(parts.requests, parts.body_bytes, limits.rate);
        self.many.set(congestion_threshold(Some(limits), parts));
        if let Some(account) = self.account.as_ref() {
            account.set_weight(limits.weight);
        }
    }

    pub(super) fn set_name(&self, name: &str) {
        self.name.replace(name.to_string());
    }

    /// Goes before what it logs; empty where it is the only one.
    fn label(&self) -> String {
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

    /// It stops taking clients in a moment, and ends once those that it has are answered.
    pub(super) fn start_draining(&self) {
        self.leaving.send_replace(true);
    }

    /// Whether it could stay if it were told to.
    pub(super) fn can_cancel_draining(&self) -> bool {
        self.is_draining() && !self.closed.get()
    }

    pub(super) fn is_draining(&self) -> bool {
        *self.leaving.borrow()
    }

    /// What it spent of the thread's time: on taking connections, reading heads, and what it turned away.
    pub(super) fn cpu_time_used(&self) -> madderloom_routing::turns::Spent {
        self.account
            .as_ref()
            .map_or_else(Default::default, |account| account.usage())
    }

    /// Serves clients until it is told to leave and what was taken is answered.
    async fn serve(self: Rc<Self>, socket: TcpListener) {
        let mut leaving = self.leaving.subscribe();
        let told = async {
            loop {
                // The sender lives as long as this listener.
                let _ = leaving.wait_for(|leaving| *leaving).await;
                // Clients go on connecting for a while, and what has reached this machine has been taken.
                // Where the socket is shared, the other process takes them, and all that waits to be taken.
                if self.shared {
                    return;
                }
                tokio::select! {
                    () = tokio::time::sleep(CLOSE_GRACE_PERIOD) => return,
                    // A newer file has it stay.
                    _ = leaving.wait_for(|leaving| !*leaving) => {}
                }
            }
        };
        let charged = Rc::new(ChargedAccount::new(self.account.clone()));
        tokio::select! {
            () = FairTask::new(&self.process, charged, self.accept_loop(&socket)) => {}
            () = told => {}
        }
        self.closed.set(true);
        drop(socket);
        let of = self.label();
        tracing::info!("{of}closed to new clients");
        if self.shared {
            // What comes on open connections meanwhile ends them with its answer, which no close can cross.
            tokio::time::sleep(CLOSE_GRACE_PERIOD).await;
        }
        self.clients.close_all();
        // No connection is left, so no answer is owed.
        while self.connection_limit.usage().used > 0 {
            self.freed.notified().await;
        }
        self.process
            .listeners
            .borrow_mut()
            .retain(|other| !Rc::ptr_eq(other, &self));
        self.process.listener_ended.notify_one();
    }

    /// Takes connections for as long as it is asked to.
    async fn accept_loop(self: &Rc<Self>, socket: &TcpListener) {
        // Until it can serve, the process that it is to replace takes all.
        while self.shared && !self.process.can_serve() {
            self.process.sleep(ACCEPT_RETRY_DELAY).await;
        }
        let mut pause = ACCEPT_RETRY_DELAY;
        loop {
            self.process.enforce_connection_memory(2);
            // A connection that waits in the backlog has been taken as far as its client can tell, so the one that
            // lies idle for longest makes room before there is none.
            let numbers = self.connection_limit.usage();
            let room = self.connection_limit.available();
            // Of what it may have now: what others hold of the common part is nothing that it could make room in.
            if self.is_near_connection_limit() || room <= (numbers.used + room) / 8 {
                self.clients.evict_idle(self.process.clock.now());
            }
            let Ok(seat) = self.connection_limit.reserve(1) else {
                if numbers.used < numbers.part.most {
                    self.process.reclaim_client_connection();
                }
                // With no room, one that was too young to go is old enough a little later.
                let _ = self
                    .process
                    .timeout(MIN_IDLE_BEFORE_EVICTION, self.freed.notified())
                    .await;
                continue;
            };
            match socket.accept().await {
                Ok((stream, peer)) => {
                    pause = ACCEPT_RETRY_DELAY;
                    let own = Rc::clone(self);
                    let charged = Rc::new(ChargedAccount::new(self.account.clone()));
                    let to_charge = Rc::clone(&charged);
                    let serving = FairTask::new(&self.process, charged, async move {
                        client::serve(&own, stream, to_charge).await;
                        drop(seat);
                        own.freed.notify_one();
                    });
                    watchdog::spawn(TaskKind::ClientConnection.of_peer(peer), serving);
                }
                Err(problem) if is_resource_exhaustion(&problem) => {
                    let of = self.label();
                    tracing::warn!("{of}no descriptor for a client: {problem}");
                    self.process.free_descriptor().await;
                }
                // The client has gone between its coming and its being taken.
                Err(problem) if problem.kind() == ErrorKind::ConnectionAborted => {}
                // A socket that fails each time must not have the thread to itself.
                Err(problem) => {
                    let of = self.label();
                    tracing::warn!("{of}no client can be taken: {problem}");
                    self.process.sleep(pause).await;
                    pause = (2 * pause).min(MAX_ACCEPT_RETRY_DELAY);
                }
            }
        }
    }

    /// All clients together hold a third of the descriptors at most. Each keeps its connections to itself, so once
    /// they are near that, what some keep idle is what others lack: answers then end their connections. Those of
    /// a listener that keeps to what is guaranteed to it lack nothing to others.
    pub(super) fn is_near_connection_limit(&self) -> bool {
        let all = self.process.client_connections.get()
            > self.process.client_connections_high_watermark.get()
            && self.connection_limit.exceeds_guarantee();
        all || self.clients.count() > self.many.get()
    }

    pub(super) fn account(&self) -> Option<Rc<SchedulerAccount>> {
        self.account.clone()
    }

    /// What a request's work is put down to, once it is known whose it is.
    pub(super) fn charge(&self, charged: &ChargedAccount, service: &Service) {
        charged.set(fair_scheduler::charged_account(&service.charged));
    }
}
