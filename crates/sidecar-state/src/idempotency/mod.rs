//! Idempotency records: requests that must not run twice, and whether each may have run.
//!
//! Before the last byte of such a request is written to a server, the store holds a record that it may run; with the
//! answer, that it was answered. After a crash, a request whose key has a record is answered immediately as failed. It is
//! never sent again, and never rejected as if a further attempt were harmless.

mod expiry_counts;
mod key;
mod record_clock;
mod tracker;

pub use key::{IdempotencyKey, MAX_KEY_BYTES, MAX_SERVICE_NAME_BYTES};
pub use tracker::IdempotencyTracker;

use madderloom_store::{Batch, Durability};
use serde::{Deserialize, Serialize};

/// What is guaranteed of requests that must not run twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum IdempotencyMode {
    /// Nothing: no record is written, and a restart forgets all keys.
    #[default]
    Off,
    /// Each request is recorded before it is sent, without waiting for the disk. Records survive a crash of the process; a
    /// power loss may lose the latest. If the store cannot take a record, the request is sent nevertheless, and counted.
    Relaxed,
    /// A request is sent only after its record would survive a power loss. If the store cannot take the record, the request
    /// is rejected before anything is sent.
    Durable,
}

/// The longest retention, in microseconds: a day.
pub const MAX_RETENTION: u64 = 86_400_000_000;

/// How long records are kept, and how many.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdempotencyLimits {
    /// How long a record is kept, in microseconds, up to [`MAX_RETENTION`]: the longest time after which a request can be repeated.
    pub retention: u64,
    /// The most records. Beyond them [`IdempotencyMode::Durable`] rejects requests, and [`IdempotencyMode::Relaxed`] sends
    /// them without a record.
    pub max_records: usize,
}

/// What the record of a request says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordState {
    /// The request was sent, or was about to be. It is not known whether it ran.
    MayHaveRun,
    /// The request ran, and was answered.
    Answered,
}

/// What has to be done with a request before its last byte is written to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Send it; no record is needed.
    Send,
    /// Write the batch to the store, then call [`IdempotencyTracker::record_written`].
    Record {
        /// The batch with the record.
        batch: Batch,
        /// The durability to write it with.
        durability: Durability,
    },
    /// Answer immediately that it has failed: another request with its key may run, or has run. See
    /// [`IdempotencyTracker::record_state`].
    Fail,
    /// Reject it: there are too many records, and nothing was sent.
    Reject,
}

/// What has to be done with a request after the store has taken or refused its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteVerdict {
    /// Send it.
    Send,
    /// Reject it; nothing was sent.
    Reject,
}
