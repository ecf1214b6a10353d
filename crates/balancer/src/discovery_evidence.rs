//! What failed calls tell of discovery: whether it is out of order, or has more callers than it can answer.
//!
//! Both look alike to a caller, and want the opposite of each other. Behind an outage the list has to be asked for in time, however
//! often calls failed. A discovery with too many callers works off what it is asked, also for callers that have given up, and
//! recovers only if they come less often. One refusal proves nothing. This is what the verdicts rest on:
//!
//! - A call that fails at once, or does not reach discovery, costs it nothing. It is out of order.
//! - A call that waits and is refused behind such failures has found a discovery that is back, and its queue.
//! - An outage refuses each call after the same time. Waits that differ, or are longer than any time limit, are those of calls
//!   that are refused when their turn has come. They tell how long the queue is.
//! - Discovery closes connections in an outage as well. It dies of its callers where a watch is lost soon after it was opened
//!   and the call behind it is broken off too, or where calls are let in and broken off behind connections closed at once.
//! - What waits in vain for longer than an outage is likely to last is taken for a discovery with too many callers.

use crate::interface::Micros;

/// A call whose connection breaks, or that is refused, later than this has waited for its turn. What ends sooner costs
/// discovery nothing.
const WAITED_FOR_ITS_TURN: Micros = 50_000;
/// Waits that end by the same time limit of discovery differ by less than this.
const TIME_LIMIT_JITTER: Micros = 500_000;
/// No time limit of discovery is taken to be as long as this.
const LONGEST_TIME_LIMIT: Micros = 4_500_000;
/// What was refused after the same time for so long may as well have waited in a queue.
const LONGEST_OUTAGE: Micros = 75_000_000;
/// A watch that is lost sooner than this after it was opened may be lost to the callers that came with it.
const YOUNG_WATCH: Micros = 20_000_000;

/// How a call for the list has failed, or its watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallFailure {
    /// A watch ended, or a call did not reach discovery.
    Unreachable,
    /// Discovery answered that it takes no call.
    Rejected {
        /// How long the call waited for that.
        waited: Micros,
    },
    /// The connection broke before an answer.
    ConnectionBroken {
        /// How long the call had waited.
        waited: Micros,
    },
    /// No answer so far. The call still waits.
    Unanswered,
    /// It is not known how.
    Unspecified,
}

impl CallFailure {
    /// How a call failed that waited for so long, which is [`Micros::MAX`] where it is not known, and whose connection broke or
    /// not; see [`crate::DiscoveryUpdate::CallFailed`].
    pub(crate) fn from_ended_call(waited: Micros, broken_off: bool) -> Self {
        match waited {
            Micros::MAX => CallFailure::Unspecified,
            _ if broken_off => CallFailure::ConnectionBroken { waited },
            0 => CallFailure::Unreachable,
            _ => CallFailure::Rejected { waited },
        }
    }
}

/// What the failed calls since the last list tell of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Nothing tells an outage from too many callers.
    Unknown,
    /// It was out of order, and is back with a queue in which a first call waited in vain for so long.
    Back {
        /// How long the call waited.
        waited: Micros,
    },
    /// It refuses calls when their turn has come.
    Queue {
        /// How long the last one waited.
        waited: Micros,
        /// Calls that were refused so, at least one.
        refusals: u32,
    },
    /// It refuses calls that wait for too long, and has too many of them.
    Overrun,
    /// It dies of its callers.
    Dies,
    /// It is not known how calls failed: discovery may have too many callers.
    Unspecified,
}

/// What one instance has seen of discovery.
#[derive(Clone, Debug, Default)]
pub(crate) struct Evidence {
    /// When the watch was opened that is open.
    watch_opened_at: Option<Micros>,
    /// The last watch was lost young.
    lost_young_watch: bool,
    /// Discovery dies of its callers.
    dies: bool,
    /// The last call failed in a way that is not known.
    unspecified: bool,
    calls: FailedCalls,
}

/// The calls that failed since the last list.
#[derive(Clone, Copy, Debug, Default)]
struct FailedCalls {
    /// One failed and cost discovery nothing.
    failed_at_once: bool,
    /// One found its connection closed at once.
    closed_at_once: bool,
    /// Calls in a row that waited in vain, when the first of them failed, and how long the last one waited.
    waited_in_vain: u32,
    in_vain_since: Micros,
    last_wait: Micros,
    /// Waits were not ended by a time limit...
    waited_in_queue: bool,
    /// ...and of the calls since, so many were refused.
    refused_in_turn: u32,
}

impl Evidence {
    /// A call was answered, and its watch is open.
    pub(crate) fn on_watch_opened(&mut self, now: Micros) {
        self.watch_opened_at = Some(now);
    }

    /// A list has come.
    pub(crate) fn on_list_update(&mut self) {
        self.unspecified = false;
        self.calls = FailedCalls::default();
    }

    /// A watch has ended.
    pub(crate) fn watch_lost(&mut self, now: Micros) {
        let opened_at = self.watch_opened_at.take();
        let young = opened_at.filter(|at| now.saturating_sub(*at) < YOUNG_WATCH);
        // Watches may end one after the other for many reasons, also in place of telling a change: only a call that fails
        // behind one says more.
        self.lost_young_watch = young.is_some();
        self.dies &= self.lost_young_watch;
    }

    /// A call has failed.
    pub(crate) fn call_failed(&mut self, now: Micros, failure: CallFailure) {
        self.unspecified = failure == CallFailure::Unspecified;
        match failure {
            CallFailure::Unanswered | CallFailure::Unspecified => {}
            CallFailure::Unreachable => self.out_of_order(),
            CallFailure::Rejected { waited } => {
                self.dies = false;
                if waited < WAITED_FOR_ITS_TURN {
                    self.out_of_order();
                } else {
                    self.calls.waited_in_vain(now, waited);
                    self.calls.refused_in_turn += u32::from(self.calls.waited_in_queue);
                }
            }
            CallFailure::ConnectionBroken { waited } => self.broken_off(now, waited),
        }
    }

    fn out_of_order(&mut self) {
        self.dies = false;
        self.calls = FailedCalls {
            failed_at_once: true,
            ..FailedCalls::default()
        };
    }

    fn broken_off(&mut self, now: Micros, waited: Micros) {
        let waited_for_its_turn = waited >= WAITED_FOR_ITS_TURN;
        let came_back_and_died = waited_for_its_turn && self.calls.closed_at_once;
        self.dies |= self.lost_young_watch || came_back_and_died;
        if waited_for_its_turn {
            self.calls.waited_in_vain(now, waited);
        } else {
            self.calls.failed_at_once = true;
            self.calls.closed_at_once = true;
        }
    }

    /// What all that was seen tells.
    pub(crate) fn verdict(&self, now: Micros) -> Verdict {
        if self.unspecified {
            return Verdict::Unspecified;
        }
        if self.dies {
            return Verdict::Dies;
        }
        self.calls.verdict(now)
    }

    /// Whether discovery was out of order, and not overrun, when a call failed since the last list.
    pub(crate) fn was_out_of_order(&self) -> bool {
        self.calls.failed_at_once
    }

    /// Whether a call has waited in vain since the last list.
    pub(crate) fn waited_in_vain(&self) -> bool {
        self.calls.waited_in_vain > 0
    }

    /// Whether discovery itself has ended a call since the last list, so that it was reached lately.
    pub(crate) fn was_reached(&self) -> bool {
        self.was_out_of_order() || self.waited_in_vain()
    }
}

impl FailedCalls {
    fn waited_in_vain(&mut self, now: Micros, waited: Micros) {
        if self.waited_in_vain == 0 {
            self.in_vain_since = now;
        }
        self.waited_in_vain += 1;
        let differs = self.last_wait > 0 && self.last_wait.abs_diff(waited) > TIME_LIMIT_JITTER;
        self.waited_in_queue |= differs || waited >= LONGEST_TIME_LIMIT;
        self.last_wait = waited;
    }

    fn verdict(&self, now: Micros) -> Verdict {
        let waited = self.last_wait;
        if self.refused_in_turn > 0 {
            return Verdict::Queue {
                waited,
                refusals: self.refused_in_turn,
            };
        }
        if self.waited_in_vain == 0 {
            return Verdict::Unknown;
        }
        let outlasts_outages = now.saturating_sub(self.in_vain_since) > LONGEST_OUTAGE;
        if outlasts_outages || self.waited_in_queue {
            return Verdict::Overrun;
        }
        match (self.failed_at_once, self.waited_in_vain) {
            (false, _) => Verdict::Unknown,
            (true, 1) => Verdict::Back { waited },
            (true, _) => Verdict::Overrun,
        }
    }
}
