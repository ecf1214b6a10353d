use crate::rig::PATIENCE;
use crate::stand_ins::{Manner, Process, StandIn};
use crate::{file, status, submission, submit, until};
use rstest::rstest;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[rstest]
#[case("durable")]
#[case("relaxed")]
fn what_was_out_when_the_process_was_killed_fails_at_once_in_the_next(#[case] ledger: &str) {
    let directory = tempfile::tempdir().expect("a directory");
    let server = StandIn::new("s1", Manner::Hangs);
    let text = file(directory.path(), ledger, &[&server]);
    let process = Process::start(&text);
    let mut client = process.client("front");
    client.write(submission("a"));
    until("it is sent", || server.seen().contains_key("a"));
    // While it is open, another with its key is not known from a repeat.
    assert_eq!(status(&process, "a"), 502);
    process.signal("KILL");
    drop(process);
    let process = Process::start(&text);
    let asked = Instant::now();
    assert_eq!(status(&process, "a"), 502);
    assert!(
        asked.elapsed() < PATIENCE / 4,
        "at once, not at its deadline"
    );
    assert_eq!(server.seen()["a"], 1);
}

#[test]
fn what_is_refused_as_harmless_is_served_when_it_comes_again() {
    let directory = tempfile::tempdir().expect("a directory");
    // Nobody listens there at first.
    let place = TcpListener::bind("127.0.0.1:0")
        .expect("a port is free")
        .local_addr()
        .expect("it is bound");
    let server = StandIn::new("s1", Manner::Serves);
    let text = file(directory.path(), "durable", &[&server]);
    let nowhere = text.replace(&server.address.to_string(), &place.to_string());
    let mut process = Process::start(&nowhere);
    assert_eq!(status(&process, "a"), 503);
    process.reload(&text);
    assert_eq!(status(&process, "a"), 200);
    assert_eq!(status(&process, "a"), 502);
    drop(process);
    assert_eq!(status(&Process::start(&text), "a"), 502);
    assert_eq!(server.seen()["a"], 1);
}

#[test]
fn one_with_an_id_that_is_too_long_to_be_kept_makes_no_sense() {
    let directory = tempfile::tempdir().expect("a directory");
    let server = StandIn::new("s1", Manner::Serves);
    let process = Process::start(&file(directory.path(), "durable", &[&server]));
    assert_eq!(status(&process, &"x".repeat(1_000)), 200);
    assert_eq!(status(&process, &"x".repeat(1_025)), 400);
    assert_eq!(server.seen().len(), 1);
}

/// What a client's submissions came to.
#[derive(Default)]
struct Tally {
    served: AtomicU64,
    failed: AtomicU64,
    refused: AtomicU64,
    cut_off: AtomicU64,
}

/// Submits, each with a key of its own, and again and again with the same key, as a bold client would: until it has an
/// answer that is final. What is answered is at times sent again all the same.
fn client(number: usize, at: &Mutex<SocketAddr>, over: &AtomicBool, tally: &Tally) {
    let count = |counter: &AtomicU64| counter.fetch_add(1, Ordering::Relaxed);
    for turn in 0.. {
        let key = format!("{number}-{turn}");
        let mut extra = turn % 4 == 0;
        while !over.load(Ordering::Relaxed) {
            let place = *at.lock().expect("no thread panics");
            match submit(place, &key).map(|answer| answer.status()) {
                Some(200) => count(&tally.served),
                Some(502) => count(&tally.failed),
                Some(503) => {
                    count(&tally.refused);
                    continue;
                }
                Some(status) => panic!("{status}"),
                None => {
                    count(&tally.cut_off);
                    std::thread::sleep(Duration::from_millis(1));
                    continue;
                }
            };
            if !std::mem::take(&mut extra) {
                break;
            }
        }
        if over.load(Ordering::Relaxed) {
            return;
        }
    }
}

/// Kills the process so many times under load, at times that a seed draws.
fn kill_again_and_again(ledger: &str, kills: u64, seed: u64) {
    let directory = tempfile::tempdir().expect("a directory");
    let late = Manner::ServesLate(Duration::from_millis(3));
    let manners = [Manner::Serves, late, Manner::Breaks, Manner::Fails];
    let names = ["s0", "s1", "s2", "s3"];
    let servers: Vec<StandIn> = names
        .iter()
        .zip(manners)
        .map(|(name, how)| StandIn::new(name, how))
        .collect();
    let text = file(
        directory.path(),
        ledger,
        &servers.iter().collect::<Vec<_>>(),
    );
    let mut process = Process::start(&text);
    let at = Arc::new(Mutex::new(process.at("front")));
    let (over, tally) = (Arc::new(AtomicBool::new(false)), Arc::new(Tally::default()));
    let clients: Vec<_> = (0..8)
        .map(|number| {
            let (at, over, tally) = (Arc::clone(&at), Arc::clone(&over), Arc::clone(&tally));
            std::thread::spawn(move || client(number, &at, &over, &tally))
        })
        .collect();
    let mut random = seed;
    for _ in 0..kills {
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let served = tally.served.load(Ordering::Relaxed);
        // Work is being done, and is cut off anywhere in it.
        until("something is served", || {
            tally.served.load(Ordering::Relaxed) > served
        });
        std::thread::sleep(Duration::from_micros((random >> 33) % 60_000));
        process.signal("KILL");
        drop(process);
        process = Process::start(&text);
        *at.lock().expect("no thread panics") = process.at("front");
    }
    over.store(true, Ordering::Relaxed);
    clients
        .into_iter()
        .for_each(|client| client.join().expect("it does not panic"));
    let mut ran: BTreeMap<String, u32> = BTreeMap::new();
    for server in &servers {
        server
            .seen()
            .into_iter()
            .for_each(|(key, times)| *ran.entry(key).or_default() += times);
    }
    let twice: Vec<_> = ran.iter().filter(|(_, times)| **times > 1).collect();
    assert!(twice.is_empty(), "{ledger}: ran twice: {twice:?}");
    let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    let Tally {
        served,
        failed,
        refused,
        cut_off,
    } = &*tally;
    println!(
        "{ledger}: {kills} kills, {} ran once; served {}, failed {}, refused {}, cut off {}",
        ran.len(),
        count(served),
        count(failed),
        count(refused),
        count(cut_off)
    );
    assert!(
        count(cut_off) >= kills,
        "the load was not cut off each time"
    );
    assert_eq!(process.stop(), Some(0));
}

#[rstest]
#[case("durable", 11)]
#[case("relaxed", 12)]
fn killed_at_random_times_a_few_times(#[case] ledger: &str, #[case] seed: u64) {
    kill_again_and_again(ledger, 4, seed);
}

/// `MADDERLOOM_KILLS` says how often, with each kind of ledger.
#[test]
#[ignore = "takes minutes; run it by hand, with --nocapture"]
fn killed_at_random_times_some_hundred_times() {
    let kills = std::env::var("MADDERLOOM_KILLS")
        .ok()
        .and_then(|kills| kills.parse().ok())
        .unwrap_or(200);
    for (ledger, seed) in [("durable", 21), ("relaxed", 22)] {
        kill_again_and_again(ledger, kills, seed);
    }
}
