//! A file of a disk in memory.

use super::SimDisk;
use super::state::{Change, write_at};
use crate::disk::File;
use std::io::{self, ErrorKind};

/// A file of a [`SimDisk`].
pub struct SimFile {
    pub(super) disk: SimDisk,
    pub(super) inode: u64,
}

impl File for SimFile {
    fn size(&self) -> io::Result<u64> {
        let mut state = self.disk.live_state()?;
        Ok(state.inode(self.inode).visible.len() as u64)
    }

    fn read_at(&self, buffer: &mut [u8], offset: u64) -> io::Result<usize> {
        let mut state = self.disk.live_state()?;
        let content = &state.inode(self.inode).visible;
        let rest = content.get(offset as usize..).unwrap_or_default();
        let read = rest.len().min(buffer.len());
        buffer[..read].copy_from_slice(&rest[..read]);
        Ok(read)
    }

    /// A write that fails by plan has written half; one that finds the disk full has written what fitted.
    fn write_at(&self, bytes: &[u8], offset: u64) -> io::Result<()> {
        let mut state = self.disk.live_state()?;
        let begun = state.begin_operation();
        let wanted = if begun.is_ok() {
            bytes.len()
        } else {
            bytes.len() / 2
        };
        let current_length = state.inode(self.inode).visible.len();
        let growth = (offset as usize + wanted).saturating_sub(current_length);
        let free = state.capacity.map_or(usize::MAX, |capacity| {
            capacity.saturating_sub(state.used_bytes())
        });
        let fitting = wanted - growth.saturating_sub(free).min(wanted);
        let written = &bytes[..fitting];
        write_at(&mut state.inode(self.inode).visible, offset, written);
        state.unflushed.push(Change::Write {
            inode: self.inode,
            offset,
            bytes: written.to_vec(),
        });
        state.crash_if_planned()?;
        begun?;
        if fitting < bytes.len() {
            return Err(ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn truncate(&self, length: u64) -> io::Result<()> {
        let mut state = self.disk.live_state()?;
        state.begin_operation()?;
        state.inode(self.inode).visible.truncate(length as usize);
        state.unflushed.push(Change::Truncate {
            inode: self.inode,
            length,
        });
        state.crash_if_planned()
    }

    fn sync(&self) -> io::Result<()> {
        let mut state = self.disk.live_state()?;
        let begun = state.begin_operation();
        state.crash_if_planned()?;
        let is_own = |change: &mut Change| change.content_of() == Some(self.inode);
        let changes: Vec<Change> = state.unflushed.extract_if(.., is_own).collect();
        // What a failed flush was to flush stays readable and is never flushed.
        begun?;
        for change in changes {
            state.flush_change(change);
        }
        Ok(())
    }
}
