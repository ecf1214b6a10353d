//! The ids of non-idempotent requests, shared between the processes of an upgrade: a request that is in flight at one of them, or
//! may have run there unanswered, is not sent by another.
//!
//! Processes that inherit the same listening socket share a directory below the one for temporary files, named after that socket.
//! Each has an [`IdLog`] of its own in it, and reads what the others have added to theirs before it accepts an id. There is no
//! message and no wait. The log of a process that has ended is read like any other; it is removed once its ids are forgotten.

mod id_log;

use super::recent_hashes::{RETENTION, RecentHashes};
use fnv::FnvHasher;
use foldhash::quality::FixedState;
use hyper::header::HeaderValue;
use id_log::{FORGOTTEN_AFTER, IdLog, IdState, PeerLog};
use madderloom_balancer::Micros;
use rustix::fs::fstat;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::ffi::OsString;
use std::fs;
use std::hash::Hasher;
use std::io;
use std::os::fd::AsFd;
use std::os::unix::fs::{DirBuilderExt, MetadataExt};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

/// Begins the names of directories; the device and the inode of the socket follow.
const DIRECTORY_PREFIX: &str = "madderloom-";
/// Two changes of a directory within this time may have the same time stamp.
const TIMESTAMP_GRANULARITY: Duration = Duration::from_millis(100);
/// The most ids in flight at other processes that are remembered.
const MAX_STARTED: usize = 16_384;

/// Why an id is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IdConflict {
    /// A request with it is in flight at another process.
    InFlight,
    /// A request with it may have run at another process, unanswered.
    MayHaveRun,
}

/// A request in flight at another process.
struct StartedRequest {
    peer: OsString,
    recorded_at: Micros,
}

/// The ids that this process shares with those that inherit the same socket.
pub(super) struct SharedRequestIds {
    directory: PathBuf,
    own: IdLog,
    /// When the directory was last changed, as of the last look into it; `None` if a further change may have that time too.
    directory_changed_at: Cell<Option<SystemTime>>,
    peers: RefCell<Vec<PeerLog>>,
    /// In flight at other processes.
    started: RefCell<HashMap<u64, StartedRequest, FixedState>>,
    /// May have run at other processes.
    may_have_run: RecentHashes,
    /// May have run at this process.
    own_may_have_run: RecentHashes,
    write_failed: Cell<bool>,
}

impl SharedRequestIds {
    /// Joins the processes that have inherited this socket.
    ///
    /// # Errors
    /// The directory or the log cannot be created, or the directory belongs to another user.
    pub(super) fn join(socket: impl AsFd) -> io::Result<Self> {
        let socket = fstat(socket)?;
        let parent = std::env::temp_dir();
        remove_forgotten_directories(&parent);
        let name = format!("{DIRECTORY_PREFIX}{}-{}", socket.st_dev, socket.st_ino);
        Self::join_directory(parent.join(name))
    }

    fn join_directory(directory: PathBuf) -> io::Result<Self> {
        match fs::DirBuilder::new().mode(0o700).create(&directory) {
            Err(error) if error.kind() != io::ErrorKind::AlreadyExists => return Err(error),
            _ => check_private(&directory)?,
        }
        let own = IdLog::create(&directory)?;
        Ok(SharedRequestIds {
            directory,
            own,
            directory_changed_at: Cell::new(None),
            peers: RefCell::default(),
            started: RefCell::default(),
            may_have_run: RecentHashes::default(),
            own_may_have_run: RecentHashes::default(),
            write_failed: Cell::new(false),
        })
    }

    /// Whether another process has this id of a service's request; reads what the others have recorded.
    pub(super) fn conflict(
        &self,
        service: &str,
        id: &HeaderValue,
        now: Micros,
    ) -> Option<IdConflict> {
        self.find_peers(now);
        for peer in self.peers.borrow_mut().iter_mut() {
            for (hash, state) in peer.read_added() {
                self.apply(peer.name(), hash, state, now);
            }
        }
        let hash = id_hash(service, id);
        if self.may_have_run.contains(hash, now) {
            return Some(IdConflict::MayHaveRun);
        }
        let started = self.started.borrow();
        let request = started.get(&hash)?;
        let peers = self.peers.borrow();
        let peer = peers.iter().find(|peer| *peer.name() == request.peer);
        if peer.is_some_and(PeerLog::is_alive) {
            return Some(IdConflict::InFlight);
        }
        (now.saturating_sub(request.recorded_at) < RETENTION).then_some(IdConflict::MayHaveRun)
    }

    fn apply(&self, peer: &OsString, hash: u64, state: IdState, now: Micros) {
        let mut started = self.started.borrow_mut();
        match state {
            IdState::Started if started.len() < MAX_STARTED => {
                let request = StartedRequest {
                    peer: peer.clone(),
                    recorded_at: now,
                };
                started.insert(hash, request);
            }
            IdState::Started => {}
            IdState::Answered => {
                started.remove(&hash);
            }
            IdState::MayHaveRun => {
                started.remove(&hash);
                self.may_have_run.insert(hash, now);
            }
        }
    }

    /// Records that a request with this id may be sent from now on.
    pub(super) fn record_started(&self, service: &str, id: &HeaderValue) {
        self.record(id_hash(service, id), IdState::Started);
    }

    /// Records that the request with this id has ended, and whether it may have run unanswered.
    pub(super) fn record_ended(
        &self,
        service: &str,
        id: &HeaderValue,
        may_have_run: bool,
        now: Micros,
    ) {
        let hash = id_hash(service, id);
        if may_have_run {
            self.own_may_have_run.insert(hash, now);
            self.record(hash, IdState::MayHaveRun);
        } else {
            self.record(hash, IdState::Answered);
        }
    }

    fn record(&self, hash: u64, state: IdState) {
        if let Err(error) = self.own.append(hash, state)
            && !self.write_failed.replace(true)
        {
            tracing::warn!(%error, "the ids of requests are not shared with the other process of an upgrade: {error}");
        }
    }

    /// Opens the logs of processes that have joined, and forgets those that have ended long ago.
    fn find_peers(&self, now: Micros) {
        let changed_at = fs::metadata(&self.directory)
            .and_then(|directory| directory.modified())
            .ok();
        if changed_at.is_some() && self.directory_changed_at.get() == changed_at {
            return;
        }
        let is_settled =
            |at: &SystemTime| at.elapsed().is_ok_and(|age| age > TIMESTAMP_GRANULARITY);
        self.directory_changed_at.set(changed_at.filter(is_settled));
        let Ok(entries) = fs::read_dir(&self.directory) else {
            return;
        };
        let mut peers = self.peers.borrow_mut();
        peers.retain(|peer| !peer.is_forgotten());
        for entry in entries.flatten() {
            let name = entry.file_name();
            let is_known = peers.iter().any(|peer| *peer.name() == name);
            if is_known || name == self.own.name() {
                continue;
            }
            match PeerLog::open(&self.directory, name) {
                Ok(peer) if peer.is_forgotten() => peer.remove(&self.directory),
                Ok(peer) => peers.push(peer),
                // One that is just being created is seen again: its directory changes then.
                Err(_) => {}
            }
        }
        self.forget_started_of_ended(&peers, now);
    }

    fn forget_started_of_ended(&self, peers: &[PeerLog], now: Micros) {
        let is_alive = |name: &OsString| {
            let peer = peers.iter().find(|peer| peer.name() == name);
            peer.is_some_and(PeerLog::is_alive)
        };
        self.started.borrow_mut().retain(|_, request| {
            now.saturating_sub(request.recorded_at) < RETENTION || is_alive(&request.peer)
        });
    }

    /// Leaves the other processes at the end of this one. What may have run here stays in its log.
    pub(super) fn leave(&self, now: Micros) {
        if self.own_may_have_run.is_empty(now) {
            self.own.remove(&self.directory);
            // It stays while others have logs in it.
            let _ = fs::remove_dir(&self.directory);
        }
    }
}

/// Removes the directories of processes that have ended, all of them long ago, without removing theirs.
fn remove_forgotten_directories(parent: &Path) {
    let Ok(entries) = fs::read_dir(parent) else {
        return;
    };
    for entry in entries.flatten() {
        let name = entry.file_name();
        let is_ours = name
            .as_encoded_bytes()
            .starts_with(DIRECTORY_PREFIX.as_bytes());
        if is_ours && check_private(&entry.path()).is_ok() {
            remove_if_forgotten(&entry.path());
        }
    }
}

fn remove_if_forgotten(directory: &Path) {
    let changed_at = fs::metadata(directory).and_then(|directory| directory.modified());
    let age = changed_at.ok().and_then(|at| at.elapsed().ok());
    // In one that was just created a log may come next.
    if age.is_none_or(|age| age < FORGOTTEN_AFTER) {
        return;
    }
    let Ok(entries) = fs::read_dir(directory) else {
        return;
    };
    for entry in entries.flatten() {
        if let Ok(log) = PeerLog::open(directory, entry.file_name())
            && log.is_forgotten()
        {
            log.remove(directory);
        }
    }
    // It stays while others have logs in it.
    let _ = fs::remove_dir(directory);
}

/// Processes of different builds must have the same hash of an id: FNV-1a, 64 bits.
fn id_hash(service: &str, id: &HeaderValue) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(service.as_bytes());
    hasher.write(&[0]);
    hasher.write(id.as_bytes());
    hasher.finish()
}

/// # Errors
/// Another user could write to the directory.
fn check_private(directory: &Path) -> io::Result<()> {
    let found = fs::symlink_metadata(directory)?;
    let own = rustix::process::geteuid().as_raw();
    if found.is_dir() && found.uid() == own && found.mode() & 0o022 == 0 {
        Ok(())
    } else {
        Err(io::Error::other(format!(
            "{} belongs to another user",
            directory.display()
        )))
    }
}

#[cfg(test)]
mod tests;
