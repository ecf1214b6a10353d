//! Sequential tests for a change of a share.

use crate::Micros;

/// A large increase multiplies the baseline by this.
const LARGE_INCREASE_FACTOR: f64 = 10.0;
/// The raised share of a large increase is at least this.
const LARGE_INCREASE_MIN: f64 = 0.1;
/// The raised share of a large increase is at most this, unless the baseline itself is higher than 0.8.
const LARGE_INCREASE_MAX: f64 = 0.9;
/// A small increase multiplies the baseline by this...
const SMALL_INCREASE_FACTOR: f64 = 3.0;
/// ...and adds this.
const SMALL_INCREASE_OFFSET: f64 = 0.004;
/// The raised share of a small increase is at most this.
const SMALL_INCREASE_MAX: f64 = 0.9;

/// A cumulative-sum (CUSUM) test for the share of positive observations, from a baseline to a raised share.
///
/// After E. S. Page, "Continuous inspection schemes" (Biometrika 1954), in the form for binary observations of
/// M. R. Reynolds and Z. G. Stoumbos (1999). The sum is one of log-likelihood ratios, so by G. Lorden (1971) the mean
/// number of observations to a false alarm is at least `exp(bound)`: a bound follows from the accepted rate of false
/// alarms.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CusumTest {
    sum: f64,
    /// Positive observations since the sum was last 0, which is the most likely time of the change.
    pub positives: u32,
    /// All observations since then.
    pub observations: u32,
    /// Time of the first observation since then.
    pub started_at: Micros,
    /// Time of the last positive observation.
    pub last_positive_at: Micros,
}

impl CusumTest {
    /// Adds one observation. Both shares lie strictly between 0 and 1 and differ.
    pub fn observe(&mut self, now: Micros, positive: bool, baseline: f64, raised: f64) {
        if self.observations == 0 {
            self.started_at = now;
        }
        if positive {
            self.last_positive_at = now;
        }
        let likelihood_ratio = if positive {
            raised / baseline
        } else {
            (1.0 - raised) / (1.0 - baseline)
        };
        self.sum += likelihood_ratio.ln();
        self.positives = self.positives.saturating_add(u32::from(positive));
        self.observations = self.observations.saturating_add(1);
        if self.sum <= 0.0 {
            self.reset();
        }
    }

    /// Whether the share has changed, by this bound on the sum.
    pub fn exceeds(&self, bound: f64) -> bool {
        self.sum > bound
    }

    /// Log-likelihood ratio of the change against no change; at least 0.
    pub fn log_likelihood_ratio(&self) -> f64 {
        self.sum
    }

    /// Whether the sum is beyond half of the bound. What is observed then is not learned as baseline.
    pub fn is_suspicious(&self, bound: f64) -> bool {
        self.sum > bound / 2.0
    }

    /// The sum relative to the bound, at most 1.
    pub fn confidence(&self, bound: f64) -> f64 {
        (self.sum / bound.max(f64::MIN_POSITIVE)).min(1.0)
    }

    /// Share of positive observations since the most likely time of the change; 0 without observations.
    pub fn share(&self) -> f64 {
        f64::from(self.positives) / f64::from(self.observations.max(1))
    }

    /// The result of a check that doesn't use sums: `count` observations, all positive.
    pub fn all_positive(count: u32, started_at: Micros) -> Self {
        CusumTest {
            positives: count,
            observations: count,
            sum: 0.0,
            started_at,
            last_positive_at: started_at,
        }
    }

    /// Forgets all observations.
    pub fn reset(&mut self) {
        *self = CusumTest::default();
    }
}

/// The share to test for a large increase over a baseline: quickly found, insensitive to small ones.
pub(crate) fn large_increase(baseline: f64) -> f64 {
    let max = LARGE_INCREASE_MAX.max(0.5 + baseline / 2.0);
    (LARGE_INCREASE_FACTOR * baseline).clamp(LARGE_INCREASE_MIN, max)
}

/// The share to test for a small increase over a baseline: found after more observations.
pub(crate) fn small_increase(baseline: f64) -> f64 {
    (SMALL_INCREASE_FACTOR * baseline + SMALL_INCREASE_OFFSET).min(SMALL_INCREASE_MAX)
}
