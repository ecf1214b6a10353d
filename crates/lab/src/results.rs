//! A folder of results: what was played, by which build, and a file for each run.
//!
//! ```text
//! DIR/manifest.json        what was to be played, by what, and whether it was played to the end
//! DIR/experiment.toml      the experiment as it was read
//! DIR/runs/ARM/SEED.json   one run
//! ```
//!
//! Each file appears whole or not at all, and a folder that exists is never written into, so that whatever ends the
//! lab leaves a folder that can be read. No file tells times of day or how long anything took: the same build, experiment
//! and seeds give the same folder, byte for byte, with however many jobs.

use crate::check::unknown;
use crate::expect::Verdict;
use crate::experiment::Experiment;
use crate::record::Run;
use foldhash::quality::FixedState;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fs;
use std::hash::BuildHasher;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};

/// The format of folders that this build reads and writes.
pub const FORMAT: u32 = 1;

/// A file of results that is longer than this is none.
const LONGEST: u64 = 1 << 30;

/// What a folder of results holds.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Manifest {
    /// The folder's format, [`FORMAT`].
    pub format: u32,
    /// The experiment's name.
    pub experiment: String,
    /// Its text.
    pub text: String,
    /// A hash of the recorded arrivals, where it plays any: they lie in a file of their own.
    pub arrivals: Option<String>,
    /// `virtual` or `sockets`.
    pub driver: String,
    /// The arms that were to be played.
    pub arms: Vec<String>,
    /// The seeds, likewise.
    pub seeds: Vec<u64>,
    /// The version that played them.
    pub version: String,
    /// A hash of the very program that did.
    pub build: String,
    /// How it ended; none while it goes on, or if it was killed.
    pub end: Option<End>,
    /// What was expected and what came, once all was played.
    pub verdicts: Vec<Verdict>,
}

/// How an experiment ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// All of it was played.
    Complete,
    /// It was broken off; runs are missing.
    BrokenOff,
}

/// A folder of results that is being written.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
}

impl Folder {
    /// Makes a folder and puts the manifest and the experiment into it.
    ///
    /// # Errors
    /// The folder exists, whatever is in it, or can't be made.
    pub fn create(path: &Path, manifest: &Manifest) -> Result<Folder, String> {
        if let Some(parent) = path
            .parent()
            .filter(|parent| !parent.as_os_str().is_empty())
        {
            fs::create_dir_all(parent).map_err(|e| format!("{}: {e}", parent.display()))?;
        }
        fs::create_dir(path).map_err(|e| match e.kind() {
            ErrorKind::AlreadyExists => {
                format!(
                    "{}: exists, and results are never overwritten; name another folder with -o",
                    path.display()
                )
            }
            _ => format!("{}: {e}", path.display()),
        })?;
        let folder = Folder {
            path: path.to_path_buf(),
        };
        write_whole(&path.join("experiment.toml"), manifest.text.as_bytes())?;
        for arm in &manifest.arms {
            let of_arm = path.join("runs").join(arm);
            fs::create_dir_all(&of_arm).map_err(|e| format!("{}: {e}", of_arm.display()))?;
        }
        folder.write_manifest(manifest)?;
        Ok(folder)
    }

    /// The first of `NAME`, `NAME-2`, `NAME-3` and so on that is not there yet.
    pub fn free_name(parent: &Path, name: &str) -> PathBuf {
        let numbered = (2..).map(|n| parent.join(format!("{name}-{n}")));
        let mut all = std::iter::once(parent.join(name)).chain(numbered);
        all.find(|path| !path.exists())
            .unwrap_or_else(|| parent.join(name))
    }

    /// Writes the manifest anew.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn write_manifest(&self, manifest: &Manifest) -> Result<(), String> {
        self.write(&self.path.join("manifest.json"), manifest)
    }

    /// Writes a run.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn write_run(&self, run: &Run) -> Result<(), String> {
        self.write(&run_file(&self.path, &run.arm, run.seed), run)
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }

    fn write(&self, path: &Path, value: &impl Serialize) -> Result<(), String> {
        let mut text = serde_json::to_vec(value).map_err(|e| format!("{}: {e}", path.display()))?;
        text.push(b'\n');
        write_whole(path, &text)
    }
}

/// Writes a file so that it is there whole or not at all.
pub fn write_whole(path: &Path, bytes: &[u8]) -> Result<(), String> {
    let mut beside = path.as_os_str().to_os_string();
    beside.push(".part");
    let beside = PathBuf::from(beside);
    let written = fs::write(&beside, bytes).and_then(|()| fs::rename(&beside, path));
    written.map_err(|e| {
        let _ = fs::remove_file(&beside);
        format!("{}: {e}", path.display())
    })
}

fn run_file(folder: &Path, arm: &str, seed: u64) -> PathBuf {
    folder.join("runs").join(arm).join(format!("{seed}.json"))
}

/// A folder of results that has been read.
#[derive(Clone, Debug)]
pub struct Results {
    /// Where it was read.
    pub path: PathBuf,
    /// What it says of itself.
    pub manifest: Manifest,
    /// The experiment.
    pub experiment: Experiment,
    /// The runs that are there, in the order of arms and seeds, void ones too.
    pub runs: Vec<Run>,
    /// Arms and seeds whose runs are not there.
    pub missing: Vec<(String, u64)>,
}

impl Results {
    /// Reads a folder of results, also one that was broken off.
    ///
    /// # Errors
    /// It is none, or one of another format, or one of its files can't be read: the error names the file.
    pub fn read(path: &Path) -> Result<Results, String> {
        let file = path.join("manifest.json");
        if !file.is_file() {
            return Err(format!(
                "{}: is no folder of results: there is no manifest.json",
                path.display()
            ));
        }
        let Format { format } = read_json(&file)?;
        if format != FORMAT {
            return Err(format!(
                "{}: has format {format}, but this build reads {FORMAT}",
                file.display()
            ));
        }
        let manifest: Manifest = read_json(&file)?;
        let experiment = Experiment::read(&manifest.text).map_err(|problems| {
            let first = problems
                .first()
                .map(ToString::to_string)
                .unwrap_or_default();
            format!(
                "{}: the experiment in it makes no sense to this build: {first}",
                file.display()
            )
        })?;
        let (mut runs, mut missing) = (Vec::new(), Vec::new());
        for arm in &manifest.arms {
            // Names of folders: what the check has passed as an arm's name is one.
            if !experiment.arms.iter().any(|known| known.name == *arm) {
                let known = experiment.arms.iter().map(|arm| arm.name.as_str());
                return Err(format!(
                    "{}: {}",
                    file.display(),
                    unknown("arm", arm, known)
                ));
            }
            for seed in &manifest.seeds {
                let file = run_file(path, arm, *seed);
                if !file.is_file() {
                    missing.push((arm.clone(), *seed));
                    continue;
                }
                let run: Run = read_json(&file)?;
                if run.arm != *arm || run.seed != *seed {
                    return Err(format!(
                        "{}: is the run of {} with seed {}",
                        file.display(),
                        run.arm,
                        run.seed
                    ));
                }
                runs.push(run);
            }
        }
        Ok(Results {
            path: path.to_path_buf(),
            manifest,
            experiment,
            runs,
            missing,
        })
    }

    /// The runs of an arm that count.
    pub fn of_arm<'r>(&'r self, arm: &'r str) -> impl Iterator<Item = &'r Run> + Clone {
        self.runs
            .iter()
            .filter(move |run| run.arm == arm && run.void.is_none())
    }

    /// What keeps these results from being whole, a line each.
    pub fn flaws(&self) -> Vec<String> {
        let mut flaws = Vec::new();
        match self.manifest.end {
            Some(End::Complete) => {}
            Some(End::BrokenOff) => flaws.push("It was broken off.".to_string()),
            None => flaws.push("It goes on, or its lab was killed.".to_string()),
        }
        for (arm, seed) in &self.missing {
            flaws.push(format!("The run of {arm} with seed {seed} is not there."));
        }
        for run in &self.runs {
            if let Some(why) = &run.void {
                flaws.push(format!(
                    "The run of {} with seed {} is void: {why}",
                    run.arm, run.seed
                ));
            }
        }
        flaws
    }
}

#[derive(Deserialize)]
struct Format {
    format: u32,
}

fn read_json<T: DeserializeOwned>(file: &Path) -> Result<T, String> {
    let told = |problem: String| format!("{}: {problem}", file.display());
    let long = fs::metadata(file).map_err(|e| told(e.to_string()))?.len();
    if long > LONGEST {
        return Err(told(format!(
            "has {long} bytes, more than any file of results"
        )));
    }
    let text = fs::read(file).map_err(|e| told(e.to_string()))?;
    serde_json::from_slice(&text).map_err(|e| told(format!("can't be read: {e}")))
}

/// A hash of some bytes, to tell whether two are the same.
pub fn hash(bytes: &[u8]) -> String {
    format!("{:016x}", FixedState::with_seed(0).hash_one(bytes))
}

/// A hash of the running program.
///
/// # Errors
/// The program's own file can't be read.
pub fn own_build() -> Result<String, String> {
    let program = std::env::current_exe().map_err(|e| format!("the program's own file: {e}"))?;
    let bytes = fs::read(&program).map_err(|e| format!("{}: {e}", program.display()))?;
    Ok(hash(&bytes))
}
