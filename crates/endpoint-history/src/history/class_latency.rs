//! The mean latency of a class, the unit in which latencies are compared.

use crate::Micros;

/// Responses without which a class has no mean.
const MIN_RESPONSES: f64 = 20.0;
/// The mean decays while its weight is above this many responses...
const DECAY_MIN_WEIGHT: f64 = 200.0;
/// ...by this factor with every refresh of the bounds, about every ten seconds: by half in some twenty minutes.
const DECAY_FACTOR: f64 = 0.995;

/// The decaying mean latency of the responses to one class, over all endpoints, in microseconds.
///
/// Latencies of an endpoint are compared relative to it, so that a change in the mix of requests is no anomaly of the
/// endpoints that serve them.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ClassLatency {
    sum: f64,
    weight: f64,
}

impl ClassLatency {
    /// Adds the latency of one response.
    pub(super) fn add(&mut self, latency: Micros) {
        self.sum += latency as f64;
        self.weight += 1.0;
    }

    /// Reduces the weight of older responses. To be called about every ten seconds.
    pub(super) fn decay(&mut self) {
        if self.weight > DECAY_MIN_WEIGHT {
            self.sum *= DECAY_FACTOR;
            self.weight *= DECAY_FACTOR;
        }
    }

    /// A latency relative to the mean; `None` until enough responses were seen.
    pub(super) fn ratio(&self, latency: Micros) -> Option<f64> {
        (self.weight >= MIN_RESPONSES && self.sum > 0.0)
            .then(|| latency as f64 * self.weight / self.sum)
    }
}
