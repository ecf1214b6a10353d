//! The health gate between two waves: does the change hurt the instances that have it?
//!
//! Each instance reports how many requests ended within a window and how many of them badly (refused, failed or too
//! late). For each, the share that ended badly after the change is taken less the share before it, since instances
//! differ from each other. The mean of these differences over the changed instances is compared with that over the
//! unchanged ones, which carry whatever else happened meanwhile (a difference in differences). Requests of one
//! instance are not independent of each other, so the error of the estimate is taken both from the counts, as if
//! they were (binomial), and from the spread between instances (Welch), and the greater one counts.

use crate::{Micros, Problem};
use serde::{Deserialize, Serialize};

/// Requests of a window, as an instance counts them itself.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(default)]
pub struct Counts {
    /// Requests that ended.
    pub ended: u64,
    /// Of these, those that were refused, failed, or answered too late to be of full worth.
    pub bad: u64,
}

impl Counts {
    /// The share that ended badly. With one good and one bad added, so that few requests are not taken for certain.
    fn share(self) -> f64 {
        (self.bad.min(self.ended) as f64 + 1.0) / (self.ended as f64 + 2.0)
    }

    fn variance(self) -> f64 {
        let share = self.share();
        share * (1.0 - share) / (self.ended as f64 + 2.0)
    }
}

/// An instance's window before the change reached the fleet's last wave, and the one after.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Sample {
    /// Before.
    pub before: Counts,
    /// After.
    pub after: Counts,
}

/// What is asked of the figures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GateRule {
    /// How much more of the requests may end badly, in thousandths of all.
    pub worse: u32,
    /// So many requests at least must have ended on the changed instances together.
    pub evidence: u64,
    /// How sure it must be that the change hurts: standard errors in hundredths. 233 is one false alarm in a hundred.
    pub sure: u32,
    /// How long is waited for the evidence after the pause, in microseconds.
    pub patience: Micros,
    /// Whether the rollout goes on where the evidence has not come by then; else it ends as by a failure.
    pub unproven: bool,
}

impl Default for GateRule {
    fn default() -> Self {
        GateRule {
            worse: 10,
            evidence: 200,
            sure: 233,
            patience: 60_000_000,
            unproven: false,
        }
    }
}

impl GateRule {
    /// All problems of the rule, by its own fields.
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
            self.worse <= 1_000,
            "worse",
            "must be 1000 thousandths at most",
        );
        let is_sure = (50..=1_000).contains(&self.sure);
        require(
            is_sure,
            "sure",
            "must be from 50 to 1000 hundredths of a standard error",
        );
        let has_patience = self.patience <= crate::change::LONGEST_WAIT;
        require(has_patience, "patience", "must be a day at most");
        problems
    }
}

/// What the figures say.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// There is enough evidence, and no sign that it hurts.
    Sound,
    /// It hurts: so much more of the requests ended badly, give or take so much.
    Hurts {
        /// Estimated difference of the share.
        by: f64,
        /// Its standard error.
        error: f64,
    },
    /// There are too few requests to tell: so many.
    TooLittle(u64),
}

struct Group {
    mean: f64,
    variance: f64,
}

/// Mean of the differences and the variance of that mean.
fn group(samples: &[Sample]) -> Group {
    let count = samples.len() as f64;
    if samples.is_empty() {
        return Group {
            mean: 0.0,
            variance: 0.0,
        };
    }
    let differences = samples.iter().map(|s| s.after.share() - s.before.share());
    let mean = differences.clone().sum::<f64>() / count;
    let counted = samples
        .iter()
        .map(|s| s.after.variance() + s.before.variance())
        .sum::<f64>()
        / (count * count);
    let spread = if samples.len() > 2 {
        differences.map(|d| (d - mean).powi(2)).sum::<f64>() / (count - 1.0) / count
    } else {
        0.0
    };
    Group {
        mean,
        variance: counted.max(spread),
    }
}

/// Compares the instances that have the change with those that do not.
pub fn judge(rule: &GateRule, changed: &[Sample], unchanged: &[Sample]) -> Verdict {
    // One that saw nothing in either window tells nothing.
    let seen = |samples: &[Sample]| -> Vec<Sample> {
        samples
            .iter()
            .copied()
            .filter(|s| s.before.ended > 0 && s.after.ended > 0)
            .collect()
    };
    let (changed, unchanged) = (seen(changed), seen(unchanged));
    let evidence = changed
        .iter()
        .fold(0u64, |sum, s| sum.saturating_add(s.after.ended));
    if evidence < rule.evidence || changed.is_empty() && rule.evidence > 0 {
        return Verdict::TooLittle(evidence);
    }
    let (with, without) = (group(&changed), group(&unchanged));
    let by = with.mean - without.mean;
    let error = (with.variance + without.variance).sqrt();
    let worse = f64::from(rule.worse) / 1e3;
    // Sure that it hurts at all, and by the estimate more than may be.
    if by > worse && by > f64::from(rule.sure) / 100.0 * error {
        Verdict::Hurts { by, error }
    } else {
        Verdict::Sound
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn sample(before: (u64, u64), after: (u64, u64)) -> Sample {
        let counts = |(ended, bad)| Counts { ended, bad };
        Sample {
            before: counts(before),
            after: counts(after),
        }
    }

    /// Instances with errors drawn from a binomial; `rough` draws for each instance a rate of its own round it.
    fn drawn(
        rng: &mut oorandom::Rand64,
        count: usize,
        before: f64,
        after: f64,
        rough: f64,
    ) -> Vec<Sample> {
        let counts = |rate: f64, rng: &mut oorandom::Rand64| {
            let rate = (rate + (rng.rand_float() - 0.5) * rough).clamp(0.0, 1.0);
            Counts {
                ended: 400,
                bad: (0..400).filter(|_| rng.rand_float() < rate).count() as u64,
            }
        };
        (0..count)
            .map(|_| Sample {
                before: counts(before, rng),
                after: counts(after, rng),
            })
            .collect()
    }

    #[test]
    fn a_change_that_hurts_is_told_from_a_bad_hour_of_all() {
        let rule = GateRule::default();
        let hurt = [sample((500, 5), (500, 100))];
        let calm = [sample((500, 5), (500, 6)), sample((500, 4), (500, 5))];
        assert!(
            matches!(judge(&rule, &hurt, &calm), Verdict::Hurts { by, .. } if (0.15..0.25).contains(&by))
        );
        let bad_hour = [sample((500, 5), (500, 104)), sample((500, 4), (500, 98))];
        assert_eq!(judge(&rule, &hurt, &bad_hour), Verdict::Sound);
    }

    #[test]
    fn an_instance_that_was_always_bad_is_no_sign() {
        let rule = GateRule::default();
        let always = [sample((500, 100), (500, 104))];
        assert_eq!(
            judge(&rule, &always, &[sample((500, 5), (500, 6))]),
            Verdict::Sound
        );
    }

    #[test]
    fn without_requests_there_is_no_verdict() {
        let rule = GateRule::default();
        assert_eq!(judge(&rule, &[], &[]), Verdict::TooLittle(0));
        assert_eq!(
            judge(&rule, &[sample((500, 0), (199, 0))], &[]),
            Verdict::TooLittle(199)
        );
        assert_eq!(
            judge(&rule, &[sample((0, 0), (500, 500))], &[]),
            Verdict::TooLittle(0)
        );
    }

    #[test]
    fn false_alarms_stay_under_their_bound_and_harm_is_found() {
        let rule = GateRule {
            worse: 0,
            ..GateRule::default()
        };
        let mut rng = oorandom::Rand64::new(11);
        let mut alarms = |after: f64, rough: f64| {
            let runs = 400;
            let hurt = (0..runs).filter(|_| {
                let changed = drawn(&mut rng, 5, 0.02, after, rough);
                let unchanged = drawn(&mut rng, 20, 0.02, 0.02, rough);
                matches!(judge(&rule, &changed, &unchanged), Verdict::Hurts { .. })
            });
            hurt.count() as f64 / f64::from(runs)
        };
        // With five instances the spread itself is an estimate: a few times the nominal rate at the worst.
        let (plain, rough, harm) = (alarms(0.02, 0.0), alarms(0.02, 0.06), alarms(0.06, 0.0));
        assert!(plain <= 0.02, "{plain}");
        assert!(rough <= 0.06, "{rough}");
        assert!(harm >= 0.95, "{harm}");
    }
}
