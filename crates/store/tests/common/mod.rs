//! A run of writes whose every state is known, to compare with what a restart finds.
#![allow(dead_code, reason = "each file of tests uses a part")]

use madderloom_store::sim::SimDisk;
use madderloom_store::{Batch, Durability, Error, Options, Store};
use std::collections::BTreeMap;

pub type Map = BTreeMap<Vec<u8>, Vec<u8>>;

/// Segments of a few batches, so that a short run meets every kind of file.
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

/// All that a store holds, at a time before any expiry.
pub fn contents(store: &Store<SimDisk>) -> Map {
    let snapshot = store.snapshot();
    let all = snapshot.scan(b"", 0).map(|entry| entry.expect("it reads"));
    all.map(|(key, value)| (key.to_vec(), value)).collect()
}

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

/// What the store holds after so many batches of the script, for each count of them.
pub fn states(batches: usize) -> Vec<Map> {
    let mut all = vec![Map::new()];
    for i in 0..batches {
        let mut map = all[i].clone();
        apply(&mut map, i);
        all.push(map);
    }
    all
}

/// How far a run came.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ran {
    /// Batches that were handed over, that were acknowledged, and of these, that are durable by that.
    pub tried: usize,
    pub acknowledged: usize,
    pub durable: usize,
}

/// Runs the script until its end or the first error.
pub fn run(disk: &SimDisk, steps: &[Step]) -> Ran {
    let mut ran = Ran::default();
    let Ok(mut store) = open(disk) else {
        return ran;
    };
    for step in steps {
        let done = match step {
            Step::Write(batch, durability) => {
                ran.tried += 1;
                let written = store.write(batch, *durability).is_ok();
                if written {
                    ran.acknowledged = ran.tried;
                    if *durability == Durability::Durable {
                        ran.durable = ran.tried;
                    }
                }
                written
            }
            Step::Compact => store.compact(0).is_ok(),
            Step::Reopen => {
                drop(store);
                match open(disk) {
                    Ok(opened) => store = opened,
                    Err(_) => return ran,
                }
                true
            }
        };
        if !done {
            break;
        }
    }
    ran
}

/// After how many batches the store looked as it does now: at least so many, at most so many.
pub fn find(states: &[Map], found: &Map, least: usize, most: usize) -> Option<usize> {
    (least..=most).rev().find(|i| states[*i] == *found)
}
