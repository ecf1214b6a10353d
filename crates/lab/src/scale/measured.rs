//! Files that were measured before: runs by their series, and the comparison with real sidecars.

use super::figures::Figure;
use super::line::Line;
use super::real::Comparison;
use super::record::RunRecord;
use crate::hop::Row as HopRow;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// The series that a capacity is reckoned from: the usual settings.
pub const BASE: &str = "base";
/// The series with a relay of each zone between its instances and the agent.
pub const RELAYS: &str = "relays";
/// The file of the comparison with real sidecars.
pub const REAL: &str = "real.json";

/// The file of what hops cost: `lab hop --output json`.
pub const HOPS: &str = "hops.json";

/// A folder of measured files: a folder for each series of runs, and [`REAL`].
#[derive(Clone, Debug, Default)]
pub struct Measured {
    /// Runs by the name of their series.
    pub series: BTreeMap<String, Vec<RunRecord>>,
    /// Real sidecars beside hollow instances, where that was measured.
    pub real: Option<Comparison>,
    /// What hops cost, by how many there are behind each other and by clients.
    pub hops: Vec<HopRow>,
}

impl Measured {
    /// Reads a folder. Files that lie in it directly are the series [`BASE`].
    ///
    /// # Errors
    /// A file can't be read, or is none of results.
    pub fn read(folder: &Path) -> Result<Self, String> {
        let mut measured = Measured::default();
        for path in entries(folder)? {
            if path.is_dir() {
                let name = path
                    .file_name()
                    .unwrap_or_default()
                    .to_string_lossy()
                    .into_owned();
                let files = entries(&path)?;
                let runs: Result<Vec<_>, _> =
                    files.iter().map(|file| RunRecord::read(file)).collect();
                measured.series.insert(name, runs?);
            } else if path.file_name().is_some_and(|name| name == REAL) {
                measured.real = Some(read_json(&path)?);
            } else if path.file_name().is_some_and(|name| name == HOPS) {
                measured.hops = read_json(&path)?;
            } else if path.extension().is_some_and(|ending| ending == "json") {
                measured
                    .series
                    .entry(BASE.into())
                    .or_default()
                    .push(RunRecord::read(&path)?);
            }
        }
        Ok(measured)
    }

    /// The points of a figure in a series: instances and value.
    pub fn points(&self, series: &str, figure: Figure) -> Vec<(f64, f64)> {
        let runs = self.series.get(series).into_iter().flatten();
        runs.filter_map(|run| Some((run.instances as f64, figure.of(run)?)))
            .collect()
    }

    /// The line of a figure in a series.
    pub fn line(&self, series: &str, figure: Figure) -> Option<Line> {
        Line::through(&self.points(series, figure))
    }

    /// The lines of all figures, by series and the figure's name.
    pub fn lines(&self) -> BTreeMap<String, BTreeMap<&'static str, Line>> {
        let of = |series: &String| {
            let lines = Figure::ALL
                .into_iter()
                .filter_map(|figure| Some((figure.name(), self.line(series, figure)?)));
            (series.clone(), lines.collect())
        };
        self.series.keys().map(of).collect()
    }

    /// How many runs of each size a series has.
    pub fn sizes(&self, series: &str) -> BTreeMap<usize, usize> {
        let mut sizes = BTreeMap::new();
        for run in self.series.get(series).into_iter().flatten() {
            *sizes.entry(run.instances).or_default() += 1;
        }
        sizes
    }
}

fn read_json<T: DeserializeOwned>(path: &Path) -> Result<T, String> {
    let text = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
    serde_json::from_slice(&text).map_err(|e| format!("{}: {e}", path.display()))
}

/// What a folder holds, by name.
fn entries(folder: &Path) -> Result<Vec<PathBuf>, String> {
    let say = |e: std::io::Error| format!("{}: {e}", folder.display());
    let all = std::fs::read_dir(folder).map_err(say)?;
    let mut paths = all
        .map(|entry| entry.map(|e| e.path()).map_err(say))
        .collect::<Result<Vec<_>, _>>()?;
    paths.sort();
    Ok(paths)
}
