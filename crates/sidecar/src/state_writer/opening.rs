//! Opens the store of a directory, and distinguishes permanent from temporary failures.

use madderloom_store::{Batch, Durability, Error, Options, RealDisk, Store};
use std::io::ErrorKind;
use std::path::Path;
use std::time::UNIX_EPOCH;

/// The key of the time of the last start, in Unix seconds.
const START_KEY: &str = "start";

/// Opens the store and writes to it, so that a problem with the directory shows at the start.
pub(super) fn open_store(dir: &Path) -> Result<Store<RealDisk>, Error> {
    let disk = RealDisk::open(dir).map_err(Error::directory)?;
    let mut store = Store::open(disk, Options::default())?;
    let started_at = UNIX_EPOCH.elapsed().unwrap_or_default().as_secs();
    let mut start = Batch::new();
    start.put(START_KEY, started_at.to_string());
    match store.write(&start, Durability::Durable) {
        Err(error) if is_permanent(&error) => Err(error),
        // The disk is full or failing: stored data can be read, and the disk may recover.
        _ => Ok(store),
    }
}

/// Whether an operator has to remove the cause before the program can start. A disk that fails intermittently must not
/// prevent a start.
pub(super) fn is_permanent(error: &Error) -> bool {
    use ErrorKind::{NotADirectory, NotFound, PermissionDenied, ReadOnlyFilesystem};
    match error {
        Error::Io { source, .. } => {
            matches!(
                source.kind(),
                NotADirectory | NotFound | PermissionDenied | ReadOnlyFilesystem
            )
        }
        Error::Corrupted(_) | Error::UnsupportedVersion { .. } | Error::Locked => true,
        _ => false,
    }
}
