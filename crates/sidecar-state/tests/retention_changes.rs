//! The retention in force applies to each record by its own age, whatever it was when the record was written: no request runs again
//! within the shortest retention that was in force since, whichever series of changes, compactions and restarts came between.

use madderloom_sidecar_state::{
    Admission, IdempotencyKey, IdempotencyLimits, IdempotencyMode, IdempotencyTracker, WriteVerdict,
};
use madderloom_store::sim::SimDisk;
use madderloom_store::{Batch, Durability, Options, Store};
use proptest::prelude::{Just, ProptestConfig, Strategy, prop, prop_assert, prop_oneof, proptest};
use std::collections::BTreeMap;

const SECOND: u64 = 1_000_000;
const MINUTE: u64 = 60 * SECOND;
const HOUR: u64 = 60 * MINUTE;

fn limits(retention: u64) -> IdempotencyLimits {
    IdempotencyLimits {
        retention,
        max_records: 1_000,
    }
}

fn key(number: u8) -> IdempotencyKey {
    IdempotencyKey::new("pay", &[number]).expect("it is short")
}

/// A process with its store.
struct Process {
    disk: SimDisk,
    store: Store<SimDisk>,
    tracker: IdempotencyTracker,
    now: u64,
}

impl Process {
    fn start(disk: SimDisk, retention: u64) -> Self {
        let options = Options {
            segment_bytes: 1024,
            compaction_slack_bytes: 512,
            max_preallocated_bytes: 64,
            ..Options::default()
        };
        let mut store = Store::open(disk.clone(), options).expect("it opens");
        let snapshot = store.snapshot();
        let tracker = IdempotencyTracker::open(limits(retention), &snapshot, 0);
        for batch in tracker.upgrade_records(&snapshot, 0) {
            store
                .write(&batch, Durability::Durable)
                .expect("it is written");
        }
        Process {
            disk,
            store,
            tracker,
            now: 0,
        }
    }

    fn restart(self, retention: u64) -> Self {
        let disk = self.disk.clone();
        drop(self.store);
        Process::start(disk, retention)
    }

    /// Whether a request is sent, which ends without an answer then.
    fn sends(&mut self, number: u8) -> bool {
        let (key, mode) = (key(number), IdempotencyMode::Durable);
        let admission = self
            .tracker
            .admit(&self.store.reader(), &key, mode, self.now);
        let Admission::Record { batch, durability } = admission else {
            assert_eq!(admission, Admission::Fail);
            return false;
        };
        let written = self.store.write(&batch, durability);
        assert_eq!(
            self.tracker.record_written(&key, &written),
            WriteVerdict::Send
        );
        self.tracker.abandon(&key);
        true
    }

    fn set_retention(&mut self, retention: u64) {
        self.tracker.set_limits(limits(retention), self.now);
    }
}

/// A retention that was raised and lowered again let each submission run twice: the clock was moved ahead by the difference.
#[test]
fn a_retention_that_is_raised_and_lowered_again_forgets_no_record() {
    let mut process = Process::start(SimDisk::new(), MINUTE);
    assert!(process.sends(0));
    for retention in [HOUR, MINUTE] {
        process.now += 2 * SECOND;
        process.set_retention(retention);
        assert!(!process.sends(0));
    }
    process.now += MINUTE;
    assert!(process.sends(0), "its retention is over");
}

/// The same over restarts: one record was written under the longer retention.
#[test]
fn a_record_of_a_longer_retention_does_not_shorten_that_of_others_over_restarts() {
    let mut process = Process::start(SimDisk::new(), MINUTE);
    assert!(process.sends(0));
    let mut process = process.restart(HOUR);
    process.now += 2 * SECOND;
    assert!(process.sends(1));
    let mut process = process.restart(MINUTE);
    assert!(!process.sends(0) && !process.sends(1));
}

/// The store of an earlier version, whose records do not tell when they were written.
#[test]
fn records_of_an_earlier_format_last_for_a_whole_retention_more() {
    const RECORDS: u8 = 250;
    let mut process = Process::start(SimDisk::new(), MINUTE);
    let mut batch = Batch::new();
    for number in 0..RECORDS {
        let stored = [b"sub/\x03pay".as_slice(), &[number]].concat();
        let expires_at = if number == 0 { HOUR } else { MINUTE };
        batch.put_until(stored, b"r", expires_at);
    }
    let written = process.store.write(&batch, Durability::Durable);
    written.expect("it is written");
    let mut process = process.restart(MINUTE);
    process.now = MINUTE - SECOND;
    assert!((0..RECORDS).all(|number| !process.sends(number)));
    process.now += SECOND;
    assert!(process.sends(0) && process.sends(RECORDS - 1));
}

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Request(u8),
    SetRetention(u64),
    Restart(u64),
    Compact,
}

fn retentions() -> impl Strategy<Value = u64> {
    prop_oneof![
        Just(SECOND),
        Just(MINUTE),
        Just(HOUR),
        SECOND..24 * HOUR,
        SECOND..MINUTE
    ]
}

fn steps() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (0..30 * SECOND).prop_map(Step::Wait),
        1 => (0..2 * HOUR).prop_map(Step::Wait),
        6 => (0..6_u8).prop_map(Step::Request),
        2 => retentions().prop_map(Step::SetRetention),
        1 => retentions().prop_map(Step::Restart),
        1 => Just(Step::Compact),
    ]
}

/// What is known of a record.
struct Record {
    age: u64,
    shortest_retention: u64,
    longest_retention: u64,
    /// A restart counts the age from the latest record on.
    restarted: bool,
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]
    #[test]
    fn no_request_runs_again_within_the_shortest_retention_since_it_was_sent(
        first in retentions(),
        steps in prop::collection::vec(steps(), 1..60),
    ) {
        let mut process = Process::start(SimDisk::new(), first);
        let mut retention = first;
        let mut records = BTreeMap::<u8, Record>::new();
        for step in steps {
            match step {
                Step::Wait(time) => {
                    process.now += time;
                    for record in records.values_mut() {
                        record.age += time;
                    }
                }
                Step::Request(number) => {
                    let is_sent = process.sends(number);
                    if let Some(record) = records.get(&number) {
                        prop_assert!(!is_sent || record.age >= record.shortest_retention);
                        prop_assert!(is_sent || record.restarted || record.age < record.longest_retention);
                    } else {
                        prop_assert!(is_sent);
                    }
                    if is_sent {
                        let record = Record {
                            age: 0,
                            shortest_retention: retention,
                            longest_retention: retention,
                            restarted: false,
                        };
                        records.insert(number, record);
                    }
                }
                Step::SetRetention(new) | Step::Restart(new) => {
                    retention = new;
                    let restarts = matches!(step, Step::Restart(_));
                    for record in records.values_mut() {
                        record.shortest_retention = record.shortest_retention.min(new);
                        record.longest_retention = record.longest_retention.max(new);
                        record.restarted |= restarts;
                    }
                    if restarts {
                        process = process.restart(new);
                    } else {
                        process.set_retention(new);
                    }
                }
                Step::Compact => {
                    let store_time = process.tracker.store_time(process.now);
                    process.store.compact(store_time).expect("it compacts");
                }
            }
        }
    }
}
