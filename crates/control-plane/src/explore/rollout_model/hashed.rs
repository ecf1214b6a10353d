//! Values with cached hashes, so that an unchanged part of a state is not hashed again.

use std::sync::Arc;

/// A shared value with its hash.
#[derive(Debug)]
pub(super) struct Hashed<T> {
    pub(super) value: Arc<T>,
    pub(super) hash: u64,
}

impl<T> Hashed<T> {
    pub(super) fn new(value: T, hash: u64) -> Self {
        Hashed {
            value: Arc::new(value),
            hash,
        }
    }
}

impl<T> Clone for Hashed<T> {
    fn clone(&self) -> Self {
        Hashed {
            value: Arc::clone(&self.value),
            hash: self.hash,
        }
    }
}
