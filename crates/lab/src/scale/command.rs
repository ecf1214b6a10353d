//! `madderloom-lab scale`.

use super::conductor::{Rig, RigSettings};
use super::measured::Measured;
use super::places::ZONES;
use super::protocol::Manner;
use super::real::{self, Difference};
use super::record::{self, FORMAT, RunRecord, StepRecord, write_json};
use super::size::SizeFile;
use super::steps::Step;
use super::usage::Allowed;
use super::{capacity, limits, markdown, tables};
use crate::cli::{Output, tell, tell_json};
use crate::report;
use crate::results::{Folder, write_whole};
use crate::sockets::child::own_program;
use crate::sockets::itself::{on_one_thread, told_to_stop};
use madderloom_config_reader::Span;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Where folders of results go.
const RESULTS: &str = "lab-results";
/// The exit code where it was broken off.
const BROKEN_OFF: u8 = 130;
/// The usual lease, where reports are frequent enough for it.
const LEASE: Duration = Duration::from_secs(10);
/// Restarts of instances within the step of that name.
const RESTARTS: usize = 10;
/// The shortest and the longest stretch that a step may be told to last.
const STRETCHES: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(600));

/// Measures what thousands of instances cost an agent, and what they cost themselves.
///
/// Starts a real agent as a process, and hollow instances around it: the state machines of a real instance over real TLS
/// connections on loopback, without a data path. Takes them through steps, and counts at both sides: bytes, messages,
/// processor time, memory, connections, descriptors and times. Each run is a file in JSON. Exits with 0 where all steps
/// were done, with 1 where one could not be, and with 130 where it was broken off.
#[derive(clap::Args)]
pub struct Scale {
    /// Hollow instances, a figure for each series of runs
    #[arg(long, value_delimiter = ',', default_value = "100", value_name = "N,N", value_parser = clap::value_parser!(u32).range(1..=65_536))]
    instances: Vec<u32>,
    /// Runs of each size
    #[arg(long, default_value_t = 1, value_name = "N", value_parser = clap::value_parser!(u32).range(1..=100))]
    runs: u32,
    /// These steps alone, in the order of this list; all instances are started before
    #[arg(long, value_delimiter = ',', value_enum, value_name = "STEP,STEP")]
    steps: Vec<Step>,
    /// Compare hollow instances with as many real sidecars, processes each, in place of runs
    #[arg(long, conflicts_with_all = ["runs", "steps"])]
    check_against_real: bool,
    /// Print the slopes of runs that were measured before (`--measured`), in place of runs
    #[arg(long, conflicts_with_all = ["runs", "steps", "check_against_real"])]
    slopes: bool,
    /// Print what a fleet of this size needs, by runs that were measured before (`--measured`), in place of runs
    #[arg(long, value_name = "SIZE.toml", conflicts_with_all = ["runs", "steps", "check_against_real", "slopes"])]
    capacity: Option<PathBuf>,
    /// Also write the slopes as one HTML page of plots
    #[arg(long, value_name = "FILE", requires = "slopes")]
    plots: Option<PathBuf>,
    /// The folder of runs that were measured before
    #[arg(long, value_name = "DIR", default_value = "docs/capacity")]
    measured: PathBuf,
    /// How long a calm stretch lasts
    #[arg(long, default_value = "20s", value_name = "TIME")]
    calm: Span,
    /// How long a region is cut
    #[arg(long, default_value = "30s", value_name = "TIME")]
    cut: Span,
    /// How often instances report
    #[arg(long, default_value = "3s", value_name = "TIME")]
    report: Span,
    /// Registrations that the agent lets in a second
    #[arg(long, default_value_t = 100, value_name = "N", value_parser = clap::value_parser!(u32).range(1..=100_000))]
    registrations: u32,
    /// Requests that each instance tells to have ended within 10 s
    #[arg(long, default_value_t = 2_700, value_name = "N")]
    requests: u64,
    /// Put a relay of each zone between its instances and the agent
    #[arg(long, conflicts_with = "check_against_real")]
    relays: bool,
    /// Fleet-wide limits that each instance takes part in
    #[arg(long, default_value_t = 1, value_name = "N", value_parser = clap::value_parser!(u8).range(0..=128))]
    limits: u8,
    /// Lists of servers that each instance shares
    #[arg(long, default_value_t = 1, value_name = "N", value_parser = clap::value_parser!(u8).range(0..=16))]
    lists: u8,
    /// The `madderloom` whose agent it is; usually the one beside this program, else the agent that is built into it
    #[arg(long, value_name = "PATH")]
    binary: Option<PathBuf>,
    /// How this program was built, for the record, where it is no plain release
    #[arg(long, value_name = "WORDS")]
    built: Option<String>,
    /// The folder for the results, which must not exist; usually the first free one of lab-results/scale, scale-2 ...
    #[arg(short = 'o', value_name = "DIR")]
    folder: Option<PathBuf>,
    /// How the outcome is told
    #[arg(long, value_enum, default_value_t = Output::Text)]
    output: Output,
}

impl Scale {
    /// Measures.
    ///
    /// # Errors
    /// The machine does not bear it, something does not start, or results can't be written.
    pub fn run(self) -> Result<ExitCode, String> {
        if self.slopes || self.capacity.is_some() {
            return self.reckon().map(|()| ExitCode::SUCCESS);
        }
        for (option, span) in [("--calm", self.calm), ("--cut", self.cut)] {
            if !(STRETCHES.0..=STRETCHES.1).contains(&duration(span)) {
                return Err(format!("{option} {span}: must lie in 100ms..=10m"));
            }
        }
        for instances in &self.instances {
            limits::check(*instances as usize, self.relay_count(), Allowed::here())
                .map_err(|e| e.to_string())?;
        }
        if cfg!(debug_assertions) {
            say("this is a debug build: its figures say nothing of a release");
        }
        let binary = self.binary.clone().or_else(beside);
        if self.check_against_real {
            return self.compare(binary);
        }
        let folder = self
            .folder
            .clone()
            .unwrap_or_else(|| Folder::free_name(Path::new(RESULTS), "scale"));
        let records = on_one_thread(async {
            let stop = told_to_stop()?;
            tokio::select! {
                records = self.measure(binary, &folder) => records.map(Some),
                () = stop => Ok(None),
            }
        })?;
        let Some(records) = records else {
            say("broken off");
            return Ok(ExitCode::from(BROKEN_OFF));
        };
        match self.output {
            Output::Json => tell_json(&records)?,
            Output::Text => {
                records.iter().for_each(|record| tell(&tables::run(record)));
                tell(&format!("written to {}\n", folder.display()));
            }
        }
        let failed = records
            .iter()
            .flat_map(|record| &record.steps)
            .any(|step| step.problem.is_some());
        Ok(if failed {
            ExitCode::FAILURE
        } else {
            ExitCode::SUCCESS
        })
    }

    /// Tells what was measured before.
    fn reckon(&self) -> Result<(), String> {
        let measured = Measured::read(&self.measured)?;
        if let Some(file) = &self.plots {
            write_whole(file, report::slopes(&measured)?.as_bytes())?;
            say(&format!("plots are in {}", file.display()));
        }
        let Some(place) = &self.capacity else {
            return match self.output {
                Output::Json => tell_json(&measured.lines()),
                Output::Text => {
                    tell(&markdown::slopes(&measured));
                    Ok(())
                }
            };
        };
        let name = place.display();
        let text = std::fs::read_to_string(place).map_err(|e| format!("{name}: {e}"))?;
        let size = SizeFile::read(&text).map_err(|problems| {
            let lines: Vec<String> = problems
                .iter()
                .map(|problem| format!("{name}:{problem}"))
                .collect();
            lines.join("\n")
        })?;
        let rows = capacity::rows(&size, &measured);
        match self.output {
            Output::Json => tell_json(&rows),
            Output::Text => {
                tell(&markdown::capacity(&rows));
                Ok(())
            }
        }
    }

    /// Compares hollow instances with real ones; the file is written where `-o` says.
    fn compare(&self, binary: Option<PathBuf>) -> Result<ExitCode, String> {
        let instances = self.instances.first().copied().unwrap_or(1) as usize;
        say(&format!(
            "{instances} real sidecars, then {instances} hollow instances"
        ));
        let settings = self.settings(instances, binary);
        let comparison = on_one_thread(async {
            let stop = told_to_stop()?;
            tokio::select! {
                comparison = real::compare(&settings) => comparison.map(Some),
                () = stop => Ok(None),
            }
        })?;
        let Some(comparison) = comparison else {
            say("broken off");
            return Ok(ExitCode::from(BROKEN_OFF));
        };
        if let Some(file) = &self.folder {
            write_json(file, &comparison)?;
        }
        match self.output {
            Output::Json => tell_json(&comparison)?,
            Output::Text => tell(&tables::comparison(&comparison)),
        }
        let same = comparison.differences().iter().all(Difference::is_small);
        Ok(if same {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        })
    }

    async fn measure(
        &self,
        binary: Option<PathBuf>,
        folder: &Path,
    ) -> Result<Vec<RunRecord>, String> {
        if folder.exists() {
            return Err(format!(
                "{}: exists, and results are never overwritten",
                folder.display()
            ));
        }
        std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let mut records = Vec::new();
        for run in 1..=self.runs {
            for &instances in &self.instances {
                let begin = Instant::now();
                say(&format!(
                    "{instances} instances, run {run} of {}",
                    self.runs
                ));
                let settings = self.settings(instances as usize, binary.clone());
                let record = self.one_run(settings).await?;
                record.write(&folder.join(format!("{instances:05}-{run}.json")))?;
                records.push(record);
                say(&format!("  took {:.0} s", begin.elapsed().as_secs_f64()));
            }
        }
        Ok(records)
    }

    fn settings(&self, instances: usize, binary: Option<PathBuf>) -> RigSettings {
        let manner = Manner {
            requests: self.requests,
            limits: self.limits.into(),
            lists: self.lists.into(),
        };
        RigSettings {
            instances,
            manner,
            report_ms: self.report.micros() / 1_000,
            lease: LEASE.max(duration(self.report) * 3),
            registrations: self.registrations,
            binary,
            calm: duration(self.calm),
            cut: duration(self.cut),
            restarts: RESTARTS,
            has_relays: self.relays,
        }
    }

    /// Relays of a run.
    fn relay_count(&self) -> usize {
        if self.relays { ZONES } else { 0 }
    }

    async fn one_run(&self, settings: RigSettings) -> Result<RunRecord, String> {
        let (build, built) = record::build(self.built.as_deref())?;
        let mut record = RunRecord {
            format: FORMAT,
            version: env!("CARGO_PKG_VERSION").into(),
            build,
            built,
            agent: if settings.binary.is_some() {
                "madderloom agent"
            } else {
                "built into the lab"
            }
            .into(),
            instances: settings.instances,
            manner: settings.manner.clone(),
            report_ms: settings.report_ms,
            registrations: settings.registrations,
            relays: self.relay_count(),
            allowed: Allowed::here(),
            load: load_average(),
            steps: Vec::new(),
        };
        let mut rig = Rig::new(settings).await?;
        for step in self.chosen() {
            let done = rig.step(step).await?;
            say(&format!("  {}", progress(&done)));
            record.steps.push(done);
        }
        Ok(record)
    }

    /// All steps or the chosen ones, with the start first.
    fn chosen(&self) -> Vec<Step> {
        let all = if self.steps.is_empty() {
            &Step::ALL[..]
        } else {
            &self.steps
        };
        let others = all.iter().copied().filter(|step| *step != Step::Start);
        std::iter::once(Step::Start).chain(others).collect()
    }
}

fn progress(done: &StepRecord) -> String {
    match &done.problem {
        Some(problem) => format!("{}: {problem}", done.step),
        None => format!("{}: {:.1} s", done.step, done.seconds),
    }
}

fn duration(span: Span) -> Duration {
    Duration::from_micros(span.micros())
}

/// Tells how it goes on. Nobody may read it.
fn say(line: &str) {
    let _ = writeln!(std::io::stderr(), "{line}");
}

/// The `madderloom` beside this program, where there is one.
fn beside() -> Option<PathBuf> {
    let beside = own_program().ok()?.with_file_name("madderloom");
    beside.is_file().then_some(beside)
}

fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace()
        .next()
        .and_then(|number| number.parse().ok())
        .unwrap_or(0.0)
}
