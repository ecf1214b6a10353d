//! A straight line through measured points, with how far it can be trusted.

use crate::stats::mean;
use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};

/// The confidence of all intervals.
const CONFIDENCE: f64 = 0.95;
/// Where the first and the last piece of the line differ by more than this part, it bends.
const BEND: f64 = 0.25;

/// The ordinary least squares line `fixed + slope * x`, with intervals of 95% by Student's distribution.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// The value at 0.
    pub fixed: f64,
    /// What the value grows by with each unit of x.
    pub slope: f64,
    /// The half of the slope's interval.
    pub slope_half: f64,
    /// The part of the values' variance that the line explains.
    pub r_squared: f64,
    /// Points.
    pub points: usize,
    /// Places on the x axis with points.
    pub places: usize,
    /// The slope between the two least places, and between the two greatest; none with fewer than three.
    pub ends: Option<(f64, f64)>,
    mean_x: f64,
    spread_x: f64,
    deviation: f64,
    /// The greatest place and the mean there.
    last: (f64, f64),
}

/// A value that a line foretells.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Foretold {
    /// The value.
    pub value: f64,
    /// The interval's ends: of a single further run. No cost is below 0.
    pub low: f64,
    /// See `low`.
    pub high: f64,
}

impl Line {
    /// The line through these points; none where there are fewer than three, or all at one place.
    pub fn through(points: &[(f64, f64)]) -> Option<Self> {
        if points.len() < 3 {
            return None;
        }
        let xs: Vec<f64> = points.iter().map(|(x, _)| *x).collect();
        let ys: Vec<f64> = points.iter().map(|(_, y)| *y).collect();
        let (mean_x, mean_y) = (mean(&xs), mean(&ys));
        let spread_x: f64 = xs.iter().map(|x| (x - mean_x).powi(2)).sum();
        let spread_y: f64 = ys.iter().map(|y| (y - mean_y).powi(2)).sum();
        if spread_x <= 0.0 {
            return None;
        }
        let both: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = both / spread_x;
        let fixed = mean_y - slope * mean_x;
        let left: f64 = points
            .iter()
            .map(|(x, y)| (y - fixed - slope * x).powi(2))
            .sum();
        let deviation = (left / (points.len() - 2) as f64).sqrt();
        let r_squared = if spread_y > 0.0 {
            1.0 - left / spread_y
        } else {
            1.0
        };
        let means = means(points);
        Some(Line {
            fixed,
            slope,
            slope_half: quantile(points.len()) * deviation / spread_x.sqrt(),
            r_squared,
            points: points.len(),
            places: means.len(),
            ends: ends(&means),
            mean_x,
            spread_x,
            deviation,
            last: means.last().copied().unwrap_or_default(),
        })
    }

    /// What a further run at `x` would come to. Beyond the greatest place of a line that bends upwards, the interval reaches
    /// up to where the line's last piece leads.
    pub fn at(&self, x: f64) -> Foretold {
        let value = self.fixed + self.slope * x;
        let away = (x - self.mean_x).powi(2) / self.spread_x;
        let half =
            quantile(self.points) * self.deviation * (1.0 + 1.0 / self.points as f64 + away).sqrt();
        let high = (value + half).max(self.last_piece_at(x).unwrap_or(f64::NEG_INFINITY));
        Foretold {
            value,
            low: (value - half).max(0.0),
            high,
        }
    }

    fn last_piece_at(&self, x: f64) -> Option<f64> {
        let (first, last) = self.ends.filter(|_| self.bends())?;
        (last > first && x > self.last.0).then_some(self.last.1 + last * (x - self.last.0))
    }

    /// Whether the cost grows faster or slower at the end than at the beginning.
    pub fn bends(&self) -> bool {
        self.ends
            .is_some_and(|(first, last)| (last - first).abs() > BEND * first.abs().max(last.abs()))
    }
}

/// How many standard errors half an interval is, for so many points.
fn quantile(points: usize) -> f64 {
    let freedom = points.saturating_sub(2).max(1) as f64;
    StudentsT::new(0.0, 1.0, freedom)
        .map_or(f64::INFINITY, |t| t.inverse_cdf(0.5 + CONFIDENCE / 2.0))
}

/// The mean at each place, by place.
fn means(points: &[(f64, f64)]) -> Vec<(f64, f64)> {
    let mut sorted = points.to_vec();
    sorted.sort_by(|one, other| one.0.total_cmp(&other.0));
    let places = sorted.chunk_by(|one, other| one.0 == other.0);
    places
        .map(|all| {
            (
                all[0].0,
                mean(&all.iter().map(|(_, y)| *y).collect::<Vec<_>>()),
            )
        })
        .collect()
}

fn ends(means: &[(f64, f64)]) -> Option<(f64, f64)> {
    let between = |from: (f64, f64), to: (f64, f64)| (to.1 - from.1) / (to.0 - from.0);
    match means {
        [first, second, .., before, last] => {
            Some((between(*first, *second), between(*before, *last)))
        }
        [first, second, last] => Some((between(*first, *second), between(*second, *last))),
        _ => None,
    }
}
