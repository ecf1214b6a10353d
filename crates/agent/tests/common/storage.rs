//! Storage that can be made to fail.

use madderloom_agent::{Error, RecordChanges, Storage};
use madderloom_control_plane::Record;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// Storage in memory. Its clones share the records, so that an agent finds those of the one before it.
#[derive(Clone, Default)]
pub struct SharedStorage(Arc<Mutex<StorageState>>);

#[derive(Default)]
struct StorageState {
    records: BTreeMap<String, Record>,
    is_full: bool,
    commits: usize,
}

impl SharedStorage {
    /// Makes commits fail, or succeed again.
    pub fn set_full(&self, is_full: bool) {
        self.0.lock().expect("not poisoned").is_full = is_full;
    }

    /// The number of commits that have succeeded.
    pub fn commits(&self) -> usize {
        self.0.lock().expect("not poisoned").commits
    }
}

impl Storage for SharedStorage {
    fn load(&mut self) -> Result<Vec<(String, Record)>, Error> {
        let state = self.0.lock().expect("not poisoned");
        Ok(state.records.clone().into_iter().collect())
    }

    fn commit(&mut self, changes: RecordChanges) -> Result<(), Error> {
        let mut state = self.0.lock().expect("not poisoned");
        if state.is_full {
            return Err(Error::Storage("no space left on device".into()));
        }
        state.commits += 1;
        for (key, record) in changes {
            // A real store holds bytes: what does not survive that must fail here as well.
            let record = record.map(|record| serde_json::to_vec(&record).expect("JSON"));
            match record.map(|bytes| serde_json::from_slice(&bytes).expect("the same")) {
                Some(record) => state.records.insert(key, record),
                None => state.records.remove(&key),
            };
        }
        Ok(())
    }
}
