//! The store beside an ordered map: any writes, expiries, compactions, snapshots, full disks and failed operations, with
//! crashes at any of them.

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
enum Does {
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

/// The model keeps nothing of its own: what a crash leaves is only known once it is looked at, so it is kept beside
/// the store.
struct Machine;

impl ReferenceStateMachine for Machine {
    type State = ();
    type Transition = Does;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Does> {
        let batches = prop::collection::vec(prop::collection::vec(change(), 1..4), 1..4);
        prop_oneof![
            12 => (batches, any::<bool>()).prop_map(|(batches, durable)| Does::Write { batches, durable }),
            2 => (0_u64..40).prop_map(Does::Time),
            2 => Just(Does::Compact),
            1 => Just(Does::Snapshot),
            1 => Just(Does::Kill),
            1 => loss().prop_map(Does::Power),
            1 => (1_u64..12).prop_map(Does::CrashIn),
            1 => (1_u64..12).prop_map(Does::FailIn),
            1 => (0_usize..2_000).prop_map(Does::Room),
        ]
        .boxed()
    }

    fn apply((): (), _: &Does) {}
}

struct Run {
    disk: SimDisk,
    store: Option<Store<SimDisk>>,
    now: u64,
    /// What was acknowledged, after each batch, from the last that is durable.
    states: Vec<Model>,
    /// Groups of which any may be there behind these after a crash, though it was refused.
    maybe: Vec<Vec<Vec<Change>>>,
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

impl Run {
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
                self.maybe.clear();
            }
            Err(error) => {
                let expected = matches!(
                    error,
                    Error::DiskFull { .. } | Error::Io { .. } | Error::Poisoned { .. }
                );
                assert!(expected, "{error}");
                self.maybe.push(batches);
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
        let least = if loss == Loss::Nothing {
            self.states.len() - 1
        } else {
            0
        };
        if let Some(at) = self.states.iter().rposition(same).filter(|at| *at >= least) {
            // A later loss may still undo what was never acknowledged as durable, so the ones before are kept.
            self.states.truncate(at + 1);
        } else {
            let behind = self.maybe.iter().find_map(|group| {
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
                    self.states, self.maybe
                )
            };
            let behind = behind.unwrap_or_else(none);
            self.states.extend(behind);
        }
        self.maybe.clear();
        self.store = Some(store);
    }
}

impl StateMachineTest for Run {
    type SystemUnderTest = Run;
    type Reference = Machine;

    fn init_test((): &()) -> Run {
        let disk = SimDisk::new();
        let store = Some(Store::open(disk.clone(), SMALL).expect("it opens"));
        let (states, snapshots) = (vec![Model::new()], Vec::new());
        Run {
            disk,
            store,
            now: 0,
            states,
            maybe: Vec::new(),
            count: 0,
            compacted: 0,
            snapshots,
        }
    }

    fn apply(mut run: Run, (): &(), does: Does) -> Run {
        match does {
            Does::Write { batches, durable } => run.write(batches, durable),
            Does::Time(now) => run.now = now,
            Does::Compact => {
                if let Some(store) = &mut run.store {
                    // Its first act makes all durable; whether it came so far is known by its end alone.
                    if store.compact(run.now).is_ok() {
                        run.states.drain(..run.states.len() - 1);
                        run.maybe.clear();
                    }
                    run.compacted = run.compacted.max(run.now);
                }
                if run.disk.has_crashed() {
                    run.restart(Loss::Nothing);
                }
            }
            Does::Snapshot => {
                let snapshot = run.store.as_ref().map(Store::snapshot);
                let model = run.model().clone();
                run.snapshots.extend(snapshot.map(|s| (s, model)));
            }
            Does::Kill => run.restart(Loss::Nothing),
            Does::Power(loss) => run.restart(loss),
            Does::CrashIn(operations) => run.disk.crash_in(operations),
            Does::FailIn(operations) => run.disk.fail_in(operations, ErrorKind::Other),
            Does::Room(more) => run.disk.set_capacity(Some(run.disk.used_bytes() + more)),
        }
        run
    }

    fn check_invariants(run: &Run, (): &()) {
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
    fn the_store_reads_as_an_ordered_map_does_whatever_happens_to_the_disk(sequential 1..60 => Run);
}
