//! A small embedded store: an append-only log with an index in memory that survives a crash at any byte.
//!
//! It knows nothing of what is stored in it. Keys and values are bytes. Times are numbers in any unit of one clock, which
//! is the caller's: the store reads no clock.
//!
//! - [`Store`] is for one owner, which blocks while it writes; [`GroupCommit`] is for many writers, and for writers that
//!   must not block. [`Reader`] and [`Snapshot`] read beside them.
//! - [`Durability`] says what an acknowledged write survives.
//! - [`Disk`] and [`File`] are the only way to files, so that a test can replace them.
//! - [`verify()`] checks a store; [`salvage()`] copies what can be read of a corrupted one.
//!
//! ```
//! use madderloom_store::{Batch, Durability, Options, RealDisk, Store};
//!
//! # let directory = tempfile::tempdir()?;
//! # let path = directory.path();
//! let mut store = Store::open(RealDisk::create(path)?, Options::default())?;
//! let mut batch = Batch::new();
//! batch.put("drain/s1", "by ada").put_until("ran/7", "1", 5_000);
//! store.write(&batch, Durability::Durable)?;
//!
//! let snapshot = store.snapshot();
//! store.delete(b"drain/s1")?;
//! assert_eq!(store.get(b"drain/s1", 0)?, None);
//! assert_eq!(snapshot.get(b"drain/s1", 0)?, Some(b"by ada".to_vec()));
//! assert_eq!(store.get(b"ran/7", 4_999)?, Some(b"1".to_vec()));
//! assert_eq!(store.get(b"ran/7", 5_000)?, None);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod active_segment;
mod batch;
mod compaction;
mod compaction_policy;
mod disk;
mod error;
mod format;
mod group_commit;
mod index;
mod index_loader;
mod manifest_file;
mod options;
mod poison;
mod preallocation;
mod reader;
mod real_disk;
mod recovery;
mod salvage;
mod segment_files;
mod segment_scan;
#[cfg(feature = "sim")]
pub mod sim;
mod snapshot;
mod statistics;
mod store;
mod value_location;
mod verify;

pub use batch::Batch;
pub use compaction::Compaction;
pub use disk::{Disk, File, LockMode};
pub use error::{Corruption, Error, IoError, Result};
pub use format::{FORMAT_VERSION, MAX_BATCH_BYTES, MAX_KEY_BYTES};
pub use group_commit::{GroupCommit, GroupCommitStatus};
pub use options::{Durability, Options};
pub use reader::Reader;
pub use real_disk::RealDisk;
pub use salvage::{SalvageReport, salvage};
pub use segment_scan::LostRange;
pub use snapshot::{KeyEntry, Snapshot};
pub use statistics::Statistics;
pub use store::Store;
pub use verify::{VerifyReport, verify};
