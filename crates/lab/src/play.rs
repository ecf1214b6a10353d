//! One run: an arm with a seed, by one of the drivers.

use crate::experiment::{Arm, Experiment};
use crate::leveled;
use crate::model::clients::read_arrivals;
use crate::policy::{self, Maker, Policy, Start};
use crate::record::Run;
use crate::rivals::{self, figures::Figures};
use crate::sockets;
use crate::virtual_time::{self, Watch};
use madderloom_balancer::{Action, Event, Micros};
use madderloom_config_reader::Span;
use madderloom_endpoint_history::Recording;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::path::Path;
use std::sync::Arc;

/// What plays the models.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize, clap::ValueEnum)]
#[serde(rename_all = "snake_case")]
pub enum Driver {
    /// Discrete events in virtual time, the policy in the process
    Virtual,
    /// Real processes on loopback, in real time
    Sockets,
}

impl fmt::Display for Driver {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Driver::Virtual => "virtual",
            Driver::Sockets => "sockets",
        })
    }
}

/// The policy that fails on purpose: it shows that an arm which panics ends its own run alone.
pub const PANICS: &str = "panics";

/// After so many requests of an instance it does, where its figure `after` does not say otherwise.
const PANICS_AFTER: f64 = 100.0;

/// The policies that an arm may name, each with what it is in a line.
pub fn policies() -> impl Iterator<Item = (&'static str, &'static str)> + Clone {
    rivals::KNOWN.iter().copied().chain([(
        PANICS,
        "`madderloom` until it panics, on purpose: to see the lab survive",
    )])
}

/// Whether an arm's policy takes its figures.
///
/// # Errors
/// In one line, what is wrong with them.
pub fn check_figures(arm: &Arm) -> Result<(), String> {
    if arm.policy != PANICS {
        return rivals::check(&arm.policy, &arm.with);
    }
    let mut figures = Figures::new(PANICS, &arm.with);
    figures.take("after", PANICS_AFTER, 0.0..=1e9);
    figures.end()
}

/// Plays an arm with a seed.
pub fn play(
    experiment: &Experiment,
    arm: &Arm,
    seed: u64,
    driver: Driver,
    watch: Watch<'_>,
) -> Run {
    match driver {
        Driver::Virtual => virtual_time::run(
            experiment,
            arm,
            seed,
            &|start| make(experiment, arm, start),
            watch,
        ),
        Driver::Sockets => sockets::run(experiment, arm, seed, watch),
    }
}

/// The record of a run that counts for nothing.
pub fn void(experiment: &Experiment, arm: &Arm, seed: u64, driver: Driver, why: String) -> Run {
    Run {
        experiment: experiment.name.clone(),
        arm: arm.name.clone(),
        seed,
        driver: driver.to_string(),
        void: Some(why),
        ..Run::default()
    }
}

fn make(experiment: &Experiment, arm: &Arm, start: Start) -> Result<Box<dyn Policy>, String> {
    if arm.levels.is_some() {
        return leveled::make(experiment, arm, start, None);
    }
    if arm.policy == PANICS {
        let left = arm.with.get("after").copied().unwrap_or(PANICS_AFTER) as u64;
        return Ok(Box::new(Panics {
            inner: policy::own(start)?,
            left,
        }));
    }
    rivals::maker(arm).make(start)
}

struct Panics {
    inner: Box<dyn Policy>,
    left: u64,
}

impl Policy for Panics {
    fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        if let Event::RequestReceived(_) = event {
            assert!(self.left > 0, "the policy `{PANICS}` panics on purpose");
            self.left -= 1;
        }
        self.inner.handle(now, event, actions);
    }
}

/// Reads what an experiment names of files beside its own, in the folder `beside`: recorded arrivals, and recordings
/// that are played again as faults. Gives the hash of all their bytes; none where it names none.
///
/// # Errors
/// A file can't be read, is too long, or something in it makes no sense.
pub fn with_files(experiment: &mut Experiment, beside: &Path) -> Result<Option<String>, String> {
    let mut hashes: Vec<String> = with_arrivals(experiment, beside)?.into_iter().collect();
    for fault in &mut experiment.faults {
        let Some(name) = &fault.file else { continue };
        let file = beside.join(name);
        let told = |problem: String| format!("{}: {problem}", file.display());
        let long = std::fs::metadata(&file)
            .map_err(|e| told(e.to_string()))?
            .len();
        if long > LONGEST_RECORDING {
            return Err(told(format!(
                "has {long} bytes; at most {LONGEST_RECORDING}"
            )));
        }
        let text = std::fs::read_to_string(&file).map_err(|e| told(e.to_string()))?;
        let recording: Recording = serde_json::from_str(&text).map_err(|e| told(e.to_string()))?;
        recording
            .validate()
            .map_err(|error| told(error.to_string()))?;
        // It lasts as long as what was recorded, unless it is to be shorter.
        let end = recording
            .intervals
            .last()
            .map_or(0, |interval| interval.start_ms + interval.duration_ms)
            * 1_000;
        if fault.lasts.micros() == 0 || fault.lasts.micros() > end {
            fault.lasts = Span(end);
        }
        fault.recording = Some(Arc::new(recording));
        hashes.push(crate::results::hash(text.as_bytes()));
    }
    Ok(match &hashes[..] {
        [] => None,
        [one] => Some(one.clone()),
        several => Some(crate::results::hash(several.concat().as_bytes())),
    })
}

/// Longest file of a recording.
const LONGEST_RECORDING: u64 = 4 << 20;
/// Longest file of recorded arrivals.
const LONGEST_ARRIVALS: u64 = 1 << 30;

/// Reads the recorded arrivals of an experiment whose file lies in `beside`, and gives their bytes' hash.
fn with_arrivals(experiment: &mut Experiment, beside: &Path) -> Result<Option<String>, String> {
    let Some(name) = &experiment.clients.arrivals else {
        return Ok(None);
    };
    let file = beside.join(name);
    let told = |problem: String| format!("{}: {problem}", file.display());
    let long = std::fs::metadata(&file)
        .map_err(|e| told(e.to_string()))?
        .len();
    if long > LONGEST_ARRIVALS {
        return Err(told(format!(
            "has {long} bytes; at most {LONGEST_ARRIVALS}"
        )));
    }
    let text = std::fs::read_to_string(&file).map_err(|e| told(e.to_string()))?;
    let arrivals = read_arrivals(&text, &experiment.classes).map_err(told)?;
    if arrivals.is_empty() {
        return Err(told("holds no arrival".into()));
    }
    experiment.clients.recorded = Arc::new(arrivals);
    Ok(Some(crate::results::hash(text.as_bytes())))
}
