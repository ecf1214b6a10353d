//! `madderloom-lab run`.

use super::{Output, table, tell, tell_json};
use crate::check::{MOST_SEEDS, unknown};
use crate::expect::{self, Verdict};
use crate::experiment::Experiment;
use crate::figures::{Figure, Summary};
use crate::play::Driver;
use crate::record;
use crate::results::{self, End, Folder, Manifest, Results};
use crate::schedule::{Job, Runs};
use crate::shipped;
use indicatif::{ProgressBar, ProgressStyle};
use madderloom_config_reader::Span;
use serde_json::json;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::{Arc, Mutex};

/// An expectation failed.
const FAILED: u8 = 3;
/// Runs are void, and what was expected of their arms can't be judged.
const VOID: u8 = 4;
/// It was broken off, by Ctrl-C or SIGTERM.
const BROKEN_OFF: u8 = 130;

/// Plays all arms of an experiment with all its seeds, and writes a folder of results.
///
/// Exits with 0 where all expectations held, with 1 where nothing could be played, with 3 where an expectation failed,
/// with 4 where runs are void, and with 130 where it was broken off by Ctrl-C or SIGTERM: what was played till then
/// stays and can be read.
#[derive(clap::Args)]
pub struct Run {
    /// An experiment file, or the name of a shipped experiment (see `list`)
    #[arg(value_name = "FILE|NAME")]
    experiment: String,
    /// What plays it
    #[arg(long, value_enum, default_value_t = Driver::Virtual)]
    driver: Driver,
    /// The first so many seeds of the file; where it has fewer, those that follow its highest too
    #[arg(long, value_name = "N", value_parser = clap::value_parser!(u64).range(1..=MOST_SEEDS))]
    seeds: Option<u64>,
    /// Runs at a time; as many as the machine has cores, and one on sockets, where runs would be in each other's way
    #[arg(long, value_name = "N", value_parser = clap::value_parser!(u16).range(1..=1024))]
    jobs: Option<u16>,
    /// The folder for the results, which must not exist; usually the first free one of lab-results/NAME, NAME-2 ...
    #[arg(short = 'o', value_name = "DIR")]
    folder: Option<PathBuf>,
    /// These arms alone
    #[arg(long, value_delimiter = ',', value_name = "ARM,ARM")]
    arms: Vec<String>,
    /// Two seeds alone, for a first look
    #[arg(long, conflicts_with = "seeds")]
    quick: bool,
    /// How the outcome is told
    #[arg(long, value_enum, default_value_t = Output::Text)]
    output: Output,
}

impl Run {
    /// Plays.
    ///
    /// # Errors
    /// The experiment makes no sense, the folder exists, or results can't be written.
    pub fn run(self) -> Result<ExitCode, String> {
        let text = shipped::find(&self.experiment)?;
        let (experiment, arrivals) = super::read(&text).map_err(|lines| {
            let more = if lines.len() > 1 {
                format!("\n{} problems in all", lines.len())
            } else {
                String::new()
            };
            format!("{}{more}", lines.join("\n"))
        })?;
        let manifest = Manifest {
            format: results::FORMAT,
            experiment: experiment.name.clone(),
            text: text.text.clone(),
            arrivals,
            driver: self.driver.to_string(),
            arms: self.chosen_arms(&experiment)?,
            seeds: seeds(&experiment, if self.quick { Some(2) } else { self.seeds }),
            version: env!("CARGO_PKG_VERSION").into(),
            build: results::own_build()?,
            end: None,
            verdicts: Vec::new(),
        };
        let usual = || Folder::free_name(Path::new("lab-results"), &experiment.name);
        let path = self.folder.clone().unwrap_or_else(usual);
        // Before the folder is there: whoever sees it may break the run off.
        let runs = stoppable()?;
        let folder = Folder::create(&path, &manifest)?;
        // Seed by seed, so that what was broken off can be compared as far as it came.
        let jobs: Vec<Job> = manifest
            .seeds
            .iter()
            .flat_map(|seed| manifest.arms.iter().map(move |arm| (arm, *seed)))
            .map(|(arm, seed)| Job {
                text: text.text.clone(),
                beside: text.beside.clone(),
                arm: arm.clone(),
                seed,
                driver: self.driver,
            })
            .collect();
        let broken_off = self.play(&experiment, &folder, &jobs, &runs)?;
        self.finish(&folder, manifest, broken_off)
    }

    fn chosen_arms(&self, experiment: &Experiment) -> Result<Vec<String>, String> {
        let names = || experiment.arms.iter().map(|arm| arm.name.as_str());
        if let Some(stray) = self
            .arms
            .iter()
            .find(|arm| !names().any(|name| name == *arm))
        {
            return Err(format!(
                "--arms: {}",
                unknown("arm", stray, names().collect::<Vec<_>>())
            ));
        }
        let chosen =
            names().filter(|name| self.arms.is_empty() || self.arms.iter().any(|arm| arm == name));
        Ok(chosen.map(str::to_string).collect())
    }

    /// Plays the jobs and writes their records. Whether it was broken off.
    fn play(
        &self,
        experiment: &Experiment,
        folder: &Folder,
        jobs: &[Job],
        runs: &Runs,
    ) -> Result<bool, String> {
        let cores = || std::thread::available_parallelism().map_or(1, usize::from);
        let workers = self.jobs.map_or_else(
            || {
                if self.driver == Driver::Sockets {
                    1
                } else {
                    cores()
                }
            },
            usize::from,
        );
        let progress = Progress::new(experiment, jobs.len());
        let problem = Mutex::new(None);
        runs.play(
            experiment,
            jobs,
            workers,
            |place, at| progress.at(place, at),
            |place, run: record::Run| {
                progress.done(place, &run);
                if let Err(e) = folder.write_run(&run) {
                    // A full disk, say: what follows could not be kept either.
                    *problem
                        .lock()
                        .unwrap_or_else(std::sync::PoisonError::into_inner) = Some(e);
                    runs.break_off();
                }
            },
        );
        progress.bar.finish_and_clear();
        match problem
            .into_inner()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
        {
            Some(problem) => Err(problem),
            None => Ok(runs.broken_off()),
        }
    }

    /// Judges what was played, tells it, and says with which code to exit.
    fn finish(
        &self,
        folder: &Folder,
        mut manifest: Manifest,
        broken_off: bool,
    ) -> Result<ExitCode, String> {
        let mut played = Results::read(folder.path())?;
        let whole = played.missing.is_empty();
        manifest.end = Some(if broken_off && !whole {
            End::BrokenOff
        } else {
            End::Complete
        });
        if whole {
            manifest.verdicts = expect::verdicts(
                &played.experiment,
                &manifest.arms,
                manifest.seeds.len(),
                &played.runs,
            );
        }
        folder.write_manifest(&manifest)?;
        played.manifest = manifest.clone();
        let summaries: Vec<Summary> = manifest
            .arms
            .iter()
            .map(|arm| Summary::of(&played.experiment, arm, &played.runs, None))
            .collect();
        let void = played.runs.iter().filter(|run| run.void.is_some()).count();
        if self.output == Output::Json {
            tell_json(&json!({
                "folder": folder.path(),
                "end": manifest.end,
                "runs": played.runs.len(),
                "void": void,
                "missing": played.missing.len(),
                "arms": summaries,
                "verdicts": manifest.verdicts,
            }))?;
        } else {
            tell(&people(&played, &summaries, &manifest));
        }
        let failed = manifest
            .verdicts
            .iter()
            .any(|verdict| verdict.held == Some(false));
        Ok(if !whole {
            ExitCode::from(BROKEN_OFF)
        } else if failed {
            ExitCode::from(FAILED)
        } else if void > 0 {
            ExitCode::from(VOID)
        } else {
            ExitCode::SUCCESS
        })
    }
}

/// The first so many seeds of an experiment; where it has fewer, those that follow its highest too.
fn seeds(experiment: &Experiment, wanted: Option<u64>) -> Vec<u64> {
    let mut seeds = experiment.seeds.clone();
    let wanted = wanted.unwrap_or(seeds.len() as u64) as usize;
    let highest = seeds.iter().copied().max().unwrap_or(0);
    // Past the highest number there is it goes on from 0, without those that are there.
    let more: Vec<u64> = (1..)
        .map(|n| highest.wrapping_add(n))
        .filter(|seed| !seeds.contains(seed))
        .take(wanted)
        .collect();
    seeds.extend(more);
    seeds.truncate(wanted);
    seeds
}

/// The outcome as a person reads it.
fn people(played: &Results, summaries: &[Summary], manifest: &Manifest) -> String {
    let mut text = format!("{}\n", arms_table(summaries));
    let seeds = manifest.seeds.len();
    let few = if seeds < crate::stats::FEWEST {
        format!(
            "; under {} seeds there are no intervals",
            crate::stats::FEWEST
        )
    } else {
        String::new()
    };
    text += &format!(
        "means over {seeds} seeds, attempts for each request; below them the reach of bootstrap intervals of 95%{few}\n"
    );
    for verdict in &manifest.verdicts {
        text += &format!("{verdict}\n");
    }
    for flaw in flaws_in_short(played) {
        text += &format!("{flaw}\n");
    }
    let failed = manifest
        .verdicts
        .iter()
        .filter(|Verdict { held, .. }| *held != Some(true))
        .count();
    if failed > 0 {
        text += &format!(
            "{failed} of {} expectations did not hold\n",
            manifest.verdicts.len()
        );
    }
    let path = folder_name(&played.path);
    text + &format!("results: {path}; look at them with: madderloom-lab report {path}\n")
}

fn folder_name(path: &Path) -> String {
    path.display().to_string()
}

/// Flaws of results, cut where they are many.
fn flaws_in_short(played: &Results) -> Vec<String> {
    const MOST: usize = 10;
    let mut flaws = played.flaws();
    if flaws.len() > MOST {
        let more = flaws.len() - MOST;
        flaws.truncate(MOST);
        flaws.push(format!("... and {more} more."));
    }
    flaws
}

/// The table of arms.
fn arms_table(summaries: &[Summary]) -> comfy_table::Table {
    const COLUMNS: [Figure; 6] = [
        Figure::Goodput,
        Figure::Mean,
        Figure::P99,
        Figure::Attempts,
        Figure::Refused,
        Figure::Failed,
    ];
    let recovers = summaries
        .iter()
        .any(|arm| arm.figure(Figure::Recovery).is_some());
    let columns: Vec<Figure> = COLUMNS
        .into_iter()
        .chain(recovers.then_some(Figure::Recovery))
        .collect();
    let head: Vec<&str> = ["arm"]
        .into_iter()
        .chain(columns.iter().map(|figure| figure.name()))
        .chain(["rules", "runs"])
        .collect();
    let mut table = table(&head);
    for arm in summaries {
        let mut row = vec![arm.arm.clone()];
        for figure in &columns {
            let mut cell = arm
                .figure(*figure)
                .map_or("-".into(), |i| figure.written(i.mean));
            if let Some(interval) = arm.figure(*figure)
                && let Some((low, high)) = interval.ends
            {
                let reach = (high - interval.mean).max(interval.mean - low);
                cell += &format!("\n±{}", figure.written(reach));
            }
            if *figure == Figure::Recovery && arm.never_recovered > 0 {
                cell += &format!("\n({} never)", arm.never_recovered);
            }
            row.push(cell);
        }
        row.push(match arm.breaches.values().sum::<u64>() {
            0 => "kept".into(),
            times => format!("{times} broken"),
        });
        row.push(if arm.void > 0 {
            format!("{} ({} void)", arm.runs, arm.void)
        } else {
            arm.runs.to_string()
        });
        table.add_row(row);
    }
    table
}

/// How far all runs have come, on standard error where that is a terminal.
struct Progress {
    bar: ProgressBar,
    /// How far the run of each place has come, and how many have ended.
    state: Mutex<(Vec<u64>, usize)>,
    duration: u64,
}

impl Progress {
    fn new(experiment: &Experiment, jobs: usize) -> Self {
        let duration = experiment.duration.micros().max(1);
        let bar = ProgressBar::new(duration.saturating_mul(jobs as u64));
        if let Ok(style) = ProgressStyle::with_template("{msg} {wide_bar} {percent:>3}% {eta} left")
        {
            bar.set_style(style);
        }
        bar.set_message(format!("0 of {jobs} runs"));
        Progress {
            bar,
            state: Mutex::new((vec![0; jobs], 0)),
            duration,
        }
    }

    fn at(&self, place: usize, at: Span) {
        self.moved(place, at.micros().min(self.duration), false);
    }

    fn done(&self, place: usize, run: &record::Run) {
        if let Some(why) = &run.void {
            let line = format!("{} with seed {} is void: {why}", run.arm, run.seed);
            self.bar.suspend(|| eprintln!("madderloom-lab: {line}"));
        }
        self.moved(place, self.duration, true);
    }

    fn moved(&self, place: usize, at: u64, ended: bool) {
        let mut state = self
            .state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let (come, runs) = &mut *state;
        if let Some(come) = come.get_mut(place) {
            self.bar.inc(at.saturating_sub(*come));
            *come = at;
        }
        if ended {
            *runs += 1;
            self.bar
                .set_message(format!("{runs} of {} runs", come.len()));
        }
    }
}

/// Runs that Ctrl-C and SIGTERM break off.
fn stoppable() -> Result<Arc<Runs>, String> {
    let runs = Arc::new(Runs::default());
    let to_stop = Arc::clone(&runs);
    ctrlc::set_handler(move || {
        // Whoever asks twice does not want to wait.
        if to_stop.broken_off() {
            std::process::exit(i32::from(BROKEN_OFF));
        }
        to_stop.break_off();
    })
    .map_err(|e| format!("signals: {e}"))?;
    Ok(runs)
}
