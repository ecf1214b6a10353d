//! A disk in memory, for tests: it forgets what was not flushed, tears writes at any byte, keeps what was not flushed
//! in any order, fills up, fails a flush and keeps quiet about what that lost, loses names whose directory was not
//! flushed, and ends a process at any operation. Deterministic: what a crash leaves is said by [`Loss`].

use crate::disk::{Disk, File};
use std::collections::BTreeMap;
use std::io::{self, Error, ErrorKind};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// What a loss of power leaves of what was not flushed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// Nothing.
    All,
    /// All: only the process has ended, and a later loss may still take what was not flushed.
    Nothing,
    /// The first so many bytes of it, in the order they were written, with what was done to names before that.
    AllAfter(u64),
    /// Any of it, each write torn anywhere, names on their own; by this seed.
    Random(u64),
}

enum Change {
    Write {
        inode: u64,
        offset: u64,
        bytes: Vec<u8>,
    },
    Truncate {
        inode: u64,
        length: u64,
    },
    Create {
        name: String,
        inode: u64,
    },
    Rename {
        from: String,
        to: String,
        inode: u64,
    },
    Remove {
        name: String,
    },
}

#[derive(Default)]
struct Inode {
    /// What a process reads.
    seen: Vec<u8>,
    /// What is on the medium.
    flushed: Vec<u8>,
}

#[derive(Default)]
struct State {
    inodes: BTreeMap<u64, Inode>,
    names: BTreeMap<String, u64>,
    flushed_names: BTreeMap<String, u64>,
    unflushed: Vec<Change>,
    /// Grows with each restart: handles of an earlier life are dead.
    life: u64,
    readers: usize,
    writer: bool,
    operations: u64,
    crash_at: Option<u64>,
    failures: BTreeMap<u64, ErrorKind>,
    capacity: Option<usize>,
    read_only: bool,
}

/// A directory in memory; its clones are the same one.
#[derive(Clone, Default)]
pub struct SimDisk {
    state: Arc<Mutex<State>>,
    life: u64,
}

/// A file in it.
pub struct SimFile {
    disk: SimDisk,
    inode: u64,
}

/// The lock on it.
pub struct SimLock {
    disk: SimDisk,
    alone: bool,
}

fn dead() -> Error {
    Error::other("the process has ended")
}

impl State {
    /// Counts an operation that changes something, and has it fail, or the process end at it.
    fn operate(&mut self) -> io::Result<()> {
        if self.read_only {
            return Err(Error::from(ErrorKind::ReadOnlyFilesystem));
        }
        self.operations += 1;
        match self.failures.remove(&self.operations) {
            Some(kind) => Err(Error::from(kind)),
            None => Ok(()),
        }
    }

    /// Whether the process ends in the middle of the operation that was just counted.
    fn ends(&mut self) -> io::Result<()> {
        if self.crash_at.is_some_and(|at| self.operations >= at) {
            self.life += 1;
            self.crash_at = None;
            (self.readers, self.writer) = (0, false);
            return Err(dead());
        }
        Ok(())
    }

    fn used_bytes(&self) -> usize {
        self.names
            .values()
            .filter_map(|inode| Some(self.inodes.get(inode)?.seen.len()))
            .sum()
    }

    fn inode(&mut self, inode: u64) -> &mut Inode {
        self.inodes.entry(inode).or_default()
    }
}

fn write(to: &mut Vec<u8>, offset: u64, bytes: &[u8]) {
    let (from, end) = (offset as usize, offset as usize + bytes.len());
    if to.len() < end {
        to.resize(end, 0);
    }
    to[from..end].copy_from_slice(bytes);
}

/// A small generator of our own, so that a seed means the same for good: SplitMix64 (Steele, Lea and Flood 2014).
fn splitmix(state: &mut u64) -> u64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut z = *state;
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

impl SimDisk {
    /// An empty directory.
    pub fn new() -> Self {
        SimDisk::default()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn alive(&self) -> io::Result<MutexGuard<'_, State>> {
        let state = self.state();
        if state.life == self.life {
            Ok(state)
        } else {
            Err(dead())
        }
    }

    /// The directory as another process finds it after the one before was killed: nothing is lost.
    pub fn kill(&self) -> SimDisk {
        let mut state = self.state();
        state.life += 1;
        state.crash_at = None;
        state.failures.clear();
        (state.readers, state.writer) = (0, false);
        SimDisk {
            state: Arc::clone(&self.state),
            life: state.life,
        }
    }

    /// The directory as it is found after a loss of power.
    pub fn lose_power(&self, loss: Loss) -> SimDisk {
        let disk = self.kill();
        if loss == Loss::Nothing {
            return disk;
        }
        let mut state = disk.state();
        let changes = std::mem::take(&mut state.unflushed);
        let (mut seed, mut left) = match loss {
            Loss::Random(seed) => (seed, u64::MAX),
            Loss::AllAfter(bytes) => (0, bytes),
            Loss::All | Loss::Nothing => (0, 0),
        };
        for change in changes {
            let keeps = match loss {
                Loss::All | Loss::Nothing => false,
                Loss::AllAfter(_) => left > 0,
                Loss::Random(_) => splitmix(&mut seed).is_multiple_of(2),
            };
            match change {
                Change::Write {
                    inode,
                    offset,
                    mut bytes,
                } if keeps => {
                    let torn =
                        matches!(loss, Loss::Random(_)) && splitmix(&mut seed).is_multiple_of(4);
                    let most = if torn {
                        splitmix(&mut seed) % (bytes.len() as u64 + 1)
                    } else {
                        left
                    };
                    bytes.truncate(usize::try_from(most).unwrap_or(usize::MAX));
                    left = left.saturating_sub(bytes.len() as u64);
                    write(&mut state.inode(inode).flushed, offset, &bytes);
                }
                Change::Truncate { inode, length } if keeps => {
                    state.inode(inode).flushed.truncate(length as usize);
                }
                Change::Create { name, inode } if keeps => {
                    state.flushed_names.insert(name, inode);
                }
                Change::Rename { from, to, inode } if keeps => {
                    state.flushed_names.remove(&from);
                    state.flushed_names.insert(to, inode);
                }
                Change::Remove { name } if keeps => {
                    state.flushed_names.remove(&name);
                }
                _ => {}
            }
        }
        state.names = state.flushed_names.clone();
        state
            .inodes
            .values_mut()
            .for_each(|i| i.seen.clone_from(&i.flushed));
        drop(state);
        disk
    }

    /// Ends the process in the middle of an operation, counted from now, beginning with 1.
    pub fn crash_in(&self, operations: u64) {
        let mut state = self.state();
        state.crash_at = Some(state.operations + operations);
    }

    /// Whether the process has ended.
    pub fn has_crashed(&self) -> bool {
        self.state().life != self.life
    }

    /// Fails an operation, counted from now, beginning with 1. A failed flush loses what it was to flush, and nothing
    /// tells of that: it is read as before, and the next flush succeeds.
    pub fn fail_in(&self, operations: u64, kind: ErrorKind) {
        let mut state = self.state();
        let at = state.operations + operations;
        state.failures.insert(at, kind);
    }

    /// Fails no more operations.
    pub fn clear_failures(&self) {
        self.state().failures.clear();
    }

    /// Operations so far that change something: makings, renamings, removals, writes and flushes.
    pub fn operations(&self) -> u64 {
        self.state().operations
    }

    /// Sets how many bytes all files may hold together.
    pub fn set_capacity(&self, capacity: Option<usize>) {
        self.state().capacity = capacity;
    }

    /// Bytes that all files hold together.
    pub fn used_bytes(&self) -> usize {
        self.state().used_bytes()
    }

    /// Refuses or allows every change.
    pub fn set_read_only(&self, read_only: bool) {
        self.state().read_only = read_only;
    }

    /// Flips a bit of a file, beneath whoever has it open.
    pub fn flip_bit(&self, name: &str, offset: usize) {
        let mut state = self.state();
        if let Some(inode) = state.names.get(name).copied() {
            let inode = state.inode(inode);
            inode.seen[offset] ^= 1;
            inode.flushed[offset] ^= 1;
        }
    }

    /// Bytes that were written and not flushed.
    pub fn unflushed_bytes(&self) -> u64 {
        let bytes = |c: &Change| {
            if let Change::Write { bytes, .. } = c {
                bytes.len() as u64
            } else {
                0
            }
        };
        self.state().unflushed.iter().map(bytes).sum()
    }

    /// All files with what a process reads in them.
    pub fn files(&self) -> BTreeMap<String, Vec<u8>> {
        let state = self.state();
        let content = |inode| {
            state
                .inodes
                .get(inode)
                .map(|i| i.seen.clone())
                .unwrap_or_default()
        };
        state
            .names
            .iter()
            .map(|(name, inode)| (name.clone(), content(inode)))
            .collect()
    }

    /// A directory of these files, all flushed.
    pub fn from_files(files: &BTreeMap<String, Vec<u8>>) -> Self {
        let disk = SimDisk::new();
        let mut state = disk.state();
        for (inode, (name, bytes)) in (0..).zip(files) {
            state.inodes.insert(
                inode,
                Inode {
                    seen: bytes.clone(),
                    flushed: bytes.clone(),
                },
            );
            state.names.insert(name.clone(), inode);
        }
        state.flushed_names = state.names.clone();
        drop(state);
        disk
    }
}

impl Disk for SimDisk {
    type File = SimFile;
    type Lock = SimLock;

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.alive()?.names.keys().cloned().collect())
    }

    fn open(&self, name: &str) -> io::Result<SimFile> {
        let inode = *self.alive()?.names.get(name).ok_or(ErrorKind::NotFound)?;
        Ok(SimFile {
            disk: self.clone(),
            inode,
        })
    }

    fn create(&self, name: &str) -> io::Result<SimFile> {
        let mut state = self.alive()?;
        state.operate()?;
        if state.names.contains_key(name) {
            return Err(ErrorKind::AlreadyExists.into());
        }
        let inode = state
            .inodes
            .last_key_value()
            .map_or(0, |(last, _)| last + 1);
        state.inodes.insert(inode, Inode::default());
        state.names.insert(name.to_owned(), inode);
        state.unflushed.push(Change::Create {
            name: name.to_owned(),
            inode,
        });
        state.ends()?;
        Ok(SimFile {
            disk: self.clone(),
            inode,
        })
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.alive()?;
        state.operate()?;
        let inode = state.names.remove(from).ok_or(ErrorKind::NotFound)?;
        state.names.insert(to.to_owned(), inode);
        state.unflushed.push(Change::Rename {
            from: from.to_owned(),
            to: to.to_owned(),
            inode,
        });
        state.ends()
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.alive()?;
        if !state.names.contains_key(name) {
            return Err(ErrorKind::NotFound.into());
        }
        state.operate()?;
        state.names.remove(name);
        state.unflushed.push(Change::Remove {
            name: name.to_owned(),
        });
        state.ends()
    }

    fn sync(&self) -> io::Result<()> {
        let mut state = self.alive()?;
        let failed = state.operate();
        state.ends()?;
        state
            .unflushed
            .retain(|c| matches!(c, Change::Write { .. } | Change::Truncate { .. }));
        if failed.is_ok() {
            state.flushed_names = state.names.clone();
        }
        failed
    }

    fn lock(&self, alone: bool) -> io::Result<Option<SimLock>> {
        let mut state = self.alive()?;
        if state.writer || (alone && state.readers > 0) {
            return Ok(None);
        }
        if alone {
            state.writer = true;
        } else {
            state.readers += 1;
        }
        Ok(Some(SimLock {
            disk: self.clone(),
            alone,
        }))
    }
}

impl Drop for SimLock {
    fn drop(&mut self) {
        if let Ok(mut state) = self.disk.alive() {
            if self.alone {
                state.writer = false;
            } else {
                state.readers -= 1;
            }
        }
    }
}

impl File for SimFile {
    fn size(&self) -> io::Result<u64> {
        Ok(self.disk.alive()?.inode(self.inode).seen.len() as u64)
    }

    fn read_at(&self, buffer: &mut [u8], offset: u64) -> io::Result<usize> {
        let mut state = self.disk.alive()?;
        let rest = state
            .inode(self.inode)
            .seen
            .get(offset as usize..)
            .unwrap_or_default();
        let read = rest.len().min(buffer.len());
        buffer[..read].copy_from_slice(&rest[..read]);
        Ok(read)
    }

    fn write_at(&self, bytes: &[u8], offset: u64) -> io::Result<()> {
        let mut state = self.disk.alive()?;
        let failed = state.operate();
        // A failing write has written half; one that finds no room, what there was room for.
        let mut fits = if failed.is_ok() {
            bytes.len()
        } else {
            bytes.len() / 2
        };
        let grows = (offset as usize + fits).saturating_sub(state.inode(self.inode).seen.len());
        let room = state
            .capacity
            .map_or(usize::MAX, |room| room.saturating_sub(state.used_bytes()));
        fits -= grows.saturating_sub(room).min(fits);
        let part = &bytes[..fits];
        write(&mut state.inode(self.inode).seen, offset, part);
        state.unflushed.push(Change::Write {
            inode: self.inode,
            offset,
            bytes: part.to_vec(),
        });
        state.ends()?;
        failed?;
        if fits < bytes.len() {
            Err(ErrorKind::StorageFull.into())
        } else {
            Ok(())
        }
    }

    fn truncate(&self, length: u64) -> io::Result<()> {
        let mut state = self.disk.alive()?;
        state.operate()?;
        state.inode(self.inode).seen.truncate(length as usize);
        state.unflushed.push(Change::Truncate {
            inode: self.inode,
            length,
        });
        state.ends()
    }

    fn sync(&self) -> io::Result<()> {
        let mut state = self.disk.alive()?;
        let failed = state.operate();
        state.ends()?;
        let own = |c: &mut Change| match c {
            Change::Write { inode, .. } | Change::Truncate { inode, .. } => *inode == self.inode,
            _ => false,
        };
        let changes: Vec<Change> = state.unflushed.extract_if(.., own).collect();
        failed?;
        for change in changes {
            match change {
                Change::Write {
                    inode,
                    offset,
                    bytes,
                } => {
                    write(&mut state.inode(inode).flushed, offset, &bytes);
                }
                Change::Truncate { inode, length } => {
                    state.inode(inode).flushed.truncate(length as usize);
                }
                _ => {}
            }
        }
        Ok(())
    }
}
