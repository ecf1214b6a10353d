//! Reports of anomalies: raised, updated and cleared.

use super::active_anomaly::{ActiveAnomaly, AnomalyKey, ReportedShare};
use super::endpoint::{Endpoint, IncreaseTests};
use super::{EndpointHistory, MAX_ACTIVE_ANOMALIES};
use crate::anomaly::{Anomaly, AnomalyPhase, Fault};
use crate::{EndpointEvent, Micros, SECOND};
use madderloom_balancer::ServerId;

/// Reports that are kept.
const MAX_RECENT_REPORTS: usize = 256;
/// An anomaly of one endpoint is held back for this long, since others may show the same.
const HOLD_BACK: Micros = SECOND;
/// Time between two reports of the same anomaly, at least.
const MIN_UPDATE_INTERVAL: Micros = 30 * SECOND;
/// An anomaly is reported again if its share has changed by this factor.
const UPDATE_FACTOR: f64 = 1.5;

impl ActiveAnomaly {
    /// Whether the anomaly was held back long enough for its first report.
    pub(super) fn is_due(&self, now: Micros) -> bool {
        !self.is_reported && now.saturating_sub(self.held_back_since) >= HOLD_BACK
    }

    fn update_is_due(&self, now: Micros) -> bool {
        let share = self.anomaly.share;
        let reported = &self.last_report;
        let has_changed =
            share > UPDATE_FACTOR * reported.share || share < reported.share / UPDATE_FACTOR;
        self.is_reported && has_changed && now.saturating_sub(reported.at) >= MIN_UPDATE_INTERVAL
    }

    /// The first report, under this number.
    fn first_report(&mut self, now: Micros, number: u64) -> Anomaly {
        self.anomaly.number = number;
        self.anomaly.reported_at = now;
        self.is_reported = true;
        self.last_report = ReportedShare::of(&self.anomaly, now);
        self.anomaly.clone()
    }

    fn updated_report(&mut self, now: Micros) -> Anomaly {
        self.last_report = ReportedShare::of(&self.anomaly, now);
        Anomaly {
            reported_at: now,
            phase: AnomalyPhase::Updated,
            ..self.anomaly.clone()
        }
    }
}

impl Endpoint {
    /// Appends reports that are due. `last_number` is the number of the last anomaly that was reported.
    fn report(&mut self, now: Micros, last_number: &mut u64, reports: &mut Vec<Anomaly>) {
        for active in self.active.values_mut() {
            if active.is_due(now) {
                *last_number += 1;
                reports.push(active.first_report(now, *last_number));
                self.reported_at.push_back(now);
                self.timeline
                    .record_event(now, EndpointEvent::AnomalyRaised(*last_number));
            }
            if active.update_is_due(now) {
                reports.push(active.updated_report(now));
            }
        }
    }
}

impl EndpointHistory {
    /// Reports anomalies that were raised, updated or cleared since the last call. To be called about once a second.
    pub fn poll_anomalies(&mut self, now: Micros) -> Vec<Anomaly> {
        self.refresh(now);
        self.forget_departed(now);
        self.last_polled_at = now;
        let mut reports = std::mem::take(&mut self.unreported_cleared);
        self.correlate(now, &mut reports);
        for (server, endpoint) in &mut self.endpoints {
            endpoint.report(now, &mut self.last_number, &mut reports);
            debug_assert!(
                endpoint.active.len() <= MAX_ACTIVE_ANOMALIES,
                "{server:?} has too many active anomalies"
            );
        }
        self.remember_reports(&reports);
        reports
    }

    fn remember_reports(&mut self, reports: &[Anomaly]) {
        self.recent_reports.extend(reports.iter().cloned());
        let excess = self.recent_reports.len().saturating_sub(MAX_RECENT_REPORTS);
        self.recent_reports.drain(..excess);
    }

    /// Ends an anomaly of an endpoint, if it is active. One that was never reported ends without a report.
    pub(super) fn clear(&mut self, now: Micros, server: ServerId, key: AnomalyKey) {
        let Some(endpoint) = self.endpoints.get_mut(&server) else {
            return;
        };
        let Some(active) = endpoint.active.remove(&key) else {
            return;
        };
        // Observations during the anomaly are no evidence of a new one.
        if matches!(key.fault, Fault::FailsRequests | Fault::Unresponsive) {
            endpoint.failures = IncreaseTests::default();
            endpoint.class_failures = Default::default();
        }
        if key.fault == Fault::Unresponsive {
            endpoint.unresponsive_until = now;
        }
        if active.is_reported {
            let number = active.anomaly.number;
            endpoint
                .timeline
                .record_event(now, EndpointEvent::AnomalyCleared(number));
            self.unreported_cleared.push(Anomaly {
                reported_at: now,
                phase: AnomalyPhase::Cleared,
                ..active.anomaly
            });
        }
    }
}
