//! Processes that the test has started.

use crate::{POLL_INTERVAL, WAIT_TIMEOUT, lock};
use rustix::process::{Pid, kill_process};
use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Instant;

pub use rustix::process::Signal;

/// The most processes of one rig at a time.
pub const MAX_PROGRAMS: usize = 600;

static RUNNING: AtomicUsize = AtomicUsize::new(0);

/// What starts the program that `MADDERLOOM_BINARY` names, a release build for figures, or else this one.
pub fn program_command(program: &str) -> Command {
    Command::new(std::env::var_os("MADDERLOOM_BINARY").unwrap_or_else(|| program.into()))
}

/// A process, and what it logs. It is killed when this is dropped, stopped or not.
pub struct Program {
    /// The process.
    pub child: Child,
    log: Arc<Mutex<Vec<String>>>,
    reader: JoinHandle<()>,
}

impl Program {
    /// Starts it; its standard error is read by the rig.
    ///
    /// # Panics
    /// It can't be started, or [`MAX_PROGRAMS`] run already.
    pub fn start(mut command: Command) -> Self {
        let running = RUNNING.fetch_add(1, Ordering::Relaxed);
        assert!(running < MAX_PROGRAMS, "{running} programs run already");
        let mut child = command.stderr(Stdio::piped()).spawn().expect("it starts");
        let lines = BufReader::new(child.stderr.take().expect("piped")).lines();
        let log: Arc<Mutex<Vec<String>>> = Arc::default();
        let kept = Arc::clone(&log);
        let reader = std::thread::spawn(move || {
            lines
                .map_while(Result::ok)
                .for_each(|line| lock(&kept).push(line))
        });
        Program { child, log, reader }
    }

    /// What it has logged so far.
    pub fn log(&self) -> Vec<String> {
        lock(&self.log).clone()
    }

    /// Waits for a line of the log that holds this.
    ///
    /// # Panics
    /// It never came, or not before the log ended with the process; the end of the log is told.
    pub fn wait_for(&self, text: &str) -> String {
        let waits = Instant::now();
        loop {
            // Asked before the look: what is logged goes before the log's end.
            let ended = self.reader.is_finished();
            let log = self.log();
            if let Some(line) = log.iter().find(|line| line.contains(text)) {
                return line.clone();
            }
            let end = &log[log.len().saturating_sub(3)..];
            assert!(
                !ended && waits.elapsed() < WAIT_TIMEOUT,
                "never: {text} in the log, which ends with {end:#?}"
            );
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        kill_process(pid.expect("a process"), signal).expect("it runs");
    }

    /// Ends it without a word.
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
