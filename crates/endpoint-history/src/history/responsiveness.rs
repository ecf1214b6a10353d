//! Detection of endpoints that don't respond at all, by the attempts that wait for a response.

use super::EndpointHistory;
use super::active_anomaly::AnomalyKey;
use super::attempt::BASELINE_UNITS_PER_MEAN;
use super::latency_tests::LATE_SHARE_FEW_RESPONSES;
use crate::anomaly::Fault;
use crate::cusum::CusumTest;
use crate::{Micros, SECOND, WaitingAttempt};
use madderloom_balancer::ServerId;

/// One attempt counts for at most this many multiples of the latency limit: the tail beyond isn't known.
const MAX_LIMITS_PER_ATTEMPT: f64 = 3.0;
/// Evidence of one multiple of the latency limit: fewer than one response in ten exceeds the limit, fewer than one in a
/// hundred twice the limit, and so on.
const EVIDENCE_PER_LIMIT: f64 = std::f64::consts::LN_10;
/// An endpoint is unresponsive only if an attempt has waited for at least this long.
const MIN_WAIT: Micros = SECOND;
/// If the history wasn't polled for longer than this, the process itself was stalled, and long waits prove nothing.
const MAX_POLL_GAP: Micros = 5 * SECOND / 2;

impl EndpointHistory {
    /// Checks whether an endpoint responds at all, given the attempts that wait for a response there. To be called about
    /// once a second.
    pub fn check_waiting_attempts(
        &mut self,
        now: Micros,
        server: ServerId,
        waiting: impl Iterator<Item = WaitingAttempt>,
    ) {
        if now.saturating_sub(self.last_polled_at) > MAX_POLL_GAP {
            return;
        }
        let Some(endpoint) = self.endpoints.get_mut(&server) else {
            return;
        };
        if now < endpoint.warming_up_until {
            return;
        }
        let baseline = endpoint.effective_baseline(&self.baselines_by_kind);
        let Some(high_latency) = baseline.high_latency else {
            return;
        };
        let mut longest_wait = 0;
        let mut evidence = 0.0;
        let mut attempts = 0;
        for attempt in waiting {
            longest_wait = longest_wait.max(attempt.age);
            let class = self.class_latencies.get(attempt.class as usize);
            let Some(ratio) = class.and_then(|class| class.ratio(attempt.age)) else {
                continue;
            };
            let limits = (ratio * BASELINE_UNITS_PER_MEAN / high_latency).floor();
            evidence += limits.min(MAX_LIMITS_PER_ATTEMPT) * EVIDENCE_PER_LIMIT;
            attempts += 1;
        }
        // Nothing else must have ended either while the oldest attempt waited.
        let since_last_result = now.saturating_sub(endpoint.last_result_at);
        let is_unresponsive = longest_wait >= MIN_WAIT && since_last_result >= longest_wait;
        if evidence > self.bounds.failures && is_unresponsive {
            let key = AnomalyKey::all_classes(Fault::Unresponsive);
            let evidence = CusumTest::all_positive(attempts, endpoint.last_result_at);
            endpoint.raise(now, server, key, &evidence, LATE_SHARE_FEW_RESPONSES);
        }
    }
}
