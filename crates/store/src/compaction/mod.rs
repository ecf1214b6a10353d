//! Compaction: copies everything that is live, in the order of its keys, into new segments while the log goes on.

mod output;
mod relocation;

use crate::disk::Disk;
use crate::error::{Error, Result};
use crate::format::{SegmentEntry, segment_name};
use crate::index::{Index, Key};
use crate::segment_files::SegmentIds;
use crate::snapshot::Snapshot;
use crate::value_location::{SegmentFiles, ValueLocation};
use output::{CompactionOutput, FinishedOutput};
pub(crate) use relocation::Relocation;
use std::sync::Arc;

/// Where a compaction copied a value.
#[derive(Clone, Copy)]
struct CopiedValue {
    segment: u32,
    offset: u32,
}

/// What a compaction reads.
pub(crate) struct CompactionInput<F> {
    /// The content when the compaction began.
    pub snapshot: Snapshot<F>,
    /// The segments that hold it, all sealed.
    pub segments: Vec<u32>,
    /// All batches below this sequence number are in the snapshot.
    pub first_sequence: u64,
    /// What has expired by this time is dropped.
    pub now: u64,
}

/// A running compaction.
///
/// It reads what the store held when it began, and writes files that nothing else refers to, so it may run on another
/// thread than the store. Until [`Store::finish_compaction`](crate::Store::finish_compaction) has taken it, it changes
/// nothing that survives: a crash of the process or power loss leaves the store as it was, and dropping the compaction
/// removes its files.
pub struct Compaction<D: Disk> {
    disk: D,
    input: CompactionInput<D::File>,
    segment_ids: SegmentIds,
    segment_bytes: u64,
    /// The key of the last entry that was read.
    last_key: Option<Key>,
    /// For each entry read so far, in order, where its value was copied; `None` if it has expired.
    copied: Vec<Option<CopiedValue>>,
    current: Option<CompactionOutput<D::File>>,
    finished: Vec<FinishedOutput<D::File>>,
    is_finished: bool,
    /// Whether a manifest may list the outputs, so that they must not be removed.
    keeps_outputs: bool,
}

impl<D: Disk> Compaction<D> {
    pub(crate) fn new(
        disk: D,
        input: CompactionInput<D::File>,
        segment_ids: SegmentIds,
        segment_bytes: u64,
    ) -> Self {
        Compaction {
            disk,
            input,
            segment_ids,
            segment_bytes,
            last_key: None,
            copied: Vec::new(),
            current: None,
            finished: Vec::new(),
            is_finished: false,
            keeps_outputs: false,
        }
    }

    /// Copies about so many more bytes of keys and values. Returns whether the compaction is finished.
    ///
    /// # Errors
    /// [`Error::Corrupted`], [`Error::Io`] or [`Error::DiskFull`] if a value cannot be read or copied. The compaction is
    /// then to be dropped; the store is unchanged.
    pub fn step(&mut self, bytes: usize) -> Result<bool> {
        let snapshot = self.input.snapshot.clone();
        let last_key = self.last_key.clone();
        let mut copied_bytes = 0;
        for (key, location) in snapshot.entries_after(last_key.as_deref()) {
            if copied_bytes >= bytes {
                return Ok(false);
            }
            self.last_key = Some(Arc::clone(key));
            if !location.is_live(self.input.now) {
                self.copied.push(None);
                continue;
            }
            // The value is checked, so that a corrupted one is not copied under a new checksum.
            let value = location.read(snapshot.files())?;
            copied_bytes += key.len() + value.len();
            self.copy(key, &value, location.expires_at)?;
        }
        self.finish_current()?;
        self.is_finished = true;
        Ok(true)
    }

    fn copy(&mut self, key: &[u8], value: &[u8], expires_at: u64) -> Result<()> {
        let output = match &mut self.current {
            Some(output) => output,
            none => {
                let id = self.segment_ids.allocate()?;
                let output = CompactionOutput::create(&self.disk, id, self.input.first_sequence)?;
                // Held from here on, so that the file is removed if the compaction is dropped.
                let output = none.insert(output);
                output.write_header()?;
                output
            }
        };
        let offset = output.put(key, value, expires_at)?;
        self.copied.push(Some(CopiedValue {
            segment: output.id(),
            offset,
        }));
        if output.length() >= self.segment_bytes {
            self.finish_current()?;
        }
        Ok(())
    }

    /// Flushes the current output and goes on with another.
    fn finish_current(&mut self) -> Result<()> {
        if let Some(output) = &mut self.current {
            output.flush()?;
        }
        let output = self.current.take();
        self.finished
            .extend(output.map(CompactionOutput::into_finished));
        Ok(())
    }

    /// The entries of the segments that replace the input.
    ///
    /// # Errors
    /// [`Error::CompactionUnfinished`].
    pub(crate) fn output_entries(&self) -> Result<Vec<SegmentEntry>> {
        if !self.is_finished {
            return Err(Error::CompactionUnfinished);
        }
        Ok(self.finished.iter().map(|output| output.entry).collect())
    }

    /// Whether the segment with this id is replaced.
    pub(crate) fn replaces(&self, id: u32) -> bool {
        self.input.segments.contains(&id)
    }

    /// The ids of the segments that are replaced.
    pub(crate) fn input_ids(&self) -> &[u32] {
        &self.input.segments
    }

    /// The files of the segments that replace the input.
    pub(crate) fn output_files(&self) -> SegmentFiles<D::File> {
        let files = self.finished.iter();
        files
            .map(|output| (output.entry.id, Arc::clone(&output.file)))
            .collect()
    }

    /// Keeps the outputs when the compaction is dropped: a manifest may list them.
    pub(crate) fn keep_outputs(&mut self) {
        self.keeps_outputs = true;
    }

    /// Points up to `max_entries` entries of the index to their copies: those after `last_key`, the first of which is
    /// the entry with this number.
    fn relocate(
        &self,
        index: &mut Index<D::File>,
        last_key: Option<&[u8]>,
        first_entry: usize,
        max_entries: usize,
    ) -> RelocatedEntries {
        let mut relocated = RelocatedEntries::default();
        let copied = self.copied.iter().skip(first_entry).take(max_entries);
        let entries = self.input.snapshot.entries_after(last_key).zip(copied);
        for ((key, from), copy) in entries {
            let to = copy.map(|copy| ValueLocation {
                segment: copy.segment,
                offset: copy.offset,
                ..from
            });
            index.relocate(key, from, to);
            relocated.count += 1;
            relocated.last_key = Some(Arc::clone(key));
        }
        relocated
    }
}

/// Entries of the index that were pointed to their copies.
#[derive(Default)]
struct RelocatedEntries {
    count: usize,
    /// The key of the last of them; `None` if there is none.
    last_key: Option<Key>,
}

impl<D: Disk> Drop for Compaction<D> {
    fn drop(&mut self) {
        if self.keeps_outputs {
            return;
        }
        let finished = self.finished.iter().map(|output| output.entry.id);
        let current = self.current.iter().map(CompactionOutput::id);
        for id in finished.chain(current) {
            // What cannot be removed now is removed by the next recovery.
            let _ = self.disk.remove(&segment_name(id));
        }
    }
}
