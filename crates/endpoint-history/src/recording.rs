//! A timeline as a file: the failures and the slowness of one endpoint over time, to be replayed as a fault.

use crate::timeline::{Interval, TimelineEntry};
use crate::{Micros, Timeline};
use madderloom_balancer::Outcome;
use serde::{Deserialize, Serialize};

/// Upper bound on the intervals of a valid recording; more than a timeline holds.
const MAX_INTERVALS: usize = 4_096;
/// Lower bound on the latency ratio of a recording.
const MIN_LATENCY_RATIO: f64 = 0.01;
/// Upper bound on the latency ratio of a recording.
const MAX_LATENCY_RATIO: f64 = 1_000.0;
/// A sum of shares that were rounded may exceed 1 by this.
const SHARE_ROUNDING: f64 = 1e-9;
/// A valid recording ends before this, in milliseconds after its start; some 35 years.
const MAX_END_MS: u64 = 1 << 40;

/// One interval of a recording.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordedInterval {
    /// Start of the interval, in milliseconds after the start of the recording.
    #[serde(rename = "from_ms")]
    pub start_ms: u64,
    /// Length of the interval, in milliseconds.
    #[serde(rename = "lasts_ms")]
    pub duration_ms: u64,
    /// Attempts that ended in it, except those that were cancelled or never sent.
    pub attempts: u64,
    /// Share of them that got an error response, from 0 to 1.
    #[serde(rename = "errors")]
    pub error_share: f64,
    /// Share of them that got no response although they may have run, from 0 to 1.
    #[serde(rename = "lost")]
    pub lost_share: f64,
    /// Share of them that provably did not run, from 0 to 1.
    #[serde(rename = "refused")]
    pub rejected_share: f64,
    /// Mean latency relative to the usual one; 1 without responses.
    #[serde(rename = "slower")]
    pub latency_ratio: f64,
}

/// What one endpoint did over time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Recording {
    /// Version of the format, [`Recording::VERSION`].
    pub version: u32,
    /// Name of the endpoint.
    pub server: String,
    /// Start of the recording, in microseconds of Unix time.
    #[serde(rename = "began_us")]
    pub started_at: Micros,
    /// The usual mean latency in microseconds, the unit of [`RecordedInterval::latency_ratio`].
    #[serde(rename = "usual_us")]
    pub usual_latency: Micros,
    /// Intervals in the order of time, without overlap.
    #[serde(rename = "moments")]
    pub intervals: Vec<RecordedInterval>,
}

/// Why a recording that was read is invalid. Fields are named as they are in the file.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RecordingError {
    /// The format's version is not supported.
    #[error("version {0} is not known; this build reads {version}", version = Recording::VERSION)]
    UnknownVersion(u32),
    /// There is no interval, or there are too many.
    #[error("holds {0} moments; 1 to {max} make sense", max = MAX_INTERVALS)]
    IntervalCount(usize),
    /// An interval starts before the end of the one before.
    #[error("moments[{0}].from_ms lies before the end of the one before")]
    Overlap(usize),
    /// An interval has no length.
    #[error("moments[{0}].lasts_ms must be above 0")]
    NoDuration(usize),
    /// The shares of an interval, or their sum, are not between 0 and 1.
    #[error(
        "moments[{0}].lost and errors and refused must each lie in 0 to 1, and so must their sum"
    )]
    Shares(usize),
    /// The latency ratio of an interval is out of bounds.
    #[error("moments[{0}].slower must lie in 0.01 to 1000")]
    LatencyRatio(usize),
    /// An interval ends too late.
    #[error("moments[{0}].lasts_ms is longer than any day")]
    TooLong(usize),
}

impl Recording {
    /// The version that this build writes and reads.
    pub const VERSION: u32 = 1;

    /// Records all that a timeline holds. The usual latency is the median of the mean latencies of its intervals,
    /// weighted by their lengths.
    pub fn of(server: &str, timeline: &Timeline) -> Self {
        let entries = timeline.finest_entries();
        let started_at = entries.first().map_or(0, |entry| entry.interval.start);
        let usual_latency = usual_latency(&entries);
        let intervals = entries
            .iter()
            .map(|entry| RecordedInterval::of(entry, started_at, usual_latency))
            .filter(|interval| interval.attempts > 0)
            .collect();
        Recording {
            version: Self::VERSION,
            server: server.to_string(),
            started_at,
            usual_latency,
            intervals,
        }
    }

    /// Checks a recording that was read.
    ///
    /// # Errors
    /// The first problem that was found.
    pub fn validate(&self) -> Result<(), RecordingError> {
        if self.version != Self::VERSION {
            return Err(RecordingError::UnknownVersion(self.version));
        }
        if self.intervals.is_empty() || self.intervals.len() > MAX_INTERVALS {
            return Err(RecordingError::IntervalCount(self.intervals.len()));
        }
        let mut previous_end_ms = 0;
        for (index, interval) in self.intervals.iter().enumerate() {
            previous_end_ms = interval.validate(index, previous_end_ms)?;
        }
        Ok(())
    }
}

impl RecordedInterval {
    fn of(entry: &TimelineEntry, started_at: Micros, usual_latency: Micros) -> Self {
        let interval = &entry.interval;
        let served = attempts_that_ended(interval, &[Outcome::Ok]);
        let errors = attempts_that_ended(interval, &[Outcome::Error]);
        let lost = attempts_that_ended(interval, &[Outcome::Timeout, Outcome::Reset]);
        let rejected = attempts_that_ended(interval, &[Outcome::Full, Outcome::ConnectFailed]);
        let attempts = served + errors + lost + rejected;
        let share = |part: u64| part as f64 / attempts.max(1) as f64;
        let latency_ratio = if served > 0 {
            (interval.latency_sum as f64 / served as f64 / usual_latency as f64)
                .clamp(MIN_LATENCY_RATIO, MAX_LATENCY_RATIO)
        } else {
            1.0
        };
        RecordedInterval {
            start_ms: interval.start.saturating_sub(started_at) / 1_000,
            duration_ms: entry.width / 1_000,
            attempts,
            error_share: share(errors),
            lost_share: share(lost),
            rejected_share: share(rejected),
            latency_ratio,
        }
    }

    /// Checks one interval, and gives its end in milliseconds after the start of the recording.
    fn validate(&self, index: usize, previous_end_ms: u64) -> Result<u64, RecordingError> {
        if self.start_ms < previous_end_ms {
            return Err(RecordingError::Overlap(index));
        }
        if self.duration_ms == 0 {
            return Err(RecordingError::NoDuration(index));
        }
        let shares = [self.error_share, self.lost_share, self.rejected_share];
        let is_share = |share: f64| (0.0..=1.0).contains(&share);
        if !shares.into_iter().all(is_share) || shares.iter().sum::<f64>() > 1.0 + SHARE_ROUNDING {
            return Err(RecordingError::Shares(index));
        }
        if !(MIN_LATENCY_RATIO..=MAX_LATENCY_RATIO).contains(&self.latency_ratio) {
            return Err(RecordingError::LatencyRatio(index));
        }
        self.start_ms
            .checked_add(self.duration_ms)
            .filter(|end_ms| *end_ms < MAX_END_MS)
            .ok_or(RecordingError::TooLong(index))
    }
}

/// The median of the mean latencies of all intervals, weighted by their lengths; at least 1.
fn usual_latency(entries: &[TimelineEntry]) -> Micros {
    struct WeightedMean {
        latency: Micros,
        width: Micros,
    }
    let mean = |entry: &TimelineEntry| {
        let served = u64::from(entry.interval.ended(Outcome::Ok));
        let latency = entry.interval.latency_sum.checked_div(served)?;
        let width = entry.width;
        Some(WeightedMean { latency, width })
    };
    let mut means: Vec<WeightedMean> = entries.iter().filter_map(mean).collect();
    means.sort_unstable_by_key(|mean| (mean.latency, mean.width));
    let half = means.iter().map(|mean| mean.width).sum::<Micros>() / 2;
    let mut passed = 0;
    let median = means.iter().find(|mean| {
        passed += mean.width;
        passed >= half
    });
    median.map_or(1, |mean| mean.latency).max(1)
}

fn attempts_that_ended(interval: &Interval, outcomes: &[Outcome]) -> u64 {
    outcomes
        .iter()
        .map(|outcome| u64::from(interval.ended(*outcome)))
        .sum()
}
