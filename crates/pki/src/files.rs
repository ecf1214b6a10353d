//! Files that are either complete or absent, and private from their creation.

use crate::error::Error;
use std::fs::{DirBuilder, File, OpenOptions};
use std::io::{self, ErrorKind, Write};
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt, PermissionsExt};
use std::path::{Path, PathBuf};

/// The largest file that is read, in bytes. The largest file of a real authority is its index, of a few hundred bytes for
/// each of 100,000 certificates at most.
pub(crate) const MAX_FILE_BYTES: u64 = 16 << 20;
/// The permissions of a private directory.
const PRIVATE_DIRECTORY_MODE: u32 = 0o700;
/// The permissions of a private file.
const PRIVATE_FILE_MODE: u32 = 0o600;
/// The permissions of a public file, which the process's umask may reduce.
const PUBLIC_FILE_MODE: u32 = 0o644;
/// The permission bits of users other than the owner.
const OTHERS_MODE: u32 = 0o077;

/// Who may read a file.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Readers {
    /// Its owner alone.
    Owner,
    /// All users that the process's umask permits.
    All,
}

impl Readers {
    fn mode(self) -> u32 {
        match self {
            Readers::Owner => PRIVATE_FILE_MODE,
            Readers::All => PUBLIC_FILE_MODE,
        }
    }
}

/// Makes the error of an operation on a path.
fn io_error(path: &Path) -> impl Fn(io::Error) -> Error + '_ {
    move |source| Error::Io {
        path: path.into(),
        source,
    }
}

/// Creates a directory that only its owner can enter. An existing one must be empty.
pub(crate) fn create_directory(path: &Path) -> Result<(), Error> {
    match DirBuilder::new().mode(PRIVATE_DIRECTORY_MODE).create(path) {
        Err(error) if error.kind() == ErrorKind::AlreadyExists => require_empty(path),
        created => created.map_err(io_error(path)),
    }
}

fn require_empty(path: &Path) -> Result<(), Error> {
    let mut entries = path.read_dir().map_err(io_error(path))?;
    if entries.next().is_some() {
        return Err(Error::DirectoryNotEmpty { path: path.into() });
    }
    Ok(())
}

/// Writes a file that must not exist yet.
pub(crate) fn create(path: &Path, text: &str, readers: Readers) -> Result<(), Error> {
    let mut file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(readers.mode())
        .open(path)
        .map_err(io_error(path))?;
    let written = file
        .write_all(text.as_bytes())
        .and_then(|()| file.sync_all());
    written.map_err(|source| {
        // No file is better than half a file. If it cannot be removed either, the error remains the same.
        let _ = std::fs::remove_file(path);
        io_error(path)(source)
    })
}

/// Replaces a file atomically: a reader sees the former content or the new one. Fails while another process replaces it.
pub(crate) fn replace(path: &Path, text: &str, readers: Readers) -> Result<(), Error> {
    let temporary = temporary_path(path);
    create(&temporary, text, readers).map_err(|error| {
        if !temporary.exists() {
            return error;
        }
        let source = Box::new(error);
        Error::ReplacementInProgress { source }
    })?;
    let renamed = std::fs::rename(&temporary, path).and_then(|()| sync_directory_of(path));
    renamed.map_err(|source| {
        let _ = std::fs::remove_file(&temporary);
        io_error(path)(source)
    })
}

fn temporary_path(path: &Path) -> PathBuf {
    let mut name = path.file_name().unwrap_or_default().to_os_string();
    name.push(".new");
    path.with_file_name(name)
}

fn sync_directory_of(path: &Path) -> io::Result<()> {
    let parent = path
        .parent()
        .filter(|parent| !parent.as_os_str().is_empty());
    File::open(parent.unwrap_or(Path::new(".")))?.sync_all()
}

/// Reads a file of at most [`MAX_FILE_BYTES`].
pub(crate) fn read(path: &Path) -> Result<String, Error> {
    let bytes = std::fs::metadata(path).map_err(io_error(path))?.len();
    if bytes > MAX_FILE_BYTES {
        let path = path.into();
        return Err(Error::FileTooLarge { path, bytes });
    }
    std::fs::read_to_string(path).map_err(io_error(path))
}

/// Reads a file that only its owner may be able to read.
pub(crate) fn read_private(path: &Path) -> Result<String, Error> {
    let metadata = std::fs::metadata(path).map_err(io_error(path))?;
    let mode = metadata.permissions().mode() & 0o777;
    if mode & OTHERS_MODE != 0 {
        let path = path.into();
        return Err(Error::KeyReadableByOthers { path, mode });
    }
    read(path)
}
