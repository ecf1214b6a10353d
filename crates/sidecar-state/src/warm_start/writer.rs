//! Writing snapshots: only what has changed.

use super::keys::SnapshotKeys;
use super::snapshot::{MAX_CLASSES, MAX_SERVERS, SnapshotHeader, WarmStartSnapshot};
use madderloom_store::{Batch, File, Result, Snapshot};
use serde::Serialize;
use std::collections::BTreeMap;

/// The stored servers and classes of a service, by their keys.
type Entries = BTreeMap<Vec<u8>, Vec<u8>>;

/// Writes the snapshots of one service. A snapshot contains only what has changed since the last that was written, so an
/// idle fleet causes few writes.
pub struct SnapshotWriter {
    keys: SnapshotKeys,
    /// What the store holds.
    written: Entries,
}

/// A snapshot that has to be written.
pub struct PendingSnapshot {
    /// The changes. One batch, so that a restart finds all of them or none; relaxed durability is enough, because the next
    /// snapshot follows within seconds.
    pub batch: Batch,
    /// What the store holds after that.
    entries: Entries,
}

impl SnapshotWriter {
    /// The writer of a service of which the store holds nothing.
    pub fn empty(service: &str) -> Self {
        SnapshotWriter {
            keys: SnapshotKeys::of(service),
            written: Entries::new(),
        }
    }

    /// The writer of a service, which continues from what the store holds.
    ///
    /// # Errors
    /// The store cannot be read.
    pub fn load<F: File>(store: &Snapshot<F>, service: &str) -> Result<Self> {
        let keys = SnapshotKeys::of(service);
        let mut written = Entries::new();
        for prefix in [&keys.servers, &keys.classes] {
            for entry in store.scan(prefix, 0) {
                let (key, value) = entry?;
                written.insert(key.to_vec(), value);
            }
        }
        Ok(SnapshotWriter { keys, written })
    }

    /// The batch that deletes everything that the store holds of the service.
    pub fn delete_batch(&self) -> Batch {
        let mut batch = Batch::new();
        batch.delete(self.keys.header.clone());
        for key in self.written.keys() {
            batch.delete(key.clone());
        }
        batch
    }

    /// The changes that store a snapshot. [`SnapshotWriter::set_written`] has to be called after the store has taken them.
    pub fn prepare(&self, snapshot: &WarmStartSnapshot) -> PendingSnapshot {
        let entries = self.entries(snapshot);
        let mut batch = Batch::new();
        let header = SnapshotHeader {
            taken_at: snapshot.taken_at,
            means: snapshot.means,
        };
        // Numbers always have a JSON form.
        let header = serde_json::to_vec(&header).unwrap_or_default();
        batch.put(self.keys.header.clone(), header);
        for (key, value) in &entries {
            if self.written.get(key) != Some(value) {
                batch.put(key.clone(), value.clone());
            }
        }
        for key in self.written.keys() {
            if !entries.contains_key(key) {
                batch.delete(key.clone());
            }
        }
        PendingSnapshot { batch, entries }
    }

    /// Takes in that the store has taken a snapshot.
    pub fn set_written(&mut self, pending: PendingSnapshot) {
        self.written = pending.entries;
    }

    /// The servers and classes of a snapshot as they are stored.
    fn entries(&self, snapshot: &WarmStartSnapshot) -> Entries {
        let mut entries = Entries::new();
        let servers = snapshot.servers.iter().filter(|server| server.is_valid());
        for server in servers.take(MAX_SERVERS) {
            insert(&mut entries, &self.keys.servers, &server.name, server);
        }
        let classes = snapshot.classes.iter().filter(|class| class.is_valid());
        for class in classes.take(MAX_CLASSES) {
            insert(&mut entries, &self.keys.classes, &class.name, class);
        }
        entries
    }
}

fn insert(entries: &mut Entries, prefix: &[u8], name: &str, value: &impl Serialize) {
    if let Ok(value) = serde_json::to_vec(value) {
        entries.insert([prefix, name.as_bytes()].concat(), value);
    }
}
