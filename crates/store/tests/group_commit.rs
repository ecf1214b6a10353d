//! Many writers wait for one flush; each is told once its own write is durable, and none before.

mod common;

use common::*;
use madderloom_store::sim::{Loss, SimDisk, SimFile, SimLock};
use madderloom_store::{
    Batch, Disk, Durability, Error, File, GroupCommit, LockMode, Options, RealDisk, Store,
};
use std::io::{self, ErrorKind};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Barrier, mpsc};
use std::time::{Duration, Instant};

fn start(disk: &SimDisk) -> GroupCommit<SimDisk> {
    GroupCommit::start(open(disk).expect("it opens"), 1 << 20, || 0).expect("it starts")
}

fn eventually(mut come: impl FnMut() -> bool) {
    let began = Instant::now();
    while !come() {
        assert!(began.elapsed() < Duration::from_secs(30), "it never came");
        std::thread::sleep(Duration::from_millis(1));
    }
}

#[test]
fn writers_on_many_threads_share_flushes_and_lose_nothing_they_were_told() {
    let disk = SimDisk::new();
    let group = start(&disk);
    let (writers, rounds) = (16, 50);
    let ready = Barrier::new(writers);
    std::thread::scope(|scope| {
        for writer in 0..writers {
            let (group, ready) = (&group, &ready);
            scope.spawn(move || {
                ready.wait();
                for round in 0..rounds {
                    let key = format!("{writer}/{round}");
                    group
                        .write(
                            Batch::new().put(key.clone(), "1").clone(),
                            Durability::Durable,
                        )
                        .expect("written");
                    assert_eq!(
                        group.reader().get(key.as_bytes(), 0),
                        Ok(Some(b"1".to_vec()))
                    );
                }
            });
        }
    });
    let status = group.status();
    assert_eq!(status.batches, (writers * rounds) as u64);
    assert!(status.groups < status.batches, "{} groups", status.groups);
    // The process ends with nothing more flushed: all that was acknowledged is there.
    let left = disk.lose_power(Loss::All);
    assert_eq!(
        contents(&open(&left).expect("it opens")).len(),
        writers * rounds
    );
}

#[test]
fn one_thread_that_does_not_wait_is_told_in_the_order_it_asked() {
    let disk = SimDisk::new();
    let group = start(&disk);
    let (sender, told) = mpsc::channel();
    for i in 0..301_u32 {
        let sender = sender.clone();
        // Relaxed and durable writes of one key: the last holds.
        let durability = if i % 3 == 0 {
            Durability::Relaxed
        } else {
            Durability::Durable
        };
        let mut batch = Batch::new();
        batch.put("key", i.to_string());
        group
            .submit(batch, durability, move |done| {
                sender.send((i, done)).expect("heard")
            })
            .expect("room");
    }
    drop(sender);
    let told: Vec<(u32, u64)> = told
        .iter()
        .map(|(i, done)| (i, done.expect("it is written")))
        .collect();
    assert!(told.iter().map(|(i, _)| *i).eq(0..301));
    assert!(told.is_sorted_by_key(|(_, count)| *count));
    assert_eq!(group.reader().get(b"key", 0), Ok(Some(b"300".to_vec())));
    drop(group);
    let left = disk.lose_power(Loss::All);
    assert_eq!(
        open(&left).expect("it opens").get(b"key", 0),
        Ok(Some(b"300".to_vec())),
        "a planned end flushes"
    );
}

/// A full disk, and a flush that fails: those who wait are told, and the next are served once it is well again.
#[test]
fn refusals_reach_the_writers_and_end_with_their_cause() {
    let disk = SimDisk::new();
    let group = start(&disk);
    let write = |key: &str| {
        group.write(
            Batch::new().put(key, vec![0; 500]).clone(),
            Durability::Durable,
        )
    };
    write("a").expect("it is written");
    disk.set_capacity(Some(disk.used_bytes() + 100));
    assert!(matches!(write("b"), Err(Error::DiskFull { .. })));
    assert!(matches!(
        group.status().last_write_error,
        Some(Error::DiskFull { .. })
    ));
    disk.set_capacity(None);
    write("b").expect("there is room again");
    assert_eq!(group.status().last_write_error, None);
    disk.fail_in(1, ErrorKind::Other);
    assert!(matches!(write("c"), Err(Error::Io { .. })));
    assert!(!group.reader().contains(b"c", 0));
    disk.clear_failures();
    write("c").expect("the log goes on elsewhere");
    disk.kill();
    assert!(matches!(write("d"), Err(Error::Io { .. })));
}

#[test]
fn no_more_than_may_wait_is_taken() {
    let group = GroupCommit::start(open(&SimDisk::new()).expect("it opens"), 1_000, || 0)
        .expect("it starts");
    let (hold, held) = mpsc::channel::<()>();
    let (begun, begins) = mpsc::channel();
    // The store's thread is held up in telling, so that the rest waits.
    let first = Batch::new().put("first", "1").clone();
    let wait = move |_| {
        begun.send(()).expect("heard");
        let _ = held.recv();
    };
    group
        .submit(first, Durability::Durable, wait)
        .expect("there is room");
    begins.recv().expect("it begins");
    let large = Batch::new().put("large", vec![0; 5_000]).clone();
    group
        .submit(large.clone(), Durability::Durable, |_| {})
        .expect("alone, any batch is taken");
    assert_eq!(
        group.submit(large, Durability::Durable, |_| {}).err(),
        Some(Error::Busy)
    );
    drop(hold);
    eventually(|| group.reader().contains(b"large", 0));
}

/// On a real disk, with compactions beside the writes: the log stays bounded, and every value reads as written.
#[test]
fn compaction_runs_beside_the_writes_and_bounds_the_log() {
    let directory = tempfile::tempdir().expect("a directory");
    let disk = RealDisk::open(directory.path()).expect("it is there");
    let options = Options {
        segment_bytes: 16 << 10,
        compaction_slack_bytes: 16 << 10,
        max_preallocated_bytes: 4 << 10,
        ..Options::default()
    };
    let clock = Arc::new(AtomicU64::new(0));
    let own = Arc::clone(&clock);
    let store = Store::open(disk.clone(), options).expect("it opens");
    let group =
        GroupCommit::start(store, 1 << 20, move || own.load(Ordering::Relaxed)).expect("it starts");
    let value = |i: u32| i.to_string().repeat(20);
    let (mut written, mut worst) = (0_u32, 0);
    while group.status().compactions < 5 {
        let mut batch = Batch::new();
        batch.put(format!("k{}", written % 100), value(written));
        batch.put_until(format!("e{written}"), value(written), u64::from(written));
        clock.store(u64::from(written) << 23, Ordering::Relaxed);
        group
            .write(batch, Durability::Relaxed)
            .expect("it is written");
        written += 1;
        worst = worst.max(
            group
                .status()
                .statistics
                .map_or(0, |s| s.log_bytes.saturating_sub(3 * s.live_bytes)),
        );
        assert!(written < 1_000_000, "it is never compacted");
    }
    // However slow the compaction's thread is, by no more than a write beyond what is allowed.
    assert!(
        worst <= 2 * options.compaction_slack_bytes + 1_000,
        "{worst}"
    );
    assert_eq!(group.status().last_compaction_error, None);
    drop(group);
    let mut store = Store::open(disk, options).expect("it opens");
    let latest = |k: u32| {
        (0..written)
            .rev()
            .find(|i| i % 100 == k)
            .expect("each was written")
    };
    for k in 0..100 {
        let found = store.get(format!("k{k}").as_bytes(), 0).expect("it reads");
        assert_eq!(found, Some(value(latest(k)).into_bytes()));
    }
    store.compact(u64::from(written)).expect("it compacts");
    assert_eq!(store.statistics(0).keys, 100);
}

/// A disk on which a compaction's writes take their time.
#[derive(Clone)]
struct Slow(SimDisk);

struct SlowFile(SimFile);

impl Disk for Slow {
    type File = SlowFile;
    type Lock = SimLock;

    fn list(&self) -> io::Result<Vec<String>> {
        self.0.list()
    }

    fn open(&self, name: &str) -> io::Result<SlowFile> {
        self.0.open(name).map(SlowFile)
    }

    fn create(&self, name: &str) -> io::Result<SlowFile> {
        self.0.create(name).map(SlowFile)
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.0.rename(from, to)
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.0.remove(name)
    }

    fn sync(&self) -> io::Result<()> {
        self.0.sync()
    }

    fn lock(&self, mode: LockMode) -> io::Result<Option<SimLock>> {
        self.0.lock(mode)
    }
}

impl File for SlowFile {
    fn size(&self) -> io::Result<u64> {
        self.0.size()
    }

    fn read_at(&self, buffer: &mut [u8], offset: u64) -> io::Result<usize> {
        self.0.read_at(buffer, offset)
    }

    fn write_at(&self, bytes: &[u8], offset: u64) -> io::Result<()> {
        if std::thread::current().name() == Some("store-compaction") {
            std::thread::sleep(Duration::from_millis(20));
        }
        self.0.write_at(bytes, offset)
    }

    fn truncate(&self, length: u64) -> io::Result<()> {
        self.0.truncate(length)
    }

    fn sync(&self) -> io::Result<()> {
        self.0.sync()
    }
}

#[test]
fn writes_that_outrun_a_compaction_wait_for_it() {
    let options = Options {
        segment_bytes: 8 << 10,
        compaction_slack_bytes: 8 << 10,
        max_preallocated_bytes: 1 << 10,
        ..Options::default()
    };
    let store = Store::open(Slow(SimDisk::new()), options).expect("it opens");
    let group = GroupCommit::start(store, 1 << 20, || 0).expect("it starts");
    let (mut worst, mut written) = (0, 0_u64);
    while group.status().compactions < 4 {
        let mut batch = Batch::new();
        batch.put(format!("k{}", written % 20), vec![7; 200]);
        group
            .write(batch, Durability::Relaxed)
            .expect("it is written");
        written += 1;
        let stat = group.status().statistics.expect("there was a write");
        worst = worst.max(stat.log_bytes.saturating_sub(3 * stat.live_bytes));
    }
    assert!(
        (options.compaction_slack_bytes..2 * options.compaction_slack_bytes + 1_000)
            .contains(&worst),
        "{worst}"
    );
}

#[test]
fn relaxed_writes_are_durable_with_a_planned_end_and_not_before() {
    for planned in [false, true] {
        let disk = SimDisk::new();
        let store = Store::open(disk.clone(), Options::default()).expect("it opens");
        let group = GroupCommit::start(store, 1 << 20, || 0).expect("it starts");
        group
            .write(Batch::new().put("first", "1").clone(), Durability::Durable)
            .expect("it is written");
        group
            .write(
                Batch::new().put("relaxed", "1").clone(),
                Durability::Relaxed,
            )
            .expect("it is written");
        if planned {
            drop(group);
        }
        let left = disk.lose_power(Loss::All);
        let found = open(&left)
            .expect("it opens")
            .get(b"relaxed", 0)
            .expect("it reads");
        assert_eq!(found.is_some(), planned);
    }
}
