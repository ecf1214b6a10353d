//! A small embedded store: an append-only log with an index in memory, which survives a crash at any byte.
//!
//! It knows nothing of what is kept in it. Keys and values are bytes; times are whatever the caller counts, in one
//! unit and on one clock: the store reads none.
//!
//! - [`Store`] is for one owner, which blocks while it writes; [`GroupCommit`] for many writers, and for those that
//!   must not block. [`Reader`] and [`Snapshot`] read beside them.
//! - [`Durability`] tells what an acknowledged write survives.
//! - All files are met through [`Disk`] and [`File`].
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

mod batch;
mod compact;
mod disk;
mod error;
mod format;
mod group;
mod index;
mod inspect;
mod manifest;
mod scan;
#[cfg(feature = "sim")]
pub mod sim;
mod store;

pub use batch::Batch;
pub use compact::Compaction;
pub use disk::{Disk, File, RealDisk};
pub use error::{Corruption, Error, Result};
pub use format::{FORMAT_VERSION, MAX_BATCH_BYTES, MAX_KEY_BYTES};
pub use group::{GroupCommit, GroupCommitStatus};
pub use index::Snapshot;
pub use inspect::{SalvageReport, VerifyReport, salvage, verify};
pub use scan::LostRange;
pub use store::{Durability, Options, Reader, Statistics, Store};
