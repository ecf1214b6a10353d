//! A script of writes whose state after each batch is known, to compare with what a restart finds.
#![allow(dead_code, reason = "each file of tests uses a part")]

use madderloom_store::sim::SimDisk;
use madderloom_store::{Batch, Durability, Error, Options, Store};
use std::collections::BTreeMap;

pub type Map = BTreeMap<Vec<u8>, Vec<u8>>;

/// Segments of a few batches each, so that a short script writes every kind of file.
pub const SMALL: Options = Options {
    create: true,
    read_only: false,
    segment_bytes: 1024,
    compaction_slack_bytes: 512,
    max_pending_bytes: 1 << 20,
    max_preallocated_bytes: 100,
};

pub fn open(disk: &SimDisk) -> Result<Store<SimDisk>, Error> {
    Store::open(disk.clone(), SMALL)
}

/// Everything that a store holds, at a time before any expiry.
pub fn contents(store: &Store<SimDisk>) -> Map {
    let snapshot = store.snapshot();
    let all = snapshot.scan(b"", 0).map(|entry| entry.expect("it reads"));
    all.map(|(key, value)| (key.to_vec(), value)).collect()
}

/// A step of the script.
pub enum Step {
    Write(Batch, Durability),
    Compact,
    Reopen,
}

/// Batches that overwrite and delete each other's keys; each has several keys, so that half of one would show.
/// Every fifth is relaxed; compactions and reopenings stand between.
pub fn script(batches: usize) -> Vec<Step> {
    let mut steps = Vec::new();
    for i in 0..batches {
        let mut batch = Batch::new();
        let value = format!("{i:04}-{}", "v".repeat(17 * (i % 5)));
        batch
            .put(format!("a{}", i % 7), value.clone())
            .put(format!("b{}", i % 5), value.clone());
        batch.put("last", value);
        if i % 3 == 2 {
            batch.delete(format!("a{}", (i + 3) % 7));
        }
        steps.push(Step::Write(
            batch,
            if i % 5 == 4 {
                Durability::Relaxed
            } else {
                Durability::Durable
            },
        ));
        if i % 11 == 10 {
            steps.push(Step::Compact);
        }
        if i % 13 == 12 {
            steps.push(Step::Reopen);
        }
    }
    steps
}

fn apply(map: &mut Map, i: usize) {
    let value = format!("{i:04}-{}", "v".repeat(17 * (i % 5))).into_bytes();
    map.insert(format!("a{}", i % 7).into_bytes(), value.clone());
    map.insert(format!("b{}", i % 5).into_bytes(), value.clone());
    map.insert(b"last".to_vec(), value);
    if i % 3 == 2 {
        map.remove(format!("a{}", (i + 3) % 7).as_bytes());
    }
}

/// What the store holds after each count of batches of the script.
pub fn states(batches: usize) -> Vec<Map> {
    let mut all = vec![Map::new()];
    for i in 0..batches {
        let mut map = all[i].clone();
        apply(&mut map, i);
        all.push(map);
    }
    all
}

/// How far a run of the script came. All are counts of batches.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Handed over to the store.
    pub attempted: usize,
    /// Acknowledged, with all before them.
    pub acknowledged: usize,
    /// Durable by an acknowledgement, with all before them.
    pub durable: usize,
}

/// Runs the script until its end or the first error.
pub fn run_script(disk: &SimDisk, steps: &[Step]) -> Progress {
    let mut progress = Progress::default();
    let Ok(mut store) = open(disk) else {
        return progress;
    };
    for step in steps {
        let done = match step {
            Step::Write(batch, durability) => {
                progress.attempted += 1;
                let written = store.write(batch, *durability).is_ok();
                if written {
                    progress.acknowledged = progress.attempted;
                    if *durability == Durability::Durable {
                        progress.durable = progress.attempted;
                    }
                }
                written
            }
            Step::Compact => store.compact(0).is_ok(),
            Step::Reopen => {
                drop(store);
                match open(disk) {
                    Ok(opened) => store = opened,
                    Err(_) => return progress,
                }
                true
            }
        };
        if !done {
            break;
        }
    }
    progress
}

/// The count of batches, within these bounds, after which the store held what it holds now.
pub fn find_state(states: &[Map], found: &Map, min: usize, max: usize) -> Option<usize> {
    (min..=max).rev().find(|i| states[*i] == *found)
}
