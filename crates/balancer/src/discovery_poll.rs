//! When discovery is called for the endpoint list.
//!
//! All instances of a fleet call one discovery, which works through calls in turn, those that were given up as well: called by
//! all at once it answers nobody. So calls are spread, and each instance calls once in a span of time that grows with the fleet
//! and doubles behind a call that was refused.
//!
//! The list has to be fresh at the same time. A change counts as told 6 s after discovery had it and could be reached, whatever
//! became of calls, and once the grace is over nothing may go to a server that drains. So however often calls fail, the next one
//! begins [`Rules::ask_anew`] behind the beginning of the one before at the latest: 8 s at a grace of 3 s. A discovery that is down
//! and one that has too many callers are told apart by nothing that an instance sees; both let a call wait and refuse it. At
//! N calls in 8 s a discovery that needs up to 8 s / N for a call catches up by itself.
//!
//! Three cases go beyond that, for the sake of a discovery that is too slow for even this rate:
//!
//! - a process whose connection broke while its call waited, or before it ever had an answer: discovery may have died of its
//!   callers, and would again;
//! - a process that never had an answer, in a fleet so large that the usual span is as long as the bound: all of such a fleet may
//!   have started at once, and its first refusal is followed by one span of twice the length;
//! - a process whose calls were all refused for longer than [`LONGEST_OUTAGE`].

use crate::interface::{Micros, Rules};
use oorandom::Rand64;

/// The span in which an instance calls once: this for each instance of the fleet, which is what a call may take discovery...
const SPAN_PER_INSTANCE: Micros = 80_000;
/// ...and this for a small fleet.
const MIN_SPAN: Micros = 500_000;
/// Behind refusals the span doubles up to this for each instance...
const MAX_SPAN_PER_INSTANCE: Micros = 320_000;
/// ...and up to this in a small fleet.
const MAX_SPAN_OF_SMALL_FLEET: Micros = 4_000_000;
/// A call is due within this part of the time that the rules allow without one...
const ALLOWED_PART: f64 = 0.9;
/// ...and of four times that time, which they allow behind a call that failed.
const ALLOWED_PART_BEHIND_REFUSALS: f64 = 3.6;
/// A call whose connection broke later than this was waiting for its turn. One that discovery closes at once costs it nothing.
const WAITED_FOR_ITS_TURN: Micros = 50_000;
/// Refusals for so long are taken for an outage, and an old list for the greater harm. Behind that, discovery is held to have too
/// many callers for the bound, and each instance calls once in the longest span.
const LONGEST_OUTAGE: Micros = 75_000_000;
/// An instance that keeps its time in a span calls so much earlier each time at most.
const PHASE_JITTER: Micros = 100_000;

/// A call, or a watch, that has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FailedCall {
    /// What discovery had then is known, or discovery could not be reached for it.
    pub(crate) since: Micros,
    /// How long discovery, which was reached, let the call wait before it refused it; 0 where it was not reached, was silent,
    /// or had answered.
    pub(crate) waited: Micros,
    /// The connection broke while the call waited.
    pub(crate) broken_off: bool,
}

/// When one instance calls discovery.
#[derive(Clone, Debug)]
pub(crate) struct DiscoveryPoll {
    /// A call is due.
    scheduled: bool,
    /// A call has begun in the life of this process.
    has_called: bool,
    /// A call was answered in the life of this process.
    was_answered: bool,
    /// A list came since the last call began.
    answered: bool,
    /// Calls in a row that discovery refused, and when the first of them was refused.
    refusals: u32,
    refused_since: Micros,
    /// It lets calls wait and breaks off.
    dies_of_callers: bool,
    /// The length of the span in which it called last, or will.
    span: Micros,
    /// The end of that span.
    span_ends: Micros,
    /// When it called last.
    last_call: Micros,
    /// That time was drawn from half of the span at least, so that those of a fleet are spread.
    has_phase: bool,
}

/// What spans a fleet of this size has by its rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Spans {
    usual: Micros,
    longest: Micros,
    /// From the beginning of one call to that of the next at most.
    bound: Micros,
}

impl Spans {
    fn new(rules: &Rules, group_size: u32) -> Self {
        let instances = Micros::from(group_size);
        let part = |part: f64| (part * rules.ask_within as f64).max(1.0) as Micros;
        let bound = rules.ask_anew();
        let usual = MIN_SPAN.max(SPAN_PER_INSTANCE * instances);
        let longest = MAX_SPAN_OF_SMALL_FLEET.max(MAX_SPAN_PER_INSTANCE * instances);
        Spans {
            usual: usual.min(part(ALLOWED_PART)).min(bound),
            longest: longest.min(part(ALLOWED_PART_BEHIND_REFUSALS)),
            bound,
        }
    }
}

impl DiscoveryPoll {
    pub(crate) fn new() -> Self {
        DiscoveryPoll {
            scheduled: false,
            has_called: false,
            was_answered: false,
            answered: true,
            refusals: 0,
            refused_since: 0,
            dies_of_callers: false,
            span: 0,
            span_ends: 0,
            last_call: 0,
            has_phase: false,
        }
    }

    /// The call that was due begins.
    pub(crate) fn call_begins(&mut self, now: Micros) {
        self.scheduled = false;
        self.last_call = now;
        self.has_called = true;
        self.answered = false;
    }

    /// A list has come.
    pub(crate) fn list_came(&mut self) {
        self.answered = true;
        self.was_answered |= self.has_called;
        self.refusals = 0;
        self.dies_of_callers = false;
    }

    /// When the next call begins; none where one is due already.
    pub(crate) fn schedule(
        &mut self,
        now: Micros,
        failed: FailedCall,
        (rules, group_size): (&Rules, u32),
        random: &mut Rand64,
    ) -> Option<Micros> {
        if std::mem::replace(&mut self.scheduled, true) {
            return None;
        }
        let spans = Spans::new(rules, group_size);
        let was_refused = !self.answered && failed.waited > 0;
        self.count_refusal(now, was_refused);
        if was_refused && now.saturating_sub(self.refused_since) > LONGEST_OUTAGE {
            return Some(random.rand_range(now..now + spans.longest));
        }
        let former_span = self.span;
        self.span = if was_refused && former_span > 0 {
            (2 * former_span).min(spans.longest)
        } else {
            spans.usual
        };
        if was_refused && self.suspects_death_of_callers(failed) {
            return Some(self.draw_unbounded(now, random));
        }
        if self.may_be_one_of_a_mass_start(spans) {
            let due = self.draw_unbounded(now, random);
            self.span = spans.bound;
            self.has_phase = true;
            return Some(due);
        }
        self.span = self.span.min(spans.bound);
        self.has_phase &= self.span == former_span;
        let allowed = (ALLOWED_PART * rules.ask_within as f64).max(1.0) as Micros;
        let latest = now
            .saturating_add(allowed)
            .min(failed.since.saturating_add(spans.bound))
            .max(now.saturating_add(MIN_SPAN));
        Some(self.draw(now, latest, random))
    }

    fn count_refusal(&mut self, now: Micros, was_refused: bool) {
        if self.refusals == 0 {
            self.refused_since = now;
        }
        self.refusals = if was_refused { self.refusals + 1 } else { 0 };
    }

    /// Whether discovery seems to die of its callers: the connection of a call broke that it let wait, or that a process made which
    /// never had an answer, and no call was answered since, by a list or by a refusal.
    fn suspects_death_of_callers(&mut self, failed: FailedCall) -> bool {
        let waited_for_its_turn = failed.waited >= WAITED_FOR_ITS_TURN;
        let in_doubt = waited_for_its_turn || !self.was_answered;
        self.dies_of_callers = failed.broken_off && (self.dies_of_callers || in_doubt);
        self.dies_of_callers
    }

    fn may_be_one_of_a_mass_start(&self, spans: Spans) -> bool {
        self.refusals == 1 && !self.was_answered && spans.usual >= spans.bound
    }

    /// A time in the next span, however late that is.
    fn draw_unbounded(&mut self, now: Micros, random: &mut Rand64) -> Micros {
        let from = self.span_ends.max(now);
        self.span_ends = from + self.span;
        self.has_phase = false;
        random.rand_range(from..self.span_ends)
    }

    /// A time in the next span, and by `latest`. Where the next span is not over by then, the instance keeps the time that it had in
    /// the last one: drawn anew in what is left of each, calls would come more often than once in a span, and together.
    fn draw(&mut self, now: Micros, latest: Micros, random: &mut Rand64) -> Micros {
        let half = self.span / 2;
        let next_span = self.span_ends.max(now);
        let same_time = self.last_call.saturating_add(self.span).min(latest);
        if self.has_phase && next_span + self.span > latest && same_time > now {
            self.span_ends = same_time;
            let earliest = same_time.saturating_sub(PHASE_JITTER).max(now);
            return random.rand_range(earliest..same_time);
        }
        self.span_ends = next_span + self.span;
        let from = next_span.min(latest.saturating_sub(half).max(now));
        let until = latest.min(self.span_ends).max(from + 1);
        // The first call of a process comes soon behind its start, where all of a fleet may have started together.
        self.has_phase = self.has_called && until - from >= half;
        random.rand_range(from..until)
    }
}
