//! Fills the index from the log when a store is opened.

use crate::disk::File;
use crate::format::InvalidRecord;
use crate::index::{Index, Key};
use crate::value_location::{ValueLocation, for_each_record};

/// The operations that are sorted at a time before they are applied. Sorting took the opening of 10^6 keys from 2.4 s to
/// 1.24 s (`docs/design/store.md`); no measurement stands behind the number itself.
const SORTED_OPERATIONS: usize = 256 << 10;

/// An operation that is not applied yet: a deletion where there is no location.
struct LoadedOperation {
    key: Key,
    location: Option<ValueLocation>,
}

/// Fills an index from a log.
///
/// The keys of a log come in any order, and each would be searched for in memory that no cache holds. So a number of
/// operations is sorted first and meets the index in its own order.
pub(crate) struct IndexLoader<F> {
    index: Index<F>,
    operations: Vec<LoadedOperation>,
}

impl<F: File> IndexLoader<F> {
    pub fn new() -> Self {
        IndexLoader {
            index: Index::new(),
            operations: Vec::new(),
        }
    }

    /// See [`Index::apply`].
    pub fn apply(
        &mut self,
        body: &[u8],
        segment: u32,
        body_offset: u64,
    ) -> std::result::Result<(), InvalidRecord> {
        for_each_record(body, segment, body_offset, |key, location| {
            let key = key.into();
            self.operations.push(LoadedOperation { key, location });
        })?;
        if self.operations.len() >= SORTED_OPERATIONS {
            self.apply_sorted();
        }
        Ok(())
    }

    fn apply_sorted(&mut self) {
        // The sort is stable, so that the last of the operations on a key is the latest.
        self.operations.sort_by(|a, b| a.key.cmp(&b.key));
        let mut operations = self.operations.drain(..).peekable();
        while let Some(operation) = operations.next() {
            let is_overwritten = operations
                .peek()
                .is_some_and(|next| next.key == operation.key);
            if is_overwritten {
                continue;
            }
            match operation.location {
                Some(location) => self.index.put_shared(operation.key, location),
                None => self.index.remove(&operation.key),
            }
        }
    }

    pub fn finish(mut self) -> Index<F> {
        self.apply_sorted();
        self.index
    }
}
