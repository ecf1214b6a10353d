//! One server of a pool: what was seen of it, the tests of its answers, and the departures that go on there.

use super::ListedEndpoint;
use crate::departure::{Anomaly, AnomalyPhase, Fault, Subject};
use crate::detector::{Test, raised};
use crate::line::Timeline;
use crate::usual::Baseline;
use crate::{Micros, S};
use madderloom_balancer::ServerId;
use std::collections::{BTreeMap, VecDeque};

/// Classes that are tested each by itself; requests of further ones count for all classes alone.
pub(super) const CLASSES: usize = 4;
/// A class is named where no other fails, and that is less likely than this by chance.
const BY_CHANCE: f64 = 0.01;
/// Well again is what has been likelier than the departure by this, as the logarithm of a ratio; by so much more for
/// each departure of the last hour, so that what comes and goes is one departure and not many.
const WELL: f64 = 12.0;
/// Observations beside which those of a departure count for its share.
const FEW: f64 = 8.0;
/// Departures raised of one server in an hour, at most.
pub(super) const AN_HOUR: (Micros, usize) = (3_600 * S, 8);
/// A second with so many answers is taken by their majority, whose usual share of late ones is smaller than one
/// answer's: the usual share for few answers, for many, and the raised one.
const MANY: u32 = 5;
pub(super) const LATE: (f64, f64, f64) = (0.1, 0.02, 0.6);

/// What stands in for what is not yet known of a server: the share of failures, and the limit.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FallbackBaseline {
    pub(super) failures: Option<f64>,
    pub(super) limit: Option<f64>,
}

/// A second's answers, as far as their lateness goes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Block {
    pub(super) second: Micros,
    pub(super) late: u32,
    pub(super) all: u32,
}

/// What may be wrong with a server: a test each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Kind {
    pub(super) fault: Fault,
    pub(super) class: Option<u32>,
}

/// A departure that goes on.
#[derive(Clone, Debug)]
pub(super) struct Open {
    pub(super) told: Anomaly,
    /// Not yet said: others may have the same.
    pub(super) since: Micros,
    pub(super) said: bool,
    /// It is only a little slower, which spans tell and seconds do not.
    pub(super) by_spans: bool,
    /// Whether it is over: a test the other way round.
    pub(super) well: Test,
    pub(super) updated: (Micros, f64, u32),
}

pub(super) struct Server {
    pub(super) zone: u32,
    pub(super) kind: u32,
    pub(super) cold_until: Micros,
    /// What was usual before it started anew.
    pub(super) before: FallbackBaseline,
    pub(super) left: Option<Micros>,
    pub(super) line: Timeline,
    pub(super) usual: Baseline,
    /// Failures among what it took: a large rise, a small one, and by class.
    pub(super) lost: [Test; 2],
    pub(super) lost_by_class: [Test; CLASSES],
    pub(super) seen_by_class: [u32; CLASSES],
    pub(super) refused: Test,
    /// Late answers, of light requests and of heavy ones.
    pub(super) late: [Test; 2],
    pub(super) blocks: [Block; 2],
    /// Spans of time with some answers, most of them over the middle limit or not.
    pub(super) over: Test,
    pub(super) span: Block,
    pub(super) doubted: u32,
    /// When its last silence was over. The loss of an attempt that began before is a part of that silence.
    pub(super) silent_until: Micros,
    pub(super) last: Micros,
    pub(super) open: BTreeMap<Kind, Open>,
    pub(super) raised: VecDeque<Micros>,
}

impl Server {
    pub(super) fn new(now: Micros, arrival: ListedEndpoint) -> Self {
        Server {
            zone: arrival.zone,
            kind: arrival.kind,
            cold_until: arrival.cold_until,
            before: FallbackBaseline::default(),
            left: None,
            line: Timeline::new(now),
            usual: Baseline::new(),
            lost: [Test::default(); 2],
            lost_by_class: [Test::default(); CLASSES],
            seen_by_class: [0; CLASSES],
            refused: Test::default(),
            late: [Test::default(); 2],
            blocks: [Block::default(); 2],
            over: Test::default(),
            span: Block::default(),
            doubted: 0,
            silent_until: 0,
            last: 0,
            open: BTreeMap::new(),
            raised: VecDeque::new(),
        }
    }

    pub(super) fn is_wrong(&self, bound: f64) -> bool {
        !self.open.is_empty()
            || self
                .lost
                .iter()
                .chain([&self.refused, &self.over])
                .any(|test| test.is_suspicious(bound))
            || self.late.iter().any(|test| test.is_suspicious(bound))
    }

    /// Notes that a kind of fault was found, unless it is known or too many were of late.
    pub(super) fn raise(
        &mut self,
        now: Micros,
        server: ServerId,
        kind: Kind,
        test: Test,
        usual: f64,
    ) {
        while self
            .raised
            .front()
            .is_some_and(|at| now.saturating_sub(*at) > AN_HOUR.0)
        {
            self.raised.pop_front();
        }
        // What befalls one class alone is told as such only where the whole is not known to be bad.
        let mut covered = kind.class.is_some()
            && self.open.contains_key(&Kind {
                class: None,
                ..kind
            });
        // What is silent loses answers too.
        let silent = Kind {
            fault: Fault::Silent,
            class: None,
        };
        covered |= kind.fault == Fault::LosesAnswers && self.open.contains_key(&silent);
        if covered || self.open.contains_key(&kind) || self.raised.len() >= AN_HOUR.1 {
            return;
        }
        if kind.class.is_none() {
            self.open.retain(|other, open| {
                other.fault != kind.fault || other.class.is_none() || open.said
            });
        }
        let told = Anomaly {
            number: 0,
            subject: Subject::Server(server),
            fault: kind.fault,
            class: kind.class,
            began: test.since,
            at: now,
            phase: AnomalyPhase::Raised,
            share: test.share(),
            usual,
            observations: test.all,
        };
        let updated = (now, told.share, told.observations);
        self.open.insert(
            kind,
            Open {
                told,
                since: now,
                said: false,
                by_spans: false,
                well: Test::default(),
                updated,
            },
        );
    }

    /// Lets a departure that goes on see one more observation, and says whether it is over.
    pub(super) fn follow(&mut self, now: Micros, kind: Kind, bad: bool, usual: f64) -> bool {
        let returns = self.raised.len().saturating_sub(1) as f64;
        let Some(open) = self.open.get_mut(&kind) else {
            return false;
        };
        let told = &mut open.told;
        told.observations = told.observations.saturating_add(1);
        told.share +=
            (f64::from(u8::from(bad)) - told.share) / f64::from(told.observations.min(200));
        // The share that it had when it was last told of: the present one follows every stretch of luck, and falls while
        // all is well.
        // From few of them it may be far too high, and a few good answers would then end it.
        let (_, share, count) = open.updated;
        let known = f64::from(count) / (f64::from(count) + FEW);
        let worse = (share * known).clamp(raised(usual, false), 0.95);
        open.well
            .observe(now, !bad, 1.0 - worse, 1.0 - usual.min(worse / 2.0));
        open.well.exceeds(WELL * (1.0 + returns))
    }
}

impl Server {
    /// What is usual: its own, else what was so before it started anew, else its kind's.
    pub(super) fn usual(&self, kinds: &BTreeMap<u32, FallbackBaseline>) -> FallbackBaseline {
        if self.usual.is_learned() {
            return FallbackBaseline {
                failures: self.usual.failures(),
                limit: self.usual.limit(),
            };
        }
        let kind = kinds.get(&self.kind).copied().unwrap_or_default();
        let FallbackBaseline { failures, limit } = self.before;
        FallbackBaseline {
            failures: failures.or(kind.failures),
            limit: limit.or(kind.limit),
        }
    }

    /// The class that alone fails here: that all failures are its own would be unlikely otherwise.
    pub(super) fn one_class(&self) -> Option<u32> {
        let mut failing = (0..)
            .zip(&self.lost_by_class)
            .filter(|(_, test)| test.yes > 0);
        let (class, test) = failing.next()?;
        let (own, all) = (
            self.seen_by_class[class as usize],
            self.seen_by_class.iter().sum::<u32>(),
        );
        let by_chance = (f64::from(own) / f64::from(all.max(1))).powf(f64::from(test.yes));
        (failing.next().is_none() && by_chance < BY_CHANCE).then_some(class)
    }

    /// How likely it is that a server has a fault, as the logarithm of a ratio: what its test says.
    pub(super) fn weight(&self, fault: Fault) -> f64 {
        match fault {
            Fault::LosesAnswers => self.lost[0].weight(),
            Fault::RefusesWork => self.refused.weight(),
            Fault::Slow => self.late[0].weight().max(self.over.weight()),
            Fault::SlowWhenHeavy | Fault::Silent | Fault::Disagrees => 0.0,
        }
    }

    /// When a fault last showed.
    pub(super) fn last_sign(&self, fault: Fault) -> Micros {
        match fault {
            Fault::LosesAnswers => self.lost[0].last,
            Fault::RefusesWork => self.refused.last,
            _ => self.late[0].last.max(self.over.last),
        }
    }

    /// Ends a second's answers. Says what is over with them.
    pub(super) fn end_block(
        &mut self,
        now: Micros,
        id: ServerId,
        heavy: usize,
        block: Block,
        bound: f64,
    ) -> Option<Kind> {
        if block.all == 0 {
            return None;
        }
        let late = 2 * block.late > block.all;
        let usual = if block.all >= MANY { LATE.1 } else { LATE.0 };
        let fault = if heavy == 1 {
            Fault::SlowWhenHeavy
        } else {
            Fault::Slow
        };
        let kind = Kind { fault, class: None };
        if let Some(open) = self.open.get(&kind) {
            return (!open.by_spans && self.follow(now, kind, late, usual)).then_some(kind);
        }
        self.late[heavy].observe(now, late, usual, LATE.2);
        // Where all requests are slow, the heavy ones are too.
        let all_slow = self.late[0].is_suspicious(bound)
            || self.open.contains_key(&Kind {
                fault: Fault::Slow,
                ..kind
            });
        if self.late[heavy].exceeds(bound) && !(heavy == 1 && all_slow) {
            let test = self.late[heavy];
            self.late[heavy].reset();
            self.raise(now, id, kind, test, usual);
        }
        None
    }

    /// Adds an answer to the span that goes on, and ends that when it has enough of them. Says what is over with it.
    pub(super) fn add_to_span(
        &mut self,
        now: Micros,
        id: ServerId,
        latency: f64,
        bound: f64,
        wrong: bool,
    ) -> Option<Kind> {
        let middle = self.usual.middle()?;
        let span = &mut self.span;
        if span.all == 0 {
            span.second = now / S;
        }
        span.all += 1;
        span.late += u32::from(latency > middle);
        if span.all < MANY || now / S == span.second {
            return None;
        }
        let over = 2 * span.late > span.all;
        *span = Block::default();
        let usual = self.usual.over();
        if !wrong {
            self.usual.learn_span(over);
        }
        let usual = usual?;
        let kind = Kind {
            fault: Fault::Slow,
            class: None,
        };
        if let Some(open) = self.open.get(&kind) {
            return (open.by_spans && self.follow(now, kind, over, usual)).then_some(kind);
        }
        self.over.observe(now, over, usual, (2.0 * usual).max(0.7));
        if self.over.exceeds(bound) {
            let test = self.over;
            self.over.reset();
            self.raise(now, id, kind, test, usual);
            if let Some(open) = self.open.get_mut(&kind) {
                open.by_spans = true;
            }
        }
        None
    }
}
