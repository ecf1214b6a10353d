//! The warm start: what was measured of servers and request classes is kept across a restart, and weighted by its age.

mod decay;
mod keys;
mod restore;
mod snapshot;
mod writer;

pub use decay::{DecayedSnapshot, SnapshotDecay, blend};
pub use restore::{RestoredService, restore_services};
pub use snapshot::{
    ClassSnapshot, ListedServer, MAX_CLASSES, MAX_NAME_BYTES, MAX_SERVERS, Means, ServerSnapshot,
    WarmStartSnapshot,
};
pub use writer::{PendingSnapshot, SnapshotWriter};
