//! A bounded set of hashes, each of which is forgotten some time after it was added.

use foldhash::quality::FixedState;
use madderloom_balancer::Micros;
use std::cell::RefCell;
use std::collections::{HashSet, VecDeque};

/// How long a hash is remembered.
pub(super) const RETENTION: Micros = 60_000_000;
/// The most hashes that are remembered; the oldest is forgotten for one more.
const MAX_HASHES: usize = 16_384;

/// Hashes in the order in which they were added.
#[derive(Default)]
pub(super) struct RecentHashes {
    hashes: RefCell<HashSet<u64, FixedState>>,
    order: RefCell<VecDeque<(Micros, u64)>>,
}

impl RecentHashes {
    /// Whether this hash was added within [`RETENTION`].
    pub(super) fn contains(&self, hash: u64, now: Micros) -> bool {
        self.forget_expired(now);
        self.hashes.borrow().contains(&hash)
    }

    pub(super) fn insert(&self, hash: u64, now: Micros) {
        self.forget_expired(now);
        if self.hashes.borrow_mut().insert(hash) {
            self.order.borrow_mut().push_back((now, hash));
        }
    }

    /// Whether none is remembered.
    pub(super) fn is_empty(&self, now: Micros) -> bool {
        self.forget_expired(now);
        self.order.borrow().is_empty()
    }

    fn forget_expired(&self, now: Micros) {
        let mut order = self.order.borrow_mut();
        while let Some((added_at, hash)) = order.front().copied() {
            if order.len() < MAX_HASHES && now.saturating_sub(added_at) < RETENTION {
                return;
            }
            self.hashes.borrow_mut().remove(&hash);
            order.pop_front();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_hash_is_forgotten_after_its_time_and_the_oldest_for_one_too_many() {
        let recent = RecentHashes::default();
        recent.insert(7, 0);
        assert!(recent.contains(7, RETENTION - 1));
        assert!(!recent.contains(7, RETENTION));
        assert!(recent.is_empty(RETENTION));
        for hash in 0..=MAX_HASHES as u64 {
            recent.insert(hash, RETENTION);
        }
        assert!(!recent.contains(0, RETENTION));
        assert!(recent.contains(MAX_HASHES as u64, RETENTION));
    }
}
