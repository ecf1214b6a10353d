//! Tests of an endpoint's latency: late seconds, and slow spans for small slowdowns.
//!
//! Latencies within one second aren't independent, so the responses of a second (or span) are one observation, by their
//! majority.

use super::active_anomaly::AnomalyKey;
use super::attempt::{AttemptSample, LARGE_REQUEST_SIZE};
use super::endpoint::Endpoint;
use crate::SECOND;
use crate::anomaly::Fault;

/// Responses from which on a block is one with many responses.
const MANY_RESPONSES: u32 = 5;
/// Baseline share of late seconds with few responses: that of a single response.
pub(super) const LATE_SHARE_FEW_RESPONSES: f64 = 0.1;
/// Baseline share of late seconds with many responses, whose majority is late more rarely than a single response.
const LATE_SHARE_MANY_RESPONSES: f64 = 0.02;
/// The raised share of late seconds that is tested for.
const LATE_SHARE_RAISED: f64 = 0.6;
/// The raised share of slow spans that is tested for is the baseline share times this...
const SLOW_SPAN_INCREASE_FACTOR: f64 = 2.0;
/// ...and at least this.
const MIN_RAISED_SLOW_SPAN_SHARE: f64 = 0.7;

/// Whether a request is large enough to be tested separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestSize {
    Usual,
    Large,
}

impl RequestSize {
    /// Classifies a request by its size relative to the usual one of its class.
    pub(super) fn of(relative_size: f64) -> Self {
        if relative_size >= LARGE_REQUEST_SIZE {
            RequestSize::Large
        } else {
            RequestSize::Usual
        }
    }
}

/// A value for requests of usual size, and one for large ones.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct BySize<T> {
    pub(super) usual: T,
    pub(super) large: T,
}

impl<T> BySize<T> {
    fn get_mut(&mut self, size: RequestSize) -> &mut T {
        match size {
            RequestSize::Usual => &mut self.usual,
            RequestSize::Large => &mut self.large,
        }
    }
}

/// Responses within a block of time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LatencyBlock {
    /// The second that the block began in, since the epoch of the clock.
    second: u64,
    /// Responses beyond the limit.
    late: u32,
    responses: u32,
}

impl LatencyBlock {
    fn count(&mut self, is_late: bool) {
        self.responses += 1;
        self.late += u32::from(is_late);
    }

    fn is_mostly_late(self) -> bool {
        2 * self.late > self.responses
    }
}

impl Endpoint {
    /// Tests a response's latency against the high and the typical latency of the baseline. Appends anomalies that the
    /// endpoint has recovered from.
    pub(super) fn observe_latency(
        &mut self,
        sample: &AttemptSample,
        latency: f64,
        high_latency: f64,
        recovered: &mut Vec<AnomalyKey>,
    ) {
        let size = RequestSize::of(sample.relative_size);
        let is_late = match size {
            RequestSize::Usual => latency > high_latency,
            // A large request may take as many times longer as it is larger.
            RequestSize::Large => latency > high_latency * sample.relative_size,
        };
        let second = sample.now / SECOND;
        let block = self.second.get_mut(size);
        if block.second != second {
            let ended = std::mem::take(block);
            block.second = second;
            recovered.extend(self.end_second(sample, size, ended));
        }
        self.second.get_mut(size).count(is_late);
        if size == RequestSize::Usual {
            recovered.extend(self.add_to_span(sample, latency));
        }
    }

    /// Tests the responses of a second that has ended. Returns the anomaly that the endpoint has recovered from.
    fn end_second(
        &mut self,
        sample: &AttemptSample,
        size: RequestSize,
        block: LatencyBlock,
    ) -> Option<AnomalyKey> {
        if block.responses == 0 {
            return None;
        }
        let now = sample.now;
        let bound = sample.bounds.latency;
        let is_late = block.is_mostly_late();
        let baseline = if block.responses >= MANY_RESPONSES {
            LATE_SHARE_MANY_RESPONSES
        } else {
            LATE_SHARE_FEW_RESPONSES
        };
        let fault = match size {
            RequestSize::Usual => Fault::Slow,
            RequestSize::Large => Fault::SlowForLargeRequests,
        };
        let key = AnomalyKey::all_classes(fault);
        if let Some(active) = self.active.get(&key) {
            let recovered =
                !active.found_by_spans && self.observe_active(now, key, is_late, baseline);
            return recovered.then_some(key);
        }
        let test = self.late_seconds.get_mut(size);
        test.observe(now, is_late, baseline, LATE_SHARE_RAISED);
        if !test.exceeds(bound) {
            return None;
        }
        // If all requests are slow, large ones are too.
        let slow_for_all = AnomalyKey::all_classes(Fault::Slow);
        let is_slow_for_all =
            self.late_seconds.usual.is_suspicious(bound) || self.active.contains_key(&slow_for_all);
        if size == RequestSize::Large && is_slow_for_all {
            return None;
        }
        let evidence = std::mem::take(self.late_seconds.get_mut(size));
        self.raise(now, sample.server, key, &evidence, baseline);
        None
    }

    /// Adds a response to the current span, and tests the span once it lasted into another second with enough
    /// responses. Returns the anomaly that the endpoint has recovered from.
    fn add_to_span(&mut self, sample: &AttemptSample, latency: f64) -> Option<AnomalyKey> {
        let now = sample.now;
        let typical_latency = self.baseline.typical_latency()?;
        if self.span.responses == 0 {
            self.span.second = now / SECOND;
        }
        self.span.count(latency > typical_latency);
        if self.span.responses < MANY_RESPONSES || now / SECOND == self.span.second {
            return None;
        }
        let is_slow = std::mem::take(&mut self.span).is_mostly_late();
        let baseline = self.baseline.slow_span_share();
        if !sample.is_suspect {
            self.baseline.learn_span(is_slow);
        }
        self.end_span(sample, is_slow, baseline?)
    }

    fn end_span(
        &mut self,
        sample: &AttemptSample,
        is_slow: bool,
        baseline: f64,
    ) -> Option<AnomalyKey> {
        let now = sample.now;
        let key = AnomalyKey::all_classes(Fault::Slow);
        if let Some(active) = self.active.get(&key) {
            let recovered =
                active.found_by_spans && self.observe_active(now, key, is_slow, baseline);
            return recovered.then_some(key);
        }
        let raised = (SLOW_SPAN_INCREASE_FACTOR * baseline).max(MIN_RAISED_SLOW_SPAN_SHARE);
        self.slow_spans.observe(now, is_slow, baseline, raised);
        if !self.slow_spans.exceeds(sample.bounds.latency) {
            return None;
        }
        let evidence = std::mem::take(&mut self.slow_spans);
        self.raise(now, sample.server, key, &evidence, baseline);
        if let Some(active) = self.active.get_mut(&key) {
            active.found_by_spans = true;
        }
        None
    }

    /// Whether the test of spans is further than that of seconds.
    pub(super) fn is_slow_by_spans(&self) -> bool {
        let spans = self.slow_spans.log_likelihood_ratio();
        spans > self.late_seconds.usual.log_likelihood_ratio()
    }
}
