//! A directory of the operating system.

use crate::disk::{Disk, File, LockMode};
use rustix::fs::{FlockOperation, flock};
use std::fs::{self, File as StdFile, OpenOptions};
use std::io::{self, ErrorKind};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// A directory of the operating system.
///
/// It must be on a local file system that honours `fdatasync` and locks directories with `flock`.
#[derive(Clone, Debug)]
pub struct RealDisk {
    path: PathBuf,
}

impl RealDisk {
    /// Opens an existing directory.
    ///
    /// # Errors
    /// If there is none.
    pub fn open(path: impl Into<PathBuf>) -> io::Result<Self> {
        let path = path.into();
        if fs::metadata(&path)?.is_dir() {
            Ok(RealDisk { path })
        } else {
            Err(io::Error::new(ErrorKind::NotADirectory, "not a directory"))
        }
    }

    /// Opens a directory and creates it, with those above it, if there is none. A created directory survives power
    /// loss; of those above it that were created with it, this is not guaranteed.
    ///
    /// # Errors
    /// If it cannot be created or opened.
    pub fn create(path: impl Into<PathBuf>) -> io::Result<Self> {
        let path = path.into();
        if !path.is_dir() {
            fs::create_dir_all(&path)?;
            // The directory's own name must survive power loss, or everything in it would be lost with it.
            let parent = path
                .parent()
                .filter(|p| !p.as_os_str().is_empty())
                .unwrap_or(Path::new("."));
            StdFile::open(parent)?.sync_all()?;
        }
        Self::open(path)
    }
}

impl Disk for RealDisk {
    type File = StdFile;
    type Lock = StdFile;

    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            // The store's own names are all valid UTF-8.
            if let Ok(name) = entry?.file_name().into_string() {
                names.push(name);
            }
        }
        Ok(names)
    }

    fn open(&self, name: &str) -> io::Result<StdFile> {
        StdFile::open(self.path.join(name))
    }

    fn create(&self, name: &str) -> io::Result<StdFile> {
        OpenOptions::new()
            .read(true)
            .write(true)
            .create_new(true)
            .open(self.path.join(name))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }

    fn sync(&self) -> io::Result<()> {
        StdFile::open(&self.path)?.sync_all()
    }

    fn lock(&self, mode: LockMode) -> io::Result<Option<StdFile>> {
        // The directory itself is locked: that needs no lock file, so it works where nothing can be written.
        let directory = StdFile::open(&self.path)?;
        let operation = match mode {
            LockMode::Exclusive => FlockOperation::NonBlockingLockExclusive,
            LockMode::Shared => FlockOperation::NonBlockingLockShared,
        };
        match flock(&directory, operation) {
            Ok(()) => Ok(Some(directory)),
            Err(rustix::io::Errno::WOULDBLOCK) => Ok(None),
            Err(error) => Err(error.into()),
        }
    }
}

impl File for StdFile {
    fn size(&self) -> io::Result<u64> {
        Ok(self.metadata()?.len())
    }

    fn read_at(&self, buffer: &mut [u8], offset: u64) -> io::Result<usize> {
        let mut filled = 0;
        while let Some(rest) = buffer.get_mut(filled..).filter(|r| !r.is_empty()) {
            match FileExt::read_at(self, rest, offset + filled as u64) {
                Ok(0) => break,
                Ok(read) => filled += read,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(filled)
    }

    fn write_at(&self, bytes: &[u8], offset: u64) -> io::Result<()> {
        self.write_all_at(bytes, offset)
    }

    fn truncate(&self, length: u64) -> io::Result<()> {
        self.set_len(length)
    }

    fn sync(&self) -> io::Result<()> {
        self.sync_data()
    }
}
