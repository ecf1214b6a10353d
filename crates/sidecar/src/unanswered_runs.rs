//! The ids of non-idempotent requests that may have run, and whose clients got no server's response: they disconnected, or the
//! request failed. A request with such an id is not sent again.

use foldhash::quality::FixedState;
use hyper::header::HeaderValue;
use madderloom_balancer::Micros;
use std::cell::RefCell;
use std::collections::{HashSet, VecDeque};
use std::hash::BuildHasher;

/// How long an id is remembered.
const ID_RETENTION: Micros = 60_000_000;
/// The most ids that are remembered; the oldest is forgotten for one more.
const MAX_IDS: usize = 16_384;

/// Hashes of ids, in the order in which their requests ended.
#[derive(Default)]
pub(super) struct UnansweredRuns {
    hasher: FixedState,
    hashes: RefCell<HashSet<u64, FixedState>>,
    order: RefCell<VecDeque<(Micros, u64)>>,
}

impl UnansweredRuns {
    /// Whether a request with this id may have run unanswered.
    pub(super) fn contains(&self, id: &HeaderValue, now: Micros) -> bool {
        self.forget_expired(now);
        let hash = self.hasher.hash_one(id.as_bytes());
        self.hashes.borrow().contains(&hash)
    }

    /// Records that the request with this id has ended, may have run, and has no server's response.
    pub(super) fn remember(&self, id: &HeaderValue, now: Micros) {
        self.forget_expired(now);
        let hash = self.hasher.hash_one(id.as_bytes());
        if self.hashes.borrow_mut().insert(hash) {
            self.order.borrow_mut().push_back((now, hash));
        }
    }

    fn forget_expired(&self, now: Micros) {
        let mut order = self.order.borrow_mut();
        while let Some((ended_at, hash)) = order.front().copied() {
            if order.len() < MAX_IDS && now.saturating_sub(ended_at) < ID_RETENTION {
                return;
            }
            self.hashes.borrow_mut().remove(&hash);
            order.pop_front();
        }
    }
}
