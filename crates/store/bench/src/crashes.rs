//! redb on the disk in memory: its backend is a trait, so it can go through the store's own crash test. fjall opens
//! files itself and can't.

use crate::{Outcome, key};
use madderloom_store::sim::{Loss, SimDisk, SimFile};
use madderloom_store::{Disk, File};
use redb::{
    BackendError, Database, ReadableDatabase, ReadableTableMetadata, StorageBackend,
    TableDefinition,
};
use std::io;

const TABLE: TableDefinition<&[u8], &[u8]> = TableDefinition::new("all");

struct Backend(SimFile);

impl std::fmt::Debug for Backend {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Backend")
    }
}

impl Backend {
    fn new(disk: &SimDisk) -> io::Result<Self> {
        let file = match disk.open("redb") {
            Err(error) if error.kind() == io::ErrorKind::NotFound => {
                let file = disk.create("redb")?;
                disk.sync()?;
                file
            }
            file => file?,
        };
        Ok(Backend(file))
    }
}

impl StorageBackend for Backend {
    fn len(&self) -> io::Result<u64> {
        self.0.size()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let read = self.0.read_at(out, offset)?;
        if read == out.len() {
            Ok(())
        } else {
            Err(io::ErrorKind::UnexpectedEof.into())
        }
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        if length > self.0.size()? {
            self.0.write_at(&[0], length - 1)?;
        } else {
            self.0.truncate(length)?;
        }
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        self.0.sync()
    }

    fn write(&self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.0.write_at(bytes, offset)
    }

    fn try_lock_range(
        &self,
        _: std::ops::Bound<u64>,
        _: std::ops::Bound<u64>,
    ) -> Result<bool, BackendError> {
        Ok(true)
    }
}

const BATCHES: u64 = 40;

/// Writes batches of three keys until the end or the first error; says how many were acknowledged.
fn write(disk: &SimDisk) -> u64 {
    let all = || -> Outcome<Database> {
        Ok(Database::builder().create_with_backend(Backend::new(disk)?)?)
    };
    let Ok(database) = all() else { return 0 };
    for i in 0..BATCHES {
        let one = || -> Outcome<()> {
            let transaction = database.begin_write()?;
            {
                let mut table = transaction.open_table(TABLE)?;
                for part in 0..3 {
                    table.insert(&key(i * 3 + part)[..], &[7; 100][..])?;
                }
            }
            Ok(transaction.commit()?)
        };
        if one().is_err() {
            return i;
        }
    }
    BATCHES
}

/// How many keys a restart finds.
fn read(disk: &SimDisk) -> Outcome<u64> {
    let database = Database::builder().create_with_backend(Backend::new(disk)?)?;
    match database.begin_read()?.open_table(TABLE) {
        Ok(table) => Ok(table.len()?),
        Err(redb::TableError::TableDoesNotExist(_)) => Ok(0),
        Err(error) => Err(error.into()),
    }
}

pub fn run() -> Outcome<()> {
    let whole = SimDisk::new();
    assert_eq!(write(&whole), BATCHES);
    let operations = whole.operations();
    let (mut sound, mut bad) = (0, Vec::new());
    std::panic::set_hook(Box::new(|_| {}));
    for at in 1..=operations {
        for loss in [
            Loss::All,
            Loss::Nothing,
            Loss::Random(at),
            Loss::Random(at << 20),
        ] {
            let disk = SimDisk::new();
            disk.crash_in(at);
            let acknowledged = std::panic::catch_unwind(|| write(&disk)).unwrap_or(u64::MAX);
            let disk = disk.lose_power(loss);
            let found = std::panic::catch_unwind(|| read(&disk).map_err(|e| e.to_string()));
            match found {
                Ok(Ok(keys))
                    if acknowledged <= BATCHES && keys % 3 == 0 && keys / 3 >= acknowledged =>
                {
                    sound += 1
                }
                Ok(other) => bad.push(format!(
                    "operation {at}, {loss:?}: {acknowledged} acknowledged, found {other:?}"
                )),
                Err(_) => bad.push(format!(
                    "operation {at}, {loss:?}: {acknowledged} acknowledged, panicked"
                )),
            }
        }
    }
    println!(
        "redb through a crash at each of {operations} operations, four losses each: {sound} sound, {} not",
        bad.len()
    );
    for told in bad.iter().take(12) {
        println!("  {told}");
    }
    full()
}

/// Writes until the disk is full, makes room, and writes again.
fn full() -> Outcome<()> {
    let disk = SimDisk::new();
    let database = Database::builder().create_with_backend(Backend::new(&disk)?)?;
    disk.set_capacity(Some(disk.used_bytes() + (1 << 20)));
    let write = |i: u64| -> Outcome<()> {
        let transaction = database.begin_write()?;
        transaction
            .open_table(TABLE)?
            .insert(&key(i)[..], &[7; 5_000][..])?;
        Ok(transaction.commit()?)
    };
    let (count, refused) = (0..)
        .find_map(|i| write(i).err().map(|e| (i, e.to_string())))
        .expect("it is full once");
    disk.set_capacity(None);
    println!("redb on a full disk, after {count} writes: {refused}");
    println!(
        "  with room again: {}",
        write(count).map_or_else(|e| e.to_string(), |()| "written".into())
    );
    Ok(())
}
