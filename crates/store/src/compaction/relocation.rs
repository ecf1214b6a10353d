//! The last part of a compaction: the index is pointed to the copies.

use super::Compaction;
use crate::disk::Disk;
use crate::index::Key;
use crate::reader::SharedIndex;

/// The entries that are relocated at a time, while readers and the writer of the index wait. No measurement stands
/// behind the number.
const ENTRIES_PER_LOCK: usize = 4096;

/// Points the index to the copies of a compaction, a part at a time.
///
/// It changes memory only: after a crash recovery reads the copies.
pub(crate) struct Relocation<D: Disk> {
    compaction: Compaction<D>,
    /// How many entries are done.
    done: usize,
    /// The key of the last of them.
    last_key: Option<Key>,
}

impl<D: Disk> Relocation<D> {
    /// Begins with a compaction whose outputs the manifest lists.
    pub fn new(compaction: Compaction<D>) -> Self {
        Relocation {
            compaction,
            done: 0,
            last_key: None,
        }
    }

    /// Relocates up to `max_entries` entries. Returns whether there are more. With the last one the replaced segments
    /// are closed, unless a snapshot holds them.
    pub fn advance(&mut self, index: &SharedIndex<D::File>, max_entries: usize) -> bool {
        let mut remaining = max_entries;
        while remaining > 0 {
            let step = remaining.min(ENTRIES_PER_LOCK);
            remaining -= step;
            let mut index = index.write();
            let last_key = self.last_key.as_deref();
            let relocated = self
                .compaction
                .relocate(&mut index, last_key, self.done, step);
            self.done += relocated.count;
            if relocated.count < step {
                index
                    .files_mut()
                    .retain(|id, _| !self.compaction.replaces(*id));
                return false;
            }
            self.last_key = relocated.last_key;
        }
        true
    }
}
