//! The ids of non-idempotent requests that may have run, and whose clients got no server's response: they disconnected, or the
//! request failed. A request with such an id is not sent again.

use super::recent_hashes::RecentHashes;
use foldhash::quality::FixedState;
use hyper::header::HeaderValue;
use madderloom_balancer::Micros;
use std::hash::BuildHasher;

/// The ids whose requests have ended recently.
#[derive(Default)]
pub(super) struct UnansweredRuns {
    hasher: FixedState,
    recent: RecentHashes,
}

impl UnansweredRuns {
    /// Whether a request with this id may have run unanswered.
    pub(super) fn contains(&self, id: &HeaderValue, now: Micros) -> bool {
        self.recent.contains(self.hash(id), now)
    }

    /// Records that the request with this id has ended, may have run, and has no server's response.
    pub(super) fn remember(&self, id: &HeaderValue, now: Micros) {
        self.recent.insert(self.hash(id), now);
    }

    fn hash(&self, id: &HeaderValue) -> u64 {
        self.hasher.hash_one(id.as_bytes())
    }
}
