//! Group commit: many writers, on any threads or on one that must not block, wait for one flush.

use crate::batch::Batch;
use crate::compact::Compaction;
use crate::disk::Disk;
use crate::error::{Error, Result};
use crate::store::{Durability, Reader, Statistics, Store};
use std::collections::VecDeque;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// After a compaction that failed, another is not begun for so long: a full disk stays full for a while.
const COMPACT_AGAIN: Duration = Duration::from_secs(10);
/// Entries whose place is renewed between two groups after a compaction.
const RELOCATED: usize = 16 << 10;
/// A group waits for as many writers as the last one had, if they come within this part of the last flush's time:
/// those that were just told write again, and would else miss this flush by a little.
const GATHER: u32 = 8;

type Done = Box<dyn FnOnce(Result<u64>) + Send>;
type Clock = Arc<dyn Fn() -> u64 + Send + Sync>;

struct Waiting {
    batch: Batch,
    durability: Durability,
    done: Done,
}

/// What became of the compactions in the background, and of the store's writing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupCommitStatus {
    /// The last error of a write, none since one has succeeded.
    pub last_write_error: Option<Error>,
    /// The last error of a compaction, none since one has succeeded.
    pub last_compaction_error: Option<Error>,
    /// Compactions that have succeeded.
    pub compactions: u64,
    /// Groups that were written.
    pub groups: u64,
    /// Batches in them.
    pub batches: u64,
    /// What the store held and took after the last group.
    pub statistics: Option<Statistics>,
}

struct Queue<D: Disk> {
    waiting: VecDeque<Waiting>,
    bytes: usize,
    closed: bool,
    compacted: Option<Result<Compaction<D>>>,
    /// Writes outrun a compaction: they wait for its end.
    held: bool,
    /// The last part of a compaction is not done.
    relocating: bool,
    /// The last group was of one batch.
    alone: bool,
    status: GroupCommitStatus,
}

struct Shared<D: Disk> {
    /// Locked before the queue, where both are.
    writer: Mutex<Writer<D>>,
    queue: Mutex<Queue<D>>,
    wake: Condvar,
    most: usize,
    clock: Clock,
}

impl<D: Disk> Shared<D> {
    fn lock(&self) -> MutexGuard<'_, Queue<D>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The store's thread.
    fn run(self: &Arc<Self>) {
        loop {
            self.wait_for_work();
            let mut writer = self.writer.lock().unwrap_or_else(PoisonError::into_inner);
            if writer.turn(self) {
                return writer.end(self);
            }
        }
    }

    fn wait_for_work(&self) {
        let mut queue = self.lock();
        while (queue.held || queue.waiting.is_empty())
            && queue.compacted.is_none()
            && !queue.closed
            && !queue.relocating
        {
            queue = self
                .wake
                .wait(queue)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }
}

/// A store that a thread of its own writes to. Writers hand it batches; all that came while one group was flushed
/// make the next, which takes one write and one `fdatasync`. Compaction runs on a second thread, when it is due; where
/// writes outrun it, they wait for its end.
///
/// What an acknowledged write survives is told at [`Durability`]. Batches apply in the order they were handed over.
/// Dropped, it flushes all that it took.
pub struct GroupCommit<D: Disk> {
    shared: Arc<Shared<D>>,
    reader: Reader<D>,
    worker: Option<JoinHandle<()>>,
}

impl<D: Disk> GroupCommit<D> {
    /// Takes over a store. At most `most` bytes wait to be written. The clock, in the unit of the entries' expiries,
    /// is asked when a compaction is due: what has expired by it is dropped.
    ///
    /// # Errors
    /// Where no thread can be started.
    pub fn start(
        store: Store<D>,
        most: usize,
        clock: impl Fn() -> u64 + Send + Sync + 'static,
    ) -> Result<Self> {
        let reader = store.reader();
        let queue = Queue {
            waiting: VecDeque::new(),
            bytes: 0,
            closed: false,
            compacted: None,
            held: false,
            relocating: false,
            alone: true,
            status: GroupCommitStatus::default(),
        };
        let shared = Arc::new(Shared {
            writer: Mutex::new(Writer::new(store)),
            queue: Mutex::new(queue),
            wake: Condvar::new(),
            most,
            clock: Arc::new(clock),
        });
        let own = Arc::clone(&shared);
        let worker = thread::Builder::new()
            .name("store".into())
            .spawn(move || own.run());
        let worker = worker.map_err(|e| Error::io("thread", &e))?;
        Ok(GroupCommit {
            shared,
            reader,
            worker: Some(worker),
        })
    }

    /// Hands over a batch and returns at once. `done` is called on the store's thread, once the batch is
    /// acknowledged or refused: it must be quick and not wait for anything.
    ///
    /// # Errors
    /// [`Error::Busy`] where too much waits already, [`Error::TooLarge`]; `done` is not called then.
    pub fn submit(
        &self,
        batch: Batch,
        durability: Durability,
        done: impl FnOnce(Result<u64>) + Send + 'static,
    ) -> Result<()> {
        batch.check()?;
        let mut queue = self.shared.lock();
        if queue.closed {
            return Err(Error::Closed);
        }
        if !queue.waiting.is_empty() && queue.bytes + batch.size() > self.shared.most {
            return Err(Error::Busy);
        }
        queue.bytes += batch.size();
        queue.waiting.push_back(Waiting {
            batch,
            durability,
            done: Box::new(done),
        });
        drop(queue);
        self.shared.wake.notify_one();
        Ok(())
    }

    /// Writes a batch and waits until it is acknowledged.
    ///
    /// # Errors
    /// See [`Store::append`] and [`Store::commit`].
    pub fn write(&self, batch: Batch, durability: Durability) -> Result<u64> {
        if let Some(done) = self.write_alone(&batch, durability) {
            return done;
        }
        let (sender, told) = std::sync::mpsc::sync_channel(1);
        self.submit(batch, durability, move |done| {
            // Whoever asked waits below.
            let _ = sender.send(done);
        })?;
        told.recv().unwrap_or(Err(Error::Closed))
    }

    /// Where nobody else writes, the caller's own thread does: waking another costs as much as a quick disk's flush.
    fn write_alone(&self, batch: &Batch, durability: Durability) -> Option<Result<u64>> {
        let is_alone = |queue: &Queue<D>| {
            let idle = queue.waiting.is_empty() && queue.compacted.is_none() && !queue.relocating;
            idle && queue.alone && !queue.held && !queue.closed
        };
        if !is_alone(&self.shared.lock()) {
            return None;
        }
        let mut writer = self.shared.writer.try_lock().ok()?;
        // What was handed over meanwhile comes first.
        if !is_alone(&self.shared.lock()) {
            return None;
        }
        let done = writer.store.write(batch, durability);
        writer.tell(&self.shared, &done, 1);
        writer.begin_compaction(&self.shared);
        let more = writer.leave(&self.shared);
        drop(writer);
        if more {
            self.shared.wake.notify_one();
        }
        Some(done)
    }

    /// A handle to read by.
    pub fn reader(&self) -> &Reader<D> {
        &self.reader
    }

    /// How the store fares.
    pub fn status(&self) -> GroupCommitStatus {
        self.shared.lock().status.clone()
    }
}

impl<D: Disk> Drop for GroupCommit<D> {
    fn drop(&mut self) {
        self.shared.lock().closed = true;
        self.shared.wake.notify_one();
        if let Some(worker) = self.worker.take() {
            let _ = worker.join();
        }
    }
}

/// The store, and what is going on in it. Whoever has it locked writes.
struct Writer<D: Disk> {
    store: Store<D>,
    compaction: Option<JoinHandle<()>>,
    compact_from: Option<Instant>,
    relocating: bool,
    /// How many batches the last group had, and how long its flush took.
    last: (usize, Duration),
}

impl<D: Disk> Writer<D> {
    fn new(store: Store<D>) -> Self {
        Writer {
            store,
            compaction: None,
            compact_from: None,
            relocating: false,
            last: (0, Duration::ZERO),
        }
    }

    /// Does what there is to do. Says whether it was closed and there is nothing more.
    fn turn(&mut self, shared: &Arc<Shared<D>>) -> bool {
        let (group, compacted, closed) = self.take(shared);
        let idle = group.is_empty();
        self.write(shared, group);
        if let Some(compacted) = compacted {
            self.end_compaction(shared, compacted);
        }
        if self.relocating {
            self.relocating = self.store.relocate_entries(RELOCATED);
        }
        if closed && idle {
            return true;
        }
        self.begin_compaction(shared);
        self.leave(shared);
        false
    }

    /// Leaves word of how things stand. Says whether something waits.
    fn leave(&self, shared: &Shared<D>) -> bool {
        let held = self.compaction.is_some() && self.store.writes_should_stall((shared.clock)());
        let mut queue = shared.lock();
        (queue.held, queue.relocating, queue.alone) = (held, self.relocating, self.last.0 <= 1);
        !queue.waiting.is_empty()
    }

    fn end(&mut self, shared: &Shared<D>) {
        if let Some(compaction) = self.compaction.take() {
            let _ = compaction.join();
        }
        // What it wrote goes before the lock on the directory does.
        let compacted = shared.lock().compacted.take();
        drop(compacted);
        // Relaxed writes become durable with the end: it is planned, so there is time for it.
        if let Err(error) = self.store.commit(Durability::Durable) {
            shared.lock().status.last_write_error = Some(error);
        }
    }

    fn take(&self, shared: &Shared<D>) -> (VecDeque<Waiting>, Option<Result<Compaction<D>>>, bool) {
        let mut queue = shared.lock();
        let (most, span) = self.last;
        let until = Instant::now() + span / GATHER;
        while !queue.closed && (1..most).contains(&queue.waiting.len()) {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            queue = shared
                .wake
                .wait_timeout(queue, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
        let compacted = queue.compacted.take();
        // Held up, what waits stays where its bytes count.
        if queue.held && compacted.is_none() && !queue.closed {
            return (VecDeque::new(), compacted, queue.closed);
        }
        queue.bytes = 0;
        (std::mem::take(&mut queue.waiting), compacted, queue.closed)
    }

    /// Writes what waited, in its order: relaxed batches that come first need not wait for the flush of the rest.
    fn write(&mut self, shared: &Shared<D>, group: VecDeque<Waiting>) {
        let mut group = group.into_iter().peekable();
        let mut relaxed = Vec::new();
        while let Some(first) = group.next_if(|w| w.durability == Durability::Relaxed) {
            relaxed.push(first);
        }
        self.last = (relaxed.len(), Duration::ZERO);
        self.commit(shared, relaxed, Durability::Relaxed);
        let rest: Vec<Waiting> = group.collect();
        if !rest.is_empty() {
            let (size, began) = (rest.len(), Instant::now());
            self.commit(shared, rest, Durability::Durable);
            self.last = (size, began.elapsed());
        }
    }

    fn commit(&mut self, shared: &Shared<D>, mut group: Vec<Waiting>, durability: Durability) {
        while !group.is_empty() {
            // What waits may be more than the store takes into one group.
            let mut taken = 0;
            let mut refused = None;
            for waiting in &group {
                match self.store.append(&waiting.batch) {
                    Ok(()) => taken += 1,
                    Err(Error::Busy) if taken > 0 => break,
                    Err(error) => {
                        refused = Some(error);
                        break;
                    }
                }
            }
            if taken > 0 {
                let written = self.store.commit(durability);
                self.tell(shared, &written, taken as u64);
                group.drain(..taken).for_each(|w| (w.done)(written.clone()));
            }
            if let Some(error) = refused {
                group.drain(..1).for_each(|w| (w.done)(Err(error.clone())));
            }
        }
    }

    fn tell(&self, shared: &Shared<D>, written: &Result<u64>, batches: u64) {
        let statistics = self.store.statistics((shared.clock)());
        let status = &mut shared.lock().status;
        status.last_write_error = written.as_ref().err().cloned();
        status.statistics = Some(statistics);
        if written.is_ok() {
            status.groups += 1;
            status.batches += batches;
        }
    }

    fn begin_compaction(&mut self, shared: &Arc<Shared<D>>) {
        let waits = self.compact_from.is_some_and(|from| Instant::now() < from);
        if self.compaction.is_some() || waits || !self.store.is_compaction_due((shared.clock)()) {
            return;
        }
        let begun = self
            .store
            .begin_compaction((shared.clock)())
            .and_then(|mut compaction| {
                let shared = Arc::clone(shared);
                let run = move || {
                    let stepped = loop {
                        match compaction.step(1 << 20) {
                            Ok(true) => break Ok(compaction),
                            Ok(false) if shared.lock().closed => break Err(Error::Closed),
                            Ok(false) => {}
                            Err(error) => break Err(error),
                        }
                    };
                    shared.lock().compacted = Some(stepped);
                    shared.wake.notify_one();
                };
                let spawned = thread::Builder::new()
                    .name("store-compaction".into())
                    .spawn(run);
                spawned.map_err(|e| Error::io("thread", &e))
            });
        match begun {
            Ok(running) => self.compaction = Some(running),
            Err(error) => self.compaction_failed(shared, error),
        }
    }

    fn end_compaction(&mut self, shared: &Shared<D>, compacted: Result<Compaction<D>>) {
        if let Some(thread) = self.compaction.take() {
            let _ = thread.join();
        }
        match compacted.and_then(|compaction| self.store.finish_compaction(compaction)) {
            Ok(()) => {
                self.relocating = true;
                let status = &mut shared.lock().status;
                status.last_compaction_error = None;
                status.compactions += 1;
            }
            Err(error) => self.compaction_failed(shared, error),
        }
    }

    fn compaction_failed(&mut self, shared: &Shared<D>, error: Error) {
        self.compact_from = Some(Instant::now() + COMPACT_AGAIN);
        shared.lock().status.last_compaction_error = Some(error);
    }
}
