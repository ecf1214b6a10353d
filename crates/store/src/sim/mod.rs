//! A disk in memory for tests, which takes away everything that [`Disk`] and [`File`](crate::File) do not promise.
//!
//! It loses what was not flushed, tears writes at any byte, keeps unflushed writes in any order, fills up, fails a flush
//! without a later sign of what that lost, loses names whose directory was not flushed, and ends the process at any
//! operation. It is deterministic: [`Loss`] says what a crash leaves.

mod file;
mod loss;
mod state;

use crate::disk::{Disk, LockMode};
pub use file::SimFile;
pub use loss::Loss;
use loss::LossPlan;
use state::{Change, Inode, State, process_ended};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A directory in memory. Its clones are the same directory, as one process sees it.
#[derive(Clone, Default)]
pub struct SimDisk {
    state: Arc<Mutex<State>>,
    incarnation: u64,
}

/// A lock of a [`SimDisk`].
pub struct SimLock {
    disk: SimDisk,
    mode: LockMode,
}

impl SimDisk {
    /// Creates an empty directory.
    #[must_use]
    pub fn new() -> Self {
        SimDisk::default()
    }

    /// Creates a directory with these files, all flushed.
    #[must_use]
    pub fn from_files(files: &BTreeMap<String, Vec<u8>>) -> Self {
        let mut state = State::default();
        for (inode, (name, bytes)) in (0..).zip(files) {
            let content = Inode {
                visible: bytes.clone(),
                flushed: bytes.clone(),
            };
            state.inodes.insert(inode, content);
            state.names.insert(name.clone(), inode);
        }
        state.flushed_names = state.names.clone();
        SimDisk {
            state: Arc::new(Mutex::new(state)),
            incarnation: 0,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The state, unless the process of this handle has ended.
    fn live_state(&self) -> io::Result<MutexGuard<'_, State>> {
        let state = self.state();
        if state.incarnation == self.incarnation {
            Ok(state)
        } else {
            Err(process_ended())
        }
    }

    /// Kills the process and returns the directory as the next one finds it: nothing is lost.
    pub fn kill(&self) -> SimDisk {
        let mut state = self.state();
        state.end_process();
        state.failures.clear();
        SimDisk {
            state: Arc::clone(&self.state),
            incarnation: state.incarnation,
        }
    }

    /// Loses power and returns the directory as the next process finds it.
    pub fn lose_power(&self, loss: Loss) -> SimDisk {
        let disk = self.kill();
        if loss == Loss::Nothing {
            return disk;
        }
        let mut state = disk.state();
        let mut plan = LossPlan::new(loss);
        for change in std::mem::take(&mut state.unflushed) {
            plan.apply(&mut state, change);
        }
        state.revert_to_flushed();
        drop(state);
        disk
    }

    /// Ends the process in the middle of an operation, counted from now and beginning with 1.
    pub fn crash_in(&self, operations: u64) {
        let mut state = self.state();
        state.crash_at = Some(state.operations + operations);
    }

    /// Whether the process has ended.
    #[must_use]
    pub fn has_crashed(&self) -> bool {
        self.state().incarnation != self.incarnation
    }

    /// Fails an operation, counted from now and beginning with 1. A failed flush loses what it was to flush without a
    /// sign: it reads as before, and the next flush succeeds.
    pub fn fail_in(&self, operations: u64, kind: ErrorKind) {
        let mut state = self.state();
        let at = state.operations + operations;
        state.failures.insert(at, kind);
    }

    /// Cancels the planned failures.
    pub fn clear_failures(&self) {
        self.state().failures.clear();
    }

    /// The count of operations that changed something: creations, renames, removals, writes and flushes.
    #[must_use]
    pub fn operations(&self) -> u64 {
        self.state().operations
    }

    /// Sets how many bytes all files together may have; `None` for any number.
    pub fn set_capacity(&self, capacity: Option<usize>) {
        self.state().capacity = capacity;
    }

    /// The bytes that all files have together.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.state().used_bytes()
    }

    /// Refuses or allows every change.
    pub fn set_read_only(&self, is_read_only: bool) {
        self.state().is_read_only = is_read_only;
    }

    /// Flips a bit of a file while it may be open. Does nothing if there is no such file.
    ///
    /// # Panics
    /// If the offset is behind the end of the file.
    pub fn flip_bit(&self, name: &str, offset: usize) {
        let mut state = self.state();
        if let Some(inode) = state.names.get(name).copied() {
            let inode = state.inode(inode);
            inode.visible[offset] ^= 1;
            inode.flushed[offset] ^= 1;
        }
    }

    /// The bytes that were written and not flushed.
    #[must_use]
    pub fn unflushed_bytes(&self) -> u64 {
        let state = self.state();
        state.unflushed.iter().map(Change::written_bytes).sum()
    }

    /// All files, with what a process reads in them.
    #[must_use]
    pub fn files(&self) -> BTreeMap<String, Vec<u8>> {
        let state = self.state();
        let content = |inode| match state.inodes.get(inode) {
            Some(inode) => inode.visible.clone(),
            None => Vec::new(),
        };
        let names = state.names.iter();
        names
            .map(|(name, inode)| (name.clone(), content(inode)))
            .collect()
    }

    fn handle(&self, inode: u64) -> SimFile {
        SimFile {
            disk: self.clone(),
            inode,
        }
    }
}

impl Disk for SimDisk {
    type File = SimFile;
    type Lock = SimLock;

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.live_state()?.names.keys().cloned().collect())
    }

    fn open(&self, name: &str) -> io::Result<SimFile> {
        let state = self.live_state()?;
        let inode = state.names.get(name).ok_or(ErrorKind::NotFound)?;
        Ok(self.handle(*inode))
    }

    fn create(&self, name: &str) -> io::Result<SimFile> {
        let mut state = self.live_state()?;
        state.begin_operation()?;
        if state.names.contains_key(name) {
            return Err(ErrorKind::AlreadyExists.into());
        }
        let last = state.inodes.last_key_value();
        let inode = last.map_or(0, |(last, _)| last + 1);
        state.inodes.insert(inode, Inode::default());
        state.names.insert(name.to_owned(), inode);
        state.unflushed.push(Change::Create {
            name: name.to_owned(),
            inode,
        });
        state.crash_if_planned()?;
        Ok(self.handle(inode))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.live_state()?;
        state.begin_operation()?;
        let inode = state.names.remove(from).ok_or(ErrorKind::NotFound)?;
        state.names.insert(to.to_owned(), inode);
        state.unflushed.push(Change::Rename {
            from: from.to_owned(),
            to: to.to_owned(),
            inode,
        });
        state.crash_if_planned()
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.live_state()?;
        if !state.names.contains_key(name) {
            return Err(ErrorKind::NotFound.into());
        }
        state.begin_operation()?;
        state.names.remove(name);
        state.unflushed.push(Change::Remove {
            name: name.to_owned(),
        });
        state.crash_if_planned()
    }

    fn sync(&self) -> io::Result<()> {
        let mut state = self.live_state()?;
        let begun = state.begin_operation();
        state.crash_if_planned()?;
        state
            .unflushed
            .retain(|change| change.content_of().is_some());
        // A failed flush loses the changes of names, too.
        begun?;
        state.flushed_names = state.names.clone();
        Ok(())
    }

    fn lock(&self, mode: LockMode) -> io::Result<Option<SimLock>> {
        let mut state = self.live_state()?;
        let is_excluded = match mode {
            LockMode::Exclusive => state.has_writer || state.readers > 0,
            LockMode::Shared => state.has_writer,
        };
        if is_excluded {
            return Ok(None);
        }
        match mode {
            LockMode::Exclusive => state.has_writer = true,
            LockMode::Shared => state.readers += 1,
        }
        Ok(Some(SimLock {
            disk: self.clone(),
            mode,
        }))
    }
}

impl Drop for SimLock {
    fn drop(&mut self) {
        // The locks of a process that has ended are released already.
        let Ok(mut state) = self.disk.live_state() else {
            return;
        };
        match self.mode {
            LockMode::Exclusive => state.has_writer = false,
            LockMode::Shared => state.readers -= 1,
        }
    }
}
