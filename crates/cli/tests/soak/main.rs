//! A soak of one process: clients keep using their connections while servers misbehave and signals come in series, until the kill
//! at the earliest time that the operators' page allows. What each client got is held against what the servers saw.
//!
//! All is drawn from a seed. `MADDERLOOM_SEED` is the first, `MADDERLOOM_SEEDS` their number; `MADDERLOOM_BINARY` names another build.

#[path = "../sidecar/rig.rs"]
#[allow(dead_code, reason = "each test target uses a part of it")]
mod rig;

mod clients;
mod judge;
mod servers;

use clients::{Asked, Client, Crowd};
use madderloom_fault_testing::number_from_env;
use oorandom::Rand32;
use rig::{Options, Sidecar};
use servers::Servers;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const SERVERS: usize = 3;
const CLIENTS: u64 = 12;
/// From the start of the clients to SIGTERM.
const MIN_RUN_MS: u32 = 2_000;
const MAX_RUN_MS: u32 = 4_000;
/// SIGKILL comes this much later: the longest deadline, which counts as 3 s at most, and 0.7 s.
const KILL_DELAY: Duration = Duration::from_millis(3_700);
/// New connections come for so long after SIGTERM.
const CONNECTING_AFTER_TERMINATION: Duration = Duration::from_millis(300);
/// A process is held up for so long at most.
const MAX_STOP_MS: u32 = 140;

/// What one round is made of.
#[derive(Debug)]
struct Round {
    seed: u64,
    memory_mb: usize,
    /// Clients that stop within a request and stay.
    crowd: usize,
    run: Duration,
    signals: Vec<TimedSignal>,
}

/// A signal, and when it is sent.
#[derive(Debug)]
struct TimedSignal {
    at: Duration,
    signal: Signal,
}

#[derive(Clone, Copy, Debug)]
enum Signal {
    /// SIGHUP.
    Reload,
    /// SIGSTOP, and SIGCONT after this time.
    Stop(Duration),
}

impl Round {
    fn draw(seed: u64) -> Self {
        let mut random = Rand32::new(seed);
        let run_ms = random.rand_range(MIN_RUN_MS..MAX_RUN_MS);
        let memory_mb = [32, 64, 192][random.rand_range(0..3) as usize];
        let crowd = [0, 0, 100, 300][random.rand_range(0..4) as usize];
        let mut signals: Vec<TimedSignal> = (0..random.rand_range(0..6))
            .map(|_| {
                let at = Duration::from_millis(u64::from(random.rand_range(200..run_ms)));
                let stop = Duration::from_millis(u64::from(random.rand_range(20..MAX_STOP_MS)));
                let signal = [Signal::Reload, Signal::Stop(stop)][random.rand_range(0..2) as usize];
                TimedSignal { at, signal }
            })
            .collect();
        signals.sort_by_key(|signal| signal.at);
        Round {
            seed,
            memory_mb,
            crowd,
            run: Duration::from_millis(u64::from(run_ms)),
            signals,
        }
    }

    /// Plays the round, and returns what is wrong with it.
    fn play(&self) -> Vec<String> {
        let servers = Servers::start(SERVERS, self.seed);
        let options = Options {
            memory_mb: self.memory_mb,
            ..Options::default()
        };
        let mut sidecar = Sidecar::with(&servers.addresses, options);
        let address = sidecar.address;
        let may_connect = Arc::new(AtomicBool::new(true));
        let started_at = Instant::now();
        let crowd = Crowd::start(address, self.crowd, self.seed);
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| {
                let client = Client::new(address, self.seed, number, Arc::clone(&may_connect));
                std::thread::spawn(move || client.run())
            })
            .collect();
        for TimedSignal { at, signal } in &self.signals {
            std::thread::sleep(at.saturating_sub(started_at.elapsed()));
            match signal {
                Signal::Reload => sidecar.signal("HUP"),
                Signal::Stop(duration) => {
                    sidecar.signal("STOP");
                    std::thread::sleep(*duration);
                    sidecar.signal("CONT");
                }
            }
        }
        std::thread::sleep(self.run.saturating_sub(started_at.elapsed()));
        let mut wrong = Vec::new();
        if let Ok(Some(status)) = sidecar.child.try_wait() {
            wrong.push(format!("the process ended by itself: {status}"));
            return wrong;
        }
        let terminated_at = Instant::now();
        sidecar.signal("TERM");
        std::thread::sleep(CONNECTING_AFTER_TERMINATION);
        may_connect.store(false, Ordering::Relaxed);
        while terminated_at.elapsed() < KILL_DELAY && !has_ended(&mut sidecar) {
            std::thread::sleep(Duration::from_millis(5));
        }
        let _ = sidecar.child.kill();
        let status = sidecar.child.wait().expect("it has ended");
        if !status.success() && terminated_at.elapsed() < KILL_DELAY {
            wrong.push(format!("it ended with {status}"));
        }
        let asked: Vec<Asked> = clients
            .into_iter()
            .flat_map(|client| client.join().expect("it ends"))
            .collect();
        drop(crowd);
        wrong.extend(judge::judge(&asked, &servers.stop(), terminated_at));
        println!("{self:?}: {}", judge::summary(&asked));
        wrong
    }
}

fn has_ended(sidecar: &mut Sidecar) -> bool {
    sidecar
        .child
        .try_wait()
        .is_ok_and(|status| status.is_some())
}

#[test]
fn clients_lose_nothing_beside_bad_servers_signals_and_crowds_until_the_kill() {
    const DEFAULT_SEEDS: u64 = 8;
    let first = number_from_env("MADDERLOOM_SEED", 1);
    let mut failed = Vec::new();
    for seed in first..first + number_from_env("MADDERLOOM_SEEDS", DEFAULT_SEEDS) {
        let wrong = Round::draw(seed).play();
        if !wrong.is_empty() {
            println!("seed {seed}: {wrong:#?}");
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "seeds that failed: {failed:?}");
}
