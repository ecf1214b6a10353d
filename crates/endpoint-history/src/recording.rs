//! A time line as a file: how much failed and how slow it was over time, to be played again as a fault.

use crate::{Micros, Timeline};
use madderloom_balancer::Outcome;
use serde::{Deserialize, Serialize};

/// The most moments of a recording that is read: more than a line holds.
const MOMENTS: usize = 4_096;
/// A recording tells of no more slowness than this, and no more speed.
const SLOWNESS: (f64, f64) = (0.01, 1_000.0);

/// A stretch of a recording.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordedInterval {
    /// Its beginning, in milliseconds since that of the recording.
    pub from_ms: u64,
    /// How long it lasts, in milliseconds.
    pub lasts_ms: u64,
    /// Attempts that ended in it.
    pub attempts: u64,
    /// The share of them that was answered with an error, from 0 to 1.
    pub errors: f64,
    /// The share of them that was not answered though it may have run, from 0 to 1.
    pub lost: f64,
    /// The share of them that it provably did not take, from 0 to 1.
    pub refused: f64,
    /// How many times longer than usual its answers took; 1 where there were none.
    pub slower: f64,
}

/// What a server did, over time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Recording {
    /// The version of the format, [`Recording::VERSION`].
    pub version: u32,
    /// The server's name.
    pub server: String,
    /// When it begins, in microseconds of Unix time.
    pub began_us: Micros,
    /// The usual mean latency of an answer, in microseconds, in which `slower` is counted.
    pub usual_us: u64,
    /// In the order of time, none over another.
    pub moments: Vec<RecordedInterval>,
}

impl Recording {
    /// The version that this build writes and reads.
    pub const VERSION: u32 = 1;

    /// What a line holds. Baseline is the median of its steps' mean latencies, weighed by their lengths.
    pub fn of(server: &str, line: &Timeline) -> Self {
        let story = line.story();
        let began_us = story.first().map_or(0, |(_, step)| step.from);
        let mut means: Vec<(u64, Micros)> = story
            .iter()
            .filter(|(_, step)| step.ended(Outcome::Ok) > 0)
            .map(|(width, step)| {
                (
                    step.latency_sum / u64::from(step.ended(Outcome::Ok)),
                    *width,
                )
            })
            .collect();
        means.sort_unstable();
        let half = means.iter().map(|(_, width)| width).sum::<Micros>() / 2;
        let mut passed = 0;
        let usual = means.iter().find(|(_, width)| {
            passed += width;
            passed >= half
        });
        let usual_us = usual.map_or(1, |(mean, _)| *mean).max(1);
        let moment = |(width, step): &(Micros, crate::Interval)| {
            let count = |outcomes: &[Outcome]| {
                outcomes
                    .iter()
                    .map(|o| u64::from(step.ended(*o)))
                    .sum::<u64>()
            };
            let served = count(&[Outcome::Ok]);
            let errors = count(&[Outcome::Error]);
            let lost = count(&[Outcome::Timeout, Outcome::Reset]);
            let refused = count(&[Outcome::Full, Outcome::ConnectFailed]);
            let attempts = served + errors + lost + refused;
            let share = |of: u64| of as f64 / attempts.max(1) as f64;
            let slower = if served > 0 {
                (step.latency_sum as f64 / served as f64 / usual_us as f64)
                    .clamp(SLOWNESS.0, SLOWNESS.1)
            } else {
                1.0
            };
            let from_ms = step.from.saturating_sub(began_us) / 1_000;
            let lasts_ms = width / 1_000;
            let (errors, lost, refused) = (share(errors), share(lost), share(refused));
            RecordedInterval {
                from_ms,
                lasts_ms,
                attempts,
                errors,
                lost,
                refused,
                slower,
            }
        };
        let moments = story
            .iter()
            .map(moment)
            .filter(|moment| moment.attempts > 0)
            .collect();
        Recording {
            version: Self::VERSION,
            server: server.to_string(),
            began_us,
            usual_us,
            moments,
        }
    }

    /// Says what makes no sense in one that was read, and where; nothing where all does.
    pub fn problem(&self) -> Option<String> {
        if self.version != Self::VERSION {
            return Some(format!(
                "version {} is not known; this build reads {}",
                self.version,
                Self::VERSION
            ));
        }
        if self.moments.is_empty() || self.moments.len() > MOMENTS {
            return Some(format!(
                "holds {} moments; 1 to {MOMENTS} make sense",
                self.moments.len()
            ));
        }
        let mut end = 0;
        for (at, moment) in self.moments.iter().enumerate() {
            let told =
                |field: &str, problem: &str| Some(format!("moments[{at}].{field} {problem}"));
            let is_share = |share: f64| (0.0..=1.0).contains(&share);
            if moment.from_ms < end {
                return told("from_ms", "lies before the end of the one before");
            }
            if moment.lasts_ms == 0 {
                return told("lasts_ms", "must be above 0");
            }
            let shares = [moment.errors, moment.lost, moment.refused];
            // Sums of shares that were rounded may be over 1 by as little.
            if !shares.into_iter().all(is_share) || shares.iter().sum::<f64>() > 1.0 + 1e-9 {
                return told(
                    "lost",
                    "and errors and refused must each lie in 0 to 1, and so must their sum",
                );
            }
            if !(SLOWNESS.0..=SLOWNESS.1).contains(&moment.slower) {
                return told("slower", "must lie in 0.01 to 1000");
            }
            match moment
                .from_ms
                .checked_add(moment.lasts_ms)
                .filter(|end| *end < 1 << 40)
            {
                Some(over) => end = over,
                None => return told("lasts_ms", "is longer than any day"),
            }
        }
        None
    }
}
