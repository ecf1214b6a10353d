//! A poll that blocks the event loop for too long is reported with its task, both while it runs and after it ends, and is
//! counted once.
//!
//! The tests do not rely on fixed waits: a task runs until the report is logged or until it has used the required CPU time.

use madderloom_watchdog::{self as watchdog, CHECK_INTERVAL, LONG_POLL, LongPollCounts, TaskKind};
use rustix::time::{ClockId, clock_gettime};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, Once, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::{JoinHandle, LocalSet, yield_now};

/// Timeout after which a test fails.
const TIMEOUT: Duration = Duration::from_secs(60);

/// The log of all tests in this file.
static LOG: Mutex<Vec<u8>> = Mutex::new(Vec::new());

/// Serializes the tests, because they measure the CPU time of the whole process.
static TEST_LOCK: Mutex<()> = Mutex::new(());

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

/// The logged lines that contain this text.
fn logged(text: &str) -> Vec<String> {
    let log = LOG.lock().unwrap_or_else(PoisonError::into_inner);
    String::from_utf8_lossy(&log)
        .lines()
        .filter(|line| line.contains(text))
        .map(str::to_string)
        .collect()
}

/// The number that follows this field name in a line.
fn field(line: &str, name: &str) -> u64 {
    let number = line.split_once(name).map_or("", |(_, rest)| rest);
    number
        .split(' ')
        .next()
        .unwrap_or_default()
        .parse()
        .unwrap_or_else(|_| panic!("no {name} in {line}"))
}

/// Runs a test's tasks on a watched event loop of their own.
fn run_watched<T>(test: impl Future<Output = T>) -> T {
    static LOGGER: Once = Once::new();
    LOGGER.call_once(|| {
        tracing_subscriber::fmt()
            .with_writer(|| Log)
            .with_ansi(false)
            .init()
    });
    let _test_lock: MutexGuard<()> = TEST_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .expect("the runtime starts");
    let _watchdog = watchdog::start();
    LocalSet::new().block_on(&runtime, test)
}

/// Blocks the thread, using the CPU, until the condition is true.
fn spin_until(awaited: &str, mut condition: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < TIMEOUT, "timed out: {awaited}");
        std::hint::spin_loop();
    }
}

/// CPU time of the process.
fn cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Blocks the thread until the process has used this much CPU time, however busy the machine is.
fn spin_for(cpu: Duration) {
    let used_before = cpu_time();
    spin_until("the CPU time", || cpu_time() - used_before >= cpu);
}

async fn join(task: JoinHandle<()>) {
    task.await.expect("the task does not panic");
}

/// Guards against a task that spins and blocks every other task without a line in the log.
#[test]
fn a_poll_that_does_not_end_is_reported_while_it_runs() {
    let counts = run_watched(async {
        let peer = SocketAddr::from(([127, 0, 0, 1], 4_711));
        let task = watchdog::spawn(TaskKind::ClientConnection.for_peer(peer), async {
            yield_now().await;
            spin_until("the report", || {
                !logged("event loop: held by client connection (peer port 4711) for").is_empty()
            });
            spin_for(LONG_POLL);
        });
        join(task).await;
        watchdog::counts()
    });
    // Reported twice but counted once, with its cause at the first check, when a busy machine may have given it little CPU time.
    assert_eq!(counts.busy + counts.stalled, 1, "{counts:?}");
    let running = logged("held by client connection (peer port 4711)");
    let ended = logged("a turn of client connection (peer port 4711) took");
    assert_eq!(
        (running.len(), ended.len()),
        (1, 1),
        "{running:?} {ended:?}"
    );
    for line in running.iter().chain(&ended) {
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

/// A running poll is reported again when its duration has doubled, not at every check.
#[test]
fn a_running_poll_is_reported_again_each_time_its_duration_doubles() {
    let counts = run_watched(async {
        let task = watchdog::spawn(TaskKind::DiscoveryWatch, async {
            spin_until("three reports", || {
                logged("held by discovery watch for").len() == 3
            });
        });
        join(task).await;
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
fn a_long_poll_that_ends_between_two_checks_is_reported_with_its_task() {
    let counts = run_watched(async {
        join(watchdog::spawn(TaskKind::Reload, async {
            spin_for(2 * LONG_POLL)
        }))
        .await;
        watchdog::counts()
    });
    assert_eq!(counts.busy + counts.stalled, 1, "{counts:?}");
    let reports = logged("event loop: a turn of reload took");
    assert!(
        reports.len() == 1 && reports[0].contains("cause=Busy"),
        "{reports:?}"
    );
}

/// A process that was stopped or got no CPU time must not be reported as one that spins.
#[test]
fn a_poll_that_does_not_use_the_cpu_is_reported_as_stalled() {
    let counts = run_watched(async {
        let task = watchdog::spawn(TaskKind::PersistedState, async {
            // The CPU time of earlier polls must not be attributed to the long one.
            for _ in 0..30 {
                spin_for(LONG_POLL / 10);
                yield_now().await;
            }
            std::thread::sleep(2 * LONG_POLL);
        });
        join(task).await;
        watchdog::counts()
    });
    // On a busy machine one of the short polls may have stalled as well.
    assert!(counts.busy == 0 && counts.stalled >= 1, "{counts:?}");
    let reports = logged("a turn of persisted state took");
    let reports: Vec<_> = reports
        .iter()
        .filter(|line| field(line, "elapsed_ms=") >= 200)
        .collect();
    assert!(
        !reports.is_empty()
            && reports[0].contains("cause=Stalled")
            && reports[0].contains("or a call blocked"),
        "{reports:?}"
    );
}

/// Idle time before a poll and the time of other polls are not attributed to it.
#[test]
fn many_short_polls_and_long_waits_are_not_a_long_poll() {
    let counts = run_watched(async {
        let task = watchdog::spawn(TaskKind::DegradationLevels, async {
            for _ in 0..200 {
                spin_for(LONG_POLL / 100);
                yield_now().await;
            }
            tokio::time::sleep(2 * LONG_POLL).await;
        });
        join(task).await;
        watchdog::counts()
    });
    // On a busy machine even a short poll may get no CPU time for a while.
    assert_eq!(counts.busy, 0, "{:?}", logged("service levels"));
}

#[test]
fn a_task_that_panicked_is_not_reported_as_running() {
    run_watched(async {
        let task = watchdog::spawn(TaskKind::LoadProbe, async {
            panic!("panic of the test task")
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
        .expect("the runtime starts");
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
