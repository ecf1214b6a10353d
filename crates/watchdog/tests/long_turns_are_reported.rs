//! A turn that holds the event loop for too long is reported with its task, while it lasts and once it has ended, and
//! counted once.
//!
//! Nothing here waits for a time and hopes: a task goes on until the report is there, or has used what it is to use.

use madderloom_watchdog::{self as watchdog, CHECK_INTERVAL, LONG_POLL, LongPollCounts, TaskKind};
use rustix::time::{ClockId, clock_gettime};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, Once, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::{JoinHandle, LocalSet, yield_now};

/// Whatever has not happened by then never will.
const PATIENCE: Duration = Duration::from_secs(60);

/// The log of all tests of this file.
static LOG: Mutex<Vec<u8>> = Mutex::new(Vec::new());

/// The processor time of the process is measured, so one test runs at a time.
static ALONE: Mutex<()> = Mutex::new(());

struct Log;

impl Write for Log {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        LOG.lock()
            .unwrap_or_else(PoisonError::into_inner)
            .extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// The lines that hold this text.
fn logged(text: &str) -> Vec<String> {
    let log = LOG.lock().unwrap_or_else(PoisonError::into_inner);
    String::from_utf8_lossy(&log)
        .lines()
        .filter(|line| line.contains(text))
        .map(str::to_string)
        .collect()
}

/// The number behind this in a line.
fn field(line: &str, name: &str) -> u64 {
    let number = line.split_once(name).map_or("", |(_, rest)| rest);
    number
        .split(' ')
        .next()
        .unwrap_or_default()
        .parse()
        .unwrap_or_else(|_| panic!("no {name} in {line}"))
}

/// Runs a test's tasks on a loop of their own that is watched.
fn watched<T>(test: impl Future<Output = T>) -> T {
    static LOGGED: Once = Once::new();
    LOGGED.call_once(|| {
        tracing_subscriber::fmt()
            .with_writer(|| Log)
            .with_ansi(false)
            .init()
    });
    let _alone: MutexGuard<()> = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .expect("a runtime");
    let _watchdog = watchdog::start();
    LocalSet::new().block_on(&runtime, test)
}

/// Holds the thread until something holds. It uses the processor all the time.
fn spin_until(what: &str, mut holds: impl FnMut() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < PATIENCE, "never: {what}");
        std::hint::spin_loop();
    }
}

/// Processor time of the process.
fn processor() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Holds the thread until this processor time has been used, however little the machine has to give.
fn spin_for(span: Duration) {
    let began = processor();
    spin_until("the processor time", || processor() - began >= span);
}

async fn ends(task: JoinHandle<()>) {
    task.await.expect("it ends without a panic");
}

/// As the fault looked that this is for: one task spins and nothing else is ever served.
#[test]
fn a_turn_that_does_not_end_is_reported_while_it_lasts() {
    let counts = watched(async {
        let peer = SocketAddr::from(([127, 0, 0, 1], 4_711));
        let task = watchdog::spawn(TaskKind::ClientConnection.for_peer(peer), async {
            yield_now().await;
            spin_until("the report", || {
                !logged("event loop: held by client connection (peer port 4711) for").is_empty()
            });
            spin_for(LONG_POLL);
        });
        ends(task).await;
        watchdog::counts()
    });
    // Reported twice, and counted once: as what it was at the first look, when it may have had little of a busy machine.
    assert_eq!(counts.busy + counts.stalled, 1, "{counts:?}");
    let held = logged("held by client connection (peer port 4711)");
    let ended = logged("a turn of client connection (peer port 4711) took");
    assert_eq!((held.len(), ended.len()), (1, 1), "{held:?} {ended:?}");
    for line in held.iter().chain(&ended) {
        let fields = [
            "WARN",
            "task=client connection (peer port 4711)",
            "cause=",
            "elapsed_ms=",
            "processor_ms=",
        ];
        assert!(fields.iter().all(|field| line.contains(field)), "{line}");
    }
    assert!(
        ended[0].contains("cause=Busy") && ended[0].contains("it used the processor"),
        "{ended:?}"
    );
}

/// Reported again when it has lasted twice as long: not at each look.
#[test]
fn a_turn_that_goes_on_is_reported_again_ever_more_seldom() {
    let counts = watched(async {
        let task = watchdog::spawn(TaskKind::DiscoveryWatch, async {
            spin_until("three reports", || {
                logged("held by discovery watch for").len() == 3
            });
        });
        ends(task).await;
        watchdog::counts()
    });
    assert_eq!(counts.busy + counts.stalled, 1, "{counts:?}");
    let lines = logged("held by discovery watch for");
    let elapsed: Vec<u64> = lines
        .iter()
        .map(|line| field(line, "elapsed_ms="))
        .collect();
    assert!(
        elapsed.windows(2).all(|pair| pair[1] >= 2 * pair[0]),
        "{elapsed:?}"
    );
}

#[test]
fn a_long_turn_that_ends_between_two_looks_is_reported_with_its_task() {
    let counts = watched(async {
        ends(watchdog::spawn(TaskKind::Reload, async {
            spin_for(2 * LONG_POLL)
        }))
        .await;
        watchdog::counts()
    });
    assert_eq!(counts.busy + counts.stalled, 1, "{counts:?}");
    let told = logged("event loop: a turn of reload took");
    assert!(
        told.len() == 1 && told[0].contains("cause=Busy"),
        "{told:?}"
    );
}

/// As in a process that was stopped or got no processor: it is not taken for one that spins.
#[test]
fn a_turn_that_does_not_use_the_processor_is_told_apart_from_one_that_does() {
    let counts = watched(async {
        let task = watchdog::spawn(TaskKind::PersistedState, async {
            // Others' turns before it are no part of it, however much they used.
            for _ in 0..30 {
                spin_for(LONG_POLL / 10);
                yield_now().await;
            }
            std::thread::sleep(2 * LONG_POLL);
        });
        ends(task).await;
        watchdog::counts()
    });
    // A busy machine may have held up one of the short ones as well.
    assert!(counts.busy == 0 && counts.stalled >= 1, "{counts:?}");
    let told = logged("a turn of persisted state took");
    let told: Vec<_> = told
        .iter()
        .filter(|line| field(line, "elapsed_ms=") >= 200)
        .collect();
    assert!(
        !told.is_empty()
            && told[0].contains("cause=Stalled")
            && told[0].contains("or a call blocked"),
        "{told:?}"
    );
}

/// What was idle before a turn is no part of it, and neither is what others did.
#[test]
fn many_short_turns_and_long_waits_are_no_long_turn() {
    let counts = watched(async {
        let task = watchdog::spawn(TaskKind::DegradationLevels, async {
            for _ in 0..200 {
                spin_for(LONG_POLL / 100);
                yield_now().await;
            }
            tokio::time::sleep(2 * LONG_POLL).await;
        });
        ends(task).await;
        watchdog::counts()
    });
    // On a busy machine even a short one may get no processor for a while.
    assert_eq!(counts.busy, 0, "{:?}", logged("service levels"));
}

#[test]
fn a_task_that_panicked_is_not_reported_as_running() {
    watched(async {
        let task = watchdog::spawn(TaskKind::LoadProbe, async {
            panic!("as the test wants it")
        });
        assert!(task.await.is_err());
        tokio::time::sleep(2 * CHECK_INTERVAL + LONG_POLL).await;
    });
    assert_eq!(logged("held by load probe"), Vec::<String>::new());
}

#[test]
fn a_thread_without_a_watchdog_counts_nothing() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        assert_eq!(
            watchdog::spawn(TaskKind::Maintenance, async { 7 })
                .await
                .ok(),
            Some(7)
        );
    });
    assert_eq!(watchdog::counts(), LongPollCounts::default());
}
