//! The store: its log, the index of it, and the only place that writes the log.

mod compaction;
mod rotation;

use crate::active_segment::ActiveSegment;
use crate::batch::Batch;
use crate::compaction::Relocation;
use crate::disk::Disk;
use crate::error::{Error, Result};
use crate::format::{FRAME_HEADER_BYTES, Manifest, encode_batch};
use crate::options::{Durability, Options};
use crate::poison::Poison;
use crate::reader::{Reader, SharedIndex};
use crate::recovery::recover;
use crate::segment_files::SegmentIds;
use crate::snapshot::Snapshot;
use crate::statistics::Statistics;

/// A store for one owner, which blocks while it writes. [`Reader`] is for other threads; [`GroupCommit`] is for many
/// writers, and for writers that must not block.
///
/// An acknowledged write survives what its [`Durability`] says: a crash of the process in either case, power loss if it
/// is [`Durable`](Durability::Durable). A write that returned an error was not acknowledged: it reads as absent in this
/// process, and after a restart each of its batches is found complete or not at all.
///
/// [`GroupCommit`]: crate::GroupCommit
pub struct Store<D: Disk> {
    disk: D,
    options: Options,
    index: SharedIndex<D::File>,
    manifest: Manifest,
    /// `None` before the first write of a new store.
    active: Option<ActiveSegment<D::File>>,
    /// The encoded batches that the next commit writes.
    pending_frames: Vec<Vec<u8>>,
    pending_bytes: usize,
    /// The sequence number of the next batch.
    next_sequence: u64,
    segment_ids: SegmentIds,
    poison: Poison,
    /// The last part of a compaction, while it is not done.
    relocation: Option<Relocation<D>>,
    truncated_bytes: u64,
    /// Keeps other processes out.
    _lock: D::Lock,
}

impl<D: Disk> Store<D> {
    /// Opens a store, or creates one if the options allow it. Reads the whole log.
    ///
    /// A torn end of the log is ignored: nothing there was acknowledged as durable. No file is written before the first
    /// write; files that no manifest lists are removed.
    ///
    /// # Errors
    /// [`Error::Locked`], [`Error::StoreNotFound`], [`Error::UnsupportedVersion`]; [`Error::Corrupted`] if anything that
    /// was once complete cannot be read; [`Error::Io`].
    pub fn open(disk: D, options: Options) -> Result<Self> {
        let recovered = recover(&disk, &options)?;
        Ok(Store {
            disk,
            options: options.within_bounds(),
            index: SharedIndex::new(recovered.index),
            manifest: recovered.manifest,
            active: recovered.active,
            pending_frames: Vec::new(),
            pending_bytes: 0,
            next_sequence: recovered.next_sequence,
            segment_ids: recovered.segment_ids,
            poison: Poison::Sound,
            relocation: None,
            truncated_bytes: recovered.truncated_bytes,
            _lock: recovered.lock,
        })
    }

    /// A handle with which any thread can read.
    #[must_use]
    pub fn reader(&self) -> Reader<D> {
        Reader::new(self.index.clone())
    }

    /// Reads the value of a key; see [`Reader::get`].
    ///
    /// # Errors
    /// [`Error::Io`] if the value cannot be read, [`Error::Corrupted`] if it differs from what was written.
    pub fn get(&self, key: &[u8], now: u64) -> Result<Option<Vec<u8>>> {
        self.reader().get(key, now)
    }

    /// Takes a snapshot; see [`Reader::snapshot`].
    #[must_use]
    pub fn snapshot(&self) -> Snapshot<D::File> {
        self.reader().snapshot()
    }

    /// Adds a batch to the group that the next [`Store::commit`] writes. Before that it cannot be read, and survives
    /// nothing.
    ///
    /// # Errors
    /// [`Error::KeyTooLarge`], [`Error::BatchTooLarge`], [`Error::ReadOnly`]; [`Error::Busy`] if the group has reached
    /// [`Options::max_pending_bytes`]. The batch is not added then.
    pub fn append(&mut self, batch: &Batch) -> Result<()> {
        batch.check_limits()?;
        if self.options.read_only {
            return Err(Error::ReadOnly);
        }
        let size = batch.size() + FRAME_HEADER_BYTES;
        let exceeds_limit = self.pending_bytes + size > self.options.max_pending_bytes;
        if exceeds_limit && !self.pending_frames.is_empty() {
            return Err(Error::Busy);
        }
        if !batch.is_empty() {
            self.pending_frames.push(encode_batch(batch));
            self.pending_bytes += size;
        }
        Ok(())
    }

    /// Writes the group with one write, and flushes it with one `fdatasync` for [`Durability::Durable`]. Returns the
    /// sequence number of the next batch, which is the count of batches so far.
    ///
    /// # Errors
    /// No batch of the group was acknowledged. A later write may succeed, because the log goes on in a new segment,
    /// except after [`Error::Poisoned`].
    pub fn commit(&mut self, durability: Durability) -> Result<u64> {
        let group = std::mem::take(&mut self.pending_frames);
        self.pending_bytes = 0;
        self.poison.check()?;
        if !group.is_empty() {
            self.write_group(group, durability)?;
        } else if durability == Durability::Durable && !self.options.read_only {
            self.flush_active()?;
        }
        Ok(self.next_sequence)
    }

    /// Writes one batch; see [`Store::commit`].
    ///
    /// # Errors
    /// See [`Store::append`] and [`Store::commit`].
    pub fn write(&mut self, batch: &Batch, durability: Durability) -> Result<u64> {
        self.append(batch)?;
        self.commit(durability)
    }

    /// Sets a key to a value, which survives power loss.
    ///
    /// # Errors
    /// See [`Store::append`] and [`Store::commit`].
    pub fn put(&mut self, key: &[u8], value: &[u8]) -> Result<u64> {
        self.write(Batch::new().put(key, value), Durability::Durable)
    }

    /// Deletes a key. The deletion survives power loss.
    ///
    /// # Errors
    /// See [`Store::append`] and [`Store::commit`].
    pub fn delete(&mut self, key: &[u8]) -> Result<u64> {
        self.write(Batch::new().delete(key), Durability::Durable)
    }

    fn write_group(&mut self, group: Vec<Vec<u8>>, durability: Durability) -> Result<()> {
        if !self.has_writable_segment() {
            self.rotate_segment()?;
        }
        let Some(active) = &mut self.active else {
            return Err(Error::Closed);
        };
        let appended = active.append(&group, self.next_sequence, durability)?;
        let bodies = group.iter().map(Vec::as_slice);
        self.index
            .write()
            .apply_frames(bodies, active.id(), appended.offset);
        let first_sequence = self.next_sequence;
        self.next_sequence += group.len() as u64;
        if !appended.is_flushed {
            active.keep_unflushed(group, first_sequence);
        }
        Ok(())
    }

    /// Whether the active segment accepts frames and is not full.
    fn has_writable_segment(&self) -> bool {
        self.active.as_ref().is_some_and(|active| {
            active.writable_file().is_some() && active.length() < self.options.segment_bytes
        })
    }

    /// Makes the relaxed writes durable.
    fn flush_active(&mut self) -> Result<()> {
        let Some(active) = &mut self.active else {
            return Ok(());
        };
        if active.unflushed().is_empty() {
            return Ok(());
        }
        if active.writable_file().is_none() {
            return self.rotate_segment();
        }
        active.flush(self.next_sequence)
    }

    /// What the store holds, and what it takes on the disk. Entries that have expired by `now` are not live.
    #[must_use]
    pub fn statistics(&self, now: u64) -> Statistics {
        let index = self.index.read();
        Statistics {
            keys: index.len() as u64,
            live_bytes: index.live_bytes(now),
            log_bytes: self.log_bytes(),
            segments: self.manifest.segments.len() as u64,
            next_sequence: self.next_sequence,
            manifest_generation: self.manifest.generation,
            truncated_bytes: self.truncated_bytes,
        }
    }

    /// The bytes of all segments.
    fn log_bytes(&self) -> u64 {
        let segments = self.manifest.segments.iter();
        let sealed: u64 = segments
            .filter_map(|segment| Some(segment.sealed?.offset))
            .sum();
        sealed + self.active.as_ref().map_or(0, ActiveSegment::length)
    }
}
