//! Attempts that ended: recorded, learned as baseline, and tested against it.

use super::EndpointHistory;
use super::active_anomaly::AnomalyKey;
use super::bounds::Bounds;
use super::class_latency::ClassLatency;
use super::endpoint::{Endpoint, IncreaseTests};
use crate::anomaly::Fault;
use crate::baseline::BaselineSample;
use crate::cusum::{CusumTest, large_increase, small_increase};
use crate::{CompletedAttempt, Micros};
use madderloom_balancer::{Outcome, ServerId};

/// A request is large from this multiple of the usual size of its class on.
pub(super) const LARGE_REQUEST_SIZE: f64 = 2.0;
/// Classes whose mean latency is kept; latencies of further ones aren't tested.
const MAX_CLASS_LATENCIES: usize = 64;
/// The mean latency of a class in baseline units: sketches hold microseconds, so ratios are scaled to their range.
pub(super) const BASELINE_UNITS_PER_MEAN: f64 = 10_000.0;

/// What an attempt tells about its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptResult {
    Served,
    /// It failed, and may have run.
    Failed,
    /// It provably did not run.
    Rejected,
}

impl AttemptResult {
    /// `None` for attempts that were cancelled or never sent: they tell nothing about the endpoint.
    fn of(outcome: Outcome) -> Option<Self> {
        match outcome {
            Outcome::Ok => Some(AttemptResult::Served),
            Outcome::Error | Outcome::Reset | Outcome::Timeout => Some(AttemptResult::Failed),
            Outcome::ConnectFailed | Outcome::Full => Some(AttemptResult::Rejected),
            Outcome::Cancelled | Outcome::Moot => None,
        }
    }
}

/// An attempt as the tests see it.
pub(super) struct AttemptSample {
    pub(super) now: Micros,
    pub(super) server: ServerId,
    class: u32,
    pub(super) relative_size: f64,
    result: AttemptResult,
    /// Whether an anomaly was active or suspected before this attempt.
    pub(super) is_suspect: bool,
    pub(super) bounds: Bounds,
}

impl EndpointHistory {
    /// Records an attempt that ended, at this minute of the local day (0 to 1,439).
    pub fn record_attempt(&mut self, now: Micros, minute_of_day: u16, attempt: &CompletedAttempt) {
        self.attempt_rate.count();
        let Some(endpoint) = self.endpoints.get_mut(&attempt.server) else {
            return;
        };
        let outcome = attempt.outcome;
        endpoint
            .timeline
            .record_attempt(now, outcome, attempt.elapsed);
        let started_at = now.saturating_sub(attempt.elapsed);
        if endpoint.failed_while_unresponsive(outcome, started_at) {
            return;
        }
        let Some(result) = AttemptResult::of(outcome) else {
            return;
        };
        endpoint.last_result_at = now;
        let sample = AttemptSample {
            now,
            server: attempt.server,
            class: attempt.class,
            relative_size: attempt.relative_size,
            result,
            is_suspect: endpoint.is_suspect(self.bounds),
            bounds: self.bounds,
        };
        let may_learn_class = !sample.is_suspect && now >= endpoint.warming_up_until;
        let latency = class_entry(&mut self.class_latencies, sample.class)
            .filter(|_| result == AttemptResult::Served)
            .and_then(|class| relative_latency(class, attempt.elapsed, may_learn_class));
        endpoint.learn(minute_of_day, &sample, latency);
        let baseline = endpoint.effective_baseline(&self.baselines_by_kind);
        let Some(failure_share) = baseline.failure_share else {
            return;
        };
        let mut recovered = endpoint.observe_result(&sample, failure_share);
        let is_warm = now >= endpoint.warming_up_until;
        if let (Some(latency), Some(high_latency)) =
            (latency.filter(|_| is_warm), baseline.high_latency)
        {
            endpoint.observe_latency(&sample, latency, high_latency, &mut recovered);
        }
        let unresponsive = AnomalyKey::all_classes(Fault::Unresponsive);
        if result == AttemptResult::Served && endpoint.active.contains_key(&unresponsive) {
            recovered.push(unresponsive);
        }
        for key in recovered {
            self.clear(now, attempt.server, key);
        }
    }
}

/// The mean latency of a class, if one is kept.
fn class_entry(classes: &mut Vec<ClassLatency>, class: u32) -> Option<&mut ClassLatency> {
    let index = class as usize;
    if classes.len() <= index && index < MAX_CLASS_LATENCIES {
        classes.resize(index + 1, ClassLatency::default());
    }
    classes.get_mut(index)
}

/// A latency in baseline units; `None` until the mean of its class is known. The mean learns it afterwards.
fn relative_latency(class: &mut ClassLatency, elapsed: Micros, may_learn: bool) -> Option<f64> {
    let ratio = class.ratio(elapsed);
    if may_learn {
        class.add(elapsed);
    }
    ratio.map(|ratio| ratio * BASELINE_UNITS_PER_MEAN)
}

impl Endpoint {
    /// Whether an attempt failed that began while the endpoint was unresponsive. That anomaly accounts for it already.
    fn failed_while_unresponsive(&self, outcome: Outcome, started_at: Micros) -> bool {
        matches!(outcome, Outcome::Timeout | Outcome::Reset) && started_at < self.unresponsive_until
    }

    /// Learns an attempt as baseline. Latencies of large requests aren't learned.
    fn learn(&mut self, minute_of_day: u16, sample: &AttemptSample, latency: Option<f64>) {
        let learned_latency = latency
            .filter(|_| sample.relative_size < LARGE_REQUEST_SIZE)
            .map(|latency| latency as Micros);
        let learned = BaselineSample {
            failed: sample.result != AttemptResult::Served,
            latency: learned_latency,
            is_suspect: sample.is_suspect,
        };
        self.baseline.learn(sample.now, minute_of_day, &learned);
    }

    /// Tests the result of an attempt. Returns the anomalies that the endpoint has recovered from.
    fn observe_result(&mut self, sample: &AttemptSample, baseline: f64) -> Vec<AnomalyKey> {
        let mut recovered = Vec::new();
        recovered.extend(self.observe_rejection(sample, baseline));
        if sample.result != AttemptResult::Rejected {
            self.count_class_attempt(sample.class);
            recovered.extend(self.observe_failure(sample, baseline));
            recovered.extend(self.observe_class_failure(sample, baseline));
        }
        recovered
    }

    fn count_class_attempt(&mut self, class: u32) {
        if let Some(count) = self.class_attempts.get_mut(class as usize) {
            *count = count.saturating_add(1);
        }
    }

    /// Tests the share of rejections.
    fn observe_rejection(&mut self, sample: &AttemptSample, baseline: f64) -> Option<AnomalyKey> {
        let now = sample.now;
        let key = AnomalyKey::all_classes(Fault::RejectsRequests);
        let rejected = sample.result == AttemptResult::Rejected;
        if self.active.contains_key(&key) {
            let recovered = self.observe_active(now, key, rejected, baseline);
            return recovered.then_some(key);
        }
        self.rejections
            .observe(now, rejected, baseline, large_increase(baseline));
        if self.rejections.exceeds(sample.bounds.failures) {
            let evidence = std::mem::take(&mut self.rejections);
            self.raise(now, sample.server, key, &evidence, baseline);
        }
        None
    }

    /// Tests the share of failures of all classes.
    fn observe_failure(&mut self, sample: &AttemptSample, baseline: f64) -> Option<AnomalyKey> {
        let now = sample.now;
        let failed = sample.result == AttemptResult::Failed;
        let of_class = AnomalyKey::one_class(Fault::FailsRequests, sample.class);
        if self.active.contains_key(&of_class) {
            // Known for this class, so it tells nothing about the others.
            return None;
        }
        let key = AnomalyKey::all_classes(Fault::FailsRequests);
        if self.active.contains_key(&key) {
            let recovered = self.observe_active(now, key, failed, baseline);
            return recovered.then_some(key);
        }
        let large = &mut self.failures.large;
        large.observe(now, failed, baseline, large_increase(baseline));
        if large.exceeds(sample.bounds.failures) {
            let evidence = *large;
            self.raise_failures(sample, &evidence, baseline);
        }
        let small = &mut self.failures.small;
        small.observe(now, failed, baseline, small_increase(baseline));
        if small.exceeds(sample.bounds.failures) {
            let evidence = *small;
            self.raise_failures(sample, &evidence, baseline);
        }
        None
    }

    /// Raises failures, of one class if that alone fails.
    fn raise_failures(&mut self, sample: &AttemptSample, evidence: &CusumTest, baseline: f64) {
        let key = AnomalyKey {
            fault: Fault::FailsRequests,
            class: self.single_failing_class(),
        };
        self.raise(sample.now, sample.server, key, evidence, baseline);
        self.failures = IncreaseTests::default();
    }

    /// Tests the share of failures of the attempt's class.
    fn observe_class_failure(
        &mut self,
        sample: &AttemptSample,
        baseline: f64,
    ) -> Option<AnomalyKey> {
        let now = sample.now;
        let bound = sample.bounds.failures;
        let failed = sample.result == AttemptResult::Failed;
        let key = AnomalyKey::one_class(Fault::FailsRequests, sample.class);
        let test = self.class_failures.get_mut(sample.class as usize)?;
        if self.active.contains_key(&key) {
            let recovered = self.observe_active(now, key, failed, baseline);
            return recovered.then_some(key);
        }
        test.observe(now, failed, baseline, large_increase(baseline));
        // If all classes fail, the test of all classes finds it.
        if test.exceeds(bound) && !self.failures.large.exceeds(bound / 2.0) {
            let evidence = std::mem::take(test);
            self.raise(now, sample.server, key, &evidence, baseline);
        }
        None
    }
}
