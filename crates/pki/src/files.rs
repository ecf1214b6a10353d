//! Files that are whole or not there, and secret from their first byte.

use std::fs::{DirBuilder, File, OpenOptions};
use std::io::{ErrorKind, Write};
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt, PermissionsExt};
use std::path::{Path, PathBuf};

/// The largest file that is read.
const LARGEST: u64 = 16 << 20;

/// Who may read a file.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Readers {
    /// Its owner.
    Owner,
    /// Whoever the process's mask lets.
    All,
}

/// Creates a directory that its owner alone can enter. One that is there must be empty.
pub(crate) fn create_directory(path: &Path) -> Result<(), String> {
    let name = path.display();
    match DirBuilder::new().mode(0o700).create(path) {
        Err(e) if e.kind() == ErrorKind::AlreadyExists => {
            let mut entries = path.read_dir().map_err(|e| format!("{name}: {e}"))?;
            if entries.next().is_some() {
                Err(format!("{name} is not empty"))
            } else {
                Ok(())
            }
        }
        made => made.map_err(|e| format!("{name}: {e}")),
    }
}

/// Writes a file that is not there yet.
pub(crate) fn create(path: &Path, text: &str, readers: Readers) -> Result<(), String> {
    let mode = if readers == Readers::Owner {
        0o600
    } else {
        0o644
    };
    let mut file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(mode)
        .open(path)
        .map_err(|e| format!("{}: {e}", path.display()))?;
    let written = file
        .write_all(text.as_bytes())
        .and_then(|()| file.sync_all());
    written.map_err(|e| {
        // Half a file is worse than none; that it can't be removed either changes nothing about the error.
        let _ = std::fs::remove_file(path);
        format!("{}: {e}", path.display())
    })
}

/// Replaces a file, so that a reader sees the former one or the new one. Fails while another one replaces it.
pub(crate) fn replace(path: &Path, text: &str, readers: Readers) -> Result<(), String> {
    let new = beside(path);
    create(&new, text, readers).map_err(|e| {
        if new.exists() {
            format!("{e}; another command may be at work there, else remove that file")
        } else {
            e
        }
    })?;
    let renamed = std::fs::rename(&new, path).and_then(|()| sync_directory(path));
    renamed.map_err(|e| {
        let _ = std::fs::remove_file(&new);
        format!("{}: {e}", path.display())
    })
}

fn beside(path: &Path) -> PathBuf {
    let mut name = path.file_name().unwrap_or_default().to_os_string();
    name.push(".new");
    path.with_file_name(name)
}

fn sync_directory(path: &Path) -> std::io::Result<()> {
    let parent = path
        .parent()
        .filter(|parent| !parent.as_os_str().is_empty());
    File::open(parent.unwrap_or(Path::new(".")))?.sync_all()
}

/// Reads a file of a bounded size.
pub(crate) fn read(path: &Path) -> Result<String, String> {
    let name = path.display();
    let size = std::fs::metadata(path)
        .map_err(|e| format!("{name}: {e}"))?
        .len();
    if size > LARGEST {
        return Err(format!("{name}: has {size} bytes, which is too much"));
    }
    std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))
}

/// Reads a file that nobody but its owner may be able to read.
pub(crate) fn read_secret(path: &Path) -> Result<String, String> {
    let name = path.display();
    let mode = std::fs::metadata(path)
        .map_err(|e| format!("{name}: {e}"))?
        .permissions()
        .mode()
        & 0o777;
    if mode & 0o077 != 0 {
        return Err(format!(
            "{name}: others can read this key (mode {mode:o}); make a new one, or run chmod 600 on it if they never could"
        ));
    }
    read(path)
}
