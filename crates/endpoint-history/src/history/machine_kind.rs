//! Baselines of kinds of machines, for endpoints without a baseline of their own.

use super::EndpointHistory;
use super::endpoint::FallbackBaseline;
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// The latency limit of a kind is its median times this: machines of one kind differ.
const LATENCY_TOLERANCE: f64 = 1.5;

/// Baselines of the healthy endpoints of one kind.
#[derive(Default)]
struct KindSamples {
    failure_shares: Vec<f64>,
    high_latencies: Vec<f64>,
}

impl EndpointHistory {
    /// Computes the baseline of each kind of machine: the medians of its endpoints that are listed, warm and without an
    /// active anomaly. A kind without such endpoints keeps its former baseline; one without any endpoint is forgotten.
    pub(super) fn update_baselines_by_kind(&mut self, now: Micros) {
        let mut kinds: BTreeMap<u32, KindSamples> = BTreeMap::new();
        for endpoint in self.listed_endpoints() {
            if !endpoint.active.is_empty() || now < endpoint.warming_up_until {
                continue;
            }
            let Some(failure_share) = endpoint.baseline.failure_share() else {
                continue;
            };
            let samples = kinds.entry(endpoint.machine_kind).or_default();
            samples.failure_shares.push(failure_share);
            samples
                .high_latencies
                .extend(endpoint.baseline.high_latency());
        }
        for (kind, samples) in kinds {
            let baseline = FallbackBaseline {
                failure_share: median(samples.failure_shares),
                high_latency: median(samples.high_latencies)
                    .map(|latency| LATENCY_TOLERANCE * latency),
            };
            self.baselines_by_kind.insert(kind, baseline);
        }
        let known_kinds: BTreeSet<u32> = self
            .endpoints
            .values()
            .map(|endpoint| endpoint.machine_kind)
            .collect();
        self.baselines_by_kind
            .retain(|kind, _| known_kinds.contains(kind));
    }
}

/// The upper median; `None` without values.
fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
