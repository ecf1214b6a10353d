//! Counters of one interval of a timeline.

use crate::{LatencySketch, Micros};
use madderloom_balancer::Outcome;

/// Number of outcomes that attempts are counted by.
const OUTCOMES: usize = 8;

/// What happened at an endpoint during one interval of time. Counts saturate.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Interval {
    /// Start of the interval.
    pub start: Micros,
    /// Attempts that ended in it, by the index of their outcome.
    attempts_by_outcome: [u32; OUTCOMES],
    /// Sum of the latencies of served attempts, in microseconds.
    pub latency_sum: u64,
    /// The highest number of attempts in flight in any sample.
    pub max_in_flight: u32,
    /// Fraction of the unit interval that the endpoint's region covered in the last sample.
    pub region_fraction: f32,
    /// The last load report that was known in the interval.
    pub reported: Option<LoadSample>,
    /// Requests that were rejected because of this endpoint.
    pub rejected_requests: u32,
    /// Latencies of served attempts; `None` without any, and in closed intervals of the finest resolution.
    pub latencies: Option<LatencySketch>,
}

/// A load report as an interval keeps it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadSample {
    /// Requests that the endpoint said it was serving or queueing.
    pub held: f32,
    /// Age of the report when it was sampled, in microseconds.
    pub age: u32,
}

impl Interval {
    /// An empty interval.
    pub(super) fn starting_at(start: Micros) -> Self {
        Interval {
            start,
            ..Interval::default()
        }
    }

    /// Attempts that ended with this outcome.
    pub fn ended(&self, outcome: Outcome) -> u32 {
        self.attempts_by_outcome[index_of(outcome)]
    }

    /// All attempts that ended.
    pub fn attempts(&self) -> u32 {
        self.attempts_by_outcome
            .iter()
            .fold(0, |sum, count| sum.saturating_add(*count))
    }

    /// Whether nothing was recorded. Gauges of an idle endpoint don't count.
    pub(super) fn is_empty(&self) -> bool {
        self.attempts_by_outcome == [0; OUTCOMES]
            && self.rejected_requests == 0
            && self.reported.is_none()
    }

    /// Starts the next interval in place, and gives the one that ended. The region carries over.
    pub(super) fn roll_over(&mut self, start: Micros) -> Interval {
        let next = Interval {
            start,
            region_fraction: self.region_fraction,
            ..Interval::default()
        };
        std::mem::replace(self, next)
    }

    /// The interval without its sketch: of the finest resolution the mean latency is enough.
    pub(super) fn without_latencies(self) -> Self {
        Interval {
            latencies: None,
            ..self
        }
    }

    /// Adds an interval that is a part of this one, and later than what this one holds.
    pub(super) fn merge(&mut self, part: &Interval) {
        let counts = self.attempts_by_outcome.iter_mut();
        for (ours, theirs) in counts.zip(part.attempts_by_outcome) {
            *ours = ours.saturating_add(theirs);
        }
        self.latency_sum = self.latency_sum.saturating_add(part.latency_sum);
        self.max_in_flight = self.max_in_flight.max(part.max_in_flight);
        self.region_fraction = part.region_fraction;
        self.reported = part.reported.or(self.reported);
        self.rejected_requests = self
            .rejected_requests
            .saturating_add(part.rejected_requests);
        if let Some(latencies) = &part.latencies {
            self.latencies.get_or_insert_default().merge(latencies);
        }
    }

    /// Counts an attempt that ended.
    pub(super) fn record_attempt(&mut self, outcome: Outcome, elapsed: Micros) {
        let count = &mut self.attempts_by_outcome[index_of(outcome)];
        *count = count.saturating_add(1);
        if outcome == Outcome::Ok {
            self.latency_sum = self.latency_sum.saturating_add(elapsed);
            self.latencies.get_or_insert_default().add(elapsed);
        }
    }
}

fn index_of(outcome: Outcome) -> usize {
    match outcome {
        Outcome::Ok => 0,
        Outcome::Error => 1,
        Outcome::Full => 2,
        Outcome::Timeout => 3,
        Outcome::ConnectFailed => 4,
        Outcome::Reset => 5,
        Outcome::Cancelled => 6,
        Outcome::Moot => 7,
    }
}
