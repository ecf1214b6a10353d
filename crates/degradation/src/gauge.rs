//! The signals of a service, counted from what becomes of its requests and attempts.
//!
//! Counts are kept in steps of [`STEP`]. A share is that of the last [`SPAN`], or where that holds few counts, of a
//! longer time: of up to [`LONGEST`]. With fewer counts than [`FEWEST`] in all that time there is no share: nothing was
//! measured lately.
//!
//! What a level itself turns away is in none of the counts, and neither is a client that left before its time was up:
//! else a level would keep itself up by what it does.

use crate::{Micros, Signal, Signals};
use madderloom_balancer::{Closed, Outcome};
use std::collections::VecDeque;

/// The steps in which counts are kept, in microseconds.
pub const STEP: Micros = 250_000;
/// A share is that of this time, in microseconds...
pub const SPAN: Micros = 2_000_000;
/// ...or where it holds fewer counts than this, of a longer time...
pub const ENOUGH: u32 = 30;
/// ...of up to this, in microseconds...
pub const LONGEST: Micros = 15_000_000;
/// ...where there are so many counts at least.
pub const FEWEST: u32 = 15;

/// How a request ended, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Served within its aim.
    InTime,
    /// Served past its aim, or given up for want of time.
    Late,
    /// Refused before that.
    Refused,
    /// Failed before that.
    Failed,
}

impl End {
    /// How a request ended that was served after this time.
    pub fn served(elapsed: Micros, aim: Micros) -> Self {
        if elapsed <= aim {
            End::InTime
        } else {
            End::Late
        }
    }

    /// How a request ended whose client left: it says nothing where that was before its time was up.
    pub fn left(elapsed: Micros, aim: Micros) -> Option<Self> {
        Some(End::unserved(elapsed, aim, false)).filter(|end| *end == End::Late)
    }

    /// How a request ended that was not served. Where nothing is earned past the aim, a module gives up a little
    /// before it: that is lateness, not a refusal.
    pub fn unserved(elapsed: Micros, aim: Micros, refused: bool) -> Self {
        if elapsed >= aim - aim / 16 {
            End::Late
        } else if refused {
            End::Refused
        } else {
            End::Failed
        }
    }
}

/// What is known of a service besides its counts. What is none is not known.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outside {
    /// The share of its servers that fails. It counts only where attempts ended lately: silence is no health.
    pub failing: Option<f64>,
    /// Open requests, of those that the limits allow.
    pub open: Option<f64>,
    /// Processor time that the one thread used lately, of all it could.
    pub cpu: Option<f64>,
    /// How old the server list is.
    pub list_age: Option<Micros>,
}

#[derive(Clone)]
struct Step {
    number: u64,
    /// By class: in time, late, refused, failed.
    ends: Vec<[u32; 4]>,
    attempts: u32,
    retries: u32,
    unknown: u32,
}

/// The counts of a service.
pub struct Gauge {
    classes: Vec<String>,
    /// The newest last.
    steps: VecDeque<Step>,
}

impl Gauge {
    /// Counts of nothing, for classes of these names.
    pub fn new(classes: Vec<String>) -> Self {
        Gauge {
            classes,
            steps: VecDeque::new(),
        }
    }

    /// The step that holds now.
    fn step(&mut self, now: Micros) -> Option<&mut Step> {
        let number = now / STEP;
        if self.steps.back().is_none_or(|last| last.number < number) {
            let ends = vec![[0; 4]; self.classes.len()];
            self.steps.push_back(Step {
                number,
                ends,
                attempts: 0,
                retries: 0,
                unknown: 0,
            });
            let oldest = number.saturating_sub(LONGEST / STEP);
            while self
                .steps
                .front()
                .is_some_and(|first| first.number <= oldest)
            {
                self.steps.pop_front();
            }
        }
        self.steps.back_mut()
    }

    /// A request of this class, by its place, has ended.
    pub fn ended(&mut self, now: Micros, class: usize, end: End) {
        let ends = self.step(now).and_then(|step| step.ends.get_mut(class));
        if let Some(ends) = ends {
            ends[end as usize] += 1;
        }
    }

    /// An attempt has ended.
    pub fn closed(&mut self, now: Micros, closed: &Closed) {
        // What was never sent, or called off, tells nothing.
        if matches!(closed.outcome, Outcome::Moot | Outcome::Cancelled) {
            return;
        }
        if let Some(step) = self.step(now) {
            step.attempts += 1;
            step.retries += u32::from(closed.attempt > 0);
            let known = closed.outcome == Outcome::Ok || closed.outcome.proves_not_run();
            step.unknown += u32::from(!known);
        }
    }

    /// The share that one count is of another, lately.
    fn share(&self, now: Micros, count: impl Fn(&Step) -> (u32, u32)) -> Option<f64> {
        let number = now / STEP;
        let (mut part, mut whole) = (0, 0);
        for step in self.steps.iter().rev() {
            let age = number.saturating_sub(step.number) * STEP;
            if age >= LONGEST || (age >= SPAN && whole >= ENOUGH) {
                break;
            }
            let (more, of) = count(step);
            part += more;
            whole += of;
        }
        (whole >= FEWEST).then(|| f64::from(part) / f64::from(whole))
    }

    /// The signals as they are now.
    pub fn signals(&self, now: Micros, outside: &Outside) -> Signals {
        let mut signals = Signals::default();
        let mut set = |signal: Signal, value: Option<f64>| {
            if let Some(value) = value {
                signals.set(signal, value);
            }
        };
        let all = |step: &Step| {
            let add = |sum: [u32; 4], ends: &[u32; 4]| std::array::from_fn(|at| sum[at] + ends[at]);
            step.ends.iter().fold([0; 4], add)
        };
        let mut ends = |class: Option<(usize, &String)>| {
            let of = |step: &Step| class.map_or_else(|| all(step), |(at, _)| step.ends[at]);
            let name = class.map(|(_, name)| name.clone());
            let whole = |ends: &[u32; 4]| ends.iter().sum::<u32>();
            let goodput = self.share(now, |step| (of(step)[0], whole(&of(step))));
            let refused = self.share(now, |step| (of(step)[2], whole(&of(step))));
            let lateness = self.share(now, |step| (of(step)[1], of(step)[0] + of(step)[1]));
            set(Signal::Goodput(name.clone()), goodput);
            set(Signal::Refused(name.clone()), refused);
            set(Signal::Lateness(name), lateness);
        };
        ends(None);
        self.classes
            .iter()
            .enumerate()
            .for_each(|class| ends(Some(class)));
        let unknown = self.share(now, |step| (step.unknown, step.attempts));
        set(Signal::Unknown, unknown);
        set(
            Signal::Retries,
            self.share(now, |step| (step.retries, step.attempts)),
        );
        set(
            Signal::FailingServers,
            outside.failing.filter(|_| unknown.is_some()),
        );
        set(Signal::Open, outside.open.map(|open| open.clamp(0.0, 1.0)));
        set(Signal::Cpu, outside.cpu.map(|cpu| cpu.clamp(0.0, 1.0)));
        set(Signal::ListAge, outside.list_age.map(|age| age as f64));
        signals
    }
}
