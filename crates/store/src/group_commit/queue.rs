//! What the writers, the store's thread and the thread of a compaction share.

use super::GroupCommitStatus;
use super::writer::Writer;
use crate::batch::Batch;
use crate::compaction::Compaction;
use crate::disk::Disk;
use crate::error::{Error, Result};
use crate::options::Durability;
use std::collections::VecDeque;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Called with the outcome of a batch.
pub(super) type Completion = Box<dyn FnOnce(Result<u64>) + Send>;

/// The time in the unit of the entries' expiries.
pub(super) type Clock = Box<dyn Fn() -> u64 + Send + Sync>;

/// A batch that waits to be written.
pub(super) struct QueuedBatch {
    pub batch: Batch,
    pub durability: Durability,
    pub completion: Completion,
}

/// The batches that wait, and how the store's thread is doing.
pub(super) struct Queue<D: Disk> {
    pub batches: VecDeque<QueuedBatch>,
    /// The bytes of the batches.
    pub bytes: usize,
    pub is_closed: bool,
    /// The outcome of the compaction's thread, until the store's thread takes it.
    pub compacted: Option<Result<Compaction<D>>>,
    /// Writes outrun a compaction: they wait for its end.
    pub is_stalled: bool,
    /// The last part of a compaction is not done.
    pub is_relocating: bool,
    /// The last group had at most one batch.
    pub had_single_writer: bool,
    pub status: GroupCommitStatus,
}

/// What the store's thread takes from the queue.
pub(super) struct Work<D: Disk> {
    pub batches: VecDeque<QueuedBatch>,
    pub compacted: Option<Result<Compaction<D>>>,
    pub is_closed: bool,
}

impl<D: Disk> Queue<D> {
    fn new() -> Self {
        Queue {
            batches: VecDeque::new(),
            bytes: 0,
            is_closed: false,
            compacted: None,
            is_stalled: false,
            is_relocating: false,
            had_single_writer: true,
            status: GroupCommitStatus::default(),
        }
    }

    /// Adds a batch.
    ///
    /// # Errors
    /// [`Error::Closed`]; [`Error::Busy`] if it would exceed `max_bytes` and is not alone.
    pub fn push(&mut self, queued: QueuedBatch, max_bytes: usize) -> Result<()> {
        if self.is_closed {
            return Err(Error::Closed);
        }
        let bytes = self.bytes + queued.batch.size();
        if !self.batches.is_empty() && bytes > max_bytes {
            return Err(Error::Busy);
        }
        self.bytes = bytes;
        self.batches.push_back(queued);
        Ok(())
    }

    /// Whether a writer may write on its own thread: nobody else writes and nothing else is to be done.
    pub fn allows_direct_write(&self) -> bool {
        self.batches.is_empty()
            && self.compacted.is_none()
            && !self.is_relocating
            && self.had_single_writer
            && !self.is_stalled
            && !self.is_closed
    }

    /// Whether the store's thread has something to do.
    fn has_work(&self) -> bool {
        let has_batches = !self.batches.is_empty() && !self.is_stalled;
        has_batches || self.compacted.is_some() || self.is_closed || self.is_relocating
    }

    fn take_work(&mut self) -> Work<D> {
        let compacted = self.compacted.take();
        let is_stalled = self.is_stalled && compacted.is_none() && !self.is_closed;
        // Stalled batches stay where their bytes count.
        let batches = if is_stalled {
            VecDeque::new()
        } else {
            self.bytes = 0;
            std::mem::take(&mut self.batches)
        };
        Work {
            batches,
            compacted,
            is_closed: self.is_closed,
        }
    }
}

/// What all threads of a [`GroupCommit`](super::GroupCommit) share.
pub(super) struct Shared<D: Disk> {
    /// Locked before the queue wherever both are.
    writer: Mutex<Writer<D>>,
    queue: Mutex<Queue<D>>,
    /// Notified when the store's thread may have something to do.
    work_arrived: Condvar,
    /// The most bytes that wait to be written.
    pub max_queued_bytes: usize,
    pub clock: Clock,
}

impl<D: Disk> Shared<D> {
    pub fn new(writer: Writer<D>, max_queued_bytes: usize, clock: Clock) -> Self {
        Shared {
            writer: Mutex::new(writer),
            queue: Mutex::new(Queue::new()),
            work_arrived: Condvar::new(),
            max_queued_bytes,
            clock,
        }
    }

    pub fn lock_queue(&self) -> MutexGuard<'_, Queue<D>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The writer, unless another thread has it.
    pub fn try_lock_writer(&self) -> Option<MutexGuard<'_, Writer<D>>> {
        self.writer.try_lock().ok()
    }

    pub fn notify(&self) {
        self.work_arrived.notify_one();
    }

    /// The store's thread. Returns once the queue is closed and everything in it is written.
    pub fn run(self: &Arc<Self>) {
        loop {
            self.wait_for_work();
            let mut writer = self.writer.lock().unwrap_or_else(PoisonError::into_inner);
            if writer.run_once(self) {
                return writer.shut_down(self);
            }
        }
    }

    fn wait_for_work(&self) {
        let mut queue = self.lock_queue();
        while !queue.has_work() {
            queue = self
                .work_arrived
                .wait(queue)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Takes what waits, once there are `expected_batches` or the time has passed.
    pub fn gather_work(&self, expected_batches: usize, max_wait: Duration) -> Work<D> {
        let deadline = Instant::now() + max_wait;
        let mut queue = self.lock_queue();
        while !queue.is_closed && (1..expected_batches).contains(&queue.batches.len()) {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                break;
            }
            queue = self
                .work_arrived
                .wait_timeout(queue, remaining)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
        queue.take_work()
    }
}
