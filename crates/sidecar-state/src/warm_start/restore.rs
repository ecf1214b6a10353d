//! Reading the snapshots of all services at a start.

use super::keys::{KEY_PREFIX, NAME_END};
use super::snapshot::WarmStartSnapshot;
use super::writer::SnapshotWriter;
use madderloom_store::{File, Result, Snapshot};
use std::collections::BTreeMap;

/// What the store holds of one service.
pub struct RestoredService {
    /// Its snapshot, if there is one that can be read.
    pub snapshot: Option<WarmStartSnapshot>,
    /// The writer of its next snapshots.
    pub writer: SnapshotWriter,
}

/// Reads what the store holds of all services, by their names.
///
/// # Errors
/// The store cannot be read.
pub fn restore_services<F: File>(store: &Snapshot<F>) -> Result<BTreeMap<String, RestoredService>> {
    let restore = |name: String| {
        let restored = RestoredService {
            snapshot: WarmStartSnapshot::load(store, &name)?,
            writer: SnapshotWriter::load(store, &name)?,
        };
        Ok((name, restored))
    };
    service_names(store).into_iter().map(restore).collect()
}

/// The names of the services that the store holds something of, each once.
fn service_names<F: File>(store: &Snapshot<F>) -> Vec<String> {
    let mut names: Vec<String> = Vec::new();
    for entry in store.keys(KEY_PREFIX.as_bytes(), 0) {
        let rest = entry.key.get(KEY_PREFIX.len()..).unwrap_or_default();
        let name = rest.split(|byte| *byte == NAME_END).next();
        let name = String::from_utf8_lossy(name.unwrap_or_default()).into_owned();
        if names.last() != Some(&name) {
            names.push(name);
        }
    }
    names
}
