//! How long a level stays active.

use crate::{Damping, Micros};

/// Lengthens stays after frequent changes, and by this instance's jitter.
pub(super) struct StayDamping {
    damping: Damping,
    /// The penalty at `penalty_at`; it decays from then on.
    penalty: f64,
    penalty_at: Micros,
    /// This instance's factor on all stays, at least 1.
    stretch: f64,
}

impl StayDamping {
    /// Without a penalty. `jitter` is this instance's part of [`Damping::max_jitter`], from 0 to 1.
    pub(super) fn new(damping: Damping, jitter: f64, now: Micros) -> Self {
        StayDamping {
            damping,
            penalty: 0.0,
            penalty_at: now,
            stretch: stretch(&damping, jitter),
        }
    }

    /// Applies other settings. The penalty, and this instance's part of the jitter, remain.
    pub(super) fn reconfigure(&mut self, damping: Damping) {
        let jitter = if self.damping.max_jitter > 0.0 {
            (self.stretch - 1.0) / self.damping.max_jitter
        } else {
            0.0
        };
        self.stretch = stretch(&damping, jitter);
        self.damping = damping;
    }

    pub(super) fn damping(&self) -> &Damping {
        &self.damping
    }

    pub(super) fn blind_timeout(&self) -> Micros {
        self.damping.blind_timeout
    }

    /// How long a level with this shortest stay is to remain active, in microseconds.
    pub(super) fn stay(&self, now: Micros, min_stay: Micros) -> Micros {
        let shortest = min_stay as f64 * self.stretch;
        let damped = shortest * self.damping.growth.powf(self.penalty(now));
        let longest = (self.damping.max_stay as f64).max(shortest);
        damped.min(longest) as Micros
    }

    /// Adds a change to the penalty.
    pub(super) fn count_change(&mut self, now: Micros) {
        self.penalty = self.penalty(now) + 1.0;
        self.penalty_at = now;
    }

    fn penalty(&self, now: Micros) -> f64 {
        let elapsed = now.saturating_sub(self.penalty_at) as f64;
        let half_lives = elapsed / self.damping.half_life.max(1) as f64;
        self.penalty * (-half_lives).exp2()
    }
}

fn stretch(damping: &Damping, jitter: f64) -> f64 {
    1.0 + damping.max_jitter * jitter.clamp(0.0, 1.0)
}
