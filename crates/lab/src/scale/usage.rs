//! What a process uses, as the system counts it, and what the system allows.

use rustix::process::{Resource, getrlimit};
use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use std::ops::AddAssign;

/// Ticks of `/proc/PID/stat` in a second.
const TICKS: f64 = 100.0;

/// What a process has used, and what it holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Seconds of processor time so far, of threads that have ended too; counted in hundredths.
    pub cpu_seconds: f64,
    /// Resident bytes now.
    pub memory: u64,
    /// Open descriptors now.
    pub descriptors: u64,
}

impl AddAssign for Usage {
    fn add_assign(&mut self, other: Usage) {
        self.cpu_seconds += other.cpu_seconds;
        self.memory += other.memory;
        self.descriptors += other.descriptors;
    }
}

/// What a process uses; nothing once it has ended.
pub fn of(pid: u32) -> Usage {
    let read =
        |file: &str| std::fs::read_to_string(format!("/proc/{pid}/{file}")).unwrap_or_default();
    let stat = read("stat");
    // The name in parentheses may hold spaces; user and system time are the 12th and 13th field behind it.
    let fields = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace();
    let ticks: f64 = fields
        .skip(11)
        .take(2)
        .filter_map(|ticks| ticks.parse::<f64>().ok())
        .sum();
    let status = read("status");
    let memory = kilobytes(&status, "VmRSS:") * 1_024;
    let descriptors =
        std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |all| all.count() as u64);
    Usage {
        cpu_seconds: ticks / TICKS,
        memory,
        descriptors,
    }
}

fn kilobytes(text: &str, field: &str) -> u64 {
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(field))
        .unwrap_or_default();
    line.split_whitespace()
        .next()
        .and_then(|number| number.parse().ok())
        .unwrap_or(0)
}

/// Nanoseconds by a clock that all processes of the machine share.
pub fn now() -> u64 {
    let time = clock_gettime(ClockId::Monotonic);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    seconds
        .saturating_mul(1_000_000_000)
        .saturating_add(u64::try_from(time.tv_nsec).unwrap_or(0))
}

/// What the system allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allowed {
    /// Open descriptors of one process.
    pub descriptors: u64,
    /// Bytes of memory of the machine.
    pub memory: u64,
    /// Cores.
    pub cores: usize,
}

impl Allowed {
    /// What this system allows this process, and those that it starts.
    pub fn here() -> Self {
        let memory = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
        Allowed {
            descriptors: getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX),
            memory: kilobytes(&memory, "MemTotal:") * 1_024,
            cores: std::thread::available_parallelism().map_or(1, usize::from),
        }
    }
}
