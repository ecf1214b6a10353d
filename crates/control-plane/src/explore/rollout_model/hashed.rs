//! Values with cached hashes, so that an unchanged part of a state is not hashed again.

use super::state::Process;
use foldhash::quality::FixedState;
use std::hash::{BuildHasher, Hash};
use std::sync::Arc;

/// A value with its hash.
#[derive(Debug)]
pub(super) struct Hashed<T> {
    pub(super) value: Arc<T>,
    pub(super) hash: u64,
}

impl<T> Clone for Hashed<T> {
    fn clone(&self) -> Self {
        Hashed {
            value: Arc::clone(&self.value),
            hash: self.hash,
        }
    }
}

pub(crate) fn hash_of(value: impl Hash) -> u64 {
    FixedState::with_seed(1).hash_one(value)
}

impl Hashed<Process> {
    /// Leaves the name out of the hash: the place of the process determines it.
    pub(super) fn new(value: Process) -> Self {
        let mut nameless = value.clone();
        nameless.name = 0;
        nameless.machine.forget_name();
        Hashed {
            hash: hash_of(&nameless),
            value: Arc::new(value),
        }
    }
}
