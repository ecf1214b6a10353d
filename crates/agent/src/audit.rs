//! The audit log: a line for each attempt to change something, written before it is acted on, and one for what came
//! of it.

use crate::Error;
use crate::clock::wall;
use madderloom_pki::Identity;
use serde::Serialize;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};

/// An open audit log.
#[derive(Clone, Debug)]
pub(crate) struct Audit(Arc<Mutex<File>>);

/// A line of it.
#[derive(Serialize)]
pub(crate) struct Line<'a> {
    /// Milliseconds since 1970.
    at: u64,
    who: &'a str,
    role: String,
    serial: &'a str,
    asked: &'a str,
    about: &'a str,
    outcome: &'a str,
}

impl Audit {
    pub(crate) fn open(path: &Path) -> Result<Self, Error> {
        let file = OpenOptions::new()
            .append(true)
            .create(true)
            .mode(0o600)
            .open(path);
        file.map(|file| Audit(Arc::new(Mutex::new(file))))
            .map_err(|source| Error::OpenAuditLog {
                path: path.to_path_buf(),
                source,
            })
    }

    /// Writes a line that outlives a loss of power. Blocks; a change is asked for rarely.
    pub(crate) fn write(
        &self,
        peer: &Identity,
        asked: &str,
        about: &str,
        outcome: &str,
    ) -> Result<(), Error> {
        let Identity {
            name, role, serial, ..
        } = peer;
        let role = role.to_string();
        let line = Line {
            at: wall(),
            who: name,
            role,
            serial,
            asked,
            about,
            outcome,
        };
        let mut text = serde_json::to_string(&line).map_err(Error::FormatAuditLine)?;
        text.push('\n');
        let mut file = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        file.write_all(text.as_bytes())
            .and_then(|()| file.sync_data())
            .map_err(Error::WriteAuditLog)
    }
}
