//! Recovery: reads a store when it is opened.
//!
//! Every batch that was acknowledged as durable is found again, and every batch is found complete or not at all. A torn
//! end of the active segment, which was never acknowledged as durable, is ignored; corruption is an error.

use crate::active_segment::{ActiveSegment, UnflushedFrame};
use crate::disk::{Disk, LockMode};
use crate::error::{Error, Result};
use crate::format::{Manifest, SegmentEntry, SegmentKind, segment_id, segment_name};
use crate::index::Index;
use crate::index_loader::IndexLoader;
use crate::manifest_file::load_manifest;
use crate::options::Options;
use crate::segment_files::{
    SegmentIds, open_segment, reject_orphaned_segments, remove_unlisted_files,
};
use crate::segment_scan::{Frame, OnCorruption, SegmentScan, scan_segment};
use crate::value_location::SegmentFiles;
use std::sync::Arc;

/// A store as it was found in its directory.
pub(crate) struct Recovered<D: Disk> {
    /// Held as long as the store is open.
    pub lock: D::Lock,
    pub manifest: Manifest,
    pub index: Index<D::File>,
    /// `None` before the first write of a new store.
    pub active: Option<ActiveSegment<D::File>>,
    /// The sequence number of the next batch.
    pub next_sequence: u64,
    pub segment_ids: SegmentIds,
    /// The bytes of a torn end that are ignored.
    pub truncated_bytes: u64,
}

/// Locks the directory and reads the whole log. Removes the files that a crash left, unless the options ask for
/// read-only.
///
/// # Errors
/// [`Error::Locked`], [`Error::StoreNotFound`], [`Error::UnsupportedVersion`], [`Error::Corrupted`], [`Error::Io`].
pub(crate) fn recover<D: Disk>(disk: &D, options: &Options) -> Result<Recovered<D>> {
    let mode = if options.read_only {
        LockMode::Shared
    } else {
        LockMode::Exclusive
    };
    let lock = lock_directory(disk, mode)?;
    let names = disk.list().map_err(Error::directory)?;
    let manifest = load_or_create_manifest(disk, options, &names)?;
    let mut log = LogReader::new();
    for entry in &manifest.segments {
        log.read_segment(disk, entry)?;
    }
    if !options.read_only && !names.is_empty() {
        remove_unlisted_files(disk, &names, &manifest);
    }
    let highest_id = names
        .iter()
        .filter_map(|name| segment_id(name))
        .chain(manifest.segments.iter().map(|segment| segment.id))
        .max()
        .unwrap_or(0);
    let mut index = log.loader.finish();
    index.files_mut().extend(log.files);
    Ok(Recovered {
        lock,
        manifest,
        index,
        active: log.active,
        next_sequence: log.next_sequence,
        segment_ids: SegmentIds::after(highest_id),
        truncated_bytes: log.truncated_bytes,
    })
}

/// Locks the directory of a store.
///
/// # Errors
/// [`Error::Locked`] if another process holds it; [`Error::Io`] if it cannot be locked.
pub(crate) fn lock_directory<D: Disk>(disk: &D, mode: LockMode) -> Result<D::Lock> {
    disk.lock(mode)
        .map_err(Error::directory)?
        .ok_or(Error::Locked)
}

/// The manifest on the disk, or an empty one for a new store. Nothing is written.
fn load_or_create_manifest<D: Disk>(
    disk: &D,
    options: &Options,
    names: &[String],
) -> Result<Manifest> {
    if let Some(manifest) = load_manifest(disk)? {
        return Ok(manifest);
    }
    if !options.create || options.read_only {
        return Err(Error::StoreNotFound);
    }
    reject_orphaned_segments(disk, names)?;
    Ok(Manifest::default())
}

/// Reads the segments in the order in which they apply.
struct LogReader<F> {
    loader: IndexLoader<F>,
    files: SegmentFiles<F>,
    active: Option<ActiveSegment<F>>,
    next_sequence: u64,
    truncated_bytes: u64,
}

impl<F: crate::disk::File> LogReader<F> {
    fn new() -> Self {
        LogReader {
            loader: IndexLoader::new(),
            files: SegmentFiles::new(),
            active: None,
            next_sequence: 0,
            truncated_bytes: 0,
        }
    }

    fn read_segment<D: Disk<File = F>>(&mut self, disk: &D, entry: &SegmentEntry) -> Result<()> {
        let name = segment_name(entry.id);
        let file = open_segment(disk, entry)?;
        let mut unflushed = UnflushedFrames::default();
        let scan = scan_segment(&file, entry, OnCorruption::Fail, |frame| {
            self.loader
                .apply(frame.body, entry.id, frame.body_offset)
                .map_err(|invalid| {
                    let offset = frame.body_offset + invalid.offset as u64;
                    Error::corrupted(&name, offset, invalid.problem)
                })?;
            if entry.sealed.is_none() {
                unflushed.add(&frame);
            }
            Ok(())
        })?;
        if entry.kind == SegmentKind::Log {
            self.next_sequence = scan.end.next_sequence;
        }
        if entry.sealed.is_none() {
            self.set_active(entry, &scan, unflushed);
        }
        self.files.insert(entry.id, Arc::new(file));
        Ok(())
    }

    fn set_active(&mut self, entry: &SegmentEntry, scan: &SegmentScan, frames: UnflushedFrames) {
        self.truncated_bytes = scan.torn_bytes;
        self.active = Some(ActiveSegment::recovered(entry, scan, frames.frames));
    }
}

/// Collects the frames of the active segment that no later frame calls flushed.
#[derive(Default)]
struct UnflushedFrames {
    frames: Vec<UnflushedFrame>,
}

impl UnflushedFrames {
    fn add(&mut self, frame: &Frame<'_>) {
        if frame.header.follows_flush() {
            self.frames.clear();
        }
        self.frames.push(UnflushedFrame {
            sequence: frame.header.sequence,
            body: frame.body.to_vec(),
        });
    }
}
