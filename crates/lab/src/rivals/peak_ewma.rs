//! Two choices by the peak-sensitive moving average of latency.

use super::chassis::{Choice, Fleet};
use super::figures::Figures;
use super::random::draw;
use madderloom_balancer::{AttemptResult, Micros, NewRequest, Outcome, ServerId};
use oorandom::Rand64;
use std::collections::BTreeMap;

/// A moving average of latency that rises at once to a peak and decays from there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Microseconds.
    at: f64,
    updated: Micros,
}

impl Estimate {
    /// Begins at a guess, in microseconds.
    pub fn new(now: Micros, guess: f64) -> Self {
        Estimate {
            at: guess,
            updated: now,
        }
    }

    /// Takes in a latency, in microseconds: in full where it is a peak, else with the weight of the time since the last
    /// update, `1 - exp(-time / decay)`. Gives back the average.
    pub fn add(&mut self, now: Micros, latency: f64, decay: f64) -> f64 {
        let kept = (-(now.saturating_sub(self.updated) as f64) / decay).exp();
        self.at = if latency > self.at {
            latency
        } else {
            kept * self.at + (1.0 - kept) * latency
        };
        self.updated = now;
        self.at
    }
}

/// Of two servers drawn at random, the one with the smaller product of peak EWMA of latency and requests out plus one:
/// Finagle's `p2cPeakEwma` ("Client Modules, Load Balancers" in Finagle's guide) and `tower::load::PeakEwma`.
///
/// Figures: `decay_ms` (10 000, Finagle's default), the time in which an old average loses all but 1/e of its
/// weight; `default_rtt_ms` (1 000, that of tower's documentation), which stands in where nothing was measured.
/// Every look at a server lets its average decay towards 0, as both do, so that what is held to be slow is tried again.
/// Every ending but one unsent counts with its time, failures too: a server that fails fast looks fast, as published;
/// Finagle leaves it to failure accrual.
pub struct PeakEwma {
    random: Rand64,
    decay: f64,
    default: f64,
    estimates: BTreeMap<ServerId, Estimate>,
}

impl PeakEwma {
    /// With a seed of its own.
    pub fn new(figures: &mut Figures<'_>, seed: u64) -> Self {
        let (decay, default) = (
            figures.time("decay_ms", 10_000.0),
            figures.time("default_rtt_ms", 1_000.0),
        );
        let decay = decay.max(1.0);
        PeakEwma {
            random: Rand64::new(u128::from(seed)),
            decay,
            default,
            estimates: BTreeMap::new(),
        }
    }

    /// What a request more would cost there.
    fn cost(&mut self, now: Micros, server: ServerId, fleet: &Fleet) -> f64 {
        let estimate = self
            .estimates
            .entry(server)
            .or_insert(Estimate::new(now, self.default));
        estimate.add(now, 0.0, self.decay) * f64::from(fleet.out(server) + 1)
    }
}

impl Choice for PeakEwma {
    fn choose(
        &mut self,
        now: Micros,
        _: &NewRequest,
        from: &[ServerId],
        fleet: &Fleet,
    ) -> ServerId {
        let drawn = draw(&mut self.random, from, 2);
        let costs = drawn.into_iter().map(|id| (self.cost(now, id, fleet), id));
        costs
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map_or(from[0], |(_, id)| id)
    }

    fn forget(&mut self, server: ServerId) {
        self.estimates.remove(&server);
    }

    fn closed(&mut self, now: Micros, _: u32, closed: &AttemptResult, _: &Fleet) {
        // A server that is gone has no entry, and gets none.
        if let Some(estimate) = self
            .estimates
            .get_mut(&closed.server)
            .filter(|_| closed.outcome != Outcome::Moot)
        {
            estimate.add(now, closed.elapsed as f64, self.decay);
        }
    }
}
