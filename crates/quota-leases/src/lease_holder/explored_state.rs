//! The view of a lease holder that a model checker needs: the state that distinguishes one from another.

use crate::{LeaseHolder, Micros};

impl LeaseHolder {
    /// The state that determines what the holder does next, with times relative to `now`. Measurements are left out.
    pub fn explored_state(&self, now: Micros) -> impl std::hash::Hash + use<> {
        let limits: Vec<_> = self
            .limits
            .iter()
            .map(|(name, held)| {
                let leased = held.leased.unwrap_or_default();
                let mut bucket = held.bucket;
                bucket.refill(now.min(self.expires).max(bucket.filled_at), leased);
                let tokens = if self.has_valid_grant(now) {
                    bucket.tokens
                } else {
                    0
                };
                (name.clone(), leased, tokens, held.in_flight)
            })
            .collect();
        let report_times: Vec<_> = self
            .report_times
            .iter()
            .map(|(sequence, at)| (*sequence, now.saturating_sub(*at)))
            .collect();
        (
            limits,
            self.server,
            self.grant_number,
            self.expires.saturating_sub(now),
            self.sequence,
            report_times,
        )
    }
}
