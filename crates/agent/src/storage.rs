//! Where the agent keeps what must last.

use crate::Error;
use madderloom_control_plane::Record;
use madderloom_store::{Batch, Durability, Options, RealDisk, Store};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// Records to keep, or delete, by their keys.
pub type RecordChanges = BTreeMap<String, Option<Record>>;

/// Keeps records. Calls may block; the agent makes them on a thread for that.
pub trait Storage: Send {
    /// All records, as they last. Called at the start and again after a write has failed: whatever is in doubt
    /// then must have been settled one way or the other.
    ///
    /// # Errors
    /// Why they can't be read.
    fn load(&mut self) -> Result<Vec<(String, Record)>, Error>;

    /// Makes all of these last, or none; on `Ok` they outlive a loss of power.
    ///
    /// # Errors
    /// Why they may not have; which of the two happened shows at the next [`Storage::load`].
    fn commit(&mut self, saves: RecordChanges) -> Result<(), Error>;
}

/// Keeps records for as long as the process lives.
#[derive(Debug, Default)]
pub struct MemoryStorage(BTreeMap<String, Record>);

impl Storage for MemoryStorage {
    fn load(&mut self) -> Result<Vec<(String, Record)>, Error> {
        Ok(self
            .0
            .iter()
            .map(|(key, record)| (key.clone(), record.clone()))
            .collect())
    }

    fn commit(&mut self, saves: RecordChanges) -> Result<(), Error> {
        for (key, record) in saves {
            match record {
                Some(record) => self.0.insert(key, record),
                None => self.0.remove(&key),
            };
        }
        Ok(())
    }
}

/// Keeps records in an embedded store: what was committed outlives a loss of power. One process at a time.
pub struct DurableStorage {
    directory: PathBuf,
    store: Option<Store<RealDisk>>,
}

impl DurableStorage {
    /// In a directory, which is made where it is not there.
    pub fn new(directory: &Path) -> Self {
        DurableStorage {
            directory: directory.to_path_buf(),
            store: None,
        }
    }

    fn store_error(&self, source: madderloom_store::Error) -> Error {
        Error::Store {
            directory: self.directory.clone(),
            source,
        }
    }

    fn record_error(&self, key: &str, source: serde_json::Error) -> Error {
        Error::Record {
            directory: self.directory.clone(),
            key: key.to_string(),
            source,
        }
    }
}

impl Storage for DurableStorage {
    fn load(&mut self) -> Result<Vec<(String, Record)>, Error> {
        // The lock of the former one must go first. What a failed write left in doubt is settled by reading the log.
        self.store = None;
        let disk = RealDisk::create(&self.directory).map_err(|source| Error::OpenDirectory {
            directory: self.directory.clone(),
            source,
        })?;
        let store =
            Store::open(disk, Options::default()).map_err(|error| self.store_error(error))?;
        let mut records = Vec::new();
        for found in store.snapshot().scan(b"", 0) {
            let (key, value) = found.map_err(|error| self.store_error(error))?;
            let key = String::from_utf8_lossy(key).into_owned();
            let record =
                serde_json::from_slice(&value).map_err(|error| self.record_error(&key, error))?;
            records.push((key, record));
        }
        self.store = Some(store);
        Ok(records)
    }

    fn commit(&mut self, saves: RecordChanges) -> Result<(), Error> {
        let mut batch = Batch::new();
        for (key, record) in saves {
            match record {
                Some(record) => {
                    let value = serde_json::to_vec(&record)
                        .map_err(|error| self.record_error(&key, error))?;
                    batch.put(key, value);
                }
                None => drop(batch.delete(key)),
            }
        }
        let Some(store) = &mut self.store else {
            return Err(Error::StoreNotOpen {
                directory: self.directory.clone(),
            });
        };
        let mut done = store.write(&batch, Durability::Durable).map(|_| ());
        if done.is_ok() && store.is_compaction_due(0) {
            done = store.compact(0);
        }
        done.map_err(|error| self.store_error(error))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_was_committed_is_there_when_it_is_opened_again() {
        let directory = tempfile::TempDir::new().expect("a directory");
        let place = directory.path().join("state");
        let mut first = DurableStorage::new(&place);
        assert_eq!(first.load().expect("opened"), []);
        let saves = |term: u64| RecordChanges::from([("term".to_string(), Some(Record::Term(term)))]);
        first.commit(saves(1)).expect("written");
        assert!(
            DurableStorage::new(&place).load().is_err(),
            "one process at a time"
        );
        first.commit(saves(2)).expect("written");
        assert_eq!(
            first.load().expect("opened again"),
            [("term".to_string(), Record::Term(2))]
        );
        first
            .commit(RecordChanges::from([("term".to_string(), None)]))
            .expect("written");
        assert_eq!(first.load().expect("opened again"), []);
    }
}
