//! A service: one pool of servers with an instance of the decision module of its own, and all that belongs to it
//! alone. Nothing of one service is seen by another but through what the process limits.

use super::common::Common;
use super::connections::Connections;
use super::counts::{Counts, Registry};
use super::discovery_watch;
use super::levels;
use super::limits::Allowance;
use super::moves::Moves;
use super::pool::{self, Listing, Pool};
use super::probe;
use super::teller::{EndedAttempt, Teller};
use super::trail;
use super::transaction::{Step, Steps};
use super::tuned::Tuned;
use super::turns::Charged;
use super::warm_start::WarmStart;
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
pub(super) struct Spec {
    pub(super) name: String,
    /// Goes before what it logs; empty where there is but one service.
    pub(super) label: String,
    pub(super) site: Site,
    /// None where the list is fixed.
    pub(super) discovery: Option<SocketAddr>,
    /// The servers as they are known at the start, or for good.
    pub(super) known: Listing,
    pub(super) limits: MemberLimits,
    pub(super) levels: Option<LevelPlan>,
    /// How its GraphQL operations are classed, if it has any.
    pub(super) graphql: Option<Policy>,
    pub(super) kept: Kept,
    pub(super) seed: u64,
    /// The number of this instance among those of its fleet, where its name tells it.
    pub(super) ordinal: Option<u32>,
}

/// What a service, or the clients of a listener, may hold.
#[derive(Clone, Copy)]
pub(super) struct Parts {
    pub(super) connections: Part,
    pub(super) open: Part,
    pub(super) bodies: Part,
}

/// One service.
pub(super) struct Service {
    pub(super) name: String,
    pub(super) label: String,
    pub(super) common: Rc<Common>,
    balancer: RefCell<Balancer>,
    /// None where the file has no levels for it.
    pub(super) keeper: RefCell<Option<LevelController>>,
    /// Its part of the spread by which the instances of a fleet come back apart, from 0 to 1.
    pub(super) place: f64,
    pub(super) pool: Pool,
    pub(super) connections: Connections,
    /// The settings that hold.
    tuned: RefCell<Rc<Tuned>>,
    /// What it knows of the GraphQL documents that it has seen, if it serves any.
    pub(super) graphql: RefCell<Option<Front>>,
    /// The ids of open requests: no two have the same.
    pub(super) ids: RefCell<HashSet<HeaderValue, FixedState>>,
    /// The transactions that are not over, and where each hears what it is to do.
    pub(super) transactions: RefCell<HashMap<RequestId, Rc<Steps>, FixedState>>,
    pub(super) last_request: Cell<RequestId>,
    /// What its requests may hold together.
    pub(super) allowance: Allowance,
    /// Its account of the thread's time, for its connections and for the requests that it has.
    pub(super) charged: Rc<Charged>,
    pub(super) counts: Registry,
    /// What of it outlasts the process.
    pub(super) kept: Cell<Kept>,
    /// What an earlier process measured of servers that are not listed yet.
    warm_start: RefCell<WarmStart>,
    /// A request has ended.
    idle: Notify,
    leaving: Cell<bool>,
    tasks: RefCell<Vec<AbortHandle>>,
    /// The story of its servers, where it is kept.
    pub(super) teller: RefCell<Option<Box<Teller>>>,
    /// Kept for its capacity.
    actions: Cell<Vec<Action>>,
    /// What the module said is being carried out.
    handling: Cell<bool>,
    /// The parts of its servers as the log told of them last.
    moves: RefCell<Moves>,
}

fn numbered_balancer(spec: &Spec) -> Result<Balancer, String> {
    let balancer = Balancer::new(spec.site.settings.clone(), spec.seed);
    let mut balancer = balancer.map_err(|e| format!("{}configuration: {e}", spec.label))?;
    if let Some(ordinal) = spec.ordinal {
        balancer.set_ordinal(ordinal);
    }
    Ok(balancer)
}

impl Service {
    /// A service at work. To be called in a local set.
    pub(super) fn new(common: &Rc<Common>, spec: Spec, parts: Parts) -> Result<Rc<Self>, String> {
        let balancer = numbered_balancer(&spec)?;
        let Spec {
            name,
            label,
            site,
            discovery,
            known,
            limits,
            levels,
            graphql,
            kept,
            seed,
            ..
        } = spec;
        let counts = Registry::default();
        let charged = Rc::new(Charged::new(common.account(limits.weight)));
        let bounds = &common.bounds;
        let seats = bounds.servers.join(parts.connections);
        let service = Rc::new(Service {
            balancer: RefCell::new(balancer),
            keeper: RefCell::default(),
            place: madderloom_balancer::key_position(seed),
            pool: Pool::new(
                discovery,
                site.zones.clone(),
                site.kinds.clone(),
                common.clock.now(),
            ),
            connections: Connections::new(common, seats, site.conn_idle, site.connect_timeout),
            tuned: RefCell::new(Rc::new(Tuned::new(site, &counts))),
            graphql: RefCell::new(graphql.map(Front::new)),
            ids: RefCell::default(),
            transactions: RefCell::default(),
            last_request: Cell::new(0),
            allowance: Allowance::new(
                bounds.open_by_pool.join(parts.open),
                bounds.bodies_by_pool.join(parts.bodies),
                limits.rate,
            ),
            charged,
            counts,
            kept: Cell::new(kept),
            warm_start: RefCell::default(),
            idle: Notify::new(),
            leaving: Cell::new(false),
            tasks: RefCell::default(),
            teller: RefCell::default(),
            actions: Cell::default(),
            handling: Cell::new(false),
            moves: RefCell::default(),
            common: Rc::clone(common),
            name,
            label,
        });
        common.services.borrow_mut().push(Rc::clone(&service));
        trail::started(common.clock.now());
        service.recall_classes();
        pool::begin(&service, known);
        levels::set(&service, levels);
        Ok(service)
    }

    /// Takes over other limits, its servers or its discovery where these are others, and how its GraphQL
    /// operations are classed: what it learned of documents holds for the same policy alone.
    pub(super) fn change(self: &Rc<Self>, pool: &madderloom_operator_config::Pool, parts: Parts) {
        self.change_limits(pool.limits, parts);
        self.kept.set(pool.kept);
        let mut front = self.graphql.borrow_mut();
        if front.as_ref().map(Front::policy) != pool.graphql.as_ref() {
            *front = pool.graphql.clone().map(Front::new);
        }
        drop(front);
        match pool.discovery {
            Some(discovery) if !self.pool.follows(discovery) => {
                discovery_watch::turn_to(self, discovery)
            }
            Some(_) => {}
            None => pool::fix(self, Listing::fixed(&pool.servers)),
        }
        levels::set(self, pool.levels.clone());
    }

    /// How old its list may be, by discovery's word or the fleet's; none where it is fixed.
    pub(super) fn list_age(&self, now: Micros) -> Option<Micros> {
        let shared = self.common.shared_lists.age(&self.name);
        self.pool
            .age(now)
            .map(|age| shared.map_or(age, |shared| shared.min(age)))
    }

    pub(super) fn change_limits(&self, limits: MemberLimits, parts: Parts) {
        self.connections.seats.change(parts.connections);
        self.allowance.change(parts.open, parts.bodies, limits.rate);
        if let Some(account) = super::turns::charged_to(&self.charged) {
            account.change(limits.weight);
        }
    }

    /// Ends once it has no request any more, which its clients' patience bounds. It gets no new ones; those that it
    /// has may have new attempts until the drain is over.
    pub(super) async fn leave(self: Rc<Self>, drain: Duration) {
        self.leaving.set(true);
        let of = &self.name;
        tracing::info!(pool = %of, "{of}: leaving");
        let idle = async {
            while !self.ids.borrow().is_empty() {
                self.idle.notified().await;
            }
        };
        tokio::pin!(idle);
        let drained = tokio::time::timeout(drain, idle.as_mut()).await;
        pool::drain(&self);
        if drained.is_err() {
            idle.await;
        }
        self.tasks
            .borrow_mut()
            .drain(..)
            .for_each(|task| task.abort());
        self.common
            .services
            .borrow_mut()
            .retain(|other| !Rc::ptr_eq(other, &self));
        tracing::info!(pool = %of, "{of}: gone");
    }

    /// The time within which an answer is of full worth.
    pub(super) fn aim(&self, request: &NewRequest) -> Micros {
        let tuned = self.tuned();
        tuned.at(request.class).map_or(Micros::MAX, |entry| {
            let class = &entry.class;
            let stretch = class.latency_objective_stretch * request.cost_hint.unwrap_or(0) as f64;
            class.latency_objective.saturating_add(stretch as Micros)
        })
    }

    /// The counts of a class by its place in the settings.
    pub(super) fn class_counts(&self, class: u32) -> Rc<Counts> {
        let tuned = self.tuned();
        tuned
            .at(class)
            .map_or_else(|| self.counts.unclassed(), |class| Rc::clone(&class.counts))
    }

    /// The settings that hold now.
    pub(super) fn tuned(&self) -> Rc<Tuned> {
        Rc::clone(&self.tuned.borrow())
    }

    /// Other settings hold from now on, which make sense.
    pub(super) fn retune(self: &Rc<Self>, site: Site) {
        let former = self.tuned();
        let (tuned, retuned) = former.turn_to(site, &self.counts);
        self.connections
            .change(tuned.site.conn_idle, tuned.site.connect_timeout);
        pool::rename(self, &tuned.site);
        self.tuned.replace(Rc::new(tuned));
        self.handle(self.common.clock.now(), Event::SettingsChanged(&retuned));
    }

    pub(super) fn retry_after(&self) -> Option<Micros> {
        self.tuned.borrow().retry_after
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// What the module knows.
    pub(super) fn snapshot(&self) -> Snapshot {
        self.balancer.borrow().snapshot(self.common.clock.now())
    }

    /// The share of its servers that fails, where it has any.
    pub(super) fn failing(&self, now: Micros) -> Option<f64> {
        self.balancer.borrow().failing_server_share(now)
    }

    /// Requests that levels have turned away.
    pub(super) fn given_up(&self) -> u64 {
        self.balancer.borrow().shed_requests()
    }

    /// Takes a task that ends with the service at the latest.
    pub(super) fn keep(&self, task: AbortHandle) {
        let mut tasks = self.tasks.borrow_mut();
        tasks.retain(|task| !task.is_finished());
        tasks.push(task);
    }

    /// What the module has measured.
    pub(super) fn memory(&self, now: Micros) -> Measurements {
        self.balancer.borrow().measurements(now)
    }

    /// Begins with what an earlier process measured of classes, and keeps the rest until servers are listed.
    fn recall_classes(&self) {
        let Some(writer) = self
            .common
            .state_writer
            .get()
            .filter(|_| self.kept.get().warm_start)
        else {
            return;
        };
        let warm_start = WarmStart::of(writer, &self.name);
        let begun = self.memory(self.common.clock.now());
        if let Some(memory) = warm_start.classes(writer, self, &begun) {
            self.balancer
                .borrow_mut()
                .restore_class_measurements(&memory);
        }
        self.warm_start.replace(warm_start);
    }

    /// Servers were listed: what was measured of them before is given to the module.
    pub(super) fn recall_servers(&self, now: Micros) {
        if let Some(writer) = self.common.state_writer.get() {
            let take = |memory: &_| {
                self.balancer
                    .borrow_mut()
                    .restore_server_measurements(now, memory)
            };
            self.warm_start.borrow_mut().servers(writer, take);
        }
    }

    /// The servers as an earlier process knew them.
    pub(super) fn remembered_servers(&self) -> Vec<madderloom_sidecar_state::ServerSnapshot> {
        let writer = self.common.state_writer.get();
        writer
            .map(|writer| self.warm_start.borrow().listed(writer))
            .unwrap_or_default()
    }

    /// A request has its answer, or its client has gone.
    pub(super) fn forget(&self, id: &HeaderValue) {
        self.ids.borrow_mut().remove(id);
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
                self.tell(|teller| teller.listed(self, now, members))
            }
            Event::ProbeCompleted(server, Some(report)) => {
                self.tell(|teller| teller.reported(now, *server, report.in_flight));
            }
            _ => {}
        }
        if let (Event::AttemptEnded(closed), Some(keeper)) =
            (&event, self.keeper.borrow_mut().as_mut())
        {
            keeper.attempt_ended(now, closed);
        }
        trail::event(self, now, &event);
        let within = self.handling.replace(true);
        debug_assert!(
            !within,
            "the module is told of something while what it said is carried out"
        );
        let mut actions = self.actions.take();
        self.balancer.borrow_mut().handle(now, event, &mut actions);
        for action in actions.drain(..) {
            trail::action(now, &action);
            self.dispatch(now, action);
        }
        self.actions.set(actions);
        self.handling.set(within);
    }

    /// Lets the story hear of something, where it is kept.
    pub(super) fn tell(&self, what: impl FnOnce(&mut Teller)) {
        if let Some(teller) = self.teller.borrow_mut().as_mut() {
            what(teller);
        }
    }

    /// Keeps the story of its servers by these settings from now on, or no more.
    pub(super) fn keep_story(&self, settings: Option<madderloom_endpoint_history::Settings>) {
        let now = self.common.clock.now();
        let Some(settings) = settings else {
            return drop(self.teller.take());
        };
        let mut teller = self.teller.borrow_mut();
        match teller.as_mut() {
            Some(teller) => teller.change(now, settings),
            None => {
                let listed: Vec<_> = self
                    .snapshot()
                    .servers
                    .iter()
                    .map(|server| server.entry)
                    .collect();
                let cold = self.tuned().site.settings.rules.slow_start_window;
                let new = teller.insert(Box::new(Teller::new(&self.name, settings, cold)));
                new.listed(self, now, &DiscoveryUpdate::FullList(&listed));
            }
        }
    }

    /// Once a second: what the story is to know, and whose regions have moved.
    pub(super) fn second(&self) {
        let logged = tracing::enabled!(tracing::Level::INFO);
        if !logged && self.teller.borrow().is_none() {
            return;
        }
        let snapshot = self.snapshot();
        let moved = if logged {
            self.moves.borrow_mut().look(&snapshot.servers)
        } else {
            None
        };
        if let Some(moved) = moved {
            let of = &self.label;
            tracing::info!(
                "{of}regions moved: {}",
                moved.told(|server| self.pool.name(server))
            );
        }
        // The local day is looked up where a story wants it alone.
        self.tell(|teller| {
            let (now, minute) = (self.common.clock.now(), self.common.minute_of_day());
            teller.second(self, now, minute, &snapshot);
        });
    }

    pub(super) fn attempt_begun(
        &self,
        now: Micros,
        server: ServerId,
        begun: (RequestId, u32),
        class: u32,
    ) {
        self.tell(|teller| teller.begun(self, now, server, begun, class));
    }

    pub(super) fn attempt_ended(&self, now: Micros, ended: &EndedAttempt) {
        self.tell(|teller| teller.ended(now, ended));
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
                self.instruct(request, Step::Refuse { retry_after });
            }
            Action::Fail { request } => {
                self.instruct(request, Step::Fail);
            }
            Action::SetTimer { at, timer } => self.set_timer(at, timer),
            Action::PollDiscovery => discovery_watch::subscribe(self),
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
                discovery_watch::log_next_call(self, self.common.clock.now(), at);
                self.common.alarms.set_for(self, at, timer);
            }
            Timer::Request(id) => {
                if let Some(steps) = self.transactions.borrow().get(&id) {
                    let alarms = &self.common.alarms;
                    steps.add_timer(alarms, alarms.set_for(self, at, timer));
                }
            }
        }
    }

    fn note(&self, now: Micros, note: LogEvent) {
        let of = &self.label;
        self.tell(|teller| teller.noted(self, now, note));
        match note {
            LogEvent::ClassOverloaded(class) => {
                let tuned = self.tuned();
                let class = tuned.at(class).map_or("?", |c| &c.name);
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
