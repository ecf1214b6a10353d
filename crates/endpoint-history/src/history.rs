//! The history of all endpoints of one pool.

mod active_anomaly;
mod attempt;
mod bounds;
mod class_latency;
mod correlation;
mod endpoint;
mod evidence;
mod latency_tests;
mod machine_kind;
mod membership;
mod reporting;
mod responsiveness;

use crate::anomaly::{Anomaly, Fault};
use crate::baseline::Baseline;
use crate::cusum::CusumTest;
use crate::timeline::LoadSample;
use crate::{EndpointEvent, EndpointGauges, Micros, Settings, Timeline};
use active_anomaly::{ActiveAnomaly, AnomalyKey, MAX_RAISED_PER_HOUR};
use bounds::{AttemptRate, Bounds};
use class_latency::ClassLatency;
use endpoint::{Endpoint, FallbackBaseline, TESTED_CLASSES};
use madderloom_balancer::ServerId;
use std::collections::{BTreeMap, VecDeque};

/// Upper bound on anomalies that one endpoint can have at a time: one for each fault, and failures of each tested class.
const MAX_ACTIVE_ANOMALIES: usize = 6 + TESTED_CLASSES;
/// Part of [`MAX_ACTIVE_ANOMALIES`] that the stated memory of an endpoint allows for.
const EXPECTED_ACTIVE_ANOMALIES: usize = 4 + TESTED_CLASSES;
/// An endpoint whose report is below this part of what this instance alone has in flight there is inconsistent...
const INCONSISTENT_REPORT_RATIO: f64 = 0.5;
/// ...if that many reports in a row are...
const INCONSISTENT_REPORTS: u32 = 5;
/// ...while at least that many attempts are in flight.
const INCONSISTENT_REPORT_MIN_IN_FLIGHT: u32 = 3;

/// The history of the endpoints of one pool, and detection of anomalies in it.
///
/// All methods take the current time. Endpoints that aren't known (never listed, or forgotten) are ignored.
pub struct EndpointHistory {
    settings: Settings,
    endpoints: BTreeMap<ServerId, Endpoint>,
    /// By the class's index.
    class_latencies: Vec<ClassLatency>,
    baselines_by_kind: BTreeMap<u32, FallbackBaseline>,
    attempt_rate: AttemptRate,
    bounds: Bounds,
    /// Active anomalies of a zone or the fleet.
    group_anomalies: Vec<Anomaly>,
    /// The number of the anomaly that was reported last.
    last_number: u64,
    /// The latest reports, the oldest first.
    recent_reports: VecDeque<Anomaly>,
    /// Anomalies cleared since the last poll.
    unreported_cleared: Vec<Anomaly>,
    last_polled_at: Micros,
}

/// An endpoint that is listed or remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownEndpoint {
    /// Its identifier.
    pub server: ServerId,
    /// When it left the endpoint list; `None` while it is listed.
    pub left_at: Option<Micros>,
}

impl EndpointHistory {
    /// A history without endpoints.
    pub fn new(settings: Settings) -> Self {
        let attempt_rate = AttemptRate::default();
        EndpointHistory {
            settings,
            endpoints: BTreeMap::new(),
            class_latencies: Vec::new(),
            baselines_by_kind: BTreeMap::new(),
            bounds: Bounds::new(&settings, &attempt_rate, 0),
            attempt_rate,
            group_anomalies: Vec::new(),
            last_number: 0,
            recent_reports: VecDeque::new(),
            unreported_cleared: Vec::new(),
            last_polled_at: 0,
        }
    }

    /// Upper bound on the memory that one endpoint takes, in bytes.
    pub const fn max_bytes_per_endpoint() -> usize {
        let anomalies =
            EXPECTED_ACTIVE_ANOMALIES * (size_of::<AnomalyKey>() + size_of::<ActiveAnomaly>());
        let raised_times = MAX_RAISED_PER_HOUR * size_of::<Micros>();
        Timeline::MAX_BYTES
            + Baseline::HEAP_BYTES
            + size_of::<Endpoint>()
            + anomalies
            + raised_times
    }

    /// Applies other settings. What was learned is kept.
    pub fn reconfigure(&mut self, now: Micros, settings: Settings) {
        self.settings = settings;
        self.forget_departed(now);
        self.update_bounds();
    }

    /// Records something that happened to an endpoint.
    pub fn record_event(&mut self, now: Micros, server: ServerId, event: EndpointEvent) {
        if let Some(endpoint) = self.endpoints.get_mut(&server) {
            endpoint.timeline.advance_to(now);
            endpoint.timeline.record_event(now, event);
        }
    }

    /// Records a sample of an endpoint's load. To be called about once a second.
    pub fn record_gauges(&mut self, now: Micros, server: ServerId, gauges: EndpointGauges) {
        let Some(endpoint) = self.endpoints.get_mut(&server) else {
            return;
        };
        let interval = endpoint.timeline.advance_to(now);
        interval.max_in_flight = interval.max_in_flight.max(gauges.in_flight);
        interval.region_fraction = gauges.region_fraction as f32;
        let sample = gauges.reported.map(|reported| LoadSample {
            held: reported.held as f32,
            age: u32::try_from(reported.age).unwrap_or(u32::MAX),
        });
        interval.reported = sample.or(interval.reported);
    }

    /// Counts a request that was rejected because of an endpoint.
    pub fn record_rejection(&mut self, now: Micros, server: ServerId) {
        if let Some(endpoint) = self.endpoints.get_mut(&server) {
            let interval = endpoint.timeline.advance_to(now);
            interval.rejected_requests = interval.rejected_requests.saturating_add(1);
        }
    }

    /// Records an endpoint's report to hold so many requests, received while this instance had `in_flight` attempts
    /// there. Reports that contradict those attempts repeatedly are an anomaly.
    pub fn record_load_report(&mut self, now: Micros, server: ServerId, held: f64, in_flight: u32) {
        let Some(endpoint) = self.endpoints.get_mut(&server) else {
            return;
        };
        endpoint.timeline.advance_to(now).reported = Some(LoadSample {
            held: held as f32,
            age: 0,
        });
        let is_inconsistent = in_flight >= INCONSISTENT_REPORT_MIN_IN_FLIGHT
            && held < INCONSISTENT_REPORT_RATIO * f64::from(in_flight);
        let key = AnomalyKey::all_classes(Fault::InconsistentReports);
        if !is_inconsistent {
            endpoint.inconsistent_reports = 0;
            self.clear(now, server, key);
            return;
        }
        endpoint.inconsistent_reports += 1;
        if endpoint.inconsistent_reports >= INCONSISTENT_REPORTS {
            let evidence = CusumTest::all_positive(endpoint.inconsistent_reports, now);
            endpoint.raise(now, server, key, &evidence, 0.0);
        }
    }

    /// Anomalies that were reported and are not over.
    pub fn active_anomalies(&self) -> impl Iterator<Item = &Anomaly> {
        self.endpoints
            .values()
            .flat_map(|endpoint| endpoint.active.values())
            .filter(|active| active.is_reported)
            .map(|active| &active.anomaly)
            .chain(&self.group_anomalies)
    }

    /// The latest reports of anomalies, the oldest first.
    pub fn recent_reports(&self) -> impl Iterator<Item = &Anomaly> {
        self.recent_reports.iter()
    }

    /// The timeline of an endpoint; `None` if the endpoint isn't known.
    pub fn timeline(&self, server: ServerId) -> Option<&Timeline> {
        self.endpoints
            .get(&server)
            .map(|endpoint| &endpoint.timeline)
    }

    /// All endpoints that are listed or remembered.
    pub fn known_endpoints(&self) -> impl Iterator<Item = KnownEndpoint> {
        self.endpoints
            .iter()
            .map(|(server, endpoint)| KnownEndpoint {
                server: *server,
                left_at: endpoint.left_at,
            })
    }

    /// Endpoints that are listed now, in the order of their identifiers.
    fn listed_endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints
            .values()
            .filter(|endpoint| endpoint.left_at.is_none())
    }
}
