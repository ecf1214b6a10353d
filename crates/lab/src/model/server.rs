//! A server: cores, a waiting room, and all that can go wrong with them.
//!
//! Work is in microseconds of a standard core. Requests are run first come, first served, one on a core. Whatever
//! changes how fast a core is (warming up, crowding, a neighbour, a hang) holds for all cores alike from that
//! moment on. A driver that calls late loses nothing: what came due meanwhile happens at its own time.

use crate::experiment::{Allow, CancelStops, ServerKind};
use crate::policy::ServerTruth;
use crate::seeds::Random;
use foldhash::fast::FixedState;
use madderloom_balancer::{LoadReport, Micros};
use rand::RngExt;
use rand_distr::{Distribution, LogNormal};
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};

/// A connection or a request, as the driver numbers it.
pub type Tag = u64;

/// Work left that counts as none, a nanosecond's: floating point keeps more than that over a long day.
const NOTHING: f64 = 1e-3;

/// A neighbour comes and goes no faster than this.
const SHORTEST_TURN: Micros = 1_000;

/// Steps in which a cold server warms up.
const WARMING: u64 = 32;

/// Mean requests beyond a cold server's budget, which chance alone may bring.
const FALL_SLACK: f64 = 5.0;

/// Snapshots for late load reports kept at most; a report is never older than this many refreshes.
const SNAPSHOTS: usize = 64;

/// What a server is like on a good day.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Its kind's figures.
    pub kind: ServerKind,
    /// Its own speed: standard microseconds of work that a core does in a microsecond. Above 0.
    pub speed: f64,
    /// A cold server reached by over this multiple of its present capacity...
    pub fall_multiple: f64,
    /// ...for this long falls over; 0: never.
    pub fall: Micros,
    /// Mean work of a request, by which the slack for chance is measured.
    pub mean_work: f64,
}

impl Spec {
    /// A server of this kind and speed.
    pub fn new(kind: &ServerKind, speed: f64, allow: &Allow, mean_work: f64) -> Self {
        let (fall_multiple, fall) = (allow.fall_multiple, allow.fall.micros());
        Spec {
            kind: kind.clone(),
            speed,
            fall_multiple,
            fall,
            mean_work,
        }
    }
}

/// A request as it reaches a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    /// The driver's number for this attempt, unique while the server holds it.
    pub tag: Tag,
    /// Its class.
    pub class: u32,
    /// The zone it came from.
    pub zone: u32,
    /// Its work, in microseconds of a standard core.
    pub work: f64,
    /// Its key, if it has one.
    pub key: Option<u64>,
    /// The number under which repeats of it are known, and for how long, if they are.
    pub once: Option<(u64, Micros)>,
}

/// How a request was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Served.
    Ok,
    /// With an error.
    Error,
    /// Served, but the answer can't be read.
    Spoilt,
}

/// What a server does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Output {
    /// A connection stands.
    Connected(Tag),
    /// A connection is refused.
    Refused(Tag),
    /// A request is answered.
    Answered(Tag, Answer),
    /// A request is turned away unseen.
    TurnedAway(Tag),
    /// The connection under a request breaks.
    Broken(Tag),
    /// A request took effect, or was known for a repeat and did not.
    Ran {
        /// Which.
        tag: Tag,
        /// Known for a repeat.
        repeated: bool,
    },
    /// Cold and pushed too hard, it fell over: its connections broke, and it stays down until it is started.
    Fell,
    /// It drains, and the last that it held is done.
    Drained,
}

/// What ails a server, until it ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// This share of requests is answered with an error at once.
    FastErrors(f64),
    /// This share of answers is lost: done, and the connection breaks.
    LostAnswers(f64),
    /// This share of answers can't be read.
    SpoiltAnswers(f64),
    /// Another program takes this part of the machine: always, or where the span is not 0 for the first half of
    /// each such span.
    Neighbour(f64, Micros),
    /// Requests begun now are this many times their work.
    Slow(f64),
    /// Takes what comes and says nothing.
    Hang,
    /// Load reports stay what they were.
    StuckReports,
}

/// Whom a trouble befalls: all, or one class alone, or what comes from one zone alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Scope {
    /// This class alone.
    pub class: Option<u32>,
    /// What comes from this zone alone.
    pub zone: Option<u32>,
}

impl Scope {
    fn holds(self, job: &Job) -> bool {
        self.class.is_none_or(|c| c == job.class) && self.zone.is_none_or(|z| z == job.zone)
    }

    fn is_all(self) -> bool {
        self == Scope::default()
    }
}

/// What all servers together know of effects that must not be repeated. Bounded by its windows.
#[derive(Debug, Default)]
pub struct Repeats {
    known: HashMap<u64, Micros, FixedState>,
    ends: VecDeque<(Micros, u64)>,
}

impl Repeats {
    /// One for the servers of a run, in their hands.
    pub fn shared() -> Arc<Mutex<Repeats>> {
        Arc::default()
    }

    /// Whether this took effect within its window.
    pub fn knows(&mut self, now: Micros, once: u64) -> bool {
        while let Some((_, old)) = self
            .ends
            .front()
            .filter(|(until, _)| *until <= now)
            .copied()
        {
            self.ends.pop_front();
            if self.known.get(&old).is_some_and(|until| *until <= now) {
                self.known.remove(&old);
            }
        }
        self.known.get(&once).is_some_and(|until| *until > now)
    }

    /// Takes note of an effect; false where it was known and so did not happen again.
    pub fn takes_effect(&mut self, now: Micros, once: u64, window: Micros) -> bool {
        if self.knows(now, once) {
            return false;
        }
        let until = now.saturating_add(window);
        self.known.insert(once, until);
        // Windows differ by class: what ends sooner than the last in line waits for that one.
        self.ends.push_back((until, once));
        true
    }
}

/// What a server has done so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Done {
    /// Requests that reached it.
    pub reached: u64,
    /// Effects.
    pub executed: u64,
    /// Effects of what had been run before: known for repeats, and discarded.
    pub repeated: u64,
    /// Requests turned away.
    pub turned_away: u64,
    /// Connections accepted.
    pub connections: u64,
    /// Core time used, in microseconds.
    pub busy: f64,
    /// Core time used for what nobody got.
    pub wasted: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Task {
    Request(Job),
    Handshake(Tag),
    /// Work for nobody in particular, such as a probe's.
    Chore(f64),
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    task: Task,
    given_up: bool,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    task: Task,
    /// When it is done, by the clock of work.
    done_at: f64,
    /// When it was begun, by the clock of use.
    begun: f64,
    given_up: bool,
    known: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Life {
    Up,
    Draining,
    /// The process is dead: connections are refused.
    Down,
    /// The machine says nothing.
    Silent,
}

/// One server.
pub struct Server {
    spec: Spec,
    random: Random,
    repeats: Arc<Mutex<Repeats>>,
    life: Life,
    /// Told once that all is done while it drains.
    drained: bool,
    started: Option<Micros>,
    at: Micros,
    /// Standard microseconds of work that a core does in a microsecond now.
    rate: f64,
    /// What runs, the next to be done at the end. All cores are alike, so clocks that go as fast as the cores do stand
    /// for the progress of each: a step costs the same however many there are.
    running: Vec<Running>,
    /// Requests among what runs.
    serving: u32,
    /// Work that a core which was never idle would have done by now.
    work_clock: f64,
    /// Core time that it would have used.
    use_clock: f64,
    waiting: VecDeque<Waiting>,
    /// Requests among what runs and waits.
    held: u32,
    connections: u32,
    troubles: Vec<(u32, Trouble, Scope, Micros)>,
    hung: bool,
    crowded: bool,
    /// Since when it has held too much, or, crowded, so little that it may recover.
    turning_since: Option<Micros>,
    cold_log: VecDeque<(Micros, f64)>,
    cold_sum: f64,
    keys: HashMap<u64, Micros, FixedState>,
    key_order: VecDeque<(Micros, u64)>,
    snapshots: VecDeque<(Micros, LoadReport)>,
    next_snapshot: Micros,
    errors: u32,
    done: Done,
}

impl Server {
    /// A server that has been up and warm for long.
    pub fn new(spec: Spec, repeats: Arc<Mutex<Repeats>>, random: Random) -> Self {
        let mut server = Server {
            rate: spec.speed,
            running: Vec::with_capacity(spec.kind.cores as usize),
            serving: 0,
            work_clock: 0.0,
            use_clock: 0.0,
            spec,
            random,
            repeats,
            life: Life::Up,
            drained: false,
            started: None,
            at: 0,
            waiting: VecDeque::new(),
            held: 0,
            connections: 0,
            troubles: Vec::new(),
            hung: false,
            crowded: false,
            turning_since: None,
            cold_log: VecDeque::new(),
            cold_sum: 0.0,
            keys: HashMap::default(),
            key_order: VecDeque::new(),
            snapshots: VecDeque::new(),
            next_snapshot: 0,
            errors: 0,
            done: Done::default(),
        };
        server.take_snapshots(0);
        server
    }

    // ---- What a driver asks ----

    /// When [`Server::wake`] is to be called next, if nothing else happens before.
    pub fn wake_at(&self) -> Option<Micros> {
        let mut at = Micros::MAX;
        if let Some(next) = self.running.last()
            && self.rate > 0.0
        {
            at = self.at
                + ((next.done_at - self.work_clock) / self.rate)
                    .max(0.0)
                    .ceil() as Micros;
        }
        if let Some(since) = self.turning_since {
            let kind = &self.spec.kind;
            let after = if self.crowded {
                kind.crowded_rest
            } else {
                kind.crowded_after
            };
            at = at.min(since + after.micros().max(1));
        }
        if let Some(started) = self.started {
            let (cold, age) = (
                self.spec.kind.cold.micros(),
                self.at.saturating_sub(started),
            );
            let step = (cold / WARMING).max(1);
            at = at.min(started + ((age / step + 1) * step).min(cold.max(age + 1)));
        }
        for (_, trouble, _, since) in &self.troubles {
            if let Trouble::Neighbour(_, every) = *trouble
                && every > 0
            {
                let half = (every / 2).max(SHORTEST_TURN);
                at = at.min(since + ((self.at.saturating_sub(*since)) / half + 1) * half);
            }
        }
        (at != Micros::MAX && self.is_up()).then(|| at.max(self.at))
    }

    /// Whether its process runs.
    pub fn is_up(&self) -> bool {
        matches!(self.life, Life::Up | Life::Draining)
    }

    /// Whether its machine says nothing at all, not even that a connection is refused.
    pub fn is_silent(&self) -> bool {
        self.life == Life::Silent
    }

    /// Requests that it holds: those that run and those that wait.
    pub fn held(&self) -> u32 {
        self.held
    }

    /// Connections that it holds.
    pub fn connections(&self) -> u32 {
        self.connections
    }

    /// When it last started, where it has not been up since before the day.
    pub fn cold_since(&self) -> Option<Micros> {
        self.started
    }

    /// What it has done up to this time.
    pub fn done(&self, now: Micros) -> Done {
        let mut done = self.done;
        if self.is_up() && !self.hung {
            done.busy += (now.saturating_sub(self.at) * self.running.len() as u64) as f64;
        }
        done
    }

    /// Its true state now, without what is on its way to it and what breaks there. A trouble of some requests alone
    /// counts as one of all.
    pub fn truth(&self, now: Micros) -> ServerTruth {
        let clock = self.work_clock + now.saturating_sub(self.at) as f64 * self.rate;
        let runs: f64 = self
            .running
            .iter()
            .map(|r| (r.done_at - clock).max(0.0))
            .sum();
        let waits: f64 = self.waiting.iter().map(|w| self.price(&w.task)).sum();
        let spoils = |t: &Trouble| match t {
            Trouble::LostAnswers(share) | Trouble::SpoiltAnswers(share) => 1.0 - share,
            _ => 1.0,
        };
        let whole: f64 = self.troubles.iter().map(|(_, t, ..)| spoils(t)).product();
        let failing = 1.0 - (1.0 - self.failing(None)) * whole.max(0.0);
        ServerTruth {
            backlog: runs + waits,
            speed: if self.is_up() {
                self.rate * f64::from(self.spec.kind.cores)
            } else {
                0.0
            },
            free_cores: self
                .spec
                .kind
                .cores
                .saturating_sub(self.running.len() as u32),
            failing,
            takes_work: self.life == Life::Up,
        }
    }

    // ---- What a driver tells ----

    /// The time that [`Server::wake_at`] named, or a later one, has come.
    pub fn wake(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.catch_up(now, out);
    }

    /// A connection is opened; it stands once [`Output::Connected`] says so. A silent machine says nothing.
    pub fn connect(&mut self, now: Micros, tag: Tag, out: &mut Vec<Output>) {
        self.catch_up(now, out);
        match self.life {
            Life::Silent => {}
            Life::Down => out.push(Output::Refused(tag)),
            _ if self.connections >= self.spec.kind.connections => out.push(Output::Refused(tag)),
            _ => {
                self.connections += 1;
                self.done.connections += 1;
                if self.spec.kind.handshake.micros() == 0 {
                    out.push(Output::Connected(tag));
                } else {
                    self.waiting.push_back(Waiting {
                        task: Task::Handshake(tag),
                        given_up: false,
                    });
                    self.begin_what_waits(out);
                }
            }
        }
    }

    /// A connection is closed by the other side; a request under it is given up by [`Server::abandon`].
    pub fn disconnect(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    /// A request has come, whole.
    pub fn request(&mut self, now: Micros, job: Job, out: &mut Vec<Output>) {
        self.catch_up(now, out);
        if !self.is_up() {
            return;
        }
        self.done.reached += 1;
        if self.pushed_over(now, &job, out) {
            return;
        }
        if self.life == Life::Draining {
            self.done.turned_away += 1;
            return out.push(Output::TurnedAway(job.tag));
        }
        if self
            .troubles
            .iter()
            .any(|(_, t, scope, _)| *t == Trouble::Hang && scope.holds(&job))
        {
            // A whole hang freezes what came before, too, and lets it go on at its end; one of a class swallows.
            if self.hung && self.room() {
                self.held += 1;
                self.waiting.push_back(Waiting {
                    task: Task::Request(job),
                    given_up: false,
                });
                self.note_held(now);
            }
            return;
        }
        let failing = self.failing(Some(&job));
        if failing > 0.0 && self.random.random::<f64>() < failing {
            self.errors += 1;
            return out.push(Output::Answered(job.tag, Answer::Error));
        }
        if !self.room() {
            self.done.turned_away += 1;
            return out.push(Output::TurnedAway(job.tag));
        }
        self.held += 1;
        self.waiting.push_back(Waiting {
            task: Task::Request(job),
            given_up: false,
        });
        self.begin_what_waits(out);
        self.note_held(now);
    }

    /// Nobody waits for this request any more: its connection was closed.
    pub fn abandon(&mut self, now: Micros, tag: Tag, out: &mut Vec<Output>) {
        self.catch_up(now, out);
        let is = |task: &Task| matches!(task, Task::Request(job) if job.tag == tag);
        let stops = self.spec.kind.cancel;
        if let Some(at) = self.running.iter().position(|r| is(&r.task)) {
            if stops == CancelStops::All {
                let stopped = self.running.remove(at);
                self.serving -= 1;
                self.done.wasted += self.use_clock - stopped.begun;
                self.held -= 1;
                self.begin_what_waits(out);
            } else {
                self.running[at].given_up = true;
            }
        } else if let Some(at) = self.waiting.iter().position(|w| is(&w.task)) {
            if stops == CancelStops::Nothing {
                self.waiting[at].given_up = true;
            } else {
                self.waiting.remove(at);
                self.held -= 1;
            }
        }
        self.note_held(now);
        self.note_drained(out);
    }

    /// It is asked for its load; none where it does not answer or keeps no reports.
    pub fn probe(&mut self, now: Micros, out: &mut Vec<Output>) -> Option<LoadReport> {
        self.catch_up(now, out);
        if !self.is_up() || self.hung {
            return None;
        }
        let cost = self.spec.kind.probe.micros() as f64;
        if cost > 0.0 {
            self.waiting.push_front(Waiting {
                task: Task::Chore(cost),
                given_up: false,
            });
            self.begin_what_waits(out);
        }
        let told = now.saturating_sub(self.spec.kind.report_delay.micros());
        let report = self
            .snapshots
            .iter()
            .rev()
            .find(|(at, _)| *at <= told)
            .or(self.snapshots.front())?
            .1;
        let noise = self.spec.kind.report_noise;
        let factor = match LogNormal::from_mean_cv(1.0, noise)
            .ok()
            .filter(|_| noise > 0.0)
        {
            Some(noise) => noise.sample(&mut self.random),
            None => 1.0,
        };
        Some(LoadReport {
            in_flight: report.in_flight * factor,
            errors_per_second: report.errors_per_second * factor,
        })
    }

    /// It takes nothing new and finishes what it holds, then says [`Output::Drained`].
    pub fn drain(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.catch_up(now, out);
        if self.life == Life::Up {
            self.life = Life::Draining;
            self.drained = false;
            self.note_drained(out);
        }
    }

    /// It takes new work again after a drain.
    pub fn undrain(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.catch_up(now, out);
        if self.life == Life::Draining {
            self.life = Life::Up;
        }
    }

    /// Its process dies: what it held breaks and connections are refused. Or its machine vanishes (`silent`), and
    /// nobody is told of anything.
    pub fn stop(&mut self, now: Micros, silent: bool, out: &mut Vec<Output>) {
        self.catch_up(now, out);
        self.serving = 0;
        for running in self.running.drain(..) {
            self.done.wasted += self.use_clock - running.begun;
            match running.task {
                Task::Request(job) if !silent && !running.given_up => {
                    out.push(Output::Broken(job.tag))
                }
                Task::Handshake(tag) if !silent => out.push(Output::Refused(tag)),
                _ => {}
            }
        }
        for waiting in self.waiting.drain(..) {
            match waiting.task {
                Task::Request(job) if !silent && !waiting.given_up => {
                    out.push(Output::Broken(job.tag))
                }
                Task::Handshake(tag) if !silent => out.push(Output::Refused(tag)),
                _ => {}
            }
        }
        self.life = if silent { Life::Silent } else { Life::Down };
        (
            self.held,
            self.connections,
            self.crowded,
            self.turning_since,
        ) = (0, 0, false, None);
        self.started = None;
        self.cold_log.clear();
        self.cold_sum = 0.0;
        self.keys.clear();
        self.key_order.clear();
        self.snapshots.clear();
    }

    /// It comes up, cold, where it was down.
    pub fn start(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.is_up() {
            return;
        }
        self.catch_up(now, out);
        self.life = Life::Up;
        self.started = Some(now);
        self.errors = 0;
        self.next_snapshot = now;
        self.set_rate(now);
        self.take_snapshots(now);
    }

    /// A trouble begins, under a number by which it ends.
    pub fn begin(
        &mut self,
        now: Micros,
        number: u32,
        trouble: Trouble,
        scope: Scope,
        out: &mut Vec<Output>,
    ) {
        self.catch_up(now, out);
        self.troubles.push((number, trouble, scope, now));
        self.hung |= trouble == Trouble::Hang && scope.is_all();
        self.set_rate(now);
    }

    /// A trouble ends.
    pub fn end(&mut self, now: Micros, number: u32, out: &mut Vec<Output>) {
        self.catch_up(now, out);
        self.troubles.retain(|(n, ..)| *n != number);
        self.hung = self
            .troubles
            .iter()
            .any(|(_, t, scope, _)| *t == Trouble::Hang && scope.is_all());
        self.set_rate(now);
        self.begin_what_waits(out);
    }

    // ---- What follows ----

    /// Lets everything that was due up to now happen at its own time.
    fn catch_up(&mut self, now: Micros, out: &mut Vec<Output>) {
        while let Some(due) = self.wake_at().filter(|due| *due <= now) {
            self.advance(due);
            self.finish_what_is_done(out);
            self.turn(due);
            self.set_rate(due);
        }
        self.advance(now);
    }

    fn advance(&mut self, now: Micros) {
        self.take_snapshots(now);
        let passed = now.saturating_sub(self.at) as f64;
        if passed > 0.0 && self.is_up() && !self.hung {
            self.work_clock += passed * self.rate;
            self.use_clock += passed;
            self.done.busy += passed * self.running.len() as f64;
        }
        self.at = self.at.max(now);
    }

    fn finish_what_is_done(&mut self, out: &mut Vec<Output>) {
        while let Some(next) = self.running.last()
            && next.done_at - self.work_clock <= NOTHING
            && !self.hung
        {
            let Some(done) = self.running.pop() else {
                break;
            };
            self.serving -= u32::from(matches!(done.task, Task::Request(_)));
            self.finish(done, out);
        }
        self.begin_what_waits(out);
        self.note_held(self.at);
        self.note_drained(out);
    }

    fn finish(&mut self, done: Running, out: &mut Vec<Output>) {
        let job = match done.task {
            Task::Request(job) => job,
            Task::Handshake(tag) => return out.push(Output::Connected(tag)),
            Task::Chore(_) => return,
        };
        let used = self.use_clock - done.begun;
        self.held -= 1;
        let repeated = done.known
            || job
                .once
                .is_some_and(|(once, window)| !self.repeats().takes_effect(self.at, once, window));
        if repeated {
            self.done.repeated += 1
        } else {
            self.done.executed += 1
        };
        out.push(Output::Ran {
            tag: job.tag,
            repeated,
        });
        if let Some(key) = job.key {
            self.remember(key);
        }
        if done.given_up {
            self.done.wasted += used;
            return;
        }
        let lost = self.share(&job, |t| {
            if let Trouble::LostAnswers(share) = t {
                share
            } else {
                0.0
            }
        });
        let spoilt = self.share(&job, |t| {
            if let Trouble::SpoiltAnswers(share) = t {
                share
            } else {
                0.0
            }
        });
        let luck = if lost + spoilt > 0.0 {
            self.random.random::<f64>()
        } else {
            1.0
        };
        if luck < lost {
            self.done.wasted += used;
            out.push(Output::Broken(job.tag));
        } else if luck < lost + spoilt {
            self.done.wasted += used;
            out.push(Output::Answered(job.tag, Answer::Spoilt));
        } else {
            out.push(Output::Answered(job.tag, Answer::Ok));
        }
    }

    fn begin_what_waits(&mut self, out: &mut Vec<Output>) {
        while self.running.len() < self.spec.kind.cores as usize && !self.hung {
            let Some(Waiting { task, given_up }) = self.waiting.pop_front() else {
                return;
            };
            let mut left = self.price(&task);
            let mut known = false;
            if let Task::Request(job) = &task {
                known = job
                    .once
                    .is_some_and(|(once, _)| self.repeats().knows(self.at, once));
                if known {
                    left = 0.0;
                }
            }
            let done_at = self.work_clock + left;
            let running = Running {
                task,
                done_at,
                begun: self.use_clock,
                given_up,
                known,
            };
            if left <= NOTHING {
                self.finish(running, out);
            } else {
                self.serving += u32::from(matches!(task, Task::Request(_)));
                // Of those done at one instant the one begun first comes first.
                let place = self.running.partition_point(|r| r.done_at > done_at);
                self.running.insert(place, running);
            }
        }
    }

    /// Whether one more request finds a core or a place to wait.
    fn room(&self) -> bool {
        let waits = self.held - self.serving;
        let free = self.running.len() < self.spec.kind.cores as usize
            && self.waiting.is_empty()
            && !self.hung;
        free || waits < self.spec.kind.queue
    }

    /// What a task costs if it is begun now.
    fn price(&self, task: &Task) -> f64 {
        match task {
            Task::Handshake(_) => self.spec.kind.handshake.micros() as f64,
            Task::Chore(work) => *work,
            Task::Request(job) => {
                let slow = self
                    .troubles
                    .iter()
                    .filter(|(.., scope, _)| scope.holds(job));
                let slow = slow.map(|(_, t, ..)| {
                    if let Trouble::Slow(times) = *t {
                        times
                    } else {
                        1.0
                    }
                });
                let warm = job.key.is_some_and(|key| self.remembers(key));
                let part = if warm {
                    self.spec.kind.warm_key_work
                } else {
                    1.0
                };
                job.work * part * slow.product::<f64>()
            }
        }
    }

    fn repeats(&self) -> std::sync::MutexGuard<'_, Repeats> {
        // Plain data: a thread that died holding it left nothing half done.
        self.repeats.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn remembers(&self, key: u64) -> bool {
        let long = self.spec.kind.warm_key_for.micros();
        self.keys.get(&key).is_some_and(|met| self.at < met + long)
    }

    fn remember(&mut self, key: u64) {
        if self.spec.kind.warm_key_work >= 1.0 || self.spec.kind.warm_keys == 0 {
            return;
        }
        self.keys.insert(key, self.at);
        self.key_order.push_back((self.at, key));
        let long = self.spec.kind.warm_key_for.micros();
        // Of a key met again only the last meeting counts; the line may hold a few older ones besides.
        while let Some((met, old)) = self.key_order.front().copied() {
            let last = self.keys.get(&old) == Some(&met);
            let past = met + long <= self.at || self.keys.len() > self.spec.kind.warm_keys as usize;
            if last && !past {
                break;
            }
            self.key_order.pop_front();
            if last {
                self.keys.remove(&old);
            }
        }
        if self.key_order.len() > 8 * self.spec.kind.warm_keys as usize {
            let keys = &self.keys;
            self.key_order
                .retain(|(met, key)| keys.get(key) == Some(met));
        }
    }

    fn share(&self, job: &Job, of: impl Fn(Trouble) -> f64) -> f64 {
        self.troubles
            .iter()
            .filter(|(.., scope, _)| scope.holds(job))
            .map(|(_, t, ..)| of(*t))
            .sum()
    }

    /// The share of requests that fail at once: of those like this one, or of all.
    fn failing(&self, job: Option<&Job>) -> f64 {
        let mut pass = 1.0 - self.spec.kind.error_rate;
        for (_, trouble, scope, _) in &self.troubles {
            if let Trouble::FastErrors(share) = trouble
                && job.is_none_or(|job| scope.holds(job))
            {
                pass *= 1.0 - share;
            }
        }
        1.0 - pass
    }

    // ---- How fast it is ----

    /// The part of its capacity that it has by its age.
    fn warmth(&self, now: Micros) -> f64 {
        let Some(started) = self.started else {
            return 1.0;
        };
        let (cold, age) = (self.spec.kind.cold.micros(), now.saturating_sub(started));
        if age >= cold {
            1.0
        } else {
            self.spec.kind.cold_from + (1.0 - self.spec.kind.cold_from) * age as f64 / cold as f64
        }
    }

    fn set_rate(&mut self, now: Micros) {
        let mut rate = if self.hung {
            0.0
        } else {
            self.spec.speed * self.warmth(now)
        };
        if self.crowded {
            rate /= self.spec.kind.crowded_slower.max(1.0);
        }
        for (_, trouble, _, since) in &self.troubles {
            if let Trouble::Neighbour(takes, every) = *trouble
                && (every == 0
                    || (now.saturating_sub(*since) / (every / 2).max(SHORTEST_TURN))
                        .is_multiple_of(2))
            {
                rate *= (1.0 - takes).max(0.01);
            }
        }
        self.rate = rate;
        if self
            .started
            .is_some_and(|at| now >= at + self.spec.kind.cold.micros())
        {
            self.started = None;
            self.cold_log.clear();
            self.cold_sum = 0.0;
        }
    }

    /// Crowding and recovery begin to count as soon as what is held passes their thresholds.
    fn note_held(&mut self, now: Micros) {
        let kind = &self.spec.kind;
        if kind.crowded_at <= 0.0 {
            return;
        }
        let a_core = f64::from(self.held) / f64::from(kind.cores.max(1));
        let turns = if self.crowded {
            a_core < kind.crowded_until
        } else {
            a_core > kind.crowded_at
        };
        self.turning_since = if turns {
            self.turning_since.or(Some(now))
        } else {
            None
        };
    }

    fn turn(&mut self, now: Micros) {
        let kind = &self.spec.kind;
        let after = if self.crowded {
            kind.crowded_rest
        } else {
            kind.crowded_after
        };
        if self
            .turning_since
            .is_some_and(|since| now >= since + after.micros().max(1))
        {
            self.crowded = !self.crowded;
            self.turning_since = None;
            self.note_held(now);
        }
    }

    /// Whether a cold server falls over by this: it got more within `fall` than its multiple bears. What it turns
    /// away counts too.
    fn pushed_over(&mut self, now: Micros, job: &Job, out: &mut Vec<Output>) -> bool {
        let fall = self.spec.fall;
        if self.started.is_none() || fall == 0 || self.spec.kind.cold_from >= 1.0 {
            return false;
        }
        self.cold_log.push_back((now, job.work));
        self.cold_sum += job.work;
        while let Some((_, work)) = self
            .cold_log
            .front()
            .filter(|(at, _)| at + fall < now)
            .copied()
        {
            self.cold_log.pop_front();
            self.cold_sum -= work;
        }
        let capacity = self.spec.speed * self.warmth(now) * f64::from(self.spec.kind.cores);
        let bears =
            self.spec.fall_multiple * capacity * fall as f64 + FALL_SLACK * self.spec.mean_work;
        let falls = self.cold_sum > bears;
        if falls {
            out.push(Output::Broken(job.tag));
            self.stop(now, false, out);
            out.push(Output::Fell);
        }
        falls
    }

    fn note_drained(&mut self, out: &mut Vec<Output>) {
        if self.life == Life::Draining
            && self.held == 0
            && !std::mem::replace(&mut self.drained, true)
        {
            out.push(Output::Drained);
        }
    }

    /// Refreshes that were due since the last call: nothing changed in between, so all are told the same.
    fn take_snapshots(&mut self, now: Micros) {
        let every = self.spec.kind.report_every.micros();
        if every == 0 || !self.is_up() || now < self.next_snapshot {
            return;
        }
        let stuck = self
            .troubles
            .iter()
            .any(|(_, t, ..)| *t == Trouble::StuckReports);
        let errors = f64::from(std::mem::take(&mut self.errors)) * 1e6 / every as f64;
        let due = (now - self.next_snapshot) / every;
        if !stuck || self.snapshots.is_empty() {
            let first = due.saturating_sub(SNAPSHOTS as u64 - 1);
            for number in first..=due {
                let errors = if number == 0 { errors } else { 0.0 };
                let report = LoadReport {
                    in_flight: f64::from(self.held),
                    errors_per_second: errors,
                };
                self.snapshots
                    .push_back((self.next_snapshot + number * every, report));
            }
            while self.snapshots.len() > SNAPSHOTS {
                self.snapshots.pop_front();
            }
        }
        self.next_snapshot += (due + 1) * every;
    }
}
