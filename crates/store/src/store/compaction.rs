//! Compaction as the owner of the store drives it.

use super::Store;
use crate::compaction::{Compaction, CompactionInput, Relocation};
use crate::compaction_policy::LogSize;
use crate::disk::Disk;
use crate::error::{Error, Result};
use crate::format::segment_name;
use crate::options::Durability;

impl<D: Disk> Store<D> {
    /// Whether a compaction is worth its cost: the log is longer than twice the live bytes and
    /// [`Options::compaction_slack_bytes`](crate::Options::compaction_slack_bytes), or has more than 16 segments beyond
    /// those that its length asks for.
    #[must_use]
    pub fn is_compaction_due(&self, now: u64) -> bool {
        if self.options.read_only || self.poison.is_poisoned() || self.relocation.is_some() {
            return false;
        }
        self.log_size(now).is_compaction_due(&self.options)
    }

    /// Whether writes outrun a running compaction: the log is longer than three times the live bytes and twice
    /// [`Options::compaction_slack_bytes`](crate::Options::compaction_slack_bytes). Writes should then wait for the end
    /// of the compaction, or the log grows without bound.
    #[must_use]
    pub fn writes_should_stall(&self, now: u64) -> bool {
        self.log_size(now).should_stall_writes(&self.options)
    }

    fn log_size(&self, now: u64) -> LogSize {
        LogSize {
            log_bytes: self.log_bytes(),
            live_bytes: self.index.read().live_bytes(now),
            segments: self.manifest.segments.len() as u64,
        }
    }

    /// Begins a compaction: flushes and seals what was written so far. [`Compaction::step`] then copies what of it is
    /// live at `now`, on any thread, while writes go on here.
    ///
    /// With the end of the compaction an entry that has expired by `now` is gone, even for readers whose clock is
    /// earlier.
    ///
    /// # Errors
    /// [`Error::ReadOnly`], [`Error::Poisoned`], [`Error::Io`], [`Error::DiskFull`]. The store goes on as it was.
    pub fn begin_compaction(&mut self, now: u64) -> Result<Compaction<D>> {
        self.commit(Durability::Durable)?;
        if self.options.read_only {
            return Err(Error::ReadOnly);
        }
        self.relocate_entries(usize::MAX);
        self.rotate_segment()?;
        let sealed = self.manifest.segments.iter();
        let sealed = sealed.filter(|segment| segment.sealed.is_some());
        let input = CompactionInput {
            snapshot: self.snapshot(),
            segments: sealed.map(|segment| segment.id).collect(),
            first_sequence: self.next_sequence,
            now,
        };
        Ok(Compaction::new(
            self.disk.clone(),
            input,
            self.segment_ids.clone(),
            self.options.segment_bytes,
        ))
    }

    /// Replaces the segments that a finished compaction read by those that it wrote. After a crash at any point, and
    /// after power loss, either the former or the new segments are found.
    ///
    /// # Errors
    /// [`Error::CompactionUnfinished`], [`Error::Poisoned`], [`Error::Io`], [`Error::DiskFull`]. The store goes on with
    /// the former segments, and the new ones are removed.
    pub fn finish_compaction(&mut self, mut compaction: Compaction<D>) -> Result<()> {
        self.poison.check()?;
        let mut segments = compaction.output_entries()?;
        // The names must survive power loss before a manifest lists them.
        self.disk.sync().map_err(Error::directory)?;
        let later = self.manifest.segments.iter();
        segments.extend(later.filter(|segment| !compaction.replaces(segment.id)));
        let replaced = self.replace_manifest(segments);
        if replaced.is_ok() || self.poison.is_poisoned() {
            compaction.keep_outputs();
        }
        replaced?;
        self.index
            .write()
            .files_mut()
            .extend(compaction.output_files());
        for id in compaction.input_ids() {
            // Open files stay readable. What cannot be removed now is removed by the next recovery.
            let _ = self.disk.remove(&segment_name(*id));
        }
        self.relocation = Some(Relocation::new(compaction));
        Ok(())
    }

    /// Points up to so many entries of the index to what a finished compaction wrote. Returns whether there are more.
    pub fn relocate_entries(&mut self, max_entries: usize) -> bool {
        let Some(relocation) = &mut self.relocation else {
            return false;
        };
        let has_more = relocation.advance(&self.index, max_entries);
        if !has_more {
            self.relocation = None;
        }
        has_more
    }

    /// Compacts from the beginning to the end, and blocks for that time.
    ///
    /// # Errors
    /// See [`Store::begin_compaction`], [`Compaction::step`] and [`Store::finish_compaction`].
    pub fn compact(&mut self, now: u64) -> Result<()> {
        let mut compaction = self.begin_compaction(now)?;
        while !compaction.step(usize::MAX)? {}
        self.finish_compaction(compaction)?;
        self.relocate_entries(usize::MAX);
        Ok(())
    }
}
