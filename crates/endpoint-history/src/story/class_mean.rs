//! The mean time of a class's answers, by which the answers of each server are judged.

use crate::Micros;

/// Answers of a class from which its mean is taken.
const SOME: f64 = 20.0;
/// Beyond so many answers a class's mean fades by this factor every ten seconds.
const FADING: (f64, f64) = (200.0, 0.995);

/// What is usual of a class: the mean time of its answers, in microseconds, over all servers. A server's answers are
/// measured in it, so that a change in what is asked for is no departure of those who answer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ClassMean {
    sum: f64,
    weight: f64,
}

impl ClassMean {
    pub(super) fn add(&mut self, elapsed: Micros) {
        self.sum += elapsed as f64;
        self.weight += 1.0;
    }

    /// Lets what is old weigh less, by the half in some twenty minutes where there is enough.
    pub(super) fn fade(&mut self) {
        if self.weight > FADING.0 {
            self.sum *= FADING.1;
            self.weight *= FADING.1;
        }
    }

    /// An elapsed time in parts of the mean; none while too little was seen.
    pub(super) fn ratio(&self, elapsed: Micros) -> Option<f64> {
        (self.weight >= SOME && self.sum > 0.0).then(|| elapsed as f64 * self.weight / self.sum)
    }
}
