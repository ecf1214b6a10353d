//! The health gate between two stages: does the change harm the instances that have it?
//!
//! Each instance reports how many requests ended within a window and how many of them badly (rejected, failed or too
//! late). The gate compares the mean change of the bad share on the instances that have the change with that on the
//! other instances, which carry everything else that happened meanwhile: a difference in differences. The requests of
//! one instance are not independent of each other, so the variance is estimated twice, from the counts as if they were
//! independent (binomial) and from the variation between instances (Welch), and the greater estimate is used.

use crate::bounds::MAX_WAIT;
use crate::{Micros, Problem};
use serde::{Deserialize, Serialize};

/// The requests of a window, as an instance counts them itself.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(default)]
pub struct RequestCounts {
    /// Requests that ended.
    pub ended: u64,
    /// Of these, those that were rejected, failed, or were answered too late to be of full value.
    pub bad: u64,
}

impl RequestCounts {
    /// The share that ended badly, with one good and one bad request added (Laplace smoothing), so that a few requests
    /// do not count as certainty.
    fn bad_share(self) -> f64 {
        (self.bad.min(self.ended) as f64 + 1.0) / (self.ended as f64 + 2.0)
    }

    /// The binomial variance of the share.
    fn variance(self) -> f64 {
        let share = self.bad_share();
        share * (1.0 - share) / (self.ended as f64 + 2.0)
    }
}

/// The request counts of one instance before the rollout began and at the time of the verdict.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Sample {
    /// The last window before the rollout began.
    pub before: RequestCounts,
    /// The newest window.
    pub after: RequestCounts,
}

impl Sample {
    /// Whether the instance had requests in both windows.
    fn has_requests(&self) -> bool {
        self.before.ended > 0 && self.after.ended > 0
    }
}

/// The parameters of the health gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HealthGate {
    /// The tolerated increase of the bad share, in thousandths of all requests.
    #[serde(rename = "worse")]
    pub max_increase_thousandths: u32,
    /// The least number of requests that must have ended on the instances with the change.
    #[serde(rename = "evidence")]
    pub min_requests: u64,
    /// The one-sided critical value that an increase must exceed, in hundredths of a standard error. 233 gives one
    /// false alarm in a hundred.
    #[serde(rename = "sure")]
    pub critical_value_hundredths: u32,
    /// How long the gate waits for the evidence after the pause, in microseconds.
    #[serde(rename = "patience")]
    pub evidence_timeout: Micros,
    /// Whether the rollout continues without the evidence after that time; otherwise this counts as a failure.
    #[serde(rename = "unproven")]
    pub pass_without_evidence: bool,
}

impl Default for HealthGate {
    fn default() -> Self {
        HealthGate {
            max_increase_thousandths: 10,
            min_requests: 200,
            critical_value_hundredths: 233,
            evidence_timeout: 60_000_000,
            pass_without_evidence: false,
        }
    }
}

impl HealthGate {
    /// All problems of the parameters, by the names that the fields have in a change document.
    pub(crate) fn check(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        let mut require = |holds: bool, field: &str, problem: &str| {
            if !holds {
                problems.push(Problem {
                    field: field.into(),
                    problem: problem.into(),
                });
            }
        };
        require(
            self.max_increase_thousandths <= 1_000,
            "worse",
            "must be 1000 thousandths at most",
        );
        require(
            (50..=1_000).contains(&self.critical_value_hundredths),
            "sure",
            "must be from 50 to 1000 hundredths of a standard error",
        );
        require(
            self.evidence_timeout <= MAX_WAIT,
            "patience",
            "must be a day at most",
        );
        problems
    }

    /// Compares the instances that have the change with those that do not.
    pub fn judge(&self, changed: &[Sample], unchanged: &[Sample]) -> Verdict {
        let changed = with_requests(changed);
        let unchanged = with_requests(unchanged);
        let requests = changed
            .iter()
            .fold(0u64, |sum, sample| sum.saturating_add(sample.after.ended));
        if requests < self.min_requests || changed.is_empty() && self.min_requests > 0 {
            return Verdict::InsufficientEvidence { requests };
        }
        let with = Estimate::of(&changed);
        let without = Estimate::of(&unchanged);
        let increase = with.mean - without.mean;
        let standard_error = (with.variance + without.variance).sqrt();
        let max_increase = f64::from(self.max_increase_thousandths) / 1e3;
        let critical_value = f64::from(self.critical_value_hundredths) / 100.0;
        // The increase must be significant, and more than is tolerated.
        if increase > max_increase && increase > critical_value * standard_error {
            Verdict::Degraded {
                increase,
                standard_error,
            }
        } else {
            Verdict::Healthy
        }
    }
}

/// The result of a comparison.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// There is enough evidence, and no sign of harm.
    Healthy,
    /// The change does harm.
    Degraded {
        /// The estimated increase of the bad share, from 0 to 1.
        increase: f64,
        /// The standard error of the estimate.
        standard_error: f64,
    },
    /// There are too few requests for a verdict.
    InsufficientEvidence {
        /// The number of requests so far.
        requests: u64,
    },
}

/// The mean change of the bad share in a group of instances.
struct Estimate {
    mean: f64,
    /// The variance of the mean.
    variance: f64,
}

impl Estimate {
    fn of(samples: &[Sample]) -> Self {
        if samples.is_empty() {
            return Estimate {
                mean: 0.0,
                variance: 0.0,
            };
        }
        let count = samples.len() as f64;
        let differences = samples
            .iter()
            .map(|sample| sample.after.bad_share() - sample.before.bad_share());
        let mean = differences.clone().sum::<f64>() / count;
        let binomial = samples
            .iter()
            .map(|sample| sample.after.variance() + sample.before.variance())
            .sum::<f64>()
            / (count * count);
        let between_instances = if samples.len() > 2 {
            differences
                .map(|difference| (difference - mean).powi(2))
                .sum::<f64>()
                / (count - 1.0)
                / count
        } else {
            0.0
        };
        Estimate {
            mean,
            variance: binomial.max(between_instances),
        }
    }
}

/// The samples of the instances that had requests in both windows; the others are no evidence.
fn with_requests(samples: &[Sample]) -> Vec<Sample> {
    samples
        .iter()
        .copied()
        .filter(Sample::has_requests)
        .collect()
}
