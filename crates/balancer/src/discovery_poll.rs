//! Schedules the polls of discovery: the calls for the server list, each of which becomes a watch when it is answered.
//!
//! All instances of a fleet call the same discovery service. It processes calls one after the other, including those whose
//! callers have timed out, so if all instances call at once, none is answered in time. The calls are therefore spread: each
//! instance calls once in a poll interval that grows with the fleet.
//!
//! The list must be fresh as well. Instances are assumed to know a change 6 s after discovery had it and was reachable, whatever
//! became of their calls, and after the drain grace no request may go to a draining server. So however often calls fail, the next
//! one starts at most [`SafetyRules::poll_again_within`] after the start of the one before: 8 s with a grace of 3 s. With N calls
//! in 8 s, a discovery that needs up to 8 s / N for each call catches up by itself.
//!
//! If the evidence ([`DiscoveryDiagnosis`]) shows that discovery is slower than that, calls become less frequent, since it could
//! answer no one otherwise: but never less frequent than the calls of the fleet need. Where discovery can process one call of each
//! instance within the bound, no evidence postpones a call beyond it; see `DiscoveryPoll::latest_call_time`. Discovery spends its
//! time on new calls, not on waiting ones. So while a call waits in the queue of a larger fleet, no other one is started.

use crate::discovery_evidence::{CallFailure, DiscoveryDiagnosis, Evidence};
use crate::interface::{Micros, SafetyRules};
use oorandom::Rand64;

/// Poll interval per instance of the fleet: the time that discovery may need for a call.
const POLL_INTERVAL_PER_INSTANCE: Micros = 80_000;
/// Poll interval of a small fleet.
const MIN_POLL_INTERVAL: Micros = 500_000;
/// The longest poll interval per instance; the interval doubles up to it after rejections.
const MAX_POLL_INTERVAL_PER_INSTANCE: Micros = 320_000;
/// The time that discovery may need for a call if it rejects calls when they reach the front of its queue.
const MAX_PROCESSING_TIME_IN_QUEUE: Micros = 400_000;
/// The longest poll interval of a small fleet.
const MAX_POLL_INTERVAL_OF_SMALL_FLEET: Micros = 4_000_000;
/// A call is due within this fraction of [`SafetyRules::max_poll_interval`].
const POLL_INTERVAL_SHARE: f64 = 0.9;
/// The same after a failed call, for which the rules allow four times that interval.
const POLL_INTERVAL_SHARE_AFTER_FAILURE: f64 = 3.6;
/// An instance that keeps its phase in the poll interval calls earlier by a random time below this.
const PHASE_JITTER: Micros = 100_000;
/// The fraction of a poll interval between the calls of instances with consecutive ordinals.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;
/// A call that failed after a shorter wait was in a queue of one call per instance.
const SHORT_QUEUE_WAIT: Micros = 4_400_000;
/// After this fraction of the sum of the freshness bound and the wait, discovery has processed such a queue except for calls
/// that it still answers in time.
const SHORT_QUEUE_DELAY_FACTOR: f64 = 0.42;

/// A call, or a watch, that has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FailedCall {
    /// The list of this time is known, or discovery could not be reached for it. If a call has failed, this is the time of its
    /// start, which identifies it.
    pub(crate) list_known_at: Micros,
    pub(crate) reason: CallFailure,
}

/// The poll schedule of one instance.
#[derive(Clone, Debug)]
pub(crate) struct DiscoveryPoll {
    /// The position of this instance in each poll interval, from 0 to 1, if its ordinal is known.
    interval_position: Option<f64>,
    timer: CallTimer,
    evidence: Evidence,
    /// This process has started a call.
    has_called: bool,
    /// A list update was received since the last call started.
    answered: bool,
    /// The last call has been open for longer than expected without an answer.
    is_unanswered: bool,
    /// The poll interval of the last call, or of the scheduled one.
    interval: Micros,
    /// The end of that interval.
    interval_end: Micros,
    /// When the last call started.
    last_call_at: Micros,
    /// That time was chosen from at least half of the interval, so that the calls of a fleet are spread.
    has_phase: bool,
    /// The position of the first call within the time window for first calls, from 0 to 1.
    first_phase: Option<f64>,
}

/// The timer of the next call. A timer that was set cannot be cancelled.
#[derive(Clone, Debug, Default)]
struct CallTimer {
    /// The number of timers that have not fired.
    outstanding: u32,
    /// When the next call is due.
    due: Option<Micros>,
}

impl CallTimer {
    fn set(&mut self, at: Micros) {
        self.outstanding += 1;
        self.due = Some(at);
    }

    /// Handles a timer that fires now. Returns whether it is that of the due call, and not a stale one.
    fn on_fired(&mut self, now: Micros) -> bool {
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

/// The poll intervals and bounds for a fleet of some size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PollIntervals {
    normal: Micros,
    /// The longest interval after rejections.
    longest: Micros,
    /// The freshness bound: the longest time from the start of one call to that of the next.
    bound: Micros,
    /// The longest delay of a call if discovery is overloaded: the time that it needs at most for one call of each instance.
    overload_bound: Micros,
    /// The longest delay in a fleet of any size if discovery is overloaded.
    longest_backoff: Micros,
    /// The longest time over which a fleet's calls are spread after discovery has crashed under their load.
    longest_after_crash: Micros,
    /// The time that discovery needs at most for one call of each instance.
    fleet_processing_time: Micros,
    /// The same if it rejects calls when they reach the front of its queue.
    max_queued_processing_time: Micros,
}

impl PollIntervals {
    fn new(rules: &SafetyRules, group_size: u32) -> Self {
        let instances = Micros::from(group_size);
        let share = |share: f64| (share * rules.max_poll_interval as f64).max(1.0) as Micros;
        let bound = rules.poll_again_within();
        let normal = MIN_POLL_INTERVAL.max(POLL_INTERVAL_PER_INSTANCE * instances);
        let longest_backoff = share(POLL_INTERVAL_SHARE_AFTER_FAILURE);
        let fleet_processing_time = MAX_POLL_INTERVAL_PER_INSTANCE * instances;
        let longest = MAX_POLL_INTERVAL_OF_SMALL_FLEET.max(fleet_processing_time);
        let longest_after_crash = fleet_processing_time.min(2 * longest_backoff);
        PollIntervals {
            normal: normal.min(share(POLL_INTERVAL_SHARE)).min(bound),
            longest: longest.min(longest_backoff),
            bound,
            overload_bound: fleet_processing_time.min(longest_backoff).max(bound),
            longest_backoff,
            longest_after_crash,
            fleet_processing_time,
            max_queued_processing_time: MAX_PROCESSING_TIME_IN_QUEUE * instances,
        }
    }

    /// The longest delay after calls that were rejected when they reached the front of the queue, the last one after `waited`.
    fn bound_after_queued(&self, waited: Micros) -> Micros {
        self.max_queued_processing_time
            .max(waited)
            .min(self.longest_backoff)
            .max(self.bound)
    }

    /// Whether discovery can process one call of each instance within the freshness bound. Then no failure, nor any series of
    /// them, is a reason to call later.
    fn fit_bound(&self) -> bool {
        self.fleet_processing_time <= self.bound
    }
}

impl DiscoveryPoll {
    pub(crate) fn new() -> Self {
        DiscoveryPoll {
            interval_position: None,
            timer: CallTimer::default(),
            evidence: Evidence::default(),
            has_called: false,
            answered: true,
            is_unanswered: false,
            interval: 0,
            interval_end: 0,
            last_call_at: 0,
            has_phase: false,
            first_phase: None,
        }
    }

    /// Sets the ordinal of this instance. The instances of a fleet are numbered from 0. Multiples of the golden ratio divide an
    /// interval evenly for any number of instances.
    pub(crate) fn set_ordinal(&mut self, ordinal: u32) {
        self.interval_position = Some((f64::from(ordinal) * GOLDEN_RATIO).fract());
    }

    /// A time at the position of this instance, or a random one if it has none.
    fn time_between(&self, from: Micros, until: Micros, random: &mut Rand64) -> Micros {
        match self.interval_position {
            Some(position) => from + (position * (until - from) as f64) as Micros,
            None => random.rand_range(from..until),
        }
    }

    /// Handles a timer of a call. Returns whether to call discovery now: not if that call was rescheduled or is no longer
    /// needed.
    pub(crate) fn on_timer(&mut self, now: Micros) -> bool {
        if !self.timer.on_fired(now) {
            return false;
        }
        self.on_call_started(now);
        true
    }

    /// Handles the start of a call, also of one that was not scheduled here. Its end schedules the next one, so a scheduled call is
    /// no longer needed.
    pub(crate) fn on_call_started(&mut self, now: Micros) {
        self.timer.due = None;
        self.last_call_at = now;
        self.has_called = true;
        self.answered = false;
        self.is_unanswered = false;
    }

    /// Handles a list update.
    pub(crate) fn on_list_update(&mut self) {
        self.answered = true;
        self.is_unanswered = false;
        self.evidence.on_list_update();
    }

    /// Handles a call that was answered and has opened a watch: a scheduled call is no longer needed.
    pub(crate) fn on_watch_opened(&mut self, now: Micros) {
        self.on_list_update();
        self.evidence.on_watch_opened(now);
        self.timer.due = None;
    }

    /// What the calls that failed since the last list update show.
    pub(crate) fn diagnosis(&self, now: Micros) -> DiscoveryDiagnosis {
        self.evidence.diagnosis(now)
    }

    /// Schedules the next call after a failed one and returns its time. None if it is already scheduled, or if another call is
    /// still waiting.
    pub(crate) fn schedule_after_failure(
        &mut self,
        now: Micros,
        failed: FailedCall,
        (rules, group_size): (&SafetyRules, u32),
        random: &mut Rand64,
    ) -> Option<Micros> {
        let intervals = PollIntervals::new(rules, group_size);
        if self.answered {
            self.evidence.watch_lost(now);
        } else {
            self.evidence.call_failed(now, failed.reason);
        }
        if self.keeps_schedule(now, failed, intervals) {
            return None;
        }
        self.is_unanswered = failed.reason == CallFailure::Unanswered;
        let planned = match self.evidence.diagnosis(now) {
            diagnosis if self.is_unanswered => {
                self.after_unanswered(now, failed, diagnosis, (rules, intervals), random)
            }
            DiscoveryDiagnosis::Inconclusive => {
                self.in_time(now, failed, (rules, intervals), random)
            }
            DiscoveryDiagnosis::RecoveredWithQueue { waited } => {
                after_queued_failure(now, waited, 1, intervals)
            }
            DiscoveryDiagnosis::RejectsQueuedCalls { waited, rejections } => {
                after_queued_failure(now, waited, rejections, intervals)
            }
            DiscoveryDiagnosis::Overloaded => self.with_backoff(now, failed, intervals, random),
            DiscoveryDiagnosis::CrashesUnderLoad => {
                self.after_crash(now, failed, intervals, random)
            }
            DiscoveryDiagnosis::Unspecified => self.in_growing_interval(now, intervals, random),
        };
        let due = planned.min(self.latest_call_time(now, failed, intervals));
        self.timer.set(due);
        Some(due)
    }

    /// The limit of the next call, whatever the failures suggest. In a fleet whose calls do not fit into the freshness bound,
    /// the wait of the failed call shows how long the queue is, and the limit counts from its end. A call that is scheduled is
    /// not postponed beyond the limit.
    fn latest_call_time(
        &self,
        now: Micros,
        failed: FailedCall,
        intervals: PollIntervals,
    ) -> Micros {
        let latest = if intervals.fit_bound() {
            let list_known_at = failed.list_known_at.max(self.last_call_at);
            list_known_at.saturating_add(intervals.bound)
        } else {
            let after_queued = intervals.bound_after_queued(self.evidence.last_wait());
            now.saturating_add(intervals.longest_after_crash.max(after_queued))
        };
        latest.max(self.timer.due.unwrap_or(now + MIN_POLL_INTERVAL))
    }

    /// Whether the call that is scheduled, or still waiting, stays as it is.
    fn keeps_schedule(&self, now: Micros, failed: FailedCall, intervals: PollIntervals) -> bool {
        let is_older_call =
            failed.reason != CallFailure::Unanswered && failed.list_known_at < self.last_call_at;
        let Some(due) = self.timer.due else {
            return is_older_call && !self.answered;
        };
        if !is_older_call {
            // The result of the call that was unanswered is known now.
            return !self.is_unanswered;
        }
        // The scheduled call would only make the queue longer.
        match self.evidence.diagnosis(now) {
            DiscoveryDiagnosis::RejectsQueuedCalls { waited, rejections } => {
                after_queued_failure(now, waited, rejections, intervals) <= due
            }
            _ => true,
        }
    }

    /// The time of another call while one waits unanswered. If discovery may have lost that call, the other one comes in time; if
    /// discovery was reached recently, that call waits in its queue.
    fn after_unanswered(
        &mut self,
        now: Micros,
        failed: FailedCall,
        diagnosis: DiscoveryDiagnosis,
        (rules, intervals): (&SafetyRules, PollIntervals),
        random: &mut Rand64,
    ) -> Micros {
        if !self.evidence.was_reached() {
            return self.in_time(now, failed, (rules, intervals), random);
        }
        match diagnosis {
            DiscoveryDiagnosis::Inconclusive => failed.list_known_at + 2 * intervals.bound,
            _ => now + intervals.overload_bound,
        }
    }

    /// A time in the next poll interval and within the freshness bound.
    fn in_time(
        &mut self,
        now: Micros,
        failed: FailedCall,
        (rules, intervals): (&SafetyRules, PollIntervals),
        random: &mut Rand64,
    ) -> Micros {
        let former_interval = self.interval;
        let doubled = (2 * former_interval)
            .min(intervals.longest)
            .min(intervals.bound);
        let was_rejected = matches!(
            failed.reason,
            CallFailure::Rejected { .. } | CallFailure::ConnectionBroken { .. }
        );
        self.interval = if was_rejected && !self.answered && former_interval > 0 {
            doubled
        } else {
            intervals.normal
        };
        self.has_phase &= self.interval == former_interval;
        let allowed = (POLL_INTERVAL_SHARE * rules.max_poll_interval as f64).max(1.0) as Micros;
        let latest = now
            .saturating_add(allowed)
            .min(failed.list_known_at.saturating_add(intervals.bound))
            .max(now.saturating_add(MIN_POLL_INTERVAL));
        if !self.has_called {
            return self.first_call_time(now, latest, random);
        }
        self.second_call_time(now, latest)
            .unwrap_or_else(|| self.later_call_time(now, latest, random))
    }

    /// A time in a poll interval that grows at each failure, beyond the freshness bound. If that bound is the longest interval, the
    /// call comes at its end, so that the instances keep the distances of their last calls.
    fn with_backoff(
        &mut self,
        now: Micros,
        failed: FailedCall,
        intervals: PollIntervals,
        random: &mut Rand64,
    ) -> Micros {
        let longest = if self.evidence.was_down() {
            intervals.overload_bound
        } else {
            intervals.longest
        };
        if longest <= intervals.bound {
            self.interval = intervals.bound;
            self.has_phase = false;
            return self.latest_call_time(now, failed, intervals);
        }
        let former_interval = self.interval.max(intervals.bound);
        self.interval = (2 * former_interval).min(longest);
        self.has_phase = false;
        let earliest = former_interval.min(self.interval - PHASE_JITTER);
        self.time_between(now + earliest, now + self.interval, random)
    }

    /// A time in a long interval: all instances have lost their watches or their calls at the same moment. The calls of a small
    /// fleet are spread as far within the freshness bound.
    fn after_crash(
        &mut self,
        now: Micros,
        failed: FailedCall,
        intervals: PollIntervals,
        random: &mut Rand64,
    ) -> Micros {
        if intervals.longest_after_crash <= intervals.bound {
            let latest = failed.list_known_at.saturating_add(intervals.bound);
            self.interval = intervals.bound;
            self.interval_end = latest.max(now + MIN_POLL_INTERVAL);
        } else {
            let shortest = 2 * intervals.bound;
            self.interval =
                (2 * self.interval).clamp(shortest, intervals.longest_after_crash.max(shortest));
            self.interval_end = now + self.interval;
        }
        self.has_phase = false;
        self.time_between(now, self.interval_end, random)
    }

    /// A time in the next poll interval, which doubles each time and has no freshness bound.
    fn in_growing_interval(
        &mut self,
        now: Micros,
        intervals: PollIntervals,
        random: &mut Rand64,
    ) -> Micros {
        self.interval = match self.interval {
            0 => intervals.normal,
            former_interval => (2 * former_interval).min(intervals.longest),
        };
        let from = self.interval_end.max(now);
        self.interval_end = from + self.interval;
        self.has_phase = false;
        self.time_between(from, self.interval_end, random)
    }

    /// The first call of a process comes soon after its start. The whole fleet may have started at the same time.
    fn first_call_time(&mut self, now: Micros, latest: Micros, random: &mut Rand64) -> Micros {
        self.interval_end = latest.min(now + self.interval);
        let due = self.time_between(now, self.interval_end, random);
        let window = self.interval_end - now;
        if window < self.interval {
            self.first_phase = Some((due - now) as f64 / window as f64);
        }
        due
    }

    /// The first calls of a fleet may come within less than a poll interval. The second call of a process keeps the position of
    /// its first one, so that the calls are spread over the whole interval from then on.
    fn second_call_time(&mut self, now: Micros, latest: Micros) -> Option<Micros> {
        let phase = self.first_phase.take().filter(|_| !self.answered)?;
        let due = self.interval_end + (phase * self.interval as f64) as Micros;
        if due <= now || due > latest {
            return None;
        }
        self.interval_end += self.interval;
        self.has_phase = true;
        Some(due)
    }

    /// A time in the next poll interval, and not after `latest`. If that interval ends after `latest`, the instance keeps its
    /// phase of the last one: with a new random time in the rest of each interval, calls would come more often than once in an
    /// interval, and together.
    fn later_call_time(&mut self, now: Micros, latest: Micros, random: &mut Rand64) -> Micros {
        let half = self.interval / 2;
        let next_interval = self.interval_end.max(now);
        let same_phase = self.last_call_at.saturating_add(self.interval).min(latest);
        if self.has_phase && next_interval + self.interval > latest && same_phase > now {
            self.interval_end = same_phase;
            let earliest = same_phase.saturating_sub(PHASE_JITTER).max(now);
            return random.rand_range(earliest..same_phase);
        }
        self.interval_end = next_interval + self.interval;
        let from = next_interval.min(latest.saturating_sub(half).max(now));
        let until = latest.min(self.interval_end).max(from + 1);
        self.has_phase = until - from >= half;
        self.time_between(from, until, random)
    }
}

/// The time of the next call after a queued one that failed. Discovery rejects calls at the same rate at which it answers them.
/// So callers that return after equal delays find a queue that is no longer than before. Each second by which the delay grows for
/// callers further back makes it shorter. A queue that was only slightly too long is soon processed.
fn after_queued_failure(
    now: Micros,
    waited: Micros,
    rejections: u32,
    intervals: PollIntervals,
) -> Micros {
    if rejections == 1 && waited < SHORT_QUEUE_WAIT {
        return now + ((intervals.bound + waited) as f64 * SHORT_QUEUE_DELAY_FACTOR) as Micros;
    }
    let doublings = rejections.saturating_sub(1).min(2);
    now + ((intervals.bound << doublings) + waited).min(intervals.bound_after_queued(waited))
}
