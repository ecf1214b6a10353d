//! Bounds of the sequential tests, from the accepted rate of false alarms.

use super::EndpointHistory;
use crate::{DAY, Micros, SECOND, Settings};

/// Attempts are counted over windows of at least this length.
const RATE_WINDOW: Micros = 10 * SECOND;
/// Weight of the former rate in the moving average of attempts per day.
const FORMER_RATE_WEIGHT: f64 = 0.9;
/// Weight of the latest window in that average.
const LATEST_RATE_WEIGHT: f64 = 0.1;
/// The rate of attempts is taken to be at least this, one a second, while few were counted.
const MIN_ATTEMPTS_PER_DAY: f64 = 86_400.0;
/// Observations of an endpoint's latency per day: one a second.
const LATENCY_OBSERVATIONS_PER_DAY: f64 = 86_400.0;
/// False alarms are divided equally between tests of failures and tests of latency.
const TEST_GROUPS: f64 = 2.0;
/// Tests of failures that one attempt takes part in, at most. Each may raise a false alarm.
const FAILURE_TESTS: f64 = 5.0;
/// Tests of latency for each endpoint.
const LATENCY_TESTS: f64 = 3.0;
/// The accepted rate of false alarms is taken to be at least this.
const MIN_FALSE_ALARMS_PER_DAY: f64 = 1e-6;

/// Bounds on the sums of the tests.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bounds {
    /// For tests of failures and rejections.
    pub(super) failures: f64,
    /// For tests of latency.
    pub(super) latency: f64,
}

impl Bounds {
    pub(super) fn new(settings: &Settings, rate: &AttemptRate, endpoints: usize) -> Self {
        let accepted = settings.false_alarms_per_day.max(MIN_FALSE_ALARMS_PER_DAY);
        let endpoints = endpoints.max(1) as f64;
        let attempts_per_day = rate.per_day.max(MIN_ATTEMPTS_PER_DAY);
        let failure_observations = TEST_GROUPS * FAILURE_TESTS * attempts_per_day;
        let latency_observations =
            TEST_GROUPS * LATENCY_TESTS * LATENCY_OBSERVATIONS_PER_DAY * endpoints;
        Bounds {
            failures: (failure_observations / accepted).ln(),
            latency: (latency_observations / accepted).ln(),
        }
    }
}

/// The rate of attempts, as a moving average.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AttemptRate {
    per_day: f64,
    window_start: Micros,
    /// Attempts since `window_start`. Saturates.
    window_attempts: u32,
}

impl AttemptRate {
    /// Counts one attempt.
    pub(super) fn count(&mut self) {
        self.window_attempts = self.window_attempts.saturating_add(1);
    }

    /// Closes the window if it is long enough. Returns whether it did.
    fn close_window(&mut self, now: Micros) -> bool {
        let elapsed = now.saturating_sub(self.window_start);
        if elapsed < RATE_WINDOW {
            return false;
        }
        let attempts = f64::from(self.window_attempts);
        self.per_day = if self.window_start == 0 {
            // The first window has no known start, so its rate is unknown.
            self.per_day.max(attempts)
        } else {
            let per_day = attempts * DAY as f64 / elapsed as f64;
            FORMER_RATE_WEIGHT * self.per_day + LATEST_RATE_WEIGHT * per_day
        };
        self.window_start = now;
        self.window_attempts = 0;
        true
    }
}

impl EndpointHistory {
    /// Refreshes what changes slowly, about every ten seconds: the bounds, the mean latencies of classes and the
    /// baselines by kind of machine.
    pub(super) fn refresh(&mut self, now: Micros) {
        if !self.attempt_rate.close_window(now) {
            return;
        }
        self.update_bounds();
        for class in &mut self.class_latencies {
            class.decay();
        }
        self.update_baselines_by_kind(now);
    }

    /// Computes the bounds anew.
    pub(super) fn update_bounds(&mut self) {
        self.bounds = Bounds::new(&self.settings, &self.attempt_rate, self.endpoints.len());
    }
}
