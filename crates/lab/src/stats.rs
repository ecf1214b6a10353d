//! What can be said of an arm, or of the difference of two, from a handful of seeds.

use crate::record::Latency;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF, Normal, StudentsT};

/// Resamples of a bootstrap.
pub const RESAMPLES: usize = 10_000;

/// Under so many values no verdict is given: of four, even the whole range they span misses the true mean in one case
/// of eight, however the interval is drawn.
pub const FEWEST: usize = 5;

/// A mean and how far it can be trusted.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub struct Interval {
    /// The mean of the values.
    pub mean: f64,
    /// The interval's ends; none where there are too few values ([`FEWEST`]).
    pub ends: Option<(f64, f64)>,
    /// How many values there are.
    pub values: usize,
}

impl Interval {
    /// Whether zero lies outside: the values' mean differs from it. None where there are too few values to tell.
    pub fn excludes_zero(&self) -> Option<bool> {
        self.ends.map(|(low, high)| low > 0.0 || high < 0.0)
    }
}

/// The mean of these values with a bootstrap interval of this confidence (0 to 1, exclusive); none of no values.
///
/// A percentile bootstrap of the mean with *expanded percentiles*: T. Hesterberg, "What Teachers Should Know About the
/// Bootstrap: Resampling in the Undergraduate Statistics Curriculum", The American Statistician 69 (2015), section
/// 5.3. The plain percentile interval (B. Efron, 1979) is too narrow for a handful of values: by a factor of
/// sqrt((n - 1) / n), and for using the normal's quantiles where Student's belong. Both are put right by taking
/// percentiles further out: at `Phi(-sqrt(n / (n - 1)) * t)` with `t` of n - 1 degrees of freedom.
///
/// Deterministic: its random numbers have a fixed seed.
pub fn bootstrap(values: &[f64], confidence: f64) -> Option<Interval> {
    resampled(values, confidence, RESAMPLES)
}

fn resampled(values: &[f64], confidence: f64, resamples: usize) -> Option<Interval> {
    let n = values.len();
    if n == 0 {
        return None;
    }
    let mean = mean(values);
    if n < FEWEST {
        return Some(Interval {
            mean,
            ends: None,
            values: n,
        });
    }
    let mut random = Pcg64::seed_from_u64(0x6c6f_6f6d);
    let mut means: Vec<f64> = (0..resamples)
        .map(|_| {
            (0..n)
                .map(|_| values[random.random_range(0..n)])
                .sum::<f64>()
                / n as f64
        })
        .collect();
    means.sort_by(f64::total_cmp);
    let tail = expanded_tail(n, confidence);
    let ends = Some((quantile(&means, tail), quantile(&means, 1.0 - tail)));
    Some(Interval {
        mean,
        ends,
        values: n,
    })
}

/// The part of the resamples that lies below the interval, and above it.
fn expanded_tail(n: usize, confidence: f64) -> f64 {
    let plain = (1.0 - confidence) / 2.0;
    let student = StudentsT::new(0.0, 1.0, (n - 1) as f64);
    let normal = Normal::new(0.0, 1.0);
    match (student, normal) {
        (Ok(student), Ok(normal)) => normal
            .cdf((n as f64 / (n - 1) as f64).sqrt() * student.inverse_cdf(plain))
            .min(plain),
        _ => plain,
    }
}

/// The arithmetic mean; 0 of nothing.
pub fn mean(values: &[f64]) -> f64 {
    if values.is_empty() {
        0.0
    } else {
        values.iter().sum::<f64>() / values.len() as f64
    }
}

/// The value below which this part of the sorted values lies, between neighbours in proportion.
fn quantile(sorted: &[f64], part: f64) -> f64 {
    let at = part.clamp(0.0, 1.0) * sorted.len().saturating_sub(1) as f64;
    let low = sorted.get(at.floor() as usize).copied().unwrap_or(0.0);
    let high = sorted.get(at.ceil() as usize).copied().unwrap_or(low);
    low + (high - low) * at.fract()
}

impl Latency {
    /// How many there are.
    pub fn count(&self) -> u64 {
        self.buckets
            .iter()
            .fold(0, |sum, (_, count)| sum.saturating_add(*count))
    }

    /// The latency in microseconds within which this part (0 to 1) was answered; none where nothing was.
    pub fn percentile(&self, part: f64) -> Option<u64> {
        let wanted = (part.clamp(0.0, 1.0) * self.count() as f64).ceil().max(1.0) as u64;
        let mut seen = 0u64;
        self.buckets.iter().find_map(|(upper, count)| {
            seen = seen.saturating_add(*count);
            (seen >= wanted).then_some(*upper)
        })
    }

    /// All of these together.
    pub fn merged<'l>(all: impl IntoIterator<Item = &'l Latency>) -> Latency {
        let mut buckets = std::collections::BTreeMap::<u64, u64>::new();
        let mut sum = 0u64;
        for latency in all {
            sum = sum.saturating_add(latency.sum);
            for (upper, count) in &latency.buckets {
                let held = buckets.entry(*upper).or_default();
                *held = held.saturating_add(*count);
            }
        }
        Latency {
            buckets: buckets.into_iter().collect(),
            sum,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand_distr::{Distribution, Exp, Normal as Gauss};

    /// How often an interval of 95% holds the true mean, over many draws of `n` values.
    fn coverage(n: usize, mean: f64, draw: impl Fn(&mut Pcg64) -> f64) -> f64 {
        let mut random = Pcg64::seed_from_u64(7);
        let draws = 400;
        let held = (0..draws).filter(|_| {
            let values: Vec<f64> = (0..n).map(|_| draw(&mut random)).collect();
            resampled(&values, 0.95, 1_000)
                .and_then(|i| i.ends)
                .is_some_and(|(low, high)| low <= mean && mean <= high)
        });
        held.count() as f64 / f64::from(draws)
    }

    #[test]
    fn an_interval_holds_the_true_mean_about_as_often_as_it_says() {
        let gauss = Gauss::new(3.0, 2.0).expect("a normal distribution");
        let exponential = Exp::new(0.5).expect("an exponential distribution");
        for (n, least) in [(5, 0.90), (10, 0.92), (30, 0.92)] {
            let held = coverage(n, 3.0, |random| gauss.sample(random));
            assert!(
                (least..=0.985).contains(&held),
                "normal, {n} values: {held}"
            );
        }
        let held = coverage(30, 2.0, |random| exponential.sample(random));
        assert!((0.90..=0.985).contains(&held), "exponential: {held}");
    }

    #[test]
    fn an_interval_narrows_with_confidence_and_lies_about_the_mean() {
        let values = [1.0, 2.0, 3.0, 4.0, 5.0, 6.0];
        let [wide, narrow] = [0.99, 0.5].map(|c| {
            bootstrap(&values, c)
                .and_then(|i| i.ends)
                .expect("six values")
        });
        assert!(
            wide.0 < narrow.0 && narrow.0 < 3.5 && 3.5 < narrow.1 && narrow.1 < wide.1,
            "{wide:?} {narrow:?}"
        );
    }

    #[test]
    fn of_few_values_nothing_is_claimed_and_of_equal_ones_there_is_no_doubt() {
        assert_eq!(bootstrap(&[], 0.95), None);
        let few = bootstrap(&[1.0; FEWEST - 1], 0.95).expect("a mean");
        assert_eq!((few.mean, few.excludes_zero()), (1.0, None));
        let equal = bootstrap(&[1.0; FEWEST], 0.95).expect("a mean");
        assert_eq!(
            (equal.ends, equal.excludes_zero()),
            (Some((1.0, 1.0)), Some(true))
        );
        assert_eq!(
            bootstrap(&[0.0; FEWEST], 0.95).and_then(|i| i.excludes_zero()),
            Some(false)
        );
    }

    #[test]
    fn percentiles_are_those_of_the_counts() {
        let latency = Latency {
            buckets: vec![(10, 50), (20, 49), (900, 1)],
            sum: 2_380,
        };
        let told = [0.0, 0.5, 0.51, 0.99, 1.0].map(|part| latency.percentile(part));
        assert_eq!(told, [Some(10), Some(10), Some(20), Some(20), Some(900)]);
        assert_eq!(Latency::default().percentile(0.5), None);
        let twice = Latency::merged([&latency, &latency]);
        assert_eq!(
            (twice.count(), twice.percentile(0.5), twice.sum),
            (200, Some(10), 4_760)
        );
    }
}
