//! Clients: when their requests come, what they are, and what they do when they are not served.
//!
//! What a client asks for is drawn ahead of what becomes of it, in the order of its number, so that every arm meets
//! the same requests. A closed loop draws the same ones too; when they come then depends on the answers.

use crate::experiment::{Class, Distribution as Drawn, Effect, Experiment, Phase};
use crate::seeds::{Concern, Random, stream};
use madderloom_balancer::Micros;
use rand::RngExt;
use rand_distr::{Distribution, Exp1, LogNormal, Zipf};

/// A client that was refused or failed comes back no sooner than this: without it a closed loop would ask without
/// end at one instant.
const PAUSE: Micros = 1_000;

/// A line of a recorded arrival file.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Microseconds from the beginning of the run.
    pub at: Micros,
    /// The place of its class in the experiment.
    pub class: u32,
    /// Its key, if it has one.
    pub key: Option<u64>,
    /// Its work in microseconds of a standard core.
    pub work: f64,
}

/// Reads a recorded arrival file: a line for each, `MICROS CLASS KEY WORK`, in rising order of time; `-` for no key;
/// empty lines and those after `#` are skipped. Errors name the line.
pub fn read_arrivals(text: &str, classes: &[Class]) -> Result<Vec<Arrival>, String> {
    let mut arrivals = Vec::new();
    let mut last = 0;
    for (number, line) in (1..).zip(text.lines()) {
        let line = line.split('#').next().unwrap_or("").trim();
        if line.is_empty() {
            continue;
        }
        let problem = |what: String| format!("line {number}: {what}");
        let fields: Vec<&str> = line.split_ascii_whitespace().collect();
        let [at, class, key, work] = fields[..] else {
            return Err(problem(format!(
                "has {} fields; wanted are MICROS CLASS KEY WORK",
                fields.len()
            )));
        };
        let number_of = |text: &str, name: &str| {
            text.parse::<u64>()
                .map_err(|_| problem(format!("{name} {text:?} is no whole number")))
        };
        let at = number_of(at, "MICROS")?;
        if at < last {
            return Err(problem(format!(
                "{at} is before the line above; times must not fall"
            )));
        }
        last = at;
        let known = classes.iter().position(|c| c.name == class);
        let Some(class) = known else {
            return Err(problem(format!("there is no class {class:?}")));
        };
        let key = if key == "-" {
            None
        } else {
            Some(number_of(key, "KEY")?)
        };
        let work = number_of(work, "WORK")?.clamp(1, 1 << 40) as f64;
        arrivals.push(Arrival {
            at,
            class: class as u32,
            key,
            work,
        });
    }
    Ok(arrivals)
}

/// What a client asks for, once, whatever number of tries it takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ask {
    /// Asks are numbered from 0 in the order in which they are drawn.
    pub number: u64,
    /// When it is due: latency counts from here.
    pub due: Micros,
    /// The place of its class in the experiment.
    pub class: u32,
    /// The instance that its client is beside.
    pub instance: u32,
    /// Its key, if it has one.
    pub key: Option<u64>,
    /// Its work in microseconds of a standard core.
    pub work: f64,
    /// What its client says of that.
    pub hint: Option<Micros>,
    /// When its client gives up all tries.
    pub deadline: Micros,
    /// When its client leaves, where it does so before that.
    pub leaves: Option<Micros>,
    /// Whether its client waits as long as it is told.
    pub honours: bool,
}

/// How a try ended, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Served.
    Served,
    /// Refused: another try can do no harm. With how long to stay away, if that was said.
    Refused(Option<Micros>),
    /// Failed: it may have run.
    Failed,
    /// The instance was not there, or ended with the request.
    Unreachable,
    /// The client's time for this try ran out.
    TimedOut,
    /// The client has left.
    Left,
}

/// What a client does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// It is done.
    Done,
    /// It tries again.
    TryAgain(Micros),
}

/// All the clients of a run.
pub struct Clients {
    classes: Vec<Class>,
    spec: crate::experiment::Clients,
    duration: Micros,
    phases: Vec<Phase>,
    /// Of all phases and waves, the highest rate, in requests a microsecond, to thin from.
    highest: f64,
    shares: Vec<f64>,
    instances: Spread,
    works: Vec<Work>,
    keys: Option<Zipf<f64>>,
    hint: Option<LogNormal<f64>>,
    arrivals: Random,
    asks: Random,
    work: Random,
    clock: f64,
    recorded: std::sync::Arc<Vec<Arrival>>,
    next: u64,
}

enum Work {
    Fixed(f64),
    Exponential(f64),
    Lognormal(LogNormal<f64>),
}

impl Work {
    fn of(class: &Class) -> Self {
        let mean = class.work.micros().max(1) as f64;
        match (class.dist, LogNormal::from_mean_cv(mean, class.cv)) {
            (Drawn::Exponential, _) => Work::Exponential(mean),
            (Drawn::Lognormal, Ok(law)) if class.cv > 0.0 => Work::Lognormal(law),
            _ => Work::Fixed(mean),
        }
    }

    fn draw(&self, random: &mut Random) -> f64 {
        match self {
            Work::Fixed(mean) => *mean,
            Work::Exponential(mean) => mean * <Exp1 as Distribution<f64>>::sample(&Exp1, random),
            Work::Lognormal(law) => law.sample(random),
        }
    }
}

/// How the load is spread over instances.
enum Spread {
    Even(u32),
    Skewed(Vec<f64>),
}

impl Spread {
    fn draw(&self, random: &mut Random) -> u32 {
        match self {
            Spread::Even(count) => random.random_range(0..*count),
            Spread::Skewed(sums) => place(sums, random),
        }
    }
}

fn sums(weights: impl Iterator<Item = f64>) -> Vec<f64> {
    weights
        .scan(0.0, |sum, w| {
            *sum += w.max(0.0);
            Some(*sum)
        })
        .collect()
}

fn place(sums: &[f64], random: &mut Random) -> u32 {
    let at = random.random::<f64>() * sums.last().copied().unwrap_or(0.0);
    sums.partition_point(|sum| *sum <= at)
        .min(sums.len().saturating_sub(1)) as u32
}

impl Clients {
    /// The clients of an experiment with this seed.
    pub fn new(experiment: &Experiment, seed: u64) -> Self {
        let spec = &experiment.clients;
        let instances = experiment.instances.count.max(1);
        let skew = experiment.instances.skew;
        let end = experiment.duration.micros();
        let highest = |p: &Phase| p.rate.max(p.rate_to) * (1.0 + p.wave.abs());
        let highest = experiment
            .phases
            .iter()
            .map(highest)
            .fold(spec.rate, f64::max)
            / 1e6;
        Clients {
            classes: experiment.classes.clone(),
            spec: spec.clone(),
            duration: end,
            phases: experiment.phases.clone(),
            highest,
            shares: sums(experiment.classes.iter().map(|c| c.share)),
            instances: if skew > 0.0 {
                Spread::Skewed(sums(
                    (1..=instances).map(|rank| f64::from(rank).powf(-skew)),
                ))
            } else {
                Spread::Even(instances)
            },
            works: experiment.classes.iter().map(Work::of).collect(),
            keys: Zipf::new(f64::from(spec.keys), spec.key_skew.max(0.0))
                .ok()
                .filter(|_| spec.keys > 0),
            hint: spec
                .hint_noise
                .and_then(|noise| LogNormal::from_mean_cv(1.0, noise.max(0.0)).ok()),
            arrivals: stream(seed, Concern::Arrivals, 0),
            asks: stream(seed, Concern::Asks, 0),
            work: stream(seed, Concern::Works, 0),
            clock: 0.0,
            recorded: spec.recorded.clone(),
            next: 0,
        }
    }

    /// The next request of an open loop or a recording; none once the day is over.
    pub fn arrive(&mut self) -> Option<Ask> {
        if self.spec.outstanding > 0 || self.classes.is_empty() {
            return None;
        }
        if !self.recorded.is_empty() {
            let arrival = *self
                .recorded
                .get(self.next as usize)
                .filter(|a| a.at < self.duration)?;
            return Some(self.draw(arrival.at, Some(arrival)));
        }
        if self.highest <= 0.0 {
            return None;
        }
        // Thinning (Lewis and Shedler 1979): drawn at the highest rate, kept by the rate of the moment.
        loop {
            let gap: f64 = Exp1.sample(&mut self.arrivals);
            self.clock += gap / self.highest;
            if self.clock >= self.duration as f64 {
                return None;
            }
            let rate = self.rate(self.clock as Micros) / 1e6;
            if rate >= self.highest || self.arrivals.random::<f64>() * self.highest < rate {
                return Some(self.draw(self.clock as Micros, None));
            }
        }
    }

    /// The requests that a closed loop begins with.
    pub fn begin(&mut self) -> Vec<Ask> {
        let count = if self.classes.is_empty() {
            0
        } else {
            self.spec.outstanding
        };
        (0..count).map(|_| self.draw(0, None)).collect()
    }

    /// The request that follows in a closed loop on one that is done; none in an open loop or after the day.
    pub fn follow(&mut self, now: Micros, served: bool) -> Option<Ask> {
        let due = if served { now } else { now + PAUSE };
        (self.spec.outstanding > 0 && due < self.duration).then(|| self.draw(due, None))
    }

    /// Requests a second that are wanted at a time of the day.
    pub fn rate(&self, now: Micros) -> f64 {
        let Some(at) = self.phases.iter().rposition(|p| p.from.micros() <= now) else {
            return self.spec.rate;
        };
        let phase = &self.phases[at];
        let (from, to) = (phase.from.micros(), phase.to.micros());
        let next = self
            .phases
            .get(at + 1)
            .map_or(self.duration, |next| next.from.micros());
        let to = if to > 0 { to } else { next };
        if now >= to {
            return self.spec.rate;
        }
        let end = if phase.rate_to > 0.0 {
            phase.rate_to
        } else {
            phase.rate
        };
        let part = (now - from) as f64 / (to - from).max(1) as f64;
        let turn = (now - from) as f64 / phase.wave_every.micros().max(1) as f64;
        let wave = if phase.wave == 0.0 || phase.wave_every.micros() == 0 {
            0.0
        } else {
            phase.wave * (turn * std::f64::consts::TAU).sin()
        };
        ((phase.rate + (end - phase.rate) * part) * (1.0 + wave)).max(0.0)
    }

    fn draw(&mut self, due: Micros, recorded: Option<Arrival>) -> Ask {
        // Every figure is drawn for every ask, wanted or not, so that one setting does not move the others.
        let class = place(&self.shares, &mut self.asks);
        let instance = self.instances.draw(&mut self.asks);
        let key = self.keys.map(|keys| keys.sample(&mut self.asks) as u64);
        let honours = self.asks.random::<f64>() < self.spec.honour_retry_after;
        let leaves = self.asks.random::<f64>() < self.spec.impatient;
        let patience = self.asks.random::<f64>();
        let guess = self.hint.map(|hint| hint.sample(&mut self.asks));
        let class = recorded.map_or(class, |r| r.class);
        let work = self.works[class as usize].draw(&mut self.work);
        let work = recorded.map_or(work, |r| r.work).max(1.0);
        let waits = self.classes[class as usize].deadline.micros();
        let ask = Ask {
            number: self.next,
            due,
            class,
            instance,
            key: recorded.map_or(key, |r| r.key),
            work,
            hint: guess.map(|guess| (work * guess).round().max(1.0) as Micros),
            deadline: due + waits,
            leaves: leaves.then(|| due + (patience * waits as f64) as Micros),
            honours,
        };
        self.next += 1;
        ask
    }

    /// How long a client waits for a try that it begins now.
    pub fn time_left(&self, ask: &Ask, now: Micros) -> Micros {
        let waits = self.classes[ask.class as usize].deadline.micros();
        let share = (waits as f64 * self.spec.try_share.clamp(0.0, 1.0)) as Micros;
        ask.deadline.saturating_sub(now).min(share.max(1))
    }

    /// Whether tries after the first say so.
    pub fn marks_retry(&self) -> bool {
        self.spec.marks_retry
    }

    /// What a client does when its try has ended; `tries` counts that one too, `first` is when it was begun.
    ///
    /// After a refusal anybody may try again. What may have run, as it may where an instance was lost with it, is asked
    /// for again only if that does no harm: always where it is safe, within the window where repeats are known, else
    /// never.
    pub fn after(&self, ask: &Ask, now: Micros, end: End, tries: u32, first: Micros) -> Next {
        let class = &self.classes[ask.class as usize];
        let harmless = match (end, class.effect) {
            (End::Served | End::Left, _) => false,
            (End::Refused(_), _) | (_, Effect::Safe) => true,
            (_, Effect::Keyed) => now < first + class.window.micros(),
            (_, Effect::Unsafe) => false,
        };
        if !harmless || tries > self.spec.retries {
            return Next::Done;
        }
        let doublings = if self.spec.backoff_doubles {
            (tries - 1).min(20)
        } else {
            0
        };
        let backoff = self.spec.backoff.micros() << doublings;
        let told = match end {
            End::Refused(Some(stay_away)) if ask.honours => stay_away,
            _ => 0,
        };
        let again = now + backoff.max(told).max(PAUSE);
        let gone = ask.leaves.is_some_and(|leaves| leaves <= again);
        if again >= ask.deadline || gone {
            Next::Done
        } else {
            Next::TryAgain(again)
        }
    }
}
