//! The baseline of one endpoint: its usual share of failures and its usual latency.
//!
//! Both are learned while no anomaly is suspected. A profile by time of day, learned at all times, raises them at hours
//! at which the same happens every day.

mod daily_profile;

use crate::{LatencySketch, Micros};
use daily_profile::{DailyProfile, PERIODS};

/// Minutes of a day.
const MINUTES_PER_DAY: usize = 1_440;
/// The period of day before the first attempt.
const NO_PERIOD: usize = PERIODS;
/// Latencies after which the weight of older ones is halved.
const LATENCIES_PER_HALVING: u32 = 4_000;
/// The limits of latency are computed anew after so many latencies: a quantile costs more than all else here.
const LATENCIES_PER_LIMIT: u32 = 64;
/// Attempts without which there is no baseline.
const MIN_ATTEMPTS: u32 = 40;
/// The share of failures is a plain mean at first, then a moving average with the weight of so many attempts.
const FAILURE_MEAN_WEIGHT: f64 = 20_000.0;
/// The share of failures is never taken to be below this; lower shares can't be told from 0.
const MIN_FAILURE_SHARE: f64 = 0.002;
/// The share of failures is never taken to be above this, so that a raised share above it exists.
const MAX_FAILURE_SHARE: f64 = 0.8;
/// The share of slow spans is a plain mean at first, then a moving average with the weight of so many spans.
const SPAN_MEAN_WEIGHT: f64 = 2_000.0;
/// Spans without which there is no baseline for the share of slow ones.
const MIN_SPANS: u32 = 30;
/// The share of slow spans is never taken to be below this.
const MIN_SLOW_SPAN_SHARE: f64 = 0.03;
/// The share of slow spans is never taken to be above this.
const MAX_SLOW_SPAN_SHARE: f64 = 0.4;

/// How a limit of latency follows from the latencies seen.
struct LatencyLimit {
    /// The quantile that the limit is based on.
    rank: f64,
    /// The limit is the quantile times this.
    margin: f64,
}

impl LatencyLimit {
    fn of(&self, latencies: &LatencySketch) -> Option<f64> {
        latencies
            .interpolated_quantile(self.rank)
            .map(|quantile| quantile * self.margin)
    }
}

/// Fewer than one response in ten is beyond this limit.
const HIGH_LIMIT: LatencyLimit = LatencyLimit {
    rank: 0.9,
    margin: 1.15,
};
/// Most responses stay below this limit. An endpoint that is repeatedly beyond it is a little slower than usual.
const TYPICAL_LIMIT: LatencyLimit = LatencyLimit {
    rank: 0.6,
    margin: 1.25,
};

/// An attempt as the baseline learns it.
pub(crate) struct BaselineSample {
    /// Whether the attempt failed or was rejected.
    pub failed: bool,
    /// Latency in the units of [`Baseline::high_latency`], if the attempt was served and its size is usual.
    pub latency: Option<Micros>,
    /// Whether an anomaly is suspected. The sample then counts for the time of day alone.
    pub is_suspect: bool,
}

/// Failures among attempts.
#[derive(Clone, Copy, Debug, Default)]
struct FailureCount {
    failed: u32,
    attempts: u32,
}

/// What is usual for one endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Baseline {
    failure_share: f64,
    attempts: u32,
    latencies: LatencySketch,
    latencies_since_halving: u32,
    high_latency: Option<f64>,
    typical_latency: Option<f64>,
    slow_span_share: f64,
    spans: u32,
    daily_failures: DailyProfile,
    daily_high_latency: DailyProfile,
    daily_typical_latency: DailyProfile,
    /// The current period of day, as an index below [`PERIODS`], or [`NO_PERIOD`].
    period: usize,
    period_failures: FailureCount,
    period_latencies: LatencySketch,
}

impl Baseline {
    /// Memory that one baseline takes besides the value itself: sketches, and two of the three daily profiles.
    pub(crate) const HEAP_BYTES: usize = 2 * DailyProfile::HEAP_BYTES + 2 * LatencySketch::BYTES;

    /// A baseline that has learned nothing.
    pub fn new() -> Self {
        Baseline {
            failure_share: 0.0,
            attempts: 0,
            latencies: LatencySketch::default(),
            latencies_since_halving: 0,
            high_latency: None,
            typical_latency: None,
            slow_span_share: 0.0,
            spans: 0,
            daily_failures: DailyProfile::new(),
            daily_high_latency: DailyProfile::new(),
            daily_typical_latency: DailyProfile::new(),
            period: NO_PERIOD,
            period_failures: FailureCount::default(),
            period_latencies: LatencySketch::default(),
        }
    }

    /// Learns an attempt that ended now, at this minute of the local day (0 to 1,439).
    pub fn learn(&mut self, now: Micros, minute_of_day: u16, sample: &BaselineSample) {
        self.enter_period(now, minute_of_day);
        self.period_failures.failed += u32::from(sample.failed);
        self.period_failures.attempts += 1;
        if let Some(latency) = sample.latency {
            self.period_latencies.add(latency);
        }
        if sample.is_suspect {
            return;
        }
        self.attempts = self.attempts.saturating_add(1);
        let failed = f64::from(u8::from(sample.failed));
        let weight = f64::from(self.attempts).min(FAILURE_MEAN_WEIGHT);
        self.failure_share += (failed - self.failure_share) / weight;
        if let Some(latency) = sample.latency {
            self.learn_latency(latency);
        }
    }

    fn learn_latency(&mut self, latency: Micros) {
        self.latencies.add(latency);
        self.latencies_since_halving += 1;
        if self.latencies_since_halving >= LATENCIES_PER_HALVING {
            self.latencies.halve();
            self.latencies_since_halving = 0;
        }
        let is_first_limit = self.high_latency.is_none() && self.attempts >= MIN_ATTEMPTS;
        if is_first_limit
            || self
                .latencies_since_halving
                .is_multiple_of(LATENCIES_PER_LIMIT)
        {
            self.high_latency = HIGH_LIMIT.of(&self.latencies);
            self.typical_latency = TYPICAL_LIMIT.of(&self.latencies);
        }
    }

    /// Closes the period of day that ended, if any.
    fn enter_period(&mut self, now: Micros, minute_of_day: u16) {
        let period = usize::from(minute_of_day) * PERIODS / MINUTES_PER_DAY;
        if period != self.period {
            self.close_period(now);
            self.period = period.min(PERIODS - 1);
        }
    }

    fn close_period(&mut self, now: Micros) {
        let FailureCount { failed, attempts } = self.period_failures;
        if self.period != NO_PERIOD && attempts >= MIN_ATTEMPTS {
            let share = f64::from(failed) / f64::from(attempts);
            self.daily_failures.record(now, self.period, share);
            if let Some(limit) = HIGH_LIMIT.of(&self.period_latencies) {
                self.daily_high_latency.record(now, self.period, limit);
            }
            if let Some(limit) = TYPICAL_LIMIT.of(&self.period_latencies) {
                self.daily_typical_latency.record(now, self.period, limit);
            }
        }
        self.period_failures = FailureCount::default();
        self.period_latencies.clear();
    }

    /// Whether enough attempts were learned.
    pub fn is_learned(&self) -> bool {
        self.attempts >= MIN_ATTEMPTS
    }

    /// The usual share of failures at the current period of day, above 0; `None` until enough was learned.
    pub fn failure_share(&self) -> Option<f64> {
        let daily = self.current_value(&self.daily_failures);
        self.is_learned().then(|| {
            self.failure_share
                .max(daily)
                .clamp(MIN_FAILURE_SHARE, MAX_FAILURE_SHARE)
        })
    }

    /// The latency that fewer than one response in ten exceeds, in the unit that was learned; `None` until enough was
    /// learned. It is the higher one of the general limit and that of the period of day: neither a slow hour that recurs
    /// every day nor its absence is an anomaly.
    pub fn high_latency(&self) -> Option<f64> {
        let daily = self.current_value(&self.daily_high_latency);
        self.high_latency.map(|limit| limit.max(daily))
    }

    /// The latency that most responses stay below, in the unit that was learned; `None` until enough was learned.
    pub fn typical_latency(&self) -> Option<f64> {
        let daily = self.current_value(&self.daily_typical_latency);
        self.typical_latency.map(|limit| limit.max(daily))
    }

    /// The value of a profile at the current period of day; 0 if unknown.
    fn current_value(&self, profile: &DailyProfile) -> f64 {
        if self.period == NO_PERIOD {
            return 0.0;
        }
        profile.value(self.period)
    }

    /// Learns a span of time, while no anomaly is suspected: whether most of its responses exceeded the typical latency.
    pub fn learn_span(&mut self, is_slow: bool) {
        self.spans = self.spans.saturating_add(1);
        let slow = f64::from(u8::from(is_slow));
        let weight = f64::from(self.spans).min(SPAN_MEAN_WEIGHT);
        self.slow_span_share += (slow - self.slow_span_share) / weight;
    }

    /// The usual share of slow spans; `None` until enough were learned.
    pub fn slow_span_share(&self) -> Option<f64> {
        (self.spans >= MIN_SPANS).then(|| {
            self.slow_span_share
                .clamp(MIN_SLOW_SPAN_SHARE, MAX_SLOW_SPAN_SHARE)
        })
    }
}
