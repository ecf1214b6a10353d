//! A quantile sketch of latencies.

use crate::Micros;

/// Number of buckets: two an octave.
const BUCKETS: usize = 48;
/// Upper end of the first bucket, in microseconds.
const FIRST_BUCKET_END: f64 = 64.0;
/// Ratio of the ends of a bucket.
const GAMMA: f64 = std::f64::consts::SQRT_2;

/// A sketch of latencies from 64 µs to 12 minutes, in 192 bytes. Quantiles have a relative error of at most 17.2%;
/// latencies outside that range count as the nearest of its ends. Sketches merge without loss, in any order.
///
/// After C. Masson, J. E. Rim and H. K. Lee, "DDSketch" (VLDB 2019), with all buckets allocated from the start, so that
/// the size is fixed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LatencySketch {
    counts: Vec<u32>,
}

impl Default for LatencySketch {
    fn default() -> Self {
        LatencySketch {
            counts: vec![0; BUCKETS],
        }
    }
}

impl LatencySketch {
    /// Memory that one sketch takes, including its buckets.
    pub(crate) const BYTES: usize = BUCKETS * size_of::<u32>() + size_of::<Self>();

    /// Adds one latency. Counts saturate.
    pub fn add(&mut self, latency: Micros) {
        let bucket = ((latency as f64 / FIRST_BUCKET_END).ln() / GAMMA.ln())
            .ceil()
            .clamp(0.0, (BUCKETS - 1) as f64);
        let count = &mut self.counts[bucket as usize];
        *count = count.saturating_add(1);
    }

    /// Adds all latencies of another sketch. Counts saturate.
    pub fn merge(&mut self, other: &LatencySketch) {
        for (ours, theirs) in self.counts.iter_mut().zip(&other.counts) {
            *ours = ours.saturating_add(*theirs);
        }
    }

    /// Number of latencies.
    pub fn len(&self) -> u64 {
        self.counts.iter().map(|count| u64::from(*count)).sum()
    }

    /// Whether the sketch holds no latency.
    pub fn is_empty(&self) -> bool {
        self.counts.iter().all(|count| *count == 0)
    }

    /// The `rank` quantile, `rank` from 0 to 1; `None` for an empty sketch.
    pub fn quantile(&self, rank: f64) -> Option<Micros> {
        let wanted = (rank.clamp(0.0, 1.0) * self.len() as f64).ceil().max(1.0) as u64;
        let mut seen = 0;
        let bucket = self.counts.iter().position(|count| {
            seen += u64::from(*count);
            seen >= wanted
        })?;
        // The point of the bucket with the same relative distance to both ends.
        Some((2.0 * FIRST_BUCKET_END * GAMMA.powi(bucket as i32) / (GAMMA + 1.0)) as Micros)
    }

    /// The `rank` quantile, interpolated as if latencies were spread evenly within a bucket. It is closer on average
    /// than [`Self::quantile`], without its bound on the error within a bucket.
    pub(crate) fn interpolated_quantile(&self, rank: f64) -> Option<f64> {
        let wanted = rank.clamp(0.0, 1.0) * self.len() as f64;
        let mut seen = 0.0;
        for (bucket, count) in self.counts.iter().enumerate() {
            let next = seen + f64::from(*count);
            if *count > 0 && next >= wanted {
                let within = (wanted - seen) / f64::from(*count);
                return Some(FIRST_BUCKET_END * GAMMA.powf(bucket as f64 - 1.0 + within));
            }
            seen = next;
        }
        None
    }

    /// Halves all counts, so that new latencies weigh more than old ones.
    pub(crate) fn halve(&mut self) {
        self.counts.iter_mut().for_each(|count| *count /= 2);
    }

    /// Removes all latencies.
    pub(crate) fn clear(&mut self) {
        self.counts.fill(0);
    }
}
