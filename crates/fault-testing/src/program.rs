//! Processes started by a test.

use crate::{POLL_INTERVAL, WAIT_TIMEOUT, lock};
use rustix::process::{Pid, kill_process};
use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Instant;

pub use rustix::process::Signal;

/// Maximum number of running processes per test process.
pub const MAX_PROGRAMS: usize = 600;

static RUNNING: AtomicUsize = AtomicUsize::new(0);

/// Command for the program that `MADDERLOOM_BINARY` names, such as a release build for measurements, or else this one.
pub fn program_command(program: &str) -> Command {
    Command::new(std::env::var_os("MADDERLOOM_BINARY").unwrap_or_else(|| program.into()))
}

/// A process and its log. It is killed when this is dropped, even if it is stopped by a signal.
pub struct Program {
    /// The process.
    pub child: Child,
    log: Arc<Mutex<Vec<String>>>,
    reader: JoinHandle<()>,
}

impl Program {
    /// Starts a process whose standard error is collected as its log.
    ///
    /// # Panics
    /// If it cannot be started, or if [`MAX_PROGRAMS`] are running already.
    pub fn start(mut command: Command) -> Self {
        let running = RUNNING.fetch_add(1, Ordering::Relaxed);
        assert!(
            running < MAX_PROGRAMS,
            "{running} programs are running already"
        );
        let mut child = command
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let lines = BufReader::new(child.stderr.take().expect("piped")).lines();
        let log: Arc<Mutex<Vec<String>>> = Arc::default();
        let reader_log = Arc::clone(&log);
        let reader = std::thread::spawn(move || {
            lines
                .map_while(Result::ok)
                .for_each(|line| lock(&reader_log).push(line))
        });
        Program { child, log, reader }
    }

    /// The lines logged so far.
    pub fn log(&self) -> Vec<String> {
        lock(&self.log).clone()
    }

    /// Waits for a log line that contains this text.
    ///
    /// # Panics
    /// If the wait times out, or the log ends with the process first; the message contains the end of the log.
    pub fn wait_for(&self, text: &str) -> String {
        let started_at = Instant::now();
        loop {
            // Read before the log, so that a finished reader implies a complete log.
            let ended = self.reader.is_finished();
            let log = self.log();
            if let Some(line) = log.iter().find(|line| line.contains(text)) {
                return line.clone();
            }
            let end = &log[log.len().saturating_sub(3)..];
            assert!(
                !ended && started_at.elapsed() < WAIT_TIMEOUT,
                "timed out waiting for {text} in the log, which ends with {end:#?}"
            );
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Sends the process a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        kill_process(pid.expect("a process id"), signal).expect("the process is running");
    }

    /// Kills the process (SIGKILL) and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
        RUNNING.fetch_sub(1, Ordering::Relaxed);
    }
}
