//! Diagnosis of discovery from failed calls: whether it is down, or overloaded by the calls of its clients.
//!
//! A client sees the same failures in both cases, but they need opposite reactions. After an outage the list must be polled
//! in time, however often calls have failed. An overloaded discovery processes all calls in its queue, including those
//! whose callers have timed out, and recovers only if it is called less often. A single rejection proves nothing. The
//! diagnoses rest on these observations:
//!
//! - A call that fails immediately, or does not reach discovery, costs discovery nothing: discovery is down.
//! - If a call waits and is rejected after such failures, discovery is up again and has a queue.
//! - During an outage every call is rejected after the same time. Waits that differ, or that are longer than any time
//!   limit, mean that calls are rejected when they reach the front of the queue. Such waits show how long the queue is.
//! - Discovery closes connections during an outage as well. It crashes under the load of its clients if a watch is lost soon
//!   after it was opened and the next call's connection breaks too, or if connections break while calls wait after
//!   connections were closed immediately.
//! - If calls have been waiting without success for longer than an outage is likely to last, discovery is assumed to be
//!   overloaded.

use crate::interface::Micros;
use std::fmt;

const MICROS_PER_MILLISECOND: Micros = 1_000;
/// A call that is rejected, or whose connection breaks, after at least this time was in discovery's queue. One that fails
/// sooner costs discovery nothing.
const MIN_QUEUED_WAIT: Micros = 50_000;
/// Waits that end at the same time limit of discovery differ by at most this.
const TIME_LIMIT_JITTER: Micros = 500_000;
/// Time limits of discovery are assumed to be shorter than this.
const TIME_LIMIT_BOUND: Micros = 4_500_000;
/// If calls have been rejected after the same wait for longer than this, they may just as well have been queued.
const MAX_OUTAGE: Micros = 75_000_000;
/// A watch that is lost sooner than this may have been lost because of the load of the clients that connected with it.
const MIN_STABLE_WATCH: Micros = 20_000_000;

/// How a call to discovery, or the watch that it opened, has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallFailure {
    /// A watch has ended, or a call has not reached discovery.
    Unreachable,
    /// Discovery has answered that it rejects the call.
    Rejected {
        /// How long the call waited for the answer.
        waited: Micros,
    },
    /// The connection broke before an answer.
    ConnectionBroken {
        /// How long the call had waited.
        waited: Micros,
    },
    /// The call has not been answered so far. It is still open.
    Unanswered,
    /// The reason is not known.
    Unspecified,
}

impl CallFailure {
    /// The failure of a call that waited for `waited`, or [`Micros::MAX`] if that is not known; see
    /// [`crate::DiscoveryUpdate::CallFailed`].
    pub(crate) fn from_ended_call(waited: Micros, connection_broken: bool) -> Self {
        match waited {
            Micros::MAX => CallFailure::Unspecified,
            _ if connection_broken => CallFailure::ConnectionBroken { waited },
            0 => CallFailure::Unreachable,
            _ => CallFailure::Rejected { waited },
        }
    }
}

/// The state of discovery according to the calls that have failed since the last list update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryDiagnosis {
    /// Discovery may be down or overloaded.
    Inconclusive,
    /// Discovery was down and is up again, with a queue in which the first call waited without success.
    RecoveredWithQueue {
        /// How long that call waited.
        waited: Micros,
    },
    /// Discovery rejects calls when they reach the front of its queue.
    RejectsQueuedCalls {
        /// How long the last call waited.
        waited: Micros,
        /// The number of calls that were rejected in this way; at least 1.
        rejections: u32,
    },
    /// Discovery is overloaded: it rejects calls that have waited for too long.
    Overloaded,
    /// Discovery crashes under the load of its clients.
    CrashesUnderLoad,
    /// The reason of the failures is not known; discovery may be overloaded.
    Unspecified,
}

/// What one instance has observed of discovery.
#[derive(Clone, Debug, Default)]
pub(crate) struct Evidence {
    /// When the open watch was opened.
    watch_opened_at: Option<Micros>,
    /// The last watch was lost within [`MIN_STABLE_WATCH`].
    lost_young_watch: bool,
    /// Discovery crashes under the load of its clients.
    crashes_under_load: bool,
    /// The last call failed for an unknown reason.
    is_unspecified: bool,
    calls: FailedCalls,
}

/// The calls that have failed since the last list update.
#[derive(Clone, Copy, Debug, Default)]
struct FailedCalls {
    /// A call failed at no cost to discovery.
    failed_immediately: bool,
    /// The connection of a call was closed immediately.
    closed_immediately: bool,
    /// The number of queued calls that failed in a row.
    queued_failures: u32,
    /// When the first of these failed.
    queued_failures_since: Micros,
    /// How long the last of these waited.
    last_wait: Micros,
    /// The waits are those of a queue, and not of a time limit.
    waits_show_queue: bool,
    /// The number of calls that were rejected since `waits_show_queue` was set.
    queue_rejections: u32,
}

impl fmt::Display for DiscoveryDiagnosis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DiscoveryDiagnosis::Inconclusive => f.write_str("down or overloaded"),
            DiscoveryDiagnosis::RecoveredWithQueue { waited } => {
                write!(
                    f,
                    "up again with a queue of {} ms",
                    waited / MICROS_PER_MILLISECOND
                )
            }
            DiscoveryDiagnosis::RejectsQueuedCalls { waited, rejections } => write!(
                f,
                "rejects queued calls, {rejections} so far, the last after {} ms",
                waited / MICROS_PER_MILLISECOND
            ),
            DiscoveryDiagnosis::Overloaded => f.write_str("overloaded"),
            DiscoveryDiagnosis::CrashesUnderLoad => f.write_str("crashes under load"),
            DiscoveryDiagnosis::Unspecified => f.write_str("failed for an unknown reason"),
        }
    }
}

impl Evidence {
    /// Records that a call was answered and has opened a watch.
    pub(crate) fn on_watch_opened(&mut self, now: Micros) {
        self.watch_opened_at = Some(now);
    }

    /// Records that a list update was received.
    pub(crate) fn on_list_update(&mut self) {
        self.is_unspecified = false;
        self.calls = FailedCalls::default();
    }

    /// Records that a watch has ended.
    pub(crate) fn watch_lost(&mut self, now: Micros) {
        let opened_at = self.watch_opened_at.take();
        let young = opened_at.filter(|at| now.saturating_sub(*at) < MIN_STABLE_WATCH);
        // Watches may end one after the other for many reasons, even instead of sending an update. Only a call that fails
        // after a lost watch is evidence of a crash.
        self.lost_young_watch = young.is_some();
        self.crashes_under_load &= self.lost_young_watch;
    }

    /// Records that a call has failed.
    pub(crate) fn call_failed(&mut self, now: Micros, failure: CallFailure) {
        self.is_unspecified = failure == CallFailure::Unspecified;
        match failure {
            CallFailure::Unanswered | CallFailure::Unspecified => {}
            CallFailure::Unreachable => self.record_immediate_failure(),
            CallFailure::Rejected { waited } => {
                self.crashes_under_load = false;
                if waited < MIN_QUEUED_WAIT {
                    self.record_immediate_failure();
                } else {
                    self.calls.record_queued_failure(now, waited);
                    self.calls.queue_rejections += u32::from(self.calls.waits_show_queue);
                }
            }
            CallFailure::ConnectionBroken { waited } => self.record_broken_connection(now, waited),
        }
    }

    fn record_immediate_failure(&mut self) {
        self.crashes_under_load = false;
        self.calls = FailedCalls {
            failed_immediately: true,
            ..FailedCalls::default()
        };
    }

    fn record_broken_connection(&mut self, now: Micros, waited: Micros) {
        let was_queued = waited >= MIN_QUEUED_WAIT;
        let recovered_and_crashed = was_queued && self.calls.closed_immediately;
        self.crashes_under_load |= self.lost_young_watch || recovered_and_crashed;
        if was_queued {
            self.calls.record_queued_failure(now, waited);
        } else {
            self.calls.failed_immediately = true;
            self.calls.closed_immediately = true;
        }
    }

    /// The diagnosis from all observations so far.
    pub(crate) fn diagnosis(&self, now: Micros) -> DiscoveryDiagnosis {
        if self.is_unspecified {
            return DiscoveryDiagnosis::Unspecified;
        }
        if self.crashes_under_load {
            return DiscoveryDiagnosis::CrashesUnderLoad;
        }
        self.calls.diagnosis(now)
    }

    /// Whether discovery was down, and not overloaded, at some failed call since the last list update.
    pub(crate) fn was_down(&self) -> bool {
        self.calls.failed_immediately
    }

    /// How long the last queued call that failed since the last list update had waited; 0 if there is none.
    pub(crate) fn last_wait(&self) -> Micros {
        self.calls.last_wait
    }

    /// Whether a queued call has failed since the last list update.
    pub(crate) fn has_queued_failure(&self) -> bool {
        self.calls.queued_failures > 0
    }

    /// Whether discovery itself has ended a call since the last list update, so that it was reachable recently.
    pub(crate) fn was_reached(&self) -> bool {
        self.was_down() || self.has_queued_failure()
    }
}

impl FailedCalls {
    fn record_queued_failure(&mut self, now: Micros, waited: Micros) {
        if self.queued_failures == 0 {
            self.queued_failures_since = now;
        }
        self.queued_failures += 1;
        let differs = self.last_wait > 0 && self.last_wait.abs_diff(waited) > TIME_LIMIT_JITTER;
        self.waits_show_queue |= differs || waited >= TIME_LIMIT_BOUND;
        self.last_wait = waited;
    }

    fn diagnosis(&self, now: Micros) -> DiscoveryDiagnosis {
        let waited = self.last_wait;
        if self.queue_rejections > 0 {
            return DiscoveryDiagnosis::RejectsQueuedCalls {
                waited,
                rejections: self.queue_rejections,
            };
        }
        if self.queued_failures == 0 {
            return DiscoveryDiagnosis::Inconclusive;
        }
        let outlasts_outages = now.saturating_sub(self.queued_failures_since) > MAX_OUTAGE;
        if outlasts_outages || self.waits_show_queue {
            return DiscoveryDiagnosis::Overloaded;
        }
        match (self.failed_immediately, self.queued_failures) {
            (false, _) => DiscoveryDiagnosis::Inconclusive,
            (true, 1) => DiscoveryDiagnosis::RecoveredWithQueue { waited },
            (true, _) => DiscoveryDiagnosis::Overloaded,
        }
    }
}
