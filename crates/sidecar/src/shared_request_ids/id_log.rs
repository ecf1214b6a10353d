//! A process's log of ids: a file with a ring of fixed-size entries, to which one process adds and which others read.
//!
//! | bytes | content, little-endian |
//! | --- | --- |
//! | 0 to 7 | [`FORMAT`] |
//! | 8 to 15 | the number of entries added so far |
//! | 16 + 16 n | entry n, modulo [`ENTRIES`]: the hash of an id, then an [`IdState`] |
//!
//! An entry is written before the count that includes it. The writer holds a lock on its file while it lives.

use rustix::fs::{FlockOperation, flock};
use std::cell::Cell;
use std::ffi::{OsStr, OsString};
use std::fs::{self, File, OpenOptions};
use std::io;
use std::os::unix::fs::{FileExt, OpenOptionsExt};
use std::path::Path;
use std::time::Duration;

/// Marks a file of this format.
const FORMAT: u64 = u64::from_le_bytes(*b"mlids\0\0\x01");
const COUNT_OFFSET: u64 = 8;
const FIRST_ENTRY_OFFSET: u64 = 16;
const ENTRY_BYTES: usize = 16;
/// Entries of a file, which takes 128 KiB then.
const ENTRIES: u64 = 8_192;
/// A file that was written last so long before, by a process that has ended, holds nothing that is still remembered.
pub(super) const FORGOTTEN_AFTER: Duration = Duration::from_secs(60);

/// What has become of the request with an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IdState {
    /// It may be sent from now on.
    Started,
    /// It has ended with a server's response, or without having run.
    Answered,
    /// It has ended, and may have run unanswered.
    MayHaveRun,
}

impl IdState {
    const fn code(self) -> u64 {
        match self {
            IdState::Started => 1,
            IdState::Answered => 2,
            IdState::MayHaveRun => 3,
        }
    }

    fn from_code(code: u64) -> Option<Self> {
        [IdState::Started, IdState::Answered, IdState::MayHaveRun]
            .into_iter()
            .find(|state| state.code() == code)
    }
}

fn entry_offset(number: u64) -> u64 {
    FIRST_ENTRY_OFFSET + number % ENTRIES * ENTRY_BYTES as u64
}

/// The log of this process.
pub(super) struct IdLog {
    file: File,
    name: OsString,
    count: Cell<u64>,
}

impl IdLog {
    /// Creates the log of this process in a directory.
    pub(super) fn create(directory: &Path) -> io::Result<Self> {
        let started_at = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap_or_default();
        let name = OsString::from(format!("{}-{}", std::process::id(), started_at.as_nanos()));
        let file = OpenOptions::new()
            .write(true)
            .create_new(true)
            .mode(0o600)
            .open(directory.join(&name))?;
        flock(&file, FlockOperation::NonBlockingLockExclusive)?;
        file.write_all_at(&FORMAT.to_le_bytes(), 0)?;
        file.write_all_at(&0_u64.to_le_bytes(), COUNT_OFFSET)?;
        Ok(IdLog {
            file,
            name,
            count: Cell::new(0),
        })
    }

    pub(super) fn name(&self) -> &OsStr {
        &self.name
    }

    /// Adds an entry.
    pub(super) fn append(&self, hash: u64, state: IdState) -> io::Result<()> {
        let mut entry = [0; ENTRY_BYTES];
        entry[..8].copy_from_slice(&hash.to_le_bytes());
        entry[8..].copy_from_slice(&state.code().to_le_bytes());
        let count = self.count.get();
        self.file.write_all_at(&entry, entry_offset(count))?;
        self.file
            .write_all_at(&(count + 1).to_le_bytes(), COUNT_OFFSET)?;
        self.count.set(count + 1);
        Ok(())
    }

    pub(super) fn remove(&self, directory: &Path) {
        let _ = fs::remove_file(directory.join(&self.name));
    }
}

/// The log of another process.
pub(super) struct PeerLog {
    file: File,
    name: OsString,
    /// The entries that were read.
    read: u64,
}

impl PeerLog {
    pub(super) fn open(directory: &Path, name: OsString) -> io::Result<Self> {
        let file = File::open(directory.join(&name))?;
        if read_number(&file, 0)? != FORMAT {
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(PeerLog {
            file,
            name,
            read: 0,
        })
    }

    pub(super) fn name(&self) -> &OsString {
        &self.name
    }

    /// The entries that were added since the last call, the oldest first. Those that were overwritten meanwhile are missing.
    pub(super) fn read_added(&mut self) -> Vec<(u64, IdState)> {
        let Ok(count) = read_number(&self.file, COUNT_OFFSET) else {
            return Vec::new();
        };
        let first = self.read.max(count.saturating_sub(ENTRIES));
        self.read = count;
        (first..count)
            .filter_map(|number| {
                let mut entry = [0; ENTRY_BYTES];
                self.file
                    .read_exact_at(&mut entry, entry_offset(number))
                    .ok()?;
                let hash = u64::from_le_bytes(*entry.first_chunk()?);
                let code = u64::from_le_bytes(*entry.last_chunk()?);
                Some((hash, IdState::from_code(code)?))
            })
            .collect()
    }

    /// Whether its process lives.
    pub(super) fn is_alive(&self) -> bool {
        let locked = flock(&self.file, FlockOperation::NonBlockingLockShared).is_err();
        if !locked {
            let _ = flock(&self.file, FlockOperation::Unlock);
        }
        locked
    }

    /// Whether its process has ended so long ago that its ids are not remembered any more.
    pub(super) fn is_forgotten(&self) -> bool {
        let written_at = self.file.metadata().and_then(|file| file.modified());
        let age = written_at.ok().and_then(|at| at.elapsed().ok());
        age.is_some_and(|age| age > FORGOTTEN_AFTER) && !self.is_alive()
    }

    pub(super) fn remove(&self, directory: &Path) {
        let _ = fs::remove_file(directory.join(&self.name));
    }
}

fn read_number(file: &File, offset: u64) -> io::Result<u64> {
    let mut bytes = [0; 8];
    file.read_exact_at(&mut bytes, offset)?;
    Ok(u64::from_le_bytes(bytes))
}
