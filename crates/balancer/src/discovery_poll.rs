//! When discovery is called for the endpoint list.
//!
//! All instances of a fleet call one discovery, which works through calls in turn, those that were given up as well: called by
//! all at once it answers nobody. So calls are spread, and each instance calls once in a span of time that grows with the fleet.
//!
//! The list has to be fresh at the same time. A change counts as told 6 s after discovery had it and could be reached, whatever
//! became of calls, and once the grace is over nothing may go to a server that drains. So however often calls fail, the next one
//! begins [`SafetyRules::poll_again_within`] behind the beginning of the one before at the latest: 8 s at a grace of 3 s. At N calls in 8 s a
//! discovery that needs up to 8 s / N for a call catches up by itself.
//!
//! Where what was seen of discovery ([`Verdict`]) tells that it is slower than that, calls come less often, since nothing else
//! lets it answer anybody. What costs it its time is a call that is made, and not one that waits: while a call waits in a
//! queue, no other one is made.

use crate::discovery_evidence::{CallFailure, Evidence, Verdict};
use crate::interface::{Micros, SafetyRules};
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
/// An instance that keeps its time in a span calls so much earlier each time at most.
const PHASE_JITTER: Micros = 100_000;
/// Of a span, between the times of two instances that follow each other.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;
/// Who waited in vain for less than this stood in a queue that one call of each instance had made.
const SHORT_QUEUE: Micros = 4_400_000;
/// Such a queue has been worked off up to what discovery answers behind this part of the bound and of the wait.
const SHORT_QUEUE_PART: f64 = 0.42;

/// A call, or a watch, that has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FailedCall {
    /// What discovery had then is known, or discovery could not be reached for it. The beginning of a call tells which of
    /// them it is.
    pub(crate) list_known_at: Micros,
    pub(crate) reason: CallFailure,
}

/// When one instance calls discovery.
#[derive(Clone, Debug)]
pub(crate) struct DiscoveryPoll {
    /// The place of this instance in its fleet, from 0 to 1, where it has one.
    place: Option<f64>,
    timer: CallTimer,
    evidence: Evidence,
    /// A call has begun in the life of this process.
    has_called: bool,
    /// A list came since the last call began.
    answered: bool,
    /// The last call has had no answer for long, and waits.
    is_silent: bool,
    /// The length of the span in which it called last, or will.
    span: Micros,
    /// The end of that span.
    span_ends: Micros,
    /// When it called last.
    last_call: Micros,
    /// That time was drawn from half of the span at least, so that those of a fleet are spread.
    has_phase: bool,
    /// The part of the time for first calls behind which its own came.
    first_phase: Option<f64>,
}

/// The timer of the next call. One that was set can't be withdrawn.
#[derive(Clone, Debug, Default)]
struct CallTimer {
    /// Timers that have not fired.
    outstanding: u32,
    /// When the next call is due.
    due: Option<Micros>,
}

impl CallTimer {
    fn set(&mut self, at: Micros) {
        self.outstanding += 1;
        self.due = Some(at);
    }

    /// Whether a timer that fires now is that of the call that is due.
    fn fires(&mut self, now: Micros) -> bool {
        let outstanding = self.outstanding;
        self.outstanding = outstanding.saturating_sub(1);
        let is_stale = match self.due {
            Some(due) => outstanding > 1 && now < due,
            None => outstanding > 0,
        };
        if !is_stale {
            self.due = None;
        }
        !is_stale
    }
}

/// What spans a fleet of this size has by its rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Spans {
    usual: Micros,
    /// To what spans grow behind refusals.
    longest: Micros,
    /// From the beginning of one call to that of the next at most.
    bound: Micros,
    /// The same where discovery has too many callers.
    bound_of_overrun: Micros,
    /// Over which a fleet comes back to a discovery that has died of it, at most.
    longest_behind_death: Micros,
}

impl Spans {
    fn new(rules: &SafetyRules, group_size: u32) -> Self {
        let instances = Micros::from(group_size);
        let part = |part: f64| (part * rules.max_poll_interval as f64).max(1.0) as Micros;
        let bound = rules.poll_again_within();
        let usual = MIN_SPAN.max(SPAN_PER_INSTANCE * instances);
        let longest = MAX_SPAN_OF_SMALL_FLEET.max(MAX_SPAN_PER_INSTANCE * instances);
        let bound_of_overrun = part(ALLOWED_PART_BEHIND_REFUSALS);
        Spans {
            usual: usual.min(part(ALLOWED_PART)).min(bound),
            longest: longest.min(bound_of_overrun),
            bound,
            bound_of_overrun: bound_of_overrun.max(bound),
            longest_behind_death: (MAX_SPAN_PER_INSTANCE * instances).min(2 * bound_of_overrun),
        }
    }
}

impl DiscoveryPoll {
    pub(crate) fn new() -> Self {
        DiscoveryPoll {
            place: None,
            timer: CallTimer::default(),
            evidence: Evidence::default(),
            has_called: false,
            answered: true,
            is_silent: false,
            span: 0,
            span_ends: 0,
            last_call: 0,
            has_phase: false,
            first_phase: None,
        }
    }

    /// The instances of the fleet are numbered from 0, and this is the number of this one. Multiples of the golden ratio divide
    /// a span evenly, however many of them there are.
    pub(crate) fn set_ordinal(&mut self, ordinal: u32) {
        self.place = Some((f64::from(ordinal) * GOLDEN_RATIO).fract());
    }

    /// A time at the place of this instance, or anywhere where it has none.
    fn time_between(&self, from: Micros, until: Micros, random: &mut Rand64) -> Micros {
        match self.place {
            Some(place) => from + (place * (until - from) as f64) as Micros,
            None => random.rand_range(from..until),
        }
    }

    /// The timer of a call fires. False where that call was put off, or is not wanted any more.
    pub(crate) fn on_timer(&mut self, now: Micros) -> bool {
        if !self.timer.fires(now) {
            return false;
        }
        self.last_call = now;
        self.has_called = true;
        self.answered = false;
        self.is_silent = false;
        true
    }

    /// A list has come.
    pub(crate) fn on_list_update(&mut self) {
        self.answered = true;
        self.is_silent = false;
        self.evidence.on_list_update();
    }

    /// A call was answered and its watch is open: a call that is due is not wanted any more.
    pub(crate) fn on_watch_opened(&mut self, now: Micros) {
        self.on_list_update();
        self.evidence.on_watch_opened(now);
        self.timer.due = None;
    }

    /// When the next call begins. None where that stands already, or another call still waits.
    pub(crate) fn schedule_after_failure(
        &mut self,
        now: Micros,
        failed: FailedCall,
        (rules, group_size): (&SafetyRules, u32),
        random: &mut Rand64,
    ) -> Option<Micros> {
        let spans = Spans::new(rules, group_size);
        if self.answered {
            self.evidence.watch_lost(now);
        } else {
            self.evidence.call_failed(now, failed.reason);
        }
        if self.stands(now, failed, spans) {
            return None;
        }
        self.is_silent = failed.reason == CallFailure::Unanswered;
        let due = match self.evidence.verdict(now) {
            verdict if self.is_silent => {
                self.behind_silence(now, failed, verdict, (rules, spans), random)
            }
            Verdict::Unknown => self.in_time(now, failed, (rules, spans), random),
            Verdict::Back { waited } => behind_queue(now, waited, 1, spans),
            Verdict::Queue { waited, refusals } => behind_queue(now, waited, refusals, spans),
            Verdict::Overrun => self.less_often(now, failed, (rules, spans), random),
            Verdict::Dies => self.behind_death(now, spans, random),
            Verdict::Unspecified => self.in_longer_spans(now, spans, random),
        };
        self.timer.set(due);
        Some(due)
    }

    /// Whether the call that is due, or still waits, stays as it is.
    fn stands(&self, now: Micros, failed: FailedCall, spans: Spans) -> bool {
        let is_older_call =
            failed.reason != CallFailure::Unanswered && failed.list_known_at < self.last_call;
        let Some(due) = self.timer.due else {
            return is_older_call && !self.answered;
        };
        if !is_older_call {
            // What became of the call that was silent is known now.
            return !self.is_silent;
        }
        // The call that is due would only make the queue longer.
        match self.evidence.verdict(now) {
            Verdict::Queue { waited, refusals } => {
                behind_queue(now, waited, refusals, spans) <= due
            }
            _ => true,
        }
    }

    /// Another call while one waits. One that discovery does not know of any more is made up for in time; where discovery was
    /// reached lately the call waits in a queue.
    fn behind_silence(
        &mut self,
        now: Micros,
        failed: FailedCall,
        verdict: Verdict,
        (rules, spans): (&SafetyRules, Spans),
        random: &mut Rand64,
    ) -> Micros {
        if !self.evidence.was_reached() {
            return self.in_time(now, failed, (rules, spans), random);
        }
        match verdict {
            Verdict::Unknown => failed.list_known_at + 2 * spans.bound,
            _ => now + spans.bound_of_overrun,
        }
    }

    /// In the next span, and in time for what counts as told.
    fn in_time(
        &mut self,
        now: Micros,
        failed: FailedCall,
        (rules, spans): (&SafetyRules, Spans),
        random: &mut Rand64,
    ) -> Micros {
        let former_span = self.span;
        let grown = (2 * former_span).min(spans.longest).min(spans.bound);
        let was_refused = matches!(
            failed.reason,
            CallFailure::Rejected { .. } | CallFailure::ConnectionBroken { .. }
        );
        self.span = if was_refused && !self.answered && former_span > 0 {
            grown
        } else {
            spans.usual
        };
        self.has_phase &= self.span == former_span;
        let allowed = (ALLOWED_PART * rules.max_poll_interval as f64).max(1.0) as Micros;
        let latest = now
            .saturating_add(allowed)
            .min(failed.list_known_at.saturating_add(spans.bound))
            .max(now.saturating_add(MIN_SPAN));
        if !self.has_called {
            return self.draw_first(now, latest, random);
        }
        self.second(now, latest)
            .unwrap_or_else(|| self.draw(now, latest, random))
    }

    /// In spans that grow, and not in time.
    fn less_often(
        &mut self,
        now: Micros,
        failed: FailedCall,
        (rules, spans): (&SafetyRules, Spans),
        random: &mut Rand64,
    ) -> Micros {
        let longest = if self.evidence.was_out_of_order() {
            spans.bound_of_overrun
        } else {
            spans.longest
        };
        if longest <= spans.bound {
            return self.in_time(now, failed, (rules, spans), random);
        }
        let former_span = self.span.max(spans.bound);
        self.span = (2 * former_span).min(longest);
        self.has_phase = false;
        let earliest = former_span.min(self.span - PHASE_JITTER);
        self.time_between(now + earliest, now + self.span, random)
    }

    /// All instances lost their watches or their calls in this moment, and come back spread over a long span.
    fn behind_death(&mut self, now: Micros, spans: Spans, random: &mut Rand64) -> Micros {
        let shortest = 2 * spans.bound;
        self.span = (2 * self.span).clamp(shortest, spans.longest_behind_death.max(shortest));
        self.span_ends = now + self.span;
        self.has_phase = false;
        self.time_between(now, self.span_ends, random)
    }

    /// In the next span, however late that is, and in longer ones each time.
    fn in_longer_spans(&mut self, now: Micros, spans: Spans, random: &mut Rand64) -> Micros {
        self.span = match self.span {
            0 => spans.usual,
            former_span => (2 * former_span).min(spans.longest),
        };
        let from = self.span_ends.max(now);
        self.span_ends = from + self.span;
        self.has_phase = false;
        self.time_between(from, self.span_ends, random)
    }

    /// The first call of a process comes soon behind its start, where all of a fleet may have started together.
    fn draw_first(&mut self, now: Micros, latest: Micros, random: &mut Rand64) -> Micros {
        self.span_ends = latest.min(now + self.span);
        let due = self.time_between(now, self.span_ends, random);
        let window = self.span_ends - now;
        if window < self.span {
            self.first_phase = Some((due - now) as f64 / window as f64);
        }
        due
    }

    /// First calls come within less than a span. The second call of a process keeps the place of the first among those of its
    /// fleet, so that they are spread over a whole span from then on.
    fn second(&mut self, now: Micros, latest: Micros) -> Option<Micros> {
        let phase = self.first_phase.take().filter(|_| !self.answered)?;
        let due = self.span_ends + (phase * self.span as f64) as Micros;
        if due <= now || due > latest {
            return None;
        }
        self.span_ends += self.span;
        self.has_phase = true;
        Some(due)
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
        self.has_phase = until - from >= half;
        self.time_between(from, until, random)
    }
}

/// Behind a call that waited in vain in a queue. Discovery spaces its refusals as far apart as its answers, so that those who
/// come back the same time behind theirs find no longer queue, and a shorter one for each second that this is longer for those
/// further behind. What was hardly too long has been worked off soon.
fn behind_queue(now: Micros, waited: Micros, refusals: u32, spans: Spans) -> Micros {
    if refusals == 1 && waited < SHORT_QUEUE {
        return now + ((spans.bound + waited) as f64 * SHORT_QUEUE_PART) as Micros;
    }
    let doublings = refusals.saturating_sub(1).min(2);
    now + ((spans.bound << doublings) + waited).min(spans.bound_of_overrun)
}
