//! What the plots show, out of the runs of an arm.

use crate::experiment::{Experiment, Fault};
use crate::model::faults;
use crate::record::{Latency, Run, Window};
use crate::stats::mean;

/// Steps of a plot at most: beyond, neighbours are taken together.
const MOST_STEPS: usize = 240;
/// Rows and steps of a heat map at most.
const MOST_ROWS: usize = 24;
/// See `MOST_ROWS`.
const MOST_CELLS: usize = 60;

/// Points over time in stretches: where a step has no value a stretch ends.
pub type Stretches = Vec<Vec<(f64, f64)>>;

/// A value for each step of the time series, of the windows that all these runs have in that step.
pub fn over_time(
    e: &Experiment,
    runs: &[&Run],
    value: impl Fn(&[&Window]) -> Option<f64>,
) -> Stretches {
    let window = e.window.seconds();
    // What comes after the end of the load says nothing of goodput.
    let steps = (e.duration.micros().div_ceil(e.window.micros().max(1))) as usize;
    let together = steps.div_ceil(MOST_STEPS).max(1);
    let mut stretches: Stretches = vec![Vec::new()];
    for from in (0..steps).step_by(together) {
        let to = (from + together).min(steps);
        let windows: Vec<&Window> = runs
            .iter()
            .flat_map(|run| run.windows.iter().take(to).skip(from))
            .collect();
        let at = (from + to) as f64 / 2.0 * window;
        match value(&windows).filter(|value| value.is_finite()) {
            Some(value) => stretches
                .last_mut()
                .into_iter()
                .for_each(|stretch| stretch.push((at, value))),
            None if stretches.last().is_some_and(|last| !last.is_empty()) => {
                stretches.push(Vec::new())
            }
            None => {}
        }
    }
    stretches.retain(|stretch| !stretch.is_empty());
    stretches
}

/// Worth earned over worth asked for.
pub fn goodput(windows: &[&Window]) -> Option<f64> {
    let worth: f64 = windows.iter().map(|w| w.worth).sum();
    let earned: f64 = windows.iter().map(|w| w.earned).sum();
    (worth > 0.0).then(|| earned / worth)
}

/// The share of a class in time.
pub fn in_time(class: &str, windows: &[&Window]) -> Option<f64> {
    let of_class = || windows.iter().filter_map(|w| w.classes.get(class));
    let asked: u64 = of_class().map(|(asked, _)| asked).sum();
    let met: u64 = of_class().map(|(_, met)| met).sum();
    (asked > 0).then(|| met as f64 / asked as f64)
}

/// Attempts for each request.
pub fn attempts(windows: &[&Window]) -> Option<f64> {
    let asked: u64 = windows
        .iter()
        .flat_map(|w| w.classes.values())
        .map(|(asked, _)| asked)
        .sum();
    let attempts: u64 = windows.iter().map(|w| w.attempts).sum();
    (asked > 0).then(|| attempts as f64 / asked as f64)
}

/// A latency percentile in milliseconds: the mean of those of the windows in which something was answered.
pub fn latency(of: impl Fn(&Window) -> u64, windows: &[&Window]) -> Option<f64> {
    let values: Vec<f64> = windows
        .iter()
        .map(|w| of(w) as f64 / 1e3)
        .filter(|value| *value > 0.0)
        .collect();
    (!values.is_empty()).then(|| mean(&values))
}

/// The percentiles whose latencies are shown for each class.
pub const PERCENTILES: [(f64, &str); 7] = [
    (0.1, "p10"),
    (0.25, "p25"),
    (0.5, "p50"),
    (0.75, "p75"),
    (0.9, "p90"),
    (0.99, "p99"),
    (0.999, "p99.9"),
];

/// The latencies of a class at [`PERCENTILES`], all seeds together, in milliseconds.
pub fn percentiles(runs: &[&Run], class: &str) -> Stretches {
    let latency = Latency::merged(
        runs.iter()
            .filter_map(|run| run.classes.get(class))
            .map(|tally| &tally.latency),
    );
    let points: Vec<(f64, f64)> = PERCENTILES
        .iter()
        .enumerate()
        .filter_map(|(i, (part, _))| {
            Some((i as f64, latency.percentile(*part)?.max(1) as f64 / 1e3))
        })
        .collect();
    if points.is_empty() {
        Vec::new()
    } else {
        vec![points]
    }
}

/// Rows of the load of servers over time, the mean over the seeds; servers and steps are taken together where there
/// are many.
pub fn load(e: &Experiment, runs: &[&Run]) -> Vec<(String, Vec<f64>)> {
    let Some(first) = runs.first() else {
        return Vec::new();
    };
    let names: Vec<&String> = first.servers.keys().collect();
    let steps = (e.duration.micros().div_ceil(e.window.micros().max(1))) as usize;
    let (rows, cells) = (
        names.len().div_ceil(MOST_ROWS).max(1),
        steps.div_ceil(MOST_CELLS).max(1),
    );
    names
        .chunks(rows)
        .enumerate()
        .map(|(row, names)| {
            let name = match names {
                [one] => one.to_string(),
                [first, .., last] => format!("{first} ... {last}"),
                [] => String::new(),
            };
            let servers = row * rows..row * rows + names.len();
            let of_step = |from: usize| {
                let windows = runs
                    .iter()
                    .flat_map(|run| run.windows.iter().take(from + cells).skip(from));
                let loads: Vec<f64> = windows
                    .flat_map(|w| w.load.get(servers.clone()).unwrap_or_default())
                    .map(|l| f64::from(*l))
                    .collect();
                mean(&loads)
            };
            (name, (0..steps).step_by(cells).map(of_step).collect())
        })
        .collect()
}

/// A fault as a band: from when to when in seconds, and what it is.
pub struct Band {
    /// From, to.
    pub span: (f64, f64),
    /// What it is, in words.
    pub what: String,
}

/// The faults of an experiment as bands.
pub fn bands(e: &Experiment) -> Vec<Band> {
    let end = e.duration.seconds();
    let band = |fault: &Fault| {
        let alone = Experiment {
            faults: vec![fault.clone()],
            ..e.clone()
        };
        let (from, to) = faults::bounds(&alone).map_or((0.0, 0.0), |(from, to)| {
            (from as f64 / 1e6, to as f64 / 1e6)
        });
        let for_good = to <= from;
        let to = if for_good { end } else { to.min(end) };
        let kind = serde_json::to_value(fault.kind).ok();
        let kind = kind
            .as_ref()
            .and_then(|kind| kind.as_str())
            .unwrap_or_default()
            .replace('_', " ");
        let whom = if fault.servers.is_empty() {
            if fault.share > 0.0 {
                format!(" of {}%", (fault.share * 100.0).round())
            } else {
                String::new()
            }
        } else {
            format!(" of {}", fault.servers.join(", "))
        };
        let size = if fault.size > 0.0 {
            format!(", size {}", fault.size)
        } else {
            String::new()
        };
        let until = if for_good {
            "for good".to_string()
        } else {
            format!("until {to:.0} s")
        };
        Band {
            span: (from, to),
            what: format!("{kind}{whom}{size}, from {from:.0} s {until}"),
        }
    };
    e.faults.iter().map(band).collect()
}
