//! The manifest on the disk: read, and switched.

use crate::disk::{Disk, File};
use crate::error::{Error, Result};
use crate::format::{MANIFEST, MANIFEST_NEW, MAX_MANIFEST, Manifest, Refusal};
use std::io::ErrorKind;

/// None where there is no manifest.
pub(crate) fn load<D: Disk>(disk: &D) -> Result<Option<Manifest>> {
    let file = match disk.open(MANIFEST) {
        Ok(file) => file,
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(Error::io(MANIFEST, &error)),
    };
    let size = file.size().map_err(|e| Error::io(MANIFEST, &e))?;
    if size > MAX_MANIFEST {
        return Err(Error::damage(
            MANIFEST,
            MAX_MANIFEST,
            "the manifest is longer than any can be",
        ));
    }
    let mut bytes = vec![0; size as usize];
    let read = file
        .read_at(&mut bytes, 0)
        .map_err(|e| Error::io(MANIFEST, &e))?;
    bytes.truncate(read);
    match Manifest::decode(&bytes) {
        Ok(manifest) => Ok(Some(manifest)),
        Err(Refusal::Newer(version)) => Err(Error::UnsupportedVersion {
            file: MANIFEST.into(),
            version,
        }),
        Err(Refusal::Damaged(offset, problem)) => Err(Error::damage(MANIFEST, offset, problem)),
    }
}

/// Why a manifest was not switched.
pub(crate) enum NotSwitched {
    /// The old one stands, for certain.
    Refused(Error),
    /// Either may stand after a loss of power.
    Unknown(Error),
}

/// Puts a manifest in place of the one before: a new file, flushed, then renamed, and the directory flushed. Names
/// that it lists must have been flushed before.
///
/// Survives a crash of the process and a loss of power at any point: one of the two manifests is found whole.
pub(crate) fn switch<D: Disk>(
    disk: &D,
    manifest: &Manifest,
) -> std::result::Result<(), NotSwitched> {
    let write = || {
        // It is there where an earlier try ended in the middle.
        match disk.remove(MANIFEST_NEW) {
            Err(error) if error.kind() != ErrorKind::NotFound => return Err(error),
            _ => {}
        }
        let file = disk.create(MANIFEST_NEW)?;
        file.write_at(&manifest.encode(), 0)?;
        file.sync()
    };
    if let Err(error) = write() {
        // What is left of it is removed at the next switch, too.
        let _ = disk.remove(MANIFEST_NEW);
        return Err(NotSwitched::Refused(Error::io(MANIFEST_NEW, &error)));
    }
    disk.rename(MANIFEST_NEW, MANIFEST)
        .map_err(|e| NotSwitched::Unknown(Error::io(MANIFEST, &e)))?;
    disk.sync()
        .map_err(|e| NotSwitched::Unknown(Error::io("directory", &e)))
}
