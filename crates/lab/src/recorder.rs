//! The recorder: counts what becomes of requests and makes the [`Run`] of it. Both drivers keep one.

use crate::experiment::{Arm, Experiment};
use crate::judge::Verdict;
use crate::model::clients::{Ask, End};
use crate::model::faults;
use crate::model::server::Done;
use crate::record::{Run, ServerTally, Tally, Window};
use crate::world::World;
use hdrhistogram::Histogram;
use madderloom_balancer::{Micros, Outcome};
use madderloom_config_reader::Span;
use std::collections::BTreeMap;

/// The outcomes in the order in which they are counted, as results name them.
const OUTCOMES: [&str; 8] = [
    "ok",
    "error",
    "full",
    "timeout",
    "connect_failed",
    "reset",
    "cancelled",
    "moot",
];

/// Goodput of before that counts as recovered.
const RECOVERED: f64 = 0.95;

/// Windows over which goodput must be back: one alone may be luck.
const STEADY: usize = 3;

/// The longest latency that histograms tell apart, in microseconds.
const LONGEST: u64 = 3_600_000_000;

struct ClassCount {
    aim: Micros,
    worth: f64,
    late_worth: f64,
    tally: Tally,
    outcomes: [u64; 8],
    latency: Histogram<u64>,
}

#[derive(Clone, Default)]
struct Step {
    worth: f64,
    earned: f64,
    /// By class: asked, and in time.
    classes: Vec<(u64, u64)>,
    latency: (u64, u64, u64),
    attempts: u64,
    load: Vec<f32>,
}

/// Counts one run.
pub struct Recorder {
    run: Run,
    names: Vec<String>,
    warmup: Micros,
    window: Micros,
    duration: Micros,
    classes: Vec<ClassCount>,
    steps: Vec<Step>,
    /// Latencies of the window that lasts.
    recent: Histogram<u64>,
    ended_steps: usize,
    servers: Vec<ServerTally>,
    cores: Vec<f64>,
    busy: Vec<f64>,
    server_names: Vec<String>,
    probes: u64,
    faults: Option<(Micros, Micros)>,
}

fn histogram() -> Histogram<u64> {
    // Three digits over any range that a run can have.
    Histogram::new_with_bounds(1, LONGEST, 3).expect("the bounds are sound")
}

impl Recorder {
    /// A recorder for an arm with a seed; `driver` is `virtual` or `sockets`.
    pub fn new(experiment: &Experiment, world: &World, arm: &Arm, seed: u64, driver: &str) -> Self {
        let class = |c: &crate::experiment::Class| ClassCount {
            aim: c.aim.micros(),
            worth: c.worth,
            late_worth: c.late_worth,
            tally: Tally::default(),
            outcomes: [0; 8],
            latency: histogram(),
        };
        let window = experiment.window.micros().max(1);
        let steps = experiment.duration.micros().div_ceil(window) as usize;
        let step = Step {
            classes: vec![(0, 0); experiment.classes.len()],
            ..Step::default()
        };
        let server = |place: &crate::world::ServerPlace| ServerTally {
            kind: experiment.servers[place.kind as usize].name.clone(),
            zone: experiment
                .network
                .zones
                .get(place.zone as usize)
                .cloned()
                .unwrap_or_default(),
            ..ServerTally::default()
        };
        Recorder {
            run: Run {
                experiment: experiment.name.clone(),
                arm: arm.name.clone(),
                seed,
                driver: driver.into(),
                ..Run::default()
            },
            names: experiment.classes.iter().map(|c| c.name.clone()).collect(),
            warmup: experiment.warmup.micros(),
            window,
            duration: experiment.duration.micros(),
            classes: experiment.classes.iter().map(class).collect(),
            steps: vec![step; steps],
            recent: histogram(),
            ended_steps: 0,
            servers: world.servers.iter().map(server).collect(),
            cores: world
                .servers
                .iter()
                .map(|s| f64::from(experiment.servers[s.kind as usize].cores.max(1)))
                .collect(),
            busy: vec![0.0; world.servers.len()],
            server_names: world.servers.iter().map(|s| s.name.clone()).collect(),
            probes: 0,
            faults: faults::bounds(experiment),
        }
    }

    /// The length of a window in microseconds.
    pub fn window_length(&self) -> Micros {
        self.window
    }

    fn counts(&self, due: Micros) -> bool {
        due >= self.warmup
    }

    fn step(&mut self, due: Micros) -> Option<&mut Step> {
        self.steps.get_mut((due / self.window) as usize)
    }

    /// A client's request is due.
    pub fn asked(&mut self, ask: &Ask) {
        let class = ask.class as usize;
        let worth = self.classes[class].worth;
        if let Some(step) = self.step(ask.due) {
            step.worth += worth;
            step.classes[class].0 += 1;
        }
        if self.counts(ask.due) {
            self.classes[class].tally.asked += 1;
            self.classes[class].tally.worth += worth;
        }
    }

    /// A try of it begins.
    pub fn tried(&mut self, ask: &Ask) {
        if self.counts(ask.due) {
            self.classes[ask.class as usize].tally.tries += 1;
        }
    }

    /// An attempt is sent, by an instance of another zone than the server's or of the same.
    pub fn sent(&mut self, now: Micros, due: Micros, class: u32, crosses: bool) {
        if let Some(step) = self.step(now) {
            step.attempts += 1;
        }
        if self.counts(due) {
            let tally = &mut self.classes[class as usize].tally;
            tally.attempts += 1;
            tally.crossed += u64::from(crosses);
        }
    }

    /// An attempt is over.
    pub fn closed(&mut self, due: Micros, class: u32, outcome: Outcome) {
        if self.counts(due) {
            self.classes[class as usize].outcomes[outcome as usize] += 1;
        }
    }

    /// A server is probed.
    pub fn probed(&mut self, now: Micros) {
        self.probes += u64::from(self.counts(now));
    }

    /// A client's request is over, after all of its tries.
    pub fn ended(&mut self, now: Micros, ask: &Ask, how: End) {
        let took = now.saturating_sub(ask.due);
        let (class, counts) = (ask.class as usize, self.counts(ask.due));
        let in_time = how == End::Served && took <= self.classes[class].aim;
        let count = &mut self.classes[class];
        let earned = match how {
            End::Served if in_time => count.worth,
            End::Served => count.worth * count.late_worth,
            _ => 0.0,
        };
        if counts {
            let tally = &mut count.tally;
            tally.earned += earned;
            *match how {
                End::Served if in_time => &mut tally.in_time,
                End::Served => &mut tally.late,
                End::Refused(_) => &mut tally.refused,
                End::Left => &mut tally.left,
                End::Failed | End::Unreachable | End::TimedOut => &mut tally.failed,
            } += 1;
            if how == End::Served {
                tally.latency.sum += took;
                count.latency.saturating_record(took);
            }
        }
        if how == End::Served {
            self.recent.saturating_record(took);
        }
        if let Some(step) = self.step(ask.due) {
            step.earned += earned;
            step.classes[class].1 += u64::from(in_time);
        }
    }

    /// A window has ended; what each server has done up to now.
    pub fn end_window(&mut self, done: impl Iterator<Item = Done>) {
        let (recent, window) = (&self.recent, self.window as f64);
        let latency = (
            recent.value_at_quantile(0.5),
            recent.value_at_quantile(0.9),
            recent.value_at_quantile(0.99),
        );
        let (busy, cores) = (&mut self.busy, &self.cores);
        let load = done.zip(busy).zip(cores).map(|((done, before), cores)| {
            let used = done.busy - std::mem::replace(before, done.busy);
            (used / (window * cores)) as f32
        });
        let load = load.collect();
        if let Some(step) = self.steps.get_mut(self.ended_steps) {
            (step.latency, step.load) = (latency, load);
        }
        self.ended_steps += 1;
        self.recent.reset();
    }

    /// The record of the run. `done` is what each server did in all.
    pub fn finish(
        mut self,
        done: impl Iterator<Item = Done>,
        verdict: Verdict,
        void: Option<String>,
    ) -> Run {
        self.run.void = void.or(verdict
            .wrong
            .map(|wrong| format!("the lab lost count: {wrong}")));
        let mut total = Tally::default();
        let mut latency = histogram();
        for (name, mut class) in self.names.iter().zip(self.classes) {
            class.tally.outcomes = by_name(&class.outcomes);
            class.tally.latency.buckets = buckets(&class.latency);
            // Both have the same bounds.
            latency
                .add(&class.latency)
                .expect("the histograms are alike");
            add(&mut total, &class.tally);
            self.run.classes.insert(name.clone(), class.tally);
        }
        total.latency.buckets = buckets(&latency);
        total.probes = self.probes;
        self.run.total = total;
        for ((tally, name), done) in self.servers.iter_mut().zip(&self.server_names).zip(done) {
            tally.attempts = done.reached;
            tally.executed = done.executed;
            tally.repeated = done.repeated;
            tally.turned_away = done.turned_away;
            tally.connections = done.connections;
            tally.busy = done.busy.round() as u64;
            tally.wasted = done.wasted.round() as u64;
            self.run.servers.insert(name.clone(), tally.clone());
        }
        // Results name servers in the order of their names, and loads go by that order.
        let mut order: Vec<usize> = (0..self.server_names.len()).collect();
        order.sort_by(|a, b| self.server_names[*a].cmp(&self.server_names[*b]));
        self.run.recovery = recovery(
            &self.steps,
            self.window,
            self.warmup,
            self.duration,
            self.faults,
        );
        let names = &self.names;
        let whole = if self.run.void.is_some() {
            self.ended_steps
        } else {
            self.steps.len()
        };
        let windows = self.steps.into_iter().take(whole).map(|step| Window {
            worth: step.worth,
            earned: step.earned,
            classes: names
                .iter()
                .cloned()
                .zip(step.classes)
                .collect::<BTreeMap<_, _>>(),
            latency: step.latency,
            attempts: step.attempts,
            load: order
                .iter()
                .filter_map(|at| step.load.get(*at).copied())
                .collect(),
        });
        self.run.windows = windows.collect();
        self.run.broken = verdict.broken;
        self.run.breaches = verdict.counts;
        self.run
    }
}

fn by_name(outcomes: &[u64; 8]) -> BTreeMap<String, u64> {
    let seen = OUTCOMES
        .iter()
        .zip(outcomes)
        .filter(|(_, count)| **count > 0);
    seen.map(|(name, count)| (name.to_string(), *count))
        .collect()
}

fn buckets(latency: &Histogram<u64>) -> Vec<(u64, u64)> {
    latency
        .iter_recorded()
        .map(|v| (v.value_iterated_to(), v.count_since_last_iteration()))
        .collect()
}

fn add(total: &mut Tally, class: &Tally) {
    total.asked += class.asked;
    total.tries += class.tries;
    total.worth += class.worth;
    total.earned += class.earned;
    total.in_time += class.in_time;
    total.late += class.late;
    total.refused += class.refused;
    total.failed += class.failed;
    total.left += class.left;
    total.attempts += class.attempts;
    total.crossed += class.crossed;
    total.latency.sum += class.latency.sum;
    for (name, count) in &class.outcomes {
        *total.outcomes.entry(name.clone()).or_default() += count;
    }
}

/// The time from the end of the last fault until goodput, over a few windows, is back at what it was before the
/// first. None where nothing was asked before or after, or it never was.
fn recovery(
    steps: &[Step],
    window: Micros,
    warmup: Micros,
    duration: Micros,
    faults: Option<(Micros, Micros)>,
) -> Option<Span> {
    let (first, last) = faults?;
    let goodput = |steps: &[Step]| {
        let (earned, worth) = steps
            .iter()
            .fold((0.0, 0.0), |sum, s| (sum.0 + s.earned, sum.1 + s.worth));
        (worth > 0.0).then(|| earned / worth)
    };
    let place = |at: Micros| (at.div_ceil(window) as usize).min(steps.len());
    let before = goodput(steps.get(place(warmup)..(first / window) as usize)?)?;
    for at in place(last)..steps.len() {
        let end = (at + STEADY).min(steps.len());
        if goodput(&steps[at..end]).is_some_and(|now| now >= RECOVERED * before) {
            return Some(Span(
                (at as u64 * window).min(duration).saturating_sub(last),
            ));
        }
    }
    None
}
