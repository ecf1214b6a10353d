//! The results of a rig: a file for each run, in JSON.

use super::protocol::{Manner, Totals};
use super::steps::Step;
use super::usage::{Allowed, Usage};
use crate::results::{own_build, write_whole};
use madderloom_agent::traffic::Traffic;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;

/// The format of the files that this build reads and writes.
pub const FORMAT: u32 = 1;

/// One run: a fleet of one size, taken through steps.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunRecord {
    /// The file's format, [`FORMAT`].
    pub format: u32,
    /// The version that ran.
    pub version: String,
    /// A hash of the program that ran.
    pub build: String,
    /// How it was built: `release`, `debug`, or as `--built` says.
    pub built: String,
    /// The agent: a program of its own, or the one that is built into the lab.
    pub agent: String,
    /// Hollow instances.
    pub instances: usize,
    /// What they are like.
    pub manner: Manner,
    /// How often they report, in milliseconds.
    pub report_ms: u64,
    /// Registrations that the agent lets in a second.
    pub registrations: u32,
    /// Relays between the instances and the agent, one for each zone; none where the instances are at the agent itself.
    #[serde(default)]
    pub relays: usize,
    /// What the machine allows.
    pub allowed: Allowed,
    /// The machine's load average over a minute at the beginning: what others ran beside it.
    pub load: f64,
    /// The steps, in order.
    pub steps: Vec<StepRecord>,
}

/// What one step came to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StepRecord {
    /// Which step.
    pub step: Step,
    /// Instances that it is about.
    pub about: usize,
    /// How long it was looked at, in seconds.
    pub seconds: f64,
    /// At the agent.
    pub agent: Work,
    /// At the instances, all together.
    pub instances: Work,
    /// At the relays, all together: processor time, memory and descriptors.
    #[serde(default)]
    pub relays: Work,
    /// Times that it took, by what they are of.
    pub times: BTreeMap<String, Times>,
    /// Counts of what happened, by name.
    pub counts: BTreeMap<String, u64>,
    /// Why it could not be done.
    pub problem: Option<String>,
}

/// What one side did within a step, and what it held at the step's end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Work {
    /// Bytes read, TLS included.
    pub bytes_in: u64,
    /// Bytes written, TLS included.
    pub bytes_out: u64,
    /// Messages that came.
    pub messages_in: u64,
    /// Messages that went.
    pub messages_out: u64,
    /// Connections that were opened.
    pub opened: u64,
    /// Seconds of processor time.
    pub cpu_seconds: f64,
    /// Open connections at the end.
    pub connections: u64,
    /// Resident bytes at the end.
    pub memory: u64,
    /// Open descriptors at the end.
    pub descriptors: u64,
}

impl Work {
    /// What was done between two looks.
    pub fn between(begin: &Totals, end: &Totals) -> Self {
        let (from, to): (&Traffic, &Traffic) = (&begin.traffic, &end.traffic);
        let (used, uses): (&Usage, &Usage) = (&begin.usage, &end.usage);
        let gained = |from: u64, to: u64| to.saturating_sub(from);
        // Hundredths of a second: digits beyond these come of the subtraction.
        let cpu = ((uses.cpu_seconds - used.cpu_seconds).max(0.0) * 100.0).round() / 100.0;
        Work {
            bytes_in: gained(from.bytes_in, to.bytes_in),
            bytes_out: gained(from.bytes_out, to.bytes_out),
            messages_in: gained(from.messages_in, to.messages_in),
            messages_out: gained(from.messages_out, to.messages_out),
            opened: gained(from.opened, to.opened),
            cpu_seconds: cpu,
            connections: to.connections,
            memory: uses.memory,
            descriptors: uses.descriptors,
        }
    }

    /// Bytes in both directions.
    pub fn bytes(&self) -> u64 {
        self.bytes_in + self.bytes_out
    }
}

/// How long something took for each of many, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Times {
    /// For how many it is known.
    pub count: usize,
    /// Those for which it never happened while it was looked at.
    pub missing: usize,
    /// Half of them took no longer.
    pub median_ms: f64,
    /// 99 in 100 took no longer.
    pub p99_ms: f64,
    /// The last one took so long.
    pub last_ms: f64,
}

impl Times {
    /// Of these moments, counted from `begin`, both in nanoseconds; `wanted` is how many there should be.
    pub fn since(begin: u64, mut moments: Vec<u64>, wanted: usize) -> Self {
        moments.sort_unstable();
        let at = |part: f64| {
            let rank = (part * moments.len() as f64).ceil().max(1.0) as usize - 1;
            let moment = moments.get(rank).copied().unwrap_or(begin);
            (moment.saturating_sub(begin) as f64 / 1e4).round() / 100.0
        };
        Times {
            count: moments.len(),
            missing: wanted.saturating_sub(moments.len()),
            median_ms: at(0.5),
            p99_ms: at(0.99),
            last_ms: at(1.0),
        }
    }
}

impl RunRecord {
    /// The step of this kind, where it was done.
    pub fn step(&self, step: Step) -> Option<&StepRecord> {
        self.steps
            .iter()
            .find(|record| record.step == step && record.problem.is_none())
    }

    /// Writes it to a file.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn write(&self, file: &Path) -> Result<(), String> {
        write_json(file, self)
    }

    /// Reads a file.
    ///
    /// # Errors
    /// It can't be read, or is none of this format.
    pub fn read(file: &Path) -> Result<Self, String> {
        let place = file.display();
        let text = std::fs::read(file).map_err(|e| format!("{place}: {e}"))?;
        let record: RunRecord =
            serde_json::from_slice(&text).map_err(|e| format!("{place}: {e}"))?;
        if record.format != FORMAT {
            return Err(format!(
                "{place}: has format {}, but this build reads {FORMAT}",
                record.format
            ));
        }
        Ok(record)
    }
}

/// Writes something to a file in JSON, whole or not at all.
///
/// # Errors
/// The file can't be written.
pub fn write_json(file: &Path, value: &impl Serialize) -> Result<(), String> {
    let mut text = serde_json::to_vec_pretty(value).map_err(|e| e.to_string())?;
    text.push(b'\n');
    write_whole(file, &text)
}

/// The hash of the program that runs, and how it was built.
///
/// # Errors
/// The program's file can't be read.
pub fn build(built: Option<&str>) -> Result<(String, String), String> {
    let usual = if cfg!(debug_assertions) {
        "debug"
    } else {
        "release"
    };
    Ok((own_build()?, built.unwrap_or(usual).to_string()))
}
