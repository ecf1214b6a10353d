//! The interface to files: a directory of flat names. The store builds on what each call promises here, and the
//! disk in memory (`sim`) takes away everything that is not promised.

use std::io;

/// How a directory is locked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LockMode {
    /// For one process that writes; nobody else holds a lock meanwhile.
    Exclusive,
    /// For processes that only read.
    Shared,
}

/// A directory that holds the files of one store. Its clones are the same directory.
///
/// What is done to names survives a crash of the process at once, and power loss only after [`Disk::sync`].
pub trait Disk: Clone + Send + Sync + 'static {
    /// A file in the directory.
    type File: File;
    /// Holds the directory locked. The lock ends when this is dropped, and when the process ends.
    type Lock: Send + Sync;

    /// Lists the names of all files, in no particular order.
    ///
    /// # Errors
    /// If the directory cannot be read.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Opens a file for reading. It stays readable as long as it is open, even once its name is removed.
    ///
    /// # Errors
    /// [`io::ErrorKind::NotFound`] if there is no such file; any other if it cannot be opened.
    fn open(&self, name: &str) -> io::Result<Self::File>;

    /// Creates an empty file for reading and writing.
    ///
    /// The name survives power loss only after [`Disk::sync`].
    ///
    /// # Errors
    /// If the file exists, or cannot be created.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Renames a file and replaces the file that has the new name.
    ///
    /// After a crash at any point the new name refers to either file, complete. Which of the two survives power loss
    /// is certain only after [`Disk::sync`].
    ///
    /// # Errors
    /// If the file cannot be renamed. It is then unknown whether the rename survives power loss.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a name. Handles of the file stay readable.
    ///
    /// # Errors
    /// [`io::ErrorKind::NotFound`] if there is no such file; any other if it cannot be removed.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Flushes the directory: every creation, rename and removal before it survives power loss.
    ///
    /// # Errors
    /// If the flush fails. Nothing is known then of the changes since the last one that succeeded.
    fn sync(&self) -> io::Result<()>;

    /// Locks the directory. Returns `None` if another process holds a lock that excludes this one.
    ///
    /// # Errors
    /// If the directory cannot be locked at all.
    fn lock(&self, mode: LockMode) -> io::Result<Option<Self::Lock>>;
}

/// A file of a [`Disk`].
///
/// What is written survives a crash of the process at once, and power loss only after [`File::sync`].
pub trait File: Send + Sync + 'static {
    /// Returns the length in bytes.
    ///
    /// # Errors
    /// If the system cannot tell it.
    fn size(&self) -> io::Result<u64>;

    /// Fills the buffer from this offset and returns the bytes read; fewer than the buffer holds only at the end of the
    /// file.
    ///
    /// # Errors
    /// If the bytes cannot be read.
    fn read_at(&self, buffer: &mut [u8], offset: u64) -> io::Result<usize>;

    /// Writes all bytes at this offset.
    ///
    /// # Errors
    /// If not all of them could be written. Any part of them may be in the file then.
    fn write_at(&self, bytes: &[u8], offset: u64) -> io::Result<()>;

    /// Shortens the file to this length.
    ///
    /// # Errors
    /// If the file cannot be shortened.
    fn truncate(&self, length: u64) -> io::Result<()>;

    /// Flushes the file: everything written before survives power loss.
    ///
    /// # Errors
    /// If the flush fails. Nothing is known then of what was written since the last one that succeeded, and a later
    /// success says nothing of it either.
    fn sync(&self) -> io::Result<()>;
}
