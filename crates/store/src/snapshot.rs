//! Snapshots: the content of the store at one moment.

use crate::disk::File;
use crate::error::Result;
use crate::format::NO_EXPIRY;
use crate::index::Key;
use crate::value_location::{SegmentFiles, ValueLocation};
use imbl::OrdMap;
use std::ops::Bound;
use std::sync::Arc;

/// The acknowledged content of a store at one moment.
///
/// It stays as it is while writes and compactions go on, and any thread may read it. The segments that it needs stay
/// open, and their space on the disk taken, until it is dropped. It is a view in memory: nothing of it survives the
/// process.
pub struct Snapshot<F> {
    locations: OrdMap<Key, ValueLocation>,
    files: Arc<SegmentFiles<F>>,
}

/// A key of a [`Snapshot`] with what is known of its value without reading it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyEntry<'a> {
    /// The key.
    pub key: &'a [u8],
    /// The value's length in bytes.
    pub value_length: u32,
    /// The time from which the key reads as absent; `None` for never.
    pub expires_at: Option<u64>,
}

impl<F> Clone for Snapshot<F> {
    fn clone(&self) -> Self {
        Snapshot {
            locations: self.locations.clone(),
            files: Arc::clone(&self.files),
        }
    }
}

impl<F: File> Snapshot<F> {
    pub(crate) fn new(locations: OrdMap<Key, ValueLocation>, files: Arc<SegmentFiles<F>>) -> Self {
        Snapshot { locations, files }
    }

    /// Reads the value of a key; `None` if the key is absent or has expired by `now`.
    ///
    /// # Errors
    /// [`Error::Io`](crate::Error::Io) if the value cannot be read, [`Error::Corrupted`](crate::Error::Corrupted) if it
    /// differs from what was written.
    pub fn get(&self, key: &[u8], now: u64) -> Result<Option<Vec<u8>>> {
        let location = self.locations.get(key).filter(|found| found.is_live(now));
        location.map(|found| found.read(&self.files)).transpose()
    }

    /// Iterates over the keys with this prefix that have not expired by `now`, in the order of their bytes, each with
    /// its value. An empty prefix means all keys.
    ///
    /// # Errors
    /// For each value on its own: see [`Snapshot::get`].
    pub fn scan<'a>(
        &'a self,
        prefix: &'a [u8],
        now: u64,
    ) -> impl Iterator<Item = Result<(&'a [u8], Vec<u8>)>> + 'a {
        self.live_locations(prefix, now)
            .map(|(key, location)| Ok((key, location.read(&self.files)?)))
    }

    /// Iterates over the same keys as [`Snapshot::scan`] without reading their values.
    pub fn keys<'a>(
        &'a self,
        prefix: &'a [u8],
        now: u64,
    ) -> impl Iterator<Item = KeyEntry<'a>> + 'a {
        self.live_locations(prefix, now)
            .map(|(key, location)| KeyEntry {
                key,
                value_length: location.length,
                expires_at: (location.expires_at != NO_EXPIRY).then_some(location.expires_at),
            })
    }

    fn live_locations<'a>(
        &'a self,
        prefix: &'a [u8],
        now: u64,
    ) -> impl Iterator<Item = (&'a [u8], ValueLocation)> + 'a {
        let from_prefix: (Bound<&[u8]>, Bound<&[u8]>) = (Bound::Included(prefix), Bound::Unbounded);
        self.locations
            .range::<_, [u8]>(from_prefix)
            .map(|(key, location)| (&**key, *location))
            .take_while(move |(key, _)| key.starts_with(prefix))
            .filter(move |(_, location)| location.is_live(now))
    }

    /// Iterates over the entries after a key, or over all for `None`, those that have expired included.
    pub(crate) fn entries_after<'a>(
        &'a self,
        key: Option<&'a [u8]>,
    ) -> impl Iterator<Item = (&'a Key, ValueLocation)> + 'a {
        let from: Bound<&[u8]> = key.map_or(Bound::Unbounded, Bound::Excluded);
        self.locations
            .range::<_, [u8]>((from, Bound::Unbounded))
            .map(|(key, location)| (key, *location))
    }

    /// The segments that the snapshot keeps open.
    pub(crate) fn files(&self) -> &SegmentFiles<F> {
        &self.files
    }

    /// The count of keys, those that have expired and are not dropped yet included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// Whether there is no key.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }
}
