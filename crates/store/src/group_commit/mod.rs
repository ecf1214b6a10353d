//! Group commit: writers on any threads share one flush.

mod background_compaction;
mod queue;
mod status;
mod writer;

use crate::batch::Batch;
use crate::disk::Disk;
use crate::error::{Error, Result};
use crate::options::Durability;
use crate::reader::Reader;
use crate::store::Store;
use queue::{QueuedBatch, Shared};
pub use status::GroupCommitStatus;
use std::sync::Arc;
use std::sync::mpsc::sync_channel;
use std::thread::{self, JoinHandle};
use writer::Writer;

/// A store with a thread of its own that writes for many writers.
///
/// The batches that arrive while one group is flushed make the next group, which takes one write and one `fdatasync`.
/// Batches apply in the order in which they were handed over. A compaction runs on a second thread when it is due;
/// writes that outrun it wait for its end.
///
/// An acknowledged batch survives what its [`Durability`] says: a crash of the process in either case, power loss if it
/// is [`Durable`](Durability::Durable). A batch that still waits survives neither. Dropping this writes everything that
/// waits and flushes it, relaxed batches included.
pub struct GroupCommit<D: Disk> {
    shared: Arc<Shared<D>>,
    reader: Reader<D>,
    thread: Option<JoinHandle<()>>,
}

impl<D: Disk> GroupCommit<D> {
    /// Takes over a store and starts its thread. At most `max_queued_bytes` wait to be written. `clock` returns the time
    /// in the unit of the entries' expiries; a compaction drops what has expired by it.
    ///
    /// # Errors
    /// [`Error::SpawnThread`].
    pub fn start(
        store: Store<D>,
        max_queued_bytes: usize,
        clock: impl Fn() -> u64 + Send + Sync + 'static,
    ) -> Result<Self> {
        let reader = store.reader();
        let writer = Writer::new(store);
        let shared = Arc::new(Shared::new(writer, max_queued_bytes, Box::new(clock)));
        let thread_shared = Arc::clone(&shared);
        let thread = thread::Builder::new()
            .name("store".to_owned())
            .spawn(move || thread_shared.run())
            .map_err(|error| Error::SpawnThread {
                source: error.into(),
            })?;
        Ok(GroupCommit {
            shared,
            reader,
            thread: Some(thread),
        })
    }

    /// Hands over a batch and returns at once. `completion` is called on the store's thread when the batch is
    /// acknowledged or has failed: it must be quick and must not wait for anything.
    ///
    /// # Errors
    /// [`Error::Busy`] if too many bytes wait already, [`Error::KeyTooLarge`], [`Error::BatchTooLarge`],
    /// [`Error::Closed`]. `completion` is not called then.
    pub fn submit(
        &self,
        batch: Batch,
        durability: Durability,
        completion: impl FnOnce(Result<u64>) + Send + 'static,
    ) -> Result<()> {
        batch.check_limits()?;
        let queued = QueuedBatch {
            batch,
            durability,
            completion: Box::new(completion),
        };
        self.shared
            .lock_queue()
            .push(queued, self.shared.max_queued_bytes)?;
        self.shared.notify();
        Ok(())
    }

    /// Writes a batch and waits until it is acknowledged. Returns the count of batches so far.
    ///
    /// # Errors
    /// See [`Store::append`] and [`Store::commit`].
    pub fn write(&self, batch: Batch, durability: Durability) -> Result<u64> {
        if let Some(written) = self.try_write_directly(&batch, durability) {
            return written;
        }
        let (sender, receiver) = sync_channel(1);
        self.submit(batch, durability, move |written| {
            // The receiver waits below.
            let _ = sender.send(written);
        })?;
        receiver.recv().unwrap_or(Err(Error::Closed))
    }

    /// Writes on the caller's own thread if nobody else writes: waking another thread costs as much as a flush of a fast
    /// disk.
    fn try_write_directly(&self, batch: &Batch, durability: Durability) -> Option<Result<u64>> {
        if !self.shared.lock_queue().allows_direct_write() {
            return None;
        }
        let mut writer = self.shared.try_lock_writer()?;
        // Batches that were handed over meanwhile come first.
        if !self.shared.lock_queue().allows_direct_write() {
            return None;
        }
        let written = writer.write_directly(&self.shared, batch, durability);
        let has_queued = !self.shared.lock_queue().batches.is_empty();
        drop(writer);
        if has_queued {
            self.shared.notify();
        }
        Some(written)
    }

    /// A handle with which any thread can read.
    #[must_use]
    pub fn reader(&self) -> &Reader<D> {
        &self.reader
    }

    /// The counters and the latest errors.
    #[must_use]
    pub fn status(&self) -> GroupCommitStatus {
        self.shared.lock_queue().status.clone()
    }
}

impl<D: Disk> Drop for GroupCommit<D> {
    fn drop(&mut self) {
        self.shared.lock_queue().is_closed = true;
        self.shared.notify();
        if let Some(thread) = self.thread.take() {
            // A panic of the thread is reported by the panic hook.
            let _ = thread.join();
        }
    }
}
