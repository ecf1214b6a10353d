//! The stage of a run: stand-ins, sidecars and the time line of faults, played by the clock.

use super::books::{Books, Seen};
use super::child::{Process, Usage};
use super::clock::Clock;
use super::config;
use crate::experiment::{Arm, Experiment};
use crate::model::clients::Clients;
use crate::model::discovery::Discovery;
use crate::model::faults::{self, Change};
use crate::model::network::Network;
use crate::model::server::{Repeats, Server, Spec, Trouble};
use crate::record::Run;
use crate::seeds::{Concern, derive, stream};
use crate::standin::clients::Crowd;
use crate::standin::discovery;
use crate::standin::server::{Around, News, Stand};
use crate::world::{ServerPlace, World};
use madderloom_balancer::{Micros, ServerEntry, ServerState};
use rustix::process::Signal;
use std::cell::{Cell, RefCell};
use std::ops::ControlFlow;
use std::path::{Path, PathBuf};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tempfile::TempDir;
use tokio::sync::Notify;

/// Ports that a run may take: one for each instance and server.
const MOST_PORTS: u64 = 2_000;
/// How long sidecars may take to be ready.
const READY: Duration = Duration::from_secs(30);
/// A sidecar that is told to stop takes what still comes for a while, then finishes what it took; this comes on top
/// of the longest deadline.
const STOP: Duration = Duration::from_secs(10);
/// How long requests that are open at a break-off may go on.
const BREAK_OFF: Duration = Duration::from_secs(1);
/// A sidecar that had to wait for a core for a greater part of the run was short of a machine: the run is void.
pub const WAITED_SHARE: f64 = 0.2;

/// What a run is played for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// For its record: a sidecar that ends by itself, or a request that none of the lab's clients sent, makes it void.
    Record,
    /// To be watched: both are welcome.
    Show,
}

/// A window as it is seen when it ends.
pub struct Snapshot<'a> {
    /// When it ended.
    pub at: Micros,
    /// How long it was.
    pub window: Micros,
    /// What it has seen.
    pub seen: &'a Seen,
    /// Its servers.
    pub servers: Vec<ServerLine<'a>>,
    /// Its instances.
    pub instances: Vec<InstanceLine<'a>>,
    /// What has changed since the last window.
    pub changes: Vec<String>,
}

/// A server at the end of a window.
pub struct ServerLine<'a> {
    /// Who it is.
    pub place: &'a ServerPlace,
    /// Its zone.
    pub zone: &'a str,
    /// Requests that it holds.
    pub held: u32,
    /// What it is like, in a word or a few.
    pub state: String,
}

/// An instance at the end of a window.
pub struct InstanceLine<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its zone.
    pub zone: &'a str,
    /// The part of a core that it used.
    pub cpu: f64,
    /// Resident bytes.
    pub memory: u64,
    /// How it is: `up`, or how it ended.
    pub state: &'a str,
}

/// One life of an instance after the other.
struct Host {
    name: String,
    zone: u32,
    life: Cell<u32>,
    process: RefCell<Option<Process>>,
    /// The configuration that it was started with.
    config: RefCell<String>,
    state: RefCell<String>,
    used: Cell<Usage>,
    /// Nanoseconds for which it ran, and waited to run, in lives that are over.
    past: Cell<(u64, u64)>,
}

/// What a server's driver keeps of it.
#[derive(Default)]
struct Course {
    /// Its latest news for discovery, counted: older news that comes late is dropped.
    news: Cell<u32>,
    started: Cell<Option<Micros>>,
    /// Drains, to be stopped no sooner than this.
    stops: Cell<Option<Micros>>,
    done_draining: Cell<bool>,
    start_once_stopped: Cell<bool>,
    /// Troubles that it has, by number.
    troubles: RefCell<Vec<(u32, String)>>,
}

/// Everything that a run is played with.
pub struct Stage {
    experiment: Rc<Experiment>,
    world: Rc<World>,
    seed: u64,
    binary: Option<PathBuf>,
    clock: Rc<Clock>,
    books: Rc<Books>,
    network: Rc<RefCell<Network>>,
    servers: Vec<Rc<Stand>>,
    courses: Vec<Course>,
    discovery: Rc<discovery::Stand>,
    crowd: Rc<Crowd>,
    hosts: Vec<Host>,
    dir: TempDir,
    purpose: Purpose,
    changes: RefCell<Vec<String>>,
    told: Rc<Notify>,
    own: Weak<Stage>,
}

impl Stage {
    /// Sets everything up; the sidecars are ready and the clock stands at 0.
    ///
    /// # Errors
    /// An experiment that has no counterpart on sockets, no port, or a sidecar that does not start.
    pub async fn set(
        experiment: &Experiment,
        arm: &Arm,
        seed: u64,
        purpose: Purpose,
    ) -> Result<Rc<Self>, String> {
        let world = World::of(experiment, seed);
        fits(experiment, &world, arm)?;
        let (experiment, world) = (Rc::new(experiment.clone()), Rc::new(world));
        let clock = Clock::new()?;
        let own = Rc::clone(&clock);
        tokio::task::spawn_local(async move { own.run().await });
        let books = Rc::new(Books::new(&experiment, &world, arm, seed));
        let network = Network::new(&experiment.network, stream(seed, Concern::Network, 0));
        let network = Rc::new(RefCell::new(network));
        let told = Rc::new(Notify::new());
        let shares: f64 = experiment.classes.iter().map(|c| c.share).sum();
        let works = experiment
            .classes
            .iter()
            .map(|c| c.share * c.work.micros() as f64);
        let mean_work = works.sum::<f64>() / if shares > 0.0 { shares } else { 1.0 };
        let around = Rc::new(Around {
            strangers: (purpose == Purpose::Show).then_some(mean_work),
            clock: Rc::clone(&clock),
            books: Rc::clone(&books),
            network: Rc::clone(&network),
            zones: world.instances.clone(),
            once: experiment
                .classes
                .iter()
                .map(|c| (c.effect == crate::experiment::Effect::Keyed).then(|| c.window.micros()))
                .collect(),
            idle: experiment.network.idle.micros(),
            reports: experiment.instances.allow.probes
                && experiment
                    .servers
                    .iter()
                    .all(|k| k.report_every.micros() > 0),
        });
        let repeats = Repeats::shared();
        let mut servers = Vec::new();
        for (at, place) in (0..).zip(&world.servers) {
            let kind = &experiment.servers[place.kind as usize];
            let spec = Spec::new(kind, place.speed, &experiment.instances.allow, mean_work);
            let model = Server::new(
                spec,
                repeats.clone(),
                stream(seed, Concern::Server, u64::from(at)),
            );
            let stand = Stand::open(
                at,
                place.clone(),
                model,
                Rc::clone(&around),
                Rc::clone(&told),
            )
            .await?;
            stand.start();
            servers.push(stand);
        }
        let courses: Vec<Course> = servers.iter().map(|_| Course::default()).collect();
        let list = servers
            .iter()
            .map(|s| listed(&s.place, None, ServerState::Ready))
            .collect();
        let finds = servers.clone();
        let discovery = discovery::Stand::open(
            Discovery::new(&experiment.discovery, list, world.instances.len()),
            Rc::clone(&experiment),
            Rc::clone(&world),
            Rc::clone(&clock),
            Rc::clone(&books),
            Box::new(move |instance, server| finds[server as usize].address(instance)),
        )
        .await?;
        let clients = Clients::new(&experiment, seed);
        let crowd = Crowd::new(
            clients,
            Rc::clone(&experiment),
            Rc::clone(&clock),
            Rc::clone(&books),
        );
        let host = |(at, zone): (u32, &u32)| Host {
            name: format!("n{at}"),
            zone: *zone,
            life: Cell::new(0),
            process: RefCell::default(),
            config: RefCell::default(),
            state: RefCell::default(),
            used: Cell::default(),
            past: Cell::default(),
        };
        let hosts = (0..).zip(&world.instances).map(host).collect();
        let dir = tempfile::tempdir().map_err(|e| format!("a folder for configurations: {e}"))?;
        let binary = arm.binary.as_ref().map(PathBuf::from);
        let stage = Rc::new_cyclic(|own| Stage {
            experiment,
            world,
            seed,
            binary,
            clock,
            books,
            network,
            servers,
            courses,
            discovery,
            crowd,
            hosts,
            dir,
            purpose,
            changes: RefCell::default(),
            told,
            own: Weak::clone(own),
        });
        let asked = Weak::clone(&stage.own);
        *stage.crowd.ended.borrow_mut() = Some(Box::new(move |at| {
            asked.upgrade().is_some_and(|stage| stage.has_ended(at))
        }));
        // All are started before any is waited for.
        for at in 0..stage.hosts.len() as u32 {
            stage.spawn(at)?;
        }
        for at in 0..stage.hosts.len() as u32 {
            stage.wait_for(at).await?;
        }
        Ok(stage)
    }

    /// Where an instance listens; none while it is down.
    pub fn address(&self, instance: u32) -> Option<std::net::SocketAddr> {
        self.crowd.address(instance)
    }

    /// Plays the day. `watch` sees each window end and may break the run off; so does `stop`. Gives back why the run
    /// is void, if it is.
    pub async fn play(
        self: &Rc<Self>,
        watch: &mut dyn FnMut(&Snapshot<'_>) -> ControlFlow<()>,
        stop: impl Future<Output = ()>,
    ) -> Option<String> {
        self.clock.begin();
        self.hosts
            .iter()
            .for_each(|host| host.used.set(host.usage()));
        let own = Rc::clone(self);
        tokio::task::spawn_local(async move { own.play_faults().await });
        let own = Rc::clone(self);
        tokio::task::spawn_local(async move { own.hear_servers().await });
        let clients = async {
            self.crowd.play().await;
            self.clock.until(self.experiment.duration.micros()).await;
        };
        let why = tokio::select! {
            () = clients => None,
            why = self.end_windows(watch) => Some(why),
            () = stop => Some(self.broken_off()),
        };
        if why.is_some() {
            self.crowd.stop();
            let _ = tokio::time::timeout(BREAK_OFF, self.crowd.until_idle()).await;
        }
        why.or_else(|| self.books.problem())
            .or_else(|| self.clock.fell_behind())
            .or_else(|| self.short_of_cores())
    }

    /// Stops the sidecars as planned, and makes the record.
    pub async fn end(self: Rc<Self>, void: Option<String>) -> Run {
        let now = self.clock.now();
        let mut void = void;
        for host in &self.hosts {
            // All are told before any is waited for.
            host.process
                .borrow_mut()
                .iter_mut()
                .for_each(|p| p.signal(Signal::TERM));
        }
        let longest = self
            .experiment
            .classes
            .iter()
            .map(|c| c.deadline.micros())
            .max()
            .unwrap_or(0);
        let patience = STOP + Duration::from_micros(longest);
        for host in &self.hosts {
            let process = host.process.take();
            if let Some(process) = process
                && let Err(problem) = process.stop(patience).await
            {
                void.get_or_insert(problem);
            }
        }
        let done = self.servers.iter().map(|s| s.done());
        self.books.finish(now, done, void).unwrap_or_default()
    }

    fn broken_off(&self) -> String {
        format!(
            "broken off at {}",
            madderloom_config_reader::Span(self.clock.now())
        )
    }

    async fn end_windows(&self, watch: &mut dyn FnMut(&Snapshot<'_>) -> ControlFlow<()>) -> String {
        let window = self.experiment.window.micros().max(1);
        let mut end = window;
        loop {
            self.clock.until(end).await;
            for at in 0..self.hosts.len() as u32 {
                self.has_ended(at);
            }
            let seen =
                self.books
                    .end_window(end, &self.world, self.servers.iter().map(|s| s.done()));
            let states: Vec<String> = self
                .hosts
                .iter()
                .map(|h| h.state.borrow().clone())
                .collect();
            let snapshot = Snapshot {
                at: end,
                window,
                seen: &seen,
                servers: self
                    .servers
                    .iter()
                    .zip(&self.courses)
                    .map(|(s, c)| self.server_line(s, c))
                    .collect(),
                instances: self
                    .hosts
                    .iter()
                    .zip(&states)
                    .map(|(h, s)| self.host_line(h, s, window))
                    .collect(),
                changes: self.changes.take(),
            };
            if watch(&snapshot).is_break() {
                return self.broken_off();
            }
            if let Some(problem) = self.books.problem() {
                return problem;
            }
            end += window;
        }
    }

    fn server_line<'a>(&'a self, stand: &'a Stand, course: &Course) -> ServerLine<'a> {
        let (held, up, silent, cold) =
            stand.look(|m| (m.held(), m.is_up(), m.is_silent(), m.cold_since().is_some()));
        let mut state = match () {
            () if silent => "vanished".to_string(),
            () if !up => "down".into(),
            () if course.stops.get().is_some() => "drains".into(),
            () if cold => "cold".into(),
            () => "up".into(),
        };
        for (_, trouble) in course.troubles.borrow().iter() {
            state = format!("{state}, {trouble}");
        }
        ServerLine {
            place: &stand.place,
            zone: self.zone(stand.place.zone),
            held,
            state,
        }
    }

    fn host_line<'a>(&'a self, host: &'a Host, state: &'a str, window: Micros) -> InstanceLine<'a> {
        let (now, before) = (host.usage(), host.used.get());
        host.used.set(now);
        let cpu = now.cpu.saturating_sub(before.cpu) as f64 / (window * 1_000) as f64;
        InstanceLine {
            name: &host.name,
            zone: self.zone(host.zone),
            cpu,
            memory: now.memory,
            state,
        }
    }

    fn zone(&self, at: u32) -> &str {
        self.experiment
            .network
            .zones
            .get(at as usize)
            .map_or("", String::as_str)
    }

    /// Sidecars that wait for a core are measured on a machine that is too small.
    fn short_of_cores(&self) -> Option<String> {
        let ran = self.clock.now() as f64 * 1e3;
        self.hosts.iter().find_map(|host| {
            let part = (host.usage().waited + host.past.get().1) as f64 / ran.max(1.0);
            let percent = 100.0 * part;
            (part > WAITED_SHARE).then(|| {
                format!(
                    "{} waited for a core for {percent:.0}% of the run",
                    host.name
                )
            })
        })
    }

    // ---- Instances ----

    fn spawn(&self, at: u32) -> Result<(), String> {
        let host = &self.hosts[at as usize];
        let index = u64::from(at) << 32 | u64::from(host.life.get());
        let seed = derive(self.seed, Concern::Instance, index);
        let settings = config::settings(&self.experiment, host.zone);
        let known = self.discovery.saved(at);
        let text = config::sidecar(
            &host.name,
            self.discovery.address(at),
            seed,
            &known,
            &settings,
        );
        let process = Process::start(
            &host.name,
            &["sidecar"],
            self.binary.as_deref(),
            Some((self.dir.path(), &text)),
        )?;
        *host.config.borrow_mut() = text;
        *host.process.borrow_mut() = Some(process);
        Ok(())
    }

    async fn wait_for(&self, at: u32) -> Result<(), String> {
        let host = &self.hosts[at as usize];
        // Nobody else has it in hand before it listens.
        let Some(mut process) = host.process.take() else {
            return Ok(());
        };
        let address = process.listens().await?;
        *host.process.borrow_mut() = Some(process);
        Crowd::until_ready(address, READY)
            .await
            .map_err(|e| format!("{}: {e}", host.name))?;
        host.used.set(host.usage());
        *host.state.borrow_mut() = "up".into();
        self.crowd.instance_is(at, Some(address));
        Ok(())
    }

    /// Whether an instance has ended. If nobody told it to, that is heeded.
    fn has_ended(&self, at: u32) -> bool {
        let host = &self.hosts[at as usize];
        let problem = match host.process.borrow_mut().as_mut() {
            None => return host.state.borrow().as_str() != "up",
            Some(process) => match process.ended() {
                None => return false,
                Some(_) => process.how_it_ended(),
            },
        };
        host.process.take();
        self.went_away(at, &problem);
        match self.purpose {
            Purpose::Record => self.books.void(format!("{} {problem}", host.name)),
            Purpose::Show => self.note(format!("{} {problem}", host.name)),
        }
        true
    }

    fn went_away(&self, at: u32, state: &str) {
        let host = &self.hosts[at as usize];
        *host.state.borrow_mut() = state.into();
        self.crowd.instance_is(at, None);
        self.discovery.leave(at);
        self.books.killed(self.clock.now(), at);
        host.life.set(host.life.get() + 1);
    }

    fn kill(&self, at: u32) {
        let host = &self.hosts[at as usize];
        let Some(process) = host.process.take() else {
            return;
        };
        let used = process.usage();
        let (ran, waited) = host.past.get();
        host.past.set((ran + used.cpu, waited + used.waited));
        self.went_away(at, "down");
        // Dropped, it is killed.
        drop(process);
    }

    async fn revive(&self, at: u32) {
        if self.hosts[at as usize].process.borrow().is_some() {
            return;
        }
        let revived = match self.spawn(at) {
            Ok(()) => self.wait_for(at).await,
            Err(problem) => Err(problem),
        };
        if let Err(problem) = revived {
            self.books.void(problem);
        }
    }

    /// Where discovery is now goes into every configuration, and the sidecars read it again.
    async fn move_discovery(&self) -> Result<(), String> {
        self.discovery.move_on().await?;
        for (at, host) in (0..).zip(&self.hosts) {
            let mut text = host.config.borrow_mut();
            let mut config: serde_json::Value =
                serde_json::from_str(&text).map_err(|e| e.to_string())?;
            config["discovery"] = self.discovery.address(at).to_string().into();
            *text = config.to_string();
            let path = self.dir.path().join(format!("{}.json", host.name));
            write(&path, &text)?;
            host.process
                .borrow_mut()
                .iter_mut()
                .for_each(|p| p.signal(Signal::HUP));
        }
        Ok(())
    }

    // ---- Faults ----

    async fn play_faults(self: Rc<Self>) {
        for (at, change) in faults::time_line(&self.experiment, &self.world, self.seed) {
            if at >= self.experiment.duration.micros() {
                return;
            }
            self.clock.until(at).await;
            // One that takes its time, such as a start, does not hold up the next.
            let own = Rc::clone(&self);
            tokio::task::spawn_local(async move { own.change(change).await });
        }
    }

    async fn change(self: Rc<Self>, change: Change) {
        match change {
            Change::Begin {
                server,
                number,
                trouble,
                scope,
            } => {
                let name = words(trouble);
                self.note(format!("{} {name}", self.name(server)));
                self.courses[server as usize]
                    .troubles
                    .borrow_mut()
                    .push((number, name));
                self.servers[server as usize]
                    .with(|model, now, out| model.begin(now, number, trouble, scope, out));
            }
            Change::End { server, number } => {
                self.courses[server as usize]
                    .troubles
                    .borrow_mut()
                    .retain(|(n, _)| *n != number);
                self.note(format!("{} is well again", self.name(server)));
                self.servers[server as usize].with(|model, now, out| model.end(now, number, out));
            }
            Change::Stop { server, silent } => {
                let how = if silent {
                    "has vanished"
                } else {
                    "has crashed"
                };
                self.note(format!("{} {how}", self.name(server)));
                self.stop(server, silent).await;
            }
            Change::Start { server } => self.start(server).await,
            Change::Drain { server, then_stop } => self.drain(server, then_stop).await,
            Change::Undrain { server } => {
                let stand = &self.servers[server as usize];
                stand.with(|model, now, out| model.undrain(now, out));
                if stand.look(Server::is_up) {
                    self.note(format!("{} takes work again", self.name(server)));
                    self.announce(server, ServerState::Ready, false);
                }
            }
            Change::Cut {
                number,
                zone,
                answers_alone,
            } => {
                self.note(format!(
                    "zone {} is cut off",
                    self.experiment.network.zones[zone as usize]
                ));
                self.network.borrow_mut().cut(number, zone, answers_alone);
                self.see_to_doors().await;
            }
            Change::Resets {
                number,
                server,
                share,
            } => {
                self.note(format!("connections to {} break", self.name(server)));
                self.network.borrow_mut().reset(number, server, share);
            }
            Change::Mend { number } => {
                self.note("the network is well again".into());
                self.network.borrow_mut().mend(number);
                self.see_to_doors().await;
            }
            Change::Discovery { up: false } => {
                self.note("discovery is down".into());
                self.discovery.go_down();
            }
            Change::Discovery { up: true } => {
                self.note("discovery is up again".into());
                self.discovery.come_up();
            }
            Change::DiscoveryMoves => {
                self.note("discovery moves".into());
                if let Err(problem) = self.move_discovery().await {
                    self.books.void(problem);
                }
            }
            Change::Kill { instance } => {
                self.note(format!("{} is killed", self.hosts[instance as usize].name));
                self.kill(instance);
            }
            Change::Revive { instance } => {
                self.note(format!(
                    "{} starts again",
                    self.hosts[instance as usize].name
                ));
                self.revive(instance).await;
            }
        }
    }

    fn note(&self, change: String) {
        self.changes.borrow_mut().push(change);
    }

    fn name(&self, server: u32) -> &str {
        &self.servers[server as usize].place.name
    }

    async fn see_to_doors(&self) {
        for server in &self.servers {
            server.see_to_doors().await;
        }
    }

    async fn hear_servers(self: Rc<Self>) {
        loop {
            self.told.notified().await;
            for at in 0..self.servers.len() as u32 {
                for news in self.servers[at as usize].take_news() {
                    match news {
                        News::Fell => {
                            let started = self.courses[at as usize].started.get().unwrap_or(0);
                            self.note(format!("{} fell over", self.name(at)));
                            self.books
                                .judge(|judge| judge.fell(self.clock.now(), at, started));
                            self.servers[at as usize].went_down(false).await;
                            self.went_down(at, false).await;
                        }
                        News::Drained => {
                            self.courses[at as usize].done_draining.set(true);
                            let own = Rc::clone(&self);
                            tokio::task::spawn_local(async move { own.stop_drained(at).await });
                        }
                    }
                }
            }
        }
    }

    async fn stop(&self, server: u32, silent: bool) {
        let stand = &self.servers[server as usize];
        if stand.look(Server::is_up) {
            stand.stop(silent).await;
            self.went_down(server, silent).await;
        }
    }

    async fn went_down(&self, server: u32, silent: bool) {
        let course = &self.courses[server as usize];
        course.started.set(None);
        course.stops.set(None);
        course.done_draining.set(false);
        self.announce(server, ServerState::Gone, silent);
        if course.start_once_stopped.take() {
            Box::pin(self.start(server)).await;
        }
    }

    async fn start(&self, server: u32) {
        let (stand, course) = (
            &self.servers[server as usize],
            &self.courses[server as usize],
        );
        if stand.look(Server::is_up) {
            course.start_once_stopped.set(course.stops.get().is_some());
            return;
        }
        self.note(format!("{} starts, cold", self.name(server)));
        course.started.set(Some(self.clock.now()));
        stand.come_up().await;
        self.announce(server, ServerState::Ready, false);
    }

    async fn drain(&self, server: u32, then_stop: bool) {
        self.note(format!("{} drains", self.name(server)));
        if then_stop {
            let grace = self.experiment.instances.allow.drain_grace.micros();
            let course = &self.courses[server as usize];
            course.stops.set(Some(self.clock.now() + grace));
            course.done_draining.set(false);
        }
        self.announce(server, ServerState::Draining, false);
        self.servers[server as usize].with(|model, now, out| model.drain(now, out));
    }

    /// What drained is stopped once it is done and its grace has passed.
    async fn stop_drained(&self, server: u32) {
        let course = &self.courses[server as usize];
        let Some(at) = course.stops.get().filter(|_| course.done_draining.get()) else {
            return;
        };
        self.clock.until(at).await;
        if course.stops.get() == Some(at) {
            self.note(format!("{} stops", self.name(server)));
            self.stop(server, false).await;
        }
    }

    /// A change of a server is on its way to discovery.
    fn announce(&self, server: u32, state: ServerState, silent: bool) {
        let course = &self.courses[server as usize];
        let notice = self.discovery.notice(silent);
        let news = course.news.get() + 1;
        course.news.set(news);
        let entry = listed(
            &self.servers[server as usize].place,
            course.started.get(),
            state,
        );
        let Some(own) = self.own.upgrade() else {
            return;
        };
        tokio::task::spawn_local(async move {
            own.clock.sleep(notice).await;
            // A silent end may be found out after the next start is known: it is past then.
            let overtaken =
                news < own.courses[server as usize].news.get() && state == ServerState::Gone;
            if overtaken && own.discovery.listed(server).started_at > entry.started_at {
                return;
            }
            own.books
                .judge(|judge| judge.published(own.clock.now(), &entry));
            own.discovery.change(entry);
        });
    }
}

impl Host {
    fn usage(&self) -> Usage {
        self.process
            .borrow()
            .as_ref()
            .map(Process::usage)
            .unwrap_or_default()
    }
}

fn words(trouble: Trouble) -> String {
    let percent = |share: f64| 100.0 * share;
    match trouble {
        Trouble::FastErrors(share) => format!("fails {:.0}% of requests at once", percent(share)),
        Trouble::LostAnswers(share) => format!("loses {:.0}% of its answers", percent(share)),
        Trouble::SpoiltAnswers(share) => format!("spoils {:.0}% of its answers", percent(share)),
        Trouble::Neighbour(share, _) => {
            format!("has a neighbour that takes {:.0}% of it", percent(share))
        }
        Trouble::Slow(times) => format!("takes {times} times as long"),
        Trouble::Hang => "hangs".into(),
        Trouble::StuckReports => "reports the same load for ever".into(),
    }
}

fn listed(place: &ServerPlace, started: Option<Micros>, state: ServerState) -> ServerEntry {
    ServerEntry {
        server: place.id,
        zone: place.zone,
        cell: place.zone,
        kind: place.kind,
        started_at: started,
        capacity: place.weight,
        state,
    }
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    // Whole or not at all: a sidecar may be reading it.
    let beside = path.with_extension("new");
    let written = std::fs::write(&beside, text).and_then(|()| std::fs::rename(&beside, path));
    written.map_err(|e| format!("{}: {e}", path.display()))
}

/// What has no counterpart on sockets is told at once.
fn fits(experiment: &Experiment, world: &World, arm: &Arm) -> Result<(), String> {
    let ports = world.servers.len() as u64 * world.instances.len() as u64;
    if ports > MOST_PORTS {
        return Err(format!(
            "{ports} pairs of an instance and a server are too many on sockets; {MOST_PORTS} at most"
        ));
    }
    if !matches!(arm.policy.as_str(), "" | "madderloom") {
        return Err(format!(
            "policy {:?} plays in virtual time alone; on sockets the real program decides",
            arm.policy
        ));
    }
    if arm.levels.is_some() {
        return Err(
            "levels play in virtual time alone; on sockets an operator file has them".into(),
        );
    }
    if !experiment.discovery.on_request {
        return Err(
            "discovery.on_request = false has no counterpart on sockets: sidecars ask for their watch".into(),
        );
    }
    Ok(())
}
