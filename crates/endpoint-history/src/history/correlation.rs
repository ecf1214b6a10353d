//! Anomalies that several endpoints show at once: reported once, for the zone or the fleet.

use super::EndpointHistory;
use super::active_anomaly::AnomalyKey;
use super::endpoint::Endpoint;
use super::latency_tests::LATE_SHARE_FEW_RESPONSES;
use crate::anomaly::{Anomaly, AnomalyPhase, Fault, Subject};
use crate::cusum::CusumTest;
use crate::{Micros, SECOND};

/// Faults that are correlated.
const CORRELATED_FAULTS: [Fault; 4] = [
    Fault::FailsRequests,
    Fault::RejectsRequests,
    Fault::Slow,
    Fault::Unresponsive,
];
/// An endpoint without the anomaly counts as affected once its test has reached this part of the bound...
const AFFECTED_BOUND_DIVISOR: f64 = 5.0;
/// ...if the fault showed there within this time.
const AFFECTED_MAX_AGE: Micros = 20 * SECOND;
/// When an anomaly of a group is over, those of its endpoints are held back for this much longer before they are
/// reported individually.
const HOLD_BACK_AFTER_GROUP: Micros = 30 * SECOND;
/// An anomaly is one of the fleet only from this many affected endpoints on.
const MIN_AFFECTED_FLEET: usize = 3;
/// An anomaly is one of a zone only from this many affected endpoints on.
const MIN_AFFECTED_ZONE: usize = 2;

/// A fault whose presence is looked for in all endpoints.
#[derive(Clone, Copy)]
struct FaultCheck {
    now: Micros,
    fault: Fault,
    /// The bound of the tests for the fault.
    bound: f64,
}

impl FaultCheck {
    fn key(&self) -> AnomalyKey {
        AnomalyKey::all_classes(self.fault)
    }

    /// Whether an endpoint has the anomaly, or shows signs of it. A fault that several endpoints show at once needs less
    /// evidence in each.
    fn affects(&self, endpoint: &Endpoint) -> bool {
        if endpoint.active.contains_key(&self.key()) {
            return true;
        }
        let has_signs =
            endpoint.log_likelihood_ratio(self.fault) > self.bound / AFFECTED_BOUND_DIVISOR;
        let age = self
            .now
            .saturating_sub(endpoint.last_positive_at(self.fault));
        has_signs && age < AFFECTED_MAX_AGE
    }

    fn is_due_for(&self, endpoint: &Endpoint) -> bool {
        endpoint
            .active
            .get(&self.key())
            .is_some_and(|active| active.is_due(self.now))
    }
}

impl EndpointHistory {
    /// Raises and clears anomalies of groups, and holds back those of the endpoints in the groups.
    pub(super) fn correlate(&mut self, now: Micros, reports: &mut Vec<Anomaly>) {
        for fault in CORRELATED_FAULTS {
            let bound = match fault {
                Fault::Slow => self.bounds.latency,
                _ => self.bounds.failures,
            };
            let check = FaultCheck { now, fault, bound };
            let known = self
                .group_anomalies
                .iter()
                .position(|anomaly| anomaly.fault == fault);
            match known {
                Some(index) => self.follow_group_anomaly(check, index, reports),
                None => self.find_group_anomaly(check, reports),
            }
        }
    }

    /// Clears the anomaly of a group once fewer than a third of its endpoints are affected.
    fn follow_group_anomaly(
        &mut self,
        check: FaultCheck,
        index: usize,
        reports: &mut Vec<Anomaly>,
    ) {
        let subject = self.group_anomalies[index].subject;
        let members = || {
            self.listed_endpoints()
                .filter(|endpoint| subject.is_group_with_zone(endpoint.zone))
        };
        let affected = members().filter(|endpoint| check.affects(endpoint)).count();
        if 3 * affected >= members().count() {
            self.hold_back_members(check.fault, subject);
            return;
        }
        let anomaly = self.group_anomalies.remove(index);
        reports.push(Anomaly {
            reported_at: check.now,
            phase: AnomalyPhase::Cleared,
            ..anomaly
        });
        self.release_members(check);
    }

    /// Raises the anomaly of a group if there is enough evidence for it.
    fn find_group_anomaly(&mut self, check: FaultCheck, reports: &mut Vec<Anomaly>) {
        if !self.has_group_evidence(check) {
            return;
        }
        let Some(subject) = self.affected_group(check) else {
            return;
        };
        self.last_number += 1;
        let anomaly = self.group_anomaly(check, subject, self.last_number);
        reports.push(anomaly.clone());
        self.group_anomalies.push(anomaly);
        self.hold_back_members(check.fault, subject);
    }

    /// Whether one endpoint's anomaly is due to be reported, or the sum of all tests is over what so many tests reach by
    /// chance about as rarely as one of them its bound.
    fn has_group_evidence(&self, check: FaultCheck) -> bool {
        let affected = || {
            self.listed_endpoints()
                .filter(|endpoint| check.affects(endpoint))
        };
        let sum: f64 = affected()
            .map(|endpoint| endpoint.log_likelihood_ratio(check.fault))
            .sum();
        let others = affected().count().saturating_sub(1) as f64;
        self.listed_endpoints()
            .any(|endpoint| check.is_due_for(endpoint))
            || sum > check.bound + others * check.bound.ln()
    }

    /// The group that the affected endpoints make up: a zone if three quarters of its endpoints are affected and none
    /// elsewhere, or the fleet if half of all endpoints are affected.
    fn affected_group(&self, check: FaultCheck) -> Option<Subject> {
        let zones: Vec<u32> = self
            .listed_endpoints()
            .filter(|endpoint| check.affects(endpoint))
            .map(|endpoint| endpoint.zone)
            .collect();
        let zone = *zones.first()?;
        let affected = zones.len();
        let listed = self.listed_endpoints().count();
        let in_zone = self
            .listed_endpoints()
            .filter(|endpoint| endpoint.zone == zone)
            .count();
        let is_one_zone = zones.iter().all(|other| *other == zone) && in_zone < listed;
        if is_one_zone && affected >= MIN_AFFECTED_ZONE && 4 * affected >= 3 * in_zone {
            return Some(Subject::Zone(zone));
        }
        (affected >= MIN_AFFECTED_FLEET && 2 * affected >= listed).then_some(Subject::Fleet)
    }

    /// The first report for a group: means of the shares of its affected endpoints, and all of their observations.
    fn group_anomaly(&self, check: FaultCheck, subject: Subject, number: u64) -> Anomaly {
        let mut share = 0.0;
        let mut baseline_share = 0.0;
        let mut observations = 0u32;
        let mut started_at = check.now;
        let mut count = 0.0;
        let affected = self
            .listed_endpoints()
            .filter(|endpoint| check.affects(endpoint));
        for endpoint in affected {
            let signs = endpoint.signs_of(check.fault);
            share += signs.share;
            baseline_share += endpoint.baseline_share_for(check.fault).unwrap_or(0.0);
            observations = observations.saturating_add(signs.observations);
            started_at = started_at.min(signs.started_at);
            count += 1.0;
        }
        Anomaly {
            number,
            subject,
            fault: check.fault,
            class: None,
            started_at,
            reported_at: check.now,
            phase: AnomalyPhase::Raised,
            share: share / f64::max(count, 1.0),
            baseline_share: baseline_share / f64::max(count, 1.0),
            observations,
        }
    }

    /// Holds back the reports of a group's endpoints for as long as the anomaly of the group is active.
    fn hold_back_members(&mut self, fault: Fault, subject: Subject) {
        let members = self
            .endpoints
            .values_mut()
            .filter(|endpoint| subject.is_group_with_zone(endpoint.zone));
        for endpoint in members {
            endpoint.hold_back_reports(fault, Micros::MAX);
        }
    }

    /// After the anomaly of a group: endpoints that remain affected for a while are reported individually.
    fn release_members(&mut self, check: FaultCheck) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.hold_back_reports(check.fault, check.now + HOLD_BACK_AFTER_GROUP);
        }
    }
}

/// The bad observations of one endpoint.
struct Signs {
    share: f64,
    observations: u32,
    started_at: Micros,
}

impl Endpoint {
    /// Observations of an active anomaly that isn't limited to one class, or else those of the test for the fault.
    fn signs_of(&self, fault: Fault) -> Signs {
        match self.active.get(&AnomalyKey::all_classes(fault)) {
            Some(active) => Signs {
                share: active.anomaly.share,
                observations: active.anomaly.observations,
                started_at: active.anomaly.started_at,
            },
            None => {
                let test = self.test_for(fault);
                Signs {
                    share: test.share(),
                    observations: test.observations,
                    started_at: test.started_at,
                }
            }
        }
    }

    fn test_for(&self, fault: Fault) -> &CusumTest {
        match fault {
            Fault::FailsRequests => &self.failures.large,
            Fault::RejectsRequests => &self.rejections,
            _ if self.is_slow_by_spans() => &self.slow_spans,
            _ => &self.late_seconds.usual,
        }
    }

    fn baseline_share_for(&self, fault: Fault) -> Option<f64> {
        if fault != Fault::Slow {
            return self.baseline.failure_share();
        }
        if self.is_slow_by_spans() {
            return self.baseline.slow_span_share();
        }
        Some(LATE_SHARE_FEW_RESPONSES)
    }

    /// Holds back reports of a fault that weren't made yet, counted from this time on.
    fn hold_back_reports(&mut self, fault: Fault, since: Micros) {
        for (key, active) in &mut self.active {
            if key.fault == fault && !active.is_reported {
                active.held_back_since = since;
            }
        }
    }
}
