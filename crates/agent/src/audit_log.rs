//! The audit log: a line of JSON for each attempt to change the fleet, written before it is acted on, and one for what came
//! of it.

use crate::Error;
use crate::clock::unix_millis;
use madderloom_pki::Identity;
use serde::Serialize;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;
use std::sync::{Mutex, PoisonError};

/// The permissions of a new log: its owner alone reads and writes it.
const FILE_MODE: u32 = 0o600;

/// An open audit log. It is only ever appended to.
#[derive(Debug)]
pub(crate) struct AuditLog(Mutex<File>);

/// An attempt to change the fleet, or what came of it.
pub(crate) struct AuditEvent<'a> {
    /// Who requests it.
    pub(crate) peer: &'a Identity,
    /// The requested operation: `push`, `stop`, `undo`, or the method of a request that is rejected.
    pub(crate) operation: &'a str,
    /// The id of the change, or the path of a request that is rejected.
    pub(crate) subject: &'a str,
}

/// A line of the log.
#[derive(Serialize)]
struct AuditRecord<'a> {
    /// Milliseconds since 1970.
    #[serde(rename = "at")]
    at_ms: u64,
    #[serde(rename = "who")]
    name: &'a str,
    role: String,
    serial: &'a str,
    #[serde(rename = "asked")]
    operation: &'a str,
    #[serde(rename = "about")]
    subject: &'a str,
    outcome: &'a str,
}

impl AuditLog {
    /// Opens a log, which is created where it does not exist.
    pub(crate) fn open(path: &Path) -> Result<Self, Error> {
        let mut options = OpenOptions::new();
        options.append(true).create(true).mode(FILE_MODE);
        match options.open(path) {
            Ok(file) => Ok(AuditLog(Mutex::new(file))),
            Err(source) => Err(Error::OpenAuditLog {
                path: path.to_path_buf(),
                source,
            }),
        }
    }

    /// Appends a line that survives a loss of power. Blocks the thread until it does, which is acceptable because operators
    /// ask for changes rarely.
    pub(crate) fn append(&self, event: &AuditEvent<'_>, outcome: &str) -> Result<(), Error> {
        let record = AuditRecord {
            at_ms: unix_millis(),
            name: &event.peer.name,
            role: event.peer.role.to_string(),
            serial: &event.peer.serial,
            operation: event.operation,
            subject: event.subject,
            outcome,
        };
        let mut line = serde_json::to_vec(&record).map_err(Error::FormatAuditLine)?;
        line.push(b'\n');
        let mut file = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        file.write_all(&line)
            .and_then(|()| file.sync_data())
            .map_err(Error::WriteAuditLog)
    }
}
