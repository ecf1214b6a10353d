//! Runs by a bounded number of workers, each run in a process of its own.
//!
//! A run is played by a child: this program again, with the subcommand `one-run`. So a policy that panics, overflows its
//! stack or eats all memory ends its own run alone in any build profile (the release profile aborts where it panics),
//! and what a run holds of memory goes with it. The child is handed its job by standard input, which stays open as long
//! as the run is wanted: its end is the end of the child, so that none is left behind however the parent ends. The
//! child's standard output tells by lines how far it is, and at last the record.

use crate::experiment::{Arm, Experiment};
use crate::play::{self, Driver};
use crate::record::Run;
use madderloom_config_reader::Span;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::ops::ControlFlow;
use std::os::unix::process::{CommandExt, ExitStatusExt};
use std::path::PathBuf;
use std::process::{Child, ChildStdin, Command, ExitStatus, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The hidden subcommand that plays one run.
pub const ONE_RUN: &str = "one-run";

/// What a child is told.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Job {
    /// The experiment's text.
    pub text: String,
    /// The folder in which its file lies: recorded arrivals are beside it.
    pub beside: PathBuf,
    /// The arm.
    pub arm: String,
    /// The seed.
    pub seed: u64,
    /// The driver.
    pub driver: Driver,
}

/// A line of a child.
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
enum Line {
    /// It has come so far.
    At(Span),
    /// The record, its last word.
    Run(Box<Run>),
}

/// What a panic leaves on a child's standard error begins with this.
const PANIC: &str = "panic: ";

/// Bytes of a child's standard error that are kept.
const KEPT: u64 = 4_096;

/// Plays the job that is read from standard input, as a child. Ends with the parent.
///
/// # Errors
/// The job makes no sense, or the parent has gone.
pub fn one_run() -> Result<(), String> {
    std::panic::set_hook(Box::new(|panic| {
        let place = panic
            .location()
            .map(|at| format!(" at {}:{}", at.file(), at.line()))
            .unwrap_or_default();
        let payload = panic.payload();
        let said = payload
            .downcast_ref::<&str>()
            .copied()
            .or(payload.downcast_ref::<String>().map(String::as_str));
        let said = said.unwrap_or("a panic without words").replace('\n', "; ");
        let _ = writeln!(std::io::stderr(), "{PANIC}{said}{place}");
    }));
    let mut input = BufReader::new(std::io::stdin());
    let mut line = String::new();
    input
        .read_line(&mut line)
        .map_err(|e| format!("the job: {e}"))?;
    let job: Job = serde_json::from_str(&line).map_err(|e| format!("the job: {e}"))?;
    std::thread::spawn(move || {
        // The parent holds its end open and never writes again.
        let _ = input.read(&mut [0]);
        std::process::exit(1);
    });
    let mut experiment =
        Experiment::read(&job.text).map_err(|_| "the experiment makes no sense".to_string())?;
    play::with_files(&mut experiment, &job.beside)?;
    let arm = experiment.arms.iter().find(|arm| arm.name == job.arm);
    let arm = arm.ok_or_else(|| format!("there is no arm {:?}", job.arm))?;
    let tell = |line: &Line| -> Result<(), String> {
        let text = serde_json::to_string(line).map_err(|e| e.to_string())?;
        let mut out = std::io::stdout().lock();
        writeln!(out, "{text}")
            .and_then(|()| out.flush())
            .map_err(|e| format!("the parent has gone: {e}"))
    };
    let watch = |at: Span| match tell(&Line::At(at)) {
        Ok(()) => ControlFlow::Continue(()),
        Err(_) => ControlFlow::Break(()),
    };
    let run = play::play(&experiment, arm, job.seed, job.driver, &watch);
    tell(&Line::Run(Box::new(run)))
}

/// Runs that can all be broken off at once.
#[derive(Default)]
pub struct Runs {
    wanted: Mutex<Wanted>,
}

#[derive(Default)]
struct Wanted {
    broken_off: bool,
    /// The standard inputs of the children that play now, by the places of their jobs.
    open: BTreeMap<usize, ChildStdin>,
}

impl Runs {
    /// Ends all runs that go on, and begins no more.
    pub fn break_off(&self) {
        let mut wanted = self.lock();
        wanted.broken_off = true;
        wanted.open.clear();
    }

    /// Whether they were broken off.
    pub fn broken_off(&self) -> bool {
        self.lock().broken_off
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Wanted> {
        self.wanted
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Plays these jobs, `workers` at a time at most. `at` is told how far the job of a place has come, `done` its
    /// record; runs that were broken off have none.
    pub fn play(
        &self,
        experiment: &Experiment,
        jobs: &[Job],
        workers: usize,
        at: impl Fn(usize, Span) + Sync,
        done: impl Fn(usize, Run) + Sync,
    ) {
        let next = AtomicUsize::new(0);
        std::thread::scope(|scope| {
            for _ in 0..workers.clamp(1, jobs.len().max(1)) {
                scope.spawn(|| {
                    loop {
                        let place = next.fetch_add(1, Ordering::Relaxed);
                        let Some(job) = jobs.get(place).filter(|_| !self.broken_off()) else {
                            break;
                        };
                        let Some(arm) = experiment.arms.iter().find(|arm| arm.name == job.arm)
                        else {
                            continue;
                        };
                        if let Some(run) = self.one(experiment, arm, place, job, &at) {
                            done(place, run);
                        }
                    }
                });
            }
        });
    }

    /// Plays a job in a child. None where it was broken off.
    fn one(
        &self,
        e: &Experiment,
        arm: &Arm,
        place: usize,
        job: &Job,
        at: &impl Fn(usize, Span),
    ) -> Option<Run> {
        let ended = self.child(place, job, at);
        let was_wanted = self.lock().open.remove(&place).is_some();
        match ended {
            Ok(run) => Some(run),
            Err(_) if self.broken_off() && !was_wanted => None,
            Err(why) => Some(play::void(e, arm, job.seed, job.driver, why)),
        }
    }

    /// The record of a job, or why its child gave none.
    fn child(&self, place: usize, job: &Job, at: &impl Fn(usize, Span)) -> Result<Run, String> {
        let program = std::env::current_exe().map_err(|e| format!("the lab's own program: {e}"))?;
        let mut child = Command::new(program)
            .arg(ONE_RUN)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            // Ctrl-C reaches the whole foreground group; a child is to end when it is told to by its input alone.
            .process_group(0)
            .spawn()
            .map_err(|e| format!("its process did not start: {e}"))?;
        let said = self.listen(&mut child, place, job, at);
        let status = child.wait().map_err(|e| format!("its process: {e}"))?;
        let (run, complaint) = said?;
        run.ok_or_else(|| why_ended(status, &complaint))
    }

    /// Hands a child its job and hears it to its end: its record, if it gave one, and its standard error.
    fn listen(
        &self,
        child: &mut Child,
        place: usize,
        job: &Job,
        at: &impl Fn(usize, Span),
    ) -> Result<(Option<Run>, String), String> {
        let (Some(mut input), Some(output), Some(mut errors)) =
            (child.stdin.take(), child.stdout.take(), child.stderr.take())
        else {
            return Err("its process has no pipes".into());
        };
        let complaint = std::thread::spawn(move || {
            let mut kept = Vec::new();
            let _ = Read::by_ref(&mut errors).take(KEPT).read_to_end(&mut kept);
            // What is not kept is read all the same: a full pipe would hold the child up.
            let _ = std::io::copy(&mut errors, &mut std::io::sink());
            String::from_utf8_lossy(&kept).into_owned()
        });
        let handed = serde_json::to_string(job)
            .map_err(|e| e.to_string())
            .and_then(|text| writeln!(input, "{text}").map_err(|e| e.to_string()));
        {
            let mut wanted = self.lock();
            // Broken off meanwhile: the input closes here, and the child ends.
            if !wanted.broken_off && handed.is_ok() {
                wanted.open.insert(place, input);
            }
        }
        let mut run = None;
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            match serde_json::from_str(&line) {
                Ok(Line::At(span)) => at(place, span),
                Ok(Line::Run(record)) => run = Some(*record),
                Err(_) => {}
            }
        }
        let complaint = complaint.join().unwrap_or_default();
        Ok((run, complaint))
    }
}

/// Why a child gave no record, in a line.
fn why_ended(status: ExitStatus, complaint: &str) -> String {
    if let Some(panic) = complaint.lines().find_map(|line| line.strip_prefix(PANIC)) {
        return format!("its policy panicked: {panic}");
    }
    let last = complaint
        .lines()
        .rfind(|line| !line.trim().is_empty())
        .unwrap_or("without a word")
        .trim();
    match status.signal() {
        Some(signal) => format!("its process was ended by signal {signal}: {last}"),
        None => format!(
            "its process ended with {}: {last}",
            status.code().unwrap_or(-1)
        ),
    }
}
