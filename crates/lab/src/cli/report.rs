//! `madderloom-lab report`.

use super::tell;
use crate::report;
use crate::results::{Results, write_whole};
use std::path::PathBuf;
use std::process::ExitCode;

/// Writes one HTML page of a folder of results.
///
/// The page holds all that it needs, so that it can be sent as it is. A report that is there already is written anew:
/// unlike results it can always be made again.
#[derive(clap::Args)]
pub struct Report {
    /// A folder of results
    folder: PathBuf,
    /// The page's file; usually report.html in the folder
    #[arg(short = 'o', value_name = "FILE")]
    file: Option<PathBuf>,
}

impl Report {
    /// Writes the page.
    ///
    /// # Errors
    /// The folder can't be read, or the page can't be drawn or written.
    pub fn run(self) -> Result<ExitCode, String> {
        let results = Results::read(&self.folder)?;
        let page = report::page(&results)?;
        let file = self.file.unwrap_or_else(|| self.folder.join("report.html"));
        write_whole(&file, page.as_bytes())?;
        tell(&format!("{}\n", file.display()));
        Ok(ExitCode::SUCCESS)
    }
}
