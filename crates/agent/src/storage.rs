//! Where the agent keeps the records that must survive the process.

use crate::Error;
use madderloom_control_plane::Record;
use madderloom_store::{Batch, Durability, Options, RealDisk, Store};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// Records to write, by their keys. None: the record is deleted.
pub type RecordChanges = BTreeMap<String, Option<Record>>;

/// Keeps records. Calls may block; the agent makes them on a thread for blocking work, one at a time.
pub trait Storage: Send {
    /// All durable records. Called at the start, and again after a commit has failed: whether the changes of that commit are
    /// durable must then be settled.
    ///
    /// # Errors
    /// The records cannot be read.
    fn load(&mut self) -> Result<Vec<(String, Record)>, Error>;

    /// Makes all of these changes durable, or none. On `Ok` they survive a loss of power.
    ///
    /// # Errors
    /// It is unknown whether the changes are durable; the next [`Storage::load`] shows it.
    fn commit(&mut self, changes: RecordChanges) -> Result<(), Error>;
}

/// Keeps records in memory: they are lost with the process.
#[derive(Debug, Default)]
pub struct MemoryStorage(BTreeMap<String, Record>);

impl Storage for MemoryStorage {
    fn load(&mut self) -> Result<Vec<(String, Record)>, Error> {
        let records = self.0.iter();
        Ok(records
            .map(|(key, record)| (key.clone(), record.clone()))
            .collect())
    }

    fn commit(&mut self, changes: RecordChanges) -> Result<(), Error> {
        for (key, record) in changes {
            match record {
                Some(record) => self.0.insert(key, record),
                None => self.0.remove(&key),
            };
        }
        Ok(())
    }
}

/// Keeps records in an embedded store: what was committed survives a loss of power. One process at a time can load it.
pub struct DurableStorage {
    directory: PathBuf,
    /// Absent before the first load, and after a load that has failed.
    store: Option<Store<RealDisk>>,
}

impl DurableStorage {
    /// Keeps records in a directory, which the first load creates where it does not exist.
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

    fn open(&self) -> Result<Store<RealDisk>, Error> {
        let disk = RealDisk::create(&self.directory).map_err(|source| Error::OpenDirectory {
            directory: self.directory.clone(),
            source,
        })?;
        Store::open(disk, Options::default()).map_err(|error| self.store_error(error))
    }

    fn batch(&self, changes: RecordChanges) -> Result<Batch, Error> {
        let mut batch = Batch::new();
        for (key, record) in changes {
            let Some(record) = record else {
                batch.delete(key);
                continue;
            };
            let value =
                serde_json::to_vec(&record).map_err(|error| self.record_error(&key, error))?;
            batch.put(key, value);
        }
        Ok(batch)
    }
}

impl Storage for DurableStorage {
    fn load(&mut self) -> Result<Vec<(String, Record)>, Error> {
        // The store that was open before holds the lock of the directory. Opening reads the log, which settles whether a commit
        // that has failed is durable.
        self.store = None;
        let store = self.open()?;
        let mut records = Vec::new();
        for entry in store.snapshot().scan(b"", 0) {
            let (key, value) = entry.map_err(|error| self.store_error(error))?;
            let key = String::from_utf8_lossy(key).into_owned();
            let record =
                serde_json::from_slice(&value).map_err(|error| self.record_error(&key, error))?;
            records.push((key, record));
        }
        self.store = Some(store);
        Ok(records)
    }

    fn commit(&mut self, changes: RecordChanges) -> Result<(), Error> {
        let batch = self.batch(changes)?;
        let Some(store) = &mut self.store else {
            return Err(Error::StoreNotOpen {
                directory: self.directory.clone(),
            });
        };
        let mut committed = store.write(&batch, Durability::Durable).map(|_| ());
        if committed.is_ok() && store.is_compaction_due(0) {
            committed = store.compact(0);
        }
        committed.map_err(|error| self.store_error(error))
    }
}
