//! The manifest on the disk: how it is read, and how it is replaced.

use crate::disk::{Disk, File};
use crate::error::{Error, Result};
use crate::format::{FormatError, MANIFEST, MANIFEST_NEW, MAX_MANIFEST_BYTES, Manifest};
use std::io::{self, ErrorKind};

/// Reads the manifest; `None` if the directory holds none.
///
/// # Errors
/// [`Error::Corrupted`], [`Error::UnsupportedVersion`], [`Error::Io`].
pub(crate) fn load_manifest<D: Disk>(disk: &D) -> Result<Option<Manifest>> {
    let file = match disk.open(MANIFEST) {
        Ok(file) => file,
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(Error::io(MANIFEST, error)),
    };
    let size = file.size().map_err(|error| Error::io(MANIFEST, error))?;
    if size > MAX_MANIFEST_BYTES {
        return Err(Error::corrupted(
            MANIFEST,
            MAX_MANIFEST_BYTES,
            "the manifest is longer than any can be",
        ));
    }
    let mut bytes = vec![0; size as usize];
    let read = file
        .read_at(&mut bytes, 0)
        .map_err(|error| Error::io(MANIFEST, error))?;
    bytes.truncate(read);
    match Manifest::decode(&bytes) {
        Ok(manifest) => Ok(Some(manifest)),
        Err(FormatError::UnsupportedVersion { version }) => Err(Error::UnsupportedVersion {
            file: MANIFEST.to_owned(),
            version,
        }),
        Err(FormatError::Corrupted { offset, problem }) => {
            Err(Error::corrupted(MANIFEST, offset, problem))
        }
    }
}

/// The reason why a manifest was not replaced.
pub(crate) enum ReplaceError {
    /// The former manifest is still in place, and survives a crash and power loss.
    Unchanged(Error),
    /// It is unknown which of the two manifests survives power loss.
    InDoubt(Error),
}

/// Replaces the manifest: writes a new file, flushes it, renames it over the former one, and flushes the directory. The
/// names and the content of the segments that it lists must have been flushed before.
///
/// After a crash of the process, and after power loss, at any point one of the two manifests is found complete. Once
/// this has returned `Ok` it is the new one.
pub(crate) fn replace_manifest<D: Disk>(
    disk: &D,
    manifest: &Manifest,
) -> std::result::Result<(), ReplaceError> {
    if let Err(error) = write_new_manifest(disk, manifest) {
        // What is left of it is removed by the next replacement, too.
        let _ = disk.remove(MANIFEST_NEW);
        return Err(ReplaceError::Unchanged(Error::io(MANIFEST_NEW, error)));
    }
    disk.rename(MANIFEST_NEW, MANIFEST)
        .map_err(|error| ReplaceError::InDoubt(Error::io(MANIFEST, error)))?;
    disk.sync()
        .map_err(|error| ReplaceError::InDoubt(Error::directory(error)))
}

fn write_new_manifest<D: Disk>(disk: &D, manifest: &Manifest) -> io::Result<()> {
    // It exists where an earlier replacement was interrupted.
    match disk.remove(MANIFEST_NEW) {
        Err(error) if error.kind() != ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    let file = disk.create(MANIFEST_NEW)?;
    file.write_at(&manifest.encode(), 0)?;
    file.sync()
}
