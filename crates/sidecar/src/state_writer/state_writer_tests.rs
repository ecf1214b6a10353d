//! Idempotency records with a store whose disk is slow, full, failing or hanging.

use super::idempotency_record::RecordProgress;
use super::*;
use madderloom_sidecar_state::{IdempotencyLimits, SnapshotDecay};
use madderloom_store::Options;
use madderloom_store::sim::SimDisk;
use rstest::rstest;

fn writer() -> StateWriter {
    StateWriter::without_store(State {
        dir: "state".into(),
        defaults: madderloom_operator_config::PersistenceOptions::default(),
        id_headers: Vec::new(),
        idempotency_limits: IdempotencyLimits {
            retention: 60_000_000,
            max_records: 1_000,
        },
        snapshot_interval: madderloom_config_reader::Span::s(5),
        snapshot_decay: SnapshotDecay {
            half_life: 1,
            max_age: 1,
        },
    })
}

fn writer_over(disk: &SimDisk) -> Rc<StateWriter> {
    let writer = writer();
    // Little space is preallocated, so that a full disk shows immediately.
    let options = Options {
        segment_bytes: 1 << 20,
        max_preallocated_bytes: 64,
        ..Options::default()
    };
    let store = Store::open(disk.clone(), options).expect("it opens");
    writer.start_store(store).expect("its thread starts");
    Rc::new(writer)
}

fn record(writer: &Rc<StateWriter>, mode: IdempotencyMode, name: &str) -> IdempotencyRecord {
    let key = IdempotencyKey::new("pay", name.as_bytes()).expect("it is short");
    IdempotencyRecord::new(writer, key, mode)
}

fn run<T>(task: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(task)
}

/// A store on a disk that hangs: writes never complete.
struct HungStore(GroupCommit<SimDisk>);

impl StateStore for HungStore {
    fn admit(
        &self,
        tracker: &mut IdempotencyTracker,
        key: &IdempotencyKey,
        mode: IdempotencyMode,
        now: u64,
    ) -> Admission {
        StateStore::admit(&self.0, tracker, key, mode, now)
    }

    fn submit(
        &self,
        _: Batch,
        _: Durability,
        on_written: Box<dyn FnOnce(Written) + Send>,
    ) -> Result<(), Error> {
        std::mem::forget(on_written);
        Ok(())
    }

    fn status(&self) -> GroupCommitStatus {
        GroupCommitStatus::default()
    }
}

#[test]
fn many_requests_wait_for_one_flush() {
    let writer = writer_over(&SimDisk::new());
    run(async {
        let records: Vec<IdempotencyRecord> = (0..200)
            .map(|n| record(&writer, IdempotencyMode::Durable, &n.to_string()))
            .collect();
        let mut waiting: Vec<_> = records
            .iter()
            .map(|record| Box::pin(record.pass_barrier()))
            .collect();
        // All records are submitted before the first result.
        let waker = std::task::Waker::noop();
        let mut context = std::task::Context::from_waker(waker);
        waiting.retain_mut(|waiting| waiting.as_mut().poll(&mut context).is_pending());
        assert!(!waiting.is_empty(), "the serving thread waits for the disk");
        for waiting in waiting {
            let _ = waiting.await;
        }
        assert!(
            records
                .iter()
                .all(|record| record.progress() == RecordProgress::MaySend)
        );
    });
    let status = writer
        .store
        .borrow()
        .as_ref()
        .map(|store| store.status())
        .expect("it is open");
    assert!(status.batches == 200 && status.groups < 200, "{status:?}");
}

#[rstest]
#[case::full(true)]
#[case::failing(false)]
fn requests_are_rejected_no_longer_than_the_disk_fails(#[case] full: bool) {
    let disk = SimDisk::new();
    let writer = writer_over(&disk);
    run(async {
        assert_eq!(
            record(&writer, IdempotencyMode::Durable, "before")
                .pass_barrier()
                .await,
            WriteBarrier::Open
        );
        if full {
            disk.set_capacity(Some(0));
        } else {
            // The write itself succeeds, its flush does not.
            disk.fail_in(2, ErrorKind::Other);
        }
        assert_eq!(
            record(&writer, IdempotencyMode::Durable, "a")
                .pass_barrier()
                .await,
            WriteBarrier::Rejected
        );
        assert!(writer.is_failing.get());
        if full {
            assert_eq!(
                record(&writer, IdempotencyMode::Relaxed, "b")
                    .pass_barrier()
                    .await,
                WriteBarrier::Open
            );
        }
        disk.set_capacity(None);
        disk.clear_failures();
        assert_eq!(
            record(&writer, IdempotencyMode::Durable, "a")
                .pass_barrier()
                .await,
            WriteBarrier::Open
        );
        assert!(!writer.is_failing.get());
    });
}

#[test]
fn a_disk_that_hangs_counts_as_one_that_fails() {
    let store = Store::open(SimDisk::new(), Options::default()).expect("it opens");
    let writer = writer();
    let hung =
        HungStore(GroupCommit::start(store, MAX_QUEUED_BYTES, || 0).expect("its thread starts"));
    writer.store.replace(Some(Box::new(hung)));
    let writer = Rc::new(writer);
    run(async {
        let (durable, relaxed) = (
            record(&writer, IdempotencyMode::Durable, "a"),
            record(&writer, IdempotencyMode::Relaxed, "b"),
        );
        assert_eq!(
            tokio::join!(durable.pass_barrier(), relaxed.pass_barrier()),
            (WriteBarrier::Rejected, WriteBarrier::Open)
        );
        // A rejected request was not sent, so a client may retry it.
        assert_eq!(
            record(&writer, IdempotencyMode::Durable, "b")
                .pass_barrier()
                .await,
            WriteBarrier::MayHaveRun
        );
        assert_eq!(
            record(&writer, IdempotencyMode::Durable, "a")
                .pass_barrier()
                .await,
            WriteBarrier::Rejected
        );
    });
}

#[test]
fn a_request_abandoned_before_it_was_recorded_is_withdrawn() {
    let disk = SimDisk::new();
    let writer = writer_over(&disk);
    let processor = Rc::clone(&writer);
    run(async {
        let abandoned = record(&writer, IdempotencyMode::Durable, "a");
        let mut waiting = Box::pin(abandoned.pass_barrier());
        let mut context = std::task::Context::from_waker(std::task::Waker::noop());
        let _ = waiting.as_mut().poll(&mut context);
        drop(waiting);
        assert!(abandoned.progress() == RecordProgress::Recording);
        drop(abandoned);
        tokio::select! {
            () = processor.process_withdrawals() => panic!("it stopped"),
            () = async {
                while !writer.tracker.borrow().is_empty() {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
            } => {}
        }
        assert_eq!(
            record(&writer, IdempotencyMode::Durable, "a")
                .pass_barrier()
                .await,
            WriteBarrier::Open
        );
    });
}
