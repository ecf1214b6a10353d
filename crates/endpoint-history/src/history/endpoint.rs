//! The state of one endpoint: its timeline, its baseline and the tests of its attempts.

use super::active_anomaly::{ActiveAnomaly, AnomalyKey};
use super::bounds::Bounds;
use super::latency_tests::{BySize, LatencyBlock};
use crate::anomaly::Fault;
use crate::baseline::Baseline;
use crate::cusum::CusumTest;
use crate::timeline::Timeline;
use crate::{ListedEndpoint, Micros};
use std::collections::{BTreeMap, VecDeque};

/// Classes whose failures are tested individually; further ones are tested together with all others only.
pub(super) const TESTED_CLASSES: usize = 4;
/// A class is named as the only failing one if that is less likely than this by chance.
const SINGLE_CLASS_PROBABILITY: f64 = 0.01;

/// Used in place of a baseline that isn't learned yet.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FallbackBaseline {
    /// Share of failures.
    pub(super) failure_share: Option<f64>,
    /// The latency that fewer than one response in ten exceeds, in baseline units.
    pub(super) high_latency: Option<f64>,
}

impl FallbackBaseline {
    /// Fills gaps from another one.
    pub(super) fn or(self, other: FallbackBaseline) -> Self {
        FallbackBaseline {
            failure_share: self.failure_share.or(other.failure_share),
            high_latency: self.high_latency.or(other.high_latency),
        }
    }
}

impl From<&Baseline> for FallbackBaseline {
    fn from(baseline: &Baseline) -> Self {
        FallbackBaseline {
            failure_share: baseline.failure_share(),
            high_latency: baseline.high_latency(),
        }
    }
}

/// Two tests of the same share.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct IncreaseTests {
    /// For a large increase, which needs few observations.
    pub(super) large: CusumTest,
    /// For a small increase.
    pub(super) small: CusumTest,
}

/// The state of one endpoint.
pub(super) struct Endpoint {
    pub(super) zone: u32,
    pub(super) machine_kind: u32,
    /// Until this time its latency isn't judged.
    pub(super) warming_up_until: Micros,
    /// The baseline before its last restart.
    pub(super) former_baseline: FallbackBaseline,
    /// When it left the list; `None` while it is listed.
    pub(super) left_at: Option<Micros>,
    pub(super) timeline: Timeline,
    pub(super) baseline: Baseline,
    /// Failures among accepted attempts of all classes.
    pub(super) failures: IncreaseTests,
    /// Failures among accepted attempts of each tested class.
    pub(super) class_failures: [CusumTest; TESTED_CLASSES],
    /// Accepted attempts of each tested class. Saturates.
    pub(super) class_attempts: [u32; TESTED_CLASSES],
    /// Rejections among all attempts.
    pub(super) rejections: CusumTest,
    /// Seconds in which most responses were beyond the baseline's high latency.
    pub(super) late_seconds: BySize<CusumTest>,
    /// The second whose responses are being counted.
    pub(super) second: BySize<LatencyBlock>,
    /// Spans in which most responses were beyond the baseline's typical latency.
    pub(super) slow_spans: CusumTest,
    /// The span whose responses are being counted.
    pub(super) span: LatencyBlock,
    /// Latest load reports in a row that contradict the attempts in flight.
    pub(super) inconsistent_reports: u32,
    /// End of the last period without responses. Attempts that began before it and failed are a part of it.
    pub(super) unresponsive_until: Micros,
    /// When an attempt last ended with a result that tells something about the endpoint.
    pub(super) last_result_at: Micros,
    pub(super) active: BTreeMap<AnomalyKey, ActiveAnomaly>,
    /// When anomalies were reported within the last hour, the oldest first.
    pub(super) reported_at: VecDeque<Micros>,
}

impl Endpoint {
    pub(super) fn new(now: Micros, listed: ListedEndpoint) -> Self {
        Endpoint {
            zone: listed.zone,
            machine_kind: listed.machine_kind,
            warming_up_until: listed.warming_up_until,
            former_baseline: FallbackBaseline::default(),
            left_at: None,
            timeline: Timeline::new(now),
            baseline: Baseline::new(),
            failures: IncreaseTests::default(),
            class_failures: [CusumTest::default(); TESTED_CLASSES],
            class_attempts: [0; TESTED_CLASSES],
            rejections: CusumTest::default(),
            late_seconds: BySize::default(),
            second: BySize::default(),
            slow_spans: CusumTest::default(),
            span: LatencyBlock::default(),
            inconsistent_reports: 0,
            unresponsive_until: 0,
            last_result_at: 0,
            active: BTreeMap::new(),
            reported_at: VecDeque::new(),
        }
    }

    /// Starts over after a restart, with the timeline, the former baseline and the count of recent reports kept.
    pub(super) fn restart(&mut self, now: Micros, listed: ListedEndpoint) {
        let fresh = Endpoint::new(now, listed);
        let former = std::mem::replace(self, fresh);
        self.former_baseline = FallbackBaseline::from(&former.baseline).or(former.former_baseline);
        self.timeline = former.timeline;
        self.reported_at = former.reported_at;
    }

    /// Whether an anomaly is active or suspected. What is observed then is not learned as baseline.
    pub(super) fn is_suspect(&self, bounds: Bounds) -> bool {
        let tests = [
            &self.failures.large,
            &self.failures.small,
            &self.rejections,
            &self.slow_spans,
            &self.late_seconds.usual,
            &self.late_seconds.large,
        ];
        !self.active.is_empty()
            || tests
                .into_iter()
                .any(|test| test.is_suspicious(bounds.failures))
    }

    /// The baseline to compare with: its own, else that before its restart, else that of its kind of machine.
    pub(super) fn effective_baseline(
        &self,
        baselines_by_kind: &BTreeMap<u32, FallbackBaseline>,
    ) -> FallbackBaseline {
        if self.baseline.is_learned() {
            return FallbackBaseline::from(&self.baseline);
        }
        let of_kind = baselines_by_kind
            .get(&self.machine_kind)
            .copied()
            .unwrap_or_default();
        self.former_baseline.or(of_kind)
    }

    /// The only class that fails, if it is unlikely that all failures belong to one class by chance.
    pub(super) fn single_failing_class(&self) -> Option<u32> {
        let mut failing = (0..)
            .zip(&self.class_failures)
            .filter(|(_, test)| test.positives > 0);
        let (class, test) = failing.next()?;
        if failing.next().is_some() {
            return None;
        }
        let of_class = self.class_attempts[class as usize];
        let of_all = self.class_attempts.iter().sum::<u32>();
        let class_share = f64::from(of_class) / f64::from(of_all.max(1));
        let probability = class_share.powf(f64::from(test.positives));
        (probability < SINGLE_CLASS_PROBABILITY).then_some(class)
    }

    /// Log-likelihood ratio of a fault against none, by the test for it; 0 for faults without such a test.
    pub(super) fn log_likelihood_ratio(&self, fault: Fault) -> f64 {
        match fault {
            Fault::FailsRequests => self.failures.large.log_likelihood_ratio(),
            Fault::RejectsRequests => self.rejections.log_likelihood_ratio(),
            Fault::Slow => {
                let late_seconds = self.late_seconds.usual.log_likelihood_ratio();
                late_seconds.max(self.slow_spans.log_likelihood_ratio())
            }
            Fault::SlowForLargeRequests | Fault::Unresponsive | Fault::InconsistentReports => 0.0,
        }
    }

    /// When a fault last showed in the test for it.
    pub(super) fn last_positive_at(&self, fault: Fault) -> Micros {
        match fault {
            Fault::FailsRequests => self.failures.large.last_positive_at,
            Fault::RejectsRequests => self.rejections.last_positive_at,
            Fault::Slow
            | Fault::SlowForLargeRequests
            | Fault::Unresponsive
            | Fault::InconsistentReports => {
                let late_seconds = self.late_seconds.usual.last_positive_at;
                late_seconds.max(self.slow_spans.last_positive_at)
            }
        }
    }
}
