//! Counters of requests and attempts over a sliding window, and the signals that follow from them.
//!
//! Counts are kept in slots of [`SLOT`]. A share is that of the last [`WINDOW`], or of a longer time, up to
//! [`MAX_WINDOW`], while that holds fewer than [`WINDOW_MIN_COUNT`] counts. With fewer than [`MIN_COUNT`] counts in all
//! that time there is no share: nothing was measured recently.
//!
//! Requests that a level rejected aren't counted, nor are clients that left within the latency objective; otherwise a
//! level would keep itself active by what it does.

use crate::{Micros, SECOND, Signal, Signals};
use madderloom_balancer::{AttemptResult, Outcome};
use std::collections::VecDeque;

/// Length of the slots that counts are kept in, in microseconds.
const SLOT: Micros = SECOND / 4;
/// The window that shares are measured over, in microseconds.
const WINDOW: Micros = 2 * SECOND;
/// The window is extended while it holds fewer counts than this.
const WINDOW_MIN_COUNT: u32 = 30;
/// The longest window, in microseconds.
pub const MAX_WINDOW: Micros = 15 * SECOND;
/// The longest window holds at least so many counts, or there is no share.
pub const MIN_COUNT: u32 = 15;
/// A request that ended unserved within one such part of the latency objective before it counts as late: the decision
/// module gives up a little before the objective.
const LATE_MARGIN_PARTS: Micros = 16;

/// How a request ended, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// Served within its latency objective.
    WithinObjective,
    /// Served after its latency objective, or given up for want of time.
    Late,
    /// Rejected before that.
    Rejected,
    /// Failed before that.
    Failed,
}

impl RequestEnd {
    /// How a request ended that was served after this time.
    pub fn served(elapsed: Micros, latency_objective: Micros) -> Self {
        if elapsed <= latency_objective {
            RequestEnd::WithinObjective
        } else {
            RequestEnd::Late
        }
    }

    /// How a request ended whose client left; `None` if it left in time, which tells nothing about the service.
    pub fn abandoned(elapsed: Micros, latency_objective: Micros) -> Option<Self> {
        let end = RequestEnd::unserved(elapsed, latency_objective, false);
        (end == RequestEnd::Late).then_some(end)
    }

    /// How a request ended that was not served: rejected or failed, or late if it ended close to its latency objective.
    pub fn unserved(elapsed: Micros, latency_objective: Micros, was_rejected: bool) -> Self {
        let late_from = latency_objective - latency_objective / LATE_MARGIN_PARTS;
        if elapsed >= late_from {
            RequestEnd::Late
        } else if was_rejected {
            RequestEnd::Rejected
        } else {
            RequestEnd::Failed
        }
    }
}

/// Signals that are measured elsewhere. `None` stands for unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ExternalSignals {
    /// Share of failing servers. It is used only while attempts end, since without any it says nothing.
    pub failing_servers: Option<f64>,
    /// Open requests relative to their limit.
    pub open_requests: Option<f64>,
    /// Share of processor time that the serving thread used.
    pub cpu: Option<f64>,
    /// Age of the server list, in microseconds.
    pub list_age: Option<Micros>,
}

/// Requests that ended, by how.
#[derive(Clone, Copy, Default)]
struct EndCounts {
    within_objective: u32,
    late: u32,
    rejected: u32,
    failed: u32,
}

impl EndCounts {
    fn count(&mut self, end: RequestEnd) {
        let count = match end {
            RequestEnd::WithinObjective => &mut self.within_objective,
            RequestEnd::Late => &mut self.late,
            RequestEnd::Rejected => &mut self.rejected,
            RequestEnd::Failed => &mut self.failed,
        };
        *count += 1;
    }

    fn plus(self, other: &EndCounts) -> Self {
        EndCounts {
            within_objective: self.within_objective + other.within_objective,
            late: self.late + other.late,
            rejected: self.rejected + other.rejected,
            failed: self.failed + other.failed,
        }
    }

    fn served_or_late(self) -> u32 {
        self.within_objective + self.late
    }

    fn total(self) -> u32 {
        self.served_or_late() + self.rejected + self.failed
    }
}

/// Counts of one slot of time.
#[derive(Clone)]
struct Slot {
    /// Its number since the epoch of the clock.
    number: u64,
    /// By the class's index.
    ends: Vec<EndCounts>,
    attempts: u32,
    retries: u32,
    /// Attempts that ended without telling whether the request ran.
    unknown_outcomes: u32,
}

impl Slot {
    fn new(number: u64, classes: usize) -> Self {
        Slot {
            number,
            ends: vec![EndCounts::default(); classes],
            attempts: 0,
            retries: 0,
            unknown_outcomes: 0,
        }
    }

    /// Requests of one class that ended, or of all.
    fn ends_of(&self, class: Option<usize>) -> EndCounts {
        match class {
            Some(class) => self.ends[class],
            None => self.ends.iter().fold(EndCounts::default(), EndCounts::plus),
        }
    }
}

/// A count, and the count that it is a part of.
struct Ratio {
    part: u32,
    whole: u32,
}

/// Counters of one service over a sliding window.
pub struct WindowedCounters {
    classes: Vec<String>,
    /// The newest last.
    slots: VecDeque<Slot>,
}

impl WindowedCounters {
    /// Counters without counts, for classes of these names.
    pub fn new(classes: Vec<String>) -> Self {
        WindowedCounters {
            classes,
            slots: VecDeque::new(),
        }
    }

    /// The slot of the present. Slots that are too old are dropped.
    fn slot(&mut self, now: Micros) -> Option<&mut Slot> {
        let number = now / SLOT;
        if self.slots.back().is_none_or(|last| last.number < number) {
            self.slots.push_back(Slot::new(number, self.classes.len()));
            let oldest = number.saturating_sub(MAX_WINDOW / SLOT);
            while self
                .slots
                .front()
                .is_some_and(|first| first.number <= oldest)
            {
                self.slots.pop_front();
            }
        }
        self.slots.back_mut()
    }

    /// Counts a request that ended. `class` is its index; unknown ones are ignored.
    pub fn request_ended(&mut self, now: Micros, class: usize, end: RequestEnd) {
        let ends = self.slot(now).and_then(|slot| slot.ends.get_mut(class));
        if let Some(ends) = ends {
            ends.count(end);
        }
    }

    /// Counts an attempt that ended. Attempts that were cancelled or never sent aren't counted.
    pub fn attempt_ended(&mut self, now: Micros, closed: &AttemptResult) {
        let outcome = closed.outcome;
        if matches!(outcome, Outcome::Moot | Outcome::Cancelled) {
            return;
        }
        let is_known = outcome == Outcome::Ok || outcome.proves_not_executed();
        if let Some(slot) = self.slot(now) {
            slot.attempts += 1;
            slot.retries += u32::from(closed.attempt > 0);
            slot.unknown_outcomes += u32::from(!is_known);
        }
    }

    /// The share that one count is of another within the window.
    fn share(&self, now: Micros, ratio_of: impl Fn(&Slot) -> Ratio) -> Option<f64> {
        let number = now / SLOT;
        let mut sum = Ratio { part: 0, whole: 0 };
        for slot in self.slots.iter().rev() {
            let age = number.saturating_sub(slot.number) * SLOT;
            if age >= MAX_WINDOW || (age >= WINDOW && sum.whole >= WINDOW_MIN_COUNT) {
                break;
            }
            let ratio = ratio_of(slot);
            sum.part += ratio.part;
            sum.whole += ratio.whole;
        }
        (sum.whole >= MIN_COUNT).then(|| f64::from(sum.part) / f64::from(sum.whole))
    }

    /// The signals now.
    pub fn signals(&self, now: Micros, external: &ExternalSignals) -> Signals {
        let mut signals = Signals::default();
        self.add_request_signals(now, None, &mut signals);
        for class in 0..self.classes.len() {
            self.add_request_signals(now, Some(class), &mut signals);
        }
        let unknown_outcomes = self.share(now, |slot| Ratio {
            part: slot.unknown_outcomes,
            whole: slot.attempts,
        });
        let retries = self.share(now, |slot| Ratio {
            part: slot.retries,
            whole: slot.attempts,
        });
        let has_attempts = unknown_outcomes.is_some();
        let failing_servers = external.failing_servers.filter(|_| has_attempts);
        let open_requests = external.open_requests.map(|open| open.clamp(0.0, 1.0));
        let cpu = external.cpu.map(|cpu| cpu.clamp(0.0, 1.0));
        let list_age = external.list_age.map(|age| age as f64);
        set_if_known(&mut signals, Signal::UnknownOutcome, unknown_outcomes);
        set_if_known(&mut signals, Signal::Retries, retries);
        set_if_known(&mut signals, Signal::FailingServers, failing_servers);
        set_if_known(&mut signals, Signal::OpenRequests, open_requests);
        set_if_known(&mut signals, Signal::Cpu, cpu);
        set_if_known(&mut signals, Signal::ListAge, list_age);
        signals
    }

    /// Adds the signals that are measured by class, for one class or for all.
    fn add_request_signals(&self, now: Micros, class: Option<usize>, signals: &mut Signals) {
        let goodput = self.share(now, |slot| {
            let ends = slot.ends_of(class);
            Ratio {
                part: ends.within_objective,
                whole: ends.total(),
            }
        });
        let rejected = self.share(now, |slot| {
            let ends = slot.ends_of(class);
            Ratio {
                part: ends.rejected,
                whole: ends.total(),
            }
        });
        let lateness = self.share(now, |slot| {
            let ends = slot.ends_of(class);
            Ratio {
                part: ends.late,
                whole: ends.served_or_late(),
            }
        });
        let name = class.map(|class| self.classes[class].clone());
        set_if_known(signals, Signal::Goodput(name.clone()), goodput);
        set_if_known(signals, Signal::Rejected(name.clone()), rejected);
        set_if_known(signals, Signal::Lateness(name), lateness);
    }
}

fn set_if_known(signals: &mut Signals, signal: Signal, value: Option<f64>) {
    if let Some(value) = value {
        signals.set(signal, value);
    }
}
