//! One face for the store, redb and fjall.

use crate::Outcome;
use clap::ValueEnum;
use madderloom_store::{Batch, Durability, GroupCommit, Options, RealDisk, Store};
use redb::{ReadableDatabase, TableDefinition};
use std::path::Path;
use std::sync::{Arc, Condvar, Mutex};
use std::thread::JoinHandle;

#[derive(Clone, Copy, Debug, PartialEq, ValueEnum)]
pub enum Kind {
    Store,
    Redb,
    RedbGrouped,
    Fjall,
    FjallGrouped,
}

pub const KINDS: [Kind; 5] = [
    Kind::Store,
    Kind::Redb,
    Kind::RedbGrouped,
    Kind::Fjall,
    Kind::FjallGrouped,
];

impl Kind {
    pub fn name(self) -> &'static str {
        match self {
            Kind::Store => "the store",
            Kind::Redb => "redb",
            Kind::RedbGrouped => "redb, writers grouped",
            Kind::Fjall => "fjall",
            Kind::FjallGrouped => "fjall, writers grouped",
        }
    }

    pub fn code(self) -> &'static str {
        match self {
            Kind::Store => "store",
            Kind::Redb => "redb",
            Kind::RedbGrouped => "redb-grouped",
            Kind::Fjall => "fjall",
            Kind::FjallGrouped => "fjall-grouped",
        }
    }
}

pub type Put = ([u8; 16], [u8; 100]);

pub trait Rival: Send + Sync {
    /// Returns once it is durable.
    fn put(&self, key: &[u8], value: &[u8]) -> Outcome<()>;
    /// One batch; durable or not, whichever is quickest.
    fn put_all(&mut self, puts: &[Put]) -> Outcome<()>;
    fn get(&self, key: &[u8]) -> Outcome<Option<Vec<u8>>>;
    fn has(&self, key: &[u8]) -> Outcome<bool> {
        Ok(self.get(key)?.is_some())
    }
    /// Makes all durable, as at a planned end.
    fn settle(&mut self) -> Outcome<()>;
}

pub fn open(kind: Kind, path: &Path) -> Outcome<Box<dyn Rival>> {
    Ok(match kind {
        Kind::Store => {
            let store = Store::open(RealDisk::create(path)?, Options::default())?;
            Box::new(Ours(GroupCommit::start(store, 64 << 20, || 0)?))
        }
        Kind::Redb => Box::new(Redb::open(path)?),
        Kind::RedbGrouped => Box::new(Grouped::start(Redb::open(path)?)),
        Kind::Fjall => Box::new(Fjall::open(path)?),
        Kind::FjallGrouped => Box::new(Grouped::start(Fjall::open(path)?)),
    })
}

struct Ours(GroupCommit<RealDisk>);

impl Rival for Ours {
    fn put(&self, key: &[u8], value: &[u8]) -> Outcome<()> {
        let mut batch = Batch::new();
        batch.put(key, value);
        Ok(self.0.write(batch, Durability::Durable).map(|_| ())?)
    }

    fn put_all(&mut self, puts: &[Put]) -> Outcome<()> {
        let mut batch = Batch::new();
        for (key, value) in puts {
            batch.put(*key, *value);
        }
        Ok(self.0.write(batch, Durability::Relaxed).map(|_| ())?)
    }

    fn get(&self, key: &[u8]) -> Outcome<Option<Vec<u8>>> {
        Ok(self.0.reader().get(key, 0)?)
    }

    fn settle(&mut self) -> Outcome<()> {
        Ok(self
            .0
            .write(Batch::new(), Durability::Durable)
            .map(|_| ())?)
    }
}

const TABLE: TableDefinition<&[u8], &[u8]> = TableDefinition::new("all");

/// A store that takes many writes in one transaction.
pub trait Transactions: Send + Sync + 'static {
    fn put_group(&self, puts: &[(Vec<u8>, Vec<u8>)], durable: bool) -> Outcome<()>;
    fn read(&self, key: &[u8]) -> Outcome<Option<Vec<u8>>>;
    fn flush(&self) -> Outcome<()>;
}

struct Redb(redb::Database);

impl Redb {
    fn open(path: &Path) -> Outcome<Self> {
        std::fs::create_dir_all(path)?;
        let database = redb::Database::create(path.join("redb"))?;
        let begin = database.begin_write()?;
        begin.open_table(TABLE)?;
        begin.commit()?;
        Ok(Redb(database))
    }
}

impl Transactions for Redb {
    fn put_group(&self, puts: &[(Vec<u8>, Vec<u8>)], durable: bool) -> Outcome<()> {
        let mut transaction = self.0.begin_write()?;
        transaction.set_durability(if durable {
            redb::Durability::Immediate
        } else {
            redb::Durability::None
        })?;
        {
            let mut table = transaction.open_table(TABLE)?;
            for (key, value) in puts {
                table.insert(&key[..], &value[..])?;
            }
        }
        Ok(transaction.commit()?)
    }

    fn read(&self, key: &[u8]) -> Outcome<Option<Vec<u8>>> {
        let table = self.0.begin_read()?.open_table(TABLE)?;
        Ok(table.get(key)?.map(|v| v.value().to_vec()))
    }

    fn flush(&self) -> Outcome<()> {
        self.put_group(&[], true)
    }
}

struct Fjall(fjall::Database, fjall::Keyspace);

impl Fjall {
    fn open(path: &Path) -> Outcome<Self> {
        let database = fjall::Database::builder(path).open()?;
        let all = database.keyspace("all", fjall::KeyspaceCreateOptions::default)?;
        Ok(Fjall(database, all))
    }
}

impl Transactions for Fjall {
    fn put_group(&self, puts: &[(Vec<u8>, Vec<u8>)], durable: bool) -> Outcome<()> {
        let mut batch = self.0.batch();
        for (key, value) in puts {
            batch.insert(&self.1, &key[..], &value[..]);
        }
        batch.commit()?;
        if durable { self.flush() } else { Ok(()) }
    }

    fn read(&self, key: &[u8]) -> Outcome<Option<Vec<u8>>> {
        Ok(self.1.get(key)?.map(|v| v.to_vec()))
    }

    fn flush(&self) -> Outcome<()> {
        Ok(self.0.persist(fjall::PersistMode::SyncData)?)
    }
}

fn owned(puts: &[Put]) -> Vec<(Vec<u8>, Vec<u8>)> {
    puts.iter()
        .map(|(key, value)| (key.to_vec(), value.to_vec()))
        .collect()
}

impl<T: Transactions> Rival for T {
    fn put(&self, key: &[u8], value: &[u8]) -> Outcome<()> {
        self.put_group(&[(key.to_vec(), value.to_vec())], true)
    }

    fn put_all(&mut self, puts: &[Put]) -> Outcome<()> {
        self.put_group(&owned(puts), false)
    }

    fn get(&self, key: &[u8]) -> Outcome<Option<Vec<u8>>> {
        self.read(key)
    }

    fn settle(&mut self) -> Outcome<()> {
        self.flush()
    }
}

struct Waiting {
    put: (Vec<u8>, Vec<u8>),
    done: std::sync::mpsc::SyncSender<Result<(), String>>,
}

#[derive(Default)]
struct Queue {
    waiting: Vec<Waiting>,
    closed: bool,
}

/// What one would build over a store without group commit: a thread takes all that waits into one transaction.
struct Grouped<T: Transactions> {
    store: Arc<T>,
    shared: Arc<(Mutex<Queue>, Condvar)>,
    worker: Option<JoinHandle<()>>,
}

impl<T: Transactions> Grouped<T> {
    fn start(store: T) -> Self {
        let (store, shared) = (Arc::new(store), Arc::<(Mutex<Queue>, Condvar)>::default());
        let (own, queue) = (Arc::clone(&store), Arc::clone(&shared));
        let worker = std::thread::spawn(move || {
            loop {
                let waiting = {
                    let mut held = queue.0.lock().expect("not poisoned");
                    while held.waiting.is_empty() && !held.closed {
                        held = queue.1.wait(held).expect("not poisoned");
                    }
                    if held.waiting.is_empty() {
                        return;
                    }
                    std::mem::take(&mut held.waiting)
                };
                let (puts, tell): (Vec<_>, Vec<_>) =
                    waiting.into_iter().map(|w| (w.put, w.done)).unzip();
                let done = own.put_group(&puts, true).map_err(|e| e.to_string());
                tell.into_iter().for_each(|t| drop(t.send(done.clone())));
            }
        });
        Grouped {
            store,
            shared,
            worker: Some(worker),
        }
    }
}

impl<T: Transactions> Transactions for Grouped<T> {
    fn put_group(&self, puts: &[(Vec<u8>, Vec<u8>)], durable: bool) -> Outcome<()> {
        let [put] = puts else {
            return self.store.put_group(puts, durable);
        };
        let (done, told) = std::sync::mpsc::sync_channel(1);
        self.shared
            .0
            .lock()
            .expect("not poisoned")
            .waiting
            .push(Waiting {
                put: put.clone(),
                done,
            });
        self.shared.1.notify_one();
        Ok(told.recv()??)
    }

    fn read(&self, key: &[u8]) -> Outcome<Option<Vec<u8>>> {
        self.store.read(key)
    }

    fn flush(&self) -> Outcome<()> {
        self.store.flush()
    }
}

impl<T: Transactions> Drop for Grouped<T> {
    fn drop(&mut self) {
        self.shared.0.lock().expect("not poisoned").closed = true;
        self.shared.1.notify_one();
        if let Some(worker) = self.worker.take() {
            let _ = worker.join();
        }
    }
}
