//! The virtual driver: discrete events, with the decision module in the process.
//!
//! **One total order.** What is at one instant happens by rank: the end of a window; faults and what discovery comes
//! to know; servers' own clocks; what reaches a server or discovery; what reaches an instance; clients; turns of
//! instances. Within a rank it happens in the order in which it was brought about. Inside a turn an instance takes
//! what has come in the order in which it came, and each event's actions are carried out before the next event.
//!
//! **Connections.** An instance keeps connections to each server, one request at a time on each, takes the one used last
//! and opens one where none is idle: a way there and back, and the handshake's work at the server, before the request
//! leaves. An attempt that is given up closes its connection, and the server hears of it one way later.
//!
//! **Outcomes.** Each attempt has exactly one: that of the server's answer; `Timeout` at its time, or `ConnectFailed`
//! if it was still connecting; `Reset` where its connection broke after its last byte; `ConnectFailed` where it broke
//! before or never came up; `Cancelled` at once when called off; `Moot` where it was not sent.

mod queue;

use crate::experiment::{Arm, Experiment};
use crate::judge::Judge;
use crate::model::clients::{Ask, Clients, End, Next};
use crate::model::discovery::{Discovery, HOP, News};
use crate::model::faults::{self, Change};
use crate::model::network::{Network, Passage, Way};
use crate::model::server::{Answer, Job, Output, Repeats, Server, Spec};
use crate::policy::{Maker, Policy, ServerTruth, Start, Truth};
use crate::record::Run;
use crate::recorder::Recorder;
use crate::seeds::{Concern, derive, stream};
use crate::world::{self, GRACE, World};
use foldhash::fast::FixedState;
use madderloom_balancer::{
    Action, AttemptResult, DiscoveryUpdate, Event, LoadReport, Micros, NewRequest, Outcome,
    RequestId, ServerEntry, ServerId, ServerState, Timer,
};
use madderloom_config_reader::Span;
use queue::Queue;
use slotmap::{Key, KeyData, SlotMap, new_key_type};
use smallvec::SmallVec;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::ops::ControlFlow;
use std::rc::Rc;

/// Told once each window of virtual time how far a run has come; it may break it off.
pub type Watch<'a> = &'a dyn Fn(Span) -> ControlFlow<()>;

/// Plays an arm with a seed. A pure function: the same arguments give the same record, byte for byte.
///
/// A run that was broken off, or whose policy could not be made, is void and says so; what it has counted stands.
pub fn run(
    experiment: &Experiment,
    arm: &Arm,
    seed: u64,
    make: &dyn Maker,
    watch: Watch<'_>,
) -> Run {
    let mut driver = Driver::new(experiment, arm, seed, make);
    let void = driver.play(watch).err();
    driver.finish(void)
}

new_key_type! {
    struct AskKey;
    struct CallKey;
    struct AttemptKey;
}

/// What happens at a time.
#[derive(Clone, Copy, Debug)]
enum What {
    WindowEnds,
    Fault(u32),
    /// Discovery comes to know what waits in this place.
    Publish(u32),
    /// A server that drained may stop.
    StopDrained(u32),
    ServerWakes(u32),
    SynReaches(AttemptKey),
    RequestReaches(AttemptKey),
    CloseReaches(u32, AttemptKey),
    ProbeReaches(Instance, u32),
    CallReachesDiscovery(Instance),
    DiscoveryAnswers(Instance, News),
    Connects(AttemptKey, bool),
    ConnectTimesOut(AttemptKey),
    Answers(AttemptKey, Outcome),
    TimesOut(AttemptKey),
    ProbeAnswers(Instance, u32),
    NewsReaches(Instance, News, bool),
    Sweep(Instance),
    Timer(Instance, RequestId),
    Arrives,
    TriesAgain(AskKey),
    Leaves(AskKey),
    Overdue(CallKey),
    Turn(u32),
}

impl What {
    fn rank(&self) -> u8 {
        match self {
            What::WindowEnds => 0,
            What::Fault(_) | What::Publish(_) | What::StopDrained(_) => 1,
            What::ServerWakes(_) => 2,
            What::SynReaches(_)
            | What::RequestReaches(_)
            | What::CloseReaches(..)
            | What::ProbeReaches(..)
            | What::CallReachesDiscovery(_)
            | What::DiscoveryAnswers(..) => 3,
            What::Connects(..)
            | What::ConnectTimesOut(_)
            | What::Answers(..)
            | What::TimesOut(_)
            | What::ProbeAnswers(..)
            | What::NewsReaches(..)
            | What::Sweep(_)
            | What::Timer(..) => 4,
            What::Arrives | What::TriesAgain(_) | What::Leaves(_) | What::Overdue(_) => 5,
            What::Turn(_) => 6,
        }
    }
}

/// An instance in one of its lives: what was meant for an earlier one is void.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Instance {
    at: u32,
    life: u32,
}

/// Stands for [`Timer::Discovery`] among the numbers of requests.
const DISCOVERY: RequestId = RequestId::MAX;

struct Slot {
    model: Server,
    place: world::ServerPlace,
    /// When its next wake is scheduled.
    wakes: Micros,
    /// Raised whenever its connections end at once.
    epoch: u32,
    /// The last epoch that ended without a word.
    silent_epoch: Option<u32>,
    /// Work on its way to it.
    on_way: f64,
    /// The share of connections to it that break under a request.
    breaking: f64,
    /// Its latest news for discovery, counted: older news that comes late is dropped.
    news: u32,
    /// Started for the last time, where not before the day.
    started: Option<Micros>,
    /// Drains, to be stopped no sooner than this.
    stops: Option<Micros>,
    done_draining: bool,
    start_once_stopped: bool,
}

/// The servers, where policies that may see the truth can see it.
struct Servers {
    now: Cell<Micros>,
    slots: RefCell<Vec<Slot>>,
    places: HashMap<ServerId, u32, FixedState>,
}

impl Truth for Servers {
    fn server(&self, server: ServerId) -> Option<ServerTruth> {
        let slots = self.slots.borrow();
        let slot = &slots[*self.places.get(&server)? as usize];
        let truth = slot.model.truth(self.now.get());
        let failing = 1.0 - (1.0 - truth.failing) * (1.0 - slot.breaking);
        slot.model.is_up().then_some(ServerTruth {
            backlog: truth.backlog + slot.on_way,
            failing,
            ..truth
        })
    }
}

#[derive(Clone, Copy)]
struct Idle {
    since: Micros,
    epoch: u32,
}

/// What has come to an instance since its last turn.
enum In {
    /// With the end of its client's patience.
    Request(NewRequest, Micros),
    Closed(AttemptResult),
    Gone(RequestId),
    Probed(ServerId, Option<LoadReport>),
    Timer(Timer),
    /// Whether it answers a call.
    News(News, bool),
    Saved,
}

struct Host {
    up: bool,
    /// Not here while it has its turn.
    policy: Option<Box<dyn Policy>>,
    life: u32,
    zone: u32,
    inbox: Vec<In>,
    turn_scheduled: bool,
    next_turn: Micros,
    /// Idle connections to each server, the one used last at the end.
    idle: Vec<Vec<Idle>>,
    sweeps: bool,
}

struct AskState {
    ask: Ask,
    call: Option<CallKey>,
    tries: u32,
    first: Micros,
}

struct Call {
    ask: AskKey,
    /// What attempts need of it.
    due: Micros,
    class: u32,
    work: f64,
    key: Option<u64>,
    number: u64,
    instance: Instance,
    deadline: Micros,
    ended: bool,
    sent: u32,
    out: SmallVec<[(u32, AttemptKey); 2]>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    Connecting,
    OnItsWay,
    There,
}

struct Attempt {
    call: CallKey,
    number: u32,
    instance: Instance,
    server: u32,
    sent: Micros,
    stage: Stage,
    /// The epoch of its connection at the server.
    epoch: u32,
    /// Its connection counts there.
    connected: bool,
    breaks: bool,
    work: f64,
}

struct Driver<'a> {
    experiment: &'a Experiment,
    make: &'a dyn Maker,
    seed: u64,
    now: Micros,
    queue: Queue<What>,
    servers: Rc<Servers>,
    hosts: Vec<Host>,
    discovery: Discovery,
    network: Network,
    clients: Clients,
    faults: Vec<(Micros, Change)>,
    publications: Vec<(ServerEntry, u32, u32)>,
    probes: Vec<Option<(u32, Option<LoadReport>)>>,
    free_probes: Vec<u32>,
    asks: SlotMap<AskKey, AskState>,
    calls: SlotMap<CallKey, Call>,
    attempts: SlotMap<AttemptKey, Attempt>,
    next_ask: Option<Ask>,
    actions: Vec<Action>,
    outputs: Vec<Output>,
    judge: Judge,
    recorder: Recorder,
    problem: Option<String>,
    windows: Micros,
}

impl<'a> Driver<'a> {
    fn new(experiment: &'a Experiment, arm: &Arm, seed: u64, make: &'a dyn Maker) -> Self {
        let world = World::of(experiment, seed);
        let repeats = Repeats::shared();
        let shares: f64 = experiment.classes.iter().map(|c| c.share).sum();
        let works = experiment
            .classes
            .iter()
            .map(|c| c.share * c.work.micros() as f64);
        let mean_work = works.sum::<f64>() / if shares > 0.0 { shares } else { 1.0 };
        let slot = |(at, place): (u64, &world::ServerPlace)| {
            let kind = &experiment.servers[place.kind as usize];
            let spec = Spec::new(kind, place.speed, &experiment.instances.allow, mean_work);
            let random = stream(seed, Concern::Server, at);
            Slot {
                model: Server::new(spec, repeats.clone(), random),
                place: place.clone(),
                wakes: Micros::MAX,
                epoch: 0,
                silent_epoch: None,
                on_way: 0.0,
                breaking: 0.0,
                news: 0,
                started: None,
                stops: None,
                done_draining: false,
                start_once_stopped: false,
            }
        };
        let slots: Vec<Slot> = (0..).zip(&world.servers).map(slot).collect();
        let places = (0..)
            .zip(&slots)
            .map(|(at, slot)| (slot.place.id, at))
            .collect();
        let listed = slots
            .iter()
            .map(|s| listed(s, ServerState::Ready))
            .collect();
        let host = |zone: &u32| Host {
            up: false,
            policy: None,
            life: 0,
            zone: *zone,
            inbox: Vec::new(),
            turn_scheduled: false,
            next_turn: 0,
            idle: vec![Vec::new(); slots.len()],
            sweeps: false,
        };
        let recorder = Recorder::new(experiment, &world, arm, seed, "virtual");
        Driver {
            experiment,
            make,
            seed,
            now: 0,
            queue: Queue::new(),
            hosts: world.instances.iter().map(host).collect(),
            discovery: Discovery::new(&experiment.discovery, listed, world.instances.len()),
            network: Network::new(&experiment.network, stream(seed, Concern::Network, 0)),
            clients: Clients::new(experiment, seed),
            faults: faults::time_line(experiment, &world, seed),
            publications: Vec::new(),
            probes: Vec::new(),
            free_probes: Vec::new(),
            asks: SlotMap::with_key(),
            calls: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            next_ask: None,
            actions: Vec::new(),
            outputs: Vec::new(),
            judge: Judge::new(experiment, &world),
            windows: recorder.window_length(),
            recorder,
            problem: None,
            servers: Rc::new(Servers {
                now: Cell::new(0),
                slots: RefCell::new(slots),
                places,
            }),
        }
    }

    fn play(&mut self, watch: Watch<'_>) -> Result<(), String> {
        let duration = self.experiment.duration.micros();
        for at in 0..self.hosts.len() as u32 {
            self.revive(at);
        }
        for at in 0..self.faults.len() as u32 {
            let when = self.faults[at as usize].0;
            if when < duration {
                self.push(when, What::Fault(at));
            }
        }
        self.push(self.windows, What::WindowEnds);
        for ask in self.clients.begin() {
            self.take_ask(ask);
        }
        self.draw_arrival();
        while let Some((now, what)) = self.queue.pop() {
            self.now = now;
            self.servers.now.set(now);
            match what {
                What::WindowEnds => {
                    let slots = self.servers.slots.borrow();
                    self.recorder
                        .end_window(slots.iter().map(|s| s.model.done(now)));
                    drop(slots);
                    if watch(Span(now)).is_break() {
                        return Err(format!("broken off at {}", Span(now)));
                    }
                    // A closed loop and stragglers go on past the day; their windows are not counted.
                    self.push(now + self.windows, What::WindowEnds);
                }
                what => self.happen(what),
            }
            if let Some(problem) = self.problem.take() {
                return Err(problem);
            }
            let over = self.next_ask.is_none() && self.asks.is_empty() && self.attempts.is_empty();
            if over && now >= duration {
                return Ok(());
            }
        }
        Ok(())
    }

    fn finish(self, void: Option<String>) -> Run {
        let mut judge = self.judge;
        if void.is_some() {
            // Broken off: what is open then is nobody's fault.
            self.calls
                .iter()
                .for_each(|(key, _)| judge.void(self.now, id_of(key)));
        }
        let slots = self.servers.slots.borrow();
        let done = slots.iter().map(|s| s.model.done(self.now));
        self.recorder.finish(done, judge.finish(), void)
    }

    fn push(&mut self, at: Micros, what: What) {
        self.queue.push(at, what.rank(), what);
    }

    fn happen(&mut self, what: What) {
        match what {
            What::WindowEnds => {}
            What::Fault(at) => self.change(self.faults[at as usize].1),
            What::Publish(at) => self.publish(at),
            What::StopDrained(server) => self.stop_drained(server),
            What::ServerWakes(server) => {
                let due = {
                    let slot = &mut self.servers.slots.borrow_mut()[server as usize];
                    let due = slot.wakes == self.now;
                    if due {
                        slot.wakes = Micros::MAX;
                    }
                    due
                };
                if due {
                    self.with_server(server, |model, now, out| model.wake(now, out));
                }
            }
            What::SynReaches(attempt) => {
                if let Some(server) = self.attempts.get(attempt).map(|a| a.server) {
                    self.with_server(server, |model, now, out| {
                        model.connect(now, tag_of(attempt), out)
                    });
                }
            }
            What::RequestReaches(attempt) => self.request_reaches(attempt),
            What::CloseReaches(server, attempt) => {
                self.with_server(server, |model, now, out| {
                    model.abandon(now, tag_of(attempt), out)
                });
            }
            What::ProbeReaches(instance, server) => self.probe_reaches(instance, server),
            What::CallReachesDiscovery(instance) => {
                let reply = self.discovery.call(self.now, instance.at);
                self.push(reply.at, What::DiscoveryAnswers(instance, reply.news));
            }
            What::DiscoveryAnswers(instance, news) => {
                let lives = self.lives(instance);
                let fails =
                    news == News::Failed || !lives || !self.discovery.begin_watch(instance.at);
                let news = if fails { News::Failed } else { news };
                self.push(self.now + HOP, What::NewsReaches(instance, news, true));
            }
            What::Connects(attempt, stands) => self.connects(attempt, stands),
            What::ConnectTimesOut(attempt) => {
                if self
                    .attempts
                    .get(attempt)
                    .is_some_and(|a| a.stage == Stage::Connecting)
                {
                    self.close(attempt, Outcome::ConnectFailed);
                }
            }
            What::Answers(attempt, outcome) => self.close(attempt, outcome),
            What::TimesOut(attempt) => {
                if let Some(stage) = self.attempts.get(attempt).map(|a| a.stage) {
                    let connecting = stage == Stage::Connecting;
                    self.close(
                        attempt,
                        if connecting {
                            Outcome::ConnectFailed
                        } else {
                            Outcome::Timeout
                        },
                    );
                }
            }
            What::ProbeAnswers(instance, place) => {
                let answer = self.probes[place as usize].take();
                self.free_probes.push(place);
                if let Some((server, report)) = answer {
                    let id = self.servers.slots.borrow()[server as usize].place.id;
                    self.tell(instance, In::Probed(id, report));
                }
            }
            What::NewsReaches(instance, news, answers) => {
                self.tell(instance, In::News(news, answers))
            }
            What::Sweep(instance) => self.sweep(instance),
            What::Timer(instance, id) => {
                let timer = if id == DISCOVERY {
                    Timer::Discovery
                } else {
                    Timer::Request(id)
                };
                self.tell(instance, In::Timer(timer));
            }
            What::Arrives => {
                if let Some(ask) = self.next_ask.take() {
                    self.take_ask(ask);
                    self.draw_arrival();
                }
            }
            What::TriesAgain(ask) => self.try_ask(ask),
            What::Leaves(ask) => self.client_leaves(ask),
            What::Overdue(call) => {
                if self.calls.get(call).is_some_and(|c| !c.ended) {
                    self.judge.overdue(self.now, id_of(call));
                    self.end_call(call, End::TimedOut);
                }
            }
            What::Turn(at) => self.turn(at),
        }
    }

    // ---- Clients ----

    fn draw_arrival(&mut self) {
        self.next_ask = self.clients.arrive();
        if let Some(ask) = &self.next_ask {
            let due = ask.due;
            self.push(due, What::Arrives);
        }
    }

    fn take_ask(&mut self, ask: Ask) {
        let first = self.now;
        let key = self.asks.insert(AskState {
            ask,
            call: None,
            tries: 0,
            first,
        });
        if ask.due > self.now {
            return self.push(ask.due, What::TriesAgain(key));
        }
        self.try_ask(key);
    }

    fn try_ask(&mut self, key: AskKey) {
        let Some(state) = self.asks.get_mut(key) else {
            return;
        };
        state.tries += 1;
        let (ask, tries) = (state.ask, state.tries);
        if tries == 1 {
            state.first = self.now;
            self.recorder.asked(&ask);
            if let Some(leaves) = ask.leaves {
                self.push(leaves, What::Leaves(key));
            }
        }
        self.recorder.tried(&ask);
        // Clients of an instance that is down are sent to the next one.
        let count = self.hosts.len() as u32;
        let places = (0..count).map(|step| (ask.instance + step) % count);
        let Some(at) = places.into_iter().find(|at| self.hosts[*at as usize].up) else {
            return self.after_try(key, End::Unreachable);
        };
        let instance = Instance {
            at,
            life: self.hosts[at as usize].life,
        };
        let deadline = self.now + self.clients.time_left(&ask, self.now);
        let call = self.calls.insert(Call {
            ask: key,
            due: ask.due,
            class: ask.class,
            work: ask.work,
            key: ask.key,
            number: ask.number,
            instance,
            deadline,
            ended: false,
            sent: 0,
            out: SmallVec::new(),
        });
        self.asks[key].call = Some(call);
        let id = id_of(call);
        self.judge
            .asked(self.now, id, ask.number, at, ask.class, deadline);
        self.push(deadline + GRACE + 1, What::Overdue(call));
        let new = NewRequest {
            id,
            class: ask.class,
            tenant: 0,
            key: ask.key,
            time_left: 0,
            cost_hint: ask.hint,
            client_retry: tries > 1 && self.clients.marks_retry(),
        };
        self.tell(instance, In::Request(new, deadline));
    }

    fn client_leaves(&mut self, key: AskKey) {
        let Some(state) = self.asks.get(key) else {
            return;
        };
        match state.call {
            Some(call) if self.calls.get(call).is_some_and(|c| !c.ended) => {
                self.end_call(call, End::Left)
            }
            _ => self.after_try(key, End::Left),
        }
    }

    /// A request is over as its client sees it. Its attempts may go on.
    fn end_call(&mut self, key: CallKey, how: End) {
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        call.ended = true;
        let (ask, instance, idle) = (call.ask, call.instance, call.out.is_empty());
        let id = id_of(key);
        match how {
            End::Served => self.judge.served(self.now, id),
            End::Refused(_) => self.judge.refused(self.now, id),
            End::Failed => self.judge.failed(self.now, id),
            End::Left => self.judge.left(self.now, id),
            End::TimedOut => {}
            End::Unreachable => self.judge.void(self.now, id),
        }
        if matches!(how, End::Left | End::TimedOut) {
            self.tell(instance, In::Gone(id));
        }
        if idle {
            self.calls.remove(key);
        }
        self.after_try(ask, how);
    }

    fn after_try(&mut self, key: AskKey, how: End) {
        let Some(state) = self.asks.get_mut(key) else {
            return;
        };
        state.call = None;
        match self
            .clients
            .after(&state.ask, self.now, how, state.tries, state.first)
        {
            Next::TryAgain(at) => self.push(at, What::TriesAgain(key)),
            Next::Done => {
                let ask = state.ask;
                self.asks.remove(key);
                self.recorder.ended(self.now, &ask, how);
                if let Some(ask) = self.clients.follow(self.now, how == End::Served) {
                    self.take_ask(ask);
                }
            }
        }
    }

    // ---- Instances ----

    fn lives(&self, instance: Instance) -> bool {
        let host = &self.hosts[instance.at as usize];
        host.up && host.life == instance.life
    }

    /// Puts something into an instance's inbox for its next turn.
    fn tell(&mut self, instance: Instance, what: In) {
        if !self.lives(instance) {
            return;
        }
        let host = &mut self.hosts[instance.at as usize];
        host.inbox.push(what);
        if !std::mem::replace(&mut host.turn_scheduled, true) {
            let at = host.next_turn.max(self.now);
            self.push(at, What::Turn(instance.at));
        }
    }

    fn turn(&mut self, at: u32) {
        let host = &mut self.hosts[at as usize];
        host.turn_scheduled = false;
        let Some(mut policy) = host.policy.take() else {
            return;
        };
        host.next_turn = self.now + self.experiment.instances.tick.micros().max(1);
        let mut inbox = std::mem::take(&mut host.inbox);
        let instance = Instance {
            at,
            life: host.life,
        };
        let mut actions = std::mem::take(&mut self.actions);
        for what in inbox.drain(..) {
            actions.clear();
            self.hand_over(instance, what, policy.as_mut(), &mut actions);
            for action in actions.drain(..) {
                self.perform(instance, action);
            }
        }
        self.actions = actions;
        let host = &mut self.hosts[at as usize];
        host.policy = Some(policy);
        // What came of the actions themselves waits for the next turn; the buffer is kept where nothing did.
        if host.inbox.is_empty() {
            host.inbox = inbox;
        }
    }

    fn hand_over(
        &mut self,
        instance: Instance,
        what: In,
        policy: &mut dyn Policy,
        actions: &mut Vec<Action>,
    ) {
        let now = self.now;
        match what {
            In::Request(mut new, deadline) => {
                new.time_left = deadline.saturating_sub(now);
                policy.handle(now, Event::RequestReceived(new), actions);
            }
            In::Closed(closed) => {
                if closed.request_ended {
                    self.judge.told_over(now, closed.request);
                }
                policy.handle(now, Event::AttemptEnded(closed), actions);
            }
            In::Gone(id) => {
                self.judge.told_over(now, id);
                policy.handle(now, Event::ClientDisconnected(id), actions);
            }
            In::Probed(server, report) => {
                policy.handle(now, Event::ProbeCompleted(server, report), actions)
            }
            In::Timer(timer) => policy.handle(now, Event::TimerFired(timer), actions),
            In::Saved => {
                let list = self.discovery.saved(instance.at);
                self.judge.told(now, instance.at, &list, true);
                policy.handle(
                    now,
                    Event::DiscoveryUpdated(DiscoveryUpdate::FullList(&list)),
                    actions,
                );
            }
            In::News(News::Failed, _) => {
                self.judge.contact(now, instance.at, false, true);
                policy.handle(
                    now,
                    Event::DiscoveryUpdated(DiscoveryUpdate::CallFailed {
                        list_known_at: now,
                        waited: Micros::MAX,
                        connection_broken: true,
                    }),
                    actions,
                );
            }
            In::News(news, answers) => {
                let list = self.discovery.news(instance.at, news);
                if list.is_empty() && !answers {
                    return;
                }
                let whole = matches!(list, std::borrow::Cow::Owned(_));
                self.judge.told(now, instance.at, &list, whole);
                if answers {
                    self.judge.contact(now, instance.at, true, false);
                }
                let members = if whole {
                    DiscoveryUpdate::FullList(&list)
                } else {
                    DiscoveryUpdate::ListChanges(&list)
                };
                policy.handle(now, Event::DiscoveryUpdated(members), actions);
            }
        }
    }

    fn perform(&mut self, instance: Instance, action: Action) {
        match action {
            Action::Send {
                request,
                server,
                timeout_at,
                ..
            } => self.send(instance, request, server, timeout_at),
            Action::Probe(server) => self.probe(instance, server),
            Action::Cancel { request, attempt } => self.cancel(instance, request, attempt),
            Action::Reject {
                request,
                retry_after,
            } => {
                let most = self.experiment.instances.allow.retry_after.micros();
                let told = retry_after
                    .map(|wait| wait.min(most))
                    .filter(|wait| *wait > 0);
                self.end_by_policy(instance, request, End::Refused(told));
            }
            Action::Fail { request } => self.end_by_policy(instance, request, End::Failed),
            Action::SetTimer { at, timer } => {
                let id = match timer {
                    Timer::Discovery => DISCOVERY,
                    Timer::Request(id) => id,
                };
                // Never in the turn that sets it.
                self.push(at.max(self.now + 1), What::Timer(instance, id));
            }
            Action::PollDiscovery => {
                let watches = self.discovery.watches(instance.at);
                self.judge.contact(self.now, instance.at, watches, false);
                self.push(self.now + HOP, What::CallReachesDiscovery(instance));
            }
            // No response begins before it is complete.
            Action::AwaitResponse { .. } | Action::Log(_) => {}
        }
    }

    fn call_of(&self, instance: Instance, request: RequestId) -> Option<CallKey> {
        let key = CallKey::from(KeyData::from_ffi(request));
        self.calls
            .get(key)
            .filter(|call| call.instance == instance)
            .map(|_| key)
    }

    fn end_by_policy(&mut self, instance: Instance, request: RequestId, how: End) {
        if let Some(key) = self
            .call_of(instance, request)
            .filter(|key| !self.calls[*key].ended)
        {
            self.end_call(key, how);
        }
    }

    fn send(&mut self, instance: Instance, request: RequestId, id: ServerId, timeout_at: Micros) {
        let now = self.now;
        let server = self.servers.places.get(&id).copied();
        let known = self
            .judge
            .sent(now, instance.at, request, server, timeout_at);
        let max_attempts = self.experiment.instances.allow.max_attempts.max(1);
        let call = self.call_of(instance, request);
        let number = call.map_or(known, |key| {
            let call = &mut self.calls[key];
            call.sent += 1;
            call.sent - 1
        });
        let open = call.map(|key| (key, &self.calls[key]));
        let open = open.filter(|(_, call)| {
            !call.ended && number < max_attempts && timeout_at > now && call.deadline > now
        });
        let (Some((key, call)), Some(server)) = (open, server) else {
            // Not sent: the request is over or out of time or attempts, or no such server was ever listed.
            self.judge.closed(now, request, number, Outcome::Moot);
            if let Some(call) = call.map(|key| &self.calls[key]) {
                self.recorder.sent(now, call.due, call.class, false);
                self.recorder.closed(call.due, call.class, Outcome::Moot);
            }
            let ended = call.is_none_or(|key| self.calls[key].ended);
            let closed = AttemptResult {
                request,
                attempt: number,
                server: id,
                outcome: Outcome::Moot,
                elapsed: 0,
                request_ended: ended,
            };
            return self.tell(instance, In::Closed(closed));
        };
        let zone = self.hosts[instance.at as usize].zone;
        let times_out = timeout_at.min(call.deadline);
        let work = call.work;
        let (due, class) = (call.due, call.class);
        let there = self.servers.slots.borrow()[server as usize].place.zone;
        self.recorder.sent(now, due, class, there != zone);
        let idle = self.take_idle(instance, server);
        self.servers.slots.borrow_mut()[server as usize].on_way += work;
        let attempt = self.attempts.insert(Attempt {
            call: key,
            number,
            instance,
            server,
            sent: now,
            stage: Stage::Connecting,
            epoch: idle.map_or(0, |idle| idle.epoch),
            connected: idle.is_some(),
            breaks: false,
            work,
        });
        self.calls[key].out.push((number, attempt));
        self.push(times_out, What::TimesOut(attempt));
        if idle.is_some() {
            return self.write_request(attempt);
        }
        let late = now + self.experiment.network.connect_timeout.micros();
        if late < times_out {
            self.push(late, What::ConnectTimesOut(attempt));
        }
        if let Some(way) = self.network.latency(zone, there, Way::There) {
            self.push(now + way, What::SynReaches(attempt));
        }
    }

    /// A connection that is idle and, as far as can be seen from here, stands.
    fn take_idle(&mut self, instance: Instance, server: u32) -> Option<Idle> {
        let patience = self.experiment.network.idle.micros();
        let slots = &mut self.servers.slots.borrow_mut();
        let slot = &mut slots[server as usize];
        let idle = &mut self.hosts[instance.at as usize].idle[server as usize];
        while let Some(last) = idle.pop() {
            let past = self.now >= last.since + patience;
            if last.epoch == slot.epoch {
                if !past {
                    return Some(last);
                }
                slot.model.disconnect();
            } else if !past && slot.silent_epoch == Some(last.epoch) {
                return Some(last);
            }
        }
        None
    }

    fn sweep(&mut self, instance: Instance) {
        if !self.lives(instance) {
            return;
        }
        let patience = self.experiment.network.idle.micros();
        let now = self.now;
        let mut any = false;
        let mut slots = self.servers.slots.borrow_mut();
        let host = &mut self.hosts[instance.at as usize];
        for (idle, slot) in host.idle.iter_mut().zip(slots.iter_mut()) {
            if idle.is_empty() {
                continue;
            }
            // They lie in the order of their last use.
            let past = idle.partition_point(|i| now >= i.since + patience);
            idle.drain(..past)
                .filter(|i| i.epoch == slot.epoch)
                .for_each(|_| slot.model.disconnect());
            any |= !idle.is_empty();
        }
        drop(slots);
        host.sweeps = any;
        if any {
            self.push(now + (patience / 4).max(1_000), What::Sweep(instance));
        }
    }

    fn cancel(&mut self, instance: Instance, request: RequestId, number: u32) {
        if !self.experiment.instances.allow.cancel {
            return;
        }
        self.judge.cancelled(self.now, request, number);
        let Some(key) = self.call_of(instance, request) else {
            return;
        };
        let attempt = self.calls[key]
            .out
            .iter()
            .find(|(n, _)| *n == number)
            .map(|(_, attempt)| *attempt);
        if let Some(attempt) = attempt {
            self.close(attempt, Outcome::Cancelled);
        }
    }

    fn kill(&mut self, at: u32) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(at as usize).filter(|h| h.up) else {
            return;
        };
        let dead = Instance {
            at,
            life: host.life,
        };
        (host.up, host.policy) = (false, None);
        host.life += 1;
        host.inbox.clear();
        host.sweeps = false;
        let mut slots = self.servers.slots.borrow_mut();
        for (idle, slot) in host.idle.iter_mut().zip(slots.iter_mut()) {
            idle.drain(..)
                .filter(|i| i.epoch == slot.epoch)
                .for_each(|_| slot.model.disconnect());
        }
        drop(slots);
        self.discovery.leave(at);
        self.judge.killed(now, at);
        let attempts: Vec<AttemptKey> = self
            .attempts
            .iter()
            .filter(|(_, a)| a.instance == dead)
            .map(|(key, _)| key)
            .collect();
        for key in attempts {
            self.drop_attempt(key);
        }
        let calls: Vec<CallKey> = self
            .calls
            .iter()
            .filter(|(_, c)| c.instance == dead)
            .map(|(key, _)| key)
            .collect();
        for key in calls {
            self.calls[key].out.clear();
            if self.calls[key].ended {
                self.judge.void(now, id_of(key));
                self.calls.remove(key);
            } else {
                self.end_call(key, End::Unreachable);
            }
        }
    }

    fn revive(&mut self, at: u32) {
        let host = &mut self.hosts[at as usize];
        if host.up {
            return;
        }
        let settings = world::settings(self.experiment, host.zone);
        let index = u64::from(at) << 32 | u64::from(host.life);
        let truth: Rc<dyn Truth> = self.servers.clone();
        let seed = derive(self.seed, Concern::Instance, index);
        let start = Start {
            settings,
            seed,
            instance: at,
            truth: Some(truth),
        };
        match self.make.make(start) {
            Ok(policy) => {
                (host.up, host.policy) = (true, Some(policy));
                host.turn_scheduled = false;
                let instance = Instance {
                    at,
                    life: host.life,
                };
                self.tell(instance, In::Saved);
            }
            Err(problem) => self.problem = Some(problem),
        }
    }

    // ---- Attempts ----

    fn zones(&self, attempt: &Attempt) -> (u32, u32) {
        let there = self.servers.slots.borrow()[attempt.server as usize]
            .place
            .zone;
        (self.hosts[attempt.instance.at as usize].zone, there)
    }

    fn connects(&mut self, key: AttemptKey, stands: bool) {
        let Some(attempt) = self.attempts.get(key) else {
            return;
        };
        if !stands {
            return self.close(key, Outcome::ConnectFailed);
        }
        // It may have died while the news was on its way: then the request meets that.
        if attempt.stage == Stage::Connecting {
            self.write_request(key);
        }
    }

    fn write_request(&mut self, key: AttemptKey) {
        let (here, there) = self.zones(&self.attempts[key]);
        let attempt = &mut self.attempts[key];
        attempt.stage = Stage::OnItsWay;
        match self.network.passage(attempt.server) {
            Passage::BreaksBefore => {
                // Before its last byte: nothing can have run.
                attempt.stage = Stage::Connecting;
                return self.push(self.now + 1, What::Connects(key, false));
            }
            passage => attempt.breaks = passage == Passage::BreaksAfter,
        }
        if let Some(way) = self.network.latency(here, there, Way::There) {
            self.push(self.now + way, What::RequestReaches(key));
        }
    }

    fn request_reaches(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get_mut(key) else {
            return;
        };
        attempt.stage = Stage::There;
        let (server, instance, epoch) = (attempt.server, attempt.instance, attempt.epoch);
        let (work, breaks) = (attempt.work, attempt.breaks);
        let call = &self.calls[attempt.call];
        let class = &self.experiment.classes[call.class as usize];
        let once = (class.effect == crate::experiment::Effect::Keyed)
            .then(|| (call.number, class.window.micros()));
        let zone = self.hosts[instance.at as usize].zone;
        let job = Job {
            tag: tag_of(key),
            class: call.class,
            zone,
            work: call.work,
            key: call.key,
            once,
        };
        let (stands, silent, cold) = {
            let slot = &mut self.servers.slots.borrow_mut()[server as usize];
            slot.on_way = (slot.on_way - work).max(0.0);
            (
                slot.epoch == epoch,
                slot.model.is_silent(),
                slot.model.cold_since().is_some(),
            )
        };
        if !stands {
            // The connection is not known there any more: reset, if anybody is there to say so.
            if !silent {
                self.send_back(key, Outcome::Reset);
            }
            return;
        }
        if cold {
            self.judge.reached_cold(self.now, server, instance.at, work);
        }
        self.with_server(server, |model, now, out| model.request(now, job, out));
        if breaks {
            self.send_back(key, Outcome::Reset);
        }
    }

    /// An outcome sets out for the instance; a cut swallows it.
    fn send_back(&mut self, key: AttemptKey, outcome: Outcome) {
        let Some(attempt) = self.attempts.get(key) else {
            return;
        };
        let (here, there) = self.zones(attempt);
        if let Some(way) = self.network.latency(here, there, Way::Back) {
            self.push(self.now + way, What::Answers(key, outcome));
        }
    }

    /// An attempt is over at the instance: its one outcome.
    fn close(&mut self, key: AttemptKey, outcome: Outcome) {
        let Some(attempt) = self.attempts.get(key) else {
            return;
        };
        let (call, number, instance, server) = (
            attempt.call,
            attempt.number,
            attempt.instance,
            attempt.server,
        );
        let (elapsed, epoch) = (self.now - attempt.sent, attempt.epoch);
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Full) {
            self.attempts.remove(key);
            let now = self.now;
            let host = &mut self.hosts[instance.at as usize];
            host.idle[server as usize].push(Idle { since: now, epoch });
            if !std::mem::replace(&mut host.sweeps, true) {
                let patience = self.experiment.network.idle.micros();
                self.push(now + (patience / 4).max(1_000), What::Sweep(instance));
            }
        } else {
            self.drop_attempt(key);
        }
        let Some(state) = self.calls.get_mut(call) else {
            return;
        };
        state.out.retain(|(n, _)| *n != number);
        let (due, class, ended_before) = (state.due, state.class, state.ended);
        let id = id_of(call);
        self.recorder.closed(due, class, outcome);
        // The answer goes on to the client by itself, before the attempt's book is closed.
        let serves = outcome == Outcome::Ok && !ended_before;
        if serves {
            state.ended = true;
            let ask = state.ask;
            self.judge.served(self.now, id);
            self.after_try(ask, End::Served);
        }
        self.judge.closed(self.now, id, number, outcome);
        let ended = ended_before || serves;
        if ended && self.calls.get(call).is_some_and(|c| c.out.is_empty()) {
            self.calls.remove(call);
        }
        let server = self.servers.slots.borrow()[server as usize].place.id;
        let closed = AttemptResult {
            request: id,
            attempt: number,
            server,
            outcome,
            elapsed,
            request_ended: ended,
        };
        self.tell(instance, In::Closed(closed));
    }

    /// An attempt's connection is closed with it, and the server hears of that one way later.
    fn drop_attempt(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.remove(key) else {
            return;
        };
        let (here, there) = self.zones(&attempt);
        let stands = {
            let slot = &mut self.servers.slots.borrow_mut()[attempt.server as usize];
            if attempt.stage != Stage::There {
                slot.on_way = (slot.on_way - attempt.work).max(0.0);
            }
            let stands = attempt.connected && attempt.epoch == slot.epoch;
            if stands {
                slot.model.disconnect();
            }
            stands
        };
        if stands
            && attempt.stage == Stage::There
            && let Some(way) = self.network.latency(here, there, Way::There)
        {
            self.push(self.now + way, What::CloseReaches(attempt.server, key));
        }
    }

    // ---- Probes ----

    fn probe(&mut self, instance: Instance, id: ServerId) {
        let allow = self.experiment.instances.allow.probes;
        let Some(server) = self.servers.places.get(&id).copied().filter(|_| allow) else {
            return self.tell(instance, In::Probed(id, None));
        };
        self.recorder.probed(self.now);
        let there = self.servers.slots.borrow()[server as usize].place.zone;
        let here = self.hosts[instance.at as usize].zone;
        match self.network.latency(here, there, Way::There) {
            Some(way) => self.push(self.now + way, What::ProbeReaches(instance, server)),
            None => self.probe_fails(instance, server),
        }
    }

    fn probe_reaches(&mut self, instance: Instance, server: u32) {
        let mut report = None;
        self.with_server(server, |model, now, out| report = model.probe(now, out));
        let there = self.servers.slots.borrow()[server as usize].place.zone;
        let here = self.hosts[instance.at as usize].zone;
        match (report, self.network.latency(here, there, Way::Back)) {
            (Some(report), Some(way)) => {
                self.answer_probe(self.now + way, instance, server, Some(report))
            }
            _ => self.probe_fails(instance, server),
        }
    }

    fn probe_fails(&mut self, instance: Instance, server: u32) {
        let late = self.now + self.experiment.network.connect_timeout.micros();
        self.answer_probe(late, instance, server, None);
    }

    fn answer_probe(
        &mut self,
        at: Micros,
        instance: Instance,
        server: u32,
        report: Option<LoadReport>,
    ) {
        let place = self.free_probes.pop().unwrap_or_else(|| {
            self.probes.push(None);
            self.probes.len() as u32 - 1
        });
        self.probes[place as usize] = Some((server, report));
        self.push(at, What::ProbeAnswers(instance, place));
    }

    // ---- Servers ----

    /// Does something with a server, then what it says, and sees to its next wake.
    fn with_server(
        &mut self,
        server: u32,
        act: impl FnOnce(&mut Server, Micros, &mut Vec<Output>),
    ) {
        let mut out = std::mem::take(&mut self.outputs);
        let wakes = {
            let slot = &mut self.servers.slots.borrow_mut()[server as usize];
            act(&mut slot.model, self.now, &mut out);
            let next = slot.model.wake_at().unwrap_or(Micros::MAX);
            if next < slot.wakes {
                slot.wakes = next;
                Some(next)
            } else {
                None
            }
        };
        if let Some(at) = wakes {
            self.push(at, What::ServerWakes(server));
        }
        for output in out.drain(..) {
            self.heed(server, output);
        }
        self.outputs = out;
    }

    fn heed(&mut self, server: u32, output: Output) {
        match output {
            Output::Connected(tag) => {
                let key = AttemptKey::from(KeyData::from_ffi(tag));
                let slots = &mut self.servers.slots.borrow_mut();
                let slot = &mut slots[server as usize];
                let Some(attempt) = self.attempts.get_mut(key) else {
                    // Its instance has given up meanwhile.
                    return slot.model.disconnect();
                };
                (attempt.epoch, attempt.connected) = (slot.epoch, true);
                let (here, there) = (
                    self.hosts[attempt.instance.at as usize].zone,
                    slot.place.zone,
                );
                if let Some(way) = self.network.latency(here, there, Way::Back) {
                    self.queue
                        .push(self.now + way, 4, What::Connects(key, true));
                }
            }
            Output::Refused(tag) => {
                let key = AttemptKey::from(KeyData::from_ffi(tag));
                let Some(attempt) = self.attempts.get(key) else {
                    return;
                };
                let (here, there) = self.zones(attempt);
                if let Some(way) = self.network.latency(here, there, Way::Back) {
                    self.push(self.now + way, What::Connects(key, false));
                }
            }
            Output::Answered(tag, answer) => {
                let outcome = match answer {
                    Answer::Ok => Outcome::Ok,
                    Answer::Error => Outcome::Error,
                    // What can't be read is no answer: the connection is of no more use.
                    Answer::Spoilt => Outcome::Reset,
                };
                self.answered(tag, outcome);
            }
            Output::TurnedAway(tag) => self.answered(tag, Outcome::Full),
            Output::Broken(tag) => self.answered(tag, Outcome::Reset),
            Output::Ran { tag, repeated } => {
                let key = AttemptKey::from(KeyData::from_ffi(tag));
                if let Some(attempt) = self.attempts.get(key) {
                    self.judge
                        .ran(self.now, id_of(attempt.call), attempt.number, repeated);
                }
            }
            Output::Fell => {
                let started = self.servers.slots.borrow()[server as usize]
                    .started
                    .unwrap_or(0);
                self.judge.fell(self.now, server, started);
                self.went_down(server, false);
            }
            Output::Drained => {
                self.servers.slots.borrow_mut()[server as usize].done_draining = true;
                self.stop_drained(server);
            }
        }
    }

    fn answered(&mut self, tag: u64, outcome: Outcome) {
        let key = AttemptKey::from(KeyData::from_ffi(tag));
        // One whose connection was to break has its outcome on the way.
        if self.attempts.get(key).is_some_and(|a| !a.breaks) {
            self.send_back(key, outcome);
        }
    }

    fn change(&mut self, change: Change) {
        let now = self.now;
        match change {
            Change::Begin {
                server,
                number,
                trouble,
                scope,
            } => {
                self.with_server(server, |model, now, out| {
                    model.begin(now, number, trouble, scope, out)
                });
            }
            Change::End { server, number } => {
                self.with_server(server, |model, now, out| model.end(now, number, out));
            }
            Change::Stop { server, silent } => self.stop(server, silent),
            Change::Start { server } => self.start(server),
            Change::Drain { server, then_stop } => {
                if then_stop {
                    let grace = self.experiment.instances.allow.drain_grace.micros();
                    let slot = &mut self.servers.slots.borrow_mut()[server as usize];
                    (slot.stops, slot.done_draining) = (Some(now + grace), false);
                }
                self.announce(server, ServerState::Draining, false);
                self.with_server(server, |model, now, out| model.drain(now, out));
            }
            Change::Undrain { server } => {
                self.with_server(server, |model, now, out| model.undrain(now, out));
                if self.servers.slots.borrow()[server as usize].model.is_up() {
                    self.announce(server, ServerState::Ready, false);
                }
            }
            Change::Cut {
                number,
                zone,
                answers_alone,
            } => self.network.cut(number, zone, answers_alone),
            Change::Resets {
                number,
                server,
                share,
            } => {
                self.network.reset(number, server, share);
                self.note_breaking();
            }
            Change::Mend { number } => {
                self.network.mend(number);
                self.note_breaking();
            }
            Change::Discovery { up: false } => {
                let ended = self.discovery.go_down();
                self.tell_of_discovery(ended, News::Failed);
            }
            Change::Discovery { up: true } => {
                let missed = self.discovery.come_up();
                self.tell_of_discovery(missed, News::Changes);
            }
            Change::DiscoveryMoves => {
                let ended = self.discovery.move_on();
                self.tell_of_discovery(ended, News::Failed);
            }
            Change::Kill { instance } => self.kill(instance),
            Change::Revive { instance } => self.revive(instance),
        }
    }

    fn note_breaking(&mut self) {
        for (at, slot) in (0..).zip(self.servers.slots.borrow_mut().iter_mut()) {
            slot.breaking = self.network.breaking(at);
        }
    }

    fn tell_of_discovery(&mut self, whom: Vec<u32>, news: News) {
        for at in whom {
            let instance = Instance {
                at,
                life: self.hosts[at as usize].life,
            };
            self.push(self.now + HOP, What::NewsReaches(instance, news, false));
        }
    }

    fn stop(&mut self, server: u32, silent: bool) {
        if self.servers.slots.borrow()[server as usize].model.is_up() {
            self.with_server(server, |model, now, out| model.stop(now, silent, out));
            self.went_down(server, silent);
        }
    }

    fn went_down(&mut self, server: u32, silent: bool) {
        {
            let slot = &mut self.servers.slots.borrow_mut()[server as usize];
            if silent {
                slot.silent_epoch = Some(slot.epoch);
            }
            slot.epoch += 1;
            slot.started = None;
            (slot.stops, slot.done_draining) = (None, false);
        }
        self.announce(server, ServerState::Gone, silent);
        if std::mem::take(&mut self.servers.slots.borrow_mut()[server as usize].start_once_stopped)
        {
            self.start(server);
        }
    }

    /// What drained is stopped once it is done and its grace has passed.
    fn stop_drained(&mut self, server: u32) {
        let stops = {
            let slot = &self.servers.slots.borrow()[server as usize];
            slot.stops.filter(|_| slot.done_draining)
        };
        match stops {
            Some(at) if at <= self.now => self.stop(server, false),
            Some(at) => self.push(at, What::StopDrained(server)),
            None => {}
        }
    }

    fn start(&mut self, server: u32) {
        let was_silent = {
            let slot = &mut self.servers.slots.borrow_mut()[server as usize];
            if slot.model.is_up() {
                slot.start_once_stopped = slot.stops.is_some();
                return;
            }
            slot.started = Some(self.now);
            slot.model.is_silent()
        };
        self.with_server(server, |model, now, out| model.start(now, out));
        self.announce(server, ServerState::Ready, false);
        if was_silent {
            // The machine is back and knows nothing of the connections that were silent.
            let epoch = self.servers.slots.borrow()[server as usize].epoch;
            let stale = |a: &Attempt| {
                a.server == server && a.stage == Stage::There && a.epoch != epoch && a.connected
            };
            let stale: Vec<AttemptKey> = self
                .attempts
                .iter()
                .filter(|(_, a)| stale(a))
                .map(|(key, _)| key)
                .collect();
            stale
                .into_iter()
                .for_each(|key| self.send_back(key, Outcome::Reset));
        }
    }

    // ---- Discovery ----

    /// A change of a server is on its way to discovery.
    fn announce(&mut self, server: u32, state: ServerState, silent: bool) {
        let notice = self.discovery.notice(silent);
        let slot = &mut self.servers.slots.borrow_mut()[server as usize];
        slot.news += 1;
        self.publications
            .push((listed(slot, state), server, slot.news));
        let place = self.publications.len() as u32 - 1;
        self.queue.push(self.now + notice, 1, What::Publish(place));
    }

    fn publish(&mut self, place: u32) {
        let (listed, server, news) = self.publications[place as usize];
        // A silent end may be found out after the next start is known: it is past then.
        let last = self.servers.slots.borrow()[server as usize].news;
        let overtaken = news < last && listed.state == ServerState::Gone;
        if overtaken && self.discovery.listed(server as usize).started_at > listed.started_at {
            return;
        }
        self.discovery.change(listed);
        self.judge.published(self.now, &listed);
        let watchers: Vec<u32> = self.discovery.watchers().collect();
        self.tell_of_discovery(watchers, News::Changes);
    }
}

fn listed(slot: &Slot, state: ServerState) -> ServerEntry {
    ServerEntry {
        server: slot.place.id,
        zone: slot.place.zone,
        cell: slot.place.zone,
        kind: slot.place.kind,
        started_at: slot.started,
        capacity: slot.place.weight,
        state,
    }
}

/// Numbers of requests and attempts carry the generation of their place: none is used twice.
fn id_of(key: CallKey) -> RequestId {
    key.data().as_ffi()
}

fn tag_of(key: AttemptKey) -> u64 {
    key.data().as_ffi()
}
