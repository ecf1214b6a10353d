//! A service: one pool of servers with its own balancer, and all state that belongs to it alone. Services affect one
//! another only through the limits of the process.

use super::active_settings::ActiveSettings;
use super::connections::Connections;
use super::counts::{OutcomeCounts, ServiceCounts};
use super::fair_scheduler::ChargedAccount;
use super::history_recorder::{EndedAttempt, HistoryRecorder};
use super::in_flight_id::RequestIds;
use super::limits::RequestLimits;
use super::pool::{self, ListUpdate, Pool};
use super::process_state::ProcessState;
use super::traffic_shares::TrafficShares;
use super::transaction::{Step, StepQueue};
use super::warm_start::WarmStart;
use super::{discovery_watch, event_log, levels, probe};
use foldhash::quality::FixedState;
use madderloom_balancer::settings::Site;
use madderloom_balancer::{
    Action, Balancer, DiscoveryDiagnosis, DiscoveryUpdate, Event, LogEvent, Measurements, Micros,
    NewRequest, RequestId, ServerId, Snapshot, Timer,
};
use madderloom_degradation::{LevelController, LevelPlan};
use madderloom_graphql::{Front, Policy};
use madderloom_operator_config::{PersistenceOptions, ResourceLimits};
use madderloom_routing::shares::Part;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

/// What a service is created from.
pub(super) struct ServiceSpec {
    pub(super) name: String,
    /// Prefix of the service's log messages; empty where there is a single service.
    pub(super) log_prefix: String,
    pub(super) site: Site,
    /// `None` where the server list is fixed.
    pub(super) discovery: Option<SocketAddr>,
    /// The server list at the start, or the fixed one.
    pub(super) initial_list: ListUpdate,
    /// The ids of its requests; shared with the service that it replaces.
    pub(super) request_ids: Rc<RequestIds>,
    pub(super) limits: ResourceLimits,
    pub(super) levels: Option<LevelPlan>,
    /// How its GraphQL operations are classified, if it serves any.
    pub(super) graphql: Option<Policy>,
    /// Which of the service's state outlasts the process.
    pub(super) persistence: PersistenceOptions,
    pub(super) seed: u64,
    /// The ordinal of this instance in its fleet, where its name contains one.
    pub(super) ordinal: Option<u32>,
}

/// The shares of the process's resources that a service, or a listener's clients, may use.
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
    /// `None` where the operator file has no degradation levels for it.
    pub(super) level_controller: RefCell<Option<LevelController>>,
    /// Position of this instance, from 0 to 1, in the time over which the instances of a fleet spread their return.
    pub(super) spread_position: f64,
    pub(super) pool: Pool,
    pub(super) connections: Connections,
    /// The settings in effect.
    active_settings: RefCell<Rc<ActiveSettings>>,
    /// State for GraphQL requests, such as the documents seen, if it serves any.
    pub(super) graphql: RefCell<Option<Front>>,
    /// The ids of its requests; shared with the services that it replaces and that replace it.
    pub(super) request_ids: Rc<RequestIds>,
    /// How many of the ids in flight are its own.
    pub(super) ids_in_flight: Cell<usize>,
    /// The open transactions, each with the queue of steps that the balancer decides on for it.
    pub(super) transactions: RefCell<HashMap<RequestId, Rc<StepQueue>, FixedState>>,
    pub(super) last_request_id: Cell<RequestId>,
    /// Limits on its requests and their bodies.
    pub(super) request_limits: RequestLimits,
    /// The fair-queueing account that its connections and requests are charged to.
    pub(super) charged: Rc<ChargedAccount>,
    pub(super) counts: ServiceCounts,
    /// Which of its state outlasts the process.
    pub(super) persistence: Cell<PersistenceOptions>,
    /// What an earlier process measured of servers that are not listed yet.
    warm_start: RefCell<WarmStart>,
    /// Notified when a request has ended.
    pub(super) request_ended: Notify,
    draining: Cell<bool>,
    tasks: RefCell<Vec<AbortHandle>>,
    /// Records the history of its servers, where this is enabled.
    pub(super) history_recorder: RefCell<Option<Box<HistoryRecorder>>>,
    /// Empty; reused for its allocation.
    actions: Cell<Vec<Action>>,
    /// Whether actions of the balancer are being carried out.
    handling: Cell<bool>,
    /// Duration of the stalls of the event loop that the balancer was notified of.
    stalls_reported: Cell<Micros>,
    /// The traffic shares of its servers as last logged.
    traffic_shares: RefCell<TrafficShares>,
}

fn balancer_with_ordinal(spec: &ServiceSpec) -> Result<Balancer, String> {
    let balancer = Balancer::new(spec.site.settings.clone(), spec.seed);
    let mut balancer = balancer.map_err(|e| format!("{}configuration: {e}", spec.log_prefix))?;
    if let Some(ordinal) = spec.ordinal {
        balancer.set_ordinal(ordinal);
    }
    Ok(balancer)
}

impl Service {
    /// Creates and starts a service. To be called in a local set.
    pub(super) fn new(
        process: &Rc<ProcessState>,
        spec: ServiceSpec,
        shares: ResourceShares,
    ) -> Result<Rc<Self>, String> {
        let balancer = balancer_with_ordinal(&spec)?;
        let ServiceSpec {
            name,
            log_prefix,
            site,
            discovery,
            initial_list,
            request_ids,
            limits,
            levels,
            graphql,
            persistence,
            seed,
            ..
        } = spec;
        let (zones, kinds) = (site.zones.clone(), site.kinds.clone());
        let counts = ServiceCounts::default();
        let shared_limits = &process.shared_limits;
        let slots = shared_limits.server_connections.join(shares.connections);
        let service = Rc::new(Service {
            balancer: RefCell::new(balancer),
            level_controller: RefCell::default(),
            spread_position: madderloom_balancer::key_position(seed),
            pool: Pool::new(discovery, zones, kinds, process.clock.now()),
            connections: Connections::new(process, slots, site.conn_idle, site.connect_timeout),
            active_settings: RefCell::new(Rc::new(ActiveSettings::new(site, &counts))),
            graphql: RefCell::new(graphql.map(Front::new)),
            request_ids,
            ids_in_flight: Cell::new(0),
            transactions: RefCell::default(),
            last_request_id: Cell::new(0),
            request_limits: RequestLimits::new(
                shared_limits.requests_by_pool.join(shares.requests),
                shared_limits.body_bytes_by_pool.join(shares.body_bytes),
                limits.rate,
            ),
            charged: Rc::new(ChargedAccount::new(process.account(limits.weight))),
            counts,
            persistence: Cell::new(persistence),
            warm_start: RefCell::default(),
            request_ended: Notify::new(),
            draining: Cell::new(false),
            tasks: RefCell::default(),
            history_recorder: RefCell::default(),
            actions: Cell::default(),
            handling: Cell::new(false),
            stalls_reported: Cell::new(0),
            traffic_shares: RefCell::default(),
            process: Rc::clone(process),
            name,
            log_prefix,
        });
        process.services.borrow_mut().push(Rc::clone(&service));
        event_log::started(process.clock.now());
        service.restore_class_measurements();
        pool::load_initial_list(&service, initial_list);
        levels::configure(&service, levels);
        Ok(service)
    }

    /// Applies a changed pool of the operator file: limits, servers or discovery, degradation levels and the GraphQL
    /// policy. State for GraphQL documents is kept only under the same policy.
    pub(super) fn reconfigure(
        self: &Rc<Self>,
        pool: &madderloom_operator_config::Pool,
        shares: ResourceShares,
    ) {
        self.set_limits(pool.limits, shares);
        self.persistence.set(pool.persistence);
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

    /// The age of the server list, by the last confirmation from discovery or the fleet, in microseconds; `None` where the
    /// list is fixed.
    pub(super) fn list_age(&self, now: Micros) -> Option<Micros> {
        let shared = self.process.shared_lists.evidence_age(&self.name);
        self.pool
            .list_age(now)
            .map(|age| shared.map_or(age, |shared| shared.min(age)))
    }

    /// Where the pool begins to share its list: nothing older that the fleet has replaces the one that it uses.
    pub(super) fn hold_own_list(&self) {
        if let Some(age) = self.pool.list_age(self.process.clock.now()) {
            let own = |evidence_at| self.pool.own_list(evidence_at);
            self.process.shared_lists.hold_own(&self.name, age, own);
        }
    }

    pub(super) fn set_limits(&self, limits: ResourceLimits, shares: ResourceShares) {
        self.connections.slots.update(shares.connections);
        self.request_limits
            .update(shares.requests, shares.body_bytes, limits.rate);
        if let Some(account) = super::fair_scheduler::charged_account(&self.charged) {
            account.set_weight(limits.weight);
        }
    }

    /// Drains the service, then removes it. It gets no new requests from now on, and ends once no request is in flight, which
    /// the client timeouts bound. Requests in flight may start new attempts until the drain time is over.
    pub(super) async fn drain_and_remove(self: Rc<Self>, drain: Duration) {
        self.draining.set(true);
        let name = &self.name;
        tracing::info!(pool = %name, "{name}: leaving");
        let idle = async {
            while self.ids_in_flight.get() > 0 {
                self.request_ended.notified().await;
            }
        };
        tokio::pin!(idle);
        let drained = madderloom_watchdog::timeout(drain, idle.as_mut()).await;
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
        tracing::info!(pool = %name, "{name}: gone");
    }

    /// The latency objective of a request in microseconds: its answer has full weight within this time.
    pub(super) fn latency_objective(&self, request: &NewRequest) -> Micros {
        let settings = self.active_settings();
        settings
            .class_at(request.class)
            .map_or(Micros::MAX, |entry| {
                let class = &entry.class;
                let stretch =
                    class.latency_objective_stretch * request.cost_hint.unwrap_or(0) as f64;
                class.latency_objective.saturating_add(stretch as Micros)
            })
    }

    /// The counts of a class, by its index in the settings.
    pub(super) fn class_counts(&self, class: u32) -> Rc<OutcomeCounts> {
        let settings = self.active_settings();
        settings
            .class_at(class)
            .map_or_else(|| self.counts.unclassed(), |class| Rc::clone(&class.counts))
    }

    /// The settings in effect.
    pub(super) fn active_settings(&self) -> Rc<ActiveSettings> {
        Rc::clone(&self.active_settings.borrow())
    }

    /// Replaces the settings; the new ones must be valid.
    pub(super) fn update_settings(self: &Rc<Self>, site: Site) {
        let former = self.active_settings();
        let (settings, change) = former.updated(site, &self.counts);
        self.connections
            .set_timeouts(settings.site.conn_idle, settings.site.connect_timeout);
        pool::update_names(self, &settings.site);
        self.active_settings.replace(Rc::new(settings));
        self.handle(self.process.clock.now(), Event::SettingsChanged(&change));
    }

    pub(super) fn retry_after(&self) -> Option<Micros> {
        self.active_settings.borrow().retry_after
    }

    pub(super) fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// The state of the balancer.
    pub(super) fn snapshot(&self) -> Snapshot {
        self.balancer.borrow().snapshot(self.process.clock.now())
    }

    /// The share of its servers that fail, from 0 to 1; `None` without servers.
    pub(super) fn failing_server_share(&self, now: Micros) -> Option<f64> {
        self.balancer.borrow().failing_server_share(now)
    }

    /// The number of requests shed by degradation levels.
    pub(super) fn shed_requests(&self) -> u64 {
        self.balancer.borrow().shed_requests()
    }

    /// Registers a task to be aborted when the service ends.
    pub(super) fn track_task(&self, task: AbortHandle) {
        let mut tasks = self.tasks.borrow_mut();
        tasks.retain(|task| !task.is_finished());
        tasks.push(task);
    }

    /// What failed calls show of discovery.
    pub(super) fn discovery_diagnosis(&self, now: Micros) -> DiscoveryDiagnosis {
        self.balancer.borrow().discovery_diagnosis(now)
    }

    /// What the balancer has measured.
    pub(super) fn measurements(&self, now: Micros) -> Measurements {
        self.balancer.borrow().measurements(now)
    }

    /// Restores what an earlier process measured of classes, and keeps its measurements of servers until these are listed.
    fn restore_class_measurements(&self) {
        let Some(writer) = self
            .process
            .state_writer
            .get()
            .filter(|_| self.persistence.get().warm_start)
        else {
            return;
        };
        let warm_start = WarmStart::from_store(writer, &self.name);
        let initial = self.measurements(self.process.clock.now());
        if let Some(restored) = warm_start.restore_classes(writer, self, &initial) {
            self.balancer
                .borrow_mut()
                .restore_class_measurements(&restored);
        }
        self.warm_start.replace(warm_start);
    }

    /// Gives the balancer what an earlier process measured of servers that are now listed.
    pub(super) fn restore_server_measurements(&self, now: Micros) {
        if let Some(writer) = self.process.state_writer.get() {
            let restore = |measured: &_| {
                self.balancer
                    .borrow_mut()
                    .restore_server_measurements(now, measured)
            };
            self.warm_start
                .borrow_mut()
                .restore_servers(writer, restore);
        }
    }

    /// The servers that an earlier process had listed.
    pub(super) fn persisted_servers(&self) -> Vec<madderloom_sidecar_state::ServerSnapshot> {
        let writer = self.process.state_writer.get();
        writer
            .map(|writer| self.warm_start.borrow().stored_servers(writer))
            .unwrap_or_default()
    }

    /// Passes one event to the balancer and carries out the actions that it returns. All events go through this function.
    ///
    /// No action leads to a nested call before this returns: a step wakes a transaction's task, a probe or a watch spawns
    /// a task, a timer is set. So borrows of the balancer never overlap, and its actions are carried out in order. The
    /// assertion here enforces this in tests.
    pub(super) fn handle(self: &Rc<Self>, now: Micros, event: Event<'_>) {
        match &event {
            Event::DiscoveryUpdated(update) => {
                self.record_history(|recorder| recorder.record_server_list(self, now, update))
            }
            Event::ProbeCompleted(server, Some(report)) => {
                self.record_history(|recorder| {
                    recorder.record_load_report(now, *server, report.in_flight)
                });
            }
            _ => {}
        }
        if let (Event::AttemptEnded(result), Some(controller)) =
            (&event, self.level_controller.borrow_mut().as_mut())
        {
            controller.attempt_ended(now, result);
        }
        let stalled = self.unreported_stall(now);
        event_log::event(self, now, &event);
        let nested = self.handling.replace(true);
        debug_assert!(
            !nested,
            "an event reaches the balancer while its actions are being carried out"
        );
        let mut actions = self.actions.take();
        if let Some(duration) = stalled {
            let event = Event::EventLoopStalled(duration);
            self.balancer.borrow_mut().handle(now, event, &mut actions);
        }
        self.balancer.borrow_mut().handle(now, event, &mut actions);
        for action in actions.drain(..) {
            event_log::action(now, &action);
            self.dispatch(now, action);
        }
        self.actions.set(actions);
        self.handling.set(nested);
    }

    /// Duration of the stalls of the event loop since the balancer was last notified of one.
    fn unreported_stall(&self, now: Micros) -> Option<Micros> {
        let (total, reported) = (
            self.process.timers.stalls.stalled_until(now),
            self.stalls_reported.get(),
        );
        let duration = total
            .checked_sub(reported)
            .filter(|duration| *duration > 0)?;
        self.stalls_reported.set(total);
        Some(duration)
    }

    /// Calls `record` with the history recorder, where history is enabled.
    pub(super) fn record_history(&self, record: impl FnOnce(&mut HistoryRecorder)) {
        if let Some(recorder) = self.history_recorder.borrow_mut().as_mut() {
            record(recorder);
        }
    }

    /// Records the history of its servers with these settings from now on; `None` disables recording.
    pub(super) fn set_history_settings(
        &self,
        settings: Option<madderloom_endpoint_history::Settings>,
    ) {
        let now = self.process.clock.now();
        let Some(settings) = settings else {
            return drop(self.history_recorder.take());
        };
        let mut recorder = self.history_recorder.borrow_mut();
        match recorder.as_mut() {
            Some(recorder) => recorder.reconfigure(now, settings),
            None => {
                let listed: Vec<_> = self
                    .snapshot()
                    .servers
                    .iter()
                    .map(|server| server.entry)
                    .collect();
                let slow_start_window =
                    self.active_settings().site.settings.rules.slow_start_window;
                let new = recorder.insert(Box::new(HistoryRecorder::new(
                    &self.name,
                    settings,
                    slow_start_window,
                )));
                new.record_server_list(self, now, &DiscoveryUpdate::FullList(&listed));
            }
        }
    }

    /// Called once a second: logs servers whose traffic shares have moved, and records the servers' state in the history.
    pub(super) fn sample_servers(&self) {
        let logging = tracing::enabled!(tracing::Level::INFO);
        if !logging && self.history_recorder.borrow().is_none() {
            return;
        }
        let snapshot = self.snapshot();
        let changes = if logging {
            self.traffic_shares.borrow_mut().update(&snapshot.servers)
        } else {
            None
        };
        if let Some(changes) = changes {
            let prefix = &self.log_prefix;
            tracing::info!(
                "{prefix}regions moved: {}",
                changes.describe(|server| self.pool.name(server))
            );
        }
        // Local time is looked up only where history is recorded.
        self.record_history(|recorder| {
            let (now, minute) = (self.process.clock.now(), self.process.minute_of_day());
            recorder.sample(self, now, minute, &snapshot);
        });
    }

    pub(super) fn record_attempt_start(
        &self,
        now: Micros,
        server: ServerId,
        begun: (RequestId, u32),
        class: u32,
    ) {
        self.record_history(|recorder| {
            recorder.record_attempt_start(self, now, server, begun, class)
        });
    }

    pub(super) fn record_attempt_end(&self, now: Micros, ended: &EndedAttempt) {
        self.record_history(|recorder| recorder.record_attempt_end(now, ended));
    }

    fn dispatch(self: &Rc<Self>, now: Micros, action: Action) {
        match action {
            Action::Send {
                request,
                server,
                timeout_at,
                write_by,
            } => {
                let delivered = self.push_step(
                    request,
                    Step::Send {
                        server,
                        timeout_at,
                        write_by,
                    },
                );
                // However a transaction ends, the balancer learns of it before the transaction is removed here.
                debug_assert!(
                    delivered,
                    "request {request} is to be sent, and its transaction has ended"
                );
            }
            Action::AwaitResponse {
                request,
                attempt,
                until,
            } => {
                self.push_step(request, Step::AwaitResponse { attempt, until });
            }
            Action::Cancel { request, attempt } => {
                self.push_step(request, Step::Cancel { attempt });
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                self.push_step(request, Step::Reject { retry_after });
            }
            Action::Fail { request } => {
                self.push_step(request, Step::Fail);
            }
            Action::SetTimer { at, timer } => self.set_timer(at, timer),
            Action::PollDiscovery => discovery_watch::poll_discovery(self),
            Action::Probe(server) => probe::start(self, server),
            Action::Log(event) => self.log(now, event),
        }
    }

    /// Ends the open requests: the process stops, and may be killed soon.
    pub(super) fn expire_requests(&self) {
        for steps in self.transactions.borrow().values() {
            steps.push(Step::Expire);
        }
    }

    /// Queues a step for a transaction. Returns false if the transaction has ended.
    fn push_step(&self, request: RequestId, step: Step) -> bool {
        self.transactions
            .borrow()
            .get(&request)
            .map(|steps| steps.push(step))
            .is_some()
    }

    /// Sets a timer of the balancer. A request's timers are cancelled when the request ends.
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

    fn log(&self, now: Micros, event: LogEvent) {
        let prefix = &self.log_prefix;
        self.record_history(|recorder| recorder.record_log_event(self, now, event));
        match event {
            LogEvent::ClassOverloaded(class) => {
                let settings = self.active_settings();
                let class = settings.class_at(class).map_or("?", |c| &c.name);
                tracing::warn!(class, "{prefix}overload: rejecting {class} early");
            }
            LogEvent::ServerEjected(server, outcome) => {
                let server = self.pool.name(server);
                tracing::warn!(%server, ?outcome, "{prefix}ejected {server}: {outcome:?}");
            }
            LogEvent::ServerRestored(server) => {
                let server = self.pool.name(server);
                tracing::info!(%server, "{prefix}restored {server}");
            }
            LogEvent::DiscoveryFailed => tracing::warn!(
                "{prefix}call to discovery failed; the server list may be out of date"
            ),
        }
    }
}
