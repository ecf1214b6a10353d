//! The idempotency records of one process, and the requests that are open.

use super::expiry_counts::{ExpiryCounts, is_counted};
use super::key::{IdempotencyKey, KEY_PREFIX};
use super::record_clock::{RecordClock, expiry_of, written_at};
use super::{Admission, IdempotencyLimits, IdempotencyMode, RecordState, WriteVerdict};
use madderloom_store::{Batch, Disk, Durability, Error, File, Reader, Snapshot};
use std::collections::BTreeMap;

/// The value of a record whose request may have run.
const MAY_HAVE_RUN: &[u8] = b"r";
/// The value of a record whose request was answered.
const ANSWERED: &[u8] = b"a";

/// Records of an earlier format that are rewritten in one batch.
const UPGRADED_RECORDS_PER_BATCH: usize = 200;

/// An open request: one that was admitted and has not ended.
struct OpenRequest {
    /// When its record expires, in store time.
    expires_at: u64,
    mode: IdempotencyMode,
    state: OpenState,
}

/// How far the record of an open request has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OpenState {
    /// It is being written.
    Recording,
    /// The store has taken it.
    Recorded,
    /// There is none, although the request was sent.
    Unrecorded,
    /// The request has not run; its record is still to be deleted.
    Withdrawn,
}

/// Tracks the idempotency records of one process. Its memory is bounded by the number of open requests and by
/// [`IdempotencyLimits::max_records`].
///
/// The age of a record counts in the time that the sidecar has been running, summed over all its starts. At a start it
/// continues from where the latest record left it, and no other clock is read. So a record lasts for at least the
/// retention in real time, however the machine's clock is changed between two starts, and longer by the time that the
/// process was down. The retention in force applies to all records, also after it was raised or lowered: no record lasts
/// for less than the shortest that was in force since it was written.
pub struct IdempotencyTracker {
    limits: IdempotencyLimits,
    clock: RecordClock,
    open: BTreeMap<IdempotencyKey, OpenRequest>,
    records: ExpiryCounts,
    unrecorded_count: u64,
}

impl IdempotencyTracker {
    /// Continues with the records in a store. `now` is the caller's monotonic time in microseconds.
    pub fn open<F: File>(limits: IdempotencyLimits, snapshot: &Snapshot<F>, now: u64) -> Self {
        let mut tracker = IdempotencyTracker::empty(limits);
        // At time 0 no record has expired yet. A record of an earlier format counts as written now.
        let records = || snapshot.keys(KEY_PREFIX, 0);
        let written_times = || records().map(|entry| entry.expires_at.and_then(written_at));
        let running_time = written_times().flatten().max().unwrap_or(0);
        for written_at in written_times() {
            let written_at = written_at.unwrap_or(running_time);
            tracker.records.add(expiry_of(written_at));
        }
        tracker.clock = RecordClock::new(running_time, now, limits.retention);
        tracker
    }

    /// Batches that rewrite the records of earlier formats, which do not tell when they were written, as written now. So they
    /// last for as long as they may have to. To be written before any request is admitted: until then such records count as
    /// expired.
    pub fn upgrade_records<'a, F: File>(
        &'a self,
        snapshot: &'a Snapshot<F>,
        now: u64,
    ) -> impl Iterator<Item = Batch> + 'a {
        let expires_at = expiry_of(self.clock.running_time(now));
        let mut old_keys = snapshot
            .keys(KEY_PREFIX, 0)
            .filter(|entry| entry.expires_at.and_then(written_at).is_none())
            .map(|entry| entry.key)
            .peekable();
        std::iter::from_fn(move || {
            old_keys.peek()?;
            let mut batch = Batch::new();
            for key in old_keys.by_ref().take(UPGRADED_RECORDS_PER_BATCH) {
                let value = snapshot.get(key, 0).ok().flatten();
                // A record that cannot be read counts as one of a request that may have run.
                let value = value.unwrap_or_else(|| MAY_HAVE_RUN.to_vec());
                batch.put_until(key, value, expires_at);
            }
            Some(batch)
        })
    }

    /// A tracker without a store.
    pub fn empty(limits: IdempotencyLimits) -> Self {
        IdempotencyTracker {
            limits,
            clock: RecordClock::new(0, 0, limits.retention),
            open: BTreeMap::new(),
            records: ExpiryCounts::default(),
            unrecorded_count: 0,
        }
    }

    /// Replaces the limits at the caller's time `now`. The retention applies to the existing records that have not expired.
    pub fn set_limits(&mut self, limits: IdempotencyLimits, now: u64) {
        self.clock.set_retention(limits.retention, now);
        self.limits = limits;
    }

    /// The store time: the clock by which records expire, which reads and compactions of the store have to be passed. It never
    /// goes back, but stands still for a while after the retention was raised.
    pub fn store_time(&self, now: u64) -> u64 {
        self.clock.expiry_time(now)
    }

    /// Decides what to do with a request before its last byte is written to a server. To be called once for each request;
    /// its further attempts share the record. Reads no file, so it does not block.
    pub fn admit<D: Disk>(
        &mut self,
        reader: &Reader<D>,
        key: &IdempotencyKey,
        mode: IdempotencyMode,
        now: u64,
    ) -> Admission {
        if mode == IdempotencyMode::Off {
            return Admission::Send;
        }
        let time = self.store_time(now);
        self.forget_expired(time);
        if self.is_duplicate(reader, key, time) {
            return Admission::Fail;
        }
        let expires_at = expiry_of(self.clock.running_time(now));
        if self.records.total() >= self.limits.max_records {
            return self.admit_without_record(key, mode, expires_at);
        }
        self.insert_open(key, mode, OpenState::Recording, expires_at);
        self.records.add(expires_at);
        let mut batch = Batch::new();
        batch.put_until(key.as_bytes(), MAY_HAVE_RUN, expires_at);
        let durability = match mode {
            IdempotencyMode::Durable => Durability::Durable,
            IdempotencyMode::Off | IdempotencyMode::Relaxed => Durability::Relaxed,
        };
        Admission::Record { batch, durability }
    }

    /// Whether a request with this key is open, or has a record. A withdrawn request does not count, and is forgotten.
    fn is_duplicate<D: Disk>(
        &mut self,
        reader: &Reader<D>,
        key: &IdempotencyKey,
        time: u64,
    ) -> bool {
        match self.open.get(key).map(|open| (open.state, open.expires_at)) {
            Some((OpenState::Withdrawn, expires_at)) => {
                self.open.remove(key);
                self.records.remove(expires_at);
                false
            }
            // Of two open requests with one key, the second cannot be told from a repetition.
            Some(_) => true,
            None => reader.contains(key.as_bytes(), time),
        }
    }

    /// Admits a request for which there is no room for a record, or rejects it.
    fn admit_without_record(
        &mut self,
        key: &IdempotencyKey,
        mode: IdempotencyMode,
        expires_at: u64,
    ) -> Admission {
        if mode == IdempotencyMode::Durable {
            return Admission::Reject;
        }
        self.unrecorded_count += 1;
        self.insert_open(key, mode, OpenState::Unrecorded, expires_at);
        Admission::Send
    }

    fn insert_open(
        &mut self,
        key: &IdempotencyKey,
        mode: IdempotencyMode,
        state: OpenState,
        expires_at: u64,
    ) {
        let open = OpenRequest {
            expires_at,
            mode,
            state,
        };
        self.open.insert(key.clone(), open);
    }

    /// The record of a request that is not open, read from the store's files. A record that cannot be read counts as one of
    /// a request that may have run.
    pub fn record_state<D: Disk>(
        &self,
        reader: &Reader<D>,
        key: &IdempotencyKey,
        now: u64,
    ) -> Option<RecordState> {
        match reader.get(key.as_bytes(), self.store_time(now)) {
            Ok(None) => None,
            Ok(Some(value)) if value == ANSWERED => Some(RecordState::Answered),
            Ok(Some(_)) | Err(_) => Some(RecordState::MayHaveRun),
        }
    }

    /// Decides what to do with a request after the store has taken or refused the batch of [`Admission::Record`].
    ///
    /// A refused record is not read by this process, so a repetition of the request is served as new. It may still be found
    /// after a restart. A repetition is then answered as failed, which is true if the request may have run and safe if not.
    pub fn record_written(
        &mut self,
        key: &IdempotencyKey,
        written: &Result<u64, Error>,
    ) -> WriteVerdict {
        let Some(open) = self.open.get_mut(key) else {
            return WriteVerdict::Reject;
        };
        if open.state != OpenState::Recording {
            return WriteVerdict::Reject;
        }
        if written.is_ok() {
            open.state = OpenState::Recorded;
            return WriteVerdict::Send;
        }
        let expires_at = open.expires_at;
        if open.mode == IdempotencyMode::Durable {
            self.open.remove(key);
            self.records.remove(expires_at);
            return WriteVerdict::Reject;
        }
        open.state = OpenState::Unrecorded;
        self.unrecorded_count += 1;
        self.records.remove(expires_at);
        WriteVerdict::Send
    }

    /// Takes in that a request was answered. Returns the batch that records it, to be written with relaxed durability: if it
    /// is lost, the request counts as one that may have run, which a repetition is answered for in the same way. None if
    /// the request has ended before or has no record.
    pub fn answered(&mut self, key: &IdempotencyKey) -> Option<Batch> {
        let open = self.open.remove(key)?;
        if open.state != OpenState::Recorded {
            return None;
        }
        let mut batch = Batch::new();
        batch.put_until(key.as_bytes(), ANSWERED, open.expires_at);
        Some(batch)
    }

    /// Takes in that a request has ended and that no attempt of it can have run. Returns the batch that deletes its record,
    /// to be written with relaxed durability, so that a repetition is served after a restart. The record itself may still
    /// be in a queue: batches apply in order. [`IdempotencyTracker::withdrawal_written`] has to be called with the result;
    /// until then a repetition is served as well.
    pub fn withdraw(&mut self, key: &IdempotencyKey) -> Option<Batch> {
        let open = self.open.get_mut(key)?;
        if open.state == OpenState::Unrecorded {
            self.open.remove(key);
            return None;
        }
        open.state = OpenState::Withdrawn;
        let mut batch = Batch::new();
        batch.delete(key.as_bytes());
        Some(batch)
    }

    /// Takes in the result of writing the batch of [`IdempotencyTracker::withdraw`]. If the store refused it, this process
    /// remembers that the request has not run until its record expires; a restart does not.
    pub fn withdrawal_written(&mut self, key: &IdempotencyKey, written: &Result<u64, Error>) {
        let Some(open) = self.open.get(key) else {
            return;
        };
        if open.state == OpenState::Withdrawn && written.is_ok() {
            let expires_at = open.expires_at;
            self.open.remove(key);
            self.records.remove(expires_at);
        }
    }

    /// Takes in that a request has ended without an answer and may have run. Its record remains.
    pub fn abandon(&mut self, key: &IdempotencyKey) {
        self.open.remove(key);
    }

    /// The number of records, including those of open requests.
    pub fn len(&self) -> usize {
        self.records.total()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The number of requests that were sent although no record of them could be written.
    pub fn unrecorded_count(&self) -> u64 {
        self.unrecorded_count
    }

    fn forget_expired(&mut self, time: u64) {
        if self.records.remove_expired(time) {
            self.open.retain(|_, open| {
                open.state != OpenState::Withdrawn || is_counted(open.expires_at, time)
            });
        }
    }
}
