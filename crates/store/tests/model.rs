//! The store reads as an ordered map does, through any writes, expiries, compactions, snapshots, full disks and failed
//! operations, with crashes at any of them.

mod common;

use common::SMALL;
use madderloom_store::sim::{Loss, SimDisk, SimFile};
use madderloom_store::{Batch, Durability, Error, Snapshot, Store};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use std::collections::BTreeMap;
use std::io::ErrorKind;

/// A value with its expiry.
type Model = BTreeMap<Vec<u8>, (Vec<u8>, Option<u64>)>;

#[derive(Clone, Debug)]
enum Change {
    Put(Vec<u8>, Vec<u8>, Option<u64>),
    Delete(Vec<u8>),
}

#[derive(Clone, Debug)]
enum Action {
    Write {
        batches: Vec<Vec<Change>>,
        durable: bool,
    },
    /// Time goes on, or back.
    Time(u64),
    Compact,
    Snapshot,
    Kill,
    Power(Loss),
    /// The process ends, or an operation fails, at one of the next.
    CrashIn(u64),
    FailIn(u64),
    /// Room for so many more bytes.
    Room(usize),
}

fn change() -> impl Strategy<Value = Change> {
    // Few keys, so that they meet; one of them is empty.
    let key = || prop::collection::vec(0_u8..3, 0..3);
    let value =
        prop_oneof![9 => prop::collection::vec(any::<u8>(), 0..40), 1 => Just(vec![5; 1500])];
    prop_oneof![
        3 => (key(), value, prop::option::of(0_u64..40)).prop_map(|(k, v, e)| Change::Put(k, v, e)),
        1 => key().prop_map(Change::Delete),
    ]
}

fn loss() -> impl Strategy<Value = Loss> {
    prop_oneof![
        Just(Loss::All),
        Just(Loss::Nothing),
        (0_u64..400).prop_map(Loss::AllAfter),
        any::<u64>().prop_map(Loss::Random)
    ]
}

/// The reference has no state of its own: what a crash leaves is known only once the store is opened, so the model is
/// part of the system under test.
struct ReferenceMachine;

impl ReferenceStateMachine for ReferenceMachine {
    type State = ();
    type Transition = Action;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Action> {
        let batches = prop::collection::vec(prop::collection::vec(change(), 1..4), 1..4);
        prop_oneof![
            12 => (batches, any::<bool>()).prop_map(|(batches, durable)| Action::Write { batches, durable }),
            2 => (0_u64..40).prop_map(Action::Time),
            2 => Just(Action::Compact),
            1 => Just(Action::Snapshot),
            1 => Just(Action::Kill),
            1 => loss().prop_map(Action::Power),
            1 => (1_u64..12).prop_map(Action::CrashIn),
            1 => (1_u64..12).prop_map(Action::FailIn),
            1 => (0_usize..2_000).prop_map(Action::Room),
        ]
        .boxed()
    }

    fn apply((): (), _: &Action) {}
}

struct StoreUnderTest {
    disk: SimDisk,
    store: Option<Store<SimDisk>>,
    now: u64,
    /// What was acknowledged, after each batch, from the last that is durable.
    states: Vec<Model>,
    /// Groups that were not acknowledged. After a crash any first part of one may be found behind these states.
    unacknowledged: Vec<Vec<Vec<Change>>>,
    /// Counts the batches, so that no two states are alike.
    count: u32,
    /// Dropped by a compaction, at this time.
    compacted: u64,
    snapshots: Vec<(Snapshot<SimFile>, Model)>,
}

fn apply(model: &mut Model, batch: &[Change]) {
    for change in batch {
        match change.clone() {
            Change::Put(key, value, expires) => model.insert(key, (value, expires)),
            Change::Delete(key) => model.remove(&key),
        };
    }
}

fn live(model: &Model, now: u64) -> BTreeMap<Vec<u8>, Vec<u8>> {
    let lives = |e: &Option<u64>| e.is_none_or(|e| e > now);
    model
        .iter()
        .filter(|(_, (_, e))| lives(e))
        .map(|(k, (v, _))| (k.clone(), v.clone()))
        .collect()
}

fn read(snapshot: &Snapshot<SimFile>, now: u64) -> BTreeMap<Vec<u8>, Vec<u8>> {
    snapshot
        .scan(b"", now)
        .map(|e| e.map(|(k, v)| (k.to_vec(), v)).expect("it reads"))
        .collect()
}

impl StoreUnderTest {
    fn model(&self) -> &Model {
        self.states.last().expect("there is always one")
    }

    fn write(&mut self, mut batches: Vec<Vec<Change>>, durable: bool) {
        let Some(store) = &mut self.store else { return };
        for changes in &mut batches {
            self.count += 1;
            changes.push(Change::Put(
                b"count".to_vec(),
                self.count.to_be_bytes().to_vec(),
                None,
            ));
            let mut batch = Batch::new();
            for change in changes.clone() {
                match change {
                    Change::Put(k, v, Some(e)) => batch.put_until(k, v, e),
                    Change::Put(k, v, None) => batch.put(k, v),
                    Change::Delete(k) => batch.delete(k),
                };
            }
            store.append(&batch).expect("it fits");
        }
        match store.commit(if durable {
            Durability::Durable
        } else {
            Durability::Relaxed
        }) {
            Ok(_) => {
                for batch in &batches {
                    let mut model = self.model().clone();
                    apply(&mut model, batch);
                    self.states.push(model);
                }
                if durable {
                    self.states.drain(..self.states.len() - 1);
                }
                self.unacknowledged.clear();
            }
            Err(error) => {
                let expected = matches!(
                    error,
                    Error::DiskFull { .. } | Error::Io { .. } | Error::Poisoned { .. }
                );
                assert!(expected, "{error}");
                self.unacknowledged.push(batches);
                if matches!(error, Error::Poisoned { .. }) {
                    self.restart(Loss::Nothing);
                }
            }
        }
        if self.disk.has_crashed() {
            self.restart(Loss::Nothing);
        }
    }

    /// What is found must be what was there after some batch, not before the last durable one.
    fn restart(&mut self, loss: Loss) {
        self.store = None;
        self.snapshots.clear();
        self.disk = self.disk.lose_power(loss);
        self.disk.set_capacity(None);
        let store = Store::open(self.disk.clone(), SMALL).expect("what a crash leaves opens");
        let found = read(&store.snapshot(), self.compacted);
        let same = |m: &Model| live(m, self.compacted) == found;
        // Where only the process ended, all that was acknowledged is there.
        let min = if loss == Loss::Nothing {
            self.states.len() - 1
        } else {
            0
        };
        if let Some(at) = self.states.iter().rposition(same).filter(|at| *at >= min) {
            // A later loss may still undo what was never acknowledged as durable, so the ones before are kept.
            self.states.truncate(at + 1);
        } else {
            let behind = self.unacknowledged.iter().find_map(|group| {
                let mut models = vec![self.model().clone()];
                for batch in group {
                    let mut model = models.last().expect("there is one").clone();
                    apply(&mut model, batch);
                    models.push(model);
                    if models.last().is_some_and(same) {
                        return Some(models.split_off(1));
                    }
                }
                None
            });
            let none = || {
                panic!(
                    "{loss:?}: {found:?} is none of {:?} nor behind by {:?}",
                    self.states, self.unacknowledged
                )
            };
            let behind = behind.unwrap_or_else(none);
            self.states.extend(behind);
        }
        self.unacknowledged.clear();
        self.store = Some(store);
    }
}

impl StateMachineTest for StoreUnderTest {
    type SystemUnderTest = StoreUnderTest;
    type Reference = ReferenceMachine;

    fn init_test((): &()) -> StoreUnderTest {
        let disk = SimDisk::new();
        let store = Some(Store::open(disk.clone(), SMALL).expect("it opens"));
        let (states, snapshots) = (vec![Model::new()], Vec::new());
        StoreUnderTest {
            disk,
            store,
            now: 0,
            states,
            unacknowledged: Vec::new(),
            count: 0,
            compacted: 0,
            snapshots,
        }
    }

    fn apply(mut run: StoreUnderTest, (): &(), action: Action) -> StoreUnderTest {
        match action {
            Action::Write { batches, durable } => run.write(batches, durable),
            Action::Time(now) => run.now = now,
            Action::Compact => {
                if let Some(store) = &mut run.store {
                    // Its first act makes all durable; whether it came so far is known by its end alone.
                    if store.compact(run.now).is_ok() {
                        run.states.drain(..run.states.len() - 1);
                        run.unacknowledged.clear();
                    }
                    run.compacted = run.compacted.max(run.now);
                }
                if run.disk.has_crashed() {
                    run.restart(Loss::Nothing);
                }
            }
            Action::Snapshot => {
                let snapshot = run.store.as_ref().map(Store::snapshot);
                let model = run.model().clone();
                run.snapshots.extend(snapshot.map(|s| (s, model)));
            }
            Action::Kill => run.restart(Loss::Nothing),
            Action::Power(loss) => run.restart(loss),
            Action::CrashIn(operations) => run.disk.crash_in(operations),
            Action::FailIn(operations) => run.disk.fail_in(operations, ErrorKind::Other),
            Action::Room(more) => run.disk.set_capacity(Some(run.disk.used_bytes() + more)),
        }
        run
    }

    fn check_invariants(run: &StoreUnderTest, (): &()) {
        let Some(store) = &run.store else { return };
        if run.disk.has_crashed() {
            return;
        }
        // Entries that a compaction dropped stay away at any time.
        let now = run.now.max(run.compacted);
        assert_eq!(read(&store.snapshot(), now), live(run.model(), now));
        for key in run.model().keys() {
            assert_eq!(
                store.get(key, now),
                Ok(live(run.model(), now).get(key).cloned())
            );
        }
        for (snapshot, model) in &run.snapshots {
            assert_eq!(read(snapshot, now), live(model, now));
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, rng_seed: RngSeed::Fixed(9), ..ProptestConfig::default() })]

    #[test]
    fn the_store_reads_as_an_ordered_map_does_whatever_happens_to_the_disk(sequential 1..60 => StoreUnderTest);
}
