//! The one door to files: a directory of flat names. What each call promises is what the store builds on, and what
//! the disk in memory (`sim`) takes away.

use std::fs::{self, File as StdFile, OpenOptions};
use std::io::{self, ErrorKind};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// A directory that holds the files of one store.
pub trait Disk: Clone + Send + Sync + 'static {
    /// A file in it.
    type File: File;
    /// What is held while the directory is locked; the lock ends with it, and with the process.
    type Lock: Send + Sync;

    /// The names of all files, in no order.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Opens a file for reading. It stays readable for as long as it is open, also once its name is gone.
    fn open(&self, name: &str) -> io::Result<Self::File>;
    /// Makes an empty file that is not there yet, for reading and writing. The name outlasts a loss of power only
    /// after [`Disk::sync`].
    fn create(&self, name: &str) -> io::Result<Self::File>;
    /// Gives a file another name, in place of the file that has it. After a crash the name is one or the other's;
    /// which, is known only after [`Disk::sync`].
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Takes a name away.
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Makes every making, renaming and removal before it outlast a loss of power.
    fn sync(&self) -> io::Result<()>;
    /// Locks the directory: alone, or with others that only read. None where another process holds it.
    fn lock(&self, alone: bool) -> io::Result<Option<Self::Lock>>;
}

/// A file of a [`Disk`].
pub trait File: Send + Sync + 'static {
    /// Its length in bytes.
    fn size(&self) -> io::Result<u64>;
    /// Fills the buffer from this place, less only where the file ends. Says how much it read.
    fn read_at(&self, buffer: &mut [u8], offset: u64) -> io::Result<usize>;
    /// Writes all of it at this place. After an error any part of it may have been written. What is written outlasts
    /// the process; a loss of power it outlasts only after [`File::sync`].
    fn write_at(&self, bytes: &[u8], offset: u64) -> io::Result<()>;
    /// Gives back what lies behind this length. Like a write, it outlasts a loss of power only after [`File::sync`].
    fn truncate(&self, length: u64) -> io::Result<()>;
    /// Makes all that was written before it outlast a loss of power. After an error nothing is known of what was
    /// written since the last that succeeded, and a later success says nothing of it either.
    fn sync(&self) -> io::Result<()>;
}

/// A directory of the system.
#[derive(Clone, Debug)]
pub struct RealDisk {
    path: PathBuf,
}

impl RealDisk {
    /// A directory that is there.
    ///
    /// # Errors
    /// Where there is none.
    pub fn open(path: impl Into<PathBuf>) -> io::Result<Self> {
        let path = path.into();
        if fs::metadata(&path)?.is_dir() {
            Ok(RealDisk { path })
        } else {
            Err(io::Error::new(ErrorKind::NotADirectory, "not a directory"))
        }
    }

    /// A directory that is made, with those above it, where there is none.
    ///
    /// # Errors
    /// Where it can't be made.
    pub fn create(path: impl Into<PathBuf>) -> io::Result<Self> {
        let path = path.into();
        if !path.is_dir() {
            fs::create_dir_all(&path)?;
            // The name of the directory is to last too, or all in it would be lost with it.
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
            // A name that is no text is none of ours.
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

    fn lock(&self, alone: bool) -> io::Result<Option<StdFile>> {
        use rustix::fs::{FlockOperation, flock};
        // The directory itself is locked: that needs no file, so it works where nothing can be written.
        let directory = StdFile::open(&self.path)?;
        let how = if alone {
            FlockOperation::NonBlockingLockExclusive
        } else {
            FlockOperation::NonBlockingLockShared
        };
        match flock(&directory, how) {
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
        let mut done = 0;
        while let Some(rest) = buffer.get_mut(done..).filter(|r| !r.is_empty()) {
            match FileExt::read_at(self, rest, offset + done as u64) {
                Ok(0) => break,
                Ok(read) => done += read,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(done)
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
