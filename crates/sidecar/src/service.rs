//! A service: one pool of servers with an instance of the decision module of its own, and all that belongs to it
//! alone. Nothing of one service is seen by another but through what the process limits.

use super::active_settings::ActiveSettings;
use super::connections::Connections;
use super::counts::{OutcomeCounts, ServiceCounts};
use super::fair_scheduler::ChargedAccount;
use super::limits::RequestLimits;
use super::pool::{self, ListUpdate, Pool};
use super::process_state::ProcessState;
use super::teller::{EndedAttempt, Teller};
use super::traffic_shares::TrafficShares;
use super::transaction::{Step, StepQueue};
use super::warm_start::WarmStart;
use super::{discovery_watch, event_log, levels, probe};
use foldhash::quality::FixedState;
use hyper::header::HeaderValue;
use madderloom_balancer::settings::Site;
use madderloom_balancer::{
    Action, Balancer, DiscoveryUpdate, Event, LogEvent, Measurements, Micros, NewRequest,
    RequestId, ServerId, Snapshot, Timer,
};
use madderloom_degradation::{LevelController, LevelPlan};
use madderloom_graphql::{Front, Policy};
use madderloom_operator_config::{Kept, MemberLimits};
use madderloom_routing::shares::Part;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

/// What a service is made of.
pub(super) struct ServiceSpec {
    pub(super) name: String,
    /// Goes before what it logs; empty where there is but one service.
    pub(super) log_prefix: String,
    pub(super) site: Site,
    /// None where the list is fixed.
    pub(super) discovery: Option<SocketAddr>,
    /// The servers as they are known at the start, or for good.
    pub(super) initial_list: ListUpdate,
    pub(super) limits: MemberLimits,
    pub(super) levels: Option<LevelPlan>,
    /// How its GraphQL operations are classed, if it has any.
    pub(super) graphql: Option<Policy>,
    pub(super) persistence: Kept,
    pub(super) seed: u64,
    /// The number of this instance among those of its fleet, where its name tells it.
    pub(super) ordinal: Option<u32>,
}

/// What a service, or the clients of a listener, may hold.
#[derive(Clone, Copy)]
pub(super) struct ResourceShares {
    pub(super) connections: Part,
    pub(super) requests: Part,
    pub(super) body_bytes: Part,
}

/// One service.
pub(super) struct Service {
    pub(super) name: String,
    pub(super) log_prefix: String,
    pub(super) process: Rc<ProcessState>,
    balancer: RefCell<Balancer>,
    /// None where the file has no levels for it.
    pub(super) level_controller: RefCell<Option<LevelController>>,
    /// Its part of the spread by which the instances of a fleet come back apart, from 0 to 1.
    pub(super) spread_position: f64,
    pub(super) pool: Pool,
    pub(super) connections: Connections,
    /// The settings that hold.
    active_settings: RefCell<Rc<ActiveSettings>>,
    /// What it knows of the GraphQL documents that it has seen, if it serves any.
    pub(super) graphql: RefCell<Option<Front>>,
    /// The ids of open requests: no two have the same.
    pub(super) request_ids: RefCell<HashSet<HeaderValue, FixedState>>,
    /// The transactions that are not over, and where each hears what it is to do.
    pub(super) transactions: RefCell<HashMap<RequestId, Rc<StepQueue>, FixedState>>,
    pub(super) last_request_id: Cell<RequestId>,
    /// What its requests may hold together.
    pub(super) request_limits: RequestLimits,
    /// Its account of the thread's time, for its connections and for the requests that it has.
    pub(super) charged: Rc<ChargedAccount>,
    pub(super) counts: ServiceCounts,
    /// What of it outlasts the process.
    pub(super) persistence: Cell<Kept>,
    /// What an earlier process measured of servers that are not listed yet.
    warm_start: RefCell<WarmStart>,
    /// A request has ended.
    idle: Notify,
    leaving: Cell<bool>,
    tasks: RefCell<Vec<AbortHandle>>,
    /// The story of its servers, where it is kept.
    pub(super) history_recorder: RefCell<Option<Box<Teller>>>,
    /// Kept for its capacity.
    actions: Cell<Vec<Action>>,
    /// What the module said is being carried out.
    handling: Cell<bool>,
    /// The parts of its servers as the log told of them last.
    moves: RefCell<TrafficShares>,
}

fn numbered_balancer(spec: &ServiceSpec) -> Result<Balancer, String> {
    let balancer = Balancer::new(spec.site.settings.clone(), spec.seed);
    let mut balancer = balancer.map_err(|e| format!("{}configuration: {e}", spec.log_prefix))?;
    if let Some(ordinal) = spec.ordinal {
        balancer.set_ordinal(ordinal);
    }
    Ok(balancer)
}

impl Service {
    /// A service at work. To be called in a local set.
    pub(super) fn new(
        process: &Rc<ProcessState>,
        spec: ServiceSpec,
        parts: ResourceShares,
    ) -> Result<Rc<Self>, String> {
        let balancer = numbered_balancer(&spec)?;
        let ServiceSpec {
            name,
            log_prefix,
            site,
            discovery,
            initial_list,
            limits,
            levels,
            graphql,
            persistence,
            seed,
            ..
        } = spec;
        let counts = ServiceCounts::default();
        let charged = Rc::new(ChargedAccount::new(process.account(limits.weight)));
        let bounds = &process.shared_limits;
        let seats = bounds.server_connections.join(parts.connections);
        let service = Rc::new(Service {
            balancer: RefCell::new(balancer),
            level_controller: RefCell::default(),
            spread_position: madderloom_balancer::key_position(seed),
            pool: Pool::new(
                discovery,
                site.zones.clone(),
                site.kinds.clone(),
                process.clock.now(),
            ),
            connections: Connections::new(process, seats, site.conn_idle, site.connect_timeout),
            active_settings: RefCell::new(Rc::new(ActiveSettings::new(site, &counts))),
            graphql: RefCell::new(graphql.map(Front::new)),
            request_ids: RefCell::default(),
            transactions: RefCell::default(),
            last_request_id: Cell::new(0),
            request_limits: RequestLimits::new(
                bounds.requests_by_pool.join(parts.requests),
                bounds.body_bytes_by_pool.join(parts.body_bytes),
                limits.rate,
            ),
            charged,
            counts,
            persistence: Cell::new(persistence),
            warm_start: RefCell::default(),
            idle: Notify::new(),
            leaving: Cell::new(false),
            tasks: RefCell::default(),
            history_recorder: RefCell::default(),
            actions: Cell::default(),
            handling: Cell::new(false),
            moves: RefCell::default(),
            process: Rc::clone(process),
            name,
            log_prefix,
        });
        process.services.borrow_mut().push(Rc::clone(&service));
        event_log::started(process.clock.now());
        service.recall_classes();
        pool::load_initial_list(&service, initial_list);
        levels::configure(&service, levels);
        Ok(service)
    }

    /// Takes over other limits, its servers or its discovery where these are others, and how its GraphQL
    /// operations are classed: what it learned of documents holds for the same policy alone.
    pub(super) fn reconfigure(
        self: &Rc<Self>,
        pool: &madderloom_operator_config::Pool,
        parts: ResourceShares,
    ) {
        self.set_limits(pool.limits, parts);
        self.persistence.set(pool.kept);
        let mut front = self.graphql.borrow_mut();
        if front.as_ref().map(Front::policy) != pool.graphql.as_ref() {
            *front = pool.graphql.clone().map(Front::new);
        }
        drop(front);
        match pool.discovery {
            Some(discovery) if !self.pool.uses_discovery(discovery) => {
                discovery_watch::switch_discovery(self, discovery)
            }
            Some(_) => {}
            None => pool::use_static_list(self, ListUpdate::from_static_servers(&pool.servers)),
        }
        levels::configure(self, pool.levels.clone());
    }

    /// How old its list may be, by discovery's word or the fleet's; none where it is fixed.
    pub(super) fn list_age(&self, now: Micros) -> Option<Micros> {
        let shared = self.process.shared_lists.evidence_age(&self.name);
        self.pool
            .list_age(now)
            .map(|age| shared.map_or(age, |shared| shared.min(age)))
    }

    pub(super) fn set_limits(&self, limits: MemberLimits, parts: ResourceShares) {
        self.connections.slots.update(parts.connections);
        self.request_limits
            .update(parts.requests, parts.body_bytes, limits.rate);
        if let Some(account) = super::fair_scheduler::charged_account(&self.charged) {
            account.set_weight(limits.weight);
        }
    }

    /// Ends once it has no request any more, which its clients' patience bounds. It gets no new ones; those that it
    /// has may have new attempts until the drain is over.
    pub(super) async fn drain_and_remove(self: Rc<Self>, drain: Duration) {
        self.leaving.set(true);
        let of = &self.name;
        tracing::info!(pool = %of, "{of}: leaving");
        let idle = async {
            while !self.request_ids.borrow().is_empty() {
                self.idle.notified().await;
            }
        };
        tokio::pin!(idle);
        let drained = tokio::time::timeout(drain, idle.as_mut()).await;
        pool::drain_servers(&self);
        if drained.is_err() {
            idle.await;
        }
        self.tasks
            .borrow_mut()
            .drain(..)
            .for_each(|task| task.abort());
        self.process
            .services
            .borrow_mut()
            .retain(|other| !Rc::ptr_eq(other, &self));
        tracing::info!(pool = %of, "{of}: gone");
    }

    /// The time within which an answer is of full worth.
    pub(super) fn latency_objective(&self, request: &NewRequest) -> Micros {
        let tuned = self.active_settings();
        tuned.class_at(request.class).map_or(Micros::MAX, |entry| {
            let class = &entry.class;
            let stretch = class.latency_objective_stretch * request.cost_hint.unwrap_or(0) as f64;
            class.latency_objective.saturating_add(stretch as Micros)
        })
    }

    /// The counts of a class by its place in the settings.
    pub(super) fn class_counts(&self, class: u32) -> Rc<OutcomeCounts> {
        let tuned = self.active_settings();
        tuned
            .class_at(class)
            .map_or_else(|| self.counts.unclassed(), |class| Rc::clone(&class.counts))
    }

    /// The settings that hold now.
    pub(super) fn active_settings(&self) -> Rc<ActiveSettings> {
        Rc::clone(&self.active_settings.borrow())
    }

    /// Other settings hold from now on, which make sense.
    pub(super) fn update_settings(self: &Rc<Self>, site: Site) {
        let former = self.active_settings();
        let (tuned, retuned) = former.updated(site, &self.counts);
        self.connections
            .set_timeouts(tuned.site.conn_idle, tuned.site.connect_timeout);
        pool::update_names(self, &tuned.site);
        self.active_settings.replace(Rc::new(tuned));
        self.handle(self.process.clock.now(), Event::SettingsChanged(&retuned));
    }

    pub(super) fn retry_after(&self) -> Option<Micros> {
        self.active_settings.borrow().retry_after
    }

    pub(super) fn is_draining(&self) -> bool {
        self.leaving.get()
    }

    /// What the module knows.
    pub(super) fn snapshot(&self) -> Snapshot {
        self.balancer.borrow().snapshot(self.process.clock.now())
    }

    /// The share of its servers that fails, where it has any.
    pub(super) fn failing_server_share(&self, now: Micros) -> Option<f64> {
        self.balancer.borrow().failing_server_share(now)
    }

    /// Requests that levels have turned away.
    pub(super) fn shed_requests(&self) -> u64 {
        self.balancer.borrow().shed_requests()
    }

    /// Takes a task that ends with the service at the latest.
    pub(super) fn track_task(&self, task: AbortHandle) {
        let mut tasks = self.tasks.borrow_mut();
        tasks.retain(|task| !task.is_finished());
        tasks.push(task);
    }

    /// What the module has measured.
    pub(super) fn measurements(&self, now: Micros) -> Measurements {
        self.balancer.borrow().measurements(now)
    }

    /// Begins with what an earlier process measured of classes, and keeps the rest until servers are listed.
    fn recall_classes(&self) {
        let Some(writer) = self
            .process
            .state_writer
            .get()
            .filter(|_| self.persistence.get().warm_start)
        else {
            return;
        };
        let warm_start = WarmStart::from_store(writer, &self.name);
        let begun = self.measurements(self.process.clock.now());
        if let Some(memory) = warm_start.restore_classes(writer, self, &begun) {
            self.balancer
                .borrow_mut()
                .restore_class_measurements(&memory);
        }
        self.warm_start.replace(warm_start);
    }

    /// Servers were listed: what was measured of them before is given to the module.
    pub(super) fn restore_server_measurements(&self, now: Micros) {
        if let Some(writer) = self.process.state_writer.get() {
            let take = |memory: &_| {
                self.balancer
                    .borrow_mut()
                    .restore_server_measurements(now, memory)
            };
            self.warm_start.borrow_mut().restore_servers(writer, take);
        }
    }

    /// The servers as an earlier process knew them.
    pub(super) fn persisted_servers(&self) -> Vec<madderloom_sidecar_state::ServerSnapshot> {
        let writer = self.process.state_writer.get();
        writer
            .map(|writer| self.warm_start.borrow().stored_servers(writer))
            .unwrap_or_default()
    }

    /// A request has its answer, or its client has gone.
    pub(super) fn release_request_id(&self, id: &HeaderValue) {
        self.request_ids.borrow_mut().remove(id);
        self.idle.notify_one();
    }

    /// Hands the module one event and carries out what it says: the one door to the module.
    ///
    /// Nothing that an action brings about calls this again before it has returned: a step wakes a transaction's task,
    /// a probe or a watch begins a task, a timer is set. So no two borrows of the module meet, and its actions are
    /// carried out in their order. Tests see to it by the assertion here.
    pub(super) fn handle(self: &Rc<Self>, now: Micros, event: Event<'_>) {
        match &event {
            Event::DiscoveryUpdated(members) => {
                self.record_history(|teller| teller.listed(self, now, members))
            }
            Event::ProbeCompleted(server, Some(report)) => {
                self.record_history(|teller| teller.reported(now, *server, report.in_flight));
            }
            _ => {}
        }
        if let (Event::AttemptEnded(closed), Some(keeper)) =
            (&event, self.level_controller.borrow_mut().as_mut())
        {
            keeper.attempt_ended(now, closed);
        }
        event_log::event(self, now, &event);
        let within = self.handling.replace(true);
        debug_assert!(
            !within,
            "the module is told of something while what it said is carried out"
        );
        let mut actions = self.actions.take();
        self.balancer.borrow_mut().handle(now, event, &mut actions);
        for action in actions.drain(..) {
            event_log::action(now, &action);
            self.dispatch(now, action);
        }
        self.actions.set(actions);
        self.handling.set(within);
    }

    /// Lets the story hear of something, where it is kept.
    pub(super) fn record_history(&self, what: impl FnOnce(&mut Teller)) {
        if let Some(teller) = self.history_recorder.borrow_mut().as_mut() {
            what(teller);
        }
    }

    /// Keeps the story of its servers by these settings from now on, or no more.
    pub(super) fn set_history_settings(
        &self,
        settings: Option<madderloom_endpoint_history::Settings>,
    ) {
        let now = self.process.clock.now();
        let Some(settings) = settings else {
            return drop(self.history_recorder.take());
        };
        let mut teller = self.history_recorder.borrow_mut();
        match teller.as_mut() {
            Some(teller) => teller.change(now, settings),
            None => {
                let listed: Vec<_> = self
                    .snapshot()
                    .servers
                    .iter()
                    .map(|server| server.entry)
                    .collect();
                let cold = self.active_settings().site.settings.rules.slow_start_window;
                let new = teller.insert(Box::new(Teller::new(&self.name, settings, cold)));
                new.listed(self, now, &DiscoveryUpdate::FullList(&listed));
            }
        }
    }

    /// Once a second: what the story is to know, and whose regions have moved.
    pub(super) fn sample_servers(&self) {
        let logged = tracing::enabled!(tracing::Level::INFO);
        if !logged && self.history_recorder.borrow().is_none() {
            return;
        }
        let snapshot = self.snapshot();
        let moved = if logged {
            self.moves.borrow_mut().update(&snapshot.servers)
        } else {
            None
        };
        if let Some(moved) = moved {
            let of = &self.log_prefix;
            tracing::info!(
                "{of}regions moved: {}",
                moved.describe(|server| self.pool.name(server))
            );
        }
        // The local day is looked up where a story wants it alone.
        self.record_history(|teller| {
            let (now, minute) = (self.process.clock.now(), self.process.minute_of_day());
            teller.second(self, now, minute, &snapshot);
        });
    }

    pub(super) fn record_attempt_start(
        &self,
        now: Micros,
        server: ServerId,
        begun: (RequestId, u32),
        class: u32,
    ) {
        self.record_history(|teller| teller.begun(self, now, server, begun, class));
    }

    pub(super) fn record_attempt_end(&self, now: Micros, ended: &EndedAttempt) {
        self.record_history(|teller| teller.ended(now, ended));
    }

    fn dispatch(self: &Rc<Self>, now: Micros, action: Action) {
        match action {
            Action::Send {
                request,
                server,
                timeout_at,
                write_by,
            } => {
                let told = self.instruct(
                    request,
                    Step::Send {
                        server,
                        timeout_at,
                        write_by,
                    },
                );
                // However a transaction ends, its request is settled in the module before it is gone from here.
                debug_assert!(
                    told,
                    "request {request} is sent on, and its transaction is over"
                );
            }
            Action::Cancel { request, attempt } => {
                self.instruct(request, Step::Cancel { attempt });
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                self.instruct(request, Step::Reject { retry_after });
            }
            Action::Fail { request } => {
                self.instruct(request, Step::Fail);
            }
            Action::SetTimer { at, timer } => self.set_timer(at, timer),
            Action::PollDiscovery => discovery_watch::poll_discovery(self),
            Action::Probe(server) => probe::start(self, server),
            Action::Log(note) => self.note(now, note),
        }
    }

    fn instruct(&self, request: RequestId, step: Step) -> bool {
        self.transactions
            .borrow()
            .get(&request)
            .map(|steps| steps.push(step))
            .is_some()
    }

    /// A request's timers end with it.
    fn set_timer(self: &Rc<Self>, at: Micros, timer: Timer) {
        match timer {
            Timer::Discovery => {
                discovery_watch::log_next_call(self, self.process.clock.now(), at);
                self.process.timers.set_balancer_timer(self, at, timer);
            }
            Timer::Request(id) => {
                if let Some(steps) = self.transactions.borrow().get(&id) {
                    let timers = &self.process.timers;
                    steps.add_timer(timers, timers.set_balancer_timer(self, at, timer));
                }
            }
        }
    }

    fn note(&self, now: Micros, note: LogEvent) {
        let of = &self.log_prefix;
        self.record_history(|teller| teller.noted(self, now, note));
        match note {
            LogEvent::ClassOverloaded(class) => {
                let tuned = self.active_settings();
                let class = tuned.class_at(class).map_or("?", |c| &c.name);
                tracing::warn!(class, "{of}overload: refusing {class} early");
            }
            LogEvent::ServerEjected(server, outcome) => {
                let server = self.pool.name(server);
                tracing::warn!(%server, ?outcome, "{of}ejected {server}: {outcome:?}");
            }
            LogEvent::ServerRestored(server) => {
                let server = self.pool.name(server);
                tracing::info!(%server, "{of}restored {server}");
            }
            LogEvent::DiscoveryFailed => tracing::warn!("{of}server list out of reach"),
        }
    }
}
