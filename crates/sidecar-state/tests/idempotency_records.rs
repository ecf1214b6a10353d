//! No request with an idempotency key runs twice across restarts: one that may have run is never forgotten, and never
//! recorded as answered twice.

use madderloom_sidecar_state::{
    Admission, IdempotencyKey, IdempotencyLimits, IdempotencyMode, IdempotencyTracker, RecordState,
    WriteVerdict,
};
use madderloom_store::sim::{Loss, SimDisk};
use madderloom_store::{Durability, Error, Options, Store};
use rstest::rstest;
use std::collections::BTreeMap;

const RETENTION: u64 = 60_000_000;

const LIMITS: IdempotencyLimits = IdempotencyLimits {
    retention: RETENTION,
    max_records: 1_000,
};

fn options() -> Options {
    Options {
        segment_bytes: 1024,
        compaction_slack_bytes: 512,
        max_preallocated_bytes: 64,
        ..Options::default()
    }
}

fn key(name: &str) -> IdempotencyKey {
    IdempotencyKey::new("pay", name.as_bytes()).expect("it is short")
}

/// The part of a sidecar under test: a store, and a tracker over it.
struct Sidecar {
    disk: SimDisk,
    store: Store<SimDisk>,
    tracker: IdempotencyTracker,
    mode: IdempotencyMode,
    now: u64,
}

impl Sidecar {
    fn new(disk: SimDisk, mode: IdempotencyMode) -> Self {
        Sidecar::with(disk, mode, LIMITS)
    }

    fn with(disk: SimDisk, mode: IdempotencyMode, rules: IdempotencyLimits) -> Self {
        let store = Store::open(disk.clone(), options()).expect("it opens");
        // The clock of each process has another zero.
        let now = 1 << (20 + 7 * (disk.operations() % 4));
        let tracker = IdempotencyTracker::open(rules, &store.snapshot(), now);
        Sidecar {
            disk,
            store,
            tracker,
            mode,
            now,
        }
    }

    fn restart(self, loss: Loss, mode: IdempotencyMode) -> Self {
        drop(self.store);
        Sidecar::new(self.disk.lose_power(loss), mode)
    }

    fn set_retention(&mut self, retention: u64) {
        let limits = IdempotencyLimits {
            retention,
            ..LIMITS
        };
        self.tracker.set_limits(limits, self.now);
    }

    fn time(&self) -> u64 {
        self.tracker.store_time(self.now)
    }

    /// Admits and records a request. Returns why it is not sent.
    fn send(&mut self, name: &str) -> Result<(), Admission> {
        match self
            .tracker
            .admit(&self.store.reader(), &key(name), self.mode, self.now)
        {
            Admission::Send => Ok(()),
            Admission::Record { batch, durability } => {
                let done = self.store.write(&batch, durability);
                match self.tracker.record_written(&key(name), &done) {
                    WriteVerdict::Send => Ok(()),
                    WriteVerdict::Reject => Err(Admission::Reject),
                }
            }
            other => Err(other),
        }
    }

    fn record_state(&self, name: &str) -> Option<RecordState> {
        self.tracker
            .record_state(&self.store.reader(), &key(name), self.now)
    }

    fn answer(&mut self, name: &str) -> bool {
        let Some(batch) = self.tracker.answered(&key(name)) else {
            return false;
        };
        self.store.write(&batch, Durability::Relaxed).is_ok()
    }
}

const FAIL: Result<(), Admission> = Err(Admission::Fail);

#[test]
fn a_request_that_may_have_run_before_a_power_loss_fails_immediately_after_it() {
    let mut sidecar = Sidecar::new(SimDisk::new(), IdempotencyMode::Durable);
    assert_eq!(sidecar.send("sent"), Ok(()));
    assert_eq!(sidecar.send("answered"), Ok(()));
    assert!(sidecar.answer("answered"));
    assert_eq!(sidecar.send("after"), Ok(()));
    let mut sidecar = sidecar.restart(Loss::All, IdempotencyMode::Durable);
    assert_eq!(sidecar.send("sent"), FAIL);
    // The record of the answer was flushed together with the next record.
    assert_eq!(sidecar.send("answered"), FAIL);
    assert_eq!(
        (
            sidecar.record_state("sent"),
            sidecar.record_state("answered")
        ),
        (Some(RecordState::MayHaveRun), Some(RecordState::Answered))
    );
    assert_eq!(sidecar.send("new"), Ok(()));
}

#[rstest]
#[case::a_crash_of_the_process(Loss::Nothing, FAIL)]
#[case::a_loss_of_power(Loss::All, Ok(()))]
fn relaxed_records_survive_a_crash_of_the_process_only(
    #[case] loss: Loss,
    #[case] expected: Result<(), Admission>,
) {
    let mut sidecar = Sidecar::new(SimDisk::new(), IdempotencyMode::Relaxed);
    assert_eq!(sidecar.send("sent"), Ok(()));
    assert_eq!(
        sidecar.restart(loss, IdempotencyMode::Relaxed).send("sent"),
        expected
    );
}

#[test]
fn off_records_nothing() {
    let mut sidecar = Sidecar::new(SimDisk::new(), IdempotencyMode::Off);
    assert_eq!(
        (sidecar.send("sent"), sidecar.send("sent")),
        (Ok(()), Ok(()))
    );
    assert!(!sidecar.answer("sent"));
    assert!(sidecar.disk.files().is_empty() && sidecar.tracker.is_empty());
}

#[test]
fn a_withdrawn_request_is_served_again_immediately_and_after_a_restart() {
    let mut sidecar = Sidecar::new(SimDisk::new(), IdempotencyMode::Durable);
    assert_eq!(sidecar.send("a"), Ok(()));
    let batch = sidecar
        .tracker
        .withdraw(&key("a"))
        .expect("it was recorded");
    // Its record still exists.
    assert_eq!((sidecar.send("a"), sidecar.tracker.len()), (Ok(()), 1));
    let again = sidecar
        .tracker
        .withdraw(&key("a"))
        .expect("it was recorded");
    for batch in [batch, again] {
        let done = sidecar.store.write(&batch, Durability::Relaxed);
        sidecar.tracker.withdrawal_written(&key("a"), &done);
    }
    assert!(sidecar.tracker.is_empty());
    let mut sidecar = sidecar.restart(Loss::Nothing, IdempotencyMode::Durable);
    assert_eq!(sidecar.send("a"), Ok(()));
    // This request ends without an answer.
    sidecar.tracker.abandon(&key("a"));
    assert_eq!(sidecar.send("a"), FAIL);
}

#[test]
fn a_withdrawn_request_is_served_again_although_its_record_cannot_be_deleted() {
    let mut sidecar = Sidecar::new(SimDisk::new(), IdempotencyMode::Durable);
    assert_eq!(sidecar.send("a"), Ok(()));
    let batch = sidecar
        .tracker
        .withdraw(&key("a"))
        .expect("it was recorded");
    sidecar.disk.set_capacity(Some(0));
    let done = sidecar.store.write(&batch, Durability::Relaxed);
    assert!(done.is_err());
    sidecar.tracker.withdrawal_written(&key("a"), &done);
    sidecar.disk.set_capacity(None);
    assert_eq!((sidecar.send("a"), sidecar.tracker.len()), (Ok(()), 1));
    // It is forgotten when its record expires.
    sidecar
        .tracker
        .withdraw(&key("a"))
        .expect("it was recorded");
    sidecar.now += 2 * RETENTION;
    assert_eq!((sidecar.send("b"), sidecar.tracker.len()), (Ok(()), 1));
}

#[test]
fn a_second_request_with_the_key_of_an_open_one_is_not_sent() {
    let mut sidecar = Sidecar::new(SimDisk::new(), IdempotencyMode::Durable);
    let reader = sidecar.store.reader();
    assert!(matches!(
        sidecar
            .tracker
            .admit(&reader, &key("a"), IdempotencyMode::Durable, 0),
        Admission::Record { .. }
    ));
    assert_eq!(
        sidecar
            .tracker
            .admit(&reader, &key("a"), IdempotencyMode::Durable, 0),
        Admission::Fail
    );
    assert_eq!(
        sidecar.tracker.record_written(&key("a"), &Ok(1)),
        WriteVerdict::Send
    );
    assert_eq!(
        sidecar
            .tracker
            .admit(&reader, &key("a"), IdempotencyMode::Durable, 0),
        Admission::Fail
    );
}

#[test]
fn an_answer_is_recorded_once() {
    let mut sidecar = Sidecar::new(SimDisk::new(), IdempotencyMode::Durable);
    assert!(!sidecar.answer("a"), "nothing of it is recorded");
    assert_eq!(sidecar.send("a"), Ok(()));
    assert!(sidecar.answer("a"));
    assert!(!sidecar.answer("a"));
    let mut sidecar = sidecar.restart(Loss::Nothing, IdempotencyMode::Durable);
    assert_eq!(
        (sidecar.send("a"), sidecar.record_state("a")),
        (FAIL, Some(RecordState::Answered))
    );
    assert!(!sidecar.answer("a"));
}

#[rstest]
#[case::durable_rejects_before_anything_is_sent(
    IdempotencyMode::Durable,
    Err(Admission::Reject),
    0
)]
#[case::relaxed_sends_and_counts(IdempotencyMode::Relaxed, Ok(()), 1)]
fn a_store_that_takes_no_record(
    #[case] mode: IdempotencyMode,
    #[case] expected: Result<(), Admission>,
    #[case] unrecorded: u64,
) {
    let mut sidecar = Sidecar::new(SimDisk::new(), mode);
    sidecar.disk.set_capacity(Some(10));
    assert_eq!(sidecar.send("a"), expected);
    assert_eq!(
        (sidecar.tracker.len(), sidecar.tracker.unrecorded_count()),
        (0, unrecorded)
    );
    sidecar.disk.set_capacity(None);
    // A rejected request leaves nothing behind; one that was sent is still open, although it has no record.
    assert_eq!(
        sidecar.send("a"),
        if mode == IdempotencyMode::Durable {
            Ok(())
        } else {
            FAIL
        }
    );
    assert_eq!(sidecar.answer("a"), mode == IdempotencyMode::Durable);
}

#[rstest]
#[case(IdempotencyMode::Durable, Err(Admission::Reject))]
#[case(IdempotencyMode::Relaxed, Ok(()))]
fn the_number_of_records_is_bounded(
    #[case] mode: IdempotencyMode,
    #[case] expected: Result<(), Admission>,
) {
    let mut sidecar = Sidecar::with(
        SimDisk::new(),
        mode,
        IdempotencyLimits {
            max_records: 3,
            ..LIMITS
        },
    );
    for name in ["a", "b", "c"] {
        assert_eq!(sidecar.send(name), Ok(()));
        sidecar.answer(name);
        sidecar.now += 1_000_000;
    }
    assert_eq!(sidecar.send("d"), expected);
    assert_eq!(sidecar.tracker.len(), 3);
    sidecar.tracker.abandon(&key("d"));
    // Capacity is freed as records expire, to within the step of about a second that they are counted by.
    sidecar.now += RETENTION;
    assert_eq!(sidecar.send("e"), Ok(()));
    assert!(sidecar.tracker.len() <= 3);
    assert!(sidecar.answer("e"));
}

/// Store time is the time that the process ran: a restart neither shortens the retention nor counts the time that the
/// process was down.
#[test]
fn a_record_lasts_for_the_retention_of_running_time_and_no_longer() {
    let mut sidecar = Sidecar::new(SimDisk::new(), IdempotencyMode::Durable);
    sidecar.now += 3_600_000_000;
    assert_eq!(sidecar.send("a"), Ok(()));
    sidecar.now += 20_000_000;
    assert_eq!(sidecar.send("b"), Ok(()));
    let before = sidecar.time();
    let mut sidecar = sidecar.restart(Loss::All, IdempotencyMode::Durable);
    assert_eq!(
        sidecar.time(),
        before,
        "it continues from the latest record"
    );
    let began = sidecar.now;
    sidecar.now = began + 39_000_000;
    assert_eq!(sidecar.send("a"), FAIL);
    sidecar.now = began + 40_000_000;
    assert_eq!(sidecar.send("a"), Ok(()), "60 s since it was sent");
    assert_eq!(sidecar.send("b"), FAIL);
    sidecar.now = began + RETENTION;
    assert_eq!(sidecar.send("b"), Ok(()));
    // Expired records are removed from the disk by the next compaction, in store time.
    sidecar.now += 2 * RETENTION;
    sidecar
        .store
        .compact(sidecar.tracker.store_time(sidecar.now))
        .expect("it compacts");
    assert_eq!(sidecar.store.statistics(0).keys, 0);
}

#[test]
fn a_shorter_retention_forgets_no_later_record() {
    let mut sidecar = Sidecar::new(SimDisk::new(), IdempotencyMode::Durable);
    assert_eq!(sidecar.send("a"), Ok(()));
    sidecar.tracker.abandon(&key("a"));
    sidecar.set_retention(RETENTION / 10);
    sidecar.now += 1_000_000;
    assert_eq!((sidecar.send("a"), sidecar.send("b")), (FAIL, Ok(())));
    let disk = sidecar.disk.lose_power(Loss::All);
    drop(sidecar);
    let mut sidecar = Sidecar::with(
        disk,
        IdempotencyMode::Durable,
        IdempotencyLimits {
            retention: RETENTION / 10,
            ..LIMITS
        },
    );
    assert_eq!((sidecar.send("a"), sidecar.send("b")), (FAIL, FAIL));
    sidecar.now += RETENTION / 10;
    assert_eq!((sidecar.send("a"), sidecar.send("b")), (Ok(()), Ok(())));
}

#[test]
fn keys_of_different_services_differ_and_long_ones_are_rejected() {
    assert_ne!(
        IdempotencyKey::new("a", b"bc"),
        IdempotencyKey::new("ab", b"c")
    );
    assert!(
        IdempotencyKey::new("a", &[0; 1025]).is_err()
            && IdempotencyKey::new(&"x".repeat(256), b"a").is_err()
    );
    assert!(IdempotencyKey::new("", b"").is_ok());
}

/// What a run of the script had done when it was interrupted.
#[derive(Default)]
struct Progress {
    /// Sent to a server: may run.
    sent: Vec<String>,
    /// Rejected without a record, which may nevertheless be found after a restart.
    rejected: Vec<String>,
    answered: Vec<String>,
}

fn run_script(sidecar: &mut Sidecar, progress: &mut Progress) {
    for i in 0..24 {
        let name = format!("r{}", i % 16);
        match sidecar.send(&name) {
            Ok(()) => {
                assert!(!progress.sent.contains(&name), "{name} runs twice");
                progress.sent.push(name.clone());
            }
            Err(Admission::Fail) => {
                assert!(
                    progress.sent.contains(&name) || progress.rejected.contains(&name),
                    "{name} never came"
                );
            }
            // Rejected as harmless, so it must not have been sent before.
            Err(_) => {
                assert!(!progress.sent.contains(&name), "{name} may have run");
                progress.rejected.push(name.clone());
            }
        }
        // Some requests are never answered.
        if i % 3 == 0 {
            sidecar.tracker.abandon(&key(&name));
        } else if let Some(batch) = sidecar.tracker.answered(&key(&name)) {
            assert!(
                !progress.answered.contains(&name),
                "{name} is answered twice"
            );
            if sidecar.store.write(&batch, Durability::Relaxed).is_ok() {
                progress.answered.push(name);
            }
        }
        if i % 10 == 9 {
            let _ = sidecar
                .store
                .compact(sidecar.tracker.store_time(sidecar.now));
        }
        sidecar.now += 50_000;
    }
}

/// The process crashes or the power is lost at any operation, with any part of what was not flushed. The next process runs
/// the same requests, and none that was sent is sent again or rejected as harmless.
#[test]
fn no_request_is_sent_twice_across_a_crash_at_any_operation() {
    let mut whole = Sidecar::new(SimDisk::new(), IdempotencyMode::Durable);
    let mut progress = Progress::default();
    run_script(&mut whole, &mut progress);
    assert_eq!(progress.sent.len(), 16);
    let operations = whole.disk.operations();
    for at in 1..=operations {
        for loss in [
            Loss::All,
            Loss::Nothing,
            Loss::Random(at),
            Loss::Random(at << 20),
        ] {
            let disk = SimDisk::new();
            disk.crash_in(at);
            let mut progress = Progress::default();
            let mut sidecar = Sidecar::new(disk, IdempotencyMode::Durable);
            run_script(&mut sidecar, &mut progress);
            let mut sidecar = sidecar.restart(loss, IdempotencyMode::Durable);
            sidecar.disk.crash_in(at / 2 + 1);
            run_script(&mut sidecar, &mut progress);
            let mut sidecar = sidecar.restart(loss, IdempotencyMode::Durable);
            run_script(&mut sidecar, &mut progress);
        }
    }
}

/// The log is cut at any byte: no record is ahead of what happened, and records change in one direction only.
#[test]
fn cut_at_any_byte_the_log_holds_each_request_as_it_was_at_one_moment() {
    let mut sidecar = Sidecar::with(
        SimDisk::new(),
        IdempotencyMode::Durable,
        IdempotencyLimits {
            max_records: 100,
            ..LIMITS
        },
    );
    let mut history: Vec<BTreeMap<String, RecordState>> = vec![BTreeMap::new()];
    for i in 0..8 {
        let name = format!("r{i}");
        assert_eq!(sidecar.send(&name), Ok(()));
        let mut now = history.last().expect("there is one").clone();
        now.insert(name.clone(), RecordState::MayHaveRun);
        history.push(now.clone());
        if i % 2 == 0 {
            assert!(sidecar.answer(&name));
            now.insert(name, RecordState::Answered);
            history.push(now);
        }
    }
    sidecar
        .store
        .commit(Durability::Durable)
        .expect("it is flushed");
    let files = sidecar.disk.files();
    let (name, bytes) = files
        .iter()
        .rfind(|(name, _)| name.ends_with(".seg"))
        .expect("a segment");
    let mut last = 0;
    for cut in 32..=bytes.len() {
        let mut files = files.clone();
        files.insert(name.clone(), bytes[..cut].to_vec());
        let mut sidecar = Sidecar::new(SimDisk::from_files(&files), IdempotencyMode::Durable);
        let mut found = BTreeMap::new();
        for i in 0..8 {
            let name = format!("r{i}");
            let was = sidecar.record_state(&name);
            assert_eq!(sidecar.send(&name).is_err(), was.is_some());
            found.extend(was.map(|was| (name, was)));
        }
        let at = (last..history.len()).find(|at| history[*at] == found);
        last = at.unwrap_or_else(|| panic!("cut at {cut}: {found:?}"));
    }
    assert_eq!(last, history.len() - 1);
}

#[test]
fn the_request_of_an_unreadable_record_may_have_run() {
    let mut sidecar = Sidecar::new(SimDisk::new(), IdempotencyMode::Durable);
    assert_eq!(sidecar.send("a"), Ok(()));
    sidecar.tracker.abandon(&key("a"));
    sidecar.disk.kill();
    assert!(matches!(
        sidecar.store.get(b"sub/\x03paya", 0),
        Err(Error::Io { .. })
    ));
    assert_eq!(sidecar.send("a"), FAIL);
}
