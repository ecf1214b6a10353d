//! What the explorer needs of a lease holder: the state that distinguishes one from another.

use crate::{LeaseHolder, Micros};

impl LeaseHolder {
    /// The state that matters to the explorer, with times relative to `now`. Measurements are left out.
    pub fn essence(&self, now: Micros) -> impl std::hash::Hash + use<> {
        let limits: Vec<_> = self
            .limits
            .iter()
            .map(|(name, held)| {
                let mut bucket = held.bucket;
                bucket.refill(now.min(self.expires).max(bucket.filled_at), held.leased);
                let tokens = if self.is_leased(now) {
                    bucket.tokens
                } else {
                    0
                };
                (name.clone(), held.leased, tokens, held.open)
            })
            .collect();
        let report_times: Vec<_> = self
            .report_times
            .iter()
            .map(|(seq, at)| (*seq, now.saturating_sub(*at)))
            .collect();
        (
            limits,
            self.by,
            self.number,
            self.expires.saturating_sub(now),
            self.seq,
            report_times,
        )
    }
}
