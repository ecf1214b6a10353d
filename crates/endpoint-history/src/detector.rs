//! Sequential tests: whether a share has risen, and whether it is back.

use crate::Micros;

/// A cumulative-sum test for a share of yes among yes and no, from a usual share to a raised one.
///
/// After E. S. Page, "Continuous inspection schemes" (Biometrika 1954), in the form for yes and no of M. R. Reynolds
/// and Z. G. Stoumbos (1999). The sum is of log-likelihood ratios, so by G. Lorden (1971) the mean number of
/// observations to a false alarm is at least `exp(bound)`: the rate of false alarms is the setting.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Test {
    sum: f64,
    /// Since the sum was last 0, which is the likeliest time of the change: yes, and all.
    pub yes: u32,
    pub all: u32,
    /// When that was, and when the last yes.
    pub since: Micros,
    pub last: Micros,
}

impl Test {
    /// Takes in one observation. Both shares lie between 0 and 1, and differ.
    pub fn observe(&mut self, now: Micros, yes: bool, usual: f64, raised: f64) {
        if self.all == 0 {
            self.since = now;
        }
        if yes {
            self.last = now;
        }
        let ratio = if yes {
            raised / usual
        } else {
            (1.0 - raised) / (1.0 - usual)
        };
        self.sum += ratio.ln();
        self.yes = self.yes.saturating_add(u32::from(yes));
        self.all = self.all.saturating_add(1);
        if self.sum <= 0.0 {
            *self = Test::default();
        }
    }

    /// Whether the share has changed, by this bound on the sum.
    pub fn exceeds(&self, bound: f64) -> bool {
        self.sum > bound
    }

    /// How much likelier the change is than none, as a logarithm; at least 0.
    pub fn weight(&self) -> f64 {
        self.sum
    }

    /// Whether something may be going on: what is seen now is not to be learned as usual.
    pub fn is_suspicious(&self, bound: f64) -> bool {
        self.sum > bound / 2.0
    }

    /// How far the sum is on its way to the bound, at most 1.
    pub fn confidence(&self, bound: f64) -> f64 {
        (self.sum / bound.max(f64::MIN_POSITIVE)).min(1.0)
    }

    /// The share since the change, as far as there was one.
    pub fn share(&self) -> f64 {
        f64::from(self.yes) / f64::from(self.all.max(1))
    }

    /// A test that was not by sums: so many of as many.
    pub fn all_of(count: u32, since: Micros) -> Self {
        Test {
            yes: count,
            all: count,
            sum: 0.0,
            since,
            last: since,
        }
    }

    pub fn reset(&mut self) {
        *self = Test::default();
    }
}

/// The raised share against which a usual one is tested: a large change, and a small one.
pub(crate) fn raised(usual: f64, large: bool) -> f64 {
    if large {
        (10.0 * usual).clamp(0.1, 0.9_f64.max(0.5 + usual / 2.0))
    } else {
        (3.0 * usual + 0.004).min(0.9)
    }
}
