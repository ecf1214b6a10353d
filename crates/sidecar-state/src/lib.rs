//! What a sidecar keeps across restarts, in the embedded store:
//!
//! - idempotency records: whether a request that must not run twice may have run ([`IdempotencyTracker`]),
//! - warm-start snapshots: what was measured of servers and request classes ([`WarmStartSnapshot`]),
//! - drains: the servers that operators have drained ([`Drain`]).
//!
//! The crate does no I/O of its own. What has to be written is returned as a [`madderloom_store::Batch`], with the
//! durability that it needs; what has to be read is passed in as a snapshot or a reader of a store. All users of one store
//! have to pass it the same time for its expiries: [`IdempotencyTracker::store_time`].

mod drains;
mod error;
mod idempotency;
mod warm_start;

pub use drains::{Drain, MAX_DRAINS};
pub use error::Error;
pub use idempotency::{
    Admission, IdempotencyKey, IdempotencyLimits, IdempotencyMode, IdempotencyTracker,
    MAX_KEY_BYTES, MAX_RETENTION, MAX_SERVICE_NAME_BYTES, RecordState, WriteVerdict,
};
pub use warm_start::{
    ClassSnapshot, DecayedSnapshot, ListedServer, MAX_CLASSES, MAX_NAME_BYTES, MAX_SERVERS, Means,
    PendingSnapshot, RestoredService, ServerSnapshot, SnapshotDecay, SnapshotWriter,
    WarmStartSnapshot, blend, restore_services,
};
