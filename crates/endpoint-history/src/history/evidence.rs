//! Evidence of degraded endpoints for the decision module.

use super::EndpointHistory;
use super::endpoint::Endpoint;
use crate::Evidence;
use crate::anomaly::Fault;
use crate::cusum::CusumTest;
use madderloom_balancer::ServerId;

/// Evidence is given from this confidence on.
const MIN_CONFIDENCE: f64 = 0.25;

/// The share of bad observations of a fault, and how certain the fault is.
struct SuspectedShare {
    share: f64,
    confidence: f64,
}

impl EndpointHistory {
    /// Evidence of each listed endpoint that is likely degraded, in the order of their identifiers.
    pub fn evidence(&self) -> impl Iterator<Item = Evidence> {
        self.endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.left_at.is_none())
            .filter_map(|(server, endpoint)| self.evidence_of(*server, endpoint))
    }

    fn evidence_of(&self, server: ServerId, endpoint: &Endpoint) -> Option<Evidence> {
        let baseline = endpoint.effective_baseline(&self.baselines_by_kind);
        let baseline_share = baseline.failure_share?;
        let bound = self.bounds.failures;
        let failures =
            endpoint.suspected_share(Fault::FailsRequests, &endpoint.failures.large, bound);
        let rejections =
            endpoint.suspected_share(Fault::RejectsRequests, &endpoint.rejections, bound);
        let is_slow = endpoint
            .active
            .keys()
            .any(|key| matches!(key.fault, Fault::Slow | Fault::SlowForLargeRequests));
        let confidence = failures
            .confidence
            .max(rejections.confidence)
            .max(f64::from(u8::from(is_slow)));
        if confidence <= MIN_CONFIDENCE {
            return None;
        }
        let above_baseline = |share: f64| if share > baseline_share { share } else { 0.0 };
        let is_shared = self
            .group_anomalies
            .iter()
            .any(|anomaly| anomaly.subject.is_group_with_zone(endpoint.zone));
        Some(Evidence {
            server,
            class: endpoint.failing_class(),
            failed_share: above_baseline(failures.share),
            rejected_share: above_baseline(rejections.share),
            is_slow,
            confidence,
            last_observed_at: endpoint.last_result_at,
            is_shared,
        })
    }
}

impl Endpoint {
    /// The share of an active anomaly of this fault, or else that of the test for it.
    fn suspected_share(&self, fault: Fault, test: &CusumTest, bound: f64) -> SuspectedShare {
        let active = self.active.iter().find(|(key, _)| key.fault == fault);
        match active {
            Some((_, active)) => SuspectedShare {
                share: active.anomaly.share,
                confidence: 1.0,
            },
            None => SuspectedShare {
                share: test.share(),
                confidence: test.confidence(bound),
            },
        }
    }

    /// The class that active failures are limited to. Failures of all classes take precedence, since their keys are
    /// sorted first.
    fn failing_class(&self) -> Option<u32> {
        self.active
            .keys()
            .find(|key| key.fault == Fault::FailsRequests)
            .and_then(|key| key.class)
    }
}
