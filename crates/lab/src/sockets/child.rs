//! Processes that a run starts: real sidecars, each with a configuration of its own. None outlives the lab: one that
//! is dropped is killed, and the system kills those of a lab that is killed itself.

use rustix::process::{Pid, Signal, kill_process};
use std::collections::VecDeque;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::os::unix::process::{CommandExt, ExitStatusExt};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// A process says where it listens within this time, or it has not started.
const START: Duration = Duration::from_secs(20);
/// Lines of its log that are kept for a report.
const KEPT_LINES: usize = 20;

/// A process that listens.
pub struct Process {
    /// What it is called in reports.
    pub name: String,
    child: Child,
    log: Arc<Mutex<VecDeque<String>>>,
    listening: Option<oneshot::Receiver<SocketAddr>>,
    /// It has been told to stop.
    stopping: bool,
}

/// What a process used, and how much memory it holds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Nanoseconds that its threads ran, in user mode and in the system.
    pub cpu: u64,
    /// Nanoseconds that they were ready to run and waited for a core.
    pub waited: u64,
    /// Resident bytes.
    pub memory: u64,
}

impl Process {
    /// Starts the lab itself with these arguments and this configuration, which is written to `dir`. To be called
    /// from a thread that lives for as long as the process is wanted: the system ends it with that thread.
    ///
    /// # Errors
    /// The file can't be written, or the process can't be started.
    pub fn start(
        name: &str,
        arguments: &[&str],
        binary: Option<&Path>,
        config: Option<(&Path, &str)>,
    ) -> Result<Self, String> {
        let say = |problem: std::io::Error| format!("{name}: {problem}");
        let mut command = Command::new(own_program().map_err(say)?);
        command
            .args(arguments)
            .arg("--parent")
            .arg(std::process::id().to_string());
        if let Some(binary) = binary {
            command.arg("--binary").arg(binary);
        }
        if let Some((dir, text)) = config {
            let path = dir.join(format!("{name}.json"));
            std::fs::write(&path, text).map_err(say)?;
            command.env("RELAY_CONFIG", path);
        }
        for variable in ["RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_NAME"] {
            command.env_remove(variable);
        }
        // In a group of its own, Ctrl-C reaches the lab alone, which then stops it in good order.
        command
            .process_group(0)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        let mut child = command.spawn().map_err(say)?;
        let log = Arc::new(Mutex::new(VecDeque::new()));
        let (listens, listening) = oneshot::channel();
        let (kept, mut listens) = (Arc::clone(&log), Some(listens));
        let errors = child.stderr.take();
        // Ends with the process, whose standard error it reads.
        std::thread::spawn(move || {
            for line in errors
                .into_iter()
                .flat_map(|e| BufReader::new(e).lines().map_while(Result::ok))
            {
                let address = line
                    .split_once("listening on ")
                    .and_then(|(_, at)| at.split_whitespace().next());
                let address = address.and_then(|at| at.parse().ok());
                if let Some(address) = address
                    && let Some(listens) = listens.take()
                {
                    // Nobody may wait for it any more.
                    let _ = listens.send(address);
                }
                let mut kept = kept
                    .lock()
                    .unwrap_or_else(std::sync::PoisonError::into_inner);
                kept.push_back(line);
                if kept.len() > KEPT_LINES {
                    kept.pop_front();
                }
            }
        });
        Ok(Process {
            name: name.into(),
            child,
            log,
            listening: Some(listening),
            stopping: false,
        })
    }

    /// Waits until it listens, and says where.
    ///
    /// # Errors
    /// It has ended, or has not said so in time; with the last line of its log.
    pub async fn listens(&mut self) -> Result<SocketAddr, String> {
        let listening = self
            .listening
            .take()
            .ok_or_else(|| format!("{}: asked before", self.name))?;
        match tokio::time::timeout(START, listening).await {
            Ok(Ok(address)) => Ok(address),
            _ => Err(format!("{} did not start: {}", self.name, self.last_line())),
        }
    }

    /// The last line of its log.
    pub fn last_line(&self) -> String {
        let log = self
            .log
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        log.back()
            .cloned()
            .unwrap_or_else(|| "it said nothing".into())
    }

    /// Its process number.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// How it has ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// How it has ended, in words; with the last line of its log.
    pub fn how_it_ended(&mut self) -> String {
        let how = self.ended().map_or_else(|| "has not ended".into(), say);
        format!("{how}: {}", self.last_line())
    }

    /// What it has used up to now; nothing once it has ended.
    pub fn usage(&self) -> Usage {
        usage(self.id()).unwrap_or_default()
    }

    /// Sends it a signal, if it is still there.
    pub fn signal(&mut self, signal: Signal) {
        let ended = self.ended().is_some();
        self.stopping |= signal == Signal::TERM && !ended;
        if !ended && let Some(pid) = i32::try_from(self.id()).ok().and_then(Pid::from_raw) {
            // It may end by itself just now.
            let _ = kill_process(pid, signal);
        }
    }

    /// Stops it as planned and waits for its end.
    ///
    /// # Errors
    /// It ended before, or otherwise than with 0, or not within `patience`.
    pub async fn stop(mut self, patience: Duration) -> Result<(), String> {
        if !self.stopping {
            if let Some(status) = self.ended() {
                return Err(format!(
                    "{} had ended before: {}: {}",
                    self.name,
                    say(status),
                    self.last_line()
                ));
            }
            self.signal(Signal::TERM);
        }
        let until = Instant::now() + patience;
        loop {
            match self.ended() {
                Some(status) if status.success() => return Ok(()),
                Some(status) => {
                    return Err(format!(
                        "{}: {}: {}",
                        self.name,
                        say(status),
                        self.last_line()
                    ));
                }
                None if Instant::now() >= until => {
                    return Err(format!("{} did not stop within {patience:?}", self.name));
                }
                None => tokio::time::sleep(Duration::from_millis(10)).await,
            }
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended; then there is nothing to kill, and its number is still its own until waited for.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn say(status: ExitStatus) -> String {
    match (status.code(), status.signal()) {
        (Some(code), _) => format!("ended with {code}"),
        (_, Some(signal)) => format!("killed by signal {signal}"),
        _ => "ended".into(),
    }
}

/// This program's file. A test finds it beside its own.
pub(crate) fn own_program() -> std::io::Result<std::path::PathBuf> {
    let own = std::env::current_exe()?;
    if own.file_stem().is_some_and(|stem| stem == "madderloom-lab") {
        return Ok(own);
    }
    // A test's program lies in `deps` beside the lab's.
    let beside = own
        .parent()
        .and_then(Path::parent)
        .map(|dir| dir.join("madderloom-lab"));
    beside
        .filter(|path| path.is_file())
        .ok_or_else(|| std::io::Error::other("there is no madderloom-lab"))
}

fn usage(pid: u32) -> Option<Usage> {
    // Nanoseconds, where the ticks of `stat` are hundredths of a second.
    let tasks = std::fs::read_dir(format!("/proc/{pid}/task")).ok()?;
    let mut usage = Usage::default();
    for text in
        tasks.filter_map(|task| std::fs::read_to_string(task.ok()?.path().join("schedstat")).ok())
    {
        let mut numbers = text
            .split_whitespace()
            .map_while(|number| number.parse::<u64>().ok());
        usage.cpu += numbers.next().unwrap_or(0);
        usage.waited += numbers.next().unwrap_or(0);
    }
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let memory = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .unwrap_or_default();
    let memory = memory
        .split_whitespace()
        .next()
        .and_then(|kb| kb.parse::<u64>().ok())
        .unwrap_or(0);
    Some(Usage {
        memory: memory * 1024,
        ..usage
    })
}
