//! Hashes of states and of their parts.

use foldhash::quality::FixedState;
use std::hash::{BuildHasher, Hash};

/// The seed of the hash of a part of a state.
const PART_SEED: u64 = 1;
/// The seeds of the two halves of the hash of a state.
const STATE_SEEDS: [u64; 2] = [3, 4];

/// The hash of a part of a state. It is the same in each run.
pub(crate) fn hash_of(value: impl Hash) -> u64 {
    FixedState::with_seed(PART_SEED).hash_one(value)
}

/// The hash that identifies a state. It is the same in each run.
pub(super) fn wide_hash_of(value: &impl Hash) -> u128 {
    let [high, low] = STATE_SEEDS.map(|seed| FixedState::with_seed(seed).hash_one(value));
    u128::from(high) << 64 | u128::from(low)
}
