//! The index: an ordered map in memory from each key to the location of its value. It holds no values.

use crate::disk::File;
use crate::format::{FRAME_HEADER_BYTES, InvalidRecord, NO_EXPIRY};
use crate::snapshot::Snapshot;
use crate::value_location::{SegmentFiles, ValueLocation, for_each_record};
use imbl::OrdMap;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A key, shared between the index and its snapshots.
pub(crate) type Key = Arc<[u8]>;

/// The index, and the open segments that its locations refer to.
pub(crate) struct Index<F> {
    locations: OrdMap<Key, ValueLocation>,
    files: Arc<SegmentFiles<F>>,
    /// The bytes that all entries take in the log, those that have expired included.
    entry_bytes: u64,
    /// The part of `entry_bytes` that expires.
    expiring_bytes: ExpiringBytes,
}

impl<F: File> Index<F> {
    pub fn new() -> Self {
        Index {
            locations: OrdMap::new(),
            files: Arc::default(),
            entry_bytes: 0,
            expiring_bytes: ExpiringBytes::default(),
        }
    }

    /// Applies the records of a frame's body that begins at `body_offset` of this segment. Nothing is applied if one of
    /// them is invalid.
    pub fn apply(
        &mut self,
        body: &[u8],
        segment: u32,
        body_offset: u64,
    ) -> std::result::Result<(), InvalidRecord> {
        for_each_record(body, segment, body_offset, |key, location| match location {
            Some(location) => self.put(key, location),
            None => self.remove(key),
        })
    }

    /// Applies frames that this process wrote one behind the other from this offset of a segment.
    pub fn apply_frames<'a>(
        &mut self,
        bodies: impl Iterator<Item = &'a [u8]>,
        segment: u32,
        first_frame_offset: u64,
    ) {
        let mut offset = first_frame_offset;
        for body in bodies {
            let body_offset = offset + FRAME_HEADER_BYTES as u64;
            // The records were encoded by this process, and a segment ends long before 4 GiB.
            let _ = self.apply(body, segment, body_offset);
            offset = body_offset + body.len() as u64;
        }
    }

    fn put(&mut self, key: &[u8], location: ValueLocation) {
        self.account_added(key, &location);
        // An existing key keeps its allocation, which snapshots share.
        if let Some(current) = self.locations.get_mut(key) {
            let former = std::mem::replace(current, location);
            self.account_removed(key, &former);
        } else {
            self.locations.insert(key.into(), location);
        }
    }

    /// Like [`Index::put`], for a key that is allocated already.
    pub fn put_shared(&mut self, key: Key, location: ValueLocation) {
        self.account_added(&key, &location);
        if let Some(former) = self.locations.insert(Arc::clone(&key), location) {
            self.account_removed(&key, &former);
        }
    }

    pub fn remove(&mut self, key: &[u8]) {
        if let Some(former) = self.locations.remove(key) {
            self.account_removed(key, &former);
        }
    }

    fn account_added(&mut self, key: &[u8], location: &ValueLocation) {
        let bytes = location.log_bytes(key);
        self.entry_bytes += bytes;
        self.expiring_bytes.add(location.expires_at, bytes);
    }

    fn account_removed(&mut self, key: &[u8], location: &ValueLocation) {
        let bytes = location.log_bytes(key);
        self.entry_bytes = self.entry_bytes.saturating_sub(bytes);
        self.expiring_bytes.remove(location.expires_at, bytes);
    }

    /// Points a key to where compaction copied its value, or removes it for `None`. Does nothing if the key has changed
    /// since the compaction began.
    pub fn relocate(&mut self, key: &[u8], from: ValueLocation, to: Option<ValueLocation>) {
        if self.locations.get(key) == Some(&from) {
            match to {
                Some(to) => self.put(key, to),
                None => self.remove(key),
            }
        }
    }

    /// The bytes in the log of the entries that have not expired by `now`, exact to one step of expiries (4.2 s if times
    /// are in microseconds).
    pub fn live_bytes(&self, now: u64) -> u64 {
        self.entry_bytes
            .saturating_sub(self.expiring_bytes.expired_by(now))
    }

    /// The count of entries, those that have expired included.
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// The open segments. Snapshots keep those that they were taken with.
    pub fn files_mut(&mut self) -> &mut SegmentFiles<F> {
        Arc::make_mut(&mut self.files)
    }

    pub fn snapshot(&self) -> Snapshot<F> {
        Snapshot::new(self.locations.clone(), Arc::clone(&self.files))
    }

    /// The location of a value that has not expired by `now`.
    pub fn find(&self, key: &[u8], now: u64) -> Option<ValueLocation> {
        let location = self.locations.get(key)?;
        location.is_live(now).then_some(*location)
    }

    /// The open segment with this id.
    pub fn file(&self, segment: u32) -> Option<Arc<F>> {
        self.files.get(&segment).cloned()
    }
}

/// Expiries are counted in steps of two to this power, so that the count of steps stays small.
const EXPIRY_STEP_BITS: u32 = 22;

/// How many bytes of the log expire in each step of time.
#[derive(Default)]
struct ExpiringBytes {
    by_step: BTreeMap<u64, u64>,
}

impl ExpiringBytes {
    fn add(&mut self, expires_at: u64, bytes: u64) {
        if expires_at != NO_EXPIRY {
            *self
                .by_step
                .entry(expires_at >> EXPIRY_STEP_BITS)
                .or_default() += bytes;
        }
    }

    fn remove(&mut self, expires_at: u64, bytes: u64) {
        let step = expires_at >> EXPIRY_STEP_BITS;
        if expires_at == NO_EXPIRY {
            return;
        }
        if let Some(left) = self.by_step.get_mut(&step) {
            *left = left.saturating_sub(bytes);
            if *left == 0 {
                self.by_step.remove(&step);
            }
        }
    }

    /// The bytes of all steps that have passed by `now`.
    fn expired_by(&self, now: u64) -> u64 {
        let passed = self.by_step.range(..now >> EXPIRY_STEP_BITS);
        passed.map(|(_, bytes)| bytes).sum()
    }
}
