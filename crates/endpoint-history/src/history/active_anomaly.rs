//! Anomalies that one endpoint has at present.

use super::endpoint::Endpoint;
use crate::anomaly::{Anomaly, AnomalyPhase, Fault, Subject};
use crate::cusum::{CusumTest, small_increase};
use crate::{HOUR, Micros};
use madderloom_balancer::ServerId;

/// Anomalies of one endpoint that are reported within an hour, at most.
pub(super) const MAX_RAISED_PER_HOUR: usize = 8;
/// Bound of the test for recovery, as a log-likelihood ratio. It is multiplied by the number of anomalies that the
/// endpoint had within the last hour, so that an intermittent fault is one anomaly and not many.
const RECOVERY_BOUND: f64 = 12.0;
/// The share at the last report counts as if so many good observations had been made besides: a share of few
/// observations may be far too high, and a few good ones would then end the anomaly.
const SHARE_PRIOR_WEIGHT: f64 = 8.0;
/// The share of an active anomaly is a plain mean at first, then a moving average with the weight of so many
/// observations.
const SHARE_MEAN_WEIGHT: u32 = 200;
/// The share that recovery is tested against is at most this.
const MAX_RECOVERY_SHARE: f64 = 0.95;

/// What identifies an anomaly of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AnomalyKey {
    pub(super) fault: Fault,
    /// The only class that is affected; `None` if it isn't limited to one class.
    pub(super) class: Option<u32>,
}

impl AnomalyKey {
    /// An anomaly that isn't limited to one class.
    pub(super) fn all_classes(fault: Fault) -> Self {
        AnomalyKey { fault, class: None }
    }

    /// An anomaly that is limited to one class.
    pub(super) fn one_class(fault: Fault, class: u32) -> Self {
        AnomalyKey {
            fault,
            class: Some(class),
        }
    }
}

/// The share and the observations of an anomaly when it was last reported.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportedShare {
    pub(super) at: Micros,
    pub(super) share: f64,
    pub(super) observations: u32,
}

impl ReportedShare {
    pub(super) fn of(anomaly: &Anomaly, at: Micros) -> Self {
        ReportedShare {
            at,
            share: anomaly.share,
            observations: anomaly.observations,
        }
    }
}

/// An anomaly that isn't over.
#[derive(Clone, Debug)]
pub(super) struct ActiveAnomaly {
    pub(super) anomaly: Anomaly,
    /// The report is held back from this time on, since other endpoints may show the same fault. In the future if the
    /// anomaly belongs to one of a group.
    pub(super) held_back_since: Micros,
    /// Whether it was reported for this endpoint.
    pub(super) is_reported: bool,
    /// Whether the test of spans found it: a small slowdown, which single seconds don't show.
    pub(super) found_by_spans: bool,
    /// The test for recovery: the share of good observations.
    pub(super) recovery: CusumTest,
    pub(super) last_report: ReportedShare,
}

impl ActiveAnomaly {
    /// Adds an observation, and returns whether the endpoint has recovered.
    fn observe(&mut self, now: Micros, is_bad: bool, baseline: f64, recovery_bound: f64) -> bool {
        let anomaly = &mut self.anomaly;
        anomaly.observations = anomaly.observations.saturating_add(1);
        let weight = f64::from(anomaly.observations.min(SHARE_MEAN_WEIGHT));
        anomaly.share += (f64::from(u8::from(is_bad)) - anomaly.share) / weight;
        // Tested against the share of the last report: the present one follows every run of luck.
        let reported = &self.last_report;
        let observations = f64::from(reported.observations);
        let confidence = observations / (observations + SHARE_PRIOR_WEIGHT);
        let bad_share =
            (reported.share * confidence).clamp(small_increase(baseline), MAX_RECOVERY_SHARE);
        let recovered_bad_share = baseline.min(bad_share / 2.0);
        self.recovery
            .observe(now, !is_bad, 1.0 - bad_share, 1.0 - recovered_bad_share);
        self.recovery.exceeds(recovery_bound)
    }
}

impl Endpoint {
    /// Adds an anomaly that a test found, unless it is known already, implied by another one, or too many were reported
    /// within the last hour.
    pub(super) fn raise(
        &mut self,
        now: Micros,
        server: ServerId,
        key: AnomalyKey,
        evidence: &CusumTest,
        baseline_share: f64,
    ) {
        self.forget_old_reports(now);
        if self.active.contains_key(&key)
            || self.is_implied(key)
            || self.reported_at.len() >= MAX_RAISED_PER_HOUR
        {
            return;
        }
        if key.class.is_none() {
            // The new anomaly covers those of single classes.
            self.active.retain(|other, active| {
                other.fault != key.fault || other.class.is_none() || active.is_reported
            });
        }
        let anomaly = Anomaly {
            number: 0,
            subject: Subject::Endpoint(server),
            fault: key.fault,
            class: key.class,
            started_at: evidence.started_at,
            reported_at: now,
            phase: AnomalyPhase::Raised,
            share: evidence.share(),
            baseline_share,
            observations: evidence.observations,
        };
        let active = ActiveAnomaly {
            last_report: ReportedShare::of(&anomaly, now),
            anomaly,
            held_back_since: now,
            is_reported: false,
            found_by_spans: false,
            recovery: CusumTest::default(),
        };
        self.active.insert(key, active);
    }

    fn forget_old_reports(&mut self, now: Micros) {
        while self
            .reported_at
            .front()
            .is_some_and(|at| now.saturating_sub(*at) > HOUR)
        {
            self.reported_at.pop_front();
        }
    }

    /// Whether an active anomaly implies another: failures of all classes those of one class, unresponsiveness any
    /// failures.
    fn is_implied(&self, key: AnomalyKey) -> bool {
        let all_classes = AnomalyKey::all_classes(key.fault);
        if key.class.is_some() && self.active.contains_key(&all_classes) {
            return true;
        }
        let unresponsive = AnomalyKey::all_classes(Fault::Unresponsive);
        key.fault == Fault::FailsRequests && self.active.contains_key(&unresponsive)
    }

    /// Adds an observation to an active anomaly, and returns whether the endpoint has recovered from it.
    pub(super) fn observe_active(
        &mut self,
        now: Micros,
        key: AnomalyKey,
        is_bad: bool,
        baseline: f64,
    ) -> bool {
        let earlier_reports = self.reported_at.len().saturating_sub(1) as f64;
        let recovery_bound = RECOVERY_BOUND * (1.0 + earlier_reports);
        self.active
            .get_mut(&key)
            .is_some_and(|active| active.observe(now, is_bad, baseline, recovery_bound))
    }
}
