//! No submission runs twice across restarts: what may have run is never forgotten, and never marked answered twice.

use madderloom_sidecar_state::{Begin, Id, Ledger, Mode, Next, Rules, Was};
use madderloom_store::sim::{Loss, SimDisk};
use madderloom_store::{Durability, Error, Options, Store};
use rstest::rstest;
use std::collections::BTreeMap;

const WINDOW: u64 = 60_000_000;

const RULES: Rules = Rules {
    window: WINDOW,
    most: 1_000,
};

fn options() -> Options {
    Options {
        segment_bytes: 1024,
        compaction_slack_bytes: 512,
        max_preallocated_bytes: 64,
        ..Options::default()
    }
}

fn id(name: &str) -> Id {
    Id::new("pay", name.as_bytes()).expect("it is short")
}

/// A sidecar's part: a store, and a ledger over it.
struct Rig {
    disk: SimDisk,
    store: Store<SimDisk>,
    ledger: Ledger,
    mode: Mode,
    now: u64,
}

impl Rig {
    fn new(disk: SimDisk, mode: Mode) -> Self {
        Rig::with(disk, mode, RULES)
    }

    fn with(disk: SimDisk, mode: Mode, rules: Rules) -> Self {
        let store = Store::open(disk.clone(), options()).expect("it opens");
        // Each process counts its own time, from anywhere.
        let now = 1 << (20 + 7 * (disk.operations() % 4));
        let ledger = Ledger::open(rules, &store.snapshot(), now);
        Rig {
            disk,
            store,
            ledger,
            mode,
            now,
        }
    }

    fn restart(self, loss: Loss, mode: Mode) -> Self {
        drop(self.store);
        Rig::new(self.disk.lose_power(loss), mode)
    }

    fn time(&self) -> u64 {
        self.ledger.time(self.now)
    }

    /// All the way to the sending, or why not.
    fn send(&mut self, name: &str) -> Result<(), Begin> {
        match self
            .ledger
            .begin(&self.store.reader(), &id(name), self.mode, self.now)
        {
            Begin::Send => Ok(()),
            Begin::Record(batch, durability) => {
                let done = self.store.write(&batch, durability);
                match self.ledger.recorded(&id(name), &done) {
                    Next::Send => Ok(()),
                    Next::Refuse => Err(Begin::Refuse),
                }
            }
            other => Err(other),
        }
    }

    fn was(&self, name: &str) -> Option<Was> {
        self.ledger.was(&self.store.reader(), &id(name), self.now)
    }

    fn answer(&mut self, name: &str) -> bool {
        let Some(batch) = self.ledger.answered(&id(name)) else {
            return false;
        };
        self.store.write(&batch, Durability::Relaxed).is_ok()
    }
}

const FAIL: Result<(), Begin> = Err(Begin::Fail);

#[test]
fn what_may_have_run_before_a_loss_of_power_fails_at_once_after_it() {
    let mut rig = Rig::new(SimDisk::new(), Mode::Durable);
    assert_eq!(rig.send("sent"), Ok(()));
    assert_eq!(rig.send("answered"), Ok(()));
    assert!(rig.answer("answered"));
    assert_eq!(rig.send("after"), Ok(()));
    let mut rig = rig.restart(Loss::All, Mode::Durable);
    assert_eq!(rig.send("sent"), FAIL);
    // The answer's mark was flushed with the record behind it.
    assert_eq!(rig.send("answered"), FAIL);
    assert_eq!(
        (rig.was("sent"), rig.was("answered")),
        (Some(Was::MayHaveRun), Some(Was::Answered))
    );
    assert_eq!(rig.send("new"), Ok(()));
}

#[rstest]
#[case::a_crash_of_the_process(Loss::Nothing, FAIL)]
#[case::a_loss_of_power(Loss::All, Ok(()))]
fn relaxed_survives_the_process_alone(#[case] loss: Loss, #[case] expected: Result<(), Begin>) {
    let mut rig = Rig::new(SimDisk::new(), Mode::Relaxed);
    assert_eq!(rig.send("sent"), Ok(()));
    assert_eq!(rig.restart(loss, Mode::Relaxed).send("sent"), expected);
}

#[test]
fn off_keeps_nothing() {
    let mut rig = Rig::new(SimDisk::new(), Mode::Off);
    assert_eq!((rig.send("sent"), rig.send("sent")), (Ok(()), Ok(())));
    assert!(!rig.answer("sent"));
    assert!(rig.disk.files().is_empty() && rig.ledger.is_empty());
}

#[test]
fn one_that_never_ran_is_served_again_at_once_and_after_a_restart() {
    let mut rig = Rig::new(SimDisk::new(), Mode::Durable);
    assert_eq!(rig.send("a"), Ok(()));
    let batch = rig.ledger.never_ran(&id("a")).expect("it was recorded");
    // Its record is still there.
    assert_eq!((rig.send("a"), rig.ledger.len()), (Ok(()), 1));
    let again = rig.ledger.never_ran(&id("a")).expect("it was recorded");
    for batch in [batch, again] {
        let done = rig.store.write(&batch, Durability::Relaxed);
        rig.ledger.withdrawn(&id("a"), &done);
    }
    assert!(rig.ledger.is_empty());
    let mut rig = rig.restart(Loss::Nothing, Mode::Durable);
    assert_eq!(rig.send("a"), Ok(()));
    // This one ends without an answer.
    rig.ledger.given_up(&id("a"));
    assert_eq!(rig.send("a"), FAIL);
}

#[test]
fn one_that_never_ran_is_served_again_though_the_store_can_not_take_its_record_away() {
    let mut rig = Rig::new(SimDisk::new(), Mode::Durable);
    assert_eq!(rig.send("a"), Ok(()));
    let batch = rig.ledger.never_ran(&id("a")).expect("it was recorded");
    rig.disk.set_capacity(Some(0));
    let done = rig.store.write(&batch, Durability::Relaxed);
    assert!(done.is_err());
    rig.ledger.withdrawn(&id("a"), &done);
    rig.disk.set_capacity(None);
    assert_eq!((rig.send("a"), rig.ledger.len()), (Ok(()), 1));
    // What is remembered of it goes with its window.
    rig.ledger.never_ran(&id("a")).expect("it was recorded");
    rig.now += 2 * WINDOW;
    assert_eq!((rig.send("b"), rig.ledger.len()), (Ok(()), 1));
}

#[test]
fn a_second_request_with_the_id_of_one_that_is_open_is_not_sent() {
    let mut rig = Rig::new(SimDisk::new(), Mode::Durable);
    let reader = rig.store.reader();
    assert!(matches!(
        rig.ledger.begin(&reader, &id("a"), Mode::Durable, 0),
        Begin::Record(..)
    ));
    assert_eq!(
        rig.ledger.begin(&reader, &id("a"), Mode::Durable, 0),
        Begin::Fail
    );
    assert_eq!(rig.ledger.recorded(&id("a"), &Ok(1)), Next::Send);
    assert_eq!(
        rig.ledger.begin(&reader, &id("a"), Mode::Durable, 0),
        Begin::Fail
    );
}

#[test]
fn an_answer_is_marked_once() {
    let mut rig = Rig::new(SimDisk::new(), Mode::Durable);
    assert!(!rig.answer("a"), "nothing of it is recorded");
    assert_eq!(rig.send("a"), Ok(()));
    assert!(rig.answer("a"));
    assert!(!rig.answer("a"));
    let mut rig = rig.restart(Loss::Nothing, Mode::Durable);
    assert_eq!((rig.send("a"), rig.was("a")), (FAIL, Some(Was::Answered)));
    assert!(!rig.answer("a"));
}

#[rstest]
#[case::durable_refuses_before_anything_is_sent(Mode::Durable, Err(Begin::Refuse), 0)]
#[case::relaxed_sends_and_counts(Mode::Relaxed, Ok(()), 1)]
fn where_the_store_takes_no_record(
    #[case] mode: Mode,
    #[case] expected: Result<(), Begin>,
    #[case] unrecorded: u64,
) {
    let mut rig = Rig::new(SimDisk::new(), mode);
    rig.disk.set_capacity(Some(10));
    assert_eq!(rig.send("a"), expected);
    assert_eq!((rig.ledger.len(), rig.ledger.unrecorded()), (0, unrecorded));
    rig.disk.set_capacity(None);
    // A refused one is as if it had never come; one that was sent is still open, though no record is there.
    assert_eq!(
        rig.send("a"),
        if mode == Mode::Durable { Ok(()) } else { FAIL }
    );
    assert_eq!(rig.answer("a"), mode == Mode::Durable);
}

#[rstest]
#[case(Mode::Durable, Err(Begin::Refuse))]
#[case(Mode::Relaxed, Ok(()))]
fn no_more_entries_are_held_than_may_be(#[case] mode: Mode, #[case] expected: Result<(), Begin>) {
    let mut rig = Rig::with(SimDisk::new(), mode, Rules { most: 3, ..RULES });
    for name in ["a", "b", "c"] {
        assert_eq!(rig.send(name), Ok(()));
        rig.answer(name);
        rig.now += 1_000_000;
    }
    assert_eq!(rig.send("d"), expected);
    assert_eq!(rig.ledger.len(), 3);
    rig.ledger.given_up(&id("d"));
    // Room comes as entries expire, to within the second they are counted by.
    rig.now += WINDOW;
    assert_eq!(rig.send("e"), Ok(()));
    assert!(rig.ledger.len() <= 3);
    assert!(rig.answer("e"));
}

/// The ledger's time is the time it ran: a restart neither cuts a window short nor counts the time it was down.
#[test]
fn an_entry_lasts_for_a_window_of_running_time_and_no_longer() {
    let mut rig = Rig::new(SimDisk::new(), Mode::Durable);
    rig.now += 3_600_000_000;
    assert_eq!(rig.send("a"), Ok(()));
    rig.now += 20_000_000;
    assert_eq!(rig.send("b"), Ok(()));
    let before = rig.time();
    let mut rig = rig.restart(Loss::All, Mode::Durable);
    assert_eq!(
        rig.time(),
        before,
        "it goes on where the last record left it"
    );
    let began = rig.now;
    rig.now = began + 39_000_000;
    assert_eq!(rig.send("a"), FAIL);
    rig.now = began + 40_000_000;
    assert_eq!(rig.send("a"), Ok(()), "60 s since it was sent");
    assert_eq!(rig.send("b"), FAIL);
    rig.now = began + WINDOW;
    assert_eq!(rig.send("b"), Ok(()));
    // What has expired goes from the disk with the next compaction by the ledger's time.
    rig.now += 2 * WINDOW;
    rig.store
        .compact(rig.ledger.time(rig.now))
        .expect("it compacts");
    assert_eq!(rig.store.statistics(0).keys, 0);
}

#[test]
fn a_window_that_is_made_shorter_forgets_nothing_that_came_behind() {
    let mut rig = Rig::new(SimDisk::new(), Mode::Durable);
    assert_eq!(rig.send("a"), Ok(()));
    rig.ledger.given_up(&id("a"));
    rig.ledger.change(Rules {
        window: WINDOW / 10,
        ..RULES
    });
    rig.now += 1_000_000;
    assert_eq!((rig.send("a"), rig.send("b")), (FAIL, Ok(())));
    let disk = rig.disk.lose_power(Loss::All);
    drop(rig);
    let mut rig = Rig::with(
        disk,
        Mode::Durable,
        Rules {
            window: WINDOW / 10,
            ..RULES
        },
    );
    assert_eq!((rig.send("a"), rig.send("b")), (FAIL, FAIL));
    rig.now += WINDOW / 10;
    assert_eq!((rig.send("a"), rig.send("b")), (Ok(()), Ok(())));
}

#[test]
fn ids_of_different_services_do_not_meet_and_long_ones_are_refused() {
    assert_ne!(Id::new("a", b"bc"), Id::new("ab", b"c"));
    assert!(Id::new("a", &[0; 1025]).is_err() && Id::new(&"x".repeat(256), b"a").is_err());
    assert!(Id::new("", b"").is_ok());
}

/// What the run of a script had done by the time it was cut off.
#[derive(Default)]
struct Did {
    /// Sent to a server: it may run.
    sent: Vec<String>,
    /// Refused for want of a record, which may be found after a restart all the same.
    refused: Vec<String>,
    answered: Vec<String>,
}

fn play(rig: &mut Rig, did: &mut Did) {
    for i in 0..24 {
        let name = format!("r{}", i % 16);
        match rig.send(&name) {
            Ok(()) => {
                assert!(!did.sent.contains(&name), "{name} runs twice");
                did.sent.push(name.clone());
            }
            Err(Begin::Fail) => {
                assert!(
                    did.sent.contains(&name) || did.refused.contains(&name),
                    "{name} never came"
                );
            }
            // Refused as harmless, so it must not have been sent before.
            Err(_) => {
                assert!(!did.sent.contains(&name), "{name} may have run");
                did.refused.push(name.clone());
            }
        }
        // Some are never answered.
        if i % 3 == 0 {
            rig.ledger.given_up(&id(&name));
        } else if let Some(batch) = rig.ledger.answered(&id(&name)) {
            assert!(!did.answered.contains(&name), "{name} is answered twice");
            if rig.store.write(&batch, Durability::Relaxed).is_ok() {
                did.answered.push(name);
            }
        }
        if i % 10 == 9 {
            let _ = rig.store.compact(rig.ledger.time(rig.now));
        }
        rig.now += 50_000;
    }
}

/// At any operation the process ends or the power goes, with any part of what was not flushed: the next process goes
/// through the same requests, and none of what was sent is sent again or refused as harmless.
#[test]
fn no_submission_is_sent_twice_across_a_crash_at_any_operation() {
    let mut whole = Rig::new(SimDisk::new(), Mode::Durable);
    let mut did = Did::default();
    play(&mut whole, &mut did);
    assert_eq!(did.sent.len(), 16);
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
            let mut did = Did::default();
            let mut rig = Rig::new(disk, Mode::Durable);
            play(&mut rig, &mut did);
            let mut rig = rig.restart(loss, Mode::Durable);
            rig.disk.crash_in(at / 2 + 1);
            play(&mut rig, &mut did);
            let mut rig = rig.restart(loss, Mode::Durable);
            play(&mut rig, &mut did);
        }
    }
}

/// The log cut at any byte: a state is never ahead of what happened, and goes one way alone.
#[test]
fn cut_at_any_byte_the_log_holds_each_submission_as_it_was_at_one_moment() {
    let mut rig = Rig::with(SimDisk::new(), Mode::Durable, Rules { most: 100, ..RULES });
    let mut history: Vec<BTreeMap<String, Was>> = vec![BTreeMap::new()];
    for i in 0..8 {
        let name = format!("r{i}");
        assert_eq!(rig.send(&name), Ok(()));
        let mut now = history.last().expect("there is one").clone();
        now.insert(name.clone(), Was::MayHaveRun);
        history.push(now.clone());
        if i % 2 == 0 {
            assert!(rig.answer(&name));
            now.insert(name, Was::Answered);
            history.push(now);
        }
    }
    rig.store
        .commit(Durability::Durable)
        .expect("it is flushed");
    let files = rig.disk.files();
    let (name, bytes) = files
        .iter()
        .rfind(|(name, _)| name.ends_with(".seg"))
        .expect("a segment");
    let mut last = 0;
    for cut in 32..=bytes.len() {
        let mut files = files.clone();
        files.insert(name.clone(), bytes[..cut].to_vec());
        let mut rig = Rig::new(SimDisk::from_files(&files), Mode::Durable);
        let mut found = BTreeMap::new();
        for i in 0..8 {
            let name = format!("r{i}");
            let was = rig.was(&name);
            assert_eq!(rig.send(&name).is_err(), was.is_some());
            found.extend(was.map(|was| (name, was)));
        }
        let at = (last..history.len()).find(|at| history[*at] == found);
        last = at.unwrap_or_else(|| panic!("cut at {cut}: {found:?}"));
    }
    assert_eq!(last, history.len() - 1);
}

#[test]
fn an_entry_that_can_not_be_read_may_have_run() {
    let mut rig = Rig::new(SimDisk::new(), Mode::Durable);
    assert_eq!(rig.send("a"), Ok(()));
    rig.ledger.given_up(&id("a"));
    rig.disk.kill();
    assert!(matches!(
        rig.store.get(b"sub/\x03paya", 0),
        Err(Error::Io { .. })
    ));
    assert_eq!(rig.send("a"), FAIL);
}
