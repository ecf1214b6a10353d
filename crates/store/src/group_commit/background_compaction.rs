//! Compactions on a thread of their own.

use super::queue::Shared;
use crate::compaction::Compaction;
use crate::disk::Disk;
use crate::error::{Error, Result};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// How long no compaction begins after one has failed: a full disk stays full for a while. No measurement stands behind
/// the number.
const RETRY_DELAY: Duration = Duration::from_secs(10);
/// The bytes that are copied before the thread looks whether the store is closing.
const BYTES_PER_STEP: usize = 1 << 20;

/// Whether a compaction runs, and when the next one may begin.
pub(super) enum BackgroundCompaction {
    /// None runs.
    Idle,
    /// One has failed; none begins before this time.
    Backoff { until: Instant },
    /// One runs on this thread.
    Running { thread: JoinHandle<()> },
}

impl BackgroundCompaction {
    pub fn is_running(&self) -> bool {
        matches!(self, BackgroundCompaction::Running { .. })
    }

    /// Whether a compaction may begin now.
    pub fn may_start(&self) -> bool {
        match self {
            BackgroundCompaction::Idle => true,
            BackgroundCompaction::Backoff { until } => Instant::now() >= *until,
            BackgroundCompaction::Running { .. } => false,
        }
    }

    /// Runs a compaction on a thread of its own, which leaves its outcome in the queue.
    ///
    /// # Errors
    /// [`Error::SpawnThread`].
    pub fn start<D: Disk>(
        &mut self,
        shared: &Arc<Shared<D>>,
        compaction: Compaction<D>,
    ) -> Result<()> {
        let shared = Arc::clone(shared);
        let thread = thread::Builder::new()
            .name("store-compaction".to_owned())
            .spawn(move || {
                let compacted = run_to_end(&shared, compaction);
                shared.lock_queue().compacted = Some(compacted);
                shared.notify();
            })
            .map_err(|error| Error::SpawnThread {
                source: error.into(),
            })?;
        *self = BackgroundCompaction::Running { thread };
        Ok(())
    }

    /// Waits until no compaction runs.
    pub fn join(&mut self) {
        match std::mem::replace(self, BackgroundCompaction::Idle) {
            BackgroundCompaction::Running { thread } => {
                // A panic of the thread is reported by the panic hook, and leaves no outcome.
                let _ = thread.join();
            }
            not_running => *self = not_running,
        }
    }

    /// Lets no compaction begin for a while.
    pub fn back_off(&mut self) {
        *self = BackgroundCompaction::Backoff {
            until: Instant::now() + RETRY_DELAY,
        };
    }
}

fn run_to_end<D: Disk>(shared: &Shared<D>, mut compaction: Compaction<D>) -> Result<Compaction<D>> {
    while !compaction.step(BYTES_PER_STEP)? {
        if shared.lock_queue().is_closed {
            return Err(Error::Closed);
        }
    }
    Ok(compaction)
}
