//! What can go wrong, in words for people: what, where, and what to do.

use std::{fmt, io};

/// Where a file is damaged, and how.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Corruption {
    /// The file's name within the store.
    pub file: String,
    /// The first byte that can't be what was written, counted from the file's beginning.
    pub offset: u64,
    /// What is wrong there.
    pub problem: String,
}

impl fmt::Display for Corruption {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: byte {}: {}", self.file, self.offset, self.problem)
    }
}

/// Why the store did not do what it was asked. No write that ended in one of these was acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The system refused an operation on a file.
    Io {
        /// Which file, or `directory`.
        file: String,
        /// The kind of refusal.
        kind: io::ErrorKind,
        /// The system's words.
        problem: String,
    },
    /// There is no room on the disk. Nothing of the write is kept; it may be tried again once there is room.
    DiskFull {
        /// The file that found no room.
        file: String,
    },
    /// What is on the disk can't be what was written.
    Corrupted(Corruption),
    /// A newer program wrote the file.
    UnsupportedVersion {
        /// The file.
        file: String,
        /// The version of its format.
        version: u32,
    },
    /// Another process has the store open.
    Locked,
    /// There is no store in the directory, and none was to be made.
    StoreNotFound,
    /// A switch of the manifest was begun and it can't be told whether it would outlast a loss of power: nothing
    /// more is written until the store is opened again. Reading goes on.
    Poisoned(String),
    /// The store was opened for reading alone.
    ReadOnly,
    /// A key, a value or a batch is larger than may be.
    TooLarge {
        /// Which of them.
        what: &'static str,
        /// Its bytes.
        size: usize,
        /// The most it may have.
        most: usize,
    },
    /// So much waits to be written already that no more is taken.
    Busy,
    /// The store was closed before the write was taken.
    Closed,
}

impl Error {
    pub(crate) fn io(file: &str, error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => {
                Error::DiskFull { file: file.into() }
            }
            kind => Error::Io {
                file: file.into(),
                kind,
                problem: error.to_string(),
            },
        }
    }

    pub(crate) fn damage(file: &str, offset: u64, problem: impl Into<String>) -> Self {
        Error::Corrupted(Corruption {
            file: file.into(),
            offset,
            problem: problem.into(),
        })
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Io { file, problem, .. } => write!(f, "{file}: {problem}"),
            Error::DiskFull { file } => write!(
                f,
                "{file}: no room on the disk; the store goes on once there is"
            ),
            Error::Corrupted(damage) => write!(f, "damaged: {damage}"),
            Error::UnsupportedVersion { file, version } => write!(
                f,
                "{file}: written in format {version} by a newer program; this one reads up to format {}",
                crate::format::FORMAT_VERSION
            ),
            Error::Locked => f.write_str("another process has the store open"),
            Error::StoreNotFound => f.write_str("there is no store in this directory"),
            Error::Poisoned(why) => write!(
                f,
                "no more is written until the store is opened again: {why}"
            ),
            Error::ReadOnly => f.write_str("the store was opened for reading alone"),
            Error::TooLarge { what, size, most } => {
                write!(f, "{what} of {size} bytes is too large: at most {most}")
            }
            Error::Busy => f.write_str("too much waits to be written already"),
            Error::Closed => f.write_str("the store is closed"),
        }
    }
}

impl std::error::Error for Error {}

/// What comes of an operation on the store.
pub type Result<T> = std::result::Result<T, Error>;
