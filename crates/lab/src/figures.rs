//! What is told of a run in one number: the figures that arms are compared by.

use crate::experiment::Experiment;
use crate::model::faults;
use crate::record::{Run, Tally};
use crate::stats::{Interval, bootstrap};
use serde::Serialize;
use std::collections::BTreeMap;

/// A figure of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Figure {
    /// Worth earned over worth asked for, 0 to 1.
    Goodput,
    /// Worth asked for and not earned.
    WorthLost,
    /// The mean latency of what was served, in milliseconds.
    Mean,
    /// The median latency of what was served, in milliseconds.
    P50,
    /// The 99th percentile of the latency of what was served, in milliseconds.
    P99,
    /// Attempts at servers for each request.
    Attempts,
    /// The share of requests that were refused.
    Refused,
    /// The share of requests that failed.
    Failed,
    /// The time to recovery in seconds. Where goodput never came back it is the time there was for it: at least that.
    Recovery,
}

/// All of them, in the order in which they are told.
pub const ALL: [Figure; 9] = [
    Figure::Goodput,
    Figure::WorthLost,
    Figure::Mean,
    Figure::P50,
    Figure::P99,
    Figure::Attempts,
    Figure::Refused,
    Figure::Failed,
    Figure::Recovery,
];

impl Figure {
    /// Its name, with its unit.
    pub fn name(self) -> &'static str {
        match self {
            Figure::Goodput => "goodput",
            Figure::WorthLost => "worth lost",
            Figure::Mean => "mean [ms]",
            Figure::P50 => "p50 [ms]",
            Figure::P99 => "p99 [ms]",
            Figure::Attempts => "attempts",
            Figure::Refused => "refused",
            Figure::Failed => "failed",
            Figure::Recovery => "recovery [s]",
        }
    }

    /// Whether more of it is better.
    pub fn more_is_better(self) -> bool {
        self == Figure::Goodput
    }

    /// Its value as people read it.
    pub fn written(self, value: f64) -> String {
        let digits = match self {
            Figure::Goodput | Figure::Refused | Figure::Failed => 4,
            Figure::Attempts => 3,
            Figure::WorthLost if value.abs() >= 100.0 => 0,
            Figure::WorthLost | Figure::Mean | Figure::P50 | Figure::P99 | Figure::Recovery => 1,
        };
        let text = format!("{value:.digits$}");
        // What rounds to nothing has no sign.
        if text.trim_start_matches(['-', '0', '.']).is_empty() {
            format!("{:.digits$}", 0.0)
        } else {
            text
        }
    }

    /// Its value for a class of a run, or for all together; none where the run has none.
    pub fn of(self, experiment: &Experiment, run: &Run, class: Option<&str>) -> Option<f64> {
        let tally = match class {
            Some(class) => run.classes.get(class)?,
            None => &run.total,
        };
        let share = |part: u64| (tally.asked > 0).then(|| part as f64 / tally.asked as f64);
        let latency = |part: f64| {
            tally
                .latency
                .percentile(part)
                .map(|micros| micros as f64 / 1e3)
        };
        match self {
            Figure::Goodput => Some(tally.goodput()),
            Figure::WorthLost => Some(tally.worth - tally.earned),
            Figure::Mean => {
                let served = tally.latency.count();
                (served > 0).then(|| tally.latency.sum as f64 / served as f64 / 1e3)
            }
            Figure::P50 => latency(0.5),
            Figure::P99 => latency(0.99),
            Figure::Attempts => attempts(tally),
            Figure::Refused => share(tally.refused),
            Figure::Failed => share(tally.failed),
            Figure::Recovery if class.is_some() => None,
            Figure::Recovery => recovery(experiment, run),
        }
    }
}

/// Attempts for each request.
pub fn attempts(tally: &Tally) -> Option<f64> {
    (tally.asked > 0).then(|| tally.attempts as f64 / tally.asked as f64)
}

/// Seconds to recovery, or those that there were for it; none where nothing breaks, or nothing is mended.
fn recovery(experiment: &Experiment, run: &Run) -> Option<f64> {
    let (_, ends) = faults::bounds(experiment)?;
    let left = experiment
        .duration
        .micros()
        .checked_sub(ends)
        .filter(|left| *left > 0)?;
    Some(
        run.recovery
            .map_or(left as f64 / 1e6, |span| span.seconds()),
    )
}

/// What an arm came to over the seeds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// The arm.
    pub arm: String,
    /// Its figures with intervals of 95%, over the runs that count; those that it has none of are left out.
    pub figures: BTreeMap<Figure, Interval>,
    /// Runs that count.
    pub runs: usize,
    /// Runs that are void.
    pub void: usize,
    /// Broken rules, counted over all runs.
    pub breaches: BTreeMap<String, u64>,
    /// Runs that never came back to what goodput was before the faults.
    pub never_recovered: usize,
}

impl Summary {
    /// An arm's, for a class or for all together.
    pub fn of(experiment: &Experiment, arm: &str, runs: &[Run], class: Option<&str>) -> Summary {
        let all = || runs.iter().filter(|run| run.arm == arm);
        let sound: Vec<&Run> = all().filter(|run| run.void.is_none()).collect();
        let figures = ALL.iter().filter_map(|figure| {
            let values: Vec<f64> = sound
                .iter()
                .filter_map(|run| figure.of(experiment, run, class))
                .collect();
            Some((*figure, bootstrap(&values, 0.95)?))
        });
        let mut breaches = BTreeMap::new();
        for (rule, times) in sound
            .iter()
            .flat_map(|run| &run.breaches)
            .filter(|(_, times)| **times > 0)
        {
            *breaches.entry(rule.clone()).or_default() += times;
        }
        Summary {
            arm: arm.into(),
            figures: figures.collect(),
            runs: sound.len(),
            void: all().count() - sound.len(),
            breaches,
            never_recovered: sound
                .iter()
                .filter(|run| run.recovery.is_none() && recovery(experiment, run).is_some())
                .count(),
        }
    }

    /// A figure of it.
    pub fn figure(&self, figure: Figure) -> Option<Interval> {
        self.figures.get(&figure).copied()
    }
}
