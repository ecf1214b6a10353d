//! The store as the group commit drives it. Whichever thread has the writer locked writes.

use super::background_compaction::BackgroundCompaction;
use super::queue::{QueuedBatch, Shared};
use crate::batch::Batch;
use crate::compaction::Compaction;
use crate::disk::Disk;
use crate::error::{Error, Result};
use crate::options::Durability;
use crate::store::Store;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The entries that are relocated between two groups after a compaction. No measurement stands behind the number.
const RELOCATED_ENTRIES_PER_GROUP: usize = 16 << 10;
/// A group waits for as many batches as the last one had, at most for this part of the time of the last flush. Writers
/// that were just acknowledged write again at once, and would otherwise miss the flush by a little.
const GATHER_TIME_DIVISOR: u32 = 8;

/// The last group that was written.
struct LastGroup {
    batches: usize,
    /// How long its write and its flush took; zero if it was not flushed.
    flush_time: Duration,
}

/// The store, and what goes on in it.
pub(super) struct Writer<D: Disk> {
    store: Store<D>,
    compaction: BackgroundCompaction,
    is_relocating: bool,
    last_group: LastGroup,
}

impl<D: Disk> Writer<D> {
    pub fn new(store: Store<D>) -> Self {
        Writer {
            store,
            compaction: BackgroundCompaction::Idle,
            is_relocating: false,
            last_group: LastGroup {
                batches: 0,
                flush_time: Duration::ZERO,
            },
        }
    }

    /// Writes what waits, and drives the compaction. Returns whether the queue is closed and empty.
    pub fn run_once(&mut self, shared: &Arc<Shared<D>>) -> bool {
        let gather_time = self.last_group.flush_time / GATHER_TIME_DIVISOR;
        let work = shared.gather_work(self.last_group.batches, gather_time);
        let is_done = work.is_closed && work.batches.is_empty();
        self.write_batches(shared, work.batches);
        if let Some(compacted) = work.compacted {
            self.finish_compaction(shared, compacted);
        }
        if self.is_relocating {
            self.is_relocating = self.store.relocate_entries(RELOCATED_ENTRIES_PER_GROUP);
        }
        if is_done {
            return true;
        }
        self.start_compaction_if_due(shared);
        self.publish_state(shared);
        false
    }

    /// Writes one batch for a writer that is alone, on its own thread.
    pub fn write_directly(
        &mut self,
        shared: &Arc<Shared<D>>,
        batch: &Batch,
        durability: Durability,
    ) -> Result<u64> {
        let written = self.store.write(batch, durability);
        self.record_group(shared, &written, 1);
        self.start_compaction_if_due(shared);
        self.publish_state(shared);
        written
    }

    /// Tells the other threads how the writer is doing.
    fn publish_state(&self, shared: &Shared<D>) {
        let is_stalled =
            self.compaction.is_running() && self.store.writes_should_stall((shared.clock)());
        let mut queue = shared.lock_queue();
        queue.is_stalled = is_stalled;
        queue.is_relocating = self.is_relocating;
        queue.had_single_writer = self.last_group.batches <= 1;
    }

    /// Ends a running compaction and makes relaxed writes durable.
    pub fn shut_down(&mut self, shared: &Shared<D>) {
        self.compaction.join();
        // The files of an abandoned compaction are removed while the directory is still locked.
        let compacted = shared.lock_queue().compacted.take();
        drop(compacted);
        if let Err(error) = self.store.commit(Durability::Durable) {
            shared.lock_queue().status.last_write_error = Some(error);
        }
    }

    /// Writes the batches in their order, in two groups: relaxed batches that come first need not wait for the flush of
    /// the rest.
    fn write_batches(&mut self, shared: &Shared<D>, batches: VecDeque<QueuedBatch>) {
        let mut relaxed: Vec<QueuedBatch> = batches.into();
        let first_durable = relaxed
            .iter()
            .position(|queued| queued.durability == Durability::Durable);
        let rest = relaxed.split_off(first_durable.unwrap_or(relaxed.len()));
        self.last_group = LastGroup {
            batches: relaxed.len(),
            flush_time: Duration::ZERO,
        };
        self.commit_group(shared, relaxed, Durability::Relaxed);
        if rest.is_empty() {
            return;
        }
        let batches = rest.len();
        let started = Instant::now();
        self.commit_group(shared, rest, Durability::Durable);
        self.last_group = LastGroup {
            batches,
            flush_time: started.elapsed(),
        };
    }

    /// Writes a group, in several commits if it is larger than the store takes at once, and completes its batches.
    fn commit_group(
        &mut self,
        shared: &Shared<D>,
        mut group: Vec<QueuedBatch>,
        durability: Durability,
    ) {
        while !group.is_empty() {
            let appended = self.append_group(&group);
            if appended.count > 0 {
                let written = self.store.commit(durability);
                self.record_group(shared, &written, appended.count as u64);
                for queued in group.drain(..appended.count) {
                    (queued.completion)(written.clone());
                }
            }
            if let Some(error) = appended.rejected {
                for queued in group.drain(..1) {
                    (queued.completion)(Err(error.clone()));
                }
            }
        }
    }

    fn append_group(&mut self, group: &[QueuedBatch]) -> AppendedGroup {
        for (count, queued) in group.iter().enumerate() {
            match self.store.append(&queued.batch) {
                Ok(()) => {}
                Err(Error::Busy) if count > 0 => {
                    return AppendedGroup {
                        count,
                        rejected: None,
                    };
                }
                Err(error) => {
                    return AppendedGroup {
                        count,
                        rejected: Some(error),
                    };
                }
            }
        }
        AppendedGroup {
            count: group.len(),
            rejected: None,
        }
    }

    fn record_group(&self, shared: &Shared<D>, written: &Result<u64>, batches: u64) {
        let statistics = self.store.statistics((shared.clock)());
        let status = &mut shared.lock_queue().status;
        status.last_write_error = written.as_ref().err().cloned();
        status.statistics = Some(statistics);
        if written.is_ok() {
            status.groups += 1;
            status.batches += batches;
        }
    }

    fn start_compaction_if_due(&mut self, shared: &Arc<Shared<D>>) {
        if !self.compaction.may_start() {
            return;
        }
        let now = (shared.clock)();
        if !self.store.is_compaction_due(now) {
            return;
        }
        let started = self
            .store
            .begin_compaction(now)
            .and_then(|compaction| self.compaction.start(shared, compaction));
        if let Err(error) = started {
            self.compaction_failed(shared, error);
        }
    }

    fn finish_compaction(&mut self, shared: &Shared<D>, compacted: Result<Compaction<D>>) {
        self.compaction.join();
        match compacted.and_then(|compaction| self.store.finish_compaction(compaction)) {
            Ok(()) => {
                self.is_relocating = true;
                let status = &mut shared.lock_queue().status;
                status.last_compaction_error = None;
                status.compactions += 1;
            }
            Err(error) => self.compaction_failed(shared, error),
        }
    }

    fn compaction_failed(&mut self, shared: &Shared<D>, error: Error) {
        self.compaction.back_off();
        shared.lock_queue().status.last_compaction_error = Some(error);
    }
}

/// How much of a group the store took for one commit.
struct AppendedGroup {
    count: usize,
    /// The error of the batch behind them, if it can never be written.
    rejected: Option<Error>,
}
