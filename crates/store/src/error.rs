//! The errors of the store. Each names the file or the limit that is concerned, and keeps the system's error as its
//! source.

use crate::format::{FORMAT_VERSION, MAX_BATCH_BYTES, MAX_KEY_BYTES};
use std::io;
use std::sync::Arc;

/// The result of an operation on the store.
pub type Result<T> = std::result::Result<T, Error>;

/// The name under which errors of the directory itself are reported.
pub(crate) const DIRECTORY: &str = "directory";

/// The first bytes of a file that differ from what the store wrote.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}: byte {offset}: {problem}")]
pub struct Corruption {
    /// The file's name within the store's directory.
    pub file: String,
    /// The offset of the first unreadable byte, counted from the start of the file.
    pub offset: u64,
    /// What is wrong at this offset.
    pub problem: String,
}

/// An error of the operating system that several callers may receive, such as all writers of one failed group.
///
/// Two of them are equal if their kind and their text are.
#[derive(Clone, Debug, thiserror::Error)]
#[error(transparent)]
pub struct IoError(Arc<io::Error>);

impl IoError {
    /// The kind of the error.
    #[must_use]
    pub fn kind(&self) -> io::ErrorKind {
        self.0.kind()
    }
}

impl From<io::Error> for IoError {
    fn from(error: io::Error) -> Self {
        IoError(Arc::new(error))
    }
}

impl PartialEq for IoError {
    fn eq(&self, other: &Self) -> bool {
        self.kind() == other.kind() && self.0.to_string() == other.0.to_string()
    }
}

impl Eq for IoError {}

/// The reason why an operation failed. A write that returned one of these was not acknowledged.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The system failed an operation on a file.
    #[error("{file}: {source}")]
    Io {
        /// The file's name, or `directory` for the store's directory itself.
        file: String,
        /// The error of the system.
        source: IoError,
    },
    /// The disk is full, or a disk quota is exhausted. Nothing of the write is visible. The caller may repeat the
    /// write; it succeeds once there is space, without reopening the store.
    #[error("{file}: no room on the disk; the store goes on once there is")]
    DiskFull {
        /// The file that could not grow.
        file: String,
        /// The error of the system.
        source: IoError,
    },
    /// A file differs from what the store wrote. [`salvage()`](crate::salvage()) copies what can still be read.
    #[error("damaged: {0}")]
    Corrupted(#[source] Corruption),
    /// A newer version of the program wrote the file.
    #[error(
        "{file}: written in format {version} by a newer program; this one reads up to format {FORMAT_VERSION}"
    )]
    UnsupportedVersion {
        /// The file's name.
        file: String,
        /// The version of its format.
        version: u32,
    },
    /// Another process has the store open.
    #[error("another process has the store open")]
    Locked,
    /// The directory holds no store, and the options do not allow to create one.
    #[error("there is no store in this directory")]
    StoreNotFound,
    /// A manifest was replaced and it is not known which of the two survives power loss. The store accepts no write
    /// until it is opened again; reads continue.
    #[error("no more is written until the store is opened again: {cause}")]
    Poisoned {
        /// The failure that left the manifest in doubt.
        #[source]
        cause: Box<Error>,
    },
    /// The store was opened with [`Options::read_only`](crate::Options::read_only).
    #[error("the store was opened for reading alone")]
    ReadOnly,
    /// A key is longer than [`MAX_KEY_BYTES`].
    #[error("a key of {size} bytes is too large: at most {MAX_KEY_BYTES}")]
    KeyTooLarge {
        /// The key's size in bytes.
        size: usize,
    },
    /// A batch is larger than [`MAX_BATCH_BYTES`].
    #[error("a batch of {size} bytes is too large: at most {MAX_BATCH_BYTES}")]
    BatchTooLarge {
        /// The batch's size in bytes.
        size: usize,
    },
    /// All segment ids have been used.
    #[error("no segment id is left")]
    SegmentIdsExhausted,
    /// The bytes that wait to be written have reached their limit. The caller may repeat the write later.
    #[error("too much waits to be written already")]
    Busy,
    /// The store was closed before it took the write.
    #[error("the store is closed")]
    Closed,
    /// [`Store::finish_compaction`](crate::Store::finish_compaction) received a compaction whose last
    /// [`Compaction::step`](crate::Compaction::step) had not returned `true`.
    #[error("the compaction is not finished")]
    CompactionUnfinished,
    /// The system could not start a thread.
    #[error("thread: {source}")]
    SpawnThread {
        /// The error of the system.
        source: IoError,
    },
    /// The directory that salvage should write to holds files already.
    #[error("directory: the directory to salvage into is not empty")]
    SalvageTargetNotEmpty,
}

impl Error {
    /// Wraps an error of the system that an operation on this file returned.
    #[must_use]
    pub fn io(file: &str, error: io::Error) -> Self {
        let file = file.to_owned();
        let source = IoError::from(error);
        match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => {
                Error::DiskFull { file, source }
            }
            _ => Error::Io { file, source },
        }
    }

    /// Wraps an error of the system that an operation on the store's directory returned.
    #[must_use]
    pub fn directory(error: io::Error) -> Self {
        Error::io(DIRECTORY, error)
    }

    pub(crate) fn corrupted(file: &str, offset: u64, problem: impl Into<String>) -> Self {
        Error::Corrupted(Corruption {
            file: file.to_owned(),
            offset,
            problem: problem.into(),
        })
    }
}
