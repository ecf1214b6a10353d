//! Reading a store from any thread while its owner writes.

use crate::disk::{Disk, File};
use crate::error::Result;
use crate::index::Index;
use crate::snapshot::Snapshot;
use std::sync::{Arc, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

/// The index as the owner of the store and its readers share it.
///
/// A panic of a holder leaves the index usable: it is changed by one entry at a time.
pub(crate) struct SharedIndex<F>(Arc<RwLock<Index<F>>>);

impl<F> Clone for SharedIndex<F> {
    fn clone(&self) -> Self {
        SharedIndex(Arc::clone(&self.0))
    }
}

impl<F: File> SharedIndex<F> {
    pub fn new(index: Index<F>) -> Self {
        SharedIndex(Arc::new(RwLock::new(index)))
    }

    pub fn read(&self) -> RwLockReadGuard<'_, Index<F>> {
        self.0.read().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn write(&self) -> RwLockWriteGuard<'_, Index<F>> {
        self.0.write().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reads a store from any thread while its owner writes.
///
/// It sees acknowledged writes only, relaxed ones among them: what it returns may be lost by power loss unless the write
/// was [`Durable`](crate::Durability::Durable).
pub struct Reader<D: Disk> {
    index: SharedIndex<D::File>,
}

impl<D: Disk> Clone for Reader<D> {
    fn clone(&self) -> Self {
        Reader {
            index: self.index.clone(),
        }
    }
}

impl<D: Disk> Reader<D> {
    pub(crate) fn new(index: SharedIndex<D::File>) -> Self {
        Reader { index }
    }

    /// Reads the value of a key; `None` if the key is absent or has expired by `now`.
    ///
    /// # Errors
    /// [`Error::Io`](crate::Error::Io) if the value cannot be read, [`Error::Corrupted`](crate::Error::Corrupted) if it
    /// differs from what was written.
    pub fn get(&self, key: &[u8], now: u64) -> Result<Option<Vec<u8>>> {
        let index = self.index.read();
        let Some(location) = index.find(key, now) else {
            return Ok(None);
        };
        let file = index.file(location.segment);
        // The writer need not wait for the read of the file.
        drop(index);
        location.read_from(file.as_deref()).map(Some)
    }

    /// Whether a key exists and has not expired by `now`. Reads no file.
    #[must_use]
    pub fn contains(&self, key: &[u8], now: u64) -> bool {
        self.index.read().find(key, now).is_some()
    }

    /// Takes a snapshot of the acknowledged content, in a time that does not grow with the store.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot<D::File> {
        self.index.read().snapshot()
    }
}
