//! The measurement of an instance's demand for one limit.

use super::token_bucket::TOKEN;
use crate::{MAX_RATE_OR_BURST, Micros};

/// The time over which the rate of requests is averaged, in microseconds. At two requests a second, random variation
/// alone moves the average by a third.
const AVERAGING_TIME: Micros = 6_000_000;
/// From one measurement to the next, the recent maximum of requests in flight decays to this many tenths.
const PEAK_DECAY_TENTHS: u64 = 7;
/// The shortest time between two measurements, in microseconds. A report that is made sooner repeats the last one.
const MIN_MEASUREMENT_INTERVAL: Micros = 200_000;

/// Counts requests, and turns the counts into recent rates with each measurement.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct DemandMeter {
    /// Requests since the last measurement.
    requested: u64,
    /// Requests admitted since the last measurement.
    admitted: u64,
    /// The most requests that were in flight at once, or would have been, since the last measurement.
    peak_in_flight: u64,
    measured_at: Micros,
    demand_rate: u64,
    demand_in_flight: u64,
    admitted_rate: u64,
}

impl DemandMeter {
    pub(super) fn new(now: Micros) -> Self {
        DemandMeter {
            requested: 0,
            admitted: 0,
            peak_in_flight: 0,
            measured_at: now,
            demand_rate: 0,
            demand_in_flight: 0,
            admitted_rate: 0,
        }
    }

    /// Counts a request, before it is known whether it is admitted beside those in flight.
    pub(super) fn count_request(&mut self, in_flight: u64) {
        self.requested += 1;
        self.peak_in_flight = self.peak_in_flight.max(in_flight + 1);
    }

    /// Counts an admitted request.
    pub(super) fn count_admission(&mut self) {
        self.admitted += 1;
    }

    /// The recent rate of requests, admitted or not, in thousandths a second.
    pub(super) fn demand_rate(&self) -> u64 {
        self.demand_rate
    }

    /// The recent maximum of requests that were in flight at once or would have been.
    pub(super) fn demand_in_flight(&self) -> u64 {
        self.demand_in_flight
    }

    /// The recent rate of admitted requests, in thousandths a second.
    pub(super) fn admitted_rate(&self) -> u64 {
        self.admitted_rate
    }

    /// Measures the requests since the last measurement, and begins the next one.
    pub(super) fn measure(&mut self, now: Micros, in_flight: u64) {
        let elapsed = now.saturating_sub(self.measured_at);
        if elapsed < MIN_MEASUREMENT_INTERVAL {
            return;
        }
        // A rate beyond random variation (two standard deviations) counts at once.
        let certain = self
            .requested
            .saturating_sub(2 * (self.requested + 1).isqrt());
        self.demand_rate = averaged(
            self.demand_rate,
            per_second(self.requested, elapsed),
            elapsed,
        )
        .max(per_second(certain, elapsed));
        self.demand_in_flight = self
            .peak_in_flight
            .max(self.demand_in_flight / 10 * PEAK_DECAY_TENTHS);
        self.admitted_rate = averaged(
            self.admitted_rate,
            per_second(self.admitted, elapsed),
            elapsed,
        );
        self.requested = 0;
        self.admitted = 0;
        self.peak_in_flight = in_flight;
        self.measured_at = now;
    }
}

/// The rate of a number of requests over a time, in thousandths a second.
fn per_second(count: u64, elapsed: Micros) -> u64 {
    let rate = u128::from(count) * TOKEN / u128::from(elapsed);
    u64::try_from(rate)
        .unwrap_or(u64::MAX)
        .min(MAX_RATE_OR_BURST)
}

/// The moving average of a former value and the present one, which weighs as much as its part of the averaging time.
fn averaged(former: u64, present: u64, elapsed: Micros) -> u64 {
    let (former, present) = (u128::from(former), u128::from(present));
    let weight = u128::from(elapsed.min(AVERAGING_TIME));
    let total = u128::from(AVERAGING_TIME);
    u64::try_from((former * (total - weight) + present * weight) / total).unwrap_or(u64::MAX)
}
