//! The files of segments: their ids, which of them belong to the store, and which a crash left behind.

use crate::disk::{Disk, File};
use crate::error::{Error, Result};
use crate::format::{
    FRAME_HEADER_BYTES, MANIFEST, MANIFEST_NEW, Manifest, SEGMENT_HEADER_BYTES, SegmentEntry,
    segment_id, segment_name,
};
use std::io::ErrorKind;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

/// Allocates the ids of new segments. The store and a running compaction share it, so that no id is used twice.
#[derive(Clone)]
pub(crate) struct SegmentIds(Arc<AtomicU32>);

impl SegmentIds {
    /// Begins behind the highest id that is in use.
    pub fn after(highest: u32) -> Self {
        SegmentIds(Arc::new(AtomicU32::new(highest.saturating_add(1))))
    }

    /// # Errors
    /// [`Error::SegmentIdsExhausted`].
    pub fn allocate(&self) -> Result<u32> {
        self.0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |id| id.checked_add(1))
            .map_err(|_| Error::SegmentIdsExhausted)
    }
}

/// Opens a segment that the manifest lists.
///
/// # Errors
/// [`Error::Corrupted`] if there is no such file; [`Error::Io`] if it cannot be opened.
pub(crate) fn open_segment<D: Disk>(disk: &D, entry: &SegmentEntry) -> Result<D::File> {
    let name = segment_name(entry.id);
    disk.open(&name).map_err(|error| match error.kind() {
        ErrorKind::NotFound => Error::corrupted(&name, 0, "the manifest lists it, but it is gone"),
        _ => Error::io(&name, error),
    })
}

/// Checks that none of these files is a segment that holds records. To be called where there is no manifest.
///
/// Without a manifest there is no store yet, and a segment is what an interrupted first write left: it holds nothing. One
/// that holds records is the rest of a store whose manifest is lost; a new store would destroy it.
///
/// # Errors
/// [`Error::Corrupted`] if a segment holds records; [`Error::Io`] if one cannot be read.
pub(crate) fn reject_orphaned_segments<D: Disk>(disk: &D, names: &[String]) -> Result<()> {
    for name in names {
        if segment_id(name).is_some() && holds_records(disk, name)? {
            return Err(Error::corrupted(
                MANIFEST,
                0,
                format!("it is gone, but {name} holds records"),
            ));
        }
    }
    Ok(())
}

/// Whether anything but preallocated zeros stands behind the header of a segment.
fn holds_records<D: Disk>(disk: &D, name: &str) -> Result<bool> {
    let file = disk.open(name).map_err(|error| Error::io(name, error))?;
    let size = file.size().map_err(|error| Error::io(name, error))?;
    let mut start = vec![0; SEGMENT_HEADER_BYTES + FRAME_HEADER_BYTES];
    let read = file
        .read_at(&mut start, 0)
        .map_err(|error| Error::io(name, error))?;
    start.truncate(read);
    let first_frame = start.get(SEGMENT_HEADER_BYTES..).unwrap_or_default();
    Ok(size > SEGMENT_HEADER_BYTES as u64 && first_frame.iter().any(|byte| *byte != 0))
}

/// Removes the files that a crash left in the middle of a compaction or of a replacement of the manifest.
pub(crate) fn remove_unlisted_files<D: Disk>(disk: &D, names: &[String], manifest: &Manifest) {
    let is_unlisted = |name: &&String| {
        **name == MANIFEST_NEW || segment_id(name).is_some_and(|id| !manifest.lists(id))
    };
    let unlisted: Vec<&String> = names.iter().filter(is_unlisted).collect();
    // The manifest may have been renamed without a flush of the directory. If the segments of the former manifest were
    // removed and power loss then undid the rename, nothing would be left.
    if unlisted.is_empty() || disk.sync().is_err() {
        return;
    }
    for name in unlisted {
        // A file that stays takes space and does no other harm.
        let _ = disk.remove(name);
    }
}
