//! The state of a disk in memory: what a process reads, what is flushed, and what is planned to go wrong.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind};

/// A change that is not flushed.
pub(super) enum Change {
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

impl Change {
    /// The file whose content changes; `None` for a change of names.
    pub fn content_of(&self) -> Option<u64> {
        match self {
            Change::Write { inode, .. } | Change::Truncate { inode, .. } => Some(*inode),
            Change::Create { .. } | Change::Rename { .. } | Change::Remove { .. } => None,
        }
    }

    /// The bytes that it writes.
    pub fn written_bytes(&self) -> u64 {
        match self {
            Change::Write { bytes, .. } => bytes.len() as u64,
            _ => 0,
        }
    }
}

/// The content of a file.
#[derive(Default)]
pub(super) struct Inode {
    /// What a process reads.
    pub visible: Vec<u8>,
    /// What survives power loss.
    pub flushed: Vec<u8>,
}

/// The disk behind all its handles.
#[derive(Default)]
pub(super) struct State {
    pub inodes: BTreeMap<u64, Inode>,
    /// The names that a process sees.
    pub names: BTreeMap<String, u64>,
    /// The names that survive power loss.
    pub flushed_names: BTreeMap<String, u64>,
    /// The changes that are not flushed, in their order.
    pub unflushed: Vec<Change>,
    /// Counts the processes: the handles of an earlier one are dead.
    pub incarnation: u64,
    /// The count of shared locks.
    pub readers: usize,
    /// Whether the exclusive lock is held.
    pub has_writer: bool,
    /// The count of operations that change something.
    pub operations: u64,
    /// The operation at which the process ends.
    pub crash_at: Option<u64>,
    /// The operations that fail.
    pub failures: BTreeMap<u64, ErrorKind>,
    /// The most bytes of all files; `None` for any number.
    pub capacity: Option<usize>,
    pub is_read_only: bool,
}

/// The error of an operation on a handle whose process has ended.
pub(super) fn process_ended() -> io::Error {
    io::Error::other("the process has ended")
}

impl State {
    /// Counts an operation that changes something, and fails it if that is planned.
    pub fn begin_operation(&mut self) -> io::Result<()> {
        if self.is_read_only {
            return Err(ErrorKind::ReadOnlyFilesystem.into());
        }
        self.operations += 1;
        match self.failures.remove(&self.operations) {
            Some(kind) => Err(kind.into()),
            None => Ok(()),
        }
    }

    /// Ends the process in the middle of the operation that was just counted, if that is planned.
    pub fn crash_if_planned(&mut self) -> io::Result<()> {
        if self.crash_at.is_some_and(|at| self.operations >= at) {
            self.end_process();
            return Err(process_ended());
        }
        Ok(())
    }

    /// Ends the process: its handles are dead and its locks released.
    pub fn end_process(&mut self) {
        self.incarnation += 1;
        self.crash_at = None;
        self.readers = 0;
        self.has_writer = false;
    }

    /// The bytes of all files that have a name.
    pub fn used_bytes(&self) -> usize {
        let named = self.names.values();
        named
            .filter_map(|inode| Some(self.inodes.get(inode)?.visible.len()))
            .sum()
    }

    pub fn inode(&mut self, inode: u64) -> &mut Inode {
        self.inodes.entry(inode).or_default()
    }

    /// Makes a change survive power loss.
    pub fn flush_change(&mut self, change: Change) {
        match change {
            Change::Write {
                inode,
                offset,
                bytes,
            } => write_at(&mut self.inode(inode).flushed, offset, &bytes),
            Change::Truncate { inode, length } => {
                self.inode(inode).flushed.truncate(length as usize);
            }
            Change::Create { name, inode } => {
                self.flushed_names.insert(name, inode);
            }
            Change::Rename { from, to, inode } => {
                self.flushed_names.remove(&from);
                self.flushed_names.insert(to, inode);
            }
            Change::Remove { name } => {
                self.flushed_names.remove(&name);
            }
        }
    }

    /// Makes what survived power loss what a process sees.
    pub fn revert_to_flushed(&mut self) {
        self.names = self.flushed_names.clone();
        for inode in self.inodes.values_mut() {
            inode.visible.clone_from(&inode.flushed);
        }
    }
}

/// Writes bytes at an offset of a file's content, and fills a gap before them with zeros.
pub(super) fn write_at(content: &mut Vec<u8>, offset: u64, bytes: &[u8]) {
    let start = offset as usize;
    let end = start + bytes.len();
    if content.len() < end {
        content.resize(end, 0);
    }
    content[start..end].copy_from_slice(bytes);
}
